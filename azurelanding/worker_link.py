"""Hold the state of one worker as the controller of its pool knows it.

The calls to a worker use a few connections, each with a task of its own: those of
``worker_holds`` extend its lease and read its reports, those of ``worker_orders`` send
orders.
"""

import contextlib
from collections.abc import Callable

import attrs
import structlog

from azurelanding.answer_timeout import AnswerTimeout
from azurelanding.lease_permission import LeasePermission, LeaseSuccession
from azurelanding.link_watch import LinkWatch
from azurelanding.order_queue import OrderQueue
from azurelanding.utils import Notifier, boot_time
from azurelanding.worker_calls import (
    Refusal,
    StartOrder,
    StopOrder,
    WorkerError,
    WorkerNoResponseError,
)

logger = structlog.get_logger()

HOLD_WAIT_SECONDS = 1.0
"""Longest wait of a ``hold`` call for the end of a run; also bounds the time between
two extensions of the lease."""
REPORT_DELAY_SECONDS = 0.2
"""How late a report may be; several times the latency between availability zones."""
SHORTEST_OVERDUE_SECONDS = 0.35
"""How late the answer to a ``hold`` call has to be before another connection calls."""
OVERDUE_CALLS_PER_LEASE = 6
"""Limits how late an answer may be, so that a silent connection is found early in the
lease even where answers are usually late."""
ORDER_CONNECTION_COUNT = 2
"""Connections for orders; an unanswered order on one does not delay the others."""
RETRY_DELAY_SECONDS = 0.15
"""Delay before an unanswered call is repeated; it doubles for an order."""
CLOCK_DRIFT_SHARE = 0.02
"""How much slower a worker's clock may run than the daemon's, as a share."""
LEASE_SLACK_SECONDS = 0.3
"""Added to a lease for the latency of the last call that extended it."""
SLOW_START_SECONDS = 0.3
"""Age from which an unanswered start shows that its worker is slow. As many such starts
as there are order connections delay all further ones."""


def round_seconds(seconds):
    """Return ``seconds`` rounded for a log line; ``None`` stays as it is."""
    return None if seconds is None else round(seconds, 3)


@attrs.frozen
class LinkController:
    """What the links of a pool use of its controller.

    ``make_client(entry)`` returns a client of a worker, and ``lease`` is in seconds.
    ``notify()`` is called when a link has ends, losses or refusals to process, and
    ``end_control()`` when a worker refuses the epoch as superseded.
    ``is_startable(task_id)`` returns whether a placed task may still start, and
    ``is_leaving(worker_id)`` whether a worker is known to be going away.
    ``record_begin(task_id, run)`` is called when the worker has told that it has begun
    a run. ``charge_repeat(order)`` charges the budget for an unanswered start that
    is to be sent again, and returns the seconds to wait before. ``watch`` is the
    ``LinkWatch`` of the pool, ``permission`` the ``LeasePermission`` of its controller
    and ``succession`` its ``LeaseSuccession``.
    """

    make_client: Callable
    lease: float
    notify: Callable
    end_control: Callable
    is_startable: Callable
    record_begin: Callable
    charge_repeat: Callable
    is_leaving: Callable
    watch: LinkWatch
    permission: LeasePermission
    succession: LeaseSuccession


