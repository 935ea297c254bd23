"""Measure takeovers of pools and check that stale controllers assign no host.

Control daemons are killed, frozen for longer than the lease while hosts join, and
stopped. Then the fleet's whole stream is read: no host may have been assigned by an
author whose lease another daemon had taken. ``python -m bench.takeover [SEED]``
"""

import collections
import random
import statistics
import sys

import anyio

from azurelanding import fleet, records
from azurelanding.hosts import Host, HostKind
from azurelanding.lease_keeper import LEASE_SECONDS
from azurelanding.log_service.client import LogClient
from azurelanding.log_service.wire import decode_record
from azurelanding.operators.client import OperatorsClient
from azurelanding.settings import LogServiceSettings
from azurelanding.standins.site import LocalSite, SiteConfig

SEED = 1
CONTROLS = 3
POOLS = 12
KILLS = 2
FREEZES = 2
FREEZE_SECONDS = LEASE_SECONDS + 4.0
TAKEOVER_TIMEOUT_SECONDS = 20.0
BENCH_TIMEOUT_SECONDS = 88.0
MAX_TAKEOVER_SECONDS = 9.0
MAX_STOP_TAKEOVER_SECONDS = 2.0
UNREACHABLE_ADDRESS = "127.0.0.1:9"


async def read_status(site, name):
    """Return the ``StatusReport`` of the daemon ``name``."""
    client = OperatorsClient.from_config(site.daemons[name].operators)
    try:
        return await client.status()
    finally:
        await client.close()


def group_pools_by_holder(report):
    """Return the pools that each control daemon holds, by its name."""
    pools_by_holder = collections.defaultdict(list)
    for pool, lease in report.leases.items():
        pools_by_holder[lease.holder.partition(".")[0]].append(pool)
    return pools_by_holder


async def wait_for_takeover(site, observer, old_holder):
    """Return the seconds until every pool has a holder other than ``old_holder``."""
    started_at = anyio.current_time()
    await site.wait_for_status(
        site.daemons[observer],
        lambda report: (
            len(report.leases) == POOLS
            and old_holder not in group_pools_by_holder(report)
        ),
        TAKEOVER_TIMEOUT_SECONDS,
    )
    return anyio.current_time() - started_at


async def choose_holder(site, rng):
    """Return the names of the control daemon with the most pools and of another."""
    controls = [name for name in site.daemons if name.startswith("control")]
    report = await read_status(site, rng.choice(controls))
    old_holder = max(
        sorted(group_pools_by_holder(report)),
        key=lambda name: len(group_pools_by_holder(report)[name]),
    )
    return old_holder, next(name for name in controls if name != old_holder)


async def measure_kill(site, rng):
    """Return the seconds until others hold the pools of a killed control daemon."""
    old_holder, observer = await choose_holder(site, rng)
    await site.kill(old_holder)
    seconds = await wait_for_takeover(site, observer, old_holder)
    await site.start_daemon(old_holder)
    await site.wait_for_status(site.daemons[old_holder], lambda report: report.in_force)
    return seconds


def make_joining_hosts(number):
    """Return a new ``Host`` for each pool."""
    return [
        Host(f"p{pool}-late{number}", HostKind.EXECUTOR, UNREACHABLE_ADDRESS, "a", "r")
        for pool in range(POOLS)
    ]


async def measure_freeze(site, rng, number):
    """Return the seconds until others hold the pools of a frozen control daemon.

    Hosts join while it is frozen, so that it has hosts to assign when it resumes.
    """
    old_holder, observer = await choose_holder(site, rng)
    site.freeze(old_holder)
    frozen_at = anyio.current_time()
    seconds = await wait_for_takeover(site, observer, old_holder)
    site.hosts += make_joining_hosts(number)
    await site.put_hosts(site.hosts)
    await anyio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - anyio.current_time()))
    site.resume(old_holder)
    host_count = len(site.hosts)
    await site.wait_for_status(
        site.daemons[old_holder],
        lambda report: (
            sum(sum(counts.values()) for counts in report.hosts.values()) == host_count
        ),
    )
    return seconds


async def measure_stop(site, rng):
    """Return the seconds until others hold the pools of a stopped control daemon."""
    old_holder, observer = await choose_holder(site, rng)
    started_at = anyio.current_time()
    await site.stop(old_holder)
    await wait_for_takeover(site, observer, old_holder)
    return anyio.current_time() - started_at


