"""Follow one partition of a compacted topic of the store."""

import math

import anyio
import attrs
import structlog

from azurelanding.record_faults import RecordFaults
from azurelanding.store import (
    OffsetOutOfRangeError,
    StoreError,
    StoreNoResponseError,
    StoreRefusedError,
)
from azurelanding.utils import Notifier, boot_time

logger = structlog.get_logger()

SHARED_READ_DELAY_SECONDS = 0.5
"""Delay between reads from which on a follower takes turns with ``refresh``."""
RETRY_DELAY_SECONDS = 0.2
"""Delay after a failed read, so that a store that is down is not overloaded."""


@attrs.define(eq=False)
class Load:
    """The newest record of each key, as far as its pages have been read.

    The pages are read at different times. What was stored since the first one is
    therefore read after each page and kept in ``changes``, with the records that the
    follower applied meanwhile. ``next_offset`` is where that reading continues,
    ``last_key`` the key after which the next page begins. Once it is complete, the load
    holds the state of the partition at a time after ``caught_up_at``, which is
    ``confirmed_at`` by the clock that also counts while the host is suspended.
    """

    number: int
    started_at: float
    records: list = attrs.field(factory=list)
    changes: list = attrs.field(factory=list)
    next_offset: int | None = None
    last_key: str | None = None
    has_more: bool = True
    is_behind: bool = False
    caught_up_at: float = -1.0
    confirmed_at: float = -math.inf

    @property
    def is_complete(self):
        """Return whether all pages were read, and all that was stored since."""
        return not self.has_more and not self.is_behind

    def add_page(self, page, read_at):
        """Add the next page, whose read began at ``read_at``, by both clocks."""
        is_first = self.next_offset is None
        if is_first:
            self.next_offset = page.end
        if page.records:
            self.last_key = page.records[-1].key
        self.records.extend(page.records)
        self.has_more = page.has_more
        self.is_behind = page.has_more or not is_first
        self.caught_up_at, self.confirmed_at = read_at

    def add_changes(self, batch, read_at):
        """Add records stored since the first page; the read began at ``read_at``."""
        if batch.records:
            self.next_offset = batch.records[-1].offset + 1
        self.changes.extend(batch.records)
        self.is_behind = self.next_offset < batch.end
        self.caught_up_at, self.confirmed_at = read_at

    def newest(self):
        """Return the newest record of each key over the pages and the changes.

        A page may hold a key that was deleted later, and a later page what was stored
        after that: one after the other, they would give a state that never was.
        """
        newest = {}
        for record in (*self.records, *self.changes):
            known = newest.get(record.key)
            if known is None or known.offset < record.offset:
                newest[record.key] = record
        return newest.values()


@attrs.define(eq=False)
class PendingRefresh:
    """A caller that waits for ``run_refreshes``, and the error if the read failed."""

    settled: anyio.Event = attrs.field(factory=anyio.Event)
    error: StoreError | None = None

    def settle(self, error=None):
        """Set the result and wake the caller."""
        self.error = error
        self.settled.set()


