"""Queue the orders to one worker and measure how long each of them waits."""

import collections

from azurelanding.utils import boot_time


class OrderQueue:
    """The orders to one worker that are not yet sent, with the time of each.

    ``observe_wait(seconds)`` is called with the wait of each order that is taken.

    >>> queue = OrderQueue(lambda seconds: None)
    >>> queue.append("start")
    >>> queue.appendleft("stop")
    >>> queue.popleft(), len(queue)
    ('stop', 1)
    """

    def __init__(self, observe_wait):
        self.observe_wait = observe_wait
        self.entries = collections.deque()

    def __len__(self):
        """Return the number of orders that wait."""
        return len(self.entries)

    def append(self, order):
        """Add an order behind all others."""
        self.entries.append((boot_time(), order))

    def appendleft(self, order):
        """Add an order ahead of all others."""
        self.entries.appendleft((boot_time(), order))

    def popleft(self):
        """Remove and return the first order."""
        return self._take(self.entries[0])

    def pop_first(self, order_type):
        """Remove and return the first order of a type; return ``None`` without one."""
        for entry in self.entries:
            if isinstance(entry[1], order_type):
                return self._take(entry)
        return None

    def _take(self, entry):
        self.entries.remove(entry)
        queued_at, order = entry
        self.observe_wait(boot_time() - queued_at)
        return order

    def oldest_wait(self, now):
        """Return how long the oldest order has waited at ``now``; 0 without orders."""
        oldest = min((queued_at for queued_at, _ in self.entries), default=now)
        return now - oldest
