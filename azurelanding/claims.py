"""Decide who may run an operation that must run at most once.

A request with a key is claimed in a stream of the platform's log before it is
sent to a target. Every process folds the stream alike: of all claims of one key
the earliest in the log holds it. A claim is never taken over. Only its owner
frees the key, by a release, and only when no byte was written to a target; so an
owner that was paused between claim and dispatch finds its claim still its own.

A key is forgotten by the same clock and at the same moment from which requests
with it are refused as too old, so no process forgets a key that it would accept.
"""

import collections
import enum
import hashlib
import math
import uuid

import attrs

from azurelanding.requests import RefusalReason

CLAIMS_STREAM = "claims"
CLOCK_TOLERANCE_SECONDS = 5.0
BUCKET_SECONDS = 60.0


@attrs.frozen
class Claim:
    """The wish of ``owner`` to run the operation ``key``.

    ``id`` is that of the request, ``owner`` the incarnation that claims and
    ``address`` where its fellows reach it. ``issued_at`` is the time in seconds
    since the epoch at which the caller made the key.
    """

    key: str
    id: str
    digest: str
    issued_at: float
    owner: str
    address: str


@attrs.frozen
class Release:
    """The word of an owner that the claim ``id`` was never dispatched."""

    key: str
    id: str


@attrs.frozen
class ClaimBatch:
    """All claims and releases that one process had waiting, in one append.

    ``made_at`` is in seconds since the epoch by the author's clock.
    """

    id: str
    author: str
    address: str
    made_at: float
    claims: tuple[Claim, ...] = ()
    releases: tuple[Release, ...] = ()


@attrs.define
class Holding:
    """The claim that holds a key, or held it last when it is ``released``.

    ``spent`` has the ids released before, which a repeated append can't revive.
    """

    claim: Claim
    released: bool = False
    spent: tuple[str, ...] = ()


@attrs.define
class ClaimsState:
    """The claims as folded up to ``next_offset``.

    ``clock`` is the latest time that this process has seen, in seconds since the
    epoch. Claims of keys issued before ``horizon`` may be missing, because the
    log no longer kept them when it was read.
    """

    window: float
    next_offset: int = 1
    clock: float = 0.0
    horizon: float = 0.0
    holdings: dict[str, Holding] = attrs.field(factory=dict)
    buckets: dict[int, list[str]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def holder(self, key):
        """Return the claim that holds ``key``, or ``None``."""
        holding = self.holdings.get(key)
        return None if holding is None or holding.released else holding.claim


class AgeFault(enum.Enum):
    """Why a key can't be taken at its age."""

    EXPIRED = RefusalReason.KEY_EXPIRED
    IN_FUTURE = RefusalReason.KEY_IN_FUTURE


def scoped_key(request):
    """Return the key of ``request`` within its service and team.

    A header holds no line end, so no two requests share a scoped key by chance.
    """
    return f"{request.service}\n{request.team}\n{request.key}"


def request_digest(request):
    """Return a digest of what ``request`` asks for."""
    asked = f"{request.method} {request.path}\n".encode() + request.body
    return hashlib.sha256(asked).hexdigest()[:32]


def issue_time(key, stated):
    """Return when ``key`` was issued, or ``None`` when nothing tells.

    ``stated`` is the caller's word in seconds since the epoch or ``None``. A key
    that is a UUID of version 7 carries its time.

    >>> issue_time("0192f0c1-2a00-7000-8000-000000000000", None)
    1730688395.776
    """
    if stated is not None:
        return stated
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return (value.int >> 80) / 1000.0 if value.version == 7 else None


def advance_clock(state, now):
    """Note the time ``now``; a clock that steps back changes nothing."""
    state.clock = max(state.clock, now)


def check_age(state, issued_at):
    """Return the ``AgeFault`` of a key issued at ``issued_at``, or ``None``."""
    if issued_at > state.clock + CLOCK_TOLERANCE_SECONDS:
        return AgeFault.IN_FUTURE
    if issued_at + state.window <= state.clock or issued_at < state.horizon:
        return AgeFault.EXPIRED
    return None


def raise_horizon(state, made_at):
    """Note that claims appended before ``made_at`` were never read here.

    Their keys were issued at most the clock tolerance later than their author's
    clock said, and that clock was at most the tolerance ahead.
    """
    state.horizon = max(state.horizon, made_at + 2 * CLOCK_TOLERANCE_SECONDS)


def _hold(state, claim):
    """Give the key to ``claim`` when it is free; return whether it was."""
    held = state.holdings.get(claim.key)
    if held is None:
        state.holdings[claim.key] = Holding(claim)
    elif held.released and claim.id not in held.spent:
        state.holdings[claim.key] = Holding(claim, spent=held.spent)
    else:
        return False
    bucket = math.floor(claim.issued_at / BUCKET_SECONDS)
    state.buckets[bucket].append(claim.key)
    return True


def _release(state, release):
    held = state.holdings.get(release.key)
    if held is not None and not held.released and held.claim.id == release.id:
        held.released = True
        held.spent = (*held.spent, release.id)


def fold(state, offset, batch):
    """Fold ``batch`` at ``offset``; return the claims that now hold their keys.

    Releases go first, so that a batch may free a key and claim it again. An
    offset that was folded before changes nothing.
    """
    if offset < state.next_offset:
        return []
    state.next_offset = offset + 1
    for release in batch.releases:
        _release(state, release)
    return [claim for claim in batch.claims if _hold(state, claim)]


def forget_expired(state):
    """Drop the keys that are refused as too old from now on."""
    oldest = state.clock - state.window
    expired = [b for b in state.buckets if (b + 1) * BUCKET_SECONDS <= oldest]
    for bucket in expired:
        for key in state.buckets.pop(bucket):
            held = state.holdings.get(key)
            if held is not None and held.claim.issued_at <= oldest:
                del state.holdings[key]
