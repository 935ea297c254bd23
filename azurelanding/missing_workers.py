"""Decide when the runs on workers that no entry names are surely over.

Such a worker can't be called, but it may live and hold a lease. Nobody extends that
lease while it has no entry, so it is enough to know since when it is missing.
"""

from azurelanding.utils import MAX_CLOCK_SKEW_SECONDS
from azurelanding.worker_link import TAKEOVER_SLACK_SECONDS

LEASE_FACTOR = 1.05
"""A full lease on a worker whose clock is slow, and the slack for it."""


def find_runs(ledger, pool, links, registered):
    """Return the runs of a pool by worker that has neither a link nor an entry."""
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


def is_expired(missing_since, taken_over_at, lease, now, wall):
    """Tell whether the lease of a missing worker is over.

    ``missing_since`` is what the store says, in seconds since the epoch, ``None`` if
    nothing yet; ``taken_over_at`` is when this controller began without a link to it,
    in ``boot_time`` like ``now``.
    """
    wait = TAKEOVER_SLACK_SECONDS + lease * LEASE_FACTOR
    if now > taken_over_at + wait:
        return True
    return missing_since is not None and wall > (
        missing_since + wait + MAX_CLOCK_SKEW_SECONDS
    )
