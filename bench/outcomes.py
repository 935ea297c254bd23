"""Check the outcomes that callers receive against what executors ran, under faults.

``python -m bench.outcomes [REQUESTS] [SEED]`` runs entries and executors as
separate processes. It kills, freezes and resumes entries and kills executors. A
relay cuts, silences and repeats exchanges at random bytes, and executors answer
late, with the answer to another request, or with a truncated answer.
"""

import collections
import functools
import random
import sys

import anyio

from azurelanding import histories
from azurelanding.standins.site import LocalSite, SiteConfig
from bench import history_driver
from bench.history_driver import Call, Callers

RULES = """
pool previews hosts=preview-* spare=yes  # bench
pool cuts hosts=cut-*  # bench
service preview pool=previews deadline=1s idempotent=yes floor=100%  # bench
service cut pool=cuts deadline=1s idempotent=no floor=100%  # bench
"""
REQUESTS = 20_000
SEED = 11
CALLERS = 72
ENTRIES = 4
CALLER_TIMEOUT_SECONDS = 2.0
SHORT_TIMEOUT_FRACTION = 0.02
SHORT_TIMEOUT_RANGE_SECONDS = (0.002, 0.1)
SHORT_DEADLINE_FRACTION = 0.15
SHORT_DEADLINE_RANGE_SECONDS = (0.001, 0.06)
MAX_PADDING_BYTES = 2000
FAULT_INTERVAL_RANGE_SECONDS = (0.3, 1.2)
FREEZE_RANGE_SECONDS = (0.2, 1.8)
RESTART_DELAY_SECONDS = 0.3
BENCH_TIMEOUT_SECONDS = 88.0
EXECUTOR_PROCESSES = 3
EXECUTOR_KNOBS = {
    "slots": 3,
    "run_time": 0.004,
    "cross_share": 0.01,
    "cut_share": 0.01,
    "late_share": 0.005,
    "late_by": 1.3,
}
RELAY_KNOBS = {
    "request_cut_share": 0.015,
    "answer_cut_share": 0.015,
    "silent_share": 0.003,
    "repeat_share": 0.01,
    "max_byte": 900,
}
# Hop-by-hop and reserved headers: an entry does not forward them.
DROPPED_HEADERS = (
    ("Connection", "x-drop, keep-alive"),
    ("X-Drop", "1"),
    ("TE", "trailers"),
    ("Azurelanding-Request-Id", "of-the-caller"),
    ("Azurelanding-Outcome", "not-run"),
)


def make_calls(count, number, rng):
    """Yield ``count`` random calls of the caller ``number``."""
    for index in range(count):
        service = rng.choice(("preview", "cut"))
        has_short_timeout = rng.random() < SHORT_TIMEOUT_FRACTION
        timeout = (
            rng.uniform(*SHORT_TIMEOUT_RANGE_SECONDS)
            if has_short_timeout
            else CALLER_TIMEOUT_SECONDS
        )
        padding = "x" * rng.randrange(MAX_PADDING_BYTES)
        headers = DROPPED_HEADERS if rng.random() < 0.1 else ()
        if rng.random() < SHORT_DEADLINE_FRACTION:
            deadline_seconds = rng.uniform(*SHORT_DEADLINE_RANGE_SECONDS)
            headers += (("Azurelanding-Timeout", f"{deadline_seconds:.4f}"),)
        marker = f"{number}.{index}.{padding}"
        yield Call(marker, service, timeout, headers, service == "preview")


async def _kill_entry(site, rng):
    name = rng.choice(site.entries).name
    await site.kill(name)
    await anyio.sleep(RESTART_DELAY_SECONDS)
    await site.start_daemon(name)


async def _freeze_entry(site, rng):
    name = rng.choice(site.entries).name
    site.freeze(name)
    await anyio.sleep(rng.uniform(*FREEZE_RANGE_SECONDS))
    site.resume(name)


