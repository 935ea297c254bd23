"""Control one pool: learn how runs end, decide what starts, record, then order.

A decision is stored before any worker is told of it, so a controller that takes over
knows every run that may be under way and on which worker. The epoch of the control
refuses what an earlier controller still sends, at the store and at the workers.
"""

import time

import anyio
import structlog

from azurelanding import evacuation, job_ends, job_placement, missing_workers
from azurelanding.appender import Appender, NotStoredError, OutcomeUnknownError
from azurelanding.fleet_workers import WorkerPhase
from azurelanding.job_draft import JobDraft
from azurelanding.jobs import RunEnd
from azurelanding.ledger import WorkersMissing, WorkersVacated
from azurelanding.pool_links import PoolLinks
from azurelanding.pool_stops import PoolStops, log_run
from azurelanding.pool_stream import TOPIC
from azurelanding.store import Producer, StoreError, StoreFencedError
from azurelanding.utils import Notifier, boot_time
from azurelanding.worker_calls import Refusal, StartOrder
from azurelanding.worker_capacity import usable_rooms
from azurelanding.worker_health import WorkerFailureTracker

logger = structlog.get_logger()

LOOK_SECONDS = 0.25
"""Time between two looks at what changes without notice: due times, leases."""
BATCH_SECONDS = 0.004
"""Time to gather events that come together; under the time of one append."""
STORE_PATIENCE_SECONDS = 3600.0
"""A controller waits for the store as long as it holds its pool."""
FORGET_SECONDS = 5.0
"""Time between two looks for jobs whose retention is over, and its slack for clocks."""
FULL_PAUSE_SECONDS = 0.4
"""How long a worker that refused for want of room gets no start."""
TASK_PAUSE_SECONDS = 0.5
"""How long a task rests after a start that was refused."""


class ControlLostError(Exception):
    """Another daemon controls the pool."""


