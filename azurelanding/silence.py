"""Decide which connections to a target are no longer trusted.

Something between the two ends may lose track of open connections while new ones
work. Nothing tells a connection that went silent from a slow target but the time
that its answers usually take, and whether other connections are answered.
"""

import math

import attrs

OVERDUE_SECONDS = 0.75
OVERDUE_FACTOR = 2.0
DECAY = 0.99


@attrs.define(eq=False)
class AnswerTimes:
    """The longest time that an answer took of late, by service, in seconds."""

    longest: dict[str, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class TargetTrust:
    """What is known of all connections to one target.

    A connection is condemned unless it was proven, by an answer or by being
    opened, at ``verified_since`` or later, in seconds of the monotonic clock.
    """

    verified_since: float = -math.inf


def record_answer_time(times, service, seconds):
    """Note that an answer of ``service`` took ``seconds``."""
    faded = DECAY * times.longest.get(service, 0.0)
    times.longest[service] = max(seconds, faded)


def is_overdue(times, service, waited):
    """Tell whether an answer that was waited for ``waited`` seconds is overdue.

    It never is before a first answer of the service has told how long they take.
    """
    longest = times.longest.get(service)
    return longest is not None and waited > max(
        OVERDUE_SECONDS, OVERDUE_FACTOR * longest
    )


def distrust(trust, sent_at):
    """Condemn the connections not proven since ``sent_at``.

    That is when a request was sent which then met silence: its connection and its
    siblings of the same age may have been lost together.
    """
    trust.verified_since = max(trust.verified_since, sent_at)


def is_trusted(trust, verified_at, repeatable, longest_idle, now):
    """Tell whether a connection last proven at ``verified_at`` may get a request.

    One that may not be repeated goes only to a connection proven in the last
    ``longest_idle`` seconds.
    """
    if verified_at < trust.verified_since:
        return False
    return repeatable or now - verified_at < longest_idle
