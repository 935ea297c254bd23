"""Reckon what the workers of a pool have left for further tasks."""

from azurelanding.fleet_workers import WorkerPhase
from azurelanding.job_placement import WorkerCapacity
from azurelanding.utils import boot_time


def is_usable(link, registered, cordoned, healths):
    """Tell whether a worker gets starts now.

    ``cordoned`` holds the workers that are to be emptied.
    """
    entry, now = link.entry, boot_time()
    return (
        entry.id in registered
        and entry.phase is WorkerPhase.READY
        and entry.id not in cordoned
        and link.is_sure
        and not (link.is_gone or link.is_silent)
        and now >= link.paused_until
        and not healths.is_suspended(entry.id, now)
    )


def _empty_room(entry, healths):
    rack = next((label for label in entry.labels if "-" in label), "")
    return WorkerCapacity(
        entry.id,
        entry.room.cores,
        entry.room.memory,
        entry.room.accelerators,
        entry.room,
        rack,
        frozenset(entry.labels),
        healths.penalty(entry.id) + entry.warmup_seconds,
    )


def usable_rooms(links, cordoned, healths, draft):
    """Return the ``WorkerCapacity``s of the usable workers, less what runs there.

    ``links`` are the ``PoolLinks`` and ``draft`` the jobs as they are to be.
    """
    rooms = {
        link.entry.id: _empty_room(link.entry, healths)
        for link in links.links.values()
        if is_usable(link, links.registered, cordoned, healths)
    }
    for state in draft.jobs():
        for task_id, task in state.tasks.items():
            for worker in task.active.values():
                if worker in rooms:
                    key = (state.job.id, task_id.occurrence, task_id.step)
                    rooms[worker].take(state.job.steps[task_id.step], key)
    return rooms
