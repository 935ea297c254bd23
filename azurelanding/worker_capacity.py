"""Compute the free capacity of a pool's workers."""

import functools

from azurelanding.fleet_workers import WorkerPhase
from azurelanding.job_placement import WorkerCapacity
from azurelanding.utils import boot_time

MAX_LABEL_SETS = 4096
"""Number of different label sets of workers that are kept: one a rack, and some."""


def is_usable(link, registered, excluded, worker_failures):
    """Return whether tasks may be placed on a worker now.

    Workers in ``excluded`` get no starts, as they are being drained. One whose lease is
    over would end them at once.
    """
    entry, now = link.entry, boot_time()
    return (
        entry.id in registered
        and entry.phase is WorkerPhase.READY
        and entry.id not in excluded
        and link.has_answered
        and not (link.has_ended or link.is_silent or link.is_lease_over(now))
        and now >= link.no_starts_until
        and not link.has_slow_starts(now)
        and not worker_failures.is_suspended(entry.id, now)
    )


@functools.lru_cache(maxsize=MAX_LABEL_SETS)
def _rack_and_labels(labels):
    # The rack is the label with a hyphen, such as "r1-3".
    return next((label for label in labels if "-" in label), ""), frozenset(labels)


def _free_capacity(entry, penalty, usage):
    """Return the free capacity of a worker, less the ``usage`` of the runs there."""
    total = entry.resources
    rack, labels = _rack_and_labels(entry.labels)
    return WorkerCapacity(
        entry.id,
        total.cores - usage.cores,
        total.memory - usage.memory,
        total.accelerators - usage.accelerators,
        total,
        rack,
        labels,
        penalty + entry.warmup_seconds,
        dict(usage.steps),
        usage.fillers,
        usage.serving,
    )


def free_capacity_by_worker(links, excluded, worker_failures, draft):
    """Return the ``WorkerCapacity``s of usable workers, less the tasks placed there.

    ``links`` are the ``PoolLinks``, and ``draft`` holds the jobs with the changes of
    the decision being made.
    """
    return {
        worker: _free_capacity(
            link.entry, worker_failures.penalty(worker), draft.usage(worker)
        )
        for worker, link in links.links.items()
        if is_usable(link, links.registered, excluded, worker_failures)
    }
