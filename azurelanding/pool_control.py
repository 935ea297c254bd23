"""Control one pool: read how runs ended, place tasks, store the decision, send orders.

A decision is stored before any order is sent to a worker, so a controller that takes
over knows every run that may be in progress and on which worker. The store refuses
requests with an earlier epoch, and so does each worker that its successor has called;
``lease_permission`` limits what a superseded controller does to the others.
"""

import time

import anyio
import structlog

from azurelanding import (
    account_shares,
    evacuation,
    job_ends,
    job_placement,
    lost_runs,
)
from azurelanding.appender import Appender, NotStoredError, OutcomeUnknownError
from azurelanding.fleet_workers import WorkerPhase
from azurelanding.job_draft import MAX_CHANGES_PER_KIND_COUNT, JobDraft
from azurelanding.jobs import RunEnd
from azurelanding.late_submissions import LateSubmissions
from azurelanding.ledger import LeaseVoters, WorkersVacated
from azurelanding.pool_accounts import PoolAccounts
from azurelanding.pool_links import PoolLinks
from azurelanding.pool_stops import PoolStops, log_run
from azurelanding.pool_stream import TOPIC
from azurelanding.start_budget import OVERHEAD_BYTES, order_bytes
from azurelanding.store import Producer, StoreError, StoreFencedError
from azurelanding.supervision import keep_running
from azurelanding.utils import Notifier, boot_time
from azurelanding.worker_calls import StartOrder
from azurelanding.worker_capacity import free_capacity_by_worker
from azurelanding.worker_health import WorkerFailureTracker

logger = structlog.get_logger()

CHECK_INTERVAL_SECONDS = 0.25
"""Longest time between two decisions; no event is sent when a job becomes due or a
lease expires."""
BATCH_SECONDS = 0.004
"""How long events are batched into one decision; shorter than one append takes."""
STORE_TIMEOUT_SECONDS = 3600.0
"""Append timeout; a controller waits for the store as long as it controls its pool."""
EXPIRY_INTERVAL_SECONDS = 5.0
"""Interval of checks for expired jobs; also the clock slack added to the retention."""
MAX_UNANSWERED_STARTS_COUNT = 250
"""Limit on the starts under way to the workers that tasks may be placed on. Orders go
out in turn, so a more urgent start waits behind them."""
ANSWER_CHECK_SECONDS = 0.05
"""Time between two decisions while starts wait for the answers to earlier ones."""
REPEAT_WAIT_LEASE_SHARE = 1 / 3
"""Longest wait of a repeated start for the budget, as a share of the longest lease."""


class ControlLostError(Exception):
    """Another daemon has taken over the control of the pool."""


def _with_ends_left(ends_read):
    """Return the workers with ends that are left for the next decision."""
    return {link.entry.id for link, number, _ in ends_read if number < max(link.ends)}


