"""Test the guarantees for jobs on complete daemons with simulated services."""

import anyio
import attrs
import testtools

from azurelanding import site_daemon
from azurelanding.fleet_workers import WorkerPhase
from azurelanding.job_service import Acceptance
from azurelanding.jobs import JobPhase
from azurelanding.membership import partition_of
from azurelanding.tasks import Resources
from azurelanding.tests.platform_world import (
    World,
    make_job,
    make_queue,
    make_step,
    until,
)
from azurelanding.tests.test_pool_control import (
    count_starts,
    submit,
    take_over,
    until_phase,
)

QUEUE = make_queue()


def make_world(*workers, **fields):
    """Return a world with one pool of ``workers``."""
    world = World(**fields)
    for name in workers:
        world.add_worker(name)
    world.configure(QUEUE)
    return world


class RecoveryTest(testtools.TestCase):
    """All daemons fail at the same time and new ones start."""

    def test_running_jobs_continue_and_new_jobs_are_accepted(self):
        before = make_job("a" * 16, steps=(make_step(3), make_step(2, after=(0,))))
        after = make_job("b" * 16, steps=(make_step(2),))
        world = make_world("v", "w", lease=6.0)

        async def run_daemons(names, incarnation, scenario):
            async with anyio.create_task_group() as task_group:
                for name in names:
                    await world.daemon(name, incarnation).start(task_group)
                await scenario()
                task_group.cancel_scope.cancel()

        async def first():
            for model in world.fleet.models.values():
                model.knobs.run_time = 0.6
            await submit(world, before)
            await until(lambda: len(count_starts(world, before)) == 3)

        async def second():
            with anyio.fail_after(5.0):
                await until_phase(world, before, JobPhase.COMPLETED, 3)
                await submit(world, after, 2)
                await until_phase(world, after, JobPhase.COMPLETED, 2)

        async def main():
            await run_daemons(("d0", "d1"), "1", first)
            await run_daemons(("d0", "d1"), "2", second)

        anyio.run(main)
        self.assertEqual([1] * 5, list(count_starts(world, before).values()))
        self.assertEqual([1] * 2, list(count_starts(world, after).values()))


class MovedQueueTest(testtools.TestCase):
    """A queue has moved to another pool, and no queue uses the earlier one."""

    def setUp(self):
        super().setUp()
        self.job = make_job()
        self.moved = make_queue(pool="labels")
        self.world = make_world("v", lease=6.0)
        partitions = {partition_of(pool, 4) for pool in (QUEUE.pool, self.moved.pool)}
        self.assertEqual(2, len(partitions))

    async def start_job(self, task_group):
        """Start a job and move its queue; the next daemon knows only the new pool."""
        await self.world.daemon("d0").start(task_group)
        self.world.fleet.models["v"].knobs.run_time = 1.0
        await submit(self.world, self.job)
        await until(lambda: count_starts(self.world, self.job))
        self.world.configure(self.moved, pools=(QUEUE.pool,))

    async def start_daemon(self, task_group):
        daemon = self.world.daemon("d1")
        await daemon.start(task_group)
        await until(lambda: daemon.operator.configuration is not None)
        return daemon

    def test_daemon_that_starts_after_the_move_knows_the_job(self):
        async def main():
            async with anyio.create_task_group() as task_group:
                await self.start_job(task_group)
                daemon = await self.start_daemon(task_group)
                phase = await daemon.service.phase(self.moved, self.job.id, 5.0)
                task_group.cancel_scope.cancel()
            return phase

        self.assertIsNotNone(anyio.run(main))

    def test_daemon_that_starts_after_the_move_completes_the_job(self):
        async def main():
            async with anyio.create_task_group() as task_group:
                await self.start_job(task_group)
                task_group.cancel_scope.cancel()
            async with anyio.create_task_group() as task_group:
                daemon = await self.start_daemon(task_group)
                partition = self.world.store.partitions[
                    "jobs", partition_of(QUEUE.pool, 4)
                ]
                await until(lambda: f"end/{self.job.id}" in partition.newest)
                self.assertEqual({QUEUE.pool, "labels"}, set(daemon.controllers))
                task_group.cancel_scope.cancel()

        anyio.run(main)

    def test_submission_repeated_at_a_daemon_that_controls_neither_pool_runs_once(self):
        # A process that had started after the move took the job for a new one.
        again = attrs.evolve(self.job, pool=self.moved.pool)
        self.world.add_worker("w", self.moved.pool)

        async def main():
            async with anyio.create_task_group() as task_group:
                await self.start_job(task_group)
                daemon = await self.start_daemon(task_group)
                acceptance = await daemon.service.submit(again, 5.0)
                self.assertIs(Acceptance.ACCEPTED, acceptance)
                await until_phase(self.world, again, JobPhase.COMPLETED, 1)
                await anyio.sleep(0.5)
                task_group.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual([1], list(count_starts(self.world, self.job).values()))

    def test_submission_to_the_earlier_pool_stored_after_its_cancellation(self):
        # The cancellation has to be known in the pool where the job may turn up.
        late = make_job("b" * 16)

        async def scenario(world):
            await until(lambda: all(d.controllers for d in world.daemons))
            world.configure(self.moved, pools=(QUEUE.pool,), version=2)
            (daemon,) = world.daemons
            await until(lambda: daemon.operator.configuration.version == 2)
            answer = await daemon.service.cancel(self.moved, late.id, 5.0)
            self.assertIs(Acceptance.NO_JOB, answer)
            await submit(world, late)
            await until_phase(world, late, JobPhase.CANCELLED)

        anyio.run(self.world.run, scenario, 1)
        self.assertEqual({}, count_starts(self.world, late))

    def test_daemon_that_starts_after_the_move_counts_the_waiting_jobs(self):
        # The jobs of the earlier pool were left out unless the daemon controlled it.
        waiting = make_job("a" * 16, steps=(make_step(need=Resources(64.0, 1, 0)),))

        async def main():
            async with anyio.create_task_group() as task_group:
                await self.start_job(task_group)
                await submit(self.world, waiting)
                daemon = await self.start_daemon(task_group)
                with anyio.fail_after(3.0):
                    while await daemon.service.pending(self.moved) != 1:  # noqa: ASYNC110
                        await anyio.sleep(0.02)
                task_group.cancel_scope.cancel()

        anyio.run(main)

    def test_submission_repeated_across_the_move_runs_once(self):
        # It was stored for both pools, and its tasks ran in both.
        self.patch(site_daemon, "WATCH_INTERVAL_SECONDS", 3.0)
        again = attrs.evolve(self.job, pool=self.moved.pool)

        async def scenario(world):
            world.add_worker("w", self.moved.pool)
            first, second = world.daemons
            await until(lambda: first.controllers or second.controllers)
            for daemon in world.daemons:
                await until(lambda daemon=daemon: daemon.is_ready())
            other = second if first.controllers else first
            await submit(world, self.job, world.daemons.index(other) ^ 1)
            world.configure(self.moved, pools=(QUEUE.pool,), version=2)
            await until(lambda: other.operator.configuration.version == 2)
            await submit(world, again, world.daemons.index(other))
            await until_phase(world, self.job, JobPhase.COMPLETED)
            await anyio.sleep(1.0)

        anyio.run(self.world.run, scenario, 2)
        self.assertEqual([1], list(count_starts(self.world, self.job).values()))


