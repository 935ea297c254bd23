"""Name what the product asks of the store that its platform runs.

The store is a log of topics, each with partitions. A compacted topic keeps the newest
record of each key. ``azurelanding.platform.store`` speaks to the real one.
"""

import attrs


class StoreError(Exception):
    """The store did not do what it was asked."""


class StoreRefusedError(StoreError):
    """The store surely did nothing, because it is down, overloaded or unreachable."""


class StoreNoResponseError(StoreError):
    """There was no answer: the call may have taken effect, or may do so later."""


class StoreFencedError(StoreError):
    """A writer with a higher epoch has written since."""


class StoreSequenceError(StoreError):
    """The partition expects ``expected`` as the next sequence number."""

    def __init__(self, message, expected):
        super().__init__(message)
        self.expected = expected


class OffsetOutOfRangeError(StoreError):
    """The records asked for are no longer kept; ``first`` is the oldest offset."""

    def __init__(self, message, first):
        super().__init__(message)
        self.first = first


@attrs.frozen
class StoredRecord:
    """One keyed record; ``value`` is ``None`` where the key was dropped."""

    key: str
    value: bytes | None
    offset: int


@attrs.frozen
class ReadRecords:
    """What one read returned; ``end`` is the offset that the next append gets."""

    records: tuple[StoredRecord, ...]
    end: int


@attrs.frozen
class Producer:
    """Who appends: of two with the same name the lower epoch is refused."""

    name: str
    epoch: int


@attrs.frozen
class Membership:
    """What a group gave to a member.

    ``generation`` rises with each change of the group; ``partitions`` are pairs of
    topic and partition.
    """

    generation: int
    partitions: frozenset[tuple[str, int]]
