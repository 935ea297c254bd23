"""Run the deployed daemons against stand-ins of the platform, for the cases 6 to 10.

The daemons are separate processes, started with the command of the deploy file. The
store is the project's own model behind the usual 4 ms of the sheet. Executors, machines
and clients are written here after PROTOCOL.md, on loopback addresses of this run.
"""

import asyncio
import contextlib
import json
import math
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import traceback

import anyio

from azurelanding.http_server import HttpServer
from azurelanding.standins.platform_store import StoreModel

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PARTITIONS = 16
STORE_SECONDS = 0.004
HEARTBEAT_SECONDS = 1.5
MAX_HOLD_MS = 6000
STOP_SECONDS = 0.2
MOVE_SECONDS = 1.5
TIME_LIMIT_SECONDS = 112.0
# The bounds of the small site telar-cr.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": MAX_HOLD_MS,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 2,
    "checkpointIntervalS": 1,
    "restoreMs": 250,
    "noticeMs": 4500,
    "moveS": 1.5,
    "maintenanceS": 2,
    "requireFencing": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self):
        self.started_at = time.monotonic()
        self.lines = []

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, text):
        """Add a line."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def write(self, path):
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


# HTTP


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return head[0], headers, await reader.readexactly(length)


async def serve_http(answer, ip):
    """Serve ``answer(method, target, headers, body)``; return the server and address.

    It returns a status and a value that is sent as JSON, or ``None`` for no answer.
    """

    async def serve_connection(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                answered = await answer(method, target, headers, body)
                if answered is None:
                    await asyncio.sleep(60)
                    break
                content = json.dumps(answered[1]).encode()
                writer.write(
                    f"HTTP/1.1 {answered[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve_connection, ip, 0)
    host, port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{port}"


async def call(address, method, target, headers=(), body=b"", seconds=3.0):
    """Make one request; return the status and body, ``None`` without an answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [
                f"{method} {target} HTTP/1.1",
                *(f"{name}: {value}" for name, value in headers),
                f"Content-Length: {len(body)}",
            ]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            line, _, content = await read_message(reader)
            return int(line.split(" ")[1]), content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


def find_free_port(network):
    """Return a port that is free on the first daemon's address, so on all of them."""
    with socket.socket() as probe:
        probe.bind((f"{network}.10", 0))
        return probe.getsockname()[1]


class Link:
    """One connection over a ``Path``; a dead one passes no byte any more."""

    def __init__(self, writer, is_dead):
        self.writers = [writer]
        self.is_dead = is_dead


