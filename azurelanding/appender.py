"""Append to one partition of the store, each record surely once.

One task sends what has gathered since the last append. An append without an answer
is repeated under the same sequence number until the store has settled it, because it
may have been stored. A caller whose patience ends before that is told that the
outcome is unknown; one whose records surely were not sent is told so.
"""

import anyio
import attrs
import structlog

from azurelanding.store import (
    StoreError,
    StoreFencedError,
    StoreNoResponseError,
    StoreRefusedError,
    StoreSequenceError,
)
from azurelanding.utils import Notifier

logger = structlog.get_logger()

RETRY_SECONDS = 0.1
"""Pause before an append is repeated."""
MOST_BYTES = 500_000
"""Bytes of one append; a quarter of what the store takes, to keep each one quick."""


class NotStoredError(StoreError):
    """The records surely are not stored, and will not be."""


class OutcomeUnknownError(StoreError):
    """The records may be stored, or may be later."""


@attrs.define(eq=False)
class Entry:
    """Records that one caller wants stored together, and what came of it."""

    records: tuple
    give_up_at: float
    settled: anyio.Event = attrs.field(factory=anyio.Event)
    offset: int | None = None
    error: StoreError | None = None

    @property
    def size(self):
        """Return the bytes of the records, about."""
        return sum(len(key) + len(value or b"") + 5 for key, value in self.records)

    def settle(self, offset=None, error=None):
        """Tell the caller what came of its records."""
        self.offset, self.error = offset, error
        self.settled.set()


class Appender:
    """The appends of one producer to one partition, in order.

    ``on_fenced()`` is called when a producer of a higher epoch has written.
    """

    def __init__(self, topic, partition, client, producer, on_fenced=None):
        self.topic = topic
        self.partition = partition
        self.client = client
        self.producer = producer
        self.on_fenced = on_fenced
        self.sequence = 1
        self.waiting = []
        self.arrivals = Notifier()
        self.fenced = None
        self.succeeded_at = -1.0

    async def append(self, records, patience):
        """Store pairs of key and value together and return the first's offset.

        Raises ``NotStoredError`` when they surely are not stored and
        ``OutcomeUnknownError`` when that is unknown after ``patience`` seconds.
        """
        if self.fenced is not None:
            raise NotStoredError("overtaken by a higher epoch") from self.fenced
        entry = Entry(tuple(records), anyio.current_time() + patience)
        self.waiting.append(entry)
        self.arrivals.notify()
        with anyio.move_on_after(patience):
            await entry.settled.wait()
        if entry.error is not None:
            raise entry.error
        if entry.offset is not None:
            return entry.offset
        if entry in self.waiting:
            self.waiting.remove(entry)
            raise NotStoredError("not sent in time")
        raise OutcomeUnknownError("the store has not answered in time")

    def _take(self):
        """Return the entries of the next append."""
        batch, size = [], 0
        while self.waiting and (not batch or size + self.waiting[0].size <= MOST_BYTES):
            entry = self.waiting.pop(0)
            size += entry.size
            batch.append(entry)
        return batch

    async def run(self):
        """Send what callers want stored until cancelled."""
        while self.fenced is None:
            await self.arrivals.wait_until(lambda: bool(self.waiting))
            await self._send(self._take())

    async def _send(self, batch):
        """Append one batch and settle its entries."""
        records = [record for entry in batch for record in entry.records]
        is_unsure = False
        while True:
            try:
                offset = await self._append(records)
            except StoreNoResponseError as error:
                is_unsure = True
                logger.info("append unanswered, repeating", reason=str(error))
            except StoreRefusedError as error:
                if not is_unsure:
                    self._put_back(batch, error)
                    await anyio.sleep(RETRY_SECONDS)
                    return
            except StoreFencedError as error:
                self._overtaken(batch, error, is_unsure)
                return
            except StoreSequenceError as error:
                self._out_of_sequence(batch, error)
                return
            else:
                self._stored(batch, offset)
                return
            await anyio.sleep(RETRY_SECONDS)

    async def _append(self, records):
        return await self.client.append(
            self.topic, self.partition, records, self.producer, self.sequence
        )

    def _stored(self, batch, offset):
        self.sequence += 1
        self.succeeded_at = anyio.current_time()
        for entry in batch:
            entry.settle(offset)
            offset += len(entry.records)

    def _put_back(self, batch, error):
        """Keep what still has time for the next append, refuse the rest."""
        now = anyio.current_time() + RETRY_SECONDS
        for entry in batch:
            if entry.give_up_at <= now:
                entry.settle(error=NotStoredError(str(error)))
        self.waiting[:0] = [entry for entry in batch if not entry.settled.is_set()]

    def _overtaken(self, batch, error, is_unsure):
        self.fenced = error
        fault = OutcomeUnknownError if is_unsure else NotStoredError
        for entry in batch + self.waiting:
            entry.settle(error=fault(str(error)))
        self.waiting = []
        logger.warning("append fenced", producer=self.producer.name, reason=str(error))
        if self.on_fenced is not None:
            self.on_fenced()

    def _out_of_sequence(self, batch, error):
        """Follow the store's count; what was sent may or may not be stored."""
        logger.error(
            "append out of sequence",
            producer=self.producer.name,
            sequence=self.sequence,
            expected=error.expected,
        )
        self.sequence = error.expected
        for entry in batch:
            entry.settle(error=OutcomeUnknownError(str(error)))

    async def close(self):
        """Close the connection; may be called twice."""
        await self.client.close()
