"""Run the daemon that decides host moves, waves and task placement."""

import time

import anyio
import structlog

from azurelanding import records
from azurelanding.capacity_task import CapacityTask
from azurelanding.daemon import Daemon
from azurelanding.fleet import NO_VERSION
from azurelanding.lease_keeper import LeaseKeeper
from azurelanding.log_service.follower import ChangeRefusedError
from azurelanding.maintenance_task import MaintenanceTask
from azurelanding.placement_task import Placements

logger = structlog.get_logger()

CHECK_INTERVAL_SECONDS = 1.0


def unassigned_home_pools(state, hosts):
    """Return, by host name, the home pool of each listed host without a pool."""
    homes = {
        name: state.rules.home_pool(name) for name in hosts if name not in state.hosts
    }
    return {name: pool for name, pool in homes.items() if pool is not None}


class ControlDaemon(Daemon):
    """Control daemon; several may run at the same time.

    When two of them append conflicting changes, the one with the lower offset in
    the log is accepted and the other one rejected.
    """

    def __init__(self, settings):
        super().__init__("control", settings)
        self.leases = LeaseKeeper(self)
        self.maintenance = MaintenanceTask.from_config(self, settings)
        self.placements = Placements(self)
        self.capacity = CapacityTask.from_config(self, settings)

    def placers(self):
        """Return, by pool, the placers of the pools that this daemon controls."""
        return self.placements.placers

    async def change(self, body, asked_by):
        """Append a change and return its ``Verdict``."""
        return await self.follower.change(body, self.incarnation, asked_by, time.time())

    async def _assign_host(self, name, pool, epoch):
        body = records.HostAssigned(name, pool, NO_VERSION, epoch)
        try:
            await self.change(body, asked_by="rules")
        except ChangeRefusedError as error:
            logger.warning("host not assigned", host=name, reason=str(error))

    async def _assign_new_hosts(self):
        while True:
            held = self.leases.held()
            homes = unassigned_home_pools(self.state, self.host_list.hosts)
            assignable = {name: pool for name, pool in homes.items() if pool in held}
            async with anyio.create_task_group() as task_group:
                for name, pool in assignable.items():
                    task_group.start_soon(self._assign_host, name, pool, held[pool])
            await anyio.sleep(CHECK_INTERVAL_SECONDS)

    async def start(self, task_group):
        """Start the daemon's tasks in ``task_group``."""
        await super().start(task_group)
        for name, run in (
            ("keep the leases", self.leases.run),
            ("assign new hosts", self._assign_new_hosts),
            ("maintain hosts", self.maintenance.run),
            ("place tasks", self.placements.run),
            ("move hosts", self.capacity.run),
        ):
            self.start_task(task_group, name, run)

    async def close(self):
        """Release the leases and close all other parts; may be called twice."""
        self.stopping = True
        await self.leases.close()
        await self.maintenance.close()
        await super().close()
