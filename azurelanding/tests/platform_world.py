"""Build small sites on simulated services of the platform for tests."""

import anyio
import attrs
import structlog
import structlog.testing

from azurelanding.configuration import Configuration, Pool, Queue
from azurelanding.fleet_workers import HostEntry, HostPhase
from azurelanding.host_calls import HostBusyError
from azurelanding.jobs import Job, Step
from azurelanding.lease_permission import LeasePermission, LeaseSuccession
from azurelanding.link_watch import LinkWatch
from azurelanding.membership import GroupMember
from azurelanding.served_metrics import ServedMetrics
from azurelanding.site import Site, StoreSettings, Timing
from azurelanding.site_daemon import ServiceClients, SiteDaemon
from azurelanding.standins.platform_store import StoreModel
from azurelanding.standins.platform_worker import WorkerFleet, WorkerModel
from azurelanding.tasks import Resources
from azurelanding.utils import boot_time
from azurelanding.worker_link import LinkController, WorkerLink

LEASE_SECONDS = 1.0


def make_step(count=1, **fields):
    """Return a step of ``count`` tasks of one core each by default."""
    return Step(count, fields.pop("need", Resources(1.0, 1 << 20, 0)), **fields)


def make_job(job_id="0" * 16, steps=None, pool="cuts", **fields):
    """Return a job of ``steps``, by default one step of one small task."""
    return Job(job_id, "q", pool, "spec", steps or (make_step(),), 1.0, **fields)


def make_member():
    """Return a member of the control group whose membership doesn't expire."""
    member = GroupMember("", "", (), None, 0.0)
    member.valid_until = float("inf")
    return member


def make_link(name="w", entry=None, **fields):
    """Return the link to a worker of the pool "cuts" that has not called it yet.

    ``fields`` replace those of its ``LinkController``.
    """
    controller = {
        "make_client": lambda entry: None,
        "lease": 6.0,
        "notify": lambda: None,
        "end_control": lambda: None,
        "is_startable": lambda task: True,
        "record_begin": lambda task_id, run: None,
        "charge_repeat": lambda order: 0.0,
        "is_leaving": lambda worker_id: False,
        "watch": LinkWatch("cuts", ServedMetrics()),
        "permission": LeasePermission("cuts", make_member()),
        "succession": LeaseSuccession((), boot_time(), 0.0),
    }
    entry = entry or WorkerModel(name, "cuts").entry()
    return WorkerLink(entry, LinkController(**{**controller, **fields}))


def make_queue(pool="cuts", name="q"):
    """Return a queue of ``pool``."""
    return Queue(name, "host", f"/{name}/", pool, 3.0, max_attempts=2)


class HostsModel:
    """Simulates the platform's host list and host orders; it checks no epochs.

    ``orders`` records each order as host, wave or pool, epoch and the number of runs
    on the host's worker, ``order_times`` the ``boot_time`` of each. A maintenance that
    was carried out before is accepted again, without effect, as by the platform. With
    ``is_busy`` every move is refused.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.orders = []
        self.order_times = []
        self.maintained = set()
        self.is_busy = False
        self.pools = {}

    async def list_hosts(self):
        return {
            f"host-{name}": HostEntry(
                f"host-{name}",
                self.pools.get(name, model.pool),
                HostPhase.UP,
                name,
                model.resources,
            )
            for name, model in self.fleet.models.items()
        }

    async def maintain(self, host, wave, epoch):
        model = self.fleet.models[host.removeprefix("host-")]
        if wave is None:
            raise HostBusyError("no such wave")
        self.orders.append((host, wave, epoch, len(model.running)))
        self.order_times.append(boot_time())
        if (host, wave) not in self.maintained:
            self.maintained.add((host, wave))
            model.restart()

    async def move(self, host, pool, epoch):
        self.orders.append((host, pool, epoch, 0))
        self.order_times.append(boot_time())
        if self.is_busy:
            raise HostBusyError("leaving")
        self.pools[host.removeprefix("host-")] = pool

    async def close(self):
        pass


class AdviceModel:
    """Simulates an advice service that allows every worker."""

    def __init__(self):
        self.turn = anyio.Lock()

    async def request_permits(self, job, occurrence, number, workers, advice):
        """Return a ticket for each of ``workers``."""
        return {worker: f"ticket-{worker}" for worker in workers}

    async def close(self):
        pass


class World:
    """A simulated store, workers and hosts, and daemons, in one process."""

    def __init__(
        self, partitions=4, lease=LEASE_SECONDS, holder_pause=0.1, link_rate=None
    ):
        self.store = StoreModel(partitions)
        self.fleet = WorkerFleet()
        self.hosts = HostsModel(self.fleet)
        store_settings = StoreSettings("127.0.0.1:1", partitions=partitions)
        timing = Timing(longest_lease=lease, holder_pause=holder_pause)
        self.site = Site(
            "e", "a", "", "", "", store_settings, timing=timing, link_rate=link_rate
        )
        self.daemons = []

    def add_worker(self, name, pool="cuts", **fields):
        model = self.fleet.add(WorkerModel(name, pool, **fields))
        self.store.put("workers", name, b"entry")
        return model

    def configure(self, *queues, pools=(), version=1, accounts=None):
        names = {queue.pool for queue in queues} | set(pools)
        self.configuration = Configuration(
            version,
            queues,
            {name: Pool(name, standby=name == "off") for name in names},
            accounts=accounts,
        )
        self.store.put("operator", "config", b"configuration")

    def _decode_worker(self, record):
        return self.fleet.models[record.key].entry()

    def _decode_operator(self, record):
        return self.configuration if record.key == "config" else self.wave

    def _make_service_clients(self):
        return ServiceClients(
            make_store=self.store.client,
            make_worker_client=self.fleet.client,
            make_hosts=lambda holder: self.hosts,
            make_advice=AdviceModel,
            decode_operator=self._decode_operator,
            decode_worker=self._decode_worker,
            encode_wave=lambda number, done: (f"wave/{number}", str(done).encode()),
            operator_topic="operator",
            workers_topic="workers",
            status_topic="status",
        )

    def daemon(self, name, incarnation="1"):
        site = attrs.evolve(self.site, name=name)
        clients = self._make_service_clients()
        daemon = SiteDaemon(site, clients, incarnation, ServedMetrics())
        self.daemons.append(daemon)
        return daemon

    async def run(self, scenario, daemons=1):
        """Start a number of daemons, run ``scenario(self)``, then cancel them."""
        async with anyio.create_task_group() as task_group:
            for number in range(daemons):
                await self.daemon(f"d{number}").start(task_group)
            with anyio.fail_after(20):
                await scenario(self)
            task_group.cancel_scope.cancel()


async def until(condition, seconds=8.0):
    """Wait until ``condition()`` is true; fail after ``seconds``."""
    with anyio.fail_after(seconds):
        while not condition():  # noqa: ASYNC110
            await anyio.sleep(0.01)


def capture_lines(test, module):
    """Return a list to which ``test`` adds the lines that ``module`` logs."""
    capture = structlog.testing.LogCapture()
    logger = structlog.wrap_logger(
        structlog.PrintLogger(),
        processors=[capture],
        wrapper_class=structlog.make_filtering_bound_logger(0),
    )
    test.patch(module, "logger", logger)
    return capture.entries
