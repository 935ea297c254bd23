"""Choose the steps of a maintenance wave.

A wave maintains its canary hosts first, then one failure domain of the pool after
the other. Within a domain a host may start as soon as another one has returned. No
more hosts stop at the same time than the rule's ``at_once`` and the availability
budget allow.
"""

import enum

import attrs

from azurelanding.availability import may_stop, required
from azurelanding.hosts import Phase

WAVE_PERIOD_FRACTION = 0.9


class WavePhase(enum.Enum):
    """The state of a wave; only a running one takes further steps."""

    RUNNING = "running"
    HALTED = "halted"


@attrs.frozen
class Wave:
    """The state of a pool's wave, from the log.

    ``started`` is the offset of its first record and identifies the wave;
    ``version`` is the offset of its last record. Every host is pending, in course
    (draining or rebooting), done or failed. The first ``forgiven`` failures
    happened before an operator resumed the wave and do not halt it again.
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
class WaveStep:
    """The hosts to drain together; if there are none, ``reason`` says why."""

    hosts: tuple[str, ...] = ()
    reason: str = ""


@attrs.frozen
class PlannedStep:
    """A step of a plan: a label, the hosts, and how many stop at the same time.

    The hosts are the canaries or those of one failure domain.
    """

    label: str
    hosts: tuple[str, ...]
    at_once: int


def failure_domain(rule, host):
    """Return the failure domain of ``host``, at the level that ``rule`` declares."""
    domains = {
        "host": host.name,
        "rack": f"{host.zone}/{host.rack}",
        "zone": host.zone,
    }
    return domains[rule.domain]


def sort_by_domain(rule, hosts, names):
    """Return the ``names`` that are in ``hosts``, sorted by failure domain and name."""
    known = [hosts[name] for name in names if name in hosts]
    ordered = sorted(known, key=lambda host: (failure_domain(rule, host), host.name))
    return [host.name for host in ordered]


def _select_stoppable(rule, pool_rule, hosts, names, stopped):
    """Return the hosts of ``names`` that may stop in addition to ``stopped``.

    They stay within the rule's ``at_once`` and the availability budget.
    """
    chosen = []
    for name in names:
        if len(stopped) + len(chosen) >= max(rule.at_once, 1):
            break
        if may_stop(pool_rule, hosts, {*stopped, *chosen, name}):
            chosen.append(name)
    return tuple(chosen)


def can_drain(host):
    """Return whether a pending ``host`` can be drained now."""
    return host.phase is Phase.SERVING and host.listed


def drainable_hosts(rule, hosts, wave):
    """Return the names of the pending hosts that can be drained, in wave order."""
    ordered = sort_by_domain(rule, hosts, wave.pending)
    return [name for name in ordered if can_drain(hosts[name])]


def explain_budget(pool_rule, hosts):
    """Return a text on how many hosts the budget requires and how many can serve."""
    available = sum(host.available for host in hosts.values())
    needed = required(pool_rule.availability, len(hosts))
    return (
        f"the availability budget of pool {pool_rule.name} asks for {needed} of "
        f"{len(hosts)} hosts, {available} are able to serve"
    )


def _current_domain(rule, hosts, wave, waiting):
    """Return the failure domain in progress, or ``None`` between two domains."""
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
    """Return the canaries to start now, or ``None`` if all have finished."""
    finished = len(wave.done) + len(wave.failed)
    if finished >= wave.canary:
        return None
    return waiting[: max(0, wave.canary - finished - len(wave.in_course))]


def next_step(rule, pool_rule, hosts, wave, seconds_since_progress):
    """Return the ``WaveStep`` that ``wave`` may take now.

    ``seconds_since_progress`` is the time in seconds since a host of the wave last
    finished or failed. After the canaries and between two domains it must have
    reached the declared settle time.
    """
    if wave.phase is WavePhase.HALTED:
        return WaveStep(reason=f"the wave is halted: {wave.reason}")
    waiting = drainable_hosts(rule, hosts, wave)
    if not waiting:
        return WaveStep(reason="no host waits for the wave")
    canaries = _next_canaries(rule, hosts, wave, waiting)
    if canaries is not None:
        candidates, label = canaries, "the canary is in course"
    else:
        domain = _current_domain(rule, hosts, wave, waiting)
        canary_only = len(wave.done) + len(wave.failed) <= wave.canary
        begun = bool(wave.done or wave.failed)
        between_steps = not wave.in_course and (domain is None or canary_only)
        if begun and between_steps and seconds_since_progress < rule.settle:
            remaining = rule.settle - seconds_since_progress
            return WaveStep(reason=f"{remaining:.0f} s until the last step has settled")
        domain = domain or failure_domain(rule, hosts[waiting[0]])
        candidates = [n for n in waiting if failure_domain(rule, hosts[n]) == domain]
        label = f"domain {domain} is in course"
    chosen = _select_stoppable(rule, pool_rule, hosts, candidates, wave.in_course)
    if chosen:
        return WaveStep(chosen)
    at_limit = len(wave.in_course) >= max(rule.at_once, 1) or not candidates
    return WaveStep(reason=label if at_limit else explain_budget(pool_rule, hosts))


def plan_steps(rule, pool_rule, hosts, names):
    """Return the ``PlannedStep``s of a wave over ``names`` if no host fails.

    ``at_once`` is 0 in a step that the availability budget does not allow now.
    """
    ordered = sort_by_domain(rule, hosts, names)
    canaries, others = ordered[: rule.canary], ordered[rule.canary :]
    groups = {"canary": canaries} if canaries else {}
    for name in others:
        groups.setdefault(failure_domain(rule, hosts[name]), []).append(name)
    return [
        PlannedStep(
            label,
            tuple(members),
            len(_select_stoppable(rule, pool_rule, hosts, members, ())),
        )
        for label, members in groups.items()
    ]


def due_hosts(rule, hosts, period_offset, now):
    """Return the names of the hosts whose maintenance is due, in wave order.

    A pool's wave period is ``WAVE_PERIOD_FRACTION`` of the declared one. A host is
    due if it was last maintained before the current wave period began. The fraction
    ``period_offset`` shifts the periods, so that the waves of different pools do not
    start together. ``now`` is in seconds since the epoch.
    """
    period = rule.every * WAVE_PERIOD_FRACTION
    period_start = now - (now - period_offset * period) % period
    due = [host.name for host in hosts.values() if host.maintained_at < period_start]
    return tuple(sort_by_domain(rule, hosts, due))
