"""Tests of distinguishing broken workers from broken jobs."""

import testtools

from azurelanding import quarantine
from azurelanding.quarantine import Health

NAMES = [f"w{number}" for number in range(8)]


def allowance(health, name, now):
    """Return the allowance of one worker of the pool."""
    excluded = quarantine.excluded_workers(health, len(NAMES), now)
    return quarantine.allowance(health, name, excluded, now)


class WorkerTest(testtools.TestCase):
    """Workers that fail jobs which run on other workers."""

    def setUp(self):
        super().setUp()
        self.health = Health()
        for name in NAMES[1:]:
            quarantine.record_success(self.health, name, "good", 0.0)

    def fail(self, name, job, count, now=1.0):
        for _ in range(count):
            quarantine.record_failure(self.health, name, job, now)

    def test_quarantines_a_worker_after_enough_failures(self):
        self.fail("w0", "good", quarantine.QUARANTINE_AFTER_FAILURES - 1)
        self.assertEqual(1, allowance(self.health, "w0", 1.0).max_tasks)
        self.fail("w0", "good", 1)
        self.assertEqual(0, allowance(self.health, "w0", 1.0).max_tasks)

    def test_doubles_the_quarantine_after_a_failed_trial(self):
        self.fail("w0", "good", 3)
        later = 1.0 + quarantine.MIN_QUARANTINE_SECONDS
        trial = allowance(self.health, "w0", later)
        self.assertEqual((1, True), (trial.max_tasks, trial.on_trial))
        self.fail("w0", "good", 1, later)
        self.assertEqual(0, allowance(self.health, "w0", later + 60.0).max_tasks)
        end = later + 2 * quarantine.MIN_QUARANTINE_SECONDS
        self.assertEqual(1, allowance(self.health, "w0", end).max_tasks)

    def test_a_success_ends_the_quarantine(self):
        self.fail("w0", "good", 3)
        quarantine.record_success(self.health, "w0", "good", 100.0)
        self.assertIsNone(allowance(self.health, "w0", 100.0).max_tasks)

    def test_quarantines_a_worker_once_the_job_runs_elsewhere(self):
        self.fail("w0", "new", 3)
        self.assertEqual(1, allowance(self.health, "w0", 1.0).max_tasks)
        quarantine.record_success(self.health, "w3", "new", 2.0)
        self.assertEqual(0, allowance(self.health, "w0", 2.0).max_tasks)

    def test_ignores_failures_of_a_job_that_never_ran(self):
        for name in NAMES:
            self.fail(name, "broken", 5)
        self.assertEqual([], quarantine.quarantined_workers(self.health, 1.0))

    def test_excludes_only_part_of_a_pool_that_fails_everywhere(self):
        for name in NAMES:
            self.fail(name, "good", 3)
        excluded = [n for n in NAMES if allowance(self.health, n, 1.0).max_tasks == 0]
        self.assertEqual(2, len(excluded))

    def test_limits_the_tasks_of_a_new_worker(self):
        self.assertEqual(
            quarantine.MAX_TASKS_WHILE_NEW, allowance(self.health, "w0", 0.0).max_tasks
        )

    def test_quarantines_no_more_workers_once_the_job_is_held(self):
        for name in NAMES[1:5]:
            self.fail(name, "good", 3)
        self.assertEqual(["w1", "w2"], quarantine.quarantined_workers(self.health, 1.0))

    def test_a_suspect_gets_only_jobs_that_ran_elsewhere(self):
        self.fail("w0", "new", 1)
        self.assertTrue(allowance(self.health, "w0", 2.0).proven_jobs_only)
        self.assertFalse(quarantine.ran_elsewhere(self.health, "w0", "new"))
        later = 1.0 + quarantine.SUSPECT_SECONDS
        self.assertFalse(allowance(self.health, "w0", later).proven_jobs_only)

    def test_a_failure_on_trial_restarts_the_pause_of_a_held_job(self):
        for name in NAMES[1:4]:
            self.fail(name, "broken", 1)
        self.fail("w0", "good", 3)
        self.fail("w0", "broken", 1, now=100.0)
        self.assertEqual(0, quarantine.job_limit(self.health, "broken", 101.0))


class JobTest(testtools.TestCase):
    """Jobs that fail on every worker."""

    def test_holds_a_job_that_failed_on_several_healthy_workers(self):
        health = Health()
        for name in NAMES:
            quarantine.record_success(health, name, "good", 0.0)
        for name in NAMES[: quarantine.HOLD_JOB_AFTER_WORKERS]:
            quarantine.record_failure(health, name, "broken", 1.0)
        self.assertEqual(0, quarantine.job_limit(health, "broken", 2.0))
        later = 1.0 + quarantine.HELD_JOB_PAUSE_SECONDS
        self.assertEqual(1, quarantine.job_limit(health, "broken", later))
        quarantine.record_success(health, "w7", "broken", later)
        self.assertIsNone(quarantine.job_limit(health, "broken", later))

    def test_ignores_failures_on_an_unhealthy_worker(self):
        health = Health()
        for name in NAMES[1:]:
            quarantine.record_success(health, name, "good", 0.0)
        for _ in range(3):
            quarantine.record_failure(health, "w0", "good", 1.0)
        for _ in range(5):
            quarantine.record_failure(health, "w0", "other", 1.0)
        self.assertEqual(set(), health.jobs["other"].failed_on)
