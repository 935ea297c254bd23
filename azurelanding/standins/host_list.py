"""Stand in for the platform's host list."""

import urllib.parse

import anyio
import attrs
import msgspec

from azurelanding import http_server
from azurelanding.host_list import wire
from azurelanding.hosts import Host
from azurelanding.standins import knobs as knobs_module

MAX_BODY_BYTES = 64 << 20


@attrs.define
class HostListKnobs:
    """The injected faults of the host list.

    ``lag`` is the time in seconds until a change is listed.
    """

    down: bool = False
    lag: float = 0.0


@attrs.frozen
class _Change:
    version: int
    made_at: float
    name: str
    host: Host | None


class HostList:
    """A versioned list of hosts in which each change appears after the lag.

    ``PUT /hosts`` with a list of hosts adds or changes them, and
    ``DELETE /hosts/NAME`` removes one.
    """

    def __init__(self):
        self.knobs = HostListKnobs()
        self.changes = []

    def put(self, hosts):
        """Add or change ``hosts``."""
        for host in hosts:
            self._append_change(host.name, host)

    def remove(self, name):
        """Remove the host ``name`` from the list."""
        self._append_change(name, None)

    def find(self, name):
        """Return the host ``name`` without regard to the lag, or ``None``."""
        latest = (
            change.host for change in reversed(self.changes) if change.name == name
        )
        return next(latest, None)

    def _append_change(self, name, host):
        version = len(self.changes) + 1
        self.changes.append(_Change(version, anyio.current_time(), name, host))

    def listing(self, since):
        """Return a ``HostListing`` of the changes after version ``since``."""
        visible_until = anyio.current_time() - self.knobs.lag
        visible = [change for change in self.changes if change.made_at <= visible_until]
        latest = {c.name: c for c in visible if c.version > since}
        return wire.HostListing(
            version=visible[-1].version if visible else 0,
            whole=since == 0,
            hosts=tuple(c.host for c in latest.values() if c.host is not None),
            gone=tuple(c.name for c in latest.values() if c.host is None),
        )

    async def app(self, scope, receive, send):
        """Serve the list and its knobs over HTTP."""
        method, path = scope["method"], scope["path"]
        if path == knobs_module.KNOBS_PATH:
            await knobs_module.serve_knobs(self.knobs, scope, receive, send)
        elif method == "PUT":
            body = await http_server.read_body(receive, MAX_BODY_BYTES)
            self.put(msgspec.json.decode(body, type=list[Host]))
            await knobs_module.send_json(send, 200, {})
        elif method == "DELETE":
            self.remove(path.removeprefix("/hosts/"))
            await knobs_module.send_json(send, 200, {})
        elif self.knobs.down:
            await knobs_module.send_json(send, 503, {})
        else:
            query = urllib.parse.parse_qs(scope["query_string"].decode())
            since = int(query.get("since", ["0"])[0])
            reply = wire.encode_listing(self.listing(since))
            await knobs_module.send_json(send, 200, reply)
