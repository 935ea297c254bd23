"""Divide the maximum of a client account among the pools that run its jobs.

Each pool has a controller of its own, so an account's maximum is divided into grants,
one for each pool. One daemon at a time divides. It writes a division under a new
version; the controller of a pool adopts a changed grant by a record in the stream that
also holds its starts. A grant that was lowered counts in full until then, so nothing is
granted elsewhere that may still be used: whatever a controller has read, and however
late, all pools together stay within the maximum.

The load that this answers is demand that moves from pool to pool within seconds, for
accounts whose maximum is a small part of the fleet.
"""

import math

import attrs

from azurelanding.tasks import Resources

BASE_SHARE = 0.5
"""Share of the maximum that is granted evenly ahead of demand, so that the first jobs
of a turn don't wait for a division. The rest is granted to pools that ask for it."""
HEADROOM_FACTOR = 1.5
"""How much more than its demand a pool is granted from what nobody else needs, so that
each further job doesn't need a division of its own."""
EPSILON = 1e-6
"""Tolerance for rounding errors in sums of cores."""
FIELDS = tuple(field.name for field in attrs.fields(Resources))


def combine(function, *amounts):
    """Return the ``Resources`` whose fields are ``function`` of those of ``amounts``.

    >>> combine(max, Resources(1.0, 7), Resources(2.0, 3))
    Resources(cores=2.0, memory=7, accelerators=0)
    """
    return Resources(
        function(*[amount.cores for amount in amounts]),
        function(*[amount.memory for amount in amounts]),
        function(*[amount.accelerators for amount in amounts]),
    )


def add(*amounts):
    """Return the sum of ``Resources``."""
    return combine(lambda *values: sum(values), *amounts)


def subtract(amount, other):
    """Return ``amount`` less ``other``, at least 0 of each."""
    return combine(lambda a, b: max(0, a - b), amount, other)


def scale(amount, factor):
    """Return ``amount`` times ``factor``; whole numbers are rounded down."""
    return combine(lambda a: type(a)(a * factor), amount)


def limited_fields(maximum):
    """Return the names of the resources that a maximum limits: those that are not 0."""
    return [name for name in FIELDS if getattr(maximum, name) > 0]


def fits(amount, room, names):
    """Return whether ``amount`` is within ``room`` in the resources ``names``."""
    return all(getattr(amount, n) <= getattr(room, n) + EPSILON for n in names)


def tasks_within(room, need, names):
    """Return how many tasks of ``need`` fit into ``room``, infinite without a limit."""
    return min(
        (
            math.floor((getattr(room, n) + EPSILON) / getattr(need, n))
            for n in names
            if getattr(need, n) > 0
        ),
        default=math.inf,
    )


@attrs.frozen
class PoolGrant:
    """What the runs of one account in one pool may need together.

    ``changed`` is the version of the division that set ``amount``. Until the pool's
    controller has adopted that version, it may still use up to ``ceiling``.
    """

    amount: Resources
    ceiling: Resources
    changed: int


@attrs.frozen
class AccountDivision:
    """The grants of an account by pool; together they are within ``maximum``."""

    account: str
    version: int
    maximum: Resources
    pools: dict[str, PoolGrant]


@attrs.frozen
class PoolDemand:
    """What the runs of an account need in one pool, and what waits there to start.

    ``largest`` covers each single task that waits, and each whole gang. The oldest of
    the jobs that wait was submitted at ``since``, in seconds since the epoch.
    """

    used: Resources = Resources()
    waiting: Resources = Resources()
    largest: Resources = Resources()
    since: float = math.inf

    @property
    def wanted(self):
        """Return what the runs and all that waits need together."""
        return add(self.used, self.waiting)


NO_DEMAND = PoolDemand()


def _fill(total, floors, wants):
    """Return amounts of equal height between floors and wants that sum to ``total``.

    ``floors`` and ``wants`` map pools to numbers. Floors are given in any case.
    """
    if sum(wants.values()) <= total:
        return dict(wants)

    def fill(level):
        return {p: max(floors[p], min(wants[p], level)) for p in wants}

    # Between two steps the sum grows by the number of amounts that are at the level.
    steps = sorted({0, *floors.values(), *wants.values()})
    low = 0
    while low + 1 < len(steps) and sum(fill(steps[low + 1]).values()) <= total:
        low += 1
    level, amounts = steps[low], fill(steps[low])
    rising = sum(floors[p] <= level < wants[p] for p in wants)
    left = total - sum(amounts.values())
    return fill(level + left / rising) if rising and left > 0 else amounts


def _fill_resources(maximum, floors, wants):
    """Return ``_fill`` of each resource that ``maximum`` limits, as ``Resources``."""
    filled = {pool: {} for pool in wants}
    for name in limited_fields(maximum):
        kind = type(getattr(maximum, name))
        amounts = _fill(
            getattr(maximum, name),
            {pool: getattr(floors[pool], name) for pool in wants},
            {pool: getattr(wants[pool], name) for pool in wants},
        )
        for pool, amount in amounts.items():
            filled[pool][name] = kind(amount)
    return {pool: Resources(**fields) for pool, fields in filled.items()}


def _room_for_largest(maximum, demands):
    """Return floors with what runs, and with room for one task where that is possible.

    Equal shares may each be too small for a task. Pools whose jobs have waited longest
    come first.
    """
    names = limited_fields(maximum)
    floors = {pool: demand.used for pool, demand in demands.items()}
    for pool in sorted(demands, key=lambda pool: (demands[pool].since, pool)):
        others = [floor for other, floor in floors.items() if other != pool]
        floor = add(floors[pool], demands[pool].largest)
        if fits(add(floor, *others), maximum, names):
            floors[pool] = floor
    return floors


