"""Request reboots of hosts from the platform's pools service."""

import http

from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.pools import wire


class PoolsError(Exception):
    """The platform's pools service did not send a usable answer."""


class PoolsClient:
    """A persistent connection to the platform's pools service."""

    def __init__(self, client):
        self.client = client

    @classmethod
    def from_config(cls, settings):
        """Return a client of the service at the address in ``settings``."""
        return cls(HttpClient(settings.address, settings.timeout))

    async def reboot(self, host, token):
        """Request the reboot ``token`` of ``host``; return its ``RebootState``.

        A repeat is safe, because the platform starts each token only once. Raises
        ``PoolsError`` if there is no usable answer.
        """
        try:
            status, content = await self.client.request(
                "PUT", wire.reboot_path(host, token)
            )
            if status != http.HTTPStatus.OK:
                raise PoolsError(f"reboot of {host} answered with status {status}")
            return wire.decode_reboot(content).state
        except (HttpClientError, wire.RebootFormatError) as error:
            raise PoolsError(f"reboot of {host} failed: {error}") from error

    async def close(self):
        """Close the connection; may be called twice."""
        await self.client.close()
