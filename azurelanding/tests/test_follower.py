"""Tests of the fleet follower: lost replies, outages, trimming, relayed records."""

import anyio
import testtools

from azurelanding import fleet, records
from azurelanding.log_service import follower as follower_module
from azurelanding.log_service import snapshots, wire
from azurelanding.settings import LogServiceSettings
from azurelanding.tests.fake_log import FakeLog

RULES = "pool cuts  # Ana\npool spare spare=yes  # Ana\n"
SETTINGS = LogServiceSettings(timeout=0.02, poll=0.02, retry_pause=0.001)
TEST_TIMEOUT_SECONDS = 20.0


def new_follower(log):
    """Return a follower of ``log``, not yet started."""
    return follower_module.FleetFollower.from_config(log, SETTINGS)


def new_record(body, author="other.1"):
    """Return a record of ``body`` under a new id."""
    return records.new_record(body, author, "bo", 1.0)


class FollowerTest(testtools.TestCase):
    """One follower of a log in memory."""

    def setUp(self):
        super().setUp()
        self.log = FakeLog()
        self.follower = new_follower(self.log)

    def run_scenario(self, scenario):
        """Run ``scenario()`` while the follower runs."""

        async def run():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(self.follower.run)
                    await scenario()
                    task_group.cancel_scope.cancel()

        anyio.run(run)

    async def until(self, condition):
        await self.follower.changes.wait_until(condition)

    async def wait_until_ready(self):
        await self.until(lambda: self.follower.up and self.follower.in_force)

    async def change(self, body, timeout=TEST_TIMEOUT_SECONDS):
        return await self.follower.change(body, "me.1", "ana", 1.0, timeout)

    async def expect_refusal(self, body, timeout):
        try:
            await self.change(body, timeout)
        except follower_module.ChangeRefusedError as error:
            return error
        return self.fail("the change was not refused")

    def put_rules(self):
        self.log.put(new_record(records.RulesPublished(RULES, 0)))

    def test_after_a_lost_reply_the_verdict_is_read_from_the_log(self):
        async def scenario():
            await self.wait_until_ready()
            self.log.lose_replies = 1
            verdict = await self.change(records.RulesPublished(RULES, 0))
            self.assertEqual((True, 1), (verdict.accepted, verdict.offset))
            self.assertEqual(1, self.log.stream("fleet").end - 1)

        self.run_scenario(scenario)

    def test_in_an_outage_a_change_is_refused_and_not_appended(self):
        async def scenario():
            await self.wait_until_ready()
            self.log.down = True
            error = await self.expect_refusal(records.RulesPublished(RULES, 0), 0.02)
            self.assertNotIsInstance(error, follower_module.ChangeUndecidedError)
            self.log.down = False
            await self.until(lambda: self.follower.up)
            self.put_rules()
            await self.until(lambda: self.follower.state.rules_version == 1)
            self.assertEqual("bo", self.follower.state.rules_by)

        self.run_scenario(scenario)

    def test_an_undecided_change_appended_after_its_withdrawal_is_rejected(self):
        async def scenario():
            await self.wait_until_ready()
            self.log.hold = True
            error = await self.expect_refusal(records.RulesPublished(RULES, 0), 0.05)
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

        self.run_scenario(scenario)

    def test_unreadable_records_are_quarantined_and_later_ones_are_folded(self):
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
            await self.wait_until_ready()
            verdict = await self.change(records.RulesPublished(RULES, 0))
            self.assertTrue(verdict.accepted)
            self.assertEqual({1, 2, 3, 4}, set(self.follower.state.quarantined))
            self.assertEqual("", self.follower.outdated)

        self.run_scenario(scenario)

    def test_an_outdated_daemon_refuses_changes(self):
        self.log.put(new_record(records.FormatAdopted(wire.FORMAT + 1)))

        async def scenario():
            await self.wait_until_ready()
            error = await self.expect_refusal(records.RulesPublished(RULES, 0), 1.0)
            self.assertIn("outdated", str(error))

        self.run_scenario(scenario)

    def test_after_trimming_a_late_follower_continues_from_a_snapshot(self):
        self.put_rules()
        state = fleet.FleetState()
        fleet.fold(state, 1, wire.decode_record(self.log.read_all("fleet")[0].data))

        async def scenario():
            await snapshots.write_snapshot(self.log, state, 0.0)
            await self.wait_until_ready()
            self.log.down = True
            await self.until(lambda: not self.follower.up)
            for number in range(30):
                self.log.put(new_record(records.HostAssigned(f"h{number}", "cuts", 0)))
            latest = fleet_of(self.log, state)
            await self.write_and_trim(latest)
            await self.until(lambda: self.follower.head.next_offset == 32)
            self.assertEqual(30, len(self.follower.state.hosts))

        self.run_scenario(scenario)

    async def write_and_trim(self, state):
        self.log.down = False
        await snapshots.write_snapshot(self.log, state, 0.0)
        self.log.stream("fleet").trim(5)

    def test_a_gap_that_no_snapshot_covers_is_not_skipped(self):
        self.put_rules()
        self.log.put(new_record(records.HostAssigned("h1", "cuts", 0)))
        self.log.stream("fleet").trim(1)

        async def scenario():
            await self.until(lambda: "no snapshot" in self.follower.fault)
            self.assertEqual(1, self.follower.head.next_offset)
            self.assertFalse(self.follower.in_force)

        self.run_scenario(scenario)

    def test_a_log_that_ends_before_the_head_is_not_followed(self):
        self.follower.replace_state(state_with(next_offset=9, rules_version=8))
        self.follower.put_in_force()

        async def scenario():
            await self.until(lambda: "ends before" in self.follower.fault)
            self.assertEqual(8, self.follower.state.rules_version)

        self.run_scenario(scenario)

    def test_no_state_before_the_required_offset_is_put_in_force(self):
        self.follower.require_offset(3)
        self.put_rules()

        async def scenario():
            await self.until(lambda: self.follower.head.next_offset == 2)
            self.assertEqual(0, self.follower.state.rules_version)
            self.log.put(new_record(records.RulesPublished(RULES, 1)))
            await self.wait_until_ready()
            self.assertEqual(2, self.follower.state.rules_version)

        self.run_scenario(scenario)

    def test_no_old_configuration_is_in_force_during_the_first_read(self):
        self.check_first_reads()

    def test_no_old_configuration_is_in_force_between_the_first_reads(self):
        self.log.max_batch = 1
        self.check_first_reads()

    def check_first_reads(self):
        self.put_rules()
        self.log.put(new_record(records.RulesPublished(RULES, 1)))
        versions = []
        fold_entry = self.follower.fold_entry

        def fold_and_record_version(offset, text):
            verdict = fold_entry(offset, text)
            versions.append(self.follower.state.rules_version)
            return verdict

        self.follower.fold_entry = fold_and_record_version

        async def scenario():
            await self.wait_until_ready()
            self.assertEqual([0, 0], versions)
            self.assertEqual(2, self.follower.state.rules_version)

        self.run_scenario(scenario)


