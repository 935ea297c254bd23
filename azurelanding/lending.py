"""Decide which service a free slot of a pool runs next.

A pool's own services come first up to their floors; what they leave unused is
lent to the services that name the pool in ``borrows``. Nothing is preempted, so a
pool lends freely only work that is short against its own services' deadlines. To
longer work it lends what its own services have not needed of late.
"""

import math

import attrs

from azurelanding.estimates import Peak, RunTime
from azurelanding.fair_queue import FairQueue
from azurelanding.requests import Urgency
from azurelanding.retries import RetryBudget
from azurelanding.rules import ServiceRule

URGENCY_ORDER = {urgency: rank for rank, urgency in enumerate(Urgency)}


@attrs.define(eq=False)
class ServiceQueue:
    """One service at this entry: what waits, and how many slots it holds.

    ``in_use`` counts slots by pool. ``pools`` are those that the service may use,
    its own first.
    """

    rule: ServiceRule
    pools: list["PoolSlots"] = attrs.field(factory=list)
    waiting: FairQueue = attrs.field(factory=FairQueue)
    in_use: dict[str, int] = attrs.field(factory=dict)
    run_time: RunTime = attrs.field(factory=RunTime)
    retries: RetryBudget = attrs.field(factory=RetryBudget)
    waiting_bytes: int = 0

    @property
    def slots(self):
        """Return how many slots of any pool the service holds."""
        return sum(self.in_use.values())

    @property
    def is_active(self):
        """Tell whether the service waits for slots or holds any."""
        return bool(self.waiting or self.slots)

    def add_use(self, pool_name, amount):
        """Count ``amount`` more slots of a pool as held by the service."""
        self.in_use[pool_name] = self.in_use.get(pool_name, 0) + amount


@attrs.define(eq=False)
class PoolSlots:
    """The slots of one pool that this entry holds.

    ``owners`` are the pool's own services and ``borrowers`` those that may use
    idle slots. ``held`` counts all slots, ``free`` and ``busy`` the connected
    ones. ``need`` is how many slots the
    owners could use of late.
    """

    name: str
    owners: list[ServiceQueue] = attrs.field(factory=list)
    borrowers: list[ServiceQueue] = attrs.field(factory=list)
    held: int = 0
    free: int = 0
    busy: int = 0
    need: Peak = attrs.field(factory=Peak)

    @property
    def slots(self):
        """Return how many slots are connected."""
        return self.free + self.busy

    def note_need(self, now):
        """Take into account what the owners could use now."""
        self.need.observe(
            sum(len(s.waiting) + s.in_use.get(self.name, 0) for s in self.owners), now
        )

    def lent(self):
        """Return how many slots the borrowers hold."""
        return sum(s.in_use.get(self.name, 0) for s in self.borrowers)


def is_short(borrower, owners):
    """Tell whether owners can wait for the end of a run of ``borrower``.

    They can when a request that waits for one such run and then runs itself
    still meets its deadline.
    """
    return all(
        borrower.run_time.high + owner.run_time.high <= owner.rule.deadline
        for owner in owners
        if owner.run_time.mean is not None
    )


def may_lend(pool, borrower, now):
    """Tell whether ``pool`` lends ``borrower`` one more slot now."""
    if is_short(borrower, pool.owners):
        return True
    reserve = math.ceil(pool.need.at(now))
    return pool.lent() < pool.slots - reserve


def _below_floor(pool, service):
    return service.in_use.get(pool.name, 0) < service.rule.floor * pool.slots


def _floor_use(pool, service):
    return service.in_use.get(pool.name, 0) / service.rule.floor


def _rank(service):
    return URGENCY_ORDER[service.rule.urgency]


def pick_fair(pool, now):
    """Return the ``ServiceQueue`` whose request a free slot of ``pool`` runs.

    Of the owners below their floors, the one furthest below goes first. After
    them urgency decides; at equal urgency an owner goes before a borrower, and
    the one with fewer slots of the pool before the one with more. A borrower whose
    own pool lends slots goes behind all owners, since it gets those back first;
    otherwise a flood that borrows there would displace work here. ``None`` means
    that the slot stays free.
    """
    owners = [service for service in pool.owners if service.waiting]
    below = [service for service in owners if _below_floor(pool, service)]
    if below:
        return min(below, key=lambda s: (_floor_use(pool, s), _rank(s)))
    if owners:
        owner = min(owners, key=lambda s: (_rank(s), s.in_use.get(pool.name, 0)))
    else:
        owner = None
    lent = [s for s in pool.borrowers if s.waiting and may_lend(pool, s, now)]
    if not lent:
        return owner
    borrower = min(lent, key=lambda s: (_rank(s), s.in_use.get(pool.name, 0)))
    if owner is None:
        return borrower
    outranks = _rank(borrower) < _rank(owner) and not borrower.pools[0].lent()
    return borrower if outranks else owner
