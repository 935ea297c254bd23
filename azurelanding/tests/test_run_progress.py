"""Test which runs count as stalled or slow and are restarted."""

import testtools

from azurelanding import run_progress
from azurelanding.jobs import TaskId
from azurelanding.run_progress import RunProgress
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
        links = []
        for index, (seconds, share, *stalled) in enumerate((first, second)):
            advanced_at = now - (stalled[0] if stalled else 0.0)
            progress = RunProgress(now - seconds, advanced_at, 0.0, share)
            key = (TaskId(job.id, 0, 0, index), 1)
            links.append(make_reported_link("vw"[index], {key: progress}))
        times = run_progress.fastest_step_times(links)
        return [
            (task.index, reason)
            for link in links
            for task, _, reason in run_progress.runs_to_restart(
                link, ledger, times, now
            )
        ]

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

    def test_run_of_unknown_pace_is_not_restarted(self):
        self.assertEqual([], self.restarted((0.3, 0.01), (1.0, 0.8)))

    def test_long_running_filler_and_gang_tasks_are_not_restarted(self):
        for fields in ({"long_running": True}, {"fills": True}, {"gang": True}):
            self.assertEqual([], self.restarted((4.0, 0.0, 4.0), (4.0, 0.9), **fields))
