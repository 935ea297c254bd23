"""Fold the log's records into the state of the fleet.

Every daemon folds the same records in the order of their offsets, so all come
to the same state and the same verdict on each record. A record counts only when
its base is the current version of what it changes: of two racing records the
one with the lower offset wins, and the other is told so.

A record is refused when it comes more than ``RECORD_LIFETIME_OFFSETS`` offsets after its
author made it, and verdicts are kept for longer than that, so a repeat of a record
is always met by its first verdict or by its bound.
"""

import collections

import attrs

from azurelanding import records, rule_edits, rules_parser, wave_folds
from azurelanding.hosts import Phase
from azurelanding.rules import RuleSet
from azurelanding.waves import Wave

RECORD_LIFETIME_OFFSETS = 5_000
REMEMBERED_VERDICTS = RECORD_LIFETIME_OFFSETS + 1_000
REMEMBERED_QUARANTINED = 100
FIRST_FORMAT = 1
NO_VERSION = 0


@attrs.frozen
class HostState:
    """The pool that owns a host and the phase that it is in.

    ``version`` is the offset of the last record that changed it;
    ``drained_at`` the offset of the drain record while it is draining, and
    ``destination`` the pool that it drains for, if it is to move.
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
    """Who controls a pool. ``epoch`` is the offset of the record that took it.

    ``renewed_at`` is the offset of its last record, ``duration`` in seconds.
    """

    holder: str
    epoch: int
    renewed_at: int
    duration: float


class GapError(ValueError):
    """Records are missing before the one to fold."""


@attrs.frozen
class Verdict:
    """What the fold decided about one record.

    A rejected record changed nothing; ``reason`` then says what stands in its
    place and ``winner`` names who asked for that.
    """

    record_id: str
    offset: int
    accepted: bool
    reason: str = ""
    winner: str = ""


@attrs.define
class FleetState:
    """What the log says so far: rules, hosts and leases.

    ``next_offset`` is the offset of the first record not yet folded.
    ``rules_version`` is the offset of the rules in force. ``format`` is the
    newest format of records that counts, ``snapshot_offset`` the next offset of
    the newest complete snapshot. ``quarantined`` gives, by offset, why the last
    unreadable records were passed over.
    ``stops`` has, by pool, the offset of the last record that stops or takes
    away one of its hosts.
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


def _stale(offset, record, current, what):
    reason = f"{what} is at version {current}, not {record.body.base}"
    return Verdict(record.id, offset, False, reason)


def _new_text(state, body):
    """Return the text of the rules that ``body`` puts in force."""
    if isinstance(body, records.RulesEdited):
        return rule_edits.apply_edits(state.rules_text, body.edits)
    return body.text


def _fold_rules(state, offset, record):
    if record.body.base != state.rules_version:
        verdict = _stale(offset, record, state.rules_version, "the rules file")
        return attrs.evolve(verdict, winner=state.rules_by)
    try:
        text = _new_text(state, record.body)
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
    """Return the refusal of a controller that lost its lease, or ``None``.

    A change of a host counts under the lease of the pool that has it, of the one
    that gets it, or of the spare pool, whose holder balances all pools.
    """
    body = record.body
    if body.epoch == NO_VERSION:
        return None
    owner = state.hosts.get(body.host)
    receiver = getattr(body, "pool", None)
    pools = (owner.pool if owner else None, receiver, state.rules.spare_pool())
    leases = [state.leases[pool] for pool in pools if pool in state.leases]
    if any((body.epoch, record.author) == (x.epoch, x.holder) for x in leases):
        return None
    reason = f"epoch {body.epoch} of {record.author} no longer controls {body.host}"
    winner = leases[0].holder if leases else ""
    return Verdict(record.id, offset, False, reason, winner)


def _on_current_host(fold_host, must_exist):
    """Return ``fold_host`` guarded by the version of the host it changes."""

    def fold_current(state, offset, record):
        name = record.body.host
        current = _host_version(state, name)
        if record.body.base != current:
            return _stale(offset, record, current, f"host {name}")
        refusal = _refuse_stale_holder(state, offset, record)
        if refusal is not None:
            return refusal
        if must_exist and name not in state.hosts:
            return Verdict(record.id, offset, False, f"there is no host {name}")
        old = state.hosts.get(name)
        reason = wave_folds.refuse_change(old, record.body)
        if reason is not None:
            return Verdict(record.id, offset, False, reason)
        verdict = fold_host(state, offset, record)
        if verdict.accepted:
            wave_folds.follow_host(state, offset, record.body, old)
        return verdict

    return fold_current


