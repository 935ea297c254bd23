"""Encode messages to workers and decode their answers: JSON over HTTP.

``POST /v1/report`` takes one ``ReportRequest`` and returns a ``Report`` with
the attempts that changed after version ``since``: immediately if there are any, else
after up to ``wait`` seconds. ``POST /v1/orders`` takes ``Orders`` and returns a
``Report`` of the attempts that they name. Both renew the leases of the pool's
tasks. A worker answers 409 to an epoch older than the newest that it has received,
and to orders that are not newer than the last, so late orders have no effect.

Attempts are encoded as arrays, because reports consist mostly of attempts.
"""

import enum

import attrs
import msgspec

from azurelanding.decoding import make_json_decoder
from azurelanding.tasks import Resources

REPORT_PATH = "/v1/report"
ORDERS_PATH = "/v1/orders"


class AttemptPhase(enum.Enum):
    """The phase of an attempt on its worker; all but ``RUNNING`` are final."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    MEMORY = "memory"
    STOPPED = "stopped"
    UNSTARTED = "unstarted"
    LAPSED = "lapsed"


@attrs.frozen
class Attempt:
    """One attempt as its worker reports it.

    ``version`` is that of the last change of the attempt. ``cores`` and ``memory``,
    in bytes, are the peak usage. ``ran`` is the run time and ``saved`` the part of
    it up to the last checkpoint, in seconds. ``limit`` is the limit of cores, 0 for
    no limit. ``stopping`` is true once the worker was ordered to stop the attempt.
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
    """A request for a report; ``wait`` and ``lease`` are in seconds.

    ``incarnation`` is the worker's incarnation that ``since`` belongs to. A worker
    of another incarnation reports all its attempts.
    """

    pool: str
    epoch: int
    incarnation: str
    since: int
    wait: float
    lease: float


@attrs.frozen
class Start:
    """Start an attempt with the resources ``need``.

    ``saved`` is the run time up to the task's last checkpoint, in seconds.
    """

    task: str
    attempt: int
    job: str
    need: Resources
    saved: float = 0.0


@attrs.frozen
class Stop:
    """Stop an attempt.

    If ``patience`` is not 0, the attempt may save a checkpoint within that many
    seconds first.
    """

    task: str
    attempt: int
    patience: float = 0.0


@attrs.frozen
class Limit:
    """Limit an attempt to ``cores``; 0 removes the limit."""

    task: str
    attempt: int
    cores: float


@attrs.frozen
class Orders:
    """The orders of a pool's controller to a worker; ``lease`` is in seconds.

    ``sequence`` increases with each ``Orders`` of one epoch. A worker of another
    ``incarnation`` refuses them. ``forget`` names tasks whose end is recorded, so
    that the worker can drop them.
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
    """A worker's report; ``whole`` if it contains all attempts of the worker."""

    incarnation: str
    version: int
    whole: bool
    attempts: tuple[Attempt, ...] = ()


_AttemptRow = tuple[
    str, int, int, AttemptPhase, float, int, float, float, float, bool, str
]
_ReportRow = tuple[str, int, bool, list[_AttemptRow]]


class ReportFormatError(ValueError):
    """A message of a worker, or to the stand-in of one, can't be read."""


_decode_report_row = make_json_decoder(_ReportRow, ReportFormatError)
decode_report_request = make_json_decoder(ReportRequest, ReportFormatError)
decode_orders = make_json_decoder(Orders, ReportFormatError)


def encode(value):
    """Return ``value``, an instance of ``ReportRequest`` or ``Orders``, as JSON."""
    return msgspec.json.encode(value)


def encode_report(report):
    """Return the JSON of a ``Report``, for the stand-in."""
    rows = [attrs.astuple(attempt) for attempt in report.attempts]
    return msgspec.json.encode((report.incarnation, report.version, report.whole, rows))


def decode_report(content):
    """Return the ``Report`` in ``content``."""
    incarnation, version, whole, rows = _decode_report_row(content)
    attempts = tuple(Attempt(*row) for row in rows)
    return Report(incarnation, version, whole, attempts)
