"""Test from when on a new holder of the duty for hosts may order each of them."""

import time
import types

import testtools

from azurelanding import fleet_records
from azurelanding.fleet_controller import HOLDER_PAUSE_MARGIN_SECONDS, FleetController
from azurelanding.fleet_fold import FleetFold
from azurelanding.fleet_records import HostPlan
from azurelanding.site import Site, StoreSettings, Timing
from azurelanding.store import StoredRecord
from azurelanding.utils import MAX_CLOCK_SKEW_SECONDS, boot_time

PAUSE_SECONDS = 3.0
LONG_AGO_SECONDS = (
    PAUSE_SECONDS + HOLDER_PAUSE_MARGIN_SECONDS + MAX_CLOCK_SKEW_SECONDS + 0.1
)


def make_duty():
    """Return the duty of a daemon that has just started."""
    fold = FleetFold()
    timing = Timing(holder_pause=PAUSE_SECONDS)
    site = Site("e", "a", "", "", "", StoreSettings("127.0.0.1:1"), timing=timing)
    daemon = types.SimpleNamespace(fleet=fold, site=site, fleet_member=None)
    return FleetController(daemon, None)


def tell(duty, host, seconds_ago, is_ordered=False, is_dropped=False):
    """Let the daemon read a plan for ``host`` that was closed a while ago."""
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
    offset = duty.fold.offsets.get(key, 0) + 1
    duty.fold.apply_stored(StoredRecord(key, value, offset))


class TakeoverTest(testtools.TestCase):
    """What an earlier holder may have ordered."""

    def free(self, duty, *hosts):
        """Return which of ``hosts`` may be ordered as soon as the duty is held."""
        duty._set_orderable_times()
        return [host for host in hosts if duty._is_past_holder_pause(host)]

    def test_host_that_was_left_alone_is_free_at_once(self):
        duty = make_duty()
        self.assertEqual(["a"], self.free(duty, "a"))

    def test_host_that_was_ordered_lately_is_not_free(self):
        duty = make_duty()
        tell(duty, "new", 1.0, is_ordered=True)
        tell(duty, "old", LONG_AGO_SECONDS, is_ordered=True)
        self.assertEqual(["old"], self.free(duty, "new", "old"))

    def test_host_whose_plan_stands_may_still_be_ordered_by_the_earlier_holder(self):
        duty = make_duty()
        tell(duty, "a", 20.0)
        self.assertEqual([], self.free(duty, "a"))
        pause = PAUSE_SECONDS + HOLDER_PAUSE_MARGIN_SECONDS
        self.assertAlmostEqual(boot_time() + pause, duty.orderable_at["a"], delta=0.5)

    def test_dropped_plan_may_have_been_tried(self):
        duty = make_duty()
        tell(duty, "new", 1.0, is_dropped=True)
        tell(duty, "old", LONG_AGO_SECONDS, is_dropped=True)
        self.assertEqual(["old"], self.free(duty, "new", "old"))

    def test_older_record_changes_nothing(self):
        duty = make_duty()
        tell(duty, "a", 1.0)
        tell(duty, "a", 1.0, is_dropped=True)
        plan = HostPlan("a", "w-a", 1.0, pool="cuts")
        duty.fold.apply_stored(StoredRecord(*fleet_records.encode_record(plan), 1))
        self.assertEqual([], list(duty.fold.pending()))

    def test_dropped_plan_is_none(self):
        duty = make_duty()
        tell(duty, "a", 1.0)
        self.assertEqual(["a"], list(duty.fold.pending()))
        tell(duty, "a", 1.0, is_dropped=True)
        self.assertEqual([], list(duty.fold.pending()))
