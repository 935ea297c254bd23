"""Test that no task runs twice on a small site under random disruptions.

Workers fall silent, restart, lose answers and carry out calls late, entries vanish, the
store fails and control moves, all at random times. Each start is checked against the
runs on all workers, and each end that a worker drops against the starts after it.
"""

import collections
import random

import anyio
import testtools

from azurelanding.jobs import RunEnd
from azurelanding.standins.platform_worker import (
    ModelWorkerClient,
    WorkerFleet,
    WorkerModel,
)
from azurelanding.tests.platform_world import World, make_job, make_queue, make_step
from azurelanding.utils import boot_time
from azurelanding.worker_calls import Refusal, WorkerNoResponseError, WorkerRefusedError

SEEDS = range(6)
SECONDS = 10.0
LEASE_SECONDS = 1.5
PERIODS = (0.1, 0.4, 1.0, 2.5, 4.0)
"""How long a disruption may last, in seconds."""


class CheckedWorker(WorkerModel):
    """A worker that tells ``record`` of its starts and of the ends that it drops.

    ``highest_runs`` holds by task the highest run that ended or was stopped,
    ``done_at`` the times of the ends as done by number, and ``lapsed_at`` when its
    lease was last found to be over.
    """

    def __init__(self, name, record, pool="cuts"):
        self.record = record
        self.lapsed_at = 0.0
        super().__init__(name, pool)

    def restart(self):
        super().restart()
        self.highest_runs, self.done_at = {}, {}

    def advance(self):
        super().advance()
        if boot_time() >= self.lease_end:
            self.lapsed_at = boot_time()

    def _end(self, key, run_end):
        super()._end(key, run_end)
        self._refuse_up_to(*key)
        if run_end is RunEnd.DONE:
            self.done_at[self.last_end_number] = boot_time()

    def stop(self, task, run):
        super().stop(task, run)
        self._refuse_up_to(task, run)

    def _refuse_up_to(self, task, run):
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))

    def start(self, order, lease_end, long_running):
        key = order.task, order.run
        if key not in self.running:
            if order.run <= self.highest_runs.get(order.task, 0):
                self.lease_end = max(self.lease_end, lease_end)
                raise WorkerRefusedError("an old run", Refusal.OLD_RUN)
            self.record.add_start(key, self.name)
        super().start(order, lease_end, long_running)

    def dropped(self, ends):
        """Tell of the ``ends`` that a call has let the worker drop."""
        for end in ends:
            at = self.done_at.get(end.number)
            if end.end is RunEnd.DONE and at > self.lapsed_at:
                self.record.add_done(end.task, at)


class Record:
    """The starts and recorded ends of one site, and what of it must not happen."""

    def __init__(self, models):
        self.models = models
        self.starts = collections.defaultdict(list)
        self.done = {}
        self.faults = []

    def add_start(self, key, worker):
        """Add the start of a run."""
        task, _ = key
        for model in self.models.values():
            model.advance()
            if any(task == other for other, _ in model.running):
                self.faults.append(f"{key} starts on {worker}, runs on {model.name}")
        if task in self.done:
            self.faults.append(f"{key} starts on {worker} after its end was recorded")
        self.starts[task].append(boot_time())

    def add_done(self, task, at):
        """Add an end as done at ``at`` that was recorded."""
        self.done.setdefault(task, at)
        if any(started_at > at for started_at in self.starts[task]):
            self.faults.append(f"{task} was started after the end that was recorded")


class CheckedClient(ModelWorkerClient):
    """A client whose connection ends with the incarnation that it was opened to."""

    incarnation = None

    async def hold(self, last_seen, lease_end=None, wait=0.0):
        model = self.fleet.models[self.worker.id]
        if self.incarnation != model.incarnation:
            last_seen = 0
        self.incarnation = incarnation = model.incarnation
        before = list(model.ends)
        try:
            return await super().hold(last_seen, lease_end, wait)
        finally:
            if model.incarnation != incarnation:
                raise WorkerNoResponseError("the connection has ended", True)
            model.dropped(end for end in before if end not in model.ends)


class CheckedFleet(WorkerFleet):
    """The workers of a site, called over ``CheckedClient``s."""

    def client(self, entry, epoch, _lease, on_open):
        on_open()
        return CheckedClient(self, entry, epoch)


