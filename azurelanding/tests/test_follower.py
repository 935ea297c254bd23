"""Tests of following the log: lost replies, outages, trims, relays."""

import anyio
import testtools

from azurelanding import fleet, records
from azurelanding.log_service import follower as follower_module
from azurelanding.log_service import snapshots, wire
from azurelanding.settings import LogServiceSettings
from azurelanding.tests.fake_log import FakeLog

RULES = "pool cuts  # Ana\npool spare spare=yes  # Ana\n"
SETTINGS = LogServiceSettings(timeout=0.02, poll=0.02, retry_pause=0.001)
GUARD_SECONDS = 20.0


def new_follower(log):
    """Return a follower of ``log`` that was not started."""
    return follower_module.FleetFollower.from_config(log, SETTINGS)


def new_record(body, author="other.1"):
    """Return a record of ``body`` under a new id."""
    return records.new_record(body, author, "bo", 1.0)


class FollowerTest(testtools.TestCase):
    """One follower, started on a log in memory."""

    def setUp(self):
        super().setUp()
        self.log = FakeLog()
        self.follower = new_follower(self.log)

    def follow(self, scenario):
        """Run ``scenario()`` while the follower runs."""

        async def run():
            with anyio.fail_after(GUARD_SECONDS):
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(self.follower.run)
                    await scenario()
                    task_group.cancel_scope.cancel()

        anyio.run(run)

    async def until(self, condition):
        await self.follower.changes.wait_until(condition)

    async def ready(self):
        await self.until(lambda: self.follower.up and self.follower.in_force)

    async def change(self, body, timeout=GUARD_SECONDS):
        return await self.follower.change(body, "me.1", "ana", 1.0, timeout)

    async def fail_to_change(self, body, timeout):
        try:
            await self.change(body, timeout)
        except follower_module.ChangeRefusedError as error:
            return error
        return self.fail("the change was not refused")

    def put_rules(self):
        self.log.put(new_record(records.RulesPublished(RULES, 0)))

    def test_a_lost_reply_is_settled_by_reading(self):
        async def scenario():
            await self.ready()
            self.log.lose_replies = 1
            verdict = await self.change(records.RulesPublished(RULES, 0))
            self.assertEqual((True, 1), (verdict.accepted, verdict.offset))
            self.assertEqual(1, self.log.stream("fleet").end - 1)

        self.follow(scenario)

    def test_in_an_outage_a_change_is_refused_and_leaves_nothing(self):
        async def scenario():
            await self.ready()
            self.log.down = True
            error = await self.fail_to_change(records.RulesPublished(RULES, 0), 0.02)
            self.assertNotIsInstance(error, follower_module.ChangeUndecidedError)
            self.log.down = False
            await self.until(lambda: self.follower.up)
            self.put_rules()
            await self.until(lambda: self.follower.state.rules_version == 1)
            self.assertEqual("bo", self.follower.state.rules_by)

        self.follow(scenario)

    def test_an_undecided_change_that_lands_after_its_withdrawal_is_refused(self):
        async def scenario():
            await self.ready()
            self.log.hold = True
            error = await self.fail_to_change(records.RulesPublished(RULES, 0), 0.05)
            self.assertIsInstance(error, follower_module.ChangeUndecidedError)
            held, self.log.held, self.log.hold = self.log.held, [], False
            decided = self.follower.head.verdict_on
            await self.until(lambda: decided(error.record_id) is not None)
            self.log.held = held
            self.log.release()
            end = self.log.stream("fleet").end
            await self.until(lambda: self.follower.head.next_offset == end)
            self.assertFalse(decided(error.record_id).accepted)
            self.assertEqual(0, self.follower.state.rules_version)

        self.follow(scenario)

    def test_unreadable_records_are_passed_over_and_stop_nobody(self):
        texts = [
            "{",
            '{"v":99,"kind":"x","id":"1","author":"a","asked_by":"b",'
            '"made_at":1.0,"body":{}}',
            '{"v":1,"kind":"x","id":"1","author":"a","asked_by":"b",'
            '"made_at":1.0,"body":{}}',
            '"' + "x" * wire.MAX_RECORD_BYTES + '"',
        ]
        for text in texts:
            self.log.stream("fleet").append(text, self.log.retention)

        async def scenario():
            await self.ready()
            verdict = await self.change(records.RulesPublished(RULES, 0))
            self.assertTrue(verdict.accepted)
            self.assertEqual({1, 2, 3, 4}, set(self.follower.state.quarantined))
            self.assertEqual("", self.follower.outdated)

        self.follow(scenario)

    def test_an_outdated_daemon_writes_nothing(self):
        self.log.put(new_record(records.FormatAdopted(wire.FORMAT + 1)))

        async def scenario():
            await self.ready()
            error = await self.fail_to_change(records.RulesPublished(RULES, 0), 1.0)
            self.assertIn("outdated", str(error))

        self.follow(scenario)

    def test_a_reader_overtaken_by_trimming_goes_on_from_a_snapshot(self):
        self.put_rules()
        state = fleet.FleetState()
        fleet.fold(state, 1, wire.decode_record(self.log.read_all("fleet")[0].data))

        async def scenario():
            await snapshots.write_snapshot(self.log, state, 0.0)
            await self.ready()
            self.log.down = True
            await self.until(lambda: not self.follower.up)
            for number in range(30):
                self.log.put(new_record(records.HostAssigned(f"h{number}", "cuts", 0)))
            whole = fleet_of(self.log, state)
            await self.write_and_trim(whole)
            await self.until(lambda: self.follower.head.next_offset == 32)
            self.assertEqual(30, len(self.follower.state.hosts))

        self.follow(scenario)

    async def write_and_trim(self, state):
        self.log.down = False
        await snapshots.write_snapshot(self.log, state, 0.0)
        self.log.stream("fleet").trim(5)

    def test_without_a_snapshot_a_gap_is_never_crossed(self):
        self.put_rules()
        self.log.put(new_record(records.HostAssigned("h1", "cuts", 0)))
        self.log.stream("fleet").trim(1)

        async def scenario():
            await self.until(lambda: "no snapshot" in self.follower.fault)
            self.assertEqual(1, self.follower.head.next_offset)
            self.assertFalse(self.follower.in_force)

        self.follow(scenario)

    def test_a_log_that_went_back_is_not_followed(self):
        self.follower.replace_state(state_with(next_offset=9, rules_version=8))
        self.follower.put_in_force()

        async def scenario():
            await self.until(lambda: "ends before" in self.follower.fault)
            self.assertEqual(8, self.follower.state.rules_version)

        self.follow(scenario)

    def test_nothing_older_than_what_a_fellow_heard_is_put_in_force(self):
        self.follower.await_offset(3)
        self.put_rules()

        async def scenario():
            await self.until(lambda: self.follower.head.next_offset == 2)
            self.assertEqual(0, self.follower.state.rules_version)
            self.log.put(new_record(records.RulesPublished(RULES, 1)))
            await self.ready()
            self.assertEqual(2, self.follower.state.rules_version)

        self.follow(scenario)

    def test_no_replayed_configuration_is_in_force_while_starting(self):
        self.check_start()

    def test_none_is_in_force_between_two_reads_while_starting(self):
        self.log.max_batch = 1
        self.check_start()

    def check_start(self):
        self.put_rules()
        self.log.put(new_record(records.RulesPublished(RULES, 1)))
        versions = []
        fold_entry = self.follower.fold_entry

        def spy(offset, text):
            verdict = fold_entry(offset, text)
            versions.append(self.follower.state.rules_version)
            return verdict

        self.follower.fold_entry = spy

        async def scenario():
            await self.ready()
            self.assertEqual([0, 0], versions)
            self.assertEqual(2, self.follower.state.rules_version)

        self.follow(scenario)


