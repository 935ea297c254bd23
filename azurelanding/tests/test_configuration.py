"""Tests of the fleet's state that a daemon gets from its peers."""

import anyio
import attrs
import capnp
import testtools

from azurelanding import pacing, records
from azurelanding.addresses import split_address
from azurelanding.entries.members import Members
from azurelanding.entries.server import PeerServer
from azurelanding.entries.wire import Status
from azurelanding.log_service import follower as follower_module
from azurelanding.log_service import snapshots, wire
from azurelanding.metrics import Metrics
from azurelanding.settings import EntriesSettings, LogServiceSettings
from azurelanding.standins.site import free_ports
from azurelanding.tests.fake_log import FakeLog

RULES = "pool cuts  # Ana\npool spare spare=yes  # Ana\n"
LOG_SETTINGS = LogServiceSettings(timeout=0.05, poll=0.02, retry_pause=0.005)
PERIOD_SECONDS = 0.01
TEST_TIMEOUT_SECONDS = 20.0


class Peer:
    """The log follower and peer exchange of a daemon, without its other parts."""

    def __init__(self, name, log, address, others):
        settings = EntriesSettings(address, tuple(others), PERIOD_SECONDS, 1.0)
        self.name = name
        self.address = address
        self.follower = follower_module.FleetFollower.from_config(log, LOG_SETTINGS)
        self.members = Members.from_config(settings, self.status, self.follower)
        self.server = PeerServer.from_config(settings, self.members)

    def status(self):
        """Return the status to report to peers."""
        state = self.follower.state
        incarnation, offset = f"{self.name}.1", state.next_offset
        return Status(
            self.name, incarnation, "entry", "a", self.address, offset, offset - 1
        )

    async def start(self, task_group):
        """Start following the log and the peers."""
        await self.server.start(task_group)
        self.members.start(task_group, Metrics(None))
        task_group.start_soon(self.follower.run)

    async def until(self, condition):
        """Return once ``condition(state)`` is true of the state in force."""
        changes = self.follower.changes
        await changes.wait_until(lambda: condition(self.follower.state))


