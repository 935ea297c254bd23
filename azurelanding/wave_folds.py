"""Fold the records of waves and moves into the state of the fleet.

Each fold function returns ``None`` if it applied the record, or the reason for
refusing it. ``FleetState.stops`` guards the availability budget: a step or a move
names the version of the pool's planned stops that it was decided on, so of two
decided on the same version only the first is accepted.
"""

import attrs

from azurelanding import records
from azurelanding.hosts import Phase
from azurelanding.waves import Wave, WavePhase

ALLOWED_WHILE_REBOOTING = (records.HostReturned, records.HostFailed)


def refuse_while_rebooting(old, body):
    """Return why ``body`` must not change the host in state ``old``, or ``None``.

    A rebooting host can only return or fail.
    """
    if old is None or old.phase is not Phase.REBOOTING:
        return None
    if isinstance(body, ALLOWED_WHILE_REBOOTING):
        return None
    return f"host {body.host} is rebooting"


def _without(names, removed):
    return tuple(name for name in names if name not in removed)


def _set_wave(state, offset, wave, **changes):
    state.waves[wave.pool] = attrs.evolve(wave, version=offset, **changes)


def update_stops_and_wave(state, offset, body, old):
    """Update the pool's stops and wave after ``body`` changed a host.

    ``old`` is the host's state before the change, ``None`` for a new host.
    """
    if old is None:
        return
    state.stops[old.pool] = offset
    wave = state.waves.get(old.pool)
    if wave is None or isinstance(body, records.HostFailed):
        return
    name = body.host
    if isinstance(body, records.HostReturned) and name in wave.in_course:
        done = wave.done + (name,) if body.maintained else wave.done
        pending = wave.pending if body.maintained else (*wave.pending, name)
        in_course = _without(wave.in_course, {name})
        _set_wave(state, offset, wave, in_course=in_course, done=done, pending=pending)
    elif isinstance(body, records.HostAssigned | records.HostDraining):
        in_course = _without(wave.in_course, {name})
        pending = _without(wave.pending, {name})
        _set_wave(state, offset, wave, in_course=in_course, pending=pending)


def _require_current_lease(fold_body):
    """Wrap ``fold_body`` to refuse a controller that no longer holds the lease."""

    def fold_current(state, offset, record):
        body = record.body
        lease = state.leases.get(body.pool)
        holder = (lease.epoch, lease.holder) if lease else None
        if body.epoch and holder != (body.epoch, record.author):
            return f"epoch {body.epoch} of {record.author} no longer controls the pool"
        return fold_body(state, offset, record)

    return fold_current


def _fold_move(state, offset, record):
    body = record.body
    old = state.hosts[body.host]
    if body.pool not in state.rules.pools:
        return f"there is no pool {body.pool}"
    if old.phase is not Phase.SERVING:
        return f"host {body.host} is {old.phase.value}"
    if body.stops != state.stops.get(old.pool, 0):
        return _stale_stops(state, old.pool, body)
    state.hosts[body.host] = attrs.evolve(
        old,
        version=offset,
        phase=Phase.DRAINING,
        drained_at=offset,
        reason=f"moves to pool {body.pool}",
        destination=body.pool,
    )
    return None


def _stale_stops(state, pool, body):
    current = state.stops.get(pool, 0)
    return f"the stops of pool {pool} are at version {current}, not {body.stops}"


def _fold_rebooting(state, offset, record):
    old = state.hosts[record.body.host]
    if old.phase is not Phase.DRAINING:
        return f"host {record.body.host} is {old.phase.value}"
    state.hosts[record.body.host] = attrs.evolve(
        old, version=offset, phase=Phase.REBOOTING
    )
    return None


def _fold_failed(state, offset, record):
    name, reason = record.body.host, record.body.reason
    old = state.hosts[name]
    state.hosts[name] = attrs.evolve(
        old, version=offset, phase=Phase.FAILED, reason=reason, destination=""
    )
    wave = state.waves.get(old.pool)
    if wave is not None and name in wave.in_course + wave.done:
        _record_failure(state, offset, wave, name)


def _record_failure(state, offset, wave, name):
    """Record that host ``name`` failed and halt the wave if a limit is reached.

    While no hosts but the canaries have started, one failure halts the wave, later
    ``halt_after`` failures since it was started or last resumed.
    """
    begun = len(wave.done) + len(wave.failed) + len(wave.in_course)
    wave = attrs.evolve(
        wave,
        version=offset,
        in_course=_without(wave.in_course, {name}),
        done=_without(wave.done, {name}),
        failed=(*wave.failed, name),
    )
    state.waves[wave.pool] = wave
    recent = wave.failed[wave.forgiven :]
    if begun <= wave.canary:
        _halt(state, offset, wave, f"the canary {name} failed")
    elif len(recent) >= wave.halt_after:
        _halt(state, offset, wave, f"failed in this wave: {', '.join(recent)}")


