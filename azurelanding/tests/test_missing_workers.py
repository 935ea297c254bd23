"""Test which runs are on missing workers and when those workers' leases expire."""

import testtools

from azurelanding import missing_workers
from azurelanding.missing_workers import is_lease_expired
from azurelanding.tests.platform_world import make_job, make_step
from azurelanding.tests.test_fleet_choices import make_ledger

LEASE = 10.0


class MissingRunsTest(testtools.TestCase):
    """Runs on workers with neither a link nor a registry entry."""

    def test_linked_and_registered_workers_are_not_missing(self):
        job = make_job(steps=(make_step(3),))
        ledger = make_ledger(job, ["linked", "registered", "missing"])
        found = missing_workers.runs_by_missing_worker(
            ledger, "cuts", {"linked": None}, {"registered": None}
        )
        self.assertEqual(["missing"], list(found))

    def test_runs_of_another_pool_are_not_returned(self):
        job = make_job(steps=(make_step(1),), pool="previews")
        ledger = make_ledger(job, ["missing"])
        self.assertEqual(
            {}, missing_workers.runs_by_missing_worker(ledger, "cuts", {}, {})
        )


class ExpiryTest(testtools.TestCase):
    """Expiry of the lease of a missing worker."""

    def test_lease_without_a_stored_time_outlasts_the_last_extension(self):
        self.assertFalse(is_lease_expired(None, 102.0, LEASE, 112.0, 0.0))
        self.assertTrue(is_lease_expired(None, 102.0, LEASE, 113.0, 0.0))

    def test_stored_time_counts_after_a_takeover(self):
        self.assertFalse(is_lease_expired(1000.0, 100.0, LEASE, 101.0, 1012.6))
        self.assertTrue(is_lease_expired(1000.0, 100.0, LEASE, 101.0, 1016.6))

    def test_clock_steps_do_not_expire_a_lease_early(self):
        written_early, read_late = 1000.0 - 2.0, 1012.4 + 2.0
        self.assertFalse(
            is_lease_expired(written_early, 100.0, LEASE, 101.0, read_late)
        )
