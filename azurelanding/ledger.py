"""Fold the stream of a pool to the state of its jobs.

The stream is compacted by key: only the newest record of each key counts. A daemon
that starts reads these records and then follows the stream. Each record holds the
complete value of its key. A record that is older than the newest applied record of its
key is ignored, so a writer may apply its own records as soon as they are stored.
"""

import collections
import itertools

import attrs

from azurelanding.job_pins import JobPinned, JobPins
from azurelanding.jobs import Job, JobOutcome, JobState, Step, TaskId, TaskState
from azurelanding.pool_jobs import PoolJobs
from azurelanding.store import StoredRecordError


@attrs.frozen
class WorkSubmitted:
    """The specification and the steps of a job, which are dropped when it ends."""

    job: str
    spec: str = ""
    steps: tuple[Step, ...] = ()


@attrs.frozen
class JobSubmitted:
    """A caller's job was accepted.

    The specification and the steps are left out of the job if they are in a record of
    their own. Earlier versions stored them with the job.
    """

    job: Job


def submission_records(job):
    """Return the records of a job that was accepted, which are stored together."""
    work = WorkSubmitted(job.id, job.spec, job.steps)
    return work, JobSubmitted(attrs.evolve(job, spec="", steps=()))


@attrs.frozen
class JobCancelled:
    """A caller's cancellation was accepted at ``at``, in seconds since the epoch.

    ``account`` is the client account of the caller, empty for none.
    """

    job: str
    at: float
    account: str = ""


@attrs.frozen
class TaskChanged:
    """The controller of the pool set the state of a task."""

    task: TaskId
    state: TaskState


@attrs.frozen
class JobEnded:
    """The controller of the pool ended a job; the states of its tasks are dropped."""

    job: str
    outcome: JobOutcome
    at: float


@attrs.frozen
class WorkersVacated:
    """The controller of a pool keeps these workers drained until they are removed."""

    pool: str
    workers: tuple[str, ...]


@attrs.frozen
class WorkersMissing:
    """Workers that have runs but no entry in the registry, and since when.

    No controller of the pool has extended their leases since the given time, in
    seconds since the epoch. A later controller counts from that time too.
    """

    pool: str
    since: dict[str, float]


@attrs.frozen
class LeaseVoters:
    """The workers that decide which controller of a pool extends leases.

    A controller without a membership needs answers of more than half of them, its
    successor of half (``azurelanding.lease_permission``).
    """

    pool: str
    workers: tuple[str, ...]


@attrs.frozen
class GrantAdopted:
    """The controller of a pool keeps to a division of an account's maximum."""

    pool: str
    account: str
    version: int


@attrs.frozen
class QueueMoved:
    """A queue has left a pool of this partition.

    It did with ``version`` of the configuration. Jobs that were submitted under an
    earlier one may have been submitted again for the next pool.
    """

    queue: str
    version: int


KEYS = {
    WorkSubmitted: lambda record: ("work", record.job),
    JobSubmitted: lambda record: ("job", record.job.id),
    JobCancelled: lambda record: ("cancel", record.job),
    JobEnded: lambda record: ("end", record.job),
    TaskChanged: lambda record: ("task", str(record.task)),
    WorkersVacated: lambda record: ("vacated", record.pool),
    WorkersMissing: lambda record: ("missing", record.pool),
    LeaseVoters: lambda record: ("voters", record.pool),
    GrantAdopted: lambda record: ("grant", f"{record.pool}/{record.account}"),
    QueueMoved: lambda record: ("moved", record.queue),
    JobPinned: lambda record: ("pin", record.name),
}


def record_key(record):
    """Return the compaction key of a record, which identifies what it describes."""
    make_key = KEYS.get(type(record))
    if make_key is None:
        raise TypeError(f"no compaction key is defined for {record!r}")
    return make_key(record)


