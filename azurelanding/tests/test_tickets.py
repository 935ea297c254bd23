"""Test start permits, and the exclusion of workers where tasks fail."""

import anyio
import testtools

from azurelanding.configuration import Advice
from azurelanding.tests.platform_world import make_job, make_step, until
from azurelanding.tests.test_job_placement import make_room, ready
from azurelanding.tickets import AdviceError, Tickets
from azurelanding.worker_health import SHUT_AFTER, WorkerHealths

ADVICE = Advice(decision=0.01, per_worker=0.001, valid=5.0)


class AdviceStandIn:
    """An advice service that permits the workers in ``good``.

    The first ``failures`` calls fail.
    """

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
    """Steps of queues that need start permits."""

    def find(self, service, advice=ADVICE, tasks=1):
        """Return the usable workers before and after the answer, and their tickets."""
        (step,) = ready(make_job(steps=(make_step(tasks),)))
        capacities = {name: make_room(name) for name in ("v", "w", "x")}

        async def main():
            permits = Tickets(service, lambda queue: advice)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(permits.run)
                answered = anyio.Event()
                first = list(permits.usable(step, capacities, answered.set))
                if advice is not None:
                    with anyio.fail_after(5):
                        await answered.wait()
                        await until(lambda: service.calls and not service.failures)
                        permits.usable(step, capacities, answered.set)
                        await anyio.sleep(0.4)
                usable = [
                    capacity.id for capacity in permits.usable(step, capacities, print)
                ]
                issued = [permits.ticket(step, name) for name in usable]
                task_group.cancel_scope.cancel()
            return first, usable, issued

        return anyio.run(main)

    def test_queue_without_advice_needs_no_permit(self):
        first, usable, issued = self.find(AdviceStandIn([]), advice=None)
        self.assertEqual(3, len(first))
        self.assertEqual(["", "", ""], issued)

    def test_only_permitted_workers_are_usable(self):
        first, usable, issued = self.find(AdviceStandIn(["w"]))
        self.assertEqual(([], ["w"], ["t-w"]), (first, usable, issued))

    def test_failed_call_is_repeated(self):
        service = AdviceStandIn(["w"], failures=1)
        _, usable, _ = self.find(service)
        self.assertEqual(["w"], usable)

    def test_refused_workers_are_not_requested_again(self):
        service = AdviceStandIn([])
        self.find(service)
        self.assertEqual(1, len(service.calls))


class WorkerHealthsTest(testtools.TestCase):
    """Workers on which tasks of several jobs fail."""

    def fail(self, healths, jobs, now=10.0):
        """Record a failure of each of ``jobs`` on one worker."""
        for job in jobs:
            healths.note_failed("w", job, now)

    def test_worker_is_excluded_after_failures_of_different_jobs(self):
        healths = WorkerHealths()
        self.fail(healths, ["a"] * 9)
        self.assertFalse(healths.is_shut("w", 10.0))
        self.fail(healths, [str(n) for n in range(SHUT_AFTER)])
        self.assertTrue(healths.is_shut("w", 10.1))

    def test_exclusion_doubles_each_time(self):
        healths = WorkerHealths()
        jobs = [str(number) for number in range(SHUT_AFTER)]
        self.fail(healths, jobs, 10.0)
        self.assertFalse(healths.is_shut("w", 13.1))
        self.fail(healths, jobs, 20.0)
        self.assertTrue(healths.is_shut("w", 25.9))

    def test_success_resets_the_failures(self):
        healths = WorkerHealths()
        self.fail(healths, ["a", "b"])
        healths.note_done("w")
        self.fail(healths, ["c"])
        self.assertFalse(healths.is_shut("w", 10.0))
