"""A small deployment on loopback addresses, for the cases of the third review.

The daemons are the project's own, started with the command of the deploy file. The
store is the project's stand-in; the executors are a new one, written from PROTOCOL.md,
as the project's own knows no gangs. Executors and clients live in this process.

A case calls ``main(scenario)``. ``scenario(lab)`` plays the case and returns a list of
what it found broken. The process exits with 1 if the rule was broken, 0 if it held and
2 if the case couldn't run.
"""

import asyncio
import contextlib
import functools
import json
import logging
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import zlib

import anyio
import attrs
import msgspec

from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.http_server import HttpServer, read_body, send_reply
from azurelanding.standins.platform_store import StoreModel

ROOT = pathlib.Path(__file__).resolve().parent.parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_SECONDS = 110
PARTITIONS = 16
READY_SECONDS = 30.0
REQUEST_BYTES = 2_097_152
"""Most that the records of one append may total, by the settings on DEPLOY.md."""
MAX_BODY = 1 << 20
STARTUP_SECONDS = 0.4
"""How long a task that lasts takes until it is at work."""
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "maxHoldMs": 6000,
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
    "moveS": 1.5,
    "maintenanceS": 2,
    "requireFencing": True,
    "leaseMs": 3000,
}
"""The bounds of the Telar site on SYSTEM.md."""


def find_free_ip():
    """Return a loopback address on which all ports of a daemon are free."""
    while True:
        ip = "127.{}.{}.{}".format(*(random.randint(2, 250) for _ in range(3)))
        with contextlib.suppress(OSError):
            for port in (7075, 8622, 8624):
                socket.create_server((ip, port)).close()
            return ip


