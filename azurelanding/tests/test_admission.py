"""Tests of fair queuing, floors, lending and refusals on admission."""

import anyio
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from azurelanding import admission
from azurelanding.admission import Queues, Ticket
from azurelanding.fair_queue import FairQueue
from azurelanding.requests import Answer, Outcome, RefusalReason, Request
from azurelanding.rules_parser import read_rules

RULES = read_rules("""
pool previews hosts=preview-*  # Marisol
pool storefront hosts=store-* spare=yes  # Ines
service preview pool=previews urgency=urgent deadline=2s borrows=storefront  # Marisol
service shop pool=storefront urgency=standard deadline=5s floor=50%  # Ines
service catalogue pool=storefront urgency=deferrable deadline=30s floor=50%  # Ines
service archive pool=previews urgency=deferrable deadline=30s borrows=storefront  # Ines
team guild share=3  # Marisol
team swaps share=1  # Ines
""")
SHARES = {"a": 1.0, "b": 2.0, "c": 4.0}
FIXED = settings(derandomize=True, deadline=None, max_examples=150)
STEPS = st.lists(
    st.tuples(st.sampled_from(["push", "front", "pop", "remove"]), st.integers(0, 99)),
    max_size=80,
)


class NaiveQueue:
    """Start-time fair queuing over a plain list, with a full scan for each choice."""

    def __init__(self):
        self.waiting = []
        self.tags = {}
        self.virtual_time = 0.0

    def push(self, ticket, team, front):
        if team not in [name for _, name in self.waiting]:
            self.tags[team] = max(self.tags.get(team, 0.0), self.virtual_time)
        self.waiting.insert(0 if front else len(self.waiting), (ticket, team))

    def pop(self):
        teams = sorted({team for _, team in self.waiting})
        team = min(teams, key=lambda name: (self.tags[name], name))
        self.virtual_time = self.tags[team]
        self.tags[team] += 1.0 / SHARES[team]
        found = next(pair for pair in self.waiting if pair[1] == team)
        self.waiting.remove(found)
        return found[0]


class FairQueueTest(testtools.TestCase):
    """``FairQueue`` compared with a naive implementation, and its limits."""

    @FIXED
    @given(STEPS)
    def test_agrees_with_the_naive_queue(self, steps):
        queue, naive = FairQueue(), NaiveQueue()
        for number, (action, pick) in enumerate(steps):
            team = "abc"[pick % 3]
            if action in ("push", "front"):
                front = action == "front"
                queue.push(number, team, SHARES[team], front)
                naive.push(number, team, front)
            elif action == "pop" and naive.waiting:
                self.assertEqual(naive.pop(), queue.pop(1.0))
            elif action == "remove" and naive.waiting:
                ticket, team = naive.waiting.pop(pick % len(naive.waiting))
                self.assertTrue(queue.remove(ticket, team))
                self.assertFalse(queue.remove(ticket, team))
            self.assertEqual(len(naive.waiting), len(queue))

    def test_slot_time_not_request_count_follows_the_shares(self):
        queue = FairQueue()
        used = {"long": 0.0, "short": 0.0}
        seconds = {"long": 4.0, "short": 1.0}
        for number in range(400):
            queue.push(("short", number), "short", 1.0)
            queue.push(("long", number), "long", 1.0)
        for team, cost in seconds.items():
            queue.record_run_time(team, cost)
        for _ in range(300):
            team, _ = queue.pop(1.0)
            used[team] += seconds[team]
        self.assertLess(abs(used["long"] - used["short"]), 8.0)

    def test_stale_heap_entries_of_removed_tickets_are_bounded(self):
        queue = FairQueue()
        for number in range(5000):
            queue.push(number, "a", 1.0)
            queue.remove(number, "a")
        self.assertLess(len(queue.heap), 200)


def make_ticket(service, team="guild", timeout=None, body=b""):
    """Return a ticket of a request received now."""
    rule = RULES.services[service]
    now = anyio.current_time()
    deadline = now + (timeout or rule.deadline)
    request = Request("", service, team, "POST", "/", (), body, now, deadline)
    return Ticket(request, rule)


class AsyncQueuesTest(testtools.TestCase):
    """Runs a test with queues in an event loop."""

    def run_async(self, function):
        async def run():
            queues = Queues()
            held = {"previews": 8, "storefront": 8}
            queues.update(RULES, held, anyio.current_time())
            with anyio.fail_after(10.0):
                await function(queues)

        anyio.run(run)


