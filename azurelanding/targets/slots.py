"""Run requests on the slots of executors, with one task for each slot."""

import http

import anyio
import attrs
import structlog

from azurelanding import silence
from azurelanding.admission import Ticket
from azurelanding.hosts import Host
from azurelanding.requests import Outcome, RefusalReason, refuse
from azurelanding.retries import TargetHealth, is_set_aside
from azurelanding.targets.connections import Connection, ExchangeError, TargetError

logger = structlog.get_logger()

MAX_ATTEMPTS = 3
MAX_RETRY_DELAY_FACTOR = 8.0
RETRY_AFTER_SECONDS = 1.0


@attrs.define(eq=False)
class Slot:
    """One slot of an executor that this entry holds for a pool.

    ``same_zone`` says whether the executor is in the entry's own zone. ``waiting`` is
    the scope in which the slot waits for a request, cancelled to end an idle slot.
    ``health`` is that of the executor, ``pool_health`` that of every executor of the
    pool, by name. ``ticket`` is the request that the slot runs, ``sent_at`` when it
    was sent. A slot is ``suspected`` when its answer is overdue: another slot
    replaces it, and it ends after its request.
    """

    host: Host
    pool: str
    same_zone: bool = False
    leaving: bool = False
    busy: bool = False
    waiting: anyio.CancelScope | None = None
    health: TargetHealth = attrs.field(factory=TargetHealth)
    pool_health: dict[str, TargetHealth] = attrs.field(factory=dict)
    ticket: Ticket | None = None
    sent_at: float = 0.0
    suspected: bool = False
    trust: silence.TargetTrust = attrs.field(factory=silence.TargetTrust)
    answer_times: silence.AnswerTimes = attrs.field(factory=silence.AnswerTimes)

    @property
    def ending(self):
        """Return whether the slot accepts no further requests."""
        return self.leaving or self.suspected

    def leave(self):
        """Accept no further requests, but finish the one in flight."""
        self.leaving = True
        if self.waiting is not None:
            self.waiting.cancel()


def suspect_if_overdue(slot, now):
    """Distrust the connection of ``slot`` when its answer is overdue.

    The executor's other connections are distrusted too, unless they were verified
    after this request was sent. An idempotent request is cancelled and retried
    immediately. Any other may still be answered until its deadline, so its slot is
    marked as suspected.
    """
    ticket = slot.ticket
    if ticket is None or slot.suspected:
        return
    if not silence.is_overdue(slot.answer_times, ticket.rule.name, now - slot.sent_at):
        return
    silence.distrust(slot.trust, slot.sent_at)
    logger.warning("answer overdue", request=ticket.request.id, target=slot.host.name)
    if ticket.rule.idempotent:
        ticket.cancel_exchange()
    else:
        slot.suspected = True


def _may_retry(ticket):
    """Return whether another attempt is safe and the deadline has not passed."""
    safe = not ticket.unresolved_attempts or ticket.rule.idempotent
    in_time = anyio.current_time() < ticket.request.deadline
    return ticket.answer is None and safe and in_time


def _requeue_or_refuse(ticket, queues):
    """Requeue ``ticket`` if it may be retried, or refuse it."""
    if _may_retry(ticket) and queues.charge_retry(ticket, MAX_ATTEMPTS):
        queues.requeue(ticket)
    else:
        ticket.reply(refuse(RefusalReason.RETRIES_SPENT, RETRY_AFTER_SECONDS))


def _deliver_or_requeue(ticket, answer, queues):
    """Deliver ``answer``, or requeue a ticket that the target refused to run."""
    refused = answer.outcome is Outcome.NOT_RUN
    if refused:
        ticket.unresolved_attempts -= 1
    if refused and _may_retry(ticket) and queues.charge_retry(ticket, MAX_ATTEMPTS):
        queues.requeue(ticket)
    else:
        ticket.reply(answer)


async def _wait_while_set_aside(slot):
    """Wait until the target may get a request, if only as a probe."""
    while is_set_aside(slot.health, slot.pool_health.values()):
        delay = slot.health.request_delay(anyio.current_time())
        if not delay:
            return
        await anyio.sleep(delay)


async def _take_ticket(slot, queues):
    """Return the next ticket, or ``None`` when the slot must end.

    If ``leave`` is called while a ticket is being assigned, the ticket is
    requeued: the entry may have reported already that nothing runs on the host.
    """
    ticket = None
    with anyio.CancelScope() as slot.waiting:
        if slot.health.next_probe_at is not None:
            await _wait_while_set_aside(slot)
        ticket = await queues.take(slot.pool, slot.same_zone, slot.host)
    slot.waiting = None
    if ticket is not None and slot.leaving:
        queues.finish(slot.pool, ticket)
        queues.requeue(ticket)
        return None
    return ticket


