"""Decide from the progress that workers report which runs stand still or are slow.

Callers' estimates are off by a factor of two and more, so the time that a run takes
says little by itself. Its progress tells when it will be done, and the progress of
the other tasks of its step how long it takes elsewhere.
"""

import collections
import math

import attrs

STILL_SECONDS = 2.0
"""Time without progress after which a run stands still; two reports at least."""
GANG_STILL_SECONDS = 5.0
"""The same for a gang, whose members wait for each other at first."""
SURE_SHARE = 0.05
"""Progress from which on the pace of a run is taken to be known."""
ESTIMATE_FACTOR = 3.0
"""Times a caller's estimate that a run may take where no other run of the step tells;
estimates are off by a factor of two and a half at most."""
SLOW_FACTOR = 2.0
"""How many times the full time elsewhere a run must still need to be moved: it loses
what it has done, and the new run is started with a delay."""
SLACK_SECONDS = 0.5
"""Added to that, for the stop and the new start."""


@attrs.define
class RunProgress:
    """How far one run has come; times are in seconds of ``boot_time``.

    ``first`` and ``share`` are the shares of the work that were done at ``seen_at``
    and at ``risen_at``, when the last progress was seen.
    """

    seen_at: float
    risen_at: float
    first: float
    share: float

    @classmethod
    def begin(cls, share, now):
        """Return the progress of a run that is seen for the first time."""
        return cls(now, now, share, share)

    def note(self, share, now):
        """Note what a report tells."""
        if share > self.share:
            self.share, self.risen_at = share, now

    def full_time(self):
        """Return how long the whole work takes at this pace, ``None`` if unknown."""
        done = self.share - self.first
        if done < SURE_SHARE:
            return None
        return (self.risen_at - self.seen_at) / done

    def remaining(self, now):
        """Return the seconds that are left at this pace, without end if unknown."""
        full_time = self.full_time()
        if full_time is None:
            return math.inf
        return full_time * (1.0 - self.share) - (now - self.risen_at)


def step_times(links):
    """Return the shortest full time of the runs under way, by step."""
    times = collections.defaultdict(lambda: math.inf)
    for link in links:
        for (task_id, _), progress in link.progress.items():
            full_time = progress.full_time()
            if full_time is not None:
                key = (task_id.job, task_id.occurrence, task_id.step)
                times[key] = min(times[key], full_time)
    return times


def runs_to_move(link, ledger, times, now):
    """Yield the runs of one worker that do better elsewhere, with the reason.

    ``times`` are the ``step_times``. Long-running tasks have no end to come to and
    tasks that fill a worker may be paused, so neither are judged, nor is anything by
    reports that are overdue.
    """
    if link.is_overdue(now):
        return
    for (task_id, run), progress in link.progress.items():
        state = ledger.active.get(task_id.job)
        if state is None or (task_id, run) not in link.runs:
            continue
        step = state.job.steps[task_id.step]
        if step.long_running or step.fills:
            continue
        patience = 2 ** (state.task(task_id).last_run - 1)
        longest_still = GANG_STILL_SECONDS if step.gang else STILL_SECONDS
        if now > progress.risen_at + longest_still * patience:
            yield task_id, run, "stands still"
            continue
        key = (task_id.job, task_id.occurrence, task_id.step)
        elsewhere = min(times[key], ESTIMATE_FACTOR * step.estimate or math.inf)
        limit = SLOW_FACTOR * elsewhere * patience + SLACK_SECONDS
        if not step.gang and limit < progress.remaining(now) < math.inf:
            yield task_id, run, "slow"
