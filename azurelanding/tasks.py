"""Describe tasks, where they are placed and how their attempts end.

A task belongs to a job, which the rules declare, and to a team. Its state lives
in the stream of its pool; ``azurelanding.task_fold`` folds that stream.
"""

import enum

import attrs


class TaskPhase(enum.Enum):
    """Where a task is, as far as the log says."""

    WAITING = "waiting"
    PLACED = "placed"
    PARKED = "parked"
    LOST = "lost"


class End(enum.Enum):
    """How an attempt to run a task ended.

    ``MEMORY`` is a failure for want of memory, which says nothing of the worker.
    ``UNSTARTED`` means that the worker surely never started it; ``LAPSED`` that
    its lease ran out, ``GONE`` that its worker restarted or left.
    """

    DONE = "done"
    FAILED = "failed"
    MEMORY = "memory"
    STOPPED = "stopped"
    UNSTARTED = "unstarted"
    LAPSED = "lapsed"
    GONE = "gone"


class Disposition(enum.Enum):
    """What becomes of a task after an attempt has ended."""

    FINISHED = "over"
    RETRY = "again"
    PARKED = "parked"
    LOST = "lost"


@attrs.frozen
class Task:
    """One task as it was submitted.

    ``submitted_at`` and ``deadline`` are in seconds since the epoch; ``repeat``
    is copied from the job, so that a later change of the rules can't make a task
    run twice that must not.
    """

    id: str
    job: str
    team: str
    submitted_at: float
    repeat: bool = True
    deadline: float | None = None

    @property
    def kind(self):
        """Return the pair of job and team; tasks alike in it wait in one line."""
        return self.job, self.team


@attrs.frozen
class Resources:
    """What a task takes of a worker, or a worker has; ``memory`` is in bytes."""

    cores: float = 0.0
    memory: int = 0
    accelerators: int = 0


@attrs.frozen
class Placement:
    """The intent to run attempt ``attempt`` of a task on a worker.

    ``incarnation`` is that of the worker when the intent was made.
    """

    task: str
    attempt: int
    worker: str
    incarnation: str
    need: Resources


@attrs.frozen
class TaskEnd:
    """How one attempt ended and what follows.

    ``cores`` and ``memory`` are the peaks that were observed, ``ran`` the run
    time and ``saved`` the part of it up to the last checkpoint, in seconds.
    """

    task: str
    attempt: int
    end: End
    then: Disposition
    reason: str = ""
    cores: float = 0.0
    memory: int = 0
    ran: float = 0.0
    saved: float = 0.0


@attrs.define(eq=False)
class TaskState:
    """A task and what the log says of it.

    ``attempt`` counts the intents made so far. ``failed_on`` names the workers
    on which it failed though they run other tasks, ``memory_failures`` counts
    attempts that ended for want of memory.
    """

    task: Task
    phase: TaskPhase = TaskPhase.WAITING
    attempt: int = 0
    placement: Placement | None = None
    failed_on: tuple[str, ...] = ()
    memory_failures: int = 0
    saved: float = 0.0
    reason: str = ""


def pool_of(task_id):
    """Return the pool that a task's id names.

    >>> pool_of("cuts.4f2a-0")
    'cuts'
    """
    return task_id.rpartition(".")[0]


def new_tasks(rule, team, count, key, now, deadline=None):
    """Return ``count`` tasks of the job ``rule``.

    Their ids come from the pool and ``key``, which must be unique: the same key
    gives the same ids. ``deadline`` is in seconds from ``now``.
    """
    due = None if deadline is None else now + deadline
    return tuple(
        Task(f"{rule.pool}.{key}-{number}", rule.name, team, now, rule.repeat, due)
        for number in range(count)
    )
