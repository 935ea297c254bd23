"""Run a daemon on the platform: serve callers and control the assigned pools."""

import anyio
import attrs
import structlog

from azurelanding import access
from azurelanding.account_divider import AccountDivider
from azurelanding.fleet_controller import TOPIC as FLEET_TOPIC
from azurelanding.fleet_controller import FleetController
from azurelanding.fleet_fold import FleetFold
from azurelanding.fleet_workers import WorkerRegistry
from azurelanding.job_service import JobService
from azurelanding.loop_watch import LoopWatch
from azurelanding.membership import (
    GroupMember,
    member_name,
    partition_of,
    reserve_rank,
)
from azurelanding.pool_control import ControlLostError, PoolController
from azurelanding.pool_stream import TOPIC, PoolStream
from azurelanding.record_faults import RecordFaults
from azurelanding.site_state import OperatorFold, WorkersFold
from azurelanding.start_budget import StartBudget
from azurelanding.start_permits import StartPermits
from azurelanding.supervision import Backoff, keep_running
from azurelanding.topic_follower import TopicFollower
from azurelanding.utils import boot_time

logger = structlog.get_logger()

CONFIGURATION_WAIT_SECONDS = 1.0
"""Longest wait of a read of the configuration at the store while nothing is new. A
silent connection is detected within twice that time, early enough to apply a
configuration within two seconds."""
WORKERS_INTERVAL_SECONDS = 0.4
"""Interval between reads of the workers' entries, which each heartbeat changes."""
WATCH_INTERVAL_SECONDS = 1.6
"""Interval between reads of what this daemon decides nothing by. A question for a job
reads the stream to its end; the number of waiting jobs may be two seconds old."""
CONTROL_INTERVAL_SECONDS = 0.02
"""Interval between reads of a stream that this daemon controls; batches records that
arrive close together."""
FLEET_INTERVAL_SECONDS = 0.15
"""Interval between reads of a stream by the daemon that runs the fleet controller,
which computes the demand from it; well below the time that moving a host takes."""
IDLE_INTERVAL_SECONDS = 2.0
"""Interval between reads of a stream that no queue uses and that has no active job."""
CONTROLS_PER_ASSIGNMENT = 1000
"""How often a daemon can take control of a pool under one assignment of the store."""
MAX_STORE_SILENCE_SECONDS = 1.5
"""Time without any answer of the store from which on callers' requests are not sent to
it; longer than the wait of a read and the slowest answers."""
WORK_SHARE = 0.25
"""Share of the memory that the jobs of all pools may take."""
MAX_READY_AGE_SECONDS = 2.5
"""Maximum age of the store's last answer for the daemon to count as ready."""


@attrs.frozen
class ServiceClients:
    """Factories for the service clients of the daemon, and codecs for stored records.

    ``make_store()``, ``make_worker_client(entry, epoch, lease, on_open)``,
    ``make_hosts(holder)`` and ``make_advice()`` return clients; the last two are
    ``None`` if the site has no such service. ``decode_operator(record)`` and
    ``decode_worker(record)`` decode records of ``operator_topic`` and
    ``workers_topic``. ``encode_wave(number, is_complete)`` returns the record that
    reports a wave to the operator in ``status_topic``.
    """

    make_store: object
    make_worker_client: object
    make_hosts: object
    make_advice: object
    decode_operator: object
    decode_worker: object
    encode_wave: object
    operator_topic: str
    workers_topic: str
    status_topic: str


