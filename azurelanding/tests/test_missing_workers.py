"""Test when the runs of workers without an entry are over."""

import testtools

from azurelanding import missing_workers
from azurelanding.missing_workers import is_expired
from azurelanding.tests.platform_world import make_job, make_step
from azurelanding.tests.test_fleet_choices import make_ledger

LEASE = 10.0


class FindTest(testtools.TestCase):
    """Which workers are missing."""

    def test_linked_and_registered_workers_are_not_missing(self):
        job = make_job(steps=(make_step(3),))
        ledger = make_ledger(job, ["linked", "registered", "missing"])
        found = missing_workers.find_runs(
            ledger, "cuts", {"linked": None}, {"registered": None}
        )
        self.assertEqual(["missing"], list(found))

    def test_runs_of_another_pool_are_left_alone(self):
        job = make_job(steps=(make_step(1),), pool="previews")
        ledger = make_ledger(job, ["missing"])
        self.assertEqual({}, missing_workers.find_runs(ledger, "cuts", {}, {}))


class ExpiryTest(testtools.TestCase):
    """When the lease of a missing worker is over."""

    def test_lease_runs_from_the_takeover_at_the_latest(self):
        self.assertFalse(is_expired(None, 100.0, LEASE, 112.0, 0.0))
        self.assertTrue(is_expired(None, 100.0, LEASE, 113.0, 0.0))

    def test_stored_time_counts_over_takeovers(self):
        self.assertFalse(is_expired(1000.0, 100.0, LEASE, 101.0, 1012.6))
        self.assertTrue(is_expired(1000.0, 100.0, LEASE, 101.0, 1016.6))

    def test_clocks_that_jump_free_nothing_early(self):
        written_early, read_late = 1000.0 - 2.0, 1012.4 + 2.0
        self.assertFalse(is_expired(written_early, 100.0, LEASE, 101.0, read_late))
