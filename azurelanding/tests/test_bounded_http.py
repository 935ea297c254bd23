"""Test that ordinary clients are served within the limits, and what others are told."""

import contextlib
import socket

import anyio
import testtools

from azurelanding.bounded_http import make_protocol
from azurelanding.http_server import HttpServer, read_body, send_reply
from azurelanding.served_metrics import ServedMetrics
from azurelanding.server_load import HttpLimits, ServerLoad
from azurelanding.tests.crowds import connect

LIMITS = HttpLimits(
    max_header=2_000, header_timeout=0.4, request_timeout=1.5, idle_timeout=0.8
)
GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


class BoundedTest(testtools.TestCase):
    """One server, and clients that write bytes."""

    def setUp(self):
        super().setUp()
        self.began, self.bodies = [], []
        self.seconds = 0.0
        self.metrics = ServedMetrics()

    async def app(self, scope, receive, send):
        """Answer with the path, after a while."""
        self.began.append(scope["path"])
        self.headers = scope["headers"]
        self.bodies.append(await read_body(receive, 10_000))
        await anyio.sleep(self.seconds)
        await send_reply(send, 200, (), scope["path"].encode())

    def talk(
        self,
        *pieces,
        gap=0.0,
        max_connections=50,
        max_bytes=1e9,
        then=None,
        kept_headers=None,
    ):
        """Return all that a client receives that sends ``pieces`` with gaps."""
        received, answers = [], []

        async def main():
            load = ServerLoad(max_connections, max_bytes, self.metrics)
            protocol = make_protocol(lambda: LIMITS, load, kept_headers=kept_headers)
            server = HttpServer.from_config("127.0.0.1:0", self.app, http=protocol)
            host, port = server.address.split(":")
            async with anyio.create_task_group() as task_group:
                server.start(task_group)
                with anyio.fail_after(10):
                    async with await anyio.connect_tcp(host, int(port)) as stream:
                        task_group.start_soon(self._read, stream, received)
                        with contextlib.suppress(anyio.BrokenResourceError):
                            for piece in pieces:
                                await stream.send(piece)
                                await anyio.sleep(gap)
                        await anyio.sleep(0.3)
                        answers.append(b"".join(received))
                        if then is not None:
                            await then(host, int(port))
                task_group.cancel_scope.cancel()
            self.load = load

        anyio.run(main)
        return answers[0]

    async def _read(self, stream, received):
        try:
            while True:
                received.append(await stream.receive())
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            received.append(b"<end>")
        except anyio.BrokenResourceError:
            received.append(b"<reset>")

    def test_requests_sent_ahead_are_answered_in_their_order(self):
        answer = self.talk(b"".join(GET % number for number in range(20)))
        self.assertEqual([f"/{number}" for number in range(20)], self.began)
        self.assertEqual(20, answer.count(b"200 OK"))
        self.assertNotIn(b"<end>", answer)

    def test_connection_is_kept_for_requests_with_pauses(self):
        answer = self.talk(*(GET % n for n in range(4)), gap=0.5)
        self.assertEqual(4, answer.count(b"200 OK"))

    def test_connection_may_wait_before_its_first_request(self):
        # Longer than a head may take, and not as long as a connection may be idle.
        answer = self.talk(b"", GET % 1, gap=0.6)
        self.assertIn(b"200 OK", answer)
        self.assertNotIn(b"408", answer)

    def test_connection_that_stays_idle_is_closed_without_a_word(self):
        self.assertEqual(b"<end>", self.talk(b"", gap=1.0))
        self.assertIn(b"200 OK", self.talk(GET % 1, b"", gap=0.6))
        self.assertTrue(self.talk(GET % 1, b"", gap=0.7).endswith(b"<end>"))

    def test_head_in_small_pieces_within_the_limits_is_read(self):
        head = GET.replace(b"\r\n\r\n", b"\r\nx: " + b"a" * 1_800 + b"\r\n\r\n") % 1
        pieces = [head[begin : begin + 20] for begin in range(0, len(head), 20)]
        self.assertIn(b"200 OK", self.talk(*pieces))

    def test_body_in_chunks_of_a_byte_is_read(self):
        chunks = b"".join(b"1\r\na\r\n" for _ in range(5_000))
        answer = self.talk(CHUNKED, chunks, b"0\r\nt: 1\r\n\r\n")
        self.assertIn(b"200 OK", answer)
        self.assertEqual([b"a" * 5_000], self.bodies)

    def test_slow_body_within_the_time_is_read(self):
        pieces = [POST + b"Content-Length: 8\r\n\r\n", *[b"a"] * 8]
        self.assertIn(b"200 OK", self.talk(*pieces, gap=0.1))

    def test_trailers_are_no_headers(self):
        self.talk(CHUNKED + b"0\r\nauthorization: Token k\r\n\r\n")
        self.assertEqual(["/x"], self.began)

    def test_long_head_is_refused_before_it_runs(self):
        long = GET.replace(b"\r\n\r\n", b"\r\nx: " + b"a" * 2_100 + b"\r\n\r\n") % 1
        for pieces in ((long,), (long[:900], long[900:1800], long[1800:])):
            self.assertIn(b"431", self.talk(*pieces))
        self.assertEqual([], self.began)

    def test_slow_head_is_refused(self):
        answer = self.talk(GET[:10], b"", gap=0.6)
        self.assertIn(b"408", answer)
        self.assertIn(b"<end>", answer)

    def test_refusal_is_not_taken_for_the_answer_to_an_earlier_request(self):
        # That one runs: its caller must not be told that it was refused.
        self.seconds = 0.2
        long = GET[:-2] + b"x: " + b"a" * 2_100 + b"\r\n\r\n"
        for begin in (b"nonsense\r\n\r\n", long % 2):
            answer = self.talk(GET % 1, begin, gap=0.05)
            self.assertEqual([], [c for c in (b"400", b"431") if c in answer])
            self.assertRegex(answer, b"<(end|reset)>")

    def test_too_many_requests_ahead_end_the_connection_and_begin_nothing(self):
        self.seconds = 0.5
        answer = self.talk(b"".join(GET % number for number in range(200)))
        self.assertNotIn(b"429", answer)
        self.assertEqual(["/0"], self.began)

    def test_lines_between_requests_don_t_keep_a_connection(self):
        answer = self.talk(GET % 1, *[b"\r\n"] * 20, gap=0.1)
        self.assertEqual(1, answer.count(b"200 OK"))
        self.assertRegex(answer, b"<(end|reset)>")

    def test_dripped_body_ends_the_connection(self):
        pieces = [POST + b"Content-Length: 800\r\n\r\n", *[b"a"] * 30]
        answer = self.talk(*pieces, gap=0.1)
        self.assertNotIn(b"200 OK", answer)
        self.assertRegex(answer, b"<(end|reset)>")

    def test_idle_connection_gives_way_to_a_new_one(self):
        answers = []

        async def ask(host, port):
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(GET % 2)
                answers.append(await stream.receive())

        self.talk(GET % 1, max_connections=1, then=ask)
        self.assertIn(b"200 OK", answers[0])

    def test_connection_that_holds_most_is_closed(self):
        head = POST + b"Content-Length: 9000\r\n\r\n"
        answer = self.talk(head, b"a" * 5_000, max_bytes=4_000)
        self.assertEqual([], self.bodies)
        self.assertRegex(answer, b"<(end|reset)>")
        self.assertEqual(0, self.load.held)

    def test_what_was_cut_is_counted_by_reason(self):
        self.talk(GET[:10], b"", gap=0.6)
        self.assertIn(b"connections_cut_header_too_slow", self.metrics.text())

    def test_nothing_is_held_after_answers(self):
        self.talk(*(POST + b"Content-Length: 3\r\n\r\nabc" for _ in range(3)))
        self.assertEqual(0, self.load.held)
        self.assertEqual([b"abc"] * 3, self.bodies)

    def test_head_is_limited_by_its_bytes_on_the_wire(self):
        head = GET[:-2] % 1
        allowed = (LIMITS.max_header - len(head)) // 4
        self.assertIn(b"200 OK", self.talk(head + b"a:\r\n" * allowed + b"\r\n"))
        over = LIMITS.max_header // 4 + 1
        self.assertIn(b"431", self.talk(head + b"a:\r\n" * (2 * over) + b"\r\n"))

    def test_short_headers_count_as_what_they_take(self):
        # A body that does not come keeps the request waiting.
        head = POST + b"Content-Length: 9\r\n" + b"a:\r\n" * 400 + b"\r\n"
        answer = self.talk(head, max_bytes=100_000)
        self.assertRegex(answer, b"<(end|reset)>")
        self.assertNotIn(b"<", self.talk(head, max_bytes=100_000, kept_headers={b"x"}))

    def test_only_headers_that_are_read_are_kept_and_the_last_of_each(self):
        head = GET[:-2] % 1 + b"A: 1\r\nX: 2\r\na: 3\r\nB: 4\r\nA:5 \r\n\r\n"
        kept = frozenset((b"a", b"b"))
        self.assertIn(b"200 OK", self.talk(head, kept_headers=kept))
        self.assertEqual([(b"a", b"5"), (b"b", b"4")], self.headers)
        self.talk(head)
        self.assertEqual(6, len(self.headers))

    def test_request_that_is_cut_for_its_size_does_not_begin(self):
        self.assertRegex(self.talk(GET % 1, max_bytes=100), b"<(end|reset)>")
        self.assertEqual([], self.began)

    def test_requests_ahead_that_take_too_much_end_with_their_connection(self):
        requests = b"".join(GET % number for number in range(20))
        self.seconds = 0.2
        answer = self.talk(requests, max_bytes=50_000)
        self.assertRegex(answer, b"<(end|reset)>")
        self.assertLessEqual(len(self.began), 1)
        self.assertEqual(0, self.load.held)


