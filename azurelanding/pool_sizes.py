"""Scale the pools to their demand, with the hosts of a standby pool as the reserve.

A pool that wants more hosts gets them immediately: first from standby, then idle hosts
of pools with a surplus. A pool that has had a surplus for a while returns idle hosts to
standby.
"""

import collections
import math

from azurelanding.fleet_records import HostPlan
from azurelanding.fleet_workers import HostPhase
from azurelanding.job_placement import Timeliness, timeliness

MIN_HOSTS_SHARE = 0.5
"""Minimum size of a pool in use, as a share of an even split of all hosts over all
pools. They serve the first second of a surge, until hosts from standby are up."""
USABLE_CORES_SHARE = 0.9
"""Share of a host's cores that pool sizes count on; tasks rarely fill a whole host."""
TIMELINESS_WORTH_HOSTS = (Timeliness.LONG_RUNNING, Timeliness.IN_TIME)
"""Timeliness of the jobs for which hosts are added. Jobs that are late anyway run in
free capacity."""
ARRIVAL_WINDOW_SECONDS = 1.0
"""Window over which arriving work is summed; about a fifth of a surge."""
HORIZON_SECONDS = 2.0
"""How far ahead arrivals are forecast: until a host that is ordered now is up."""
MIN_SURGE_JOBS = 3
"""Jobs that must arrive in the window before their work counts as a surge."""
MAX_LAG_SECONDS = 2.0
"""Age at which a pool's known state is too old for the pool to release a host. A stream
without new records is read about once a second."""
SURPLUS_DELAY_SECONDS = 2.5
"""Time that a surplus must last before the pool returns a host to standby."""


def _first_worth_hosts(state, number, now, due_count):
    """Return the first due occurrence for which hosts are added.

    Those that are due later can be in time too.
    """
    if state.job.occurrences == 1:
        is_worth = timeliness(state, 0, now) in TIMELINESS_WORTH_HOSTS
        return 0 if is_worth else due_count
    plan = state.progress.plan
    if plan.is_long_running:
        return 0
    ends_at = now + plan.tails[number]
    return min(due_count, state.job.first_due_from(ends_at - state.objective))


def _waiting_cores(state, now):
    """Return the cores that the tasks want that may start and can be in time."""
    due_count, cores = state.job.count_due(now), 0.0
    for number in state.progress.open_numbers():
        step = state.job.steps[number]
        if due_count and not step.fills:
            first = _first_worth_hosts(state, number, now, due_count)
            count = state.progress.count_open_waiting(number, first, due_count)
            cores += step.need.cores * count
    return cores


def wanted_cores(states, now):
    """Return the cores that jobs want now, and the most workers that one step needs.

    Jobs that can no longer meet their target want no cores beyond those in use.
    """
    cores, min_workers = 0.0, 0
    for state in states:
        if state.is_over:
            continue
        cores += state.running_cores() + _waiting_cores(state, now)
        for step in state.job.steps:
            if step.per_worker and step.long_running:
                min_workers = max(min_workers, math.ceil(step.count / step.per_worker))
    return cores, min_workers


def arriving_cores(states, lag, now):
    """Return the cores that will be busy if jobs keep arriving at the recent rate.

    By Little's law this is the work that arrives per second, so a surge shows well
    before its jobs have queued up. Of jobs that run longer than a host takes to come
    up, only the part within that time counts. ``states`` are ``lag`` seconds old.
    """
    recent = [
        state
        for state in states
        if not state.job.is_long_running
        and not state.job.first_due
        and now - state.job.submitted_at < ARRIVAL_WINDOW_SECONDS + lag
    ]
    if len(recent) < MIN_SURGE_JOBS:
        return 0.0
    return sum(map(_work_within_horizon, recent)) / ARRIVAL_WINDOW_SECONDS


def _work_within_horizon(state):
    work = sum(
        step.count * step.need.cores * step.estimate
        for step in state.job.steps
        if not step.fills
    )
    return work * HORIZON_SECONDS / max(state.progress.plan.chain, HORIZON_SECONDS)


def long_running_cores(states):
    """Return the cores that the tasks of long-running jobs use."""
    return sum(
        state.running_cores()
        for state in states
        if state.job.is_long_running and not state.is_over
    )


def hosts_wanted(states, lag, now, host_cores, floor):
    """Return how many hosts a pool wants for its jobs.

    ``states`` are ``lag`` seconds old, and ``floor`` is the least number of hosts.
    """
    cores, min_workers = wanted_cores(states, now)
    cores = max(cores, long_running_cores(states) + arriving_cores(states, lag, now))
    return max(floor, min_workers, math.ceil(cores / (host_cores * USABLE_CORES_SHARE)))


