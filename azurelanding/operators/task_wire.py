"""Messages of the operators' API about tasks, as JSON over HTTP.

``POST /v1/tasks/submit``, ``/v1/tasks/cancel`` and ``/v1/tasks/release`` take a
``SubmitRequest``, ``CancelRequest`` and ``ReleaseRequest``, and return a
``TaskChangeResult``.
``GET /v1/tasks?pool=NAME`` returns a ``TasksReport``, ``GET /v1/tasks?task=ID`` a
``TaskReport``.
"""

import attrs

TASKS_PATH = "/v1/tasks"
SUBMIT_PATH = "/v1/tasks/submit"
CANCEL_PATH = "/v1/tasks/cancel"
RELEASE_PATH = "/v1/tasks/release"


@attrs.frozen
class SubmitRequest:
    """Request to submit ``count`` tasks of a job for a team.

    ``deadline`` is in seconds from now. The task ids are derived from ``key``, so a
    request repeated after a lost answer submits nothing twice.
    """

    job: str
    team: str
    count: int
    asked_by: str
    key: str
    deadline: float | None = None


@attrs.frozen
class CancelRequest:
    """Request to cancel the named tasks, or all of a job, of a team or of both."""

    asked_by: str
    tasks: tuple[str, ...] = ()
    job: str = ""
    team: str = ""


@attrs.frozen
class ReleaseRequest:
    """Request to return parked or lost tasks to the queue."""

    asked_by: str
    tasks: tuple[str, ...]


@attrs.frozen
class TaskChangeResult:
    """Whether a change of tasks was recorded in the log, or why not.

    If ``undecided`` is true, this is not known: the change may still be recorded.
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
    """The tasks of a job and team with the same phase and reason: count, some ids."""

    job: str
    team: str
    phase: str
    reason: str
    count: int
    examples: tuple[str, ...]


@attrs.frozen
class WorkerReport:
    """One worker: its number of tasks, and why it gets fewer or no new ones, if so."""

    name: str
    tasks: int
    open: bool
    reason: str


@attrs.frozen
class TasksReport:
    """The tasks of a pool; ``by`` is the incarnation that controls it.

    ``planned`` is true if this daemon controls the pool and so knows why tasks wait.
    """

    pool: str
    by: str
    planned: bool
    lines: tuple[TaskGroupReport, ...]
    workers: tuple[WorkerReport, ...]
