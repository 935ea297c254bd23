"""Tests of configuration that comes from fellow daemons."""

import anyio
import attrs
import capnp
import testtools

from azurelanding import pacing, records
from azurelanding.entries.members import Members
from azurelanding.entries.server import PeerServer
from azurelanding.entries.wire import Status
from azurelanding.log_service import follower as follower_module
from azurelanding.log_service import snapshots, wire
from azurelanding.settings import EntriesSettings, LogServiceSettings, split_address
from azurelanding.standins.site import free_ports
from azurelanding.tests.fake_log import FakeLog

RULES = "pool cuts  # Ana\npool spare spare=yes  # Ana\n"
LOG_SETTINGS = LogServiceSettings(timeout=0.05, poll=0.02, retry_pause=0.005)
PERIOD_SECONDS = 0.01
GUARD_SECONDS = 20.0


class Fellow:
    """A follower and its members, without the rest of a daemon."""

    def __init__(self, name, log, address, others):
        settings = EntriesSettings(address, tuple(others), PERIOD_SECONDS, 1.0)
        self.name = name
        self.address = address
        self.follower = follower_module.FleetFollower.from_config(log, LOG_SETTINGS)
        self.members = Members.from_config(settings, self.status, self.follower)
        self.server = PeerServer.from_config(settings, self.members)

    def status(self):
        """Return what to tell fellows."""
        state = self.follower.state
        incarnation, offset = f"{self.name}.1", state.next_offset
        return Status(
            self.name, incarnation, "entry", "a", self.address, offset, offset - 1
        )

    async def start(self, task_group):
        """Start following the log and the fellows."""
        await self.server.start(task_group)
        self.members.start(task_group)
        task_group.start_soon(self.follower.run)

    async def until(self, condition):
        """Return once ``condition(state)`` is true of the state in force."""
        changes = self.follower.changes
        await changes.wait_until(lambda: condition(self.follower.state))


class FellowsTest(testtools.TestCase):
    """Two or three fellows, some of them cut off from the log."""

    def setUp(self):
        super().setUp()
        self.addresses = [f"127.0.0.1:{port}" for port in free_ports(3)]
        self.log = FakeLog()
        self.log.put(self.record(records.RulesPublished(RULES, 0)))
        for number in range(4):
            self.log.put(self.record(records.HostAssigned(f"h{number}", "cuts", 0)))
        self.silent = FakeLog()
        self.silent.down = True

    def record(self, body):
        return records.new_record(body, "other.1", "bo", 1.0)

    def fellow(self, index, log):
        others = [a for a in self.addresses if a != self.addresses[index]]
        return Fellow(f"entry-{index}", log, self.addresses[index], others)

    def run_scenario(self, scenario):
        async def run():
            async with capnp.kj_loop():
                with anyio.fail_after(GUARD_SECONDS):
                    async with anyio.create_task_group() as task_group:
                        await scenario(task_group)
                        task_group.cancel_scope.cancel()

        anyio.run(run)

    def test_a_daemon_cut_off_from_the_log_follows_its_fellow(self):
        async def scenario(task_group):
            near, far = self.fellow(0, self.log), self.fellow(1, self.silent)
            await near.start(task_group)
            await near.until(lambda state: state.next_offset == 6)
            await far.start(task_group)
            far.follower.put_in_force()
            await far.until(lambda state: state.next_offset == 6)
            self.log.put(self.record(records.RulesPublished(RULES, 1)))
            await far.until(lambda state: state.rules_version == 6)
            self.assertEqual(near.follower.head, far.follower.head)

        self.run_scenario(scenario)

    def test_a_cold_start_takes_the_whole_state_when_records_are_gone(self):
        self.patch(snapshots, "PART_BYTES", 100)

        async def scenario(task_group):
            near, far = self.fellow(0, self.log), self.fellow(1, self.silent)
            await near.start(task_group)
            await near.until(lambda state: state.next_offset == 6)
            near.follower.recent.clear()
            self.assertTrue(len(near.members.state_parts()) > 2)
            await far.start(task_group)
            await far.follower.changes.wait_until(
                lambda: far.follower.head.next_offset == 6
            )
            self.assertEqual(near.follower.head, far.follower.head)

        self.run_scenario(scenario)

    def test_a_replacement_waits_for_what_its_name_had_in_force(self):
        async def scenario(task_group):
            fellow = self.fellow(0, self.silent)
            await fellow.start(task_group)
            old = Status("entry-1", "entry-1.old", "entry", "a", "", 6, 1)
            fellow.members.record_status(old)
            entry = wire.encode_record(self.record(records.RulesPublished(RULES, 0)))
            fellow.follower.fold_relayed([wire.Entry(1, entry)])
            fellow.follower.put_in_force()
            replaced = self.fellow(1, self.silent)
            await replaced.start(task_group)
            await replaced.follower.changes.wait_until(
                lambda: replaced.follower.head.next_offset == 2
            )
            replaced.follower.put_in_force()
            self.assertFalse(replaced.follower.in_force)
            self.silent.streams, self.silent.down = self.log.streams, False
            await replaced.until(lambda state: state.next_offset == 6)

        self.run_scenario(scenario)

    def test_of_two_fellows_one_keeps_up_the_heartbeats(self):
        now = 100.0
        self.patch(anyio, "current_time", lambda: now)
        self.addresses.sort(key=split_address)
        low, high = self.fellow(0, self.silent), self.fellow(1, self.silent)
        for fellow, other in ((low, high), (high, low)):
            self.assertTrue(fellow.members.is_due(other.address, now))
            fellow.members.prepare_status(other.address)
        heartbeat = pacing.heartbeat(low.members.settings)
        self.assertFalse(low.members.is_due(high.address, now + heartbeat / 2))
        self.assertTrue(low.members.is_due(high.address, now + 1.1 * heartbeat))
        self.assertFalse(high.members.is_due(low.address, now + 1.1 * heartbeat))
        self.assertTrue(high.members.is_due(low.address, now + 2 * heartbeat))

    def test_a_change_is_told_at_once_and_an_offset_with_the_next_exchange(self):
        fellow = self.fellow(0, self.silent)
        self.patch(anyio, "current_time", lambda: 100.0)
        status = fellow.status()
        fellow.members.my_status = lambda: status
        fellow.members.prepare_status("127.0.0.1:1")
        status = attrs.evolve(status, next_offset=9)
        self.assertFalse(fellow.members.is_due("127.0.0.1:1", 100.0))
        status = attrs.evolve(status, rules_version=8)
        self.assertTrue(fellow.members.is_due("127.0.0.1:1", 100.0))

    def test_a_process_that_was_replaced_or_refuses_connections_has_ended(self):
        self.patch(anyio, "current_time", lambda: 100.0)
        members = self.fellow(0, self.silent).members
        first = Status("c2", "c2.a", "control", "z", "127.0.0.1:1", 1, 0)
        members.record_status(first)
        self.assertEqual(float("inf"), members.peer_ended_at("c2.a"))
        members.record_status(attrs.evolve(first, incarnation="c2.b"))
        self.assertEqual(100.0, members.peer_ended_at("c2.a"))
        self.assertEqual(float("inf"), members.peer_ended_at("c2.b"))
        members._record_refused_connection("127.0.0.1:1")
        self.assertEqual(100.0, members.peer_ended_at("c2.b"))

    def test_an_outdated_daemon_gives_no_state(self):
        fellow = self.fellow(0, self.silent)
        fellow.follower.head.format = wire.FORMAT + 1
        parts = fellow.members.state_parts()
        self.assertEqual([(0, b"")], [(p.next_offset, p.data) for p in parts])
