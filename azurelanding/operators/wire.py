"""Messages of the operators' API, as JSON over HTTP.

``GET`` of ``/v1/status``, ``/v1/hosts``, ``/v1/rules``, ``/v1/audit`` and ``/v1/waves``
returns reports; ``GET /v1/audit?all`` includes records of lease renewals and snapshots.
``POST /v1/changes`` takes a ``ChangeRequest`` and returns a ``ChangeResult``.
"""

import attrs
import msgspec

from azurelanding import records
from azurelanding.decoding import make_json_decoder

STATUS_PATH = "/v1/status"
HOSTS_PATH = "/v1/hosts"
RULES_PATH = "/v1/rules"
AUDIT_PATH = "/v1/audit"
ALL_RECORDS_QUERY = "all"
WAVES_PATH = "/v1/waves"
CHANGES_PATH = "/v1/changes"


class MessageFormatError(ValueError):
    """A request of an operator, or the answer to it, can't be read."""


class ChangeFormatError(MessageFormatError):
    """A requested change can't be decoded."""


@attrs.frozen
class ChangeRequest:
    """A requested change; ``kind`` is the kind of record that ``body`` encodes."""

    kind: str
    asked_by: str
    body: msgspec.Raw


@attrs.frozen
class ChangeResult:
    """The outcome of a change: whether it was accepted, at which offset, or why not.

    If ``undecided`` is true, this is not known yet; the audit trail shows the outcome
    of the record with the id ``record`` as soon as the log answers.
    """

    accepted: bool
    offset: int = 0
    reason: str = ""
    winner: str = ""
    record: str = ""
    undecided: bool = False


@attrs.frozen
class Member:
    """A live daemon, how far it has read the log, and its version of the rules."""

    name: str
    role: str
    zone: str
    next_offset: int
    rules_version: int
    stopping: bool = False


@attrs.frozen
class LeaseReport:
    """The incarnation that controls a pool and the epoch of its lease."""

    holder: str
    epoch: int


@attrs.frozen
class WaitingTasks:
    """The number of waiting tasks of a job and team, and the reason if known."""

    job: str
    team: str
    count: int
    reason: str = ""


@attrs.frozen
class PoolReport:
    """The capacity, the demand and the waiting tasks of a pool.

    ``slots`` counts the slots of the executors that may get work. ``wanted`` is how
    many slots the live entries want for the services of the pool, busy ones included.
    ``short`` says what the pool lacks. ``tasks`` is set only by the daemon that
    controls the pool.
    """

    slots: int = 0
    wanted: float = 0.0
    short: str = ""
    controller: str = ""
    tasks: tuple[WaitingTasks, ...] = ()


@attrs.frozen
class StepReport:
    """One step of a plan: its hosts, and how many of them may stop at the same time."""

    label: str
    hosts: tuple[str, ...]
    at_once: int


@attrs.frozen
class WaveReport:
    """The maintenance of one pool.

    ``wave`` is the number of the open wave, 0 for none; ``phase`` and ``reason`` are
    its state. ``plan`` has the steps of a wave over all hosts, or the remaining steps
    of the open wave. ``budget`` compares the hosts that the availability budget of the
    pool requires with those available, ``hosts`` says for each host why it is in its
    phase, and ``stops`` is the version that a new wave must be based on.
    """

    pool: str
    declared: bool
    stops: int
    wave: int = 0
    phase: str = ""
    reason: str = ""
    asked_by: str = ""
    pending: tuple[str, ...] = ()
    in_course: tuple[str, ...] = ()
    done: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()
    budget: str = ""
    next_step: str = ""
    plan: tuple[StepReport, ...] = ()
    hosts: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class StatusReport:
    """The rules in force, the platform's services, the pools and what waits.

    ``rules_at`` is in seconds since the epoch. ``waiting`` counts requests by pool,
    ``hosts`` counts hosts by pool and phase. ``in_force`` is false while a newer
    state is known than the daemon has read. ``log_service_fault`` says why the log
    can't be followed, ``outdated`` why the daemon may not write to it.
    ``snapshot_offset`` is the next offset of the newest snapshot. ``pools`` has every
    declared pool, ``waves`` only the pools with an open wave.
    """

    name: str
    role: str
    next_offset: int
    rules_version: int
    rules_by: str
    rules_at: float
    log_service_up: bool
    host_list_up: bool
    members: tuple[Member, ...] = ()
    hosts: dict[str, dict[str, int]] = attrs.field(factory=dict)
    waiting: dict[str, int] = attrs.field(factory=dict)
    slots: int = 0
    slots_busy: int = 0
    quarantined: dict[int, str] = attrs.field(factory=dict)
    in_force: bool = True
    log_service_fault: str = ""
    outdated: str = ""
    snapshot_offset: int = 0
    leases: dict[str, LeaseReport] = attrs.field(factory=dict)
    pools: dict[str, PoolReport] = attrs.field(factory=dict)
    waves: tuple[WaveReport, ...] = ()


@attrs.frozen
class HostReport:
    """One host, with what the log and the host list say about it."""

    name: str
    pool: str
    phase: str
    version: int
    reason: str
    zone: str
    rack: str
    presence: str


@attrs.frozen
class RulesReport:
    """The rules file in force and its version."""

    text: str
    version: int
    asked_by: str


@attrs.frozen
class AuditLine:
    """One change: who wrote it and when, at whose request, and its outcome.

    ``before`` and ``after`` describe the subject of the change in the state of the log
    around it. They are the same when the change was refused, and empty when the
    record is older than the snapshot from which the trail was read.
    """

    offset: int
    made_at: float
    kind: str
    author: str
    asked_by: str
    accepted: bool
    summary: str
    record: str = ""
    before: str = ""
    after: str = ""


def encode(value):
    """Return ``value`` as JSON."""
    return msgspec.json.encode(value)


def decode(content, value_type):
    """Return the ``value_type`` in the JSON ``content``.

    Raises ``MessageFormatError`` when it can't be read.
    """
    return make_json_decoder(value_type, MessageFormatError)(content)


def encode_change(body, asked_by):
    """Return the JSON of a ``ChangeRequest`` with the record body ``body``."""
    raw = msgspec.Raw(msgspec.json.encode(body))
    return msgspec.json.encode(
        ChangeRequest(records.KIND_OF[type(body)], asked_by, raw)
    )


def decode_change(content):
    """Return the record body and the requester in the JSON ``content``.

    Raises ``ChangeFormatError`` when ``content`` is not a valid change.
    """
    request = make_json_decoder(ChangeRequest, ChangeFormatError)(content)
    body_type = records.BODY_TYPES.get(request.kind)
    if body_type is None:
        raise ChangeFormatError(f"unknown kind of change {request.kind!r}")
    decode_body = make_json_decoder(body_type, ChangeFormatError)
    return decode_body(request.body), request.asked_by
