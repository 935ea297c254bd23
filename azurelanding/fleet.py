"""Fold the log's records into the state of the fleet.

Every daemon folds the same records in offset order, so all daemons reach the same
state and the same verdict on each record. Concurrency control is optimistic: a
record is accepted only if its base is the current version of what it changes. Of
two conflicting records the one with the lower offset is accepted and the other is
rejected.

A record expires ``RECORD_LIFETIME_OFFSETS`` offsets after its author created it.
Verdicts are kept for longer than that, so a repeated record always gets its first
verdict or is refused as expired.
"""

import collections

import attrs

from azurelanding import records, rule_edits, rules_parser, wave_folds
from azurelanding.hosts import Phase
from azurelanding.rules import RuleSet
from azurelanding.waves import Wave

RECORD_LIFETIME_OFFSETS = 5_000
MAX_KEPT_VERDICTS = RECORD_LIFETIME_OFFSETS + 1_000
MAX_KEPT_QUARANTINED = 100
FIRST_FORMAT = 1
NO_VERSION = 0


@attrs.frozen
class HostState:
    """The pool that owns a host, and the host's phase.

    ``version`` is the offset of the last record that changed the host and
    ``maintained_at`` the time of its last maintenance, initially of its assignment,
    in seconds since the epoch.
    ``drained_at`` is the offset of the drain record while the host is draining,
    ``destination`` the pool that a draining host moves to, empty if it does not
    move.
    """

    pool: str
    version: int
    phase: Phase = Phase.SERVING
    drained_at: int = NO_VERSION
    reason: str = ""
    maintained_at: float = 0.0
    destination: str = ""


@attrs.frozen
class Lease:
    """A daemon's lease on the control of a pool.

    ``epoch`` is the offset of the record that acquired the lease, ``renewed_at``
    the offset of the last record that acquired or renewed it. ``duration`` is in
    seconds.
    """

    holder: str
    epoch: int
    renewed_at: int
    duration: float


class GapError(ValueError):
    """Records are missing between the folded ones and the next one."""


@attrs.frozen
class Verdict:
    """The result of folding one record.

    A rejected record changed nothing. ``reason`` says why it was rejected, and
    ``winner`` names who made the conflicting change or holds the lease, if known.
    """

    record_id: str
    offset: int
    accepted: bool
    reason: str = ""
    winner: str = ""


@attrs.define
class FleetState:
    """The state that results from the folded records: rules, hosts, leases, waves.

    ``next_offset`` is the offset of the first record not yet folded.
    ``rules_version`` is the offset of the rules in force. ``format`` is the
    newest record format adopted, ``snapshot_offset`` the ``next_offset`` of the
    newest complete snapshot. ``quarantined`` maps the offsets of the last
    unreadable records to the reason for skipping each. ``stops`` maps each pool to
    the offset of the last record about one of its hosts or, if later, of the last
    start or step of its wave.
    """

    next_offset: int = 1
    rules_version: int = NO_VERSION
    rules_text: str = ""
    rules_by: str = ""
    rules_at: float = 0.0
    rules: RuleSet = attrs.field(factory=RuleSet)
    hosts: dict[str, HostState] = attrs.field(factory=dict)
    leases: dict[str, Lease] = attrs.field(factory=dict)
    waves: dict[str, Wave] = attrs.field(factory=dict)
    stops: dict[str, int] = attrs.field(factory=dict)
    verdicts: dict[str, Verdict] = attrs.field(
        factory=collections.OrderedDict, converter=collections.OrderedDict
    )
    quarantined: dict[int, str] = attrs.field(factory=dict)
    format: int = FIRST_FORMAT
    snapshot_offset: int = NO_VERSION

    def verdict_on(self, record_id):
        """Return the ``Verdict`` on a recent record, or ``None``."""
        return self.verdicts.get(record_id)


def _stale_base_verdict(offset, record, current, what):
    reason = f"{what} is at version {current}, not {record.body.base}"
    return Verdict(record.id, offset, False, reason)


def _new_rules_text(state, body):
    """Return the text of the rules that ``body`` publishes."""
    if isinstance(body, records.RulesEdited):
        return rule_edits.apply_edits(state.rules_text, body.edits)
    return body.text


