"""Measure what a daemon on the platform costs that controls no pool.

The real program runs against the stand-in of the store. Another member holds all
partitions, so the daemon only reads: nothing, then the entries of workers that each
heartbeat changes, then the records of jobs of other daemons, as many as on a site of
540 workers. Processor time is that of the daemon's process.

``--profile`` prints the functions of the daemon that take most.
"""

import itertools
import os
import pathlib
import pstats
import signal
import subprocess
import sys
import tempfile

import anyio
import attrs
import defopt

import azurelanding
from azurelanding import job_records, ledger
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.http_server import HttpServer
from azurelanding.jobs import Job, JobOutcome, Step, TaskId, TaskState
from azurelanding.membership import CONTROL_GROUP, FLEET_GROUP, partition_of
from azurelanding.standins.platform_settings import (
    encode_configuration,
    encode_settings,
    environment,
)
from azurelanding.standins.platform_store import StoreModel
from azurelanding.standins.platform_worker import WorkerModel
from azurelanding.standins.platform_worker_app import encode_entry
from azurelanding.store import Producer
from azurelanding.tasks import Resources

ROOT = pathlib.Path(azurelanding.__file__).parent.parent
IP = "127.0.0.80"
PARTITIONS = 16
POOLS = tuple(f"pool-{number}" for number in range(5))
TASKS_PER_JOB = 12
TICKS_PER_SECOND = 10
FOREVER_SECONDS = 1e9
LINK_MEGABITS = 10.0


@attrs.define
class Traffic:
    """What others write to the store, each second."""

    entries: int = 0
    jobs: int = 0


def make_store():
    """Return a store with a configuration, where another member holds everything."""
    store = StoreModel(PARTITIONS)
    store.join(CONTROL_GROUP, "other", ("jobs",), FOREVER_SECONDS)
    for topic in ("keyed.jobs", "keyed.fleet"):
        group = CONTROL_GROUP if topic == "keyed.jobs" else FLEET_GROUP
        store.join(group, "other", (topic,), FOREVER_SECONDS)
    routes = [(f"{pool}:queue", IP, pool) for pool in POOLS]
    store.put("keyed.op", "config", encode_configuration(1, routes))
    return store


def job_history(job_id, pool):
    """Return lists of the records that a job leaves, in their order."""
    steps = (Step(TASKS_PER_JOB, Resources(4.5, 1 << 30, 0), estimate=1.0),)
    job = Job(job_id, f"{pool}:queue", pool, "s" * 300, steps, 1.0)
    tasks = [TaskId(job_id, 0, 0, index) for index in range(TASKS_PER_JOB)]
    placed = [ledger.TaskChanged(t, TaskState(1, {1: "w-1"})) for t in tasks]
    done = [ledger.TaskChanged(t, TaskState(1, is_done=True)) for t in tasks]
    end = ledger.JobEnded(job_id, JobOutcome.COMPLETED, 2.0)
    dropped = [(f"task/{task}", None) for task in tasks]
    return (
        [job_records.encode_record(r) for r in ledger.submission_records(job)],
        [job_records.encode_record(record) for record in placed],
        [job_records.encode_record(record) for record in done],
        [job_records.encode_record(end), *dropped, (f"work/{job_id}", None)],
    )


async def write(store, traffic):
    """Write the traffic of others until cancelled."""
    models = [WorkerModel(f"w-{n}", POOLS[n % len(POOLS)]) for n in range(540)]
    numbers, next_model, open_histories = itertools.count(), 0, []
    epoch, owed_entries, owed_jobs = itertools.count(1), 0.0, 0.0
    while True:
        await anyio.sleep(1 / TICKS_PER_SECOND)
        owed_entries += traffic.entries / TICKS_PER_SECOND
        while owed_entries >= 1:
            owed_entries -= 1
            model = models[next_model % len(models)]
            next_model += 1
            store.put("keyed.servers", model.name, encode_entry(model, "10.0.0.1:80"))
        owed_jobs += traffic.jobs / TICKS_PER_SECOND
        while owed_jobs >= 1:
            owed_jobs -= 1
            number = next(numbers)
            pool = POOLS[number % len(POOLS)]
            open_histories.append((pool, iter(job_history(f"{number:016x}", pool))))
        still_open = []
        for pool, history in open_histories:
            records = next(history, None)
            if records is not None:
                partition = store.partitions[
                    "keyed.jobs", partition_of(pool, PARTITIONS)
                ]
                partition.append(records, Producer("other", next(epoch)), 1)
                still_open.append((pool, history))
        open_histories = still_open


def used_seconds(pid):
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def until_ready():
    """Wait until the daemon is ready."""
    client = HttpClient(f"{IP}:7172", 1.0)
    while True:
        try:
            if (await client.request("GET", "/v1/ready"))[0] == 200:
                await client.close()
                return
        except HttpClientError:
            pass
        await anyio.sleep(0.05)


async def measure(seconds, profile_path):
    """Run the daemon and print its processor time by kind of traffic."""
    store, traffic = make_store(), Traffic()
    command = [sys.executable, str(ROOT / "entry.py")]
    if profile_path:
        command[1:1] = ["-m", "cProfile", "-o", profile_path]
    async with anyio.create_task_group() as task_group:
        server = HttpServer.from_config("127.0.0.1:0", store.app, http="httptools")
        server.start(task_group)
        task_group.start_soon(write, store, traffic)
        with tempfile.TemporaryDirectory() as directory:
            path = anyio.Path(directory, "settings.json")
            await path.write_bytes(
                encode_settings(
                    "edge-a-1",
                    IP,
                    server.address,
                    PARTITIONS,
                    cloudApi={"address": "127.0.0.1:9"},
                    limits={"linkMbps": LINK_MEGABITS},
                )
            )
            process = await anyio.open_process(
                command,
                env=environment(path),
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            with anyio.fail_after(30):
                await until_ready()
            print(f"start: {used_seconds(process.pid):.2f} s")
            for name, entries, jobs in (
                ("nothing written", 0, 0),
                ("360 entries a second", 360, 0),
                ("360 entries and 30 jobs a second", 360, 30),
            ):
                traffic.entries, traffic.jobs = entries, jobs
                await anyio.sleep(1.0)
                before = used_seconds(process.pid)
                await anyio.sleep(seconds)
                share = (used_seconds(process.pid) - before) / seconds
                print(f"{name}: {100 * share:.2f} % of a core")
            process.send_signal(signal.SIGTERM)
            with anyio.move_on_after(10):
                await process.wait()
        await server.close()
        task_group.cancel_scope.cancel()


def main(*, seconds: float = 5.0, profile: bool = False):
    """Measure the cost of a daemon that controls nothing.

    :param seconds: how long to measure each kind of traffic
    :param profile: print the functions that take most; the profile itself costs, too
    """
    with tempfile.TemporaryDirectory() as directory:
        path = str(pathlib.Path(directory, "profile")) if profile else ""
        anyio.run(measure, seconds, path)
        if path:
            pstats.Stats(path).sort_stats("tottime").print_stats(35)
            pstats.Stats(path).sort_stats("cumtime").print_stats(70)


if __name__ == "__main__":
    defopt.run(main)