class WorkerLink:
    """One worker's state as a pool's controller knows it.

    - ``runs`` maps each run that may be on the worker to the ``boot_time`` from which
      a report that doesn't list it shows that it is lost; ``None`` while its start is
      unanswered.
    - ``unanswered_starts`` are the runs whose start was sent and that the worker may
      still start: no answer, stop, end or later report has shown otherwise.
    - ``start_times`` maps the runs whose start is unanswered to the ``boot_time`` at
      which it was queued, and may still hold others.
    - ``listed_runs`` are the runs in progress in the last report, ``working_since`` the
      times since when each of them works without a break, ``progress`` their
      ``RunProgress``.
    - ``ends`` are the reported ends that are not yet recorded, by number;
      ``acknowledged`` is the number up to which they are recorded.
    - ``not_started`` are the runs that certainly never started, each with its refusal,
      and ``lost_runs`` those that the worker no longer lists.
    - ``stops`` maps the runs that were ordered to stop to the ``boot_time`` of the
      order, and ``orders`` are the orders not yet sent. ``in_hand`` holds by client
      the order that it is sending.
    - ``paces`` maps the filler runs to the share of their pace that was last ordered,
      ``None`` if it is not known whether the worker has received it.
    - ``clock`` is the time of the worker's clock in the last report, with the
      ``boot_time`` at which it was received.
    - ``leased_until`` is the ``boot_time`` after which nothing runs on the worker
      unless its lease is extended again, by this controller or an earlier one.
    - ``has_answered`` is set once the worker answered under this epoch.
    - ``last_hold_failed`` is set from an unanswered or overdue ``hold`` call to the
      next report.
    - ``may_have_restarted`` is set from any unanswered or overdue ``hold`` call to the
      next report: another incarnation, with ends of its own, may answer the next call.
    - ``end_seen_at`` is the ``boot_time`` since when the ``signs_of_end`` are known,
      which show that the worker has ended unless it reports later.
    - ``overdue_at`` is the ``boot_time`` at which the answer to the ``hold`` call in
      flight on the first connection is overdue, ``None`` without such a call.
    - ``unanswered_calls`` is the number of calls without an answer since the last one
      with an answer, and ``silent_since`` the ``boot_time`` of the last report before
      the worker stopped answering.

    ``controller`` is the ``LinkController`` of the pool's controller.
    """

    def __init__(self, entry, controller):
        self.entry = entry
        self.controller = controller
        self.hold_client = controller.make_client(entry)
        self.backup_client = controller.make_client(entry)
        self.order_clients = [
            controller.make_client(entry) for _ in range(ORDER_CONNECTION_COUNT)
        ]
        self.runs = {}
        self.unanswered_starts = set()
        self.start_times = {}
        self.listed_runs = {}
        self.working_since = {}
        self.progress = {}
        self.ends = {}
        self.acknowledged = 0
        self.born = entry.born
        self.not_started = []
        self.lost_runs = []
        self.stops = {}
        self.paces = {}
        self.orders = OrderQueue(controller.watch.observe_order_wait)
        self.in_hand = {}
        self.order_added = Notifier()
        self.ends_recorded = Notifier()
        self.has_answered = False
        self.has_ended = False
        self.is_fenced = False
        self.last_hold_failed = False
        self.may_have_restarted = False
        self.overdue_at = None
        self.overdue_delay = AnswerTimeout(
            SHORTEST_OVERDUE_SECONDS, controller.lease / OVERDUE_CALLS_PER_LEASE
        )
        self.unanswered_calls = 0
        self.silent_since = None
        self.late_start_logged_at = None
        self.last_report_at = None
        self.clock = None
        self.leased_until = boot_time() + self.longest_lease
        self.signs_of_end = ()
        self.end_seen_at = None
        self.no_starts_until = 0.0
        self.report_count = 0

    @property
    def is_silent(self):
        """Return whether no report arrived for twice the longest wait of a ``hold``."""
        silence = 2 * HOLD_WAIT_SECONDS
        return (
            self.last_report_at is None or boot_time() > self.last_report_at + silence
        )

    @property
    def longest_lease(self):
        """Return how long in seconds a lease lasts that was extended just now."""
        return self.controller.lease * (1 + CLOCK_DRIFT_SHARE) + LEASE_SLACK_SECONDS

    def is_lease_over(self, now):
        """Return whether the worker's lease is certainly over at ``now``.

        Until the worker has answered, an earlier controller may have extended it.
        """
        if self.has_answered:
            return now > self.leased_until
        extensions_end_at = self.controller.succession.extensions_end_at()
        return now > max(self.leased_until, extensions_end_at + self.longest_lease)

    def is_overdue(self, now):
        """Return whether a report is overdue at ``now``, a ``boot_time``."""
        limit = HOLD_WAIT_SECONDS + REPORT_DELAY_SECONDS
        return (
            self.last_hold_failed
            or self.last_report_at is None
            or now > self.last_report_at + limit
        )

    def lease_end(self):
        """Return the end of a full lease on the worker's clock, or ``None``.

        It is ``None`` before the worker's clock is known and after an unanswered call:
        the lease of an unreachable worker has to expire before its tasks may start
        elsewhere. It is also ``None`` while the worker may start a freed run, whose
        task may be in progress elsewhere: a start that comes late is refused only
        once the worker's lease has expired. And it is ``None`` without the permission
        to extend leases, as another controller may rely on their end.
        """
        if not self._may_extend_lease():
            return None
        worker_time, read_at = self.clock
        return worker_time + (boot_time() - read_at) + self.controller.lease

    def _may_extend_lease(self):
        is_reachable = self.clock is not None and not self.last_hold_failed
        is_settled = self.unanswered_starts <= self.runs.keys()
        return is_reachable and is_settled and self.controller.permission.is_given()

    def extend_leased_until(self):
        """Update ``leased_until`` before a call that extends the lease is sent."""
        if self._may_extend_lease():
            self.leased_until = max(self.leased_until, boot_time() + self.longest_lease)

    def report_age(self, now):
        """Return the seconds since the last report at ``now``, or ``None``."""
        return None if self.last_report_at is None else now - self.last_report_at

    @contextlib.contextmanager
    def watched(self, name, wait=0.0):
        """Measure a call and count the unanswered ones in a row."""
        try:
            with self.controller.watch.call(name, wait):
                yield
        except WorkerNoResponseError:
            self.unanswered_calls += 1
            raise
        except WorkerError:
            self.unanswered_calls = 0
            raise
        self.unanswered_calls = 0

    def mark_ended(self, reason):
        """Record that the worker's incarnation has ended."""
        logger.info("worker ended", worker=self.entry.id, reason=reason)
        self.has_ended = True
        self.controller.permission.record_ended(self.entry.id)

    def has_fallen_silent(self, signs_of_end, now):
        """Return whether the worker has not reported since signs of its end are known.

        One that has is up: an order that was carried out before is accepted again and
        ends nothing, and a host's clock may have been set back between two
        incarnations. A report from before may arrive late, so a further sign counts
        from ``now``.
        """
        if self.signs_of_end != signs_of_end:
            self.signs_of_end, self.end_seen_at = signs_of_end, now
        reported_at = self.last_report_at or 0.0
        return self.last_hold_failed and reported_at <= self.end_seen_at

    def handle_refusal(self, error):
        """Log a refused call; one that was refused as superseded ends the link."""
        if error.reason is Refusal.FENCED:
            self.mark_fenced()
        else:
            logger.info("hold call refused", worker=self.entry.id, reason=str(error))

    def mark_fenced(self):
        """Record that another controller has called the worker under a later epoch."""
        logger.warning("worker refused the epoch as superseded", worker=self.entry.id)
        self.is_fenced = True
        self.controller.end_control()

    def record_no_later_start(self, task, run):
        """Record that the worker will not start ``run`` of a task or an earlier one."""
        self.unanswered_starts = {
            key for key in self.unanswered_starts if key[0] != task or key[1] > run
        }

    def acknowledge(self, number, born):
        """Let the worker drop the ends up to ``number``, which are recorded.

        ``born`` is that of the incarnation that reported them: the numbers of a later
        one, which may have begun meanwhile, start anew.
        """
        if born != self.born:
            return
        self.acknowledged = max(self.acknowledged, number)
        self.ends = {n: end for n, end in self.ends.items() if n > self.acknowledged}
        self.ends_recorded.notify()

    def adopt_run(self, key):
        """Count a run that was placed before this link was made as started."""
        self.runs.setdefault(key, boot_time())
        self.paces[key] = None

    def enqueue(self, order):
        """Append an order to the queue of orders."""
        if isinstance(order, StartOrder):
            self.runs[order.task, order.run] = None
            self.start_times[order.task, order.run] = boot_time()
        self.orders.append(order)
        self.order_added.notify()

    def has_slow_starts(self, now):
        """Return whether further starts would wait long behind unanswered ones."""
        self.start_times = {
            key: at
            for key, at in self.start_times.items()
            if self.runs.get(key, now) is None
        }
        slow = sum(now > at + SLOW_START_SECONDS for at in self.start_times.values())
        return slow >= ORDER_CONNECTION_COUNT

    def stop_before_others(self, task, run):
        """Queue the stop of a run ahead of all other orders."""
        self.orders.appendleft(StopOrder(task, run))
        self.order_added.notify()

    def expect_late_starts(self, keys):
        """Stop runs that an earlier link may have started and that were freed since.

        Until that is answered, no call of this link extends the lease either.
        """
        self.unanswered_starts.update(keys)
        for task, run in keys:
            self.stop_before_others(task, run)

    def record_started(self, key):
        """Record that the start of a run was answered."""
        self.unanswered_starts.discard(key)
        self.await_reports(key)

    def await_reports(self, key):
        """Let the reports show from now on whether a run is lost.

        Its end may already be recorded, if a report came before the answer.
        """
        if key in self.runs:
            self.runs[key] = boot_time()

    def record_stopped(self, task, run):
        """Record that the stop of a run was answered; it can't start any more."""
        self.record_no_later_start(task, run)
        if self.runs.get((task, run)) is not None:
            self.await_reports((task, run))

    def record_pace_unknown(self, order):
        """Record that a ``PaceOrder`` has failed, unless a later one was given."""
        key = (order.task, order.run)
        if self.paces.get(key) == order.share:
            self.paces[key] = None

    def drop_run(self, key):
        """Drop a run that has ended or was freed."""
        self.runs.pop(key, None)

    async def close(self):
        """Close the connections; may be called twice."""
        for client in (self.hold_client, self.backup_client, *self.order_clients):
            await client.close()
