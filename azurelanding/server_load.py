"""Limit what the connections of one server hold together.

``HttpLimits`` bounds one connection, ``ServerLoad`` all connections of a server. What
counts is what they take in the process, not what was sent.
"""

import collections
import resource

import attrs

from azurelanding import http_server

DEFAULT_MAX_BYTES = 64 << 20
BATCHES = 4
"""In how many batches a server accepts its connections; so many may be open beyond its
limit until the first of them are closed."""


@attrs.frozen
class HttpLimits:
    """The limits of one connection; sizes are in bytes, times in seconds.

    ``max_header`` bounds a request's head, and again what trails its body.
    The head must end within ``header_timeout``, the whole request within
    ``request_timeout``, ``None`` for no limit. A connection is idle for
    ``idle_timeout`` at most, and for as long its client may leave an answer unread.
    ``max_pipelined`` requests may wait for the answers to earlier ones.
    """

    max_header: int = 16_384
    header_timeout: float = 3.0
    request_timeout: float | None = 30.0
    idle_timeout: float = 15.0
    max_pipelined: int = 32


class ServerLoad:
    """What the connections of one server hold together.

    ``connections`` maps them to the bytes that each held when it was last asked with
    its ``measure``, the one that was quiet for longest first. Beyond
    ``max_connections`` an idle one is closed for a new one, and beyond ``max_bytes``
    the one that holds most.
    """

    def __init__(self, max_connections, max_bytes, metrics):
        self.max_connections = max_connections
        self.max_bytes = max_bytes
        self.metrics = metrics
        self.connections = collections.OrderedDict()
        self.held = 0

    @classmethod
    def from_process(cls, metrics, share):
        """Return a load for a share of the descriptors that this process may open."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return cls(max(1, int(descriptors * share)), DEFAULT_MAX_BYTES, metrics)

    @property
    def accepted_at_once(self):
        """Return how many connections a server may accept at once.

        They are all open before any of them can be closed.
        """
        return max(1, min(http_server.BACKLOG, self.max_connections // BATCHES))

    def admit(self, connection):
        """Add a connection, and close another one if there are too many."""
        self.connections[connection] = 0
        if len(self.connections) > self.max_connections:
            quiet = (other for other in self.connections if not other.is_active)
            next(quiet, connection).cut("too-many-connections")

    def touch(self, connection):
        """Note that a connection was used."""
        if connection in self.connections:
            self.connections.move_to_end(connection)

    def hold(self, connection):
        """Note what a connection holds now, and close the largest of too large ones."""
        self._measure(connection)
        if self.held > self.max_bytes:
            # Answers are read without a word to the server.
            for other in self.connections:
                self._measure(other)
        if self.held > self.max_bytes:
            largest = max(self.connections, key=self.connections.get)
            largest.cut("too-many-bytes")

    def _measure(self, connection):
        if connection in self.connections:
            size = connection.measure()
            self.held += size - self.connections[connection]
            self.connections[connection] = size

    def forget(self, connection):
        """Remove a connection that was closed; may be called again."""
        self.held -= self.connections.pop(connection, 0)

    def count(self, reason):
        """Count a refusal or a cut."""
        self.metrics.count(f"connections_cut_{reason.replace('-', '_')}")
