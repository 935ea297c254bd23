"""Serve an ASGI application over HTTP."""

import contextlib
import socket

import anyio
import uvicorn

from azurelanding.addresses import split_address

BACKLOG = 2048
KEEP_ALIVE_SECONDS = 75
DATE_REFRESH_SECONDS = 1.0


class _Server(uvicorn.Server):
    """A server that leaves signal handling to the daemon that runs it."""

    capture_signals = staticmethod(contextlib.nullcontext)

    def __init__(self, config, backlog):
        super().__init__(config)
        self.backlog = backlog
        self.stop_requested = anyio.Event()

    async def startup(self, sockets=None):
        """Listen with the whole backlog, whatever is accepted at once of it."""
        await super().startup(sockets)
        for listener in sockets:
            listener.listen(self.backlog)

    async def main_loop(self):
        """Refresh the ``Date`` header of the replies until the server must stop."""
        while not await self.on_tick(0):
            with anyio.move_on_after(DATE_REFRESH_SECONDS):
                await self.stop_requested.wait()


class HttpServer:
    """A server that listens on one address."""

    def __init__(self, server, listener):
        self.server = server
        self.listener = listener
        self.finished = anyio.Event()

    @classmethod
    def from_config(
        cls,
        address,
        app,
        backlog=BACKLOG,
        accepted_at_once=None,
        receive_buffer=None,
        **options,
    ):
        """Return a server for ``app``, bound to ``address`` but not yet started.

        Up to ``backlog`` connections wait to be accepted, and ``accepted_at_once`` of
        them are, all if it is ``None``. ``receive_buffer`` is how many bytes of a
        connection the system may hold until they are read, ``None`` for the system's
        own choice. ``options`` are those of ``uvicorn.Config``, and replace the ones
        set here. Raises ``OSError`` when the address is in use.
        """
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family, backlog=backlog)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if receive_buffer is not None:
            # Connections inherit it; the system doubles it for its own overhead.
            half = max(1, receive_buffer // 2)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, half)
        defaults = {
            "log_config": None,
            "access_log": False,
            "interface": "asgi3",
            "lifespan": "off",
            "ws": "none",
            "loop": "none",
            "server_header": False,
            "proxy_headers": False,
            "timeout_keep_alive": KEEP_ALIVE_SECONDS,
            "backlog": accepted_at_once or backlog,
        }
        config = uvicorn.Config(app, **{**defaults, **options})
        return cls(_Server(config, backlog), listener)

    @property
    def address(self):
        """Return the address that the server listens on, as ``IP:PORT``."""
        host, port = self.listener.getsockname()[:2]
        return f"{host}:{port}"

    async def _run(self):
        try:
            await self.server.serve(sockets=[self.listener])
        finally:
            self._drop_connections()
            self.finished.set()

    def _drop_connections(self):
        """Close the sockets that a cancelled server leaves open."""
        if self.server.started:
            for server in self.server.servers:
                server.close()
        self.listener.close()
        for connection in list(self.server.server_state.connections):
            connection.transport.abort()

    def start(self, task_group):
        """Serve in a task of ``task_group`` until ``close``."""
        task_group.start_soon(self._run)

    async def close(self):
        """Stop listening and wait for requests in flight. May be called again."""
        self.server.should_exit = True
        self.server.stop_requested.set()
        await self.finished.wait()


async def read_body(receive, limit):
    """Return the body of a request, or ``None`` if it exceeds ``limit`` bytes.

    Raises ``ConnectionResetError`` when the sender disconnects before the end.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionResetError(
                "the sender disconnected before the end of the body"
            )
        body += message.get("body", b"")
        if len(body) > limit:
            return None
        if not message.get("more_body"):
            return bytes(body)


async def send_reply(send, status, headers, body):
    """Send a complete reply; ``headers`` are pairs of name and value as ``str``."""
    encoded = [(name.lower().encode(), value.encode()) for name, value in headers]
    encoded.append((b"content-length", str(len(body)).encode()))
    await send({"type": "http.response.start", "status": status, "headers": encoded})
    await send({"type": "http.response.body", "body": body})
