"""Accept and cancel jobs for callers, and report the state of jobs.

Any daemon can answer for any job. A job is accepted once its record is stored in the
stream of its pool. To report a state, the stream is first read up to its current end.
"""

import enum
import itertools
import math
import time

import attrs
import structlog

from azurelanding import held_work
from azurelanding.account_limits import never_fits
from azurelanding.appender import NotStoredError, OutcomeUnknownError
from azurelanding.job_records import encode_record
from azurelanding.ledger import JobCancelled, QueueMoved, submission_records
from azurelanding.pool_stream import refresh_all
from azurelanding.store import StoreError

logger = structlog.get_logger()


class Acceptance(enum.Enum):
    """The result of a submission or a cancellation.

    ``REFUSED`` means that the request certainly has no effect, ``UNKNOWN`` that it may
    have one.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NO_JOB = "no-job"


class StateUnknownError(Exception):
    """The state of a job can't be determined now because the store can't be read."""


def _progress(copy):
    """Return the sort key by which the copy that runs or has run is the last."""
    _, state = copy
    return state.outcome is not None, bool(state.tasks), state.cancelled_at is not None


class JobService:
    """Accepts, cancels and reports jobs of all pools, whichever daemon controls them.

    ``stream_of(pool)`` returns the ``PoolStream`` of a pool, ``streams()`` returns all
    that this daemon follows, and ``streams_of_all_pools()`` follows the others too.
    ``operator`` is the ``OperatorFold`` of the daemon. ``announced`` maps pairs of a
    queue and a pool to the version with which it is stored that the queue left the
    pool. The jobs of all streams may take ``max_held`` bytes together; ``submitting``
    counts those that are being submitted here.
    """

    def __init__(
        self,
        stream_of,
        streams,
        streams_of_all_pools,
        operator,
        metrics,
        max_held=math.inf,
    ):
        self.stream_of = stream_of
        self.streams = streams
        self.streams_of_all_pools = streams_of_all_pools
        self.operator = operator
        self.metrics = metrics
        self.announced = {}
        self.max_held = max_held
        self.submitting = held_work.HeldWork()
        self.submission_numbers = itertools.count()

    def _has_room(self, size, group):
        holdings = [stream.deferred.work for stream in self.streams()]
        return held_work.has_room(
            size, group, [*holdings, self.submitting], self.max_held
        )

    async def _find_copies(self, job_id):
        """Return the streams and states of a job as read so far.

        There may be two for a moment, after a move of the job's queue.
        """
        copies = []
        for stream in self.streams():
            await stream.fold_job(job_id)
            state = stream.find(job_id)
            if state is not None:
                copies.append((stream, state))
        return copies

    async def _find(self, job_id, account):
        """Return the stream and state of a job as read so far, or two ``None``.

        Of jobs with one id, that of ``account`` comes first.
        """
        copies = await self._find_copies(job_id)
        own = [copy for copy in copies if copy[1].job.account == account]
        return max(own or copies, key=_progress, default=(None, None))

    async def _search(self, pool, job_id, account, deadline):
        """Read the streams; return the stream and state of a job, or two ``None``.

        The stream of ``pool`` is read first.

        Raises ``StateUnknownError`` when the store can't be read by ``deadline`` and
        the job is not in any stream as read so far.
        """
        stream = self.stream_of(pool)
        try:
            await stream.follower.refresh_within(deadline - time.monotonic())
            await stream.fold_job(job_id)
            if stream.find(job_id) is not None:
                return await self._find(job_id, account)
            others = [s for s in self.streams_of_all_pools() if s is not stream]
            await refresh_all(others, deadline)
        except StoreError as error:
            found, state = await self._find(job_id, account)
            if state is None:
                raise StateUnknownError(str(error)) from error
            return found, state
        return await self._find(job_id, account)

    async def _append(self, stream, appender, records, timeout):
        """Store and apply records; return the ``Acceptance`` and a detail to log."""
        encoded = [encode_record(record) for record in records]
        try:
            offset = await appender.append(encoded, timeout)
        except NotStoredError as error:
            return Acceptance.REFUSED, str(error)
        except OutcomeUnknownError as error:
            return Acceptance.UNKNOWN, str(error)
        stream.apply_appended(encoded, offset)
        return Acceptance.ACCEPTED, f"offset {offset}"

    def _is_foreign(self, state, account):
        """Return whether a job belongs to another account, which must not show."""
        return state is not None and state.job.account != account

    async def _find_submitted(self, job, deadline):
        """Return the state of a job that was submitted before, or ``None``.

        After a move of its queue an earlier attempt may be in the stream of another
        pool, where it would not be found as the same job. Raises ``StateUnknownError``.
        """
        _, known = await self._find(job.id, job.account)
        if known is None and self.operator.has_moved(job.queue):
            if not self.stream_of(job.pool).appender.may_send():
                raise StateUnknownError("the store has not answered lately")
            await self._announce_move(job, deadline)
            _, known = await self._search(job.pool, job.id, job.account, deadline)
        return known

    async def _announce_move(self, job, deadline):
        """Store the move of a queue in the streams of the pools that it has left.

        Their controllers may not know the configuration yet under which ``job`` is
        accepted. Raises ``StateUnknownError`` if the move can't be stored.
        """
        for pool, version in self.operator.pools_left(job.queue):
            is_announced = self.announced.get((job.queue, pool), 0) >= version
            if pool == job.pool or is_announced:
                continue
            stream = self.stream_of(pool)
            records = (QueueMoved(job.queue, version),)
            max_wait = deadline - time.monotonic()
            acceptance, detail = await self._append(
                stream, stream.appender, records, max_wait
            )
            if acceptance is not Acceptance.ACCEPTED:
                raise StateUnknownError(f"move of the queue not stored: {detail}")
            self.announced[job.queue, pool] = version
            logger.info(
                "move of queue stored", queue=job.queue, left=pool, version=version
            )

    async def _store(self, job, deadline):
        """Store the records of ``job``; return the ``Acceptance`` and a detail."""
        stream, number = self.stream_of(job.pool), next(self.submission_numbers)
        self.submitting.put(number, held_work.group_of(job), job.size)
        try:
            max_wait = deadline - time.monotonic()
            return await self._append(
                stream, stream.appender, submission_records(job), max_wait
            )
        finally:
            self.submitting.drop(number)

    async def submit(self, job, timeout):
        """Submit ``job``; return the ``Acceptance``.

        A job whose id was submitted before is accepted and stays as it was.
        ``timeout`` is in seconds.
        """
        started_at = time.monotonic()
        job = attrs.evolve(
            job,
            configuration=self.operator.version_for(job),
            size=held_work.job_size(job),
        )
        try:
            known = await self._find_submitted(job, started_at + timeout)
        except StateUnknownError as error:
            acceptance, detail = Acceptance.REFUSED, str(error)
        else:
            if self._is_foreign(known, job.account):
                acceptance, detail = Acceptance.REFUSED, "id of another account's job"
            elif known is not None:
                acceptance, detail = Acceptance.ACCEPTED, "known already"
            elif never_fits(job, self.operator.maximum_of(job.account)):
                acceptance, detail = Acceptance.REFUSED, "above the account's maximum"
            elif not self._has_room(job.size, held_work.group_of(job)):
                acceptance, detail = Acceptance.REFUSED, "no room for its work"
            else:
                acceptance, detail = await self._store(job, started_at + timeout)
        self.metrics.count(f"submissions_{acceptance.value}")
        self.metrics.observe("submission_seconds", time.monotonic() - started_at)
        logger.info(
            "job submitted",
            job=job.id,
            queue=job.queue,
            pool=job.pool,
            outcome=acceptance.value,
            detail=detail,
        )
        return acceptance

    async def _append_cancellation(self, stream, job_id, account, deadline):
        record = JobCancelled(job_id, time.time(), account)
        max_wait = deadline - time.monotonic()
        return await self._append(stream, stream.cancellations, (record,), max_wait)

    async def _cancel_unknown(self, queue, job_id, deadline, account):
        """Store the cancellation of a job that is in no stream.

        An earlier attempt to submit it, which its caller has given up, may still be
        stored: in the stream of the queue's pool, or of one that it has moved from.
        """
        streams = [self.stream_of(queue.pool)]
        if self.operator.has_moved(queue.name):
            others = self.streams_of_all_pools()
            streams += [stream for stream in others if stream is not streams[0]]
        if not self._has_room(held_work.CANCELLATION_BYTES, None):
            return Acceptance.REFUSED, "no room for its cancellation"
        for stream in streams:
            if stream.is_cancelled_early(job_id):
                continue
            acceptance, detail = await self._append_cancellation(
                stream, job_id, account, deadline
            )
            if acceptance is not Acceptance.ACCEPTED:
                return acceptance, detail
        return Acceptance.NO_JOB, f"stored for {len(streams)} partitions"

    async def _cancel_copies(self, job_id, account, deadline):
        """Cancel a job of ``account`` in each stream that has it."""
        acceptance, detail = Acceptance.ACCEPTED, "ended"
        for stream, state in await self._find_copies(job_id):
            if self._is_foreign(state, account):
                continue
            if state.cancelled_at is None and state.outcome is None:
                acceptance, detail = await self._append_cancellation(
                    stream, job_id, account, deadline
                )
            if acceptance is not Acceptance.ACCEPTED:
                break
        return acceptance, detail

    async def cancel(self, queue, job_id, timeout, account=""):
        """Cancel a job; return the ``Acceptance``. ``timeout`` is in seconds.

        A job that is not known is cancelled too, should it become known. One that
        doesn't belong to ``account`` counts as none.
        """
        deadline = time.monotonic() + timeout
        try:
            _, state = await self._search(queue.pool, job_id, account, deadline)
        except StateUnknownError as error:
            logger.info("cancellation refused", job=job_id, reason=str(error))
            return Acceptance.REFUSED
        if self._is_foreign(state, account):
            acceptance, detail = Acceptance.NO_JOB, "another account's job"
        elif state is None:
            acceptance, detail = await self._cancel_unknown(
                queue, job_id, deadline, account
            )
        elif state.cancelled_at is not None or state.outcome is not None:
            acceptance, detail = Acceptance.ACCEPTED, state.phase.value
        else:
            acceptance, detail = await self._cancel_copies(job_id, account, deadline)
        self.metrics.count(f"cancellations_{acceptance.value}")
        logger.info(
            "job cancelled", job=job_id, outcome=acceptance.value, detail=detail
        )
        return acceptance

    async def phase(self, queue, job_id, timeout, account=""):
        """Return the current ``JobPhase`` of a job, ``None`` if it does not exist.

        A job of another account than ``account`` does not exist for its caller.

        ``timeout`` is in seconds. Raises ``StateUnknownError`` when the store can't be
        read within it and the job is not in any stream as read so far.
        """
        _, state = await self._find(job_id, account)
        if state is None or state.outcome is None:
            deadline = time.monotonic() + timeout
            _, state = await self._search(queue.pool, job_id, account, deadline)
        is_hidden = state is None or self._is_foreign(state, account)
        return None if is_hidden else state.phase

    async def pending(self, queue):
        """Return the number of accepted jobs of a queue that have started no task."""
        streams = self.streams()
        for stream in streams:
            await stream.fold_all()
        return sum(stream.ledger.pending(queue.name) for stream in streams)
