"""Keep the long-running tasks of a daemon going after an unexpected error.

Errors that a task expects are its own matter. One that it doesn't expect is logged with
its stack and counted, and the task runs again after a delay, which grows while it goes
on failing. So a fault that one message brings about ends neither the process nor, for
good, the task that reads from that peer.
"""

import anyio
import attrs
import structlog

from azurelanding.utils import boot_time

logger = structlog.get_logger()

FIRST_DELAY_SECONDS = 0.1
LONGEST_DELAY_SECONDS = 5.0
STEADY_SECONDS = 10.0
"""Time without an error after which the delay begins anew."""


@attrs.define
class Backoff:
    """The delay before a task runs again; ``failed_at`` is in ``boot_time``."""

    delay: float = FIRST_DELAY_SECONDS
    failed_at: float = float("-inf")

    def next_delay(self, now):
        """Return the delay in seconds after an error at ``now``."""
        if now > self.failed_at + self.delay + STEADY_SECONDS:
            self.delay = FIRST_DELAY_SECONDS
        else:
            self.delay = min(LONGEST_DELAY_SECONDS, 2.0 * self.delay)
        self.failed_at = now
        return self.delay


async def keep_running(name, run, metrics, on_error=lambda: None):
    """Await ``run()`` until it returns, again after each unexpected error.

    ``on_error()`` is called before the delay. Cancellation ends it as usual.
    """
    backoff = Backoff()
    while True:
        try:
            await run()
            return
        except Exception:
            delay = backoff.next_delay(boot_time())
            logger.exception("task failed", task=name, runs_again_in=delay)
            metrics.count("tasks_failed")
        on_error()
        await anyio.sleep(delay)
