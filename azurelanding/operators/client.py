"""HTTP client of a daemon's operators' API."""

import http

from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.operators import wire

REQUEST_TIMEOUT_SECONDS = 10.0


class DaemonUnreachableError(Exception):
    """The daemon can't be reached or didn't answer."""


class AnswerLostError(Exception):
    """A change was sent but its answer was lost, so it may have been made."""


class DaemonRefusedError(Exception):
    """The daemon answered with an error, or its answer can't be decoded."""


def _read_error(status, content):
    """Return the ``error`` in ``content``, or the status and the whole content."""
    try:
        return wire.decode(content, dict[str, str])["error"]
    except (wire.MessageFormatError, KeyError):
        return f"{status}: {content.decode(errors='replace')}"


class OperatorsClient:
    """A connection to the operators' address of one daemon.

    The requests raise ``DaemonUnreachableError``, ``AnswerLostError`` or
    ``DaemonRefusedError``.
    """

    def __init__(self, client):
        self.client = client

    @classmethod
    def from_config(cls, address):
        """Return a client of the daemon at ``address`` (``IP:PORT``)."""
        return cls(HttpClient(address, REQUEST_TIMEOUT_SECONDS))

    async def _send(self, method, path, value_type, body=b""):
        try:
            status, content = await self.client.request(method, path, body)
        except HttpClientError as error:
            if error.sent and method == "POST":
                raise AnswerLostError(str(error)) from error
            raise DaemonUnreachableError(str(error)) from error
        if status != http.HTTPStatus.OK:
            raise DaemonRefusedError(_read_error(status, content))
        try:
            return wire.decode(content, value_type)
        except wire.MessageFormatError as error:
            raise DaemonRefusedError(f"unreadable answer to {path}: {error}") from error

    async def status(self):
        """Return the daemon's ``StatusReport``."""
        return await self._send("GET", wire.STATUS_PATH, wire.StatusReport)

    async def hosts(self):
        """Return a list of ``HostReport``s, one for each host."""
        return await self._send("GET", wire.HOSTS_PATH, list[wire.HostReport])

    async def rules(self):
        """Return the ``RulesReport`` of the rules in force."""
        return await self._send("GET", wire.RULES_PATH, wire.RulesReport)

    async def audit(self, include_housekeeping=False):
        """Return a list of ``AuditLine``s, the oldest first.

        Records of lease renewals and snapshots are included only if
        ``include_housekeeping`` is true.
        """
        path = (
            f"{wire.AUDIT_PATH}?{wire.ALL_RECORDS_QUERY}"
            if include_housekeeping
            else wire.AUDIT_PATH
        )
        return await self._send("GET", path, list[wire.AuditLine])

    async def waves(self):
        """Return a list of ``WaveReport``s, one for each pool."""
        return await self._send("GET", wire.WAVES_PATH, list[wire.WaveReport])

    async def change(self, body, asked_by):
        """Request a change and return the ``ChangeResult``."""
        content = wire.encode_change(body, asked_by)
        return await self._send("POST", wire.CHANGES_PATH, wire.ChangeResult, content)

    async def ask(self, path, value_type, value=None):
        """Send ``value`` by POST, or a GET without it, and return a ``value_type``."""
        if value is None:
            return await self._send("GET", path, value_type)
        return await self._send("POST", path, value_type, wire.encode(value))

    async def close(self):
        """Close the connection; may be called twice."""
        await self.client.close()
