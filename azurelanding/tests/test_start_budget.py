"""Test how fast the pools of a daemon may send starts."""

import doctest
import math

import testtools

from azurelanding import start_budget
from azurelanding.jobs import TaskId
from azurelanding.start_budget import StartBudget, order_bytes
from azurelanding.worker_calls import StartOrder

LINK_RATE = 1_250_000.0
SIZE = 2_800


def make_budget(*pools, link_rate=LINK_RATE):
    """Return the budget of ``pools``, which joined at time 0."""
    budget = StartBudget.from_config(link_rate, 0.0)
    for pool in pools:
        budget.join(pool, 0.0)
    return budget


def send(budget, pool, now, size=SIZE):
    """Send all the starts that are affordable at ``now``; return their bytes."""
    count = budget.affordable(pool, size, now)
    for _ in range(count):
        budget.spend(pool, size)
    budget.set_waiting(pool, True, now)
    return count * size


class StartBudgetTest(testtools.TestCase):
    """The bytes of starts that pools send in passes of their controllers."""

    def run_passes(self, budget, seconds, pools):
        """Return the bytes that each of ``pools`` sends, which never run out."""
        sent, now = dict.fromkeys(pools, 0), 0.0
        while now < seconds:
            for pool in pools:
                sent[pool] += send(budget, pool, now)
            now += min(budget.seconds_to_wait(pool, now) for pool in pools)
        return sent

    def test_doc_example(self):
        self.assertEqual(0, doctest.testmod(start_budget).failed)

    def test_starts_stay_below_the_rate_of_the_link(self):
        sent = self.run_passes(make_budget("cuts"), 10.0, ["cuts"])
        share = sent["cuts"] / (10.0 * LINK_RATE)
        self.assertTrue(0.55 < share < 0.65, share)

    def test_idle_pool_saves_up_at_most_a_burst(self):
        budget = make_budget("cuts")
        sent = send(budget, "cuts", 60.0)
        self.assertTrue(sent <= start_budget.BURST_SECONDS * LINK_RATE, sent)

    def test_pools_that_wait_share_the_link_equally(self):
        budget = make_budget("cuts", "previews", "idle")
        sent = self.run_passes(budget, 10.0, ["cuts", "previews"])
        self.assertTrue(0.9 < sent["cuts"] / sent["previews"] < 1.1, sent)
        self.assertTrue(sum(sent.values()) > 0.55 * 10.0 * LINK_RATE, sent)

    def test_pool_that_looks_often_gets_its_share_beside_a_pool_that_looks_rarely(self):
        intervals = {"busy": 0.004, "calm": 0.25}
        budget, sent = make_budget(*intervals), dict.fromkeys(intervals, 0)
        next_pass_at = dict.fromkeys(intervals, 0.0)
        while (now := min(next_pass_at.values())) < 10.0:
            pool = min(next_pass_at, key=next_pass_at.get)
            budget.set_waiting(pool, False, now)
            sent[pool] += send(budget, pool, now)
            wait = min(intervals[pool], budget.seconds_to_wait(pool, now))
            next_pass_at[pool] = now + max(0.004, wait)
        self.assertTrue(0.9 < sent["busy"] / sent["calm"] < 1.1, sent)

    def test_start_larger_than_the_burst_is_sent_and_paid_for(self):
        budget, size = make_budget("cuts"), 1_000_000
        self.assertEqual(size, send(budget, "cuts", 1.0, size))
        self.assertEqual(0, send(budget, "cuts", 2.0))
        self.assertTrue(send(budget, "cuts", 2.5) > 0)

    def test_waiting_pool_is_woken_only_when_it_can_send(self):
        budget = make_budget("cuts")
        send(budget, "cuts", 1.0)
        seconds = budget.seconds_to_wait("cuts", 1.0)
        self.assertTrue(seconds > 0.01, seconds)
        self.assertTrue(send(budget, "cuts", 1.0 + seconds) > 0)

    def test_pool_without_held_back_tasks_waits_for_nothing(self):
        budget = make_budget("cuts")
        budget.set_waiting("cuts", False, 0.0)
        self.assertEqual(math.inf, budget.seconds_to_wait("cuts", 0.0))

    def test_link_of_unknown_rate_is_not_limited(self):
        budget = make_budget("cuts", link_rate=None)
        self.assertEqual(math.inf, budget.affordable("cuts", SIZE, 0.0))
        budget.set_waiting("cuts", True, 0.0)
        self.assertEqual(math.inf, budget.seconds_to_wait("cuts", 0.0))

    def test_repeat_of_a_pool_that_left_is_not_counted(self):
        budget = make_budget("cuts")
        budget.leave("cuts")
        budget.leave("cuts")
        budget.spend("cuts", SIZE)
        self.assertEqual({}, budget.budgets)

    def test_order_counts_its_checkpoint_and_headers(self):
        order = StartOrder(TaskId("0" * 16, 0, 0, 0), 1, "s" * 2_400, "c" * 100)
        self.assertTrue(2_500 < order_bytes(order) < 3_500, order_bytes(order))