class QueuesTest(AsyncQueuesTest):
    """Which request a free slot gets, and which requests are refused."""

    async def fill(self, queues, pool, count, service, run_time=0.1):
        """Occupy ``count`` slots of ``pool`` with requests of ``service``."""
        queues.services[service].run_time.observe(run_time)
        taken = []
        for _ in range(count):
            self.assertIsNone(queues.submit(make_ticket(service)))
            taken.append(await queues.take(pool))
        return taken

    def test_a_flood_of_a_borrower_leaves_each_owner_its_floor(self):
        async def check(queues):
            for _ in range(50):
                queues.submit(make_ticket("preview"))
            for _ in range(20):
                queues.submit(make_ticket("catalogue"))
                queues.submit(make_ticket("shop"))
            taken = [await queues.take("storefront") for _ in range(8)]
            names = [ticket.rule.name for ticket in taken]
            self.assertEqual(4, names.count("shop"))
            self.assertEqual(4, names.count("catalogue"))

        self.run_async(check)

    def test_idle_slots_are_lent_to_the_most_urgent_service(self):
        async def check(queues):
            queues.submit(make_ticket("archive"))
            queues.submit(make_ticket("preview"))
            first = await queues.take("storefront")
            self.assertEqual("preview", first.rule.name)

        self.run_async(check)

    def test_a_borrower_whose_own_pool_lends_does_not_displace_owners(self):
        async def check(queues):
            for service in ("shop", "shop", "shop", "preview"):
                queues.submit(make_ticket(service))
            pool = queues.pools["storefront"]
            await queues.take("storefront")
            own_pool = queues.pools["previews"]
            own_pool.borrowers.append(queues.services["archive"])
            queues.services["archive"].add_slots_in_use("previews", 1)
            pool.free += 1
            self.assertEqual("shop", queues.pick(pool, 0.0).rule.name)
            queues.services["archive"].add_slots_in_use("previews", -1)
            self.assertEqual("preview", queues.pick(pool, 0.0).rule.name)

        self.run_async(check)

    def test_long_requests_borrow_only_slots_not_needed_by_owners(self):
        async def check(queues):
            owned = await self.fill(queues, "storefront", 3, "shop")
            queues.services["archive"].run_time.observe(20.0)
            for ticket in owned:
                ticket.reply(Answer(Outcome.RAN, 200))
                queues.finish("storefront", ticket)
            async with anyio.create_task_group() as task_group:
                for _ in range(8):
                    task_group.start_soon(queues.take, "storefront")
                await anyio.wait_all_tasks_blocked()
                for _ in range(8):
                    queues.submit(make_ticket("archive"))
                self.assertEqual(5, queues.pools["storefront"].lent())
                task_group.cancel_scope.cancel()

        self.run_async(check)

    def test_a_request_that_cannot_meet_its_deadline_is_refused_on_admission(self):
        async def check(queues):
            await self.fill(queues, "previews", 2, "preview", run_time=0.9)
            self.assertIsNone(queues.submit(make_ticket("preview")))
            self.assertIsNone(queues.submit(make_ticket("preview")))
            refusal = queues.submit(make_ticket("preview"))
            self.assertIs(Outcome.NOT_RUN, refusal.outcome)
            self.assertIs(RefusalReason.DEADLINE, refusal.reason)
            self.assertEqual(2, len(queues.services["preview"].waiting))

        self.run_async(check)

    def test_retry_after_grows_with_the_queue(self):
        async def check(queues):
            await self.fill(queues, "previews", 1, "preview", run_time=0.5)
            ticket = make_ticket("preview", timeout=0.6)
            self.assertEqual(1.0, queues.retry_after(ticket))
            for _ in range(2):
                queues.submit(make_ticket("preview"))
            delays = [queues.retry_after(make_ticket("preview", timeout=0.01))]
            queues.submit(make_ticket("preview"))
            delays.append(queues.retry_after(make_ticket("preview", timeout=0.01)))
            self.assertAlmostEqual(1.99, delays[0], places=2)
            self.assertGreaterEqual(delays[1], delays[0])

        self.run_async(check)

    def test_a_request_is_refused_without_target_when_no_pool_has_slots(self):
        async def check(queues):
            queues.update(RULES, {}, anyio.current_time())
            refusal = queues.submit(make_ticket("preview"))
            self.assertIs(RefusalReason.NO_TARGET, refusal.reason)

        self.run_async(check)

    def test_the_ticket_of_a_cancelled_slot_is_queued_again(self):
        async def check(queues):
            ticket = make_ticket("shop")
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(queues.take, "storefront")
                await anyio.wait_all_tasks_blocked()
                task_group.cancel_scope.cancel()
                queues.submit(ticket)
                self.assertEqual(1, queues.pools["storefront"].busy)
            pool = queues.pools["storefront"]
            self.assertEqual((0, 0), (pool.busy, pool.free))
            self.assertIs(ticket, await queues.take("storefront"))

        self.run_async(check)

    def test_one_service_fills_at_most_half_of_the_queue_bytes(self):
        async def check(queues):
            self.patch(admission, "MAX_QUEUED_BYTES", 100_000)
            await self.fill(queues, "storefront", 1, "shop")
            body = bytes(10_000)
            answers = [queues.submit(make_ticket("shop", body=body)) for _ in range(9)]
            accepted = answers.count(None)
            self.assertIs(RefusalReason.QUEUE_FULL, answers[-1].reason)
            held = queues.waiting_bytes
            self.assertLessEqual(held, 50_000)
            ticket = make_ticket("catalogue", body=body)
            self.assertIsNone(queues.submit(ticket))
            self.assertTrue(queues.withdraw(ticket))
            self.assertEqual((held, accepted), (queues.waiting_bytes, 4))

        self.run_async(check)

    def test_a_ticket_without_enough_time_left_is_refused_when_dequeued(self):
        async def check(queues):
            await self.fill(queues, "storefront", 1, "shop", run_time=0.01)
            late = make_ticket("shop", timeout=0.04)
            queues.submit(late)
            queues.services["shop"].run_time.observe(4.0)
            await anyio.sleep(0.03)
            fresh = make_ticket("shop")
            queues.submit(fresh)
            self.assertIs(fresh, await queues.take("storefront"))
            self.assertIs(RefusalReason.DEADLINE, late.answer.reason)

        self.run_async(check)