class PeersTest(testtools.TestCase):
    """Two or three peers, some of which can't reach the log."""

    def setUp(self):
        super().setUp()
        self.addresses = [f"127.0.0.1:{port}" for port in free_ports(3)]
        self.log = FakeLog()
        self.log.put(self.record(records.RulesPublished(RULES, 0)))
        for number in range(4):
            self.log.put(self.record(records.HostAssigned(f"h{number}", "cuts", 0)))
        self.unreachable_log = FakeLog()
        self.unreachable_log.down = True

    def record(self, body):
        return records.new_record(body, "other.1", "bo", 1.0)

    def peer(self, index, log):
        others = [a for a in self.addresses if a != self.addresses[index]]
        return Peer(f"entry-{index}", log, self.addresses[index], others)

    def run_scenario(self, scenario):
        async def run():
            async with capnp.kj_loop():
                with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                    async with anyio.create_task_group() as task_group:
                        await scenario(task_group)
                        task_group.cancel_scope.cancel()

        anyio.run(run)

    def test_daemon_without_log_follows_its_peer(self):
        async def scenario(task_group):
            connected, cut_off = (
                self.peer(0, self.log),
                self.peer(1, self.unreachable_log),
            )
            await connected.start(task_group)
            await connected.until(lambda state: state.next_offset == 6)
            await cut_off.start(task_group)
            cut_off.follower.put_in_force()
            await cut_off.until(lambda state: state.next_offset == 6)
            self.log.put(self.record(records.RulesPublished(RULES, 1)))
            await cut_off.until(lambda state: state.rules_version == 6)
            self.assertEqual(connected.follower.head, cut_off.follower.head)

        self.run_scenario(scenario)

    def test_cold_start_fetches_the_whole_state_if_the_peer_lacks_old_records(self):
        self.patch(snapshots, "PART_BYTES", 100)

        async def scenario(task_group):
            connected, cut_off = (
                self.peer(0, self.log),
                self.peer(1, self.unreachable_log),
            )
            await connected.start(task_group)
            await connected.until(lambda state: state.next_offset == 6)
            connected.follower.recent.clear()
            self.assertTrue(len(connected.members.state_parts()) > 2)
            await cut_off.start(task_group)
            await cut_off.follower.changes.wait_until(
                lambda: cut_off.follower.head.next_offset == 6
            )
            self.assertEqual(connected.follower.head, cut_off.follower.head)

        self.run_scenario(scenario)

    def test_restarted_daemon_waits_for_the_offset_that_it_had_in_force(self):
        async def scenario(task_group):
            peer = self.peer(0, self.unreachable_log)
            await peer.start(task_group)
            old = Status("entry-1", "entry-1.old", "entry", "a", "", 6, 1)
            peer.members.record_status(old)
            entry = wire.encode_record(self.record(records.RulesPublished(RULES, 0)))
            peer.follower.fold_relayed([wire.Entry(1, entry)])
            peer.follower.put_in_force()
            restarted = self.peer(1, self.unreachable_log)
            await restarted.start(task_group)
            await restarted.follower.changes.wait_until(
                lambda: restarted.follower.head.next_offset == 2
            )
            restarted.follower.put_in_force()
            self.assertFalse(restarted.follower.in_force)
            self.unreachable_log.streams, self.unreachable_log.down = (
                self.log.streams,
                False,
            )
            await restarted.until(lambda state: state.next_offset == 6)

        self.run_scenario(scenario)

    def test_peer_with_the_lower_address_sends_the_heartbeats(self):
        now = 100.0
        self.patch(anyio, "current_time", lambda: now)
        self.addresses.sort(key=split_address)
        low, high = (
            self.peer(0, self.unreachable_log),
            self.peer(1, self.unreachable_log),
        )
        for peer, other in ((low, high), (high, low)):
            self.assertTrue(peer.members.is_due(other.address, now))
            peer.members.prepare_status(other.address)
        heartbeat = pacing.heartbeat(low.members.settings)
        self.assertFalse(low.members.is_due(high.address, now + heartbeat / 2))
        self.assertTrue(low.members.is_due(high.address, now + 1.1 * heartbeat))
        self.assertFalse(high.members.is_due(low.address, now + 1.1 * heartbeat))
        self.assertTrue(high.members.is_due(low.address, now + 2 * heartbeat))

    def test_new_rules_version_is_sent_immediately_and_a_new_offset_is_not(self):
        peer = self.peer(0, self.unreachable_log)
        self.patch(anyio, "current_time", lambda: 100.0)
        status = peer.status()
        peer.members.own_status = lambda: status
        peer.members.prepare_status("127.0.0.1:1")
        status = attrs.evolve(status, next_offset=9)
        self.assertFalse(peer.members.is_due("127.0.0.1:1", 100.0))
        status = attrs.evolve(status, rules_version=8)
        self.assertTrue(peer.members.is_due("127.0.0.1:1", 100.0))

    def test_replaced_process_and_one_that_refuses_connections_have_ended(self):
        self.patch(anyio, "current_time", lambda: 100.0)
        members = self.peer(0, self.unreachable_log).members
        first = Status("c2", "c2.a", "control", "z", "127.0.0.1:1", 1, 0)
        members.record_status(first)
        self.assertEqual(float("inf"), members.peer_ended_at("c2.a"))
        members.record_status(attrs.evolve(first, incarnation="c2.b"))
        self.assertEqual(100.0, members.peer_ended_at("c2.a"))
        self.assertEqual(float("inf"), members.peer_ended_at("c2.b"))
        members._record_refused_connection("127.0.0.1:1")
        self.assertEqual(100.0, members.peer_ended_at("c2.b"))

    def test_outdated_daemon_sends_no_state(self):
        peer = self.peer(0, self.unreachable_log)
        peer.follower.head.format = wire.FORMAT + 1
        parts = peer.members.state_parts()
        self.assertEqual([(0, b"")], [(p.next_offset, p.data) for p in parts])
