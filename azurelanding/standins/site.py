"""Run a small site as separate processes, for the demo and the tests.

async with anyio.create_task_group():
    site = Site.from_config(SiteConfig(entries=2))
    await site.start()
    ...
    await site.close()
"""

import itertools
import pathlib
import random
import signal
import socket
import sys
import tempfile

import anyio
import attrs
import msgspec
import yaml

from azurelanding.hosts import Host, HostKind
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.operators.client import DaemonUnreachableError, OperatorsClient
from azurelanding.standins.tcp_path import TcpPath

LOOPBACK = "127.0.0.1"
CLIENT_TIMEOUT_SECONDS = 30.0
READY_SECONDS = 20.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.05
PORT_RANGE = range(20_000, 32_000)


class SiteError(Exception):
    """The site did not come up."""


@attrs.frozen
class SiteConfig:
    """What a site consists of.

    ``executors`` and ``workers`` count hosts by name prefix. With ``relayed``,
    entries reach the executors through a relay that can cut connections.
    ``paths`` names the daemons that reach the log over a ``TcpPath`` of their own.
    """

    entries: int = 2
    controls: int = 1
    executors: dict[str, int] = attrs.field(factory=lambda: {"preview": 2})
    workers: dict[str, int] = attrs.field(factory=dict)
    worker_cores: float = 32.0
    worker_memory: int = 128 << 30
    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    executor_processes: int = 1
    relayed: bool = False
    overrides: dict[str, dict] = attrs.field(factory=dict)
    paths: tuple[str, ...] = ()


RESERVED = []


def _reserve(port):
    """Tell whether ``port`` is free, and keep other runs off it from now on.

    Two runs beside each other would else pick the same port before a process of
    either listens; a datagram socket marks it as long as this process lives.
    """
    marker = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        marker.bind((LOOPBACK, port))
        socket.create_server((LOOPBACK, port)).close()
    except OSError:
        marker.close()
        return False
    RESERVED.append(marker)
    return True


def free_ports(count):
    """Return ``count`` free ports of the loopback address.

    They lie below the range from which the system picks the ports of outgoing
    connections, so that none of them is taken before its process listens.
    """
    ports = random.sample(PORT_RANGE, len(PORT_RANGE))
    return list(itertools.islice(filter(_reserve, ports), count))


def count_ports(config):
    """Return how many ports the processes of ``config`` listen on."""
    daemons = config.entries + config.controls
    hosts = sum(config.executors.values()) + sum(config.workers.values())
    relay = sum(config.executors.values()) + 1 if config.relayed else 0
    return 3 + 3 * daemons + hosts + relay + len(config.paths)


def _number_names(counts):
    return [
        f"{prefix}-{number}"
        for prefix, count in counts.items()
        for number in range(1, count + 1)
    ]


