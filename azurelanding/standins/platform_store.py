"""Stand in for the platform's store: topics, compaction, producers and groups.

``StoreModel`` keeps the records in memory. ``client()`` returns a substitute for
``azurelanding.platform.store.StoreClient``, and ``app`` serves the same over HTTP.
"""

import base64
import collections
import http
import struct
import urllib.parse

import anyio
import anyio.lowlevel
import attrs
import msgspec

from azurelanding import http_server
from azurelanding.standins import knobs as knobs_module
from azurelanding.store import (
    Membership,
    OffsetOutOfRangeError,
    Producer,
    ReadRecords,
    StoredRecord,
    StoreFencedError,
    StoreNoResponseError,
    StoreRefusedError,
    StoreSequenceError,
)
from azurelanding.utils import Notifier, boot_time

SILENT_SECONDS = 0.3
"""How long the clients of a test wait for a silent store."""
DEDUPLICATED_APPENDS = 5
"""Number of the latest appends per producer and epoch that the store deduplicates.

A repeated sequence number among them gets the offset of the first append again.
"""
PAGE_RECORDS = 500
"""Maximum number of records on one page of ``log-newest``."""
DEFAULT_READ_KILOBYTES = 1024
MAX_BODY_BYTES = 2_097_152


@attrs.define
class StoreKnobs:
    """The injected faults of the store.

    ``refuse`` refuses every call, ``silent`` leaves them unanswered and without effect.
    ``lose_replies`` is the number of appends still to
    be applied without a response, ``delay_appends`` the number of appends still to be
    delayed until ``StoreModel.release``. If ``unanswered_join_seconds`` is not 0,
    every other join is applied but fails as unanswered after that many seconds. If
    ``unanswered_owners_seconds`` is not 0, every read of the holders does. Over HTTP,
    every call has no effect and is answered with ``odd_answer``, if there is one.
    """

    refuse: bool = False
    silent: bool = False
    lose_replies: int = 0
    delay_appends: int = 0
    unanswered_join_seconds: float = 0.0
    unanswered_owners_seconds: float = 0.0
    odd_answer: bytes | None = None


@attrs.define(eq=False)
class Partition:
    """The records of one partition.

    ``first`` is the oldest offset kept, ``newest`` the newest record by key.
    ``producer_states`` holds the highest epoch and the last sequence number by name
    of the producer, ``append_offsets`` the offsets of the latest appends by name and
    epoch.
    """

    first: int = 0
    records: list = attrs.field(factory=list)
    newest: dict = attrs.field(factory=dict)
    producer_states: dict = attrs.field(factory=dict)
    append_offsets: dict = attrs.field(factory=dict)
    changes: Notifier = attrs.field(factory=Notifier)

    @property
    def end(self):
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def _check_sequence(self, producer, sequence):
        """Return the offset of a repeated append, or ``None`` for a new one.

        Raises ``StoreFencedError`` for an old epoch and ``StoreSequenceError`` for a
        sequence number that doesn't follow the last one.
        """
        epoch, last = self.producer_states.get(producer.name, (0, None))
        if producer.epoch < epoch:
            raise StoreFencedError(f"epoch {producer.epoch} is below epoch {epoch}")
        offsets = self.append_offsets.setdefault((producer.name, producer.epoch), {})
        if producer.epoch == epoch and sequence in offsets:
            return offsets[sequence]
        if producer.epoch == epoch and last is not None and sequence != last + 1:
            raise StoreSequenceError("sequence number out of order", last + 1)
        return None

    def append(self, records, producer, sequence):
        """Append pairs of key and value and return the offset of the first.

        An empty value deletes its key. An empty list of records only announces the
        epoch of ``producer``, which fences lower epochs.
        """
        if not records:
            epoch, last = self.producer_states.get(producer.name, (0, None))
            if producer.epoch < epoch:
                raise StoreFencedError(f"epoch {producer.epoch} is below epoch {epoch}")
            if producer.epoch > epoch:
                self.producer_states[producer.name] = (producer.epoch, None)
            return self.end
        repeated_offset = self._check_sequence(producer, sequence)
        if repeated_offset is not None:
            return repeated_offset
        offset = self.end
        for key, value in records:
            record = StoredRecord(key, value or None, self.end)
            self.records.append(record)
            self.newest[key] = record
            if not value:
                del self.newest[key]
        self.producer_states[producer.name] = (producer.epoch, sequence)
        offsets = self.append_offsets[producer.name, producer.epoch]
        offsets[sequence] = offset
        for old_sequence in list(offsets)[:-DEDUPLICATED_APPENDS]:
            del offsets[old_sequence]
        self.changes.notify()
        return offset

    def page(self, after):
        """Return the page of the newest records whose keys are after ``after``."""
        keys = sorted(key for key in self.newest if key > after)
        records = tuple(self.newest[key] for key in keys[:PAGE_RECORDS])
        return ReadRecords(records, self.end, len(keys) > PAGE_RECORDS)

    def compact(self):
        """Drop all records from the log; the newest of each key stay in ``newest``."""
        self.trim(0)

    def trim(self, count):
        """Drop all but the last ``count`` records from the log."""
        kept = self.records[max(0, len(self.records) - count) :]
        self.first, self.records = self.end - len(kept), kept
        self.changes.notify()


