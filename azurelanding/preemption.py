"""Choose which tasks make room for urgent work.

The least urgent go first, and of these the ones that lose least. A task that
must not be repeated is throttled but never stopped; a task that can save a
checkpoint is stopped after it has done so; any other one starts again from its
last checkpoint.
"""

import enum

import attrs

from azurelanding.free_capacity import EPSILON_CORES
from azurelanding.requests import Urgency
from azurelanding.tasks import Resources

THROTTLED_CORES_FRACTION = 0.25
URGENCY_ORDER = {Urgency.URGENT: 0, Urgency.STANDARD: 1, Urgency.DEFERRABLE: 2}
PREEMPTION_LEVELS = (Urgency.DEFERRABLE, Urgency.STANDARD)
NO_RESOURCES = Resources()


class PreemptionAction(enum.Enum):
    """What is done to a task so that it makes room."""

    THROTTLE = "throttle"
    RESTORE = "restore"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@attrs.frozen
class Candidate:
    """A running task that may make room; ``taken`` is what it takes now.

    ``unsaved`` is its run time since the last checkpoint, in seconds.
    """

    task: str
    urgency: Urgency
    repeat: bool
    checkpoint: bool
    taken: Resources
    unsaved: float = 0.0
    throttled: bool = False


@attrs.frozen
class PreemptionStep:
    """One action on a task; ``cores`` is the limit of a throttled one.

    ``RESTORE`` lifts that limit.
    """

    task: str
    worker: str
    action: PreemptionAction
    frees: Resources
    cores: float = 0.0


def _throttle_frees(taken):
    return Resources(taken.cores * (1.0 - THROTTLED_CORES_FRACTION), 0, 0)


def freed_by_preemption(rule, taken, level):
    """Return what a task of ``rule`` gives back when ``level`` makes room."""
    if level is None or URGENCY_ORDER[rule.urgency] < URGENCY_ORDER[level]:
        return NO_RESOURCES
    return taken if rule.repeat else _throttle_frees(taken)


def _step(candidate, worker, short):
    """Return the mildest ``PreemptionStep`` for a candidate and its rank, or ``None``."""
    only_cores = short.memory <= 0 and short.accelerators <= 0
    if only_cores and not candidate.throttled:
        limit = candidate.taken.cores * THROTTLED_CORES_FRACTION
        frees = _throttle_frees(candidate.taken)
        step = PreemptionStep(
            candidate.task, worker, PreemptionAction.THROTTLE, frees, limit
        )
        return 0.0, step
    if not candidate.repeat:
        return None
    action = (
        PreemptionAction.CHECKPOINT if candidate.checkpoint else PreemptionAction.STOP
    )
    lost = 0.0 if candidate.checkpoint else candidate.unsaved
    return 1.0 + lost, PreemptionStep(candidate.task, worker, action, candidate.taken)


def _covers(steps, short):
    return (
        sum(step.frees.cores for step in steps) + EPSILON_CORES >= short.cores
        and sum(step.frees.memory for step in steps) >= short.memory
        and sum(step.frees.accelerators for step in steps) >= short.accelerators
    )


def _without_needless(steps, short):
    """Return ``steps`` less those that are not needed, the costliest first."""
    kept = list(steps)
    for step in reversed(steps):
        rest = [other for other in kept if other is not step]
        if _covers(rest, short):
            kept = rest
    return kept


def _enough(ranked, short):
    chosen = []
    for _, step in ranked:
        if _covers(chosen, short):
            break
        chosen.append(step)
    return _without_needless(chosen, short) if _covers(chosen, short) else None


def choose_steps(candidates, worker, short):
    """Return the ``PreemptionStep``s that free ``short`` on ``worker``, or ``None``.

    Throttling is tried first, as it loses nothing; where it is not enough, it
    is left out and tasks are stopped.
    """
    for wanted in (short, attrs.evolve(short, memory=max(1, short.memory))):
        ranked = []
        for candidate in candidates:
            pair = _step(candidate, worker, wanted)
            if pair is not None:
                rank = (-URGENCY_ORDER[candidate.urgency], pair[0], candidate.task)
                ranked.append((rank, pair[1]))
        ranked.sort(key=lambda pair: pair[0])
        steps = _enough(ranked, short)
        if steps is not None:
            return steps
    return None
