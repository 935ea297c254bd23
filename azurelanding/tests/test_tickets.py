"""Test tickets, and the records of workers that fail."""

import anyio
import testtools

from azurelanding.configuration import Advice
from azurelanding.tests.platform_world import make_job, make_step, until
from azurelanding.tests.test_job_placement import make_room, ready
from azurelanding.tickets import AdviceError, Tickets
from azurelanding.worker_health import SHUT_AFTER, WorkerHealths

ADVICE = Advice(decision=0.01, per_worker=0.001, valid=5.0)


class AskedService:
    """An advice service that allows the workers in ``good``."""

    def __init__(self, good, failures=0):
        self.good = good
        self.failures = failures
        self.calls = []

    async def ask(self, job, occurrence, number, workers, advice):
        self.calls.append(list(workers))
        if self.failures:
            self.failures -= 1
            raise AdviceError("no answer")
        return {worker: f"t-{worker}" for worker in workers if worker in self.good}

    async def close(self):
        pass


class TicketsTest(testtools.TestCase):
    """Steps that need a ticket."""

    def find(self, service, advice=ADVICE, tasks=1):
        """Return the usable rooms and tickets once the service has answered."""
        (step,) = ready(make_job(steps=(make_step(tasks),)))
        rooms = {name: make_room(name) for name in ("v", "w", "x")}

        async def main():
            tickets = Tickets(service, lambda queue: advice)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(tickets.run)
                answered = anyio.Event()
                first = list(tickets.usable(step, rooms, answered.set))
                if advice is not None:
                    with anyio.fail_after(5):
                        await answered.wait()
                        await until(lambda: service.calls and not service.failures)
                        tickets.usable(step, rooms, answered.set)
                        await anyio.sleep(0.4)
                usable = [room.id for room in tickets.usable(step, rooms, print)]
                given = [tickets.ticket(step, name) for name in usable]
                task_group.cancel_scope.cancel()
            return first, usable, given

        return anyio.run(main)

    def test_queue_without_advice_needs_no_ticket(self):
        first, usable, given = self.find(AskedService([]), advice=None)
        self.assertEqual(3, len(first))
        self.assertEqual(["", "", ""], given)

    def test_only_allowed_workers_are_usable(self):
        first, usable, given = self.find(AskedService(["w"]))
        self.assertEqual(([], ["w"], ["t-w"]), (first, usable, given))

    def test_call_without_an_answer_is_repeated(self):
        service = AskedService(["w"], failures=1)
        _, usable, _ = self.find(service)
        self.assertEqual(["w"], usable)

    def test_refused_workers_are_not_asked_for_again(self):
        service = AskedService([])
        self.find(service)
        self.assertEqual(1, len(service.calls))


class WorkerHealthsTest(testtools.TestCase):
    """Workers that fail what others run."""

    def fail(self, healths, jobs, now=10.0):
        """Note a failure of each of ``jobs`` on one worker."""
        for job in jobs:
            healths.note_failed("w", job, now)

    def test_worker_is_shut_after_failures_of_different_jobs(self):
        healths = WorkerHealths()
        self.fail(healths, ["a"] * 9)
        self.assertFalse(healths.is_shut("w", 10.0))
        self.fail(healths, [str(n) for n in range(SHUT_AFTER)])
        self.assertTrue(healths.is_shut("w", 10.1))

    def test_pause_doubles(self):
        healths = WorkerHealths()
        jobs = [str(number) for number in range(SHUT_AFTER)]
        self.fail(healths, jobs, 10.0)
        self.assertFalse(healths.is_shut("w", 13.1))
        self.fail(healths, jobs, 20.0)
        self.assertTrue(healths.is_shut("w", 25.9))

    def test_success_clears_the_record(self):
        healths = WorkerHealths()
        self.fail(healths, ["a", "b"])
        healths.note_done("w")
        self.fail(healths, ["c"])
        self.assertFalse(healths.is_shut("w", 10.0))
