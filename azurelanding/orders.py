"""Compute the orders for a worker from the log and the worker's reports.

The log defines which attempts should run, and the worker reports which do run.
The orders are the difference. They are computed again each time, so a lost
order or reply is made up for by the next orders. A start is ordered only after its
placement was read back from the log. It is repeated only to the same incarnation
of the worker, which recognises an attempt that it has already started.
"""

import attrs

from azurelanding.preemption import PreemptionAction
from azurelanding.tasks import End, Resources
from azurelanding.workers.wire import AttemptPhase, Limit, Orders, Start, Stop

CHECKPOINT_TIMEOUT_SECONDS = 2.0


def _reported_attempt(link, state):
    """Return what the worker reports of the placed attempt, or ``None``."""
    found = link.attempts.get(state.task.id)
    return found if found is not None and found.attempt == state.attempt else None


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
        and _reported_attempt(link, state) is None
    )


def _limit_order(reported, step):
    if step.action is PreemptionAction.THROTTLE and reported.limit != step.cores:
        return Limit(reported.task, reported.attempt, step.cores)
    if step.action is PreemptionAction.RESTORE and reported.limit:
        return Limit(reported.task, reported.attempt, 0.0)
    return None


def _stop_order(reported, step):
    timeout = (
        CHECKPOINT_TIMEOUT_SECONDS
        if step.action is PreemptionAction.CHECKPOINT
        else 0.0
    )
    return Stop(reported.task, reported.attempt, timeout)


def _planned_orders(link, placed, steps):
    """Return the stops and limits of ``steps`` that the worker does not report yet."""
    stops, limits = [], []
    for task, step in steps.items():
        state = placed.get(task)
        reported = _reported_attempt(link, state) if state else None
        if reported is None or reported.phase is not AttemptPhase.RUNNING:
            continue
        if step.action in (PreemptionAction.THROTTLE, PreemptionAction.RESTORE):
            limits.append(_limit_order(reported, step))
        elif not reported.stopping:
            stops.append(_stop_order(reported, step))
    return stops, [limit for limit in limits if limit is not None]


def compute_orders(link, placed, steps, lease):
    """Return the ``Orders`` to send to a worker, or ``None`` if there are none.

    ``placed`` maps the ids of the tasks placed on it, as read from the log, to
    their states. ``steps`` maps task ids to planned preemption steps. ``lease`` is
    in seconds. The sequence number is 0; the sender sets it.
    """
    stops, limits = _planned_orders(link, placed, steps)
    forget = []
    for reported in link.attempts.values():
        state = placed.get(reported.task)
        if state is not None and state.attempt == reported.attempt:
            continue
        if reported.phase is not AttemptPhase.RUNNING:
            forget.append(reported.task)
        elif not reported.stopping:
            stops.append(Stop(reported.task, reported.attempt))
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
    """The end of a placed attempt, which the pool's controller records.

    ``usage`` holds the peaks that the worker observed. ``ran`` and ``saved`` are
    the run time and the part of it up to the last checkpoint, in seconds.
    """

    end: End
    reason: str = ""
    usage: Resources | None = None
    ran: float = 0.0
    saved: float = 0.0


def find_end(link, state, lost_after, listed, now):
    """Return the ``AttemptEnd`` of a placed task, or ``None`` while it may run.

    ``lost_after`` is how long the tasks of a silent worker may still run, in
    seconds. ``listed`` is whether its host is on the host list. The end of a
    non-repeatable task on a silent worker is assumed only once the host is no
    longer listed.
    """
    reported = _reported_attempt(link, state)
    if reported is not None and reported.phase is not AttemptPhase.RUNNING:
        usage = Resources(reported.cores, reported.memory)
        return AttemptEnd(
            End(reported.phase.value),
            reported.reason,
            usage,
            reported.ran,
            reported.saved,
        )
    if link.is_synced and state.placement.incarnation != link.incarnation:
        return AttemptEnd(End.GONE, f"{link.host.name} was restarted")
    silent = link.silent_since is not None and now >= link.silent_since + lost_after
    if silent and (state.task.repeat or not listed):
        seconds = now - link.silent_since
        return AttemptEnd(End.GONE, f"{link.host.name} silent for {seconds:.0f} s")
    return None