async def read_fleet_records(site):
    """Return the offset and the record of each entry of the fleet's stream."""
    client = LogClient.from_config(LogServiceSettings(site.log_address))
    history, start = [], 1
    while True:
        batch = await client.read(records.FLEET_STREAM, start)
        history += [
            (entry.offset, decode_record(entry.data)) for entry in batch.entries
        ]
        start += len(batch.entries)
        if start >= batch.end:
            await client.close()
            return history


def count_stale_assignments(history):
    """Return how many host assignments by stale holders were accepted and refused.

    A holder is stale from the offset at which another daemon took its lease.
    """
    state, accepted, refused = fleet.FleetState(), 0, 0
    for offset, record in history:
        body = record.body
        holder = None
        if isinstance(body, records.HostAssigned) and body.epoch:
            lease = state.leases.get(body.pool)
            holder = lease.holder if lease else ""
        verdict = fleet.fold(state, offset, record)
        if holder is not None and holder != record.author:
            accepted += verdict.accepted
            refused += not verdict.accepted
    return accepted, refused


def count_early_takeovers(history):
    """Return how often a lease was taken in spite of a newer renewal.

    The taker then based its record on an older renewal than the last in the stream.
    """
    state, early_takeovers = fleet.FleetState(), 0
    for offset, record in history:
        old_leases = dict(state.leases)
        fleet.fold(state, offset, record)
        for pool, lease in state.leases.items():
            old_lease = old_leases.get(pool)
            if old_lease and old_lease.holder != lease.holder:
                early_takeovers += record.body.bases[pool] != old_lease.renewed_at
    return early_takeovers


def print_criterion(name, value, passed):
    """Print a figure and whether it meets its criterion; return ``passed``."""
    text = f"{value:.3f}" if isinstance(value, float) else value
    print(f"{name}={text} {'pass' if passed else 'FAIL'}", flush=True)
    return passed


async def run_measurements(site, rng):
    """Run all measurements; return whether every criterion is met."""
    lines = [f"pool p{n} hosts=p{n}-*  # Marisol" for n in range(POOLS)]
    client = OperatorsClient.from_config(site.operators_address)
    await client.change(records.RulesPublished("\n".join(lines), 0), "Marisol")
    await client.close()
    await site.wait_for_status(
        site.daemons["control-1"], lambda report: len(report.leases) == POOLS
    )
    killed = [await measure_kill(site, rng) for _ in range(KILLS)]
    frozen = [await measure_freeze(site, rng, number) for number in range(FREEZES)]
    stopped = await measure_stop(site, rng)
    history = await read_fleet_records(site)
    accepted, refused = count_stale_assignments(history)
    early_takeovers = count_early_takeovers(history)
    print(f"takeover_kill_median_seconds={statistics.median(killed):.3f}")
    print(f"takeover_freeze_median_seconds={statistics.median(frozen):.3f}")
    print(f"records={len(history)} stale_moves_refused={refused}")
    worst = max(killed + frozen)
    return all(
        [
            print_criterion(
                "takeover_max_seconds", worst, worst <= MAX_TAKEOVER_SECONDS
            ),
            print_criterion(
                "takeover_stop_seconds", stopped, stopped <= MAX_STOP_TAKEOVER_SECONDS
            ),
            print_criterion("stale_moves_accepted", accepted, accepted == 0),
            print_criterion(
                "leases_taken_while_renewed", early_takeovers, early_takeovers == 0
            ),
        ]
    )


async def run_bench(seed):
    """Run the bench and return its exit code, 0 when all criteria are met."""
    executors = {f"p{number}": 1 for number in range(POOLS)}
    config = SiteConfig(entries=1, controls=CONTROLS, executors=executors)
    site = LocalSite.from_config(config)
    print(f"seed={seed} controls={CONTROLS} pools={POOLS} lease={LEASE_SECONDS}")
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            await site.start()
            passed = await run_measurements(site, random.Random(seed))
    finally:
        await site.close()
    print(f"all_bars={'pass' if passed else 'FAIL'}")
    return 0 if passed else 1


if __name__ == "__main__":
    SEED_GIVEN = int(sys.argv[1]) if len(sys.argv) > 1 else SEED
    sys.exit(anyio.run(run_bench, SEED_GIVEN))
