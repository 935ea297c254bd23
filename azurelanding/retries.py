"""Limit retries, and set aside targets that fail all requests.

Each service has a retry budget that its first attempts fill, so that the loss of a
zone causes no retry storm. A target that failed several requests in a row gets no
requests during a cooldown, then one request at a time as a probe. The cooldown
doubles with each failed probe.
"""

import attrs

BUDGET_PER_FIRST_ATTEMPT = 0.08
MAX_BUDGET = 10.0
MAX_CONSECUTIVE_FAILURES = 3
MIN_COOLDOWN_SECONDS = 0.5
MAX_COOLDOWN_SECONDS = 15.0


@attrs.define
class RetryBudget:
    """The number of retries that a service may still make.

    In any period there are at most ``BUDGET_PER_FIRST_ATTEMPT`` retries for each
    first attempt, plus ``MAX_BUDGET``.
    """

    balance: float = MAX_BUDGET

    def credit_first_attempt(self):
        """Credit one first attempt to the budget."""
        self.balance = min(MAX_BUDGET, self.balance + BUDGET_PER_FIRST_ATTEMPT)

    def spend(self):
        """Spend the budget for one retry; return whether there was enough."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


@attrs.define
class TargetHealth:
    """The recent failures of one target and its cooldown.

    ``failures`` counts the failed requests since the last success, and ``cooldown`` is
    the next cooldown in seconds. ``next_probe_at`` is when a target that is set aside
    gets its next probe, in seconds of the monotonic clock. It is ``None`` while the
    target is in normal service.
    """

    failures: int = 0
    cooldown: float = MIN_COOLDOWN_SECONDS
    next_probe_at: float | None = None

    def record_success(self):
        """Return the target to normal service after a successful request."""
        self.failures = 0
        self.cooldown = MIN_COOLDOWN_SECONDS
        self.next_probe_at = None

    def record_failure(self, now):
        """Count a failed request; set the target aside after too many in a row."""
        self.failures += 1
        if self.failures < MAX_CONSECUTIVE_FAILURES:
            return
        if self.next_probe_at is None or now >= self.next_probe_at:
            self.next_probe_at = now + self.cooldown
            self.cooldown = min(2.0 * self.cooldown, MAX_COOLDOWN_SECONDS)

    def request_delay(self, now):
        """Return the seconds that a slot must wait before the target's next request.

        If the target is set aside, the slot that gets 0 sends the probe; the other
        slots wait for another cooldown.
        """
        if self.next_probe_at is None:
            return 0.0
        if now < self.next_probe_at:
            return self.next_probe_at - now
        self.next_probe_at = now + self.cooldown
        return 0.0


def is_set_aside(health, others):
    """Return whether the target with ``health`` counts as set aside.

    ``others`` are all targets of its pool. If more than half of them have failed, the
    fault lies in the requests, and none of them is set aside.
    """
    set_aside_count = sum(other.next_probe_at is not None for other in others)
    return health.next_probe_at is not None and 2 * set_aside_count <= len(others)
