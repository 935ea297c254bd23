"""Measure how the cost of placement grows with the workers, for CAPACITY.md.

``python -m bench.slopes_placement`` prints ``name=value`` lines: the processor time
of a placement pass and of one placement in a pool of 1,000 to 18,000 workers, that
of many cancellations in one record, the memory of a worker and of a task, and the bytes
and the processor time of one exchange with a worker.
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
ZONE_COUNT = 13
WORKERS_PER_RACK = 4
JOB_COUNT = 20
TEAM_COUNT = 180
PLACED_TASKS = 2_000
WAITING_TASKS = 10_000
CANCELLATIONS = 5_000
EXCHANGE_COUNT = 500
START_TIMEOUT_SECONDS = 10.0
GB = 1 << 30
URGENCIES = ("urgent", "standard", "deferrable", "deferrable")


def make_rules():
    """Return the ``RuleSet`` of a pool with many teams and jobs."""
    lines = ["pool work spare=yes  # bench"]
    lines += [
        f"team t{n} tasks=1000000 accelerators=1000  # bench" for n in range(TEAM_COUNT)
    ]
    for number in range(JOB_COUNT):
        urgency = URGENCIES[number % len(URGENCIES)]
        size = f"cores={1 + number % 4} memory={2 + number % 6}GB"
        accelerators = f"accelerators={int(number % 5 == 0)}"
        lines.append(
            f"job j{number} pool=work urgency={urgency} {size} {accelerators} "
            "checkpoint=yes  # bench"
        )
    return rules_parser.read_rules("\n".join(lines))


RULE_SET = make_rules()


class BenchPool:
    """A pool of ``count`` idle workers; every other one has four accelerators."""

    def __init__(self, count):
        self.rng = random.Random(SEED)
        self.tasks = task_fold.PoolTasks()
        self.capacity = PoolCapacity()
        self.claims = {}
        self.last_task_number = 0
        for number in range(count):
            rack = number // WORKERS_PER_RACK
            total = Resources(32.0, 128 * GB, 4 * (number % 2))
            self.capacity.update_worker(
                WorkerView(
                    f"w{number}", f"z{rack % ZONE_COUNT}", f"r{rack}", total, "i1"
                )
            )
            self.tasks.health.workers[f"w{number}"].proven = True

    def fold(self, body):
        """Encode, decode and fold a record, as a daemon does; return its bytes."""
        record = task_records.new_record(body, "bench", "bench", 0.0)
        text = task_wire.encode_record(record)
        read = task_wire.decode_record(text)
        task_fold.fold(self.tasks, self.tasks.next_offset, read)
        return len(text)

    def submit(self, count, job=None):
        """Submit tasks of random teams, of random jobs if ``job`` is not given.

        Return the bytes of the record.
        """
        tasks = []
        for _ in range(count):
            self.last_task_number += 1
            name = job or f"j{self.rng.randrange(JOB_COUNT)}"
            team = f"t{self.rng.randrange(TEAM_COUNT)}"
            tasks.append(
                Task(
                    f"work.{self.last_task_number:x}",
                    name,
                    team,
                    float(self.last_task_number),
                )
            )
        return self.fold(task_records.TasksSubmitted(tuple(tasks)))

    def make_plan(self):
        """Return the plan of one pass and the processor time in seconds it took."""
        started = time.process_time()
        plan = placement.plan_pass(
            self.tasks, self.capacity, RULE_SET, self.claims, 0.0
        )
        return plan, time.process_time() - started

    def place_tasks(self):
        """Plan a pass and fold it; return the tasks placed and the planning seconds."""
        plan, seconds = self.make_plan()
        if plan.placements:
            placed = tuple(plan.placements)
            self.fold(task_records.TasksDecided(1, placed=placed))
        return len(plan.placements), seconds


def measure_pool(count):
    """Print the costs of placement in an empty pool of ``count`` workers."""
    label = f"workers_{count}"
    gc.collect()
    tracemalloc.start()
    pool = BenchPool(count)
    pool.make_plan()
    per_worker = tracemalloc.get_traced_memory()[0] / count
    tracemalloc.stop()
    print(f"{label}.bytes_per_worker={per_worker:.0f}")
    pool.submit(PLACED_TASKS)
    placed, seconds = 0, 0.0
    while placed < PLACED_TASKS:
        number, spent = pool.place_tasks()
        if not number:
            break
        placed, seconds = placed + number, seconds + spent
    print(f"{label}.ms_per_placement={seconds * 1000.0 / placed:.3f}")
    print(f"{label}.placed={placed}")
    pool.make_plan()
    print(f"{label}.idle_pass_ms={pool.make_plan()[1] * 1000.0:.3f}")


def measure_full_pool(count):
    """Print the cost of a pass when the pool is full and many tasks wait."""
    pool = BenchPool(count)
    for number in range(count * 8):
        if number % 1000 == 0:
            pool.submit(1000, "j3")
    while pool.place_tasks()[0]:
        pass
    pool.submit(WAITING_TASKS, "j2")
    _, seconds = pool.make_plan()
    print(f"full_{count}.pass_with_{WAITING_TASKS}_waiting_ms={seconds * 1000.0:.2f}")
    pool.submit(32, "j4")
    plan, seconds = pool.make_plan()
    preempted = max(1, len(pool.claims))
    print(f"full_{count}.preemptions={len(pool.claims)} steps={len(plan.steps)}")
    print(f"full_{count}.ms_per_preemption={seconds * 1000.0 / preempted:.2f}")


def measure_cancellations():
    """Print the cost of many cancellations, the size of records and task memory."""
    pool = BenchPool(WORKER_COUNTS[0])
    size = pool.submit(CANCELLATIONS)
    print(f"record.bytes_per_submitted_task={size / CANCELLATIONS:.0f}")
    names = tuple(pool.tasks.tasks)
    started = time.process_time()
    pool.fold(task_records.TasksCancelled(names))
    elapsed_ms = (time.process_time() - started) * 1000.0
    print(
        f"cancel.{CANCELLATIONS}_by_id_ms={elapsed_ms:.1f} left={len(pool.tasks.tasks)}"
    )
    pool.submit(200)
    plan, _ = pool.make_plan()
    size = pool.fold(task_records.TasksDecided(1, placed=tuple(plan.placements)))
    print(f"record.bytes_per_placement={size / len(plan.placements):.0f}")
    gc.collect()
    tracemalloc.start()
    pool.submit(CANCELLATIONS)
    per_task = tracemalloc.get_traced_memory()[0] / CANCELLATIONS
    tracemalloc.stop()
    print(f"memory.bytes_per_waiting_task={per_task:.0f}")


@attrs.define
class ByteCounts:
    """Bytes that passed through a relay in each direction."""

    sent: int = 0
    received: int = 0


async def _forward(source, sink, counts, direction):
    try:
        async for chunk in source:
            setattr(counts, direction, getattr(counts, direction) + len(chunk))
            await sink.send(chunk)
    except (anyio.ClosedResourceError, anyio.BrokenResourceError):
        return


async def _relay_connection(stream, port, counts):
    upstream = await anyio.connect_tcp("127.0.0.1", port)
    async with stream, upstream, anyio.create_task_group() as task_group:
        task_group.start_soon(_forward, stream, upstream, counts, "sent")
        await _forward(upstream, stream, counts, "received")
        task_group.cancel_scope.cancel()


async def _run_exchanges(client, count, wait=0.0):
    request = wire.ReportRequest("work", 5, "", 0, wait, 600.0)
    for _ in range(count):
        report = await client.report(request)
        request = attrs.evolve(
            request, incarnation=report.incarnation, since=report.version
        )


async def _wait_until_up(client):
    with anyio.fail_after(START_TIMEOUT_SECONDS):
        while True:
            try:
                return await _run_exchanges(client, 1)
            except WorkerError:
                await anyio.sleep(0.05)


async def _measure_bytes(address, port, relay_port):
    counts, settings = ByteCounts(), WorkersSettings()
    listener = await anyio.create_tcp_listener(
        local_host="127.0.0.1", local_port=relay_port
    )
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(
            listener.serve, lambda stream: _relay_connection(stream, port, counts)
        )
        client = WorkerClient.from_config(f"127.0.0.1:{relay_port}", settings)
        await _run_exchanges(client, 1)
        counts.sent = counts.received = 0
        await _run_exchanges(client, 10)
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
        started = time.process_time()
        await _run_exchanges(client, EXCHANGE_COUNT)
        spent = time.process_time() - started
        print(f"report.client_ms={spent * 1000.0 / EXCHANGE_COUNT:.3f}")
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
    """Print all measurements."""
    print(f"seed={SEED}")
    for count in WORKER_COUNTS:
        measure_pool(count)
    for count in WORKER_COUNTS[:2]:
        measure_full_pool(count)
    measure_cancellations()
    anyio.run(measure_exchanges)


if __name__ == "__main__":
    main()