class GangTest(testtools.TestCase):
    """Steps whose tasks run only all at the same time."""

    def test_members_share_one_run_and_each_starts_once(self):
        job = make_job(steps=(make_step(12, gang=True),))
        world = make_world("v", "w")

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.run_time = 1.0
            world.fleet.models["v"].knobs.lose_replies = 3
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)

        anyio.run(world.run, scenario, 1)
        runs = {
            run for model in world.fleet.models.values() for _, run in model.started
        }
        self.assertEqual({1}, runs)
        self.assertEqual([1] * 12, list(count_starts(world, job).values()))

    def test_gang_waits_until_all_members_fit(self):
        job = make_job(steps=(make_step(9, gang=True),))
        world = make_world("v")

        async def scenario(world):
            await submit(world, job)
            await anyio.sleep(0.5)
            self.assertEqual({}, count_starts(world, job))
            world.add_worker("w")
            await until_phase(world, job, JobPhase.COMPLETED)

        anyio.run(world.run, scenario, 1)


class DrainTest(testtools.TestCase):
    """Workers that are draining."""

    def test_draining_worker_gets_no_further_start(self):
        world = make_world("v", "w")

        async def scenario(world):
            await submit(world, make_job("a" * 16))
            draining = world.fleet.models["v"]
            draining.phase = WorkerPhase.DRAINING
            world.store.put("workers", "v", b"entry")
            await anyio.sleep(1.0)
            started = len(draining.started)
            job = make_job("b" * 16, steps=(make_step(6),))
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)
            self.assertEqual(started, len(draining.started))

        anyio.run(world.run, scenario, 1)


class ThrottleTest(testtools.TestCase):
    """Tasks that use idle cores beside tasks with a target for response times."""

    def setUp(self):
        super().setUp()
        steps = (
            make_step(1, long_running=True, tail_target=0.1),
            make_step(1, long_running=True, fills=True),
        )
        self.job = make_job(steps=steps)

    async def start_and_throttle(self, world):
        """Start the job and wait until its filler is throttled; return the worker."""
        world.fleet.long_running.add(self.job.id)
        model = world.fleet.models["v"]
        model.knobs.tail_latency_ms = 300.0
        await submit(world, self.job)
        await until(lambda: len(count_starts(world, self.job)) == 2)
        with anyio.fail_after(4.0):
            while 300.0 * min(model.paces.values(), default=1.0) > 100.0:  # noqa: ASYNC110
                await anyio.sleep(0.02)
        return model

    def test_filler_task_is_throttled_until_the_target_is_met(self):
        world = make_world("v", lease=6.0)

        async def scenario(world):
            model = await self.start_and_throttle(world)
            throttled_steps = {task.step for task, _ in model.paces}
            self.assertEqual({1}, throttled_steps)

        anyio.run(world.run, scenario, 1)

    def test_throttled_filler_gets_its_full_pace_again_after_a_takeover(self):
        # It kept its pace, also one of 0, for as long as it ran.
        world = make_world("v", lease=6.0)

        async def scenario(world):
            model = await self.start_and_throttle(world)
            take_over(world)
            model.knobs.tail_latency_ms = 50.0
            await until(lambda: set(model.paces.values()) == {1.0}, 10.0)

        anyio.run(world.run, scenario, 1)
