"""Decide when the runs on workers without a registry entry are certainly over.

Such a worker can't be called, but it may still be up with a valid lease. Its controller
doesn't extend that lease while the entry is missing, so the time since when it is
missing shows whether the lease has expired, unless an earlier controller that is cut
off may still extend it.
"""

from azurelanding.lease_permission import MAX_REPORT_AGE_SECONDS
from azurelanding.utils import MAX_CLOCK_SKEW_SECONDS

LEASE_FACTOR = 1.05
"""Stretches a lease by the drift of a worker's slow clock, with some slack."""


def runs_by_missing_worker(ledger, pool, links, registered):
    """Return the runs of a pool on workers with neither link nor entry, by worker."""
    found = {}
    for worker in ledger.placed.keys() - links.keys() - registered.keys():
        runs = [
            (task, run)
            for task, run in ledger.placed[worker]
            if ledger.active[task.job].job.pool == pool
        ]
        if runs:
            found[worker] = runs
    return found


def is_lease_expired(missing_since, extensions_end_at, lease, now, wall_time):
    """Return whether the lease of a missing worker has expired.

    ``missing_since`` is the stored time, in seconds since the epoch like ``wall_time``,
    or ``None`` if none is stored yet. ``extensions_end_at`` is that of the controller's
    ``LeaseSuccession``, in ``boot_time`` like ``now``; it has no link to the worker.
    """
    lease_wait = lease * LEASE_FACTOR
    if now > extensions_end_at + lease_wait:
        return True
    return missing_since is not None and wall_time > (
        missing_since + MAX_REPORT_AGE_SECONDS + lease_wait + MAX_CLOCK_SKEW_SECONDS
    )
