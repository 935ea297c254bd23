"""Compute how many executors each pool needs and choose the next host move.

The spare pool lends hosts to pools with a lasting shortage. It gets them back from
pools with a surplus, which must last longer than a shortage. When the spare pool
has no host left to lend, it takes hosts from pools with a surplus, and takes lent
hosts back from less urgent pools. Surges of a few seconds are left to admission,
because a move requires a drain and the host serves no requests meanwhile.
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
SHORTAGE_DELAY_SECONDS = 60.0
SURPLUS_DELAY_SECONDS = 900.0
SURPLUS_DELAY_WHILE_NEEDED_SECONDS = 120.0
MAX_CONCURRENT_MOVES = 2
MIN_SIZE_DEMAND_FACTOR = 0.95
MAX_SIZE_DEMAND_FACTOR = 1.15
ROUNDING_TOLERANCE = 1e-9
URGENCY_ORDER = {urgency: rank for rank, urgency in enumerate(Urgency)}


@attrs.frozen
class PoolLoad:
    """A pool's hosts and the number of executors that it needs.

    ``hosts`` are the pool's own hosts by name, ``arriving`` the names of hosts that
    are moving to it and ``leaving`` the names of hosts that are moving away. The
    pool has a shortage with fewer than ``wanted`` executors and a surplus with more
    than ``max_wanted``; both are ``None`` without enough demand samples. ``stops``
    is the version of the planned stops of the pool. ``urgency`` is the rank of its
    most urgent service, 0 for the most urgent level.
    """

    rule: PoolRule
    hosts: dict[str, HostView]
    stops: int = 0
    arriving: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    wanted: int | None = None
    max_wanted: int | None = None
    urgency: int = 0

    @functools.cached_property
    def size(self):
        """Return how many executors the pool has or will soon have.

        A host in maintenance counts. A failed or unlisted host does not.
        """
        stopped = (Phase.DRAINING, Phase.REBOOTING)
        return len(self.arriving) + sum(
            host.available or host.phase in stopped
            for host in self.hosts.values()
            if host.kind is HostKind.EXECUTOR and host.name not in self.leaving
        )

    @property
    def is_short(self):
        """Return whether the pool has fewer executors than it needs."""
        return self.wanted is not None and self.size < self.wanted

    @property
    def has_surplus(self):
        """Return whether the pool has more executors than it needs."""
        return self.max_wanted is not None and self.size > self.max_wanted


@attrs.define
class PoolImbalances:
    """Since when each pool has had a shortage or a surplus of executors.

    Times are in seconds of this daemon's monotonic clock, by pool.
    """

    short_since: dict[str, float] = attrs.field(factory=dict)
    surplus_since: dict[str, float] = attrs.field(factory=dict)

    def observe(self, loads, now):
        """Update the start times from the ``PoolLoad``s at ``now``."""
        for name, load in loads.items():
            _update_since(self.short_since, name, load.is_short, now)
            _update_since(self.surplus_since, name, load.has_surplus, now)

    def is_short(self, name, now):
        """Return whether the shortage has lasted long enough to get a host."""
        return now - self.short_since.get(name, now) >= SHORTAGE_DELAY_SECONDS

    def has_surplus(self, name, now, needed):
        """Return whether the surplus has lasted long enough to take a host away.

        The delay is shorter if another pool needs the host.
        """
        delay = SURPLUS_DELAY_WHILE_NEEDED_SECONDS if needed else SURPLUS_DELAY_SECONDS
        return now - self.surplus_since.get(name, now) >= delay


def _update_since(since, name, is_imbalanced, now):
    if is_imbalanced:
        since.setdefault(name, now)
    else:
        since.pop(name, None)


def wanted_hosts(rule, slots_wanted, slots_per_host):
    """Return how many executors a pool needs for ``slots_wanted``.

    The share of executors that the availability budget keeps available must carry
    the demand at ``TARGET_UTILISATION``. The declared buffer is added to that.
    """
    carrying = slots_wanted / (slots_per_host * TARGET_UTILISATION)
    share = rule.availability or 1.0
    return max(1, math.ceil(carrying / share - ROUNDING_TOLERANCE)) + rule.buffer


def pool_urgency(rule_set, pool):
    """Return the rank of the most urgent service of ``pool``, 0 the most urgent."""
    ranks = [URGENCY_ORDER[s.urgency] for s in rule_set.services_of(pool)]
    return min(ranks, default=len(URGENCY_ORDER))


def _pick_host(
    source, destination, is_fit=lambda _name: True, prefer=lambda _name: False
):
    """Return the executor to move from ``source`` to ``destination``, or ``None``.

    Only hosts for which ``is_fit(name)`` is true and whose loss leaves the source
    within its availability budget are considered. Hosts for which ``prefer(name)``
    is true go first, then hosts in the zones where the destination has the fewest.
    """
    zones = collections.Counter(host.zone for host in destination.hosts.values())
    fit = [
        host
        for host in source.hosts.values()
        if host.available and host.kind is HostKind.EXECUTOR and is_fit(host.name)
    ]
    fit.sort(key=lambda host: (not prefer(host.name), zones[host.zone], host.name))
    for host in fit:
        if may_stop(source.rule, source.hosts, {host.name}, leaves_pool=True):
            return host
    return None


def _move(host, source, destination):
    return records.MoveStarted(
        host.name, destination.rule.name, host.version, source.stops
    )


def _can_lend(spare):
    return spare.wanted is not None and spare.size > spare.wanted


def _lend(spare, receiver, home_of):
    """Return a move of a spare host to ``receiver``, or ``None``.

    Hosts whose home pool is the receiver are preferred.
    """
    name = receiver.rule.name
    host = _pick_host(spare, receiver, prefer=lambda host: home_of(host) == name)
    return host and _move(host, spare, receiver)


def _return_lent(spare, with_surplus, home_of):
    """Return a move of a lent host back to the spare pool, or ``None``."""
    name = spare.rule.name
    for load in with_surplus:
        host = _pick_host(load, spare, is_fit=lambda host: home_of(host) == name)
        if host is not None:
            return _move(host, load, spare)
    return None


def _take_back(spare, receiver, with_surplus, others, home_of):
    """Return a move to the spare pool of a host that ``receiver`` needs more.

    Pools with a surplus are tried first, preferably for a host that they borrowed.
    Then lent hosts are taken back from pools less urgent than the receiver, the
    least urgent first. Returns ``None`` if no host can be taken.
    """
    for load in with_surplus:
        name = load.rule.name
        host = _pick_host(
            load, spare, prefer=lambda host, name=name: home_of(host) != name
        )
        if host is not None:
            return _move(host, load, spare)
    less_urgent = [load for load in others if load.urgency > receiver.urgency]
    less_urgent.sort(key=lambda load: -load.urgency)
    return _return_lent(spare, less_urgent, home_of)


def next_move(spare_name, loads, imbalances, now, home_of):
    """Return the ``MoveStarted`` to append now, or ``None``.

    ``loads`` maps each pool to its ``PoolLoad``, and ``home_of(name)`` returns the
    pool that a host started in. Each move is from or to the spare pool, so that the
    controller of the spare pool decides every move.
    """
    imbalances.observe(loads, now)
    moving = sum(len(load.leaving) for load in loads.values())
    if moving >= MAX_CONCURRENT_MOVES or spare_name not in loads:
        return None
    spare = loads[spare_name]
    others = {name: load for name, load in loads.items() if name != spare_name}
    short = [
        load
        for name, load in others.items()
        if imbalances.is_short(name, now) and not load.arriving
    ]
    with_surplus = [
        load
        for name, load in others.items()
        if imbalances.has_surplus(name, now, needed=bool(short)) and not load.leaving
    ]
    if not short:
        return _return_lent(spare, with_surplus, home_of)
    receiver = min(short, key=lambda load: (load.urgency, load.size - load.wanted))
    if _can_lend(spare):
        return _lend(spare, receiver, home_of)
    if spare.arriving:
        return None
    return _take_back(spare, receiver, with_surplus, others.values(), home_of)


def find_size_bounds(rule, window, slots_per_host, now):
    """Return the least and the most executors that a pool should have.

    Both are ``None`` if ``window`` has too few or only old samples. The demand is
    scaled down for the least and up for the most, so that small changes of demand
    cause no moves.
    """
    if window is None or not window.is_usable(now):
        return None, None
    slots = window.quantile()
    wanted = wanted_hosts(rule, slots * MIN_SIZE_DEMAND_FACTOR, slots_per_host)
    max_wanted = wanted_hosts(rule, slots * MAX_SIZE_DEMAND_FACTOR, slots_per_host)
    return wanted, max_wanted


def compute_loads(state, views, windows, slots_per_host, now):
    """Return the ``PoolLoad`` of each pool in ``views``.

    ``views`` maps each pool to its ``PoolView``, ``windows`` to its
    ``DemandWindow``.
    """
    arriving = collections.defaultdict(set)
    for view in views.values():
        for name, destination in view.destinations.items():
            arriving[destination].add(name)
    loads = {}
    for pool, view in views.items():
        wanted, max_wanted = find_size_bounds(
            view.rule, windows.get(pool), slots_per_host, now
        )
        loads[pool] = PoolLoad(
            view.rule,
            view.hosts,
            view.stops,
            frozenset(arriving[pool]),
            frozenset(view.destinations),
            wanted,
            max_wanted,
            pool_urgency(state.rules, pool),
        )
    return loads
