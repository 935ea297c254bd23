"""Decide how many executors each pool needs and which host moves next.

The spare pool lends hosts to pools that are short for long, and gets them back
from pools that have had too many for longer. When it has none left, it takes hosts
in from pools that have too many, and back from less urgent pools. Surges of seconds
are left to admission: a move costs a drain, and the host serves nobody meanwhile.
"""

import collections
import functools
import math

import attrs

from azurelanding import records
from azurelanding.availability import HostView, may_stop
from azurelanding.hosts import HostKind, Phase
from azurelanding.requests import Urgency
from azurelanding.rules import PoolRule

TARGET_UTILISATION = 0.85
SHORT_SECONDS = 60.0
OVER_SECONDS = 900.0
OVER_WHILE_NEEDED_SECONDS = 120.0
MOVES_AT_ONCE = 2
GROW_MARGIN = 0.95
SHRINK_MARGIN = 1.15
ROUNDING = 1e-9
URGENCY_ORDER = {urgency: rank for rank, urgency in enumerate(Urgency)}


@attrs.frozen
class PoolLoad:
    """A pool, its hosts and what it needs.

    ``hosts`` are those that it owns, ``arriving`` the names of those on their way
    to it and ``leaving`` of those on their way out. With fewer than ``wanted``
    executors the pool is short, with more than ``enough`` it has too many; both are
    ``None`` while too little is known. ``urgency`` is the rank of its most urgent
    service.
    """

    rule: PoolRule
    hosts: dict[str, HostView]
    stops: int = 0
    arriving: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    wanted: int | None = None
    enough: int | None = None
    urgency: int = 0

    @functools.cached_property
    def size(self):
        """Return how many executors the pool has or will soon have.

        A host in maintenance counts; one that failed or is gone does not.
        """
        stopped = (Phase.DRAINING, Phase.REBOOTING)
        return len(self.arriving) + sum(
            host.available or host.phase in stopped
            for host in self.hosts.values()
            if host.kind is HostKind.EXECUTOR and host.name not in self.leaving
        )

    @property
    def is_short(self):
        """Tell whether executors are missing."""
        return self.wanted is not None and self.size < self.wanted

    @property
    def is_over(self):
        """Tell whether there are more executors than enough."""
        return self.enough is not None and self.size > self.enough


@attrs.define
class PoolImbalances:
    """Since when each pool has been short of hosts, or has had too many.

    Times are monotonic, of this daemon.
    """

    short_since: dict[str, float] = attrs.field(factory=dict)
    over_since: dict[str, float] = attrs.field(factory=dict)

    def observe(self, loads, now):
        """Note how the pools stand at ``now``."""
        for name, load in loads.items():
            _keep_since(self.short_since, name, load.is_short, now)
            _keep_since(self.over_since, name, load.is_over, now)

    def is_short(self, name, now):
        """Tell whether the pool has been short for long enough to get a host."""
        return now - self.short_since.get(name, now) >= SHORT_SECONDS

    def is_over(self, name, now, needed):
        """Tell whether the pool has had too many for long enough to lose one.

        That is sooner while another pool needs the host.
        """
        limit = OVER_WHILE_NEEDED_SECONDS if needed else OVER_SECONDS
        return now - self.over_since.get(name, now) >= limit


def _keep_since(since, name, holds, now):
    if holds:
        since.setdefault(name, now)
    else:
        since.pop(name, None)


def wanted_hosts(rule, slots_wanted, slots_per_host):
    """Return how many executors a pool needs for ``slots_wanted``.

    Those that its availability budget keeps able carry the demand, and the
    declared buffer comes on top.
    """
    carrying = slots_wanted / (slots_per_host * TARGET_UTILISATION)
    share = rule.availability or 1.0
    return max(1, math.ceil(carrying / share - ROUNDING)) + rule.buffer


def pool_urgency(rule_set, pool):
    """Return the rank of the most urgent service of ``pool``, 0 the most urgent."""
    ranks = [URGENCY_ORDER[s.urgency] for s in rule_set.services_of(pool)]
    return min(ranks, default=len(URGENCY_ORDER))