@attrs.define(eq=False)
class Group:
    """A consumer group.

    ``members`` holds the boot time at which each membership expires, ``assigned`` the
    member that is to hold each pair of topic and partition, and ``held`` the one that
    does. ``revoked`` holds the generation at which a held partition was assigned to
    another member, which gets it once the holder has learned of that.
    """

    generation: int = 0
    members: dict = attrs.field(factory=dict)
    assigned: dict = attrs.field(factory=dict)
    held: dict = attrs.field(factory=dict)
    revoked: dict = attrs.field(factory=dict)

    def hand_over(self, member, generation):
        """Return the partitions of a member that knows of ``generation``.

        It gives up what was assigned to others up to then, and gets what is free.
        """
        for partition, revoked_at in list(self.revoked.items()):
            if self.held[partition] == member and generation >= revoked_at:
                del self.held[partition], self.revoked[partition]
        own = [p for p, holder in self.assigned.items() if holder == member]
        return frozenset(p for p in own if self.held.setdefault(p, member) == member)


class StoreModel:
    """The store in memory; ``knobs`` injects faults."""

    def __init__(self, partitions=4):
        self.knobs = StoreKnobs()
        self.partition_count = partitions
        self.partitions = collections.defaultdict(Partition)
        self.groups = collections.defaultdict(Group)
        self.delayed = []

    def client(self):
        """Return a client that calls this store directly, without a network."""
        return ModelClient(self)

    def put(self, topic, key, value):
        """Write a record as the platform's operator or a worker does."""
        partition = self.partitions[topic, 0]
        last = partition.producer_states.get("platform", (1, 0))[1]
        partition.append([(key, value)], Producer("platform", 1), last + 1)

    def compact(self):
        """Compact every partition."""
        for partition in self.partitions.values():
            partition.compact()

    def release(self):
        """Apply the delayed appends; those that are now fenced or stale are dropped."""
        delayed, self.delayed = self.delayed, []
        for partition, records, producer, sequence in delayed:
            try:
                partition.append(records, producer, sequence)
            except (StoreFencedError, StoreSequenceError):
                continue

    def assign(self, name, topics):
        """Assign the partitions of ``topics`` evenly to the group's members.

        What is assigned away from a member is still held by it.
        """
        group = self.groups[name]
        group.generation += 1
        members = sorted(group.members)
        partitions = [(t, p) for t in topics for p in range(self.partition_count)]
        group.assigned = {
            partition: members[index % len(members)]
            for index, partition in enumerate(partitions)
            if members
        }
        group.held = {p: m for p, m in group.held.items() if m in group.members}
        group.revoked = {
            partition: group.revoked.get(partition, group.generation)
            for partition, holder in group.held.items()
            if group.assigned.get(partition) != holder
        }

    def join(self, name, member, topics, member_timeout, generation=0):
        """Join a group or renew a membership, for ``member_timeout`` seconds.

        ``generation`` is the last one that the member received. Partitions of members
        whose timeout has passed are assigned to the others.
        """
        group, now = self.groups[name], boot_time()
        expired = [
            other for other, expires_at in group.members.items() if expires_at < now
        ]
        for other in expired:
            del group.members[other]
            group.held = {p: m for p, m in group.held.items() if m != other}
        is_new = member not in group.members
        group.members[member] = now + member_timeout
        if is_new or expired:
            self.assign(name, topics)
        return Membership(group.generation, group.hand_over(member, generation))

    def owners(self, name):
        """Return the holder of each partition of a group, without expired members."""
        group, now = self.groups[name], boot_time()
        return {
            partition: holder
            for partition, holder in group.held.items()
            if group.members.get(holder, 0.0) >= now
        }

    def leave(self, name, member):
        """Remove a member from a group and assign its partitions to the others."""
        group = self.groups[name]
        if group.members.pop(member, None) is not None:
            self.assign(name, sorted({topic for topic, _ in group.assigned}))

    async def app(self, scope, receive, send):
        """Serve the store over HTTP like the platform."""
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        values = {name: texts[0] for name, texts in query.items()}
        if self.knobs.refuse:
            await knobs_module.send_json(send, http.HTTPStatus.SERVICE_UNAVAILABLE, {})
            return
        if self.knobs.odd_answer is not None:
            answer = self.knobs.odd_answer
            await http_server.send_reply(send, http.HTTPStatus.OK, (), answer)
            return
        name = scope["path"].rpartition("/")[2]
        body = await http_server.read_body(receive, MAX_BODY_BYTES)
        if name == "log-append":
            await self._serve_append(values, body, send)
        elif name == "log-read":
            await self._serve_read(values, send)
        elif name == "log-newest":
            await self._serve_newest(values, send)
        elif name == "log-join":
            await self._serve_join(msgspec.json.decode(body), send)
        elif name == "log-owners":
            await self._serve_owners(values, send)
        elif name == "log-leave":
            request = msgspec.json.decode(body)
            self.leave(request["group"], request["member"])
            await knobs_module.send_json(send, http.HTTPStatus.OK, {})
        else:
            await knobs_module.send_json(send, http.HTTPStatus.OK, {})

    def _partition(self, values):
        return self.partitions[values["topic"], int(values["part"])]

    async def _serve_append(self, values, body, send):
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            key_end = 1 + content[0]
            records.append((content[1:key_end].decode(), content[key_end:]))
        producer = Producer(values["producer"], int(values["epoch"]))
        try:
            offset = self._partition(values).append(
                records, producer, int(values["sequence"])
            )
        except StoreFencedError:
            status, answer = http.HTTPStatus.CONFLICT, {"reason": "fenced"}
        except StoreSequenceError as error:
            status = http.HTTPStatus.CONFLICT
            answer = {"reason": "seq", "sequence": error.expected}
        else:
            status, answer = http.HTTPStatus.OK, {"offset": offset}
        await knobs_module.send_json(send, status, answer)

    async def _serve_read(self, values, send):
        partition, start = self._partition(values), int(values["from"])
        with anyio.move_on_after(int(values.get("waitMs", 0)) / 1000):
            await partition.changes.wait_until(lambda: partition.end > start)
        if start < partition.first:
            answer = {"first": partition.first}
            await knobs_module.send_json(send, http.HTTPStatus.GONE, answer)
            return
        chunks = [struct.pack(">QQ", partition.end, partition.first)]
        bytes_left = int(values.get("maxKb", DEFAULT_READ_KILOBYTES)) * 1024
        for record in partition.records[start - partition.first :]:
            key = record.key.encode()
            content = bytes((len(key),)) + key + (record.value or b"")
            bytes_left -= len(content)
            if bytes_left < 0 and len(chunks) > 1:
                break
            chunks.append(struct.pack(">I", len(content)) + content)
        await http_server.send_reply(send, http.HTTPStatus.OK, (), b"".join(chunks))

    async def _serve_newest(self, values, send):
        page = self._partition(values).page(values.get("after", ""))
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in page.records
        ]
        answer = {"items": items, "end": page.end, "hasMore": page.has_more}
        await knobs_module.send_json(send, http.HTTPStatus.OK, answer)

    async def _serve_join(self, values, send):
        membership = self.join(
            values["group"],
            values["member"],
            values["topics"],
            values["ttlMs"] / 1000,
            values["generation"],
        )
        parts = [[topic, part, 0] for topic, part in sorted(membership.partitions)]
        answer = {"generation": membership.generation, "parts": parts}
        await knobs_module.send_json(send, http.HTTPStatus.OK, answer)

    async def _serve_owners(self, values, send):
        owners = self.owners(values["group"])
        rows = [[*part, member, 0] for part, member in sorted(owners.items())]
        await knobs_module.send_json(send, http.HTTPStatus.OK, {"parts": rows})


