"""Choose the hosts to empty next, for maintenance or for another pool."""

import collections

from azurelanding.fleet_records import HostPlan
from azurelanding.fleet_workers import HostPhase

POOL_SHARE = 0.34
"""Part of a pool's hosts that may be away for maintenance at once, at least one."""


def hosts_due(wave, progress, hosts):
    """Return the hosts of a wave whose maintenance has still to begin."""
    return [
        hosts[name]
        for name in wave.hosts
        if name in hosts and name not in progress.begun
    ]


def hosts_away(wave, hosts):
    """Return how many hosts of a wave are in maintenance now."""
    return sum(
        hosts[name].phase is HostPhase.MAINTENANCE
        for name in wave.hosts
        if name in hosts
    )


def _pool_limits(hosts):
    sizes = collections.Counter(host.pool for host in hosts.values())
    return {pool: max(1, int(size * POOL_SHARE)) for pool, size in sizes.items()}


def _load(host, placed):
    return len(placed.get(host.worker, ()))


def plan_wave(wave, progress, hosts, plans, placed, standby, now):
    """Return the ``HostPlan``s to add for a wave, the least loaded hosts first.

    ``plans`` are those that stand, by host; ``placed`` maps workers to the runs on
    them, and ``standby`` names the pools whose hosts are off.
    """
    away = collections.Counter(
        host.pool for host in hosts.values() if host.phase is not HostPhase.UP
    )
    away.update(hosts[name].pool for name in plans if name in hosts)
    limits = _pool_limits(hosts)
    free = wave.at_once - hosts_away(wave, hosts)
    free -= sum(plan.wave == wave.number for plan in plans.values())
    due = [
        host
        for host in hosts_due(wave, progress, hosts)
        if host.phase is HostPhase.UP and host.name not in plans
    ]
    chosen = []
    for host in sorted(due, key=lambda host: (_load(host, placed), host.name)):
        if free <= 0:
            break
        if host.pool not in standby and away[host.pool] >= limits[host.pool]:
            continue
        away[host.pool] += 1
        free -= 1
        chosen.append(HostPlan(host.name, host.worker, now, wave=wave.number))
    return chosen
