"""Tests of maintenance waves, drains and the availability budget."""

import hypothesis
import testtools
from hypothesis import strategies

from azurelanding import (
    availability,
    drains,
    maintenance,
    pool_views,
    records,
    waves,
)
from azurelanding.hosts import Phase
from azurelanding.standins.pool_model import PoolModel, make_hosts

SECONDS = 500
RULES = """
pool previews hosts=preview-* availability={budget}% # Marisol
pool spares spare=yes # Ines
maintenance previews canary=1 domain={domain} at-once={at_once} settle=40s # Rosa
"""
ZONES = ("zone-a", "zone-b", "zone-c")
MAX_TICKS = 5000


def make_model(budget=65, domain="rack", at_once=4, executors=6, workers=6, **options):
    """Return a model of a pool with hosts in racks of 4 over three zones."""
    text = RULES.format(budget=budget, domain=domain, at_once=at_once)
    hosts = make_hosts("preview", executors, workers, ZONES)
    return PoolModel(text, "previews", hosts, **options)


def run_until_over(model, check=lambda: None):
    """Advance ``model`` until its wave has ended or is halted; return the ticks."""
    for ticks in range(MAX_TICKS):
        if model.wave is None or model.wave.phase is waves.WavePhase.HALTED:
            return ticks
        model.tick()
        check()
    raise AssertionError(f"the wave has not ended: {model.wave}")


class WaveFoldTest(testtools.TestCase):
    """Conflicting records of waves and moves."""

    def setUp(self):
        super().setUp()
        self.model = make_model()
        self.model.start_wave()

    def step(self, *names):
        stops = self.model.state.stops["previews"]
        return self.model.append(records.WaveStepTaken("previews", names, stops))

    def phase(self, name):
        return self.model.state.hosts[name].phase

    def test_of_two_steps_based_on_one_version_only_the_first_is_accepted(self):
        stops = self.model.state.stops["previews"]
        first = records.WaveStepTaken("previews", ("preview-01",), stops)
        second = records.WaveStepTaken("previews", ("preview-02",), stops)
        self.assertTrue(self.model.append(first).accepted)
        self.assertFalse(self.model.append(second).accepted)
        self.assertIs(Phase.SERVING, self.phase("preview-02"))

    def test_a_host_is_never_in_a_move_and_a_wave_step_together(self):
        host = self.model.state.hosts["preview-01"]
        stops = self.model.state.stops["previews"]
        move = records.MoveStarted("preview-01", "spares", host.version, stops)
        self.assertTrue(self.model.append(move).accepted)
        self.assertFalse(self.step("preview-01").accepted)
        self.assertTrue(self.step("preview-02").accepted)
        host = self.model.state.hosts["preview-02"]
        stops = self.model.state.stops["previews"]
        move = records.MoveStarted("preview-02", "spares", host.version, stops)
        self.assertFalse(self.model.append(move).accepted)

    def test_of_two_moves_based_on_one_version_only_the_first_is_accepted(self):
        state = self.model.state
        stops = state.stops["previews"]
        first, second = (
            records.MoveStarted(name, "spares", state.hosts[name].version, stops)
            for name in ("preview-01", "preview-02")
        )
        self.assertTrue(self.model.append(first).accepted)
        self.assertFalse(self.model.append(second).accepted)
        self.assertIs(Phase.SERVING, self.phase("preview-02"))

    def test_a_step_decided_before_another_host_was_drained_is_refused(self):
        stops = self.model.state.stops["previews"]
        version = self.model.state.hosts["preview-05"].version
        drain = records.HostDraining("preview-05", "fan noise", version)
        self.assertTrue(self.model.append(drain).accepted)
        step = records.WaveStepTaken("previews", ("preview-01",), stops)
        self.assertFalse(self.model.append(step).accepted)
        self.assertIs(Phase.SERVING, self.phase("preview-01"))

    def test_a_moved_host_serves_in_its_new_pool(self):
        host = self.model.state.hosts["preview-01"]
        stops = self.model.state.stops["previews"]
        self.model.append(
            records.MoveStarted("preview-01", "spares", host.version, stops)
        )
        version = self.model.state.hosts["preview-01"].version
        self.model.append(records.HostAssigned("preview-01", "spares", version))
        host = self.model.state.hosts["preview-01"]
        self.assertEqual(("spares", Phase.SERVING), (host.pool, host.phase))
        self.assertNotIn("preview-01", self.model.wave.pending)

    def test_a_second_wave_of_a_pool_is_refused(self):
        self.assertFalse(self.model.start_wave().accepted)

    def test_a_step_under_a_stale_epoch_is_refused(self):
        state = self.model.state
        stops = state.stops["previews"]
        body = records.WaveStepTaken("previews", ("preview-01",), stops, epoch=7)
        self.assertFalse(self.model.append(body).accepted)

    def test_a_halt_cancels_drains_and_a_resumed_wave_takes_steps_again(self):
        self.step("preview-01")
        wave = self.model.wave.started
        self.model.append(records.WaveHalted("previews", "fan noise", wave))
        self.assertIs(Phase.SERVING, self.phase("preview-01"))
        self.assertIn("preview-01", self.model.wave.pending)
        self.assertFalse(self.step("preview-01").accepted)
        self.model.append(records.WaveResumed("previews", wave))
        self.assertTrue(self.step("preview-01").accepted)

    def test_undoing_a_wave_cancels_drains_and_removes_the_wave(self):
        self.step("preview-01")
        self.model.append(records.WaveUndone("previews", self.model.wave.started))
        self.assertIs(Phase.SERVING, self.phase("preview-01"))
        self.assertIsNone(self.model.wave)

    def test_a_reboot_of_a_host_that_is_not_draining_is_refused(self):
        version = self.model.state.hosts["preview-01"].version
        body = records.HostRebooting("preview-01", version)
        self.assertFalse(self.model.append(body).accepted)
        self.assertIs(Phase.SERVING, self.phase("preview-01"))

    def test_a_rebooting_host_can_be_neither_assigned_nor_drained(self):
        self.step("preview-01")
        version = self.model.state.hosts["preview-01"].version
        self.model.append(records.HostRebooting("preview-01", version))
        version = self.model.state.hosts["preview-01"].version
        for body in (
            records.HostAssigned("preview-01", "spares", version),
            records.HostDraining("preview-01", "operator", version),
        ):
            self.assertFalse(self.model.append(body).accepted)
        self.assertIs(Phase.REBOOTING, self.phase("preview-01"))


