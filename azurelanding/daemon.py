"""Wire what both daemons have: log, host list, fellows, operators."""

import secrets

import anyio
import structlog

from azurelanding.entries.members import Members
from azurelanding.entries.server import PeerServer
from azurelanding.entries.wire import Status
from azurelanding.host_list.follower import HostListFollower
from azurelanding.hosts import Phase
from azurelanding.http_server import HttpServer
from azurelanding.log_service.client import LogClient
from azurelanding.log_service.follower import FleetFollower
from azurelanding.metrics import Metrics
from azurelanding.operators import api
from azurelanding.snapshot_keeper import SnapshotKeeper

logger = structlog.get_logger()

SETTLE_TICK_SECONDS = 0.1


class Daemon:
    """The parts that an entry and a control daemon share.

    ``incarnation`` differs each time that the daemon starts, so that its fellows
    never take a replacement for the process it replaced.
    """

    def __init__(self, role, settings):
        self.role = role
        self.settings = settings
        self.incarnation = f"{settings.name}.{secrets.token_hex(4)}"
        self.metrics = Metrics.from_config(settings.metrics)
        self.log_client = LogClient.from_config(settings.log_service)
        self.follower = FleetFollower.from_config(self.log_client, settings.log_service)
        self.host_list = HostListFollower.from_config(settings.host_list)
        self.members = Members.from_config(
            settings.entries,
            self.my_status,
            self.follower,
        )
        self.fellow_server = PeerServer.from_config(settings.entries, self.members)
        self.operators_server = HttpServer.from_config(
            settings.operators.address, api.make_app(self)
        )
        self.snapshots = SnapshotKeeper(self)
        self.stop_asked = anyio.Event()
        self.stopping = False

    @classmethod
    def from_config(cls, role, settings):
        """Return the common parts of a daemon of ``role``, not yet started."""
        return cls(role, settings)

    @property
    def state(self):
        """Return the fleet's state as this daemon has read it."""
        return self.follower.state

    def busy_hosts(self):
        """Return the executors that run a request of this daemon."""
        return ()

    def set_aside(self):
        """Return the executors that this daemon does not use because they fail."""
        return ()

    def demands(self):
        """Return, by pool, how many slots this daemon could fill."""
        return {}

    def wants(self):
        """Return, by pool, how many slots its own services want, busy ones too."""
        return {}

    def releasing(self):
        """Return the executors of which this daemon holds slots beyond its share."""
        return ()

    def waiting(self):
        """Return, by pool, how many requests wait here."""
        return {}

    def count_slots(self):
        """Return how many slots this daemon holds, and how many are busy."""
        return 0, 0

    def placers(self):
        """Return, by pool, the placers of the pools that this daemon controls."""
        return {}

    def _is_draining(self, name):
        host = self.state.hosts.get(name)
        return host is not None and host.phase is Phase.DRAINING

    def my_status(self):
        """Return what this daemon tells its fellows.

        Of the busy executors only the draining ones are told; control asks for
        no other before it reboots a host.
        """
        return Status(
            name=self.settings.name,
            incarnation=self.incarnation,
            role=self.role,
            zone=self.settings.availability_zone,
            address=self.settings.entries.address,
            next_offset=self.state.next_offset,
            rules_version=self.state.rules_version,
            busy_hosts=tuple(filter(self._is_draining, self.busy_hosts())),
            stopping=self.stopping,
            demands=self.demands(),
            set_aside=tuple(self.set_aside()),
            wants=self.wants(),
            releasing=self.releasing(),
        )

    async def _settle_start(self):
        """Put the highest known state in force when the log is out at the start.

        That is the highest that any fellow holds, once each was asked.
        """
        follower = self.follower
        while not follower.in_force:
            asked = follower.failed_reads and self.members.all_tried()
            if asked and not follower.up and follower.head.next_offset > 1:
                follower.put_in_force()
            await anyio.sleep(SETTLE_TICK_SECONDS)

    async def start(self, task_group):
        """Start following the platform and the fellows, and answer operators."""
        await self.fellow_server.start(task_group)
        self.members.start(task_group)
        task_group.start_soon(self.follower.run)
        task_group.start_soon(self._settle_start)
        task_group.start_soon(self.snapshots.run)
        task_group.start_soon(self.host_list.run)
        self.operators_server.start(task_group)
        logger.info(
            "daemon started",
            role=self.role,
            name=self.settings.name,
            incarnation=self.incarnation,
            zone=self.settings.availability_zone,
        )

    async def close(self):
        """Close what ``start`` opened; may be called twice."""
        await self.operators_server.close()
        await self.fellow_server.close()
        await self.log_client.close()
        await self.host_list.close()
        self.metrics.close()
        logger.info("daemon stopped", name=self.settings.name)
