"""Stand in for the platform's store: topics, compaction, producers and groups.

``StoreModel`` keeps the records; ``client()`` returns what the product uses in place
of ``azurelanding.platform.store.StoreClient``, and ``app`` serves the same over HTTP.
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

REMEMBERED_APPENDS = 5
"""Appends of a producer whose answer the store repeats."""
PAGE_RECORDS = 500
"""Records on one page of the newest of each key."""
MAX_BODY_BYTES = 2_097_152


@attrs.define
class StoreKnobs:
    """The faults of the store.

    ``refuse`` answers everything with a refusal. ``lose_answers`` counts appends
    that are carried out without an answer, ``late_appends`` those that are carried
    out only with ``StoreModel.release``. Each second join that is carried out gets no
    answer for ``join_silence`` seconds, if that is not 0.
    """

    refuse: bool = False
    lose_answers: int = 0
    late_appends: int = 0
    join_silence: float = 0.0


@attrs.define(eq=False)
class Partition:
    """The records of one partition; ``first`` is the oldest offset kept."""

    first: int = 0
    records: list = attrs.field(factory=list)
    newest: dict = attrs.field(factory=dict)
    epochs: dict = attrs.field(factory=dict)
    answers: dict = attrs.field(factory=dict)
    changes: Notifier = attrs.field(factory=Notifier)

    @property
    def end(self):
        """Return the offset that the next record gets."""
        return self.first + len(self.records)

    def _check(self, producer, sequence):
        """Return a repeated answer, or ``None``; raise when out of order."""
        epoch, last = self.epochs.get(producer.name, (0, None))
        if producer.epoch < epoch:
            raise StoreFencedError(f"epoch {producer.epoch} is below {epoch}")
        answers = self.answers.setdefault((producer.name, producer.epoch), {})
        if producer.epoch == epoch and sequence in answers:
            return answers[sequence]
        if producer.epoch == epoch and last is not None and sequence != last + 1:
            raise StoreSequenceError("out of sequence", last + 1)
        return None

    def append(self, records, producer, sequence):
        """Append pairs of key and value and return the offset of the first."""
        if not records:
            epoch, last = self.epochs.get(producer.name, (0, None))
            if producer.epoch < epoch:
                raise StoreFencedError(f"epoch {producer.epoch} is below {epoch}")
            if producer.epoch > epoch:
                self.epochs[producer.name] = (producer.epoch, None)
            return self.end
        known = self._check(producer, sequence)
        if known is not None:
            return known
        offset = self.end
        for key, value in records:
            record = StoredRecord(key, value or None, self.end)
            self.records.append(record)
            self.newest[key] = record
            if not value:
                del self.newest[key]
        self.epochs[producer.name] = (producer.epoch, sequence)
        answers = self.answers[producer.name, producer.epoch]
        answers[sequence] = offset
        for old in list(answers)[:-REMEMBERED_APPENDS]:
            del answers[old]
        self.changes.notify()
        return offset

    def forget_history(self):
        """Drop all records but the newest of each key."""
        self.first, self.records = self.end, []
        self.changes.notify()


@attrs.define(eq=False)
class Group:
    """The members of a group with the end of their silence, and who holds what."""

    generation: int = 0
    members: dict = attrs.field(factory=dict)
    held: dict = attrs.field(factory=dict)


class StoreModel:
    """The store in memory, with knobs."""

    def __init__(self, partitions=4):
        self.knobs = StoreKnobs()
        self.partition_count = partitions
        self.partitions = collections.defaultdict(Partition)
        self.groups = collections.defaultdict(Group)
        self.late = []

    def client(self):
        """Return a client that speaks to this store without a network."""
        return ModelClient(self)

    def put(self, topic, key, value):
        """Write a record as the operator or a worker does."""
        partition = self.partitions[topic, 0]
        last = partition.epochs.get("platform", (1, 0))[1]
        partition.append([(key, value)], Producer("platform", 1), last + 1)

    def forget_history(self):
        """Drop the history of every partition."""
        for partition in self.partitions.values():
            partition.forget_history()

    def release(self):
        """Carry out the appends that were held back, if they still may be."""
        late, self.late = self.late, []
        for partition, records, producer, sequence in late:
            try:
                partition.append(records, producer, sequence)
            except (StoreFencedError, StoreSequenceError):
                continue

    def deal(self, name, topics):
        """Deal the partitions of ``topics`` evenly over the group's members."""
        group = self.groups[name]
        group.generation += 1
        members = sorted(group.members)
        parts = [(t, p) for t in topics for p in range(self.partition_count)]
        group.held = {
            part: members[number % len(members)]
            for number, part in enumerate(parts)
            if members
        }

    def join(self, name, member, topics, silence):
        """Join a group or stay in it; silent members lose their partitions."""
        group, now = self.groups[name], boot_time()
        gone = [other for other, until in group.members.items() if until < now]
        for other in gone:
            del group.members[other]
        is_new = member not in group.members
        group.members[member] = now + silence
        if is_new or gone:
            self.deal(name, topics)
        held = {part for part, holder in group.held.items() if holder == member}
        return Membership(group.generation, frozenset(held))

    def owners(self, name):
        """Return who holds each partition of a group, members that lapsed left out."""
        group, now = self.groups[name], boot_time()
        return {
            part: holder
            for part, holder in group.held.items()
            if group.members.get(holder, 0.0) >= now
        }

    def leave(self, name, member):
        """Take a member out of a group and deal its partitions to the others."""
        group = self.groups[name]
        if group.members.pop(member, None) is not None:
            self.deal(name, sorted({topic for topic, _ in group.held}))

    async def app(self, scope, receive, send):
        """Serve the store over HTTP as the platform's pages describe it."""
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        values = {name: texts[0] for name, texts in query.items()}
        if self.knobs.refuse:
            await knobs_module.send_json(send, http.HTTPStatus.SERVICE_UNAVAILABLE, {})
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
            left = msgspec.json.decode(body)
            self.leave(left["group"], left["member"])
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
            split = 1 + content[0]
            records.append((content[1:split].decode(), content[split:]))
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
        for record in partition.records[start - partition.first :]:
            key = record.key.encode()
            content = bytes((len(key),)) + key + (record.value or b"")
            chunks.append(struct.pack(">I", len(content)) + content)
        await http_server.send_reply(send, http.HTTPStatus.OK, (), b"".join(chunks))

    async def _serve_newest(self, values, send):
        partition = self._partition(values)
        keys = sorted(key for key in partition.newest if key > values.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(partition.newest[key].value).decode(),
                "offset": partition.newest[key].offset,
            }
            for key in keys[:PAGE_RECORDS]
        ]
        answer = {"items": items, "end": partition.end}
        answer["hasMore"] = len(keys) > PAGE_RECORDS
        await knobs_module.send_json(send, http.HTTPStatus.OK, answer)

    async def _serve_join(self, values, send):
        membership = self.join(
            values["group"], values["member"], values["topics"], values["ttlMs"] / 1000
        )
        parts = [[topic, part, 0] for topic, part in sorted(membership.partitions)]
        answer = {"generation": membership.generation, "parts": parts}
        await knobs_module.send_json(send, http.HTTPStatus.OK, answer)

    async def _serve_owners(self, values, send):
        owners = self.owners(values["group"])
        rows = [[*part, member, 0] for part, member in sorted(owners.items())]
        await knobs_module.send_json(send, http.HTTPStatus.OK, {"parts": rows})


