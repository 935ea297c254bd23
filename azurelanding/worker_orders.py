"""Send the orders of a ``WorkerLink`` to its worker, over one connection.

An unanswered order may still be carried out much later. A start is therefore repeated
until it is answered, and a run that must no longer start is stopped: the worker
remembers the stop and refuses a late start.
"""

import anyio
import structlog

from azurelanding.fleet_workers import WorkerPhase
from azurelanding.link_watch import TROUBLE_WAIT_SECONDS
from azurelanding.utils import boot_time
from azurelanding.worker_calls import (
    PaceOrder,
    Refusal,
    StartOrder,
    StopOrder,
    WorkerEndedError,
    WorkerNoResponseError,
    WorkerRefusedError,
)
from azurelanding.worker_link import RETRY_DELAY_SECONDS, round_seconds

logger = structlog.get_logger()

LONGEST_RETRY_DELAY_SECONDS = 0.6
"""Longest delay before an unanswered order is repeated."""
UNHEALTHY_BACKOFF_SECONDS = 1.0
"""How long a worker gets no starts after it refused one as unhealthy."""
LATE_START_LOG_SECONDS = 1.0
"""Shortest time between two lines on late starts of one worker."""


def retry_delays():
    """Yield the delays before an unanswered order is repeated, in seconds.

    They grow, because orders that are repeated add to the load of a full link.
    """
    delay = RETRY_DELAY_SECONDS
    while True:
        yield delay
        delay = min(LONGEST_RETRY_DELAY_SECONDS, 2.0 * delay)


async def send_orders(link, client):
    """Send orders over one connection until the worker has ended.

    It may be run again after an unexpected error, and goes on with the order that it
    was sending then.
    """
    while not (link.has_ended or link.is_fenced):
        if client not in link.in_hand:
            await link.order_added.wait_until(lambda: bool(link.orders))
            if not link.orders:
                continue
            link.in_hand[client] = link.orders.popleft()
        await _send_order(link, client, link.in_hand[client])
        del link.in_hand[client]


async def _send_order(link, client, order):
    match order:
        case StartOrder():
            await start(link, client, order)
        case StopOrder():
            await stop(link, client, order.task, order.run)
        case PaceOrder():
            await _pace(link, client, order)


async def _call_until_answered(link, name, call, *arguments):
    """Repeat a call until it is answered; return the refusal, or ``None``."""
    delays = retry_delays()
    while not (link.has_ended or link.is_fenced):
        try:
            with link.watched(name):
                await call(*arguments)
            return None
        except WorkerNoResponseError:
            await anyio.sleep(next(delays))
        except WorkerEndedError as error:
            link.mark_ended(str(error))
        except WorkerRefusedError as error:
            if error.reason is Refusal.FENCED:
                link.handle_refusal(error)
            return error
    return None


async def stop(link, client, task, run):
    """Stop a run; afterwards the worker certainly never starts it."""
    while not (link.has_ended or link.is_fenced):
        refusal = await _call_until_answered(link, "stop", client.stop, task, run)
        if refusal is None or refusal.reason is not Refusal.UNHEALTHY:
            link.record_stopped(task, run)
            return
        await anyio.sleep(RETRY_DELAY_SECONDS)


async def _pace(link, client, order):
    """Send a pace order once; after a later report a failed one is given again."""
    if link.paces.get((order.task, order.run)) != order.share:
        # A later one has replaced it, or the run has ended.
        return
    try:
        with link.watched("pace"):
            await client.pace(order.task, order.run, order.share)
    except (WorkerNoResponseError, WorkerRefusedError) as error:
        logger.info("pace order failed", worker=link.entry.id, reason=str(error))
        link.record_pace_unknown(order)
    except WorkerEndedError as error:
        link.mark_ended(str(error))


async def _send_start(link, client, order, lease_end):
    """Send a start once; until it is answered, the run may start at any time."""
    link.unanswered_starts.add((order.task, order.run))
    link.controller.watch.count_start_bytes(order)
    with link.watched("start"):
        await client.start(order, lease_end)
    link.controller.record_begin(order.task, order.run)


async def _wait(link, client, seconds, may_have_started):
    """Wait before a start is sent again.

    Its connection sends the stops that are queued meanwhile. That of a start that was
    not sent doesn't, as the start is given up once the worker has fallen silent.
    """
    if not may_have_started:
        await anyio.sleep(seconds)
        return
    until = boot_time() + seconds
    while (left := until - boot_time()) > 0:
        queued = link.orders.pop_first(StopOrder)
        if queued is not None:
            await stop(link, client, queued.task, queued.run)
            continue
        with anyio.move_on_after(left):
            await link.order_added.wait()


