"""Tests of the persistent connection to a peer."""

import contextlib
import socket

import anyio
import anyio.abc
import testtools

from azurelanding import http_client, http_server
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.http_server import HttpServer


class RawPeer:
    """A peer that answers each request with the next of ``answers``, as raw bytes.

    It closes the connection after an answer of ``None``. ``connections`` counts those
    that were opened.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.connections = 0

    async def serve(self, stream):
        """Serve one connection."""
        self.connections += 1
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while self.answers:
                    await stream.receive()
                    answer = self.answers.pop(0)
                    if answer is None:
                        return
                    await stream.send(answer)
                await stream.receive()


async def ask(peer, count=1):
    """Return the outcomes of ``count`` requests to ``peer`` over one client."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    client, outcomes = HttpClient(f"127.0.0.1:{port}", 2.0), []
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(listener.serve, peer.serve)
        for _ in range(count):
            try:
                outcomes.append(await client.request("POST", "/a", b"x"))
            except HttpClientError as error:
                outcomes.append(error)
        await client.close()
        task_group.cancel_scope.cancel()
    await listener.aclose()
    return outcomes


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


class AnswerTest(testtools.TestCase):
    """Answers of peers that keep to HTTP, more or less."""

    OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

    def test_connection_is_used_again_after_a_whole_answer(self):
        chunked = (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
        )
        peer = RawPeer(self.OK, chunked, b"HTTP/1.1 100 Continue\r\n\r\n" + self.OK)
        self.assertEqual([(200, b"ok")] * 3, anyio.run(ask, peer, 3))
        self.assertEqual(1, peer.connections)

    def test_connection_that_may_carry_other_bytes_is_not_used_again(self):
        answers = (
            self.OK + self.OK,
            self.OK + b"x",
            self.OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
            b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
        )
        for answer in answers:
            peer = RawPeer(answer, self.OK)
            outcomes = anyio.run(ask, peer, 2)
            self.assertEqual([(200, b"ok")] * 2, outcomes, answer)
            self.assertEqual(2, peer.connections, answer)

    def test_answer_that_is_cut_or_no_http_is_an_error(self):
        answers = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nConte",
            b"\x00\xff\r\n\r\n",
            b"HTTP/1.1 abc\r\n\r\n",
            b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        )
        for answer in answers:
            (error,) = anyio.run(ask, RawPeer(answer, None), 1)
            self.assertIsInstance(error, HttpClientError, answer)
            self.assertTrue(error.sent, answer)

    def test_answer_without_a_length_ends_with_the_connection(self):
        class ClosingPeer(RawPeer):
            async def serve(self, stream):
                async with stream:
                    await stream.receive()
                    await stream.send(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nok")

        self.assertEqual([(200, b"ok")], anyio.run(ask, ClosingPeer()))

    def test_answer_that_is_too_long_is_an_error(self):
        self.patch(http_client, "MAX_ANSWER_BYTES", 1)
        (error,) = anyio.run(ask, RawPeer(self.OK))
        self.assertIn("more than 1 bytes", str(error))

    def test_request_that_can_not_be_encoded_is_an_error(self):
        async def main():
            client = HttpClient("127.0.0.1:9", 1.0)
            for headers in ((("a", "b\r\nc: d"),), (("a", "\u0431"),)):
                try:
                    await client.send("POST", "/a", b"", headers)
                except HttpClientError as error:
                    yield error.sent

        async def collect():
            return [sent async for sent in main()]

        self.assertEqual([False, False], anyio.run(collect))

    def test_address_without_a_peer_is_an_error(self):
        async def main(address):
            try:
                await HttpClient(address, 1.0).request("GET", "/")
            except HttpClientError as error:
                return error.sent

        for address in ("127.0.0.1:99999", "127.0.0.1:-1", "a\r\nb:80", "x", "", ":0"):
            self.assertIs(False, anyio.run(main, address), address)
