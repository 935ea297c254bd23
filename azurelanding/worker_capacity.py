"""Compute the free capacity of a pool's workers."""

from azurelanding.fleet_workers import WorkerPhase
from azurelanding.job_placement import WorkerCapacity
from azurelanding.utils import boot_time


def is_usable(link, registered, excluded, worker_failures):
    """Return whether tasks may be placed on a worker now.

    Workers in ``excluded`` get no starts, as they are being drained.
    """
    entry, now = link.entry, boot_time()
    return (
        entry.id in registered
        and entry.phase is WorkerPhase.READY
        and entry.id not in excluded
        and link.has_answered
        and not (link.has_ended or link.is_silent)
        and now >= link.no_starts_until
        and not link.has_slow_starts(now)
        and not worker_failures.is_suspended(entry.id, now)
    )


def _idle_capacity(entry, worker_failures):
    """Return the free capacity of a worker on which no tasks are placed."""
    # The rack is the label with a hyphen, such as "r1-3".
    rack = next((label for label in entry.labels if "-" in label), "")
    return WorkerCapacity(
        entry.id,
        entry.resources.cores,
        entry.resources.memory,
        entry.resources.accelerators,
        entry.resources,
        rack,
        frozenset(entry.labels),
        worker_failures.penalty(entry.id) + entry.warmup_seconds,
    )


def free_capacity_by_worker(links, excluded, worker_failures, draft):
    """Return the ``WorkerCapacity``s of usable workers, less the tasks placed there.

    ``links`` are the ``PoolLinks``, and ``draft`` holds the jobs with the changes of
    the decision being made.
    """
    free = {
        link.entry.id: _idle_capacity(link.entry, worker_failures)
        for link in links.links.values()
        if is_usable(link, links.registered, excluded, worker_failures)
    }
    for state in draft.jobs():
        for task_id, task in state.tasks.items():
            for worker in task.active.values():
                if worker in free:
                    key = (state.job.id, task_id.occurrence, task_id.step)
                    free[worker].allocate(state.job.steps[task_id.step], key)
    return free
