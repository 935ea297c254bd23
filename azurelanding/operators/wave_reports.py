"""Report the waves of the pools and their plans to operators."""

import anyio

from azurelanding import maintenance, pacing, pool_views, waves
from azurelanding.operators import wire


def _make_views(daemon, names):
    """Return a ``PoolView`` for each of the pools in ``names``, by name."""
    if daemon.role == "control":
        return daemon.maintenance.views(names)
    now = anyio.current_time()
    return pool_views.make_pool_views(
        daemon.state,
        daemon.host_list.hosts,
        pool_views.make_entry_views(daemon.members.peer_statuses, now),
        pool_views.majority_set_aside(daemon.members.live("entry").values()),
        pacing.silence(daemon.settings.entries),
        pool_views.Observations(),
        names,
    )


def _report_plan(view):
    if view.maintenance is None:
        return ()
    names = view.wave.pending if view.wave else tuple(view.hosts)
    steps = waves.plan_steps(view.maintenance, view.rule, view.hosts, names)
    return tuple(wire.StepReport(s.label, s.hosts, s.at_once) for s in steps)


def _describe_next_step(view):
    step = waves.next_step(
        view.maintenance, view.rule, view.hosts, view.wave, view.seconds_since_progress
    )
    return f"drain {', '.join(step.hosts)}" if step.hosts else step.reason


def _report_wave(pool, view):
    report = {
        "pool": pool,
        "declared": view.maintenance is not None,
        "stops": view.stops,
        "budget": waves.explain_budget(view.rule, view.hosts),
        "plan": _report_plan(view),
        "hosts": {n: maintenance.explain_host(view, n) for n in sorted(view.hosts)},
    }
    wave = view.wave
    if wave is not None:
        report |= {
            "wave": wave.started,
            "phase": wave.phase.value,
            "reason": wave.reason,
            "asked_by": wave.asked_by,
            "pending": wave.pending,
            "in_course": wave.in_course,
            "done": wave.done,
            "failed": wave.failed,
            "next_step": _describe_next_step(view) if view.maintenance else "",
        }
    return wire.WaveReport(**report)


def report_waves(daemon, names=None):
    """Return a ``WaveReport`` for each declared pool, or for each of ``names``."""
    pools = daemon.state.rules.pools
    names = [name for name in pools if names is None or name in names]
    if not names:
        return []
    views = _make_views(daemon, names)
    return [_report_wave(pool, view) for pool, view in views.items()]