def make_workers(config, ports):
    """Return a ``Host`` for each worker of ``config``, four to a rack."""
    return [
        Host(
            name,
            HostKind.WORKER,
            f"{LOOPBACK}:{next(ports)}",
            zone=config.zones[index // 4 % len(config.zones)],
            rack=f"worker-rack-{index // 4 + 1}",
            cores=config.worker_cores,
            memory=config.worker_memory,
        )
        for index, name in enumerate(_number_names(config.workers))
    ]


def make_hosts(config, ports):
    """Return a ``Host`` for each executor of ``config``; takes from ``ports``."""
    names = _number_names(config.executors)
    return [
        Host(
            name,
            HostKind.EXECUTOR,
            f"{LOOPBACK}:{next(ports)}",
            zone=config.zones[index % len(config.zones)],
            rack=f"rack-{index // 4 + 1}",
        )
        for index, name in enumerate(names)
    ]


@attrs.define
class DaemonProcess:
    """A daemon of the site, its addresses and its process."""

    name: str
    role: str
    settings_path: str
    callers: str
    operators: str
    process: object = None


class Site:
    """Stand-ins and daemons, each in a process of its own."""

    def __init__(self, config, folder):
        self.config = config
        self.folder = folder
        self.path = pathlib.Path(folder.name)
        ports = iter(free_ports(count_ports(config)))
        self.hosts = make_hosts(config, ports)
        self.workers = make_workers(config, ports)
        self.log_address = f"{LOOPBACK}:{next(ports)}"
        self.host_list_address = f"{LOOPBACK}:{next(ports)}"
        self.pools_address = f"{LOOPBACK}:{next(ports)}"
        self.listed_hosts = self.hosts
        if config.relayed:
            self.relay_address = f"{LOOPBACK}:{next(ports)}"
            self.listed_hosts = [
                attrs.evolve(host, address=f"{LOOPBACK}:{next(ports)}")
                for host in self.hosts
            ]
        self.paths = {
            name: TcpPath(f"{LOOPBACK}:{next(ports)}", self.log_address)
            for name in config.paths
        }
        self.daemons = {}
        self.standins = {}
        self._lay_out_daemons(ports)

    @classmethod
    def from_config(cls, config):
        """Return a site with addresses of its own, not yet started."""
        return cls(config, tempfile.TemporaryDirectory(prefix="azurelanding-"))

    def _lay_out_daemons(self, ports):
        names = [f"entry-{n + 1}" for n in range(self.config.entries)]
        names += [f"control-{n + 1}" for n in range(self.config.controls)]
        fellows = {name: f"{LOOPBACK}:{next(ports)}" for name in names}
        for index, name in enumerate(names):
            callers, operators = (f"{LOOPBACK}:{next(ports)}" for _ in range(2))
            settings = self._settings(index, name, fellows, callers, operators)
            path = self.path / f"{name}.yaml"
            path.write_text(yaml.safe_dump(settings))
            role = name.partition("-")[0]
            daemon = DaemonProcess(name, role, str(path), callers, operators)
            self.daemons[name] = daemon

    def _settings(self, index, name, fellows, callers, operators):
        others = [address for other, address in fellows.items() if other != name]
        path = self.paths.get(name)
        log_address = path.address if path else self.log_address
        settings = {
            "name": name,
            "availability_zone": self.config.zones[index % len(self.config.zones)],
            "callers": {"address": callers},
            "operators": {"address": operators},
            "entries": {"address": fellows[name], "fellows": others},
            "log_service": {"address": log_address},
            "host_list": {"address": self.host_list_address},
            "pools": {"address": self.pools_address},
        }
        for section, values in self.config.overrides.items():
            settings.setdefault(section, {}).update(values)
        return settings

    @property
    def entries(self):
        """Return the entry daemons in the order of their names."""
        return [d for d in self.daemons.values() if d.role == "entry"]

    @property
    def operators_address(self):
        """Return the operators' address of the first control daemon."""
        daemons = [d for d in self.daemons.values() if d.role == "control"]
        return (daemons or self.entries)[0].operators

    async def _spawn(self, name, *arguments):
        with (self.path / f"{name}.log").open("ab") as output:
            return await anyio.open_process(
                [sys.executable, "-m", *arguments],
                stdin=None,
                stdout=output,
                stderr=output,
            )

    async def _start_standins(self):
        self.standins["platform"] = await self._spawn(
            "platform",
            "azurelanding.standins",
            "platform",
            "--log-service",
            self.log_address,
            "--host-list",
            self.host_list_address,
            "--pools",
            self.pools_address,
        )
        for number in range(self.config.executor_processes):
            await self.start_executors(number)
        if self.workers:
            await self._start_workers()
        if self.config.relayed:
            await self._start_relay()

    async def start_executors(self, number):
        """Start the process ``number`` of executors, again if it was killed."""
        hosts = self.hosts[number :: self.config.executor_processes]
        pairs = [f"{host.name}={host.address}" for host in hosts]
        name = f"executors-{number}"
        options = ["--ledgers", self.folder.name]
        self.standins[name] = await self._spawn(
            name, "azurelanding.standins", "executors", *pairs, *options
        )

    async def _start_workers(self):
        pairs = [f"{host.name}={host.address}" for host in self.workers]
        self.standins["workers"] = await self._spawn(
            "workers", "azurelanding.standins", "workers", *pairs
        )

    async def _start_relay(self):
        routes = [
            f"{listed.address}={host.address}"
            for listed, host in zip(self.listed_hosts, self.hosts, strict=True)
        ]
        options = ["--knobs", self.relay_address]
        self.standins["relay"] = await self._spawn(
            "relay", "azurelanding.standins", "relay", *routes, *options
        )

    async def kill_standin(self, name):
        """End the process of the stand-in ``name`` at once."""
        process = self.standins[name]
        process.kill()
        await process.wait()

    def read_ledger_files(self):
        """Return the ledger lines of every executor, killed ones included."""
        lines = []
        for path in sorted(self.path.glob("*.ledger")):
            whole = path.read_bytes().rpartition(b"\n")[0]
            lines += [msgspec.json.decode(line) for line in whole.splitlines()]
        return lines

    async def start_daemon(self, name):
        """Start the daemon ``name``, again if it was killed."""
        daemon = self.daemons[name]
        daemon.process = await self._spawn(
            name, "azurelanding", daemon.role, "--settings", daemon.settings_path
        )

    async def start(self):
        """Start every process and wait until all answer.

        Raises ``SiteError`` when one does not answer in time.
        """
        await self._start_standins()
        await self.put_hosts([*self.listed_hosts, *self.workers])
        for name in self.daemons:
            await self.start_daemon(name)
        for daemon in self.daemons.values():
            await self.wait_for_status(daemon, lambda report: report.log_service_up)

    async def wait_for_status(self, daemon, condition, timeout=READY_SECONDS):
        """Return the status report of ``daemon`` once it meets ``condition``."""
        client = OperatorsClient.from_config(daemon.operators)
        report = None
        with anyio.move_on_after(timeout):
            while True:
                try:
                    report = await client.status()
                    if condition(report):
                        await client.close()
                        return report
                except DaemonUnreachableError:
                    pass
                await anyio.sleep(POLL_SECONDS)
        await client.close()
        log_text = (self.path / f"{daemon.name}.log").read_text()[-2000:]
        raise SiteError(f"{daemon.name} is not ready: {report}\n{log_text}")

    async def ask(self, address, method, path, value=None):
        """Return the decoded JSON answer of a stand-in, trying until it is up."""
        client = HttpClient(address, CLIENT_TIMEOUT_SECONDS)
        try:
            with anyio.fail_after(READY_SECONDS):
                while True:
                    try:
                        return (await client.request_json(method, path, value))[1]
                    except HttpClientError:
                        await anyio.sleep(POLL_SECONDS)
        finally:
            await client.close()

    async def put_hosts(self, hosts):
        """Put ``hosts`` on the host list."""
        await self.ask(
            self.host_list_address, "PUT", "/hosts", msgspec.to_builtins(hosts)
        )

    async def set_log_knobs(self, **knobs):
        """Set knobs of the log service."""
        await self.ask(self.log_address, "POST", "/knobs", knobs)

    async def set_pools_knobs(self, **knobs):
        """Set knobs of the platform's pools."""
        await self.ask(self.pools_address, "POST", "/knobs", knobs)

    async def ledgers(self):
        """Return the ledger of each executor, by host name."""
        return {
            host.name: await self.ask(host.address, "GET", "/ledger")
            for host in self.hosts
        }

    async def kill(self, name):
        """End the process of the daemon ``name`` at once."""
        process = self.daemons[name].process
        process.kill()
        await process.wait()

    def freeze(self, name):
        """Stop the process of the daemon ``name`` until ``resume``."""
        self.daemons[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Let a frozen process go on."""
        self.daemons[name].process.send_signal(signal.SIGCONT)

    async def stop(self, name):
        """Tell the daemon ``name`` to stop and wait until it has."""
        process = self.daemons[name].process
        process.terminate()
        with anyio.fail_after(STOP_SECONDS):
            return await process.wait()

    async def close(self):
        """End every process by its id; may be called twice."""
        processes = [daemon.process for daemon in self.daemons.values()]
        for process in [*processes, *self.standins.values()]:
            if process is not None and process.returncode is None:
                process.kill()
                with anyio.CancelScope(shield=True):
                    await process.wait()
        self.folder.cleanup()