def _cancel_drains(state, offset, wave):
    """Return the draining hosts of ``wave`` to service and return their names."""
    draining = [
        name for name in wave.in_course if state.hosts[name].phase is Phase.DRAINING
    ]
    for name in draining:
        state.hosts[name] = attrs.evolve(
            state.hosts[name],
            version=offset,
            phase=Phase.SERVING,
            drained_at=0,
            reason="",
        )
    return draining


def _halt(state, offset, wave, reason):
    returned = _cancel_drains(state, offset, wave)
    _set_wave(
        state,
        offset,
        wave,
        phase=WavePhase.HALTED,
        reason=reason,
        in_course=_without(wave.in_course, returned),
        pending=(*wave.pending, *returned),
    )


def _fold_started(state, offset, record):
    body = record.body
    rule = state.rules.maintenance.get(body.pool)
    if rule is None:
        return f"no maintenance is declared for pool {body.pool}"
    if body.pool in state.waves:
        return f"pool {body.pool} has a wave already"
    if body.stops != state.stops.get(body.pool, 0):
        return _stale_stops(state, body.pool, body)
    known = [state.hosts.get(name) for name in body.hosts]
    if not known or any(host is None or host.pool != body.pool for host in known):
        return f"not all of these hosts belong to pool {body.pool}"
    state.stops[body.pool] = offset
    state.waves[body.pool] = Wave(
        body.pool,
        started=offset,
        version=offset,
        pending=body.hosts,
        canary=min(rule.canary, len(body.hosts)),
        halt_after=max(rule.halt_after, 1),
        asked_by=record.asked_by,
    )
    return None


def _fold_step(state, offset, record):
    body = record.body
    wave = state.waves.get(body.pool)
    if wave is None or wave.phase is not WavePhase.RUNNING:
        return f"pool {body.pool} has no running wave"
    if body.stops != state.stops.get(body.pool, 0):
        return _stale_stops(state, body.pool, body)
    for name in body.hosts:
        host = state.hosts[name] if name in wave.pending else None
        if host is None or host.phase is not Phase.SERVING:
            return f"host {name} does not wait for this wave"
    for name in body.hosts:
        state.hosts[name] = attrs.evolve(
            state.hosts[name],
            version=offset,
            phase=Phase.DRAINING,
            drained_at=offset,
            reason="maintenance",
        )
    state.stops[body.pool] = offset
    _set_wave(
        state,
        offset,
        wave,
        pending=_without(wave.pending, body.hosts),
        in_course=(*wave.in_course, *body.hosts),
    )
    return None


def _require_wave(fold_wave):
    """Wrap ``fold_wave`` to refuse records about a wave other than the open one."""

    def fold_current(state, offset, record):
        wave = state.waves.get(record.body.pool)
        if wave is None or wave.started != record.body.wave:
            return f"pool {record.body.pool} has no wave {record.body.wave}"
        return fold_wave(state, offset, record, wave)

    return fold_current


def _fold_halted(state, offset, record, wave):
    if wave.phase is WavePhase.HALTED:
        return f"the wave is halted already: {wave.reason}"
    _halt(state, offset, wave, record.body.reason)
    return None


def _fold_resumed(state, offset, record, wave):
    if wave.phase is not WavePhase.HALTED:
        return "the wave is not halted"
    _set_wave(
        state,
        offset,
        wave,
        phase=WavePhase.RUNNING,
        reason="",
        forgiven=len(wave.failed),
    )
    return None


def _fold_undone(state, offset, _record, wave):
    _cancel_drains(state, offset, wave)
    del state.waves[wave.pool]


def _fold_finished(state, _offset, _record, wave):
    if wave.in_course:
        return f"{', '.join(wave.in_course)} are still in course"
    del state.waves[wave.pool]
    return None


HOST_FOLDS = {
    records.MoveStarted: _fold_move,
    records.HostRebooting: _fold_rebooting,
    records.HostFailed: _fold_failed,
}
WAVE_FOLDS = {
    records.WaveStarted: _require_current_lease(_fold_started),
    records.WaveStepTaken: _require_current_lease(_fold_step),
    records.WaveHalted: _require_wave(_fold_halted),
    records.WaveResumed: _require_wave(_fold_resumed),
    records.WaveUndone: _require_wave(_fold_undone),
    records.WaveFinished: _require_current_lease(_require_wave(_fold_finished)),
}
