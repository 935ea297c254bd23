"""Measure what placement costs against the number of workers, for CAPACITY.md.

``python -m bench.slopes_placement`` prints ``name=value`` lines: the processor
time of a pass and of one placement from 1,000 to 18,000 workers in one pool, of a
wave of cancellations, the memory of a worker and a task, and the bytes and the
processor time of an exchange with a worker.
"""

import gc
import random
import sys
import time
import tracemalloc

import anyio
import attrs

from azurelanding import placement, rules_parser, task_fold, task_records
from azurelanding.log_service import task_wire
from azurelanding.pool_capacity import PoolCapacity, WorkerView
from azurelanding.settings import WorkersSettings
from azurelanding.standins.site import free_ports
from azurelanding.tasks import Resources, Task
from azurelanding.workers import wire
from azurelanding.workers.client import WorkerClient, WorkerError

SEED = 7
WORKER_COUNTS = (1_000, 4_500, 9_000, 18_000)
ZONES = 13
RACK_SIZE = 4
JOBS = 20
TEAMS = 180
PLACED = 2_000
WAITING = 10_000
CANCELLED = 5_000
EXCHANGES = 500
START_SECONDS = 10.0
GB = 1 << 30
URGENCIES = ("urgent", "standard", "deferrable", "deferrable")


def make_rules():
    """Return the rules of many teams and jobs."""
    lines = ["pool work spare=yes  # bench"]
    lines += [
        f"team t{n} tasks=1000000 accelerators=1000  # bench" for n in range(TEAMS)
    ]
    for number in range(JOBS):
        urgency = URGENCIES[number % len(URGENCIES)]
        size = f"cores={1 + number % 4} memory={2 + number % 6}GB"
        accelerators = f"accelerators={int(number % 5 == 0)}"
        lines.append(
            f"job j{number} pool=work urgency={urgency} {size} {accelerators} "
            "checkpoint=yes  # bench"
        )
    return rules_parser.read_rules("\n".join(lines))


RULE_SET = make_rules()


class Pool:
    """A pool of ``count`` workers, two accelerators on every other one."""

    def __init__(self, count):
        self.rng = random.Random(SEED)
        self.tasks = task_fold.PoolTasks()
        self.capacity = PoolCapacity()
        self.claims = {}
        self.number = 0
        for number in range(count):
            rack = number // RACK_SIZE
            total = Resources(32.0, 128 * GB, 4 * (number % 2))
            self.capacity.update_worker(
                WorkerView(f"w{number}", f"z{rack % ZONES}", f"r{rack}", total, "i1")
            )
            self.tasks.health.workers[f"w{number}"].proven = True

    def fold(self, body):
        """Fold a record through its encoding, as a daemon does."""
        record = task_records.new_record(body, "bench", "bench", 0.0)
        text = task_wire.encode_record(record)
        read = task_wire.decode_record(text)
        task_fold.fold(self.tasks, self.tasks.next_offset, read)
        return len(text)

    def submit(self, count, job=None):
        """Submit tasks of random jobs and teams; return the record's bytes."""
        tasks = []
        for _ in range(count):
            self.number += 1
            name = job or f"j{self.rng.randrange(JOBS)}"
            team = f"t{self.rng.randrange(TEAMS)}"
            tasks.append(Task(f"work.{self.number:x}", name, team, float(self.number)))
        return self.fold(task_records.TasksSubmitted(tuple(tasks)))

    def plan(self):
        """Return the plan of one pass and its processor time in seconds."""
        began = time.process_time()
        plan = placement.plan_pass(
            self.tasks, self.capacity, RULE_SET, self.claims, 0.0
        )
        return plan, time.process_time() - began

    def place(self):
        """Make a pass and fold it; return how many were placed and the seconds."""
        plan, seconds = self.plan()
        if plan.placements:
            placed = tuple(plan.placements)
            self.fold(task_records.TasksDecided(1, placed=placed))
        return len(plan.placements), seconds


def measure_pool(count):
    """Print the figures of a pool of ``count`` workers."""
    label = f"workers_{count}"
    gc.collect()
    tracemalloc.start()
    pool = Pool(count)
    pool.plan()
    per_worker = tracemalloc.get_traced_memory()[0] / count
    tracemalloc.stop()
    print(f"{label}.bytes_per_worker={per_worker:.0f}")
    pool.submit(PLACED)
    placed, seconds = 0, 0.0
    while placed < PLACED:
        number, spent = pool.place()
        if not number:
            break
        placed, seconds = placed + number, seconds + spent
    print(f"{label}.ms_per_placement={seconds * 1000.0 / placed:.3f}")
    print(f"{label}.placed={placed}")
    pool.plan()
    print(f"{label}.idle_pass_ms={pool.plan()[1] * 1000.0:.3f}")


