"""Name what is said between a pool's controller and its workers."""

import enum

import attrs

from azurelanding.jobs import RunEnd, TaskId


class Refusal(enum.Enum):
    """Why a worker did not do what it was asked; nothing has happened there."""

    FENCED = "fenced"
    OLD_RUN = "old-run"
    LEASE_OVER = "lease-over"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class WorkerError(Exception):
    """A worker did not do what it was asked."""


class WorkerSilentError(WorkerError):
    """There was no answer.

    When ``sent`` the order may have been carried out, or may be later.
    """

    def __init__(self, message, sent):
        super().__init__(message)
        self.sent = sent


class WorkerEndedError(WorkerError):
    """The worker has ended: another one answers at its address."""


class WorkerRefusedError(WorkerError):
    """The worker answered that it did nothing, for ``reason``."""

    def __init__(self, message, reason):
        super().__init__(message)
        self.reason = reason


@attrs.frozen
class ListedRun:
    """A run that a worker lists as under way.

    ``work_share`` is the share of its work that is done for a task that comes to an end,
    and the share of its pace at which it works for any other. ``measurement``
    is the tail of its response times in milliseconds for a task with such a target,
    and the cores in use, in thousandths, for any other.
    """

    task: TaskId
    run: int
    checkpoint: str
    work_share: float
    measurement: float


@attrs.frozen
class ListedEnd:
    """A run that a worker lists as ended, under a number that rises."""

    number: int
    task: TaskId
    run: int
    end: RunEnd
    checkpoint: str


@attrs.frozen
class WorkerReport:
    """What a worker says of its runs; ``clock`` is its own, in seconds."""

    clock: float
    born: int
    runs: tuple[ListedRun, ...]
    ends: tuple[ListedEnd, ...]


@attrs.frozen
class StartOrder:
    """An order to start a run of a task."""

    task: TaskId
    run: int
    spec: str
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class StopOrder:
    """An order to stop a run; the worker then never starts it either."""

    task: TaskId
    run: int


@attrs.frozen
class PaceOrder:
    """An order to let a run work at ``share`` of its pace, from 0 to 1."""

    task: TaskId
    run: int
    share: float
