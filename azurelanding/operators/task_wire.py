"""Encode what operators' programs and daemons say about tasks: JSON over HTTP.

``POST /v1/tasks/submit``, ``/v1/tasks/cancel`` and ``/v1/tasks/release`` take what
is asked and are answered by a ``TaskChangeResult``; ``GET /v1/tasks?pool=NAME`` by a
``TasksReport`` and ``GET /v1/tasks?task=ID`` by a ``TaskReport``.
"""

import attrs

TASKS_PATH = "/v1/tasks"
SUBMIT_PATH = "/v1/tasks/submit"
CANCEL_PATH = "/v1/tasks/cancel"
RELEASE_PATH = "/v1/tasks/release"


@attrs.frozen
class SubmitRequest:
    """Submit ``count`` tasks of a job for a team.

    ``deadline`` is in seconds from now. The same ``key`` gives the same ids, so
    that asking again after a lost answer submits nothing twice.
    """

    job: str
    team: str
    count: int
    asked_by: str
    key: str
    deadline: float | None = None


@attrs.frozen
class CancelRequest:
    """Cancel the named tasks, or all of a job, of a team or of both."""

    asked_by: str
    tasks: tuple[str, ...] = ()
    job: str = ""
    team: str = ""


@attrs.frozen
class ReleaseRequest:
    """Let parked or lost tasks wait again."""

    asked_by: str
    tasks: tuple[str, ...]


@attrs.frozen
class TaskChangeResult:
    """Whether a change of tasks is in the log, or why not.

    With ``undecided`` that is not known: it may still get there.
    """

    recorded: bool
    tasks: tuple[str, ...] = ()
    reason: str = ""
    undecided: bool = False


@attrs.frozen
class TaskReport:
    """One task: its phase, its worker if placed, and why it waits or is parked."""

    id: str
    job: str
    team: str
    phase: str
    attempt: int = 0
    worker: str = ""
    reason: str = ""


@attrs.frozen
class TaskGroupReport:
    """How many tasks of a job and team are alike, and some of their ids."""

    job: str
    team: str
    phase: str
    reason: str
    count: int
    examples: tuple[str, ...]


@attrs.frozen
class WorkerReport:
    """One worker: its tasks, and why it gets fewer new ones, if it does."""

    name: str
    tasks: int
    open: bool
    reason: str


@attrs.frozen
class TasksReport:
    """The tasks of a pool; ``by`` is the incarnation that controls it.

    ``planned`` tells whether this daemon does, and so knows why tasks wait.
    """

    pool: str
    by: str
    planned: bool
    lines: tuple[TaskGroupReport, ...]
    workers: tuple[WorkerReport, ...]