class WaveTest(testtools.TestCase):
    """Complete waves in simulated time."""

    def test_a_wave_maintains_every_host(self):
        model = make_model()
        model.start_wave()
        run_until_over(model)
        self.assertIsNone(model.wave)
        for host in model.state.hosts.values():
            self.assertIs(Phase.SERVING, host.phase)
            self.assertGreater(host.maintained_at, 1_000_000.0)

    def test_a_wave_takes_the_hosts_in_the_planned_order(self):
        model = make_model(budget=50)
        view = model.view()
        plan = waves.plan_steps(view.maintenance, view.rule, view.hosts, view.hosts)
        model.start_wave()
        taken = []
        while model.wave is not None:
            steps = [b for b in model.tick() if isinstance(b, records.WaveStepTaken)]
            taken += [name for step in steps for name in step.hosts]
        self.assertEqual([name for step in plan for name in step.hosts], taken)

    def test_a_canary_that_does_not_return_halts_the_wave(self):
        model = make_model(broken={"preview-01"})
        model.start_wave()
        run_until_over(model)
        self.assertEqual("the canary preview-01 failed", model.wave.reason)
        self.assertEqual((), model.wave.in_course)

    def test_a_canary_set_aside_after_its_return_halts_the_wave(self):
        model = make_model()
        model.start_wave()
        while not model.wave.done:
            model.tick()
        model.set_aside.add("preview-01")
        run_until_over(model)
        self.assertIs(waves.WavePhase.HALTED, model.wave.phase)

    def test_a_reboot_listed_late_is_no_failure(self):
        model = make_model()
        model.start_wave()
        while not model.wave.done:
            model.tick()
        model.lost.add("preview-01")
        for _ in range(20):
            model.tick()
        model.lost.clear()
        run_until_over(model)
        self.assertIsNone(model.wave)

    def test_correlated_failures_halt_the_wave_until_resumed(self):
        model = make_model(broken={"preview-02", "preview-03"})
        model.start_wave()
        run_until_over(model)
        self.assertIn("preview-02, preview-03", model.wave.reason)
        model.broken.clear()
        for name in ("preview-02", "preview-03"):
            version = model.state.hosts[name].version
            model.append(records.HostReturned(name, version))
        model.append(records.WaveResumed("previews", model.wave.started))
        run_until_over(model)
        self.assertIsNone(model.wave)

    def test_no_step_while_a_lost_rack_uses_up_the_budget(self):
        model = make_model(at_once=1)
        model.start_wave()
        while not model.wave.done:
            model.tick()
        model.lost |= {"preview-05", "preview-06", "preview-07", "preview-08"}
        taken = []
        for _ in range(200):
            taken += [b for b in model.tick() if isinstance(b, records.WaveStepTaken)]
        self.assertEqual([], taken)
        text = maintenance.explain_host(model.view(), "preview-02")
        self.assertIn("asks for 8 of 12 hosts, 8 are able", text)
        model.lost.clear()
        run_until_over(model)
        self.assertIsNone(model.wave)

    def test_a_draining_host_returns_when_lost_hosts_use_up_the_budget(self):
        model = make_model(drain_time=100.0)
        model.start_wave()
        model.tick()
        model.lost |= {f"preview-{number:02}" for number in range(5, 10)}
        model.tick()
        self.assertIs(Phase.SERVING, model.state.hosts["preview-01"].phase)

    def test_a_host_reboots_only_after_it_is_drained(self):
        model = make_model(drain_time=2.0)
        model.start_wave()
        step = model.tick()[0]
        self.assertEqual([], model.tick())
        self.assertEqual([], model.tick())
        version = model.state.hosts[step.hosts[0]].version
        reboot = records.HostRebooting(step.hosts[0], version)
        self.assertEqual([reboot], model.tick())

    def test_a_host_changes_its_pool_only_after_it_is_drained(self):
        model = make_model(drain_time=2.0)
        host = model.state.hosts["preview-01"]
        stops = model.state.stops.get("previews", 0)
        body = records.MoveStarted("preview-01", "spares", host.version, stops)
        self.assertTrue(model.append(body).accepted)
        self.assertEqual([], model.tick())
        self.assertEqual([], model.tick())
        version = model.state.hosts["preview-01"].version
        assigned = records.HostAssigned("preview-01", "spares", version)
        self.assertEqual([assigned], model.tick())

    def test_a_wave_starts_automatically_when_hosts_are_due(self):
        model = make_model()
        model.tick()
        self.assertIsNone(model.wave)
        model.now += 7 * 604_800.0
        model.tick()
        self.assertEqual(12, len(model.wave.pending))

    def explain(self, model, name="preview-01"):
        return maintenance.explain_host(model.view(), name)

    def test_explains_what_a_host_waits_for(self):
        model = make_model(broken={"preview-01"})
        self.assertEqual("serves; no wave waits for it", self.explain(model))
        model.start_wave()
        self.assertEqual("is drained next", self.explain(model))
        text = self.explain(model, "preview-02")
        self.assertEqual("pending in the wave: others of its domain go first", text)
        model.tick()
        self.assertIn("for maintenance, waits for: a request", self.explain(model))
        while not model.view().hosts_in_phase(Phase.REBOOTING):
            model.tick()
        self.assertIn("the platform says rebooting", self.explain(model))
        run_until_over(model)
        self.assertIn("an operator returns it", self.explain(model))

    def test_a_budget_of_100_percent_allows_no_stop_and_is_named_as_the_reason(self):
        model = make_model(budget=100)
        model.start_wave()
        for _ in range(50):
            model.tick()
        text = maintenance.explain_host(model.view(), "preview-01")
        self.assertIn("asks for 12 of 12 hosts, 12 are able", text)


