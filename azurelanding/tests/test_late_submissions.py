"""Test jobs that may have been submitted for two pools, as their queue has moved."""

import time

import anyio
import attrs
import testtools

from azurelanding.job_pins import JobPinned
from azurelanding.job_records import encode_record
from azurelanding.job_service import Acceptance
from azurelanding.jobs import JobOutcome, JobPhase, JobState, TaskId, TaskState
from azurelanding.late_submissions import LateSubmissions, Resolution, resolve
from azurelanding.ledger import submission_records
from azurelanding.membership import partition_of
from azurelanding.store import Producer
from azurelanding.tests.platform_world import (
    World,
    make_job,
    make_queue,
    make_step,
    until,
)
from azurelanding.tests.test_pool_control import count_starts, submit, until_phase

POOLS = ("cuts", "labels")
PARTITIONS = 4


def started(state):
    """Return a copy of ``state`` with a task of which a start was decided."""
    copy = state.copy()
    copy.set_task(TaskId(state.job.id, 0, 0, 0), TaskState(1, {1: "w"}))
    return copy


class ResolveTest(testtools.TestCase):
    """The decision on one submission, by the others of the same job."""

    def test_resolution(self):
        waiting = JobState(make_job())
        ended = JobState(make_job(), outcome=JobOutcome.COMPLETED)
        cancelled = JobState(make_job(), cancelled_at=1.0)
        for expected, *others in (
            (Resolution.START,),
            (Resolution.WITHDRAW, (1, waiting)),
            (Resolution.WAIT, (3, waiting)),
            (Resolution.WITHDRAW, (3, started(waiting))),
            (Resolution.WITHDRAW, (3, ended)),
            (Resolution.WITHDRAW, (3, cancelled)),
            (Resolution.WITHDRAW, (3, waiting), (1, waiting)),
            (Resolution.WITHDRAW, (3, waiting), (5, started(waiting))),
        ):
            self.assertIs(expected, resolve(2, others))

    def test_one_of_two_unstarted_submissions_stays(self):
        waiting = JobState(make_job())
        resolutions = {resolve(1, [(2, waiting)]), resolve(2, [(1, waiting)])}
        self.assertEqual({Resolution.WAIT, Resolution.WITHDRAW}, resolutions)


