"""Track the free capacity of a pool's workers as workers and tasks change.

Besides the capacity that is free now, two more levels hold what would be free
after tasks of lower urgency were preempted. Only workers that changed are
recomputed.
"""

import attrs

from azurelanding import preemption, quarantine, sizing
from azurelanding.free_capacity import CapacityIndex, IndexedWorker
from azurelanding.requests import Urgency
from azurelanding.rules import JobRule
from azurelanding.tasks import Resources


@attrs.frozen
class WorkerView:
    """The current state of a worker, as its controller knows it.

    ``open`` is whether it may get new tasks: its host is serving, on the host list
    and in contact. ``observed`` holds the reported peak use of its tasks,
    ``limits`` the cores to which tasks are throttled, and ``since`` when each task
    was first seen running, in seconds since the epoch.
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
    """Return what a placed task uses: its need, or its observed use if higher.

    A throttled task counts with its limit of cores.
    """
    need, seen = state.placement.need, view.observed.get(state.task.id)
    cores, memory = need.cores, need.memory
    if seen is not None:
        cores, memory = max(cores, seen.cores), max(memory, seen.memory)
    cores = min(cores, view.limits.get(state.task.id, cores))
    return Resources(cores, memory, need.accelerators)


def _set_member(names, name, is_member):
    if is_member:
        names.add(name)
    else:
        names.discard(name)


def find_rule(rule_set, state):
    """Return the ``JobRule`` of a task, a default one if its job was removed."""
    rule = rule_set.jobs.get(state.task.job)
    return rule or JobRule(state.task.job, pool="", repeat=state.task.repeat)


def estimate_job(tasks, rule):
    """Return the ``sizing.Estimate`` of a job, from its rule and observed sizes."""
    declared = Resources(rule.cores, rule.memory, rule.accelerators)
    return sizing.estimate(tasks.sizes[rule.name], declared, rule.run_time)


class PoolCapacity:
    """The free capacity of one pool, now and at each preemption level.

    ``dirty`` names the workers to recompute, ``throttled`` those with a throttled
    task, and ``draining`` those whose hosts are draining or leaving. ``levels`` maps
    each preemption level to its ``CapacityIndex``, ``None`` to that without
    preemption. ``largest_total`` caches ``largest``.
    """

    def __init__(self):
        self.levels = {
            None: CapacityIndex(),
            Urgency.DEFERRABLE: CapacityIndex(),
            Urgency.STANDARD: CapacityIndex(),
        }
        self.views = {}
        self.dirty = set()
        self.throttled = set()
        self.draining = set()
        self.largest_total = None

    @property
    def free(self):
        """Return the capacity that is free without preemption."""
        return self.levels[None]

    def update_worker(self, view):
        """Add a worker or replace its view."""
        old = self.views.get(view.name)
        if old != view:
            self.dirty.add(view.name)
        if old is None or old.total != view.total:
            self.largest_total = None
        self.views[view.name] = view
        _set_member(self.throttled, view.name, view.limits)
        _set_member(self.draining, view.name, view.draining)

    def remove_worker(self, name):
        """Remove a worker."""
        if self.views.pop(name, None) is not None:
            self.dirty.add(name)
            self.largest_total = None
            self.throttled.discard(name)
            self.draining.discard(name)

    def usage_of(self, state):
        """Return what a placed task uses on its worker."""
        return task_usage(state, self.views[state.placement.worker])

    def allocate(self, name, job, need):
        """Allocate ``need`` on the worker ``name`` until it is recomputed."""
        for index in self.levels.values():
            index.allocate(index.workers[name], job, need)
        self.dirty.add(name)

    def reserve(self, name, job, need):
        """Count ``need`` as used until ``release_reserved`` or the next pass."""
        for index in self.levels.values():
            if name in index.workers:
                index.allocate(index.workers[name], job, need)
        self.dirty.add(name)

    def release_reserved(self, name, job, need):
        """Undo ``reserve``."""
        for index in self.levels.values():
            if name in index.workers:
                index.deallocate(index.workers[name], job, need)

    def largest(self):
        """Return the most of each resource that any one worker has in total.

        The result is cached until the total of a worker changes.
        """
        if self.largest_total is None:
            totals = [view.total for view in self.views.values()]
            self.largest_total = Resources(
                max((total.cores for total in totals), default=0.0),
                max((total.memory for total in totals), default=0),
                max((total.accelerators for total in totals), default=0),
            )
        return self.largest_total

    def refresh(self, tasks, rule_set, now):
        """Recompute the workers that changed and those with recent failures."""
        self.dirty |= tasks.changed_workers
        tasks.changed_workers.clear()
        excluded = quarantine.excluded_workers(tasks.health, len(self.views), now)
        for name in self.dirty | (tasks.health.suspects & self.views.keys()):
            self._refresh_worker(tasks, rule_set, name, excluded, now)
        self.dirty.clear()

    def _refresh_worker(self, tasks, rule_set, name, excluded, now):
        for index in self.levels.values():
            if name in index.workers:
                index.remove(name)
        view = self.views.get(name)
        if view is None:
            return
        states = tasks.on_worker.get(name, {}).values()
        allowance = quarantine.allowance(tasks.health, name, excluded, now)
        free_slots = _free_slots(view, allowance, len(states))
        for level, index in self.levels.items():
            worker = _worker_capacity(view, states, rule_set, level)
            worker.slots, worker.on_trial = free_slots, allowance.on_trial
            worker.proven_jobs_only = allowance.proven_jobs_only and len(self.views) > 1
            index.add(worker)


def _free_slots(view, allowance, count):
    if not view.open:
        return 0
    return None if allowance.max_tasks is None else max(0, allowance.max_tasks - count)


def _worker_capacity(view, states, rule_set, level):
    total = view.total
    worker = IndexedWorker(view.name, view.zone, view.rack, total)
    worker.cores, worker.memory = total.cores, total.memory
    worker.accelerators = total.accelerators
    for state in states:
        used = task_usage(state, view)
        rule = find_rule(rule_set, state)
        freed = preemption.freed_by_preemption(rule, used, level)
        worker.cores -= used.cores - freed.cores
        worker.memory -= used.memory - freed.memory
        worker.accelerators -= used.accelerators - freed.accelerators
        worker.jobs[state.task.job] += 1
    return worker
