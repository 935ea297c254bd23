"""Append to one partition of the store, each record exactly once.

One task sends the records that have queued up since the last append. An append without
a response may have been stored, so it is repeated under the same sequence number until
the store responds. A caller that times out before that gets ``OutcomeUnknownError``;
a caller whose records were certainly not stored gets ``NotStoredError``.

A caller that times out may have its request repeated by another process. An appender
that ``withdraws`` therefore ends an append when no caller waits for it any more: it
registers a higher epoch, with which the store rejects what arrives under the last one.
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

RETRY_DELAY_SECONDS = 0.1
"""Delay before the first repeat of an append."""
LONGEST_RETRY_DELAY_SECONDS = 0.2
"""Delay before further repeats. Those of 36 daemons to 5 pools are then no more than
900 a second, below what the store takes from all of them."""
MAX_BATCH_BYTES = 500_000
"""Limit of one append: a quarter of the store's limit, so that each append is fast."""
MAX_LOGGED_KEYS_COUNT = 20
"""Limit on the keys in one line of the log."""


class NotStoredError(StoreError):
    """The records are not stored and will not be."""


class OutcomeUnknownError(StoreError):
    """The records may be stored already, or may be stored later."""


@attrs.define(eq=False)
class PendingAppend:
    """Records that one caller stores together, and the result of the append."""

    records: tuple
    deadline: float
    settled: anyio.Event = attrs.field(factory=anyio.Event)
    offset: int | None = None
    error: StoreError | None = None

    @property
    def size(self):
        """Return the approximate size of the records in bytes."""
        return sum(len(key) + len(value or b"") + 5 for key, value in self.records)

    def settle(self, offset=None, error=None):
        """Set the result and wake the caller."""
        self.offset, self.error = offset, error
        self.settled.set()


def _is_overdue(batch):
    """Return whether the time of all callers of ``batch`` is over."""
    return anyio.current_time() >= max(pending.deadline for pending in batch)


