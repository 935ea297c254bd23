"""Tests that the checkers of fleet histories find planted violations."""

import testtools

from azurelanding import fleet_histories as histories
from azurelanding import records
from azurelanding.fleet_histories import Downtime, Drain, Publish, Reboot, Run, Sample

RULES = "pool cuts availability=60%  # Ana\npool spare spare=yes  # Ana\n"


def sample(daemon, at, version, **hosts):
    """Return a sample that was asked for and answered at ``at``."""
    return Sample(daemon, at, at, version, hosts)


def write(*bodies):
    """Return the log of ``bodies``, written by the holder of every lease."""
    return [
        (offset, records.Record(f"r{offset}", "c1", "ana", 1.0, body))
        for offset, body in enumerate(bodies, start=1)
    ]


class FleetHistoriesTest(testtools.TestCase):
    """Each checker passes a true history and finds what is planted."""

    def assert_found(self, count, found):
        self.assertEqual(count, len(found), found)

    def test_two_pools_at_one_version(self):
        samples = [
            sample("e1", 1.0, 1, h1=("cuts", 4)),
            sample("e2", 1.0, 1, h1=("spare", 3)),
        ]
        self.assert_found(0, histories.find_conflicting_pools(samples))
        samples.append(sample("e3", 1.0, 1, h1=("spare", 4)))
        self.assert_found(1, histories.find_conflicting_pools(samples))

    def test_a_revert_over_a_restart(self):
        samples = [sample("e1", 1.0, 5), sample("e1", 2.0, 0), sample("e1", 3.0, 7)]
        self.assert_found(0, histories.find_version_regressions(samples))
        samples.append(sample("e1", 4.0, 5))
        self.assert_found(1, histories.find_version_regressions(samples))

    def test_rules_that_are_not_in_force_in_time(self):
        publishes = [Publish(7, 10.0)]
        samples = [sample("e1", 12.0, 5), sample("e1", 17.0, 7)]
        self.assert_found(0, histories.find_late_rules(publishes, samples, [], 6.0))
        samples = [sample("e1", 17.0, 5)]
        self.assert_found(1, histories.find_late_rules(publishes, samples, [], 6.0))
        downtimes = [Downtime("e1", 9.0, 13.0)]
        found = histories.find_late_rules(publishes, samples, downtimes, 6.0)
        self.assert_found(0, found)

    def test_a_step_below_the_budget(self):
        bodies = [
            records.RulesPublished(RULES, 0),
            *(records.HostAssigned(f"h{n}", "cuts", 0) for n in range(3)),
            records.LeasesTaken(5.0, {"cuts": 0}),
            records.HostDraining("h0", "", 2, epoch=5),
        ]
        self.assert_found(0, histories.find_budget_breaches(write(*bodies)))
        bodies.append(records.HostDraining("h1", "", 3, epoch=5))
        self.assert_found(1, histories.find_budget_breaches(write(*bodies)))

    def test_work_for_a_leaving_host(self):
        drains = [Drain("h1", 10.0, 20.0)]
        runs = [Run("h1", "a", 12.0, 13.0), Run("h2", "b", 15.0, 16.0)]
        runs.append(Run("h1", "c", 21.0, 22.0))
        self.assert_found(0, histories.find_work_after_drain(drains, runs, 3.0))
        runs.append(Run("h1", "d", 14.0, 15.0))
        self.assert_found(1, histories.find_work_after_drain(drains, runs, 3.0))

    def test_a_request_cut_off_by_a_planned_stop(self):
        reboots = [Reboot("h1", 10.0)]
        runs = [Run("h1", "a", 9.0, 9.9), Run("h2", "b", 9.0, None)]
        self.assert_found(0, histories.find_interrupted_requests(reboots, runs))
        runs += [Run("h1", "c", 9.0, 11.0), Run("h1", "d", 9.0, None)]
        self.assert_found(2, histories.find_interrupted_requests(reboots, runs))