class BudgetTest(testtools.TestCase):
    """Which hosts of a pool of 6 executors and 6 workers may stop together."""

    def may_stop(self, budget, *numbers, lost=()):
        model = make_model(budget=budget, lost=set(lost))
        view = model.view()
        names = {f"preview-{number:02}" for number in numbers}
        return availability.may_stop(view.rule, view.hosts, names)

    def test_the_budget_also_applies_to_the_hosts_of_each_kind(self):
        self.assertTrue(self.may_stop(50, 1, 2, 3))
        self.assertFalse(self.may_stop(50, 1, 2, 3, 4))
        self.assertFalse(self.may_stop(50, 7, 8, 9, 10))

    def test_one_host_of_a_kind_may_stop_if_the_budget_of_the_pool_allows_it(self):
        self.assertTrue(self.may_stop(90, 1))
        self.assertFalse(self.may_stop(90, 1, 7))

    def test_hosts_of_one_step_are_counted_together(self):
        view = make_model(budget=50, at_once=4).view()
        rack = [f"preview-{number:02}" for number in range(8, 13)]
        plan = waves.plan_steps(view.maintenance, view.rule, view.hosts, rack)
        self.assertEqual([1, 3], [step.at_once for step in plan])

    def test_a_lost_worker_uses_up_the_budget_for_an_executor(self):
        self.assertFalse(self.may_stop(90, 1, lost=["preview-07"]))


