"""Send HTTP requests to one peer over a persistent connection.

Answers are parsed by ``httptools``. A daemon on the platform makes most of its calls
here, so an exchange is one write and the reads of its answer.
"""

import asyncio
import contextlib
import select
import typing

import anyio
import anyio.abc
import attrs
import httptools
import msgspec

from azurelanding.addresses import is_reachable, split_address
from azurelanding.decoding import FAULTS, make_json_decoder

MAX_ANSWER_BYTES = 32 << 20
"""Longest answer that is read; several times the longest list of hosts."""
READ_BYTES = 65_536
FIRST_FINAL_STATUS = 200
CLOSE_TIMEOUT_SECONDS = 1.0
CONNECTION_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)


class HttpClientError(Exception):
    """A request got no complete answer.

    ``sent`` says whether the request may have reached the peer.
    """

    def __init__(self, message, sent):
        super().__init__(message)
        self.sent = sent

    @property
    def timed_out(self):
        """Return whether the time for the request ran out."""
        return isinstance(self.__cause__, TimeoutError)


class AnswerFormatError(ValueError):
    """An answer is cut, too long, or no HTTP."""


@attrs.frozen
class HttpAnswer:
    """A complete answer; ``headers`` are pairs of name, in lower case, and value."""

    status: int
    headers: list[tuple[bytes, bytes]]
    content: bytes


decode_any_json = make_json_decoder(typing.Any, ValueError)


@contextlib.contextmanager
def fail_after_reading(seconds):
    """Raise ``TimeoutError`` after ``seconds``, once what has arrived by then is read.

    A busy event loop finds an answer and the end of the time for it together, and
    ``anyio.fail_after`` would drop the answer. Here the time is extended once by as
    much as the loop is late, and by ``seconds`` at most.
    """
    # anyio has no timer that calls a function.
    loop = asyncio.get_running_loop()
    due_at = loop.time() + seconds
    with anyio.CancelScope() as scope:

        def expire():
            scope.deadline = loop.time() + min(loop.time() - due_at, seconds)

        timer = loop.call_at(due_at, expire)
        try:
            yield scope
        finally:
            timer.cancel()
    if scope.cancelled_caught:
        raise TimeoutError


