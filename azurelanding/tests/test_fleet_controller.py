"""Test when a fleet controller may order a host, and what an accepted order shows."""

import time
import types
from unittest import mock

import anyio
import attrs
import testtools

from azurelanding import fleet_controller, fleet_records
from azurelanding.configuration import WaveRequest
from azurelanding.fleet_controller import (
    HOLDER_PAUSE_MARGIN_SECONDS,
    TOPIC,
    FleetController,
)
from azurelanding.fleet_fold import FleetFold
from azurelanding.fleet_records import HostPlan
from azurelanding.fleet_workers import HostEntry, HostPhase
from azurelanding.host_calls import HostCallError
from azurelanding.site import Site, StoreSettings, Timing
from azurelanding.store import StoredRecord, stored_records
from azurelanding.tests.platform_world import (
    World,
    capture_lines,
    make_queue,
    until,
)
from azurelanding.utils import MAX_CLOCK_SKEW_SECONDS, boot_time

PAUSE_SECONDS = 3.0
LONG_AGO_SECONDS = (
    PAUSE_SECONDS + HOLDER_PAUSE_MARGIN_SECONDS + MAX_CLOCK_SKEW_SECONDS + 0.1
)


def make_controller():
    """Return the fleet controller of a daemon that has just started."""
    fold = FleetFold()
    timing = Timing(holder_pause=PAUSE_SECONDS)
    site = Site("e", "a", "", "", "", StoreSettings("127.0.0.1:1"), timing=timing)
    daemon = types.SimpleNamespace(fleet=fold, site=site, fleet_member=None)
    return FleetController(daemon, None)


def encode_plan(host, seconds_ago, is_ordered=False, is_dropped=False):
    """Return the record of a plan for ``host``, ordered or dropped ``seconds_ago``."""
    closed_at = time.time() - seconds_ago if is_ordered or is_dropped else 0.0
    plan = HostPlan(
        host,
        f"w-{host}",
        time.time() - 60.0,
        pool="cuts",
        is_ordered=is_ordered,
        is_dropped=is_dropped,
        closed_at=closed_at,
    )
    return fleet_records.encode_record(plan)


def apply_plan(controller, host, seconds_ago, **fields):
    """Apply a stored plan for ``host``, ordered or dropped ``seconds_ago``."""
    key, value = encode_plan(host, seconds_ago, **fields)
    offset = controller.fold.offsets.get(key, 0) + 1
    controller.fold.apply_stored(StoredRecord(key, value, offset))


class TakeoverTest(testtools.TestCase):
    """Orders that an earlier fleet controller may have sent."""

    def orderable_hosts(self, controller, *hosts):
        """Return which of ``hosts`` may be ordered right after the takeover."""
        controller._set_orderable_times()
        return [host for host in hosts if controller._is_past_holder_pause(host)]

    def test_host_without_a_plan_may_be_ordered_immediately(self):
        controller = make_controller()
        self.assertEqual(["a"], self.orderable_hosts(controller, "a"))

    def test_recently_ordered_host_may_not_be_ordered(self):
        controller = make_controller()
        apply_plan(controller, "new", 1.0, is_ordered=True)
        apply_plan(controller, "old", LONG_AGO_SECONDS, is_ordered=True)
        self.assertEqual(["old"], self.orderable_hosts(controller, "new", "old"))

    def test_host_with_a_pending_plan_may_be_ordered_only_after_the_holder_pause(self):
        controller = make_controller()
        apply_plan(controller, "a", 20.0)
        self.assertEqual([], self.orderable_hosts(controller, "a"))
        pause = PAUSE_SECONDS + HOLDER_PAUSE_MARGIN_SECONDS
        self.assertAlmostEqual(
            boot_time() + pause, controller.orderable_at["a"], delta=0.5
        )

    def test_host_of_a_recently_dropped_plan_may_not_be_ordered(self):
        controller = make_controller()
        apply_plan(controller, "new", 1.0, is_dropped=True)
        apply_plan(controller, "old", LONG_AGO_SECONDS, is_dropped=True)
        self.assertEqual(["old"], self.orderable_hosts(controller, "new", "old"))

    def test_older_record_of_a_key_is_ignored(self):
        controller = make_controller()
        apply_plan(controller, "a", 1.0)
        apply_plan(controller, "a", 1.0, is_dropped=True)
        plan = HostPlan("a", "w-a", 1.0, pool="cuts")
        controller.fold.apply_stored(
            StoredRecord(*fleet_records.encode_record(plan), 1)
        )
        self.assertEqual([], list(controller.fold.pending()))

    def test_dropped_plan_is_not_pending(self):
        controller = make_controller()
        apply_plan(controller, "a", 1.0)
        self.assertEqual(["a"], list(controller.fold.pending()))
        apply_plan(controller, "a", 1.0, is_dropped=True)
        self.assertEqual([], list(controller.fold.pending()))

    def test_hosts_that_a_new_fleet_controller_leaves_alone_are_reported(self):
        async def scenario(world):
            metrics = world.daemons[0].metrics
            for held_back in (b"1.0", b"0.0"):
                gauge = b"hosts_held_back " + held_back
                await until(lambda gauge=gauge: gauge in metrics.text())

        world = World(holder_pause=PAUSE_SECONDS)
        world.configure(make_queue())
        world.store.put(TOPIC, *encode_plan("new", 5.0, is_ordered=True))
        world.store.put(TOPIC, *encode_plan("old", LONG_AGO_SECONDS, is_ordered=True))
        lines = capture_lines(self, fleet_controller)
        anyio.run(world.run, scenario)
        (acquired,) = (ln for ln in lines if ln["event"] == "fleet control acquired")
        self.assertEqual(1, acquired["hosts_held_back"])
        self.assertTrue(0.0 < acquired["held_back_for"] <= LONG_AGO_SECONDS - 5.0)


