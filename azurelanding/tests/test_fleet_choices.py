"""Test the choice of tasks and hosts that move, and the throttling of fillers."""

import unittest.mock

import anyio
import msgspec
import testtools

from azurelanding import (
    evacuation,
    filler_throttle,
    fleet_records,
    host_choice,
    pool_sizes,
    worker_orders,
)
from azurelanding.configuration import WaveRequest
from azurelanding.fleet_records import HostPlan, WaveProgress
from azurelanding.fleet_workers import HostEntry, HostPhase
from azurelanding.jobs import JobState, TaskId, TaskState
from azurelanding.ledger import JobSubmitted, Ledger, TaskChanged, record_key
from azurelanding.tasks import Resources
from azurelanding.tests.platform_world import make_job, make_link, make_step
from azurelanding.tests.test_job_placement import make_capacity
from azurelanding.tests.test_pool_jobs import CountedDict
from azurelanding.utils import boot_time
from azurelanding.worker_calls import (
    ListedRun,
    Refusal,
    WorkerNoResponseError,
    WorkerRefusedError,
)

HOST_CAPACITY = Resources(8.0, 1 << 34, 0)


def make_hosts(pools):
    """Return as many hosts of each pool as ``pools`` says."""
    return {
        f"{pool}{number}": HostEntry(
            f"{pool}{number}", pool, HostPhase.UP, f"w-{pool}{number}", HOST_CAPACITY
        )
        for pool, count in pools.items()
        for number in range(count)
    }


def make_ledger(job, workers):
    """Return a ledger in which the tasks of ``job`` run on ``workers``."""
    ledger = Ledger()
    records = [JobSubmitted(job)]
    for index, worker in enumerate(workers):
        state = TaskState(1, {1: worker} if worker else {})
        records.append(TaskChanged(TaskId(job.id, 0, 0, index), state))
    for offset, record in enumerate(records):
        ledger.apply(record_key(record), record, offset)
    return ledger


class EvacuationTest(testtools.TestCase):
    """Choice of the long-running tasks that leave a worker."""

    def evacuate(self, workers, unavailable=(), draining=()):
        """Return the indices of the tasks that leave the cordoned worker ``v``.

        Tasks whose index is in ``unavailable`` have no steady run.
        """
        count = len(workers)
        job = make_job(steps=(make_step(count, long_running=True, may_miss=1),))
        ledger = make_ledger(job, workers)
        steady = {
            (TaskId(job.id, 0, 0, index), 1)
            for index in range(count)
            if index not in unavailable
        }
        evacuated = evacuation.runs_to_evacuate(
            ledger, "cuts", {"v"}, set(draining), steady, {"w": make_capacity("w")}
        )
        return [task.index for task, _, _ in evacuated]

    def test_no_more_tasks_leave_than_may_miss(self):
        self.assertEqual(1, len(self.evacuate(["v", "v", "v"])))

    def test_no_task_leaves_while_another_is_unavailable(self):
        self.assertEqual([], self.evacuate(["v", "v", "w"], unavailable=[2]))

    def test_task_that_is_unavailable_itself_may_leave(self):
        self.assertEqual([0], self.evacuate(["v", "v", "w"], unavailable=[0]))

    def test_all_tasks_leave_a_draining_worker(self):
        self.assertEqual([0, 1], sorted(self.evacuate(["v", "v"], draining=["v"])))

    def test_run_is_steady_only_after_a_while_and_not_while_stopped(self):
        link = make_link("v")
        key, now = (TaskId("a", 0, 0, 0), 1), boot_time()
        link.working_since, link.last_report_at = {key: now}, now + 1.0
        self.assertEqual(set(), evacuation.steady_runs([link], now + 0.5))
        self.assertEqual({key}, evacuation.steady_runs([link], now + 1.5))
        link.stops[key] = now
        self.assertEqual(set(), evacuation.steady_runs([link], now + 1.5))

    def test_run_on_a_worker_whose_report_is_overdue_is_not_steady(self):
        link = make_link("v")
        key, now = (TaskId("a", 0, 0, 0), 1), boot_time()
        link.working_since, link.last_report_at = {key: now}, now
        self.assertEqual(set(), evacuation.steady_runs([link], now + 2.0))
        link.last_report_at, link.last_hold_failed = now + 2.0, True
        self.assertEqual(set(), evacuation.steady_runs([link], now + 2.0))


