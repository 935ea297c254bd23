"""Test a link to a worker over real connections whose answers come late."""

import anyio
import msgspec
import testtools

from azurelanding.fleet_workers import WorkerEntry, WorkerPhase
from azurelanding.http_server import HttpServer, read_body, send_reply
from azurelanding.platform.workers import WorkerClient
from azurelanding.tasks import Resources
from azurelanding.tests.platform_world import make_link
from azurelanding.utils import boot_time

LEASE_SECONDS = 6.0
LATENCY_SECONDS = 0.8


async def answer_late(_scope, receive, send):
    """Answer ``hold`` after its wait and the latency of a full link."""
    values = msgspec.json.decode(await read_body(receive, 1 << 20))
    await anyio.sleep(values["waitMs"] / 1000 + LATENCY_SECONDS)
    answer = {"clockMs": int(boot_time() * 1000), "born": 1}
    await send_reply(send, 200, (), msgspec.json.encode(answer))


def make_entry(address):
    """Return the entry of a worker at ``address``."""
    return WorkerEntry(
        id="w",
        host="host-w",
        pool="cuts",
        address=address,
        availability_zone="a",
        resources=Resources(1.0, 1 << 30, 0),
        labels=(),
        phase=WorkerPhase.READY,
        born=1,
    )


class SlowAnswersTest(testtools.TestCase):
    """A worker that is up, behind a link on which every answer is late."""

    async def follow_for(self, seconds):
        """Return the link after it was followed for some time."""
        server = HttpServer.from_config("127.0.0.1:0", answer_late)
        link = make_link(
            entry=make_entry(server.address),
            make_client=lambda entry: WorkerClient.from_config(
                entry, 1, LEASE_SECONDS, lambda: None
            ),
            lease=LEASE_SECONDS,
        )
        async with anyio.create_task_group() as task_group:
            server.start(task_group)
            for follow in link.followers():
                task_group.start_soon(follow)
            await anyio.sleep(seconds)
            task_group.cancel_scope.cancel()
        await link.close()
        return link

    def test_late_answers_are_read_and_the_lease_is_extended(self):
        link = anyio.run(self.follow_for, LEASE_SECONDS)
        self.assertGreaterEqual(link.report_count, 2)
        self.assertGreater(link.leased_until, boot_time() + LEASE_SECONDS / 2)
