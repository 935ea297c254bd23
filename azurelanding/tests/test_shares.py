"""Tests of sharing the slots of executors among the entries."""

import types

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from azurelanding import shares

SLOTS = 8
SILENCE = 3.0
GROW_DELAY = 1.25
STEP = 0.25
PERIOD = 0.5
POOLS = {f"cut-{number}": "cuts" for number in range(1, 7)}

FIXED = settings(derandomize=True, deadline=None, max_examples=100)
FEW = settings(FIXED, max_examples=25)
WEIGHTS = st.dictionaries(
    st.sampled_from("abcdef"), st.integers(1, 500), min_size=1, max_size=6
)


def naive_quotas(weights, spare):
    """Hand out slots one by one to the member that is owed most."""
    total = sum(weights.values())
    got = dict.fromkeys(weights, 0)
    for _ in range(spare):
        owed = {n: spare * weights[n] - got[n] * total for n in weights}
        got[min(owed, key=lambda name: (-owed[name], name))] += 1
    return got


def make_peer_status(demands, received_at, stopping=False, releasing=()):
    """Return what an entry knows of a fellow."""
    status = types.SimpleNamespace(
        role="entry", stopping=stopping, demands=demands, releasing=releasing
    )
    return types.SimpleNamespace(status=status, received_at=received_at)


class SharePoolTest(testtools.TestCase):
    """The division of a pool's slots at one moment."""

    @FIXED
    @given(WEIGHTS, st.integers(0, 48))
    def test_quotas_agree_with_the_naive_ones(self, weights, spare):
        self.assertEqual(
            naive_quotas(weights, spare), shares.spare_quotas(weights, spare)
        )

    @FIXED
    @given(WEIGHTS, st.integers(1, 8))
    def test_all_slots_are_shared_by_quota(self, weights, count):
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


class CountFellowsTest(testtools.TestCase):
    """Who shares when fellows fall silent or stop."""

    def count(self, **peer_statuses):
        return shares.count_fellows(peer_statuses, SILENCE, now=100.0)

    def test_a_silent_fellow_is_counted_for_a_while(self):
        fellows = self.count(a=make_peer_status({}, 99.0), b=make_peer_status({}, 90.0))
        self.assertEqual(({"a", "b"}, True), (set(fellows.demands), fellows.silent))

    def test_a_fellow_long_silent_is_forgotten(self):
        fellows = self.count(a=make_peer_status({}, 99.0), b=make_peer_status({}, 50.0))
        self.assertEqual(({"a"}, False), (set(fellows.demands), fellows.silent))

    def test_none_is_forgotten_when_all_are_silent(self):
        fellows = self.count(a=make_peer_status({}, 9.0), b=make_peer_status({}, 50.0))
        self.assertEqual(({"a", "b"}, True), (set(fellows.demands), fellows.silent))

    def test_a_stopped_fellow_is_gone_once_silent(self):
        peer_statuses = {
            "a": make_peer_status({}, 99.0),
            "b": make_peer_status({}, 90.0, True),
        }
        fellows = self.count(**peer_statuses)
        self.assertEqual(({"a"}, False), (set(fellows.demands), fellows.silent))


class SlotSharesTest(testtools.TestCase):
    """Entries that hear of each other late."""

    def start_entries(self):
        names = ["a", "b", "c", "d", "e", "f"]
        entries = {n: shares.SlotShares(n, SLOTS, SILENCE, GROW_DELAY) for n in names}
        known = {name: {} for name in names}
        return entries, known

    def step(self, entries, known, demands, phases, tick):
        """Let ``STEP`` pass: tell demands, exchange at each one's phase, share."""
        now = tick * STEP
        for name, entry in entries.items():
            entry.report({"cuts": demands[name]}, now)
        for name, entry in entries.items():
            if (tick + phases[name]) % round(PERIOD / STEP) == 0:
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
    def test_shares_shrink_before_they_grow(self, loads, phases):
        entries, known = self.start_entries()
        phases = dict(zip(entries, phases, strict=True))
        even = dict.fromkeys(entries, 10.0)
        surge = dict(zip(entries, map(float, loads), strict=True))
        for tick in range(40):
            demands = even if tick < 12 else surge
            sums = self.step(entries, known, demands, phases, tick)
            self.assertTrue(all(total <= SLOTS for total in sums.values()), sums)
        self.assertEqual({SLOTS}, set(sums.values()))

    def test_an_entry_that_heard_nobody_takes_one_slot(self):
        entry = shares.SlotShares("a", SLOTS, SILENCE, GROW_DELAY)
        for now in (0.0, 10.0):
            self.assertEqual(dict.fromkeys(POOLS, 1), entry.update(POOLS, {}, now))

    def test_an_entry_does_not_grow_while_a_fellow_releases(self):
        entry = shares.SlotShares("a", SLOTS, SILENCE, GROW_DELAY)
        for tick in range(40):
            now = tick * STEP
            releasing = ("cut-1",) if tick < 30 else ()
            fellow = make_peer_status({}, now, releasing=releasing)
            held = entry.update(POOLS, {"b": fellow}, now)
            self.assertEqual(1 if tick < 30 else 4, held["cut-1"])

    def test_an_absurd_demand_of_a_fellow_is_bounded(self):
        entry = shares.SlotShares("a", SLOTS, SILENCE, GROW_DELAY)
        for absurd in (float("inf"), float("nan"), -5.0):
            fellow = make_peer_status({"cuts": absurd}, 0.0)
            self.assertIn("cut-1", entry.update(POOLS, {"b": fellow}, 0.0))
