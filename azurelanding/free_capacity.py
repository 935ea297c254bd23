"""Keep what is free on each worker, so that a place is found in short time.

Workers are grouped by availability zone and rack. Each rack keeps the most that
one of its workers has free, and each zone the most of its racks, so a search
looks only into zones and racks that can hold the task. The order of preference
is that of ``naive_pick`` in the tests, which looks at every worker.
"""

import bisect
import collections
import itertools

import attrs

from azurelanding.tasks import Resources

EPSILON_CORES = 1e-9


@attrs.define(eq=False)
class IndexedWorker:
    """One worker and what is free on it.

    ``slots`` is how many more tasks it may get, ``None`` for any number. On
    ``trial`` it gets only tasks that are not urgent and may be repeated, with
    ``proven_jobs`` only tasks of jobs that another worker ran.
    """

    name: str
    zone: str
    rack: str
    total: Resources
    cores: float = 0.0
    memory: int = 0
    accelerators: int = 0
    slots: int | None = 0
    trial: bool = False
    proven_jobs: bool = False
    jobs: collections.Counter = attrs.field(factory=collections.Counter)

    def fits(self, need):
        """Tell whether a task of ``need`` can be placed here."""
        return (
            need.cores <= self.cores + EPSILON_CORES
            and need.memory <= self.memory
            and need.accelerators <= self.accelerators
            and self.slots != 0
        )


@attrs.define(eq=False)
class Group:
    """A rack or a zone: the most that one member has free, and its tasks.

    The bounds may be too high, never too low. ``order`` holds, for a zone, the
    ``rack_order_key`` of each rack, sorted.
    """

    name: str
    members: dict = attrs.field(factory=dict)
    cores: float = 0.0
    memory: int = 0
    accelerators: int = 0
    jobs: collections.Counter = attrs.field(factory=collections.Counter)
    tasks: int = 0
    order: list = attrs.field(factory=list)

    def may_fit(self, need):
        """Tell whether some member may have room for ``need``."""
        return (
            need.cores <= self.cores + EPSILON_CORES
            and need.memory <= self.memory
            and need.accelerators <= self.accelerators
        )

    def recompute_bounds(self):
        """Set the bounds to what the members have free now."""
        cores, memory, accelerators = 0.0, 0, 0
        for member in self.members.values():
            if getattr(member, "slots", None) == 0:
                continue
            cores = max(cores, member.cores)
            memory = max(memory, member.memory)
            accelerators = max(accelerators, member.accelerators)
        self.cores, self.memory, self.accelerators = cores, memory, accelerators

    def raise_bounds(self, member):
        """Raise the bounds to what ``member`` has free."""
        self.cores = max(self.cores, member.cores)
        self.memory = max(self.memory, member.memory)
        self.accelerators = max(self.accelerators, member.accelerators)


def rack_order_key(rack):
    """Return where a rack stands in the order of its zone."""
    return bool(rack.accelerators), rack.tasks, rack.name


def _reorder(zone, rack, old_key):
    """Move a rack that stood at ``old_key`` to its place in the order."""
    key = rack_order_key(rack)
    if key != old_key:
        del zone.order[bisect.bisect_left(zone.order, old_key)]
        bisect.insort(zone.order, key)