class Appender:
    """Sends the appends of one producer to one partition, in order.

    ``on_fenced()`` is called when a producer with a higher epoch has written;
    ``fenced`` then holds the error. While ``may_send()`` is false, appends that are not
    sent yet fail at once, as certainly not stored. ``succeeded_at`` is when the last
    append succeeded. ``in_flight`` is the batch that is being sent. With ``withdraws``,
    a batch that may be stored is withdrawn once the time of all its callers is over.
    """

    def __init__(
        self,
        topic,
        partition,
        client,
        producer,
        on_fenced=None,
        may_send=lambda: True,
        withdraws=False,
    ):
        self.topic = topic
        self.partition = partition
        self.client = client
        self.producer = producer
        self.on_fenced = on_fenced
        self.may_send = may_send
        self.withdraws = withdraws
        self.is_epoch_registered = True
        self.sequence = 1
        self.waiting = []
        self.in_flight = []
        self.arrivals = Notifier()
        self.fenced = None
        self.succeeded_at = -1.0
        self.retry_delay = RETRY_DELAY_SECONDS

    async def append(self, records, max_wait):
        """Store pairs of key and value together and return the offset of the first.

        Raises ``NotStoredError`` when they are certainly not stored and
        ``OutcomeUnknownError`` when that is unknown after ``max_wait`` seconds.
        """
        if self.fenced is not None:
            raise NotStoredError("overtaken by a higher epoch") from self.fenced
        if not self.may_send():
            raise NotStoredError("the store has not answered lately")
        pending = PendingAppend(tuple(records), anyio.current_time() + max_wait)
        self.waiting.append(pending)
        self.arrivals.notify()
        with anyio.move_on_after(max_wait):
            await pending.settled.wait()
        if pending.error is not None:
            raise pending.error
        if pending.offset is not None:
            return pending.offset
        if pending in self.waiting:
            self.waiting.remove(pending)
            raise NotStoredError("not sent in time")
        raise OutcomeUnknownError("the store has not answered in time")

    def _next_batch(self):
        """Remove and return the pending appends of the next batch."""
        batch, size = [], 0
        while self.waiting and (
            not batch or size + self.waiting[0].size <= MAX_BATCH_BYTES
        ):
            pending = self.waiting.pop(0)
            size += pending.size
            batch.append(pending)
        return batch

    async def run(self):
        """Send pending appends until cancelled or fenced.

        It may be run again after an unexpected error. Whether the batch that was in
        flight is stored isn't known then, so neither is which sequence number is next:
        a higher epoch begins a new sequence.
        """
        if self.in_flight:
            self._abandon_in_flight()
        while self.fenced is None:
            await self.arrivals.wait_until(
                lambda: self.waiting or not self.is_epoch_registered
            )
            if not self.waiting:
                await self._register_epoch()
            elif self.may_send():
                self.in_flight = self._next_batch()
                await self._send(self.in_flight)
                self.in_flight = []
            else:
                self._fail_waiting()

    def _abandon_in_flight(self):
        abandoned, self.in_flight = self.in_flight, []
        for pending in abandoned:
            if not pending.settled.is_set():
                pending.settle(error=OutcomeUnknownError("the append was given up"))
        self._begin_epoch()

    def _begin_epoch(self):
        """Go on under a higher epoch, which fences the appends under the last one."""
        self.producer = attrs.evolve(self.producer, epoch=self.producer.epoch + 1)
        self.sequence = 1
        self.is_epoch_registered = not self.withdraws

    def _withdraw(self, batch):
        """Stop repeating ``batch``, and have its earlier attempts rejected."""
        self._begin_epoch()
        keys = [key for pending in batch for key, _ in pending.records]
        logger.info(
            "append withdrawn",
            topic=self.topic,
            partition=self.partition,
            keys=keys[:MAX_LOGGED_KEYS_COUNT],
            epoch=self.producer.epoch,
        )

    async def _register_epoch(self):
        """Register the epoch with the store, as no append does so now."""
        try:
            await self.client.append(self.topic, self.partition, (), self.producer, 0)
        except StoreFencedError as error:
            self._fail_fenced([], error, may_be_stored=False)
        except StoreError:
            await self._wait_to_retry()
        else:
            self.is_epoch_registered = True
            logger.info(
                "epoch registered",
                topic=self.topic,
                partition=self.partition,
                epoch=self.producer.epoch,
            )

    async def _send(self, batch):
        """Append one batch and settle its pending appends."""
        records = [record for pending in batch for record in pending.records]
        may_be_stored = False
        while True:
            try:
                offset = await self._append(records)
            except StoreNoResponseError as error:
                may_be_stored = True
                logger.info("no response to append, retrying", reason=str(error))
                if not self.may_send():
                    self._fail_waiting()
            except StoreRefusedError as error:
                if not may_be_stored:
                    self._requeue(batch, error)
                    await self._wait_to_retry()
                    return
            except StoreFencedError as error:
                self._fail_fenced(batch, error, may_be_stored)
                return
            except StoreSequenceError as error:
                self._adopt_sequence(batch, error)
                return
            else:
                self._settle_stored(batch, offset)
                return
            if self.withdraws and _is_overdue(batch):
                self._withdraw(batch)
                return
            await self._wait_to_retry()

    async def _wait_to_retry(self):
        """Wait longer after the first time, as repeats add to the load of the store."""
        delay = self.retry_delay
        self.retry_delay = min(LONGEST_RETRY_DELAY_SECONDS, 2.0 * delay)
        await anyio.sleep(delay)

    async def _append(self, records):
        return await self.client.append(
            self.topic, self.partition, records, self.producer, self.sequence
        )

    def _fail_waiting(self):
        for pending in self.waiting:
            pending.settle(error=NotStoredError("the store has not answered lately"))
        self.waiting = []

    def _settle_stored(self, batch, offset):
        self.sequence += 1
        self.is_epoch_registered = True
        self.succeeded_at = anyio.current_time()
        self.retry_delay = RETRY_DELAY_SECONDS
        for pending in batch:
            pending.settle(offset)
            offset += len(pending.records)

    def _requeue(self, batch, error):
        """Requeue the appends with a deadline after the retry, and fail the others."""
        retry_at = anyio.current_time() + self.retry_delay
        for pending in batch:
            if pending.deadline <= retry_at:
                pending.settle(error=NotStoredError(str(error)))
        self.waiting[:0] = [
            pending for pending in batch if not pending.settled.is_set()
        ]

    def _fail_fenced(self, batch, error, may_be_stored):
        self.fenced = error
        error_type = OutcomeUnknownError if may_be_stored else NotStoredError
        for pending in batch + self.waiting:
            pending.settle(error=error_type(str(error)))
        self.waiting = []
        logger.warning("append fenced", producer=self.producer.name, reason=str(error))
        if self.on_fenced is not None:
            self.on_fenced()

    def _adopt_sequence(self, batch, error):
        """Adopt the store's sequence number; the batch may or may not be stored."""
        logger.error(
            "append out of sequence",
            producer=self.producer.name,
            sequence=self.sequence,
            expected=error.expected,
        )
        self.sequence = error.expected
        for pending in batch:
            pending.settle(error=OutcomeUnknownError(str(error)))

    async def close(self):
        """Close the connection; may be called twice."""
        await self.client.close()
