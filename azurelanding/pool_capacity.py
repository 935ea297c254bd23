"""Keep the rooms of a pool in step with its workers and their tasks.

Besides what is free, two further levels tell what would be free if tasks of
lower urgency made room. Only workers that changed are worked out again.
"""

import attrs

from azurelanding import preemption, quarantine, sizing
from azurelanding.free_capacity import CapacityIndex, IndexedWorker
from azurelanding.requests import Urgency
from azurelanding.rules import JobRule
from azurelanding.tasks import Resources


@attrs.frozen
class WorkerView:
    """A worker as the controller knows it now.

    ``open`` tells whether it may get new tasks: its host serves, is on the list
    and was heard of lately. ``observed`` holds the peaks that were reported of
    its tasks, ``limits`` the cores that throttled tasks are held to, ``since``
    when each was first seen running, in seconds since the epoch.
    """

    name: str
    zone: str
    rack: str
    total: Resources
    incarnation: str = ""
    open: bool = True
    observed: dict[str, Resources] = attrs.field(factory=dict)
    limits: dict[str, float] = attrs.field(factory=dict)
    draining: bool = False
    since: dict[str, float] = attrs.field(factory=dict, eq=False)


def task_usage(state, view):
    """Return what a placed task takes, by its intent or by what it was seen using."""
    need, seen = state.placement.need, view.observed.get(state.task.id)
    cores, memory = need.cores, need.memory
    if seen is not None:
        cores, memory = max(cores, seen.cores), max(memory, seen.memory)
    cores = min(cores, view.limits.get(state.task.id, cores))
    return Resources(cores, memory, need.accelerators)


def _keep(names, name, wanted):
    if wanted:
        names.add(name)
    else:
        names.discard(name)


def find_rule(rule_set, state):
    """Return the ``JobRule`` of a task, a plain one if it is no longer declared."""
    rule = rule_set.jobs.get(state.task.job)
    return rule or JobRule(state.task.job, pool="", repeat=state.task.repeat)


def estimate_job(tasks, rule):
    """Return the corrected ``sizing.Estimate`` of the job ``rule``."""
    declared = Resources(rule.cores, rule.memory, rule.accelerators)
    return sizing.estimate(tasks.sizes[rule.name], declared, rule.run_time)


class PoolCapacity:
    """The rooms of one pool at each level.

    ``dirty`` names the workers that changed, ``limited`` those with a throttled
    task, ``draining`` those whose hosts are about to stop.
    """

    def __init__(self):
        self.levels = {
            None: CapacityIndex(),
            Urgency.DEFERRABLE: CapacityIndex(),
            Urgency.STANDARD: CapacityIndex(),
        }
        self.views = {}
        self.dirty = set()
        self.limited = set()
        self.draining = set()
        self.largest_need = None

    @property
    def free(self):
        """Return the rooms by what is free now."""
        return self.levels[None]

    def update_worker(self, view):
        """Take over what is known of a worker."""
        old = self.views.get(view.name)
        if old != view:
            self.dirty.add(view.name)
        if old is None or old.total != view.total:
            self.largest_need = None
        self.views[view.name] = view
        _keep(self.limited, view.name, view.limits)
        _keep(self.draining, view.name, view.draining)

    def remove_worker(self, name):
        """Forget a worker."""
        if self.views.pop(name, None) is not None:
            self.dirty.add(name)
            self.largest_need = None
            self.limited.discard(name)
            self.draining.discard(name)

    def taken(self, state):
        """Return what a placed task takes of its worker."""
        return task_usage(state, self.views[state.placement.worker])

    def allocate(self, name, job, need):
        """Take ``need`` on the worker ``name`` until it is worked out again."""
        for rooms in self.levels.values():
            rooms.allocate(rooms.rooms[name], job, need)
        self.dirty.add(name)

    def reserve(self, name, job, need):
        """Count ``need`` as taken on a worker until ``release_reserved`` or the next pass."""
        for rooms in self.levels.values():
            if name in rooms.rooms:
                rooms.allocate(rooms.rooms[name], job, need)
        self.dirty.add(name)

    def release_reserved(self, name, job, need):
        """Undo ``reserve``."""
        for rooms in self.levels.values():
            if name in rooms.rooms:
                rooms.deallocate(rooms.rooms[name], job, need)

    def largest(self):
        """Return the most that one worker has in all, cached until one changes."""
        if self.largest_need is None:
            totals = [view.total for view in self.views.values()]
            self.largest_need = Resources(
                max((total.cores for total in totals), default=0.0),
                max((total.memory for total in totals), default=0),
                max((total.accelerators for total in totals), default=0),
            )
        return self.largest_need

    def refresh(self, tasks, rule_set, now):
        """Work out the rooms of the workers that changed."""
        self.dirty |= tasks.changed_workers
        tasks.changed_workers.clear()
        closed = quarantine.closed_workers(tasks.health, len(self.views), now)
        for name in self.dirty | (tasks.health.suspects & self.views.keys()):
            self._refresh_worker(tasks, rule_set, name, closed, now)
        self.dirty.clear()

    def _refresh_worker(self, tasks, rule_set, name, closed, now):
        for rooms in self.levels.values():
            if name in rooms.rooms:
                rooms.remove(name)
        view = self.views.get(name)
        if view is None:
            return
        states = tasks.on_worker.get(name, {}).values()
        allowance = quarantine.allowance(tasks.health, name, closed, now)
        slots = _slots(view, allowance, len(states))
        for level, rooms in self.levels.items():
            room = _make_room(view, states, rule_set, level)
            room.slots, room.trial = slots, allowance.trial
            room.proven_jobs = allowance.proven_jobs and len(self.views) > 1
            rooms.add(room)


def _slots(view, allowance, count):
    if not view.open:
        return 0
    return None if allowance.tasks is None else max(0, allowance.tasks - count)


def _make_room(view, states, rule_set, level):
    total = view.total
    room = IndexedWorker(view.name, view.zone, view.rack, total)
    room.cores, room.memory = total.cores, total.memory
    room.accelerators = total.accelerators
    for state in states:
        taken = task_usage(state, view)
        rule = find_rule(rule_set, state)
        back = preemption.freed_by_preemption(rule, taken, level)
        room.cores -= taken.cores - back.cores
        room.memory -= taken.memory - back.memory
        room.accelerators -= taken.accelerators - back.accelerators
        room.jobs[state.task.job] += 1
    return room