def state_with(**values):
    """Return a blank state with ``values``."""
    return fleet.FleetState(**values)


def fleet_of(log, start):
    """Return the state after all records of ``log`` from ``start`` on."""
    state = snapshots.decode_state(snapshots.encode_state(start))
    for entry in log.read_all("fleet"):
        fleet.fold(state, entry.offset, wire.decode_record(entry.data))
    return state


class RelayTest(testtools.TestCase):
    """Records and states that come from a fellow."""

    def setUp(self):
        super().setUp()
        self.follower = new_follower(FakeLog())

    def entries(self, count):
        bodies = [records.RulesPublished(RULES, 0)]
        bodies += [records.HostAssigned(f"h{n}", "cuts", 0) for n in range(count)]
        texts = [wire.encode_record(new_record(body)) for body in bodies]
        return [wire.Entry(n, text) for n, text in enumerate(texts, start=1)]

    def test_relayed_records_are_folded_in_order_and_without_gap(self):
        entries = self.entries(5)
        self.follower.fold_relayed([entries[0], entries[2]])
        self.assertEqual(2, self.follower.head.next_offset)
        self.follower.fold_relayed(entries)
        self.assertEqual(7, self.follower.head.next_offset)
        self.assertEqual(entries[3:5], self.follower.entries_from(4, 2))

    def test_a_lower_state_is_never_installed(self):
        self.follower.fold_relayed(self.entries(5))
        head = self.follower.head
        self.assertFalse(self.follower.replace_state(state_with(next_offset=3)))
        self.assertIs(head, self.follower.head)

    def test_entries_before_an_installed_state_are_not_offered(self):
        entries = self.entries(5)
        self.follower.fold_relayed(entries[:3])
        self.follower.replace_state(state_with(next_offset=6))
        self.follower.fold_relayed(entries[5:])
        self.assertEqual([], self.follower.entries_from(2, 10))
        self.assertEqual(entries[5:], self.follower.entries_from(6, 10))
