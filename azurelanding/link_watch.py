"""Watch the links of one pool: measure their calls, log while orders wait too long."""

import contextlib

import attrs
import structlog

from azurelanding.start_budget import order_bytes
from azurelanding.utils import boot_time
from azurelanding.worker_calls import WorkerNoResponseError

logger = structlog.get_logger()

TROUBLE_WAIT_SECONDS = 1.0
"""Wait of an order, or of tasks for room on the link, from which a line tells of it."""
TROUBLE_INTERVAL_SECONDS = 5.0
"""Shortest time between two lines on a pool in trouble."""


@attrs.define
class CallTally:
    """What the calls of a pool's links met since the ``boot_time`` ``since``.

    ``start_bytes`` is about what start orders took on the link, repeats included.
    ``slowest_start`` and ``slowest_hold`` are the seconds of the slowest answered call.
    """

    timeouts: int = 0
    ended_connections: int = 0
    start_bytes: int = 0
    slowest_start: float = 0.0
    slowest_hold: float = 0.0
    since: float = attrs.field(factory=boot_time)


class LinkWatch:
    """Measures the calls to the workers of one pool.

    ``held_back`` is the number of ready tasks that wait for room on the host's link,
    ``held_back_since`` the ``boot_time`` since when there are any, ``None`` without.

    >>> watch = LinkWatch("cuts", ServedMetrics())
    >>> with watch.call("hold", wait=1.0):
    ...     report = await client.hold(0, None, 1.0)
    """

    def __init__(self, pool, metrics):
        self.pool = pool
        self.metrics = metrics
        self.tally = CallTally()
        self.logged_at = float("-inf")
        self.held_back = 0
        self.held_back_since = None

    @contextlib.contextmanager
    def call(self, name, wait=0.0):
        """Measure one call, without the ``wait`` that it asked the worker for.

        An answer before the end of that wait counts as immediate.
        """
        called_at = boot_time()
        try:
            yield
        except WorkerNoResponseError as error:
            self._count_unanswered(name, error)
            raise
        seconds = max(0.0, boot_time() - called_at - wait)
        self.metrics.observe(f"{name}_call_seconds", seconds)
        if name == "start":
            self.tally.slowest_start = max(self.tally.slowest_start, seconds)
        elif name == "hold":
            self.tally.slowest_hold = max(self.tally.slowest_hold, seconds)

    def _count_unanswered(self, name, error):
        if error.timed_out:
            self.tally.timeouts += 1
        else:
            self.tally.ended_connections += 1
        kind = "timeout" if error.timed_out else "ended"
        self.metrics.count(f"calls_unanswered_{name}_{kind}")

    def observe_order_wait(self, seconds):
        """Record how long an order waited in the queue of its worker."""
        self.metrics.observe("order_wait_seconds", seconds)

    def count_start_bytes(self, order):
        """Count about how many bytes a start order takes on the link."""
        self.metrics.count("start_bytes", order_bytes(order))
        self.tally.start_bytes += order_bytes(order)

    def count_connection(self):
        """Count a connection that was opened to a worker."""
        self.metrics.count("worker_connections_opened")

    def record_held_back(self, count, now):
        """Note how many ready tasks wait for room on the host's link."""
        self.metrics.gauge(f"starts_held_back_{self.pool}", count)
        self.held_back = count
        if not count:
            self.held_back_since = None
        elif self.held_back_since is None:
            self.held_back_since = now

    def check(self, links, loop_late, now):
        """Set the gauge of waiting orders; log if orders or starts wait for too long.

        ``loop_late`` is the latest recent wake-up of the event loop, in seconds. The
        lines have at least ``TROUBLE_INTERVAL_SECONDS`` between them.
        """
        # Links to workers that have ended send no orders any more.
        links = [link for link in links if not link.has_ended]
        waiting = sum(len(link.orders) for link in links)
        self.metrics.gauge(f"orders_waiting_{self.pool}", waiting)
        oldest = max((link.orders.oldest_wait(now) for link in links), default=0.0)
        is_over = now >= self.tally.since + TROUBLE_INTERVAL_SECONDS
        may_log = now >= self.logged_at + TROUBLE_INTERVAL_SECONDS
        held_for = now - self.held_back_since if self.held_back else 0.0
        is_logged = may_log and max(oldest, held_for) > TROUBLE_WAIT_SECONDS
        if not (is_logged or is_over):
            return
        tally, self.tally = self.tally, CallTally(since=now)
        if not is_logged:
            return
        self.logged_at = now
        logger.warning(
            "orders wait for workers",
            pool=self.pool,
            waiting=waiting,
            oldest=round(oldest, 3),
            held_back=self.held_back,
            links=len(links),
            silent=sum(link.last_hold_failed for link in links),
            timeouts=tally.timeouts,
            ended_connections=tally.ended_connections,
            start_bytes=tally.start_bytes,
            slowest_start=round(tally.slowest_start, 3),
            slowest_hold=round(tally.slowest_hold, 3),
            counted_for=round(now - tally.since, 1),
            loop_late=round(loop_late, 3),
        )

    def close(self):
        """Set the gauges to 0, as the pool is no longer controlled here."""
        self.metrics.gauge(f"orders_waiting_{self.pool}", 0)
        self.metrics.gauge(f"starts_held_back_{self.pool}", 0)
