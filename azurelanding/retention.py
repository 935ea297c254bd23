"""Decide who writes a snapshot and when.

The log trims old records, so a snapshot must be written before the records after
the last one are trimmed.
"""

SNAPSHOT_INTERVAL_RECORDS = 2000
SNAPSHOT_INTERVAL_SECONDS = 600.0
RETAINED_DIVISOR = 8
MAX_RETAINED_MULTIPLE = 4


def writer_rank(state, incarnation, name, live_names):
    """Return the rank of this daemon in the order of writers, 0 for the first.

    The holder of the first pool's lease comes first. The other daemons are due
    later, so that one of them writes when the holder doesn't. Two snapshots
    written at the same time do no harm.
    """
    lease = state.leases.get(min(state.rules.pools, default=""))
    if lease is not None and lease.holder == incarnation:
        return 0
    return 1 + sorted({*live_names, name}).index(name)


def retained_records(first, end):
    """Return how many records the log retains, or ``None`` if none was trimmed yet."""
    return end - first if first > 1 else None


def is_due(behind, age, retained, rank):
    """Return whether the daemon with writer rank ``rank`` must write a snapshot now.

    ``behind`` is the number of records since the last snapshot, ``age`` the seconds
    since that snapshot was seen, and ``retained`` the number of records that the log
    retains, or ``None`` if it never trimmed any.

    The limits are multiplied by 1 + ``rank``. With trimming, the first writer is
    due after 1/8 of the retained records, and any writer after 4/8 of them.
    """
    multiple = 1 + rank
    if age >= SNAPSHOT_INTERVAL_SECONDS * multiple:
        return True
    limit = SNAPSHOT_INTERVAL_RECORDS * multiple
    if retained is not None:
        limit = min(
            limit, retained * min(multiple, MAX_RETAINED_MULTIPLE) // RETAINED_DIVISOR
        )
    return behind >= max(limit, 1)
