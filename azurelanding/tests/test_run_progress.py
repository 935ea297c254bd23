"""Test which runs count as stalled or slow and are restarted."""

import random

import testtools

from azurelanding import run_progress
from azurelanding.jobs import TaskId, TaskState
from azurelanding.ledger import TaskChanged, record_key
from azurelanding.run_progress import RestartWatch, RunProgress
from azurelanding.tests.platform_world import make_job, make_link, make_step
from azurelanding.tests.test_fleet_choices import make_ledger
from azurelanding.utils import boot_time


def make_reported_link(name, progress):
    """Return a link whose last report, received now, led to this progress by run."""
    link = make_link(name)
    link.last_report_at, link.progress = boot_time(), progress
    link.runs = dict.fromkeys(progress, boot_time())
    return link


class RunsToRestartTest(testtools.TestCase):
    """Runs of a step of two tasks, one on each of two workers."""

    def restarted(self, first, second, **fields):
        """Return the index and the reason of each run to restart.

        ``first`` and ``second`` hold the seconds since each run was first seen, the
        share of its work that is done and, optionally, the seconds without progress.
        """
        job = make_job(steps=(make_step(2, **{"estimate": 1.0, **fields}),))
        ledger, now = make_ledger(job, ["v", "w"]), boot_time()
        links = {}
        for index, (seconds, share, *stalled) in enumerate((first, second)):
            advanced_at = now - (stalled[0] if stalled else 0.0)
            progress = RunProgress(now - seconds, advanced_at, 0.0, share)
            key = (TaskId(job.id, 0, 0, index), 1)
            links["vw"[index]] = make_reported_link("vw"[index], {key: progress})
        restarts = RestartWatch().runs_to_restart(links, ledger, now)
        return [(task.index, reason) for _, task, _, reason in restarts]

    def test_run_that_makes_progress_is_not_restarted(self):
        self.assertEqual([], self.restarted((4.0, 0.9), (4.0, 0.8)))

    def test_run_without_progress_is_stalled(self):
        found = self.restarted((3.0, 0.3, 2.5), (3.0, 0.9))
        self.assertEqual([(0, "stands still")], found)

    def test_run_far_slower_than_the_others_is_slow(self):
        self.assertEqual([(0, "slow")], self.restarted((1.0, 0.1), (1.0, 0.8)))

    def test_run_at_half_the_pace_is_not_restarted(self):
        self.assertEqual([], self.restarted((1.0, 0.4), (1.0, 0.8)))

    def test_run_far_over_its_estimate_is_slow(self):
        self.assertEqual(2, len(self.restarted((1.0, 0.06), (1.0, 0.06), estimate=0.5)))

    def restarted_after(self, task):
        """Return the reasons to restart the only run of a task that stands still."""
        job = make_job(steps=(make_step(1, estimate=1.0),))
        ledger, now = make_ledger(job, ["v"]), boot_time()
        task_id = TaskId(job.id, 0, 0, 0)
        record = TaskChanged(task_id, task)
        ledger.apply(record_key(record), record, 100)
        progress = RunProgress(now - 3.0, now - 2.5, 0.0, 0.3)
        links = {"v": make_reported_link("v", {(task_id, task.last_run): progress})}
        restarts = RestartWatch().runs_to_restart(links, ledger, now)
        return [reason for *_, reason in restarts]

    def test_limits_of_a_task_with_thousands_of_runs_are_finite(self):
        # The error ended the control of the pool again and again.
        task = TaskState(5000, {5000: "v"})
        self.assertEqual([], self.restarted_after(task))

    def test_refused_starts_do_not_raise_the_limits_of_a_run(self):
        # After minutes of refusals a run that stood still was never restarted.
        task = TaskState(9, {9: "v"}, not_begun=8)
        self.assertEqual(["stands still"], self.restarted_after(task))
        self.assertEqual([], self.restarted_after(TaskState(9, {9: "v"})))

    def test_run_of_unknown_pace_is_not_restarted(self):
        self.assertEqual([], self.restarted((0.3, 0.01), (1.0, 0.8)))

    def test_long_running_filler_and_gang_tasks_are_not_restarted(self):
        for fields in ({"long_running": True}, {"fills": True}, {"gang": True}):
            self.assertEqual([], self.restarted((4.0, 0.0, 4.0), (4.0, 0.9), **fields))


class ChangedReportsTest(testtools.TestCase):
    """Only the workers on which something has changed are looked at."""

    def report(self, draw, link, now):
        """Let a link receive a report in which its runs advanced, ended or vanished."""
        for progress in link.progress.values():
            progress.update(progress.share + draw.choice((0.0, 0.02, 0.3)), now)
        if draw.random() < 0.1 and link.progress:
            link.progress.pop(next(iter(link.progress)))
        link.report_count += 1
        link.last_report_at = now

    def walk(self, links, ledger, now):
        """Return the runs to restart by a walk over all runs."""
        times = {}
        for worker, link in links.items():
            for (task, _), progress in link.progress.items():
                step = (task.job, task.occurrence, task.step)
                if (full_time := progress.full_time()) is not None:
                    known = times.get(step, run_progress.UNKNOWN_TIME)
                    times[step] = min(known, (full_time, worker))
        return [
            (worker, *restart)
            for worker, link in links.items()
            for restart in run_progress.runs_to_restart(link, ledger, times, now)
        ]

    def test_same_runs_are_restarted_as_by_a_walk_over_all_runs(self):
        found = set()
        for seed in range(40):
            draw = random.Random(seed)
            step = make_step(12, estimate=draw.choice((0.0, 1.0)))
            job, watch, now = make_job(steps=(step,)), RestartWatch(), 0.0
            ledger, links = make_ledger(job, [*"uvwx"] * 3), {}
            for _ in range(150):
                now += draw.choice((0.0, 0.1, 0.5))
                worker = draw.choice("uvwx")
                link = links.get(worker)
                if link is None or draw.random() < 0.02:
                    keys = list(ledger.placed[worker])
                    progress = {key: RunProgress.begin(0.0, now) for key in keys}
                    links[worker] = link = make_reported_link(worker, progress)
                elif draw.random() < 0.02:
                    del links[worker]
                self.report(draw, link, now)
                expected = self.walk(links, ledger, now)
                restarts = list(watch.runs_to_restart(links, ledger, now))
                self.assertEqual(expected, restarts)
                found |= {reason for *_, reason in restarts}
        self.assertEqual({"stands still", "slow"}, found)
