"""Tests of the persistent connection to a peer."""

import socket

import anyio
import testtools

from azurelanding import http_server
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.http_server import HttpServer


async def reply_ok(_scope, _receive, send):
    """Answer every request with an empty reply."""
    await http_server.send_reply(send, 200, (), b"")


class HttpClientTest(testtools.TestCase):
    """A connection whose peer is restarted."""

    async def request_before_and_after_a_restart(self):
        address = "127.0.0.1:0"
        async with anyio.create_task_group() as task_group:
            server = HttpServer.from_config(address, reply_ok)
            address = server.address
            client = HttpClient(address, 5.0)
            server.start(task_group)
            before = await client.request("POST", "/a")
            await server.close()
            server = HttpServer.from_config(address, reply_ok)
            server.start(task_group)
            after = await client.request("POST", "/b")
            await client.close()
            await server.close()
        return before, after

    def test_a_connection_closed_by_its_peer_is_not_reused(self):
        before, after = anyio.run(self.request_before_and_after_a_restart)
        self.assertEqual(((200, b""), (200, b"")), (before, after))

    def test_request_without_a_connection_was_not_sent(self):
        # It was reported as possibly carried out, so callers got no clean refusal.
        async def main(listener):
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            clients = [HttpClient(address, 0.3) for _ in range(4)]
            sent = []
            for client in clients:
                try:
                    await client.request("POST", "/a", b"x")
                except HttpClientError as error:
                    sent.append(error.sent)
            return sent

        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            # The queue of new connections is full after the first one.
            self.assertEqual([True, False, False, False], anyio.run(main, listener))
