"""Test what callers learn of their jobs while the store does not answer."""

import contextlib

import anyio
import testtools

from azurelanding.job_records import encode_record
from azurelanding.job_service import Acceptance, JobService, StateUnknownError
from azurelanding.jobs import JobPhase
from azurelanding.ledger import submission_records
from azurelanding.pool_stream import TOPIC, PoolStream
from azurelanding.served_metrics import ServedMetrics
from azurelanding.site_state import OperatorFold
from azurelanding.standins.platform_store import ModelClient, StoreModel
from azurelanding.store import Producer
from azurelanding.tests.platform_world import World, make_job, make_queue, until
from azurelanding.tests.test_pool_control import submit, until_phase

QUEUE = make_queue()
TIMEOUT = 0.3


class SlowStore:
    """A store whose reads take ``delay`` seconds; ``page_count`` counts its pages."""

    def __init__(self, delay):
        self.model = StoreModel(1)
        self.delay = delay
        self.page_count = 0

    def client(self):
        """Return a client whose pages and reads are late."""
        return SlowClient(self)


class SlowClient(ModelClient):
    """Client of a ``SlowStore``."""

    def __init__(self, store):
        super().__init__(store.model)
        self.store = store

    async def read(self, *arguments):
        await anyio.sleep(self.store.delay)
        return await super().read(*arguments)

    async def newest(self, *arguments):
        self.store.page_count += 1
        await anyio.sleep(self.store.delay)
        return await super().newest(*arguments)


class SlowReadTest(testtools.TestCase):
    """Looks at jobs and cancellations while the stream can't be read in time."""

    def setUp(self):
        super().setUp()
        self.job = make_job()
        self.store = SlowStore(30.0)
        records = [encode_record(record) for record in submission_records(self.job)]
        partition = self.store.model.partitions[TOPIC, 0]
        partition.append(records, Producer("p", 1), 1)

    def run_with(self, scenario):
        """Run ``scenario(service, stream)`` beside the follower of the stream."""

        async def main():
            stream = PoolStream(0, self.store.client, "d0", lambda partition: 0.8)
            service = JobService(
                lambda pool: stream,
                lambda: [stream],
                lambda: [stream],
                OperatorFold(None),
                ServedMetrics(),
            )
            async with anyio.create_task_group() as task_group:
                stream.start(task_group, ServedMetrics())
                with anyio.fail_after(3.0):
                    await scenario(service, stream)
                task_group.cancel_scope.cancel()

        anyio.run(main)

    def test_look_at_a_job_during_a_load_is_answered_within_its_timeout(self):
        async def scenario(service, stream):
            with testtools.ExpectedException(StateUnknownError):
                await service.phase(QUEUE, self.job.id, TIMEOUT)
            acceptance = await service.cancel(QUEUE, self.job.id, TIMEOUT)
            self.assertIs(Acceptance.REFUSED, acceptance)

        self.run_with(scenario)

    def test_looks_at_a_silent_store_do_not_wait_for_each_other(self):
        async def scenario(service, stream):
            answers = []

            async def look():
                with contextlib.suppress(StateUnknownError):
                    await service.phase(QUEUE, self.job.id, TIMEOUT)
                answers.append(anyio.current_time() - started_at)

            started_at = anyio.current_time()
            async with anyio.create_task_group() as task_group:
                for _ in range(50):
                    task_group.start_soon(look)
            self.assertLess(max(answers), 2 * TIMEOUT)

        self.run_with(scenario)

    def test_load_goes_on_after_the_timeouts_of_those_who_wait_for_it(self):
        # On a thin link each look would start it again, and none would see its end.
        self.store.delay = 0.5

        async def scenario(service, stream):
            phases = []
            while not phases:
                with contextlib.suppress(StateUnknownError):
                    phases.append(await service.phase(QUEUE, self.job.id, 0.2))
            self.assertEqual([JobPhase.QUEUED], phases)
            self.assertEqual(1, self.store.page_count)

        self.run_with(scenario)