def measure_full_pool(count):
    """Print what a pass costs when the pool is full and many tasks wait."""
    pool = Pool(count)
    for number in range(count * 8):
        if number % 1000 == 0:
            pool.submit(1000, "j3")
    while pool.place()[0]:
        pass
    pool.submit(WAITING, "j2")
    _, seconds = pool.plan()
    print(f"full_{count}.pass_with_{WAITING}_waiting_ms={seconds * 1000.0:.2f}")
    pool.submit(32, "j4")
    plan, seconds = pool.plan()
    preempted = max(1, len(pool.claims))
    print(f"full_{count}.preemptions={len(pool.claims)} steps={len(plan.steps)}")
    print(f"full_{count}.ms_per_preemption={seconds * 1000.0 / preempted:.2f}")


def measure_cancellations():
    """Print what a wave of cancellations costs, and the bytes of records."""
    pool = Pool(WORKER_COUNTS[0])
    size = pool.submit(CANCELLED)
    print(f"record.bytes_per_submitted_task={size / CANCELLED:.0f}")
    names = tuple(pool.tasks.tasks)
    began = time.process_time()
    pool.fold(task_records.TasksCancelled(names))
    milliseconds = (time.process_time() - began) * 1000.0
    print(
        f"cancel.{CANCELLED}_by_id_ms={milliseconds:.1f} left={len(pool.tasks.tasks)}"
    )
    pool.submit(200)
    plan, _ = pool.plan()
    size = pool.fold(task_records.TasksDecided(1, placed=tuple(plan.placements)))
    print(f"record.bytes_per_placement={size / len(plan.placements):.0f}")
    gc.collect()
    tracemalloc.start()
    pool.submit(CANCELLED)
    per_task = tracemalloc.get_traced_memory()[0] / CANCELLED
    tracemalloc.stop()
    print(f"memory.bytes_per_waiting_task={per_task:.0f}")


@attrs.define
class Counts:
    """Bytes that went through a relay each way."""

    sent: int = 0
    received: int = 0


async def _pump(source, sink, counts, name):
    try:
        async for chunk in source:
            setattr(counts, name, getattr(counts, name) + len(chunk))
            await sink.send(chunk)
    except (anyio.ClosedResourceError, anyio.BrokenResourceError):
        return


async def _relay(stream, port, counts):
    upstream = await anyio.connect_tcp("127.0.0.1", port)
    async with stream, upstream, anyio.create_task_group() as task_group:
        task_group.start_soon(_pump, stream, upstream, counts, "sent")
        await _pump(upstream, stream, counts, "received")
        task_group.cancel_scope.cancel()


async def _exchange(client, count, wait=0.0):
    ask = wire.ReportRequest("work", 5, "", 0, wait, 600.0)
    for _ in range(count):
        report = await client.report(ask)
        ask = attrs.evolve(ask, incarnation=report.incarnation, since=report.version)


async def _wait_until_up(client):
    with anyio.fail_after(START_SECONDS):
        while True:
            try:
                return await _exchange(client, 1)
            except WorkerError:
                await anyio.sleep(0.05)


async def _measure_bytes(address, port, relay_port):
    counts, settings = Counts(), WorkersSettings()
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=relay_port
    )
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(
            listener.serve, lambda stream: _relay(stream, port, counts)
        )
        client = WorkerClient.from_config(f"127.0.0.1:{relay_port}", settings)
        await _exchange(client, 1)
        counts.sent = counts.received = 0
        await _exchange(client, 10)
        print(f"report.idle_bytes_sent={counts.sent / 10:.0f}")
        print(f"report.idle_bytes_received={counts.received / 10:.0f}")
        await client.close()
        task_group.cancel_scope.cancel()
    await listener.aclose()


async def measure_exchanges():
    """Print the bytes and the processor time of exchanges with a worker."""
    port, relay_port = free_ports(2)
    address = f"127.0.0.1:{port}"
    process = await anyio.open_process(
        [sys.executable, "-m", "azurelanding.standins", "workers", f"w={address}"],
        stdin=None,
        stdout=None,
        stderr=None,
    )
    try:
        client = WorkerClient.from_config(address, WorkersSettings())
        await _wait_until_up(client)
        began = time.process_time()
        await _exchange(client, EXCHANGES)
        spent = time.process_time() - began
        print(f"report.client_ms={spent * 1000.0 / EXCHANGES:.3f}")
        await client.close()
        await _measure_bytes(address, port, relay_port)
    finally:
        process.terminate()
        await process.wait()
    attempt = wire.Attempt(
        "work.4f2a91c03b7d-12", 1, 812, wire.AttemptPhase.DONE, 2.0, 4 << 30, 61.125
    )
    empty = len(wire.encode_report(wire.Report("9f3a01bc", 812, False)))
    full = len(wire.encode_report(wire.Report("9f3a01bc", 812, False, (attempt,))))
    print(f"report.bytes_per_attempt={full - empty}")


def main():
    """Print every slope."""
    print(f"seed={SEED}")
    for count in WORKER_COUNTS:
        measure_pool(count)
    for count in WORKER_COUNTS[:2]:
        measure_full_pool(count)
    measure_cancellations()
    anyio.run(measure_exchanges)


if __name__ == "__main__":
    main()