class Ledger:
    """The jobs of one partition of the stream, by id.

    ``jobs`` holds all jobs, ``active`` those that have not ended and whose work is
    known. ``works`` holds the work of jobs whose own record was not applied yet.
    ``offsets`` holds the offset of the newest applied record of each key. ``placed``
    maps each worker to the runs that may be on it. ``vacated`` maps each pool to the
    workers that its controller keeps drained. ``missing`` maps each pool to the workers
    that have runs but no entry in the registry, and each of these to the time since
    when. ``voters`` maps each pool to its ``LeaseVoters``' workers.
    ``pools`` holds the ``PoolJobs`` of each pool, ``positions`` the next
    ``JobState.position``, and ``placed_versions`` changes with the runs in ``placed``
    on each worker. ``unstarted`` maps each queue to its jobs that have started no task
    and may start some. ``ended_tasks`` maps ended jobs to the tasks whose records are
    still stored. ``early_cancellations`` holds the ``JobCancelled`` of jobs that are
    not known: a submission that is stored after it starts nothing.
    ``adopted`` maps pairs of a pool and an account to the version of the account's
    division that the controller of the pool keeps to. ``moved`` maps queues that have
    left the partition's pools to the version of the configuration with which they last
    did. ``pins`` are the ``JobPins`` of the partition.
    """

    def __init__(self):
        self.versions = itertools.count()
        self.clear()

    def clear(self):
        """Discard all state before the stream is read again from the store."""
        self.jobs = {}
        self.active = {}
        self.works = {}
        self.placed = {}
        self.vacated = {}
        self.missing = {}
        self.voters = {}
        self.offsets = {}
        self.pools = collections.defaultdict(PoolJobs)
        self.positions = itertools.count()
        self.placed_versions = {}
        self.unstarted = collections.defaultdict(set)
        self.ended_tasks = {}
        self.early_cancellations = {}
        self.adopted = {}
        self.moved = {}
        self.pins = JobPins()

    def apply(self, key, record, offset):
        """Apply one record, or drop its key if ``record`` is ``None``.

        A record on a job that is not known yet, or of a task whose job has no work yet,
        has no effect, also not on the same record when it is read again after them. But
        a cancellation counts for a job that becomes known later.
        Raises ``StoredRecordError`` for a task that its job doesn't have.
        """
        if offset <= self.offsets.get(key, -1) or self._is_premature(record):
            return
        if isinstance(record, JobSubmitted) and self._withhold(key, record, offset):
            return
        self.offsets[key] = offset
        if record is None:
            self._drop(key)
            return
        match record:
            case WorkSubmitted():
                self.works[record.job] = record
                self._activate(record.job)
            case JobSubmitted():
                self._submit(record.job)
            case JobCancelled():
                self._cancel(record)
            case TaskChanged():
                self._set_task(record)
            case JobEnded():
                self._end(record)
            case JobPinned():
                known = self.jobs.get(record.job)
                self.pins.add(record, offset, known and known.job)
            case _:
                self._apply_to_pool(record)

    def _apply_to_pool(self, record):
        """Apply a record on a pool rather than on a job."""
        match record:
            case WorkersVacated():
                self.vacated[record.pool] = record.workers
            case WorkersMissing():
                self.missing[record.pool] = record.since
            case LeaseVoters():
                self.voters[record.pool] = record.workers
            case GrantAdopted():
                self.adopted[record.pool, record.account] = record.version
            case QueueMoved():
                self.moved[record.queue] = record.version

    def _withhold(self, key, record, offset):
        """Keep a submission apart if its job is pinned; return whether it is.

        Its work waits in ``works`` until the submission counts or is dropped.
        """
        job = record.job
        if job.id in self.jobs or not self.pins.precede(job, offset):
            return False
        self.offsets[key] = offset
        self.pins.withhold(record, offset)
        return True

    def _is_premature(self, record):
        """Return whether a record can't be applied before others on its job."""
        match record:
            case TaskChanged():
                state = self.jobs.get(record.task.job)
                return record.task.job not in self.active and (
                    state is None or state.outcome is None
                )
            case JobEnded():
                return record.job not in self.jobs
        return False

    def _submit(self, job):
        if job.id not in self.jobs:
            early = self.early_cancellations.pop(job.id, None)
            is_own = early is not None and early.account == job.account
            cancelled_at = early.at if is_own else None
            self.jobs[job.id] = JobState(job, cancelled_at=cancelled_at)
            self.pins.note_known(job)
            self._activate(job.id)

    def _activate(self, job_id):
        """Make a job active if its record and its work are known and it has not ended.

        While a stream is loaded, the work may be gone before the end is known.
        """
        state = self.jobs.get(job_id)
        if state is None:
            return
        work = self.works.pop(job_id, None)
        if job_id in self.active or state.outcome is not None:
            return
        if work is not None:
            state.set_work(work.spec, work.steps)
        if work is not None or state.job.steps:
            state.position = next(self.positions)
            self.active[job_id] = state
            self._note_change(state)

    def _note_change(self, state):
        """Note that an active job was added or has changed."""
        self.pools[state.job.pool].put(state)
        if state.begun or state.is_over:
            self.unstarted[state.job.queue].discard(state.job.id)
        else:
            self.unstarted[state.job.queue].add(state.job.id)

    def _remove(self, job_id):
        """Remove a job and its runs from those that are active."""
        state = self.active.pop(job_id, None)
        if state is not None:
            pool = self.pools[state.job.pool]
            for task_id, task in state.in_progress.items():
                self._index_runs(pool, state.job, task_id, task, -1)
            pool.remove(job_id)
            self.unstarted[state.job.queue].discard(job_id)

    def _cancel(self, record):
        state = self.jobs.get(record.job)
        if state is None:
            self.early_cancellations.setdefault(record.job, record)
        elif state.cancelled_at is None:
            state.cancelled_at = record.at
            if record.job in self.active:
                self._note_change(state)

    def _set_task(self, record):
        state = self.active.get(record.task.job)
        if state is None:
            self._note_ended_task(record.task)
            return
        if not state.job.has_task(record.task):
            raise StoredRecordError(f"job has no task {record.task}")
        pool = self.pools[state.job.pool]
        self._index_runs(pool, state.job, record.task, state.task(record.task), -1)
        state.set_task(record.task, record.state)
        self._note_change(state)
        self._index_runs(pool, state.job, record.task, record.state, 1)

    def _index_runs(self, pool, job, task_id, task, sign):
        if job.account and task.active:
            need = job.steps[task_id.step].need
            pool.count_runs(job.account, need, sign * len(task.active))
        for run, worker in task.active.items():
            pool.usage.pop(worker, None)
            self.placed_versions[worker] = next(self.versions)
            runs = self.placed.setdefault(worker, {})
            if sign > 0:
                runs[task_id, run] = None
            else:
                runs.pop((task_id, run), None)
            if not runs:
                del self.placed[worker], self.placed_versions[worker]

    def _end(self, record):
        state = self.jobs[record.job]
        if state.outcome is not None:
            return
        self._remove(record.job)
        tasks = state.end(record.outcome, record.at)
        if tasks:
            # There may be very many, so they are not copied.
            self.ended_tasks[record.job] = tasks

    def _note_ended_task(self, task_id):
        self.ended_tasks.setdefault(task_id.job, {})[task_id] = None

    def _drop(self, key):
        kind, name = key
        if kind == "job":
            self._remove(name)
            self.jobs.pop(name, None)
            self.ended_tasks.pop(name, None)
            self.pins.withheld.pop(name, None)
        elif kind == "work":
            self.works.pop(name, None)
        elif kind == "cancel":
            self.early_cancellations.pop(name, None)
        elif kind == "task":
            self._drop_ended_task(name)
        elif kind == "pin":
            self._unpin(name)
        self.offsets.pop(key, None)

    def _unpin(self, name):
        """Remove a pin, so that what it withheld counts as if it was stored now."""
        withheld = self.pins.remove(name)
        if withheld is not None:
            record, offset = withheld
            self.offsets.pop(record_key(record), None)
            self.apply(record_key(record), record, offset)

    def _drop_ended_task(self, name):
        try:
            task_id = TaskId.from_name(name)
        except ValueError:
            return
        tasks = self.ended_tasks.get(task_id.job)
        if tasks is not None:
            tasks.pop(task_id, None)
            if not tasks:
                del self.ended_tasks[task_id.job]

    def jobs_of(self, pool):
        """Return the ``PoolJobs`` of a pool, with all its jobs sorted."""
        jobs = self.pools[pool]
        jobs.sort()
        return jobs

    def usage(self, pool, worker):
        """Return the ``WorkerUsage`` of a worker by the runs of a pool."""
        runs = self.placed.get(worker)
        return self.pools[pool].usage_on(worker, pool, runs, self.active.get)

    def pending(self, queue):
        """Return the number of accepted jobs of ``queue`` that have started no task."""
        return len(self.unstarted.get(queue, ()))

    def ended_tasks_of(self, pool):
        """Yield the names of the stored tasks of ended jobs of a pool."""
        for job_id, tasks in self.ended_tasks.items():
            if self.jobs[job_id].job.pool == pool:
                yield from map(str, tasks)

    def pools_with_ended_tasks(self):
        """Return the names of the pools with stored tasks of ended jobs."""
        return {self.jobs[job_id].job.pool for job_id in self.ended_tasks}

    def pools_with_jobs(self):
        """Return the names of the pools that have jobs that have not ended."""
        return {pool for pool, jobs in self.pools.items() if jobs.active}
