"""Follow one partition of a compacted topic of the store."""

import anyio
import structlog

from azurelanding.store import OffsetOutOfRangeError, StoreError
from azurelanding.utils import Notifier

logger = structlog.get_logger()

RETRY_SECONDS = 0.2
"""Pause after a failed read, so that a store that is down is not pressed."""


class TopicFollower:
    """The records of a partition, applied in the order of their offsets.

    ``fold`` takes each ``StoredRecord`` with ``apply_stored``; its ``clear`` forgets
    everything before the newest records are read again, in its ``load_order``.
    ``pause()`` returns the seconds to rest after each read, and ``wait`` bounds, in
    seconds, how long the store holds a read that has nothing to return.
    ``caught_up_at`` is when the last read began that brought everything there was.
    """

    def __init__(self, topic, partition, make_client, fold, pause, wait):
        self.topic = topic
        self.partition = partition
        self.reader = make_client()
        self.refresher = make_client()
        self.fold = fold
        self.pause = pause
        self.wait = wait
        self.next_offset = None
        self.caught_up_at = -1.0
        self.is_up = True
        self.refresh_lock = anyio.Lock()
        self.changes = Notifier()

    @property
    def is_loaded(self):
        """Tell whether the partition was read once."""
        return self.next_offset is not None

    async def _load(self, client):
        """Read the newest record of each key."""
        began = anyio.current_time()
        newest = await client.newest(self.topic, self.partition)
        self.fold.clear()
        for record in sorted(newest.records, key=self.fold.load_order):
            self.fold.apply_stored(record)
        self.next_offset = newest.end
        self.caught_up_at = began
        logger.info(
            "topic loaded",
            topic=self.topic,
            partition=self.partition,
            records=len(newest.records),
            next_offset=newest.end,
        )
        self.changes.notify()

    async def _read(self, client, wait):
        began = anyio.current_time()
        start = self.next_offset
        batch = await client.read(self.topic, self.partition, start, wait)
        if start > self.next_offset:
            # A load that began earlier has set the partition back since: applied now,
            # these records would hide those in between.
            return
        fresh = [
            record for record in batch.records if record.offset >= self.next_offset
        ]
        for record in fresh:
            self.fold.apply_stored(record)
        if fresh:
            self.next_offset = fresh[-1].offset + 1
        if self.next_offset >= batch.end:
            self.caught_up_at = max(self.caught_up_at, began)
        if fresh:
            self.changes.notify()

    async def _step(self, client, wait):
        """Read once, from the newest records if the history does not reach back."""
        if self.next_offset is None:
            await self._load(client)
            return
        try:
            await self._read(client, wait)
        except OffsetOutOfRangeError as error:
            logger.warning(
                "history lost, loading anew", topic=self.topic, reason=str(error)
            )
            await self._load(client)

    def _note(self, fault):
        """Log when the store is lost or regained."""
        if self.is_up and fault is not None:
            logger.warning(
                "store lost",
                topic=self.topic,
                partition=self.partition,
                reason=str(fault),
            )
        elif not self.is_up and fault is None:
            logger.info("store regained", topic=self.topic, partition=self.partition)
        self.is_up = fault is None

    async def run(self):
        """Follow the partition until cancelled."""
        while True:
            try:
                await self._step(self.reader, self.wait)
            except StoreError as error:
                self._note(error)
                await anyio.sleep(RETRY_SECONDS)
                continue
            self._note(None)
            pause = self.pause()
            if pause > 0:
                await anyio.sleep(pause)

    async def refresh(self):
        """Return once everything was read that was stored when this was called.

        Raises ``StoreError`` when the store can't be read.
        """
        asked_at = anyio.current_time()
        async with self.refresh_lock:
            while self.caught_up_at < asked_at:
                await self._step(self.refresher, 0.0)

    async def close(self):
        """Close the connections; may be called twice."""
        await self.reader.close()
        await self.refresher.close()