class PoolController:
    """The control of one pool under one epoch, until it is lost.

    ``duties()`` returns the names of the hosts that are to be emptied, ``queues``
    looks up a queue by name. ``make_worker_client(entry, epoch)`` returns a client.
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
        self.workers = PoolLinks(pool, epoch, stream.ledger, daemon, self.wake)
        self.links = self.workers.links
        self.rests = {}
        self.healths = WorkerFailureTracker()
        self.stops = PoolStops(
            pool, self.ledger, self.links, self.healths, self.metrics
        )
        self.permits = daemon.make_start_permits()
        self.is_lost = False
        self.is_due = True
        self.due = Notifier()
        self.started_at = self.forgot_at = boot_time()

    def end_control(self):
        """Note that the control is lost."""
        self.is_lost = True
        self.wake()

    def wake(self):
        """Ask for a decision."""
        self.is_due = True
        self.due.notify()

    async def run(self):
        """Control the pool until cancelled.

        Raises ``ControlLostError`` once another daemon controls it.
        """
        await self._take_over()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self.appender.run)
            task_group.start_soon(self._follow_stream)
            task_group.start_soon(self.permits.run)
            try:
                await self._decide_until_lost(task_group)
            finally:
                task_group.cancel_scope.cancel()
                await self._close()
        raise ControlLostError(f"{self.pool} under epoch {self.epoch}")

    async def _take_over(self):
        """Refuse earlier controllers at the store, then read all they have written."""
        while not self.is_lost:
            try:
                await self.appender.client.append(
                    TOPIC, self.stream.partition, (), self.appender.producer, 0
                )
                await self.stream.follower.refresh()
                break
            except StoreFencedError as error:
                logger.info("pool already taken", pool=self.pool, reason=str(error))
                raise ControlLostError(str(error)) from error
            except StoreError as error:
                logger.info("takeover waits", pool=self.pool, reason=str(error))
                await anyio.sleep(LOOK_SECONDS)
        self.started_at = boot_time()
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

    async def _decide_until_lost(self, task_group):
        while not self.is_lost:
            with anyio.move_on_after(LOOK_SECONDS):
                await self.due.wait_until(lambda: self.is_due)
            if self.is_due:
                await anyio.sleep(BATCH_SECONDS)
            self.is_due = False
            self.workers.match(task_group)
            if self.workers.is_fenced():
                self.end_control()
            await self._decide()

    # Decisions

    async def _decide(self):
        """Take one decision over all that is known, store it, then act on it."""
        draft = JobDraft(self.ledger, self.pool)
        seen = self._note_ends(draft)
        self._note_losses(draft)
        self._note_vacated(draft)
        job_ends.end_jobs(draft, time.time())
        self._forget(draft)
        starts = self._place(draft)
        records = draft.records()
        if records and not await self._store(records):
            return
        self._log_ended(draft)
        for link, number in seen:
            link.acknowledge(number)
        for worker_id, order in starts:
            self.links[worker_id].order(order)
        self.stops.stop_unwanted()
        self.stops.stop_stuck()
        self._evacuate()
        self.stops.level()

    def _forget(self, draft):
        """Drop what is over, now and then."""
        now = boot_time()
        if now < self.forgot_at + FORGET_SECONDS:
            return
        self.forgot_at = now
        retention = self.daemon.site.timing.retention + FORGET_SECONDS
        job_ends.forget_jobs(draft, retention, time.time())
        self.permits.prune(self.ledger.active)

    async def _store(self, records):
        """Store a decision; return whether it counts."""
        try:
            offset = await self.appender.append(records, STORE_PATIENCE_SECONDS)
        except (NotStoredError, OutcomeUnknownError) as error:
            logger.warning("decision not stored", pool=self.pool, reason=str(error))
            self.end_control()
            return False
        self.stream.apply_appended(records, offset)
        return True

    def _log_ended(self, draft):
        """Log the jobs that ended, with how long they took and were to take."""
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

    def _note_ends(self, draft):
        """Note the ends that workers list; return how far each was taken in."""
        seen = []
        for link in self.links.values():
            for number in sorted(link.ends):
                end = link.ends[number]
                known = job_ends.record_run_end(
                    draft, end.task, end.run, end.end, end.checkpoint, link.entry.id
                )
                link.forget((end.task, end.run))
                self._log_end(link, end, known)
            if link.ends:
                seen.append((link, max(link.ends)))
        return seen

    def _log_end(self, link, end, known):
        if known and end.end is RunEnd.DONE:
            self.healths.record_success(link.entry.id)
        elif known and end.end is RunEnd.FAILED:
            self.healths.record_failure(link.entry.id, end.task.job, boot_time())
        self.metrics.count(f"ends_{end.end.value}")
        facts = {"end": end.end.value, "counted": known}
        log_run("run ended", link.entry.id, end.task, end.run, **facts)

    def _note_losses(self, draft):
        """Free the runs that surely are not under way any more."""
        now, ended = boot_time(), self.daemon.fleet.ended()
        for worker_id, link in list(self.links.items()):
            link.is_gone = link.is_gone or self._is_over(worker_id, ended)
            for (task, run), refusal in link.not_started:
                self._note_refused(draft, link, task, run, refusal)
            link.not_started = []
            for task, run in link.lost:
                self._free(draft, link, task, run, "not listed by its worker")
            link.lost = []
            if link.is_gone or now > link.leased_until:
                reason = "worker gone" if link.is_gone else "lease over"
                for task, run in list(self.ledger.placed.get(worker_id, ())):
                    self._free(draft, link, task, run, reason)
        self._note_missing(draft, now, ended)

    def _is_over(self, worker_id, ended):
        """Tell whether a worker's life is surely over, whatever its lease."""
        return worker_id in ended or self.daemon.registry.is_over(worker_id)

    def _note_missing(self, draft, now, ended):
        """Free the runs on workers that no entry names, once their lease is over.

        Since when a worker is missing is stored, so that a takeover does not wait
        for the whole of its lease anew. It is followed again only once the record no
        longer names it, for its lease is extended from then on.
        """
        registered = self.workers.registered
        runs = missing_workers.find_runs(self.ledger, self.pool, self.links, registered)
        known, wall = self.ledger.missing.get(self.pool, {}), time.time()
        missing = {name: known.get(name, wall) for name in sorted(runs)}
        if missing != known:
            draft.add(WorkersMissing(self.pool, missing))
        lease = self.daemon.site.timing.longest_lease
        for name in missing:
            since = known.get(name)
            if self._is_over(name, ended) or missing_workers.is_expired(
                since, self.started_at, lease, now, wall
            ):
                for task, run in runs[name]:
                    job_ends.record_lost_run(draft, task, run)
                    log_run("run freed", name, task, run, reason="no worker")

    def _free(self, draft, link, task, run, reason):
        job_ends.record_lost_run(draft, task, run)
        link.forget((task, run))
        if not link.is_gone:
            # A start without an answer may still be carried out.
            link.stop_first(task, run)
        log_run("run freed", link.entry.id, task, run, reason=reason)

    def _note_refused(self, draft, link, task, run, refusal):
        now = boot_time()
        job_ends.record_lost_run(draft, task, run)
        link.forget((task, run))
        self.rests[task] = now + TASK_PAUSE_SECONDS
        if refusal is Refusal.NO_ROOM:
            link.paused_until = max(link.paused_until, now + FULL_PAUSE_SECONDS)
            self.rests.pop(task)
        if refusal is Refusal.NO_TICKET:
            self.permits.forget(task, link.entry.id)
        self.metrics.count(f"start_refused_{refusal.value if refusal else 'none'}")
        reason = refusal.value if refusal else None
        log_run("start refused", link.entry.id, task, run, reason=reason)

    # Placement

    def _rooms(self, draft, cordoned):
        return usable_rooms(self.workers, cordoned, self.healths, draft)

    def _rests(self, task_id):
        until = self.rests.get(task_id)
        if until is None:
            return False
        if boot_time() < until:
            return True
        del self.rests[task_id]
        return False

    def _place(self, draft):
        """Place what is ready; return the orders by worker."""
        now = time.time()
        ready = [
            step
            for state in draft.jobs()
            for step in job_placement.ready_steps(state, now, self._rests)
        ]
        if not ready:
            return []
        rooms = self._rooms(draft, self.daemon.cordoned())
        ready.sort(key=lambda step: job_placement.urgency(step, now))
        starts = []
        for step in ready:
            usable_workers = self.permits.usable_workers(step, rooms, self.wake)
            for placed in job_placement.place(step, usable_workers):
                starts.append(self._start(draft, step, placed))
        return starts

    def _start(self, draft, ready, placed):
        job, task_id = ready.state.job, placed.task
        task = draft.job(job.id).task(task_id).copy()
        task.last_run = self._next_run(draft, ready, task)
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

    def _next_run(self, draft, ready, task):
        """Return the next run of a task; the members of a gang share theirs."""
        if not ready.step.gang:
            return task.last_run + 1
        known = self.ledger.active[ready.state.job.id]
        return 1 + max(known.task(member).last_run for member in ready.tasks)

    # Emptying workers

    def _note_vacated(self, draft):
        """Record which workers this controller keeps empty for their hosts' sake."""
        cordoned = self.daemon.cordoned()
        workers = tuple(sorted(cordoned & self.workers.registered.keys()))
        if workers != self.ledger.vacated.get(self.pool, ()):
            draft.add(WorkersVacated(self.pool, workers))

    def _evacuate(self):
        """Stop long-running tasks on workers that are about to end."""
        leaving = self.daemon.cordoned() & self.links.keys()
        draining = {
            worker_id
            for worker_id, entry in self.workers.registered.items()
            if entry.phase is WorkerPhase.DRAINING
        }
        if not (leaving | draining):
            return
        rooms = self._rooms(JobDraft(self.ledger, self.pool), leaving | draining)
        steady = evacuation.steady_runs(self.links.values(), boot_time())
        for task_id, run, worker in evacuation.runs_to_move(
            self.ledger, self.pool, leaving, draining, steady, rooms
        ):
            self.stops.stop(worker, task_id, run, "worker about to end")

    async def _close(self):
        self.workers.close()
        with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
            await self.appender.close()
            await self.permits.close()
