"""Run a daemon on the platform: serve callers, and control the pools it is given."""

import anyio
import attrs
import structlog

from azurelanding.fleet_controller import TOPIC as FLEET_TOPIC
from azurelanding.fleet_controller import FleetController
from azurelanding.fleet_fold import FleetFold
from azurelanding.fleet_workers import WorkerRegistry
from azurelanding.job_service import JobService
from azurelanding.membership import GroupMember, member_name, partition_of
from azurelanding.pool_control import ControlLostError, PoolController
from azurelanding.pool_stream import TOPIC, PoolStream
from azurelanding.served_metrics import ServedMetrics
from azurelanding.site_state import OperatorFold, WorkersFold
from azurelanding.start_permits import StartPermits
from azurelanding.topic_follower import TopicFollower

logger = structlog.get_logger()

CONFIGURATION_WAIT_SECONDS = 1.0
"""How long the store holds a read for a configuration; a silent connection shows
within twice that, which leaves time to apply a configuration within two seconds."""
WORKERS_PAUSE_SECONDS = 0.4
"""Rest between reads of the workers' entries, which change with each heartbeat."""
WATCH_PAUSE_SECONDS = 0.8
"""Rest between reads of a pool's stream that this daemon does not control."""
CONTROL_PAUSE_SECONDS = 0.02
"""Rest between reads of a stream that it controls: gathers what comes together."""
DUTY_PAUSE_SECONDS = 0.15
"""Rest between reads of a stream in which the holder of the fleet duty looks for
demand; well under the time of a move."""
READY_SECONDS = 2.5
"""Age of the last answer of the store after which the daemon is not ready."""