class CapacityIndex:
    """The rooms of a pool, grouped by zone and rack."""

    def __init__(self):
        self.rooms = {}
        self.zones = {}

    def add(self, room):
        """Add a worker; one of the same name must have been removed."""
        zone = self.zones.setdefault(room.zone, Group(room.zone))
        rack = zone.members.get(room.rack)
        if rack is None:
            rack = zone.members[room.rack] = Group(room.rack)
            bisect.insort(zone.order, rack_order_key(rack))
        rack.members[room.name] = room
        self.rooms[room.name] = room
        self._note_jobs(room, room.jobs, 1)
        self.update(room)

    def remove(self, name):
        """Remove the worker ``name``."""
        room = self.rooms.pop(name)
        zone = self.zones[room.zone]
        rack = zone.members[room.rack]
        del rack.members[name]
        self._note_jobs(room, room.jobs, -1)
        old_key = rack_order_key(rack)
        rack.recompute_bounds()
        _reorder(zone, rack, old_key)
        if not rack.members:
            del zone.members[room.rack]
            zone.order.remove(rack_order_key(rack))
        if not zone.members:
            del self.zones[room.zone]

    def _note_jobs(self, room, jobs, sign):
        zone = self.zones[room.zone]
        rack = zone.members[room.rack]
        old_key = rack_order_key(rack)
        for group in (zone, rack):
            for job, count in jobs.items():
                group.jobs[job] += sign * count
                group.tasks += sign * count
                if not group.jobs[job]:
                    del group.jobs[job]
        _reorder(zone, rack, old_key)

    def update(self, room):
        """Set the bounds after what is free on ``room`` has changed."""
        zone = self.zones[room.zone]
        rack = zone.members[room.rack]
        old_key = rack_order_key(rack)
        rack.recompute_bounds()
        _reorder(zone, rack, old_key)
        zone.raise_bounds(rack)

    def count(self, room, job, number):
        """Count ``number`` more tasks of ``job`` on ``room``."""
        room.jobs[job] += number
        if not room.jobs[job]:
            del room.jobs[job]
        self._note_jobs(room, {job: number}, 1)

    def allocate(self, room, job, need):
        """Take ``need`` for a task of ``job`` on ``room``."""
        room.cores -= need.cores
        room.memory -= need.memory
        room.accelerators -= need.accelerators
        if room.slots is not None:
            room.slots -= 1
        self.count(room, job, 1)
        self.update(room)

    def deallocate(self, room, job, need):
        """Undo ``allocate``."""
        room.cores += need.cores
        room.memory += need.memory
        room.accelerators += need.accelerators
        if room.slots is not None:
            room.slots += 1
        self.count(room, job, -1)
        self.update(room)


def zone_sort_key(zone, job):
    """Return the preference for a zone: few tasks of the job, few of any."""
    return zone.jobs.get(job, 0), zone.tasks, zone.name


def rack_sort_key(rack, job, need):
    """Return the preference for a rack: as a zone, and no accelerators wasted."""
    wasted = bool(rack.accelerators) and not need.accelerators
    return wasted, rack.jobs.get(job, 0), rack.tasks, rack.name


def worker_sort_key(room, need):
    """Return the preference for a worker: none wasted, then the best fit."""
    wasted = room.accelerators if not need.accelerators else 0
    return wasted, room.cores - need.cores, room.memory - need.memory, room.name


def _pick_in_rack(rack, need, accepts):
    fitting = [r for r in rack.members.values() if r.fits(need) and accepts(r)]
    return min(fitting, key=lambda room: worker_sort_key(room, need), default=None)


def _racks_in_order(zone, job, need):
    """Yield the racks that may fit, the preferred first, as ``rack_sort_key`` has it.

    The order of the zone is that of ``rack_sort_key`` but for the count of the job, so
    racks without the job come as they stand and the others after them, for each
    of the two kinds: without and with accelerators.
    """
    for accelerated in (False, True):
        first = bisect.bisect_left(zone.order, (accelerated,))
        others = []
        for _, _, name in itertools.islice(zone.order, first, None):
            rack = zone.members[name]
            if bool(rack.accelerators) is not accelerated:
                break
            if not rack.may_fit(need):
                continue
            if rack.jobs.get(job, 0):
                others.append(rack)
            else:
                yield rack
        yield from sorted(others, key=lambda rack: rack_sort_key(rack, job, need))


def find_best_worker(rooms, job, need, accepts):
    """Return the best ``IndexedWorker`` for a task of ``job``, or ``None``.

    ``accepts(room)`` says whether the task may go there at all.
    """
    zones = [zone for zone in rooms.zones.values() if zone.may_fit(need)]
    for zone in sorted(zones, key=lambda zone: zone_sort_key(zone, job)):
        for rack in _racks_in_order(zone, job, need):
            room = _pick_in_rack(rack, need, accepts)
            if room is not None:
                return room
        zone.recompute_bounds()
    return None
