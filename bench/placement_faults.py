"""Count the tasks that run twice when daemons freeze or die and the log is down.

``python -m bench.placement_faults`` starts two control daemons, four workers and the
stand-ins of the platform as processes. While it submits tasks that must not be
repeated, it freezes the controller of the pool for longer than its lease, resumes it
after another daemon has taken over, so that two daemons act as controller for a
while, kills the new controller and makes the log service unavailable. It then fills the
workers and measures how soon urgent tasks start. It prints ``name=value`` lines and
exits with 0 only if all criteria are met.
"""

import collections
import sys
import uuid

import anyio

from azurelanding import records
from azurelanding.operators import task_wire
from azurelanding.operators.client import DaemonUnreachableError, OperatorsClient
from azurelanding.standins.site import LocalSite, SiteConfig

RULES = """
pool cuts hosts=cut-* spare=yes  # bench
team guild tasks=1000  # bench
job print pool=cuts cores=1 memory=1GB repeat=no  # bench
job index pool=cuts urgency=deferrable cores=2 memory=2GB checkpoint=yes  # bench
job render pool=cuts urgency=urgent cores=2 memory=2GB  # bench
"""
WORKER_COUNT = 4
WORKER_CORES = 8.0
BATCH_TASKS = 10
BATCH_COUNT = 14
BATCH_INTERVAL_SECONDS = 1.5
TASK_RUN_SECONDS = 0.5
LONG_TASK_RUN_SECONDS = 600.0
FREEZE_SECONDS = 9.0
URGENT_TASKS = 8
MAX_URGENT_START_SECONDS = 6.0
BENCH_TIMEOUT_SECONDS = 85.0
POLL_INTERVAL_SECONDS = 0.1


class SiteDriver:
    """The site under test, and which of its daemons are down.

    ``down`` names the daemons that are frozen or killed, ``submitted`` the tasks that
    must all start exactly once. ``resubmissions`` counts the submissions sent again
    because no daemon confirmed that they were recorded.
    """

    def __init__(self, site):
        self.site = site
        self.down = set()
        self.submitted = []
        self.resubmissions = 0

    async def request(self, path, value_type, body=None):
        """Return the answer of the first daemon that is up, retrying until one is."""
        while True:
            for name, daemon in self.site.daemons.items():
                if name in self.down:
                    continue
                client = OperatorsClient.from_config(daemon.operators)
                try:
                    return await client.ask(path, value_type, body)
                except DaemonUnreachableError:
                    pass
                finally:
                    await client.close()
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def submit(self, job, count):
        """Submit tasks under one key until they are recorded; return their ids."""
        key = uuid.uuid4().hex[:12]
        body = task_wire.SubmitRequest(job, "guild", count, "bench", key)
        while True:
            result = await self.request(
                task_wire.SUBMIT_PATH, task_wire.TaskChangeResult, body
            )
            if result.recorded:
                return result.tasks
            self.resubmissions += 1

    async def read_tasks(self):
        """Return the ``TasksReport`` of the pool."""
        path = f"{task_wire.TASKS_PATH}?pool=cuts"
        return await self.request(path, task_wire.TasksReport)

    async def wait_for(self, condition):
        """Poll until the ``TasksReport`` of the pool meets ``condition``; return it."""
        while True:
            report = await self.read_tasks()
            if condition(report):
                return report
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def find_holder(self):
        """Return the name of the daemon that controls the pool."""
        while True:
            name = (await self.read_tasks()).by.rpartition(".")[0]
            if name and name not in self.down:
                return name
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def read_ledgers(self):
        """Return the ledger lines of all workers together, and the ledgers."""
        ledgers = [
            await self.site.ask(worker.address, "GET", "/ledger")
            for worker in self.site.workers
        ]
        return [line for ledger in ledgers for line in ledger["lines"]], ledgers

    async def set_worker_knobs(self, **knobs):
        """Set knobs of every worker."""
        for worker in self.site.workers:
            await self.site.ask(worker.address, "POST", "/knobs", knobs)


async def _submit_batches(driver):
    for _ in range(BATCH_COUNT):
        driver.submitted += await driver.submit("print", BATCH_TASKS)
        await anyio.sleep(BATCH_INTERVAL_SECONDS)


async def _freeze_holder(driver):
    """Freeze the controller for longer than its lease; return its successor."""
    name = await driver.find_holder()
    driver.site.freeze(name)
    driver.down.add(name)
    frozen_at = anyio.current_time()
    successor = await driver.find_holder()
    print(f"takeover_after_freeze_s={anyio.current_time() - frozen_at:.2f}")
    await anyio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - anyio.current_time()))
    driver.site.resume(name)
    driver.down.discard(name)
    return successor