@attrs.frozen
class ServiceClients:
    """What the daemon's peers are spoken to with, as functions.

    ``make_store()``, ``make_worker_client(entry, epoch)``, ``make_hosts(holder)``
    and ``make_advice()`` return clients; the last two are ``None`` where a site has no
    such peer. ``decode_operator(record)`` and
    ``decode_worker(record)`` read what others store, and ``encode_wave(number,
    is_complete)`` returns what tells the operator of a wave, to be stored in
    ``status_topic``.
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
    """One daemon: its view of the site, its part of the control, its service."""

    def __init__(self, site, service_clients, incarnation):
        self.site = site
        self.service_clients = service_clients
        self.name = member_name(site.name, incarnation)
        self.metrics = ServedMetrics()
        self.registry = WorkerRegistry()
        self.operator = OperatorFold(service_clients.decode_operator)
        self.fleet = FleetFold()
        self.streams = {}
        self.controllers = {}
        self.scopes = {}
        self.is_stopping = False
        self.task_group = None
        self.make_worker_client = service_clients.make_worker_client
        self.service = JobService(
            self.stream_of, lambda: list(self.streams.values()), self.metrics
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
            WorkersFold(service_clients.decode_worker, self.registry),
            WORKERS_PAUSE_SECONDS,
            CONFIGURATION_WAIT_SECONDS,
        )
        self.fleet_follower = self._follower(
            FLEET_TOPIC, self.fleet, WORKERS_PAUSE_SECONDS / 4, 1.0
        )

    def _follower(self, topic, fold, pause, wait):
        make_store = self.service_clients.make_store
        return TopicFollower(topic, 0, make_store, fold, lambda: pause, wait)

    def apply(self, site):
        """Take over the bounds of changed settings; addresses need a restart."""
        bounds = attrs.evolve(self.site, timing=site.timing)
        is_whole = bounds == site
        logger.info("settings applied", changed=site != self.site, whole=is_whole)
        if not is_whole:
            logger.warning("settings change more than bounds, which needs a restart")
        self.site = bounds

    # What the parts ask the daemon for

    def stream_of(self, pool):
        """Return the ``PoolStream`` of a pool, followed from now on."""
        partition = partition_of(pool, self.site.store.partitions)
        stream = self.streams.get(partition)
        if stream is None:
            stream = PoolStream(
                partition,
                self.service_clients.make_store,
                self.name,
                self._stream_pause,
            )
            self.streams[partition] = stream
            stream.start(self.task_group)
        return stream

    def _stream_pause(self, partition):
        if self.member.epoch_of(TOPIC, partition) is not None:
            return CONTROL_PAUSE_SECONDS
        if self.fleet_member.epoch_of(FLEET_TOPIC, 0) is not None:
            return DUTY_PAUSE_SECONDS
        return WATCH_PAUSE_SECONDS

    def cordoned(self):
        """Return the workers that are to be emptied."""
        return self.fleet.cordoned()

    def placed(self):
        """Return the runs that may be on each worker, over all pools."""
        placed = {}
        for stream in self.streams.values():
            placed.update(stream.ledger.placed)
        return placed

    def states_of(self, pool):
        """Return the states of the jobs of a pool that have not ended."""
        active = self.stream_of(pool).ledger.active
        return [state for state in active.values() if state.job.pool == pool]

    def lag_of(self, pool):
        """Return how many seconds old the states of a pool's jobs are."""
        return anyio.current_time() - self.stream_of(pool).follower.caught_up_at

    def vacated(self, pool):
        """Return the workers that the controller of a pool keeps empty."""
        return self.stream_of(pool).ledger.vacated.get(pool, ())

    def has_unavailability_limit(self, task_id):
        """Tell whether the absence of a task's step is bounded."""
        for stream in self.streams.values():
            state = stream.ledger.active.get(task_id.job)
            if state is not None and not state.is_over:
                step = state.job.steps[task_id.step]
                return step.long_running and step.may_miss > 0
        return False

    def standby_pools(self):
        """Return the pools whose hosts are off."""
        pools = self.operator.configuration.pools.values()
        return {pool.name for pool in pools if pool.standby}

    def find_advice(self, queue_name):
        """Return the ``Advice`` of a queue, or ``None``."""
        for queue in self.operator.configuration.queues:
            if queue.name == queue_name:
                return queue.advice
        return None

    def make_start_permits(self):
        """Return the tickets of one pool."""
        if self.service_clients.make_advice is None:
            return StartPermits(None, lambda queue: None)
        return StartPermits(self.service_clients.make_advice(), self.find_advice)

    def find_queue(self, host, path):
        """Return the queue of a request; raise ``LookupError`` if none is known."""
        if self.operator.configuration is None:
            raise LookupError("no configuration yet")
        return self.operator.configuration.find_queue(host, path)

    def is_ready(self):
        """Tell whether callers are answered here."""
        if self.is_stopping or self.operator.configuration is None:
            return False
        heard = anyio.current_time() - self.configuration_follower.caught_up_at
        if heard > READY_SECONDS:
            return False
        return all(stream.follower.is_loaded for stream in self.streams.values())

    # Tasks

    async def _follow_configuration(self):
        """Follow the streams of the pools that the configuration names."""
        while True:
            if self.operator.configuration is not None:
                for pool in self.operator.configuration.pools_in_use():
                    self.stream_of(pool)
                self._match_controllers()
            with anyio.move_on_after(1.0):
                await self.operator.changes.wait()

    async def _follow_holdings(self):
        while True:
            self._match_controllers()
            with anyio.move_on_after(1.0):
                await self.member.changes.wait()

    def _held_pools(self):
        """Return the pools that this daemon is to control, with their epochs."""
        configuration = self.operator.configuration
        if configuration is None or self.is_stopping:
            return {}
        pools = set(configuration.pools_in_use())
        for stream in self.streams.values():
            pools.update(s.job.pool for s in stream.ledger.active.values())
        held = {}
        for pool in pools:
            partition = partition_of(pool, self.site.store.partitions)
            epoch = self.member.epoch_of(TOPIC, partition)
            if epoch is not None:
                held[pool] = epoch
        return held

    def _match_controllers(self):
        """Start and end controllers so that they match what the store gave us."""
        held = self._held_pools()
        for pool, controller in list(self.controllers.items()):
            if held.get(pool) != controller.epoch:
                controller.end_control()
                self.controllers.pop(pool)
                self.scopes.pop(pool).cancel()
        for pool, epoch in held.items():
            if pool not in self.controllers:
                stream = self.stream_of(pool)
                controller = PoolController(pool, epoch, stream, self)
                scope = anyio.CancelScope()
                self.controllers[pool], self.scopes[pool] = controller, scope
                self.task_group.start_soon(self._control, controller, scope)

    async def _control(self, controller, scope):
        with scope:
            try:
                await controller.run()
            except ControlLostError as error:
                logger.warning("control lost", pool=controller.pool, reason=str(error))
                self.metrics.count("controls_lost")
            except Exception:
                # A fault in one pool must not end the service for the others.
                logger.exception("control failed", pool=controller.pool)
                self.metrics.count("controls_failed")
        if self.controllers.get(controller.pool) is controller:
            del self.controllers[controller.pool], self.scopes[controller.pool]
            partition = controller.stream.partition
            self.member.drop_holding(TOPIC, partition)

    async def start(self, task_group):
        """Start the daemon's tasks in ``task_group``."""
        self.task_group = task_group
        for follower in (
            self.configuration_follower,
            self.workers_follower,
            self.fleet_follower,
        ):
            task_group.start_soon(follower.run)
        task_group.start_soon(self.member.run)
        task_group.start_soon(self._follow_configuration)
        task_group.start_soon(self._follow_holdings)
        if self.service_clients.make_hosts is not None:
            task_group.start_soon(self.fleet_member.run)
            task_group.start_soon(FleetController.from_config(self).run)
        logger.info("daemon started", name=self.name)

    async def leave(self):
        """Hand the control to others; callers are still answered."""
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
