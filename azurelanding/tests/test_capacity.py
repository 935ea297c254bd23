"""Tests of pool sizes and of the moves between pools."""

import math

import hypothesis
import testtools
from hypothesis import strategies

from azurelanding import availability, capacity, demand
from azurelanding.hosts import HostKind, Phase
from azurelanding.rules import PoolRule

LATER = 10_000.0


def make_hosts(pool, count, lost=0):
    """Return ``HostView``s of a pool, of which ``lost`` are not healthy."""
    return {
        f"{pool}-{number}": availability.HostView(
            f"{pool}-{number}",
            HostKind.EXECUTOR,
            f"zone-{number % 3}",
            f"rack-{number // 4}",
            Phase.SERVING,
            listed=number > lost,
            healthy=number > lost,
        )
        for number in range(1, count + 1)
    }


def make_load(name, count, wanted, enough=None, lost=0, **options):
    """Return a ``PoolLoad`` of ``count`` executors."""
    availability_budget = options.pop("budget", 0.5)
    rule = PoolRule(name, availability=availability_budget, spare=name == "spare")
    hosts = make_hosts(name, count, lost)
    limit = wanted if enough is None else enough
    return capacity.PoolLoad(rule, hosts, wanted=wanted, enough=limit, **options)


def next_move(*loads, waited=LATER, homes=()):
    """Return the move once the pools have stood like this for ``waited`` seconds.

    ``homes`` gives the pools in which hosts started.
    """
    by_name = {load.rule.name: load for load in loads}
    patience = capacity.PoolImbalances()
    patience.observe(by_name, 0.0)
    return capacity.next_move("spare", by_name, patience, waited, dict(homes).get)


class DemandTest(testtools.TestCase):
    """What reports of entries say together."""

    def test_one_liar_among_six_moves_the_estimate_by_little(self):
        for lie in (0.0, 1e5, 1e30, -1e9, math.nan, math.inf):
            estimate = demand.estimate_demand([4.0] * 5 + [lie], 6)
            self.assertAlmostEqual(24.0, estimate)

    def test_missing_reports_count_as_the_mean_of_the_others(self):
        self.assertEqual(24.0, demand.estimate_demand([4.0, 4.0, 4.0], 6))

    def test_no_usable_report_gives_no_estimate(self):
        self.assertIsNone(demand.estimate_demand([math.nan, -1.0], 6))

    def make_window(self, slots_at):
        window = demand.DemandWindow()
        for second in range(0, 600, 5):
            window.observe(float(second), slots_at(second))
        return window

    def test_a_surge_of_seconds_in_each_minute_does_not_count(self):
        window = self.make_window(lambda s: 120.0 if s % 60 < 10 else 24.0)
        self.assertEqual(24.0, window.quantile())

    def test_a_lasting_growth_counts(self):
        window = self.make_window(lambda s: 48.0 if s > 400 else 24.0)
        self.assertEqual(48.0, window.quantile())

    def test_stale_or_short_windows_are_not_used(self):
        window = self.make_window(lambda _: 24.0)
        self.assertTrue(window.is_usable(600.0))
        self.assertFalse(window.is_usable(700.0))
        short = demand.DemandWindow()
        short.observe(0.0, 24.0)
        self.assertFalse(short.is_usable(1.0))


class SizeTest(testtools.TestCase):
    """How many executors a pool needs."""

    def test_budget_and_buffer_come_on_top_of_demand(self):
        rule = PoolRule("previews", availability=0.9, buffer=1)
        self.assertEqual(6, capacity.wanted_hosts(rule, 26.0, 8))

    def test_an_idle_pool_keeps_one_and_its_buffer(self):
        rule = PoolRule("previews", availability=0.0, buffer=2)
        self.assertEqual(3, capacity.wanted_hosts(rule, 0.0, 8))

    def test_demand_about_a_boundary_is_neither_short_nor_over(self):
        rule = PoolRule("previews", availability=0.9, buffer=1)
        for slots in (29.0, 30.6, 32.0):
            window = demand.DemandWindow()
            for second in range(0, 600, 5):
                window.observe(float(second), slots)
            wanted, enough = capacity.find_limits(rule, window, 8, 600.0)
            self.assertLessEqual(wanted, 6)
            self.assertGreaterEqual(enough, 6)