def _pick_host(giver, receiver, is_fit=lambda _name: True, prefer=lambda _name: False):
    """Return the executor that ``giver`` can spare for ``receiver``, or ``None``.

    It is fit, and its loss leaves the giver within its availability budget. Hosts to
    ``prefer`` go first, then those that spread the receiver best over zones.
    """
    zones = collections.Counter(host.zone for host in receiver.hosts.values())
    fit = [
        host
        for host in giver.hosts.values()
        if host.available and host.kind is HostKind.EXECUTOR and is_fit(host.name)
    ]
    fit.sort(key=lambda host: (not prefer(host.name), zones[host.zone], host.name))
    for host in fit:
        if may_stop(giver.rule, giver.hosts, {host.name}, leaves_pool=True):
            return host
    return None


def _move(host, giver, receiver):
    return records.MoveStarted(host.name, receiver.rule.name, host.version, giver.stops)


def _can_lend(spare):
    return spare.wanted is not None and spare.size > spare.wanted


def _lend(spare, receiver, home_of):
    """Return the move that helps ``receiver``, or ``None``."""
    name = receiver.rule.name
    host = _pick_host(spare, receiver, prefer=lambda host: home_of(host) == name)
    return host and _move(host, spare, receiver)


def _give_back(spare, over, home_of):
    """Return the move that brings a lent host back, or ``None``."""
    name = spare.rule.name
    for load in over:
        host = _pick_host(load, spare, is_fit=lambda host: home_of(host) == name)
        if host is not None:
            return _move(host, load, spare)
    return None


def _take_in(spare, receiver, over, others, home_of):
    """Return the move to the spare pool of a host that ``receiver`` needs more."""
    for load in over:
        name = load.rule.name
        host = _pick_host(
            load, spare, prefer=lambda host, name=name: home_of(host) != name
        )
        if host is not None:
            return _move(host, load, spare)
    less_urgent = [load for load in others if load.urgency > receiver.urgency]
    less_urgent.sort(key=lambda load: -load.urgency)
    return _give_back(spare, less_urgent, home_of)


def next_move(spare_name, loads, patience, now, home_of):
    """Return the ``MoveStarted`` to append now, or ``None``.

    ``loads`` are ``PoolLoad``s by pool, and ``home_of(name)`` returns the pool that a
    host started in. Each move has the spare pool on one side,
    so that its controller decides all of them.
    """
    patience.observe(loads, now)
    moving = sum(len(load.leaving) for load in loads.values())
    if moving >= MOVES_AT_ONCE or spare_name not in loads:
        return None
    spare = loads[spare_name]
    others = {name: load for name, load in loads.items() if name != spare_name}
    needy = [
        load
        for name, load in others.items()
        if patience.is_short(name, now) and not load.arriving
    ]
    over = [
        load
        for name, load in others.items()
        if patience.is_over(name, now, needed=bool(needy)) and not load.leaving
    ]
    if not needy:
        return _give_back(spare, over, home_of)
    receiver = min(needy, key=lambda load: (load.urgency, load.size - load.wanted))
    if _can_lend(spare):
        return _lend(spare, receiver, home_of)
    if spare.arriving:
        return None
    return _take_in(spare, receiver, over, others.values(), home_of)


def find_limits(rule, window, slots_per_host, now):
    """Return the least and the most executors that are right, or ``None`` twice."""
    if window is None or not window.is_usable(now):
        return None, None
    slots = window.quantile()
    wanted = wanted_hosts(rule, slots * GROW_MARGIN, slots_per_host)
    enough = wanted_hosts(rule, slots * SHRINK_MARGIN, slots_per_host)
    return wanted, enough


def compute_loads(state, views, windows, slots_per_host, now):
    """Return the ``PoolLoad`` of each pool in ``views``.

    ``views`` are ``PoolView``s and ``windows`` ``DemandWindow``s, by pool.
    """
    arriving = collections.defaultdict(set)
    for view in views.values():
        for name, destination in view.destinations.items():
            arriving[destination].add(name)
    loads = {}
    for pool, view in views.items():
        wanted, enough = find_limits(view.rule, windows.get(pool), slots_per_host, now)
        loads[pool] = PoolLoad(
            view.rule,
            view.hosts,
            view.stops,
            frozenset(arriving[pool]),
            frozenset(view.destinations),
            wanted,
            enough,
            pool_urgency(state.rules, pool),
        )
    return loads