@attrs.define(eq=False)
class Run:
    """One run on an executor; ``work_left`` is in seconds, and counts only at work."""

    executor: object
    task: str
    number: int
    checkpoint: str
    work: float
    is_at_work: bool = False
    done_before: float = 0.0
    began_at: float = 0.0
    placed_at: float = attrs.field(factory=time.monotonic)
    is_stopping: bool = False
    task_handle: object = None

    @property
    def key(self):
        """Return the names of the task and of the run."""
        return self.task, self.number

    def done(self):
        """Return the seconds of work that are done."""
        now = time.monotonic()
        return self.done_before + (now - self.began_at if self.is_at_work else 0.0)

    def saved(self):
        """Return the checkpoint, which holds whole seconds of work.

        All members of a gang that are equally far have the same one.
        """
        interval = BOUNDS["checkpointIntervalS"]
        seconds = int(self.done() // interval * interval)
        group = self.task.rpartition(".")[0]
        return f"{seconds:04d}{group}" if seconds else self.checkpoint


@attrs.define(eq=False)
class Executor:
    """One life of a machine, as PROTOCOL.md describes it."""

    fleet: object
    id: str
    machine: str
    service: str
    rack: str
    cpu: int = 32_000
    memory: int = 131_072
    born: int = attrs.field(factory=lambda: int(time.time() * 1000))
    address: str = ""
    state: str = "ready"
    is_up: bool = True
    fence: int = 0
    lease_end: float = 0.0
    running: dict = attrs.field(factory=dict)
    ends: list = attrs.field(factory=list)
    last_number: int = 0
    barred: dict = attrs.field(factory=dict)
    started_at: float = attrs.field(factory=time.monotonic)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    hears: object = lambda token: True

    def clock_ms(self):
        """Return the executor's steady clock in milliseconds."""
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    def entry(self):
        """Return the executor's entry in the store, as JSON."""
        return msgspec.json.encode(
            {
                "service": self.service,
                "address": self.address,
                "zone": "a",
                "version": "1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.fleet.next_sequence(),
                "machine": self.machine,
                "born": self.born,
                "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpus": 0},
                "labels": ["a", self.rack],
            }
        )

    def end(self, run, how):
        """End a run and list its end."""
        if self.running.pop(run.key, None) is None:
            return
        if run.task_handle is not None:
            run.task_handle.cancel()
        self.last_number += 1
        saved = run.saved() if how != "done" else ""
        self.ends.append([self.last_number, run.task, run.number, how, saved])
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.number)
        self.fleet.record(f"ended {how}", self.id, run.task, run.number)
        self.changed.set()
        self.changed = asyncio.Event()
        self.fleet.member_ended(run, how)

    def lapse(self):
        """End all runs if the lease is over."""
        if self.running and self.clock_ms() >= self.lease_end:
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    def extend(self, deadline):
        """Extend the lease, to ``maxHoldMs`` from now at most."""
        if deadline is not None:
            longest = self.clock_ms() + BOUNDS["maxHoldMs"]
            self.lease_end = max(self.lease_end, min(deadline, longest))

    def has_room(self, need):
        """Return whether a task fits beside what runs and what is being stopped."""
        needs = [self.fleet.step_of(run.task) for run in self.running.values()]
        cpu = sum(n.get("cpu", 0) for n in needs if not n.get("fills"))
        memory = sum(n.get("memMb", 0) for n in needs)
        fits = need.get("fills") or cpu + need.get("cpu", 0) <= self.cpu
        return fits and memory + need.get("memMb", 0) <= self.memory

    async def serve_start(self, values):
        """Serve ``run-start``; return the status and the answer."""
        self.lapse()
        key = values["task"], values["run"]
        if key in self.running:
            self.extend(values["deadlineMs"])
            return 200, {}
        if values["run"] <= self.barred.get(values["task"], 0):
            self.extend(values["deadlineMs"])
            return 409, {"reason": "old"}
        step = self.fleet.step_of(values["task"])
        if not self.has_room(step):
            self.extend(values["deadlineMs"])
            return 409, {"reason": "room"}
        if max(self.lease_end, values["deadlineMs"]) <= self.clock_ms():
            return 409, {"reason": "late"}
        self.extend(values["deadlineMs"])
        checkpoint = values.get("checkpoint", "")
        run = Run(self, *key, checkpoint, self.fleet.work_of(values["task"]))
        run.done_before = float(checkpoint[:4]) if checkpoint else 0.0
        self.running[key] = run
        self.fleet.record("started", self.id, *key, checkpoint)
        self.fleet.begin(run)
        return 200, {}

    async def serve_stop(self, values):
        """Serve ``run-stop``."""
        self.lapse()
        number = values["run"]
        self.barred[values["task"]] = max(self.barred.get(values["task"], 0), number)
        run = self.running.get((values["task"], number))
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            self.fleet.record("stop ordered", self.id, run.task, number)
            asyncio.get_running_loop().call_later(0.2, self.end, run, "stopped")
        return 200, {}

    async def serve_hold(self, values):
        """Serve ``hold``, which may wait for an end."""
        self.lapse()
        self.extend(values.get("deadlineMs"))
        self.ends = [end for end in self.ends if end[0] > values["lastSeen"]]
        until = time.monotonic() + values.get("waitMs", 0) / 1000
        while not self.ends and (left := until - time.monotonic()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(left, 0.1))
            self.lapse()
        running = [
            [run.task, run.number, run.saved(), self.fleet.percent(run), 0]
            for run in self.running.values()
        ]
        return 200, {"running": running, "finished": self.ends[:500]}

    async def serve_pace(self, values):
        """Serve ``pace``, which has no effect on what is checked here."""
        return 200, {}

    async def app(self, scope, receive, send):
        """Serve the executor's calls."""
        values = msgspec.json.decode(await read_body(receive, MAX_BODY))
        headers = dict(scope["headers"])
        name = scope["path"].rpartition("/")[2]
        token = values.get("fencingToken", 0)
        if not (self.is_up and self.hears(token)):
            await asyncio.sleep(3600)
        if headers.get(b"x-expected-instance", self.id.encode()) != self.id.encode():
            status, answer = 421, {}
        elif token < self.fence:
            status, answer = 409, {"reason": "fence"}
        else:
            self.fence = token
            serve = {
                "run-start": self.serve_start,
                "run-stop": self.serve_stop,
                "hold": self.serve_hold,
                "pace": self.serve_pace,
            }[name]
            status, answer = await serve(values)
            if not (self.is_up and self.hears(token)):
                await asyncio.sleep(3600)
        answer = {"clockMs": self.clock_ms(), "born": self.born, **answer}
        headers = (("Content-Type", "application/json"),)
        await send_reply(send, status, headers, msgspec.json.encode(answer))


