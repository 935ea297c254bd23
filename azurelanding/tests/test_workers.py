"""Tests of orders, epochs and leases of workers, and of placement end to end."""

import anyio
import attrs
import testtools

from azurelanding import fleet, orders, rules_parser, task_records, task_restating
from azurelanding.hosts import Host, HostKind, Presence
from azurelanding.http_server import HttpServer
from azurelanding.log_service.task_stream import TaskStream
from azurelanding.metrics import Metrics
from azurelanding.placement_task import Placements, PoolPlacer, make_view
from azurelanding.settings import LogServiceSettings, Settings, WorkersSettings
from azurelanding.standins.log_service import LogService
from azurelanding.standins.site import free_ports
from azurelanding.standins.worker import Worker
from azurelanding.tasks import End, Placement, Resources, Task, TaskPhase, TaskState
from azurelanding.tests.platform_world import until
from azurelanding.workers import wire
from azurelanding.workers.follower import TaskWorkerLink, apply_report
from azurelanding.workers.wire import Attempt, AttemptPhase

GB = 1 << 30
RULES = """
pool cuts spare=yes  # Ana
team guild  # Ana
job print pool=cuts urgency=deferrable cores=2 memory=4GB repeat=no  # Ana
job index pool=cuts urgency=deferrable cores=2 memory=4GB checkpoint=yes  # Ana
job render pool=cuts urgency=urgent cores=2 memory=4GB  # Ana
"""
TEST_SECONDS = 30.0


def make_orders(worker, epoch, sequence, **changes):
    """Return ``Orders`` for a stand-in worker."""
    return wire.Orders("cuts", epoch, sequence, worker.incarnation, 60.0, **changes)


START = wire.Start("t0", 1, "print", Resources(1.0, GB, 0))


class StandinTest(testtools.TestCase):
    """The rules by which a worker never starts an attempt twice."""

    def admit(self, worker, epoch, sequence):
        return worker._admit("cuts", epoch, sequence, 60.0, 0.0)

    def test_rejects_older_epochs_and_older_orders(self):
        worker = Worker("w")
        self.assertTrue(self.admit(worker, 5, 1))
        self.assertFalse(self.admit(worker, 5, 1))
        self.assertTrue(self.admit(worker, 7, 0))
        self.assertFalse(self.admit(worker, 5, 2))
        self.assertFalse(self.admit(worker, 5, 0))

    def test_starts_an_attempt_once(self):
        worker = Worker("w")
        self.admit(worker, 5, 1)
        for sequence in (1, 2):
            worker.apply_orders(make_orders(worker, 5, sequence, starts=(START,)), 0.0)
        self.assertEqual(1, len(worker.ledger))

    def test_a_stop_before_the_start_prevents_the_start(self):
        worker = Worker("w")
        self.admit(worker, 5, 1)
        stop = wire.Stop("t0", 1)
        worker.apply_orders(make_orders(worker, 5, 1, stops=(stop,)), 0.0)
        worker.apply_orders(make_orders(worker, 5, 2, starts=(START,)), 0.0)
        self.assertEqual([], worker.ledger)
        self.assertIs(AttemptPhase.UNSTARTED, worker.runs["t0"].phase)

    def test_stops_tasks_whose_lease_expired(self):
        worker = Worker("w")
        worker.knobs.run_time = 1000.0
        self.admit(worker, 5, 1)
        worker.apply_orders(make_orders(worker, 5, 1, starts=(START,)), 0.0)
        worker.advance(61.0)
        self.assertIs(AttemptPhase.LAPSED, worker.runs["t0"].phase)

    def test_decodes_a_report_as_it_was_encoded(self):
        attempt = Attempt("t0", 2, 7, AttemptPhase.FAILED, 1.5, GB, 2.0, 1.0, 0.5)
        report = wire.Report("i1", 7, True, (attempt,))
        self.assertEqual(report, wire.decode_report(wire.encode_report(report)))


