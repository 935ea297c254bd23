"""HTTP client of the platform's store: a log with topics and partitions."""

import contextlib
import http
import struct
import typing
import urllib.parse

import anyio
import attrs
import msgspec

from azurelanding.answer_timeout import AnswerTimeout
from azurelanding.decoding import Count, Text, listed, make_json_decoder, message_type
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.store import (
    Membership,
    OffsetOutOfRangeError,
    ReadRecords,
    StoredRecord,
    StoreError,
    StoreFencedError,
    StoreNoResponseError,
    StoreRefusedError,
    StoreSequenceError,
)
from azurelanding.utils import boot_time

BYTES_PER_KILOBYTE = 1024
RECORD_LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
COMPACTED_PREFIX = "keyed."
CALL_TIMEOUT_SECONDS = 1.2
"""Timeout of a call; longer than the slowest answers of a store that is 60 times
slower than its usual 4 ms."""
APPEND_QUEUE_SECONDS = 2.0
"""Longest time for which appends wait at the store for others to the same partition;
it refuses those that would wait longer."""
JOIN_TIMEOUT_SECONDS = 0.5
"""Timeout of a join, and of a read of the holders before it; less than half of the
shortest membership that is requested, so that a join whose answer is lost can be
repeated before the membership expires."""
MAX_READ_KILOBYTES = 1024
"""Longest answer to a read, which is the store's default."""
MIN_READ_KILOBYTES = 64
READ_SECONDS = 0.2
"""Time in which the answer to a read crosses the host's link while no other does."""
NEWEST_PAGE_BYTES = 1_400_000
"""Longest page of newest records: 1 MB of values in base64."""
LOADS_AT_ONCE = 4
"""Number of pages that share the host's link while a daemon loads its streams."""
APPENDS_AT_ONCE = 4
"""Number of long appends that share the host's link after the store was down."""
PLATFORM_TOPICS = {
    "operator": "keyed.op",
    "workers": "keyed.servers",
    "status": "keyed.status",
}
"""Wire names of the topics that the platform defines: the operator writes the first
and reads the last, the executors write the second."""

AppendedMessage = message_type(
    "AppendedMessage",
    {"offset": typing.NotRequired[Count], "end": typing.NotRequired[Count]},
)
ConflictMessage = message_type(
    "ConflictMessage",
    {
        "reason": typing.NotRequired[str | None],
        "sequence": typing.NotRequired[Count | None],
    },
)
GoneMessage = message_type("GoneMessage", {"first": typing.NotRequired[Count]})
NewestItem = message_type(
    "NewestItem",
    {"key": Text, "value": typing.NotRequired[bytes | None], "offset": Count},
)
NewestMessage = message_type(
    "NewestMessage",
    {
        "items": listed(NewestItem),
        "end": Count,
        "hasMore": typing.NotRequired[bool | None],
    },
)


class AssignedRow(typing.NamedTuple):
    """A partition that is assigned to the member that asks."""

    topic: str
    partition: Count
    committed: int | None = None


class OwnerRow(typing.NamedTuple):
    """A partition of a group and the member that holds it."""

    topic: str
    partition: Count
    member: str | None
    committed: int | None = None


JoinedMessage = message_type(
    "JoinedMessage", {"generation": Count, "parts": listed(AssignedRow)}
)
OwnersMessage = message_type("OwnersMessage", {"parts": listed(OwnerRow)})


def _answer_decoder(message_type):
    return make_json_decoder(message_type, StoreNoResponseError)


decode_appended = _answer_decoder(AppendedMessage)
decode_conflict = _answer_decoder(ConflictMessage)
decode_gone = _answer_decoder(GoneMessage)
decode_newest = _answer_decoder(NewestMessage)
decode_joined = _answer_decoder(JoinedMessage)
decode_owners = _answer_decoder(OwnersMessage)


