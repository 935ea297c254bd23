"""Place the tasks of the pools that this control daemon controls."""

import collections
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

LOOK_SECONDS = 0.5
MAX_PASS_INTERVAL_SECONDS = 1.0
LEASE_MARGIN_SECONDS = 2.0
STEP_TIMEOUT_SECONDS = 5.0
RESTATE_INTERVAL_SECONDS = 600.0
RESTATE_AFTER_RECORDS = 2_000


class NewerControllerError(Exception):
    """A newer controller of the pool has written to its stream."""


def make_view(link, listed, state):
    """Return the ``WorkerView`` of a worker from its report, the list and the log."""
    host = link.host
    draining = state is None or state.phase is not Phase.SERVING
    leaving = listed is None or listed.presence is not Presence.LIVE
    running = [
        held for held in link.attempts.values() if held.phase is AttemptPhase.RUNNING
    ]
    return WorkerView(
        host.name,
        host.zone,
        host.rack,
        Resources(host.cores, host.memory, host.accelerators),
        link.incarnation,
        link.is_synced and not draining and not leaving,
        {
            held.task: Resources(held.cores, held.memory)
            for held in running
            if held.cores
        },
        {held.task: held.limit for held in running if held.limit},
        draining or leaving,
        {held.task: link.first_seen[held.task, held.attempt] for held in running},
    )


