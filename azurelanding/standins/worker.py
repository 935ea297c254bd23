"""Stand in for a worker: run tasks under leases and report usage with a lag.

There is no background work: the state is advanced to the current time on each
request, and a report that waits wakes at the next event.
"""

import http
import secrets

import anyio
import attrs

from azurelanding import http_server
from azurelanding.standins import knobs as knobs_module
from azurelanding.tasks import Resources
from azurelanding.utils import Notifier
from azurelanding.workers import wire
from azurelanding.workers.wire import Attempt, AttemptPhase

LEDGER_PATH = "/ledger"
RESTART_PATH = "/restart"
MAX_BODY_BYTES = 8 << 20
FAIL_AFTER_SECONDS = 0.05
"""Time from the start to the failure of an attempt that a fault makes fail."""
MIN_WAIT_SECONDS = 0.001


@attrs.define
class WorkerKnobs:
    """The run times and the injected faults of a worker; times are in seconds.

    ``run_times`` and ``memory`` are by job; ``memory`` is in bytes. Reports include
    the usage of an attempt once it has run for ``usage_lag``. A checkpoint takes
    ``checkpoint_time``. ``lose_replies`` is the number of order messages still to be
    carried out without a reply.
    """

    run_time: float = 1.0
    run_times: dict[str, float] = attrs.field(factory=dict)
    memory: dict[str, int] = attrs.field(factory=dict)
    fail_all: bool = False
    fail_jobs: tuple[str, ...] = ()
    usage_lag: float = 0.5
    checkpoint_time: float = 0.2
    lose_replies: int = 0


@attrs.define
class LedgerLine:
    """One attempt that was started, when, and how it ended.

    ``lost`` is the work, in seconds at the full rate, that no checkpoint saved.
    """

    task: str
    attempt: int
    job: str
    epoch: int
    started_at: float
    end: str = ""
    lost: float = 0.0


@attrs.define(eq=False)
class Run:
    """The state of one attempt; all work is in seconds at the full rate.

    ``work`` is what was done up to the time ``since``, ``total_work`` what the attempt
    has to do, and ``saved`` what the last checkpoint holds.
    """

    start: wire.Start
    pool: str
    line: LedgerLine
    started_at: float
    since: float
    version: int
    total_work: float
    fails_at: float | None = None
    work: float = 0.0
    saved: float = 0.0
    limit: float = 0.0
    usage_visible: bool = False
    saves_checkpoint: bool = False
    stops_at: float | None = None
    phase: AttemptPhase = AttemptPhase.RUNNING
    ended_at: float = 0.0
    reason: str = ""

    @property
    def rate(self):
        """Return the share of the full rate that the limit of cores allows."""
        cores = self.start.need.cores
        return min(1.0, self.limit / cores) if self.limit and cores else 1.0