class UnansweredRequestTest(testtools.TestCase):
    """Requests that the store does not answer before their callers are told."""

    def run_with(self, scenario):
        world = World(partitions=1, lease=6.0)
        world.configure(QUEUE)
        anyio.run(world.run, scenario, 1)

    def test_submission_whose_caller_was_told_is_not_stored_later(self):
        # It was repeated for as long as it took, when its job had run elsewhere.
        job = make_job()

        async def scenario(world):
            (daemon,) = world.daemons
            await until(daemon.is_ready)
            world.store.knobs.delay_appends = 1_000
            acceptance = await daemon.service.submit(job, 0.3)
            self.assertIs(Acceptance.UNKNOWN, acceptance)
            await anyio.sleep(0.5)
            world.store.knobs.delay_appends = 0
            await anyio.sleep(0.5)
            world.store.release()
            phase = await daemon.service.phase(QUEUE, job.id, 5.0)
            self.assertIsNone(phase)

        self.run_with(scenario)

    def test_cancellation_whose_caller_was_told_is_stored_later(self):
        job = make_job()

        async def scenario(world):
            (daemon,) = world.daemons
            await submit(world, job)
            world.store.knobs.delay_appends = 1_000
            acceptance = await daemon.service.cancel(QUEUE, job.id, 0.3)
            self.assertIs(Acceptance.UNKNOWN, acceptance)
            world.store.knobs.delay_appends = 0
            await until_phase(world, job, JobPhase.CANCELLED)

        self.run_with(scenario)


class FullTest(testtools.TestCase):
    """Submissions to a daemon whose jobs take as much memory as they may."""

    def run_with(self, scenario):
        world = World(partitions=1, lease=6.0)
        world.configure(QUEUE)
        anyio.run(world.run, scenario, 1)

    async def fill(self, world):
        """Submit jobs that wait until one is refused; return its id."""
        (daemon,) = world.daemons
        await until(daemon.is_ready)
        daemon.service.max_held = 20_000
        for number in range(20):
            job = make_job(f"{number:016x}")
            if await daemon.service.submit(job, 3.0) is Acceptance.REFUSED:
                return job.id
        return self.fail("all were accepted")

    def test_job_without_room_is_refused_and_never_stored(self):
        async def scenario(world):
            (daemon,) = world.daemons
            refused = await self.fill(world)
            stored = world.store.partitions[TOPIC, 0].newest
            self.assertNotIn(f"job/{refused}", stored)
            self.assertIn("job/" + "0" * 16, stored)
            self.assertIsNone(await daemon.service.phase(QUEUE, refused, 3.0))
            # A repeat of an accepted one is accepted all the same.
            again = await daemon.service.submit(make_job(), 3.0)
            self.assertIs(Acceptance.ACCEPTED, again)

        self.run_with(scenario)

    def test_cancellations_of_jobs_that_are_not_known_need_room_too(self):
        async def scenario(world):
            (daemon,) = world.daemons
            await until(daemon.is_ready)
            daemon.service.max_held = 5_000
            outcomes = [
                await daemon.service.cancel(QUEUE, f"{number:016x}", 3.0)
                for number in range(20)
            ]
            self.assertIs(Acceptance.NO_JOB, outcomes[0])
            self.assertIs(Acceptance.REFUSED, outcomes[-1])

        self.run_with(scenario)

    def test_there_is_room_again_once_jobs_have_ended(self):
        async def scenario(world):
            (daemon,) = world.daemons
            refused = await self.fill(world)
            for number in range(int(refused, 16)):
                await daemon.service.cancel(QUEUE, f"{number:016x}", 3.0)
            while True:
                job = make_job(refused[:-2] + "ff")
                if await daemon.service.submit(job, 3.0) is Acceptance.ACCEPTED:
                    return
                await anyio.sleep(0.05)

        self.run_with(scenario)
