"""Move hosts between the spare pool and the others as demand asks for it."""

import anyio
import attrs
import structlog

from azurelanding import capacity, demand
from azurelanding.log_service.follower import ChangeRefusedError

logger = structlog.get_logger()

SAMPLE_INTERVAL_SECONDS = 5.0
SAMPLES_PER_DECISION = 3


class CapacityTask:
    """The demand of each pool as one control daemon has seen it.

    Every control daemon keeps it, so that one that takes the spare pool over
    decides on minutes of demand at once.
    """

    def __init__(self, daemon, slots_per_host):
        self.daemon = daemon
        self.slots_per_host = slots_per_host
        self.windows = {}
        self.patience = capacity.PoolImbalances()

    @classmethod
    def from_config(cls, daemon, settings):
        """Return a task of ``daemon`` for executors as ``settings`` have them."""
        return cls(daemon, settings.targets.slots)

    def sample(self, now):
        """Note what the live entries report now."""
        statuses = list(self.daemon.members.live("entry").values())
        pools = self.daemon.state.rules.pools
        for name in self.windows.keys() - pools.keys():
            del self.windows[name]
        for pool in pools:
            reports = [status.wants.get(pool, 0.0) for status in statuses]
            slots = demand.estimate_demand(reports, len(statuses))
            if slots is not None:
                window = self.windows.setdefault(pool, demand.DemandWindow())
                window.observe(now, slots)

    def loads(self, now):
        """Return the ``PoolLoad`` of each pool."""
        views = self.daemon.maintenance.views(self.daemon.state.rules.pools)
        return capacity.compute_loads(
            self.daemon.state, views, self.windows, self.slots_per_host, now
        )

    async def _move(self, body):
        try:
            verdict = await self.daemon.change(body, asked_by="capacity")
        except ChangeRefusedError as error:
            logger.warning("move not recorded", host=body.host, reason=str(error))
            return
        if not verdict.accepted:
            logger.info("move refused", host=body.host, reason=verdict.reason)

    async def _decide(self, now):
        spare = self.daemon.state.rules.spare_pool()
        epoch = self.daemon.leases.held().get(spare)
        if epoch is None:
            return
        loads = self.loads(now)
        for pool, load in loads.items():
            self.daemon.metrics.gauge(f"pools.{pool}.size", load.size)
            self.daemon.metrics.gauge(f"pools.{pool}.wanted", load.wanted or 0)
        body = capacity.next_move(
            spare, loads, self.patience, now, self.daemon.state.rules.home_pool
        )
        if body is not None:
            await self._move(attrs.evolve(body, epoch=epoch))

    async def run(self):
        """Sample demand and move hosts until cancelled."""
        while True:
            for _ in range(SAMPLES_PER_DECISION):
                self.sample(anyio.current_time())
                await anyio.sleep(SAMPLE_INTERVAL_SECONDS)
            await self._decide(anyio.current_time())
