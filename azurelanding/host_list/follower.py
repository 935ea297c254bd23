"""Follow the platform's list of live and leaving hosts."""

import http

import anyio
import structlog

from azurelanding.host_list import wire
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.utils import Notifier

logger = structlog.get_logger()


class HostListError(Exception):
    """The host list could not be read."""


class HostListFollower:
    """The last known host list, which stays in use while the platform is unreachable.

    ``hosts`` maps names to hosts, ``version`` is that of the list, and ``up`` is
    whether the last request succeeded. ``changes`` is notified after each change.
    """

    def __init__(self, client, settings):
        self.client = client
        self.settings = settings
        self.hosts = {}
        self.version = 0
        self.up = False
        self.changes = Notifier()

    @classmethod
    def from_config(cls, settings):
        """Return a follower of the list at the address in ``settings``."""
        return cls(HttpClient(settings.address, settings.timeout), settings)

    async def _fetch(self):
        try:
            status, content = await self.client.download(f"/hosts?since={self.version}")
            if status != http.HTTPStatus.OK:
                raise HostListError(f"host list request answered with status {status}")
            return wire.decode_listing(content)
        except (HttpClientError, wire.ListingFormatError) as error:
            raise HostListError(str(error)) from error

    def apply(self, listing):
        """Apply ``listing``; ignore changes that are not newer than the known list."""
        if listing.version <= self.version and not listing.whole:
            return
        if listing.whole:
            self.hosts = {}
        self.hosts.update((host.name, host) for host in listing.hosts)
        for name in listing.gone:
            self.hosts.pop(name, None)
        self.version = listing.version
        self.changes.notify()

    def _set_reachable(self, up, reason=""):
        if up != self.up:
            self.up = up
            log = logger.info if up else logger.warning
            log("host list reachable" if up else "host list lost", reason=reason)

    async def run(self):
        """Request changes of the list in each period until cancelled."""
        while True:
            try:
                self.apply(await self._fetch())
                self._set_reachable(True)
            except HostListError as error:
                self._set_reachable(False, str(error))
            await anyio.sleep(self.settings.period)

    async def close(self):
        """Close the connection; may be called twice."""
        await self.client.close()
