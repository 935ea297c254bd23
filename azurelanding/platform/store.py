"""Speak to the platform's store: a log of topics over HTTP."""

import base64
import http
import struct
import urllib.parse

import msgspec

from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.store import (
    Membership,
    OffsetOutOfRangeError,
    ReadRecords,
    StoredRecord,
    StoreFencedError,
    StoreNoResponseError,
    StoreRefusedError,
    StoreSequenceError,
)

LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
COMPACTED_PREFIX = "keyed."
CALL_TIMEOUT_SECONDS = 1.2
"""Bounds a call; over the slowest answers of a store at 60 times its usual 4 ms."""
JOIN_TIMEOUT_SECONDS = 0.5
"""Bounds a join; under half of the shortest membership that is asked for, so that one
whose answer is lost can be repeated in time."""
SHARED_TOPICS = {
    "operator": "keyed.op",
    "workers": "keyed.servers",
    "status": "keyed.status",
}
"""The topics that the platform names: what the operator and the executors write, and
what the operator reads."""


def topic_name(topic):
    """Return the name on the wire of one of the product's topics."""
    return SHARED_TOPICS.get(topic, COMPACTED_PREFIX + topic)


def product_topic(name):
    """Return the product's topic that has ``name`` on the wire."""
    shared = {wire: topic for topic, wire in SHARED_TOPICS.items()}
    return shared.get(name, name.removeprefix(COMPACTED_PREFIX))


def encode_keyed_record(key, value):
    """Return one keyed record; without a value it drops the key."""
    name = key.encode()
    content = bytes((len(name),)) + name + (value or b"")
    return LENGTH.pack(len(content)) + content


def decode_records(content, start):
    """Return ``ReadRecords`` from the answer to a read from offset ``start``."""
    end, first = READ_HEADER.unpack_from(content)
    position, offset, records = READ_HEADER.size, max(start, first), []
    while position + LENGTH.size <= len(content):
        (length,) = LENGTH.unpack_from(content, position)
        position += LENGTH.size
        record = content[position : position + length]
        position += length
        key_length = record[0] if record else 0
        key = record[1 : 1 + key_length].decode(errors="replace")
        records.append(StoredRecord(key, record[1 + key_length :] or None, offset))
        offset += 1
    return ReadRecords(tuple(records), end)


def _decode_json(content, what):
    try:
        return msgspec.json.decode(content)
    except msgspec.DecodeError as error:
        raise StoreNoResponseError(f"{what}: {error}") from error