async def start(link, client, order):
    """Start a run; afterwards the worker has it or certainly never will."""
    key, refusal = (order.task, order.run), None
    may_have_started = key in link.unanswered_starts
    taken_at, attempt, delays = boot_time(), 0, retry_delays()
    is_counted = False
    while (
        end := await _lease_end_of(link, client, order, may_have_started)
    ) is not None:
        if _is_settled(link, key, may_have_started):
            link.await_reports(key)
            return
        if may_have_started and not is_counted:
            is_counted = True
            await _wait(
                link, client, link.controller.charge_repeat(order), may_have_started
            )
            # A report may have listed the run meanwhile.
            continue
        attempt, is_counted = attempt + 1, False
        log_late_start(link, order, taken_at, attempt)
        try:
            await _send_start(link, client, order, end)
            if key in link.runs or key not in link.unanswered_starts:
                link.record_started(key)
                return
            may_have_started = True
        except WorkerNoResponseError as error:
            may_have_started = may_have_started or error.sent
            await _wait(link, client, next(delays), may_have_started)
        except WorkerEndedError as error:
            link.mark_ended(str(error))
        except WorkerRefusedError as error:
            refusal = error.reason
            if refusal is Refusal.OLD_RUN and may_have_started:
                # An earlier attempt started it and it ended: a report states how.
                link.record_started(key)
                return
            if refusal is not Refusal.LEASE_OVER:
                break
            await _wait(link, client, RETRY_DELAY_SECONDS, may_have_started)
    await _settle_refused_start(link, client, order, refusal, may_have_started)


def _is_settled(link, key, may_have_started):
    """Return whether a run is listed although its start has no answer, or was stopped.

    The answer to the start was lost, or is still under way.
    """
    can_not_start = may_have_started and key not in link.unanswered_starts
    return key in link.listed_runs or can_not_start


async def _lease_end_of(link, client, order, may_have_started):
    """Return the end of the lease to send with a start, once there is one.

    Return ``None`` if the start is no longer wanted, and if it was not sent before
    the worker fell silent, as its task can then start elsewhere at once.
    """
    while _is_wanted(link, order):
        link.extend_leased_until()
        end = link.lease_end()
        if end is not None:
            return end
        if link.is_silent and not may_have_started:
            fields = {"task": str(order.task), "run": order.run}
            logger.info(
                "start not sent to a silent worker", worker=link.entry.id, **fields
            )
            return None
        await _wait(link, client, RETRY_DELAY_SECONDS, may_have_started)
    return None


def _is_wanted(link, order):
    """Return whether a start is still to be carried out.

    A worker that drains would end the run soon, and gets no new ones.
    """
    is_over = link.has_ended or link.is_fenced
    is_expected = (order.task, order.run) in link.runs
    is_draining = link.entry.phase is WorkerPhase.DRAINING
    return (
        is_expected
        and not (is_over or is_draining)
        and link.controller.is_startable(order.task)
    )


def log_late_start(link, order, taken_at, attempt):
    """Log a start that is sent late, with its wait before it was taken to be sent.

    Lines on one worker have at least ``LATE_START_LOG_SECONDS`` between them.
    """
    now, logged_at = boot_time(), link.late_start_logged_at
    if now - order.placed_at <= TROUBLE_WAIT_SECONDS or (
        logged_at is not None and now < logged_at + LATE_START_LOG_SECONDS
    ):
        return
    link.late_start_logged_at = now
    logger.info(
        "start sent late",
        job=order.task.job,
        task=str(order.task),
        run=order.run,
        worker=link.entry.id,
        wait=round_seconds(now - order.placed_at),
        queued=round_seconds(taken_at - order.placed_at),
        attempt=attempt,
        waiting=len(link.orders),
    )


async def _settle_refused_start(link, client, order, refusal, may_have_started):
    """Make sure that a start that was given up is not carried out late."""
    key = (order.task, order.run)
    if refusal is Refusal.FENCED:
        link.mark_fenced()
    if refusal is Refusal.UNHEALTHY:
        link.no_starts_until = boot_time() + UNHEALTHY_BACKOFF_SECONDS
    if may_have_started:
        if key in link.unanswered_starts:
            await stop(link, client, order.task, order.run)
        # From now on the reports show whether the run had started after all.
        link.record_started(key)
    else:
        link.unanswered_starts.discard(key)
        if key in link.runs and not (link.has_ended or link.is_fenced):
            link.not_started.append((key, refusal))
    link.controller.notify()
