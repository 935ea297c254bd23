"""Follow one worker: read its reports and send it orders."""

import itertools
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

    ``attempts`` maps tasks to the attempts that the worker reports, and
    ``first_seen`` maps pairs of task and attempt number to when the attempt was
    first reported, in seconds since the epoch. ``silent_since`` is the monotonic
    time of the first failed request since the last contact, or ``None``. Only
    failed requests set it, so that a pause of this process is not taken for silence
    of the worker. ``version`` is that of the last report, and ``changes`` counts the
    reports applied. ``sequences`` numbers the orders; all links of an epoch share it,
    because a worker refuses a number that isn't higher than those before. Notify
    ``orders_due`` to have the orders computed again.
    """

    host: object
    pool: str
    epoch: int
    client: WorkerClient
    attempts: dict = attrs.field(factory=dict)
    incarnation: str = ""
    version: int = 0
    changes: int = 0
    sequences: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    silent_since: float | None = None
    first_seen: dict = attrs.field(factory=dict)
    orders_due: Notifier = attrs.field(factory=Notifier)

    @property
    def is_synced(self):
        """Return whether the worker answers and has reported all its attempts."""
        return bool(self.incarnation) and self.silent_since is None


def apply_report(link, report, now):
    """Apply ``report`` to ``link``; skip attempts older than the known version.

    ``now`` is in seconds since the epoch.
    """
    link.changes += 1
    if report.whole:
        link.attempts, link.first_seen = {}, {}
    link.incarnation = report.incarnation
    for attempt in report.attempts:
        known = link.attempts.get(attempt.task)
        if known is None or known.version <= attempt.version:
            link.attempts[attempt.task] = attempt
            link.first_seen.setdefault((attempt.task, attempt.attempt), now)


def record_failure(link, now):
    """Record that the worker did not answer at the monotonic time ``now``."""
    if link.silent_since is None:
        link.silent_since = now


async def _read_report(link, settings):
    """Request one report and apply it."""
    request = wire.ReportRequest(
        link.pool,
        link.epoch,
        link.incarnation,
        link.version,
        settings.wait if link.silent_since is None and link.incarnation else 0.0,
        settings.lease,
    )
    report = await link.client.report(request)
    apply_report(link, report, time.time())
    link.version = report.version
    link.silent_since = None


async def _read_reports(link, settings, on_change):
    while True:
        try:
            await _read_report(link, settings)
        except StaleEpochError:
            raise
        except WorkerError as error:
            if link.silent_since is None:
                logger.warning(
                    "worker does not answer", worker=link.host.name, why=str(error)
                )
            record_failure(link, anyio.current_time())
            await anyio.sleep(settings.retry_pause)
        on_change(link)
        link.orders_due.notify()


def _forget_tasks(link, task_ids):
    for task_id in task_ids:
        attempt = link.attempts.pop(task_id, None)
        if attempt is not None:
            link.first_seen.pop((task_id, attempt.attempt), None)


async def _send(link, orders, on_change):
    orders = attrs.evolve(orders, sequence=next(link.sequences))
    report = await link.client.order(orders)
    _forget_tasks(link, orders.forget)
    apply_report(link, report, time.time())
    on_change(link)


async def _send_orders(link, settings, next_orders, on_change):
    while True:
        orders = next_orders(link) if link.is_synced else None
        if orders is None:
            await link.orders_due.wait()
            continue
        try:
            await _send(link, orders, on_change)
        except StaleEpochError:
            await anyio.sleep(settings.retry_pause)
        except WorkerError as error:
            logger.warning(
                "orders not confirmed by worker", worker=link.host.name, why=str(error)
            )
            record_failure(link, anyio.current_time())
            on_change(link)


async def follow_worker(link, settings, next_orders, on_change):
    """Read the reports of one worker and send it orders until cancelled.

    ``next_orders(link)`` returns the ``Orders`` to send or ``None``, and
    ``on_change(link)`` is called after each report and each failure. Returns once
    the worker has received a newer epoch of the pool.
    """
    try:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_read_reports, link, settings, on_change)
            task_group.start_soon(_send_orders, link, settings, next_orders, on_change)
    except* StaleEpochError:
        logger.warning("worker has a newer controller", worker=link.host.name)
    finally:
        await link.client.close()
