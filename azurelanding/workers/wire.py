"""Encode what goes to and comes from workers: JSON over HTTP.

``POST /v1/report`` takes an ``ReportRequest`` and is answered by a ``Report``: the attempts
that changed after version ``since``, at once if there are any, else after up to
``wait`` seconds. ``POST /v1/orders`` takes ``Orders`` and is answered by a
``Report`` of the attempts that they name. Both renew the leases of the pool's
tasks. A worker answers 409 to an epoch older than one that it has seen, and to
orders that are not newer than the last, so orders that come late change nothing.

An attempt is sent as an array, since most of what a worker tells is attempts.
"""

import enum

import attrs
import msgspec

from azurelanding.tasks import Resources

REPORT_PATH = "/v1/report"
ORDERS_PATH = "/v1/orders"


class AttemptPhase(enum.Enum):
    """Where an attempt is on its worker; all but ``RUNNING`` are ends."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    MEMORY = "memory"
    STOPPED = "stopped"
    UNSTARTED = "unstarted"
    LAPSED = "lapsed"


@attrs.frozen
class Attempt:
    """One attempt as its worker tells of it.

    ``version`` is that of the worker's last change to it. ``cores`` and ``memory``
    are peaks, ``ran`` and ``saved`` seconds, ``limit`` the cores that it is held
    to, 0 for no limit. ``stopping`` tells that it was told to stop.
    """

    task: str
    attempt: int
    version: int
    phase: AttemptPhase
    cores: float = 0.0
    memory: int = 0
    ran: float = 0.0
    saved: float = 0.0
    limit: float = 0.0
    stopping: bool = False
    reason: str = ""


@attrs.frozen
class ReportRequest:
    """Ask for a report; ``lease`` is in seconds.

    ``incarnation`` is the one that ``since`` belongs to; another one's worker
    tells of all its attempts.
    """

    pool: str
    epoch: int
    incarnation: str
    since: int
    wait: float
    lease: float


@attrs.frozen
class Start:
    """Start an attempt with what it may take; ``saved`` is its last checkpoint."""

    task: str
    attempt: int
    job: str
    need: Resources
    saved: float = 0.0


@attrs.frozen
class Stop:
    """Stop an attempt; with ``patience``, save a checkpoint in so many seconds."""

    task: str
    attempt: int
    patience: float = 0.0


@attrs.frozen
class Limit:
    """Hold an attempt to ``cores``; 0 lifts the limit."""

    task: str
    attempt: int
    cores: float


@attrs.frozen
class Orders:
    """What a pool's controller wants of a worker.

    ``sequence`` grows with each ``Orders`` of one epoch. A worker of another
    ``incarnation`` refuses them. ``forget`` names ended tasks that are recorded.
    """

    pool: str
    epoch: int
    sequence: int
    incarnation: str
    lease: float
    starts: tuple[Start, ...] = ()
    stops: tuple[Stop, ...] = ()
    limits: tuple[Limit, ...] = ()
    forget: tuple[str, ...] = ()


@attrs.frozen
class Report:
    """What a worker tells; ``whole`` when it names all its attempts."""

    incarnation: str
    version: int
    whole: bool
    attempts: tuple[Attempt, ...] = ()


_AttemptRow = tuple[
    str, int, int, AttemptPhase, float, int, float, float, float, bool, str
]
_ReportRow = tuple[str, int, bool, list[_AttemptRow]]


def encode(value):
    """Return the JSON of an ``ReportRequest`` or of ``Orders``."""
    return msgspec.json.encode(value)


def decode_report_request(content):
    """Return the ``ReportRequest`` in ``content``, for the stand-in."""
    return msgspec.json.decode(content, type=ReportRequest)


def decode_orders(content):
    """Return the ``Orders`` in ``content``, for the stand-in."""
    return msgspec.json.decode(content, type=Orders)


def encode_report(report):
    """Return the JSON of a ``Report``, for the stand-in."""
    rows = [attrs.astuple(attempt) for attempt in report.attempts]
    return msgspec.json.encode((report.incarnation, report.version, report.whole, rows))


def decode_report(content):
    """Return the ``Report`` in ``content``."""
    incarnation, version, whole, rows = msgspec.json.decode(content, type=_ReportRow)
    attempts = tuple(Attempt(*row) for row in rows)
    return Report(incarnation, version, whole, attempts)
