"""Test who may extend the leases of a pool's workers around a takeover."""

import testtools

from azurelanding import lease_permission, membership
from azurelanding.lease_permission import (
    MAX_REPORT_AGE_SECONDS,
    MAX_UNCONFIRMED_SECONDS,
    LeasePermission,
    LeaseSuccession,
)
from azurelanding.membership import GroupMember

MEMBER_TIMEOUT = 1.2
LONGEST_OUTAGE_SECONDS = 9.0
"""The longest outage of the store for a daemon that the platform announces."""


class ClockTestCase(testtools.TestCase):
    """A test on a clock that it advances itself."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        for module in (lease_permission, membership):
            self.patch(module, "boot_time", lambda: self.now)


class LeasePermissionTest(ClockTestCase):
    """A controller of four workers."""

    def setUp(self):
        super().setUp()
        self.member = GroupMember("d", "control", (), None, MEMBER_TIMEOUT)
        self.member.valid_until = self.now + MEMBER_TIMEOUT
        self.permission = LeasePermission("cuts", self.member, "vwxy")
        self.report(*"vwxy")

    def report(self, *workers, born=1, age=0.0):
        for worker in workers:
            self.permission.record_report(worker, born, self.now - age)

    def expire(self):
        """Let the membership and all reports expire."""
        self.now += MAX_REPORT_AGE_SECONDS

    def test_valid_membership_gives_permission_without_reports(self):
        self.member.valid_until = self.now + 60.0
        self.expire()
        self.assertTrue(self.permission.is_given())

    def test_expired_membership_needs_recent_reports_of_most_voters(self):
        self.expire()
        self.report("v")
        self.report("v")
        self.assertFalse(self.permission.is_given())
        # Its successor may hear from the other half.
        self.report("w")
        self.assertFalse(self.permission.is_given())
        self.report("x")
        self.assertTrue(self.permission.is_given())
        self.now += 1.5
        self.report("v", "w")
        self.assertTrue(self.permission.is_given())
        self.now += 0.6
        self.assertFalse(self.permission.is_given())

    def test_suspended_controller_extends_no_lease_before_it_hears_from_workers(self):
        self.now += 3.0
        self.assertFalse(self.permission.is_given())

    def test_report_counts_from_when_it_was_requested(self):
        # It may have been written before the process was suspended.
        self.expire()
        self.report(*"vwxy", age=MAX_REPORT_AGE_SECONDS)
        self.assertFalse(self.permission.is_given())

    def test_workers_that_have_ended_count_as_silent(self):
        # One of them may have answered the successor before it ended.
        self.expire()
        self.report(*"vwxy")
        self.permission.record_ended("v")
        self.assertTrue(self.permission.is_given())
        self.permission.record_ended("w")
        self.assertFalse(self.permission.is_given())

    def test_worker_that_started_again_counts_as_silent(self):
        # It has forgotten whether it has answered the successor.
        self.expire()
        self.report("v", "w")
        self.report("x", "y", born=2)
        self.assertFalse(self.permission.is_given())
        self.member.valid_until = self.now + MEMBER_TIMEOUT
        self.report("x", "y", born=2)
        self.expire()
        self.report("v", "w", "x", born=2)
        self.assertFalse(self.permission.is_given())
        self.report("v", "x", "y", born=2)
        self.report("v")
        self.assertTrue(self.permission.is_given())

    def test_voters_that_are_being_stored_count_beside_the_others(self):
        self.expire()
        self.permission.propose("uvw")
        self.report("v", "x", "y")
        self.assertFalse(self.permission.is_given())
        self.report("w")
        self.assertTrue(self.permission.is_given())
        self.permission.adopt_proposed()
        self.expire()
        self.report("v", "w")
        self.assertTrue(self.permission.is_given())

    def test_leases_are_extended_through_the_longest_outage_and_no_longer(self):
        expired_at = self.member.valid_until
        for seconds, expected in (
            (LONGEST_OUTAGE_SECONDS, True),
            (MAX_UNCONFIRMED_SECONDS, False),
        ):
            self.now = expired_at + seconds
            self.report(*"vwxy")
            self.assertEqual(expected, self.permission.is_given())


class LeaseSuccessionTest(ClockTestCase):
    """A controller that has taken over four workers from another."""

    def setUp(self):
        super().setUp()
        self.succession = LeaseSuccession("vwxy", self.now, MEMBER_TIMEOUT)

    def test_quorum_of_half_ends_the_extensions_of_earlier_controllers(self):
        self.succession.record_answer("v")
        self.succession.record_answer("v")
        self.succession.record_answer("other")
        self.assertFalse(self.succession.is_sole(self.now))
        self.now += 1.0
        self.succession.record_answer("w")
        self.assertTrue(self.succession.is_sole(self.now))
        ends_at = self.now + MAX_REPORT_AGE_SECONDS
        self.assertEqual(ends_at, self.succession.extensions_end_at())
        self.now += 1.0
        self.succession.record_answer("x")
        self.assertEqual(ends_at, self.succession.extensions_end_at())

    def test_without_a_quorum_the_earlier_controller_stops_by_itself(self):
        ends_at = self.now + MEMBER_TIMEOUT + MAX_UNCONFIRMED_SECONDS
        self.assertEqual(ends_at, self.succession.extensions_end_at())
        self.assertFalse(self.succession.is_sole(ends_at - 0.1))
        self.assertTrue(self.succession.is_sole(ends_at))

    def test_first_controller_of_a_pool_has_a_quorum(self):
        succession = LeaseSuccession((), self.now, MEMBER_TIMEOUT)
        self.assertTrue(succession.is_sole(self.now))
