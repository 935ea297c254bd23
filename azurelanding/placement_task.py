"""Run the placement of the pools that this control daemon controls."""

import collections
import itertools
import time

import anyio
import structlog

from azurelanding import orders, placement, quotas, task_ends, task_restating
from azurelanding.fleet import Phase
from azurelanding.hosts import HostKind, Presence
from azurelanding.log_service.client import LogServiceError
from azurelanding.log_service.task_stream import TasksNotRecordedError, TaskStream
from azurelanding.pool_capacity import PoolCapacity, WorkerView
from azurelanding.preemption import PreemptionAction
from azurelanding.quarantine import PROVEN_SECONDS, record_survival
from azurelanding.task_records import TasksDecided, new_record
from azurelanding.tasks import End, Resources
from azurelanding.utils import Notifier
from azurelanding.workers.client import WorkerClient
from azurelanding.workers.follower import TaskWorkerLink, follow_worker
from azurelanding.workers.wire import AttemptPhase

logger = structlog.get_logger()

POLL_INTERVAL_SECONDS = 0.5
MAX_PASS_INTERVAL_SECONDS = 1.0
LEASE_MARGIN_SECONDS = 2.0
STEP_TIMEOUT_SECONDS = 5.0
RESTATE_INTERVAL_SECONDS = 600.0
RESTATE_AFTER_RECORDS = 2_000


class NewerControllerError(Exception):
    """A controller with a newer epoch has written to the stream of the pool."""


def make_view(link, listed, state):
    """Return the ``WorkerView`` of a worker.

    ``link`` is its ``TaskWorkerLink``, ``listed`` its ``Host`` on the host list and
    ``state`` its ``HostState`` in the log; each of the last two may be ``None``.
    """
    host = link.host
    draining = state is None or state.phase is not Phase.SERVING
    leaving = listed is None or listed.presence is not Presence.LIVE
    running = [
        attempt
        for attempt in link.attempts.values()
        if attempt.phase is AttemptPhase.RUNNING
    ]
    return WorkerView(
        host.name,
        host.zone,
        host.rack,
        Resources(host.cores, host.memory, host.accelerators),
        link.incarnation,
        link.is_synced and not draining and not leaving,
        {
            attempt.task: Resources(attempt.cores, attempt.memory)
            for attempt in running
            if attempt.cores
        },
        {attempt.task: attempt.limit for attempt in running if attempt.limit},
        draining or leaving,
        {
            attempt.task: link.first_seen[attempt.task, attempt.attempt]
            for attempt in running
        },
    )