def make_link(*attempts, incarnation="i1"):
    """Return a link to a worker that has reported ``attempts``."""
    host = Host("w0", HostKind.WORKER, "127.0.0.1:1", "z", "r", cores=8, memory=32 * GB)
    link = TaskWorkerLink(host, "cuts", 5, None)
    apply_report(link, wire.Report(incarnation, 1, True, attempts), 0.0)
    return link


def make_placed(repeat=True, attempt=1, incarnation="i1"):
    """Return the state of a placed task from the log, by task id."""
    task = Task("t0", "index", "guild", 0.0, repeat)
    placement = Placement("t0", attempt, "w0", incarnation, Resources(2.0, GB, 0))
    return {"t0": TaskState(task, TaskPhase.PLACED, attempt, placement)}


class OrdersTest(testtools.TestCase):
    """The orders and ends that follow from the log and a worker's report."""

    def compute_orders(self, link, placed):
        return orders.compute_orders(link, placed, {}, 60.0)

    def find_end(self, link, state, listed=True, now=0.0):
        return orders.find_end(link, state, 60.0, listed, now)

    def test_starts_a_task_unknown_to_the_worker(self):
        found_orders = self.compute_orders(make_link(), make_placed())
        self.assertEqual(["t0"], [start.task for start in found_orders.starts])

    def test_sends_no_orders_if_log_and_worker_agree(self):
        link = make_link(Attempt("t0", 1, 1, AttemptPhase.RUNNING))
        self.assertIsNone(self.compute_orders(link, make_placed()))

    def test_stops_a_task_unknown_to_the_log(self):
        link = make_link(Attempt("t0", 1, 1, AttemptPhase.RUNNING))
        self.assertEqual(
            ["t0"], [stop.task for stop in self.compute_orders(link, {}).stops]
        )

    def test_forgets_an_end_only_once_it_is_recorded(self):
        link = make_link(Attempt("t0", 1, 1, AttemptPhase.DONE))
        self.assertIsNone(self.compute_orders(link, make_placed()))
        self.assertEqual(("t0",), self.compute_orders(link, {}).forget)

    def test_never_starts_a_task_on_another_incarnation(self):
        link = make_link(incarnation="i2")
        placed = make_placed(repeat=False)
        self.assertIsNone(self.compute_orders(link, placed))
        self.assertIs(End.GONE, self.find_end(link, placed["t0"]).end)

    def test_waits_for_a_silent_worker_until_its_leases_expired(self):
        link, placed = make_link(), make_placed()
        link.silent_since = 10.0
        self.assertIsNone(self.find_end(link, placed["t0"], now=69.0))
        self.assertIs(End.GONE, self.find_end(link, placed["t0"], now=70.0).end)

    def test_gives_up_an_unrepeatable_task_only_once_the_host_is_delisted(self):
        link, placed = make_link(), make_placed(repeat=False)
        link.silent_since = 10.0
        self.assertIsNone(self.find_end(link, placed["t0"], now=999.0))
        found = self.find_end(link, placed["t0"], listed=False, now=999.0)
        self.assertIs(End.GONE, found.end)

    def test_ignores_an_outdated_attempt_in_a_report(self):
        link = make_link(Attempt("t0", 1, 9, AttemptPhase.DONE))
        late = Attempt("t0", 1, 8, AttemptPhase.RUNNING)
        apply_report(link, wire.Report("i1", 8, False, (late,)), 0.0)
        self.assertIs(AttemptPhase.DONE, link.attempts["t0"].phase)


class WorkerViewTest(testtools.TestCase):
    """Which workers may get new tasks."""

    def is_open(self, presence=Presence.LIVE, phase=fleet.Phase.SERVING):
        link = make_link()
        listed = attrs.evolve(link.host, presence=presence)
        view = make_view(link, listed, fleet.HostState("cuts", 1, phase))
        self.assertNotEqual(view.open, view.draining)
        return view.open

    def test_a_live_serving_worker_is_open(self):
        self.assertTrue(self.is_open())

    def test_a_leaving_or_draining_worker_is_closed(self):
        self.assertFalse(self.is_open(presence=Presence.LEAVING))
        self.assertFalse(self.is_open(phase=fleet.Phase.DRAINING))


