"""Test when a controller may extend the leases of its workers."""

from unittest import mock

import testtools

from azurelanding import lease_permission, membership
from azurelanding.lease_permission import LeasePermission
from azurelanding.membership import GroupMember
from azurelanding.tests.platform_world import make_link


class LeasePermissionTest(testtools.TestCase):
    """A controller of four workers, on a clock that the test advances."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        for module in (lease_permission, membership):
            self.patch(module, "boot_time", lambda: self.now)
        self.member = GroupMember("d", "control", (), None, 1.2)
        self.member.valid_until = self.now + 1.2
        links = dict.fromkeys("vwxy", mock.sentinel.link)
        self.permission = LeasePermission("cuts", self.member, links)

    def test_valid_membership_gives_permission_without_reports(self):
        self.assertTrue(self.permission.is_given())

    def test_expired_membership_needs_recent_reports_of_half_of_the_workers(self):
        self.now += 1.3
        self.permission.record_report("v")
        self.permission.record_report("v")
        self.assertFalse(self.permission.is_given())
        self.permission.record_report("w")
        self.assertTrue(self.permission.is_given())
        self.now += 1.5
        self.permission.record_report("v")
        self.assertTrue(self.permission.is_given())
        self.now += 0.6
        self.assertFalse(self.permission.is_given())

    def test_suspended_controller_extends_no_lease_before_it_hears_from_workers(self):
        for worker in "vwxy":
            self.permission.record_report(worker)
        self.now += 3.0
        self.assertFalse(self.permission.is_given())

    def test_workers_that_have_ended_do_not_count_as_silent(self):
        # The runs on the others ended with their leases while the store was down.
        links = {name: make_link(name, permission=self.permission) for name in "vwxy"}
        self.permission.links.update(links)
        for worker in "vwxy":
            self.permission.record_report(worker)
        self.now += 1.3
        for worker in "vwx":
            links[worker].mark_ended("another worker answers")
        self.assertTrue(self.permission.is_given())
        self.now += 1.3
        self.assertFalse(self.permission.is_given())
        self.permission.record_report("y")
        self.assertTrue(self.permission.is_given())
        self.permission.forget("v")
        self.permission.forget("w")
        self.now += 2.1
        self.assertFalse(self.permission.is_given())
