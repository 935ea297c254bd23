"""Define the orders, reports and errors of calls from a controller to its workers."""

import enum

import attrs

from azurelanding.jobs import RunEnd, TaskId
from azurelanding.utils import boot_time


class Refusal(enum.Enum):
    """Why a worker refused a call; a refused call has had no effect."""

    FENCED = "fenced"
    OLD_RUN = "old-run"
    LEASE_OVER = "lease-over"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class WorkerError(Exception):
    """A call to a worker failed."""


class WorkerNoResponseError(WorkerError):
    """A call got no usable answer.

    If ``sent`` is true, the order may have been carried out or may still be later.
    ``timed_out`` says whether the time ran out; otherwise the connection ended or the
    answer could not be read.
    """

    def __init__(self, message, sent, timed_out=False):
        super().__init__(message)
        self.sent = sent
        self.timed_out = timed_out


class WorkerEndedError(WorkerError):
    """The worker's incarnation has ended: another worker answers at its address."""


class WorkerRefusedError(WorkerError):
    """The worker refused the call, which had no effect, for a ``Refusal`` reason."""

    def __init__(self, message, reason):
        super().__init__(message)
        self.reason = reason


@attrs.frozen
class ListedRun:
    """A run that a worker reports as in progress.

    - ``work_share`` is the share of the task's work that is done, or for a
      long-running task the share of its full pace at which it works.
    - ``measurement`` is the tail latency in milliseconds if the task has a target for
      it, otherwise the CPU use in millicores.
    """

    task: TaskId
    run: int
    checkpoint: str
    work_share: float
    measurement: float


@attrs.frozen
class ListedEnd:
    """A run that a worker reports as ended; ``number`` increases from end to end."""

    number: int
    task: TaskId
    run: int
    end: RunEnd
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """A worker's report on its runs.

    ``clock`` is the time of its own clock, in seconds. ``born`` is the start of its
    incarnation, in milliseconds since the epoch. ``has_all_ends`` is false if further
    ends may follow once these are acknowledged.
    """

    clock: float
    born: int
    runs: tuple[ListedRun, ...]
    ends: tuple[ListedEnd, ...]
    has_all_ends: bool = True


@attrs.frozen
class StartOrder:
    """An order to start a run of a task; ``placed_at`` is in ``boot_time``."""

    task: TaskId
    run: int
    spec: str
    checkpoint: str = ""
    ticket: str = ""
    placed_at: float = attrs.field(factory=boot_time, eq=False)


@attrs.frozen
class StopOrder:
    """An order to stop a run; the worker also refuses any later start of it."""

    task: TaskId
    run: int


@attrs.frozen
class PaceOrder:
    """An order to run at ``share`` of the full pace, from 0 to 1."""

    task: TaskId
    run: int
    share: float
