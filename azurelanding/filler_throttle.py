"""Throttle filler tasks while serving tasks on the same worker miss their targets.

Filler tasks use the cores that other tasks leave idle; serving tasks have a target for
their tail latency.
"""

import attrs

from azurelanding.utils import boot_time
from azurelanding.worker_calls import PaceOrder

SLOWDOWN_FACTOR = 0.5
"""The pace of fillers is halved while a target is missed, so that three changes bring
them near a stop well within the time that the users allow."""
SPEEDUP_STEP = 0.1
"""Share by which fillers speed up again; small, as measured usage lags by half a
second."""
MIN_CHANGE_INTERVAL_SECONDS = 0.6
"""Time between two changes; longer than the half second that a measurement covers."""
SPEEDUP_MAX_TAIL_SHARE = 0.8
"""Tail latency, as a share of its target, from which fillers are not sped up."""
PAUSED_SHARE = 0.0


@attrs.define
class FillerThrottle:
    """The share of their pace at which the fillers of one worker may run.

    ``changed_at`` is a ``boot_time``, and ``evaluated`` the link and the number of the
    last report that was evaluated.
    """

    share: float = 1.0
    changed_at: float = 0.0
    evaluated: tuple = ()


def _has_unknown_pace(link, fillers):
    return any(link.paces.get(key, 1.0) is None for key in fillers)


class FillerThrottles:
    """The ``FillerThrottle`` of each worker of a pool."""

    def __init__(self):
        self.by_worker = {}

    def _tail_and_fillers(self, link, ledger):
        """Return the worst tail latency as a share of its target, and the fillers."""
        worst_tail, fillers = 0.0, []
        for (task_id, run), listed in link.listed_runs.items():
            state = ledger.active.get(task_id.job)
            if state is None or state.is_over:
                continue
            step = state.job.steps[task_id.step]
            if step.tail_target > 0:
                worst_tail = max(
                    worst_tail, listed.measurement / 1000.0 / step.tail_target
                )
            elif step.fills:
                fillers.append((task_id, run))
        return worst_tail, fillers

    def pace_orders(self, link, ledger):
        """Return the ``PaceOrder``s to send to a worker after a new report."""
        throttle = self.by_worker.setdefault(link.entry.id, FillerThrottle())
        if not link.report_count or throttle.evaluated == (link, link.report_count):
            return []
        is_first = not throttle.evaluated
        throttle.evaluated = link, link.report_count
        worst_tail, fillers = self._tail_and_fillers(link, ledger)
        if not fillers:
            link.paces = {}
            return []
        now = boot_time()
        if is_first and worst_tail > 0.0 and _has_unknown_pace(link, fillers):
            # An earlier controller may have found that they disturb the other tasks.
            throttle.share, throttle.changed_at = SLOWDOWN_FACTOR, now
        if now >= throttle.changed_at + MIN_CHANGE_INTERVAL_SECONDS:
            self._adjust(throttle, worst_tail, now)
        due = [key for key in fillers if link.paces.get(key, 1.0) != throttle.share]
        link.paces = dict.fromkeys(fillers, throttle.share)
        return [PaceOrder(task_id, run, throttle.share) for task_id, run in due]

    def _adjust(self, throttle, worst_tail, now):
        if worst_tail > 1.0:
            share = throttle.share * SLOWDOWN_FACTOR
            throttle.share = share if share > SPEEDUP_STEP / 2 else PAUSED_SHARE
            throttle.changed_at = now
        elif worst_tail < SPEEDUP_MAX_TAIL_SHARE and throttle.share < 1.0:
            throttle.share = min(1.0, throttle.share + SPEEDUP_STEP)
            throttle.changed_at = now
