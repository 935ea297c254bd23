"""Cause here what operators of similar systems have reported.

Each class causes one report on complete daemons. The odd entry of another writer is in
``test_odd_messages``, lost answers are in ``test_pool_control`` and ``test_appender``.
"""

import itertools
import signal
import unittest.mock

import anyio
import msgspec
import testtools

from azurelanding import supervision
from azurelanding.configuration import WaveRequest
from azurelanding.job_service import Acceptance
from azurelanding.jobs import JobPhase
from azurelanding.standins.platform_store import ModelClient
from azurelanding.standins.platform_worker import ModelWorkerClient
from azurelanding.store import StoredRecordError
from azurelanding.tests.platform_processes import (
    IPS,
    make_configuration,
    run_on_platform,
)
from azurelanding.tests.platform_world import (
    World,
    capture_lines,
    make_job,
    make_queue,
    make_step,
    until,
)
from azurelanding.tests.test_pool_control import count_starts, submit, until_phase

QUEUE = make_queue()
JOB_ID = "a" * 16


def make_world(*workers, lease=4.0, **fields):
    """Return a world with one pool of ``workers`` whose runs take a while."""
    world = World(lease=lease, **fields)
    for name in workers:
        world.add_worker(name).knobs.run_time = 2.0
    world.configure(QUEUE)
    return world


class SilentWorkerTest(testtools.TestCase):
    """A machine is silent for a while, or slow to report; its running work goes on."""

    def run_through(self, disturb):
        """Call ``disturb(world, model)`` while a job runs; expect one start a task."""
        job = make_job(steps=(make_step(4),))

        async def scenario(world):
            await submit(world, job)
            await until(lambda: len(count_starts(world, job)) == 4)
            await disturb(world, world.fleet.models["v"])
            await until_phase(world, job, JobPhase.COMPLETED)

        world = make_world("v", "w")
        anyio.run(world.run, scenario, 2)
        self.assertEqual([1] * 4, list(count_starts(world, job).values()))

    def test_runs_go_on_on_a_worker_that_is_silent_for_a_while(self):
        async def disturb(_world, model):
            model.knobs.silent = True
            await anyio.sleep(1.2)
            model.knobs.silent = False

        self.run_through(disturb)

    def test_runs_go_on_on_a_worker_whose_entry_is_missing_for_a_while(self):
        async def disturb(world, model):
            world.store.put("workers", model.name, None)
            await anyio.sleep(1.2)
            world.store.put("workers", model.name, b"entry")

        self.run_through(disturb)

    def test_runs_go_on_on_a_worker_whose_entry_can_not_be_read(self):
        def decode_worker(world, record):
            if record.value != b"entry":
                raise StoredRecordError("odd")
            return world.fleet.models[record.key].entry()

        async def disturb(world, model):
            world.store.put("workers", model.name, b"odd")
            await until(
                lambda: all(
                    daemon.registry.workers[model.name].phase.value == "unknown"
                    for daemon in world.daemons
                )
            )
            started, other = list(model.started), make_job("b" * 16)
            await submit(world, other)
            await until_phase(world, other, JobPhase.RUNNING)
            self.assertEqual(started, model.started)

        self.patch(World, "_decode_worker", decode_worker)
        self.run_through(disturb)


