"""Detect stalled and slow runs from the progress that workers report.

Callers' estimates are off by a factor of two and more, so the time that a run has taken
does not show whether it is slow. Its progress predicts when it completes, and the
progress of the other tasks of its step shows how long it takes on other workers.
"""

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
MAX_DOUBLINGS_COUNT = 10
"""How often the limits on the runs of a task are doubled; then they are some half an
hour, and stay finite after any number of runs."""
UNKNOWN_TIME = math.inf, ""
"""Stands for the full time and the worker of the fastest run of a step."""


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


def _step_key(task_id):
    return task_id.job, task_id.occurrence, task_id.step


def _restartable(link, ledger):
    """Yield the runs of a worker that may be restarted, as key, step and limit factor.

    Long-running tasks never complete and filler tasks may be paused, so both are left
    out. The limits on a run are multiplied by the factor, which doubles with each
    further run of a task that may have begun, up to a limit.
    """
    for task_id, run in link.progress:
        state = ledger.active.get(task_id.job)
        if state is None or (task_id, run) not in link.runs:
            continue
        step = state.job.steps[task_id.step]
        if not (step.long_running or step.fills):
            task = state.task(task_id)
            runs_before = max(0, task.last_run - task.not_begun - 1)
            yield (task_id, run), step, 2 ** min(runs_before, MAX_DOUBLINGS_COUNT)


def _stalls_at(progress, step, limit_factor):
    longest_stall = GANG_STALL_SECONDS if step.gang else STALL_SECONDS
    return progress.advanced_at + longest_stall * limit_factor


def runs_to_restart(link, ledger, times, now):
    """Yield the runs of one worker to restart elsewhere, each with the reason.

    ``times`` maps each step to the shortest full time in seconds of its runs in
    progress, with its worker. If the worker's report is overdue, no run is restarted.
    """
    if link.is_overdue(now):
        return
    for (task_id, run), step, limit_factor in _restartable(link, ledger):
        progress = link.progress[task_id, run]
        if now > _stalls_at(progress, step, limit_factor):
            yield task_id, run, "stands still"
            continue
        fastest, _ = times.get(_step_key(task_id), UNKNOWN_TIME)
        expected_time = min(fastest, ESTIMATE_FACTOR * step.estimate or math.inf)
        limit = SLOW_FACTOR * expected_time * limit_factor + RESTART_SECONDS
        if not step.gang and limit < progress.remaining(now) < math.inf:
            yield task_id, run, "slow"


@attrs.define(eq=False)
class ReadReport:
    """What was read from the last report of a worker.

    ``full_times`` holds the known full times of its runs in seconds, and ``due_at`` is
    the ``boot_time`` after which one of them may have to be restarted.
    """

    link: object
    report_count: int
    full_times: dict
    due_at: float = -math.inf


class RestartWatch:
    """Finds the runs of a pool to restart, with a look only at workers that need one.

    These are the workers with a new report, those with a run of a step that was found
    to be faster elsewhere, and those where a run may have stalled meanwhile.

    ``reports`` holds the ``ReadReport`` of each worker. ``runs`` holds by step the full
    time in seconds and the worker of each run, and ``fastest`` the least of these.
    """

    def __init__(self):
        self.reports = {}
        self.runs = {}
        self.fastest = {}

    def _read(self, worker, link):
        """Read the last report of a worker, which is gone if ``link`` is ``None``."""
        before, own = self.reports.pop(worker, None), {}
        for task_id, run in before.full_times if before else ():
            step = _step_key(task_id)
            del self.runs[step][worker, task_id, run]
            own[step] = UNKNOWN_TIME
        if link is not None:
            full_times = {key: p.full_time() for key, p in link.progress.items()}
            full_times = {key: t for key, t in full_times.items() if t is not None}
            self.reports[worker] = ReadReport(link, link.report_count, full_times)
            for (task_id, run), full_time in full_times.items():
                step = _step_key(task_id)
                self.runs.setdefault(step, {})[worker, task_id, run] = full_time, worker
                own[step] = min(own.get(step, UNKNOWN_TIME), (full_time, worker))
        for step, fastest in own.items():
            self._update_fastest(step, worker, fastest)

    def _update_fastest(self, step, worker, own):
        """Update the fastest run of a step; ``own`` is the fastest on ``worker``."""
        before, runs = self.fastest.pop(step, UNKNOWN_TIME), self.runs[step]
        if not runs:
            del self.runs[step]
            return
        fastest = min(runs.values()) if before[1] == worker else min(before, own)
        self.fastest[step] = fastest
        if fastest < before:
            for _, other in runs.values():
                self.reports[other].due_at = -math.inf

    def runs_to_restart(self, links, ledger, now):
        """Yield the worker, the task, the run and the reason of each run to restart."""
        for worker in self.reports.keys() - links.keys():
            self._read(worker, None)
        for worker, link in links.items():
            report = self.reports.get(worker)
            is_read = report is not None and report.link is link
            if not is_read or report.report_count != link.report_count:
                self._read(worker, link)
        for worker, link in links.items():
            report = self.reports[worker]
            if now <= report.due_at:
                continue
            restarts = list(runs_to_restart(link, ledger, self.fastest, now))
            stalls = (
                _stalls_at(link.progress[key], step, limit_factor)
                for key, step, limit_factor in _restartable(link, ledger)
            )
            report.due_at = -math.inf if restarts else min(stalls, default=math.inf)
            for task_id, run, reason in restarts:
                yield worker, task_id, run, reason
