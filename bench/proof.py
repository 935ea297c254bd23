"""Prove what must always hold, in one run under failure.

``python -m bench.proof [SEED] [--short]`` runs a site of Telar's size as separate
processes under mixed load, causes each fault alone and then pairs of them by a
schedule drawn from the seed, and checks the histories of callers, executors, the
log and the daemons afterwards. It prints ``name=value`` lines and a bar for each
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
from azurelanding.standins.site import Site, SiteConfig
from bench import history_driver, proof_faults
from bench.history_driver import Call

RULES_PATH = "examples/telar.rules"
PREFIXES = ("preview", "cut", "swatch", "catalogue", "storefront")
SERVICES = ("pattern-preview", "cut-list", "swatch-match", "catalogue", "storefront")
REPEATABLE = ("pattern-preview", "swatch-match", "storefront")
KEYED = "catalogue"
SEED = 7
CALLERS = 20
FLOOD_CALLERS = 40
THINK_SECONDS = (0.0, 0.08)
ATTEMPTS = 4
CALL_TIMEOUT_SECONDS = 6.0
SAMPLE_SECONDS = 0.5
PAUSE_SECONDS = 0.7
PAIRS = 8
SETTLE_SECONDS = 7.0
GRACE_SECONDS = 1.0
FORCE_SECONDS = 6.0
PROOF_SECONDS = 240.0


def make_config(short):
    """Return the site: 6 entries and controls, or 2 of each for a short run."""
    size, count = (2, 1) if short else (6, 6)
    return SiteConfig(
        entries=size,
        controls=size,
        executors=dict.fromkeys(PREFIXES, count),
        workers={} if short else {f"{prefix}-w": count for prefix in PREFIXES},
        executor_processes=1 if short else 3,
        relayed=True,
        overrides={"log": {"level": "error"}},
    )


def make_schedule(short, rng):
    """Return the faults of the run, those of one step together."""
    alone = list(proof_faults.SHORT_FAULTS if short else proof_faults.FAULTS)
    rng.shuffle(alone)
    steps = [(fault,) for fault in alone]
    pairs = list(itertools.combinations(alone, 2))
    return steps + rng.sample(pairs, 2 if short else PAIRS)


def _make_call(rng, number, index, service):
    marker = f"{number}.{index}.{rng.getrandbits(32)}"
    headers = (("Azurelanding-Team", "central-valley"),)
    if service == KEYED:
        headers += (("Idempotency-Key", marker),)
    return Call(marker, service, CALL_TIMEOUT_SECONDS, headers, service in REPEATABLE)


async def _carry_out(proof_run, clients, call, rng, history):
    """Send ``call``; send a keyed one again through other entries until it ran."""
    addresses = rng.sample(sorted(clients), len(clients))
    for attempt in range(ATTEMPTS if call.service == KEYED else 1):
        address = addresses[attempt % len(addresses)]
        told = await history_driver.send_call(clients[address], call)
        history.append(told)
        if told.outcome is Outcome.RAN:
            return


async def _run_caller(proof_run, number, seed, history, flooder=False):
    rng = random.Random(f"{seed}.{number}")
    clients = {
        daemon.callers: HttpClient(daemon.callers, CALL_TIMEOUT_SECONDS)
        for daemon in proof_run.site.entries
    }
    for index in itertools.count():
        await anyio.sleep(rng.uniform(*THINK_SECONDS))
        if flooder and not proof_run.flooding:
            continue
        service = KEYED if flooder else rng.choice(SERVICES)
        call = _make_call(rng, number, index, service)
        await _carry_out(proof_run, clients, call, rng, history)


async def _sample(proof_run, daemon, samples):
    while True:
        requested_at = anyio.current_time()
        status = await proof_faults.ask(daemon, lambda client: client.status())
        hosts = await proof_faults.ask(daemon, lambda client: client.hosts())
        if status is not None and hosts is not None:
            sample = Sample(
                daemon.name,
                requested_at,
                anyio.current_time(),
                status.rules_version,
                {host.name: (host.pool, host.version) for host in hosts},
            )
            samples.append(sample)
        await anyio.sleep(SAMPLE_SECONDS)


async def _cause_faults(proof_run, schedule, rng):
    for step in schedule:
        print(f"# {' and '.join(fault.__name__ for fault in step)}", flush=True)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(proof_faults.publish_change, proof_run, rng)
            for fault in step:
                task_group.start_soon(fault, proof_run, rng)
        await anyio.sleep(PAUSE_SECONDS)


async def _run_load(proof_run, schedule, seed):
    """Return the callers' history and the daemons' samples."""
    history, samples = [], []
    async with anyio.create_task_group() as load:
        for number in range(CALLERS + FLOOD_CALLERS):
            flooder = number >= CALLERS
            load.start_soon(_run_caller, proof_run, number, seed, history, flooder)
        for daemon in proof_run.site.daemons.values():
            load.start_soon(_sample, proof_run, daemon, samples)
        await _cause_faults(proof_run, schedule, random.Random(seed))
        await anyio.sleep(SETTLE_SECONDS)
        load.cancel_scope.cancel()
    return history, sorted(samples, key=lambda sample: sample.at)


async def _read_log(site):
    """Return the offset and the record of each entry of the fleet's stream."""
    client = LogClient.from_config(LogServiceSettings(address=site.log_address))
    entries, start = [], 1
    while True:
        batch = await client.read(records.FLEET_STREAM, start)
        entries += [(e.offset, decode_record(e.data)) for e in batch.entries]
        if not batch.entries:
            await client.close()
            return entries
        start = batch.entries[-1].offset + 1