class TopicFollower:
    """Applies the records of a partition to a fold, in the order of their offsets.

    ``fold`` takes each ``StoredRecord`` with ``apply_stored``. Its ``clear`` drops the
    state before the newest records are loaded again, sorted by its ``load_order``.
    ``read_delay()`` returns the seconds between two reads, and ``max_wait`` is the
    longest time in seconds that the store waits for a record before it responds.
    ``caught_up_at`` is when the last read began that reached the end of the partition,
    ``answered_at`` when the store last answered. ``confirmed_at`` is the first of the
    two in ``boot_time``: what was stored before then is applied.
    ``loads`` holds the loads under way; ``paused_load`` is one of them that has lost a
    page, and which the next attempt continues. ``pending_refreshes`` are the callers
    that wait for the next refresh. ``faults`` are the ``RecordFaults`` of the daemon.
    """

    def __init__(
        self, topic, partition, make_client, fold, read_delay, max_wait, faults=None
    ):
        self.topic = topic
        self.partition = partition
        self.reader = make_client()
        self.refresher = make_client()
        self.fold = fold
        self.read_delay = read_delay
        self.max_wait = max_wait
        self.faults = faults or RecordFaults()
        self.next_offset = None
        self.caught_up_at = -1.0
        self.confirmed_at = -math.inf
        self.answered_at = -1.0
        self.is_reachable = True
        self.refresh_lock = anyio.Lock()
        self.load_count = 0
        self.newest_load = 0
        self.loads = []
        self.paused_load = None
        self.pending_refreshes = []
        self.refresh_requested = Notifier()
        self.hurried = Notifier()
        self.changes = Notifier()

    @property
    def is_loaded(self):
        """Return whether the newest records were loaded at least once."""
        return self.next_offset is not None

    def apply(self, records):
        """Apply records that were read, or that this daemon has just stored."""
        for record in records:
            self._apply_record(record)
        for load in self.loads:
            load.changes.extend(records)
        self.changes.notify()

    def _apply_record(self, record):
        self.faults.apply(self.topic, record, self.fold.apply_stored)

    def _begin_or_continue_load(self):
        load, self.paused_load = self.paused_load, None
        if load is None:
            self.load_count += 1
            load = Load(self.load_count, anyio.current_time())
            self.loads.append(load)
        return load

    async def _read_pages(self, load, client):
        """Read the rest of ``load``, which is paused if a page is lost."""
        can_continue = True
        try:
            while not load.is_complete:
                read_at = anyio.current_time(), boot_time()
                source = (self.topic, self.partition)
                if load.is_behind:
                    batch = await client.read(*source, load.next_offset, 0.0)
                    load.add_changes(batch, read_at)
                else:
                    load.add_page(await client.newest(*source, load.last_key), read_at)
                self.answered_at = anyio.current_time()
        except OffsetOutOfRangeError:
            can_continue = False
            raise
        finally:
            is_started = load.next_offset is not None and not load.is_complete
            if can_continue and is_started and self.paused_load is None:
                self.paused_load = load
            else:
                self.loads.remove(load)

    async def _load(self, client):
        """Replace the state by the newest record of each key.

        A load takes long where the link is thin. What was stored meanwhile may be newer
        than the pages that were read before, so it counts too. That includes the
        records applied by this daemon, so ``next_offset`` never moves back.
        """
        load = self._begin_or_continue_load()
        await self._read_pages(load, client)
        if load.number < self.newest_load:
            # The state is that of a load which began later.
            return
        self.newest_load = load.number
        if self.paused_load is not None:
            self.loads.remove(self.paused_load)
            self.paused_load = None
        self.fold.clear()
        for record in sorted(load.newest(), key=self.fold.load_order):
            self._apply_record(record)
        self.next_offset = max(load.next_offset, self.next_offset or 0)
        self.caught_up_at = max(self.caught_up_at, load.caught_up_at)
        self.confirmed_at = max(self.confirmed_at, load.confirmed_at)
        logger.info(
            "topic loaded",
            topic=self.topic,
            partition=self.partition,
            records=len(load.records),
            next_offset=load.next_offset,
            seconds=round(anyio.current_time() - load.started_at, 3),
        )
        for other in self.loads:
            other.changes.extend(load.changes)
        self.changes.notify()

    async def _read(self, client, max_wait):
        started_at, confirmed_at = anyio.current_time(), boot_time()
        start = self.next_offset
        batch = await client.read(self.topic, self.partition, start, max_wait)
        self.answered_at = anyio.current_time()
        new_records = [
            record for record in batch.records if record.offset >= self.next_offset
        ]
        if new_records:
            self.apply(new_records)
            self.next_offset = new_records[-1].offset + 1
        if self.next_offset >= batch.end:
            self.caught_up_at = max(self.caught_up_at, started_at)
            self.confirmed_at = max(self.confirmed_at, confirmed_at)

    async def _read_or_load(self, client, max_wait):
        """Read once, or load the newest records if the next are no longer retained."""
        if self.next_offset is None:
            await self._load(client)
            return
        try:
            await self._read(client, max_wait)
        except OffsetOutOfRangeError as error:
            logger.warning(
                "records no longer retained, reloading",
                topic=self.topic,
                reason=str(error),
            )
            await self._load(client)

    def _log_reachability(self, error):
        """Log when the store becomes unreachable or reachable again."""
        if self.is_reachable and error is not None:
            logger.warning(
                "store unreachable",
                topic=self.topic,
                partition=self.partition,
                reason=str(error),
            )
        elif not self.is_reachable and error is None:
            logger.info(
                "store reachable again", topic=self.topic, partition=self.partition
            )
        self.is_reachable = error is None

    async def _read_next(self):
        """Read once; at long intervals never while ``refresh`` reads the same records.

        Such a read doesn't wait at the store, so ``refresh`` is not held up.
        """
        if self.read_delay() < SHARED_READ_DELAY_SECONDS:
            await self._read_or_load(self.reader, self.max_wait)
            return
        async with self.refresh_lock:
            await self._read_or_load(self.reader, 0.0)

    async def run(self):
        """Follow the partition until cancelled."""
        while True:
            try:
                await self._read_next()
            except StoreRefusedError as error:
                self._log_reachability(error)
                # More reads than the store serves would never let it recover.
                await anyio.sleep(max(RETRY_DELAY_SECONDS, self.read_delay()))
                continue
            except StoreError as error:
                self._log_reachability(error)
                await anyio.sleep(RETRY_DELAY_SECONDS)
                continue
            self._log_reachability(None)
            with anyio.move_on_after(self.read_delay()):
                await self.hurried.wait()

    def hurry(self):
        """Read again now, as the delay between two reads has become shorter."""
        self.hurried.notify()

    async def refresh(self):
        """Return once all records are applied that were stored at the time of the call.

        Raises ``StoreError`` when the store can't be read.
        """
        called_at = anyio.current_time()
        async with self.refresh_lock:
            while self.caught_up_at < called_at:
                await self._read_or_load(self.refresher, 0.0)

    async def run_refreshes(self):
        """Refresh for all callers that wait together, until cancelled."""
        while True:
            await self.refresh_requested.wait_until(lambda: self.pending_refreshes)
            pending, self.pending_refreshes = self.pending_refreshes, []
            error = StoreNoResponseError(f"{self.topic} was not read")
            try:
                await self.refresh()
                error = None
            except StoreError as failure:
                error = failure
            finally:
                # Also after an unexpected error, so that nobody waits for nothing.
                for refresh in pending:
                    refresh.settle(error)

    async def refresh_within(self, max_wait):
        """Do as ``refresh`` does, for ``max_wait`` seconds; needs ``run_refreshes``.

        A read or a load that takes longer goes on, so that a later call does not start
        it again.
        """
        pending = PendingRefresh()
        self.pending_refreshes.append(pending)
        self.refresh_requested.notify()
        with anyio.move_on_after(max_wait):
            await pending.settled.wait()
        if not pending.settled.is_set():
            raise StoreNoResponseError(f"{self.topic} was not read in time")
        if pending.error is not None:
            raise pending.error

    async def close(self):
        """Close the connections; may be called twice."""
        await self.reader.close()
        await self.refresher.close()