def _record_health(slot, answer):
    """Record a failure if there is no ``answer`` or a server error, or a success."""
    if answer is None or answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        slot.health.record_failure(anyio.current_time())
    else:
        slot.health.record_success()


async def _connect(slot, settings):
    """Return a new connection, or ``None`` when the slot must end.

    Failed attempts are repeated. The delay between them starts at
    ``settings.retry_pause`` and doubles up to ``MAX_RETRY_DELAY_FACTOR`` times that.
    """
    retry_delay = settings.retry_pause
    while not slot.ending:
        try:
            return await Connection.connect(slot.host, settings.connect_timeout)
        except TargetError as error:
            logger.warning("target unreachable", target=slot.host.name, reason=error)
            await anyio.sleep(retry_delay)
            retry_delay = min(
                2.0 * retry_delay, MAX_RETRY_DELAY_FACTOR * settings.retry_pause
            )
    return None


def _is_trusted(slot, connection, ticket, settings):
    """Return whether ``connection`` may carry ``ticket``."""
    return connection.usable and silence.is_trusted(
        slot.trust,
        connection.verified_at,
        ticket.rule.idempotent,
        settings.trust,
        anyio.current_time(),
    )


async def _reconnect(slot, connection, settings):
    await connection.close()
    return await Connection.connect(slot.host, settings.connect_timeout)


async def _exchange(connection, ticket):
    """Return the answer to ``ticket``, or ``None`` if the exchange was cancelled."""
    with anyio.CancelScope() as ticket.exchange:
        try:
            return await connection.exchange(
                ticket.request, ticket.attempts, ticket.try_start_writing
            )
        finally:
            ticket.exchange = None
    return None


def _record_exchange_end(slot, connection, ticket, answer):
    """Update answer times, trust and health at the end of an exchange.

    An exchange without any answer counts against the target, unless its ticket was
    answered otherwise before the deadline, as when the caller disconnects.
    """
    now = anyio.current_time()
    deadline_passed = now >= ticket.request.deadline
    if answer is not None:
        silence.record_answer_time(
            slot.answer_times, ticket.rule.name, now - slot.sent_at
        )
    elif connection.unanswered and deadline_passed:
        silence.distrust(slot.trust, slot.sent_at)
    if answer is not None or (
        connection.unanswered and (deadline_passed or ticket.answer is None)
    ):
        _record_health(slot, answer)


async def _run_ticket(slot, connection, ticket, queues):
    """Send ``ticket`` over ``connection``, which is closed on failure."""
    ticket.attempts += 1
    ticket.tried_hosts.append(slot.host)
    slot.ticket, slot.sent_at = ticket, anyio.current_time()
    answer = None
    try:
        answer = await _exchange(connection, ticket)
    except ExchangeError as error:
        logger.warning(
            "exchange failed",
            request=ticket.request.id,
            target=slot.host.name,
            written=error.written,
            reason=str(error),
        )
        if error.written and not connection.unanswered:
            _record_health(slot, None)
    slot.ticket = None
    _record_exchange_end(slot, connection, ticket, answer)
    if answer is None:
        await connection.close()
        _requeue_or_refuse(ticket, queues)
    else:
        _deliver_or_requeue(ticket, answer, queues)


async def _serve_ticket(slot, connection, ticket, queues, settings):
    """Run ``ticket`` and return the connection that it was sent over.

    A ticket that was answered while it was queued is not sent. A connection that
    is not trusted is replaced first.
    """
    if ticket.answer is not None:
        return connection
    try:
        if not _is_trusted(slot, connection, ticket, settings):
            connection = await _reconnect(slot, connection, settings)
        await _run_ticket(slot, connection, ticket, queues)
    except TargetError:
        _requeue_or_refuse(ticket, queues)
    return connection


async def serve_slot(slot, queues, settings):
    """Take requests from ``queues`` and run them one by one until the slot ends.

    The connection is opened before a request is taken, so that an unreachable
    executor gets no requests.
    """
    connection = None
    try:
        connection = await _connect(slot, settings)
        while not slot.ending:
            ticket = await _take_ticket(slot, queues)
            if ticket is None:
                break
            slot.busy = True
            try:
                connection = await _serve_ticket(
                    slot, connection, ticket, queues, settings
                )
            finally:
                slot.busy = False
                queues.finish(slot.pool, ticket)
            if not connection.idle:
                await connection.close()
                connection = await _connect(slot, settings)
    finally:
        if connection is not None:
            await connection.close()
