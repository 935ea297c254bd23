"""Match the pools to their demand, with the hosts of a standby pool as the reserve.

A pool that wants more hosts gets them at once, first from standby, then idle ones of
pools that have more than they want. A pool that has had more than it wants for a while
gives idle hosts back.
"""

import math

from azurelanding.fleet_records import HostPlan
from azurelanding.fleet_workers import HostPhase
from azurelanding.job_placement import Timeliness, ready_steps, timeliness
from azurelanding.jobs import longest_chain

FLOOR_SHARE = 0.5
"""Part of the hosts of an even share that a pool in use keeps: they carry the first
second of a surge, until hosts from standby have come."""
FULL_SHARE = 0.9
"""Part of a host's cores that is counted on; tasks rarely fill a host whole."""
WORTH_HOSTS = (Timeliness.LONG_RUNNING, Timeliness.IN_TIME)
"""What hosts are brought for; jobs that are late anyway run in the room there is."""
ARRIVAL_SECONDS = 1.0
"""Time over which arriving work is counted; about a fifth of a surge."""
HORIZON_SECONDS = 2.0
"""How far ahead arrivals are reckoned: until a host that is ordered now has come."""
ARRIVALS_COUNT = 3
"""Jobs that must arrive in that time before their work counts as a surge."""
LONGEST_LAG_SECONDS = 2.0
"""Age of what is known of a pool from which on it gives no host away; a stream without
news is read about once a second."""
SURPLUS_SECONDS = 2.5
"""How long a pool has more than it wants before it gives a host back."""


def _never_rests(_task_id):
    return False


def demand(states, now):
    """Return the cores that jobs want now, and the most workers a step asks for.

    Jobs that can no longer be in time want none beyond those that they use.
    """
    cores, spread = 0.0, 0
    for state in states:
        if state.is_over:
            continue
        for task_id, task in state.tasks.items():
            step = state.job.steps[task_id.step]
            if task.active and not step.fills:
                cores += step.need.cores
        for ready in ready_steps(state, now, _never_rests):
            if not ready.step.fills and timeliness(ready, now) in WORTH_HOSTS:
                cores += ready.step.need.cores * len(ready.tasks)
        for step in state.job.steps:
            if step.per_worker and step.long_running:
                spread = max(spread, math.ceil(step.count / step.per_worker))
    return cores, spread


def arriving_cores(states, lag, now):
    """Return the cores that are busy soon if jobs go on arriving as of late.

    By Little's law that is the work that arrives in a second: a surge shows in it well
    before its jobs have piled up. Of jobs that take longer than a host takes to come,
    only those count that will be there by then. What is known is ``lag`` seconds old.
    """
    fresh = [
        state.job
        for state in states
        if not state.job.is_long_running
        and not state.job.first_due
        and now - state.job.submitted_at < ARRIVAL_SECONDS + lag
    ]
    if len(fresh) < ARRIVALS_COUNT:
        return 0.0
    return sum(map(_work_soon, fresh)) / ARRIVAL_SECONDS


def _work_soon(job):
    work = sum(
        step.count * step.need.cores * step.estimate
        for step in job.steps
        if not step.fills
    )
    return work * HORIZON_SECONDS / max(longest_chain(job), HORIZON_SECONDS)


def lasting_cores(states):
    """Return the cores that long-running tasks use."""
    return sum(
        state.job.steps[task_id.step].need.cores
        for state in states
        if state.job.is_long_running and not state.is_over
        for task_id, task in state.tasks.items()
        if task.active and not state.job.steps[task_id.step].fills
    )


def hosts_wanted(states, lag, now, host_cores, floor):
    """Return how many hosts a pool wants for its jobs, known ``lag`` seconds late."""
    cores, spread = demand(states, now)
    cores = max(cores, lasting_cores(states) + arriving_cores(states, lag, now))
    return max(floor, spread, math.ceil(cores / (host_cores * FULL_SHARE)))