class HandOverTest(testtools.TestCase):
    """Around a hand-over, two processes act for a moment."""

    def test_no_task_starts_twice_while_a_pool_changes_hands(self):
        jobs = [make_job(f"{n}" * 16, steps=(make_step(4),)) for n in range(6)]

        async def scenario(world):
            for job in jobs:
                await submit(world, job)
                world.store.assign("control", ("jobs",))
                (first, *others) = sorted(world.store.groups["control"].members)
                assigned = world.store.groups["control"].assigned
                for partition in assigned:
                    assigned[partition] = others[0] if others else first
                await anyio.sleep(0.3)
            for job in jobs:
                await until_phase(world, job, JobPhase.COMPLETED)

        world = make_world("v", "w")
        for model in world.fleet.models.values():
            model.knobs.run_time = 0.2
        anyio.run(world.run, scenario, 3)
        for job in jobs:
            self.assertEqual([1] * 4, list(count_starts(world, job).values()))

    def test_holders_of_the_fleet_role_take_no_turns_within_the_pause(self):
        # An order may be repeated: the platform accepts it again without effect. Two
        # holders must not order one host within the pause, nor an earlier one last.
        async def scenario(world):
            names = tuple(f"host-{name}" for name in world.fleet.models)
            world.wave = WaveRequest(1, names, 20.0, 1)
            world.store.put("operator", "wave/1", b"wave")
            statuses = world.store.partitions["status", 0].newest
            for count in (1, 2):
                await until(lambda count=count: len(world.hosts.orders) >= count, 12.0)
                for daemon in world.daemons:
                    if daemon.fleet_member.holdings:
                        await daemon.fleet_member.client.leave(
                            "fleet-duty", daemon.fleet_member.name
                        )
            await until(
                lambda: "wave/1" in statuses and statuses["wave/1"].value == b"True",
                18.0,
            )

        world = make_world("u", "v", "w", holder_pause=0.3)
        anyio.run(world.run, scenario, 3)
        for name, model in world.fleet.models.items():
            self.assertEqual(2, model.incarnation, "one restart for one maintenance")
            turns = [
                (at, epoch)
                for at, (host, _, epoch, _) in zip(
                    world.hosts.order_times, world.hosts.orders, strict=True
                )
                if host == f"host-{name}"
            ]
            for (earlier, epoch), (later, next_epoch) in itertools.pairwise(turns):
                self.assertGreaterEqual(next_epoch, epoch)
                if next_epoch != epoch:
                    self.assertGreaterEqual(later - earlier, 0.3)


class PausedProcessTest(testtools.TestCase):
    """A process that was paused acts on a permission that has run out."""

    def test_paused_controller_gives_no_order_when_it_wakes(self):
        anyio.run(run_on_platform, self._pause)

    async def _pause(self, platform):
        models = [platform.add_worker(name, run_time=0.4) for name in ("w-1", "w-2")]
        platform.store.put("keyed.op", "config", make_configuration(1, "q"))
        await platform.start_daemons()
        body = msgspec.json.encode({"spec": "s", "steps": [{"count": 4, "cpu": 1000}]})
        for number in range(8):
            answer = await platform.call(IPS[1], "POST", f"/q/{str(number) * 16}", body)
            if number == 2:
                paused = self._controller(platform)
                platform.processes[paused].send_signal(signal.SIGSTOP)
            self.assertEqual(200, answer[0])
            await anyio.sleep(0.5)
        serving = 1 - paused
        await until(lambda: self._takeovers(platform, serving) > 0, 15.0)
        platform.processes[paused].send_signal(signal.SIGCONT)
        for ip in IPS:
            for number in range(8):
                path = f"/q/{str(number) * 16}"
                await platform.until_state(ip, path, b"completed")
        started = [task for model in models for task, _ in model.started]
        self.assertEqual(32, len(started))
        self.assertEqual(32, len(set(started)))

    def _takeovers(self, platform, number):
        lines = platform.lines(number)
        return sum("pool taken over" in line and "pool=cuts" in line for line in lines)

    def _controller(self, platform):
        """Return the number of the daemon that controls the pool."""
        numbers = range(len(platform.processes))
        return max(numbers, key=lambda number: self._takeovers(platform, number))