class PoolPlacer:
    """The placement of one pool under one epoch.

    ``links`` holds what is known of each worker, ``steps`` the actions that
    workers were asked for and until when, ``missing`` since when a worker with
    tasks is known to be on no list.
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
        self.claims = {}
        self.steps = {}
        self.missing = {}
        self.shown = {}
        self.blocked = {}
        self.undecided = ()
        self.shown_offset = 0
        self.is_due = False
        self.due = Notifier()

    @classmethod
    def from_config(cls, pool, epoch, daemon):
        """Return the placer of ``pool`` for the holder of ``epoch``."""
        stream = TaskStream.from_config(pool, daemon.settings.log_service)
        return cls(pool, epoch, daemon, stream)

    @property
    def tasks(self):
        """Return the pool's tasks as far as they were read."""
        return self.stream.tasks

    def _record(self, ended=(), placed=()):
        body = TasksDecided(self.epoch, tuple(ended), tuple(placed))
        return new_record(body, self.daemon.incarnation, "placement", time.time())

    async def _decide(self, ended=(), placed=()):
        """Record a decision; raise ``NewerControllerError`` if it does not count."""
        self.undecided = tuple(placed)
        if not await self.stream.change(self._record(ended, placed)):
            raise NewerControllerError(f"{self.pool} has epoch {self.tasks.epoch}")
        self.undecided = ()

    def count_on(self, name):
        """Return how many tasks a worker has, intents not yet read back included."""
        intents = sum(intent.worker == name for intent in self.undecided)
        return len(self.tasks.on_worker.get(name, ())) + intents

    def _own_hosts(self):
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
        link = TaskWorkerLink(host, self.pool, self.epoch, client)
        self.links[host.name] = link
        self.scopes[host.name] = anyio.CancelScope()
        task_group.start_soon(self._follow, link)

    def _drop_link(self, name):
        """Forget a worker that has no tasks or was replaced by another host."""
        self.capacity.remove_worker(name)
        self.shown.pop(name, None)
        del self.links[name]
        self.scopes.pop(name).cancel()

    async def _follow_workers(self, task_group):
        """Keep one task for each worker of the pool, until cancelled."""
        while True:
            hosts = self._own_hosts()
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
                self._show_worker(self.links[name])
            await anyio.sleep(LOOK_SECONDS)

    def _show_worker(self, link):
        """Tell the rooms what is known of a worker, if it has changed."""
        name = link.host.name
        listed = self.daemon.host_list.hosts.get(name)
        state = self.daemon.state.hosts.get(name)
        key = (listed, state, link.incarnation, link.changes, link.is_synced)
        if self.shown.get(name) != key:
            self.shown[name] = key
            self.capacity.update_worker(make_view(link, listed, state))
        if not self.tasks.health.workers[name].proven:
            oldest = min(link.first_seen.values(), default=time.time())
            if time.time() - oldest >= PROVEN_SECONDS:
                record_survival(self.tasks.health, name)
                self.capacity.dirty.add(name)

    def on_change(self, link):
        """Note that a worker has told something."""
        self._show_worker(link)
        self._ask_for_pass()

    def _ask_for_pass(self):
        self.is_due = True
        self.due.notify()

    def next_orders(self, link):
        """Return the ``Orders`` that are due to a worker, or ``None``."""
        if not self.stream.has_all_records:
            return None
        placed = self.tasks.on_worker.get(link.host.name, {})
        steps = {
            task: step
            for task, (step, until) in self.steps.items()
            if step.worker == link.host.name
        }
        return orders.orders_due(link, placed, steps, self.settings.lease)

    def _find_ends(self):
        """Return the ``TaskEnd``s of placed tasks that have ended."""
        now, listed = anyio.current_time(), self.daemon.host_list.hosts
        lost_after = self.settings.lease + LEASE_MARGIN_SECONDS
        ends = []
        for name, states in self.tasks.on_worker.items():
            link = self.links.get(name)
            for state in states.values():
                if link is None:
                    found = self._find_missing_end(name, lost_after, now)
                else:
                    is_listed = name in listed
                    found = orders.find_end(link, state, lost_after, is_listed, now)
                if found is not None:
                    ends.append(self._task_end(state, found))
        return ends

    def _find_missing_end(self, name, lost_after, now):
        """Return the end of the tasks of a worker that was never listed here."""
        if now < self.missing.setdefault(name, now) + lost_after:
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

    def _keep_steps(self, plan, now):
        """Keep the planned steps until they are done or too old."""
        for step in plan.steps:
            self.steps.setdefault(step.task, (step, now + STEP_TIMEOUT_SECONDS))
            if step.action is PreemptionAction.RESTORE:
                self.steps[step.task] = (step, now + STEP_TIMEOUT_SECONDS)
        for task, (_, until) in list(self.steps.items()):
            state = self.tasks.tasks.get(task)
            if until <= now or state is None or state.placement is None:
                del self.steps[task]

    def _show_changed_hosts(self):
        """Take over drains that were read since the last pass."""
        offset = self.daemon.state.next_offset
        if offset != self.shown_offset:
            self.shown_offset = offset
            for link in self.links.values():
                self._show_worker(link)

    async def _pass(self):
        """Record what has ended, then place what waits."""
        ends = self._find_ends()
        if ends:
            await self._decide(ended=ends)
        self._show_changed_hosts()
        plan = placement.plan_pass(
            self.tasks,
            self.capacity,
            self.daemon.state.rules,
            self.claims,
            time.time(),
            self.daemon.placements.usage_in_other_pools(self.pool),
        )
        self.blocked = plan.blocked
        self._keep_steps(plan, time.time())
        if plan.placements:
            await self._decide(placed=plan.placements)
            self.daemon.metrics.count(f"tasks.{self.pool}.placed", len(plan.placements))
        for link in self.links.values():
            link.orders_due.notify()

    async def _place(self):
        """Make a pass after each change, at most one in each period."""
        while True:
            self.is_due = False
            if self.stream.has_all_records:
                await self._pass()
            await anyio.sleep(self.settings.period)
            with anyio.move_on_after(MAX_PASS_INTERVAL_SECONDS):
                await self.due.wait_until(lambda: self.is_due)

    async def _watch_stream(self):
        while True:
            await self.stream.changes.wait()
            self._ask_for_pass()

    async def _open(self):
        """Read the stream up to the end and make older epochs' say end."""
        while True:
            try:
                await self.stream.catch_up()
                if self.stream.has_all_records:
                    return
                logger.error("tasks are not whole", pool=self.pool)
            except LogServiceError as error:
                logger.warning("tasks not read", pool=self.pool, reason=str(error))
            await anyio.sleep(LOOK_SECONDS)

    async def _restate(self):
        """Restate the tasks from time to time, so that old records may go."""
        restated_at, through = anyio.current_time(), 0
        while True:
            await anyio.sleep(LOOK_SECONDS)
            new = self.tasks.next_offset - through
            old = anyio.current_time() - restated_at >= RESTATE_INTERVAL_SECONDS
            if not self.stream.has_all_records or not (
                old or new >= RESTATE_AFTER_RECORDS
            ):
                continue
            restated_at, through = anyio.current_time(), self.tasks.next_offset
            for body in task_restating.restate(self.tasks):
                who = self.daemon.incarnation
                await self.stream.append(
                    new_record(body, who, "retention", time.time())
                )

    async def run(self):
        """Place tasks until cancelled or until a newer controller takes over."""
        try:
            await self._open()
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self.stream.run)
                await self._decide()
                task_group.start_soon(self._watch_stream)
                task_group.start_soon(self._restate)
                task_group.start_soon(self._follow_workers, task_group)
                task_group.start_soon(self._place)
        except* (NewerControllerError, TasksNotRecordedError) as group:
            logger.warning("placement ends", pool=self.pool, why=str(group.exceptions))
        finally:
            with anyio.CancelScope(shield=True):
                await self.stream.close()


class Placements:
    """The placers of the pools that this daemon controls, by pool."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.placers = {}
        self.scopes = {}

    def _held_epoch(self, pool):
        """Return the epoch of ``pool`` if its last known holder is this daemon."""
        lease = self.daemon.state.leases.get(pool)
        mine = lease is not None and lease.holder == self.daemon.incarnation
        return lease.epoch if mine else None

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
        """Start and end placers as leases come and go, until cancelled.

        A placer goes on while the log is down, so that tasks keep their leases;
        what it decides then counts only once it is read back.
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
                await anyio.sleep(LOOK_SECONDS)

    def has_read_tasks(self, pool):
        """Tell whether the tasks of ``pool`` were read up to its lease."""
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
        """Return how many tasks a worker has, intents not yet read back included."""
        return sum(placer.count_on(host_name) for placer in self.placers.values())
