"""Decide which service a free slot of a pool runs next.

A pool's own services come first up to their floors. Slots that they leave idle are
lent to the services that name the pool in ``borrows``. Running requests are not
preempted, so a pool lends without limit only to services whose run times are short
compared with the deadlines of its own services. Other borrowers get only the slots
that its own services have not needed recently.
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
    """The queue of one service at this entry and the slots that the service holds.

    ``in_use`` counts the slots by pool. ``pools`` lists the pools that the service
    may use, its own first. ``waiting_bytes`` is the memory of the queued requests.
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
        """Return how many slots the service holds in all pools."""
        return sum(self.in_use.values())

    @property
    def is_active(self):
        """Return whether the service has queued requests or holds slots."""
        return bool(self.waiting or self.slots)

    def add_slots_in_use(self, pool_name, amount):
        """Add ``amount``, which may be negative, to the slots held in a pool."""
        self.in_use[pool_name] = self.in_use.get(pool_name, 0) + amount


@attrs.define(eq=False)
class PoolSlots:
    """The slots of one pool that this entry holds.

    ``owners`` are the pool's own services and ``borrowers`` those that may use its
    idle slots. ``held`` counts all slots, ``free`` and ``busy`` the connected ones.
    ``recent_need`` is the recent peak of the number of slots that the owners could use.
    """

    name: str
    owners: list[ServiceQueue] = attrs.field(factory=list)
    borrowers: list[ServiceQueue] = attrs.field(factory=list)
    held: int = 0
    free: int = 0
    busy: int = 0
    recent_need: Peak = attrs.field(factory=Peak)

    @property
    def slots(self):
        """Return how many slots are connected."""
        return self.free + self.busy

    def record_owner_need(self, now):
        """Record the number of slots that the owners could use now."""
        self.recent_need.observe(
            sum(len(s.waiting) + s.in_use.get(self.name, 0) for s in self.owners), now
        )

    def lent(self):
        """Return how many slots the borrowers hold."""
        return sum(s.in_use.get(self.name, 0) for s in self.borrowers)


def fits_owner_deadlines(borrower, owners):
    """Return whether the owners can wait until a run of ``borrower`` ends.

    They can if an owner's request that waits for one such run and then runs itself
    still meets its deadline.
    """
    return all(
        borrower.run_time.high + owner.run_time.high <= owner.rule.deadline
        for owner in owners
        if owner.run_time.mean is not None
    )


def may_lend(pool, borrower, now):
    """Return whether ``pool`` may lend ``borrower`` one more slot now."""
    if fits_owner_deadlines(borrower, pool.owners):
        return True
    reserve = math.ceil(pool.recent_need.at(now))
    return pool.lent() < pool.slots - reserve


def _below_floor(pool, service):
    return service.in_use.get(pool.name, 0) < service.rule.floor * pool.slots


def _floor_use(pool, service):
    return service.in_use.get(pool.name, 0) / service.rule.floor


def _urgency_rank(service):
    return URGENCY_ORDER[service.rule.urgency]


def pick_fair(pool, now):
    """Return the ``ServiceQueue`` whose request a free slot of ``pool`` runs next.

    Owners below their floors go first, the one furthest below its floor before the
    others. Then the order is by urgency; at equal urgency an owner goes before a
    borrower, and a service with fewer slots of the pool before one with more. A
    borrower whose own pool has lent slots goes behind all owners, since it can get
    those slots back first; otherwise a flood that borrows from its pool would
    displace work of this one. Returns ``None`` if the slot stays free.
    """
    owners = [service for service in pool.owners if service.waiting]
    below = [service for service in owners if _below_floor(pool, service)]
    if below:
        return min(below, key=lambda s: (_floor_use(pool, s), _urgency_rank(s)))
    if owners:
        owner = min(
            owners, key=lambda s: (_urgency_rank(s), s.in_use.get(pool.name, 0))
        )
    else:
        owner = None
    candidates = [s for s in pool.borrowers if s.waiting and may_lend(pool, s, now)]
    if not candidates:
        return owner
    borrower = min(
        candidates, key=lambda s: (_urgency_rank(s), s.in_use.get(pool.name, 0))
    )
    if owner is None:
        return borrower
    outranks = (
        _urgency_rank(borrower) < _urgency_rank(owner) and not borrower.pools[0].lent()
    )
    return borrower if outranks else owner