def target_amounts(maximum, demands):
    """Return the amount that each pool is to be granted once the others allow it."""
    floors = _room_for_largest(maximum, demands)
    wants = {
        pool: combine(max, floors[pool], demand.wanted)
        for pool, demand in demands.items()
    }
    needed = _fill_resources(maximum, floors, wants)
    base = scale(maximum, BASE_SHARE / max(1, len(demands)))
    generous = {
        pool: combine(max, needed[pool], base, scale(demand.wanted, HEADROOM_FACTOR))
        for pool, demand in demands.items()
    }
    return _fill_resources(maximum, needed, generous)


def bound(grant, used, adopted):
    """Return the most that a pool may use by its ``grant``, whatever it has read.

    ``adopted`` is the version that its controller has adopted, and ``used`` what its
    runs need as of then or later.
    """
    amount = grant.amount if adopted >= grant.changed else grant.ceiling
    return combine(max, amount, used)


def _bounds(division, demands, adopted):
    bounds = {pool: demand.used for pool, demand in demands.items()}
    for pool, grant in division.pools.items():
        used = demands.get(pool, NO_DEMAND).used
        bounds[pool] = bound(grant, used, adopted.get(pool, 0))
    return bounds


def _next_amounts(division, targets, demands, bounds, maximum):
    """Return the next amount of each pool; raised ones are within what is free now."""
    names = limited_fields(maximum)
    total = add(*bounds.values(), Resources())
    amounts = dict.fromkeys(targets, Resources())
    amounts.update((pool, grant.amount) for pool, grant in division.pools.items())
    if not fits(total, maximum, names):
        # Adoptions that are not read yet may explain it, but not where the maximum
        # fell: nothing starts then until all controllers have adopted that.
        is_lower = not fits(division.maximum, maximum, names)
        return dict.fromkeys(amounts, Resources()) if is_lower else amounts
    free = subtract(maximum, total)
    needy = [
        pool
        for pool in sorted(targets, key=lambda pool: (demands[pool].since, pool))
        if pool not in division.pools
        or not fits(demands[pool].wanted, amounts[pool], names)
    ]
    is_short = False
    for pool in needy:
        raised = combine(max, amounts[pool], targets[pool])
        # What the bound exceeds the amount by is lost to the others already.
        extra = subtract(raised, bounds[pool])
        granted = combine(min, extra, free)
        is_short = is_short or granted != extra
        amounts[pool] = combine(
            lambda old, wanted, limit: max(old, min(wanted, limit)),
            amounts[pool],
            raised,
            add(bounds[pool], granted),
        )
        free = subtract(free, granted)
    if is_short:
        for pool, amount in amounts.items():
            amounts[pool] = combine(min, amount, targets.get(pool, Resources()))
    return amounts


def _is_settled(division, maximum, demands):
    """Return whether each pool has been granted what it wants of the same maximum."""
    names = limited_fields(maximum)
    return maximum == division.maximum and all(
        pool in division.pools
        and fits(demand.wanted, division.pools[pool].amount, names)
        for pool, demand in demands.items()
    )


def divide(account, maximum, division, demands, adopted):
    """Return the next ``AccountDivision`` of an account, ``None`` to keep the last one.

    ``division`` is the last one, ``None`` at first. ``demands`` maps the pools that may
    run jobs of the account to their ``PoolDemand``, ``adopted`` pools to the version
    that their controller has adopted, both as read from the stream of the pool.
    """
    if division is not None and _is_settled(division, maximum, demands):
        return None
    last = division or AccountDivision(account, 0, Resources(), {})
    version, is_changed = last.version + 1, division is None
    bounds = _bounds(last, demands, adopted)
    targets = target_amounts(maximum, demands)
    pools = {}
    for pool, amount in _next_amounts(last, targets, demands, bounds, maximum).items():
        grant = last.pools.get(pool)
        if grant is None or grant.amount != amount:
            ceiling = combine(max, amount, bounds[pool])
            grant = PoolGrant(amount, ceiling, version)
        pools[pool] = grant
    if not is_changed and pools == last.pools and maximum == last.maximum:
        return None
    return AccountDivision(account, version, maximum, pools)


NO_ROOM = Resources()


def room_in_pool(configured, division, pool, adopted, used):
    """Return the room of an account in a pool, and the resources that it limits.

    ``configured`` is the account's maximum in the configuration, ``None`` if it has no
    such account any more, ``used`` what its runs in the pool need. There is no room
    while the last division is of a higher maximum than the configured one, and while it
    is older than one that an earlier controller has ``adopted``.
    """
    if configured is not None and not limited_fields(configured):
        return NO_ROOM, []
    if division is None:
        return NO_ROOM, FIELDS
    names = limited_fields(division.maximum)
    if configured is not None and (
        set(limited_fields(configured)) - set(names)
        or not fits(division.maximum, configured, limited_fields(configured))
    ):
        return NO_ROOM, FIELDS
    grant = division.pools.get(pool)
    if grant is None or grant.changed < adopted:
        return NO_ROOM, FIELDS
    return subtract(grant.amount, used), names


def never_fits(job, maximum):
    """Return whether a task of ``job``, or a whole gang, is above ``maximum``."""
    names = limited_fields(maximum)
    return any(
        not fits(scale(step.need, step.count if step.gang else 1), maximum, names)
        for step in job.steps
    )
