"""Decide when a control daemon takes or renews the lease of a pool."""

import math
import zlib

import attrs

RENEWALS_PER_LEASE = 3
TAKEOVER_DELAY_PER_RANK_SECONDS = 0.5
MAX_CLOCK_DRIFT_SECONDS = 0.25


@attrs.frozen
class LeaseView:
    """A lease as this daemon sees it.

    ``version`` is the offset of the last record of the lease, and ``seen_at`` the
    monotonic time in seconds at which this daemon folded that record. Times of
    two hosts are never compared, because their clocks may differ.
    """

    holder: str
    epoch: int
    version: int
    duration: float
    seen_at: float


def takeover_rank(pool, name, control_names):
    """Return the position of the daemon ``name`` in the takeover order of ``pool``.

    The order differs between pools, so that the pools spread over the control daemons.
    """
    ordered = sorted(
        control_names, key=lambda other: zlib.crc32(f"{pool} {other}".encode())
    )
    return ordered.index(name)


def may_take(view, incarnation, rank, now, holder_ended_at=math.inf):
    """Return whether the control daemon ``incarnation`` may take the lease now.

    ``view`` is the ``LeaseView`` of the pool or ``None``, ``rank`` the takeover
    rank of this daemon. The lease of another holder may be taken only after it
    has expired by the clock of this daemon, and a higher rank waits longer.
    ``MAX_CLOCK_DRIFT_SECONDS`` covers a holder whose clock runs slower, over one
    lease. ``holder_ended_at`` is the time at which the holder's process was found
    to have ended; from then on it relies on no lease.
    """
    if view is None:
        return rank == 0
    if view.holder == incarnation:
        return False
    expires_at = view.seen_at + view.duration + MAX_CLOCK_DRIFT_SECONDS
    return (
        now >= min(expires_at, holder_ended_at) + rank * TAKEOVER_DELAY_PER_RANK_SECONDS
    )


def must_renew(views, incarnation, now):
    """Return whether ``incarnation`` must renew its leases now.

    One record renews all leases of a holder. It is due when the oldest of them has
    run for 1 / ``RENEWALS_PER_LEASE`` of its duration.
    """
    return any(
        view.holder == incarnation
        and now - view.seen_at >= view.duration / RENEWALS_PER_LEASE
        for view in views
    )