def _fold_rules(state, offset, record):
    if record.body.base != state.rules_version:
        verdict = _stale_base_verdict(
            offset, record, state.rules_version, "the rules file"
        )
        return attrs.evolve(verdict, winner=state.rules_by)
    try:
        text = _new_rules_text(state, record.body)
        rule_set = rules_parser.read_rules(text)
    except rules_parser.RulesError as error:
        return Verdict(record.id, offset, False, error.message)
    except rule_edits.EditError as error:
        return Verdict(record.id, offset, False, str(error))
    state.rules = rule_set
    for pool in state.leases.keys() - rule_set.pools.keys():
        del state.leases[pool]
    state.rules_text = text
    state.rules_version = offset
    state.rules_by = record.asked_by
    state.rules_at = record.made_at
    return Verdict(record.id, offset, True)


def _host_version(state, name):
    host = state.hosts.get(name)
    return host.version if host else NO_VERSION


def _fold_assigned(state, offset, record):
    name, pool = record.body.host, record.body.pool
    if pool not in state.rules.pools:
        return Verdict(record.id, offset, False, f"there is no pool {pool}")
    old = state.hosts.get(name)
    if old is None:
        state.hosts[name] = HostState(pool, offset, maintained_at=record.made_at)
    elif old.destination:
        state.hosts[name] = HostState(pool, offset, maintained_at=old.maintained_at)
    else:
        state.hosts[name] = attrs.evolve(old, pool=pool, version=offset)
    return Verdict(record.id, offset, True)


def _fold_draining(state, offset, record):
    old = state.hosts[record.body.host]
    state.hosts[record.body.host] = attrs.evolve(
        old,
        version=offset,
        phase=Phase.DRAINING,
        drained_at=offset,
        reason=record.body.reason,
        destination="",
    )
    return Verdict(record.id, offset, True)


def _fold_returned(state, offset, record):
    old = state.hosts[record.body.host]
    state.hosts[record.body.host] = attrs.evolve(
        old,
        version=offset,
        phase=Phase.SERVING,
        drained_at=NO_VERSION,
        reason="",
        destination="",
        maintained_at=record.made_at if record.body.maintained else old.maintained_at,
    )
    return Verdict(record.id, offset, True)


def _refuse_stale_holder(state, offset, record):
    """Return a refusal if the author no longer holds a suitable lease, or ``None``.

    A controller may change a host under the lease of the pool that owns it, of the
    pool that receives it, or of the spare pool, whose holder balances all pools.
    Epoch 0 means an operator, who needs no lease.
    """
    body = record.body
    if body.epoch == NO_VERSION:
        return None
    owner = state.hosts.get(body.host)
    receiver = getattr(body, "pool", None)
    pools = (owner.pool if owner else None, receiver, state.rules.spare_pool())
    leases = [state.leases[pool] for pool in pools if pool in state.leases]
    if any(
        (body.epoch, record.author) == (lease.epoch, lease.holder) for lease in leases
    ):
        return None
    reason = f"epoch {body.epoch} of {record.author} no longer controls {body.host}"
    winner = leases[0].holder if leases else ""
    return Verdict(record.id, offset, False, reason, winner)


def _require_current_host(fold_host, must_exist):
    """Wrap ``fold_host`` to refuse records that the host's state does not allow.

    It refuses a record with a stale base or a stale lease, one about an unknown
    host if ``must_exist``, and one that would interrupt a reboot.
    """

    def fold_current(state, offset, record):
        name = record.body.host
        current = _host_version(state, name)
        if record.body.base != current:
            return _stale_base_verdict(offset, record, current, f"host {name}")
        refusal = _refuse_stale_holder(state, offset, record)
        if refusal is not None:
            return refusal
        if must_exist and name not in state.hosts:
            return Verdict(record.id, offset, False, f"there is no host {name}")
        old = state.hosts.get(name)
        reason = wave_folds.refuse_while_rebooting(old, record.body)
        if reason is not None:
            return Verdict(record.id, offset, False, reason)
        verdict = fold_host(state, offset, record)
        if verdict.accepted:
            wave_folds.update_stops_and_wave(state, offset, record.body, old)
        return verdict

    return fold_current


def _lease_version(state, pool):
    lease = state.leases.get(pool)
    return lease.renewed_at if lease else NO_VERSION


def _fold_leases_taken(state, offset, record):
    """Assign the author the lease of each pool that is still at the version it read.

    A holder that renewed in time keeps its lease, even if the author of this record
    has not read the renewal.
    """
    body, refused = record.body, []
    for pool, base in sorted(body.bases.items()):
        if pool in state.rules.pools and base == _lease_version(state, pool):
            state.leases[pool] = Lease(record.author, offset, offset, body.duration)
        else:
            refused.append(pool)
    if not refused:
        return Verdict(record.id, offset, True)
    reason = f"the leases of {', '.join(refused)} have changed or have no pool"
    lease = state.leases.get(refused[0])
    winner = lease.holder if lease else ""
    accepted = len(refused) < len(body.bases)
    return Verdict(record.id, offset, accepted, reason, winner)