class DrainTest(testtools.TestCase):
    """What entries must have reported before a host counts as drained."""

    def blockers(self, *entries, watched_seconds=100.0):
        return drains.find_blockers("h1", 10, entries, 5.0, 3.0, watched_seconds)

    def entry(self, next_offset, busy=(), silent_seconds=0.0):
        return drains.EntryView("e1", next_offset, frozenset(busy), silent_seconds)

    def test_an_entry_that_has_not_read_the_drain_record_blocks(self):
        self.assertEqual(1, len(self.blockers(self.entry(10))))
        self.assertEqual([], self.blockers(self.entry(11)))

    def test_an_entry_that_runs_a_request_on_the_host_blocks(self):
        self.assertEqual(1, len(self.blockers(self.entry(11, ["h1"]))))
        self.assertEqual([], self.blockers(self.entry(11, ["h2"])))

    def test_a_silent_entry_blocks_until_the_deadline_of_its_requests_has_passed(self):
        self.assertEqual(1, len(self.blockers(self.entry(9, silent_seconds=7.9))))
        self.assertEqual([], self.blockers(self.entry(9, silent_seconds=8.0)))

    def test_a_new_control_daemon_blocks_until_it_has_watched_for_the_deadline(self):
        self.assertEqual(1, len(self.blockers(watched_seconds=4.0)))


class WorkerDrainTest(testtools.TestCase):
    """The tasks that block the drain of a worker."""

    def blockers(self, running):
        model = make_model()
        model.start_wave()
        model.append(
            records.WaveStepTaken(
                "previews", ("preview-12",), model.state.stops["previews"]
            )
        )
        view = pool_views.make_pool_views(
            model.state,
            model.hosts,
            [],
            set(),
            3.0,
            pool_views.Observations(),
            ["previews"],
            {"preview-12": running},
        )["previews"]
        return view.blockers["preview-12"]

    def test_running_or_unknown_tasks_block(self):
        self.assertEqual([], self.blockers(0))
        self.assertEqual(["2 tasks run on it"], self.blockers(2))
        self.assertEqual(
            ["the tasks of its pool are not read yet"], self.blockers(None)
        )


class BudgetPropertyTest(testtools.TestCase):
    """Invariants of waves at every tick under random failures and reboot times."""

    def check_step(self, model, bodies, available_before):
        view = model.view()
        steps_taken = [b for b in bodies if isinstance(b, records.WaveStepTaken)]
        for body in steps_taken:
            needed = availability.required(view.rule.availability, len(view.hosts))
            self.assertGreaterEqual(available_before - len(body.hosts), needed)
        in_course = model.wave.in_course if model.wave else ()
        self.assertLessEqual(len(in_course), view.maintenance.at_once)
        domains = {
            waves.failure_domain(view.maintenance, view.hosts[name])
            for name in in_course
        }
        self.assertLessEqual(len(domains), 1)

    def count_available(self, model):
        return sum(host.available for host in model.view().hosts.values())

    @hypothesis.settings(derandomize=True, max_examples=20, deadline=None)
    @hypothesis.given(
        budget=strategies.sampled_from([50, 65, 75, 90]),
        domain=strategies.sampled_from(["host", "rack", "zone"]),
        at_once=strategies.integers(1, 6),
        reboots=strategies.lists(strategies.integers(1, 30), min_size=14, max_size=14),
        faults=strategies.lists(
            strategies.tuples(
                strategies.integers(0, SECONDS),
                strategies.sampled_from(["lost", "broken", "set_aside"]),
                strategies.integers(1, 14),
                strategies.booleans(),
            ),
            max_size=12,
        ),
    )
    def test_never_below_the_budget_and_one_domain_at_a_time(
        self, budget, domain, at_once, reboots, faults
    ):
        model = make_model(
            budget,
            domain,
            at_once,
            executors=8,
            reboot_time=lambda name: reboots[int(name[-2:]) - 1],
        )
        model.start_wave()
        for second in range(SECONDS):
            for moment, kind, number, begins in faults:
                if moment == second:
                    change = set.add if begins else set.discard
                    change(getattr(model, kind), f"preview-{number:02}")
            available = self.count_available(model)
            self.check_step(model, model.tick(), available)
            if model.wave is None:
                break
