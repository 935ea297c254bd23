"""Check the system's invariants in one run under load and injected faults.

``python -m bench.proof [SEED] [--short]`` runs a site of Telar's size as separate
processes under mixed load. It injects each fault alone and then pairs of faults,
by a schedule drawn from the seed, and then checks the histories of the callers,
executors, log and daemons. It prints ``name=value`` lines and pass or fail for each
checker, and exits with 0 only when each passes.
"""

import collections
import itertools
import random
import sys

import anyio

from azurelanding import fleet_histories, histories, records
from azurelanding.fleet_histories import Reboot, Run, Sample
from azurelanding.http_client import HttpClient
from azurelanding.log_service.client import LogClient
from azurelanding.log_service.wire import decode_record
from azurelanding.requests import Outcome
from azurelanding.settings import LogServiceSettings
from azurelanding.standins.site import LocalSite, SiteConfig
from bench import history_driver, proof_faults
from bench.history_driver import Call

RULES_PATH = "examples/telar.rules"
POOL_PREFIXES = ("preview", "cut", "swatch", "catalogue", "storefront")
SERVICES = ("pattern-preview", "cut-list", "swatch-match", "catalogue", "storefront")
REPEATABLE_SERVICES = ("pattern-preview", "swatch-match", "storefront")
KEYED_SERVICE = "catalogue"
DEFAULT_SEED = 7
CALLERS = 20
FLOOD_CALLERS = 40
THINK_TIME_RANGE_SECONDS = (0.0, 0.08)
MAX_ATTEMPTS = 4
CALL_TIMEOUT_SECONDS = 6.0
SAMPLE_INTERVAL_SECONDS = 0.5
PAUSE_BETWEEN_STEPS_SECONDS = 0.7
FAULT_PAIRS = 8
SETTLE_SECONDS = 7.0
DRAIN_GRACE_SECONDS = 1.0
RULES_DEADLINE_SECONDS = 6.0
PROOF_TIMEOUT_SECONDS = 240.0


def make_config(short):
    """Return the config of a site: 6 entries and 6 controls, or 2 each if ``short``."""
    daemons_per_role, hosts_per_pool = (2, 1) if short else (6, 6)
    return SiteConfig(
        entries=daemons_per_role,
        controls=daemons_per_role,
        executors=dict.fromkeys(POOL_PREFIXES, hosts_per_pool),
        workers={}
        if short
        else {f"{prefix}-w": hosts_per_pool for prefix in POOL_PREFIXES},
        executor_processes=1 if short else 3,
        relayed=True,
        overrides={"log": {"level": "error"}},
    )


def make_schedule(short, rng):
    """Return the steps of the run, each a tuple of faults to inject together.

    Every fault is a step alone, in random order; then come random pairs.
    """
    single_faults = list(proof_faults.SHORT_FAULTS if short else proof_faults.FAULTS)
    rng.shuffle(single_faults)
    steps = [(fault,) for fault in single_faults]
    pairs = list(itertools.combinations(single_faults, 2))
    return steps + rng.sample(pairs, 2 if short else FAULT_PAIRS)


def _make_call(rng, caller, index, service):
    marker = f"{caller}.{index}.{rng.getrandbits(32)}"
    headers = (("Azurelanding-Team", "central-valley"),)
    if service == KEYED_SERVICE:
        headers += (("Idempotency-Key", marker),)
    return Call(
        marker, service, CALL_TIMEOUT_SECONDS, headers, service in REPEATABLE_SERVICES
    )


async def _send_with_retries(proof_run, clients, call, rng, history):
    """Send ``call``; retry a keyed one through other entries until it ran."""
    addresses = rng.sample(sorted(clients), len(clients))
    for attempt in range(MAX_ATTEMPTS if call.service == KEYED_SERVICE else 1):
        address = addresses[attempt % len(addresses)]
        result = await history_driver.send_call(clients[address], call)
        history.append(result)
        if result.outcome is Outcome.RAN:
            return


async def _run_caller(proof_run, caller, seed, history, is_flood_caller=False):
    rng = random.Random(f"{seed}.{caller}")
    clients = {
        daemon.callers: HttpClient(daemon.callers, CALL_TIMEOUT_SECONDS)
        for daemon in proof_run.site.entries
    }
    try:
        for index in itertools.count():
            await anyio.sleep(rng.uniform(*THINK_TIME_RANGE_SECONDS))
            if is_flood_caller and not proof_run.flooding:
                continue
            service = KEYED_SERVICE if is_flood_caller else rng.choice(SERVICES)
            call = _make_call(rng, caller, index, service)
            await _send_with_retries(proof_run, clients, call, rng, history)
    finally:
        for client in clients.values():
            await client.close()


async def _sample_status(proof_run, daemon, samples):
    while True:
        requested_at = anyio.current_time()
        status = await proof_faults.query_daemon(daemon, lambda client: client.status())
        hosts = await proof_faults.query_daemon(daemon, lambda client: client.hosts())
        if status is not None and hosts is not None:
            sample = Sample(
                daemon.name,
                requested_at,
                anyio.current_time(),
                status.rules_version,
                {host.name: (host.pool, host.version) for host in hosts},
            )
            samples.append(sample)
        await anyio.sleep(SAMPLE_INTERVAL_SECONDS)