class StoreClient:
    """One connection to the store, one call at a time.

    Each task that talks to the store holds a client of its own.
    """

    def __init__(self, connection):
        self.connection = connection

    @classmethod
    def from_config(cls, limits):
        """Return a client of the store that ``limits`` name."""
        return cls(HttpClient(limits.address, CALL_TIMEOUT_SECONDS))

    async def _call(self, method, name, query, body=b"", timeout=CALL_TIMEOUT_SECONDS):
        target = (
            f"/v1/{name}?{urllib.parse.urlencode(query)}" if query else f"/v1/{name}"
        )
        headers = (("Content-Type", "application/json"),) if body else ()
        try:
            return await self.connection.request(method, target, body, headers, timeout)
        except HttpClientError as error:
            lost = StoreNoResponseError if error.sent else StoreRefusedError
            raise lost(f"{name}: {error}") from error

    async def append(self, topic, partition, records, producer, sequence):
        """Append pairs of key and value and return the offset of the first.

        Without records only the epoch of ``producer`` is set. Raises
        ``StoreFencedError`` when a higher epoch was seen, ``StoreSequenceError``
        when ``sequence`` does not follow, ``StoreRefusedError`` when surely nothing
        was appended and ``StoreNoResponseError`` when that is not known.
        """
        query = {
            "topic": topic_name(topic),
            "part": partition,
            "producer": producer.name,
            "epoch": producer.epoch,
            "sequence": sequence,
        }
        body = b"".join(encode_keyed_record(key, value) for key, value in records)
        status, content = await self._call("POST", "log-append", query, body)
        if status == http.HTTPStatus.OK:
            answer = _decode_json(content, "log-append")
            return answer.get("offset", answer.get("end"))
        if status == http.HTTPStatus.CONFLICT:
            answer = _decode_json(content, "log-append")
            if answer.get("reason") == "seq":
                expected = answer.get("sequence", sequence)
                raise StoreSequenceError("out of sequence", expected)
            raise StoreFencedError(f"epoch {producer.epoch} of {producer.name}")
        raise StoreRefusedError(f"log-append refused with {status}: {content[:200]}")

    async def read(self, topic, partition, start, wait=0.0):
        """Return the ``ReadRecords`` from offset ``start`` on.

        With none there yet the store waits up to ``wait`` seconds for one. Raises
        ``OffsetOutOfRangeError`` when they are no longer kept.
        """
        query = {
            "topic": topic_name(topic),
            "part": partition,
            "from": start,
            "waitMs": int(wait * 1000),
        }
        timeout = CALL_TIMEOUT_SECONDS + wait
        status, content = await self._call("GET", "log-read", query, timeout=timeout)
        if status == http.HTTPStatus.GONE:
            first = _decode_json(content, "log-read").get("first", start)
            raise OffsetOutOfRangeError(f"{topic} before {first} is gone", first)
        if status == http.HTTPStatus.NOT_FOUND:
            return ReadRecords((), start)
        if status != http.HTTPStatus.OK:
            raise StoreRefusedError(f"log-read refused with {status}: {content[:200]}")
        try:
            return decode_records(content, start)
        except (struct.error, IndexError) as error:
            raise StoreNoResponseError(f"log-read: {error}") from error

    async def newest(self, topic, partition):
        """Return the newest record of each key, and the end at the first page.

        The pages are no snapshot: follow from the returned end.
        """
        records, end, after = [], None, None
        while True:
            query = {"topic": topic_name(topic), "part": partition}
            if after is not None:
                query["after"] = after
            status, content = await self._call("GET", "log-newest", query)
            if status == http.HTTPStatus.NOT_FOUND:
                return ReadRecords((), 0)
            if status != http.HTTPStatus.OK:
                raise StoreRefusedError(f"log-newest refused with {status}")
            page = _decode_json(content, "log-newest")
            end = page["end"] if end is None else end
            for item in page["items"]:
                value = base64.b64decode(item.get("value") or "")
                records.append(StoredRecord(item["key"], value, item["offset"]))
                after = item["key"]
            if not page.get("hasMore"):
                return ReadRecords(tuple(records), end)

    async def join(self, group, member, topics, generation, silence):
        """Join a group or stay in it; return the ``Membership``.

        The store takes the member's partitions away after ``silence`` seconds.
        """
        body = msgspec.json.encode(
            {
                "group": group,
                "member": member,
                "topics": [topic_name(topic) for topic in topics],
                "ttlMs": int(silence * 1000),
                "generation": generation,
            }
        )
        status, content = await self._call(
            "POST", "log-join", {}, body, JOIN_TIMEOUT_SECONDS
        )
        if status != http.HTTPStatus.OK:
            raise StoreRefusedError(f"log-join refused with {status}: {content[:200]}")
        answer = _decode_json(content, "log-join")
        owned = frozenset((product_topic(row[0]), row[1]) for row in answer["parts"])
        return Membership(answer["generation"], owned)

    async def owners(self, group):
        """Return the members that hold partitions of a group, by partition."""
        status, content = await self._call("GET", "log-owners", {"group": group})
        if status == http.HTTPStatus.NOT_FOUND:
            return {}
        if status != http.HTTPStatus.OK:
            raise StoreRefusedError(f"log-owners refused with {status}")
        rows = _decode_json(content, "log-owners")["parts"]
        return {
            (product_topic(topic), number): member
            for topic, number, member, _ in rows
            if member
        }

    async def leave(self, group, member):
        """Leave a group, so that others get its partitions at once."""
        body = msgspec.json.encode({"group": group, "member": member})
        await self._call("POST", "log-leave", {}, body)

    async def close(self):
        """Close the connection; may be called twice."""
        await self.connection.close()
