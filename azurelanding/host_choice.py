"""Choose the hosts of a wave to drain next for maintenance."""

import collections

from azurelanding.fleet_records import HostPlan
from azurelanding.fleet_workers import HostPhase

MAX_UNAVAILABLE_SHARE = 0.34
"""Share of a pool's hosts that may be unavailable for maintenance at the same time; at
least one host may."""


def hosts_not_begun(wave, progress, hosts):
    """Return the hosts of a wave whose maintenance has not begun."""
    return [
        hosts[name]
        for name in wave.hosts
        if name in hosts and name not in progress.begun
    ]


def count_in_maintenance(wave, hosts):
    """Return how many hosts of a wave are in maintenance."""
    return sum(
        hosts[name].phase is HostPhase.MAINTENANCE
        for name in wave.hosts
        if name in hosts
    )


def _unavailable_limits(hosts):
    sizes = collections.Counter(host.pool for host in hosts.values())
    return {
        pool: max(1, int(size * MAX_UNAVAILABLE_SHARE)) for pool, size in sizes.items()
    }


def _load(host, placed):
    return len(placed.get(host.worker, ()))


def plan_wave(wave, progress, hosts, plans, placed, standby, now):
    """Return the ``HostPlan``s to add for a wave, the least loaded hosts first.

    ``plans`` are the pending plans by host and ``placed`` maps workers to the runs on
    them. ``standby`` names the pools whose hosts are off, to which
    ``MAX_UNAVAILABLE_SHARE`` does not apply. ``now`` is in seconds since the epoch.
    """
    unavailable = collections.Counter(
        host.pool for host in hosts.values() if host.phase is not HostPhase.UP
    )
    unavailable.update(hosts[name].pool for name in plans if name in hosts)
    limits = _unavailable_limits(hosts)
    allowed = wave.at_once - count_in_maintenance(wave, hosts)
    allowed -= sum(plan.wave == wave.number for plan in plans.values())
    due = [
        host
        for host in hosts_not_begun(wave, progress, hosts)
        if host.phase is HostPhase.UP and host.name not in plans
    ]
    chosen = []
    for host in sorted(due, key=lambda host: (_load(host, placed), host.name)):
        if allowed <= 0:
            break
        if host.pool not in standby and unavailable[host.pool] >= limits[host.pool]:
            continue
        unavailable[host.pool] += 1
        allowed -= 1
        chosen.append(HostPlan(host.name, host.worker, now, wave=wave.number))
    return chosen
