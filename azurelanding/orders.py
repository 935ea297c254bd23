"""Decide what to tell a worker, from what the log says and what it reports.

The log says which attempts shall run, the worker which do. The orders are the
difference, worked out anew each time, so a lost order or reply is made good by
the next ones. A start is asked for only if its intent was read back from the
log, and again only at the worker's same incarnation, which knows it already.
"""

import attrs

from azurelanding.preemption import PreemptionAction
from azurelanding.tasks import End, Resources
from azurelanding.workers.wire import AttemptPhase, Limit, Orders, Start, Stop

CHECKPOINT_PATIENCE_SECONDS = 2.0


def _runs(link, state):
    """Return the worker's line on the placed attempt, or ``None``."""
    held = link.attempts.get(state.task.id)
    return held if held is not None and held.attempt == state.attempt else None


def _starts(link, placed):
    return tuple(
        Start(
            state.task.id,
            state.attempt,
            state.task.job,
            state.placement.need,
            state.saved,
        )
        for state in placed.values()
        if state.placement.incarnation == link.incarnation
        and _runs(link, state) is None
    )


def _limit_order(held, step):
    if step.action is PreemptionAction.THROTTLE and held.limit != step.cores:
        return Limit(held.task, held.attempt, step.cores)
    if step.action is PreemptionAction.RESTORE and held.limit:
        return Limit(held.task, held.attempt, 0.0)
    return None


def _stop_order(held, step):
    patience = (
        CHECKPOINT_PATIENCE_SECONDS
        if step.action is PreemptionAction.CHECKPOINT
        else 0.0
    )
    return Stop(held.task, held.attempt, patience)


def _planned(link, placed, steps):
    """Return the stops and limits that ``steps`` ask for and are still to be told."""
    stops, limits = [], []
    for task, step in steps.items():
        state = placed.get(task)
        held = _runs(link, state) if state else None
        if held is None or held.phase is not AttemptPhase.RUNNING:
            continue
        if step.action in (PreemptionAction.THROTTLE, PreemptionAction.RESTORE):
            limits.append(_limit_order(held, step))
        elif not held.stopping:
            stops.append(_stop_order(held, step))
    return stops, [limit for limit in limits if limit is not None]


def orders_due(link, placed, steps, lease):
    """Return the ``Orders`` that are due to a worker, or ``None``.

    ``placed`` are its tasks by the log, ``steps`` the planned ``Step``s of them.
    """
    stops, limits = _planned(link, placed, steps)
    forget = []
    for held in link.attempts.values():
        state = placed.get(held.task)
        if state is not None and state.attempt == held.attempt:
            continue
        if held.phase is not AttemptPhase.RUNNING:
            forget.append(held.task)
        elif not held.stopping:
            stops.append(Stop(held.task, held.attempt))
    starts = _starts(link, placed)
    if not (starts or stops or limits or forget):
        return None
    return Orders(
        link.pool,
        link.epoch,
        0,
        link.incarnation,
        lease,
        starts,
        tuple(stops),
        tuple(limits),
        tuple(forget),
    )


@attrs.frozen
class AttemptEnd:
    """The end of a placed attempt, to be recorded."""

    end: End
    reason: str = ""
    usage: Resources | None = None
    ran: float = 0.0
    saved: float = 0.0


def find_end(link, state, lost_after, listed, now):
    """Return the ``AttemptEnd`` of a placed task, or ``None`` while it may run.

    ``lost_after`` is how long in seconds a silent worker's tasks may still run.
    What must not be repeated is given up only once the host is off the list.
    """
    held = _runs(link, state)
    if held is not None and held.phase is not AttemptPhase.RUNNING:
        usage = Resources(held.cores, held.memory)
        return AttemptEnd(
            End(held.phase.value), held.reason, usage, held.ran, held.saved
        )
    if link.is_synced and state.placement.incarnation != link.incarnation:
        return AttemptEnd(End.GONE, f"{link.host.name} was restarted")
    silent = link.silent_since is not None and now >= link.silent_since + lost_after
    if silent and (state.task.repeat or not listed):
        seconds = now - link.silent_since
        return AttemptEnd(End.GONE, f"{link.host.name} silent for {seconds:.0f} s")
    return None