class WaveChoiceTest(testtools.TestCase):
    """Choice of the hosts to drain for a maintenance wave."""

    def plan(self, wave, hosts, plans=None, progress=None, placed=None):
        """Return the names of the hosts that are planned."""
        progress = progress or WaveProgress(wave.number)
        found = host_choice.plan_wave(
            wave, progress, hosts, plans or {}, placed or {}, {"off"}, 5.0
        )
        return [plan.host for plan in found]

    def test_no_more_hosts_are_planned_than_the_wave_allows_at_once(self):
        hosts = make_hosts({"a": 4, "b": 4, "c": 4})
        wave = WaveRequest(1, tuple(hosts), 30.0, 2)
        self.assertEqual(2, len(self.plan(wave, hosts)))
        plans = {"a0": HostPlan("a0", "w-a0", 1.0, wave=1)}
        self.assertEqual(1, len(self.plan(wave, hosts, plans)))

    def test_a_pool_keeps_most_of_its_hosts(self):
        hosts = make_hosts({"a": 6})
        wave = WaveRequest(1, tuple(hosts), 30.0, 6)
        self.assertEqual(2, len(self.plan(wave, hosts)))

    def test_all_standby_hosts_are_planned_together(self):
        hosts = make_hosts({"off": 4})
        wave = WaveRequest(1, tuple(hosts), 30.0, 4)
        self.assertEqual(4, len(self.plan(wave, hosts)))

    def test_least_loaded_host_is_planned_first(self):
        hosts = make_hosts({"a": 3})
        wave = WaveRequest(1, tuple(hosts), 30.0, 1)
        placed = {"w-a0": {1, 2}, "w-a1": {1}, "w-a2": {1, 2, 3}}
        self.assertEqual(["a1"], self.plan(wave, hosts, placed=placed))

    def test_hosts_already_begun_are_not_planned_again(self):
        hosts = make_hosts({"a": 2})
        wave = WaveRequest(1, ("a0", "a1"), 30.0, 2)
        progress = WaveProgress(1, frozenset({"a0"}))
        self.assertEqual(["a1"], self.plan(wave, hosts, progress=progress))

    def test_hosts_of_a_wave_are_not_each_compared_with_all_that_have_begun(self):
        # With thousands of hosts the daemon stood still for most of a second.
        class Name(str):
            __hash__ = str.__hash__
            comparisons = 0

            def __eq__(self, other):
                Name.comparisons += 1
                return str.__eq__(self, other)

        hosts = make_hosts({"a": 400})
        wave = WaveRequest(1, tuple(Name(name) for name in hosts), 30.0, 2)
        value = msgspec.json.encode({"wave": 1, "begun": list(hosts)[:200]})
        _, _, progress = fleet_records.decode_record("wave/1", value)
        self.assertEqual(2, len(self.plan(wave, hosts, progress=progress)))
        self.assertLess(Name.comparisons, 8 * len(hosts))


