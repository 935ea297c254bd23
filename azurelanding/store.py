"""Define the records and errors of the store that the platform runs.

The store is a log of topics, each with partitions. A compacted topic retains the
newest record of each key. ``azurelanding.platform.store`` is the client.
"""

import attrs


class StoreError(Exception):
    """A call to the store failed."""


class StoreRefusedError(StoreError):
    """The call had no effect: the store is down, overloaded or unreachable."""


class StoreNoResponseError(StoreError):
    """There was no response: the call may have taken effect, or may do so later."""


class StoreFencedError(StoreError):
    """A producer with a higher epoch has written to the partition."""


class StoreSequenceError(StoreError):
    """The partition expects ``expected`` as the next sequence number."""

    def __init__(self, message, expected):
        super().__init__(message)
        self.expected = expected


class OffsetOutOfRangeError(StoreError):
    """The requested records are no longer retained; ``first`` is the oldest offset."""

    def __init__(self, message, first):
        super().__init__(message)
        self.first = first


class StoredRecordError(ValueError):
    """A stored record can't be read; others of its topic are not affected."""


@attrs.frozen
class StoredRecord:
    """One keyed record; ``value`` is ``None`` if the key was removed."""

    key: str
    value: bytes | None
    offset: int


def stored_records(records, offset):
    """Return pairs of key and value as ``StoredRecord``s, the first at ``offset``."""
    return [
        StoredRecord(key, value, offset + index)
        for index, (key, value) in enumerate(records)
    ]


@attrs.frozen
class ReadRecords:
    """The result of one read; ``end`` is the offset of the next append.

    ``has_more`` says whether more pages of newest records follow.
    """

    records: tuple[StoredRecord, ...]
    end: int
    has_more: bool = False


@attrs.frozen
class Producer:
    """The identity of a writer: of two with one name, the lower epoch is fenced."""

    name: str
    epoch: int


@attrs.frozen
class Membership:
    """The partitions that a group assigned to a member.

    ``generation`` increases with each change of the group; ``partitions`` are pairs of
    topic and partition.
    """

    generation: int
    partitions: frozenset[tuple[str, int]]