class SiteDaemon:
    """One daemon: its view of the site, the pools it controls and its job service."""

    def __init__(self, site, service_clients, incarnation, metrics):
        self.site = site
        self.service_clients = service_clients
        rank = reserve_rank(site.link_rate)
        self.name = member_name(site.name, incarnation, rank)
        self.metrics = metrics
        self.faults = RecordFaults(metrics)
        self.control_backoffs = {}
        self.start_budget = StartBudget.from_config(site.link_rate, boot_time())
        self.loop_watch = LoopWatch(self.metrics)
        self.operator = OperatorFold(service_clients.decode_operator)
        self.workers_fold = WorkersFold(
            service_clients.workers_topic,
            service_clients.decode_worker,
            WorkerRegistry(self.operator.has_pool),
            self.faults,
        )
        self.fleet = FleetFold()
        self.streams = {}
        self.controllers = {}
        self.scopes = {}
        self.last_epochs = {}
        self.started_at = -1.0
        self.is_stopping = False
        self.task_group = None
        self.make_worker_client = service_clients.make_worker_client
        self.service = JobService(
            self.stream_of,
            lambda: list(self.streams.values()),
            self.streams_of_all_pools,
            self.operator,
            self.metrics,
            site.memory * WORK_SHARE,
        )
        self.member = GroupMember.from_config(
            self.name, TOPIC, site.store, service_clients.make_store()
        )
        self.fleet_member = GroupMember.for_single_holder(
            self.name, FLEET_TOPIC, site.store, service_clients.make_store()
        )
        self.configuration_follower = self._follower(
            service_clients.operator_topic,
            self.operator,
            0.0,
            CONFIGURATION_WAIT_SECONDS,
        )
        self.workers_follower = self._follower(
            service_clients.workers_topic,
            self.workers_fold,
            WORKERS_INTERVAL_SECONDS,
            CONFIGURATION_WAIT_SECONDS,
        )
        self.fleet_follower = self._follower(
            FLEET_TOPIC, self.fleet, WORKERS_INTERVAL_SECONDS / 4, 1.0
        )

    def _follower(self, topic, fold, interval, wait):
        """Return a follower that reads less often while this daemon decides nothing."""

        def read_delay():
            is_prompt = not interval or self._decides()
            return interval if is_prompt else WATCH_INTERVAL_SECONDS

        make_store = self.service_clients.make_store
        return TopicFollower(topic, 0, make_store, fold, read_delay, wait, self.faults)

    def _decides(self):
        """Return whether this daemon controls a pool or the fleet, or soon will."""
        is_fleet_holder = self.fleet_member.epoch_of(FLEET_TOPIC, 0) is not None
        return is_fleet_holder or bool(self.member.holdings or self.controllers)

    @property
    def registry(self):
        """Return the ``WorkerRegistry`` with all entries read so far."""
        return self.workers_fold.whole()

    def apply(self, site):
        """Apply the timing of changed settings; other changes need a restart."""
        updated = attrs.evolve(self.site, timing=site.timing)
        is_complete = updated == site
        logger.info("settings applied", changed=site != self.site, whole=is_complete)
        if not is_complete:
            logger.warning(
                "only the timing was applied; other changed settings need a restart"
            )
        self.site = updated

    # Queries of the other components

    def stream_of(self, pool):
        """Return the ``PoolStream`` of a pool, which is started on first use."""
        return self._stream_at(partition_of(pool, self.site.store.partitions))

    def streams_of_all_pools(self):
        """Return the streams of all pools, also of those that no queue uses."""
        for pool in self.operator.configuration.pools:
            self.stream_of(pool)
        return list(self.streams.values())

    def _stream_at(self, partition):
        stream = self.streams.get(partition)
        if stream is None:
            stream = PoolStream(
                partition,
                self.service_clients.make_store,
                self.name,
                self._read_delay,
                self._store_answers,
                self.faults,
            )
            self.streams[partition] = stream
            stream.start(self.task_group, self.metrics)
        return stream

    def _partitions_in_use(self):
        """Return the partitions of the pools that run at least one queue."""
        configuration = self.operator.configuration
        pools = configuration.pools_in_use() if configuration else ()
        return {partition_of(pool, self.site.store.partitions) for pool in pools}

    def _read_delay(self, partition):
        is_in_use = partition in self._partitions_in_use()
        if not (is_in_use or self.streams[partition].deferred.has_active_jobs()):
            return IDLE_INTERVAL_SECONDS
        if self.member.epoch_of(TOPIC, partition) is not None:
            return CONTROL_INTERVAL_SECONDS
        if self.fleet_member.epoch_of(FLEET_TOPIC, 0) is not None:
            return FLEET_INTERVAL_SECONDS
        return WATCH_INTERVAL_SECONDS

    def _store_answers(self):
        """Return whether the store has answered a read lately, or none is overdue."""
        followers = (
            self.configuration_follower,
            self.workers_follower,
            self.fleet_follower,
            *(stream.follower for stream in self.streams.values()),
        )
        answers = (follower.answered_at for follower in followers)
        silent_since = max(self.started_at, *answers)
        return anyio.current_time() <= silent_since + MAX_STORE_SILENCE_SECONDS

    def cordoned(self):
        """Return the workers to drain."""
        return self.fleet.cordoned()

    def placed(self):
        """Return the runs that may be on each worker, over all pools."""
        placed = {}
        for stream in self.streams.values():
            placed.update(stream.ledger.placed)
        return placed

    def states_of(self, pool):
        """Return the states of the jobs of a pool that have not ended."""
        return list(self.stream_of(pool).ledger.pools[pool].active.values())

    def lag_of(self, pool):
        """Return the age of the states of a pool's jobs in seconds."""
        return anyio.current_time() - self.stream_of(pool).follower.caught_up_at

    def vacated(self, pool):
        """Return the workers that the controller of a pool keeps drained."""
        return self.stream_of(pool).ledger.vacated.get(pool, ())

    def has_unavailability_limit(self, task_id):
        """Return whether the step of a task limits its unavailable tasks."""
        for stream in self.streams.values():
            state = stream.find(task_id.job)
            if state is not None and state.job.steps and not state.is_over:
                step = state.job.steps[task_id.step]
                return step.long_running and step.may_miss > 0
        return False

    def standby_pools(self):
        """Return the names of the pools whose hosts are powered off."""
        pools = self.operator.configuration.pools.values()
        return {pool.name for pool in pools if pool.standby}

    def find_advice(self, queue_name):
        """Return the ``Advice`` of a queue, or ``None``."""
        return self.operator.configuration.find_advice(queue_name)

    def make_start_permits(self):
        """Return the start permits of one pool."""
        if self.service_clients.make_advice is None:
            return StartPermits(None, lambda queue: None)
        return StartPermits(self.service_clients.make_advice(), self.find_advice)

    def find_queue(self, host, path):
        """Return the queue of a request, or ``None``.

        Raises ``LookupError`` while no configuration is loaded.
        """
        if self.operator.configuration is None:
            raise LookupError("no configuration is loaded")
        return self.operator.configuration.find_queue(host, path)

    def _view_age(self):
        """Return for how long, in seconds, a configuration could have been missed."""
        return boot_time() - self.configuration_follower.confirmed_at

    def check_key(self, queue, key):
        """Return the ``Grant`` of a request to ``queue`` with ``key``."""
        grant = access.check_key(
            self.operator.configuration,
            queue,
            key,
            self._view_age(),
            self.site.timing.revocation,
        )
        if grant.access is not access.Access.GRANTED:
            self.metrics.count(f"requests_refused_{grant.access.name.lower()}")
        return grant

    def is_confirmed(self, queue):
        """Return whether it is still known which keys give access to ``queue``."""
        if queue.is_public or self.operator.configuration.accounts is None:
            return True
        return self._view_age() <= access.max_view_age(self.site.timing.revocation)

    def is_ready(self):
        """Return whether the daemon can answer callers."""
        if self.is_stopping or self.operator.configuration is None:
            return False
        if self.operator.configuration.accounts is not None:
            self.metrics.gauge("configuration_age_seconds", self._view_age())
        answer_age = anyio.current_time() - self.configuration_follower.caught_up_at
        if answer_age > MAX_READY_AGE_SECONDS:
            return False
        return all(
            self.streams[partition].follower.is_loaded
            for partition in self._partitions_in_use() & self.streams.keys()
        )

    # Tasks

    async def _follow_configuration(self):
        """Follow the streams of the pools that the configuration names.

        A pool that no queue uses may have the jobs of a queue that has moved.
        """
        while True:
            if self.operator.configuration is not None:
                for pool in self.operator.configuration.pools:
                    self.stream_of(pool)
                await self._fold_held()
                self._match_controllers()
            with anyio.move_on_after(1.0):
                await self.operator.changes.wait()

    async def _follow_assignments(self):
        """Follow the assigned partitions, whose pools may have jobs but no queue."""
        while True:
            for partition in self.member.held_partitions(TOPIC):
                self._stream_at(partition)
            await self._fold_held()
            self._match_controllers()
            with anyio.move_on_after(1.0):
                await self.member.changes.wait()

    async def _fold_held(self):
        """Fold what was read of the assigned partitions, a part at a time."""
        for partition in self.member.held_partitions(TOPIC):
            if partition in self.streams:
                await self.streams[partition].fold_all()

    def _assigned_pools(self):
        """Return the pools assigned to this daemon, with the epoch of each."""
        configuration = self.operator.configuration
        if configuration is None or self.is_stopping:
            return {}
        pools = set(configuration.pools_in_use())
        for partition in self.member.held_partitions(TOPIC):
            if partition in self.streams:
                ledger = self.streams[partition].ledger
                pools |= ledger.pools_with_jobs() | ledger.pools_with_ended_tasks()
        assigned = {}
        for pool in pools:
            partition = partition_of(pool, self.site.store.partitions)
            epoch = self.member.epoch_of(TOPIC, partition)
            if epoch is not None:
                assigned[pool] = epoch
        return assigned

    def _next_epoch(self, pool, assignment):
        """Return a new epoch for a pool under an ``assignment``, a generation.

        The store takes an append under an epoch and a sequence number that it has seen
        for a repeated one, and stores nothing.
        """
        first = assignment * CONTROLS_PER_ASSIGNMENT
        epoch = max(first, self.last_epochs.get(pool, 0) + 1)
        self.last_epochs[pool] = epoch
        return epoch

    def _match_controllers(self):
        """Start and stop controllers so that they match the assigned partitions."""
        assigned = self._assigned_pools()
        for pool, controller in list(self.controllers.items()):
            assignment = controller.epoch // CONTROLS_PER_ASSIGNMENT
            if assigned.get(pool) != assignment:
                controller.end_control()
                self.controllers.pop(pool)
                self.scopes.pop(pool).cancel()
        for pool, assignment in assigned.items():
            if pool not in self.controllers:
                stream = self.stream_of(pool)
                epoch = self._next_epoch(pool, assignment)
                controller = PoolController(pool, epoch, stream, self)
                scope = anyio.CancelScope()
                self.controllers[pool], self.scopes[pool] = controller, scope
                self.task_group.start_soon(self._control, controller, scope)

    async def _control(self, controller, scope):
        with scope, controller.stream.held():
            for follower in (
                controller.stream.follower,
                self.workers_follower,
                self.fleet_follower,
            ):
                follower.hurry()
            try:
                await controller.run()
            except ControlLostError as error:
                logger.warning(
                    "control of pool lost", pool=controller.pool, reason=str(error)
                )
                self.metrics.count("controls_lost")
            except Exception:
                # A fault in one pool must not stop the service for the others.
                backoff = self.control_backoffs.setdefault(controller.pool, Backoff())
                delay = backoff.next_delay(boot_time())
                logger.exception(
                    "control of pool failed", pool=controller.pool, runs_again_in=delay
                )
                self.metrics.count("controls_failed")
                await anyio.sleep(delay)
        if self.controllers.get(controller.pool) is controller:
            del self.controllers[controller.pool], self.scopes[controller.pool]
            partition = controller.stream.partition
            self.member.drop_holding(TOPIC, partition)

    async def start(self, task_group):
        """Start the daemon's tasks in ``task_group``."""
        self.task_group = task_group
        self.started_at = anyio.current_time()
        tasks = {
            "read the configuration": self.configuration_follower.run,
            "read the workers": self.workers_follower.run,
            "read the fleet": self.fleet_follower.run,
            "watch the event loop": self.loop_watch.run,
            "join the control group": self.member.run,
            "follow the configuration": self._follow_configuration,
            "follow the assignments": self._follow_assignments,
        }
        if self.service_clients.make_hosts is not None:
            tasks["join the fleet group"] = self.fleet_member.run
            tasks["control the fleet"] = FleetController.from_config(self).run
            tasks["divide the limits"] = AccountDivider(self).run
        for name, run in tasks.items():
            task_group.start_soon(keep_running, name, run, self.metrics)
        logger.info("daemon started", name=self.name)

    async def leave(self):
        """Leave the groups, so that other daemons take over the pools and the fleet.

        Callers are still answered.
        """
        self.is_stopping = True
        self._match_controllers()
        with anyio.move_on_after(1.0):
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self.member.leave)
                task_group.start_soon(self.fleet_member.leave)

    async def close(self):
        """Close the connections; may be called twice."""
        for part in (
            self.configuration_follower,
            self.workers_follower,
            self.fleet_follower,
            self.member,
            self.fleet_member,
            *self.streams.values(),
        ):
            await part.close()
        logger.info("daemon stopped", name=self.name)
