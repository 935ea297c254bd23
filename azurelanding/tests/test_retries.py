"""Tests of the retry budget and of setting failed targets aside."""

import anyio
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from azurelanding import retries
from azurelanding.entry import EntryDaemon
from azurelanding.hosts import Host, HostKind
from azurelanding.requests import Answer, Outcome
from azurelanding.retries import RetryBudget, TargetHealth
from azurelanding.settings import TargetsSettings, parse_settings
from azurelanding.targets import slots
from azurelanding.targets.slots import Slot, serve_slot
from azurelanding.tests.test_admission import AsyncQueuesTest, make_ticket

FIXED = settings(derandomize=True, deadline=None, max_examples=100)


class RetryBudgetTest(testtools.TestCase):
    """Retries in proportion to first attempts."""

    @FIXED
    @given(st.lists(st.booleans(), max_size=400))
    def test_retries_stay_within_the_budget(self, steps):
        budget, first, spent = RetryBudget(), 0, 0
        for is_first in steps:
            if is_first:
                budget.credit_first_attempt()
                first += 1
            else:
                spent += budget.spend()
        limit = retries.BUDGET_PER_FIRST_ATTEMPT * first + retries.MAX_BUDGET
        self.assertLessEqual(spent, limit)


class TargetHealthTest(testtools.TestCase):
    """Setting a failing target aside and probing it."""

    def fail(self, health, times, now=0.0):
        for _ in range(times):
            health.record_failure(now)

    def test_a_success_resets_the_failure_count(self):
        health = TargetHealth()
        self.fail(health, retries.MAX_CONSECUTIVE_FAILURES - 1)
        health.record_success()
        self.fail(health, retries.MAX_CONSECUTIVE_FAILURES - 1)
        self.assertEqual(0.0, health.request_delay(0.0))

    def test_one_slot_probes_and_the_cooldown_doubles(self):
        health = TargetHealth()
        self.fail(health, retries.MAX_CONSECUTIVE_FAILURES)
        now, cooldowns = 0.0, []
        for _ in range(8):
            cooldowns.append(health.request_delay(now))
            now += cooldowns[-1]
            self.assertEqual(0.0, health.request_delay(now))
            self.assertGreater(health.request_delay(now), 0.0)
            health.next_probe_at = now
            health.record_failure(now)
        self.assertEqual([0.5, 1.0, 2.0, 4.0, 8.0, 15.0, 15.0, 15.0], cooldowns)
        health.record_success()
        self.assertEqual(0.0, health.request_delay(now))

    def test_no_target_is_set_aside_when_more_than_half_of_the_pool_is_failing(self):
        pool = [TargetHealth() for _ in range(4)]
        for health in pool[:2]:
            self.fail(health, retries.MAX_CONSECUTIVE_FAILURES)
        self.assertTrue(retries.is_set_aside(pool[0], pool))
        self.fail(pool[2], retries.MAX_CONSECUTIVE_FAILURES)
        self.assertFalse(retries.is_set_aside(pool[0], pool))

    def test_an_entry_reports_the_targets_that_it_has_set_aside(self):
        text = "name: entry-1\navailability_zone: a\n"
        addresses = ("callers", "operators", "entries")
        text += "".join(f"{x}: {{address: '127.0.0.1:0'}}\n" for x in addresses)
        entry = EntryDaemon(parse_settings(text))
        for server in (entry.callers_server, entry.operators_server):
            self.addCleanup(server.listener.close)
        pool_health = entry.registry.health["cuts"]
        pool_health.update({name: TargetHealth() for name in ("cut-1", "cut-2")})
        self.assertEqual((), entry.set_aside())
        self.fail(pool_health["cut-1"], retries.MAX_CONSECUTIVE_FAILURES)
        self.assertEqual(("cut-1",), entry.set_aside())


class FakeConnection:
    """A connection that answers every request with status 500."""

    idle = usable = True
    verified_at = float("inf")
    unanswered = False
    sent = 0

    @classmethod
    async def connect(cls, _host, _timeout):
        return cls()

    async def exchange(self, _request, _attempt, may_write):
        may_write()
        type(self).sent += 1
        return Answer(Outcome.RAN, 500)

    async def close(self):
        pass


