"""Hold one connection to one executor."""

import socket

import anyio
import httpcore

from azurelanding.settings import split_address
from azurelanding.targets import wire

KEEP_ALIVE_IDLE_SECONDS = 2
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_MILLISECONDS = 3000
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
)


class TargetError(Exception):
    """An executor could not be reached."""


class ExchangeError(Exception):
    """An exchange ended without a whole answer.

    ``written`` says whether any byte of the request was written.
    """

    def __init__(self, message, written):
        super().__init__(message)
        self.written = written


class _GuardedStream(httpcore.AsyncNetworkStream):
    """A stream that writes each request at once, and asks right before.

    What is written waits until the answer is read, so that head and body leave
    in one write.
    """

    def __init__(self, stream):
        self.stream = stream
        self.written = False
        self.heard = True
        self.may_write = None
        self.pending = []
        self.get_extra_info = stream.get_extra_info

    def begin(self, may_write):
        """Ask ``may_write()`` before the first byte of the next request."""
        self.written = False
        self.heard = False
        self.may_write = may_write
        self.pending = []

    async def write(self, buffer, timeout=None):
        self.pending.append(buffer)

    async def _flush(self, timeout):
        request, self.pending = b"".join(self.pending), []
        if not self.may_write():
            raise ExchangeError("the request is answered or late", written=False)
        self.written = True
        await self.stream.write(request, timeout)

    async def read(self, max_bytes, timeout=None):
        if self.pending:
            await self._flush(timeout)
        data = await self.stream.read(max_bytes, timeout)
        self.heard = True
        return data

    async def aclose(self):
        await self.stream.aclose()


class Connection:
    """One connection to an executor, for one request at a time.

    ``verified_at`` is when it was opened or last brought a whole answer.
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

        Raises ``TargetError`` when the executor can't be reached.
        """
        address, port = split_address(host.address)
        origin = httpcore.Origin(b"http", address.encode(), port)
        try:
            stream = await httpcore.AnyIOBackend().connect_tcp(
                address, port, timeout, socket_options=SOCKET_OPTIONS
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise TargetError(f"can't connect to {host.name}: {error}") from error
        return cls(host, origin, _GuardedStream(stream))

    async def exchange(self, request, attempt, may_write):
        """Send ``request`` and return its whole ``Answer`` by its deadline.

        ``attempt`` counts the times that the request was handed to a target,
        this one included. Nothing is written when ``may_write()``, asked right
        before the first byte, is false. Raises ``ExchangeError``, after which the
        connection must be closed.
        """
        self.stream.begin(may_write)
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
        """Tell whether nothing came back since the last request was written."""
        return self.stream.written and not self.stream.heard

    @property
    def idle(self):
        """Tell whether the last exchange left the connection open."""
        return self.protocol.is_idle()

    @property
    def usable(self):
        """Tell whether another request may be sent."""
        return self.protocol.is_idle() and not self.protocol.has_expired()

    async def close(self):
        """Close the connection; may be called twice."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
            await self.protocol.aclose()
