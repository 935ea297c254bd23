"""Choose which running tasks to preempt for an urgent task.

The least urgent tasks are preempted first, and among these the ones that lose the
least work. A task that must not be repeated is throttled but never stopped. A task
that can save a checkpoint is stopped after it has saved one; any other task is
stopped right away and later restarts from its last checkpoint.
"""

import enum

import attrs

from azurelanding.free_capacity import CORES_TOLERANCE
from azurelanding.requests import Urgency
from azurelanding.tasks import Resources

THROTTLED_CORES_FRACTION = 0.25
URGENCY_ORDER = {Urgency.URGENT: 0, Urgency.STANDARD: 1, Urgency.DEFERRABLE: 2}
PREEMPTION_LEVELS = (Urgency.DEFERRABLE, Urgency.STANDARD)
NO_RESOURCES = Resources()


class PreemptionAction(enum.Enum):
    """A way to free resources of a task; ``RESTORE`` undoes ``THROTTLE``."""

    THROTTLE = "throttle"
    RESTORE = "restore"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@attrs.frozen
class Candidate:
    """A running task that may be preempted.

    ``used`` is what it uses now, ``unsaved`` its run time since the last
    checkpoint in seconds.
    """

    task: str
    urgency: Urgency
    repeat: bool
    checkpoint: bool
    used: Resources
    unsaved: float = 0.0
    throttled: bool = False


@attrs.frozen
class PreemptionStep:
    """One action on a task of ``worker`` and the resources that it frees.

    ``cores`` is the limit that ``THROTTLE`` sets, in cores.
    """

    task: str
    worker: str
    action: PreemptionAction
    frees: Resources
    cores: float = 0.0


def _freed_by_throttling(used):
    return Resources(used.cores * (1.0 - THROTTLED_CORES_FRACTION), 0, 0)


def freed_by_preemption(rule, used, level):
    """Return what preempting a task of ``rule`` frees at the given ``level``.

    Tasks that are more urgent than ``level`` free nothing.
    """
    if level is None or URGENCY_ORDER[rule.urgency] < URGENCY_ORDER[level]:
        return NO_RESOURCES
    return used if rule.repeat else _freed_by_throttling(used)


def _cheapest_step(candidate, worker, short):
    """Return the cost of the mildest step for a candidate and the ``PreemptionStep``.

    Return ``None`` if no step is possible. Throttling costs the least; a stop costs
    more, the more run time it loses.
    """
    only_cores_short = short.memory <= 0 and short.accelerators <= 0
    if only_cores_short and not candidate.throttled:
        limit = candidate.used.cores * THROTTLED_CORES_FRACTION
        frees = _freed_by_throttling(candidate.used)
        step = PreemptionStep(
            candidate.task, worker, PreemptionAction.THROTTLE, frees, limit
        )
        return 0.0, step
    if not candidate.repeat:
        return None
    action = (
        PreemptionAction.CHECKPOINT if candidate.checkpoint else PreemptionAction.STOP
    )
    lost_seconds = 0.0 if candidate.checkpoint else candidate.unsaved
    return 1.0 + lost_seconds, PreemptionStep(
        candidate.task, worker, action, candidate.used
    )


def _covers(steps, short):
    return (
        sum(step.frees.cores for step in steps) + CORES_TOLERANCE >= short.cores
        and sum(step.frees.memory for step in steps) >= short.memory
        and sum(step.frees.accelerators for step in steps) >= short.accelerators
    )


def _drop_unneeded(steps, short):
    """Return ``steps`` without the unneeded ones; the costliest are dropped first."""
    kept = list(steps)
    for step in reversed(steps):
        remaining = [other for other in kept if other is not step]
        if _covers(remaining, short):
            kept = remaining
    return kept


def _select_steps(ranked, short):
    chosen = []
    for _, step in ranked:
        if _covers(chosen, short):
            break
        chosen.append(step)
    return _drop_unneeded(chosen, short) if _covers(chosen, short) else None


def choose_steps(candidates, worker, short):
    """Return the ``PreemptionStep``s that free ``short`` on ``worker``, or ``None``.

    Throttling loses no work, so it is tried first if only cores are short. If it
    can't free enough, a second try asks for memory as well, which rules out
    throttling, and tasks are stopped.
    """
    for wanted in (short, attrs.evolve(short, memory=max(1, short.memory))):
        ranked = []
        for candidate in candidates:
            found = _cheapest_step(candidate, worker, wanted)
            if found is not None:
                rank = (-URGENCY_ORDER[candidate.urgency], found[0], candidate.task)
                ranked.append((rank, found[1]))
        ranked.sort(key=lambda pair: pair[0])
        steps = _select_steps(ranked, short)
        if steps is not None:
            return steps
    return None
