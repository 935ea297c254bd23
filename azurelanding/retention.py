"""Decide who writes a snapshot and when, so that trimming never overtakes it."""

SNAPSHOT_RECORDS = 2000
SNAPSHOT_INTERVAL_SECONDS = 600.0
KEPT_FRACTION = 8
MAX_KEPT_SHARES = 4


def writer_rank(state, incarnation, name, live_names):
    """Return the place of this daemon in the order of writers, 0 for the first.

    The holder of the first pool's lease writes. The others follow later, so that
    one of them writes when the holder does not; two snapshots do no harm.
    """
    lease = state.leases.get(min(state.rules.pools, default=""))
    if lease is not None and lease.holder == incarnation:
        return 0
    return 1 + sorted({*live_names, name}).index(name)


def kept_records(first, end):
    """Return how many records the log keeps, or ``None`` before any was trimmed."""
    return end - first if first > 1 else None


def is_due(behind, age, kept, place):
    """Tell whether the daemon at ``place`` must write a snapshot now.

    ``behind`` counts the records since the last snapshot, ``age`` the seconds
    since it was seen, and ``kept`` the records that the log keeps, if it trims.
    """
    shares = 1 + place
    if age >= SNAPSHOT_INTERVAL_SECONDS * shares:
        return True
    limit = SNAPSHOT_RECORDS * shares
    if kept is not None:
        limit = min(limit, kept * min(shares, MAX_KEPT_SHARES) // KEPT_FRACTION)
    return behind >= max(limit, 1)