async def _kill_controller(driver, name):
    await driver.site.kill(name)
    driver.down.add(name)
    killed_at = anyio.current_time()
    await driver.find_holder()
    print(f"takeover_after_kill_s={anyio.current_time() - killed_at:.2f}")


async def _inject_faults(driver):
    await anyio.sleep(1.0)
    await driver.set_worker_knobs(lose_replies=1)
    successor = await _freeze_holder(driver)
    await anyio.sleep(1.0)
    await _kill_controller(driver, successor)
    await driver.site.set_log_knobs(down=True)
    await anyio.sleep(2.0)
    await driver.site.set_log_knobs(down=False, lose_replies=2)


async def _wait_until_idle(driver):
    """Wait until no task waits or runs; return the report lines of the others."""
    active = ("waiting", "placed")
    report = await driver.wait_for(
        lambda report: all(line.phase not in active for line in report.lines)
    )
    return report.lines


async def _measure_urgent(driver):
    """Fill the workers and submit urgent tasks.

    Return the seconds that each urgent task took to start, in rising order, and the
    most seconds of work that a preempted task lost.
    """
    run_times = {"index": LONG_TASK_RUN_SECONDS, "render": TASK_RUN_SECONDS}
    await driver.set_worker_knobs(run_times=run_times)
    core_count = int(WORKER_COUNT * WORKER_CORES)
    await driver.submit("index", core_count)
    await driver.wait_for(lambda r: sum(w.tasks for w in r.workers) >= core_count // 2)
    submitted_at = anyio.current_time()
    urgent = set(await driver.submit("render", URGENT_TASKS))
    while True:
        lines, _ = await driver.read_ledgers()
        starts = {
            line["task"]: line["started_at"] - submitted_at
            for line in lines
            if line["task"] in urgent
        }
        if starts.keys() == urgent:
            lost_seconds = max(li["lost"] for li in lines if li["job"] == "index")
            return sorted(starts.values()), lost_seconds
        await anyio.sleep(POLL_INTERVAL_SECONDS)


def _print_criterion(name, met):
    print(f"{'pass' if met else 'FAIL'}: {name}")
    return met


async def _run_bench(driver):
    site = driver.site
    await site.start()
    await driver.set_worker_knobs(run_time=TASK_RUN_SECONDS)
    client = OperatorsClient.from_config(site.operators_address)
    await client.change(records.RulesPublished(RULES, 0), "bench")
    await client.close()
    await driver.wait_for(lambda report: len(report.workers) == WORKER_COUNT)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_submit_batches, driver)
        task_group.start_soon(_inject_faults, driver)
    unfinished = await _wait_until_idle(driver)
    lines, ledgers = await driver.read_ledgers()
    starts = collections.Counter(line["task"] for line in lines)
    started_twice = [task for task in driver.submitted if starts[task] > 1]
    never_started = [task for task in driver.submitted if not starts[task]]
    print(
        f"submitted={len(driver.submitted)} submissions_repeated={driver.resubmissions}"
    )
    print(f"started_twice={len(started_twice)} never_started={len(never_started)}")
    print(f"parked_or_lost={sum(line.count for line in unfinished)}")
    print(f"refused_by_workers={sum(ledger['refused'] for ledger in ledgers)}")
    delays, lost_seconds = await _measure_urgent(driver)
    print(f"urgent_start_median_s={delays[len(delays) // 2]:.2f}")
    print(
        f"urgent_start_max_s={delays[-1]:.2f} lost_by_checkpointed_s={lost_seconds:.2f}"
    )
    return [
        _print_criterion(
            "nothing that must not be repeated started twice", not started_twice
        ),
        _print_criterion("everything submitted was started", not never_started),
        _print_criterion("nothing was lost", not unfinished),
        _print_criterion(
            "urgent work starts within 6 s",
            delays[-1] <= MAX_URGENT_START_SECONDS,
        ),
        _print_criterion("no checkpointed task lost work", lost_seconds == 0.0),
    ]


async def main():
    """Run the bench and return its exit code."""
    config = SiteConfig(
        entries=0,
        controls=2,
        executors={},
        workers={"cut": WORKER_COUNT},
        worker_cores=WORKER_CORES,
        worker_memory=32 << 30,
    )
    site = LocalSite.from_config(config)
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            verdicts = await _run_bench(SiteDriver(site))
    finally:
        await site.close()
    return 0 if all(verdicts) else 1


if __name__ == "__main__":
    sys.exit(anyio.run(main))