class Worker:
    """One worker, its attempts and the ledger of what it has started.

    ``fences`` and ``leases`` hold the newest epoch and sequence, and the end of the
    lease, by pool. ``version`` rises with each change of an attempt. ``refused``
    counts the messages that were refused as stale.
    """

    def __init__(self, name):
        self.name = name
        self.knobs = WorkerKnobs()
        self.ledger = []
        self.refused = 0
        self.changes = Notifier()
        self.restart()

    def restart(self):
        """Drop all state but the ledger, like a worker process that restarts."""
        self.incarnation = secrets.token_hex(4)
        self.version = 0
        self.runs = {}
        self.fences = {}
        self.leases = {}
        self.changes.notify()

    def _bump_version(self, run):
        self.version += 1
        run.version = self.version

    def _end(self, run, phase, at, reason=""):
        run.phase, run.ended_at, run.reason = phase, at, reason
        run.line.end = phase.value
        if phase is not AttemptPhase.DONE:
            run.line.lost = max(0.0, run.work - run.saved)
        self._bump_version(run)

    def _possible_ends(self, run):
        """Yield the time of each possible end of ``run`` and its phase then."""
        yield run.since + (run.total_work - run.work) / run.rate, AttemptPhase.DONE
        if run.fails_at is not None:
            yield run.fails_at, AttemptPhase.FAILED
        if run.stops_at is not None:
            yield run.stops_at, AttemptPhase.STOPPED
        yield self.leases[run.pool], AttemptPhase.LAPSED

    def advance(self, now):
        """Advance the state of the attempts to the time ``now``."""
        for run in self.runs.values():
            if run.phase is not AttemptPhase.RUNNING:
                continue
            at, phase = min(self._possible_ends(run), key=lambda end: end[0])
            worked_until = min(at, now)
            run.work += max(0.0, worked_until - run.since) * run.rate
            run.since = max(run.since, worked_until)
            if at <= now:
                self._finish(run, phase, at)
            elif not run.usage_visible and now >= run.started_at + self.knobs.usage_lag:
                run.usage_visible = True
                self._bump_version(run)

    def _finish(self, run, phase, at):
        reason = "failed on request" if phase is AttemptPhase.FAILED else ""
        memory = self.knobs.memory.get(run.start.job, 0)
        if phase is AttemptPhase.DONE and memory > run.start.need.memory:
            phase, reason = AttemptPhase.MEMORY, f"used {memory} bytes"
        if phase is AttemptPhase.STOPPED and run.saves_checkpoint:
            run.saved = run.work
        self._end(run, phase, at, reason)

    def next_event(self, now):
        """Return the seconds until the next change without a request."""
        times = [
            at
            for run in self.runs.values()
            if run.phase is AttemptPhase.RUNNING
            for at, _ in self._possible_ends(run)
        ]
        times += [
            run.started_at + self.knobs.usage_lag
            for run in self.runs.values()
            if run.phase is AttemptPhase.RUNNING and not run.usage_visible
        ]
        return max(MIN_WAIT_SECONDS, min(times, default=1e9) - now)

    def attempt(self, run):
        """Return the reported ``Attempt`` for ``run``."""
        start = run.start
        memory = self.knobs.memory.get(start.job, start.need.memory // 2)
        has_usage = run.usage_visible or run.phase is not AttemptPhase.RUNNING
        return Attempt(
            start.task,
            start.attempt,
            run.version,
            run.phase,
            start.need.cores if has_usage else 0.0,
            memory if has_usage else 0,
            round(run.work, 3),
            round(run.saved, 3),
            run.limit,
            run.stops_at is not None,
            run.reason,
        )

    def _start(self, orders, start, now):
        latest = self.runs.get(start.task)
        if latest is not None and latest.start.attempt >= start.attempt:
            return
        line = LedgerLine(start.task, start.attempt, start.job, orders.epoch, now)
        self.ledger.append(line)
        knobs = self.knobs
        total_work = knobs.run_times.get(start.job, knobs.run_time)
        fails = knobs.fail_all or start.job in knobs.fail_jobs
        run = Run(start, orders.pool, line, now, now, 0, total_work)
        run.fails_at = now + FAIL_AFTER_SECONDS if fails else None
        run.work = run.saved = start.saved
        self.runs[start.task] = run
        self._bump_version(run)

    def _stop(self, orders, stop, now):
        run = self.runs.get(stop.task)
        if run is None or run.start.attempt < stop.attempt:
            start = wire.Start(stop.task, stop.attempt, "", Resources())
            line = LedgerLine(stop.task, stop.attempt, "", orders.epoch, now)
            run = Run(start, orders.pool, line, now, now, 0, 0.0)
            self.runs[stop.task] = run
            self._end(run, AttemptPhase.UNSTARTED, now)
        elif run.phase is AttemptPhase.RUNNING and run.start.attempt == stop.attempt:
            has_time = stop.patience >= self.knobs.checkpoint_time
            run.saves_checkpoint = bool(stop.patience) and has_time
            delay = min(stop.patience, self.knobs.checkpoint_time)
            run.stops_at = now + delay
            self._bump_version(run)

    def _limit(self, limit):
        run = self.runs.get(limit.task)
        if run is not None and run.start.attempt == limit.attempt:
            run.limit = limit.cores
            self._bump_version(run)

    def apply_orders(self, orders, now):
        """Carry out ``orders`` and return the ids of the tasks in them."""
        for task in orders.forget:
            if task in self.runs and self.runs[task].phase is not AttemptPhase.RUNNING:
                del self.runs[task]
        for start in orders.starts:
            self._start(orders, start, now)
        for stop in orders.stops:
            self._stop(orders, stop, now)
        for limit in orders.limits:
            self._limit(limit)
        self.advance(now)
        self.changes.notify()
        return {o.task for o in (*orders.starts, *orders.stops, *orders.limits)}

    def _admit(self, pool, epoch, sequence, lease, now):
        """Return whether an epoch and sequence are not stale; renew the lease if so.

        A ``sequence`` of 0 stands for a report request, which has none.
        """
        fence = self.fences.get(pool, (0, 0))
        is_current = (epoch, sequence) > fence if sequence else epoch >= fence[0]
        if not is_current:
            self.refused += 1
            return False
        self.fences[pool] = max(fence, (epoch, sequence))
        self.leases[pool] = now + lease
        return True

    def report(self, incarnation, since):
        """Return a ``Report`` of the attempts that changed after version ``since``.

        It holds all attempts if ``incarnation`` is not the current one.
        """
        whole = incarnation != self.incarnation
        attempts = tuple(
            self.attempt(run)
            for run in self.runs.values()
            if whole or run.version > since
        )
        return wire.Report(self.incarnation, self.version, whole, attempts)

    async def _serve_report(self, body, send):
        request = wire.decode_report_request(body)
        started = anyio.current_time()
        self.advance(started)
        if not self._admit(request.pool, request.epoch, 0, request.lease, started):
            await knobs_module.send_json(send, http.HTTPStatus.CONFLICT, {})
            return
        with anyio.move_on_after(request.wait):
            while (
                request.incarnation == self.incarnation
                and self.version <= request.since
            ):
                with anyio.move_on_after(self.next_event(anyio.current_time())):
                    await self.changes.wait()
                self.advance(anyio.current_time())
        report = self.report(request.incarnation, request.since)
        await knobs_module.send_json(send, 200, wire.encode_report(report))

    async def _serve_orders(self, body, send):
        orders = wire.decode_orders(body)
        now = anyio.current_time()
        self.advance(now)
        if orders.incarnation != self.incarnation or not self._admit(
            orders.pool, orders.epoch, orders.sequence, orders.lease, now
        ):
            await knobs_module.send_json(send, http.HTTPStatus.CONFLICT, {})
            return
        tasks = self.apply_orders(orders, now)
        if self.knobs.lose_replies > 0:
            self.knobs.lose_replies -= 1
            await anyio.sleep_forever()
        attempts = tuple(self.attempt(self.runs[t]) for t in tasks if t in self.runs)
        report = wire.Report(self.incarnation, self.version, False, attempts)
        await knobs_module.send_json(send, 200, wire.encode_report(report))

    async def app(self, scope, receive, send):
        """Serve reports, orders, the ledger and the knobs over HTTP."""
        path = scope["path"]
        if path == knobs_module.KNOBS_PATH:
            await knobs_module.serve_knobs(self.knobs, scope, receive, send)
            return
        body = await http_server.read_body(receive, MAX_BODY_BYTES)
        if path == wire.REPORT_PATH:
            await self._serve_report(body, send)
        elif path == wire.ORDERS_PATH:
            await self._serve_orders(body, send)
        elif path == LEDGER_PATH:
            self.advance(anyio.current_time())
            ledger = {"refused": self.refused, "lines": self.ledger}
            await knobs_module.send_json(send, 200, ledger)
        elif path == RESTART_PATH:
            self.restart()
            await knobs_module.send_json(send, 200, {})
        else:
            await knobs_module.send_json(send, http.HTTPStatus.NOT_FOUND, {})