def state_with(**values):
    """Return an empty state with ``values``."""
    return fleet.FleetState(**values)


def fleet_of(log, start):
    """Return the state ``start`` after folding the records of ``log`` into a copy."""
    state = snapshots.decode_state(snapshots.encode_state(start))
    for entry in log.read_all("fleet"):
        fleet.fold(state, entry.offset, wire.decode_record(entry.data))
    return state


class RelayTest(testtools.TestCase):
    """Records and states that are received from a peer."""

    def setUp(self):
        super().setUp()
        self.follower = new_follower(FakeLog())

    def entries(self, count):
        bodies = [records.RulesPublished(RULES, 0)]
        bodies += [records.HostAssigned(f"h{n}", "cuts", 0) for n in range(count)]
        texts = [wire.encode_record(new_record(body)) for body in bodies]
        return [wire.Entry(n, text) for n, text in enumerate(texts, start=1)]

    def test_relayed_records_are_folded_only_in_order_without_a_gap(self):
        entries = self.entries(5)
        self.follower.fold_relayed([entries[0], entries[2]])
        self.assertEqual(2, self.follower.head.next_offset)
        self.follower.fold_relayed(entries)
        self.assertEqual(7, self.follower.head.next_offset)
        self.assertEqual(entries[3:5], self.follower.entries_from(4, 2))

    def test_an_older_state_does_not_replace_the_head(self):
        self.follower.fold_relayed(self.entries(5))
        head = self.follower.head
        self.assertFalse(self.follower.replace_state(state_with(next_offset=3)))
        self.assertIs(head, self.follower.head)

    def test_entries_before_a_replaced_state_are_not_returned(self):
        entries = self.entries(5)
        self.follower.fold_relayed(entries[:3])
        self.follower.replace_state(state_with(next_offset=6))
        self.follower.fold_relayed(entries[5:])
        self.assertEqual([], self.follower.entries_from(2, 10))
        self.assertEqual(entries[5:], self.follower.entries_from(6, 10))
