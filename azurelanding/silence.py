"""Decide which connections to a target are no longer trusted.

A device on the network path may lose the state of open connections while new ones
work. Only the usual answer times of the service, and whether other connections get
answers, distinguish a connection that was lost this way from a slow target.
"""

import math

import attrs

MIN_OVERDUE_SECONDS = 0.75
OVERDUE_FACTOR = 2.0
LONGEST_TIME_DECAY_FACTOR = 0.99


@attrs.define(eq=False)
class AnswerTimes:
    """The longest recent answer time of each service, in seconds."""

    longest: dict[str, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class TargetTrust:
    """The trust in the existing connections to one target.

    A connection is trusted only if it was verified at ``verified_since`` or later, in
    seconds of the monotonic clock. A complete answer verifies it, and so does its
    opening.
    """

    verified_since: float = -math.inf


def record_answer_time(answer_times, service, seconds):
    """Record that an answer of ``service`` took ``seconds``.

    The longest time decays by ``LONGEST_TIME_DECAY_FACTOR`` with each answer.
    """
    decayed = LONGEST_TIME_DECAY_FACTOR * answer_times.longest.get(service, 0.0)
    answer_times.longest[service] = max(seconds, decayed)


def is_overdue(answer_times, service, wait_seconds):
    """Return whether an answer is overdue after ``wait_seconds``.

    No answer is overdue before the first answer time of its service is known.
    """
    longest = answer_times.longest.get(service)
    return longest is not None and wait_seconds > max(
        MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * longest
    )


def distrust(trust, sent_at):
    """Stop trusting the connections that were not verified since ``sent_at``.

    ``sent_at`` is when a request was sent that got no answer: its connection and
    the other connections of the same age may have been lost together.
    """
    trust.verified_since = max(trust.verified_since, sent_at)


def is_trusted(trust, verified_at, repeatable, max_idle, now):
    """Return whether a connection last verified at ``verified_at`` may get a request.

    A request that is not ``repeatable`` is sent only on a connection verified in the
    last ``max_idle`` seconds.
    """
    if verified_at < trust.verified_since:
        return False
    return repeatable or now - verified_at < max_idle
