"""Open a connection to an executor and exchange requests and answers over it."""

import socket

import anyio
import httpcore

from azurelanding.addresses import is_reachable, split_address
from azurelanding.targets import wire

KEEP_ALIVE_IDLE_SECONDS = 2
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 3000
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
)


class TargetError(Exception):
    """No connection to an executor could be opened."""


class ExchangeError(Exception):
    """An exchange ended without a complete answer.

    ``written`` says whether any byte of the request was written.
    """

    def __init__(self, message, written):
        super().__init__(message)
        self.written = written


class _BufferedStream(httpcore.AsyncNetworkStream):
    """A stream that buffers each request and checks it again just before sending.

    The buffer is flushed when the answer is first read, so that head and body are
    sent in one write.
    """

    def __init__(self, stream):
        self.stream = stream
        self.written = False
        self.answered = True
        self.may_write = None
        self.pending = []
        self.get_extra_info = stream.get_extra_info

    def start_request(self, may_write):
        """Prepare for a request, which is sent only if ``may_write()`` is true then."""
        self.written = False
        self.answered = False
        self.may_write = may_write
        self.pending = []

    async def write(self, buffer, timeout=None):
        self.pending.append(buffer)

    async def _flush(self, timeout):
        request, self.pending = b"".join(self.pending), []
        if not self.may_write():
            raise ExchangeError(
                "the request was answered already or its deadline has passed",
                written=False,
            )
        self.written = True
        await self.stream.write(request, timeout)

    async def read(self, max_bytes, timeout=None):
        if self.pending:
            await self._flush(timeout)
        data = await self.stream.read(max_bytes, timeout)
        self.answered = True
        return data

    async def aclose(self):
        await self.stream.aclose()


class Connection:
    """One connection to an executor, for one request at a time.

    ``verified_at`` is when the connection was opened or last returned a complete
    answer, in seconds of the monotonic clock.
    """

    def __init__(self, host, origin, stream):
        self.host = host
        self.origin = origin
        self.stream = stream
        self.protocol = httpcore.AsyncHTTP11Connection(origin, stream)
        self.verified_at = anyio.current_time()

    @classmethod
    async def connect(cls, host, timeout):
        """Return a connection to ``host``, opened within ``timeout`` seconds.

        Raises ``TargetError`` when the connection fails or times out.
        """
        if not is_reachable(host.address):
            raise TargetError(f"no executor can be at {host.address!r}")
        address, port = split_address(host.address)
        origin = httpcore.Origin(b"http", address.encode(), port)
        try:
            stream = await httpcore.AnyIOBackend().connect_tcp(
                address, port, timeout, socket_options=SOCKET_OPTIONS
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise TargetError(f"can't connect to {host.name}: {error}") from error
        return cls(host, origin, _BufferedStream(stream))

    async def exchange(self, request, attempt, may_write):
        """Send ``request`` and return the complete ``Answer`` by its deadline.

        ``attempt`` is the number of this attempt, counted from 1. ``may_write()``
        is called immediately before the first byte is written; if it returns false,
        nothing is written. Raises ``ExchangeError``, after which the connection
        must be closed.
        """
        self.stream.start_request(may_write)
        message = wire.encode_request(request, attempt, self.host.address, self.origin)
        try:
            with anyio.fail_after(max(0.0, request.deadline - anyio.current_time())):
                response = await self.protocol.handle_async_request(message)
                await response.aread()
                await response.aclose()
            answer = wire.decode_answer(request, attempt, self.host.name, response)
        except (
            httpcore.ConnectionNotAvailable,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
            wire.AnswerError,
            TimeoutError,
        ) as error:
            message = f"exchange with {self.host.name} failed: {error!r}"
            raise ExchangeError(message, self.stream.written) from error
        self.verified_at = anyio.current_time()
        return answer

    @property
    def unanswered(self):
        """Return whether no byte was received since the last request was written."""
        return self.stream.written and not self.stream.answered

    @property
    def idle(self):
        """Return whether the connection is open and has no exchange in progress."""
        return self.protocol.is_idle()

    @property
    def usable(self):
        """Return whether the connection is idle and the peer has not closed it."""
        return self.protocol.is_idle() and not self.protocol.has_expired()

    async def close(self):
        """Close the connection. Closing it again does nothing."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
            await self.protocol.aclose()
