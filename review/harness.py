"""Start the daemons of the deploy file on stand-ins of the platform and its executors.

A case awaits ``run_case`` with its scenario, which gets a ``Deployment``. The stand-ins
and the clients are in the case's own process, the daemons are processes of their own,
started with the command of the deploy file.
"""

import base64
import contextlib
import http
import http.client
import logging
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

import anyio
import anyio.abc
import attrs
import msgspec

from azurelanding import http_server
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.http_server import HttpServer
from azurelanding.membership import partition_of
from azurelanding.standins.platform_store import StoreModel
from azurelanding.standins.platform_worker import WorkerFleet, WorkerModel
from azurelanding.standins.platform_worker_app import make_worker_app
from azurelanding.tasks import Resources

ROOT = pathlib.Path(__file__).resolve().parent.parent
PARTS = 16
METRICS_PORT = 7075
"""Port of a daemon's own metrics, which the deploy file names."""
HEARTBEAT_SECONDS = 1.5
CASE_SECONDS = 110.0
BODY_BYTES = 2_097_152
THIN_LINK_BYTES = 4096
PAGE_RECORDS, PAGE_BYTES = 500, 1 << 20
"""Limits of a page of ``log-newest``."""
RESTART_SECONDS = 0.3
POLL_SECONDS = 0.05
CONTACT_SECONDS = 3.0
"""``contactMs`` of the site."""
CONFIG_APPLY_SECONDS = 2.0
"""``configApplyMs`` of the site."""
EXIT_HELD, EXIT_BROKEN, EXIT_FAILED = 0, 1, 2
BOUNDS = {
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "maxHoldMs": 6000,
    "stopTimeoutMs": 400,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "maintenanceS": 2,
    "requireFencing": True,
    "leaseMs": 3000,
}


def is_disrupted():
    """Return whether the case plays its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip):
    """Return a port of ``ip`` that is free now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def _free_network(count):
    """Return the first two numbers of addresses on which no daemon runs yet."""
    first = os.getpid() % 199
    for number in range(first, first + 199):
        host = f"127.{number % 199 + 20}"
        try:
            for machine in range(1, count + 1):
                with socket.socket() as probe:
                    probe.bind((f"{host}.7.{machine}", METRICS_PORT))
        except OSError:
            continue
        return host
    raise RuntimeError("no loopback addresses are free")


def job_body(count, spec="review", **step):
    """Return the body of a job of one step, whose tasks need a tenth of a core."""
    values = {"count": count, "cpu": 100, "memMb": 64, "estimatedMs": 1000, **step}
    return msgspec.json.encode({"spec": spec, "steps": [values]})


def _ignore(_text):
    pass


class Record:
    """The lines of ``record.txt``, with the seconds since the case began."""

    def __init__(self, path):
        self.path = path
        self.began_at = time.monotonic()
        self.lines = []

    def add(self, text):
        """Add a line, and show it."""
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)
        self.path.write_text("\n".join(self.lines) + "\n")