def min_hosts_per_pool(hosts, pools, standby):
    """Return the minimum number of hosts of each pool in use.

    It does not depend on how many hosts are on standby now, so that a new fleet
    controller finds the same number.
    """
    count = len(standby.union(pools))
    return max(1, math.ceil(MIN_HOSTS_SHARE * len(hosts) / max(1, count)))


def count_hosts(hosts, plans):
    """Return by pool how many hosts it has once moves in progress and planned ones end.

    The hosts are walked once for all pools.
    """
    counts = collections.Counter(
        host.pool
        for host in hosts.values()
        if host.phase in (HostPhase.UP, HostPhase.MOVING)
    )
    for plan in plans.values():
        if plan.pool:
            counts[plan.pool] += 1
            if plan.host in hosts:
                counts[hosts[plan.host].pool] -= 1
    return counts


class PoolScaler:
    """Plans moves of hosts between pools.

    ``surplus_since`` holds by pool, in ``boot_time``, since when it has a surplus.
    ``floor`` is the minimum number of hosts of each pool, set when the hosts are first
    listed.
    """

    def __init__(self):
        self.seen = {}
        self.surplus_since = {}
        self.floor = None

    def first_seen(self, key, now):
        """Return when ``key`` was first seen: the ``now`` of the first call for it."""
        return self.seen.setdefault(key, now)

    def gaps(self, states_of, lag_of, pools, hosts, plans, now):
        """Return by pool how many hosts it wants beyond those it has.

        A negative number is a surplus. ``states_of(pool)`` returns the ``JobState``s of
        a pool, and ``lag_of(pool)`` their age in seconds; a pool whose states are too
        old has no surplus. ``now`` is in seconds since the epoch.
        """
        cores = [
            host.resources.cores for host in hosts.values() if host.resources.cores
        ]
        if not cores or self.floor is None:
            return {}
        host_cores = sorted(cores)[len(cores) // 2]
        gaps, counts = {}, count_hosts(hosts, plans)
        for pool in pools:
            lag = lag_of(pool)
            wanted = hosts_wanted(states_of(pool), lag, now, host_cores, self.floor)
            gap = wanted - counts[pool]
            gaps[pool] = gap if lag < MAX_LAG_SECONDS else max(0, gap)
        return gaps

    def record_gaps(self, gaps, now):
        """Record which pools have a surplus at ``boot_time`` ``now``."""
        for pool, gap in gaps.items():
            if gap >= 0:
                self.surplus_since.pop(pool, None)
            else:
                self.surplus_since.setdefault(pool, now)

    def is_due(self, gaps, now):
        """Return whether a move is due."""
        if any(gap > 0 for gap in gaps.values()):
            return True
        return any(self._may_release(pool, now) for pool in self.surplus_since)

    def _may_release(self, pool, now):
        since = self.surplus_since.get(pool)
        return since is not None and now >= since + SURPLUS_DELAY_SECONDS

    def plan_moves(self, gaps, hosts, plans, placed, standby, now, wall_time):
        """Return the ``HostPlan``s of the moves that are due.

        ``now`` is in ``boot_time`` and ``wall_time`` in seconds since the epoch.
        """
        reserve = [
            h for h in hosts.values() if h.pool in standby and _is_movable(h, plans)
        ]
        idle = collections.defaultdict(list)
        for host in hosts.values():
            surplus = max(0, -gaps.get(host.pool, 0))
            if len(idle[host.pool]) < surplus and _is_idle(host, plans, placed):
                idle[host.pool].append(host)
        spare = [(pool, host) for pool in gaps for host in idle[pool]]
        moves = []
        for pool in sorted(gaps, key=gaps.get, reverse=True):
            for _ in range(max(0, gaps[pool])):
                if reserve:
                    host = reserve.pop()
                elif spare:
                    _, host = spare.pop()
                else:
                    break
                moves.append(HostPlan(host.name, host.worker, wall_time, pool=pool))
        for pool, host in spare:
            if standby and self._may_release(pool, now):
                target = min(standby)
                moves.append(HostPlan(host.name, host.worker, wall_time, pool=target))
        return moves


def _is_movable(host, plans):
    return host.phase is HostPhase.UP and host.name not in plans


def _is_idle(host, plans, placed):
    return _is_movable(host, plans) and not placed.get(host.worker)
