"""Test what is kept of the plans to drain hosts, against walks over all of them."""

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from azurelanding import fleet_records
from azurelanding.fleet_fold import FleetFold
from azurelanding.fleet_records import HostPlan
from azurelanding.store import StoredRecord
from azurelanding.tests.test_pool_jobs import CountedDict

PLANS = st.builds(
    HostPlan,
    host=st.sampled_from("abc"),
    worker=st.sampled_from(("", "v", "w")),
    made_at=st.just(1.0),
    is_ordered=st.booleans(),
    is_dropped=st.booleans(),
)


def apply(fold, offset, plan):
    """Apply the record of a plan."""
    fold.apply_stored(StoredRecord(*fleet_records.encode_record(plan), offset))


class FleetFoldTest(testtools.TestCase):
    """Plans of hosts, most of which were ordered long ago."""

    def test_pass_does_not_walk_the_plans_of_all_hosts(self):
        fold = FleetFold()
        for number in range(100):
            plan = HostPlan(f"h{number}", f"w{number}", 1.0, is_ordered=number > 0)
            apply(fold, number, plan)
        self.patch(CountedDict, "visits", [])
        fold.plans = CountedDict(fold.plans)
        self.assertEqual({"w0", "w1"}, {"w0", "w1", "x"} & fold.cordoned())
        self.assertEqual({"w1"}, {"w0", "w1", "x"} & fold.ended())
        self.assertEqual(["h0"], list(fold.pending()))
        self.assertEqual([], CountedDict.visits)

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(st.lists(PLANS, max_size=12))
    def test_kept_workers_equal_those_of_a_walk(self, plans):
        fold, newest = FleetFold(), {}
        for offset, plan in enumerate(plans):
            apply(fold, offset, plan)
            newest[plan.host] = plan
        kept = [plan for plan in newest.values() if not plan.is_dropped]
        ordered = [plan for plan in kept if plan.is_ordered]
        self.assertEqual({plan.worker for plan in kept}, set(fold.cordoned()))
        self.assertEqual({plan.worker for plan in ordered}, set(fold.ended()))
        pending = {plan.host: plan for plan in kept if not plan.is_ordered}
        self.assertEqual(pending, fold.pending())
