"""Link a pool's controller to one worker: extend its lease and read its reports.

The calls to a worker use a few connections, each with a task of its own. One repeats
the ``hold`` call, a long poll that extends the lease and returns a report when a run
ends. While its answer is overdue, a second one makes the calls, and whichever answer
comes first is used. The others send orders, see ``worker_orders``.
"""

import contextlib

import anyio
import structlog

from azurelanding.answer_timeout import AnswerTimeout
from azurelanding.order_queue import OrderQueue
from azurelanding.run_progress import RunProgress
from azurelanding.utils import Notifier, boot_time
from azurelanding.worker_calls import (
    Refusal,
    StartOrder,
    StopOrder,
    WorkerEndedError,
    WorkerError,
    WorkerNoResponseError,
    WorkerRefusedError,
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
TAKEOVER_SLACK_SECONDS = 2.0
"""How long a superseded controller may still extend a worker's lease."""
SLOW_START_SECONDS = 0.3
"""Age from which an unanswered start shows that its worker is slow. As many such starts
as there are order connections delay all further ones."""


def round_seconds(seconds):
    """Return ``seconds`` rounded for a log line; ``None`` stays as it is."""
    return None if seconds is None else round(seconds, 3)


class WorkerLink:
    """One worker's state as a pool's controller knows it, and the tasks that call it.

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
      order, and ``orders`` are the orders not yet sent.
    - ``paces`` maps the filler runs to the share of their pace that was last ordered,
      ``None`` if it is not known whether the worker has received it.
    - ``clock`` is the time of the worker's clock in the last report, with the
      ``boot_time`` at which it was received.
    - ``leased_until`` is the ``boot_time`` after which nothing runs on the worker
      unless its lease is extended again.
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

    ``make_client(entry)`` returns a client of the worker, ``lease`` is in seconds,
    ``notify`` is called when there are ends, losses or refusals to process,
    ``end_control`` when the worker refuses the epoch as superseded,
    ``is_startable(task_id)`` returns whether a placed task may still start,
    ``count_repeat(order)`` is called before an unanswered start is sent again and
    returns the seconds to wait before,
    ``is_leaving(worker_id)`` returns whether a worker is known to be going away,
    ``watch`` is the ``LinkWatch`` of the pool and ``permission`` the
    ``LeasePermission`` of its controller.
    """

    def __init__(
        self,
        entry,
        make_client,
        lease,
        notify,
        end_control,
        is_startable,
        count_repeat,
        is_leaving,
        watch,
        permission,
    ):
        self.entry = entry
        self.hold_client = make_client(entry)
        self.backup_client = make_client(entry)
        self.order_clients = [make_client(entry) for _ in range(ORDER_CONNECTION_COUNT)]
        self.lease = lease
        self.notify = notify
        self.end_control = end_control
        self.is_startable = is_startable
        self.count_repeat = count_repeat
        self.is_leaving = is_leaving
        self.watch = watch
        self.permission = permission
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
        self.orders = OrderQueue(watch.observe_order_wait)
        self.order_added = Notifier()
        self.ends_recorded = Notifier()
        self.has_answered = False
        self.has_ended = False
        self.is_fenced = False
        self.last_hold_failed = False
        self.may_have_restarted = False
        self.overdue_at = None
        self.overdue_delay = AnswerTimeout(
            SHORTEST_OVERDUE_SECONDS, lease / OVERDUE_CALLS_PER_LEASE
        )
        self.unanswered_calls = 0
        self.silent_since = None
        self.late_start_logged_at = None
        self.last_report_at = None
        self.clock = None
        longest = lease * (1 + CLOCK_DRIFT_SHARE) + TAKEOVER_SLACK_SECONDS
        self.leased_until = boot_time() + longest
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
        return worker_time + (boot_time() - read_at) + self.lease

    def _may_extend_lease(self):
        is_reachable = self.clock is not None and not self.last_hold_failed
        is_settled = self.unanswered_starts <= self.runs.keys()
        return is_reachable and is_settled and self.permission.is_given()

    def extend_leased_until(self):
        """Update ``leased_until`` before a call that extends the lease is sent."""
        if self._may_extend_lease():
            end = (
                boot_time() + self.lease * (1 + CLOCK_DRIFT_SHARE) + LEASE_SLACK_SECONDS
            )
            self.leased_until = max(self.leased_until, end)

    def followers(self):
        """Return the functions that follow the worker, one for each connection."""
        return [self.follow, self.follow_while_overdue]

    def report_age(self, now):
        """Return the seconds since the last report at ``now``, or ``None``."""
        return None if self.last_report_at is None else now - self.last_report_at

    @contextlib.contextmanager
    def watched(self, name, wait=0.0):
        """Measure a call and count the unanswered ones in a row."""
        try:
            with self.watch.call(name, wait):
                yield
        except WorkerNoResponseError:
            self.unanswered_calls += 1
            raise
        except WorkerError:
            self.unanswered_calls = 0
            raise
        self.unanswered_calls = 0

    async def follow(self):
        """Extend the lease and read the reports until the worker has ended."""
        while not (self.has_ended or self.is_fenced):
            wait = self._next_wait()
            self.overdue_at = boot_time() + wait + self.overdue_delay.seconds
            await self._hold(self.hold_client, wait)
            self.overdue_at = None
            await self._until_ends_recorded()
        self.notify()

    async def follow_while_overdue(self):
        """Make the calls while the answer on the first connection is overdue."""
        while not (self.has_ended or self.is_fenced):
            now, overdue_at = boot_time(), self.overdue_at
            if overdue_at is None or now < overdue_at:
                seconds = self.overdue_delay.seconds
                await anyio.sleep(seconds if overdue_at is None else overdue_at - now)
                continue
            if self.last_report_at is None or self.last_report_at < overdue_at:
                self._record_no_response("the answer to hold is overdue")
            await self._hold(self.backup_client, self._next_wait())
            await self._until_ends_recorded()
        self.notify()

    async def _until_ends_recorded(self):
        """Wait for new ends to be recorded, as the next call would return them again.

        The wait is bounded, because the next call also extends the lease.
        """
        if self.ends:
            with anyio.move_on_after(HOLD_WAIT_SECONDS):
                await self.ends_recorded.wait_until(lambda: not self.ends)

    def _next_wait(self):
        """Return how long the next ``hold`` call may wait at the worker, in seconds."""
        is_quick = self.clock is None or self.last_hold_failed or self.ends
        return 0.0 if is_quick else HOLD_WAIT_SECONDS

    async def _hold(self, client, wait):
        """Make one ``hold`` call and apply its report or its error."""
        self.extend_leased_until()
        sent_at = boot_time()
        try:
            last_seen = 0 if self.may_have_restarted else self.acknowledged
            with self.watched("hold", wait):
                report = await client.hold(last_seen, self.lease_end(), wait)
        except WorkerNoResponseError as error:
            self.may_have_restarted = True
            if self.last_report_at is None or self.last_report_at < sent_at:
                self._record_no_response(str(error))
            self.overdue_delay.record_no_answer(self.overdue_delay.seconds)
            await anyio.sleep(RETRY_DELAY_SECONDS)
        except WorkerEndedError as error:
            self.mark_ended(str(error))
        except WorkerRefusedError as error:
            self.handle_refusal(error)
            await anyio.sleep(RETRY_DELAY_SECONDS)
        else:
            delay = boot_time() - sent_at - wait
            if delay >= 0.0:
                self.overdue_delay.record_answer(delay)
            if not self._is_outdated(report, sent_at):
                self._apply_report(report, sent_at)

    def _is_outdated(self, report, sent_at):
        """Return whether a report was overtaken by one on the other connection.

        The start of a later incarnation may seem earlier, as a host's clock may jump.
        """
        if self.clock is None:
            return False
        if report.born != self.born:
            return sent_at < self.last_report_at
        return report.clock < self.clock[0]

    def _record_no_response(self, reason):
        if not self.last_hold_failed:
            now = boot_time()
            self.silent_since = self.last_report_at or now
            logger.info(
                "worker does not answer",
                worker=self.entry.id,
                reason=reason,
                leaving=self.is_leaving(self.entry.id),
                unanswered=self.unanswered_calls,
                report_age=round_seconds(self.report_age(now)),
            )
        self.last_hold_failed = self.may_have_restarted = True

    def mark_ended(self, reason):
        """Record that the worker's incarnation has ended."""
        logger.info("worker ended", worker=self.entry.id, reason=reason)
        self.has_ended = True
        self.permission.record_ended(self.entry.id)

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
        self.end_control()

    def _apply_report(self, report, sent_at):
        """Apply a report that was requested at ``sent_at``."""
        if report.born != self.born:
            if self.born:
                logger.info("worker restarted", worker=self.entry.id, born=report.born)
            self.born, self.acknowledged, self.ends = report.born, 0, {}
        if self.last_hold_failed:
            silent = round_seconds(boot_time() - self.silent_since)
            logger.info("worker answers again", worker=self.entry.id, silent=silent)
        self.permission.record_report(self.entry.id)
        self.clock = (report.clock, boot_time())
        self.last_report_at = boot_time()
        self.last_hold_failed = self.may_have_restarted = False
        self.report_count += 1
        self.listed_runs = {(run.task, run.run): run for run in report.runs}
        self._update_progress()
        known = self.listed_runs.keys() | self.runs.keys()
        self.stops = {key: at for key, at in self.stops.items() if key in known}
        new_ends = [end for end in report.ends if end.number > self.acknowledged]
        ended = {(end.task, end.run) for end in new_ends}
        for key in ended:
            self.record_no_later_start(*key)
        self.ends.update((end.number, end) for end in new_ends)
        for key, counted_from in list(self.runs.items()):
            if counted_from is None or counted_from >= sent_at:
                continue
            if key in self.listed_runs:
                self.unanswered_starts.discard(key)
            elif key not in ended and report.has_all_ends:
                self._record_unlisted(key)
        had_answered, self.has_answered = self.has_answered, True
        if new_ends or self.lost_runs or not had_answered:
            self.notify()

    def _record_unlisted(self, key):
        """Record a run as lost, once the worker can't start it any more.

        A worker that restarted since it listed the run may still carry out a start.
        """
        if key not in self.unanswered_starts:
            self.lost_runs.append(key)
        elif key not in self.stops:
            self.stops[key] = boot_time()
            self.stop_before_others(*key)

    def record_no_later_start(self, task, run):
        """Record that the worker will not start ``run`` of a task or an earlier one."""
        self.unanswered_starts = {
            key for key in self.unanswered_starts if key[0] != task or key[1] > run
        }

    def _update_progress(self):
        """Update each run's progress, and since when it works without a break."""
        since, now = self.working_since, boot_time()
        for key in self.progress.keys() - self.listed_runs.keys():
            del self.progress[key]
        for key, run in self.listed_runs.items():
            if key not in self.progress:
                self.progress[key] = RunProgress.begin(run.work_share, now)
            self.progress[key].update(run.work_share, now)
        self.working_since = {
            key: since.get(key, now)
            for key, run in self.listed_runs.items()
            if run.work_share >= 1.0
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
