"""Tests of the checkers of fleet histories."""

import testtools

from azurelanding import fleet_histories as histories
from azurelanding import records
from azurelanding.fleet_histories import Downtime, Drain, Publish, Reboot, Run, Sample

RULES = "pool cuts availability=60%  # Ana\npool spare spare=yes  # Ana\n"


def make_sample(daemon, at, version, **hosts):
    """Return a sample that was requested and answered at ``at``."""
    return Sample(daemon, at, at, version, hosts)


def make_entries(*bodies):
    """Return log entries of ``bodies``, written by the holder of every lease."""
    return [
        (offset, records.Record(f"r{offset}", "c1", "ana", 1.0, body))
        for offset, body in enumerate(bodies, start=1)
    ]


class FleetHistoriesTest(testtools.TestCase):
    """Each checker accepts a correct history and reports a violation."""

    def assert_count(self, expected, violations):
        self.assertEqual(expected, len(violations), violations)

    def test_reports_a_host_in_two_pools_at_the_same_version(self):
        samples = [
            make_sample("e1", 1.0, 1, h1=("cuts", 4)),
            make_sample("e2", 1.0, 1, h1=("spare", 3)),
        ]
        self.assert_count(0, histories.find_conflicting_pools(samples))
        samples.append(make_sample("e3", 1.0, 1, h1=("spare", 4)))
        self.assert_count(1, histories.find_conflicting_pools(samples))

    def test_reports_an_older_version_after_a_restart(self):
        samples = [
            make_sample("e1", 1.0, 5),
            make_sample("e1", 2.0, 0),
            make_sample("e1", 3.0, 7),
        ]
        self.assert_count(0, histories.find_version_regressions(samples))
        samples.append(make_sample("e1", 4.0, 5))
        self.assert_count(1, histories.find_version_regressions(samples))

    def test_reports_rules_that_are_not_applied_in_time(self):
        publishes = [Publish(7, 10.0)]
        samples = [make_sample("e1", 12.0, 5), make_sample("e1", 17.0, 7)]
        self.assert_count(0, histories.find_late_rules(publishes, samples, [], 6.0))
        samples = [make_sample("e1", 17.0, 5)]
        self.assert_count(1, histories.find_late_rules(publishes, samples, [], 6.0))
        downtimes = [Downtime("e1", 9.0, 13.0)]
        found = histories.find_late_rules(publishes, samples, downtimes, 6.0)
        self.assert_count(0, found)

    def test_reports_a_drain_that_leaves_a_pool_below_its_budget(self):
        bodies = [
            records.RulesPublished(RULES, 0),
            *(records.HostAssigned(f"h{n}", "cuts", 0) for n in range(3)),
            records.LeasesTaken(5.0, {"cuts": 0}),
            records.HostDraining("h0", "", 2, epoch=5),
        ]
        self.assert_count(0, histories.find_budget_breaches(make_entries(*bodies)))
        bodies.append(records.HostDraining("h1", "", 3, epoch=5))
        self.assert_count(1, histories.find_budget_breaches(make_entries(*bodies)))

    def test_reports_a_request_for_a_drained_host(self):
        drains = [Drain("h1", 10.0, 20.0)]
        runs = [Run("h1", "a", 12.0, 13.0), Run("h2", "b", 15.0, 16.0)]
        runs.append(Run("h1", "c", 21.0, 22.0))
        self.assert_count(0, histories.find_work_after_drain(drains, runs, 3.0))
        runs.append(Run("h1", "d", 14.0, 15.0))
        self.assert_count(1, histories.find_work_after_drain(drains, runs, 3.0))

    def test_reports_a_request_interrupted_by_a_planned_reboot(self):
        reboots = [Reboot("h1", 10.0)]
        runs = [Run("h1", "a", 9.0, 9.9), Run("h2", "b", 9.0, None)]
        self.assert_count(0, histories.find_interrupted_requests(reboots, runs))
        runs += [Run("h1", "c", 9.0, 11.0), Run("h1", "d", 9.0, None)]
        self.assert_count(2, histories.find_interrupted_requests(reboots, runs))
