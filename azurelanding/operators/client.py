"""Ask a daemon on an operator's behalf."""

import http

import msgspec

from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.operators import wire

TIMEOUT_SECONDS = 10.0


class DaemonUnreachableError(Exception):
    """The daemon gave no answer."""


class AnswerLostError(Exception):
    """The daemon may have made a change, but its answer was lost."""


class DaemonRefusedError(Exception):
    """The daemon answered that it can't do what was asked."""


def _explain(status, content):
    """Return the ``error`` that ``content`` tells, or all of it with the status."""
    try:
        return msgspec.json.decode(content, type=dict[str, str])["error"]
    except (msgspec.DecodeError, KeyError):
        return f"{status}: {content.decode(errors='replace')}"


class OperatorsClient:
    """One connection to the operators' address of one daemon."""

    def __init__(self, client):
        self.client = client

    @classmethod
    def from_config(cls, address):
        """Return a client of the daemon at ``address``, ``IP:PORT``."""
        return cls(HttpClient(address, TIMEOUT_SECONDS))

    async def _ask(self, method, path, value_type, body=b""):
        try:
            status, content = await self.client.request(method, path, body)
        except HttpClientError as error:
            if error.sent and method == "POST":
                raise AnswerLostError(str(error)) from error
            raise DaemonUnreachableError(str(error)) from error
        if status != http.HTTPStatus.OK:
            raise DaemonRefusedError(_explain(status, content))
        try:
            return wire.decode(content, value_type)
        except msgspec.DecodeError as error:
            raise DaemonRefusedError(f"unreadable answer to {path}: {error}") from error

    async def status(self):
        """Return the daemon's ``StatusReport``."""
        return await self._ask("GET", wire.STATUS_PATH, wire.StatusReport)

    async def hosts(self):
        """Return a list of ``HostReport``s."""
        return await self._ask("GET", wire.HOSTS_PATH, list[wire.HostReport])

    async def rules(self):
        """Return the ``RulesReport`` of the rules in force."""
        return await self._ask("GET", wire.RULES_PATH, wire.RulesReport)

    async def audit(self, include_housekeeping=False):
        """Return a list of ``AuditLine``s, the oldest first.

        Renewals of leases and marks of snapshots come only with ``include_housekeeping``.
        """
        path = (
            f"{wire.AUDIT_PATH}?{wire.ALL_RECORDS_QUERY}"
            if include_housekeeping
            else wire.AUDIT_PATH
        )
        return await self._ask("GET", path, list[wire.AuditLine])

    async def waves(self):
        """Return a list of ``WaveReport``s, one for each pool."""
        return await self._ask("GET", wire.WAVES_PATH, list[wire.WaveReport])

    async def change(self, body, asked_by):
        """Ask for a change and return the ``ChangeResult``."""
        content = wire.encode_change(body, asked_by)
        return await self._ask("POST", wire.CHANGES_PATH, wire.ChangeResult, content)

    async def ask(self, path, value_type, asked=None):
        """Post ``asked`` to ``path``, or get it, and return a ``value_type``."""
        if asked is None:
            return await self._ask("GET", path, value_type)
        return await self._ask("POST", path, value_type, wire.encode(asked))

    async def close(self):
        """Close the connection; may be called twice."""
        await self.client.close()
