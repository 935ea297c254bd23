"""Test whole daemons against simulated store, workers and hosts."""

import unittest.mock

import anyio
import attrs
import testtools

from azurelanding import job_placement
from azurelanding.configuration import WaveRequest
from azurelanding.fleet_records import HostPlan, encode_record
from azurelanding.job_draft import JobDraft
from azurelanding.job_placement import pick_worker
from azurelanding.job_service import Acceptance
from azurelanding.jobs import JobPhase
from azurelanding.membership import partition_of
from azurelanding.site_daemon import MAX_STORE_SILENCE_SECONDS
from azurelanding.start_budget import LINK_SHARE
from azurelanding.tasks import Resources
from azurelanding.tests.platform_world import (
    World,
    make_job,
    make_queue,
    make_step,
    until,
)
from azurelanding.utils import boot_time
from azurelanding.worker_calls import Refusal

QUEUE = make_queue()


async def submit(world, job, number=0):
    """Submit ``job`` to a daemon."""
    service = world.daemons[number].service
    return await service.submit(job, 5.0)


async def until_phase(world, job, phase, number=0):
    """Wait until a daemon reports that ``job`` is in ``phase``."""
    service = world.daemons[number].service
    with anyio.fail_after(12):
        while await service.phase(QUEUE, job.id, 5.0) is not phase:  # noqa: ASYNC110
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
    """Make the only daemon lose its pools and take them over under a higher epoch."""
    (daemon,) = world.daemons
    world.store.assign("control", ("jobs",))
    daemon.member.holdings.clear()
    daemon.member.changes.notify()