async def _inject_faults(proof_run, schedule, rng):
    for step in schedule:
        print(f"# {' and '.join(fault.__name__ for fault in step)}", flush=True)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(proof_faults.publish_change, proof_run, rng)
            for fault in step:
                task_group.start_soon(fault, proof_run, rng)
        await anyio.sleep(PAUSE_BETWEEN_STEPS_SECONDS)


async def _run_load(proof_run, schedule, seed):
    """Inject the faults under load.

    Returns the callers' history, and the daemons' samples in order of time.
    """
    history, samples = [], []
    async with anyio.create_task_group() as load_tasks:
        for caller in range(CALLERS + FLOOD_CALLERS):
            is_flood_caller = caller >= CALLERS
            load_tasks.start_soon(
                _run_caller, proof_run, caller, seed, history, is_flood_caller
            )
        for daemon in proof_run.site.daemons.values():
            load_tasks.start_soon(_sample_status, proof_run, daemon, samples)
        await _inject_faults(proof_run, schedule, random.Random(seed))
        await anyio.sleep(SETTLE_SECONDS)
        load_tasks.cancel_scope.cancel()
    return history, sorted(samples, key=lambda sample: sample.at)


async def _read_log(site):
    """Return pairs of offset and record, one for each entry of the fleet's stream."""
    client = LogClient.from_config(LogServiceSettings(address=site.log_address))
    log_entries, start = [], 1
    while True:
        batch = await client.read(records.FLEET_STREAM, start)
        log_entries += [(e.offset, decode_record(e.data)) for e in batch.entries]
        if not batch.entries:
            await client.close()
            return log_entries
        start = batch.entries[-1].offset + 1


async def _read_runs(site):
    ledgers = await site.ledgers()
    return [
        Run(name, line["request_id"], line["started_at"], line["finished_at"])
        for name, ledger in ledgers.items()
        for line in ledger["lines"]
    ]


async def _check_histories(proof_run, history, samples):
    """Return the violations that each checker found, by its name."""
    site = proof_run.site
    runs, log_entries = await _read_runs(site), await _read_log(site)
    lines = await site.ask(site.pools_address, "GET", "/history")
    reboots = [Reboot(line["host"], line["started_at"]) for line in lines]
    print(f"reboots={len(reboots)}\nrecords={len(log_entries)}\nruns={len(runs)}")
    violations = histories.check_history(history, history_driver.read_ledger(site))
    violations["two_pools"] = fleet_histories.find_conflicting_pools(samples)
    violations["reverts"] = fleet_histories.find_version_regressions(samples)
    violations["late_rules"] = fleet_histories.find_late_rules(
        proof_run.publishes, samples, proof_run.downtimes, RULES_DEADLINE_SECONDS
    )
    violations["below_budget"] = fleet_histories.find_budget_breaches(log_entries)
    violations["late_work"] = fleet_histories.find_work_after_drain(
        proof_run.drains, runs, DRAIN_GRACE_SECONDS
    )
    violations["cut_off"] = fleet_histories.find_interrupted_requests(reboots, runs)
    violations["both_won"] = [
        f"race {race}" for race in proof_run.races if sum(race) > 1
    ]
    return violations


def _report(proof_run, history, samples):
    outcomes = collections.Counter(
        (result.outcome.value if result.outcome else "no-reply") for result in history
    )
    for name, count in sorted(outcomes.items()):
        print(f"told_{name.replace('-', '_')}={count}")
    print(f"publishes={len(proof_run.publishes)}\nraces={len(proof_run.races)}")
    print(f"drains={len(proof_run.drains)}\nabsences={len(proof_run.downtimes)}")
    print(f"samples={len(samples)}")


async def run_proof(seed, short):
    """Run the proof; return the violations that each checker found, by its name."""
    text = await anyio.Path(RULES_PATH).read_text()
    rules = text.replace("halt-after=2", "halt-after=2 settle=1s")
    site = LocalSite.from_config(make_config(short))
    proof_run = proof_faults.ProofRun(site, rules)
    schedule = make_schedule(short, random.Random(seed))
    try:
        with anyio.fail_after(PROOF_TIMEOUT_SECONDS):
            await site.start()
            await history_driver.publish_rules(site, rules, len(site.hosts))
            history, samples = await _run_load(proof_run, schedule, seed)
            violations = await _check_histories(proof_run, history, samples)
    finally:
        await site.close()
    _report(proof_run, history, samples)
    return violations


def main():
    """Run the proof from the command line; return the exit code."""
    short = "--short" in sys.argv
    seeds = [int(argument) for argument in sys.argv[1:] if argument.isdecimal()]
    seed = seeds[0] if seeds else DEFAULT_SEED
    print(f"seed={seed}\nshort={short}", flush=True)
    violations = anyio.run(run_proof, seed, short)
    history_driver.print_violations(violations)
    passed = [
        history_driver.print_criterion(name, not found)
        for name, found in violations.items()
    ]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
