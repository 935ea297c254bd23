"""Tests of sharing the slots of executors among the entries."""

import types

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from azurelanding import shares

SLOTS = 8
SILENCE_SECONDS = 3.0
GROW_DELAY_SECONDS = 1.25
STEP_SECONDS = 0.25
PERIOD_SECONDS = 0.5
POOLS = {f"cut-{number}": "cuts" for number in range(1, 7)}

FIXED = settings(derandomize=True, deadline=None, max_examples=100)
FEW = settings(FIXED, max_examples=25)
WEIGHTS = st.dictionaries(
    st.sampled_from("abcdef"), st.integers(1, 500), min_size=1, max_size=6
)


def naive_quotas(weights, spare):
    """Assign slots one by one to the member furthest below its exact quota."""
    total = sum(weights.values())
    assigned = dict.fromkeys(weights, 0)
    for _ in range(spare):
        owed = {n: spare * weights[n] - assigned[n] * total for n in weights}
        assigned[min(owed, key=lambda name: (-owed[name], name))] += 1
    return assigned


def make_peer_status(demands, received_at, stopping=False, releasing=()):
    """Return the last report of a peer entry, received at ``received_at``."""
    status = types.SimpleNamespace(
        role="entry", stopping=stopping, demands=demands, releasing=releasing
    )
    return types.SimpleNamespace(status=status, received_at=received_at)


class SharePoolTest(testtools.TestCase):
    """The division of a pool's slots among its members."""

    @FIXED
    @given(WEIGHTS, st.integers(0, 48))
    def test_quotas_agree_with_the_naive_implementation(self, weights, spare):
        self.assertEqual(
            naive_quotas(weights, spare), shares.spare_quotas(weights, spare)
        )

    @FIXED
    @given(WEIGHTS, st.integers(1, 8))
    def test_all_slots_are_shared_according_to_the_quotas(self, weights, count):
        targets = list(POOLS)[:count]
        shared = shares.share_pool(targets, SLOTS, weights)
        for by_member in shared.values():
            self.assertEqual(SLOTS, sum(by_member.values()))
            self.assertTrue(all(share >= 1 for share in by_member.values()))
        spare = (SLOTS - len(weights)) * len(targets)
        quotas = naive_quotas(weights, spare)
        held = {n: sum(s[n] - 1 for s in shared.values()) for n in weights}
        self.assertEqual(quotas, held)

    def test_more_members_than_slots_get_one_each(self):
        shared = shares.share_pool(["cut-1"], 2, dict.fromkeys("abc", 1.0))
        self.assertEqual({"a": 1, "b": 1, "c": 1}, shared["cut-1"])


class SelectPeersTest(testtools.TestCase):
    """Which peers share the slots when some are silent or stop."""

    def select(self, **peer_statuses):
        return shares.select_peers(peer_statuses, SILENCE_SECONDS, now=100.0)

    def test_a_silent_peer_keeps_its_share_for_a_while(self):
        peers = self.select(a=make_peer_status({}, 99.0), b=make_peer_status({}, 90.0))
        self.assertEqual(({"a", "b"}, True), (set(peers.demands), peers.silent))

    def test_a_peer_that_is_silent_for_too_long_is_dropped(self):
        peers = self.select(a=make_peer_status({}, 99.0), b=make_peer_status({}, 50.0))
        self.assertEqual(({"a"}, False), (set(peers.demands), peers.silent))

    def test_no_peer_is_dropped_when_all_are_silent(self):
        peers = self.select(a=make_peer_status({}, 9.0), b=make_peer_status({}, 50.0))
        self.assertEqual(({"a", "b"}, True), (set(peers.demands), peers.silent))

    def test_a_stopping_peer_is_dropped_as_soon_as_it_is_silent(self):
        peer_statuses = {
            "a": make_peer_status({}, 99.0),
            "b": make_peer_status({}, 90.0, True),
        }
        peers = self.select(**peer_statuses)
        self.assertEqual(({"a"}, False), (set(peers.demands), peers.silent))


class SlotSharesTest(testtools.TestCase):
    """Entries that receive each other's reports with a delay."""

    def start_entries(self):
        names = ["a", "b", "c", "d", "e", "f"]
        entries = {
            n: shares.SlotShares(n, SLOTS, SILENCE_SECONDS, GROW_DELAY_SECONDS)
            for n in names
        }
        known = {name: {} for name in names}
        return entries, known

    def step(self, entries, known, demands, phases, tick):
        """Advance by one step: report demands, exchange by phase, update the shares.

        Returns the slots of each executor that all entries hold together.
        """
        now = tick * STEP_SECONDS
        for name, entry in entries.items():
            entry.report({"cuts": demands[name]}, now)
        for name, entry in entries.items():
            if (tick + phases[name]) % round(PERIOD_SECONDS / STEP_SECONDS) == 0:
                for other in entries:
                    known[other][name] = make_peer_status(
                        dict(entry.reported_demands), now
                    )
        held = {}
        for name, entry in entries.items():
            others = {k: v for k, v in known[name].items() if k != name}
            held[name] = entry.update(POOLS, others, now)
        return {t: sum(held[n].get(t, 0) for n in entries) for t in POOLS}

    @FEW
    @given(
        st.lists(st.integers(0, 300), min_size=6, max_size=6),
        st.lists(st.integers(0, 1), min_size=6, max_size=6),
    )
    def test_no_executor_is_overcommitted_while_demands_change(self, loads, phases):
        entries, known = self.start_entries()
        phases = dict(zip(entries, phases, strict=True))
        even = dict.fromkeys(entries, 10.0)
        surge = dict(zip(entries, map(float, loads), strict=True))
        for tick in range(40):
            demands = even if tick < 12 else surge
            sums = self.step(entries, known, demands, phases, tick)
            self.assertTrue(all(total <= SLOTS for total in sums.values()), sums)
        self.assertEqual({SLOTS}, set(sums.values()))

    def test_an_entry_without_reports_holds_one_slot_of_each_executor(self):
        entry = shares.SlotShares("a", SLOTS, SILENCE_SECONDS, GROW_DELAY_SECONDS)
        for now in (0.0, 10.0):
            self.assertEqual(dict.fromkeys(POOLS, 1), entry.update(POOLS, {}, now))

    def test_a_share_does_not_grow_while_a_peer_releases_slots(self):
        entry = shares.SlotShares("a", SLOTS, SILENCE_SECONDS, GROW_DELAY_SECONDS)
        for tick in range(40):
            now = tick * STEP_SECONDS
            releasing = ("cut-1",) if tick < 30 else ()
            peer = make_peer_status({}, now, releasing=releasing)
            held = entry.update(POOLS, {"b": peer}, now)
            self.assertEqual(1 if tick < 30 else 4, held["cut-1"])

    def test_an_invalid_demand_of_a_peer_is_bounded(self):
        entry = shares.SlotShares("a", SLOTS, SILENCE_SECONDS, GROW_DELAY_SECONDS)
        for invalid in (float("inf"), float("nan"), -5.0):
            peer = make_peer_status({"cuts": invalid}, 0.0)
            self.assertIn("cut-1", entry.update(POOLS, {"b": peer}, 0.0))
