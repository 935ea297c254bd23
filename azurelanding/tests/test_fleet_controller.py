"""Test when a new fleet controller may order a host after an earlier one."""

import time
import types
from unittest import mock

import anyio
import testtools

from azurelanding import fleet_records, host_choice
from azurelanding.configuration import WaveRequest
from azurelanding.fleet_controller import HOLDER_PAUSE_MARGIN_SECONDS, FleetController
from azurelanding.fleet_fold import FleetFold
from azurelanding.fleet_records import HostPlan, WaveProgress
from azurelanding.site import Site, StoreSettings, Timing
from azurelanding.store import StoredRecord
from azurelanding.tests.test_fleet_choices import make_hosts
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


def apply_plan(controller, host, seconds_ago, is_ordered=False, is_dropped=False):
    """Apply a stored plan for ``host``, ordered or dropped ``seconds_ago``."""
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
    key, value = fleet_records.encode_record(plan)
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


class CountingTuple(tuple):
    """Names of hosts; ``walks`` counts how often they were walked or searched."""

    def __new__(cls, names):
        names = super().__new__(cls, names)
        names.walks = 0
        return names

    def __iter__(self):
        self.walks += 1
        return super().__iter__()

    def __contains__(self, name):
        self.walks += 1
        return super().__contains__(name)


class LargeWaveTest(testtools.TestCase):
    """A wave of half of a large fleet, during which the event loop must not stop."""

    def make_controller(self, wave, hosts):
        """Return a fleet controller whose hosts of a wave are all drained."""
        controller = make_controller()
        daemon = controller.daemon
        daemon.operator = types.SimpleNamespace(waves={wave.number: wave})
        daemon.standby_pools = set
        daemon.vacated = lambda pool: {host.worker for host in hosts.values()}
        daemon.metrics = mock.Mock()
        daemon.fleet_follower = mock.Mock()
        controller.member = mock.Mock(is_valid=True, **{"epoch_of.return_value": 1})
        controller.appender = mock.Mock(append=mock.AsyncMock(return_value=0))
        controller.client = mock.Mock(maintain=mock.AsyncMock())
        controller.hosts = hosts
        for name, host in hosts.items():
            controller.fold.plans[name] = HostPlan(name, host.worker, 1.0, wave=1)
        return controller

    def test_hosts_of_a_wave_are_walked_once_for_all_orders(self):
        hosts = make_hosts({"a": 20})
        wave = WaveRequest(1, CountingTuple(hosts), 30.0, 5)
        controller = self.make_controller(wave, hosts)
        anyio.run(controller._execute_plans, {}, 1)
        self.assertEqual(5, controller.client.maintain.await_count)
        self.assertEqual(1, wave.hosts.walks)

    def test_hosts_that_have_begun_are_not_searched_for_each_host(self):
        hosts = make_hosts({"a": 20})
        wave = WaveRequest(1, tuple(hosts), 30.0, 5)
        begun = CountingTuple(list(hosts)[:10])
        found = host_choice.hosts_not_begun(wave, WaveProgress(1, begun), hosts)
        self.assertEqual(10, len(found))
        controller = self.make_controller(wave, hosts)
        controller.fold.waves[1] = WaveProgress(1, begun)
        anyio.run(controller._finish_wave, wave)
        self.assertEqual(2, begun.walks)
