"""Forward requests to executors and do nothing else.

``python -m bench.pass_through 127.0.0.1:8080 127.0.0.1:9101 ...`` listens on the
first address and holds ``CONNECTIONS_PER_EXECUTOR`` connections to each of the
others. It is the baseline for the cost of an entry: it uses the same libraries and
makes no decisions or checks.
"""

import collections
import signal

import anyio
import defopt
import httpcore

from azurelanding.addresses import split_address
from azurelanding.http_server import HttpServer, read_body

CONNECTIONS_PER_EXECUTOR = 8
MAX_BODY_BYTES = 1 << 20
SERVICES_PREFIX = "/services"


class PassThrough:
    """The connections that are free, and a semaphore with a permit for each."""

    def __init__(self, targets):
        self.free_connections = collections.deque()
        for target in targets:
            host, port = split_address(target)
            origin = httpcore.Origin(b"http", host.encode(), port)
            for _ in range(CONNECTIONS_PER_EXECUTOR):
                self.free_connections.append(
                    (origin, httpcore.AsyncHTTPConnection(origin))
                )
        self.semaphore = anyio.Semaphore(len(self.free_connections))

    async def app(self, scope, receive, send):
        """Forward the request over a free connection and send its answer back."""
        body = await read_body(receive, MAX_BODY_BYTES)
        async with self.semaphore:
            origin, connection = self.free_connections.popleft()
            try:
                response = await self._forward(origin, connection, scope, body)
            finally:
                self.free_connections.append((origin, connection))
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": response.headers,
            }
        )
        await send({"type": "http.response.body", "body": response.content})

    async def _forward(self, origin, connection, scope, body):
        url = httpcore.URL(
            scheme=b"http",
            host=origin.host,
            port=origin.port,
            target=b"/run" + scope["raw_path"].removeprefix(SERVICES_PREFIX.encode()),
        )
        return await connection.request(
            scope["method"], url, headers=scope["headers"], content=body
        )


async def _serve(address, targets):
    server = HttpServer.from_config(address, PassThrough(targets).app)
    async with anyio.create_task_group() as task_group:
        server.start(task_group)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        task_group.cancel_scope.cancel()


def main(address: str, *targets: str):
    """Forward requests to executors until SIGTERM or SIGINT.

    :param address: IP:PORT to listen on
    :param targets: IP:PORT of each executor
    """
    anyio.run(_serve, address, targets)


if __name__ == "__main__":
    defopt.run(main)
