"""Run the daemon that forwards requests of callers to targets."""

import collections

import anyio
import structlog

from azurelanding import dispatch
from azurelanding.admission import Queues
from azurelanding.callers.app import CallersState, make_app
from azurelanding.callers.protocol import make_protocol
from azurelanding.daemon import Daemon
from azurelanding.entries.answers import fetch_answer
from azurelanding.entries.members import PeerError
from azurelanding.http_server import HttpServer
from azurelanding.keyed import KeyedRequests
from azurelanding.log_service.claims_stream import ClaimsStream
from azurelanding.routing import usable_targets
from azurelanding.shares import SlotShares
from azurelanding.targets.registry import TargetRegistry

logger = structlog.get_logger()

SLOT_UPDATE_INTERVAL_SECONDS = 0.25


async def _fetch_peer_answer(address, claim_id, wait):
    """Return the answer of a peer entry to a request that it claimed, or ``None``."""
    try:
        return await fetch_answer(address, claim_id, wait)
    except PeerError as error:
        logger.info("no answer from the entry that claimed the key", reason=str(error))
        return None


class EntryDaemon(Daemon):
    """Entry daemon: runs the requests of callers in the slots of executors."""

    def __init__(self, settings):
        super().__init__("entry", settings)
        self.queues = Queues()
        self.registry = TargetRegistry.from_config(
            settings.targets, self.queues, settings.availability_zone
        )
        self.shares = SlotShares.from_config(settings)
        self.slots_next_offset = 0
        self.claims = ClaimsStream.from_config(
            settings.claims,
            settings.log_service,
            self.incarnation,
            settings.entries.address,
        )
        self.keyed = KeyedRequests.from_config(
            settings.claims, self.claims, self.queues, _fetch_peer_answer
        )
        self.peer_server.find_answer = self.keyed.find_answer
        self.callers = CallersState()
        app = make_app(
            self.callers,
            settings.callers,
            lambda: self.state.rules,
            self.run_request,
            self.metrics,
        )
        protocol = make_protocol(settings.callers, self.metrics)
        self.callers_server = HttpServer.from_config(
            settings.callers.address,
            app,
            accepted_at_once=protocol.load.accepted_at_once,
            http=protocol,
        )

    async def run_request(self, request, rule):
        """Return the ``Answer`` to a caller's request."""
        if request.key is not None and not rule.idempotent:
            return await self.keyed.run(request, rule)
        return await dispatch.run_request(request, rule, self.queues)

    def busy_hosts(self):
        """Return the executors that run a request of this entry.

        The status reports them together with a next offset. Peers assume that the
        slots reflect every record before that offset, so they are updated first.
        """
        if self.slots_next_offset != self.state.next_offset:
            self.update_slots()
        return self.registry.busy_hosts()

    def set_aside(self):
        """Return the executors that this entry does not use because they fail."""
        return self.registry.set_aside()

    def demands(self):
        """Return, by pool, how many slots this entry could fill."""
        return self.shares.reported_demands

    def releasing(self):
        """Return the executors on which this entry holds more slots than its share."""
        return self.registry.releasing()

    def wants(self):
        """Return, for each pool, how many slots its own services want or hold."""
        return self.queues.wants()

    def waiting(self):
        """Return, by pool, how many requests wait in this entry."""
        return self.queues.depth()

    def count_slots(self):
        """Return how many slots this entry holds, and how many are busy."""
        return self.registry.count_slots()

    def update_slots(self):
        """Adjust the slots that this entry holds to the state, host list and shares."""
        self.slots_next_offset = self.state.next_offset
        now = anyio.current_time()
        if self.stopping:
            self.shares.withdraw_demand()
        else:
            self.shares.report(self.queues.demands(), now)
        pools = usable_targets(self.state, self.host_list.hosts)
        shares = self.shares.update(pools, self.members.peer_statuses, now)
        held = collections.Counter()
        for target, pool in pools.items():
            held[pool] += shares[target]
        self.queues.update(self.state.rules, held, now)
        self.registry.update(pools, self.host_list.hosts, shares.__getitem__)

    def _send_gauges(self):
        held, busy = self.registry.count_slots()
        self.metrics.gauge("slots.held", held)
        self.metrics.gauge("slots.busy", busy)
        self.metrics.gauge("targets.set-aside", len(self.set_aside()))
        self.metrics.gauge("waiting.bytes", self.queues.waiting_bytes)
        depths = self.queues.depth()
        for pool in self.queues.pools:
            self.metrics.gauge(f"waiting.{pool}", depths.get(pool, 0))

    async def _keep_slots_updated(self):
        while True:
            self.update_slots()
            self._send_gauges()
            with anyio.move_on_after(SLOT_UPDATE_INTERVAL_SECONDS):
                await self.follower.changes.wait()

    async def start(self, task_group):
        """Start the daemon's tasks in ``task_group``."""
        await super().start(task_group)
        self.registry.start(task_group)
        self.claims.start(task_group)
        self.keyed.start(task_group)
        self.start_task(task_group, "update the slots", self._keep_slots_updated)
        self.callers_server.start(task_group)

    async def close(self):
        """Finish the requests in flight, then close all parts.

        The health check fails for ``notice`` seconds while requests are still
        served, so that the load balancer stops sending new ones.
        """
        self.stopping = self.callers.stopping = True
        with anyio.move_on_after(self.settings.callers.drain_timeout):
            await anyio.sleep(self.settings.callers.notice)
            await self.callers_server.close()
        await self.claims.close()
        await super().close()