class Path:
    """A TCP path to one address; while it is cut, no byte passes either way.

    Connections that were open during a cut stay dead, and those that were opened in it
    too: what was sent on them is lost, as its sender has given up by then.
    """

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.healed = asyncio.Event()
        self.links = set()
        self.server = None
        self.address = ""

    async def start(self, ip):
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, ip, 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def cut(self):
        """Begin a cut."""
        self.is_cut = True
        self.healed.clear()
        for link in self.links:
            link.is_dead = True

    def heal(self):
        """End the cut, and reset what was open during it."""
        self.is_cut = False
        self.healed.set()
        for link in self.links:
            if link.is_dead:
                for writer in link.writers:
                    writer.transport.abort()

    async def _pump(self, link, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if link.is_dead:
                    return
                writer.write(data)
                await writer.drain()
        if not link.is_dead:
            writer.close()

    async def _serve(self, reader, writer):
        link = Link(writer, self.is_cut)
        self.links.add(link)
        try:
            if not link.is_dead:
                host, _, port = self.target.rpartition(":")
                opened = await asyncio.open_connection(host, int(port))
                link.writers.append(opened[1])
                await asyncio.gather(
                    self._pump(link, reader, opened[1]),
                    self._pump(link, opened[0], writer),
                )
            if link.is_dead:
                await self.healed.wait()
        except OSError:
            writer.close()
        finally:
            for each in link.writers:
                each.transport.abort()
            self.links.discard(link)


# Executors


class Gang:
    """The runs of one gang under one run number, wherever they are.

    They work from the moment when all are present. All must carry the same checkpoint:
    members with different ones are no gang, and wait for those that carry theirs.
    """

    def __init__(self, size):
        self.size = size
        self.members = []
        self.is_broken = False

    def add(self, run):
        """Add a member; begin the work of those that are complete now."""
        self.members.append(run)
        alike = [m for m in self.members if m.checkpoint == run.checkpoint]
        if len(alike) == self.size:
            for member in alike:
                member.begin_work()

    def break_up(self):
        """Break the others up, as a member has ended without being done."""
        self.is_broken = True


class Run:
    """One run of a task on an executor; ``ends_at`` is a ``time.monotonic``.

    A run with a ``gang`` does not work before ``begin_work``. ``saved`` is its last
    checkpoint: a new one comes with each second of work.
    """

    def __init__(self, task, number, spec, need, seconds, checkpoint="", gang=None):
        self.task = task
        self.number = number
        self.spec = spec
        self.need = need
        self.checkpoint = checkpoint
        self.gang = gang
        self.started_at = time.monotonic()
        self.seconds = seconds
        self.work_from = None
        self.ends_at = math.inf
        self.stops_at = math.inf
        self.alone_at = math.inf
        if gang is None:
            self.begin_work()
        else:
            self.alone_at = self.started_at + BOUNDS["gangTimeoutMs"] / 1000
            gang.add(self)

    def _resumed(self):
        return int(self.checkpoint[:8], 16) / 1000 if self.checkpoint else 0.0

    def begin_work(self):
        """Begin to work, from the checkpoint if there is one."""
        self.work_from = time.monotonic()
        self.alone_at = math.inf
        self.ends_at = self.work_from + self.seconds - self._resumed()

    def saved(self):
        """Return the last checkpoint: the whole seconds of work, as milliseconds."""
        if self.work_from is None:
            return self.checkpoint
        seconds = int(self._resumed() + time.monotonic() - self.work_from)
        return f"{seconds * 1000:08x}" if seconds else self.checkpoint

    def percent(self):
        """Return how much of the work is done; of a run that lasts it is 100."""
        if math.isinf(self.seconds):
            return 100
        if self.work_from is None:
            return 0
        done = self._resumed() + time.monotonic() - self.work_from
        return min(99, int(100 * done / self.seconds))


class Executor:
    """One life of a machine, after the section "Running tasks" of PROTOCOL.md.

    ``run_seconds(task)`` returns how long a task works, infinity if it lasts, and
    ``needs(task)`` what it takes of ``capacity``. ``history`` holds every run that was
    begun: a list of task, run, begin, end and how it ended.
    """

    def __init__(self, site, name, service, machine, labels):
        self.site = site
        self.record = site.record
        self.name = name
        self.service = service
        self.machine = machine
        self.labels = labels
        self.capacity = {"cpu": 32000, "memMb": 131072, "gpus": 0}
        self.born = int(time.time() * 1000)
        self.began_at = time.monotonic()
        self.fence = 0
        self.lease_end = 0.0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.end_count = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.is_up = True
        self.is_draining = False
        self.history = []
        self.noted = []
        self.server = None
        self.path = None

    async def start(self, ip):
        """Start to serve and to register."""
        self.server, address = await serve_http(self.answer, ip)
        self.path = Path(address)
        await self.path.start(ip)
        self.write_entry()
        self.site.spawn(self._beat())
        self.site.spawn(self._work())

    def end_life(self, why):
        """End at once, with all that runs here."""
        self.is_up = False
        for run in list(self.runs.values()):
            self._finish(run, why)
        self.server.close()
        self.path.server.close()

    def crash(self):
        """End without a word; the entry goes after three heartbeat intervals."""
        self.is_up = False
        for run in list(self.runs.values()):
            self._finish(run, "crashed")
        self.server.close()
        self.path.cut()
        self.path.heal()
        self.path.server.close()
        self.site.spawn(self._expire())

    async def _expire(self):
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self.site.store.put("keyed.servers", self.name, b"")

    def clock(self):
        """Return the milliseconds of the executor's own clock."""
        return (time.monotonic() - self.began_at) * 1000.0 + 1000.0

    def entry(self):
        """Return the entry under which it registers."""
        return {
            "service": self.service,
            "address": self.path.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
            "clockMs": int(self.clock()),
            "sequence": self.sequence,
            "born": self.born,
        }

    def write_entry(self):
        """Write the entry to the store."""
        self.sequence += 1
        self.site.store_put("keyed.servers", self.name, self.entry())

    async def _beat(self):
        while self.is_up:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.is_up and not self.path.is_cut:
                self.write_entry()

    async def _work(self):
        while self.is_up:
            now = time.monotonic()
            has_lapsed = self.clock() >= self.lease_end
            for run in list(self.runs.values()):
                if has_lapsed:
                    self._finish(run, "lapsed")
                elif now >= run.stops_at:
                    self._finish(run, "stopped")
                elif run.gang is not None and run.gang.is_broken:
                    self._finish(run, "broken")
                elif now >= run.alone_at:
                    self._finish(run, "alone")
                elif now >= run.ends_at:
                    self._finish(run, "done")
            await asyncio.sleep(0.005)

    def _finish(self, run, how):
        del self.runs[run.task, run.number]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_count += 1
        saved = run.saved() if self.site.saves(run.task) else ""
        self.ends.append([self.end_count, run.task, run.number, how, saved])
        if run.gang is not None and how not in ("done", "alone"):
            run.gang.break_up()
        ended_at = self.record.now()
        begun_at = run.started_at - self.record.started_at
        number = self.end_count
        self.history.append((run.task, run.number, begun_at, ended_at, how, number))
        self.record.add(f"{self.name} {run.task} run {run.number} ended {how}")
        self.changed.set()

    def _extend(self, deadline):
        if deadline is not None:
            longest = self.clock() + MAX_HOLD_MS
            self.lease_end = max(self.lease_end, min(deadline, longest))

    def _note(self, last_seen):
        for end in self.ends:
            if end[0] <= last_seen:
                self.noted.append((end[1], end[2], end[3], self.record.now()))
        self.ends = [end for end in self.ends if end[0] > last_seen]

    async def answer(self, method, target, headers, body):
        """Answer one call."""
        if method == "GET":
            return 200, {}
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, {}
        values = json.loads(body)
        token = values.get("fencingToken", 0)
        if token < self.fence:
            return 409, {"clockMs": int(self.clock()), "reason": "fence"}
        self.fence = token
        name = target.rpartition("/")[2]
        if name == "hold":
            return 200, await self._hold(values)
        reason = None
        if name == "run-start":
            reason = self._start(values)
        elif name == "run-stop":
            self._stop(values)
        answer = {"clockMs": int(self.clock())}
        return (409, {**answer, "reason": reason}) if reason else (200, answer)

    async def _hold(self, values):
        self._extend(values.get("deadlineMs"))
        self._note(values.get("lastSeen", 0))
        until = time.monotonic() + min(2000, values.get("waitMs", 0)) / 1000
        while not self.ends and (left := until - time.monotonic()) > 0:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        running = [
            [
                run.task,
                run.number,
                run.saved() if self.site.saves(run.task) else "",
                run.percent(),
            ]
            for run in self.runs.values()
        ]
        return {
            "clockMs": int(self.clock()),
            "born": self.born,
            "running": running,
            "finished": self.ends[:500],
        }

    def _start(self, values):
        task, number = values["task"], values["run"]
        self._extend(values["deadlineMs"])
        if (task, number) in self.runs:
            return None
        if number <= self.highest.get(task, 0):
            return "old"
        if self.clock() >= self.lease_end:
            return "late"
        need = self.site.needs(task)
        for kind, amount in self.capacity.items():
            used = sum(run.need.get(kind, 0) for run in self.runs.values())
            if used + need.get(kind, 0) > amount:
                return "room"
        seconds = self.site.run_seconds(task)
        checkpoint = values.get("checkpoint", "")
        self.runs[task, number] = Run(
            task,
            number,
            values["spec"],
            need,
            seconds,
            checkpoint,
            self.site.find_gang(task, number),
        )
        self.record.add(
            f"{self.name} {task} run {number} started, token {self.fence}, "
            f"checkpoint {checkpoint or 'none'}"
        )
        return None

    def _stop(self, values):
        task, number = values["task"], values["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None:
            run.stops_at = min(run.stops_at, time.monotonic() + STOP_SECONDS)

    def all_runs(self):
        """Return the runs that have ended and those that go on."""
        now = self.record.now()
        going_on = [
            (r.task, r.number, r.started_at - self.record.started_at, now, "on", 0)
            for r in self.runs.values()
        ]
        return self.history + going_on


# The site


class Site:
    """The store, the machines with their executors, and the daemons."""

    def __init__(self, case, record):
        self.case = case
        self.record = record
        self.store = StoreModel(PARTITIONS)
        self.executors = {}
        self.lives_seen = []
        self.needs = lambda task: {"cpu": 1000, "memMb": 64}
        self.run_seconds = lambda task: 0.5
        self.saves = lambda task: False
        self.gang_size = lambda task: 0
        self.gangs = {}
        self.processes = []
        self.ips = []
        self.store_paths = []
        self.store_address = self.cloud_address = self.advice_address = ""
        self.background = set()
        self.directory = tempfile.TemporaryDirectory()
        octet = random.randint(20, 240)
        self.network = f"127.{octet}.{random.randint(1, 250)}"
        self.platform_ip = f"{self.network}.250"
        self.frontend_port = find_free_port(self.network)
        self.readiness_port = find_free_port(self.network)

    def find_gang(self, task, number):
        """Return the ``Gang`` of a run, ``None`` for a task that is in none."""
        size = self.gang_size(task)
        if not size:
            return None
        key = task.rpartition(".")[0], number
        return self.gangs.setdefault(key, Gang(size))

    def spawn(self, coroutine):
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def store_put(self, topic, key, value):
        """Write a record as the operator or an executor does."""
        self.store.put(topic, key, json.dumps(value).encode())

    def configure(self, version, routes, services, advised=()):
        """Write a configuration; ``routes`` maps a path prefix to its service.

        The queues of the path prefixes in ``advised`` have ``advice``.
        """
        advice = {"advice": {"decisionMs": 20, "periodMs": 2, "validMs": 3000}}
        self.store_put(
            "keyed.op",
            "config",
            {
                "version": version,
                "routes": [
                    {
                        "name": f"r-{prefix.strip('/')}",
                        "host": "site.example",
                        "pathPrefix": prefix,
                        "type": "non_idempotent",
                        "timeoutMs": 3000,
                        "targetDurationMs": 600,
                        "priority": 0,
                        "service": service,
                        "maxAttempts": 2,
                        "stretch": 1.6,
                        **(advice if prefix in advised else {}),
                    }
                    for prefix, service in routes.items()
                ],
                "services": [
                    {"name": name, "rejectsOverload": True} for name in services
                ],
                "limits": {"maxBodyBytes": 262144},
            },
        )
        self.record.add(f"op/config version {version}: {routes}")

    async def add_executor(self, service, machine, labels=("a", "r1-1")):
        """Start an executor on a machine."""
        name = f"i-{len(self.lives_seen) + 1:08x}"
        executor = Executor(self, name, service, machine, list(labels))
        self.lives_seen.append(executor)
        await executor.start(self.platform_ip)
        self.executors[machine] = executor
        return executor

    async def _answer_cloud(self, method, target, headers, body):
        if method == "GET":
            machines = [
                {
                    "machine": machine,
                    "pool": executor.service,
                    "state": "up" if executor.is_up else "moving",
                    "zone": "zone-a",
                    "labels": executor.labels,
                    "capacity": executor.capacity,
                    "id": executor.name if executor.is_up else "",
                }
                for machine, executor in self.executors.items()
            ]
            return 200, {"machines": machines, "nextPageToken": None}
        values = json.loads(body)
        executor = self.executors.get(values.get("machine"))
        if executor is None or not target.endswith("machine-move"):
            return 400, {}
        if executor.service == values["pool"]:
            return 200, {}
        if not executor.is_up:
            return 409, {"reason": "busy"}
        self.record.add(f"{executor.machine} moves to {values['pool']}")
        executor.end_life("moved")
        executor.service = values["pool"]
        self.store.put("keyed.servers", executor.name, b"")
        self.spawn(self._move(executor))
        return 200, {}

    async def _move(self, executor):
        await asyncio.sleep(MOVE_SECONDS)
        await self.add_executor(executor.service, executor.machine, executor.labels)

    async def _answer_advice(self, method, target, headers, body):
        """Allow every executor that is named to run the step."""
        values = json.loads(body)
        await asyncio.sleep(0.02 + 0.002 * len(values["workers"]))
        good = [[name, f"t-{values['step']}-{name}"] for name in values["workers"]]
        self.record.add(f"advice on {values['step']} for {values['workers']}")
        return 200, {"good": good, "validMs": 3000}

    async def _serve_store(self, scope, receive, send):
        await anyio.sleep(STORE_SECONDS)
        # A daemon that is stopped or killed leaves its connections.
        with contextlib.suppress(ConnectionResetError):
            await self.store.app(scope, receive, send)

    async def start_platform(self, task_group):
        """Start the store and the machines' API."""
        address = f"{self.platform_ip}:0"
        server = HttpServer.from_config(address, self._serve_store, http="httptools")
        server.start(task_group)
        self.store_address = server.address
        _, self.cloud_address = await serve_http(self._answer_cloud, self.platform_ip)
        _, self.advice_address = await serve_http(self._answer_advice, self.platform_ip)

    def settings(self, number, ip):
        """Return the settings of a daemon, as the platform writes them."""
        return {
            "nodeName": f"edge-zone-{'abc'[number % 3]}-{1 + number // 3}",
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": f"zone-{'abc'[number % 3]}",
            "region": "region",
            "zones": {f"zone-{letter}": "region" for letter in "abc"},
            "listen": {
                "frontend": f"{ip}:{self.frontend_port}",
                "readiness": f"{ip}:{self.readiness_port}",
            },
            "internalPorts": [7060, 7075],
            "seedNodes": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_SECONDS * 1000),
            "contracts": ["base", "drain", "config", "recover", "sched", "platform"],
            "advice": self.advice_address,
            "bounds": BOUNDS,
            "commandMode": "rpc",
            "platform": {
                "address": self.store_paths[number].address,
                "form": "log",
                "writesPerS": 600,
                "readsPerS": 2000,
                "parts": PARTITIONS,
                "ttlMinMs": 1000,
            },
            "cloudApi": {
                "address": self.cloud_address,
                "ratePerS": 64.0,
                "duties": [],
                "dutyPerS": 64.0,
            },
        }

    async def _start_daemon(self, number, ip):
        """Start a daemon with the command of the deploy file."""
        path = anyio.Path(self.directory.name, f"{number}.json")
        await path.write_text(json.dumps(self.settings(number, ip)))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["AZURELANDING_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = await anyio.Path(self.directory.name, f"{number}.log").open("wb")
        async with log:
            return await asyncio.create_subprocess_exec(
                "python3",
                "entry.py",
                cwd=ROOT,
                env=environment,
                stdout=log.wrapped,
                stderr=log.wrapped,
            )

    async def start_daemons(self, count):
        """Start daemons and wait until all are ready."""
        for number in range(count):
            ip = f"{self.network}.{10 + number}"
            self.ips.append(ip)
            self.store_paths.append(Path(self.store_address))
            await self.store_paths[number].start(self.platform_ip)
            self.processes.append(await self._start_daemon(number, ip))
        for ip in self.ips:
            until = time.monotonic() + 20
            while (await self.ready(ip)) != 200:
                if time.monotonic() > until:
                    raise CaseError(f"the daemon at {ip} is not ready")
                await asyncio.sleep(0.1)
        self.record.add(f"{count} daemons ready")

    async def ready(self, ip):
        """Return the status of a readiness check, ``None`` without an answer."""
        answer = await call(
            f"{ip}:{self.readiness_port}", "GET", "/v1/ready", seconds=1.0
        )
        return answer and answer[0]

    def signal(self, number, signal_number):
        """Send a signal to a daemon that this case started."""
        self.record.add(f"daemon {number} gets {signal.Signals(signal_number).name}")
        self.processes[number].send_signal(signal_number)

    async def request(self, number, method, path, value=None, seconds=3.0):
        """Make a client's request; return the status and the body."""
        body = (
            b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        )
        headers = [
            ("Host", "site.example"),
            ("Content-Type", "application/json"),
            ("X-Request-Deadline", str(int(seconds * 1000))),
        ]
        sent_at = self.record.now()
        address = f"{self.ips[number]}:{self.frontend_port}"
        answer = await call(address, method, path, headers, body, seconds)
        status, content = answer or (None, b"")
        self.record.add(
            f"client {method} {path} at daemon {number}, sent {sent_at:.3f}: "
            f"{status} {content[:60].decode(errors='replace')}"
        )
        return status, content

    async def until_state(self, number, path, state, seconds):
        """Ask for a job until it has a state; return whether it got it in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, content = await self.request(number, "GET", path)
            if status == 200 and json.loads(content).get("state") == state:
                return True
            await asyncio.sleep(0.2)
        return False

    def log_lines(self, number, *words):
        """Return the lines of a daemon's log that contain one of ``words``."""
        text = pathlib.Path(self.directory.name, f"{number}.log").read_text()
        return [line for line in text.splitlines() if any(w in line for w in words)]

    async def close(self):
        """End the daemons by their ids."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for task in list(self.background):
            task.cancel()
        self.directory.cleanup()


# Checks


def double_runs(executors):
    """Return the breaches of TWICE among all lives of executors, as texts.

    Two runs of a task at once on executors that are up, or a start after an end
    ``done`` that was taken note of.
    """
    by_task = {}
    for executor in executors:
        for task, run, begun, ended, how, _ in executor.all_runs():
            by_task.setdefault(task, []).append((begun, ended, how, run, executor))
    breaches = []
    for task, runs in sorted(by_task.items()):
        runs.sort(key=lambda row: row[0])
        for number, (_, ended, how, run, executor) in enumerate(runs):
            for other in runs[number + 1 :]:
                where = (
                    f"run {run} on {executor.name}, run {other[3]} on {other[4].name}"
                )
                if other[0] < ended:
                    both = min(ended, other[1]) - other[0]
                    breaches.append(f"{task}: {where} at once for {both:.3f} s")
                elif how == "done" and any(
                    noted[:3] == (task, run, "done") for noted in executor.noted
                ):
                    late = other[0] - ended
                    breaches.append(f"{task}: {where}, begun {late:.3f} s after done")
    return breaches


async def _play(scenario, folder, record):
    """Play a scenario and end the process with its result."""
    site = Site(folder.name, record)
    code = NOT_RUN
    try:
        async with anyio.create_task_group() as task_group:
            await site.start_platform(task_group)
            async with asyncio.timeout(TIME_LIMIT_SECONDS):
                breaches = await scenario(site)
            for breach in breaches:
                record.add(f"BROKEN {breach}")
            record.add(f"trouble {TROUBLE}, breaches {len(breaches)}")
            print("\n".join([*breaches[:5], f"{len(breaches)} breaches"]))
            code = BROKEN if breaches else HELD
            await _end(site, folder, code)
    except BaseException:
        record.add("the case could not run: " + traceback.format_exc())
        traceback.print_exc()
        await _end(site, folder, NOT_RUN)


async def _end(site, folder, code):
    """End the daemons, write the record and leave without closing the stand-ins."""
    await site.close()
    site.record.write(folder / "record.txt")
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def main(scenario, folder):
    """Play ``scenario(site)``, which returns the breaches; exit as the cases must."""
    asyncio.run(_play(scenario, folder, Record()))
