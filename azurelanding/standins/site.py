"""Run a small site, each daemon as its own process, for the demo, tests and bench.

``LocalSite.from_config(SiteConfig(entries=2))`` prepares a site. Its ``start`` starts
the processes and waits until they are ready, and ``close`` kills them.
"""

import atexit
import itertools
import os
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
READY_TIMEOUT_SECONDS = 20.0
"""Longest wait for a process that runs; one that has ended is not waited for, and one
that gets no processor longer."""
START_PROCESSOR_SECONDS = 4.0
"""Processor time in which any process of a site has started; it needs a fifth of it."""
LONGEST_START_SECONDS = 240.0
ANSWER_SECONDS = 2.0
"""Time in which a process that had no processor answers once it has started."""
STOP_TIMEOUT_SECONDS = 20.0
ABORT_TIMEOUT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.05
LOG_CHARACTERS = 4000
"""Length of the end of a process log that goes into an error message."""
PORT_RANGE = range(20_000, 32_000)


def _state_and_used_seconds(pid):
    """Return the state of a process, such as ``R``, and its processor time."""
    # utime and stime are the 14th and 15th field, state the 3rd.
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    used = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return fields[0], used


class SiteError(Exception):
    """A daemon of the site did not become ready in time."""


@attrs.frozen
class SiteConfig:
    """The daemons and hosts of a site.

    ``executors`` and ``workers`` map a name prefix to the number of hosts. With
    ``relayed``, entries connect to the executors through a relay that can cut
    connections. ``paths`` names the daemons that connect to the log service
    through a ``TcpPath`` of their own. ``overrides`` maps a settings section to
    values for every daemon. ``worker_memory`` is in bytes.
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


def _reserve_port(port):
    """Return whether ``port`` is free, and reserve it if so.

    Two concurrent runs could otherwise pick the same port before a process of
    either listens on it. A bound datagram socket reserves the port until this
    process ends.
    """
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind((LOOPBACK, port))
        socket.create_server((LOOPBACK, port)).close()
    except OSError:
        reservation.close()
        return False
    atexit.register(reservation.close)
    return True


def free_ports(count):
    """Return ``count`` free ports of the loopback address.

    They lie below the system's ephemeral range, so an outgoing connection can't
    take one before its process listens.
    """
    ports = random.sample(PORT_RANGE, len(PORT_RANGE))
    return list(itertools.islice(filter(_reserve_port, ports), count))


def count_ports(config):
    """Return the number of ports that the processes of ``config`` listen on."""
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
    """Return a ``Host`` for each worker of ``config``, four per rack.

    The addresses come from the iterator ``ports``.
    """
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


def make_executors(config, ports):
    """Return a ``Host`` for each executor of ``config``, four per rack.

    The addresses come from the iterator ``ports``.
    """
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
    """A daemon of the site: its settings file, listen addresses and process.

    ``process`` is ``None`` until the daemon is started.
    """

    name: str
    role: str
    settings_path: str
    callers: str
    operators: str
    process: object = None


class LocalSite:
    """Runs the stand-ins and daemons as separate processes.

    ``hosts`` has the executors' own addresses. ``listed_hosts`` has those on the
    host list, which are the relay's when the site has one. ``path`` is the
    directory of the settings, process logs and ledger files.
    """

    def __init__(self, config, folder):
        self.config = config
        self.folder = folder
        self.path = pathlib.Path(folder.name)
        ports = iter(free_ports(count_ports(config)))
        self.hosts = make_executors(config, ports)
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
        self._configure_daemons(ports)

    @classmethod
    def from_config(cls, config):
        """Return a site with free ports and a temporary directory, not yet started."""
        return cls(config, tempfile.TemporaryDirectory(prefix="azurelanding-"))

    def _configure_daemons(self, ports):
        names = [f"entry-{n + 1}" for n in range(self.config.entries)]
        names += [f"control-{n + 1}" for n in range(self.config.controls)]
        entry_addresses = {name: f"{LOOPBACK}:{next(ports)}" for name in names}
        for index, name in enumerate(names):
            callers, operators = (f"{LOOPBACK}:{next(ports)}" for _ in range(2))
            settings = self._make_settings(
                index, name, entry_addresses, callers, operators
            )
            path = self.path / f"{name}.yaml"
            path.write_text(yaml.safe_dump(settings))
            role = name.partition("-")[0]
            daemon = DaemonProcess(name, role, str(path), callers, operators)
            self.daemons[name] = daemon

    def _make_settings(self, index, name, entry_addresses, callers, operators):
        peer_addresses = [
            address for other, address in entry_addresses.items() if other != name
        ]
        path = self.paths.get(name)
        log_address = path.address if path else self.log_address
        settings = {
            "name": name,
            "availability_zone": self.config.zones[index % len(self.config.zones)],
            "callers": {"address": callers},
            "operators": {"address": operators},
            "entries": {"address": entry_addresses[name], "fellows": peer_addresses},
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
                [sys.executable, "-X", "faulthandler", "-m", *arguments],
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
        """Start or restart the process ``number`` of executors."""
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
        """Kill the process of the stand-in ``name``."""
        process = self.standins[name]
        process.kill()
        await process.wait()

    def read_ledger_files(self):
        """Return the lines of all ledger files, those of killed executors included.

        An incomplete last line, left by a kill, is ignored.
        """
        lines = []
        for path in sorted(self.path.glob("*.ledger")):
            complete = path.read_bytes().rpartition(b"\n")[0]
            lines += [msgspec.json.decode(line) for line in complete.splitlines()]
        return lines

    async def start_daemon(self, name):
        """Start or restart the daemon ``name``."""
        daemon = self.daemons[name]
        daemon.process = await self._spawn(
            name, "azurelanding", daemon.role, "--settings", daemon.settings_path
        )

    async def start(self):
        """Start every process and wait until each daemon reaches the log service.

        Raises ``SiteError`` when a daemon isn't ready in time.
        """
        await self._start_standins()
        await self.put_hosts([*self.listed_hosts, *self.workers])
        for name in self.daemons:
            await self.start_daemon(name)
        for daemon in self.daemons.values():
            await self.wait_for_status(daemon, lambda report: report.log_service_up)

    async def wait_for_status(self, daemon, condition, timeout=READY_TIMEOUT_SECONDS):
        """Poll the status of ``daemon`` until ``condition(report)``; return the report.

        Raises ``SiteError`` after ``timeout`` seconds, or when the process has ended.
        The process is then ended, for the log to tell what it was doing. While one of
        the site's processes waits for a processor to start on, the time is longer.
        """
        client = OperatorsClient.from_config(daemon.operators)
        started_at = anyio.current_time()
        report, fault = None, None

        async def cancel_when_ended(task_group):
            await daemon.process.wait()
            task_group.cancel_scope.cancel()

        try:
            with anyio.move_on_after(LONGEST_START_SECONDS):
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(cancel_when_ended, task_group)
                    task_group.start_soon(self._cancel_after, timeout, task_group)
                    while True:
                        try:
                            report = await client.status()
                            if condition(report):
                                task_group.cancel_scope.cancel()
                                return report
                        except DaemonUnreachableError as error:
                            fault = error
                        await anyio.sleep(POLL_INTERVAL_SECONDS)
        finally:
            await client.close()
        waited = anyio.current_time() - started_at
        found = await self._end_and_describe(daemon)
        message = f"{daemon.name} is not ready after {waited:.1f} s: {found}"
        raise SiteError(
            f"{message}, last status: {report}, last fault: {fault}\n"
            f"{self._end_of_log(daemon.name)}"
        )

    async def _cancel_after(self, timeout, task_group):
        """Cancel once ``timeout`` is over and no process waits for a processor.

        One that has just started still has to answer, so it gets ``ANSWER_SECONDS``.
        """
        await anyio.sleep(timeout)
        answer_by = anyio.current_time() + ANSWER_SECONDS
        while anyio.current_time() <= answer_by:
            if self._is_starting():
                answer_by = anyio.current_time() + ANSWER_SECONDS
            await anyio.sleep(POLL_INTERVAL_SECONDS)
        task_group.cancel_scope.cancel()

    def _is_starting(self):
        """Return whether a process can run and has not had the time to start."""
        processes = [daemon.process for daemon in self.daemons.values()]
        for process in [*processes, *self.standins.values()]:
            if process is None or process.returncode is not None:
                continue
            state, used = _state_and_used_seconds(process.pid)
            if state == "R" and used < START_PROCESSOR_SECONDS:
                return True
        return False

    async def _end_and_describe(self, daemon):
        """End a process with its traceback in the log; say what it was found doing."""
        process = daemon.process
        if process.returncode is not None:
            return f"its process ended with exit code {process.returncode}"
        state, used = _state_and_used_seconds(process.pid)
        process.send_signal(signal.SIGABRT)
        process.send_signal(signal.SIGCONT)
        with anyio.move_on_after(ABORT_TIMEOUT_SECONDS):
            await process.wait()
        return (
            f"its process runs in state {state}, has used {used:.2f} s of processor"
            f" time, load average {os.getloadavg()[0]:.1f}"
        )

    def _end_of_log(self, name):
        return (self.path / f"{name}.log").read_text(errors="replace")[-LOG_CHARACTERS:]

    async def ask(self, address, method, path, value=None):
        """Return a stand-in's decoded JSON response; retry while it is unreachable.

        Raises ``TimeoutError`` after ``READY_TIMEOUT_SECONDS``.
        """
        client = HttpClient(address, CLIENT_TIMEOUT_SECONDS)
        try:
            with anyio.fail_after(READY_TIMEOUT_SECONDS):
                while True:
                    try:
                        return (await client.request_json(method, path, value))[1]
                    except HttpClientError:
                        await anyio.sleep(POLL_INTERVAL_SECONDS)
        finally:
            await client.close()

    async def put_hosts(self, hosts):
        """Add or update ``hosts`` on the host list."""
        await self.ask(
            self.host_list_address, "PUT", "/hosts", msgspec.to_builtins(hosts)
        )

    async def set_log_knobs(self, **knobs):
        """Set knobs of the log service."""
        await self.ask(self.log_address, "POST", "/knobs", knobs)

    async def set_pools_knobs(self, **knobs):
        """Set knobs of the pools service."""
        await self.ask(self.pools_address, "POST", "/knobs", knobs)

    async def ledgers(self):
        """Fetch the ledger of each running executor, by host name."""
        return {
            host.name: await self.ask(host.address, "GET", "/ledger")
            for host in self.hosts
        }

    async def kill(self, name):
        """Kill the process of the daemon ``name``."""
        process = self.daemons[name].process
        process.kill()
        await process.wait()

    def freeze(self, name):
        """Freeze the process of the daemon ``name`` with SIGSTOP until ``resume``."""
        self.daemons[name].process.send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Continue the frozen process of the daemon ``name``."""
        self.daemons[name].process.send_signal(signal.SIGCONT)

    async def stop(self, name):
        """Terminate the daemon ``name`` and return its exit code."""
        process = self.daemons[name].process
        process.terminate()
        with anyio.fail_after(STOP_TIMEOUT_SECONDS):
            return await process.wait()

    async def close(self):
        """Kill every process by its id and delete the files; may be called twice."""
        processes = [daemon.process for daemon in self.daemons.values()]
        for process in [*processes, *self.standins.values()]:
            if process is not None and process.returncode is None:
                process.kill()
                with anyio.CancelScope(shield=True):
                    await process.wait()
        self.folder.cleanup()
