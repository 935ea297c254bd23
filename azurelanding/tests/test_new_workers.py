"""Test how soon empty workers that are added get the tasks that wait elsewhere."""

import anyio
import testtools

from azurelanding.tests.platform_world import (
    World,
    make_job,
    make_queue,
    make_step,
    until,
)
from azurelanding.tests.test_pool_control import submit
from azurelanding.utils import boot_time

URGENT_START_SECONDS = 6.0
"""Time in which urgent work starts, by the users' size of two years."""


class NewWorkersTest(testtools.TestCase):
    """Empty workers join while jobs queue on the older ones."""

    async def _time(self, started_at, condition):
        await until(condition)
        return boot_time() - started_at

    def test_new_workers_take_waiting_tasks(self):
        times = {}

        async def scenario(world):
            (daemon,) = world.daemons
            old = world.fleet.models["old"]
            for number in range(4):
                await submit(world, make_job(f"{number}" * 16, steps=(make_step(20),)))
            await until(lambda: len(old.running) == 8)
            (controller,) = daemon.controllers.values()
            started_at = boot_time()
            for name in ("new-1", "new-2", "new-3"):
                world.add_worker(name).knobs.run_time = 30.0
            new = [world.fleet.models[name] for name in ("new-1", "new-2", "new-3")]
            names = {model.name for model in new}
            stages = {
                "read": lambda: names <= daemon.registry.workers.keys(),
                "linked": lambda: names <= controller.links.keys(),
                "answered": lambda: all(
                    controller.links[name].has_answered for name in names
                ),
                "first task on each": lambda: all(model.started for model in new),
                "full": lambda: all(len(model.running) == 8 for model in new),
            }
            for stage, condition in stages.items():
                times[stage] = await self._time(started_at, condition)

        world = World(lease=4.0)
        world.add_worker("old").knobs.run_time = 30.0
        world.configure(make_queue())
        anyio.run(world.run, scenario)
        self.assertLess(times["first task on each"], URGENT_START_SECONDS, times)
        self.addDetail("times", testtools.content.text_content(repr(times)))
