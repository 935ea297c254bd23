"""Test that records as the platform writes them lead to started tasks."""

import anyio
import msgspec
import testtools

from azurelanding.jobs import JobPhase
from azurelanding.platform.main import make_service_clients
from azurelanding.tests.platform_world import World, make_job, make_step
from azurelanding.tests.test_pool_control import count_starts, submit, until_phase

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": "h.example",
            "pathPrefix": "/q/",
            "service": "cuts",
            "timeoutMs": 3000,
            "maxAttempts": 2,
        }
    ],
    "services": [{"name": "cuts"}],
}


class RecordsWorld(World):
    """A ``World`` whose daemons decode the platform's own records."""

    def put(self, topic, key, value):
        """Store a record as the platform writes it."""
        self.store.put(topic, key, msgspec.json.encode(value))

    def _decode_worker(self, record):
        return make_service_clients(self.site).decode_worker(record)

    def _decode_operator(self, record):
        return make_service_clients(self.site).decode_operator(record)


class DecodedRecordsTest(testtools.TestCase):
    """The workers' entries and the configuration as they are on the wire."""

    def test_tasks_start_on_workers_with_labels(self):
        # Labels that were no tuple ended the controllers: no task was started.
        job = make_job(steps=(make_step(3),))
        world = RecordsWorld()
        model = world.add_worker("w")
        world.put(
            "workers",
            "w",
            {
                "service": "cuts",
                "address": "127.0.0.1:80",
                "zone": "a",
                "state": "ready",
                "machine": model.host,
                "born": model.incarnation,
                "capacity": {"cpu": 16000, "memMb": 4096, "gpus": 0},
                "labels": ["a", "r1-3"],
            },
        )
        world.put("operator", "config", CONFIGURATION)

        async def scenario(world):
            await submit(world, job)
            await until_phase(world, job, JobPhase.COMPLETED)

        anyio.run(world.run, scenario)
        self.assertEqual([1] * 3, list(count_starts(world, job).values()))