@attrs.define
class FakeDaemon:
    """The parts of a control daemon that a placer uses."""

    settings: Settings
    state: fleet.FleetState
    host_list: object
    incarnation: str
    metrics: Metrics
    placements: object = None


@attrs.define
class FakeList:
    """A host list with fixed hosts."""

    hosts: dict


class Cluster:
    """A stand-in log and workers, and any number of placers, in one process."""

    def __init__(self, workers=2, cores=4.0):
        self.log = LogService()
        self.workers = [Worker(f"w{number}") for number in range(workers)]
        log_port, *ports = free_ports(1 + workers)
        self.log_settings = LogServiceSettings(
            address=f"127.0.0.1:{log_port}", timeout=0.5, retry_pause=0.02
        )
        self.servers = [HttpServer.from_config(self.log_settings.address, self.log.app)]
        self.hosts = {}
        self.state = fleet.FleetState(rules=rules_parser.read_rules(RULES))
        for worker, port in zip(self.workers, ports, strict=True):
            address, name = f"127.0.0.1:{port}", worker.name
            self.servers.append(HttpServer.from_config(address, worker.app))
            self.hosts[name] = Host(
                name, HostKind.WORKER, address, "z", "r", cores=cores, memory=64 * GB
            )
            self.state.hosts[name] = fleet.HostState("cuts", 1)
        self.stream = TaskStream.from_config("cuts", self.log_settings)

    def placer(self, epoch):
        settings = Settings(
            name=f"control-{epoch}",
            availability_zone="z",
            log_service=self.log_settings,
            workers=WorkersSettings(period=0.02, lease=20.0, wait=5.0, timeout=0.5),
        )
        daemon = FakeDaemon(
            settings,
            self.state,
            FakeList(self.hosts),
            f"c{epoch}",
            Metrics.from_config(settings.metrics),
        )
        daemon.placements = Placements(daemon)
        return PoolPlacer.from_config("cuts", epoch, daemon)

    async def change(self, body):
        record = task_records.new_record(body, "test", "Ana", 0.0)
        await self.stream.append(record)

    async def submit(self, job, count, prefix):
        repeat = self.state.rules.jobs[job].repeat
        tasks = tuple(
            Task(f"{prefix}{number}", job, "guild", 0.0, repeat)
            for number in range(count)
        )
        await self.change(task_records.TasksSubmitted(tasks))

    async def wait_until(self, condition):
        with anyio.fail_after(TEST_SECONDS):
            while True:
                await self.stream.catch_up()
                if condition(self.stream.tasks):
                    return
                await anyio.sleep(0.02)

    def starts(self):
        entries = [entry for worker in self.workers for entry in worker.ledger]
        return sorted(entry.task for entry in entries)

    async def run(self, scenario):
        async with anyio.create_task_group() as task_group:
            for server in self.servers:
                server.start(task_group)
            await scenario(self, task_group)
            task_group.cancel_scope.cancel()
        await self.stream.close()


class QuotaTest(testtools.TestCase):
    """Quotas across the pools that one daemon controls."""

    def test_counts_the_tasks_of_the_other_pools(self):
        state = fleet.FleetState(rules=rules_parser.read_rules(RULES))
        settings = Settings(name="c", availability_zone="z")
        daemon = FakeDaemon(settings, state, FakeList({}), "c1", None)
        placements = Placements(daemon)
        for pool, count in (("cuts", 2), ("labels", 5)):
            placer = PoolPlacer.from_config(pool, 1, daemon)
            placer.tasks.running["index", "guild"] = count
            placements.placers[pool] = placer
        self.assertEqual({"guild": 5}, placements.usage_in_other_pools("cuts").tasks)

    def test_counts_unconfirmed_placements_as_running(self):
        settings = Settings(name="c", availability_zone="z")
        daemon = FakeDaemon(settings, fleet.FleetState(), FakeList({}), "c1", None)
        placements = Placements(daemon)
        placer = PoolPlacer.from_config("cuts", 1, daemon)
        placements.placers["cuts"] = placer
        self.assertEqual(0, placements.count_tasks_on("w0"))
        placer.unconfirmed = (Placement("t0", 1, "w0", "i1", Resources()),)
        self.assertEqual(1, placements.count_tasks_on("w0"))


