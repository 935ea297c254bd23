"""Decide in which order ready steps of several accounts get the room of a full pool.

The load that this answers is one account that sends many times its usual, beside others
whose jobs would wait behind its backlog.

An account is within its share while its runs need less than its part, by weight, of the
resource that they need most of. What is within a share goes first, in the order of
urgency; what is left of the pool then goes to the account that is least beyond.
"""

import collections
import heapq
import math

import attrs

from azurelanding.account_limits import FIELDS, add, scale, tasks_within
from azurelanding.tasks import Resources

MIN_WEIGHT = 1e-9
"""Weight of an account that has none: it gets room when nobody else wants it."""


def dominant_share(used, capacity):
    """Return the largest part of a resource of the pool that ``used`` takes."""
    parts = [
        getattr(used, name) / getattr(capacity, name)
        for name in FIELDS
        if getattr(capacity, name) > 0
    ]
    return max(parts, default=0.0)


@attrs.define(eq=False)
class PoolShares:
    """The accounts' use of one pool during one pass, and their parts by weight.

    ``capacity`` is that of the usable workers, ``weights`` maps accounts to weights,
    and ``find_usage(account)`` returns what an account's runs need. ``used`` caches
    that and grows with each ``charge``.
    """

    capacity: Resources
    weights: dict[str, float]
    find_usage: object
    used: dict[str, Resources] = attrs.field(factory=dict)
    total_weight: float = 0.0

    def begin(self, accounts):
        """Divide the pool among ``accounts``, whose tasks wait now."""
        self.used = {account: self.find_usage(account) for account in accounts}
        self.total_weight = sum(map(self.weight, accounts))

    def weight(self, account):
        """Return the weight of an account; one that is no longer configured has 1."""
        return max(self.weights.get(account, 1.0), MIN_WEIGHT)

    def excess(self, account):
        """Return the account's use by its part of the pool; above 1 it is beyond."""
        part = self.weight(account) / self.total_weight
        return dominant_share(self.used[account], self.capacity) / part

    def tasks_left(self, account, need):
        """Return how many tasks of ``need`` keep an account within its part.

        It is at least one while the account is within, so that large tasks count too.
        """
        part = self.weight(account) / self.total_weight
        if self.excess(account) >= 1.0:
            return 0
        room = scale(self.capacity, part)
        left = attrs.evolve(
            room,
            **{n: getattr(room, n) - getattr(self.used[account], n) for n in FIELDS},
        )
        names = [name for name in FIELDS if getattr(self.capacity, name) > 0]
        return max(1, tasks_within(left, need, names))

    def charge(self, ready, count):
        """Count ``count`` tasks of a ready step that were placed."""
        account = ready.state.job.account
        if account and count:
            added = scale(ready.step.need, count)
            self.used[account] = add(self.used[account], added)


def in_turn(ready_steps, urgency, shares):
    """Yield ready steps in the order in which they get room, each with a task limit.

    ``urgency(ready)`` returns the sort key of the order without accounts, which begins
    with the priority. The caller charges ``shares`` for what it has placed before it
    asks for the next. Steps without an account keep that order, and are never limited.
    A step may be yielded twice: for the tasks within the share, and for the others.
    """
    ordered = sorted(ready_steps, key=urgency)
    accounts = {ready.state.job.account for ready in ordered} - {""}
    if not accounts:
        for ready in ordered:
            yield ready, math.inf
        return
    shares.begin(accounts)
    by_priority = collections.defaultdict(list)
    for ready in ordered:
        by_priority[ready.state.job.priority].append(ready)
    for priority in sorted(by_priority):
        yield from _within_shares(by_priority[priority], shares)
        yield from _beyond_shares(by_priority[priority], shares)


def _within_shares(ordered, shares):
    for ready in ordered:
        account = ready.state.job.account
        if not account:
            yield ready, math.inf
            continue
        limit = shares.tasks_left(account, ready.step.need)
        if limit and (not ready.step.gang or limit >= len(ready.tasks)):
            yield ready, limit


def _beyond_shares(ordered, shares):
    """Yield the steps again, those of the account that is least beyond first."""
    queues = collections.defaultdict(collections.deque)
    for ready in ordered:
        if ready.state.job.account:
            queues[ready.state.job.account].append(ready)
    heap = [(shares.excess(account), account) for account in queues]
    heapq.heapify(heap)
    while heap:
        _, account = heapq.heappop(heap)
        yield queues[account].popleft(), math.inf
        if queues[account]:
            heapq.heappush(heap, (shares.excess(account), account))
