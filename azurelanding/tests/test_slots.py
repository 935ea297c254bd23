"""Tests of slots whose connections stop delivering answers."""

import gc
import warnings

import anyio
import attrs
import testtools

from azurelanding import dispatch, silence
from azurelanding.admission import Queues, Ticket
from azurelanding.hosts import Host, HostKind
from azurelanding.http_server import HttpServer
from azurelanding.requests import Outcome, RefusalReason, Request, refuse
from azurelanding.rules import RuleSet, ServiceRule
from azurelanding.settings import TargetsSettings
from azurelanding.standins.executor import Executor
from azurelanding.standins.relay import Relay
from azurelanding.standins.site import LOOPBACK, free_ports
from azurelanding.targets import slots
from azurelanding.targets.registry import TargetRegistry


class SilenceTest(testtools.TestCase):
    """When a connection is trusted and when an answer is overdue."""

    def test_a_lost_connection_revokes_trust_only_in_older_connections(self):
        trust = silence.TargetTrust()
        silence.distrust(trust, sent_at=10.0)
        self.assertFalse(silence.is_trusted(trust, 9.0, True, 5.0, 11.0))
        self.assertTrue(silence.is_trusted(trust, 10.5, True, 5.0, 11.0))
        silence.distrust(trust, sent_at=4.0)
        self.assertEqual(10.0, trust.verified_since)

    def test_an_idle_connection_gets_only_repeatable_requests(self):
        trust = silence.TargetTrust()
        self.assertTrue(silence.is_trusted(trust, 0.0, True, 0.25, 60.0))
        self.assertFalse(silence.is_trusted(trust, 0.0, False, 0.25, 60.0))

    def test_an_answer_is_overdue_relative_to_the_usual_answer_time(self):
        answer_times = silence.AnswerTimes()
        self.assertFalse(silence.is_overdue(answer_times, "cut", 100.0))
        silence.record_answer_time(answer_times, "cut", 20.0)
        self.assertFalse(silence.is_overdue(answer_times, "cut", 39.0))
        self.assertTrue(silence.is_overdue(answer_times, "cut", 41.0))


