"""Decide which control daemon takes or renews the lease of which pool."""

import math
import zlib

import attrs

RENEWALS_PER_LEASE = 3
TAKEOVER_STEP_SECONDS = 0.5
CLOCK_DRIFT_SECONDS = 0.25


@attrs.frozen
class LeaseView:
    """A lease as seen from here.

    ``seen_at`` is the monotonic time in seconds at which its last record, the
    one at offset ``version``, was folded here; clocks of two hosts are never
    compared.
    """

    holder: str
    epoch: int
    version: int
    duration: float
    seen_at: float


def rank(pool, name, controls):
    """Return the place of the control ``name`` in the order for ``pool``.

    The order differs from pool to pool, so that the pools spread over controls.
    """
    ordered = sorted(controls, key=lambda other: zlib.crc32(f"{pool} {other}".encode()))
    return ordered.index(name)


def may_take(view, me, place, now, peer_ended_at=math.inf):
    """Tell whether to take the lease now.

    ``view`` is the ``LeaseView`` of the pool or ``None``, ``place`` the rank of
    this control. A lease of another holder is taken only after it has lapsed by
    the clock of this daemon, later ranks after earlier ones. The drift is what
    the clock of the holder may be slower in one lease. ``peer_ended_at`` is when the
    process of the holder was found to have ended; it relies on no lease any more.
    """
    if view is None:
        return place == 0
    if view.holder == me:
        return False
    lapsed_at = view.seen_at + view.duration + CLOCK_DRIFT_SECONDS
    return now >= min(lapsed_at, peer_ended_at) + place * TAKEOVER_STEP_SECONDS


def must_renew(views, me, now):
    """Tell whether a lease that ``me`` holds has run for its share of its time.

    All leases of one holder are renewed at once, with the oldest.
    """
    return any(
        view.holder == me and now - view.seen_at >= view.duration / RENEWALS_PER_LEASE
        for view in views
    )