async def _read_runs(site):
    ledgers = await site.ledgers()
    return [
        Run(name, line["request_id"], line["started_at"], line["finished_at"])
        for name, ledger in ledgers.items()
        for line in ledger["lines"]
    ]


async def _check(proof_run, history, samples):
    """Return the violations found by each checker, by its name."""
    site = proof_run.site
    runs, entries = await _read_runs(site), await _read_log(site)
    lines = await site.ask(site.pools_address, "GET", "/history")
    reboots = [Reboot(line["host"], line["started_at"]) for line in lines]
    print(f"reboots={len(reboots)}\nrecords={len(entries)}\nruns={len(runs)}")
    found = histories.check_history(history, history_driver.read_ledger(site))
    found["two_pools"] = fleet_histories.find_conflicting_pools(samples)
    found["reverts"] = fleet_histories.find_version_regressions(samples)
    found["late_rules"] = fleet_histories.find_late_rules(
        proof_run.publishes, samples, proof_run.downtimes, FORCE_SECONDS
    )
    found["below_budget"] = fleet_histories.find_budget_breaches(entries)
    found["late_work"] = fleet_histories.find_work_after_drain(
        proof_run.drains, runs, GRACE_SECONDS
    )
    found["cut_off"] = fleet_histories.find_interrupted_requests(reboots, runs)
    found["both_won"] = [f"race {race}" for race in proof_run.races if sum(race) > 1]
    return found


def _report(proof_run, history, samples):
    outcomes = collections.Counter(
        (told.outcome.value if told.outcome else "no-reply") for told in history
    )
    for name, count in sorted(outcomes.items()):
        print(f"told_{name.replace('-', '_')}={count}")
    print(f"publishes={len(proof_run.publishes)}\nraces={len(proof_run.races)}")
    print(f"drains={len(proof_run.drains)}\nabsences={len(proof_run.downtimes)}")
    print(f"samples={len(samples)}")


async def run_proof(seed, short):
    """Run the proof; return the violations found by each checker."""
    text = await anyio.Path(RULES_PATH).read_text()
    rules = text.replace("halt-after=2", "halt-after=2 settle=1s")
    site = Site.from_config(make_config(short))
    proof_run = proof_faults.ProofRun(site, rules)
    schedule = make_schedule(short, random.Random(seed))
    try:
        with anyio.fail_after(PROOF_SECONDS):
            await site.start()
            await history_driver.publish_rules(site, rules, len(site.hosts))
            history, samples = await _run_load(proof_run, schedule, seed)
            found = await _check(proof_run, history, samples)
    finally:
        await site.close()
    _report(proof_run, history, samples)
    return found


def main():
    """Run the proof from the command line; return the exit code."""
    short = "--short" in sys.argv
    numbers = [int(argument) for argument in sys.argv[1:] if argument.isdecimal()]
    seed = numbers[0] if numbers else SEED
    print(f"seed={seed}\nshort={short}", flush=True)
    found = anyio.run(run_proof, seed, short)
    history_driver.print_violations(found)
    passed = [history_driver.print_bar(name, not kind) for name, kind in found.items()]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
