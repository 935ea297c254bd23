"""Fold the stream of a pool to the state of its jobs.

The stream is compacted by key: the newest record of each key is all that counts, so
a daemon that starts reads those and then follows. Each record carries the whole of
what its key stands for. A record that is older than what is known of its key changes
nothing, so a writer may apply its own records as soon as they are stored.
"""

import attrs

from azurelanding.jobs import Job, JobOutcome, JobState, TaskId, TaskState


@attrs.frozen
class JobSubmitted:
    """A caller's job was accepted."""

    job: Job


@attrs.frozen
class JobCancelled:
    """A caller's cancellation was accepted; ``at`` is in seconds since the epoch."""

    job: str
    at: float


@attrs.frozen
class TaskChanged:
    """The controller of the pool set the state of a task."""

    task: TaskId
    state: TaskState


@attrs.frozen
class JobEnded:
    """The controller of the pool ended a job; its tasks are forgotten."""

    job: str
    outcome: JobOutcome
    at: float


@attrs.frozen
class WorkersVacated:
    """The controller of a pool keeps these workers empty until they are gone."""

    pool: str
    workers: tuple[str, ...]


@attrs.frozen
class WorkersMissing:
    """Workers with runs that no entry names, and since when.

    Since the time given, in seconds since the epoch, no controller of the pool has
    extended their leases; a later one goes on from there.
    """

    pool: str
    since: dict[str, float]


def record_key(record):
    """Return the key that compacts the stream: what a record stands for."""
    match record:
        case JobSubmitted():
            return ("job", record.job.id)
        case JobCancelled():
            return ("cancel", record.job)
        case JobEnded():
            return ("end", record.job)
        case TaskChanged():
            return ("task", str(record.task))
        case WorkersVacated():
            return ("vacated", record.pool)
        case WorkersMissing():
            return ("missing", record.pool)
    raise TypeError(f"no key for {record!r}")


class Ledger:
    """The jobs of one partition of the stream, by id.

    ``active`` holds those that have not ended. ``placed`` maps each worker to the
    runs that may be on it. ``vacated`` holds, by pool, the workers that its
    controller keeps empty, ``missing`` since when workers with runs have no entry.
    """

    def __init__(self):
        self.clear()

    def clear(self):
        """Forget everything, to be read again from the store."""
        self.jobs = {}
        self.active = {}
        self.placed = {}
        self.vacated = {}
        self.missing = {}
        self.offsets = {}

    def apply(self, key, record, offset):
        """Apply one record; ``None`` stands for a key that was dropped."""
        if offset <= self.offsets.get(key, -1):
            return
        self.offsets[key] = offset
        if record is None:
            self._drop(key)
            return
        match record:
            case JobSubmitted():
                self._submit(record.job)
            case JobCancelled():
                self._cancel(record)
            case TaskChanged():
                self._change(record)
            case JobEnded():
                self._end(record)
            case WorkersVacated():
                self.vacated[record.pool] = record.workers
            case WorkersMissing():
                self.missing[record.pool] = record.since

    def _submit(self, job):
        if job.id not in self.jobs:
            self.jobs[job.id] = self.active[job.id] = JobState(job)

    def _cancel(self, record):
        state = self.jobs.get(record.job)
        if state is not None and state.cancelled_at is None:
            state.cancelled_at = record.at

    def _change(self, record):
        state = self.active.get(record.task.job)
        if state is None:
            return
        self._count(record.task, state.task(record.task), -1)
        state.set_task(record.task, record.state)
        self._count(record.task, record.state, 1)

    def _count(self, task_id, task, sign):
        for run, worker in task.active.items():
            runs = self.placed.setdefault(worker, {})
            if sign > 0:
                runs[task_id, run] = None
            else:
                runs.pop((task_id, run), None)
            if not runs:
                del self.placed[worker]

    def _end(self, record):
        state = self.active.pop(record.job, None)
        if state is None:
            return
        state.outcome, state.ended_at = record.outcome, record.at
        for task_id, task in state.tasks.items():
            self._count(task_id, task, -1)
        state.tasks = {}
        state.job = attrs.evolve(state.job, spec="", steps=())

    def _drop(self, key):
        kind, name = key
        if kind == "job":
            self.active.pop(name, None)
            self.jobs.pop(name, None)
        self.offsets.pop(key, None)

    def pending(self, queue):
        """Return how many accepted jobs of ``queue`` have started no task."""
        return sum(
            state.job.queue == queue and not state.tasks and not state.is_over
            for state in self.active.values()
        )