def min_hosts_per_pool(hosts, pools, standby):
    """Return the hosts that each pool in use keeps."""
    running = sum(host.pool not in standby for host in hosts.values())
    return max(1, math.ceil(FLOOR_SHARE * running / max(1, len(pools))))


def count_hosts(hosts, plans, pool):
    """Return how many hosts a pool has, moves under way and planned counted."""
    present = sum(
        host.pool == pool and host.phase in (HostPhase.UP, HostPhase.MOVING)
        for host in hosts.values()
    )
    coming = sum(plan.pool == pool for plan in plans.values())
    leaving = sum(
        bool(plan.pool) and plan.host in hosts and hosts[plan.host].pool == pool
        for plan in plans.values()
    )
    return present + coming - leaving


class PoolScaler:
    """What is remembered of the pools' demand.

    ``surplus_since`` tells since when a pool has more hosts than it wants, and
    ``floor`` is the number kept in each, set when the hosts are first seen.
    """

    def __init__(self):
        self.seen = {}
        self.surplus_since = {}
        self.floor = None

    def first_seen(self, what, now):
        """Return when ``what`` was first asked for."""
        return self.seen.setdefault(what, now)

    def gaps(self, states_of, lag_of, pools, hosts, plans, now):
        """Return by pool how many hosts it wants beyond those it has.

        ``states_of(pool)`` returns the ``JobState``s of a pool, and ``lag_of(pool)``
        how many seconds old they are; a pool of which too little is known has no
        surplus. ``now`` is in seconds since the epoch.
        """
        cores = [host.room.cores for host in hosts.values() if host.room.cores]
        if not cores or self.floor is None:
            return {}
        host_cores = sorted(cores)[len(cores) // 2]
        gaps = {}
        for pool in pools:
            lag = lag_of(pool)
            wanted = hosts_wanted(states_of(pool), lag, now, host_cores, self.floor)
            gap = wanted - count_hosts(hosts, plans, pool)
            gaps[pool] = gap if lag < LONGEST_LAG_SECONDS else max(0, gap)
        return gaps

    def record_gaps(self, gaps, now):
        """Note which pools have more than they want at ``boot_time`` ``now``."""
        for pool, gap in gaps.items():
            if gap >= 0:
                self.surplus_since.pop(pool, None)
            else:
                self.surplus_since.setdefault(pool, now)

    def is_due(self, gaps, now):
        """Tell whether a move is due."""
        if any(gap > 0 for gap in gaps.values()):
            return True
        return any(self._may_give(pool, now) for pool in self.surplus_since)

    def _may_give(self, pool, now):
        since = self.surplus_since.get(pool)
        return since is not None and now >= since + SURPLUS_SECONDS

    def plan_moves(self, gaps, hosts, plans, placed, standby, now, wall):
        """Return the ``HostPlan``s of the moves that are due.

        ``now`` is in ``boot_time`` and ``wall`` in seconds since the epoch.
        """
        reserve = [
            h
            for h in hosts.values()
            if h.pool in standby and _is_past_holder_pause(h, plans)
        ]
        spare = []
        for pool, gap in gaps.items():
            idle = [
                host
                for host in hosts.values()
                if host.pool == pool
                and _is_past_holder_pause(host, plans)
                and not placed.get(host.worker)
            ]
            spare += [(pool, host) for host in idle[: max(0, -gap)]]
        moves = []
        for pool in sorted(gaps, key=gaps.get, reverse=True):
            for _ in range(max(0, gaps[pool])):
                if reserve:
                    host = reserve.pop()
                elif spare:
                    _, host = spare.pop()
                else:
                    break
                moves.append(HostPlan(host.name, host.worker, wall, pool=pool))
        for pool, host in spare:
            if standby and self._may_give(pool, now):
                target = min(standby)
                moves.append(HostPlan(host.name, host.worker, wall, pool=target))
        return moves


def _is_past_holder_pause(host, plans):
    return host.phase is HostPhase.UP and host.name not in plans
