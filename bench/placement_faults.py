"""Run tasks through freezes, kills and an outage, and count what ran twice.

``python -m bench.placement_faults`` starts two control daemons, four workers and
the platform's stand-ins as processes, submits tasks that must not be repeated all
along, freezes the controller for longer than its lease, lets both hold at once,
kills it, and takes the log away. It then fills the workers and measures how soon
urgent work starts. It prints ``name=value`` lines and exits with 0 only when every
bar is met.
"""

import collections
import sys
import uuid

import anyio

from azurelanding import records
from azurelanding.operators import task_wire
from azurelanding.operators.client import DaemonUnreachableError, OperatorsClient
from azurelanding.standins.site import Site, SiteConfig

RULES = """
pool cuts hosts=cut-* spare=yes  # bench
team guild tasks=1000  # bench
job print pool=cuts cores=1 memory=1GB repeat=no  # bench
job index pool=cuts urgency=deferrable cores=2 memory=2GB checkpoint=yes  # bench
job render pool=cuts urgency=urgent cores=2 memory=2GB  # bench
"""
WORKERS = 4
WORKER_CORES = 8.0
BATCH = 10
BATCHES = 14
BATCH_SECONDS = 1.5
RUN_SECONDS = 0.5
LONG_RUN_SECONDS = 600.0
FREEZE_SECONDS = 9.0
URGENT_TASKS = 8
URGENT_BAR_SECONDS = 6.0
BENCH_TIMEOUT_SECONDS = 85.0
POLL_SECONDS = 0.1


class Bench:
    """The site, and the addresses of the daemons that can be asked now."""

    def __init__(self, site):
        self.site = site
        self.down = set()
        self.submitted = []
        self.unsure = 0

    async def ask(self, path, value_type, asked=None):
        """Ask the first daemon that is neither frozen nor killed."""
        while True:
            for name, daemon in self.site.daemons.items():
                if name in self.down:
                    continue
                client = OperatorsClient.from_config(daemon.operators)
                try:
                    return await client.ask(path, value_type, asked)
                except DaemonUnreachableError:
                    pass
                finally:
                    await client.close()
            await anyio.sleep(POLL_SECONDS)

    async def submit(self, job, count):
        """Submit tasks, again under the same key until they are recorded."""
        key = uuid.uuid4().hex[:12]
        asked = task_wire.SubmitRequest(job, "guild", count, "bench", key)
        while True:
            changed = await self.ask(
                task_wire.SUBMIT_PATH, task_wire.TaskChangeResult, asked
            )
            if changed.recorded:
                return changed.tasks
            self.unsure += 1

    async def report(self):
        """Return the ``TasksReport`` of the pool."""
        path = f"{task_wire.TASKS_PATH}?pool=cuts"
        return await self.ask(path, task_wire.TasksReport)

    async def wait_for(self, condition):
        """Return the ``TasksReport`` once it meets ``condition``."""
        while True:
            report = await self.report()
            if condition(report):
                return report
            await anyio.sleep(POLL_SECONDS)

    async def holder(self):
        """Return the name of the daemon that controls the pool."""
        while True:
            name = (await self.report()).by.rpartition(".")[0]
            if name and name not in self.down:
                return name
            await anyio.sleep(POLL_SECONDS)

    async def lines(self):
        """Return the ledger lines of all workers."""
        ledgers = [
            await self.site.ask(worker.address, "GET", "/ledger")
            for worker in self.site.workers
        ]
        return [line for ledger in ledgers for line in ledger["lines"]], ledgers

    async def turn_workers(self, **knobs):
        """Set knobs of every worker."""
        for worker in self.site.workers:
            await self.site.ask(worker.address, "POST", "/knobs", knobs)


async def _submit_all_along(bench):
    for _ in range(BATCHES):
        bench.submitted += await bench.submit("print", BATCH)
        await anyio.sleep(BATCH_SECONDS)


async def _freeze_holder(bench):
    """Freeze the controller for longer than its lease; return the takeover time."""
    name = await bench.holder()
    bench.site.freeze(name)
    bench.down.add(name)
    frozen_at = anyio.current_time()
    successor = await bench.holder()
    print(f"takeover_after_freeze_s={anyio.current_time() - frozen_at:.2f}")
    await anyio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - anyio.current_time()))
    bench.site.resume(name)
    bench.down.discard(name)
    return successor


