"""Choose the steps of a maintenance wave.

A wave takes its canary hosts first and then one failure domain of its pool after
the other. Within a domain a host may start as soon as another one is back, up to
the declared number at once and never beyond the availability budget.
"""

import enum

import attrs

from azurelanding.availability import may_stop, required
from azurelanding.hosts import Phase

PACE = 0.9


class WavePhase(enum.Enum):
    """Whether a wave may take further steps."""

    RUNNING = "running"
    HALTED = "halted"


@attrs.frozen
class Wave:
    """The wave of a pool as the log has it.

    ``started`` is the offset of its first record and names it, ``version`` that
    of its last. Every host is pending, in course (draining or rebooting), done or
    failed. The first ``forgiven`` failures were known when an operator resumed
    the wave and do not halt it again.
    """

    pool: str
    started: int
    version: int
    pending: tuple[str, ...]
    canary: int = 1
    halt_after: int = 1
    asked_by: str = ""
    phase: WavePhase = WavePhase.RUNNING
    reason: str = ""
    in_course: tuple[str, ...] = ()
    done: tuple[str, ...] = ()
    failed: tuple[str, ...] = ()
    forgiven: int = 0


@attrs.frozen
class Step:
    """Hosts to drain together; ``reason`` says why there are none."""

    hosts: tuple[str, ...] = ()
    reason: str = ""


@attrs.frozen
class PlannedStep:
    """A canary or a failure domain, and how many of its hosts stop at once."""

    label: str
    hosts: tuple[str, ...]
    at_once: int


def failure_domain(rule, host):
    """Return the failure domain of ``host`` that ``rule`` speaks of."""
    domains = {
        "host": host.name,
        "rack": f"{host.zone}/{host.rack}",
        "zone": host.zone,
    }
    return domains[rule.domain]


def in_order(rule, hosts, names):
    """Return those of ``names`` that the pool still has, domain by domain."""
    known = [hosts[name] for name in names if name in hosts]
    ordered = sorted(known, key=lambda host: (failure_domain(rule, host), host.name))
    return [host.name for host in ordered]


def _fill(rule, pool_rule, hosts, names, stopped):
    """Return as many of ``names`` as may stop while ``stopped`` are stopped."""
    chosen = []
    for name in names:
        if len(stopped) + len(chosen) >= max(rule.at_once, 1):
            break
        if may_stop(pool_rule, hosts, {*stopped, *chosen, name}):
            chosen.append(name)
    return tuple(chosen)


def can_start(host):
    """Tell whether a pending ``host`` can be drained now."""
    return host.phase is Phase.SERVING and host.listed


def waiting_hosts(rule, hosts, wave):
    """Return the pending hosts that can be drained, in the order of the wave."""
    ordered = in_order(rule, hosts, wave.pending)
    return [name for name in ordered if can_start(hosts[name])]


def explain_budget(pool_rule, hosts):
    """Return how the pool stands to its availability budget."""
    available = sum(host.available for host in hosts.values())
    needed = required(pool_rule.availability, len(hosts))
    return (
        f"the availability budget of pool {pool_rule.name} asks for {needed} of "
        f"{len(hosts)} hosts, {available} are able to serve"
    )


def _current_domain(rule, hosts, wave, waiting):
    """Return the domain that the wave works on, or ``None`` between two."""
    for name in wave.in_course:
        if name in hosts:
            return failure_domain(rule, hosts[name])
    last = wave.done[-1] if wave.done else None
    if last not in hosts:
        return None
    domain = failure_domain(rule, hosts[last])
    unfinished = any(failure_domain(rule, hosts[name]) == domain for name in waiting)
    return domain if unfinished else None


def _next_canaries(rule, hosts, wave, waiting):
    """Return the canaries still to start, or ``None`` when all have passed."""
    finished = len(wave.done) + len(wave.failed)
    if finished >= wave.canary:
        return None
    return waiting[: max(0, wave.canary - finished - len(wave.in_course))]


def next_step(rule, pool_rule, hosts, wave, settled_for):
    """Return the ``Step`` that ``wave`` may take now.

    ``settled_for`` is the time in seconds since a host of the wave last came
    back or failed.
    """
    if wave.phase is WavePhase.HALTED:
        return Step(reason=f"the wave is halted: {wave.reason}")
    waiting = waiting_hosts(rule, hosts, wave)
    if not waiting:
        return Step(reason="no host waits for the wave")
    canaries = _next_canaries(rule, hosts, wave, waiting)
    if canaries is not None:
        candidates, label = canaries, "the canary is in course"
    else:
        domain = _current_domain(rule, hosts, wave, waiting)
        canary_only = len(wave.done) + len(wave.failed) <= wave.canary
        begun = bool(wave.done or wave.failed)
        between = not wave.in_course and (domain is None or canary_only)
        if begun and between and settled_for < rule.settle:
            left = rule.settle - settled_for
            return Step(reason=f"{left:.0f} s until the last step has settled")
        domain = domain or failure_domain(rule, hosts[waiting[0]])
        candidates = [n for n in waiting if failure_domain(rule, hosts[n]) == domain]
        label = f"domain {domain} is in course"
    chosen = _fill(rule, pool_rule, hosts, candidates, wave.in_course)
    if chosen:
        return Step(chosen)
    full = len(wave.in_course) >= max(rule.at_once, 1) or not candidates
    return Step(reason=label if full else explain_budget(pool_rule, hosts))


def plan_steps(rule, pool_rule, hosts, names):
    """Return the ``PlannedStep``s of a wave over ``names`` in which none fails.

    A step with 0 at once is one that the availability budget does not allow now.
    """
    ordered = in_order(rule, hosts, names)
    canaries, rest = ordered[: rule.canary], ordered[rule.canary :]
    groups = {"canary": canaries} if canaries else {}
    for name in rest:
        groups.setdefault(failure_domain(rule, hosts[name]), []).append(name)
    return [
        PlannedStep(
            label,
            tuple(members),
            len(_fill(rule, pool_rule, hosts, members, ())),
        )
        for label, members in groups.items()
    ]


def due_hosts(rule, hosts, phase, now):
    """Return the hosts whose maintenance is due, or none.

    A pool's waves start one ``PACE`` of the declared period after the other, at
    a point of it that ``phase``, a fraction, sets apart from other pools. ``now``
    is in seconds since the epoch.
    """
    period = rule.every * PACE
    begin = now - (now - phase * period) % period
    due = [host.name for host in hosts.values() if host.maintained_at < begin]
    return tuple(in_order(rule, hosts, due))
