"""Tests of targets that are drained, removed or moved, and of entries that stop."""

import anyio
import attrs
import capnp
import testtools

from azurelanding.addresses import split_address
from azurelanding.admission import Queues, Ticket
from azurelanding.entry import EntryDaemon
from azurelanding.fleet import FleetState, HostState
from azurelanding.hosts import Host, HostKind, Phase, Presence
from azurelanding.requests import Request
from azurelanding.routing import usable_targets
from azurelanding.rules_parser import read_rules
from azurelanding.settings import parse_settings
from azurelanding.standins.site import free_ports
from azurelanding.targets.slots import Slot, serve_slot

RULES = """
pool previews spare=yes  # Marisol
service preview pool=previews deadline=5s idempotent=yes  # Marisol
"""
SETTINGS = """
name: entry-1
availability_zone: zone-a
callers: {{address: "127.0.0.1:{0}", notice: 0.01}}
operators: {{address: "127.0.0.1:{1}"}}
entries: {{address: "127.0.0.1:{2}"}}
"""
HEAD = b"POST /services/preview/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n"


def make_entry(test):
    """Return an entry that is not started, and stops listening with ``test``."""
    entry = EntryDaemon(parse_settings(SETTINGS.format(*free_ports(3))))
    for server in (entry.callers_server, entry.operators_server):
        test.addCleanup(server.listener.close)
    return entry


class UsableTargetTest(testtools.TestCase):
    """Which executors may get new requests."""

    def usable(self, phase=Phase.SERVING, **changes):
        host = Host("h1", HostKind.EXECUTOR, "127.0.0.1:1", "zone-a", "rack-1")
        state = FleetState(hosts={"h1": HostState("previews", 1, phase)})
        return usable_targets(state, {"h1": attrs.evolve(host, **changes)})

    def test_live_serving_executor_is_usable(self):
        self.assertEqual({"h1": "previews"}, self.usable())

    def test_host_in_any_other_phase_is_not_usable(self):
        for phase in set(Phase) - {Phase.SERVING}:
            self.assertEqual({}, self.usable(phase), phase)

    def test_host_leaving_the_host_list_is_not_usable(self):
        self.assertEqual({}, self.usable(presence=Presence.LEAVING))

    def test_worker_is_not_usable(self):
        self.assertEqual({}, self.usable(kind=HostKind.WORKER))


class EntryStatusTest(testtools.TestCase):
    """What an entry reports to its peers while a target is draining."""

    async def check_status_after_a_drain_record(self):
        entry = make_entry(self)
        host = Host("h1", HostKind.EXECUTOR, "127.0.0.1:1", "zone-a", "rack-1")
        entry.host_list.hosts = {"h1": host}
        entry.state.hosts["h1"] = HostState("previews", 1)
        async with anyio.create_task_group() as task_group:
            entry.registry.start(task_group)
            entry.update_slots()
            self.assertTrue(entry.registry.slots["h1"])
            drained = HostState("previews", 2, Phase.DRAINING, drained_at=2)
            entry.state.hosts["h1"] = drained
            entry.state.next_offset = 3
            self.assertEqual(3, entry.own_status().next_offset)
            leaving = [slot.leaving for slot in entry.registry.slots["h1"]]
            self.assertTrue(all(leaving))
            task_group.cancel_scope.cancel()

    async def busy_hosts_in_status(self, phase):
        entry = make_entry(self)
        host = Host("h1", HostKind.EXECUTOR, "127.0.0.1:1", "zone-a", "rack-1")
        entry.host_list.hosts = {"h1": host}
        entry.state.hosts["h1"] = HostState("previews", 1, phase)
        slot = Slot(host, "previews")
        slot.busy = True
        entry.registry.slots["h1"].append(slot)
        async with anyio.create_task_group() as task_group:
            entry.registry.start(task_group)
            busy_hosts = entry.own_status().busy_hosts
            task_group.cancel_scope.cancel()
        return busy_hosts

    def test_status_lists_a_busy_target_only_while_it_is_draining(self):
        busy_hosts = anyio.run(self.busy_hosts_in_status, Phase.DRAINING)
        self.assertEqual(("h1",), busy_hosts)
        busy_hosts = anyio.run(self.busy_hosts_in_status, Phase.SERVING)
        self.assertEqual((), busy_hosts)

    def test_slots_follow_the_offset_that_the_status_reports(self):
        anyio.run(self.check_status_after_a_drain_record)


class MovedTargetTest(testtools.TestCase):
    """An executor that moves to another pool."""

    async def move_target(self):
        entry = make_entry(self)
        host = Host("h1", HostKind.EXECUTOR, "127.0.0.1:1", "zone-a", "rack-1")
        entry.host_list.hosts = {"h1": host}
        entry.state.hosts["h1"] = HostState("previews", 1)
        async with anyio.create_task_group() as task_group:
            entry.registry.start(task_group)
            entry.update_slots()
            held = list(entry.registry.slots["h1"])
            entry.state.hosts["h1"] = HostState("cuts", 2)
            entry.update_slots()
            self.assertEqual({True}, {slot.leaving for slot in held})
            task_group.cancel_scope.cancel()

    def test_slots_of_the_old_pool_leave(self):
        anyio.run(self.move_target)


def make_ticket():
    """Return a ticket for a request to the service ``preview``."""
    rule = read_rules(RULES).services["preview"]
    now = anyio.current_time()
    request = Request("r1", "preview", "", "POST", "/", (), b"", now, now + 5.0)
    return Ticket(request, rule)


class LeavingSlotTest(testtools.TestCase):
    """A slot that is told to leave just as it is given a ticket."""

    async def submit_while_leaving(self):
        queues, rules = Queues(), read_rules(RULES)
        queues.update(rules, {"previews": 1}, anyio.current_time())
        settings = parse_settings(SETTINGS.format(1, 2, 3)).targets
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        host = Host("h1", HostKind.EXECUTOR, f"127.0.0.1:{port}", "zone-a", "rack-1")
        slot = Slot(host, "previews")
        ticket = make_ticket()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(serve_slot, slot, queues, settings)
            with anyio.fail_after(5.0):
                while slot.waiting is None:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
            queues.submit(ticket)
            slot.leave()
        await listener.aclose()
        self.assertEqual({"previews": 1}, queues.depth())
        self.assertEqual(0, ticket.attempts)

    def test_ticket_returns_to_its_queue_without_an_attempt(self):
        anyio.run(self.submit_while_leaving)


class StoppingEntryTest(testtools.TestCase):
    """An entry that stops while a caller is still sending its request."""

    async def stop_while_a_request_is_in_flight(self):
        entry, closed, response = make_entry(self), anyio.Event(), b""
        entry.state.rules = read_rules(RULES)

        async def stop():
            await entry.close()
            closed.set()

        async with capnp.kj_loop(), anyio.create_task_group() as task_group:
            await entry.start(task_group)
            address = split_address(entry.settings.callers.address)
            async with await anyio.connect_tcp(*address) as caller:
                await caller.send(HEAD)
                with anyio.fail_after(5.0):
                    while not entry.callers.in_flight:  # noqa: ASYNC110
                        await anyio.sleep(0.01)
                task_group.start_soon(stop)
                with anyio.move_on_after(0.3):
                    await closed.wait()
                self.assertFalse(closed.is_set())
                await caller.send(b"x")
                with anyio.fail_after(10.0):
                    response = await caller.receive()
                    await closed.wait()
            task_group.cancel_scope.cancel()
        self.assertIn(b"azurelanding-outcome: not-run", response)

    def test_close_waits_for_requests_in_flight(self):
        anyio.run(self.stop_while_a_request_is_in_flight)