class PoolPlacer:
    """Places the tasks of one pool under one epoch of its lease.

    ``links`` maps workers to their ``TaskWorkerLink`` and ``steps`` tasks to the
    preemption step in progress and its expiry. ``unlisted_since`` maps workers that
    have tasks but were never among the pool's listed hosts to the monotonic time
    when that was first observed. ``unconfirmed`` holds the placements of the last
    decision until its record is read back from the log.
    """

    def __init__(self, pool, epoch, daemon, stream):
        self.pool = pool
        self.epoch = epoch
        self.daemon = daemon
        self.settings = daemon.settings.workers
        self.stream = stream
        self.capacity = PoolCapacity()
        self.links = {}
        self.scopes = {}
        self.reservations = {}
        self.steps = {}
        self.unlisted_since = {}
        self.view_inputs = {}
        self.blocked = {}
        self.unconfirmed = ()
        self.applied_offset = 0
        self.pass_requested = False
        self.pass_requests = Notifier()

    @classmethod
    def from_config(cls, pool, epoch, daemon):
        """Return a placer of ``pool`` for the holder of ``epoch``."""
        stream = TaskStream.from_config(pool, daemon.settings.log_service)
        return cls(pool, epoch, daemon, stream)

    @property
    def tasks(self):
        """Return the pool's tasks as read from its stream so far."""
        return self.stream.tasks

    def _record(self, ended=(), placed=()):
        body = TasksDecided(self.epoch, tuple(ended), tuple(placed))
        return new_record(body, self.daemon.incarnation, "placement", time.time())

    async def _decide(self, ended=(), placed=()):
        """Record a decision; raise ``NewerControllerError`` if the fold rejects it."""
        self.unconfirmed = tuple(placed)
        if not await self.stream.change(self._record(ended, placed)):
            raise NewerControllerError(
                f"pool {self.pool} has the newer epoch {self.tasks.epoch}"
            )
        self.unconfirmed = ()

    def count_tasks_on(self, name):
        """Return how many tasks a worker has, unconfirmed placements included."""
        unconfirmed = sum(placed.worker == name for placed in self.unconfirmed)
        return len(self.tasks.on_worker.get(name, ())) + unconfirmed

    def _pool_hosts(self):
        state = self.daemon.state
        return {
            name: host
            for name, host in self.daemon.host_list.hosts.items()
            if host.kind is HostKind.WORKER
            and name in state.hosts
            and state.hosts[name].pool == self.pool
        }

    async def _follow(self, link):
        with self.scopes[link.host.name]:
            await follow_worker(link, self.settings, self.next_orders, self.on_change)

    def _add_link(self, host, task_group):
        client = WorkerClient.from_config(host.address, self.settings)
        sequences = self.daemon.placements.sequences
        link = TaskWorkerLink(host, self.pool, self.epoch, client, sequences=sequences)
        self.links[host.name] = link
        self.scopes[host.name] = anyio.CancelScope()
        task_group.start_soon(self._follow, link)

    def _drop_link(self, name):
        """Remove a worker that has no tasks or whose host was replaced."""
        self.capacity.remove_worker(name)
        self.view_inputs.pop(name, None)
        del self.links[name]
        self.scopes.pop(name).cancel()

    async def _follow_workers(self, task_group):
        """Run one task for each worker of the pool, until cancelled."""
        while True:
            hosts = self._pool_hosts()
            for name, host in hosts.items():
                link = self.links.get(name)
                if link is not None and link.host.address != host.address:
                    self._drop_link(name)
                if name not in self.links:
                    self._add_link(host, task_group)
            for name in self.links.keys() - hosts.keys():
                if name not in self.tasks.on_worker:
                    self._drop_link(name)
            for name in hosts:
                self._update_view(self.links[name])
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    def _update_view(self, link):
        """Update the view of a worker if it has changed, and whether it is proven."""
        name = link.host.name
        listed = self.daemon.host_list.hosts.get(name)
        state = self.daemon.state.hosts.get(name)
        inputs = (listed, state, link.incarnation, link.changes, link.is_synced)
        if self.view_inputs.get(name) != inputs:
            self.view_inputs[name] = inputs
            self.capacity.update_worker(make_view(link, listed, state))
        if not self.tasks.health.workers[name].proven:
            first_seen = min(link.first_seen.values(), default=time.time())
            if time.time() - first_seen >= PROVEN_SECONDS:
                record_survival(self.tasks.health, name)
                self.capacity.dirty.add(name)

    def on_change(self, link):
        """Update the view of a worker after a report or a failed request."""
        self._update_view(link)
        self._request_pass()

    def _request_pass(self):
        self.pass_requested = True
        self.pass_requests.notify()

    def next_orders(self, link):
        """Return the ``Orders`` to send to a worker, or ``None``."""
        if not self.stream.has_all_records:
            return None
        placed = self.tasks.on_worker.get(link.host.name, {})
        steps = {
            task: step
            for task, (step, _) in self.steps.items()
            if step.worker == link.host.name
        }
        return orders.compute_orders(link, placed, steps, self.settings.lease)

    def _find_ends(self):
        """Return the ``TaskEnd``s of the placed tasks whose attempt has ended."""
        now, listed = anyio.current_time(), self.daemon.host_list.hosts
        lost_after = self.settings.lease + LEASE_MARGIN_SECONDS
        ends = []
        for name, states in self.tasks.on_worker.items():
            link = self.links.get(name)
            for state in states.values():
                if link is None:
                    found = self._find_unlisted_end(name, lost_after, now)
                else:
                    is_listed = name in listed
                    found = orders.find_end(link, state, lost_after, is_listed, now)
                if found is not None:
                    ends.append(self._task_end(state, found))
        return ends

    def _find_unlisted_end(self, name, lost_after, now):
        """Return the end of tasks on a worker that was never listed, or ``None``."""
        if now < self.unlisted_since.setdefault(name, now) + lost_after:
            return None
        return orders.AttemptEnd(End.GONE, f"{name} is not on the host list")

    def _task_end(self, state, found):
        return task_ends.make_task_end(
            state,
            found.end,
            self.tasks.health,
            len(self.links),
            found.reason,
            found.usage,
            found.ran,
            found.saved,
        )

    def _update_steps(self, plan, now):
        """Add the planned steps and drop those that are done or expired."""
        for step in plan.steps:
            self.steps.setdefault(step.task, (step, now + STEP_TIMEOUT_SECONDS))
            if step.action is PreemptionAction.RESTORE:
                self.steps[step.task] = (step, now + STEP_TIMEOUT_SECONDS)
        for task, (_, expires_at) in list(self.steps.items()):
            state = self.tasks.tasks.get(task)
            if expires_at <= now or state is None or state.placement is None:
                del self.steps[task]

    def _apply_host_states(self):
        """Apply host states, such as drains, that were read since the last pass."""
        offset = self.daemon.state.next_offset
        if offset != self.applied_offset:
            self.applied_offset = offset
            for link in self.links.values():
                self._update_view(link)

    async def _run_pass(self):
        """Record the tasks that have ended, then place the waiting ones."""
        ends = self._find_ends()
        if ends:
            await self._decide(ended=ends)
        self._apply_host_states()
        plan = placement.plan_pass(
            self.tasks,
            self.capacity,
            self.daemon.state.rules,
            self.reservations,
            time.time(),
            self.daemon.placements.usage_in_other_pools(self.pool),
        )
        self.blocked = plan.blocked
        self._update_steps(plan, time.time())
        if plan.placements:
            await self._decide(placed=plan.placements)
            self.daemon.metrics.count(f"tasks.{self.pool}.placed", len(plan.placements))
        for link in self.links.values():
            link.orders_due.notify()

    async def _run_passes(self):
        """Run a pass after each change, and also regularly without one.

        Passes are at least ``settings.period`` seconds apart. After that period, the
        next pass waits up to ``MAX_PASS_INTERVAL_SECONDS`` for a change.
        """
        while True:
            self.pass_requested = False
            if self.stream.has_all_records:
                await self._run_pass()
            await anyio.sleep(self.settings.period)
            with anyio.move_on_after(MAX_PASS_INTERVAL_SECONDS):
                await self.pass_requests.wait_until(lambda: self.pass_requested)

    async def _watch_stream(self):
        while True:
            await self.stream.changes.wait()
            self._request_pass()

    async def _read_all_records(self):
        """Read the stream to its end; retry until no record is missing."""
        while True:
            try:
                await self.stream.catch_up()
                if self.stream.has_all_records:
                    return
                logger.error("task records missing from the stream", pool=self.pool)
            except LogServiceError as error:
                logger.warning(
                    "task stream not read", pool=self.pool, reason=str(error)
                )
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def _restate(self):
        """Restate the tasks periodically, so that older records can be trimmed.

        The tasks are restated after ``RESTATE_INTERVAL_SECONDS``, or earlier after
        ``RESTATE_AFTER_RECORDS`` new records.
        """
        restated_at, restated_offset = anyio.current_time(), 0
        while True:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            new_records = self.tasks.next_offset - restated_offset
            is_old = anyio.current_time() - restated_at >= RESTATE_INTERVAL_SECONDS
            if not self.stream.has_all_records or not (
                is_old or new_records >= RESTATE_AFTER_RECORDS
            ):
                continue
            restated_at, restated_offset = anyio.current_time(), self.tasks.next_offset
            for body in task_restating.restate(self.tasks):
                author = self.daemon.incarnation
                await self.stream.append(
                    new_record(body, author, "retention", time.time())
                )

    async def run(self):
        """Place tasks until cancelled or until a newer controller takes over.

        First an empty decision records the epoch, so that the fold rejects any
        further decision of an older epoch.
        """
        try:
            await self._read_all_records()
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self.stream.run)
                await self._decide()
                task_group.start_soon(self._watch_stream)
                task_group.start_soon(self._restate)
                task_group.start_soon(self._follow_workers, task_group)
                task_group.start_soon(self._run_passes)
        except* (NewerControllerError, TasksNotRecordedError) as group:
            logger.warning(
                "placement stopped", pool=self.pool, why=str(group.exceptions)
            )
        finally:
            with anyio.CancelScope(shield=True):
                await self.stream.close()