class UnreadTest(testtools.TestCase):
    """A client that reads no more, behind small buffers."""

    def setUp(self):
        super().setUp()
        self.began = 0
        self.size = 300_000

    async def app(self, scope, receive, send):
        """Answer with more than the buffers take."""
        self.began += 1
        await send_reply(send, 200, (), b"a" * self.size)

    def leave_unread(self, request, seconds, reads=0):
        """Send ``request`` and read ``reads`` times; return what is left after a while.

        These are the connections, and the bytes that they hold.
        """

        async def main():
            load = ServerLoad(50, 1e9, ServedMetrics())
            protocol = make_protocol(lambda: LIMITS, load)
            server = HttpServer.from_config("127.0.0.1:0", self.app, http=protocol)
            server.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            connections = server.server.server_state.connections
            async with anyio.create_task_group() as task_group:
                server.start(task_group)
                stream = await connect(server.address, small_window=True)
                await stream.send(request)
                for _ in range(reads):
                    await anyio.sleep(LIMITS.idle_timeout / 2)
                    await stream.receive()
                await anyio.sleep(seconds)
                left = len(connections), load.held
                await anyio.aclose_forcefully(stream)
                task_group.cancel_scope.cancel()
            return left

        return anyio.run(main)

    def test_last_answer_that_is_not_read_ends_its_connection_all_the_same(self):
        closing = GET[:-2] % 1 + b"Connection: close\r\n\r\n"
        seconds = 3 * LIMITS.idle_timeout
        # A short one does not make the server wait to write.
        for self.size in (40_000, 300_000):
            self.assertEqual((0, 0), self.leave_unread(closing, seconds))

    def test_last_answer_is_left_to_a_client_that_reads_it_slowly(self):
        closing = GET[:-2] % 1 + b"Connection: close\r\n\r\n"
        count, _ = self.leave_unread(closing, LIMITS.idle_timeout / 2, reads=8)
        self.assertEqual(1, count)

    def test_no_request_begins_while_earlier_answers_are_unread(self):
        self.leave_unread(GET % 1 * 20, LIMITS.idle_timeout / 2)
        self.assertEqual(1, self.began)

    def test_answers_that_are_not_read_count_as_held(self):
        _, held = self.leave_unread(GET % 1, LIMITS.idle_timeout / 2)
        self.assertGreater(held, 100_000)