class Daemon:
    """One machine: its settings file, and the process that runs on it."""

    def __init__(self, name, ip, store_address, directory, record):
        self.name, self.ip, self.record = name, ip, record
        self.callers = f"{ip}:{free_port(ip)}"
        self.readiness = f"{ip}:{free_port(ip)}"
        self.settings_path = pathlib.Path(directory, f"{name}.json")
        self.log_path = pathlib.Path(directory, f"{name}.log")
        self.process = None
        self.own_ends = []
        self.is_stopping = False
        self.settings = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": "zone-a",
            "region": "region",
            "zones": {"zone-a": "region"},
            "listen": {"frontend": self.callers, "readiness": self.readiness},
            "internalPorts": [7060, 7075],
            "seedNodes": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100}
            | {"linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_SECONDS * 1000),
            "bounds": {},
            "commandMode": "rpc",
            "advice": None,
            "platform": {"address": store_address, "form": "log", "parts": PARTS}
            | {"writesPerS": 600, "readsPerS": 2000, "appendMs": 3.0, "keep_s": 20}
            | {"recordBytes": 262144, "requestBytes": 2097152, "ttlMinMs": 1000},
            "cloudApi": None,
        }

    def write_settings(self, **fields):
        """Write the settings file, with changed ``fields``."""
        self.settings.update(fields)
        changed = self.settings_path.with_suffix(".new")
        changed.write_bytes(msgspec.json.encode(self.settings))
        changed.rename(self.settings_path)

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["AZURELANDING_BOOT"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = await anyio.open_process(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"{self.name}: process {self.process.pid} started")

    async def run(self):
        """Run the process, and start it again after a short delay when it ends."""
        self.write_settings()
        while True:
            await self.start()
            code = await self.process.wait()
            self.record.add(f"{self.name}: process {self.process.pid} ended, {code}")
            if not self.is_stopping:
                self.own_ends.append(code)
            self.is_stopping = False
            await anyio.sleep(RESTART_SECONDS)

    def send_signal(self, number):
        """Send a signal to the process."""
        self.record.add(f"{self.name}: {signal.Signals(number).name} sent")
        self.process.send_signal(number)

    def terminate(self):
        """Send SIGTERM as the platform does for a planned stop."""
        self.is_stopping = True
        self.send_signal(signal.SIGTERM)

    def has_read_jobs_of(self, pool):
        """Return whether this process has loaded the jobs of a pool, by its log."""
        log = self.log_path.read_text().rpartition('event="daemon started"')[2]
        partition = partition_of(pool, PARTS)
        return f'event="topic loaded" topic=jobs partition={partition} ' in log

    async def end(self):
        """End the process at the end of the case."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            await self.process.aclose()


class ThinLink:
    """Forwards connections to ``target``; the answers share ``megabits`` a second."""

    def __init__(self, target, megabits):
        self.target = target
        self.rate = megabits * 125_000
        self.turn = anyio.Lock()

    async def serve(self, near):
        """Forward one connection."""
        host, port = self.target.rsplit(":", 1)
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            far = await anyio.connect_tcp(host, int(port))
            async with near, far, anyio.create_task_group() as task_group:
                task_group.start_soon(self._forward, near, far, None, task_group)
                task_group.start_soon(self._forward, far, near, self.rate, task_group)

    async def _forward(self, source, sink, rate, task_group):
        with contextlib.suppress(
            anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            while True:
                data = await source.receive(THIN_LINK_BYTES)
                if rate is not None:
                    async with self.turn:
                        await anyio.sleep(len(data) / rate)
                await sink.send(data)
        task_group.cancel_scope.cancel()


@attrs.frozen
class LateAppend:
    """The append with ``content`` gets no answer, and is done ``seconds`` later."""

    content: bytes
    seconds: float


class Deployment:
    """The store, the executors, the daemons and the clients of one case."""

    def __init__(self, task_group, directory, record):
        self.task_group, self.directory, self.record = task_group, directory, record
        self.store = StoreModel(PARTS)
        self.fleet = WorkerFleet()
        self.addresses = {}
        self.unhealthy = set()
        self.notes_starts = True
        self.late_append = None
        self.daemons = []
        self.store_address = self._serve(self._store_app)

    def _serve(self, app):
        server = HttpServer.from_config("127.0.0.1:0", app, http="httptools")
        server.start(self.task_group)
        return server.address

    async def _store_app(self, scope, receive, send):
        """Serve the store, with the page limits of ``log-newest``."""
        if scope["path"].endswith("/log-append") and self.late_append is not None:
            await self._append_late(scope, receive, send)
            return
        if not scope["path"].endswith("/log-newest"):
            await self.store.app(scope, receive, send)
            return
        query = urllib.parse.parse_qs(scope["query_string"].decode())
        partition = self.store.partitions[query["topic"][0], int(query["part"][0])]
        after = query.get("after", [""])[0]
        items, size = [], 0
        keys = sorted(key for key in partition.newest if key > after)
        for key in keys[:PAGE_RECORDS]:
            record = partition.newest[key]
            size += len(key) + len(record.value)
            if items and size > PAGE_BYTES:
                break
            value = base64.b64encode(record.value).decode()
            items.append({"key": key, "value": value, "offset": record.offset})
        has_more = len(items) < len(keys)
        answer = {"items": items, "end": partition.end, "hasMore": has_more}
        body = msgspec.json.encode(answer)
        headers = (("Content-Type", "application/json"),)
        await http_server.send_reply(send, http.HTTPStatus.OK, headers, body)

    async def _append_late(self, scope, receive, send):
        """Leave the append with ``late_append.content`` unanswered, and do it late."""
        body = await http_server.read_body(receive, BODY_BYTES)

        async def receive_again():
            return {"type": "http.request", "body": body, "more_body": False}

        late = self.late_append
        if late is None or late.content not in body:
            await self.store.app(scope, receive_again, send)
            return
        self.late_append = None
        self.record.add(f"store: an append gets no answer, done in {late.seconds} s")

        async def drop_answer(message):
            if message["type"] == "http.response.start":
                status = message["status"]
                self.record.add(f"store: the late append is carried out: {status}")

        await anyio.sleep(late.seconds)
        await self.store.app(scope, receive_again, drop_answer)
        await anyio.sleep_forever()

    async def _thin_store_address(self, megabits):
        """Return an address of the store behind a link of ``megabits`` a second."""
        link = ThinLink(self.store_address, megabits)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.task_group.start_soon(listener.serve, link.serve)
        host, port = listener.extra(anyio.abc.SocketAttribute.local_address)
        return f"{host}:{port}"

    def add_executors(self, service, count, cores=8):
        """Start ``count`` executors of a service, which register themselves."""
        for number in range(count):
            name = f"i-{service}-{number}"
            resources = Resources(float(cores), cores << 32, 0)
            model = self.fleet.add(WorkerModel(name, service, resources))
            app = make_worker_app(self.fleet, name)
            self.addresses[name] = self._serve(self._executor_app(name, app))
            self.task_group.start_soon(self._heartbeat, name, model)

    async def _heartbeat(self, name, model):
        """Write the entry of an executor again and again."""
        born, sequence = int(time.time() * 1000), 0
        model.incarnation = born
        while True:
            sequence += 1
            entry = {
                "service": model.pool,
                "address": self.addresses[name],
                "zone": "zone-a",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": sequence,
                "born": born,
                "machine": f"m-{name}",
                "capacity": {
                    "cpu": int(model.resources.cores * 1000),
                    "memMb": model.resources.memory >> 20,
                    "gpus": 0,
                },
                "labels": ["a", "r1-1"],
            }
            self.store.put("keyed.servers", name, msgspec.json.encode(entry))
            await anyio.sleep(HEARTBEAT_SECONDS)

    def _executor_app(self, name, app):
        """Return the app of an executor, which records the starts that it is sent."""

        async def record_starts(scope, receive, send):
            if not scope["path"].endswith("/run-start"):
                await app(scope, receive, send)
                return
            body = await http_server.read_body(receive, BODY_BYTES)
            order = msgspec.json.decode(body)
            order = f"{order['task']} run {order['run']}"
            note = self.record.add if self.notes_starts else _ignore
            if name in self.unhealthy:
                note(f"{name}: start of {order} refused with 503")
                await http_server.send_reply(send, 503, (), b"")
                return

            async def receive_again():
                return {"type": "http.request", "body": body, "more_body": False}

            async def send_recorded(message):
                if message["type"] == "http.response.start":
                    status = message["status"]
                    note(f"{name}: start of {order} answered {status}")
                await send(message)

            await app(scope, receive_again, send_recorded)

        return record_starts

    def running(self):
        """Return the runs in progress now, as pairs of task and run, by executor."""
        found = {}
        for name, model in self.fleet.models.items():
            model.advance()
            found[name] = [(str(task), run) for task, run in model.running]
        return found

    def started(self):
        """Return the names of all tasks that an executor has begun."""
        models = self.fleet.models.values()
        return {str(task) for model in models for task, _ in model.started}

    def configure(self, version, routes, services):
        """Store a configuration, whose ``routes`` map queues to their service.

        The host of a queue is its name with ``.example``.
        """
        values = {
            "version": version,
            "routes": [
                {
                    "name": queue,
                    "host": f"{queue}.example",
                    "pathPrefix": f"/{queue}/",
                    "service": service,
                    "timeoutMs": 3000,
                    "priority": 0,
                    "maxAttempts": 4,
                    "stretch": 1.6,
                    "targetDurationMs": 600,
                }
                for queue, service in routes.items()
            ],
            "services": [
                {"name": service, "rejectsOverload": True} for service in services
            ],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("keyed.op", "config", msgspec.json.encode(values))
        self.record.add(f"operator: configuration {version} stored, {routes}")

    async def start_daemons(self, count, thin_links=(), **bounds):
        """Start the daemons, and wait until they are ready.

        ``thin_links`` maps the numbers of machines to the megabits a second of their
        link, on which the answers of the store arrive, and ``bounds`` are those that
        differ from ``BOUNDS``.
        """
        host = _free_network(count)
        for number in range(1, count + 1):
            name, ip = f"edge-a-{number}", f"{host}.7.{number}"
            daemon = Daemon(name, ip, self.store_address, self.directory, self.record)
            daemon.settings["bounds"] = {**BOUNDS, **bounds}
            if number in thin_links:
                megabits = thin_links[number]
                address = await self._thin_store_address(megabits)
                daemon.settings["limits"]["linkMbps"] = megabits
                daemon.settings["platform"]["address"] = address
            self.daemons.append(daemon)
            self.task_group.start_soon(daemon.run)
        for daemon in self.daemons:
            await self.until_ready(daemon)

    async def until_ready(self, daemon):
        """Wait until a daemon is ready."""
        client = HttpClient(daemon.readiness, 1.0)
        while True:
            with contextlib.suppress(HttpClientError):
                if (await client.request("GET", "/v1/ready"))[0] == 200:
                    break
            await anyio.sleep(POLL_SECONDS)
        await client.close()
        self.record.add(f"{daemon.name}: ready")

    async def restart(self, daemon):
        """Stop a machine's process as for planned work, and wait for the next one."""
        ended = daemon.process
        daemon.terminate()
        while daemon.process is ended:  # noqa: ASYNC110
            await anyio.sleep(POLL_SECONDS)
        await self.until_ready(daemon)

    async def kill_all(self):
        """Kill all processes at once, and wait until the next ones are ready."""
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGKILL)
        ended = [daemon.process for daemon in self.daemons]
        while any(d.process in ended for d in self.daemons):  # noqa: ASYNC110
            await anyio.sleep(POLL_SECONDS)
        for daemon in self.daemons:
            await self.until_ready(daemon)

    async def call(
        self, daemon, method, queue, job="", body=b"", timeout=3.0, is_noted=True
    ):
        """Make a client's request; return status and body, or ``None`` without.

        The client closes its connection after ``timeout`` seconds without an answer.
        """
        target = f"/{queue}/{job}"
        answer = await anyio.to_thread.run_sync(
            _request, daemon.callers, method, f"{queue}.example", target, body, timeout
        )
        if is_noted:
            self.record.add(f"client: {method} {target} at {daemon.name}: {answer}")
        return answer

    async def state(self, daemon, queue, job):
        """Return the state of a job that a daemon shows, or ``None``."""
        answer = await self.call(daemon, "GET", queue, job)
        shown = answer is not None and answer[0] == http.HTTPStatus.OK
        return msgspec.json.decode(answer[1])["state"] if shown else None

    async def pending(self, daemon, queue):
        """Return the number of jobs that a daemon shows as pending, or ``None``."""
        answer = await self.call(daemon, "GET", queue)
        shown = answer is not None and answer[0] == http.HTTPStatus.OK
        return msgspec.json.decode(answer[1])["pending"] if shown else None