class RestartTest(testtools.TestCase):
    """After a restart, a server that left or a key that was withdrawn is used again."""

    def test_restarted_daemon_uses_no_worker_or_queue_that_is_gone(self):
        withdrawn = make_queue(name="gone")
        job = make_job(steps=(make_step(4),))

        async def first(world):
            world.configure(QUEUE, withdrawn)
            daemon = world.daemons[0]
            await until(lambda: len(daemon.registry.workers) == 2)
            await until(lambda: daemon.find_queue("host", "/gone/x") is not None)
            world.store.put("workers", "v", None)
            world.configure(QUEUE, version=2)
            await until(lambda: len(daemon.registry.workers) == 1)

        async def second(world):
            daemon = world.daemons[1]
            await until(lambda: daemon.operator.configuration is not None)
            self.assertIsNone(daemon.find_queue("host", "/gone/x"))
            await submit(world, job, 1)
            await until_phase(world, job, JobPhase.COMPLETED, 1)

        async def main():
            for incarnation, scenario in (("1", first), ("2", second)):
                async with anyio.create_task_group() as task_group:
                    await world.daemon("d0", incarnation).start(task_group)
                    with anyio.fail_after(15):
                        await scenario(world)
                    task_group.cancel_scope.cancel()
                world.store.compact()

        world = make_world("v", "w")
        anyio.run(main)
        self.assertEqual([], world.fleet.models["v"].started)
        self.assertEqual(4, len(world.fleet.models["w"].started))

    def test_worker_that_left_during_a_reload_of_the_entries_is_gone(self):
        async def scenario(world):
            daemon = world.daemons[0]
            await until(lambda: len(daemon.registry.workers) == 2)
            follower = daemon.workers_follower
            with unittest.mock.patch.object(follower, "next_offset", 0):
                world.store.put("workers", "v", None)
                world.store.compact()
                await until(lambda: list(daemon.registry.workers) == ["w"])

        world = make_world("v", "w")
        anyio.run(world.run, scenario)


class UnexpectedErrorTest(testtools.TestCase):
    """An unexpected error takes a whole process down, or stops a task for good."""

    def setUp(self):
        super().setUp()
        self.lines = capture_lines(self, supervision)

    def fail_calls(self, client_class, names, before=True, every=7):
        """Let every few calls of a client fail in a way that nobody expects."""
        for name in names:
            call, count = getattr(client_class, name), iter(range(1 << 30))

            async def failing(client, *args, call=call, count=count, **options):
                fails = next(count) % every == every // 2
                if fails and before:
                    raise RuntimeError("unexpected")
                result = await call(client, *args, **options)
                if fails:
                    raise RuntimeError("unexpected")
                return result

            self.patch(client_class, name, failing)

    def run_jobs(self):
        """Run jobs on daemons whose calls fail, and expect one start a task."""
        jobs = [make_job(f"{n}" * 16, steps=(make_step(4),)) for n in range(5)]

        async def scenario(world):
            for job in jobs:
                for _ in range(20):
                    if await submit(world, job) is Acceptance.ACCEPTED:
                        break
                await anyio.sleep(0.2)
            for job in jobs:
                await until_phase(world, job, JobPhase.COMPLETED)

        world = make_world("v", "w")
        for model in world.fleet.models.values():
            model.knobs.run_time = 0.2
        anyio.run(world.run, scenario, 2)
        for job in jobs:
            self.assertEqual([1] * 4, list(count_starts(world, job).values()))
        self.assertTrue(self.lines)

    def test_store_calls_that_fail_before_their_effect(self):
        names = ("append", "read", "newest", "join", "owners")
        self.fail_calls(ModelClient, names)
        self.run_jobs()

    def test_store_calls_that_fail_after_their_effect(self):
        names = ("append", "read", "newest", "join", "owners")
        self.fail_calls(ModelClient, names, before=False)
        self.run_jobs()

    def test_worker_calls_that_fail_before_their_effect(self):
        self.fail_calls(ModelWorkerClient, ("hold", "start", "stop"))
        self.run_jobs()

    def test_worker_calls_that_fail_after_their_effect(self):
        self.fail_calls(ModelWorkerClient, ("hold", "start", "stop"), before=False)
        self.run_jobs()

    def test_record_that_can_not_be_applied_costs_no_other(self):
        job = make_job()

        async def scenario(world):
            daemon = world.daemons[0]
            await until(lambda: len(daemon.registry.workers) == 2)
            apply_stored = daemon.workers_follower.fold.apply_stored

            def failing(record):
                if record.key == "odd":
                    raise RuntimeError("unexpected")
                apply_stored(record)

            daemon.workers_follower.fold.apply_stored = failing
            for _ in range(3):
                world.store.put("workers", "odd", b"odd")
            world.add_worker("x")
            await until(lambda: "x" in daemon.registry.workers)
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)
            self.assertIn(b"records_failed_workers_total 3.0", daemon.metrics.text())

        world = make_world("v", "w")
        anyio.run(world.run, scenario)
        self.assertEqual([], self.lines)
