"""Hold the free slots of a pool in the order in which they get work."""

import collections

import anyio
import attrs

from azurelanding.hosts import Host


@attrs.define(eq=False)
class Waiter:
    """A free slot of ``host``; ``ticket`` is set when there is work for it."""

    host: Host | None
    ticket: object = None
    event: anyio.Event = attrs.field(factory=anyio.Event)

    def give(self, ticket):
        """Wake the slot with ``ticket``."""
        self.ticket = ticket
        self.event.set()


class IdleSlots:
    """The free slots of one pool, those in the entry's own zone first."""

    def __init__(self):
        self.same_zone = collections.OrderedDict()
        self.far = collections.OrderedDict()

    def add(self, waiter, same_zone):
        """Add a slot; ``same_zone`` ones are in the entry's own zone."""
        (self.same_zone if same_zone else self.far)[waiter] = None

    def discard(self, waiter):
        """Take a slot out if it is there."""
        self.same_zone.pop(waiter, None)
        self.far.pop(waiter, None)

    def pop(self, tried_hosts):
        """Return the slot for a ticket that the hosts ``tried_hosts`` had before.

        That is the one free longest; for a retry, one in a zone or at least on a
        host that has not had the ticket, where there is one.
        """
        if not tried_hosts:
            return (self.same_zone or self.far).popitem(last=False)[0]
        zones = {host.zone for host in tried_hosts}
        waiters = [*self.same_zone, *self.far]
        waiter = min(
            waiters, key=lambda w: (w.host.zone in zones, w.host in tried_hosts)
        )
        self.discard(waiter)
        return waiter