class JobTest(testtools.TestCase):
    """Jobs from their submission to their end."""

    def run_site(self, scenario, daemons=1, workers=2, run_time=None, **fields):
        """Run ``scenario`` on a site with one pool."""
        world = World(**fields)
        for number in range(workers):
            model = world.add_worker(f"w{number}")
            model.knobs.run_time = run_time or model.knobs.run_time
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

    def test_any_daemon_reports_the_phase_of_a_job(self):
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

    def check_not_begun(self, make_fault):
        """Check that a job waits as long as ``make_fault(model)`` keeps it from it."""
        job = make_job(steps=(make_step(2),))

        async def scenario(world):
            (model,) = world.fleet.models.values()
            model.knobs.run_time = 60.0
            daemon = world.daemons[1]
            await until(lambda: any(d.controllers for d in world.daemons))
            await until(lambda: daemon.is_ready())
            recover = make_fault(model)
            await submit(world, job)
            # Other daemons read what they don't decide by every 1.6 s.
            await anyio.sleep(2.5)
            self.assertEqual({}, count_starts(world, job))
            self.assertEqual(1, await daemon.service.pending(QUEUE))
            await until_phase(world, job, JobPhase.QUEUED, 1)
            recover()
            await until_phase(world, job, JobPhase.RUNNING, 1)
            self.assertEqual(0, await daemon.service.pending(QUEUE))
            self.assertEqual(2, len(count_starts(world, job)))

        self.run_site(scenario, daemons=2, workers=1, lease=6.0)

    def test_job_whose_starts_are_refused_is_pending(self):
        # It was counted as begun once its first start was decided.
        def refuse_starts(model):
            model.knobs.refuse_starts = Refusal.UNHEALTHY
            return lambda: setattr(model.knobs, "refuse_starts", None)

        self.check_not_begun(refuse_starts)

    def test_job_whose_starts_are_not_answered_is_pending(self):
        def hold_starts(model):
            model.knobs.late_starts = 1000
            return lambda: setattr(model.knobs, "late_starts", 0)

        self.check_not_begun(hold_starts)

    def test_lost_answers_start_no_task_twice(self):
        job = make_job(steps=(make_step(6),))

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.lose_replies = 3
            world.store.knobs.lose_replies = 2
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario)
        self.assertEqual([1] * 6, list(count_starts(world, job).values()))

    def test_ends_that_do_not_fit_into_one_report_start_no_task_twice(self):
        job = make_job(steps=(make_step(6),))

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.ends_per_report = 2
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario, workers=1)
        self.assertEqual([1] * 6, list(count_starts(world, job).values()))

    def test_full_pool_is_not_searched_for_each_task_of_the_backlog(self):
        # Each search holds up the calls that extend the leases of the workers.
        filling = make_job("f" * 16, steps=(make_step(16, long_running=True),))
        backlog = [
            make_job(f"{number:016x}", steps=(make_step(20),)) for number in range(30)
        ]
        searches = []

        def count_search(ready, *arguments):
            searches.append(ready.key)
            return pick_worker(ready, *arguments)

        async def scenario(world):
            world.fleet.long_running.add(filling.id)
            await submit(world, filling)
            await until(lambda: len(count_starts(world, filling)) == 16)
            for job in backlog:
                await submit(world, job)
            (controller,) = world.daemons[0].controllers.values()
            self.assertEqual(31, len(controller.ledger.active))
            with unittest.mock.patch.object(job_placement, "pick_worker", count_search):
                draft = JobDraft(controller.ledger, controller.pool)
                self.assertEqual([], controller._place(draft))

        self.run_site(scenario)
        self.assertEqual(0, len(searches))

    def test_failing_job_fails_after_max_attempts(self):
        job = make_job(max_attempts=2)

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.fail_all = True
            await submit(world, job)
            await until_phase(world, job, JobPhase.FAILED)

        world = self.run_site(scenario)
        self.assertEqual([2], list(count_starts(world, job).values()))

    def test_tasks_of_a_silent_worker_restart_only_after_its_lease(self):
        job = make_job(steps=(make_step(1, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            (running_on,) = [
                model for model in world.fleet.models.values() if model.started
            ]
            running_on.knobs.silent = True
            (other_worker,) = [
                model
                for model in world.fleet.models.values()
                if model is not running_on
            ]
            await until(lambda: other_worker.started)
            running_on.advance()
            self.assertEqual({}, running_on.running)

        self.run_site(scenario)

    def start_late(self, is_removed):
        """Carry out a start after its run was freed and its worker answers again.

        With ``is_removed``, the worker's entry is missing meanwhile.
        """
        job = make_job(steps=(make_step(1, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            models = list(world.fleet.models.values())
            for model in models:
                model.knobs.late_starts = 100
            await submit(world, job)
            await until(lambda: any(model.delayed_starts for model in models))
            models.sort(key=lambda model: bool(model.delayed_starts))
            other_worker, late_worker = models
            other_worker.knobs.late_starts = 0
            late_worker.knobs.silent = True
            if is_removed:
                world.store.put("workers", late_worker.name, None)
            await until(lambda: other_worker.started)
            if is_removed:
                (controller,) = world.daemons[0].controllers.values()
                await until(lambda: late_worker.name not in controller.links)
                world.store.put("workers", late_worker.name, b"entry")
            late_worker.knobs.silent, late_worker.knobs.ignore_stops = False, True
            await anyio.sleep(0.8)
            late_worker.release()
            self.assertEqual([], late_worker.started)
            late_worker.knobs.ignore_stops = False
            await until(lambda: late_worker.lease_end > boot_time())

        world = self.run_site(scenario, lease=2.0)
        self.assertEqual([1], list(count_starts(world, job).values()))

    def test_start_carried_out_late_does_not_run_beside_its_second_run(self):
        self.start_late(is_removed=False)

    def test_late_start_on_a_worker_that_was_removed_meanwhile_runs_nothing_twice(self):
        self.start_late(is_removed=True)

    def test_stalled_run_is_restarted_elsewhere(self):
        job = make_job(steps=(make_step(1, estimate=0.05),))

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.stalled = True
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            for model in world.fleet.models.values():
                model.knobs.stalled = bool(model.started)
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario, lease=6.0)
        self.assertEqual([2], list(count_starts(world, job).values()))

    def test_run_that_takes_longer_than_estimated_is_not_restarted(self):
        job = make_job(steps=(make_step(2, estimate=0.05),))

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.run_time = 1.6
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario, lease=6.0)
        self.assertEqual([1, 1], list(count_starts(world, job).values()))

    def test_runs_of_a_restarted_worker_restart_before_its_lease_expires(self):
        job = make_job(steps=(make_step(1, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            (running_on,) = [
                model for model in world.fleet.models.values() if model.started
            ]
            running_on.restart()
            await until(lambda: sum(count_starts(world, job).values()) == 2, 3.0)

        self.run_site(scenario, lease=6.0)

    def test_later_incarnation_of_a_host_frees_the_runs_of_the_earlier_one(self):
        job = make_job(steps=(make_step(1, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            (running_on,) = [
                model for model in world.fleet.models.values() if model.started
            ]
            running_on.knobs.silent = True
            world.store.put("workers", running_on.name, None)
            later = world.add_worker("later", host=running_on.host)
            later.incarnation = running_on.incarnation + 1
            await until(lambda: sum(count_starts(world, job).values()) == 2, 2.0)

        self.run_site(scenario, workers=1, lease=6.0)

    def test_worker_whose_clock_was_set_back_at_its_start_gets_tasks(self):
        job = make_job()

        async def scenario(world):
            (earlier,) = world.fleet.models.values()
            earlier.incarnation = 7
            world.store.put("workers", earlier.name, b"entry")
            (daemon,) = world.daemons
            await until(lambda: daemon.registry.newest_by_host)
            earlier.knobs.silent = True
            world.add_worker("later", host=earlier.host)
            world.store.put("workers", earlier.name, None)
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)

        self.run_site(scenario, workers=1)

    def order_host(self, is_ended):
        """Record an order to the host of a run; return how often its task started.

        The run has more than two seconds left. With ``is_ended``, the order has ended
        its worker, which otherwise falls silent only later.
        """
        job = make_job()

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.run_time = 5.0
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            (worker,) = [
                model for model in world.fleet.models.values() if model.started
            ]
            worker.knobs.silent = is_ended
            plan = HostPlan(worker.host, worker.name, 0.0, wave=1, is_ordered=True)
            world.store.put("fleet", *encode_record(plan))
            await anyio.sleep(1.5)
            worker.knobs.silent = True
            await anyio.sleep(1.0)

        return sum(count_starts(self.run_site(scenario, lease=6.0), job).values())

    def test_order_that_was_carried_out_before_does_not_free_the_runs_of_the_host(self):
        self.assertEqual(1, self.order_host(is_ended=False))

    def test_order_that_ended_the_worker_frees_its_runs_before_the_lease_is_over(self):
        self.assertEqual(2, self.order_host(is_ended=True))

    def test_repeated_takeovers_still_free_the_runs_of_a_missing_worker(self):
        job = make_job(steps=(make_step(1, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: count_starts(world, job))
            (running_on,) = [
                model for model in world.fleet.models.values() if model.started
            ]
            (other_worker,) = [
                model
                for model in world.fleet.models.values()
                if model is not running_on
            ]
            running_on.knobs.silent = True
            world.store.put("workers", running_on.name, None)
            with anyio.fail_after(12.0):
                while not other_worker.started:
                    take_over(world)
                    with anyio.move_on_after(1.5):
                        await until(lambda: other_worker.started)

        self.run_site(scenario)

    def test_takeover_keeps_the_runs_in_progress(self):
        job = make_job(steps=(make_step(4, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: len(count_starts(world, job)) == 4)
            (old,) = [daemon for daemon in world.daemons if daemon.controllers]
            (new,) = [daemon for daemon in world.daemons if daemon is not old]
            old.member.client.cut = True
            world.store.groups["control"].members.pop(old.name)
            world.store.assign("control", ("jobs",))
            await until(lambda: new.controllers)
            await anyio.sleep(0.5)
            fences = {model.fence for model in world.fleet.models.values()}
            self.assertEqual({new.controllers["cuts"].epoch}, fences)

        world = self.run_site(scenario, daemons=2, lease=6.0)
        self.assertEqual([1] * 4, list(count_starts(world, job).values()))

    def cut_off(self, workers, silent_for_old):
        """Take over from a daemon that is cut off from the store.

        Only that daemon reaches the last worker, which has to end its run. The first
        ``silent_for_old`` workers don't answer it any more.
        """
        step = make_step(workers, long_running=True, per_worker=1)
        job = make_job(steps=(step,))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: len(count_starts(world, job)) == workers)
            (old,) = [daemon for daemon in world.daemons if daemon.controllers]
            controller = old.controllers["cuts"]
            voters = tuple(world.fleet.models)
            await until(lambda: controller.ledger.voters["cuts"] == voters)
            *shared, reached_by_old = world.fleet.models.values()
            reached_by_old.knobs.silent_epochs = range(controller.epoch + 1, 1 << 40)
            for model in shared[:silent_for_old]:
                model.knobs.silent_epochs = range(controller.epoch + 1)
            old.member.client.cut = controller.appender.client.cut = True
            if not silent_for_old:
                shared[0].stop(*shared[0].started[0])
                await until(lambda: controller.appender.waiting)
            world.store.groups["control"].members.pop(old.name)
            world.store.assign("control", ("jobs",))
            await until(lambda: shared[0].fence > controller.epoch)
            await anyio.sleep(4.0)
            reached_by_old.advance()
            self.assertEqual({}, reached_by_old.running)

        self.run_site(scenario, daemons=2, workers=workers, lease=2.0)

    def test_controller_that_waits_for_the_store_extends_no_lease_once_superseded(self):
        self.cut_off(workers=2, silent_for_old=0)

    def test_controller_that_is_cut_off_from_most_workers_extends_no_lease(self):
        self.cut_off(workers=3, silent_for_old=2)

    def test_controller_that_is_cut_off_from_half_of_its_workers_extends_no_lease(self):
        self.cut_off(workers=2, silent_for_old=1)

    def partition(self, inside, outside):
        """Cut a controller and its workers ``inside`` off from all others.

        Only those inside run tasks, which take longer than the cut.
        """
        job = make_job(steps=(make_step(inside, per_worker=1),))

        async def scenario(world):
            await submit(world, job)
            await until(lambda: len(count_starts(world, job)) == inside)
            (old,) = [daemon for daemon in world.daemons if daemon.controllers]
            controller = old.controllers["cuts"]
            models = world.fleet.models
            await until(lambda: controller.ledger.voters["cuts"] == tuple(models))
            for number, model in enumerate(models.values()):
                later, own = range(controller.epoch + 1, 1 << 40), controller.epoch + 1
                is_inside = number < inside
                model.knobs.silent_epochs = later if is_inside else range(own)
            old.member.client.cut = controller.appender.client.cut = True
            world.store.groups["control"].members.pop(old.name)
            world.store.assign("control", ("jobs",))
            await anyio.sleep(7.0)

        world = self.run_site(
            scenario, daemons=2, workers=inside + outside, run_time=60.0, lease=2.0
        )
        for model in world.fleet.models.values():
            model.advance()
        running = [key[0] for m in world.fleet.models.values() for key in m.running]
        self.assertEqual(len(set(running)), len(running), "a task runs twice")

    def test_no_task_runs_twice_where_half_of_a_pool_is_cut_off(self):
        # The earlier controller extended leases that its successor took for over.
        self.partition(inside=1, outside=1)

    def test_no_task_runs_twice_where_most_of_a_pool_is_cut_off(self):
        self.partition(inside=2, outside=1)

    def test_outage_of_the_store_ends_no_run(self):
        job = make_job(steps=(make_step(4, long_running=True),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: len(count_starts(world, job)) == 4)
            world.store.knobs.refuse = True
            await anyio.sleep(5.0)
            models = world.fleet.models.values()
            for model in models:
                model.advance()
            self.assertEqual(4, sum(len(model.running) for model in models))

        self.run_site(scenario, daemons=2, lease=2.0)

    def test_job_completes_after_the_store_drops_old_records(self):
        job = make_job(steps=(make_step(2), make_step(2, after=(0,))))

        async def scenario(world):
            await submit(world, job)
            world.store.compact()
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario)
        self.assertEqual([1] * 4, list(count_starts(world, job).values()))

    def test_ended_job_is_stored_without_its_work(self):
        # A daemon that started loaded it for as long as the job is reported.
        job = attrs.evolve(make_job(), spec="x" * 4_000)

        async def scenario(world):
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)
            partition = world.store.partitions["jobs", partition_of("cuts", 4)]
            stored = [len(record.value) for record in partition.newest.values()]
            self.assertLess(sum(stored), 500)
            await world.daemon("new").start(world.daemons[0].task_group)
            await until_phase(world, job, JobPhase.COMPLETED, 1)

        self.run_site(scenario)

    def test_runs_of_a_cancelled_job_are_stopped(self):
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
            phase = await service.phase(QUEUE, job.id, 5.0)
            self.assertEqual(JobPhase.CANCELLED, phase)

        self.run_site(scenario)

    def test_submission_stored_after_its_cancellation_never_starts(self):
        # Its job ran on, with nobody left who would cancel it.
        job = make_job(steps=(make_step(4),))

        async def scenario(world):
            first, second = world.daemons
            for daemon in world.daemons:
                await until(daemon.is_ready)
            client = first.stream_of(QUEUE.pool).appender.client
            client.delays_appends = True
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(first.service.submit, job, 5.0)
                await until(lambda: world.store.delayed)
                answer = await second.service.cancel(QUEUE, job.id, 5.0)
                self.assertIs(Acceptance.NO_JOB, answer)
                client.delays_appends = False
                world.store.release()
                await until_phase(world, job, JobPhase.CANCELLED)
            await anyio.sleep(0.5)

        world = self.run_site(scenario, daemons=2)
        self.assertEqual({}, count_starts(world, job))

    def test_cancellation_of_an_unknown_job_says_so_and_is_dropped_later(self):
        async def scenario(world):
            (daemon,) = world.daemons
            await until(lambda: daemon.controllers)
            for _ in range(2):
                answer = await daemon.service.cancel(QUEUE, "f" * 16, 5.0)
                self.assertIs(Acceptance.NO_JOB, answer)
            self.assertIsNone(await daemon.service.phase(QUEUE, "f" * 16, 5.0))
            partition = world.store.partitions["jobs", partition_of(QUEUE.pool, 4)]
            self.assertIn(f"cancel/{'f' * 16}", partition.newest)
            stored = [r.key for r in partition.records if r.key.startswith("cancel/")]
            self.assertEqual([f"cancel/{'f' * 16}"], stored)
            daemon.site = attrs.evolve(
                daemon.site, timing=attrs.evolve(daemon.site.timing, retention=-5.0)
            )
            await until(lambda: set(partition.newest) == {"voters/cuts"})

        self.run_site(scenario)

    def test_submission_refused_while_the_store_is_down_never_starts(self):
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

    def test_submission_to_a_store_known_to_be_silent_is_refused_at_once(self):
        # It was sent, and left unknown once its time was over.
        job = make_job()

        async def scenario(world):
            await until(lambda: world.daemons[0].controllers)
            service = world.daemons[0].service
            world.store.knobs.silent = True
            await anyio.sleep(MAX_STORE_SILENCE_SECONDS + 0.3)
            with anyio.fail_after(0.2):
                acceptance = await service.submit(job, 2.5)
            self.assertEqual(Acceptance.REFUSED, acceptance)
            world.store.knobs.silent = False
            await anyio.sleep(1.0)
            self.assertEqual({}, count_starts(world, job))
            self.assertEqual(Acceptance.ACCEPTED, await service.submit(job, 0.5))

        self.run_site(scenario)

    def test_urgent_task_overtakes_starts_that_the_link_has_no_room_for(self):
        # 40 starts of 2.8 KB take 3.7 seconds at 0.6 of 50 KB/s.
        spec = "s" * 2_400
        steps = (make_step(40, need=Resources(0.1, 1 << 20, 0)),)
        bulk = attrs.evolve(make_job("b" * 16, steps, priority=1), spec=spec)
        urgent = attrs.evolve(make_job("a" * 16), spec=spec)

        async def scenario(world):
            await submit(world, bulk)
            await until(lambda: count_starts(world, bulk))
            await submit(world, urgent)
            await until_phase(world, urgent, JobPhase.COMPLETED)
            self.assertTrue(len(count_starts(world, bulk)) < 30)
            await until_phase(world, bulk, JobPhase.COMPLETED)

        world = self.run_site(scenario, link_rate=50_000.0, lease=6.0)
        self.assertEqual([1] * 40, list(count_starts(world, bulk).values()))

    def test_repeats_of_a_gang_that_fills_the_link_wait_for_the_budget(self):
        # The starts of the gang take 1.1 seconds of the link, longer than their repeats
        # used to wait.
        step = make_step(20, need=Resources(0.1, 1 << 20, 0), gang=True, per_worker=2)
        job = attrs.evolve(make_job(steps=(step,)), spec="s" * 2_400)
        rate, seconds, sent = 50_000.0, 3.0, []

        async def scenario(world):
            for model in world.fleet.models.values():
                model.knobs.late_starts = 1_000
            (daemon,) = world.daemons
            await until(lambda: daemon.controllers)
            await submit(world, job)
            await anyio.sleep(seconds)
            registry = daemon.metrics.registry
            sent.append(registry.get_sample_value("azurelanding_start_bytes_total"))

        self.run_site(scenario, workers=10, link_rate=rate, lease=6.0)
        gang = 20 * 2_800
        earned = seconds * rate * LINK_SHARE
        self.assertTrue(gang <= sent[0] <= gang + earned, sent)

    def test_worker_that_is_slow_to_start_tasks_holds_up_no_others(self):
        stuck = make_job("a" * 16, (make_step(2),))
        later = make_job("b" * 16, (make_step(2),))

        async def scenario(world):
            world.fleet.models["w0"].knobs.start_delay = 5.0
            await submit(world, stuck)
            await anyio.sleep(0.5)
            await submit(world, later)
            await until_phase(world, later, JobPhase.COMPLETED)
            started = {task for task, _ in world.fleet.models["w1"].started}
            self.assertEqual({later.id}, {task.job for task in started})

        self.run_site(scenario, lease=6.0)

    def test_gang_larger_than_the_burst_of_the_link_starts(self):
        step = make_step(12, need=Resources(0.1, 1 << 20, 0), gang=True)
        job = attrs.evolve(make_job(steps=(step,)), spec="s" * 2_400)

        async def scenario(world):
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)

        world = self.run_site(scenario, link_rate=50_000.0, lease=6.0)
        self.assertEqual([1] * 12, list(count_starts(world, job).values()))

    def test_exception_in_a_controller_does_not_end_the_daemon(self):
        job = make_job()

        async def scenario(world):
            daemon = world.daemons[0]
            await until(lambda: daemon.controllers)
            failing = daemon.controllers["cuts"]
            failing.worker_failures = None
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)
            self.assertIsNot(failing, daemon.controllers["cuts"])

        self.run_site(scenario)

    def test_decisions_are_stored_after_a_controller_failed(self):
        # Its successor repeated an epoch and sequence, so nothing of it was stored.
        first, second = make_job(), make_job("1" * 16)

        async def scenario(world):
            daemon = world.daemons[0]
            await submit(world, first)
            await until_phase(world, first, JobPhase.COMPLETED)
            failing = daemon.controllers["cuts"]
            failing.worker_failures = None
            await submit(world, second)
            await until_phase(world, second, JobPhase.COMPLETED)
            self.assertGreater(daemon.controllers["cuts"].epoch, failing.epoch)
            stored = world.store.partitions["jobs", daemon.stream_of("cuts").partition]
            keys = {record.key for record in stored.records}
            self.assertIn(f"end/{second.id}", keys)

        self.run_site(scenario)

    def test_phase_of_an_unknown_job_is_none(self):
        async def scenario(world):
            await until(lambda: world.daemons[0].controllers)
            phase = await world.daemons[0].service.phase(QUEUE, "f" * 16, 5.0)
            self.assertIsNone(phase)

        self.run_site(scenario)

    def test_pools_of_one_partition_do_not_affect_each_other(self):
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


class HostMoveTest(testtools.TestCase):
    """Moves of hosts to a pool that needs them."""

    def move(self, is_busy, seconds):
        """Return the host orders for a full pool, up to ``seconds`` after the first."""
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

    def test_host_moves_from_the_standby_pool(self):
        orders = self.move(False, 1.0)
        self.assertEqual([("host-s0", "cuts")], [order[:2] for order in orders])

    def test_refused_move_is_repeated_only_after_a_delay(self):
        self.assertEqual(2, len(self.move(True, 1.6)))


class MaintenanceWaveTest(testtools.TestCase):
    """Maintenance waves, which drain each host first."""

    def test_hosts_are_drained_before_their_maintenance(self):
        job = make_job(steps=(make_step(2, long_running=True, may_miss=1),))

        async def scenario(world):
            world.fleet.long_running.add(job.id)
            await submit(world, job)
            await until(lambda: len(count_starts(world, job)) == 2)
            hosts = tuple(f"host-{name}" for name in world.fleet.models)
            world.wave = WaveRequest(1, hosts, 20.0, 1)
            world.store.put("operator", "wave/1", b"wave")
            status_records = world.store.partitions["status", 0].newest
            await until(
                lambda: (
                    "wave/1" in status_records
                    and status_records["wave/1"].value == b"True"
                ),
                15.0,
            )

        world = World()
        for name in ("w0", "w1", "w2"):
            world.add_worker(name)
        world.configure(QUEUE)
        anyio.run(world.run, scenario, 1)
        maintained = [order for order in world.hosts.orders if order[1] == 1]
        self.assertEqual(3, len({order[0] for order in maintained}))
        self.assertEqual([0] * len(maintained), [order[3] for order in maintained])
