"""Combine the log, the host list and the entries' reports into a view of each pool."""

import collections
import math
from types import MappingProxyType

import attrs

from azurelanding.availability import make_host_views
from azurelanding.drains import EntryView, find_blockers, longest_deadline
from azurelanding.hosts import Phase
from azurelanding.maintenance import PoolView


@attrs.frozen
class Observations:
    """The durations, in seconds, and reboots that a control daemon has observed itself.

    ``watched_seconds`` is how long it has watched the entries. ``seconds_in_phase`` and
    ``unhealthy_seconds`` are by host and ``seconds_since_progress`` is by pool, see
    ``PoolView``. The defaults are those of a daemon that only reports.
    """

    watched_seconds: float = math.inf
    seconds_in_phase: dict = attrs.field(factory=dict)
    unhealthy_seconds: dict = attrs.field(factory=dict)
    seconds_since_progress: dict = attrs.field(factory=dict)
    reboots: dict = attrs.field(factory=dict)


def make_entry_views(peer_statuses, now):
    """Return an ``EntryView`` of each entry in ``peer_statuses``, by peer name."""
    return [
        EntryView(
            name,
            peer_status.status.next_offset,
            frozenset(peer_status.status.busy_hosts),
            now - peer_status.received_at,
        )
        for name, peer_status in peer_statuses.items()
        if peer_status.status.role == "entry"
    ]


def majority_set_aside(statuses):
    """Return the executors that a majority of the entries' ``statuses`` set aside."""
    counts = collections.Counter(
        name for status in statuses for name in status.set_aside
    )
    return {name for name, count in counts.items() if 2 * count > len(statuses)}


def _find_pool_blockers(state, pool, hosts, entries, silence, watched_seconds, running):
    deadline = longest_deadline(state.rules, pool)
    blockers = {}
    for name, host in hosts.items():
        if host.phase is not Phase.DRAINING:
            continue
        blockers[name] = find_blockers(
            name,
            state.hosts[name].drained_at,
            entries,
            deadline,
            silence,
            watched_seconds,
        )
        count = running.get(name, 0)
        if count is None:
            blockers[name].append("the tasks of its pool are not read yet")
        elif count:
            blockers[name].append(f"{count} tasks run on it")
    return blockers


def make_pool_views(
    state,
    hosts,
    entries,
    set_aside,
    silence,
    observations,
    names,
    running=MappingProxyType({}),
):
    """Return the ``PoolView`` of each declared pool in ``names``.

    ``entries`` are ``EntryView``s, ``silence`` is the time in seconds after which an
    entry counts as silent. ``running`` maps draining workers to their number of
    running tasks, ``None`` if that is unknown.
    """
    hosts_by_pool = make_host_views(state, hosts, set_aside, names)
    views = {}
    for pool in names:
        rule = state.rules.pools.get(pool)
        if rule is None:
            continue
        members = hosts_by_pool[pool]
        views[pool] = PoolView(
            rule=rule,
            maintenance=state.rules.maintenance.get(pool),
            hosts=members,
            wave=state.waves.get(pool),
            stops=state.stops.get(pool, 0),
            destinations={
                name: state.hosts[name].destination
                for name in members
                if state.hosts[name].destination
            },
            blockers=_find_pool_blockers(
                state,
                pool,
                members,
                entries,
                silence,
                observations.watched_seconds,
                running,
            ),
            reboots=observations.reboots,
            seconds_in_phase=observations.seconds_in_phase,
            unhealthy_seconds=observations.unhealthy_seconds,
            seconds_since_progress=observations.seconds_since_progress.get(
                pool, math.inf
            ),
        )
    return views