class PoolSizesTest(testtools.TestCase):
    """Choice of the hosts to move between pools."""

    def setUp(self):
        super().setUp()
        self.scaler = pool_sizes.PoolScaler()
        self.scaler.floor = 1

    def moves(self, wanted_cores, hosts, now=0.0, plans=None, late_after=9.0, lag=0.0):
        """Return the planned moves as pairs of host and pool.

        ``wanted_cores`` maps pools to the cores that a queued task of theirs needs.
        """
        steps = {
            pool: (make_step(1, need=Resources(cores, 1, 0)),)
            for pool, cores in wanted_cores.items()
        }
        jobs = {
            p: [JobState(make_job(steps=steps[p], pool=p, target_duration=late_after))]
            for p in steps
        }
        plans = plans or {}
        gaps = self.scaler.gaps(
            jobs.__getitem__, lambda pool: lag, steps, hosts, plans, 5.0
        )
        self.scaler.record_gaps(gaps, now)
        planned = self.scaler.plan_moves(gaps, hosts, plans, {}, {"off"}, now, 5.0)
        return sorted((plan.host, plan.pool) for plan in planned)

    def test_backlog_moves_hosts_from_standby(self):
        hosts = make_hosts({"a": 1, "off": 3})
        moves = self.moves({"a": 20.0}, hosts)
        self.assertEqual(["a", "a"], [pool for _, pool in moves])

    def test_backlog_that_is_late_already_moves_no_hosts(self):
        hosts = make_hosts({"a": 1, "off": 3})
        self.assertEqual([], self.moves({"a": 20.0}, hosts, late_after=1.0))

    def test_host_move_in_progress_counts(self):
        hosts = make_hosts({"a": 1, "off": 3})
        plans = {"off0": HostPlan("off0", "w-off0", 1.0, pool="a")}
        self.assertEqual(1, len(self.moves({"a": 20.0}, hosts, plans=plans)))

    def test_surplus_hosts_return_to_standby_only_after_a_while(self):
        hosts = make_hosts({"a": 3, "off": 1})
        self.assertEqual([], self.moves({"a": 1.0}, hosts, now=10.0))
        moves = self.moves({"a": 1.0}, hosts, now=13.0)
        self.assertEqual(["off", "off"], [pool for _, pool in moves])

    def test_surplus_hosts_move_to_a_pool_in_need_immediately(self):
        hosts = make_hosts({"a": 3, "b": 1})
        moves = self.moves({"a": 1.0, "b": 20.0}, hosts)
        self.assertEqual(["b", "b"], [pool for _, pool in moves])

    def test_new_fleet_controller_finds_the_same_minimum_while_hosts_are_on_standby(
        self,
    ):
        def minimum(**pools):
            return pool_sizes.min_hosts_per_pool(make_hosts(pools), {"a", "b"}, {"off"})

        self.assertEqual(4, minimum(a=8, b=8, off=8))
        self.assertEqual(4, minimum(a=4, b=4, off=16))
        self.assertEqual(4, minimum(a=16, b=8, off=0))

    def test_hosts_are_not_walked_for_each_pool(self):
        class CountedHosts(dict):
            walks = 0

            def values(self):
                CountedHosts.walks += 1
                return super().values()

        wanted_cores = {f"p{number}": 1.0 for number in range(40)}
        wanted_cores["p0"] = 40.0
        hosts = CountedHosts(make_hosts(dict.fromkeys(wanted_cores, 2)))
        moves = self.moves(wanted_cores, hosts)
        self.assertEqual({"p0"}, {pool for _, pool in moves})
        self.assertLess(CountedHosts.walks, 6)

    def test_step_with_a_limit_per_worker_counts_its_workers(self):
        step = make_step(5, per_worker=2, long_running=True)
        states = [JobState(make_job(steps=(step,)))]
        self.assertEqual(3, pool_sizes.hosts_wanted(states, 0.0, 5.0, 100.0, 1))

    def test_tasks_of_jobs_that_are_late_are_not_listed_for_the_demand(self):
        # A backlog is mostly late. Listing its tasks took the fleet controller's time.
        jobs = [make_job(f"{n:016x}", (make_step(50),)) for n in range(20)]
        listed = []

        list_waiting = JobState.waiting_tasks

        def list_tasks(state, *arguments):
            listed.append(state.job.id)
            return list_waiting(state, *arguments)

        with unittest.mock.patch.object(JobState, "waiting_tasks", list_tasks):
            states = [JobState(job) for job in jobs]
            self.assertEqual((0.0, 0), pool_sizes.wanted_cores(states, 99.0))
        self.assertEqual(0, len(listed))

    def test_demand_is_estimated_without_a_walk_over_tasks(self):
        job = make_job(steps=(make_step(9, need=Resources(2.0, 1, 0)),))
        state, listed = JobState(job), []
        for index in range(4):
            state.set_task(TaskId(job.id, 0, 0, index), TaskState(1, {1: "w"}))

        list_waiting = JobState.waiting_tasks

        def list_tasks(state, *arguments):
            listed.append(state.job.id)
            return list_waiting(state, *arguments)

        self.patch(CountedDict, "visits", [])
        state.tasks = CountedDict(state.tasks)
        with unittest.mock.patch.object(JobState, "waiting_tasks", list_tasks):
            self.assertEqual((18.0, 0), pool_sizes.wanted_cores([state], 1.0))
            self.assertEqual(0, pool_sizes.long_running_cores([state]))
        self.assertEqual(([], []), (listed, CountedDict.visits))

    def test_pool_read_with_too_much_lag_returns_no_hosts(self):
        hosts = make_hosts({"a": 3, "off": 1})
        self.assertEqual([], self.moves({"a": 1.0}, hosts, now=10.0, lag=2.5))
        self.assertEqual([], self.moves({"a": 1.0}, hosts, now=13.0, lag=2.5))

    def test_arrivals_that_are_read_late_count(self):
        steps = (make_step(4, need=Resources(4.0, 1, 0), estimate=0.5),)
        jobs = [make_job(f"{n}" * 16, steps=steps) for n in range(3)]
        states = [JobState(job) for job in jobs]
        self.assertEqual(0.0, pool_sizes.arriving_cores(states, 0.0, 2.5))
        self.assertEqual(24.0, pool_sizes.arriving_cores(states, 0.8, 2.5))

    def test_surge_is_detected_before_its_jobs_queue_up(self):
        steps = (make_step(4, need=Resources(4.0, 1, 0), estimate=0.5),) * 2
        jobs = [make_job(f"{n}" * 16, steps=steps) for n in range(3)]
        states = [JobState(job) for job in jobs]
        self.assertEqual(48.0, pool_sizes.arriving_cores(states, 0.0, 1.5))
        self.assertEqual(6, pool_sizes.hosts_wanted(states[:3], 0.0, 1.5, 10.0, 1))
        self.assertEqual(0.0, pool_sizes.arriving_cores(states, 0.0, 2.5))
        long = (make_step(4, need=Resources(4.0, 1, 0), estimate=4.0),)
        jobs = [make_job(f"{n}" * 16, steps=long) for n in range(3)]
        states = [JobState(job) for job in jobs]
        self.assertEqual(96.0, pool_sizes.arriving_cores(states, 0.0, 1.5))
        self.assertEqual(0.0, pool_sizes.arriving_cores(states[:2], 0.0, 1.5))


