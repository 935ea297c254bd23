"""Define the records in the task stream of a pool.

Any daemon may append submissions and cancellations. Only the pool's controller
records decisions, under the epoch of its lease. One ``TasksDecided`` holds all
decisions of one pass, so the number of appends does not grow with the number of
tasks.
"""

import uuid

import attrs

from azurelanding.tasks import Placement, Task, TaskEnd, TaskState


def stream_of(pool):
    """Return the name of the stream that holds the tasks of ``pool``."""
    return f"tasks.{pool}"


@attrs.frozen
class TasksSubmitted:
    """Submit ``tasks``, which then wait for placement."""

    tasks: tuple[Task, ...]


@attrs.frozen
class TasksCancelled:
    """Cancel tasks by id, and all tasks of a job, of a team, or of both combined."""

    tasks: tuple[str, ...] = ()
    job: str = ""
    team: str = ""


@attrs.frozen
class TasksReleased:
    """Return parked or lost tasks to waiting.

    A lost task may then run twice; the operator who releases it accepts that risk.
    """

    tasks: tuple[str, ...]


@attrs.frozen
class TasksDecided:
    """The attempts that the controller with ``epoch`` saw end and those to start.

    The first record of an epoch is empty. It makes readers reject later records of
    older epochs.
    """

    epoch: int
    ended: tuple[TaskEnd, ...] = ()
    placed: tuple[Placement, ...] = ()


@attrs.frozen
class TasksRestated:
    """One part of a snapshot of all tasks up to offset ``through``.

    The snapshot ``name`` has ``parts`` parts, and ``part`` numbers them from 0.
    ``ended`` has the ids of finished tasks, so that they are not submitted again.
    """

    name: str
    through: int
    epoch: int
    part: int
    parts: int
    states: tuple[TaskState, ...] = ()
    ended: tuple[str, ...] = ()


BODY_TYPES = {
    "tasks-submitted": TasksSubmitted,
    "tasks-cancelled": TasksCancelled,
    "tasks-released": TasksReleased,
    "tasks-decided": TasksDecided,
    "tasks-restated": TasksRestated,
}
KIND_OF = {body_type: kind for kind, body_type in BODY_TYPES.items()}


@attrs.frozen
class TaskRecord:
    """One change to the tasks of a pool, as its author wrote it.

    ``author`` is the daemon that wrote it, ``asked_by`` the person or part of the
    system that requested it, and ``made_at`` the time in seconds since the epoch.
    """

    id: str
    author: str
    asked_by: str
    made_at: float
    body: TasksSubmitted | TasksCancelled | TasksReleased | TasksDecided | TasksRestated

    @property
    def kind(self):
        """Return the name of the body's kind, such as ``tasks-submitted``."""
        return KIND_OF[type(self.body)]


def new_record(body, author, asked_by, now):
    """Return a record of ``body`` with a new unique id."""
    return TaskRecord(uuid.uuid4().hex, author, asked_by, now, body)
