"""Run stand-ins as a separate process.

For example: ``python -m azurelanding.standins platform --log-service 127.0.0.1:9001
--host-list 127.0.0.1:9002 --pools 127.0.0.1:9003`` and
``python -m azurelanding.standins executors preview-1=127.0.0.1:9101``.
"""

import pathlib
import signal

import anyio
import defopt
import msgspec

from azurelanding.http_server import HttpServer
from azurelanding.standins.executor import Executor
from azurelanding.standins.host_list import HostList
from azurelanding.standins.log_service import LogService
from azurelanding.standins.pools import Pools
from azurelanding.standins.relay import Relay
from azurelanding.standins.worker import Worker


async def _serve(make_apps):
    """Serve applications over HTTP until SIGTERM or SIGINT.

    ``make_apps(task_group)`` returns pairs of an address and an application.
    """
    async with anyio.create_task_group() as task_group:
        servers = [
            HttpServer.from_config(address, app)
            for address, app in make_apps(task_group)
        ]
        for server in servers:
            server.start(task_group)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        task_group.cancel_scope.cancel()


def platform(*, log_service: str, host_list: str, pools: str):
    """Run the log service, the host list and the pools.

    :param log_service: IP:PORT of the log service
    :param host_list: IP:PORT of the host list
    :param pools: IP:PORT of the pools
    """

    def make_apps(task_group):
        hosts = HostList()
        return [
            (log_service, LogService().app),
            (host_list, hosts.app),
            (pools, Pools(hosts, task_group).app),
        ]

    anyio.run(_serve, make_apps)


def _make_ledger_writer(folder, name):
    """Return a function that appends a ledger line to ``NAME.ledger`` in ``folder``."""
    path = pathlib.Path(folder) / f"{name}.ledger"
    ledger_file = path.open("ab", buffering=0)  # noqa: SIM115

    def write_line(line):
        ledger_file.write(msgspec.json.encode(line) + b"\n")

    return write_line


def executors(*hosts: str, ledgers: str = ""):
    """Run executors.

    :param hosts: NAME=IP:PORT of each executor
    :param ledgers: folder for ledger files, which outlive the process
    """

    def make_apps(_task_group):
        for name, address in (host.partition("=")[::2] for host in hosts):
            write_line = (
                _make_ledger_writer(ledgers, name) if ledgers else lambda line: None
            )
            yield address, Executor(name, write_line).app

    anyio.run(_serve, make_apps)


def workers(*hosts: str):
    """Run workers.

    :param hosts: NAME=IP:PORT of each worker
    """
    pairs = [host.partition("=")[::2] for host in hosts]

    def make_apps(_task_group):
        return [(address, Worker(name).app) for name, address in pairs]

    anyio.run(_serve, make_apps)


async def _relay(routes, knobs):
    async with anyio.create_task_group() as task_group:
        relay = Relay(routes)
        await relay.start(task_group)
        server = HttpServer.from_config(knobs, relay.app)
        server.start(task_group)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        task_group.cancel_scope.cancel()


def relay(*routes: str, knobs: str):
    """Relay TCP connections and inject faults into some of them.

    :param routes: IP:PORT=IP:PORT, the address to listen on and its target
    :param knobs: IP:PORT of the knobs
    """
    anyio.run(_relay, [route.partition("=")[::2] for route in routes], knobs)


if __name__ == "__main__":
    defopt.run([platform, executors, workers, relay])
