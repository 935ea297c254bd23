"""Order the free slots of a pool by which of them gets work first."""

import collections

import anyio
import attrs

from azurelanding.hosts import Host


@attrs.define(eq=False)
class WaitingSlot:
    """A free slot of ``host`` that waits for work.

    ``ticket`` is set, and ``event`` after it, once work is assigned to the slot.
    """

    host: Host | None
    ticket: object = None
    event: anyio.Event = attrs.field(factory=anyio.Event)

    def assign(self, ticket):
        """Assign ``ticket`` to the slot and wake its task."""
        self.ticket = ticket
        self.event.set()


class IdleSlots:
    """The free slots of one pool, those in the entry's own zone first."""

    def __init__(self):
        self.same_zone = collections.OrderedDict()
        self.other_zone = collections.OrderedDict()

    def add(self, slot, same_zone):
        """Add a slot; ``same_zone`` says whether it is in the entry's own zone."""
        (self.same_zone if same_zone else self.other_zone)[slot] = None

    def discard(self, slot):
        """Remove a slot if it is present."""
        self.same_zone.pop(slot, None)
        self.other_zone.pop(slot, None)

    def pop(self, tried_hosts):
        """Remove and return the slot that gets a ticket.

        ``tried_hosts`` lists the hosts that the ticket was sent to in earlier attempts.
        A first attempt gets the slot that has been free longest, in the entry's own
        zone if there is one. A retry prefers a slot in a zone that the ticket was
        not sent to, then one on a host that it was not sent to.
        """
        if not tried_hosts:
            return (self.same_zone or self.other_zone).popitem(last=False)[0]
        zones = {host.zone for host in tried_hosts}
        slots = [*self.same_zone, *self.other_zone]
        slot = min(slots, key=lambda s: (s.host.zone in zones, s.host in tried_hosts))
        self.discard(slot)
        return slot