class Fleet:
    """All executors, the jobs that clients sent, and what was run."""

    def __init__(self, lab):
        self.lab = lab
        self.executors = {}
        self.jobs = {}
        self.history = []
        self.sequence = 0

    def next_sequence(self):
        """Return the next number of a heartbeat."""
        self.sequence += 1
        return self.sequence

    def record(self, event, executor, task, number, checkpoint=""):
        """Note what an executor did."""
        at = self.lab.now()
        self.history.append((at, event, executor, task, number, checkpoint))
        self.lab.note(f"{executor}: {task} run {number} {event} {checkpoint}".rstrip())

    def step_of(self, task):
        """Return the step of a task as its client sent it."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def work_of(self, task):
        """Return the seconds of work of a task."""
        return self.step_of(task).get("estimatedMs", 500) / 1000

    def gang_of(self, run):
        """Return the runs of the gang of ``run`` that are present."""
        group = run.task.rpartition(".")[0]
        return [
            other
            for executor in self.executors.values()
            if executor.is_up
            for other in executor.running.values()
            if other.number == run.number
            and other.task.rpartition(".")[0] == group
            and not other.is_stopping
        ]

    def percent(self, run):
        """Return the share of the work done, or of the pace if the task lasts."""
        if self.step_of(run.task).get("longRunning"):
            return 100 if run.is_at_work else 0
        return min(99, int(100 * run.done() / max(run.work, 0.001)))

    def begin(self, run):
        """Let a run work, a gang once all of it is present with one checkpoint."""
        step = self.step_of(run.task)
        if not step.get("gang"):
            run.task_handle = asyncio.ensure_future(self._work([run], step))
            return
        gang = self.gang_of(run)
        is_whole = len(gang) == step["count"]
        if is_whole and len({member.checkpoint for member in gang}) == 1:
            for member in gang:
                if member.task_handle is not None:
                    member.task_handle.cancel()
                    member.task_handle = None
            gang[0].task_handle = asyncio.ensure_future(self._work(gang, step))
        else:
            run.task_handle = asyncio.ensure_future(self._wait_alone(run))

    async def _wait_alone(self, run):
        await asyncio.sleep(BOUNDS["gangTimeoutMs"] / 1000)
        run.task_handle = None
        run.executor.end(run, "alone")

    async def _work(self, runs, step):
        restore = BOUNDS["restoreMs"] / 1000 if runs[0].checkpoint else 0.0
        lasts = step.get("longRunning")
        await asyncio.sleep(STARTUP_SECONDS if lasts else restore)
        for run in runs:
            run.is_at_work, run.began_at = True, time.monotonic()
        if lasts:
            return
        await asyncio.sleep(max(0.0, runs[0].work - runs[0].done_before))
        runs[0].task_handle = None
        for run in runs:
            run.executor.end(run, "done")

    def member_ended(self, run, how):
        """End the other members of a gang that was at work, unless it is done."""
        if how == "done" or not self.step_of(run.task).get("gang"):
            return
        for member in self.gang_of(run):
            if member.is_at_work and member is not run:
                member.executor.end(member, "broken")


class Lab:
    """The store, the executors and the daemons of one case."""

    def __init__(self, folder, task_group):
        self.folder = pathlib.Path(folder)
        self.task_group = task_group
        self.store = StoreModel(PARTITIONS)
        self.fleet = Fleet(self)
        self.unheard = set()
        self.cut_daemons = set()
        self.daemons = {}
        self.ips = []
        self.lines = []
        self.began_at = time.monotonic()

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self.began_at

    def note(self, text):
        """Add a line to the record of the case."""
        self.lines.append(f"{self.now():8.3f} {text}")

    def serve(self, app):
        """Serve an application on a free port; return its address."""
        server = HttpServer.from_config("127.0.0.1:0", app, http="httptools")
        server.start(self.task_group)
        return server.address

    def add_executor(self, name, service, rack, **fields):
        """Start an executor and register it."""
        executor = Executor(
            self.fleet, name, f"machine-{name}", service, rack, **fields
        )
        executor.address = self.serve(executor.app)
        self.fleet.executors[name] = executor
        self.put_entry(executor)
        return executor

    def controller_of(self, service):
        """Return the number of the daemon that controls a pool, ``None`` for none."""
        group = self.store.groups["control"]
        part = "keyed.jobs", zlib.crc32(service.encode()) % PARTITIONS
        holder = group.held.get(part, "edge-a--")
        return int(holder.split("-")[2]) if holder != "edge-a--" else None

    async def expire_entries(self, executors):
        """Remove the entries of executors whose heartbeats don't arrive any more."""
        await anyio.sleep(4.5)
        for executor in executors:
            if executor.id in self.unheard:
                self.store.put("keyed.servers", executor.id, b"")
                self.note(f"entry of {executor.id} removed")

    def put_entry(self, executor):
        """Write the entry of an executor."""
        self.store.put("keyed.servers", executor.id, executor.entry())

    async def heartbeats(self):
        """Write the entries of all executors that are up, every 1.5 s."""
        while True:
            await anyio.sleep(1.5)
            for executor in self.fleet.executors.values():
                if executor.is_up and executor.id not in self.unheard:
                    self.put_entry(executor)

    def lose(self, executor):
        """Crash an executor for good; its entry goes after three heartbeats."""
        executor.is_up = False
        for run in executor.running.values():
            if run.task_handle is not None:
                run.task_handle.cancel()
        lost = list(executor.running.values())
        executor.running = {}
        for run in lost:
            self.fleet.member_ended(run, "lost")
        self.note(f"{executor.id} crashes for good")

        async def expire():
            await anyio.sleep(4.5)
            self.store.put("keyed.servers", executor.id, b"")
            self.note(f"entry of {executor.id} removed")

        self.task_group.start_soon(expire)

    def configure(self, version, routes, tenants=None):
        """Write a configuration; ``routes`` maps names to a service and more fields."""
        rows = []
        for name, (service, fields) in routes.items():
            for number, ip in enumerate(self.ips):
                rows.append(
                    {
                        "name": name if not number else f"{name}-{number}",
                        "host": ip,
                        "pathPrefix": f"/{name}/",
                        "service": service,
                        "timeoutMs": 3000,
                        "maxAttempts": 4,
                        "stretch": 1.6,
                        **fields,
                    }
                )
        services = sorted({service for service, _ in routes.values()})
        value = {
            "version": version,
            "routes": rows,
            "services": [{"name": s, "rejectsOverload": True} for s in services],
        }
        if tenants is not None:
            value["tenants"] = tenants
        self.store.put("keyed.op", "config", msgspec.json.encode(value))
        self.note(f"configuration {version} written")

    async def start_daemons(self, count, **fields):
        """Choose addresses for daemons, which ``start_daemon`` starts.

        Each has an address of the store of its own, so that it can be cut off.
        """
        self.store_addresses = [
            self.serve(functools.partial(self.store_app, number))
            for number in range(count)
        ]
        self.ips = [find_free_ip() for _ in range(count)]
        self.fields = fields

    async def store_app(self, number, scope, receive, send):
        """Serve the store to a daemon; it refuses appends above ``requestBytes``."""

        async def send_unless_cut(message):
            if number in self.cut_daemons:
                await asyncio.sleep(3600)
            await send(message)

        if number in self.cut_daemons:
            await asyncio.sleep(3600)
        length = int(dict(scope["headers"]).get(b"content-length", 0))
        if length > REQUEST_BYTES:
            self.note(f"store: refused an append of {length} bytes")
            await read_body(receive, length)
            await send_reply(send, 413, (), b"")
            return
        await self.store.app(scope, receive, send_unless_cut)

    async def start_daemon(self, number):
        """Start a daemon with the command of the deploy file."""
        ip = self.ips[number]
        settings = {
            "nodeName": f"edge-a-{number}",
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {"frontend": f"{ip}:8624", "readiness": f"{ip}:8622"},
            "internalPorts": [7060, 7075],
            "seedNodes": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "heartbeatMs": 1500,
            "bounds": BOUNDS,
            "commandMode": "rpc",
            "platform": {
                "address": self.store_addresses[number],
                "form": "log",
                "parts": PARTITIONS,
                "ttlMinMs": 1000,
            },
            **self.fields,
        }
        path = self.folder / f"{number}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        with (self.folder / f"{number}.log").open("ab") as log:
            self.daemons[number] = await anyio.open_process(
                [sys.executable if command[0] == "python3" else command[0]]
                + command[1:],
                cwd=ROOT,
                stdin=None,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "AZURELANDING_BOOT": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.note(f"daemon {number} started, process {self.daemons[number].pid}")

    async def until_ready(self, number):
        """Wait until a daemon says that it is ready."""
        with anyio.fail_after(READY_SECONDS):
            while True:
                answer = await self.request(f"{self.ips[number]}:8622", "/v1/ready")
                if answer is not None and answer[0] == 200:
                    return
                await anyio.sleep(0.1)

    def kill(self, number, signal_number=signal.SIGKILL):
        """Send a signal to a daemon."""
        self.daemons[number].send_signal(signal_number)
        self.note(f"daemon {number} gets {signal.Signals(signal_number).name}")

    async def request(
        self, address, path, method="GET", body=b"", headers=(), timeout=3.0
    ):
        """Return the status and the body of an answer, ``None`` without one."""
        client = HttpClient(address, timeout)
        try:
            return await client.request(method, path, body, headers)
        except HttpClientError:
            return None
        finally:
            await client.close()

    async def call(self, number, method, path, value=None, headers=(), timeout=3.0):
        """Make a client's request to a daemon, and note it."""
        body = b"" if value is None else msgspec.json.encode(value)
        address = f"{self.ips[number]}:8624"
        sent_at = self.now()
        answer = await self.request(address, path, method, body, headers, timeout)
        status = answer and (answer[0], answer[1].decode())
        took = self.now() - sent_at
        self.note(f"client: {method} {path} to {number}: {status} after {took:.3f} s")
        return answer

    async def submit(self, number, queue, job_id, value, headers=(), attempts=5):
        """Submit a job until it is accepted; return whether it was."""
        self.fleet.jobs[job_id] = value
        path = f"/{queue}/{job_id}"
        for _ in range(attempts):
            answer = await self.call(number, "POST", path, value, headers)
            if answer is not None and answer[0] == 200:
                return True
            await anyio.sleep(1.0)
        return False

    async def state(self, number, queue, job_id, headers=(), timeout=3.0):
        """Return the state of a job, its status if it has none, ``None`` if silent."""
        answer = await self.call(
            number, "GET", f"/{queue}/{job_id}", headers=headers, timeout=timeout
        )
        if answer is None or answer[0] != 200:
            return answer and answer[0]
        return msgspec.json.decode(answer[1])["state"]

    def log_lines(self, number, text):
        """Return the lines of a daemon's log that hold ``text``."""
        log = (self.folder / f"{number}.log").read_text(errors="replace")
        return [line for line in log.splitlines() if text in line]

    async def close(self):
        """End all processes by their ids."""
        for process in self.daemons.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            with anyio.CancelScope(shield=True):
                await process.wait()


async def _run(scenario, case):
    broken, lab = None, None
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        async with anyio.create_task_group() as task_group:
            lab = Lab(folder, task_group)
            try:
                with anyio.fail_after(LONGEST_SECONDS):
                    task_group.start_soon(lab.heartbeats)
                    broken = await scenario(lab)
            except Exception as error:
                lab.note(f"the case could not run: {error!r}")
            finally:
                await lab.close()
                for number in lab.daemons:
                    for line in lab.log_lines(number, '"level":"error"')[:20]:
                        lab.note(f"log of daemon {number}: {line[:400]}")
            task_group.cancel_scope.cancel()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(folder, keep, dirs_exist_ok=True)
    for text in broken or ():
        lab.note(f"BROKEN: {text}")
    exit_code = 2 if broken is None else int(bool(broken))
    lab.note(f"exit code {exit_code}, TROUBLE={int(HAS_TROUBLE)}")
    (case / "record.txt").write_text("\n".join(lab.lines) + "\n")
    return exit_code


def main(scenario, case):
    """Play a scenario, write its record into the folder ``case``, and exit."""
    # The server logs each call that the end of the case cancels.
    logging.disable()
    sys.exit(anyio.run(_run, scenario, pathlib.Path(case).resolve().parent))