def wire_topic(topic):
    """Return the name that a topic has in the store."""
    return PLATFORM_TOPICS.get(topic, COMPACTED_PREFIX + topic)


def topic_from_wire(name):
    """Return the topic that has ``name`` in the store."""
    platform_topics = {wire_name: topic for topic, wire_name in PLATFORM_TOPICS.items()}
    return platform_topics.get(name, name.removeprefix(COMPACTED_PREFIX))


def encode_keyed_record(key, value):
    """Encode a keyed record; a value of ``None`` deletes the key."""
    name = key.encode()
    content = bytes((len(name),)) + name + (value or b"")
    return RECORD_LENGTH.pack(len(content)) + content


def decode_records(content, start):
    """Decode the answer to a read from offset ``start``.

    The records begin at a later offset when the store has deleted older ones. Raises
    ``StoreNoResponseError`` when the answer is cut.
    """
    if len(content) < READ_HEADER.size:
        raise StoreNoResponseError("log-read: the answer is too short")
    end, first = READ_HEADER.unpack_from(content)
    position, offset, records = READ_HEADER.size, max(start, first), []
    while position < len(content):
        body = position + RECORD_LENGTH.size
        if body > len(content):
            raise StoreNoResponseError("log-read: the answer is cut")
        (length,) = RECORD_LENGTH.unpack_from(content, position)
        position = body + length
        if position > len(content):
            raise StoreNoResponseError("log-read: the answer is cut")
        record = content[body:position]
        key_length = record[0] if record else 0
        key = record[1 : 1 + key_length].decode(errors="replace")
        records.append(StoredRecord(key, record[1 + key_length :] or None, offset))
        offset += 1
    return ReadRecords(tuple(records), end)


def _target(name, query):
    return f"/v1/{name}?{urllib.parse.urlencode(query)}" if query else f"/v1/{name}"


@contextlib.contextmanager
def _store_errors(name):
    """Raise what went wrong in the call ``name`` as a ``StoreError``."""
    try:
        yield
    except HttpClientError as error:
        error_class = StoreNoResponseError if error.sent else StoreRefusedError
        raise error_class(f"{name}: {error}") from error


def _make_page_turns():
    return anyio.Semaphore(LOADS_AT_ONCE)


@attrs.define
class ClientGroup:
    """What the store clients of one daemon share.

    ``page_turns`` is a semaphore by which their loads share the host's link, and
    ``answered_at`` the ``boot_time`` at which the store last answered one of them.
    """

    page_turns: anyio.Semaphore = attrs.field(factory=_make_page_turns)
    answered_at: float = float("-inf")


