"""Follow one worker of a pool: extend its lease, learn of ends, give it orders.

A worker's calls run on a few connections, each with a task of its own: one waits for
ends, the others give orders. An order without an answer may be carried out much
later, so a start is repeated until it is answered, and a run that must not happen
any more is stopped, which the worker remembers.
"""

import collections

import anyio
import structlog

from azurelanding.run_progress import RunProgress
from azurelanding.utils import Notifier, boot_time
from azurelanding.worker_calls import (
    PaceOrder,
    Refusal,
    StartOrder,
    StopOrder,
    WorkerEndedError,
    WorkerRefusedError,
    WorkerSilentError,
)

logger = structlog.get_logger()

HOLD_WAIT_SECONDS = 1.0
"""How long a worker holds a call that waits for an end; bounds the lease's age."""
REPORT_SLACK_SECONDS = 0.2
"""How late a report may be; several times the way between availability zones."""
ORDER_CONNECTIONS = 2
"""Connections for orders, so that one without an answer does not hold up the rest."""
RETRY_SECONDS = 0.15
"""Pause after a call that got no answer."""
CLOCK_ERROR = 0.02
"""How much slower than ours a worker's clock may run, as a share."""
LEASE_SLACK_SECONDS = 0.3
"""Added to a lease for the way of the last call that extended it."""
TAKEOVER_SLACK_SECONDS = 2.0
"""How long a controller that was overtaken may still extend a worker's lease."""
UNHEALTHY_PAUSE_SECONDS = 1.0
"""How long a worker that refused as unhealthy gets no start."""


