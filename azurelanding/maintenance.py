"""Decide what to record next for the waves and moves of a pool.

``decide`` takes a view of one pool and returns the bodies of the records to append.
It is stateless: a control daemon that takes over a pool decides on the same log as
the previous one.
"""

import zlib

import attrs

from azurelanding import records, waves
from azurelanding.availability import HostView, is_below_budget
from azurelanding.hosts import Phase
from azurelanding.pools.reboots import RebootState
from azurelanding.rules import MaintenanceRule, PoolRule

PERIOD_OFFSET_STEPS = 1 << 16
UNHEALTHY_TIMEOUT_SECONDS = 30.0


@attrs.frozen
class PoolView:
    """The state on which the decisions about one pool are based.

    ``stops`` is the version of the pool's planned stops and ``destinations`` maps
    each host that drains for a move to its new pool. ``blockers`` maps each
    draining host to the reasons why it is not drained yet, and ``reboots`` maps each
    host to the state of its requested reboot. ``seconds_in_phase`` maps hosts to the
    seconds for which they have been observed in their phase, ``unhealthy_seconds`` to
    those for which they have been unhealthy. ``seconds_since_progress`` is the time in
    seconds since a host of the wave last finished or failed.
    """

    rule: PoolRule
    maintenance: MaintenanceRule | None
    hosts: dict[str, HostView]
    wave: waves.Wave | None = None
    stops: int = 0
    destinations: dict[str, str] = attrs.field(factory=dict)
    blockers: dict[str, list[str]] = attrs.field(factory=dict)
    reboots: dict[str, RebootState] = attrs.field(factory=dict)
    seconds_in_phase: dict[str, float] = attrs.field(factory=dict)
    unhealthy_seconds: dict[str, float] = attrs.field(factory=dict)
    seconds_since_progress: float = 0.0

    def hosts_in_phase(self, phase):
        """Return the hosts in ``phase``."""
        return [host for host in self.hosts.values() if host.phase is phase]


def wave_period_offset(pool_name):
    """Return the fraction of the period by which the pool's wave periods are shifted.

    It is a hash of the name, so that pools do not all start their waves together.
    """
    return zlib.crc32(pool_name.encode()) % PERIOD_OFFSET_STEPS / PERIOD_OFFSET_STEPS


def _check_reboot(view, host):
    """Return the body to record for a rebooting host, or ``None``."""
    state = view.reboots.get(host.name)
    if state is RebootState.DONE and host.healthy:
        return records.HostReturned(host.name, host.version, maintained=True)
    if state is RebootState.FAILED:
        return records.HostFailed(host.name, "its reboot failed", host.version)
    limit = view.maintenance.return_within if view.maintenance else 0.0
    if limit and view.seconds_in_phase.get(host.name, 0.0) >= limit:
        reason = f"not back {limit:.0f} s after its reboot"
        return records.HostFailed(host.name, reason, host.version)
    return None


def _check_drain(view, host):
    """Return the body to record for a host that drains for the wave, or ``None``.

    The host returns to service if it is no longer live on the host list or if the
    pool is below its availability budget.
    """
    if not host.listed or is_below_budget(view.rule, view.hosts):
        return records.HostReturned(host.name, host.version)
    if not view.blockers.get(host.name):
        return records.HostRebooting(host.name, host.version)
    return None


def _check_move(view, host):
    """Return the body to record for a host that drains for a move, or ``None``.

    A live host returns to service if the pool is below its availability budget.
    """
    if host.listed and is_below_budget(view.rule, view.hosts):
        return records.HostReturned(host.name, host.version)
    if view.blockers.get(host.name):
        return None
    destination = view.destinations[host.name]
    return records.HostAssigned(host.name, destination, host.version)


def _check_maintained(view, host):
    """Return the body for a host that is unhealthy after maintenance, or ``None``.

    The host list lags and may show a reboot only after it has ended, so the host
    must have been unhealthy for ``UNHEALTHY_TIMEOUT_SECONDS``.
    """
    if host.phase is not Phase.SERVING or host.healthy:
        return None
    if view.unhealthy_seconds.get(host.name, 0.0) >= UNHEALTHY_TIMEOUT_SECONDS:
        reason = "failed after its maintenance"
        return records.HostFailed(host.name, reason, host.version)
    return None


def _check_hosts(view):
    for host in view.hosts_in_phase(Phase.REBOOTING):
        yield _check_reboot(view, host)
    in_course = view.wave.in_course if view.wave else ()
    for host in view.hosts_in_phase(Phase.DRAINING):
        if host.name in in_course:
            yield _check_drain(view, host)
        elif host.name in view.destinations:
            yield _check_move(view, host)
    for name in view.wave.done if view.wave else ():
        if name in view.hosts:
            yield _check_maintained(view, view.hosts[name])


def _advance_wave(view):
    """Return the body that takes the wave's next step or finishes it, or ``None``."""
    wave = view.wave
    if wave.phase is waves.WavePhase.HALTED:
        return None
    waiting = waves.drainable_hosts(view.maintenance, view.hosts, wave)
    if not waiting and not wave.in_course:
        return records.WaveFinished(wave.pool, wave.started)
    step = waves.next_step(
        view.maintenance, view.rule, view.hosts, wave, view.seconds_since_progress
    )
    if not step.hosts:
        return None
    return records.WaveStepTaken(wave.pool, step.hosts, view.stops)


def _start_wave(view, now):
    name = view.rule.name
    due = waves.due_hosts(view.maintenance, view.hosts, wave_period_offset(name), now)
    ready = tuple(host for host in due if waves.can_drain(view.hosts[host]))
    return records.WaveStarted(name, ready, view.stops) if ready else None


def decide(view, now):
    """Return the record bodies to append for the pool.

    Changes of single hosts go first: the wave starts or steps only when there are
    none. ``now`` is in seconds since the epoch.
    """
    bodies = [body for body in _check_hosts(view) if body is not None]
    if bodies or view.maintenance is None:
        return bodies
    body = _advance_wave(view) if view.wave else _start_wave(view, now)
    return [] if body is None else [body]


def _explain_drain(view, name):
    if name in view.destinations:
        return f"to move to pool {view.destinations[name]}"
    if view.wave is not None and name in view.wave.in_course:
        return "for maintenance"
    return "as an operator asked"


def explain_host(view, name):
    """Return a text on why the host ``name`` is in its phase and what it waits for."""
    host = view.hosts[name]
    blockers = view.blockers.get(name)
    if host.phase is Phase.DRAINING:
        wait = "; ".join(blockers) if blockers else "nothing; it is drained"
        return f"drains {_explain_drain(view, name)}, waits for: {wait}"
    if host.phase is Phase.REBOOTING:
        state = view.reboots.get(name)
        report = f"the platform says {state.value}" if state else "the platform's word"
        return f"reboots, waits for: {report}; listed live: {host.listed}"
    if host.phase is Phase.FAILED:
        return "failed in maintenance; an operator returns it with drain --back"
    if view.wave is None or name not in view.wave.pending:
        return "serves; no wave waits for it"
    if not host.listed:
        return "pending in the wave, but not live on the host list"
    step = waves.next_step(
        view.maintenance, view.rule, view.hosts, view.wave, view.seconds_since_progress
    )
    if name in step.hosts:
        return "is drained next"
    return f"pending in the wave: {step.reason or 'others of its domain go first'}"
