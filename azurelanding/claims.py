"""Decide which process may run an operation that must run at most once.

A request with a key is claimed in a stream of the platform's log before it is sent
to a target. All processes fold the stream in the same way: the earliest claim of a
key in the log holds it. A claim is never taken over. Only its owner frees the key,
by a release, and only when no byte was written to a target. An owner that was
paused between claim and dispatch therefore still holds its claim.

A process drops a key and refuses requests with it as too old from the same moment
of the same clock, so it never forgets a key that it would still accept.
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
    """A request by ``owner`` to run the operation ``key``.

    ``id`` is the request id, ``digest`` identifies the operation, ``owner`` is the
    incarnation that claims and ``address`` where its peers reach it. ``issued_at``
    is when the caller issued the key, in seconds since the epoch.
    """

    key: str
    id: str
    digest: str
    issued_at: float
    owner: str
    address: str


@attrs.frozen
class Release:
    """An owner's statement that nothing of the claim ``id`` was sent to a target."""

    key: str
    id: str


@attrs.frozen
class ClaimBatch:
    """The claims and releases that one process writes in one append.

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

    ``released_ids`` lists the ids of released claims. A repeated append of such a claim
    must not hold the key again.
    """

    claim: Claim
    released: bool = False
    released_ids: tuple[str, ...] = ()


@attrs.define
class ClaimsState:
    """The claims folded from all records before ``next_offset``.

    ``window`` is how many seconds after its issue a key is accepted. ``clock`` is
    the latest time that this process has seen, in seconds since the epoch. Claims
    of keys issued before ``horizon`` may be missing, because they were trimmed from
    the log before it was read. ``buckets`` groups the keys by issue time for expiry.
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


class AgeRefusal(enum.Enum):
    """Why a key is refused because of its issue time."""

    EXPIRED = RefusalReason.KEY_EXPIRED
    IN_FUTURE = RefusalReason.KEY_IN_FUTURE


def scoped_key(request):
    """Return the key of ``request`` qualified by its service and team.

    Header values can't contain a line feed, so it is an unambiguous separator.
    """
    return f"{request.service}\n{request.team}\n{request.key}"


def request_digest(request):
    """Return a digest of the method, path and body of ``request``."""
    asked = f"{request.method} {request.path}\n".encode() + request.body
    return hashlib.sha256(asked).hexdigest()[:32]


def issue_time(key, stated_time):
    """Return when ``key`` was issued in seconds since the epoch, or ``None``.

    ``stated_time`` is the issue time that the caller gave, or ``None``. Without it the
    time is taken from a key that is a UUID of version 7.

    >>> issue_time("0192f0c1-2a00-7000-8000-000000000000", None)
    1730616044.032
    """
    if stated_time is not None:
        return stated_time
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    return (value.int >> 80) / 1000.0 if value.version == 7 else None


def advance_clock(state, now):
    """Advance the state's clock to ``now``; it never moves backwards."""
    state.clock = max(state.clock, now)


def check_age(state, issued_at):
    """Return why a key issued at ``issued_at`` is refused for its age, or ``None``."""
    if issued_at > state.clock + CLOCK_TOLERANCE_SECONDS:
        return AgeRefusal.IN_FUTURE
    if issued_at + state.window <= state.clock or issued_at < state.horizon:
        return AgeRefusal.EXPIRED
    return None


def raise_horizon(state, made_at):
    """Raise the horizon because claims appended before ``made_at`` were never read.

    A key may be issued up to one clock tolerance after the time on its author's
    clock, and that clock may be up to one tolerance ahead, hence twice the
    tolerance.
    """
    state.horizon = max(state.horizon, made_at + 2 * CLOCK_TOLERANCE_SECONDS)


def _try_hold(state, claim):
    """Let ``claim`` hold its key if the key is free; return whether it now does."""
    held = state.holdings.get(claim.key)
    if held is None:
        state.holdings[claim.key] = Holding(claim)
    elif held.released and claim.id not in held.released_ids:
        state.holdings[claim.key] = Holding(claim, released_ids=held.released_ids)
    else:
        return False
    bucket = math.floor(claim.issued_at / BUCKET_SECONDS)
    state.buckets[bucket].append(claim.key)
    return True


def _release(state, release):
    held = state.holdings.get(release.key)
    if held is not None and not held.released and held.claim.id == release.id:
        held.released = True
        held.released_ids = (*held.released_ids, release.id)


def fold(state, offset, batch):
    """Fold ``batch`` at ``offset``; return the claims that now hold their keys.

    Releases are applied first, so that a batch may free a key and claim it again.
    An offset that was folded before changes nothing.
    """
    if offset < state.next_offset:
        return []
    state.next_offset = offset + 1
    for release in batch.releases:
        _release(state, release)
    return [claim for claim in batch.claims if _try_hold(state, claim)]


def forget_expired(state):
    """Drop the keys that are now refused as too old."""
    oldest = state.clock - state.window
    expired = [
        bucket for bucket in state.buckets if (bucket + 1) * BUCKET_SECONDS <= oldest
    ]
    for bucket in expired:
        for key in state.buckets.pop(bucket):
            held = state.holdings.get(key)
            if held is not None and held.claim.issued_at <= oldest:
                del state.holdings[key]
