"""Pace the start orders of a daemon below the rate of its host's link.

A start carries the specification of its job, so a few hundred of them fill a narrow
link for seconds. What waits in the link's queue can't be overtaken, neither by a more
urgent start nor by the calls that extend leases. Starts are therefore decided only as
fast as the link carries them; the rest stay ready, and the most urgent go first.

>>> budget = StartBudget.from_config(link_rate=1_250_000.0, now=0.0)
>>> budget.join("cuts", now=0.0)
>>> budget.affordable("cuts", size=25_000, now=0.1)
3
"""

import math

import attrs

LINK_SHARE = 0.6
"""Share of the link's rate for starts; the calls that extend leases and confirm ends,
the store and the callers need the rest."""
BURST_SECONDS = 0.1
"""Longest wait in the link's queue that starts decided at once may cause."""
REFILL_SHARE = 0.5
"""Share of the burst that must be there before a controller looks again."""
OVERHEAD_BYTES = 400
"""Bytes of a start order besides its specification and checkpoint: the request's
headers and other fields, and the headers of its packets."""


def order_bytes(order):
    """Return about how many bytes a ``StartOrder`` takes on the link."""
    payload = len(order.spec) + len(order.checkpoint) + len(order.ticket)
    return OVERHEAD_BYTES + payload


@attrs.define
class PoolBudget:
    """The bytes that a controller may send now, negative after a larger start.

    ``is_waiting`` is set while its pool has ready tasks that the budget holds back.
    """

    balance: float
    is_waiting: bool = False


class StartBudget:
    """The bytes of starts that the controllers of one daemon may send.

    Those that wait share the rate equally, and all of them while none waits. Those that
    wait save up one burst together, and so do the others. With a ``rate`` of ``None``
    there is no limit. A controller is known by any key that is its own: its pool alone
    would not tell it from its successor on the same daemon. Times are ``boot_time``s.
    """

    def __init__(self, rate, now):
        self.rate = rate
        self.refilled_at = now
        self.budgets = {}

    @classmethod
    def from_config(cls, link_rate, now):
        """Return the budget on a link of ``link_rate`` bytes a second, if known."""
        return cls(None if link_rate is None else link_rate * LINK_SHARE, now)

    def join(self, controller, now):
        """Add a controller, which has nothing to spend yet."""
        self._refill(now)
        self.budgets[controller] = PoolBudget(0.0)

    def leave(self, controller):
        """Remove a controller. Removing it again does nothing."""
        self.budgets.pop(controller, None)

    def _burst(self):
        """Return the most that one controller may save up, in bytes."""
        return self.rate * BURST_SECONDS / len(self._sharing())

    def _sharing(self):
        waiting = [b for b in self.budgets.values() if b.is_waiting]
        return waiting or list(self.budgets.values())

    def _refill(self, now):
        elapsed, self.refilled_at = max(0.0, now - self.refilled_at), now
        if self.rate is None or not self.budgets:
            return
        sharing, burst = self._sharing(), self._burst()
        for budget in sharing:
            earned = elapsed * self.rate / len(sharing)
            budget.balance = max(budget.balance, min(burst, budget.balance + earned))

    def affordable(self, controller, size, now):
        """Return how many starts of ``size`` bytes may be sent at ``now``.

        The last of them may exceed the balance, so that a start larger than the burst
        goes too; the following ones wait until it is paid for.
        """
        if self.rate is None:
            return math.inf
        self._refill(now)
        return max(0, math.ceil(self.budgets[controller].balance / size))

    def spend(self, controller, size):
        """Count ``size`` bytes that are sent, unless the controller has left."""
        if self.rate is not None and controller in self.budgets:
            self.budgets[controller].balance -= size

    def seconds_in_debt(self, controller, now):
        """Return how long it takes until what a controller has sent is paid for."""
        if self.rate is None or controller not in self.budgets:
            return 0.0
        self._refill(now)
        debt = max(0.0, -self.budgets[controller].balance)
        return debt * len(self._sharing()) / self.rate

    def set_waiting(self, controller, is_waiting, now):
        """Note whether the budget holds back ready tasks of a controller from now on.

        What was earned until ``now`` goes to those that waited until then.
        """
        self._refill(now)
        self.budgets[controller].is_waiting = is_waiting

    def seconds_to_wait(self, controller, now):
        """Return how long to wait for the budget, infinite if nothing is held back."""
        if self.rate is None or not self.budgets[controller].is_waiting:
            return math.inf
        self._refill(now)
        missing = self._burst() * REFILL_SHARE - self.budgets[controller].balance
        return max(0.0, missing) * len(self._sharing()) / self.rate
