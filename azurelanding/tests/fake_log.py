"""An in-memory log for tests, which replaces the client of the log service."""

import anyio

from azurelanding.log_service import client, wire
from azurelanding.standins.log_service import Stream


class FakeLog:
    """Appends to and reads from streams in memory, with faults.

    While ``down``, every call fails. ``max_batch`` limits the entries of one read.
    The replies of the next ``lose_replies`` appends are lost. While ``hold``, appends
    are collected in ``held`` and take effect only with ``release``.
    """

    def __init__(self):
        self.streams = {}
        self.retention = 1_000_000
        self.down = False
        self.lose_replies = 0
        self.hold = False
        self.max_batch = client.READ_LIMIT_ENTRIES
        self.held = []

    def stream(self, name):
        return self.streams.setdefault(name, Stream())

    async def append(self, name, text):
        if self.down:
            raise client.LogUnavailableError("down")
        if self.hold:
            self.held.append((name, text))
            raise client.ReplyLostError("held")
        offset = self.stream(name).append(text, self.retention)
        if self.lose_replies:
            self.lose_replies -= 1
            raise client.ReplyLostError("lost")
        return offset

    def release(self):
        """Apply the held appends, and hold no more."""
        for name, text in self.held:
            self.stream(name).append(text, self.retention)
        self.held, self.hold = [], False

    async def read(self, name, start, wait=0.0, limit=client.READ_LIMIT_ENTRIES):
        stream = self.stream(name)
        if not self.down:
            with anyio.move_on_after(wait):
                await stream.changes.wait_until(lambda: stream.end > start)
        if self.down:
            raise client.LogUnavailableError("down")
        return stream.read(start, min(limit, self.max_batch))

    def put(self, record):
        """Append ``record`` to the fleet's stream, as another daemon would."""
        return self.stream("fleet").append(wire.encode_record(record), self.retention)

    def read_all(self, name):
        """Return every entry that the stream ``name`` still has."""
        return self.stream(name).read(1, 1_000_000).entries