class ModelClient:
    """Speaks to a ``StoreModel``; ``cut`` refuses just this client."""

    def __init__(self, model):
        self.model = model
        self.cut = False
        self.join_count = 0

    async def _pass(self):
        await anyio.lowlevel.checkpoint()
        if self.cut or self.model.knobs.refuse:
            raise StoreRefusedError("the store is down")

    async def append(self, topic, partition, records, producer, sequence):
        """Append as ``StoreClient.append`` does."""
        await self._pass()
        knobs, target = self.model.knobs, self.model.partitions[topic, partition]
        if records and knobs.late_appends:
            knobs.late_appends -= 1
            self.model.late.append((target, list(records), producer, sequence))
            raise StoreNoResponseError("no answer")
        offset = target.append(list(records), producer, sequence)
        if records and knobs.lose_answers:
            knobs.lose_answers -= 1
            raise StoreNoResponseError("no answer")
        return offset

    async def read(self, topic, partition, start, wait=0.0):
        """Read as ``StoreClient.read`` does."""
        await self._pass()
        source = self.model.partitions[topic, partition]
        with anyio.move_on_after(wait):
            await source.changes.wait_until(lambda: source.end > start)
        await self._pass()
        if start < source.first:
            raise OffsetOutOfRangeError("history is gone", source.first)
        return ReadRecords(tuple(source.records[start - source.first :]), source.end)

    async def newest(self, topic, partition):
        """Return the newest records as ``StoreClient.newest`` does."""
        await self._pass()
        source = self.model.partitions[topic, partition]
        return ReadRecords(tuple(source.newest.values()), source.end)

    async def join(self, group, member, topics, generation, silence):
        """Join as ``StoreClient.join`` does."""
        await self._pass()
        membership = self.model.join(group, member, topics, silence)
        self.join_count += 1
        if self.model.knobs.join_silence and self.join_count % 2:
            await anyio.sleep(self.model.knobs.join_silence)
            raise StoreNoResponseError("no answer")
        return membership

    async def leave(self, group, member):
        """Leave as ``StoreClient.leave`` does."""
        await self._pass()
        self.model.leave(group, member)

    async def owners(self, group):
        """Return who has partitions as ``StoreClient.owners`` does."""
        await self._pass()
        return self.model.owners(group)

    async def close(self):
        """Do nothing: there is no connection."""
