"""Tests of snapshots: parts, completeness, the newest one, and when one is due."""

import typing

import anyio
import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from azurelanding import fleet, records, retention
from azurelanding.log_service import snapshots, wire
from azurelanding.tests.fake_log import FakeLog

RULES = "pool cuts  # Ana\npool spare spare=yes  # Ana\n"


def make_state(hosts, name="h"):
    """Return a state with ``hosts`` hosts, a lease and a quarantined record."""
    state = fleet.FleetState()
    bodies = [records.RulesPublished(RULES, 0), records.LeasesTaken(5.0, {"cuts": 0})]
    bodies += [records.HostAssigned(f"{name}{n}", "cuts", 0) for n in range(hosts)]
    for offset, body in enumerate(bodies, start=1):
        fleet.fold(state, offset, records.new_record(body, "control-1", "ana", 1.0))
    fleet.quarantine(state, state.next_offset, "unreadable")
    return state


class SnapshotsTest(testtools.TestCase):
    """Snapshots written to and read from a log: complete, incomplete and damaged."""

    def setUp(self):
        super().setUp()
        self.log = FakeLog()

    def read(self):
        return anyio.run(snapshots.read_newest, self.log)

    def write(self, state):
        anyio.run(snapshots.write_snapshot, self.log, state, 0.0)

    def put(self, parts):
        stream = self.log.stream(snapshots.SNAPSHOT_STREAM)
        for part in parts:
            stream.append(wire.encode_part(part), self.log.retention)

    def test_a_state_is_read_back_unchanged(self):
        state = make_state(20)
        self.write(state)
        self.assertEqual(state, self.read())

    def test_a_snapshot_is_used_only_when_all_parts_are_there(self):
        self.patch(snapshots, "PART_BYTES", 200)
        old, new = make_state(5), make_state(50)
        self.write(old)
        parts = snapshots.make_parts(new)
        self.assertTrue(len(parts) > 2)
        self.put(parts[:-1])
        self.assertEqual(old, self.read())
        self.put(parts[-1:])
        self.assertEqual(new, self.read())

    def test_parts_of_two_writers_may_be_interleaved(self):
        self.patch(snapshots, "PART_BYTES", 200)
        one, two = make_state(40), make_state(41)
        parts = [*snapshots.make_parts(one), *snapshots.make_parts(two)]
        self.put(sorted(parts, key=lambda part: part.index))
        self.assertEqual(two, self.read())

    def test_a_snapshot_is_complete_after_a_lost_reply(self):
        self.log.lose_replies = 1
        state = make_state(3)
        self.write(state)
        self.assertEqual(state, self.read())

    def test_damaged_snapshots_are_skipped(self):
        state = make_state(3)
        self.write(state)
        stream = self.log.stream(snapshots.SNAPSHOT_STREAM)
        stream.append("{", self.log.retention)
        damaged = wire.SnapshotPart(1, "x", 99, 0, 1, "bm90IHpsaWI=")
        newer = wire.SnapshotPart(wire.FORMAT + 1, "y", 99, 0, 1, "")
        outside = wire.SnapshotPart(1, "z", 99, 3, 1, "bm90IHpsaWI=")
        self.put([damaged, newer, outside])
        self.assertEqual(state, self.read())

    def test_the_newest_snapshot_is_found_in_a_long_stream(self):
        old = make_state(3)
        self.write(old)
        for _ in range(100):
            self.log.stream(snapshots.SNAPSHOT_STREAM).append("{", 1000)
        self.assertEqual(old, self.read())
        self.write(make_state(4))
        self.assertEqual(make_state(4).hosts, self.read().hosts)

    def test_an_empty_stream_has_no_snapshot(self):
        self.assertIsNone(self.read())


def value_types():
    """Return the type of the values in each mapping that a state holds."""
    hints = typing.get_type_hints(fleet.FleetState)
    arguments = (typing.get_args(hint) for hint in hints.values())
    return [pair[1] for pair in arguments if len(pair) == 2]


FINITE = st.floats(allow_nan=False, allow_infinity=False)
LONG = st.integers(-(1 << 63), (1 << 63) - 1)


class FieldsTest(testtools.TestCase):
    """Every type of value in a state survives encoding and decoding."""

    @settings(derandomize=True, max_examples=30, deadline=None, database=None)
    @given(st.data())
    def test_every_kind_of_value_comes_back(self, data):
        st.register_type_strategy(float, FINITE)
        st.register_type_strategy(int, LONG)
        self.addCleanup(st.register_type_strategy, float, st.floats())
        self.addCleanup(st.register_type_strategy, int, st.integers())
        self.assertIn(fleet.HostState, value_types())
        for value_type in value_types():
            value = data.draw(st.from_type(value_type))
            text = msgspec.json.encode(value)
            self.assertEqual(value, msgspec.json.decode(text, type=value_type))


class RetentionTest(testtools.TestCase):
    """When a snapshot is due, and at which daemon first."""

    def test_every_daemon_is_due_well_before_the_log_is_trimmed(self):
        retained = 80
        for rank in range(10):
            self.assertTrue(retention.is_due(retained // 2, 0.0, retained, rank))
        self.assertFalse(retention.is_due(9, 0.0, retained, 0))
        self.assertTrue(retention.is_due(10, 0.0, retained, 0))
        self.assertFalse(retention.is_due(10, 0.0, retained, 1))

    def test_a_snapshot_is_due_when_the_last_one_is_old(self):
        self.assertTrue(
            retention.is_due(0, retention.SNAPSHOT_INTERVAL_SECONDS, None, 0)
        )
        self.assertFalse(
            retention.is_due(0, retention.SNAPSHOT_INTERVAL_SECONDS, None, 1)
        )

    def test_the_holder_of_the_first_pool_is_due_first(self):
        state = make_state(1)
        rank = retention.writer_rank
        self.assertEqual(0, rank(state, "control-1", "control-1", {"a"}))
        self.assertEqual(2, rank(state, "b.1", "b", {"a", "c"}))