class LateSubmissionTest(testtools.TestCase):
    """An append without an answer is carried out after its queue has moved."""

    def make_world(self, left, entered, workers):
        """Return a world whose queue is to move from pool ``left`` to ``entered``."""
        self.job = make_job(pool=left, steps=(make_step(2),))
        self.again = attrs.evolve(self.job, pool=entered)
        self.left, self.entered = left, entered
        self.queue = make_queue(pool=entered)
        partitions = {partition_of(pool, PARTITIONS) for pool in POOLS}
        self.assertEqual(2, len(partitions))
        self.world = World(partitions=PARTITIONS, lease=6.0)
        for number, pool in enumerate(workers):
            self.world.add_worker(f"w{number}", pool)
        self.world.configure(make_queue(pool=left), pools=POOLS)
        return self.world

    async def move_queue(self, daemons=None):
        """Move the queue, and wait until ``daemons`` know."""
        self.world.configure(self.queue, pools=POOLS, version=3)
        for daemon in daemons or self.world.daemons:
            await until(lambda d=daemon: d.operator.configuration.version == 3)

    def partition(self):
        """Return the store's partition of the pool that the queue has left."""
        number = partition_of(self.left, PARTITIONS)
        return self.world.store.partitions["jobs", number]

    def store_late(self):
        """Carry out the append of the first submission."""
        job = attrs.evolve(self.job, configuration=1)
        records = [encode_record(record) for record in submission_records(job)]
        self.partition().append(records, Producer("late", 1), 1)

    async def until_controlled(self):
        """Wait until a daemon controls the pool that the queue leaves."""
        world = self.world
        await until(lambda: any(self.left in d.controllers for d in world.daemons))

    def read_copies(self, daemon):
        """Return the states of the job that a daemon has read."""
        states = [stream.find(self.job.id) for stream in daemon.streams.values()]
        return [state for state in states if state is not None]

    def starts(self):
        """Return how often each task was started."""
        return list(count_starts(self.world, self.job).values())

    def run_in_both_directions(self, scenario, workers=POOLS, daemons=2):
        """Run ``scenario(world)`` with a move to the other pool, and one back."""
        for left, entered in (POOLS, POOLS[::-1]):
            world = self.make_world(left, entered, workers)
            anyio.run(world.run, scenario, daemons)
            self.assertEqual([1, 1], self.starts())

    def test_submission_stored_after_its_repeat_has_run_starts_nothing(self):
        # Its tasks ran a second time in the earlier pool.
        async def scenario(world):
            await self.until_controlled()
            await self.move_queue()
            await submit(world, self.again)
            await until_phase(world, self.again, JobPhase.COMPLETED)
            self.store_late()
            await until(lambda: f"job/{self.job.id}" not in self.partition().newest)
            phase = await world.daemons[1].service.phase(self.queue, self.job.id, 5.0)
            self.assertIs(JobPhase.COMPLETED, phase)

        self.run_in_both_directions(scenario)

    def test_submission_stored_while_its_repeat_waits_runs_once(self):
        async def scenario(world):
            await self.until_controlled()
            await self.move_queue()
            await submit(world, self.again)
            self.store_late()
            await anyio.sleep(1.0)
            world.add_worker("late", self.entered)
            await until_phase(world, self.again, JobPhase.COMPLETED)
            await anyio.sleep(1.0)

        for left, entered in (POOLS, POOLS[::-1]):
            world = self.make_world(left, entered, (left,))
            anyio.run(world.run, scenario, 2)
            self.assertEqual([1, 1], self.starts())

    def test_submission_that_was_never_repeated_runs_where_it_is_stored(self):
        async def scenario(world):
            await self.until_controlled()
            await self.move_queue()
            self.store_late()
            await until_phase(world, self.job, JobPhase.COMPLETED)

        self.run_in_both_directions(scenario)

    def test_repeat_that_is_stored_after_the_late_submission_runs_once(self):
        # The repeat was looked up before the late submission, and stored after it.
        async def scenario(world):
            await self.until_controlled()
            await self.move_queue()
            self.store_late()
            await until(self.starts)
            number = partition_of(self.entered, PARTITIONS)
            job = attrs.evolve(self.again, configuration=3)
            records = [encode_record(record) for record in submission_records(job)]
            partition = world.store.partitions["jobs", number]
            partition.append(records, Producer("repeat", 1), 1)
            await until_phase(world, self.job, JobPhase.COMPLETED)
            await anyio.sleep(1.0)

        self.run_in_both_directions(scenario)

    def test_controller_that_does_not_know_of_the_move_starts_nothing(self):
        # The move is in the stream before the repeat is accepted.
        async def scenario(world):
            await self.until_controlled()
            behind, other = world.daemons
            if self.left in other.controllers:
                behind, other = other, behind
            behind.operator.apply_stored = lambda record: None
            await self.move_queue([other])
            acceptance = await other.service.submit(self.again, 5.0)
            self.assertIs(Acceptance.ACCEPTED, acceptance)
            self.store_late()
            number = world.daemons.index(other)
            await until_phase(world, self.again, JobPhase.COMPLETED, number)
            await anyio.sleep(1.0)

        self.run_in_both_directions(scenario)

    def test_submission_stored_late_at_a_controller_that_started_after_the_move(self):
        # It has seen one configuration only.
        async def run_daemon(world, incarnation, scenario):
            async with anyio.create_task_group() as task_group:
                await world.daemon("d0", incarnation).start(task_group)
                with anyio.fail_after(15.0):
                    await scenario(world.daemons[-1])
                task_group.cancel_scope.cancel()

        async def before(daemon):
            await self.until_controlled()
            await self.move_queue()
            await submit(self.world, self.again)
            await until_phase(self.world, self.again, JobPhase.COMPLETED)

        async def after(daemon):
            await until(lambda: daemon.operator.configuration is not None)
            self.store_late()
            await until(lambda: f"job/{self.job.id}" not in self.partition().newest)
            await anyio.sleep(0.5)

        async def main(world):
            await run_daemon(world, "1", before)
            await run_daemon(world, "2", after)

        for left, entered in (POOLS, POOLS[::-1]):
            anyio.run(main, self.make_world(left, entered, POOLS))
            self.assertEqual([1, 1], self.starts())

    def test_another_accounts_job_with_the_same_id_runs_and_is_not_cancelled(self):
        # Both were accepted; each account sees its own.
        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.run_time = 30.0
            await self.until_controlled()
            await self.move_queue()
            await submit(world, attrs.evolve(self.again, account="a"))
            await until(lambda: self.starts() == [1, 1])
            self.job = attrs.evolve(self.job, account="b")
            self.store_late()
            await until(lambda: self.starts() == [2, 2])
            (daemon,) = world.daemons
            await daemon.service.cancel(self.queue, self.job.id, 5.0, "a")
            for account, expected in (("a", True), ("b", False)):
                (state,) = (
                    state
                    for state in self.read_copies(daemon)
                    if state.job.account == account
                )
                self.assertEqual(expected, state.cancelled_at is not None, account)

        world = self.make_world(*POOLS, workers=POOLS)
        anyio.run(world.run, scenario, 1)

    def test_pin_of_a_known_job_is_dropped(self):
        # It would withhold the job from readers that load the stream.
        async def scenario(world):
            await self.until_controlled()
            await submit(world, self.job)
            pin = JobPinned(self.job.id, self.entered, 7000, 1, time.time())
            self.partition().append([encode_record(pin)], Producer("late", 1), 1)
            await until(lambda: f"pin/{pin.name}" not in self.partition().newest)
            await until_phase(world, self.job, JobPhase.COMPLETED)

        self.run_in_both_directions(scenario)

    def test_cancellation_is_stored_for_each_submission(self):
        # That of the late one alone would leave the other running.
        self.patch(LateSubmissions, "run", lambda self: anyio.sleep_forever())

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.run_time = 30.0
            await self.until_controlled()
            await self.move_queue()
            await submit(world, self.again)
            await until(self.starts)
            self.store_late()
            (daemon,) = world.daemons
            await until(lambda: len(self.read_copies(daemon)) == 2)
            await daemon.service.cancel(self.queue, self.job.id, 5.0)
            copies = self.read_copies(daemon)
            self.assertTrue(all(state.cancelled_at for state in copies))

        self.run_in_both_directions(scenario, daemons=1)

    def test_cancellation_reaches_both_submissions(self):
        async def scenario(world):
            await self.until_controlled()
            await self.move_queue()
            await submit(world, self.again)
            self.store_late()
            service = world.daemons[0].service
            await service.cancel(self.queue, self.job.id, 5.0)
            world.add_worker("late", self.entered)
            await until_phase(world, self.again, JobPhase.CANCELLED)
            await anyio.sleep(0.5)

        world = self.make_world(*POOLS, workers=())
        anyio.run(world.run, scenario, 2)
        self.assertEqual([], self.starts())
