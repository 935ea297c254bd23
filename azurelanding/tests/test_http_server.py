"""Tests of the HTTP server."""

import contextlib
import socket

import anyio
import testtools

from azurelanding.http_server import HttpServer


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
