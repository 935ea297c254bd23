"""Encode what operators' programs and daemons say to each other: JSON over HTTP.

``GET /v1/status``, ``/v1/hosts``, ``/v1/rules``, ``/v1/audit`` and ``/v1/waves`` read;
``GET /v1/audit?all`` also has renewals of leases and marks of snapshots.
``POST /v1/changes`` takes a ``ChangeRequest`` and is answered by a ``ChangeResult``.
"""

import attrs
import msgspec

from azurelanding import records

STATUS_PATH = "/v1/status"
HOSTS_PATH = "/v1/hosts"
RULES_PATH = "/v1/rules"
AUDIT_PATH = "/v1/audit"
ALL_RECORDS_QUERY = "all"
WAVES_PATH = "/v1/waves"
CHANGES_PATH = "/v1/changes"


class ChangeFormatError(ValueError):
    """A change that an operator asked for can't be read."""


@attrs.frozen
class ChangeRequest:
    """A change that an operator asks for; ``body`` depends on ``kind``."""

    kind: str
    asked_by: str
    body: msgspec.Raw


@attrs.frozen
class ChangeResult:
    """What became of a change: whether it counts, at which offset, or why not.

    With ``undecided`` that is not known yet; the audit tells the fate of the
    record ``record`` once the log answers.
    """

    accepted: bool
    offset: int = 0
    reason: str = ""
    winner: str = ""
    record: str = ""
    undecided: bool = False


@attrs.frozen
class Member:
    """A live daemon and the configuration that it has in force."""

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
    """How many tasks of a job and team wait, and why as far as that is known."""

    job: str
    team: str
    count: int
    reason: str = ""


@attrs.frozen
class PoolReport:
    """What a pool has, what its work asks for, and what waits.

    ``slots`` are those of the executors that may get work, ``wanted`` how many of
    them the live entries want for its own services, busy ones too. ``short`` says
    what is missing. ``tasks`` are known to the daemon that controls the pool.
    """

    slots: int = 0
    wanted: float = 0.0
    short: str = ""
    controller: str = ""
    tasks: tuple[WaitingTasks, ...] = ()


@attrs.frozen
class StepReport:
    """One step of a plan: hosts, and how many of them stop at once."""

    label: str
    hosts: tuple[str, ...]
    at_once: int


@attrs.frozen
class WaveReport:
    """The maintenance of one pool.

    ``wave`` names the wave that is open, 0 for none, and ``phase`` and ``reason``
    tell how it is. ``plan`` is what a wave over all hosts, or the rest of the open
    one, will do. ``budget`` tells how the pool stands to its availability budget,
    ``hosts`` why each host is where it is, ``stops`` the version that a new wave
    must be based on.
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
    """What is in force and since when, what waits, and how the platform is.

    ``rules_at`` is in seconds since the epoch; ``waiting`` counts requests by
    pool, ``hosts`` counts hosts by pool and phase. ``in_force`` is false while the
    daemon knows of a newer state than it has; ``log_service_fault`` says why the
    log can't be followed, ``outdated`` why the daemon may not write to it.
    ``snapshot_offset`` is the next offset of the newest snapshot. ``pools`` has
    every declared pool, ``waves`` the open ones.
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
    """One host as the log and the host list know it."""

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
    """One change: who made it when, on whose asking, and what became of it.

    ``before`` and ``after`` tell of what was changed, as the log has it. They are
    the same when the change was refused, and empty when the record stands before
    the snapshot that the trail begins with.
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
    """Return the JSON of an answer."""
    return msgspec.json.encode(value)


def decode(content, value_type):
    """Return the value of ``value_type`` in ``content``."""
    return msgspec.json.decode(content, type=value_type)


def encode_change(body, asked_by):
    """Return the JSON that asks for the change ``body``."""
    raw = msgspec.Raw(msgspec.json.encode(body))
    return msgspec.json.encode(
        ChangeRequest(records.KIND_OF[type(body)], asked_by, raw)
    )


def decode_change(content):
    """Return the record body and the asker in ``content``.

    Raises ``ChangeFormatError`` when it is no change that operators may ask for.
    """
    try:
        asked = msgspec.json.decode(content, type=ChangeRequest)
        body_type = records.BODY_TYPES[asked.kind]
        return msgspec.json.decode(asked.body, type=body_type), asked.asked_by
    except KeyError as error:
        raise ChangeFormatError(f"unknown kind of change {error}") from error
    except msgspec.DecodeError as error:
        raise ChangeFormatError(str(error)) from error
