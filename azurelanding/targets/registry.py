"""Start and end slots of the executors that this entry may use."""

import collections

import anyio
import structlog

from azurelanding.retries import TargetHealth, is_set_aside
from azurelanding.silence import AnswerTimes, TargetTrust
from azurelanding.targets.slots import Slot, serve_slot, suspect_if_overdue
from azurelanding.utils import Notifier

logger = structlog.get_logger()


class TargetRegistry:
    """The slots that this entry holds, by executor.

    ``update`` starts and ends slots to match the executors that may be used and
    this entry's share of each. A slot that is ended finishes its request first.
    ``serve(slot, queues, settings)`` runs requests on one slot until it ends.
    """

    def __init__(self, queues, settings, zone, serve=serve_slot):
        self.queues = queues
        self.settings = settings
        self.zone = zone
        self.serve = serve
        self.slots = collections.defaultdict(list)
        self.health = collections.defaultdict(dict)
        self.trust_by_host = collections.defaultdict(TargetTrust)
        self.answer_times = AnswerTimes()
        self.changes = Notifier()

    @classmethod
    def from_config(cls, settings, queues, zone):
        """Return a registry for an entry in ``zone``; its slots serve ``queues``."""
        return cls(queues, settings, zone)

    def start(self, task_group):
        """Run slots as tasks of ``task_group`` from now on."""
        self.task_group = task_group

    async def _run_slot(self, slot):
        try:
            await self.serve(slot, self.queues, self.settings)
        finally:
            self.slots[slot.host.name].remove(slot)
            self.changes.notify()

    def _resize(self, host, pool, share):
        held = [slot for slot in self.slots[host.name] if not slot.ending]
        outdated = [slot for slot in held if (slot.host, slot.pool) != (host, pool)]
        current = [slot for slot in held if (slot.host, slot.pool) == (host, pool)]
        for slot in outdated + current[share:]:
            slot.leave()
        for _ in range(share - len(current)):
            pool_health = self.health[pool]
            slot = Slot(
                host,
                pool,
                same_zone=host.zone == self.zone,
                health=pool_health.setdefault(host.name, TargetHealth()),
                pool_health=pool_health,
                trust=self.trust_by_host[host.name],
                answer_times=self.answer_times,
            )
            self.slots[host.name].append(slot)
            self.task_group.start_soon(self._run_slot, slot)

    def _suspect_overdue(self):
        """Suspect the slots whose answer is overdue.

        Each suspected slot is replaced while it still runs its request, so at most
        as many slots of an executor are suspected as accept new requests.
        """
        now = anyio.current_time()
        for held in self.slots.values():
            max_suspected = sum(not slot.ending for slot in held)
            for slot in held:
                if sum(slot.suspected for slot in held) < max_suspected:
                    suspect_if_overdue(slot, now)

    def update(self, pools, hosts, share_of):
        """Start or end slots to have ``share_of(name)`` of each executor in ``pools``.

        ``pools`` maps the name of each executor to its pool, ``hosts`` to its
        ``Host``. Slots of other executors end after the request that they run.
        """
        self._suspect_overdue()
        for name, pool in pools.items():
            self._resize(hosts[name], pool, share_of(name))
        for name in list(self.slots):
            if name not in pools:
                for slot in self.slots[name]:
                    slot.leave()
                if not self.slots[name]:
                    del self.slots[name]
                    self.trust_by_host.pop(name, None)
        self._forget_health(pools)

    def _forget_health(self, pools):
        """Drop the health of executors that left their pool."""
        for pool, pool_health in self.health.items():
            for name in [name for name in pool_health if pools.get(name) != pool]:
                del pool_health[name]

    def busy_hosts(self):
        """Return the names of the executors that run a request of this entry."""
        return [
            name
            for name, slots in self.slots.items()
            if any(slot.busy for slot in slots)
        ]

    def releasing(self):
        """Return the names of the executors with slots that end after their request."""
        return tuple(
            name
            for name, slots in self.slots.items()
            if any(slot.leaving for slot in slots)
        )

    def set_aside(self):
        """Return the executors that failed too often in a row and get only probes."""
        return tuple(
            name
            for pool_health in self.health.values()
            for name, health in pool_health.items()
            if is_set_aside(health, pool_health.values())
        )

    def count_slots(self):
        """Return the number of slots held and how many of them are busy."""
        slots = [slot for held in self.slots.values() for slot in held]
        return len(slots), sum(slot.busy for slot in slots)
