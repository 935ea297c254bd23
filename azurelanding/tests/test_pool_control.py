"""Test whole daemons on models of the store and the workers."""

import anyio
import testtools

from azurelanding.configuration import WaveRequest
from azurelanding.job_service import Acceptance
from azurelanding.jobs import JobPhase
from azurelanding.membership import partition_of
from azurelanding.tests.platform_world import (
    World,
    make_job,
    make_queue,
    make_step,
    until,
)

QUEUE = make_queue()


async def submit(world, job, number=0):
    """Submit ``job`` to a daemon."""
    service = world.daemons[number].service
    return await service.submit(job, 5.0)


async def until_phase(world, job, phase, number=0):
    """Wait until a daemon tells that ``job`` is in ``phase``."""
    service = world.daemons[number].service
    with anyio.fail_after(12):
        while await service.phase(QUEUE, job.id) is not phase:  # noqa: ASYNC110
            await anyio.sleep(0.02)


def count_starts(world, job):
    """Return how often each task of ``job`` was started."""
    starts = {}
    for model in world.fleet.models.values():
        for task, _ in model.started:
            if task.job == job.id:
                starts[task] = starts.get(task, 0) + 1
    return starts


def take_over(world):
    """Let the daemon take its pools over under a higher epoch."""
    (daemon,) = world.daemons
    world.store.deal("control", ("jobs",))
    daemon.member.holdings.clear()
    daemon.member.changes.notify()


