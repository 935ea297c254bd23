"""Ask the platform's API for its machines, and order moves and upkeep.

The platform's machine is the product's host, its upkeep the product's maintenance.
"""

import http
import urllib.parse

import msgspec
import structlog

from azurelanding.fleet_workers import HostEntry, HostPhase
from azurelanding.host_calls import HostBusyError, HostCallError, HostFencedError
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.platform.workers import decode_resources

logger = structlog.get_logger()

CALL_TIMEOUT_SECONDS = 1.0
"""Bounds a call to the API; a few hundred times its usual answer."""
PHASES = {
    "up": HostPhase.UP,
    "moving": HostPhase.MOVING,
    "upkeep": HostPhase.MAINTENANCE,
    "down": HostPhase.DOWN,
}


def decode_host(values):
    """Return the ``HostEntry`` in one row, or ``None`` if it is unreadable."""
    try:
        return HostEntry(
            name=values["machine"],
            pool=values["pool"],
            phase=PHASES[values["state"]],
            worker=values.get("id") or "",
            room=decode_resources(values.get("capacity") or {}),
            labels=tuple(values.get("labels", ())),
        )
    except (KeyError, TypeError, AttributeError) as error:
        logger.warning("host entry ignored", fault=repr(error))
        return None


class HostsClient:
    """One connection to the API of the fleet's hosts."""

    def __init__(self, connection, holder):
        self.connection = connection
        self.holder = holder

    @classmethod
    def from_config(cls, address, holder):
        """Return a client that signs its orders as ``holder``."""
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

    async def list_hosts(self):
        """Return all ``HostEntry``s by name."""
        hosts, token = {}, ""
        while True:
            query = f"?{urllib.parse.urlencode({'pageToken': token})}" if token else ""
            status, page = await self._call("GET", f"/v1/machines{query}")
            if status != http.HTTPStatus.OK:
                raise HostCallError(f"the list of hosts was refused with {status}")
            for row in page.get("machines", ()):
                host = decode_host(row)
                if host is not None:
                    hosts[host.name] = host
            token = page.get("nextPageToken") or ""
            if not token:
                return hosts

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
            raise HostFencedError(f"{name}: epoch {epoch} was overtaken")
        if status == http.HTTPStatus.CONFLICT:
            raise HostBusyError(f"{name}: {values['machine']} refused, {reason}")
        raise HostCallError(f"{name} refused with {status}")

    async def move(self, host, pool, epoch):
        """Move a host to a pool; everything that runs there ends at once."""
        await self._order("machine-move", {"machine": host, "pool": pool}, epoch)

    async def maintain(self, host, wave, epoch):
        """Begin the maintenance of a host; everything that runs there ends at once."""
        await self._order("machine-upkeep", {"machine": host, "wave": wave}, epoch)

    async def close(self):
        """Close the connection; may be called twice."""
        await self.connection.close()
