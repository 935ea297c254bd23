"""Tests of the HTTP server."""

import contextlib
import socket

import anyio
import testtools

from azurelanding.http_server import HttpServer
from azurelanding.tests.crowds import read_unread_bytes


class HttpServerTest(testtools.TestCase):
    """The options of the listening socket."""

    def test_small_replies_are_sent_without_delay(self):
        listener = HttpServer.from_config("127.0.0.1:0", None).listener
        self.addCleanup(listener.close)
        option = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        self.assertNotEqual(0, option)

    async def cancel_with_a_caller(self):
        server = HttpServer.from_config("127.0.0.1:0", None)
        connections = server.server.server_state.connections
        async with await anyio.connect_tcp(*server.listener.getsockname()) as caller:
            async with anyio.create_task_group() as task_group:
                server.start(task_group)
                while not connections:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                task_group.cancel_scope.cancel()
            with anyio.fail_after(5.0):
                with contextlib.suppress(anyio.EndOfStream):
                    await caller.receive()
        self.assertEqual(-1, server.listener.fileno())

    def test_cancelled_server_closes_its_sockets(self):
        anyio.run(self.cancel_with_a_caller)

    def fill(self, **options):
        """Return the bytes that are held for a client that nobody accepts."""
        server = HttpServer.from_config("127.0.0.1:0", None, **options)
        self.addCleanup(server.listener.close)
        with socket.create_connection(server.listener.getsockname()) as client:
            client.settimeout(0.3)
            with contextlib.suppress(TimeoutError):
                for _ in range(200):
                    client.send(bytes(65_536))
            return read_unread_bytes([server.address])

    def test_receive_buffer_bounds_what_is_not_read(self):
        self.assertLess(self.fill(receive_buffer=8_192), 2 * 8_192)
        # Without it the system holds more by its own choice.
        self.assertGreater(self.fill(), 2 * 8_192)

    def test_whole_backlog_waits_whatever_is_accepted_at_once(self):
        server = HttpServer.from_config("127.0.0.1:0", None, accepted_at_once=2)
        backlogs = []

        async def main():
            async with anyio.create_task_group() as task_group:
                server.start(task_group)
                while not server.server.started:  # noqa: ASYNC110
                    await anyio.sleep(0.01)
                callers = [
                    socket.create_connection(server.listener.getsockname(), 1.0)
                    for _ in range(40)
                ]
                backlogs.append(len(callers))
                for caller in callers:
                    caller.close()
                task_group.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual([40], backlogs)