class WorkerLink:
    """What a pool's controller knows of one worker, and its tasks.

    ``runs`` maps each run that may be there to the time from which the worker's
    reports count for it, ``None`` while its start is unanswered. ``listed`` holds
    what the last report listed as under way, ``at_work_since`` since when each of
    those is seen at work, ``progress`` how far each has come, ``ends`` the ends not
    yet recorded by their number. ``not_started`` collects runs that surely never
    began and why. ``leased_until`` is the ``boot_time`` after which nothing runs there
    without a further call. ``is_sure`` tells that the worker has answered under this
    epoch.
    """

    def __init__(self, entry, make_client, lease, notify, is_startable):
        self.entry = entry
        self.holder = make_client(entry)
        self.orderers = [make_client(entry) for _ in range(ORDER_CONNECTIONS)]
        self.lease = lease
        self.notify = notify
        self.is_startable = is_startable
        self.runs = {}
        self.listed = {}
        self.at_work_since = {}
        self.progress = {}
        self.ends = {}
        self.seen = 0
        self.born = entry.born
        self.not_started = []
        self.lost = []
        self.stops = {}
        self.orders = collections.deque()
        self.order_arrivals = Notifier()
        self.recorded = Notifier()
        self.is_sure = False
        self.is_gone = False
        self.is_fenced = False
        self.is_failing = False
        self.heard_at = None
        self.clock = None
        longest = lease * (1 + CLOCK_ERROR) + TAKEOVER_SLACK_SECONDS
        self.leased_until = boot_time() + longest
        self.paused_until = 0.0
        self.report_count = 0

    @property
    def is_silent(self):
        """Tell whether the worker has not answered for longer than a hold takes."""
        silence = 2 * HOLD_WAIT_SECONDS
        return self.heard_at is None or boot_time() > self.heard_at + silence

    def is_overdue(self, now):
        """Tell whether a report should have come by ``now``, a ``boot_time``."""
        late = HOLD_WAIT_SECONDS + REPORT_SLACK_SECONDS
        return self.is_failing or self.heard_at is None or now > self.heard_at + late

    def lease_end(self):
        """Return the end of a full lease on the worker's clock, or ``None``.

        There is none after a call without an answer: the lease is to run out if the
        worker can't be reached, so that its tasks may start elsewhere.
        """
        if self.clock is None or self.is_failing:
            return None
        told, at = self.clock
        return told + (boot_time() - at) + self.lease

    def _note_lease(self):
        """Note that a call that extends the lease is about to be sent."""
        if self.clock is not None and not self.is_failing:
            end = boot_time() + self.lease * (1 + CLOCK_ERROR) + LEASE_SLACK_SECONDS
            self.leased_until = max(self.leased_until, end)

    async def follow(self):
        """Extend the lease and take the reports until the worker is gone."""
        while not (self.is_gone or self.is_fenced):
            await self._hold()
            if self.ends:
                # The next call would return the same ends at once.
                with anyio.move_on_after(HOLD_WAIT_SECONDS):
                    await self.recorded.wait_until(lambda: not self.ends)
        self.notify()

    async def _hold(self):
        is_quick = self.clock is None or self.is_failing or self.ends
        wait = 0.0 if is_quick else HOLD_WAIT_SECONDS
        self._note_lease()
        sent_at = boot_time()
        try:
            report = await self.holder.hold(self.seen, self.lease_end(), wait)
        except WorkerSilentError as error:
            self._note_silence(error)
            await anyio.sleep(RETRY_SECONDS)
        except WorkerEndedError as error:
            self._go(str(error))
        except WorkerRefusedError as error:
            self._refused(error)
            await anyio.sleep(RETRY_SECONDS)
        else:
            self._take(report, sent_at)

    def _note_silence(self, error):
        if not self.is_failing:
            logger.info("worker silent", worker=self.entry.id, reason=str(error))
        self.is_failing = True

    def _go(self, reason):
        logger.info("worker gone", worker=self.entry.id, reason=reason)
        self.is_gone = True

    def _refused(self, error):
        if error.reason is Refusal.FENCED:
            logger.warning("worker fenced us", worker=self.entry.id)
            self.is_fenced = True
        else:
            logger.info("hold refused", worker=self.entry.id, reason=str(error))

    def _take(self, report, sent_at):
        """Take a report that was asked for at ``sent_at``."""
        if report.born != self.born:
            if self.born:
                logger.info("worker restarted", worker=self.entry.id, born=report.born)
            self.born, self.seen, self.ends = report.born, 0, {}
        self.clock = (report.clock, boot_time())
        self.heard_at = boot_time()
        self.is_failing = False
        self.report_count += 1
        self.listed = {(run.task, run.run): run for run in report.runs}
        self._note_work()
        known = self.listed.keys() | self.runs.keys()
        self.stops = {key: at for key, at in self.stops.items() if key in known}
        fresh = [end for end in report.ends if end.number > self.seen]
        ended = {(end.task, end.run) for end in fresh}
        self.ends.update((end.number, end) for end in fresh)
        for key, counted_from in list(self.runs.items()):
            is_counted = counted_from is not None and counted_from < sent_at
            if is_counted and key not in self.listed and key not in ended:
                self.lost.append(key)
        was_sure, self.is_sure = self.is_sure, True
        if fresh or self.lost or not was_sure:
            self.notify()

    def _note_work(self):
        """Note how far each run has come, and since when it works without a break."""
        known, now = self.at_work_since, boot_time()
        for key in self.progress.keys() - self.listed.keys():
            del self.progress[key]
        for key, run in self.listed.items():
            if key not in self.progress:
                self.progress[key] = RunProgress.begin(run.work_share, now)
            self.progress[key].note(run.work_share, now)
        self.at_work_since = {
            key: known.get(key, now)
            for key, run in self.listed.items()
            if run.work_share >= 1.0
        }

    def acknowledge(self, number):
        """Let the worker forget the ends up to ``number``, which are recorded."""
        self.seen = max(self.seen, number)
        self.ends = {n: end for n, end in self.ends.items() if n > self.seen}
        self.recorded.notify()

    def expect(self, key):
        """Count a run of before this link was made as there."""
        self.runs.setdefault(key, boot_time())

    def order(self, order):
        """Give an order after those that wait."""
        if isinstance(order, StartOrder):
            self.runs[order.task, order.run] = None
        self.orders.append(order)
        self.order_arrivals.notify()

    def stop_first(self, task, run):
        """Stop a run before any other order, as soon as the worker answers."""
        self.orders.appendleft(StopOrder(task, run))
        self.order_arrivals.notify()

    async def send_orders(self, orderer):
        """Give orders over one connection until the worker is gone."""
        while not (self.is_gone or self.is_fenced):
            await self.order_arrivals.wait_until(lambda: bool(self.orders))
            if not self.orders:
                continue
            order = self.orders.popleft()
            match order:
                case StartOrder():
                    await self._start(orderer, order)
                case StopOrder():
                    await self._insist(orderer.stop, order.task, order.run)
                case PaceOrder():
                    await self._pace(orderer, order)

    async def _insist(self, call, *arguments):
        """Repeat a call until it is answered; return the refusal, or ``None``."""
        while not (self.is_gone or self.is_fenced):
            try:
                await call(*arguments)
                return None
            except WorkerSilentError:
                await anyio.sleep(RETRY_SECONDS)
            except WorkerEndedError as error:
                self._go(str(error))
            except WorkerRefusedError as error:
                if error.reason is Refusal.FENCED:
                    self._refused(error)
                return error
        return None

    async def _pace(self, orderer, order):
        """Pace a run once; the next look at its figures repeats what is needed."""
        try:
            await orderer.pace(order.task, order.run, order.share)
        except (WorkerSilentError, WorkerRefusedError) as error:
            logger.info("pace unanswered", worker=self.entry.id, reason=str(error))
        except WorkerEndedError as error:
            self._go(str(error))

    async def _start(self, orderer, order):
        """Start a run; it is either surely there afterwards or surely never."""
        key, unsure, refusal = (order.task, order.run), False, None
        while key in self.runs and not (self.is_gone or self.is_fenced):
            if not self.is_startable(order.task):
                break
            self._note_lease()
            end = self.lease_end()
            if end is None:
                await anyio.sleep(RETRY_SECONDS)
                continue
            try:
                await orderer.start(order, end)
                self.runs[key] = boot_time()
                return
            except WorkerSilentError as error:
                unsure = unsure or error.sent
                await anyio.sleep(RETRY_SECONDS)
            except WorkerEndedError as error:
                self._go(str(error))
            except WorkerRefusedError as error:
                refusal = error.reason
                if refusal is Refusal.OLD_RUN and unsure:
                    # It was carried out and has ended since: a report tells how.
                    self.runs[key] = boot_time()
                    return
                if refusal is not Refusal.LEASE_OVER:
                    break
                await anyio.sleep(RETRY_SECONDS)
        await self._give_up(orderer, order, refusal, unsure)

    async def _give_up(self, orderer, order, refusal, unsure):
        """Make sure that a refused start is not carried out late."""
        key = (order.task, order.run)
        if refusal is Refusal.FENCED:
            self.is_fenced = True
        if refusal is Refusal.UNHEALTHY:
            self.paused_until = boot_time() + UNHEALTHY_PAUSE_SECONDS
        if unsure:
            # Reports from now on tell whether it was carried out after all.
            await self._insist(orderer.stop, order.task, order.run)
            if key in self.runs:
                self.runs[key] = boot_time()
        elif key in self.runs and not (self.is_gone or self.is_fenced):
            self.not_started.append((key, refusal))
        self.notify()

    def forget(self, key):
        """Drop a run that is over."""
        self.runs.pop(key, None)

    async def close(self):
        """Close the connections; may be called twice."""
        await self.holder.close()
        for orderer in self.orderers:
            await orderer.close()
