"""Follow and append to the stream that holds the tasks of one pool."""

import anyio
import structlog

from azurelanding import task_fold, task_records, task_restating
from azurelanding.log_service import task_wire
from azurelanding.log_service.client import (
    LogClient,
    LogServiceError,
    LogUnavailableError,
    PayloadRefusedError,
    ReplyLostError,
)
from azurelanding.log_service.wire import RecordFormatError
from azurelanding.utils import Notifier

logger = structlog.get_logger()

POLL_SECONDS = 10.0


class TasksNotRecordedError(Exception):
    """A change of tasks is not known to be in the log; the message says more."""


class TaskStream:
    """The tasks of a pool as far as its stream was read.

    After a gap, ``gap_recovery`` holds what was read until the state is whole again;
    nothing may be decided until then.
    """

    def __init__(self, client, pool, settings):
        self.client = client
        self.pool = pool
        self.settings = settings
        self.tasks = task_fold.PoolTasks()
        self.gap_recovery = None
        self.changes = Notifier()

    @classmethod
    def from_config(cls, pool, settings):
        """Return the stream of ``pool`` in the log that ``settings`` name."""
        return cls(LogClient.from_config(settings), pool, settings)

    @property
    def has_all_records(self):
        """Tell whether no record is missing from the state."""
        return self.gap_recovery is None

    @property
    def name(self):
        """Return the name of the stream."""
        return task_records.stream_of(self.pool)

    def fold_entry(self, offset, text):
        """Fold the payload at ``offset``."""
        try:
            record = task_wire.decode_record(text)
        except RecordFormatError as error:
            logger.error("task record unreadable", offset=offset, reason=str(error))
            task_fold.skip_record(self.tasks, offset, str(error))
            return
        if self.gap_recovery is None:
            task_fold.fold(self.tasks, offset, record)
            return
        self.tasks.next_offset = offset + 1
        whole = self.gap_recovery.add_record(offset, record)
        if whole is not None:
            self.tasks, self.gap_recovery = whole, None

    async def read_once(self, wait):
        """Read and fold one batch; return whether more is there already."""
        batch = await self.client.read(self.name, self.tasks.next_offset, wait)
        if batch.first > self.tasks.next_offset:
            missing = f"{self.tasks.next_offset} to {batch.first - 1}"
            logger.error("task records trimmed", pool=self.pool, offsets=missing)
            self.tasks.next_offset = batch.first
            self.gap_recovery = task_restating.GapRecovery(batch.first)
        for entry in batch.entries:
            self.fold_entry(entry.offset, entry.data)
        if batch.entries:
            self.changes.notify()
        return self.tasks.next_offset < batch.end

    async def catch_up(self):
        """Read up to the end of the stream.

        Raises ``LogUnavailableError`` when the log can't be read.
        """
        while await self.read_once(0.0):
            pass

    async def run(self):
        """Follow the stream until cancelled."""
        while True:
            try:
                await self.read_once(POLL_SECONDS)
            except LogServiceError as error:
                logger.warning("tasks not read", pool=self.pool, reason=str(error))
                await anyio.sleep(self.settings.retry_pause)

    async def append(self, record):
        """Append ``record`` until the log has surely taken it.

        A repeat of its id counts once, so it is appended again while its fate is
        not known. Raises ``TasksNotRecordedError`` when the log will never take it.
        """
        text = task_wire.encode_record(record)
        while not self.is_read(record):
            try:
                await self.client.append(self.name, text)
                return
            except PayloadRefusedError as error:
                raise TasksNotRecordedError(str(error)) from error
            except (LogUnavailableError, ReplyLostError):
                await anyio.sleep(self.settings.retry_pause)

    def is_read(self, record):
        """Tell whether ``record`` was read back."""
        return record.id in self.tasks.verdicts

    async def change(self, record):
        """Append ``record`` and return whether it counted once it is read back.

        ``run`` must be running.
        """
        await self.append(record)
        await self.changes.wait_until(lambda: self.is_read(record))
        return self.tasks.verdicts[record.id]

    async def close(self):
        """Close the connections; may be called twice."""
        await self.client.close()
