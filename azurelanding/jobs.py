"""Describe jobs of steps of tasks, and how far each has got.

A job is handed in by a caller and runs on the workers of one pool. Its steps wait
for earlier ones, and each step has a number of equal tasks. ``azurelanding.ledger``
folds the stream of a pool to the state of its jobs.
"""

import enum

import attrs

from azurelanding.tasks import Resources


class JobOutcome(enum.Enum):
    """How a job ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobPhase(enum.Enum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunEnd(enum.Enum):
    """How a run of a task ended, as its worker tells.

    ``LAPSED`` means that the worker's lease ran out, ``BROKEN`` that another
    member of the gang ended, ``ALONE`` that the gang was not whole in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen(cache_hash=True)
class TaskId:
    """One task: its job, occurrence, step and index, each counted from 0."""

    job: str
    occurrence: int
    step: int
    index: int

    def __str__(self):
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


@attrs.frozen
class Step:
    """A number of equal tasks of a job.

    ``estimate`` is the caller's guess of a run time in seconds. ``after`` holds the
    numbers of the steps that must be done first. ``rack`` is where the data lies,
    ``label`` what a worker must have. ``per_worker`` bounds the tasks of the step on
    one worker, 0 for any number. The tasks of a ``gang`` work only together.
    A step with ``fills`` takes what others leave unused and its cores are not
    counted. ``tail_target`` is the bound in seconds on the response times of a
    long-running task, 0 for none, and ``may_miss`` how many of them may be away.
    """

    count: int
    need: Resources
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpoints: bool = False
    image: str = ""
    tail_target: float = 0.0
    fills: bool = False
    may_miss: int = 0


@attrs.frozen
class Job:
    """One job as it was accepted.

    ``submitted_at`` and ``first_due`` are in seconds since the epoch, ``interval``
    in seconds. ``occurrences`` is how often the steps run; ``first_due`` is 0 for a
    job that is due at once. ``max_attempts``, ``priority`` (0 first), ``stretch``
    and ``target_duration`` (seconds) are those of its queue when it was accepted.
    """

    id: str
    queue: str
    pool: str
    spec: str
    steps: tuple[Step, ...]
    submitted_at: float
    occurrences: int = 1
    first_due: float = 0.0
    interval: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    stretch: float = 1.0
    target_duration: float = 0.0

    def due_at(self, occurrence):
        """Return when an occurrence may start, in seconds since the epoch."""
        if not self.first_due:
            return self.submitted_at
        return self.first_due + occurrence * self.interval

    @property
    def is_long_running(self):
        """Tell whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)


@attrs.define
class TaskState:
    """What the log says of one task.

    ``last_run`` numbers its starts. ``active`` maps the runs that may be under way
    to the worker of each. ``failed_on`` names the workers where a run failed.
    """

    last_run: int = 0
    active: dict[int, str] = attrs.field(factory=dict)
    failures: int = 0
    failed_on: tuple[str, ...] = ()
    is_done: bool = False
    checkpoint: str = ""

    def copy(self):
        """Return an independent copy."""
        return attrs.evolve(self, active=dict(self.active))


FRESH = TaskState()
"""The state of a task that was never started; not to be changed."""


@attrs.define(eq=False)
class JobState:
    """A job and what the log says of it.

    ``tasks`` holds the tasks that were started at least once. ``done`` counts the
    tasks that are done by occurrence and step, ``failed_tasks`` those that have no
    attempt left.
    """

    job: Job
    tasks: dict[TaskId, TaskState] = attrs.field(factory=dict)
    done: dict[tuple[int, int], int] = attrs.field(factory=dict)
    cancelled_at: float | None = None
    outcome: JobOutcome | None = None
    ended_at: float = 0.0
    failed_tasks: int = 0

    def task(self, task_id):
        """Return the ``TaskState`` of a task, which must not be changed."""
        return self.tasks.get(task_id, FRESH)

    def set_task(self, task_id, state):
        """Replace the state of one task."""
        key = (task_id.occurrence, task_id.step)
        before = self.task(task_id)
        self.done[key] = self.done.get(key, 0) + state.is_done - before.is_done
        self.failed_tasks += self._has_failed(state, key[1])
        self.failed_tasks -= self._has_failed(before, key[1])
        self.tasks[task_id] = state

    def _has_failed(self, task, number):
        if self.job.steps[number].long_running or task.is_done:
            return False
        return task.failures >= self.job.max_attempts

    def step_is_done(self, occurrence, number):
        """Tell whether all tasks of a step of an occurrence are done."""
        return self.done.get((occurrence, number), 0) >= self.job.steps[number].count

    @property
    def is_over(self):
        """Tell whether nothing of the job is to be started any more."""
        return (
            self.outcome is not None
            or self.cancelled_at is not None
            or self.failed_tasks > 0
        )

    @property
    def phase(self):
        """Return what a caller is told."""
        if self.outcome is not None:
            return JobPhase(self.outcome.value)
        if self.cancelled_at is not None:
            return JobPhase.CANCELLED
        if self.failed_tasks:
            return JobPhase.FAILED
        return JobPhase.RUNNING if self.tasks else JobPhase.QUEUED

    def all_done(self):
        """Tell whether every task of every occurrence is done."""
        total = sum(step.count for step in self.job.steps) * self.job.occurrences
        return sum(self.done.values()) >= total


def task_ids(job_id, occurrence, number, step):
    """Yield the ids of all tasks of a step of an occurrence."""
    for index in range(step.count):
        yield TaskId(job_id, occurrence, number, index)


def objective(job):
    """Return the seconds from its due time in which an occurrence is in time."""
    return job.stretch * longest_chain(job) + job.target_duration


def longest_chain(job, is_done=lambda number: False):
    """Return the caller's estimate of the longest chain of steps, in seconds.

    Steps for which ``is_done(number)`` is true take no more time.
    """
    ends = []
    for number, step in enumerate(job.steps):
        begin = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begin + (0.0 if is_done(number) else step.estimate))
    return max(ends, default=0.0)
