"""List the hosts of the fleet and order their moves and maintenance.

The platform's API calls a host a machine, and its maintenance upkeep.
"""

import http
import typing
import urllib.parse

import anyio
import msgspec
import structlog

from azurelanding.decoding import Name, Text, listed, make_json_decoder, message_type
from azurelanding.fleet_workers import HostEntry, HostPhase
from azurelanding.host_calls import HostBusyError, HostCallError, HostFencedError
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.platform.workers import Capacity, decode_resources

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


HostRow = message_type(
    "HostRow",
    {
        "machine": Name,
        "pool": Text,
        "state": typing.Literal["up", "moving", "upkeep", "down"],
        "labels": typing.NotRequired[listed(Text) | None],
        "capacity": typing.NotRequired[Capacity | None],
        "id": typing.NotRequired[Text | None],
    },
)
PageMessage = message_type(
    "PageMessage",
    {
        "machines": typing.NotRequired[listed(msgspec.Raw)],
        "nextPageToken": typing.NotRequired[Text | None],
    },
)
RefusalMessage = message_type(
    "RefusalMessage", {"reason": typing.NotRequired[str | None]}
)


class HostRowError(ValueError):
    """A row of the host list can't be read; the others are not affected."""


_decode_row = make_json_decoder(HostRow, HostRowError)
decode_page = make_json_decoder(PageMessage, HostCallError)
decode_refusal = make_json_decoder(RefusalMessage, HostCallError)


def decode_host(content):
    """Decode one row of the host list into a ``HostEntry``.

    Raises ``HostRowError`` when it can't be read.
    """
    values = _decode_row(content)
    return HostEntry(
        name=values["machine"],
        pool=values["pool"],
        phase=HOST_PHASES[values["state"]],
        worker=values.get("id") or "",
        resources=decode_resources(values.get("capacity") or {}),
        labels=tuple(values.get("labels") or ()),
    )


def decode_hosts(rows):
    """Return the ``HostEntry``s in rows of the host list by name, and the first fault.

    Rows that can't be read are left out; the fault is ``None`` without such rows.
    """
    hosts, first_fault = {}, None
    for row in rows:
        try:
            host = decode_host(row)
        except HostRowError as error:
            first_fault = first_fault or str(error)
        else:
            hosts[host.name] = host
    return hosts, first_fault


class HostsClient:
    """Client of the platform's host API: one connection, one call at a time.

    ``logged_fault`` is the fault of a row that was last logged, so that a list that is
    read several times a second doesn't log it each time.
    """

    def __init__(self, connection, holder):
        self.connection = connection
        self.holder = holder
        self.logged_fault = None

    @classmethod
    def from_config(cls, address, holder):
        """Return a client that names ``holder`` as the sender of its orders."""
        return cls(HttpClient(address, CALL_TIMEOUT_SECONDS), holder)

    async def _call(self, method, target, body=b"", headers=()):
        try:
            return await self.connection.request(method, target, body, headers)
        except HttpClientError as error:
            raise HostCallError(f"{target}: {error}") from error

    async def _page(self, token):
        """Return the page of the host list at ``token``, the first one without."""
        query = f"?{urllib.parse.urlencode({'pageToken': token})}" if token else ""
        status, content = await self._call("GET", f"/v1/machines{query}")
        if status != http.HTTPStatus.OK:
            raise HostCallError(f"the host list was refused with status {status}")
        return decode_page(content)

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
        hosts, fault, tokens, page = {}, None, set(), await self._page("")
        while True:
            read, page_fault = decode_hosts(page.get("machines", ()))
            hosts.update(read)
            fault = fault or page_fault
            token = page.get("nextPageToken") or ""
            if not token:
                break
            if token in tokens:
                raise HostCallError("the pages of the host list repeat")
            tokens.add(token)
            page = await self._later_page(token)
        self._log_fault(fault)
        return hosts

    def _log_fault(self, fault):
        """Log the fault of a row, unless it was the same in the last list."""
        if fault is not None and fault != self.logged_fault:
            logger.warning("invalid host entry ignored", fault=fault)
        self.logged_fault = fault

    async def _order(self, name, values, epoch):
        headers = (
            ("Content-Type", "application/json"),
            ("X-Duty-Holder", self.holder),
            ("X-Fencing-Token", str(epoch)),
        )
        body = msgspec.json.encode(values)
        status, content = await self._call("POST", f"/v1/{name}", body, headers)
        if status == http.HTTPStatus.OK:
            return
        reason = decode_refusal(content or b"{}").get("reason")
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
