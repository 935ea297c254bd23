"""Decide how long to wait for the answer to a call, from how long answers took."""

import attrs

ANSWER_TIME_FACTOR = 3.0
"""Wait for an answer relative to the time that the last one took."""
GROWTH_FACTOR = 2.0
"""Growth of the timeout after a call that got no answer."""


@attrs.define
class AnswerTimeout:
    """The timeout of calls to one peer, between ``shortest`` and ``longest`` seconds.

    A peer behind a full link answers, but late. A fixed timeout would drop each of its
    answers while they are under way, and the repeated calls would add to the load.

    >>> timeout = AnswerTimeout(0.5, 2.0)
    >>> timeout.record_no_answer(0.5)
    >>> timeout.seconds
    1.0
    """

    shortest: float
    longest: float
    seconds: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.longest = max(self.shortest, self.longest)
        self.seconds = self.shortest

    def record_answer(self, took):
        """Set the timeout from the time in seconds that an answer took."""
        expected = ANSWER_TIME_FACTOR * took
        self.seconds = min(self.longest, max(self.shortest, expected))

    def record_no_answer(self, waited):
        """Increase the timeout after a call that was given ``waited`` seconds."""
        grown = min(self.longest, GROWTH_FACTOR * waited)
        self.seconds = max(self.seconds, grown)

    def reset(self):
        """Set the shortest timeout, as nothing is known of the peer."""
        self.seconds = self.shortest