class StoreClient:
    """Client of the store: one connection, one call at a time.

    Each task that uses the store has its own client. Unless stated otherwise, calls
    raise ``StoreRefusedError`` when they certainly had no effect and
    ``StoreNoResponseError`` when that is not known.

    ``max_kilobytes`` limits the answer to one read, and ``page_timeout`` is the longest
    wait in seconds for one page of newest records, whose length the store chooses, to
    begin.
    ``append_rate`` is the rate in bytes per second at which an append crosses the
    link, or ``None``. ``group`` is the ``ClientGroup`` of the daemon.
    """

    def __init__(self, connection, max_kilobytes, page_timeout, append_rate, group):
        self.connection = connection
        self.append_rate = append_rate
        self.max_kilobytes = max_kilobytes
        self.page_timeout = page_timeout
        self.group = group
        self.append_timeout = AnswerTimeout(
            CALL_TIMEOUT_SECONDS, CALL_TIMEOUT_SECONDS + APPEND_QUEUE_SECONDS
        )

    @classmethod
    def from_config(cls, settings, link_rate=None, group=None):
        """Return a client for the store of ``settings``, a ``StoreSettings``.

        ``link_rate`` is the bandwidth of the host's link in bytes per second, or
        ``None``. An answer that takes longer than its timeout would be read again from
        the start, and never arrive. The clients of one daemon share ``group``.
        """
        max_kilobytes, page_timeout = MAX_READ_KILOBYTES, CALL_TIMEOUT_SECONDS
        append_rate = None
        if link_rate is not None:
            append_rate = link_rate / APPENDS_AT_ONCE
            kilobytes = int(link_rate * READ_SECONDS / BYTES_PER_KILOBYTE)
            max_kilobytes = min(max(kilobytes, MIN_READ_KILOBYTES), max_kilobytes)
            page_timeout += LOADS_AT_ONCE * NEWEST_PAGE_BYTES / link_rate
        connection = HttpClient(settings.address, CALL_TIMEOUT_SECONDS)
        group = group or ClientGroup()
        return cls(connection, max_kilobytes, page_timeout, append_rate, group)

    async def _call(self, method, name, query, body=b"", timeout=CALL_TIMEOUT_SECONDS):
        headers = (("Content-Type", "application/json"),) if body else ()
        with _store_errors(name):
            answer = await self.connection.request(
                method, _target(name, query), body, headers, timeout
            )
        self.group.answered_at = boot_time()
        return answer

    async def _download(self, name, query, timeout):
        """Get records; ``timeout`` limits the wait for the answer to begin.

        Streams that are read at once share the host's link, so how long an answer takes
        depends on the others.
        """
        with _store_errors(name):
            answer = await self.connection.download(_target(name, query), timeout)
        self.group.answered_at = boot_time()
        return answer

    async def append(self, topic, partition, records, producer, sequence):
        """Append pairs of key and value and return the offset of the first.

        Without records, only the epoch of ``producer`` is registered. Raises
        ``StoreFencedError`` when the store has seen a higher epoch,
        ``StoreSequenceError`` when ``sequence`` is not the next one,
        ``StoreRefusedError`` when certainly nothing was appended and
        ``StoreNoResponseError`` when that is not known.
        """
        query = {
            "topic": wire_topic(topic),
            "part": partition,
            "producer": producer.name,
            "epoch": producer.epoch,
            "sequence": sequence,
        }
        body = b"".join(encode_keyed_record(key, value) for key, value in records)
        status, content = await self._send_append(query, body)
        if status == http.HTTPStatus.OK:
            answer = decode_appended(content)
            if "offset" not in answer and records:
                raise StoreNoResponseError("log-append: the answer has no offset")
            return answer.get("offset", answer.get("end"))
        if status == http.HTTPStatus.CONFLICT:
            answer = decode_conflict(content)
            if answer.get("reason") == "seq":
                expected = answer.get("sequence") or sequence
                raise StoreSequenceError("out of sequence", expected)
            raise StoreFencedError(
                f"a higher epoch than {producer.epoch} of {producer.name} has written"
            )
        raise StoreRefusedError(
            f"log-append refused with status {status}: {content[:200]}"
        )

    async def _send_append(self, query, body):
        """Send an append; its timeout follows how long the last ones took.

        It grows only if the store answers other calls meanwhile: appends wait for each
        other then. A store that is silent may have lost the append.
        """
        transfer = 0.0 if self.append_rate is None else len(body) / self.append_rate
        waited, sent_at = self.append_timeout.seconds, boot_time()
        try:
            status, content = await self._call(
                "POST", "log-append", query, body, waited + transfer
            )
        except StoreError as error:
            if error.__cause__.timed_out and self.group.answered_at > sent_at:
                self.append_timeout.record_no_answer(waited)
            elif error.__cause__.timed_out:
                self.append_timeout.reset()
            raise
        if status == http.HTTPStatus.OK:
            self.append_timeout.record_answer(boot_time() - sent_at - transfer)
        return status, content

    async def read(self, topic, partition, start, wait=0.0):
        """Return the ``ReadRecords`` from offset ``start`` on.

        When there are none yet, the store waits up to ``wait`` seconds for one. Raises
        ``OffsetOutOfRangeError`` when the store has deleted the record at ``start``.
        """
        found = await self._read(topic, partition, start, wait, self.max_kilobytes)
        if not found.records and found.end > start:
            # The next record alone may be longer than what was asked for.
            found = await self._read(topic, partition, start, 0.0, MAX_READ_KILOBYTES)
        return found

    async def _read(self, topic, partition, start, wait, max_kilobytes):
        query = {
            "topic": wire_topic(topic),
            "part": partition,
            "from": start,
            "maxKb": max_kilobytes,
            "waitMs": int(wait * 1000),
        }
        timeout = CALL_TIMEOUT_SECONDS + wait
        status, content = await self._download("log-read", query, timeout)
        if status == http.HTTPStatus.GONE:
            first = decode_gone(content).get("first", start)
            raise OffsetOutOfRangeError(
                f"{topic} is no longer kept before offset {first}", first
            )
        if status == http.HTTPStatus.NOT_FOUND:
            return ReadRecords((), start)
        if status != http.HTTPStatus.OK:
            raise StoreRefusedError(
                f"log-read refused with status {status}: {content[:200]}"
            )
        return decode_records(content, start)

    async def newest(self, topic, partition, after=None):
        """Return one page of the newest record of each key, in the order of the keys.

        ``after`` is the last key of the page before. The pages are read at different
        times, so they are not a consistent snapshot: continue to read from the end that
        was returned with the first one.
        """
        query = {"topic": wire_topic(topic), "part": partition}
        if after is not None:
            query["after"] = after
        async with self.group.page_turns:
            status, content = await self._download(
                "log-newest", query, self.page_timeout
            )
        if status == http.HTTPStatus.NOT_FOUND:
            return ReadRecords((), 0)
        if status != http.HTTPStatus.OK:
            raise StoreRefusedError(f"log-newest refused with status {status}")
        page = decode_newest(content)
        records = tuple(
            StoredRecord(item["key"], item.get("value") or b"", item["offset"])
            for item in page["items"]
        )
        return ReadRecords(records, page["end"], bool(page.get("hasMore")))

    async def join(self, group, member, topics, generation, member_timeout):
        """Join a group or renew the membership; return the ``Membership``.

        The store reassigns the member's partitions when it does not join again within
        ``member_timeout`` seconds.
        """
        body = msgspec.json.encode(
            {
                "group": group,
                "member": member,
                "topics": [wire_topic(topic) for topic in topics],
                "ttlMs": int(member_timeout * 1000),
                "generation": generation,
            }
        )
        status, content = await self._call(
            "POST", "log-join", {}, body, JOIN_TIMEOUT_SECONDS
        )
        if status != http.HTTPStatus.OK:
            raise StoreRefusedError(
                f"log-join refused with status {status}: {content[:200]}"
            )
        answer = decode_joined(content)
        owned = frozenset(
            (topic_from_wire(row.topic), row.partition) for row in answer["parts"]
        )
        return Membership(answer["generation"], owned)

    async def owners(self, group):
        """Return the member that holds each partition of a group.

        The keys are pairs of topic and partition number; free partitions are left out.
        """
        status, content = await self._call(
            "GET", "log-owners", {"group": group}, timeout=JOIN_TIMEOUT_SECONDS
        )
        if status == http.HTTPStatus.NOT_FOUND:
            return {}
        if status != http.HTTPStatus.OK:
            raise StoreRefusedError(f"log-owners refused with status {status}")
        return {
            (topic_from_wire(row.topic), row.partition): row.member
            for row in decode_owners(content)["parts"]
            if row.member
        }

    async def leave(self, group, member):
        """Leave a group, so that other members get its partitions immediately."""
        body = msgspec.json.encode({"group": group, "member": member})
        await self._call("POST", "log-leave", {}, body)

    async def close(self):
        """Close the connection; may be called twice."""
        await self.connection.close()
