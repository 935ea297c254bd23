"""Bound retries, and set aside targets that fail everything.

Retries of a service are paid from a budget that its first attempts fill, so that a
lost zone makes no storm. A target that failed several requests in a row gets no
more for a while, then one request at a time as a probe; the pause doubles with
each probe that fails.
"""

import attrs

BUDGET_SHARE = 0.08
BUDGET_LIMIT = 10.0
FAILURES_LIMIT = 3
FIRST_PAUSE_SECONDS = 0.5
LAST_PAUSE_SECONDS = 15.0


@attrs.define
class RetryBudget:
    """How many retries a service may still make.

    Over any time there are at most ``BUDGET_SHARE`` retries for each first
    attempt, and ``BUDGET_LIMIT`` more.
    """

    left: float = BUDGET_LIMIT

    def note_first_attempt(self):
        """Add what one first attempt is worth."""
        self.left = min(BUDGET_LIMIT, self.left + BUDGET_SHARE)

    def spend(self):
        """Pay for one retry; return whether there was enough left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


@attrs.define
class TargetHealth:
    """What became of the last requests to one target.

    ``next_probe_at`` is when a target that was set aside gets its next probe, in
    seconds of the monotonic clock, and ``None`` while it serves as usual.
    """

    failures: int = 0
    pause: float = FIRST_PAUSE_SECONDS
    next_probe_at: float | None = None

    def record_success(self):
        """Let the target serve as usual."""
        self.failures = 0
        self.pause = FIRST_PAUSE_SECONDS
        self.next_probe_at = None

    def record_failure(self, now):
        """Set the target aside when it has failed too often in a row."""
        self.failures += 1
        if self.failures < FAILURES_LIMIT:
            return
        if self.next_probe_at is None or now >= self.next_probe_at:
            self.next_probe_at = now + self.pause
            self.pause = min(2.0 * self.pause, LAST_PAUSE_SECONDS)

    def delay(self, now):
        """Return how long a slot waits before it takes the next request.

        The slot that gets 0 from a target set aside is the probe; the others
        wait for another pause.
        """
        if self.next_probe_at is None:
            return 0.0
        if now < self.next_probe_at:
            return self.next_probe_at - now
        self.next_probe_at = now + self.pause
        return 0.0


def is_set_aside(health, others):
    """Tell whether a target may be kept out of work.

    Not when half of the targets ``others`` of its pool are set aside too: then
    the fault lies in the requests, and the targets go on.
    """
    aside = sum(other.next_probe_at is not None for other in others)
    return health.next_probe_at is not None and 2 * aside <= len(others)
