"""Measure how late the event loop of the daemon wakes its tasks."""

import collections

import anyio
import structlog

logger = structlog.get_logger()

SAMPLE_INTERVAL_SECONDS = 0.25
RECENT_SAMPLES = 20
"""Samples that ``worst`` looks back on; as long as the interval of its readers."""
LATE_SECONDS = 0.3
"""Lateness that is logged: about the time-out of an order to a worker."""
LOG_INTERVAL_SECONDS = 5.0


class LoopWatch:
    """Samples how late a sleeping task wakes up; ``recent`` holds the last samples."""

    def __init__(self, metrics):
        self.metrics = metrics
        self.recent = collections.deque(maxlen=RECENT_SAMPLES)
        self.logged_at = float("-inf")

    def worst(self):
        """Return the latest wake-up of the last few seconds, in seconds."""
        return max(self.recent, default=0.0)

    def record(self, late, now):
        """Record one sample taken at ``now``; log it if it is late, but not often."""
        self.metrics.observe("loop_late_seconds", late)
        self.recent.append(late)
        if late >= LATE_SECONDS and now >= self.logged_at + LOG_INTERVAL_SECONDS:
            self.logged_at = now
            logger.warning("event loop late", seconds=round(late, 3))

    async def run(self):
        """Take samples until cancelled."""
        while True:
            due_at = anyio.current_time() + SAMPLE_INTERVAL_SECONDS
            await anyio.sleep_until(due_at)
            now = anyio.current_time()
            self.record(max(0.0, now - due_at), now)
