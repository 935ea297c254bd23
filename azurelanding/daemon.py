"""Define what entry and control daemons share: log, host list, peers, operators."""

import secrets

import anyio
import structlog

from azurelanding.bounded_http import make_protocol
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
from azurelanding.server_load import HttpLimits, ServerLoad
from azurelanding.snapshot_keeper import SnapshotKeeper
from azurelanding.supervision import keep_running

logger = structlog.get_logger()

START_CHECK_INTERVAL_SECONDS = 0.1
OPERATORS_SHARE = 0.125
"""Share of the descriptors that operators' connections may have."""


class Daemon:
    """Base of entry and control daemons.

    ``incarnation`` is new at each start of the daemon, so that peer daemons can
    distinguish a restarted process from the one that it replaced.
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
            self.own_status,
            self.follower,
        )
        self.peer_server = PeerServer.from_config(
            settings.entries, self.members, self.metrics
        )
        load = ServerLoad.from_process(self.metrics, OPERATORS_SHARE)
        self.operators_server = HttpServer.from_config(
            settings.operators.address,
            api.make_app(self),
            http=make_protocol(HttpLimits, load),
            accepted_at_once=load.accepted_at_once,
        )
        self.snapshots = SnapshotKeeper(self)
        self.stop_asked = anyio.Event()
        self.stopping = False

    @classmethod
    def from_config(cls, role, settings):
        """Return a daemon of ``role`` that is not started."""
        return cls(role, settings)

    @property
    def state(self):
        """Return the fleet's state in force at this daemon."""
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
        """Return, for each pool, how many slots its own services want or hold."""
        return {}

    def releasing(self):
        """Return the executors on which this daemon holds more slots than its share."""
        return ()

    def waiting(self):
        """Return, by pool, how many requests wait in this daemon."""
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

    def own_status(self):
        """Return the status that this daemon reports to its peers.

        ``busy_hosts`` lists only draining executors, because control daemons read
        it only to wait for them before they reboot a host.
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

    async def _start_without_log(self):
        """Put a state in force at the start even if the log can't be reached.

        All peers are tried first, so this is the state with the highest offset of
        any reachable peer.
        """
        follower = self.follower
        while not follower.in_force:
            sources_tried = follower.failed_reads and self.members.all_tried()
            if sources_tried and not follower.up and follower.head.next_offset > 1:
                follower.put_in_force()
            await anyio.sleep(START_CHECK_INTERVAL_SECONDS)

    def start_task(self, task_group, name, run):
        """Start a long-running task that survives unexpected errors."""
        task_group.start_soon(keep_running, name, run, self.metrics)

    async def start(self, task_group):
        """Start following the log, the host list and the peers, and serve operators."""
        await self.peer_server.start(task_group)
        self.members.start(task_group, self.metrics)
        for name, run in (
            ("read the fleet", self.follower.run),
            ("start without the log", self._start_without_log),
            ("write snapshots", self.snapshots.run),
            ("read the host list", self.host_list.run),
        ):
            self.start_task(task_group, name, run)
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
        await self.peer_server.close()
        await self.log_client.close()
        await self.host_list.close()
        self.metrics.close()
        logger.info("daemon stopped", name=self.settings.name)