class PlacerTest(testtools.TestCase):
    """Placers, a stand-in log and stand-in workers over HTTP."""

    def run_cluster(self, scenario, **options):
        async def run():
            cluster = Cluster(**options)
            with anyio.fail_after(TEST_SECONDS):
                await cluster.run(scenario)

        anyio.run(run)

    def test_runs_submitted_tasks_and_records_their_size(self):
        async def scenario(cluster, task_group):
            for worker in cluster.workers:
                worker.knobs.run_time = 0.05
                worker.knobs.memory = {"index": 2 * GB}
            task_group.start_soon(cluster.placer(3).run)
            await cluster.submit("index", 12, "t")
            await cluster.wait_until(lambda tasks: len(tasks.finished) == 12)
            self.assertEqual(12, len(cluster.starts()))
            sizes = cluster.stream.tasks.sizes["index"]
            self.assertEqual({2 * GB}, {sample.memory for sample in sizes.samples})

        self.run_cluster(scenario)

    def test_starts_no_task_twice_after_lost_replies(self):
        async def scenario(cluster, task_group):
            for worker in cluster.workers:
                worker.knobs.run_time = 0.05
                worker.knobs.lose_replies = 1
            cluster.log.knobs.lose_replies = 1
            task_group.start_soon(cluster.placer(3).run)
            await cluster.submit("print", 6, "t")
            await cluster.wait_until(lambda tasks: len(tasks.finished) == 6)
            self.assertEqual(sorted({*cluster.starts()}), cluster.starts())

        self.run_cluster(scenario)

    def test_only_the_newer_of_two_controllers_decides(self):
        async def scenario(cluster, task_group):
            for worker in cluster.workers:
                worker.knobs.run_time = 0.05
            older, newer = cluster.placer(3), cluster.placer(9)
            task_group.start_soon(older.run)
            await cluster.submit("print", 20, "a")
            await cluster.wait_until(lambda tasks: tasks.on_worker)
            task_group.start_soon(newer.run)
            await cluster.submit("print", 20, "b")
            await cluster.wait_until(lambda tasks: len(tasks.finished) == 40)
            self.assertEqual(40, len(cluster.starts()))
            self.assertEqual(40, len({*cluster.starts()}))
            self.assertEqual(9, cluster.stream.tasks.epoch)

        self.run_cluster(scenario)

    def test_starts_the_task_of_a_lost_controller_once(self):
        async def scenario(cluster, task_group):
            for worker in cluster.workers:
                worker.knobs.run_time = 0.05
            await cluster.submit("print", 1, "t")
            worker = cluster.workers[0]
            placement = Placement(
                "t0", 1, "w0", worker.incarnation, Resources(2.0, GB, 0)
            )
            await cluster.change(task_records.TasksDecided(3, placed=(placement,)))
            task_group.start_soon(cluster.placer(9).run)
            await cluster.wait_until(lambda tasks: len(tasks.finished) == 1)
            self.assertEqual(["t0"], cluster.starts())

        self.run_cluster(scenario)

    def test_starts_from_a_restatement_after_trimming(self):
        async def scenario(cluster, task_group):
            for worker in cluster.workers:
                worker.knobs.run_time = 0.05
            await cluster.submit("print", 4, "t")
            await cluster.stream.catch_up()
            cluster.log.knobs.retention = 1
            for body in task_restating.restate(cluster.stream.tasks):
                await cluster.change(body)
            cluster.log.knobs.retention = 1000
            task_group.start_soon(cluster.placer(3).run)
            await cluster.wait_until(lambda tasks: len(tasks.finished) == 4)
            self.assertEqual(["t0", "t1", "t2", "t3"], cluster.starts())

        self.run_cluster(scenario)

    def test_a_worker_restart_loses_only_unrepeatable_tasks(self):
        async def scenario(cluster, task_group):
            worker = cluster.workers[0]
            worker.knobs.run_time = 600.0
            task_group.start_soon(cluster.placer(3).run)
            await cluster.submit("print", 1, "p")
            await cluster.submit("index", 1, "i")
            await cluster.wait_until(lambda tasks: len(worker.ledger) == 2)
            worker.knobs.run_time = 0.05
            worker.restart()
            await cluster.wait_until(lambda tasks: "i0" in tasks.finished)
            state = cluster.stream.tasks.tasks["p0"]
            self.assertIs(TaskPhase.LOST, state.phase)
            self.assertIn("may have run on w0", state.reason)
            self.assertEqual(["i0", "i0", "p0"], cluster.starts())

        self.run_cluster(scenario, workers=1)

    def test_preempts_by_checkpoint_for_urgent_tasks(self):
        async def scenario(cluster, task_group):
            worker = cluster.workers[0]
            worker.knobs.run_times = {"index": 600.0, "render": 0.05}
            task_group.start_soon(cluster.placer(3).run)
            await cluster.submit("index", 2, "i")
            await cluster.wait_until(lambda tasks: len(worker.ledger) == 2)
            await cluster.submit("render", 2, "r")
            await cluster.wait_until(lambda tasks: {"r0", "r1"} <= {*tasks.finished})
            self.assertEqual([0.0] * 4, [entry.lost for entry in worker.ledger[:4]])
            await cluster.change(task_records.TasksCancelled(job="index"))
            await cluster.wait_until(lambda tasks: not tasks.tasks)

        self.run_cluster(scenario, workers=1)

    def test_places_nothing_on_a_host_once_its_drain_is_read(self):
        async def scenario(cluster, task_group):
            placer = cluster.placer(3)
            task_group.start_soon(placer.run)
            await cluster.submit("index", 1, "a")
            await cluster.wait_until(lambda tasks: tasks.on_worker)
            cluster.state.hosts["w0"] = fleet.HostState("cuts", 2, fleet.Phase.DRAINING)
            cluster.state.next_offset += 1
            await cluster.submit("print", 1, "p")
            await placer.stream.change(
                task_records.new_record(task_records.TasksCancelled(), "t", "t", 0.0)
            )
            await cluster.wait_until(lambda tasks: not tasks.on_worker)
            self.assertEqual(["a0"], cluster.starts())

        self.run_cluster(scenario, workers=1)

    def test_worker_that_was_lent_to_another_pool_takes_orders_again(self):
        # The orders of its new link were numbered from 1 again, and refused as old.
        async def scenario(cluster, task_group):
            worker = cluster.workers[0]
            worker.knobs.run_time = 0.05
            placer = cluster.placer(3)
            task_group.start_soon(placer.run)
            await cluster.submit("print", 4, "a")
            await cluster.wait_until(lambda tasks: len(tasks.finished) == 4)
            for pool, is_linked in (("other", False), ("cuts", True)):
                cluster.state.hosts["w0"] = fleet.HostState(pool, 1)
                await until(lambda expected=is_linked: bool(placer.links) == expected)
            await cluster.submit("print", 1, "b")
            await cluster.wait_until(lambda tasks: len(tasks.finished) == 5)
            self.assertEqual(0, worker.refused)

        self.run_cluster(scenario, workers=1)

    def test_stops_cancelled_tasks(self):
        async def scenario(cluster, task_group):
            worker = cluster.workers[0]
            worker.knobs.run_time = 600.0
            task_group.start_soon(cluster.placer(3).run)
            await cluster.submit("index", 2, "i")
            await cluster.wait_until(lambda tasks: len(worker.ledger) == 2)
            await cluster.change(task_records.TasksCancelled(job="index"))
            await cluster.wait_until(lambda tasks: not worker.runs)
            finished = [entry.end for entry in worker.ledger]
            self.assertEqual(["stopped", "stopped"], finished)

        self.run_cluster(scenario, workers=1)