class WaveHosts:
    """The platform's API of one host, which does its maintenance of a wave once.

    The answers to the first ``lost_answers`` orders are lost. ``orders`` counts the
    orders; a maintenance ends with ``end_maintenance``.
    """

    def __init__(self, lost_answers):
        self.lost_answers = lost_answers
        self.orders = 0
        self.is_done = False
        self.host = HostEntry("h", "cuts", HostPhase.UP, "w1")

    async def list_hosts(self):
        return {"h": self.host}

    async def maintain(self, host, wave, epoch):
        self.orders += 1
        if not self.is_done:
            self.is_done = True
            self.host = attrs.evolve(self.host, phase=HostPhase.MAINTENANCE, worker="")
        if self.orders <= self.lost_answers:
            raise HostCallError("no answer")

    def end_maintenance(self):
        """Begin the next incarnation of the host, with a worker of its own."""
        self.host = attrs.evolve(self.host, phase=HostPhase.UP, worker="w2")


class AcceptedOrderTest(testtools.TestCase):
    """Which worker an accepted order has ended."""

    def make_controller(self, client):
        """Return a controller for a wave of one host, whose workers are drained."""
        controller = make_controller()
        wave = WaveRequest(1, ("h",), 20.0, 1)
        controller.client = client
        controller.member = mock.Mock(epoch_of=lambda *part: 1, is_valid=True)
        controller.daemon = mock.Mock(
            fleet=controller.fold, site=controller.daemon.site
        )
        controller.daemon.operator.waves = {1: wave}
        controller.daemon.placed = dict
        controller.daemon.vacated = lambda pool: ("w1", "w2")
        controller.daemon.standby_pools = set
        controller._plan_moves = mock.AsyncMock()
        controller._report_wave = mock.AsyncMock()
        offsets = iter(range(100))

        async def store(records):
            for record in records:
                stored = stored_records([record], next(offsets))
                controller.fold.apply_stored(*stored)

        controller._store = store
        return controller

    def poll(self, controller, times=1):
        async def main():
            for _ in range(times):
                try:
                    await controller._poll(1)
                except HostCallError:
                    continue

        anyio.run(main)

    def test_order_that_was_carried_out_before_ends_no_worker(self):
        # The later worker was taken for ended, and stayed without tasks.
        hosts = WaveHosts(lost_answers=1)
        controller = self.make_controller(hosts)
        self.poll(controller, 2)
        hosts.end_maintenance()
        controller.maintenance_ordered_at.clear()
        self.poll(controller, 3)
        self.assertEqual(2, hosts.orders)
        self.assertEqual(
            (set(), set()), (controller.fold.ended(), controller.fold.cordoned())
        )
        self.assertEqual({"h"}, controller.fold.progress(1).begun)

    def test_hosts_of_a_wave_are_not_all_looked_at_for_each_order(self):
        # With thousands of hosts each pass took seconds, in which no lease is extended.
        class Hosts(dict):
            looks = 0

            def __contains__(self, name):
                Hosts.looks += 1
                return super().__contains__(name)

        controller = self.make_controller(mock.Mock(maintain=mock.AsyncMock()))
        names = [f"h{number}" for number in range(40)]
        wave = WaveRequest(1, tuple(names), 20.0, 10)
        controller.daemon.operator.waves = {1: wave}
        controller.hosts = Hosts()
        for offset, name in enumerate(names):
            controller.hosts[name] = HostEntry(name, "cuts", HostPhase.UP, "w1")
            plan = fleet_records.encode_record(HostPlan(name, "w1", time.time(), 1))
            controller.fold.apply_stored(*stored_records([plan], offset))
        anyio.run(controller._execute_plans, {}, 1)
        self.assertEqual(10, controller.client.maintain.await_count)
        self.assertLess(Hosts.looks, 4 * len(names))

    def test_order_that_began_the_maintenance_ends_the_worker(self):
        hosts = WaveHosts(lost_answers=0)
        controller = self.make_controller(hosts)
        self.poll(controller, 3)
        self.assertEqual(1, hosts.orders)
        self.assertEqual({"w1"}, controller.fold.ended())
        self.assertEqual({"h"}, controller.fold.progress(1).begun)