async def _kill_executors(site, rng):
    number = rng.randrange(EXECUTOR_PROCESSES)
    await site.kill_standin(f"executors-{number}")
    await anyio.sleep(RESTART_DELAY_SECONDS)
    await site.start_executors(number)
    hosts = site.hosts[number::EXECUTOR_PROCESSES]
    await history_driver.set_executor_knobs(site, hosts, **EXECUTOR_KNOBS)


async def _inject_faults(site, rng, counts):
    """Cause random faults until cancelled; count them in ``counts`` by name.

    The names of the fault functions are the names of the printed figures.
    """
    faults = (_kill_entry, _freeze_entry, _freeze_entry, _kill_executors)
    while True:
        await anyio.sleep(rng.uniform(*FAULT_INTERVAL_RANGE_SECONDS))
        fault = rng.choice(faults)
        counts[fault.__name__.lstrip("_")] += 1
        await fault(site, rng)


async def _run_load(site, requests, seed, fault_counts):
    addresses = [daemon.callers for daemon in site.entries]
    callers = Callers(addresses, CALLER_TIMEOUT_SECONDS)
    async with anyio.create_task_group() as faults:
        faults.start_soon(_inject_faults, site, random.Random(seed), fault_counts)
        async with anyio.create_task_group() as task_group:
            for number in range(CALLERS):
                rng = random.Random(f"{seed}.{number}")
                count = requests // CALLERS + (number < requests % CALLERS)
                calls = make_calls(count, number, rng)
                choose_entry = functools.partial(
                    lambda rng, call: rng.choice(addresses), rng
                )
                task_group.start_soon(callers.run, calls, choose_entry)
        faults.cancel_scope.cancel()
    return callers.history


def _report(site, history, ledger, fault_counts, relay_counts):
    outcomes = collections.Counter(
        result.outcome.value if result.outcome else "no-reply" for result in history
    )
    for name, count in sorted(outcomes.items()):
        print(f"told_{name.replace('-', '_')}={count}")
    print(f"ran_by_executors={len(ledger)}")
    for name, count in sorted(fault_counts.items()):
        print(f"{name}={count}")
    for name, count in sorted(relay_counts.items()):
        print(f"relay_{name.replace('-', '_')}={count}")
    violations = histories.check_history(history, ledger)
    history_driver.print_violations(violations)
    return [
        history_driver.print_criterion(f"no_{name}", not descriptions)
        for name, descriptions in violations.items()
    ]


async def run_bench(requests, seed):
    """Run the bench and return its exit code, 0 when all criteria are met."""
    print(f"seed={seed}\nrequests={requests}\nentries={ENTRIES}")
    config = SiteConfig(
        entries=ENTRIES,
        executors={"preview": 3, "cut": 3},
        executor_processes=EXECUTOR_PROCESSES,
        relayed=True,
        overrides={"log": {"level": "error"}},
    )
    site = LocalSite.from_config(config)
    fault_counts = collections.Counter()
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            await site.start()
            await history_driver.publish_rules(site, RULES, len(site.hosts))
            await history_driver.set_executor_knobs(site, site.hosts, **EXECUTOR_KNOBS)
            knobs = {**RELAY_KNOBS, "seed": seed}
            await site.ask(site.relay_address, "POST", "/knobs", knobs)
            started_at = anyio.current_time()
            history = await _run_load(site, requests, seed, fault_counts)
            print(f"load_seconds={anyio.current_time() - started_at:.1f}")
            relay_counts = await site.ask(site.relay_address, "GET", "/counts")
        passed = _report(
            site, history, history_driver.read_ledger(site), fault_counts, relay_counts
        )
    finally:
        await site.close()
    return 0 if all(passed) else 1


if __name__ == "__main__":
    arguments = [int(argument) for argument in sys.argv[1:3]]
    sys.exit(anyio.run(run_bench, *(arguments + [REQUESTS, SEED][len(arguments) :])))