class SilentConnection(FakeConnection):
    """A connection that never gets an answer."""

    unanswered = True

    async def exchange(self, _request, _attempt, may_write):
        may_write()
        await anyio.sleep_forever()


def make_host(name, zone="zone-a"):
    """Return an executor host in ``zone``."""
    return Host(name, HostKind.EXECUTOR, "", zone, "")


class SlotTest(AsyncQueuesTest):
    """Slots whose targets fail, or whose callers have left."""

    async def serve(self, queues, task_group, health=None):
        slot = Slot(make_host("shop-1"), "storefront")
        if health is not None:
            slot.health = health
            slot.pool_health = {"shop-1": health, "shop-2": TargetHealth()}
        task_group.start_soon(serve_slot, slot, queues, TargetsSettings())
        await anyio.wait_all_tasks_blocked()

    def test_a_ticket_answered_before_it_is_sent_frees_its_slot(self):
        async def check(queues):
            self.patch(slots, "Connection", FakeConnection)
            async with anyio.create_task_group() as task_group:
                await self.serve(queues, task_group)
                ticket = make_ticket("shop")
                queues.submit(ticket)
                ticket.reply(Answer(Outcome.NOT_RUN, 503))
                await anyio.wait_all_tasks_blocked()
                pool = queues.pools["storefront"]
                self.assertEqual((1, 0), (pool.free, pool.busy))
                task_group.cancel_scope.cancel()

        self.run_async(check)

    def test_a_target_that_fails_all_requests_is_set_aside(self):
        async def check(queues):
            self.patch(slots, "Connection", FakeConnection)
            self.patch(FakeConnection, "sent", 0)
            async with anyio.create_task_group() as task_group:
                await self.serve(queues, task_group, TargetHealth())
                for _ in range(20):
                    queues.submit(make_ticket("shop"))
                await anyio.sleep(0.05)
                self.assertEqual(retries.MAX_CONSECUTIVE_FAILURES, FakeConnection.sent)
                task_group.cancel_scope.cancel()

        self.run_async(check)

    def test_a_target_that_never_answers_is_set_aside(self):
        async def check(queues):
            self.patch(slots, "Connection", SilentConnection)
            health = TargetHealth()
            async with anyio.create_task_group() as task_group:
                await self.serve(queues, task_group, health)
                for left in range(retries.MAX_CONSECUTIVE_FAILURES, 0, -1):
                    self.assertIsNone(health.next_probe_at, left)
                    ticket = make_ticket("preview")
                    ticket.attempts = slots.MAX_ATTEMPTS
                    queues.submit(ticket)
                    await anyio.wait_all_tasks_blocked()
                    ticket.cancel_exchange()
                    await anyio.wait_all_tasks_blocked()
                self.assertIsNotNone(health.next_probe_at)
                task_group.cancel_scope.cancel()

        self.run_async(check)

    def test_a_target_is_not_set_aside_when_callers_leave(self):
        async def check(queues):
            self.patch(slots, "Connection", SilentConnection)
            health = TargetHealth()
            async with anyio.create_task_group() as task_group:
                await self.serve(queues, task_group, health)
                for _ in range(2 * retries.MAX_CONSECUTIVE_FAILURES):
                    ticket = make_ticket("preview")
                    queues.submit(ticket)
                    await anyio.wait_all_tasks_blocked()
                    ticket.reply(Answer(Outcome.NOT_RUN, 503))
                    ticket.cancel_exchange()
                    await anyio.wait_all_tasks_blocked()
                self.assertIsNone(health.next_probe_at)
                task_group.cancel_scope.cancel()

        self.run_async(check)

    def test_a_retry_goes_to_another_zone(self):
        async def check(queues):
            hosts = [make_host("s-1"), make_host("s-2"), make_host("s-3", "zone-b")]
            hosts_with_work = []

            async def take(host):
                await queues.take("storefront", host=host)
                hosts_with_work.append(host.name)

            async with anyio.create_task_group() as task_group:
                for host in hosts:
                    task_group.start_soon(take, host)
                await anyio.wait_all_tasks_blocked()
                ticket = make_ticket("shop")
                ticket.attempts = 1
                ticket.tried_hosts.append(hosts[0])
                queues.requeue(ticket)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(["s-3"], hosts_with_work)
                task_group.cancel_scope.cancel()

        self.run_async(check)
