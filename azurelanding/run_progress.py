"""Detect stalled and slow runs from the progress that workers report.

Callers' estimates are off by a factor of two and more, so the time that a run has taken
does not show whether it is slow. Its progress predicts when it completes, and the
progress of the other tasks of its step shows how long it takes on other workers.
"""

import collections
import math

import attrs

STALL_SECONDS = 2.0
"""Time without progress after which a run is stalled; spans at least two reports."""
GANG_STALL_SECONDS = 5.0
"""``STALL_SECONDS`` for gang members, which first wait for each other."""
MIN_MEASURED_SHARE = 0.05
"""Share of the work done from which on the pace of a run counts as known."""
ESTIMATE_FACTOR = 3.0
"""Times the caller's estimate that a run may take if no other run of the step shows a
shorter time; estimates are off by a factor of two and a half at most."""
SLOW_FACTOR = 2.0
"""A run is restarted if it still needs this many times the expected time: a restart
loses the work done, and the new run starts with a delay."""
RESTART_SECONDS = 0.5
"""Added to the limit on the remaining time, for the stop and the new start."""


@attrs.define
class RunProgress:
    """The progress of one run; times are in seconds of ``boot_time``.

    ``first_share`` is the share of the work that was done at ``first_seen_at``, when
    the run was first reported, and ``share`` the share that was done at
    ``advanced_at``, when it last rose.
    """

    first_seen_at: float
    advanced_at: float
    first_share: float
    share: float

    @classmethod
    def begin(cls, share, now):
        """Return the progress of a run that is reported for the first time."""
        return cls(now, now, share, share)

    def update(self, share, now):
        """Apply the share of work done from a report received at ``now``."""
        if share > self.share:
            self.share, self.advanced_at = share, now

    def full_time(self):
        """Return the seconds the whole work takes at this pace, ``None`` if unknown."""
        done = self.share - self.first_share
        if done < MIN_MEASURED_SHARE:
            return None
        return (self.advanced_at - self.first_seen_at) / done

    def remaining(self, now):
        """Return the seconds left at this pace, infinite if the pace is unknown."""
        full_time = self.full_time()
        if full_time is None:
            return math.inf
        return full_time * (1.0 - self.share) - (now - self.advanced_at)


def fastest_step_times(links):
    """Return the shortest full time in seconds of the runs in progress, by step."""
    times = collections.defaultdict(lambda: math.inf)
    for link in links:
        for (task_id, _), progress in link.progress.items():
            full_time = progress.full_time()
            if full_time is not None:
                key = (task_id.job, task_id.occurrence, task_id.step)
                times[key] = min(times[key], full_time)
    return times


def runs_to_restart(link, ledger, times, now):
    """Yield the runs of one worker to restart elsewhere, each with the reason.

    ``times`` are the ``fastest_step_times``. Long-running tasks never complete and
    filler tasks may be paused, so both are skipped; if the worker's report is overdue,
    all its runs are. The limits double with each further run of a task.
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
        limit_factor = 2 ** (state.task(task_id).last_run - 1)
        longest_stall = GANG_STALL_SECONDS if step.gang else STALL_SECONDS
        if now > progress.advanced_at + longest_stall * limit_factor:
            yield task_id, run, "stands still"
            continue
        key = (task_id.job, task_id.occurrence, task_id.step)
        expected_time = min(times[key], ESTIMATE_FACTOR * step.estimate or math.inf)
        limit = SLOW_FACTOR * expected_time * limit_factor + RESTART_SECONDS
        if not step.gang and limit < progress.remaining(now) < math.inf:
            yield task_id, run, "slow"
