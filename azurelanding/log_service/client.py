"""Append to and read from the platform's log service."""

import http

from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.log_service import wire

READ_LIMIT_ENTRIES = 200


class LogServiceError(Exception):
    """A call to the log service failed."""


class LogUnavailableError(LogServiceError):
    """The log service is down, slow or overloaded; nothing was appended or read."""


class ReplyLostError(LogServiceError):
    """The reply was lost; only a read shows whether the append took effect."""


class PayloadRefusedError(LogServiceError):
    """The log service will never accept this payload."""


class LogClient:
    """A client with two persistent connections: for appends and for waiting reads."""

    def __init__(self, append_client, read_client):
        self.append_client = append_client
        self.read_client = read_client

    @classmethod
    def from_config(cls, settings):
        """Return a client of the log service at the address in ``settings``."""
        address, timeout = settings.address, settings.timeout
        return cls(HttpClient(address, timeout), HttpClient(address, timeout))

    async def append(self, stream, payload):
        """Append ``payload`` to ``stream`` and return its offset.

        Raises ``LogUnavailableError`` when certainly nothing was appended,
        ``ReplyLostError`` when that is unknown, and ``PayloadRefusedError`` when a
        retry would be refused as well.
        """
        body = payload.encode()
        try:
            status, content = await self.append_client.request(
                "POST", f"/streams/{stream}", body
            )
        except HttpClientError as error:
            error_type = ReplyLostError if error.sent else LogUnavailableError
            raise error_type(f"append to {stream}: {error}") from error
        if status in (
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            http.HTTPStatus.BAD_REQUEST,
        ):
            raise PayloadRefusedError(f"append to {stream} refused with {status}")
        if status != http.HTTPStatus.OK:
            raise LogUnavailableError(f"append to {stream} refused with {status}")
        try:
            return wire.decode_appended(content)
        except wire.RecordFormatError as error:
            raise ReplyLostError(f"append to {stream}: {error}") from error

    async def read(self, stream, start, wait=0.0, limit=READ_LIMIT_ENTRIES):
        """Return a ``Batch`` of up to ``limit`` entries from offset ``start`` on.

        If there is no entry yet, the service waits up to ``wait`` seconds for one.
        Raises ``LogUnavailableError`` when the read fails.
        """
        target = f"/streams/{stream}?from={start}&limit={limit}&wait={wait}"
        timeout = self.read_client.timeout + wait
        try:
            status, content = await self.read_client.download(target, timeout)
            if status != http.HTTPStatus.OK:
                raise LogUnavailableError(f"read of {stream} refused with {status}")
            return wire.decode_batch(content)
        except (HttpClientError, wire.RecordFormatError) as error:
            raise LogUnavailableError(f"read of {stream}: {error}") from error

    async def close(self):
        """Close both connections; may be called twice."""
        await self.append_client.close()
        await self.read_client.close()
