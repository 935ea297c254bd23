"""Describe tasks, where they are placed and how their attempts end.

A task belongs to a team and to a job that the rules declare. Its state is kept in
the stream of its pool, which ``azurelanding.task_fold`` folds.
"""

import enum

import attrs


class TaskPhase(enum.Enum):
    """The phase of a task according to the log."""

    WAITING = "waiting"
    PLACED = "placed"
    PARKED = "parked"
    LOST = "lost"


class End(enum.Enum):
    """How an attempt to run a task ended.

    ``MEMORY`` means that it ran out of memory, which does not count against the
    worker. ``UNSTARTED`` means that the worker certainly never started it,
    ``LAPSED`` that its lease expired, and ``GONE`` that its worker restarted or was
    removed.
    """

    DONE = "done"
    FAILED = "failed"
    MEMORY = "memory"
    STOPPED = "stopped"
    UNSTARTED = "unstarted"
    LAPSED = "lapsed"
    GONE = "gone"


class Disposition(enum.Enum):
    """What happens to a task after an attempt has ended."""

    FINISHED = "over"
    RETRY = "again"
    PARKED = "parked"
    LOST = "lost"


@attrs.frozen
class Task:
    """One task as it was submitted.

    ``submitted_at`` and ``deadline`` are in seconds since the epoch. ``repeat`` is
    copied from the job, so that a later change of the rules can't cause a task that
    must not be repeated to run twice.
    """

    id: str
    job: str
    team: str
    submitted_at: float
    repeat: bool = True
    deadline: float | None = None

    @property
    def kind(self):
        """Return the job and team; tasks with the same pair wait in one line."""
        return self.job, self.team


@attrs.frozen
class Resources:
    """Resources that a task needs or a worker has; ``memory`` is in bytes."""

    cores: float = 0.0
    memory: int = 0
    accelerators: int = 0


@attrs.frozen
class Placement:
    """The intent to run attempt ``attempt`` of a task on a worker.

    ``incarnation`` is that of the worker when the intent was recorded.
    """

    task: str
    attempt: int
    worker: str
    incarnation: str
    need: Resources


@attrs.frozen
class TaskEnd:
    """How one attempt ended and what happens to the task next.

    ``cores`` and ``memory`` are the observed peak use, ``ran`` the run time and
    ``saved`` the part of it up to the last checkpoint, both in seconds.
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
    """A task and its state according to the log.

    ``attempt`` counts the placements so far. ``failed_on`` names the healthy workers
    on which it failed, and ``memory_failures`` counts the attempts that ran out of
    memory.
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
    """Return the name of the pool that a task id contains.

    >>> pool_of("cuts.4f2a-0")
    'cuts'
    """
    return task_id.rpartition(".")[0]


def new_tasks(rule, team, count, key, now, deadline=None):
    """Return ``count`` tasks of the job ``rule``.

    Their ids are made from the pool and ``key``, which must be unique: the same key
    gives the same ids. ``deadline`` is in seconds after ``now``.
    """
    deadline_at = None if deadline is None else now + deadline
    return tuple(
        Task(
            f"{rule.pool}.{key}-{number}",
            rule.name,
            team,
            now,
            rule.repeat,
            deadline_at,
        )
        for number in range(count)
    )