class Placements:
    """The placers of the pools that this daemon controls, by pool.

    ``sequences`` numbers the orders to workers, also those of later placers of a pool.
    """

    def __init__(self, daemon):
        self.daemon = daemon
        self.sequences = itertools.count(1)
        self.placers = {}
        self.scopes = {}

    def _held_epoch(self, pool):
        """Return the epoch of ``pool`` if this daemon is its last known holder."""
        lease = self.daemon.state.leases.get(pool)
        is_held = lease is not None and lease.holder == self.daemon.incarnation
        return lease.epoch if is_held else None

    async def _run(self, placer):
        with self.scopes[placer.pool]:
            await placer.run()
        if self.placers.get(placer.pool) is placer:
            del self.placers[placer.pool]

    def _start(self, pool, epoch, task_group):
        placer = PoolPlacer.from_config(pool, epoch, self.daemon)
        self.placers[pool] = placer
        self.scopes[pool] = anyio.CancelScope()
        task_group.start_soon(self._run, placer)
        logger.info("placement starts", pool=pool, epoch=epoch)

    async def run(self):
        """Start and stop placers as leases are gained and lost, until cancelled.

        A placer continues while the log is unavailable, so that the leases of its
        tasks are renewed; its decisions take effect only once they are read back.
        """
        async with anyio.create_task_group() as task_group:
            while True:
                for pool, placer in list(self.placers.items()):
                    if self._held_epoch(pool) != placer.epoch:
                        self.scopes[pool].cancel()
                        del self.placers[pool]
                for pool, epoch in self.daemon.leases.held().items():
                    if pool not in self.placers:
                        self._start(pool, epoch, task_group)
                await anyio.sleep(POLL_INTERVAL_SECONDS)

    def has_read_tasks(self, pool):
        """Return whether the tasks of ``pool`` were read up to its current lease."""
        placer = self.placers.get(pool)
        if placer is None or not placer.stream.has_all_records:
            return False
        return placer.tasks.epoch == placer.epoch

    def usage_in_other_pools(self, pool):
        """Return what teams run in the other pools that this daemon controls."""
        running = collections.Counter()
        for name, placer in self.placers.items():
            if name != pool:
                running.update(placer.tasks.running)
        usage = quotas.Usage.from_running(running, self.daemon.state.rules)
        return quotas.OtherPoolsUsage(usage.tasks, usage.accelerators)

    def count_tasks_on(self, host_name):
        """Return how many tasks a worker has, unconfirmed placements included."""
        return sum(placer.count_tasks_on(host_name) for placer in self.placers.values())
