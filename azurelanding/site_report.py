"""Report the state of a site from its store: controllers, jobs, and why jobs wait."""

import attrs

from azurelanding import pool_stream
from azurelanding.fleet_controller import TOPIC as FLEET_TOPIC
from azurelanding.fleet_fold import FleetFold
from azurelanding.fleet_workers import WorkerRegistry
from azurelanding.job_placement import count_ready
from azurelanding.ledger import Ledger
from azurelanding.membership import CONTROL_GROUP, FLEET_GROUP, partition_of
from azurelanding.record_faults import RecordFaults
from azurelanding.site_state import OperatorFold, WorkersFold
from azurelanding.topic_follower import TopicFollower


@attrs.frozen
class SiteState:
    """The state of a site, read from the store once.

    ``ledgers`` are by partition; ``owners`` maps a topic and a partition to the member
    that holds it.
    """

    configuration: object
    waves: dict
    fleet: object
    registry: object
    ledgers: dict
    owners: dict


@attrs.frozen
class PoolSummary:
    """The report of one pool: its controller, workers and jobs that have not ended."""

    name: str
    controller: str | None
    workers: int
    runs: int
    jobs: int
    waiting: int


@attrs.frozen
class JobReport:
    """The report of one job: its progress and what it waits for."""

    id: str
    queue: str
    pool: str
    phase: str
    done: int
    tasks: int
    running: dict
    waits_for: str


async def _load(topic, partition, make_store, fold):
    follower = TopicFollower(topic, partition, make_store, fold, lambda: 0.0, 0.0)
    try:
        await follower.refresh()
    finally:
        await follower.close()


async def read_site(site, service_clients):
    """Return the ``SiteState`` of ``site``.

    Raises ``StoreError`` when the store can't be read.
    """
    operator = OperatorFold(service_clients.decode_operator)
    fleet, registry = FleetFold(), WorkerRegistry()
    topic = service_clients.workers_topic
    workers = WorkersFold(
        topic, service_clients.decode_worker, registry, RecordFaults()
    )
    await _load(service_clients.operator_topic, 0, service_clients.make_store, operator)
    await _load(topic, 0, service_clients.make_store, workers)
    await _load(FLEET_TOPIC, 0, service_clients.make_store, fleet)
    ledgers = {}
    for partition in range(site.store.partitions):
        ledger = ledgers[partition] = Ledger()
        fold = pool_stream.LedgerFold(ledger)
        await _load(pool_stream.TOPIC, partition, service_clients.make_store, fold)
    client = service_clients.make_store()
    try:
        owners = await client.owners(CONTROL_GROUP)
        owners.update(await client.owners(FLEET_GROUP))
    finally:
        await client.close()
    return SiteState(
        operator.configuration, operator.waves, fleet, workers.whole(), ledgers, owners
    )


def _controller(state, pool):
    partition = partition_of(pool, len(state.ledgers))
    return state.owners.get((pool_stream.TOPIC, partition))


def report_pools(state):
    """Return the ``PoolSummary`` of each pool of the configuration, sorted by name."""
    summaries = []
    for pool in sorted(state.configuration.pools):
        ledger = state.ledgers[partition_of(pool, len(state.ledgers))]
        jobs = [job for job in ledger.active.values() if job.job.pool == pool]
        summaries.append(
            PoolSummary(
                pool,
                _controller(state, pool),
                len(state.registry.in_pool(pool)),
                sum(len(t.active) for job in jobs for t in job.in_progress.values()),
                len(jobs),
                sum(not job.begun and not job.is_over for job in jobs),
            )
        )
    return summaries


def _wait_reason(state, job, now):
    """Return what a job waits for, or an empty string."""
    if job.outcome is not None:
        return ""
    if _controller(state, job.job.pool) is None:
        return "no daemon controls its pool"
    if job.is_over:
        return "its last runs to end"
    if job.job.due_at(0) > now:
        return f"its time, in {job.job.due_at(0) - now:.1f} s"
    ready = count_ready(job, now)
    return f"room for {ready} tasks" if ready else ""


def report_job(state, job_id, now):
    """Return the ``JobReport`` of a job, or ``None`` for an unknown job.

    ``now`` is in seconds since the epoch.
    """
    for ledger in state.ledgers.values():
        job = ledger.jobs.get(job_id)
        if job is None:
            continue
        running = {
            str(task_id): worker
            for task_id, task in job.in_progress.items()
            for worker in task.active.values()
        }
        return JobReport(
            job_id,
            job.job.queue,
            job.job.pool,
            job.phase.value,
            job.progress.total_done,
            job.job.task_count,
            running,
            _wait_reason(state, job, now),
        )
    return None
