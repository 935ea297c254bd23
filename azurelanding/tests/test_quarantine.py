"""Tests of telling bad workers from bad jobs."""

import testtools

from azurelanding import quarantine
from azurelanding.quarantine import Health

NAMES = [f"w{number}" for number in range(8)]


def allowance(health, name, now):
    """Return the allowance of one worker of the pool."""
    closed = quarantine.closed_workers(health, len(NAMES), now)
    return quarantine.allowance(health, name, closed, now)


class WorkerTest(testtools.TestCase):
    """Workers that fail what others run."""

    def setUp(self):
        super().setUp()
        self.health = Health()
        for name in NAMES[1:]:
            quarantine.record_success(self.health, name, "good", 0.0)

    def fail(self, name, job, count, now=1.0):
        for _ in range(count):
            quarantine.record_failure(self.health, name, job, now)

    def test_is_quarantined_after_the_stated_number(self):
        self.fail("w0", "good", quarantine.QUARANTINE_AFTER_FAILURES - 1)
        self.assertEqual(1, allowance(self.health, "w0", 1.0).tasks)
        self.fail("w0", "good", 1)
        self.assertEqual(0, allowance(self.health, "w0", 1.0).tasks)

    def test_is_tried_again_gently_and_shut_longer(self):
        self.fail("w0", "good", 3)
        later = 1.0 + quarantine.MIN_QUARANTINE_SECONDS
        trial = allowance(self.health, "w0", later)
        self.assertEqual((1, True), (trial.tasks, trial.trial))
        self.fail("w0", "good", 1, later)
        self.assertEqual(0, allowance(self.health, "w0", later + 60.0).tasks)
        end = later + 2 * quarantine.MIN_QUARANTINE_SECONDS
        self.assertEqual(1, allowance(self.health, "w0", end).tasks)

    def test_a_success_clears_it(self):
        self.fail("w0", "good", 3)
        quarantine.record_success(self.health, "w0", "good", 100.0)
        self.assertIsNone(allowance(self.health, "w0", 100.0).tasks)

    def test_is_judged_when_the_job_later_runs_elsewhere(self):
        self.fail("w0", "new", 3)
        self.assertEqual(1, allowance(self.health, "w0", 1.0).tasks)
        quarantine.record_success(self.health, "w3", "new", 2.0)
        self.assertEqual(0, allowance(self.health, "w0", 2.0).tasks)

    def test_a_job_that_never_ran_is_not_held_against_workers(self):
        for name in NAMES:
            self.fail(name, "broken", 5)
        self.assertEqual([], quarantine.quarantined(self.health, 1.0))

    def test_a_common_cause_shuts_only_a_part_of_the_pool(self):
        for name in NAMES:
            self.fail(name, "good", 3)
        shut = [n for n in NAMES if allowance(self.health, n, 1.0).tasks == 0]
        self.assertEqual(2, len(shut))

    def test_a_new_worker_gets_few_tasks_at_first(self):
        self.assertEqual(
            quarantine.MAX_TASKS_WHILE_NEW, allowance(self.health, "w0", 0.0).tasks
        )

    def test_a_job_that_broke_everywhere_is_not_held_against_workers(self):
        for name in NAMES[1:5]:
            self.fail(name, "good", 3)
        self.assertEqual(["w1", "w2"], quarantine.quarantined(self.health, 1.0))

    def test_a_suspect_gets_only_jobs_that_others_ran(self):
        self.fail("w0", "new", 1)
        self.assertTrue(allowance(self.health, "w0", 2.0).proven_jobs)
        self.assertFalse(quarantine.ran_elsewhere(self.health, "w0", "new"))
        later = 1.0 + quarantine.SUSPECT_SECONDS
        self.assertFalse(allowance(self.health, "w0", later).proven_jobs)

    def test_trials_of_a_bad_worker_do_not_wear_out_a_held_job(self):
        for name in NAMES[1:4]:
            self.fail(name, "broken", 1)
        self.fail("w0", "good", 3)
        self.fail("w0", "broken", 1, now=100.0)
        self.assertEqual(0, quarantine.job_limit(self.health, "broken", 101.0))


class JobTest(testtools.TestCase):
    """Jobs that run nowhere."""

    def test_is_held_after_failing_on_several_good_workers(self):
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

    def test_failures_on_a_bad_worker_do_not_count(self):
        health = Health()
        for name in NAMES[1:]:
            quarantine.record_success(health, name, "good", 0.0)
        for _ in range(3):
            quarantine.record_failure(health, "w0", "good", 1.0)
        for _ in range(5):
            quarantine.record_failure(health, "w0", "other", 1.0)
        self.assertEqual(set(), health.jobs["other"].failed_on)
