"""Find out where a job runs that may have been submitted for two pools.

An append without an answer may be carried out seconds later. A job that is stored for a
pool after its queue has moved to another may therefore run there already, as its caller
repeats the submission. Such a job is started only once its pool's controller has read
the streams of the other pools, in which it has stored pins (``azurelanding.job_pins``).
"""

import enum
import time

import anyio
import structlog

from azurelanding.appender import NotStoredError, OutcomeUnknownError
from azurelanding.job_pins import JobPinned
from azurelanding.job_records import encode_record
from azurelanding.pool_stream import refresh_all
from azurelanding.store import StoreError
from azurelanding.utils import Notifier

logger = structlog.get_logger()

STORE_TIMEOUT_SECONDS = 2.0
"""Longest time for one read or append of a check; a check that fails is repeated."""
RECHECK_SECONDS = 0.5
MAX_CHECKED_COUNT = 250
"""Limit on the jobs of one check, which is a part of one append to each stream."""


class Resolution(enum.Enum):
    """What becomes of a submission that may exist for another pool too."""

    START = "start"
    WITHDRAW = "withdraw"
    WAIT = "wait"


def resolve(partition, others):
    """Return the ``Resolution`` for a job in ``partition`` without any started task.

    ``others`` are pairs of partition and ``JobState`` for the other submissions of the
    job. If one has been started or is over, this one isn't needed. Of two that have
    not, the one in the lower partition stays. The other is withdrawn by its controller,
    or started if that takes it for the only one.
    """
    if any(state.tasks or state.is_over for _, state in others):
        return Resolution.WITHDRAW
    if any(other < partition for other, _ in others):
        return Resolution.WITHDRAW
    return Resolution.WAIT if others else Resolution.START


class LateSubmissions:
    """The jobs of a pool that may have been submitted for another pool too.

    ``doubtful`` maps those to check to their last ``Resolution``, or ``None``.
    ``cleared`` holds those that may start, and ``superseded`` maps those to withdraw to
    the partition of the other submission. ``wake()`` requests a decision of the
    controller of ``pool`` under ``epoch``.
    """

    def __init__(self, pool, epoch, stream, daemon, wake):
        self.pool = pool
        self.epoch = epoch
        self.stream = stream
        self.daemon = daemon
        self.metrics = daemon.metrics
        self.wake = wake
        self.doubtful = {}
        self.cleared = set()
        self.superseded = {}
        self.attempts = 0
        self.arrivals = Notifier()

    def _is_doubtful(self, job):
        """Return whether the queue of a job may have left the pool since it was sent.

        The stream may tell of a configuration that this daemon doesn't know yet.
        """
        if self.daemon.operator.has_left(job):
            return True
        return job.configuration < self.stream.ledger.moved.get(job.queue, 0)

    def may_start(self, state):
        """Return whether tasks of a job may start now; if not, have it checked."""
        job = state.job
        if state.tasks or job.id in self.cleared:
            return True
        if job.id in self.superseded or job.id in self.doubtful:
            return False
        if not self._is_doubtful(job):
            return True
        self.doubtful[job.id] = None
        self.arrivals.notify()
        return False

    def withdraw(self, draft):
        """Add the withdrawal of superseded jobs to a decision."""
        active = self.stream.ledger.active
        for job_id, partition in list(self.superseded.items()):
            state = active.get(job_id)
            if state is None or state.tasks or state.is_over:
                del self.superseded[job_id]
                continue
            draft.withdraw_job(job_id)
            logger.info(
                "late submission withdrawn",
                job=job_id,
                queue=state.job.queue,
                pool=self.pool,
                kept_in_partition=partition,
            )
            self.metrics.count("submissions_withdrawn")

    async def run(self):
        """Check doubtful jobs until cancelled."""
        while True:
            await self.arrivals.wait_until(lambda: self.doubtful)
            try:
                await self._check(list(self.doubtful)[:MAX_CHECKED_COUNT])
            except StoreError as error:
                logger.info(
                    "late submissions not checked", pool=self.pool, reason=str(error)
                )
            if self.doubtful:
                await anyio.sleep(RECHECK_SECONDS)

    async def _check(self, job_ids):
        """Resolve jobs after a look at the streams of all other pools."""
        streams = self.daemon.streams_of_all_pools()
        others = [stream for stream in streams if stream is not self.stream]
        await refresh_all(others, time.monotonic() + STORE_TIMEOUT_SECONDS)
        async with anyio.create_task_group() as task_group:
            for stream in others:
                task_group.start_soon(self._pin, stream, job_ids)
        await refresh_all(others, time.monotonic() + STORE_TIMEOUT_SECONDS)
        for job_id in job_ids:
            last = self.doubtful.pop(job_id)
            state = self.stream.ledger.active.get(job_id)
            if state is not None and not state.is_over:
                await self._resolve(state.job, others, last)
        self.cleared &= self.stream.ledger.active.keys()
        self.wake()

    async def _pin(self, stream, job_ids):
        """Pin the jobs that are not known in a stream, unless that was done before."""
        self.attempts += 1
        attempt, records = self.attempts, []
        for job_id in job_ids:
            await stream.fold_job(job_id)
            state = self.stream.ledger.active.get(job_id)
            if state is None or stream.find(job_id) is not None:
                continue
            if not stream.is_pinned(state.job, self.pool):
                records.append(encode_record(self._make_pin(state.job, attempt)))
        if not records:
            return
        try:
            offset = await stream.appender.append(records, STORE_TIMEOUT_SECONDS)
        except (NotStoredError, OutcomeUnknownError) as error:
            logger.info("jobs not pinned", pool=self.pool, reason=str(error))
            return
        stream.apply_appended(records, offset)

    def _make_pin(self, job, attempt):
        now = time.time()
        return JobPinned(job.id, self.pool, self.epoch, attempt, now, job.account)

    async def _resolve(self, job, others, last):
        """Decide on one job by what the other streams hold now.

        ``last`` is the ``Resolution`` of the check before, if there was one. Another
        account's job with the same id is another job.
        """
        copies = []
        for stream in others:
            await stream.fold_job(job.id)
            state = stream.find(job.id)
            if state is not None and state.job.account == job.account:
                copies.append((stream.partition, state))
            elif state is None and not stream.is_pinned(job, self.pool):
                self.doubtful[job.id] = last
                return
        resolution = resolve(self.stream.partition, copies)
        if resolution is Resolution.START:
            self.cleared.add(job.id)
        elif resolution is Resolution.WITHDRAW:
            self.superseded[job.id] = copies[0][0]
        else:
            self.doubtful[job.id] = resolution
        if resolution is not last:
            logger.info(
                "late submission checked",
                job=job.id,
                pool=self.pool,
                resolution=resolution.value,
                copies=[partition for partition, _ in copies],
            )
