"""Data types for a caller's request, its outcome and its answer."""

import enum

import attrs


class Outcome(enum.Enum):
    """Whether a request ran, as far as is known when its reply is sent.

    ``NOT_RUN`` is used only when no byte of the request was written to a target, or
    when the target itself refused it as not run.
    """

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Urgency(enum.Enum):
    """The order in which work starts when capacity does not suffice for all of it."""

    URGENT = "urgent"
    STANDARD = "standard"
    DEFERRABLE = "deferrable"


class RefusalReason(enum.Enum):
    """Why a request was not run. The values are sent to callers, who match them."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    NO_TARGET = "no-target"
    NO_RULES = "no-rules"
    KEY_REQUIRED = "key-required"
    KEY_EXPIRED = "key-expired"
    KEY_IN_FUTURE = "key-in-future"
    KEY_ISSUE_REQUIRED = "key-issue-required"
    KEY_REUSED = "key-reused"
    KEY_TAKEN = "key-taken"
    LOG_UNAVAILABLE = "log-unavailable"
    TARGET_REFUSED = "target-refused"
    RETRIES_SPENT = "retries-spent"
    STOPPING = "stopping"
    CANCELLED = "cancelled"


@attrs.frozen
class Request:
    """A caller's request, completely received and assigned to a service.

    ``deadline`` and ``received_at`` are in seconds of the entry's monotonic
    clock. ``key`` is the caller's ``Idempotency-Key`` or ``None``, and
    ``key_issued_at`` is when the caller says it issued the key, in seconds since
    the epoch, or ``None``.
    """

    id: str
    service: str
    team: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float
    deadline: float
    key: str | None = None
    key_issued_at: float | None = None


@attrs.frozen
class Answer:
    """The complete answer to a request, or the refusal sent in its place.

    ``status`` is the HTTP status. A refusal has a ``reason`` and may have
    ``retry_after`` in seconds. ``target`` is the name of the executor that the
    request reached, if any.
    """

    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    target: str | None = None
    reason: RefusalReason | None = None
    retry_after: float | None = None


REFUSED_STATUS = 503
UNKNOWN_STATUS = 504


def refuse(reason, retry_after, target=None):
    """Return an ``Answer`` for a request that was certainly not run.

    ``retry_after`` is in seconds.
    """
    return Answer(
        Outcome.NOT_RUN,
        REFUSED_STATUS,
        target=target,
        reason=reason,
        retry_after=retry_after,
    )


def unknown(target, reason=None):
    """Return an ``Answer`` for a request that may or may not have run."""
    return Answer(Outcome.UNKNOWN, UNKNOWN_STATUS, target=target, reason=reason)
