"""Test that no task runs twice while its queue moves between two pools.

Clients hand their jobs in again, at any daemon, until one accepts them. Meanwhile the
queue moves, appends are carried out late or lose their answers, daemons are cut off
from the store, and control moves, all at random times.
"""

import random

import anyio
import attrs
import testtools

from azurelanding.job_service import Acceptance
from azurelanding.jobs import JobPhase
from azurelanding.membership import partition_of
from azurelanding.tests.platform_world import World, make_job, make_queue, make_step
from azurelanding.tests.test_random_disruptions import (
    CheckedFleet,
    CheckedWorker,
    Disruptions,
    Record,
)

SEEDS = range(6)
SECONDS = 10.0
CALM_SECONDS = 8.0
"""Time after the disruptions in which each accepted job must end."""
LEASE_SECONDS = 1.5
POOLS = ("cuts", "labels")
TIMEOUT_SECONDS = 0.6
"""Timeout of a submission, shorter than most disruptions of the store."""


class MovingSite:
    """A site whose queue moves between its pools; ``accepted`` holds the jobs by id."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.world = World(partitions=4, lease=LEASE_SECONDS)
        self.world.fleet = CheckedFleet()
        self.world.hosts.fleet = self.world.fleet
        self.record = Record(self.world.fleet.models)
        self.disruptions = Disruptions(seed, self.world)
        self.version = 0
        self.pool = POOLS[0]
        self.accepted = {}
        for number in range(4):
            pool = POOLS[number % 2]
            model = CheckedWorker(f"w{number}", self.record, pool)
            self.world.fleet.add(model).knobs.run_time = self.random.choice((0.05, 0.3))
            self.world.store.put("workers", model.name, b"entry")
        self.configure()

    def configure(self):
        """Send the queue to ``pool`` with the next version."""
        self.version += 2
        queue = make_queue(pool=self.pool)
        self.world.configure(queue, pools=POOLS, version=self.version)

    async def move(self):
        """Move the queue until cancelled."""
        while True:
            await anyio.sleep(self.random.uniform(0.2, 1.0))
            self.pool = POOLS[self.pool == POOLS[0]]
            self.configure()

    def delay_submissions(self, _model):
        """Leave the submissions of a daemon unanswered; they are carried out later."""
        daemon = self.random.choice(self.world.daemons)
        clients = [stream.appender.client for stream in daemon.streams.values()]
        end = self.disruptions.switch(clients, "delays_appends")

        def repair():
            end()
            self.world.store.release()

        return repair

    async def disrupt(self):
        """Disrupt the store and the control of pools until cancelled."""
        disruptions = self.disruptions
        kinds = (
            disruptions.cut_off_daemon,
            disruptions.expire_member,
            disruptions.refuse_at_store,
            disruptions.delay_appends,
            *[self.delay_submissions] * 10,
            disruptions.lose_answers_of_store,
        )
        await disruptions.run_kinds(kinds)

    async def submit(self, number):
        """Hand a job in until a daemon accepts it, for its queue as that knows it."""
        steps = (make_step(self.random.randint(1, 4)),)
        job = make_job(f"{number:016x}", steps, max_attempts=9)
        acceptance = None
        while acceptance is not Acceptance.ACCEPTED:
            daemon = self.random.choice(self.world.daemons)
            if daemon.operator.configuration is not None:
                queue = daemon.find_queue("host", "/q/")
                attempt = attrs.evolve(job, pool=queue.pool)
                acceptance = await daemon.service.submit(attempt, TIMEOUT_SECONDS)
            await anyio.sleep(self.random.uniform(0.01, 0.3))
        self.accepted[job.id] = job

    async def submit_jobs(self):
        """Submit jobs until cancelled."""
        async with anyio.create_task_group() as task_group:
            for number in range(10_000):
                task_group.start_soon(self.submit, number)
                await anyio.sleep(self.random.uniform(0.05, 0.4))

    async def advance(self):
        """Let all workers end runs in time until cancelled, whoever calls them."""
        while True:
            for model in self.world.fleet.models.values():
                model.advance()
            await anyio.sleep(0.005)

    def calm(self):
        """End all disruptions."""
        self.world.store.knobs.delay_appends = self.world.store.knobs.lose_replies = 0
        for repair in self.disruptions.repairs:
            repair()

    async def find_open_jobs(self):
        """Return the accepted jobs that have not completed, with their phases."""
        service = self.world.daemons[0].service
        queue = make_queue(pool=self.pool)
        phases = {job: await service.phase(queue, job, 5.0) for job in self.accepted}
        completed = JobPhase.COMPLETED
        return {job: phase for job, phase in phases.items() if phase is not completed}

    async def play(self):
        """Play the disruptions and then some calm; return the jobs that are open."""
        async with anyio.create_task_group() as task_group:
            for name in ("d0", "d1", "d2"):
                await self.world.daemon(name).start(task_group)
            task_group.start_soon(self.advance)
            with anyio.move_on_after(SECONDS):
                async with anyio.create_task_group() as disrupted:
                    for run in (self.submit_jobs, self.move, self.disrupt):
                        disrupted.start_soon(run)
            self.calm()
            await anyio.sleep(CALM_SECONDS)
            open_jobs = await self.find_open_jobs()
            task_group.cancel_scope.cancel()
        return open_jobs


class RandomMovesTest(testtools.TestCase):
    """Sites of four workers in two pools and three daemons, each on its own."""

    def test_each_job_runs_once_whichever_pool_its_queue_is_in(self):
        partitions = {partition_of(pool, 4) for pool in POOLS}
        self.assertEqual(len(POOLS), len(partitions))
        sites = {seed: MovingSite(seed) for seed in SEEDS}
        open_jobs = {}

        async def play(seed):
            open_jobs[seed] = await sites[seed].play()

        async def main():
            async with anyio.create_task_group() as task_group:
                for seed in SEEDS:
                    task_group.start_soon(play, seed)

        anyio.run(main)
        faults = {s: site.record.faults for s, site in sites.items()}
        self.assertEqual({}, {s: found for s, found in faults.items() if found})
        self.assertEqual({}, {s: jobs for s, jobs in open_jobs.items() if jobs})
        accepted = sum(len(site.accepted) for site in sites.values())
        self.assertGreater(accepted, 5 * len(SEEDS))
