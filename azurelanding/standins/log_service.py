"""Stand in for the platform's log service."""

import collections
import http
import urllib.parse

import anyio
import attrs

from azurelanding import http_server
from azurelanding.log_service import wire
from azurelanding.standins import knobs as knobs_module
from azurelanding.utils import Notifier


@attrs.define
class LogKnobs:
    """The limits and the injected faults of the log service.

    ``delay`` is in seconds, ``rate`` in appends per second, ``retention`` in records
    per stream, ``max_payload`` in bytes. ``lose_replies`` is the number of appends
    still to be stored without a reply.
    """

    down: bool = False
    delay: float = 0.0
    rate: float = 300.0
    retention: int = 1_000_000
    max_payload: int = 1 << 20
    lose_replies: int = 0


class Stream:
    """The records of one stream; ``first`` is the oldest offset kept."""

    def __init__(self):
        self.first = 1
        self.records = collections.deque()
        self.changes = Notifier()

    @property
    def end(self):
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, text, retention):
        """Add a record, trim to ``retention`` records and return its offset."""
        self.records.append(text)
        offset = self.end - 1
        self.trim(retention)
        self.changes.notify()
        return offset

    def trim(self, retention):
        """Drop the oldest records until ``retention`` are left."""
        while len(self.records) > retention:
            self.records.popleft()
            self.first += 1

    def read(self, start, limit):
        """Return a ``Batch`` of up to ``limit`` records, beginning at ``start``.

        It begins at the oldest record kept if that is later.
        """
        begin = max(start, self.first)
        stop = min(self.end, begin + limit)
        entries = tuple(
            wire.Entry(offset, self.records[offset - self.first])
            for offset in range(begin, stop)
        )
        return wire.Batch(self.first, self.end, entries)


class LogService:
    """An append-only log in memory; ``knobs`` injects faults.

    A token bucket with the content ``tokens`` limits the rate of appends; ``appends``
    counts those that were stored.
    """

    def __init__(self):
        self.knobs = LogKnobs()
        self.streams = collections.defaultdict(Stream)
        self.tokens = 0.0
        self.refilled_at = 0.0
        self.appends = 0

    def _take_token(self):
        """Return whether the rate limit allows an append, and count it if so."""
        now = anyio.current_time()
        rate = self.knobs.rate
        refill = (now - self.refilled_at) * rate
        self.tokens = min(max(rate, 1.0), self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    async def _append(self, stream, receive, send):
        body = await http_server.read_body(receive, self.knobs.max_payload)
        if body is None:
            await knobs_module.send_json(
                send, http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {}
            )
            return
        if not self._take_token():
            await knobs_module.send_json(send, http.HTTPStatus.TOO_MANY_REQUESTS, {})
            return
        offset = stream.append(body.decode(errors="replace"), self.knobs.retention)
        self.appends += 1
        if self.knobs.lose_replies > 0:
            self.knobs.lose_replies -= 1
            await anyio.sleep_forever()
        reply = wire.encode(wire.Appended(offset))
        await knobs_module.send_json(send, http.HTTPStatus.OK, reply)

    async def _read(self, stream, query, send):
        start = int(query["from"][0])
        limit = int(query["limit"][0])
        with anyio.move_on_after(float(query["wait"][0])):
            await stream.changes.wait_until(lambda: stream.end > start)
        if self.knobs.down:
            await knobs_module.send_json(send, http.HTTPStatus.SERVICE_UNAVAILABLE, {})
            return
        reply = wire.encode(stream.read(start, limit))
        await knobs_module.send_json(send, http.HTTPStatus.OK, reply)

    async def app(self, scope, receive, send):
        """Serve the log and its knobs over HTTP."""
        if scope["path"] == knobs_module.KNOBS_PATH:
            await knobs_module.serve_knobs(self.knobs, scope, receive, send)
            return
        await anyio.sleep(self.knobs.delay)
        if self.knobs.down:
            await knobs_module.send_json(send, http.HTTPStatus.SERVICE_UNAVAILABLE, {})
            return
        stream = self.streams[scope["path"].removeprefix("/streams/")]
        if scope["method"] == "POST":
            await self._append(stream, receive, send)
        else:
            query = urllib.parse.parse_qs(scope["query_string"].decode())
            await self._read(stream, query, send)