class SiteTest(testtools.TestCase):
    """Jobs from acceptance to their end."""

    def run_site(self, scenario, daemons=1, workers=2, **fields):
        """Run ``scenario`` on a site with one pool."""
        world = World(**fields)
        for number in range(workers):
            world.add_worker(f"w{number}")
        world.configure(QUEUE)
        anyio.run(world.run, scenario, daemons)
        return world

    def test_job_of_two_steps_completes(self):
        job = make_job(steps=(make_step(3), make_step(2, after=(0,))))

        async def scenario(world):
            self.assertEqual(Acceptance.ACCEPTED, await submit(world, job))
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario)
        self.assertEqual([1] * 5, list(count_starts(world, job).values()))

    def test_any_daemon_answers(self):
        job = make_job()

        async def scenario(world):
            await submit(world, job, 1)
            await until_phase(world, job, JobPhase.COMPLETED, 2)

        self.run_site(scenario, daemons=3)

    def test_repeated_submission_runs_once(self):
        job = make_job()

        async def scenario(world):
            await submit(world, job, 0)
            await submit(world, job, 1)
            await until_phase(world, job, JobPhase.COMPLETED)
            await submit(world, job, 1)
            await anyio.sleep(0.3)

        world = self.run_site(scenario, daemons=2)
        self.assertEqual([1], list(count_starts(world, job).values()))

    def test_lost_answers_start_nothing_twice(self):
        job = make_job(steps=(make_step(6),))

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.lose_answers = 3
            world.store.knobs.lose_answers = 2
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario)
        self.assertEqual([1] * 6, list(count_starts(world, job).values()))

    def test_failing_job_fails_after_its_attempts(self):
        job = make_job(max_attempts=2)

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.fail_all = True
            await submit(world, job)
            await until_phase(world, job, JobPhase.FAILED)

        world = self.run_site(scenario)
        self.assertEqual([2], list(count_starts(world, job).values()))

    def test_silent_worker_frees_its_tasks_only_after_the_lease(self):
        job = make_job(steps=(make_step(1, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            (holder,) = [m for m in world.fleet.models.values() if m.started]
            holder.knobs.silent = True
            (other,) = [m for m in world.fleet.models.values() if m is not holder]
            await until(lambda: other.started)
            holder.advance()
            self.assertEqual({}, holder.running)

        self.run_site(scenario)

    def test_run_that_stands_still_is_run_elsewhere(self):
        job = make_job(steps=(make_step(1, estimate=0.05),))

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.still = True
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            for model in world.fleet.models.values():
                model.knobs.still = bool(model.started)
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario, lease=6.0)
        self.assertEqual([2], list(count_starts(world, job).values()))

    def test_run_that_takes_longer_than_estimated_is_left_alone(self):
        job = make_job(steps=(make_step(2, estimate=0.05),))

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.run_time = 1.6
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario, lease=6.0)
        self.assertEqual([1, 1], list(count_starts(world, job).values()))

    def test_restarted_worker_loses_its_runs_at_once(self):
        job = make_job(steps=(make_step(1, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            (holder,) = [m for m in world.fleet.models.values() if m.started]
            holder.restart()
            await until(lambda: sum(count_starts(world, job).values()) == 2, 3.0)

        self.run_site(scenario, lease=6.0)

    def test_later_life_of_a_host_frees_the_runs_of_the_earlier(self):
        job = make_job(steps=(make_step(1, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            (holder,) = [m for m in world.fleet.models.values() if m.started]
            holder.knobs.silent = True
            world.store.put("workers", holder.name, None)
            later = world.add_worker("later", host=holder.host)
            later.lives = holder.lives + 1
            await until(lambda: sum(count_starts(world, job).values()) == 2, 2.0)

        self.run_site(scenario, workers=1, lease=6.0)

    def test_takeovers_in_a_row_free_the_runs_of_a_missing_worker(self):
        job = make_job(steps=(make_step(1, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            (holder,) = [m for m in world.fleet.models.values() if m.started]
            (other,) = [m for m in world.fleet.models.values() if m is not holder]
            holder.knobs.silent = True
            world.store.put("workers", holder.name, None)
            with anyio.fail_after(12.0):
                while not other.started:
                    take_over(world)
                    with anyio.move_on_after(1.5):
                        await until(lambda: other.started)

        self.run_site(scenario)

    def test_takeover_knows_what_runs(self):
        job = make_job(steps=(make_step(4, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: len(count_starts(world, job)) == 4)
            (old,) = [d for d in world.daemons if d.controllers]
            (new,) = [d for d in world.daemons if d is not old]
            old.member.client.cut = True
            world.store.groups["control"].members.pop(old.name)
            world.store.deal("control", ("jobs",))
            await until(lambda: new.controllers)
            await anyio.sleep(0.5)
            fences = {model.fence for model in world.fleet.models.values()}
            self.assertEqual({new.controllers["cuts"].epoch}, fences)

        world = self.run_site(scenario, daemons=2, lease=6.0)
        self.assertEqual([1] * 4, list(count_starts(world, job).values()))

    def test_history_lost_changes_nothing(self):
        job = make_job(steps=(make_step(2), make_step(2, after=(0,))))

        async def scenario(world):
            await submit(world, job)
            world.store.forget_history()
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario)
        self.assertEqual([1] * 4, list(count_starts(world, job).values()))

    def test_cancelled_job_is_stopped(self):
        job = make_job(steps=(make_step(2, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: len(count_starts(world, job)) == 2)
            service = world.daemons[0].service
            cancelled = await service.cancel(QUEUE, job.id, 5.0)
            self.assertEqual(Acceptance.ACCEPTED, cancelled)
            models = world.fleet.models.values()
            await until(lambda: not any(model.running for model in models))
            phase = await service.phase(QUEUE, job.id)
            self.assertEqual(JobPhase.CANCELLED, phase)

        self.run_site(scenario)

    def test_store_that_is_down_refuses_truthfully(self):
        job = make_job()

        async def scenario(world):
            await until(lambda: world.daemons[0].controllers)
            world.store.knobs.refuse = True
            service = world.daemons[0].service
            self.assertEqual(Acceptance.REFUSED, await service.submit(job, 0.3))
            world.store.knobs.refuse = False
            await anyio.sleep(0.5)

        world = self.run_site(scenario)
        self.assertEqual({}, count_starts(world, job))

    def test_fault_in_a_controller_does_not_end_the_daemon(self):
        job = make_job()

        async def scenario(world):
            daemon = world.daemons[0]
            await until(lambda: daemon.controllers)
            first = daemon.controllers["cuts"]
            first.healths = None
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)
            self.assertIsNot(first, daemon.controllers["cuts"])

        self.run_site(scenario)

    def test_unknown_job_is_none(self):
        async def scenario(world):
            await until(lambda: world.daemons[0].controllers)
            phase = await world.daemons[0].service.phase(QUEUE, "f" * 16)
            self.assertIsNone(phase)

        self.run_site(scenario)

    def test_pools_of_one_partition_leave_each_other_alone(self):
        job = make_job(steps=(make_step(2, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: len(count_starts(world, job)) == 2)
            await anyio.sleep(4.0)

        world = World(partitions=1, lease=1.5)
        for pool in ("cuts", "previews"):
            world.add_worker(pool[0], pool)
        world.configure(QUEUE, make_queue("previews", "p"))
        self.assertEqual(partition_of("cuts", 1), partition_of("previews", 1))
        anyio.run(world.run, scenario, 1)
        self.assertEqual([1] * 2, list(count_starts(world, job).values()))


class MoveTest(testtools.TestCase):
    """Hosts that move to a pool that needs them."""

    def move(self, is_busy, seconds):
        """Return the orders given within ``seconds`` for a pool without room."""
        job = make_job(steps=(make_step(16, long_running=True),))

        async def scenario(world):
            world.hosts.is_busy = is_busy
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: world.hosts.orders)
            await anyio.sleep(seconds)

        world = World()
        world.add_worker("w0")
        world.add_worker("s0", "off")
        world.configure(QUEUE, pools=("off",))
        anyio.run(world.run, scenario, 1)
        return world.hosts.orders

    def test_host_comes_from_standby(self):
        orders = self.move(False, 1.0)
        self.assertEqual([("host-s0", "cuts")], [order[:2] for order in orders])

    def test_busy_host_is_not_pressed(self):
        self.assertEqual(2, len(self.move(True, 1.6)))


class WaveTest(testtools.TestCase):
    """Waves of maintenance."""

    def test_hosts_are_emptied_before_their_maintenance(self):
        job = make_job(steps=(make_step(2, long_running=True, may_miss=1),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: len(count_starts(world, job)) == 2)
            hosts = tuple(f"host-{name}" for name in world.fleet.models)
            world.wave = WaveRequest(1, hosts, 20.0, 1)
            world.store.put("operator", "wave/1", b"wave")
            told = world.store.partitions["status", 0].newest
            await until(
                lambda: "wave/1" in told and told["wave/1"].value == b"True", 15.0
            )

        world = World()
        for name in ("w0", "w1", "w2"):
            world.add_worker(name)
        world.configure(QUEUE)
        anyio.run(world.run, scenario, 1)
        maintained = [order for order in world.hosts.orders if order[1] == 1]
        self.assertEqual(3, len({order[0] for order in maintained}))
        self.assertEqual([0] * len(maintained), [order[3] for order in maintained])