def _request(address, method, host, target, body, timeout):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    headers = {
        "Host": host,
        "Content-Type": "application/json",
        "X-Request-Deadline": "3000",
    }
    try:
        connection.request(method, target, body or None, headers)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


async def _run(scenario, record):
    with tempfile.TemporaryDirectory() as directory:
        async with anyio.create_task_group() as task_group:
            deployment = Deployment(task_group, directory, record)
            try:
                with anyio.fail_after(CASE_SECONDS):
                    return await scenario(deployment)
            finally:
                with anyio.CancelScope(shield=True):
                    for daemon in deployment.daemons:
                        await daemon.end()
                task_group.cancel_scope.cancel()


def run_case(case_file, scenario):
    """Run a scenario, which returns whether the rule held, and exit as agreed."""
    record = Record(pathlib.Path(case_file).with_name("record.txt"))
    # The server logs each request that is cancelled when the case ends.
    logging.disable(logging.CRITICAL)
    record.add(f"the disruption is {'played' if is_disrupted() else 'left out'}")
    held = None
    try:
        held = anyio.run(_run, scenario, record)
    except Exception as error:
        record.add(f"the case couldn't run: {error!r}")
    if held is None:
        sys.exit(EXIT_FAILED)
    record.add("the rule held" if held else "the rule was broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