class FillerThrottlesTest(testtools.TestCase):
    """Throttling of filler tasks beside serving tasks with a target."""

    def setUp(self):
        super().setUp()
        steps = (
            make_step(1, long_running=True, tail_target=0.1),
            make_step(1, fills=True),
        )
        job = make_job(steps=steps)
        self.ledger = make_ledger(job, ["v"])
        self.serving, self.filling = TaskId(job.id, 0, 0, 0), TaskId(job.id, 0, 1, 0)
        self.link = make_link("v")
        self.throttles = filler_throttle.FillerThrottles()

    def report(self, tail):
        """Return the orders after a report with a tail latency in milliseconds."""
        self.link.report_count += 1
        self.link.listed_runs = {
            (self.serving, 1): ListedRun(self.serving, 1, "", 1.0, tail),
            (self.filling, 1): ListedRun(self.filling, 1, "", 1.0, 500),
        }
        self.throttles.by_worker.get(
            "v", filler_throttle.FillerThrottle()
        ).changed_at = 0.0
        return self.throttles.pace_orders(self.link, self.ledger)

    def shares(self, tail):
        """Return the shares that are ordered after a report."""
        return [order.share for order in self.report(tail)]

    def send(self, orders, error=None):
        """Send orders to a worker; return the shares of the calls that it got."""
        shares = []

        async def pace(task, run, share):
            shares.append(share)
            if error is not None:
                raise error

        async def main():
            for order in orders:
                self.link.enqueue(order)
            client = unittest.mock.Mock(pace=pace)
            with anyio.move_on_after(0.05):
                await worker_orders.send_orders(self.link, client)

        anyio.run(main)
        return shares

    def test_fillers_are_slowed_down_and_sped_up_again(self):
        self.assertEqual([0.5], self.shares(150))
        self.assertEqual([0.25], self.shares(150))
        self.assertEqual([], self.shares(90))
        self.assertEqual([0.35], self.shares(50))

    def test_failed_pace_order_is_given_again(self):
        # The target was missed, or the fillers were slow, until the share changed.
        unanswered = WorkerNoResponseError("no answer", True)
        refused = WorkerRefusedError("not now", Refusal.UNHEALTHY)
        for error in (unanswered, refused):
            (order,) = self.report(150)
            self.assertEqual([order.share], self.send([order], error))
            self.assertEqual([order.share], self.shares(90))
            self.assertEqual([], self.shares(90))

    def test_pace_order_that_a_later_one_replaced_is_not_sent(self):
        # On another connection it could overtake the later one.
        orders = self.report(150) + self.report(150)
        self.assertEqual([0.25], self.send(orders))

    def test_pace_orders_of_a_dropped_link_are_given_again_on_the_next_one(self):
        self.assertEqual([0.5], self.shares(150))
        self.link = make_link("v")
        self.assertEqual([0.5], self.shares(90))

    def test_first_share_of_fillers_that_were_taken_over_is_half(self):
        # Their earlier pace is not known; the full one could disturb too long.
        self.link.adopt_run((self.filling, 1))
        self.assertEqual([0.5], self.shares(90))
        self.assertEqual([0.6], self.shares(50))