class MoveTest(testtools.TestCase):
    """Which host moves next."""

    def test_the_spare_lends_to_a_pool_that_is_short_for_long(self):
        body = next_move(make_load("spare", 6, 3), make_load("cuts", 6, 8))
        self.assertEqual("cuts", body.pool)
        self.assertIn("spare-", body.host)

    def test_a_short_shortage_moves_nothing(self):
        loads = make_load("spare", 6, 3), make_load("cuts", 6, 8)
        self.assertIsNone(next_move(*loads, waited=capacity.SHORT_SECONDS - 1))

    def test_the_spare_keeps_what_it_needs_itself(self):
        loads = make_load("spare", 6, 6), make_load("cuts", 6, 8)
        self.assertIsNone(next_move(*loads))

    def test_nothing_known_moves_nothing(self):
        loads = make_load("spare", 6, None), make_load("cuts", 6, None)
        self.assertIsNone(next_move(*loads))

    def test_the_most_urgent_pool_gets_the_host(self):
        body = next_move(
            make_load("spare", 6, 3),
            make_load("archive", 2, 9, urgency=2),
            make_load("cuts", 6, 7, urgency=0),
        )
        self.assertEqual("cuts", body.pool)

    def test_failed_hosts_make_a_pool_short(self):
        body = next_move(make_load("spare", 6, 3), make_load("cuts", 6, 6, lost=2))
        self.assertEqual("cuts", body.pool)

    def test_a_lent_host_comes_back_after_long(self):
        homes = {"cuts-7": "spare"}
        loads = make_load("spare", 5, 3), make_load("cuts", 7, 5)
        early = capacity.OVER_SECONDS - 1
        self.assertIsNone(next_move(*loads, waited=early, homes=homes))
        body = next_move(*loads, homes=homes)
        self.assertEqual(("cuts-7", "spare"), (body.host, body.pool))

    def test_own_hosts_stay_while_no_pool_needs_them(self):
        self.assertIsNone(next_move(make_load("spare", 6, 3), make_load("cuts", 6, 2)))

    def test_own_hosts_are_taken_in_when_the_spare_has_none_left(self):
        body = next_move(
            make_load("spare", 3, 3),
            make_load("cuts", 6, 2),
            make_load("previews", 6, 8),
            homes=dict.fromkeys(make_hosts("cuts", 6), "cuts"),
        )
        self.assertEqual("spare", body.pool)
        self.assertIn("cuts-", body.host)

    def test_a_host_lent_to_less_urgent_work_is_called_back(self):
        body = next_move(
            make_load("spare", 3, 3),
            make_load("archive", 3, 5, urgency=2),
            make_load("previews", 6, 8, urgency=0),
            homes={"archive-3": "spare"},
        )
        self.assertEqual(("archive-3", "spare"), (body.host, body.pool))

    def test_the_budget_of_the_giver_holds(self):
        spare = make_load("spare", 6, 2, lost=2, budget=0.9)
        self.assertIsNone(next_move(spare, make_load("cuts", 6, 8)))

    def test_one_host_at_a_time_moves_to_a_pool(self):
        arriving = frozenset(["spare-1"])
        cuts = make_load("cuts", 6, 9, arriving=arriving)
        self.assertIsNone(next_move(make_load("spare", 6, 3), cuts))

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=1000)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 10),
                strategies.integers(0, 12),
                strategies.integers(0, 4),
                strategies.integers(0, 10),
                strategies.sampled_from([0.0, 0.5, 0.65, 0.9, 1.0]),
                strategies.integers(0, 2),
            ),
            min_size=2,
            max_size=5,
        )
    )
    def test_a_move_keeps_the_budget_and_touches_the_spare(self, pools):
        names = ["spare", "a", "b", "c", "d"]
        loads = {}
        for name, (count, wanted, slack, lost, budget, urgency) in zip(
            names, pools, strict=False
        ):
            loads[name] = make_load(
                name,
                count,
                wanted,
                enough=wanted + slack,
                lost=min(lost, count),
                budget=budget,
                urgency=urgency,
            )
        body = next_move(*loads.values())
        if body is None:
            return
        giver = next(load for load in loads.values() if body.host in load.hosts)
        self.assertTrue(giver.hosts[body.host].available)
        self.assertIn("spare", (giver.rule.name, body.pool))
        self.assertNotEqual(giver.rule.name, body.pool)
        left = [h for n, h in giver.hosts.items() if n != body.host]
        needed = availability.required(giver.rule.availability, len(left))
        self.assertGreaterEqual(sum(host.available for host in left), needed)