async def _kill(bench, name):
    await bench.site.kill(name)
    bench.down.add(name)
    killed_at = anyio.current_time()
    await bench.holder()
    print(f"takeover_after_kill_s={anyio.current_time() - killed_at:.2f}")


async def _break_things(bench):
    await anyio.sleep(1.0)
    await bench.turn_workers(lose_replies=1)
    successor = await _freeze_holder(bench)
    await anyio.sleep(1.0)
    await _kill(bench, successor)
    await bench.site.set_log_knobs(down=True)
    await anyio.sleep(2.0)
    await bench.site.set_log_knobs(down=False, lose_replies=2)


async def _wait_for_empty(bench):
    """Wait until no task waits or runs; return what is parked or lost."""
    live = ("waiting", "placed")
    report = await bench.wait_for(
        lambda report: all(line.phase not in live for line in report.lines)
    )
    return report.lines


async def _measure_urgent(bench):
    """Fill the workers and return how long each urgent task took to start."""
    run_times = {"index": LONG_RUN_SECONDS, "render": RUN_SECONDS}
    await bench.turn_workers(run_times=run_times)
    full = int(WORKERS * WORKER_CORES)
    await bench.submit("index", full)
    await bench.wait_for(lambda r: sum(w.tasks for w in r.workers) >= full // 2)
    asked_at = anyio.current_time()
    urgent = set(await bench.submit("render", URGENT_TASKS))
    while True:
        lines, _ = await bench.lines()
        starts = {
            line["task"]: line["started_at"] - asked_at
            for line in lines
            if line["task"] in urgent
        }
        if starts.keys() == urgent:
            lost = max(li["lost"] for li in lines if li["job"] == "index")
            return sorted(starts.values()), lost
        await anyio.sleep(POLL_SECONDS)


def _judge(name, met):
    print(f"{'pass' if met else 'FAIL'}: {name}")
    return met


async def _run(bench):
    site = bench.site
    await site.start()
    await bench.turn_workers(run_time=RUN_SECONDS)
    client = OperatorsClient.from_config(site.operators_address)
    await client.change(records.RulesPublished(RULES, 0), "bench")
    await client.close()
    await bench.wait_for(lambda report: len(report.workers) == WORKERS)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_submit_all_along, bench)
        task_group.start_soon(_break_things, bench)
    left = await _wait_for_empty(bench)
    lines, ledgers = await bench.lines()
    starts = collections.Counter(line["task"] for line in lines)
    doubled = [name for name in bench.submitted if starts[name] > 1]
    never = [name for name in bench.submitted if not starts[name]]
    print(f"submitted={len(bench.submitted)} submissions_repeated={bench.unsure}")
    print(f"started_twice={len(doubled)} never_started={len(never)}")
    print(f"parked_or_lost={sum(line.count for line in left)}")
    print(f"refused_by_workers={sum(ledger['refused'] for ledger in ledgers)}")
    waits, lost = await _measure_urgent(bench)
    print(f"urgent_start_median_s={waits[len(waits) // 2]:.2f}")
    print(f"urgent_start_max_s={waits[-1]:.2f} lost_by_checkpointed_s={lost:.2f}")
    return [
        _judge("nothing that must not be repeated started twice", not doubled),
        _judge("everything submitted was started", not never),
        _judge("nothing was lost", not left),
        _judge("urgent work starts within 6 s", waits[-1] <= URGENT_BAR_SECONDS),
        _judge("no checkpointed task lost work", lost == 0.0),
    ]


async def main():
    """Run the bench and return its exit code."""
    config = SiteConfig(
        entries=0,
        controls=2,
        executors={},
        workers={"cut": WORKERS},
        worker_cores=WORKER_CORES,
        worker_memory=32 << 30,
    )
    site = Site.from_config(config)
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            verdicts = await _run(Bench(site))
    finally:
        await site.close()
    return 0 if all(verdicts) else 1


if __name__ == "__main__":
    sys.exit(anyio.run(main))
