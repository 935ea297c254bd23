"""Follow one worker: hear its reports and give it orders."""

import time

import anyio
import attrs
import structlog

from azurelanding.utils import Notifier
from azurelanding.workers import wire
from azurelanding.workers.client import StaleEpochError, WorkerClient, WorkerError

logger = structlog.get_logger()


@attrs.define(eq=False)
class TaskWorkerLink:
    """What the controller of a pool knows of one worker.

    ``attempts`` are those that the worker tells of, by task. ``silent_since`` is
    the monotonic time of the first of the failures since it was last heard of;
    it counts failures seen, so that a pause of this process is not taken for
    silence of the worker. ``first_seen`` tells since when each attempt is known,
    in seconds since the epoch, ``changes`` counts what was taken over.
    """

    host: object
    pool: str
    epoch: int
    client: WorkerClient
    attempts: dict = attrs.field(factory=dict)
    incarnation: str = ""
    version: int = 0
    changes: int = 0
    sequence: int = 0
    silent_since: float | None = None
    first_seen: dict = attrs.field(factory=dict)
    orders_due: Notifier = attrs.field(factory=Notifier)

    @property
    def is_synced(self):
        """Tell whether the worker answers and has told of all its attempts."""
        return bool(self.incarnation) and self.silent_since is None


def apply_report(link, report, now):
    """Take over what a worker told; lines older than those held are passed over."""
    link.changes += 1
    if report.whole:
        link.attempts, link.first_seen = {}, {}
    link.incarnation = report.incarnation
    for attempt in report.attempts:
        held = link.attempts.get(attempt.task)
        if held is None or held.version <= attempt.version:
            link.attempts[attempt.task] = attempt
            link.first_seen.setdefault((attempt.task, attempt.attempt), now)


def note_failure(link, now):
    """Note that the worker did not answer."""
    if link.silent_since is None:
        link.silent_since = now


async def _hear(link, settings):
    """Ask for one report and take it over."""
    ask = wire.ReportRequest(
        link.pool,
        link.epoch,
        link.incarnation,
        link.version,
        settings.wait if link.silent_since is None and link.incarnation else 0.0,
        settings.lease,
    )
    report = await link.client.report(ask)
    apply_report(link, report, time.time())
    link.version = report.version
    link.silent_since = None


async def _hear_reports(link, settings, on_change):
    while True:
        try:
            await _hear(link, settings)
        except StaleEpochError:
            raise
        except WorkerError as error:
            if link.silent_since is None:
                logger.warning("worker silent", worker=link.host.name, why=str(error))
            note_failure(link, anyio.current_time())
            await anyio.sleep(settings.retry_pause)
        on_change(link)
        link.orders_due.notify()


def _forget(link, names):
    for name in names:
        attempt = link.attempts.pop(name, None)
        if attempt is not None:
            link.first_seen.pop((name, attempt.attempt), None)


async def _order(link, orders, on_change):
    link.sequence += 1
    orders = attrs.evolve(orders, sequence=link.sequence)
    report = await link.client.order(orders)
    _forget(link, orders.forget)
    apply_report(link, report, time.time())
    on_change(link)


async def _give_orders(link, settings, next_orders, on_change):
    while True:
        orders = next_orders(link) if link.is_synced else None
        if orders is None:
            await link.orders_due.wait()
            continue
        try:
            await _order(link, orders, on_change)
        except StaleEpochError:
            await anyio.sleep(settings.retry_pause)
        except WorkerError as error:
            logger.warning("orders lost", worker=link.host.name, why=str(error))
            note_failure(link, anyio.current_time())
            on_change(link)


async def follow_worker(link, settings, next_orders, on_change):
    """Hear reports of one worker and give it orders until cancelled.

    ``next_orders(link)`` returns the ``Orders`` that are due or ``None``, and
    ``on_change(link)`` is called after each report and each failure. Returns
    when the worker has seen a newer epoch of the pool.
    """
    try:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_hear_reports, link, settings, on_change)
            task_group.start_soon(_give_orders, link, settings, next_orders, on_change)
    except* StaleEpochError:
        logger.warning("worker has a newer controller", worker=link.host.name)
    finally:
        await link.client.close()