class ModelClient:
    """Client of a ``StoreModel``.

    ``cut`` makes the calls of this client fail, and ``delays_appends`` leaves its
    appends unanswered until ``StoreModel.release`` applies them.
    """

    def __init__(self, model):
        self.model = model
        self.cut = False
        self.delays_appends = False
        self.join_count = 0

    async def _check_reachable(self):
        await anyio.lowlevel.checkpoint()
        if self.cut or self.model.knobs.refuse:
            raise StoreRefusedError("the store refuses calls")
        if self.model.knobs.silent:
            await anyio.sleep(SILENT_SECONDS)
            raise StoreNoResponseError("no response from the store")

    async def append(self, topic, partition, records, producer, sequence):
        """Append as ``StoreClient.append`` does."""
        await self._check_reachable()
        knobs, target = self.model.knobs, self.model.partitions[topic, partition]
        if records and (self.delays_appends or knobs.delay_appends):
            knobs.delay_appends = max(0, knobs.delay_appends - 1)
            self.model.delayed.append((target, list(records), producer, sequence))
            raise StoreNoResponseError("no response from the store")
        offset = target.append(list(records), producer, sequence)
        if records and knobs.lose_replies:
            knobs.lose_replies -= 1
            raise StoreNoResponseError("no response from the store")
        return offset

    async def read(self, topic, partition, start, wait=0.0):
        """Read as ``StoreClient.read`` does."""
        await self._check_reachable()
        source = self.model.partitions[topic, partition]
        with anyio.move_on_after(wait):
            await source.changes.wait_until(lambda: source.end > start)
        await self._check_reachable()
        if start < source.first:
            raise OffsetOutOfRangeError(
                "the start offset is no longer kept", source.first
            )
        return ReadRecords(tuple(source.records[start - source.first :]), source.end)

    async def newest(self, topic, partition, after=None):
        """Return the newest records as ``StoreClient.newest`` does."""
        await self._check_reachable()
        return self.model.partitions[topic, partition].page(after or "")

    async def join(self, group, member, topics, generation, member_timeout):
        """Join as ``StoreClient.join`` does."""
        await self._check_reachable()
        membership = self.model.join(group, member, topics, member_timeout, generation)
        self.join_count += 1
        if self.model.knobs.unanswered_join_seconds and self.join_count % 2:
            await anyio.sleep(self.model.knobs.unanswered_join_seconds)
            raise StoreNoResponseError("no response from the store")
        return membership

    async def leave(self, group, member):
        """Leave as ``StoreClient.leave`` does."""
        await self._check_reachable()
        self.model.leave(group, member)

    async def owners(self, group):
        """Return the holders of partitions as ``StoreClient.owners`` does."""
        await self._check_reachable()
        if self.model.knobs.unanswered_owners_seconds:
            await anyio.sleep(self.model.knobs.unanswered_owners_seconds)
            raise StoreNoResponseError("no response from the store")
        return self.model.owners(group)

    async def close(self):
        """Do nothing: there is no connection."""
