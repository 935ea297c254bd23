"""Decide what to record next for the waves and moves of a pool.

``decide`` is given everything that is known of one pool and returns the bodies
of records to append. It keeps no memory: a control daemon that takes a pool over
decides on the same log as the one before it.
"""

import zlib

import attrs

from azurelanding import records, waves
from azurelanding.availability import HostView, is_short
from azurelanding.hosts import Phase
from azurelanding.pools.reboots import RebootState
from azurelanding.rules import MaintenanceRule, PoolRule

PHASE_STEPS = 1 << 16
FAILED_AFTER_SECONDS = 30.0


@attrs.frozen
class PoolView:
    """Everything that is known of one pool.

    ``blockers`` says, by draining host, what keeps it from being drained,
    ``reboots`` the state of each reboot that the platform was asked for. ``seconds_in_phase``
    is, by host, for how many seconds it has been seen in its phase, and
    ``unhealthy_for`` for how many it has not been healthy.
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
    unhealthy_for: dict[str, float] = attrs.field(factory=dict)
    settled_for: float = 0.0

    def hosts_in_phase(self, phase):
        """Return the hosts in ``phase``."""
        return [host for host in self.hosts.values() if host.phase is phase]


def pool_phase(pool_name):
    """Return the fraction of the period by which a pool's waves are set apart."""
    return zlib.crc32(pool_name.encode()) % PHASE_STEPS / PHASE_STEPS


def _judge_reboot(view, host):
    """Return the body for a host that was told to reboot, or ``None``."""
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


def _judge_drain(view, host):
    """Return the body for a host that drains for the wave, or ``None``.

    A host is given back when it leaves the list or when others are missing.
    """
    if not host.listed or is_short(view.rule, view.hosts):
        return records.HostReturned(host.name, host.version)
    if not view.blockers.get(host.name):
        return records.HostRebooting(host.name, host.version)
    return None


def _judge_move(view, host):
    """Return the body for a host that drains for a move, or ``None``."""
    if host.listed and is_short(view.rule, view.hosts):
        return records.HostReturned(host.name, host.version)
    if view.blockers.get(host.name):
        return None
    destination = view.destinations[host.name]
    return records.HostAssigned(host.name, destination, host.version)


def _judge_done(view, host):
    """Return the body for a host that failed after its maintenance, or ``None``.

    The host list lags and may show the reboot only after its end.
    """
    if host.phase is not Phase.SERVING or host.healthy:
        return None
    if view.unhealthy_for.get(host.name, 0.0) >= FAILED_AFTER_SECONDS:
        reason = "failed after its maintenance"
        return records.HostFailed(host.name, reason, host.version)
    return None


def _judge_hosts(view):
    for host in view.hosts_in_phase(Phase.REBOOTING):
        yield _judge_reboot(view, host)
    in_course = view.wave.in_course if view.wave else ()
    for host in view.hosts_in_phase(Phase.DRAINING):
        if host.name in in_course:
            yield _judge_drain(view, host)
        elif host.name in view.destinations:
            yield _judge_move(view, host)
    for name in view.wave.done if view.wave else ():
        if name in view.hosts:
            yield _judge_done(view, view.hosts[name])


def _advance_wave(view):
    """Return the body of the next step or of the wave's end, or ``None``."""
    wave = view.wave
    if wave.phase is waves.WavePhase.HALTED:
        return None
    waiting = waves.waiting_hosts(view.maintenance, view.hosts, wave)
    if not waiting and not wave.in_course:
        return records.WaveFinished(wave.pool, wave.started)
    step = waves.next_step(
        view.maintenance, view.rule, view.hosts, wave, view.settled_for
    )
    if not step.hosts:
        return None
    return records.WaveStepTaken(wave.pool, step.hosts, view.stops)


def _start_wave(view, now):
    name = view.rule.name
    due = waves.due_hosts(view.maintenance, view.hosts, pool_phase(name), now)
    ready = tuple(host for host in due if waves.can_start(view.hosts[host]))
    return records.WaveStarted(name, ready, view.stops) if ready else None


def decide(view, now):
    """Return the record bodies to append for the pool; ``now`` since the epoch.

    Hosts go before the wave: while one of them changes, its pool takes no step.
    """
    bodies = [body for body in _judge_hosts(view) if body is not None]
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
    """Return, in words, why the host ``name`` is where it is and what it awaits."""
    host = view.hosts[name]
    blockers = view.blockers.get(name)
    if host.phase is Phase.DRAINING:
        wait = "; ".join(blockers) if blockers else "nothing; it is drained"
        return f"drains {_explain_drain(view, name)}, waits for: {wait}"
    if host.phase is Phase.REBOOTING:
        state = view.reboots.get(name)
        told = f"the platform says {state.value}" if state else "the platform's word"
        return f"reboots, waits for: {told}; listed live: {host.listed}"
    if host.phase is Phase.FAILED:
        return "failed in maintenance; an operator returns it with drain --back"
    if view.wave is None or name not in view.wave.pending:
        return "serves; no wave waits for it"
    if not host.listed:
        return "pending in the wave, but not live on the host list"
    step = waves.next_step(
        view.maintenance, view.rule, view.hosts, view.wave, view.settled_for
    )
    if name in step.hosts:
        return "is drained next"
    return f"pending in the wave: {step.reason or 'others of its domain go first'}"