def _fold_leases_renewed(state, offset, record):
    held = [p for p, lease in state.leases.items() if lease.holder == record.author]
    for pool in held:
        epoch = state.leases[pool].epoch
        state.leases[pool] = Lease(record.author, epoch, offset, record.body.duration)
    reason = "" if held else f"{record.author} holds no pool"
    return Verdict(record.id, offset, bool(held), reason)


def _fold_snapshot_taken(state, offset, record):
    taken = record.body.next_offset
    if taken <= state.snapshot_offset or taken > offset:
        reason = f"the newest snapshot is of offset {state.snapshot_offset}"
        return Verdict(record.id, offset, False, reason)
    state.snapshot_offset = taken
    return Verdict(record.id, offset, True)


def _fold_withdrawn(state, offset, record):
    record_id = record.body.record_id
    first = state.verdicts.get(record_id)
    if first is not None:
        outcome = "accepted" if first.accepted else "refused"
        reason = f"record {record_id} was {outcome} at offset {first.offset}"
        return Verdict(record.id, offset, False, reason)
    reason = f"withdrawn by its author at offset {offset}"
    _record_verdict(state, Verdict(record_id, offset, False, reason))
    return Verdict(record.id, offset, True)


def _fold_format_adopted(state, offset, record):
    if record.body.format != state.format + 1:
        reason = f"format {state.format} is adopted; the next is {state.format + 1}"
        return Verdict(record.id, offset, False, reason)
    state.format = record.body.format
    return Verdict(record.id, offset, True)


def _wrap_in_verdict(fold_body):
    """Wrap ``fold_body``, which returns a refusal reason, to return a ``Verdict``."""

    def fold_to_verdict(state, offset, record):
        reason = fold_body(state, offset, record)
        return Verdict(record.id, offset, reason is None, reason or "")

    return fold_to_verdict


FOLDS = {
    records.RulesPublished: _fold_rules,
    records.RulesEdited: _fold_rules,
    records.HostAssigned: _require_current_host(_fold_assigned, must_exist=False),
    records.HostDraining: _require_current_host(_fold_draining, must_exist=True),
    records.HostReturned: _require_current_host(_fold_returned, must_exist=True),
    records.LeasesTaken: _fold_leases_taken,
    records.LeasesRenewed: _fold_leases_renewed,
    records.SnapshotTaken: _fold_snapshot_taken,
    records.Withdrawn: _fold_withdrawn,
    records.FormatAdopted: _fold_format_adopted,
}
FOLDS |= {
    body_type: _require_current_host(_wrap_in_verdict(fold_body), must_exist=True)
    for body_type, fold_body in wave_folds.HOST_FOLDS.items()
}
FOLDS |= {
    body_type: _wrap_in_verdict(fold_body)
    for body_type, fold_body in wave_folds.WAVE_FOLDS.items()
}


def _record_verdict(state, verdict):
    state.verdicts[verdict.record_id] = verdict
    while len(state.verdicts) > MAX_KEPT_VERDICTS:
        state.verdicts.popitem(last=False)


def _check_gap(state, offset):
    if offset > state.next_offset:
        raise GapError(f"offset {offset} comes before {state.next_offset} was folded")


def fold(state, offset, record):
    """Apply ``record`` at ``offset`` to ``state`` and return the ``Verdict``.

    Raises ``GapError`` if ``offset`` is above ``state.next_offset``. Returns
    ``None`` if it is below, because that record was folded before. A record whose
    id was seen before changes nothing and gets its first verdict again.
    """
    if offset < state.next_offset:
        return None
    _check_gap(state, offset)
    state.next_offset = offset + 1
    first = state.verdicts.get(record.id)
    if first is not None:
        return first
    if record.until and offset > record.until:
        reason = f"came at offset {offset}, after its bound {record.until}"
        verdict = Verdict(record.id, offset, False, reason)
    else:
        verdict = FOLDS[type(record.body)](state, offset, record)
    _record_verdict(state, verdict)
    return verdict


def quarantine(state, offset, reason):
    """Skip the unreadable record at ``offset`` and store ``reason`` in the state.

    Raises ``GapError`` if ``offset`` is above ``state.next_offset``.
    """
    if offset < state.next_offset:
        return
    _check_gap(state, offset)
    state.next_offset = offset + 1
    state.quarantined[offset] = reason
    if len(state.quarantined) > MAX_KEPT_QUARANTINED:
        del state.quarantined[min(state.quarantined)]
