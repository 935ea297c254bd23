"""Slow down tasks that fill a worker while tasks beside them miss their targets."""

import attrs

from azurelanding.utils import boot_time
from azurelanding.worker_calls import PaceOrder

SLOWER_FACTOR = 0.5
"""A filling task is halved while a target beside it is missed, so that three steps
bring it near a stop well within the time that the users allow."""
FASTER_STEP = 0.1
"""Share by which it is sped up again; gently, as usage shows half a second late."""
SHORTEST_STEP_SECONDS = 0.6
"""Time between two changes; over the half second over which figures are taken."""
CLOSE_SHARE = 0.8
"""Share of a target over which nothing is sped up."""
LEAST_SHARE = 0.0


@attrs.define
class Level:
    """How fast the filling tasks of one worker may go, and since when."""

    share: float = 1.0
    changed_at: float = 0.0
    reports: int = 0
    told: dict = attrs.field(factory=dict)


class Levels:
    """The pace of the filling tasks of a pool, by worker."""

    def __init__(self):
        self.levels = {}

    def _worst(self, link, ledger):
        """Return the worst tail on a worker as a share of its target, and fillers."""
        worst, fillers = 0.0, []
        for (task_id, run), listed in link.listed.items():
            state = ledger.active.get(task_id.job)
            if state is None or state.is_over:
                continue
            step = state.job.steps[task_id.step]
            if step.tail_target > 0:
                worst = max(worst, listed.measurement / 1000.0 / step.tail_target)
            elif step.fills:
                fillers.append((task_id, run))
        return worst, fillers

    def orders(self, link, ledger):
        """Return the ``PaceOrder``s that are due to a worker."""
        level = self.levels.setdefault(link.entry.id, Level())
        if level.reports == link.report_count:
            return []
        level.reports = link.report_count
        worst, fillers = self._worst(link, ledger)
        if not fillers:
            level.told = {}
            return []
        now = boot_time()
        if now >= level.changed_at + SHORTEST_STEP_SECONDS:
            self._change(level, worst, now)
        due = [key for key in fillers if level.told.get(key, 1.0) != level.share]
        level.told = dict.fromkeys(fillers, level.share)
        return [PaceOrder(task_id, run, level.share) for task_id, run in due]

    def _change(self, level, worst, now):
        if worst > 1.0:
            share = level.share * SLOWER_FACTOR
            level.share = share if share > FASTER_STEP / 2 else LEAST_SHARE
            level.changed_at = now
        elif worst < CLOSE_SHARE and level.share < 1.0:
            level.share = min(1.0, level.share + FASTER_STEP)
            level.changed_at = now