def _lease_version(state, pool):
    lease = state.leases.get(pool)
    return lease.renewed_at if lease else NO_VERSION


def _fold_leases_taken(state, offset, record):
    """Give the author each pool whose lease has not changed since it looked.

    A holder that renewed in time keeps its pool, even when the taker was cut off
    from the renewal.
    """
    body, lost = record.body, []
    for pool, base in sorted(body.bases.items()):
        if pool in state.rules.pools and base == _lease_version(state, pool):
            state.leases[pool] = Lease(record.author, offset, offset, body.duration)
        else:
            lost.append(pool)
    if not lost:
        return Verdict(record.id, offset, True)
    reason = f"the leases of {', '.join(lost)} have changed or have no pool"
    lease = state.leases.get(lost[0])
    winner = lease.holder if lease else ""
    accepted = len(lost) < len(body.bases)
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
        fate = "accepted" if first.accepted else "refused"
        reason = f"record {record_id} was {fate} at offset {first.offset}"
        return Verdict(record.id, offset, False, reason)
    reason = f"withdrawn by its author at offset {offset}"
    _remember(state, Verdict(record_id, offset, False, reason))
    return Verdict(record.id, offset, True)


def _fold_format_adopted(state, offset, record):
    if record.body.format != state.format + 1:
        reason = f"format {state.format} is adopted; the next is {state.format + 1}"
        return Verdict(record.id, offset, False, reason)
    state.format = record.body.format
    return Verdict(record.id, offset, True)


def _judged(fold_body):
    """Return a fold that turns the refusal of ``fold_body`` into a ``Verdict``."""

    def fold_judged(state, offset, record):
        reason = fold_body(state, offset, record)
        return Verdict(record.id, offset, reason is None, reason or "")

    return fold_judged


FOLDS = {
    records.RulesPublished: _fold_rules,
    records.RulesEdited: _fold_rules,
    records.HostAssigned: _on_current_host(_fold_assigned, must_exist=False),
    records.HostDraining: _on_current_host(_fold_draining, must_exist=True),
    records.HostReturned: _on_current_host(_fold_returned, must_exist=True),
    records.LeasesTaken: _fold_leases_taken,
    records.LeasesRenewed: _fold_leases_renewed,
    records.SnapshotTaken: _fold_snapshot_taken,
    records.Withdrawn: _fold_withdrawn,
    records.FormatAdopted: _fold_format_adopted,
}
FOLDS |= {
    body_type: _on_current_host(_judged(fold_body), must_exist=True)
    for body_type, fold_body in wave_folds.HOST_FOLDS.items()
}
FOLDS |= {
    body_type: _judged(fold_body)
    for body_type, fold_body in wave_folds.WAVE_FOLDS.items()
}


def _remember(state, verdict):
    state.verdicts[verdict.record_id] = verdict
    while len(state.verdicts) > REMEMBERED_VERDICTS:
        state.verdicts.popitem(last=False)


def _check_gap(state, offset):
    if offset > state.next_offset:
        raise GapError(f"offset {offset} comes before {state.next_offset} was folded")


def fold(state, offset, record):
    """Apply ``record`` at ``offset`` to ``state`` and return the ``Verdict``.

    Records must come in the order of their offsets without a gap, else
    ``GapError`` is raised; one below ``state.next_offset`` was folded before, and
    ``None`` is returned. A repeat of an id changes nothing and gets the first
    verdict again.
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
    _remember(state, verdict)
    return verdict


def quarantine(state, offset, reason):
    """Pass over the record at ``offset``, which can't be read, and keep why."""
    if offset < state.next_offset:
        return
    _check_gap(state, offset)
    state.next_offset = offset + 1
    state.quarantined[offset] = reason
    if len(state.quarantined) > REMEMBERED_QUARANTINED:
        del state.quarantined[min(state.quarantined)]
