"""Send HTTP requests to one peer over a persistent connection."""

import asyncio
import contextlib
import typing

import anyio
import attrs
import httpcore
import msgspec

from azurelanding.addresses import is_reachable, split_address
from azurelanding.decoding import FAULTS, make_json_decoder

CONNECT_FAILED = "CONNECTION FAILED"
"""What httpcore tells of a connection that was never opened."""
MAX_ANSWER_BYTES = 32 << 20
"""Longest answer that is read; several times the longest list of hosts."""


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
        return isinstance(self.__cause__, (TimeoutError, httpcore.TimeoutException))


class AnswerTooLongError(ValueError):
    """An answer is longer than ``MAX_ANSWER_BYTES``."""


@attrs.frozen
class HttpAnswer:
    """A complete answer; ``headers`` are pairs of name and value in bytes."""

    status: int
    headers: list[tuple[bytes, bytes]]
    content: bytes


def _make_origin(address):
    """Return the ``httpcore.Origin`` at an address, ``None`` if it can't be one."""
    if not is_reachable(address):
        return None
    host, port = split_address(address)
    return httpcore.Origin(b"http", host.encode(), port)


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


async def _read(response, on_part=lambda: None):
    """Return the body of an ``httpcore.Response``; call ``on_part()`` for each part."""
    parts, size = [], 0
    async for part in response.aiter_stream():
        on_part()
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise AnswerTooLongError(f"more than {MAX_ANSWER_BYTES} bytes")
    return b"".join(parts)


class HttpClient:
    """A connection to one peer, opened on demand, for one request at a time.

    Requests to an ``address`` where no peer can be fail like those to one that is down.
    ``timeout`` limits each complete exchange, in seconds, unless stated otherwise. The
    connection is closed after a failure, so that a late answer can't be taken for that
    of a later request. ``on_open()`` is called for each connection that is opened, and
    ``on_answer(target, headers, length)`` for each complete answer.
    """

    def __init__(self, address, timeout, on_open=None):
        self.origin = _make_origin(address)
        self.address = address
        self.timeout = timeout
        self.on_open = on_open
        self.on_answer = None
        self.lock = anyio.Lock()
        self.connection = None

    async def _drop_if_closed(self):
        """Drop the connection if the peer closed it while it was idle."""
        connection = self.connection
        if connection is not None and (
            connection.has_expired() or not connection.is_available()
        ):
            await self._drop()

    async def is_open(self):
        """Return whether the next request goes over the connection of the last one.

        A peer that has started again since answers over another one.
        """
        async with self.lock:
            await self._drop_if_closed()
            return self.connection is not None

    def _was_connected(self):
        """Return whether the connection was open, so that a request may be sent."""
        return self.connection is None or self.connection.info() != CONNECT_FAILED

    async def _stream(self, method, target, headers=(), body=b""):
        """Return the context manager of an exchange, whose answer is not read yet."""
        await self._drop_if_closed()
        if self.connection is None:
            self.connection = httpcore.AsyncHTTPConnection(self.origin)
            if self.on_open is not None:
                self.on_open()
        url = httpcore.URL(
            scheme=b"http",
            host=self.origin.host,
            port=self.origin.port,
            target=target.encode(),
        )
        host = ("Host", self.address)
        return self.connection.stream(
            method, url, headers=[host, *headers], content=body
        )

    def _tell_answer(self, target, response, content):
        if self.on_answer is not None:
            self.on_answer(target, response.headers, len(content))

    async def request(self, method, target, body=b"", headers=(), timeout=None):
        """Send a request and return the status and the body of the answer.

        ``timeout`` in seconds replaces that of the client. Raises
        ``HttpClientError`` when there is no complete answer in time.
        """
        response = await self.send(method, target, body, headers, timeout)
        return response.status, response.content

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
        async with (
            self._exchange(timeout, limit_time),
            await self._stream(method, target, headers, body) as response,
        ):
            content = await _read(response)
        self._tell_answer(target, response, content)
        return HttpAnswer(response.status, response.headers, content)

    async def download(self, target, timeout=None):
        """Get ``target`` and return the status and the body of the answer.

        ``timeout`` in seconds limits the wait for the answer to begin, and that of the
        client how long it may stall. A long answer over a thin link is thus read to its
        end, where a limit of the whole would have it sent again from the start. Raises
        ``HttpClientError`` when there is no complete answer.
        """
        async with (
            self._exchange(timeout) as scope,
            await self._stream("GET", target) as response,
        ):

            def extend_deadline():
                scope.deadline = anyio.current_time() + self.timeout

            content = await _read(response, extend_deadline)
        self._tell_answer(target, response, content)
        return response.status, content

    @contextlib.asynccontextmanager
    async def _exchange(self, timeout, limit_time=anyio.fail_after):
        """Limit the time of an exchange, and close the connection if it fails."""
        if self.origin is None:
            message = f"no peer can be at {self.address!r}"
            raise HttpClientError(message, sent=False)
        max_wait = self.timeout if timeout is None else timeout
        async with self.lock:
            try:
                with limit_time(max_wait) as scope:
                    yield scope
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                message = f"can't connect to {self.address}: {error}"
                raise HttpClientError(message, sent=False) from error
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
                TimeoutError,
                *FAULTS,
            ) as error:
                message = f"no answer from {self.address}: {error!r}"
                raise HttpClientError(message, self._was_connected()) from error
            finally:
                if self.connection is not None and not self.connection.is_idle():
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
        connection, self.connection = self.connection, None
        with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
            await connection.aclose()

    async def close(self):
        """Close the connection. Closing it again does nothing."""
        if self.connection is not None:
            await self._drop()