class Disruptions:
    """The disruptions of a ``World`` with ``CheckedWorker``s, drawn from a seed.

    ``repairs`` holds the functions that end those which last.
    """

    def __init__(self, seed, world):
        self.random = random.Random(seed)
        self.world = world
        self.repairs = []

    async def run(self):
        """Disrupt the site until cancelled."""
        kinds = (
            self.silence,
            self.silence_for_one_controller,
            self.restart,
            self.lose_answers,
            self.delay_starts,
            self.shorten_reports,
            self.remove_entry,
            self.cut_off_daemon,
            self.expire_member,
            self.refuse_at_store,
            self.delay_appends,
            self.lose_answers_of_store,
        )
        await self.run_kinds(kinds)

    async def run_kinds(self, kinds):
        """Disrupt the site in the ways of ``kinds`` until cancelled."""
        async with anyio.create_task_group() as task_group:
            while True:
                await anyio.sleep(self.random.uniform(0.05, 0.5))
                model = self.random.choice(list(self.world.fleet.models.values()))
                repair = self.random.choice(kinds)(model)
                if repair is not None:
                    self.repairs.append(repair)
                    seconds = self.random.choice(PERIODS)
                    task_group.start_soon(self._repair_later, seconds, repair)

    async def _repair_later(self, seconds, repair):
        await anyio.sleep(seconds)
        repair()

    def silence(self, model):
        model.knobs.silent = True
        if self.random.random() < 0.3:
            model.restart()
        return lambda: setattr(model.knobs, "silent", False)

    def silence_for_one_controller(self, model):
        epochs = [c.epoch for d in self.world.daemons for c in d.controllers.values()]
        first = self.random.choice([*epochs, 0])
        model.knobs.silent_epochs = self.random.choice(
            (range(first + 1), range(first, 1 << 40))
        )
        return lambda: setattr(model.knobs, "silent_epochs", range(0))

    def restart(self, model):
        model.restart()
        self.world.store.put("workers", model.name, b"entry")

    def lose_answers(self, model):
        model.knobs.lose_replies = self.random.randint(1, 4)

    def delay_starts(self, model):
        model.knobs.late_starts = self.random.randint(1, 4)
        return model.release

    def shorten_reports(self, model):
        model.knobs.ends_per_report = self.random.choice((1, 2, 500))

    def remove_entry(self, model):
        self.world.store.put("workers", model.name, None)
        return lambda: self.world.store.put("workers", model.name, b"entry")

    def cut_off_daemon(self, _model):
        daemon = self.random.choice(self.world.daemons)
        clients = [daemon.member.client]
        clients += [c.appender.client for c in daemon.controllers.values()]
        for stream in daemon.streams.values():
            clients += [stream.appender.client, stream.cancellations.client]
            clients += [stream.follower.reader, stream.follower.refresher]
        return self.switch(clients, "cut")

    def expire_member(self, _model):
        group = self.world.store.groups["control"]
        if group.members:
            group.members.pop(self.random.choice(sorted(group.members)))
            self.world.store.assign("control", ("jobs",))

    def refuse_at_store(self, _model):
        return self.switch([self.world.store.knobs], "refuse")

    def delay_appends(self, _model):
        self.world.store.knobs.delay_appends = self.random.randint(1, 2)
        return self.world.store.release

    def lose_answers_of_store(self, _model):
        self.world.store.knobs.lose_replies = self.random.randint(1, 3)

    def switch(self, objects, name):
        """Set an attribute of some objects; return a function that resets it."""

        def switch(state):
            for each in objects:
                setattr(each, name, state)

        switch(True)
        return lambda: switch(False)


class RandomDisruptionsTest(testtools.TestCase):
    """Sites of four workers and two daemons, each under its own disruptions."""

    def make_world(self, seed):
        """Return a site and the ``Record`` of its workers."""
        world = World(partitions=2, lease=LEASE_SECONDS)
        world.fleet = CheckedFleet()
        world.hosts.fleet = world.fleet
        record, source = Record(world.fleet.models), random.Random(seed)
        for number in range(4):
            model = world.fleet.add(CheckedWorker(f"w{number}", record))
            model.knobs.run_time = source.choice((0.05, 0.3, 0.8))
            world.store.put("workers", model.name, b"entry")
        world.configure(make_queue())
        return world, record

    async def submit_jobs(self, world, source):
        """Submit jobs of one and of two steps and of gangs until cancelled."""
        async with anyio.create_task_group() as task_group:
            for number in range(10_000):
                count = source.randint(1, 6)
                chain = make_step(2), make_step(count, after=(0,))
                steps = source.choice(
                    ((make_step(count),), chain, (make_step(3, gang=True),))
                )
                job = make_job(f"{number:016x}", steps, max_attempts=9)
                service = source.choice(world.daemons).service
                task_group.start_soon(service.submit, job, 3.0)
                await anyio.sleep(source.uniform(0.1, 0.6))

    async def advance(self, world):
        """Let all workers end runs in time until cancelled, whoever calls them."""
        while True:
            for model in world.fleet.models.values():
                model.advance()
            await anyio.sleep(0.005)

    async def play(self, seed, records):
        """Run one site for some seconds and keep its record by seed."""
        world, records[seed] = self.make_world(seed)
        with anyio.move_on_after(SECONDS):
            async with anyio.create_task_group() as task_group:
                for name in ("d0", "d1"):
                    await world.daemon(name).start(task_group)
                task_group.start_soon(self.advance, world)
                task_group.start_soon(self.submit_jobs, world, random.Random(seed))
                task_group.start_soon(Disruptions(seed, world).run)

    def test_no_task_runs_twice(self):
        records = {}

        async def main():
            async with anyio.create_task_group() as task_group:
                for seed in SEEDS:
                    task_group.start_soon(self.play, seed, records)

        anyio.run(main)
        faults = {seed: r.faults for seed, r in records.items() if r.faults}
        self.assertEqual({}, faults)
        started = sum(len(record.starts) for record in records.values())
        self.assertGreater(started, 10 * len(SEEDS))
