"""Index the free capacity of workers, so that placing a task stays cheap.

Workers are grouped by availability zone and rack. Each rack keeps an upper bound
of what one of its workers has free, and each zone one for its racks, so a search
skips the zones and racks in which the task can't fit. The tests compare its choice
with that of a search of every worker.
"""

import bisect
import collections
import itertools

import attrs

from azurelanding.tasks import Resources

CORES_TOLERANCE = 1e-9


@attrs.define(eq=False)
class IndexedWorker:
    """The total and free resources of one worker, and its tasks by job.

    ``slots`` is how many more tasks it may get, ``None`` if there is no limit. With
    ``on_trial`` it gets only tasks that are not urgent and may be repeated, with
    ``proven_jobs_only`` only tasks of jobs that have run on another worker.
    """

    name: str
    zone: str
    rack: str
    total: Resources
    cores: float = 0.0
    memory: int = 0
    accelerators: int = 0
    slots: int | None = 0
    on_trial: bool = False
    proven_jobs_only: bool = False
    jobs: collections.Counter = attrs.field(factory=collections.Counter)

    def fits(self, need):
        """Return whether a task that needs ``need`` fits on the worker now."""
        return (
            need.cores <= self.cores + CORES_TOLERANCE
            and need.memory <= self.memory
            and need.accelerators <= self.accelerators
            and self.slots != 0
        )


@attrs.define(eq=False)
class Group:
    """A rack or a zone: bounds of the free resources per member, and task counts.

    ``members`` are the workers of a rack or the racks of a zone. The bounds may be
    too high, never too low. ``order`` holds the sorted ``rack_order_key`` of each rack
    of a zone.
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
        """Return whether ``need`` is within the bounds, so that a member may fit."""
        return (
            need.cores <= self.cores + CORES_TOLERANCE
            and need.memory <= self.memory
            and need.accelerators <= self.accelerators
        )

    def recompute_bounds(self):
        """Recompute the bounds from what the members have free."""
        cores, memory, accelerators = 0.0, 0, 0
        for member in self.members.values():
            if getattr(member, "slots", None) == 0:
                continue
            cores = max(cores, member.cores)
            memory = max(memory, member.memory)
            accelerators = max(accelerators, member.accelerators)
        self.cores, self.memory, self.accelerators = cores, memory, accelerators

    def raise_bounds(self, member):
        """Raise the bounds to what ``member`` has free, if that is more."""
        self.cores = max(self.cores, member.cores)
        self.memory = max(self.memory, member.memory)
        self.accelerators = max(self.accelerators, member.accelerators)


def rack_order_key(rack):
    """Return the sort key of a rack in ``order`` of its zone."""
    return bool(rack.accelerators), rack.tasks, rack.name


def _reorder(zone, rack, old_key):
    """Replace ``old_key`` of a rack in the order of its zone by its current key."""
    key = rack_order_key(rack)
    if key != old_key:
        del zone.order[bisect.bisect_left(zone.order, old_key)]
        bisect.insort(zone.order, key)


class CapacityIndex:
    """The free capacity of a pool's workers, grouped by zone and rack."""

    def __init__(self):
        self.workers = {}
        self.zones = {}

    def add(self, worker):
        """Add a worker; its name must not be in the index."""
        zone = self.zones.setdefault(worker.zone, Group(worker.zone))
        rack = zone.members.get(worker.rack)
        if rack is None:
            rack = zone.members[worker.rack] = Group(worker.rack)
            bisect.insort(zone.order, rack_order_key(rack))
        rack.members[worker.name] = worker
        self.workers[worker.name] = worker
        self._add_job_counts(worker, worker.jobs, 1)
        self.update(worker)

    def remove(self, name):
        """Remove the worker ``name``."""
        worker = self.workers.pop(name)
        zone = self.zones[worker.zone]
        rack = zone.members[worker.rack]
        del rack.members[name]
        self._add_job_counts(worker, worker.jobs, -1)
        old_key = rack_order_key(rack)
        rack.recompute_bounds()
        _reorder(zone, rack, old_key)
        if not rack.members:
            del zone.members[worker.rack]
            zone.order.remove(rack_order_key(rack))
        if not zone.members:
            del self.zones[worker.zone]

    def _add_job_counts(self, worker, jobs, sign):
        zone = self.zones[worker.zone]
        rack = zone.members[worker.rack]
        old_key = rack_order_key(rack)
        for group in (zone, rack):
            for job, count in jobs.items():
                group.jobs[job] += sign * count
                group.tasks += sign * count
                if not group.jobs[job]:
                    del group.jobs[job]
        _reorder(zone, rack, old_key)

    def update(self, worker):
        """Update the bounds after the free resources of ``worker`` have changed."""
        zone = self.zones[worker.zone]
        rack = zone.members[worker.rack]
        old_key = rack_order_key(rack)
        rack.recompute_bounds()
        _reorder(zone, rack, old_key)
        zone.raise_bounds(rack)

    def count(self, worker, job, number):
        """Count ``number`` more tasks of ``job`` on ``worker``."""
        worker.jobs[job] += number
        if not worker.jobs[job]:
            del worker.jobs[job]
        self._add_job_counts(worker, {job: number}, 1)

    def allocate(self, worker, job, need):
        """Allocate ``need`` on ``worker`` for a task of ``job``."""
        worker.cores -= need.cores
        worker.memory -= need.memory
        worker.accelerators -= need.accelerators
        if worker.slots is not None:
            worker.slots -= 1
        self.count(worker, job, 1)
        self.update(worker)

    def deallocate(self, worker, job, need):
        """Undo ``allocate``."""
        worker.cores += need.cores
        worker.memory += need.memory
        worker.accelerators += need.accelerators
        if worker.slots is not None:
            worker.slots += 1
        self.count(worker, job, -1)
        self.update(worker)


def zone_sort_key(zone, job):
    """Return the sort key of a zone: fewest tasks of the job, then fewest tasks."""
    return zone.jobs.get(job, 0), zone.tasks, zone.name


def rack_sort_key(rack, job, need):
    """Return the sort key of a rack: no accelerators wasted, then as for a zone."""
    wasted = bool(rack.accelerators) and not need.accelerators
    return wasted, rack.jobs.get(job, 0), rack.tasks, rack.name


def worker_sort_key(worker, need):
    """Return the sort key of a worker: no accelerators wasted, then best fit."""
    wasted = worker.accelerators if not need.accelerators else 0
    return wasted, worker.cores - need.cores, worker.memory - need.memory, worker.name


def _pick_in_rack(rack, need, accepts):
    fitting = [w for w in rack.members.values() if w.fits(need) and accepts(w)]
    return min(fitting, key=lambda worker: worker_sort_key(worker, need), default=None)


def _racks_in_order(zone, job, need):
    """Yield the racks that may fit, in the order of ``rack_sort_key``.

    The order of the zone differs from ``rack_sort_key`` only in that it ignores the
    number of tasks of the job. So racks without accelerators come first, then
    those with them; in both, racks without tasks of the job are yielded in the
    order of the zone, and the others are sorted and follow.
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


def find_best_worker(index, job, need, accepts):
    """Return the best worker for a task of ``job``, or ``None`` if none fits.

    ``accepts(worker)`` returns whether the task may run on the worker at all.
    """
    zones = [zone for zone in index.zones.values() if zone.may_fit(need)]
    for zone in sorted(zones, key=lambda zone: zone_sort_key(zone, job)):
        for rack in _racks_in_order(zone, job, need):
            worker = _pick_in_rack(rack, need, accepts)
            if worker is not None:
                return worker
        zone.recompute_bounds()
    return None