class SlotTest(testtools.TestCase):
    """One slot of a stand-in executor that is reached through a relay."""

    def run_scenario(self, scenario, **settings):
        """Run ``scenario(slot, ask, relay, queues)``; return how many requests ran.

        ``ask(idempotent)`` runs one request and returns its outcome.
        """

        async def run():
            executor = Executor("cut-1")
            server = HttpServer.from_config(f"{LOOPBACK}:0", executor.app)
            address = f"{LOOPBACK}:{free_ports(1)[0]}"
            relay = Relay([(address, server.address)])
            host = Host("cut-1", HostKind.EXECUTOR, address, zone="a", rack="r")
            queues, slot = Queues(), slots.Slot(host, "cuts")
            rule = ServiceRule("cut", pool="cuts")
            rules = RuleSet(services={"cut": rule})
            queues.update(rules, {"cuts": 1}, anyio.current_time())

            async def ask(idempotent):
                now = anyio.current_time()
                request = Request("r", "cut", "", "POST", "/", (), b"x", now, now + 20)
                variant = attrs.evolve(rule, idempotent=idempotent)
                return (await dispatch.run_request(request, variant, queues)).outcome

            async with anyio.create_task_group() as task_group:
                server.start(task_group)
                await relay.start(task_group)
                task_group.start_soon(
                    slots.serve_slot, slot, queues, TargetsSettings(**settings)
                )
                with anyio.fail_after(25.0):
                    await scenario(slot, ask, relay, queues)
                task_group.cancel_scope.cancel()
            return len(executor.ledger)

        return anyio.run(run)

    def test_an_idle_lost_connection_fails_no_request(self):
        async def silence_connection(slot, ask, relay, queues):
            self.assertIs(Outcome.RAN, await ask(idempotent=False))
            self.assertEqual(1, relay.silence())
            await anyio.sleep(0.01)
            self.assertIs(Outcome.RAN, await ask(idempotent=False))

        self.assertEqual(2, self.run_scenario(silence_connection, trust=0.001))

    def test_a_repeatable_request_with_an_overdue_answer_is_retried_immediately(self):
        async def silence_connection(slot, ask, relay, queues):
            self.assertIs(Outcome.RAN, await ask(idempotent=True))
            relay.silence()

            async def notice():
                while slot.ticket is None:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                slots.suspect_if_overdue(slot, slot.sent_at + 10.0)

            async with anyio.create_task_group() as task_group:
                task_group.start_soon(notice)
                self.assertIs(Outcome.RAN, await ask(idempotent=True))
            self.assertFalse(slot.suspected)

        self.assertEqual(2, self.run_scenario(silence_connection))

    def test_another_slot_takes_over_while_an_answer_is_overdue(self):
        async def silence_connection(slot, ask, relay, queues):
            self.assertIs(Outcome.RAN, await ask(idempotent=False))
            slot.leave()
            registry = TargetRegistry.from_config(TargetsSettings(), queues, "a")
            registry.answer_times.longest["cut"] = 0.001
            async with anyio.create_task_group() as task_group:
                registry.start(task_group)
                self.update(registry, slot.host)
                await ask(idempotent=False)
                relay.silence()
                lost = []

                async def ask_and_lose():
                    lost.append(await ask(idempotent=False))

                task_group.start_soon(ask_and_lose)
                await anyio.sleep(0.05)
                outcomes = []

                async def update_until_answered():
                    while not outcomes:
                        self.update(registry, slot.host)
                        await anyio.sleep(0.05)

                task_group.start_soon(update_until_answered)
                outcomes.append(await ask(idempotent=False))
                self.assertEqual(([Outcome.RAN], []), (outcomes, lost))
                task_group.cancel_scope.cancel()

        self.assertEqual(3, self.run_scenario(silence_connection))

    def update(self, registry, host):
        """Let ``registry`` hold one slot of ``host``."""
        registry.update({host.name: "cuts"}, {host.name: host}, lambda name: 1)

    def test_a_request_answered_while_queued_frees_its_slot(self):
        async def answer_early(slot, ask, relay, queues):
            slot.leave()
            now = anyio.current_time()
            request = Request("q", "cut", "", "POST", "/", (), b"x", now, now + 20)
            ticket = Ticket(request, ServiceRule("cut", pool="cuts"))
            ticket.reply(refuse(RefusalReason.DEADLINE, 1.0))
            queues.submit(ticket)
            new_slot = slots.Slot(slot.host, "cuts")
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(
                    slots.serve_slot, new_slot, queues, TargetsSettings()
                )
                self.assertIs(Outcome.RAN, await ask(idempotent=False))
                new_slot.leave()
            self.assertEqual(0, queues._pool("cuts").busy)

        self.assertEqual(1, self.run_scenario(answer_early))

    async def cancel_idle_slot(self):
        server = HttpServer.from_config(f"{LOOPBACK}:0", None)
        host = Host("cut-1", HostKind.EXECUTOR, server.address, zone="a", rack="r")
        slot = slots.Slot(host, "cuts")
        async with anyio.create_task_group() as task_group:
            server.start(task_group)
            async with anyio.create_task_group() as slot_tasks:
                slot_tasks.start_soon(
                    slots.serve_slot, slot, Queues(), TargetsSettings()
                )
                while slot.waiting is None:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                slot_tasks.cancel_scope.cancel()
            await server.close()

    def test_cancelled_slot_closes_its_connection(self):
        gc.collect()
        with warnings.catch_warnings(record=True) as caught:
            warnings.simplefilter("always", ResourceWarning)
            anyio.run(self.cancel_idle_slot)
            gc.collect()
        self.assertEqual([], [str(warning.message) for warning in caught])
