"""Keep the free slots of a pool in the order in which they get work."""

import collections

import anyio
import attrs

from azurelanding.hosts import Host


@attrs.define(eq=False)
class Waiter:
    """A free slot of ``host`` that waits for work.

    ``ticket`` is set, and ``event`` after it, once work is assigned to the slot.
    """

    host: Host | None
    ticket: object = None
    event: anyio.Event = attrs.field(factory=anyio.Event)

    def give(self, ticket):
        """Assign ``ticket`` to the slot and wake its task."""
        self.ticket = ticket
        self.event.set()


class IdleSlots:
    """The free slots of one pool, those in the entry's own zone first."""

    def __init__(self):
        self.near = collections.OrderedDict()
        self.far = collections.OrderedDict()

    def add(self, waiter, near):
        """Add a slot; ``near`` ones are in the entry's own zone."""
        (self.near if near else self.far)[waiter] = None

    def discard(self, waiter):
        """Remove a slot if it is present."""
        self.near.pop(waiter, None)
        self.far.pop(waiter, None)

    def pop(self, tried):
        """Remove and return the slot for a ticket already sent to the hosts ``tried``.

        A first attempt gets the slot that has been free longest, in the entry's own
        zone if there is one. A retry prefers a slot in a zone that the ticket was
        not sent to, then one on a host that it was not sent to.
        """
        if not tried:
            return (self.near or self.far).popitem(last=False)[0]
        zones = {host.zone for host in tried}
        waiters = [*self.near, *self.far]
        waiter = min(waiters, key=lambda w: (w.host.zone in zones, w.host in tried))
        self.discard(waiter)
        return waiter
