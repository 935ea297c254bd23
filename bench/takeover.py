"""Measure how soon pools have a controller again, and what a stale one can do.

Control daemons are killed, frozen for longer than the lease while hosts join, and
stopped. Then the whole log is read: no host may have been changed by an author
whose lease another had taken. ``python -m bench.takeover [SEED]``
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
from azurelanding.standins.site import Site, SiteConfig

SEED = 1
CONTROLS = 3
POOLS = 12
KILLS = 2
FREEZES = 2
FREEZE_SECONDS = LEASE_SECONDS + 4.0
TAKEOVER_SECONDS = 20.0
BENCH_TIMEOUT_SECONDS = 88.0
BAR_SECONDS = 9.0
STOP_BAR_SECONDS = 2.0
UNREACHABLE = "127.0.0.1:9"


async def read_status(site, name):
    """Return the ``StatusReport`` of the daemon ``name``."""
    client = OperatorsClient.from_config(site.daemons[name].operators)
    try:
        return await client.status()
    finally:
        await client.close()


def holders(report):
    """Return the pools that each control holds, by its name."""
    held = collections.defaultdict(list)
    for pool, lease in report.leases.items():
        held[lease.holder.partition(".")[0]].append(pool)
    return held


async def watch_takeover(site, observer, lost):
    """Return the seconds until every pool has a holder other than ``lost``."""
    started = anyio.current_time()
    await site.wait_for_status(
        site.daemons[observer],
        lambda report: len(report.leases) == POOLS and lost not in holders(report),
        TAKEOVER_SECONDS,
    )
    return anyio.current_time() - started


async def pick_holder(site, pick):
    """Return the name of a control that holds pools, and of another control."""
    names = [name for name in site.daemons if name.startswith("control")]
    report = await read_status(site, pick.choice(names))
    lost = max(sorted(holders(report)), key=lambda name: len(holders(report)[name]))
    return lost, next(name for name in names if name != lost)


async def kill_holder(site, pick):
    """Return the seconds until the pools of a killed control have another."""
    lost, observer = await pick_holder(site, pick)
    await site.kill(lost)
    seconds = await watch_takeover(site, observer, lost)
    await site.start_daemon(lost)
    await site.wait_for_status(site.daemons[lost], lambda report: report.in_force)
    return seconds


def joining_hosts(number):
    """Return a ``Host`` for each pool that joins while a control is frozen."""
    return [
        Host(f"p{pool}-late{number}", HostKind.EXECUTOR, UNREACHABLE, "a", "r")
        for pool in range(POOLS)
    ]


async def freeze_holder(site, pick, number):
    """Return the seconds until the pools of a frozen control have another.

    Hosts join while it is frozen, so that it finds work to do when it wakes.
    """
    lost, observer = await pick_holder(site, pick)
    site.freeze(lost)
    frozen_at = anyio.current_time()
    seconds = await watch_takeover(site, observer, lost)
    site.hosts += joining_hosts(number)
    await site.put_hosts(site.hosts)
    await anyio.sleep(max(0.0, frozen_at + FREEZE_SECONDS - anyio.current_time()))
    site.resume(lost)
    joined = len(site.hosts)
    await site.wait_for_status(
        site.daemons[lost],
        lambda report: sum(sum(p.values()) for p in report.hosts.values()) == joined,
    )
    return seconds


async def stop_holder(site, pick):
    """Return the seconds until the pools of a stopped control have another."""
    lost, observer = await pick_holder(site, pick)
    started = anyio.current_time()
    await site.stop(lost)
    await watch_takeover(site, observer, lost)
    return anyio.current_time() - started


async def read_history(site):
    """Return the offset and the record of everything in the fleet's stream."""
    client = LogClient.from_config(LogServiceSettings(site.log_address))
    history, start = [], 1
    while True:
        batch = await client.read(records.FLEET_STREAM, start)
        history += [(e.offset, decode_record(e.data)) for e in batch.entries]
        start += len(batch.entries)
        if start >= batch.end:
            await client.close()
            return history


def count_stale(history):
    """Return how many host changes of stale holders were accepted and refused.

    An author is stale from the offset at which another took its pool.
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


def count_overlaps(history):
    """Return how often a pool was taken from a holder that had renewed since."""
    state, overlaps = fleet.FleetState(), 0
    for offset, record in history:
        before = dict(state.leases)
        fleet.fold(state, offset, record)
        for pool, lease in state.leases.items():
            old = before.get(pool)
            if old and old.holder != lease.holder:
                overlaps += record.body.bases[pool] != old.renewed_at
    return overlaps


def check(name, value, passed):
    """Print one figure with its verdict and return the verdict."""
    text = f"{value:.3f}" if isinstance(value, float) else value
    print(f"{name}={text} {'pass' if passed else 'FAIL'}", flush=True)
    return passed


async def measure(site, pick):
    """Run all parts; return whether every bar is met."""
    lines = [f"pool p{n} hosts=p{n}-*  # Marisol" for n in range(POOLS)]
    client = OperatorsClient.from_config(site.operators_address)
    await client.change(records.RulesPublished("\n".join(lines), 0), "Marisol")
    await client.close()
    await site.wait_for_status(
        site.daemons["control-1"], lambda report: len(report.leases) == POOLS
    )
    killed = [await kill_holder(site, pick) for _ in range(KILLS)]
    frozen = [await freeze_holder(site, pick, number) for number in range(FREEZES)]
    stopped = await stop_holder(site, pick)
    history = await read_history(site)
    accepted, refused = count_stale(history)
    overlaps = count_overlaps(history)
    print(f"takeover_kill_median_seconds={statistics.median(killed):.3f}")
    print(f"takeover_freeze_median_seconds={statistics.median(frozen):.3f}")
    print(f"records={len(history)} stale_moves_refused={refused}")
    worst = max(killed + frozen)
    return all(
        [
            check("takeover_max_seconds", worst, worst <= BAR_SECONDS),
            check("takeover_stop_seconds", stopped, stopped <= STOP_BAR_SECONDS),
            check("stale_moves_accepted", accepted, accepted == 0),
            check("leases_taken_while_renewed", overlaps, overlaps == 0),
        ]
    )


async def run_bench(seed):
    """Run the bench and return its exit code."""
    executors = {f"p{number}": 1 for number in range(POOLS)}
    config = SiteConfig(entries=1, controls=CONTROLS, executors=executors)
    site = Site.from_config(config)
    print(f"seed={seed} controls={CONTROLS} pools={POOLS} lease={LEASE_SECONDS}")
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            await site.start()
            passed = await measure(site, random.Random(seed))
    finally:
        await site.close()
    print(f"all_bars={'pass' if passed else 'FAIL'}")
    return 0 if passed else 1


if __name__ == "__main__":
    SEED_GIVEN = int(sys.argv[1]) if len(sys.argv) > 1 else SEED
    sys.exit(anyio.run(run_bench, SEED_GIVEN))
