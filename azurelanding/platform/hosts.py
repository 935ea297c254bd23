"""List the hosts of the fleet and order their moves and maintenance.

The platform's API calls a host a machine, and its maintenance upkeep.
"""

import http
import urllib.parse

import anyio
import msgspec
import structlog

from azurelanding.fleet_workers import HostEntry, HostPhase
from azurelanding.host_calls import HostBusyError, HostCallError, HostFencedError
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.platform.workers import decode_resources

logger = structlog.get_logger()

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of an API call; a few hundred times the usual response time."""
PAGE_RETRY_DELAYS_SECONDS = (0.25, 0.5, 1.0)
"""Delays before a page of the host list is requested again."""
HOST_PHASES = {
    "up": HostPhase.UP,
    "moving": HostPhase.MOVING,
    "upkeep": HostPhase.MAINTENANCE,
    "down": HostPhase.DOWN,
}


def decode_host(values):
    """Decode one row of the host list; return ``None`` if it is invalid."""
    try:
        return HostEntry(
            name=values["machine"],
            pool=values["pool"],
            phase=HOST_PHASES[values["state"]],
            worker=values.get("id") or "",
            resources=decode_resources(values.get("capacity") or {}),
            labels=tuple(values.get("labels", ())),
        )
    except (KeyError, TypeError, AttributeError) as error:
        logger.warning("invalid host entry ignored", fault=repr(error))
        return None


class HostsClient:
    """Client of the platform's host API: one connection, one call at a time."""

    def __init__(self, connection, holder):
        self.connection = connection
        self.holder = holder

    @classmethod
    def from_config(cls, address, holder):
        """Return a client that names ``holder`` as the sender of its orders."""
        return cls(HttpClient(address, CALL_TIMEOUT_SECONDS), holder)

    async def _call(self, method, target, body=b"", headers=()):
        try:
            status, content = await self.connection.request(
                method, target, body, headers
            )
        except HttpClientError as error:
            raise HostCallError(f"{target}: {error}") from error
        try:
            return status, msgspec.json.decode(content) if content else {}
        except msgspec.DecodeError as error:
            raise HostCallError(f"{target}: {error}") from error

    async def _page(self, token):
        """Return the page of the host list at ``token``, the first one without."""
        query = f"?{urllib.parse.urlencode({'pageToken': token})}" if token else ""
        status, page = await self._call("GET", f"/v1/machines{query}")
        if status != http.HTTPStatus.OK:
            raise HostCallError(f"the host list was refused with status {status}")
        return page

    async def _later_page(self, token):
        """Return a page after the first, again requested if it is lost or refused."""
        for delay in PAGE_RETRY_DELAYS_SECONDS:
            try:
                return await self._page(token)
            except HostCallError as error:
                logger.info("host list page requested again", reason=str(error))
                await anyio.sleep(delay)
        return await self._page(token)

    async def list_hosts(self):
        """Return the ``HostEntry`` of each host, by name.

        The platform limits the pages in a second, so the list of a large fleet is
        refused in the middle: the pages before that are kept. Raises ``HostCallError``.
        """
        hosts, page = {}, await self._page("")
        while True:
            for row in page.get("machines", ()):
                host = decode_host(row)
                if host is not None:
                    hosts[host.name] = host
            token = page.get("nextPageToken") or ""
            if not token:
                return hosts
            page = await self._later_page(token)

    async def _order(self, name, values, epoch):
        headers = (
            ("Content-Type", "application/json"),
            ("X-Duty-Holder", self.holder),
            ("X-Fencing-Token", str(epoch)),
        )
        body = msgspec.json.encode(values)
        status, answer = await self._call("POST", f"/v1/{name}", body, headers)
        if status == http.HTTPStatus.OK:
            return
        reason = answer.get("reason") if isinstance(answer, dict) else None
        if status == http.HTTPStatus.CONFLICT and reason == "fence":
            raise HostFencedError(f"{name}: epoch {epoch} was superseded")
        if status == http.HTTPStatus.CONFLICT:
            raise HostBusyError(f"{name}: host {values['machine']} is busy: {reason}")
        raise HostCallError(f"{name} refused with status {status}")

    async def move(self, host, pool, epoch):
        """Move a host to a pool; everything that runs there ends immediately.

        Raises ``HostCallError``, also as ``HostBusyError`` or ``HostFencedError``.
        """
        await self._order("machine-move", {"machine": host, "pool": pool}, epoch)

    async def maintain(self, host, wave, epoch):
        """Begin maintenance of a host; everything that runs there ends immediately.

        Raises ``HostCallError``, also as ``HostBusyError`` or ``HostFencedError``.
        """
        await self._order("machine-upkeep", {"machine": host, "wave": wave}, epoch)

    async def close(self):
        """Close the connection; may be called twice."""
        await self.connection.close()