class AnswerReader:
    """Collects one answer from the bytes of a connection.

    The methods whose names begin with ``on_`` are called by the parser.
    ``is_kept_open`` says whether the peer keeps the connection after the answer, and
    ``has_excess`` whether bytes followed it, which belong to no request.
    """

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers = []
        self.parts = []
        self.size = 0
        self.is_complete = False
        self.is_kept_open = False
        self.has_excess = False

    def on_message_begin(self):
        """Note that an answer begins."""
        self.has_excess = self.is_complete

    def on_header(self, name, value):
        """Take one header."""
        if not self.is_complete:
            self.headers.append((name.lower(), value))

    def on_body(self, part):
        """Take a part of the body."""
        if not self.is_complete:
            self.parts.append(part)
            self.size += len(part)

    def on_message_complete(self):
        """Note the end of an answer; one that announces another does not count."""
        if self.is_complete:
            return
        self.status = self.parser.get_status_code()
        if self.status >= FIRST_FINAL_STATUS:
            self.is_complete = True
            self.is_kept_open = self.parser.should_keep_alive()
        else:
            self.headers = []

    def feed(self, data):
        """Take what was read; raise ``AnswerFormatError`` if it is no answer."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_complete:
                raise AnswerFormatError(f"not an HTTP answer: {error}") from error
            self.has_excess = True
        if self.size > MAX_ANSWER_BYTES:
            raise AnswerFormatError(f"more than {MAX_ANSWER_BYTES} bytes")

    def end(self):
        """Note that the peer closed the connection, which ends a body without length.

        Raises ``AnswerFormatError`` when the answer is cut.
        """
        names = {name for name, _ in self.headers}
        has_length = names & {b"content-length", b"transfer-encoding"}
        if not self.headers or has_length:
            raise AnswerFormatError("the connection was closed before the end")
        self.status = self.parser.get_status_code()

    def answer(self):
        """Return the ``HttpAnswer``."""
        return HttpAnswer(self.status, self.headers, b"".join(self.parts))

    def allows_another(self):
        """Return whether another request may be sent over the connection."""
        return self.is_kept_open and not self.has_excess


class HttpClient:
    """A connection to one peer, opened on demand, for one request at a time.

    Requests to an ``address`` where no peer can be fail like those to one that is down.
    ``timeout`` limits each complete exchange, in seconds, unless stated otherwise. The
    connection is closed after a failure, so that a late answer can't be taken for that
    of a later request. ``on_open()`` is called for each connection that is opened, and
    ``on_answer(target, headers, length)`` for each complete answer.
    """

    def __init__(self, address, timeout, on_open=None):
        self.address = address
        self.timeout = timeout
        self.on_open = on_open
        self.on_answer = None
        self.lock = anyio.Lock(fast_acquire=True)
        self.stream = None
        self.idle = None

    async def _open(self):
        host, port = split_address(self.address)
        if self.on_open is not None:
            self.on_open()
        self.stream = await anyio.connect_tcp(host, port)
        self.idle = select.poll()
        raw_socket = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self.idle.register(raw_socket, select.POLLIN)

    async def _drop_if_closed(self):
        """Drop the connection if the peer closed it or sent more while it was idle."""
        if self.stream is not None and self.idle.poll(0):
            await self._drop()

    async def is_open(self):
        """Return whether the next request goes over the connection of the last one.

        A peer that has started again since answers over another one.
        """
        async with self.lock:
            await self._drop_if_closed()
            return self.stream is not None

    def _encode_request(self, method, target, headers, body):
        """Return a request in bytes; raise ``ValueError`` if it can't be sent."""
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self.address}",
            *(f"{name}: {value}" for name, value in headers),
            f"Content-Length: {len(body)}",
        ]
        if any("\r" in line or "\n" in line for line in lines):
            raise ValueError("a line break in the head of a request")
        return "\r\n".join((*lines, "\r\n")).encode("ascii") + body

    async def _exchange(self, request, on_part=lambda: None):
        """Send a request and return the ``HttpAnswer``.

        ``on_part()`` is called whenever a part of the body has arrived.
        """
        await self._drop_if_closed()
        if self.stream is None:
            await self._open()
        reader = AnswerReader()
        await self.stream.send(request)
        while not reader.is_complete:
            try:
                data = await self.stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                reader.end()
                break
            reader.feed(data)
            if reader.parts:
                on_part()
        if not reader.allows_another():
            await self._drop()
        return reader.answer()

    async def request(self, method, target, body=b"", headers=(), timeout=None):
        """Send a request and return the status and the body of the answer.

        ``timeout`` in seconds replaces that of the client. Raises
        ``HttpClientError`` when there is no complete answer in time.
        """
        answer = await self.send(method, target, body, headers, timeout)
        return answer.status, answer.content

    async def send(
        self,
        method,
        target,
        body=b"",
        headers=(),
        timeout=None,
        limit_time=anyio.fail_after,
    ):
        """Send a request and return the ``HttpAnswer``.

        ``timeout`` in seconds replaces that of the client, and ``limit_time(timeout)``
        applies it. Raises ``HttpClientError`` when there is no complete answer in time.
        """
        async with self._limited(timeout, limit_time):
            request = self._encode_request(method, target, headers, body)
            answer = await self._exchange(request)
        self._tell_answer(target, answer)
        return answer

    async def download(self, target, timeout=None):
        """Get ``target`` and return the status and the body of the answer.

        ``timeout`` in seconds limits the wait for the answer to begin, and that of the
        client how long it may stall. A long answer over a thin link is thus read to its
        end, where a limit of the whole would have it sent again from the start. Raises
        ``HttpClientError`` when there is no complete answer.
        """
        async with self._limited(timeout) as scope:

            def extend_deadline():
                scope.deadline = anyio.current_time() + self.timeout

            request = self._encode_request("GET", target, (), b"")
            answer = await self._exchange(request, extend_deadline)
        self._tell_answer(target, answer)
        return answer.status, answer.content

    def _tell_answer(self, target, answer):
        if self.on_answer is not None:
            self.on_answer(target, answer.headers, len(answer.content))

    @contextlib.asynccontextmanager
    async def _limited(self, timeout, limit_time=anyio.fail_after):
        """Limit the time of an exchange, and close the connection if it fails."""
        if not is_reachable(self.address):
            message = f"no peer can be at {self.address!r}"
            raise HttpClientError(message, sent=False)
        max_wait = self.timeout if timeout is None else timeout
        async with self.lock:
            is_done = False
            try:
                with limit_time(max_wait) as scope:
                    yield scope
                is_done = True
            except (*CONNECTION_ERRORS, *FAULTS) as error:
                was_connected = self.stream is not None
                verb = "no answer from" if was_connected else "can't connect to"
                message = f"{verb} {self.address}: {error!r}"
                raise HttpClientError(message, was_connected) from error
            finally:
                if not is_done:
                    await self._drop()

    async def request_json(self, method, target, value=None):
        """Send ``value`` as JSON and return the status and the decoded answer.

        An empty body is sent for a ``value`` of ``None``, and an empty answer
        decodes to ``None``. Raises ``HttpClientError`` when there is no complete
        answer in time or it is not JSON.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        headers = (("Content-Type", "application/json"),)
        status, content = await self.request(method, target, body, headers)
        try:
            decoded = decode_any_json(content) if content else None
        except ValueError as error:
            message = f"{self.address} answered {target} with no JSON"
            raise HttpClientError(message, sent=True) from error
        return status, decoded

    async def _drop(self):
        if self.stream is None:
            return
        stream, self.stream = self.stream, None
        # What was not sent yet is lost, so that a request isn't carried out late.
        with anyio.CancelScope(shield=True), anyio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            await stream.aclose()

    async def close(self):
        """Close the connection. Closing it again does nothing."""
        await self._drop()