class PoolController:
    """Controls one pool under one epoch until another daemon takes it over.

    ``stream`` is the ``PoolStream`` of the pool's partition. ``daemon`` provides the
    worker registry, the fleet state, the site settings, the metrics and the clients.
    ``task_backoffs`` maps tasks to the ``boot_time`` until which they are not placed.
    """

    def __init__(self, pool, epoch, stream, daemon):
        self.pool = pool
        self.epoch = epoch
        self.stream = stream
        self.ledger = stream.ledger
        self.daemon = daemon
        self.metrics = daemon.metrics
        producer = Producer(f"control-{pool}", epoch)
        self.appender = Appender(
            TOPIC, stream.partition, stream.make_client(), producer, self.end_control
        )
        self.start_budget = daemon.start_budget
        self.pool_links = PoolLinks(
            pool,
            epoch,
            stream.ledger,
            daemon,
            self.wake,
            self.end_control,
            self._charge_repeat,
        )
        self.links = self.pool_links.links
        self.task_backoffs = {}
        self.worker_failures = WorkerFailureTracker()
        self.stops = PoolStops(
            pool, self.ledger, self.links, self.worker_failures, self.metrics
        )
        self.permits = daemon.make_start_permits()
        self.accounts = PoolAccounts(pool, daemon)
        self.late_submissions = LateSubmissions(pool, epoch, stream, daemon, self.wake)
        self.is_lost = False
        self.waits_for_answers = False
        self.decision_scope = anyio.CancelScope()
        self.needs_decision = True
        self.decision_requested = Notifier()
        self.last_expiry_at = boot_time()

    def end_control(self):
        """End the control; ``run`` then raises ``ControlLostError``.

        A decision that waits for the store is abandoned, as leases are extended until
        ``run`` has ended.
        """
        self.is_lost = True
        self.decision_scope.cancel()

    def wake(self):
        """Request a new decision."""
        self.needs_decision = True
        self.decision_requested.notify()

    async def run(self):
        """Control the pool until cancelled.

        Raises ``ControlLostError`` once another daemon controls it.
        """
        await self._take_over()
        self.start_budget.join(self, boot_time())
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self.appender.run)
            task_group.start_soon(self._follow_stream)
            task_group.start_soon(self._follow_divisions)
            for name, run in (
                (f"request permits {self.pool}", self.permits.run),
                (f"watch links {self.pool}", self.pool_links.run_watch),
                (f"check jobs {self.pool}", self.late_submissions.run),
            ):
                task_group.start_soon(keep_running, name, run, self.metrics)
            try:
                with self.decision_scope:
                    await self._decide_until_lost(task_group)
            finally:
                task_group.cancel_scope.cancel()
                await self._close()
        raise ControlLostError(
            f"pool {self.pool} is no longer controlled under epoch {self.epoch}"
        )

    async def _take_over(self):
        """Fence earlier controllers at the store, then read all that they appended."""
        while not self.is_lost:
            try:
                await self.appender.client.append(
                    TOPIC, self.stream.partition, (), self.appender.producer, 0
                )
                await self.stream.follower.refresh()
                if self.accounts.are_limited():
                    # Not older than any division that an earlier controller adopted.
                    await self.daemon.fleet_follower.refresh()
                break
            except StoreFencedError as error:
                logger.info(
                    "pool already taken over", pool=self.pool, reason=str(error)
                )
                raise ControlLostError(str(error)) from error
            except StoreError as error:
                logger.info(
                    "takeover waits for the store", pool=self.pool, reason=str(error)
                )
                await anyio.sleep(CHECK_INTERVAL_SECONDS)
        self.pool_links.begin()
        logger.info(
            "pool taken over",
            pool=self.pool,
            epoch=self.epoch,
            jobs=len(self.ledger.active),
            workers=len(self.ledger.placed),
        )
        self.metrics.count("takeovers")

    async def _follow_stream(self):
        while True:
            await self.stream.follower.changes.wait()
            self.wake()

    async def _follow_divisions(self):
        while True:
            await self.daemon.fleet.division_changes.wait()
            self.wake()

    async def _decide_until_lost(self, task_group):
        while not self.is_lost:
            longest = (
                ANSWER_CHECK_SECONDS
                if self.waits_for_answers
                else CHECK_INTERVAL_SECONDS
            )
            budget_wait = self.start_budget.seconds_to_wait(self, boot_time())
            with anyio.move_on_after(min(longest, budget_wait)):
                await self.decision_requested.wait_until(lambda: self.needs_decision)
            if self.needs_decision:
                await anyio.sleep(BATCH_SECONDS)
            self.needs_decision = False
            self.pool_links.reconcile(task_group)
            await self._decide()

    # Decisions

    async def _decide(self):
        """Compute a decision from the current state, store it, then send its orders."""
        draft = JobDraft(self.ledger, self.pool)
        ends_read = self._record_ends(draft)
        self._record_begun_jobs(draft)
        lost_runs.free_lost_runs(self, draft, _with_ends_left(ends_read))
        self._record_cordoned(draft)
        job_ends.end_jobs(draft, time.time())
        draft.drop_ended_tasks()
        self._drop_expired_jobs(draft)
        self.accounts.adopt(draft)
        self._record_voters(draft)
        draft.drop_pins(self.ledger.pins.void)
        self.late_submissions.withdraw(draft)
        starts = self._place(draft)
        records = draft.records()
        if records and not await self._store(records):
            return
        if self.pool_links.permission.proposed is not None:
            self.pool_links.permission.adopt_proposed()
        self._log_ended(draft)
        for link, number, born in ends_read:
            link.acknowledge(number, born)
        for worker_id, order in starts:
            self.links[worker_id].enqueue(order)
        has_stops_left = self.stops.stop_unwanted()
        if draft.is_cut or has_stops_left:
            self.wake()
        self.stops.stop_stalled()
        self._evacuate()
        self.stops.throttle_fillers()

    def _drop_expired_jobs(self, draft):
        """Drop the records of expired jobs and the state of their start permits."""
        now = boot_time()
        if now < self.last_expiry_at + EXPIRY_INTERVAL_SECONDS:
            return
        self.last_expiry_at = now
        retention = self.daemon.site.timing.retention + EXPIRY_INTERVAL_SECONDS
        job_ends.drop_expired_jobs(draft, retention, time.time())
        self.permits.prune(self.ledger.active)

    async def _store(self, records):
        """Append the records of a decision; return whether they are stored."""
        try:
            offset = await self.appender.append(records, STORE_TIMEOUT_SECONDS)
        except (NotStoredError, OutcomeUnknownError) as error:
            logger.warning("decision not stored", pool=self.pool, reason=str(error))
            self.end_control()
            return False
        self.stream.apply_appended(records, offset)
        return True

    def _log_ended(self, draft):
        """Log each job that ended, with its duration and its objective in seconds."""
        for record in draft.ended.values():
            job = self.ledger.jobs[record.job].job
            seconds = record.at - job.due_at(job.occurrences - 1)
            logger.info(
                "job ended",
                job=record.job,
                queue=job.queue,
                outcome=record.outcome.value,
                seconds=round(seconds, 3),
                objective=round(draft.objectives[record.job], 3),
            )
            self.metrics.count(f"jobs_{record.outcome.value}")
            self.metrics.observe("job_seconds", seconds)

    def _record_ends(self, draft):
        """Record the ends that workers report, as many of each as of the others.

        Returns for each link with ends the link, the highest number read from it and
        ``born`` of the incarnation that reported them.
        """
        ends_read = []
        links = [link for link in self.links.values() if link.ends]
        share = max(1, MAX_CHANGES_PER_KIND_COUNT // max(1, len(links)))
        for link in links:
            numbers = sorted(link.ends)[:share]
            draft.is_cut = draft.is_cut or len(numbers) < len(link.ends)
            for number in numbers:
                end = link.ends[number]
                was_active = job_ends.record_run_end(
                    draft, end.task, end.run, end.end, end.checkpoint, link.entry.id
                )
                link.drop_run((end.task, end.run))
                self._log_end(link, end, was_active)
            ends_read.append((link, numbers[-1], link.born))
        return ends_read

    def _log_end(self, link, end, was_active):
        if was_active and end.end is RunEnd.DONE:
            self.worker_failures.record_success(link.entry.id)
        elif was_active and end.end is RunEnd.FAILED:
            self.worker_failures.record_failure(
                link.entry.id, end.task.job, boot_time()
            )
        self.metrics.count(f"ends_{end.end.value}")
        fields = {"end": end.end.value, "counted": was_active}
        log_run("run ended", link.entry.id, end.task, end.run, **fields)

    def _record_begun_jobs(self, draft):
        begun, self.pool_links.begun = self.pool_links.begun, {}
        for task_id, run in begun.values():
            job_ends.record_begin(draft, task_id, run)

    def _record_voters(self, draft):
        """Record which workers decide who extends leases, if they have changed.

        Until that is stored, both sets count.
        """
        voters = self.pool_links.voters_to_store()
        if voters is not None:
            draft.add(LeaseVoters(self.pool, tuple(sorted(voters))))
            self.pool_links.permission.propose(voters)

    # Placement

    def _free_capacity(self, draft, excluded):
        return free_capacity_by_worker(
            self.pool_links, excluded, self.worker_failures, draft
        )

    def _is_backing_off(self, task_id):
        until = self.task_backoffs.get(task_id)
        if until is None:
            return False
        if boot_time() < until:
            return True
        del self.task_backoffs[task_id]
        return False

    def _place(self, draft):
        """Place the ready tasks; return pairs of a worker and its ``StartOrder``.

        Tasks for which the link has no room now stay ready, the least urgent ones, and
        so do those for which too many starts are under way.
        """
        self.waits_for_answers = False
        if not draft.has_startable_jobs():
            self._record_held_back(0)
            return []
        free_capacity = self._free_capacity(draft, self.daemon.cordoned())
        room = MAX_UNANSWERED_STARTS_COUNT - sum(
            len(self.links[worker_id].start_times) for worker_id in free_capacity
        )
        if room <= 0:
            self.waits_for_answers = True
            self._record_held_back(0)
            return []
        now = time.time()
        bounds = job_placement.FreeBounds(free_capacity.values())
        ready_steps = self._ready_steps(draft, bounds, now)
        shares = self.accounts.shares(draft, free_capacity.values())
        starts, tightened_after, full_steps = [], 0, set()
        for ready, share_limit in account_shares.in_turn(
            ready_steps, lambda ready: job_placement.urgency(ready, now), shares
        ):
            is_full = (ready.state.job.id, ready.number) in full_steps
            if is_full or not bounds.may_fit(ready.step.need, ready.step.fills):
                continue
            account_limit = min(share_limit, self.accounts.task_limit(draft, ready))
            waiting = job_placement.without_placed(ready, draft)
            if account_limit <= 0 or not waiting.tasks:
                continue
            limit = self.start_budget.affordable(
                self, OVERHEAD_BYTES + len(ready.state.job.spec), boot_time()
            )
            if not limit or len(starts) >= room:
                break
            limit = min(limit, room - len(starts), account_limit)
            placed = self._place_step(draft, ready, waiting, free_capacity, limit)
            starts.extend(placed)
            shares.charge(ready, len(placed))
            if len(placed) < len(waiting.tasks) and len(starts) > tightened_after:
                bounds.tighten()
                tightened_after = len(starts)
            if len(placed) < min(len(waiting.tasks), limit):
                self._note_full_step(ready, full_steps)
            elif ready.has_more_occurrences:
                draft.is_cut = True
        self.waits_for_answers = len(starts) >= room
        left = sum(len(ready.tasks) for ready in ready_steps) - len(starts)
        is_spent = not self.start_budget.affordable(self, 1, boot_time())
        self._record_held_back(left if is_spent else 0)
        return starts

    def _ready_steps(self, draft, bounds, now):
        """Return the steps that may start now and that workers may have room for."""
        return [
            ready
            for state in draft.startable_jobs(bounds.may_fit)
            if self.late_submissions.may_start(state)
            for ready in job_placement.ready_steps(
                state,
                now,
                self._is_backing_off,
                lambda step: bounds.may_fit(step.need, step.fills),
                MAX_UNANSWERED_STARTS_COUNT,
            )
        ]

    def _place_step(self, draft, ready, waiting, free_capacity, limit):
        """Place up to ``limit`` tasks of a step, as ``_place`` does."""
        usable_workers = self.permits.usable_workers(ready, free_capacity, self.wake)
        placed_tasks = job_placement.place(waiting, usable_workers, limit)
        gang_run = self._next_gang_run(ready) if placed_tasks else None
        starts = []
        for placed in placed_tasks:
            starts.append(self._start(draft, ready, placed, gang_run))
            self._count_start(starts[-1][1])
        return starts

    def _note_full_step(self, ready, full_steps):
        """Note a step that no worker has room for, also not in other occurrences."""
        job = ready.state.job
        if not ready.step.per_worker and self.permits.find_advice(job.queue) is None:
            full_steps.add((job.id, ready.number))

    def _record_held_back(self, count):
        """Note how many ready tasks the budget holds back."""
        now = boot_time()
        self.start_budget.set_waiting(self, count > 0, now)
        self.pool_links.watch.record_held_back(count, now)

    def _count_start(self, order):
        """Count the bytes of a start against the budget."""
        self.start_budget.spend(self, order_bytes(order))

    def _charge_repeat(self, order):
        """Count the repetition of a start; return the seconds until there is room.

        It goes before starts that are not decided yet, which wait until it is paid for.
        """
        longest = self.daemon.site.timing.longest_lease * REPEAT_WAIT_LEASE_SHARE
        debt = self.start_budget.seconds_in_debt(self, boot_time())
        self._count_start(order)
        return min(debt, longest)

    def _start(self, draft, ready, placed, gang_run):
        job, task_id = ready.state.job, placed.task
        task = draft.job(job.id).task(task_id).copy()
        task.last_run = gang_run or task.last_run + 1
        task.active[task.last_run] = placed.worker
        draft.set_task(task_id, task)
        failures = task.failures
        log_run("task placed", placed.worker, task_id, task.last_run, failures=failures)
        self.metrics.count("starts")
        self.metrics.observe("start_seconds", time.time() - job.submitted_at)
        ticket = self.permits.ticket(ready, placed.worker)
        spec, saved = job.spec, task.checkpoint
        order = StartOrder(task_id, task.last_run, spec, saved, ticket)
        return placed.worker, order

    def _next_gang_run(self, ready):
        """Return the next run number of all members of a gang, ``None`` without one."""
        if not ready.step.gang:
            return None
        known = self.ledger.active[ready.state.job.id]
        return 1 + max(known.task(member).last_run for member in ready.tasks)

    # Draining workers

    def _record_cordoned(self, draft):
        """Record the cordoned workers, which this controller keeps drained."""
        cordoned = self.daemon.cordoned()
        workers = tuple(sorted(cordoned & self.pool_links.registered.keys()))
        if workers != self.ledger.vacated.get(self.pool, ()):
            draft.add(WorkersVacated(self.pool, workers))

    def _evacuate(self):
        """Stop long-running tasks on cordoned and on draining workers."""
        cordoned = self.daemon.cordoned() & self.links.keys()
        draining = {
            worker_id
            for worker_id, entry in self.pool_links.registered.items()
            if entry.phase is WorkerPhase.DRAINING
        }
        if not (cordoned | draining):
            return
        free_capacity = self._free_capacity(
            JobDraft(self.ledger, self.pool), cordoned | draining
        )
        steady = evacuation.steady_runs(self.links.values(), boot_time())
        for task_id, run, worker in evacuation.runs_to_evacuate(
            self.ledger, self.pool, cordoned, draining, steady, free_capacity
        ):
            self.stops.stop(worker, task_id, run, "worker about to end")

    async def _close(self):
        self.start_budget.leave(self)
        self.pool_links.close()
        with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
            await self.appender.close()
            await self.permits.close()
