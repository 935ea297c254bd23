"""Test that answers which take longer than their timeout to arrive are read whole."""

import anyio
import testtools

from azurelanding import fleet
from azurelanding.host_list import wire as host_list_wire
from azurelanding.host_list.follower import HostListFollower
from azurelanding.hosts import Host, HostKind
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.http_server import send_reply
from azurelanding.log_service import snapshots
from azurelanding.log_service.client import LogClient
from azurelanding.settings import HostListSettings, LogServiceSettings
from azurelanding.standins.log_service import LogService
from azurelanding.tests.platform_world import until
from azurelanding.tests.test_platform_calls import serve

TIMEOUT_SECONDS = 0.3
ANSWER_SECONDS = 0.9
STALL_SECONDS = 1.5
PIECES = 30


def over_thin_link(app, stall_after=PIECES):
    """Return ``app`` with each answer sent in pieces over ``ANSWER_SECONDS``.

    An answer stalls for ``STALL_SECONDS`` after ``stall_after`` pieces.
    """

    async def slow_app(scope, receive, send):
        async def send_slowly(message):
            body = message.get("body", b"")
            size = len(body) // PIECES + 1
            for number, begin in enumerate(range(0, len(body), size)):
                if number == stall_after:
                    await anyio.sleep(STALL_SECONDS)
                await anyio.sleep(ANSWER_SECONDS / PIECES)
                piece = body[begin : begin + size]
                await send({**message, "body": piece, "more_body": True})
            await send({**message, "body": b""} if body else message)

        await app(scope, receive, send_slowly)

    return slow_app


class LongAnswerTest(testtools.TestCase):
    """Answers that a daemon on a thin link gave up on again and again."""

    def test_snapshot_is_loaded_over_a_thin_link(self):
        log, state = LogService(), fleet.FleetState(next_offset=7)
        stream = log.streams[snapshots.SNAPSHOT_STREAM]
        for part in snapshots.make_parts(state):
            stream.append(snapshots.wire.encode_part(part), 1000)
        loaded = []

        async def scenario(address):
            settings = LogServiceSettings(address, timeout=TIMEOUT_SECONDS)
            client = LogClient.from_config(settings)
            loaded.append(await snapshots.read_newest(client))
            await client.close()

        serve(over_thin_link(log.app), scenario)
        self.assertEqual([7], [state.next_offset for state in loaded])

    def test_host_list_is_loaded_over_a_thin_link(self):
        hosts = tuple(
            Host(f"h{number}", HostKind.WORKER, "127.0.0.1:1", "z", "r")
            for number in range(100)
        )
        listing = host_list_wire.HostListing(1, True, hosts)
        body = host_list_wire.encode_listing(listing)

        async def app(scope, receive, send):
            await send_reply(send, 200, (), body)

        async def scenario(address):
            settings = HostListSettings(address, TIMEOUT_SECONDS)
            follower = HostListFollower.from_config(settings)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(follower.run)
                await until(lambda: len(follower.hosts) == 100, 4.0)
                task_group.cancel_scope.cancel()
            await follower.close()

        serve(over_thin_link(app), scenario)

    def test_answer_that_stalls_is_given_up(self):
        async def app(scope, receive, send):
            await send_reply(send, 200, (), b"x" * 1000)

        async def scenario(address):
            client = HttpClient(address, TIMEOUT_SECONDS)
            with anyio.fail_after(1.0), testtools.ExpectedException(HttpClientError):
                await client.download("/")
            await client.close()

        serve(over_thin_link(app, stall_after=5), scenario)
