"""Define jobs, their steps and tasks, and the progress of each.

A caller submits a job, which runs on the workers of one pool. A step may depend on
earlier steps and consists of identical tasks. ``azurelanding.ledger`` folds the stream
of a pool to the state of its jobs.
"""

import enum
import math

import attrs

from azurelanding.step_progress import StepProgress, copy_dict
from azurelanding.tasks import Resources

MAX_TASKS_PER_JOB = 100_000
"""Limit on the tasks of a job over all its occurrences; hundreds of times the largest
jobs seen."""


class JobOutcome(enum.Enum):
    """How a job ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class JobPhase(enum.Enum):
    """The state of a job as reported to its caller."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunEnd(enum.Enum):
    """How a run of a task ended, as reported by its worker.

    ``LAPSED`` means that the worker's lease expired, ``GANG_BROKEN`` that another
    member of the gang ended, and ``GANG_INCOMPLETE`` that not all members of the gang
    started in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


@attrs.frozen(cache_hash=True)
class TaskId:
    """Identifies a task by job, and by occurrence, step and index, counted from 0."""

    job: str
    occurrence: int
    step: int
    index: int

    @classmethod
    def from_name(cls, name):
        """Return the id with a name as ``str`` gives it; raise ``ValueError`` if none.

        >>> TaskId.from_name("5c0e.0.1.17")
        TaskId(job='5c0e', occurrence=0, step=1, index=17)
        """
        job, occurrence, step, index = name.split(".")
        return cls(job, int(occurrence), int(step), int(index))

    def __str__(self):
        return f"{self.job}.{self.occurrence}.{self.step}.{self.index}"


@attrs.frozen
class Step:
    """A number of identical tasks of a job.

    ``estimate`` is the run time in seconds that the caller expects. ``after`` holds
    the numbers of the steps that must be done first. ``rack`` is the rack that holds
    the data, ``label`` a label that the worker must have. ``per_worker`` limits the
    tasks of the step on one worker, 0 for no limit. The tasks of a ``gang`` run only
    all at the same time. A step with ``fills`` uses cores that other tasks leave idle,
    and its own cores are not counted. ``tail_target`` is the upper limit in seconds on
    the response times of a long-running task, 0 for none. ``may_miss`` is the number of
    long-running tasks that may be unavailable at the same time.
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
    """A job as it was accepted.

    ``submitted_at`` and ``first_due`` are in seconds since the epoch, ``interval``
    in seconds. ``occurrences`` is the number of times that the steps run. ``first_due``
    is 0 for a job that is due immediately. ``max_attempts``, ``priority`` (0 is the
    highest), ``stretch`` and ``target_duration`` (seconds) are copied from its queue at
    the time of acceptance. ``account`` is the client account that submitted it, empty
    for none. ``configuration`` is the version of the configuration under which the job
    was submitted, 0 if the queue's pool may have been another one under it. ``size`` is
    about how many bytes a daemon needs to hold the job until it has ended.
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
    account: str = ""
    configuration: int = 0
    size: int = 0

    def due_at(self, occurrence):
        """Return the earliest start of an occurrence, in seconds since the epoch."""
        if not self.first_due:
            return self.submitted_at
        return self.first_due + occurrence * self.interval

    def first_due_from(self, time):
        """Return the first occurrence that is due at ``time`` or later.

        ``time`` is in seconds since the epoch. If none is, the number of occurrences is
        returned.
        """
        if self.due_at(0) >= time:
            return 0
        if not (self.first_due and self.interval > 0.0):
            return self.occurrences
        number = math.ceil((time - self.first_due) / self.interval)
        number = max(0, min(self.occurrences, number))
        # The division rounds.
        if number and self.due_at(number - 1) >= time:
            number -= 1
        elif number < self.occurrences and self.due_at(number) < time:
            number += 1
        return number

    def count_due(self, now):
        """Return how many occurrences are due at ``now``, which are the first ones."""
        return self.first_due_from(math.nextafter(now, math.inf))

    @property
    def task_count(self):
        """Return the number of tasks over all occurrences."""
        return sum(step.count for step in self.steps) * self.occurrences

    def has_task(self, task_id):
        """Return whether ``task_id`` names one of the tasks of the job."""
        return (
            0 <= task_id.occurrence < self.occurrences
            and 0 <= task_id.step < len(self.steps)
            and 0 <= task_id.index < self.steps[task_id.step].count
        )

    @property
    def is_long_running(self):
        """Return whether the job runs until it is cancelled."""
        return any(step.long_running for step in self.steps)


@attrs.define
class TaskState:
    """The recorded state of one task.

    ``last_run`` is the number of its latest start that was decided. ``active`` maps
    each run that may be in progress to its worker. ``failed_on`` names the workers on
    which a run failed. ``was_reported`` is set once a worker has told that it has begun
    a run: a start that was decided may be refused, or never arrive. ``not_begun``
    counts the runs that are known never to have begun.
    """

    last_run: int = 0
    active: dict[int, str] = attrs.field(factory=dict)
    failures: int = 0
    failed_on: tuple[str, ...] = ()
    is_done: bool = False
    checkpoint: str = ""
    was_reported: bool = False
    not_begun: int = 0

    @property
    def has_begun(self):
        """Return whether a run of the task is known to have begun."""
        return self.was_reported or self.is_done or self.failures > 0

    def copy(self):
        """Return an independent copy."""
        return attrs.evolve(self, active=dict(self.active))


UNSTARTED_TASK = TaskState()
"""The state of a task that was never started; shared, so it must not be changed."""


@attrs.define(eq=False)
class JobState:
    """A job and its recorded state.

    ``tasks`` holds the tasks for which a start was decided at least once, and ``begun``
    counts those that have begun. ``progress`` is that of the steps, and
    ``failed_tasks`` counts the tasks that have no attempts left. ``in_progress`` holds
    the tasks with active runs, ``running_by_step`` their number by step; ``overdone``
    holds those that are done nevertheless. ``first_waiting`` holds by occurrence and
    step an index below which all tasks are done or running. ``position`` orders the
    jobs of a ledger by their acceptance.
    """

    job: Job
    tasks: dict[TaskId, TaskState] = attrs.field(factory=dict)
    progress: StepProgress = attrs.field()
    cancelled_at: float | None = None
    outcome: JobOutcome | None = None
    ended_at: float = 0.0
    begun: int = 0
    failed_tasks: int = 0
    in_progress: dict[TaskId, TaskState] = attrs.field(factory=dict)
    running_by_step: dict[int, int] = attrs.field(factory=dict)
    overdone: dict[TaskId, TaskState] = attrs.field(factory=dict)
    first_waiting: dict[tuple[int, int], int] = attrs.field(factory=dict)
    position: int = 0

    @progress.default
    def _make_progress(self):
        return StepProgress.from_steps(self.job.steps, self.job.occurrences)

    def copy(self):
        """Return a copy, of which tasks can be replaced.

        This one must not change while the copy is in use. The cost of a copy doesn't
        grow with the tasks that are done.
        """
        return attrs.evolve(
            self,
            tasks=copy_dict(self.tasks),
            progress=self.progress.copy(),
            in_progress=dict(self.in_progress),
            running_by_step=dict(self.running_by_step),
            overdone=dict(self.overdone),
            first_waiting=copy_dict(self.first_waiting),
        )

    def set_work(self, spec, steps):
        """Set the work of a job that was known without it, and that has not begun."""
        self.job = attrs.evolve(self.job, spec=spec, steps=steps)
        self.progress = self._make_progress()

    def task(self, task_id):
        """Return the ``TaskState`` of a task, which must not be changed."""
        return self.tasks.get(task_id, UNSTARTED_TASK)

    def set_task(self, task_id, state):
        """Replace the state of one task."""
        known = self.task(task_id)
        self._count(task_id, known, state)
        self.tasks[task_id] = state
        if not (state.is_done or state.active):
            key = (task_id.occurrence, task_id.step)
            first = self.first_waiting.get(key, 0)
            self.first_waiting[key] = min(first, task_id.index)
        _set_member(self.in_progress, task_id, state, bool(state.active))
        _set_member(self.overdone, task_id, state, state.is_done and state.active)

    def _count(self, task_id, known, state):
        """Count what changes when the state of a task becomes another one."""
        number = task_id.step
        self.begun += state.has_begun - known.has_begun
        if state.failures or known.failures:
            failed = self._has_failed(state, number) - self._has_failed(known, number)
            self.failed_tasks += failed
        was_running, is_running = bool(known.active), bool(state.active)
        if is_running != was_running:
            running = self.running_by_step.get(number, 0)
            self.running_by_step[number] = running + is_running - was_running
        taken = (state.is_done or is_running) - (known.is_done or was_running)
        done = state.is_done - known.is_done
        self.progress.count(task_id.occurrence, number, taken, done)

    def end(self, outcome, ended_at):
        """End the job, and drop its work; return its tasks."""
        self.outcome, self.ended_at = outcome, ended_at
        tasks, self.tasks = self.tasks, {}
        self.in_progress, self.overdone = {}, {}
        self.running_by_step, self.first_waiting = {}, {}
        self.job = attrs.evolve(self.job, spec="", steps=())
        total_done, self.progress = self.progress.total_done, self._make_progress()
        self.progress.total_done = total_done
        return tasks

    @property
    def running(self):
        """Return the number of tasks with active runs."""
        return len(self.in_progress)

    @property
    def objective(self):
        """Return the seconds after its due time in which an occurrence must end."""
        return self.job.stretch * self.progress.plan.chain + self.job.target_duration

    def _has_failed(self, task, number):
        if self.job.steps[number].long_running or task.is_done:
            return False
        return task.failures >= self.job.max_attempts

    def waiting_tasks(self, occurrence, number):
        """Yield the ids of the tasks of a step that are neither done nor running.

        The tasks before the first of them are not visited again.
        """
        key, count = (occurrence, number), self.job.steps[number].count
        is_first = True
        for index in range(self.first_waiting.get(key, 0), count):
            task_id = TaskId(self.job.id, occurrence, number, index)
            task = self.task(task_id)
            if task.active or task.is_done:
                continue
            if is_first:
                is_first, self.first_waiting[key] = False, index
            yield task_id

    def running_cores(self):
        """Return the cores that the running tasks need, without those of fillers."""
        return sum(
            count * self.job.steps[number].need.cores
            for number, count in self.running_by_step.items()
            if not self.job.steps[number].fills
        )

    def startable_steps(self):
        """Yield each step of which tasks may start in an occurrence, once it is due."""
        if not self.is_over:
            for number in self.progress.open_numbers():
                yield self.job.steps[number]

    @property
    def is_over(self):
        """Return whether no more tasks of the job may start."""
        return (
            self.outcome is not None
            or self.cancelled_at is not None
            or self.failed_tasks > 0
        )

    @property
    def may_end(self):
        """Return whether the job is complete, or over without a run in progress."""
        if self.is_over:
            return not self.running
        return bool(self.tasks) and not self.job.is_long_running and self.all_done()

    @property
    def has_unwanted_runs(self):
        """Return whether runs are in progress that the job no longer needs."""
        return bool(self.overdone) or (self.is_over and self.running > 0)

    @property
    def phase(self):
        """Return the phase that is reported to the caller."""
        if self.outcome is not None:
            return JobPhase(self.outcome.value)
        if self.cancelled_at is not None:
            return JobPhase.CANCELLED
        if self.failed_tasks:
            return JobPhase.FAILED
        return JobPhase.RUNNING if self.begun else JobPhase.QUEUED

    def all_done(self):
        """Return whether every task of every occurrence is done."""
        return self.progress.total_done >= self.job.task_count


def task_ids(job_id, occurrence, number, step):
    """Yield the ids of all tasks of a step of an occurrence."""
    for index in range(step.count):
        yield TaskId(job_id, occurrence, number, index)


def _set_member(tasks, task_id, state, is_member):
    if is_member:
        tasks[task_id] = state
    else:
        tasks.pop(task_id, None)
