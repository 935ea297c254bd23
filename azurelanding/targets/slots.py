"""Run requests on the slots of executors, one task for each slot held."""

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
LONGEST_PAUSE_FACTOR = 8.0
RETRY_AFTER_SECONDS = 1.0


@attrs.define(eq=False)
class Slot:
    """One slot of an executor that this entry holds for a pool.

    ``same_zone`` says that the executor is in the entry's own zone. ``waiting`` is
    cancelled to end a slot that has no request in flight. ``health`` is that of
    the executor, ``pool_health`` that of each executor of the pool by name. ``ticket``
    is what the slot runs, sent at ``sent_at``. A slot is ``suspected`` once the
    answer is overdue: another takes its place, and it ends after its request.
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
        """Tell whether the slot takes no further request."""
        return self.leaving or self.suspected

    def leave(self):
        """Take no further request; one in flight is finished."""
        self.leaving = True
        if self.waiting is not None:
            self.waiting.cancel()


def suspect_if_overdue(slot, now):
    """Give up on the connection of ``slot`` when its answer is overdue.

    Its siblings are condemned with it. A repeatable request is tried again at
    once, any other may still be answered until its deadline.
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
    """Tell whether another attempt is safe and in time."""
    safe = not ticket.unresolved_attempts or ticket.rule.idempotent
    in_time = anyio.current_time() < ticket.request.deadline
    return ticket.answer is None and safe and in_time


def _after_failure(ticket, queues):
    """Put ``ticket`` back when another attempt is safe, or answer it."""
    if _may_retry(ticket) and queues.charge_retry(ticket, MAX_ATTEMPTS):
        queues.requeue(ticket)
    else:
        ticket.reply(refuse(RefusalReason.RETRIES_SPENT, RETRY_AFTER_SECONDS))


def _after_answer(ticket, answer, queues):
    """Deliver ``answer``, or put back a ticket that the target refused."""
    refused = answer.outcome is Outcome.NOT_RUN
    if refused:
        ticket.unresolved_attempts -= 1
    if refused and _may_retry(ticket) and queues.charge_retry(ticket, MAX_ATTEMPTS):
        queues.requeue(ticket)
    else:
        ticket.reply(answer)


async def _wait_set_aside(slot):
    """Return when the target may get a request, or one as a probe."""
    while is_set_aside(slot.health, slot.pool_health.values()):
        delay = slot.health.delay(anyio.current_time())
        if not delay:
            return
        await anyio.sleep(delay)


async def _take(slot, queues):
    """Return the next ticket, or ``None`` when the slot is to end.

    A slot that was told to leave while it was handed a ticket gives it back: its
    entry may have said already that nothing runs on the host.
    """
    ticket = None
    with anyio.CancelScope() as slot.waiting:
        if slot.health.next_probe_at is not None:
            await _wait_set_aside(slot)
        ticket = await queues.take(slot.pool, slot.same_zone, slot.host)
    slot.waiting = None
    if ticket is not None and slot.leaving:
        queues.finish(slot.pool, ticket)
        queues.requeue(ticket)
        return None
    return ticket


def _note_health(slot, answer):
    """Count an exchange that brought ``answer``, or none, for or against its target."""
    if answer is None or answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        slot.health.record_failure(anyio.current_time())
    else:
        slot.health.record_success()


async def _connect(slot, settings):
    """Return a new connection, trying until there is one or the slot is to end.

    The pause between two tries doubles up to ``LONGEST_PAUSE_FACTOR`` times.
    """
    pause = settings.retry_pause
    while not slot.ending:
        try:
            return await Connection.connect(slot.host, settings.connect_timeout)
        except TargetError as error:
            logger.warning("target unreachable", target=slot.host.name, reason=error)
            await anyio.sleep(pause)
            pause = min(2.0 * pause, LONGEST_PAUSE_FACTOR * settings.retry_pause)
    return None


def _is_trusted(slot, connection, ticket, settings):
    """Tell whether ``connection`` is fit for ``ticket``."""
    return connection.usable and silence.is_trusted(
        slot.trust,
        connection.verified_at,
        ticket.rule.idempotent,
        settings.trust,
        anyio.current_time(),
    )


async def _redial(slot, connection, settings):
    await connection.close()
    return await Connection.connect(slot.host, settings.connect_timeout)


async def _exchange(connection, ticket):
    """Return the answer to ``ticket``, or ``None`` when it was abandoned."""
    with anyio.CancelScope() as ticket.exchange:
        try:
            return await connection.exchange(
                ticket.request, ticket.attempts, ticket.start_writing
            )
        finally:
            ticket.exchange = None
    return None


def _note_end(slot, connection, ticket, answer):
    """Learn from the end of an exchange how long answers take, or of silence."""
    now = anyio.current_time()
    late = now >= ticket.request.deadline
    if answer is not None:
        silence.record_answer_time(
            slot.answer_times, ticket.rule.name, now - slot.sent_at
        )
    elif connection.unanswered and late:
        silence.distrust(slot.trust, slot.sent_at)
    if answer is not None or (
        connection.unanswered and (late or ticket.answer is None)
    ):
        _note_health(slot, answer)


async def _run_ticket(slot, connection, ticket, queues):
    """Send ``ticket`` over ``connection``; close the connection on failure."""
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
            _note_health(slot, None)
    slot.ticket = None
    _note_end(slot, connection, ticket, answer)
    if answer is None:
        await connection.close()
        _after_failure(ticket, queues)
    else:
        _after_answer(ticket, answer, queues)


async def _serve_ticket(slot, connection, ticket, queues, settings):
    """Run ``ticket`` and return the connection that it was sent over.

    A ticket that was answered while it was queued is left alone, and a connection
    that is not trusted is replaced.
    """
    if ticket.answer is not None:
        return connection
    try:
        if not _is_trusted(slot, connection, ticket, settings):
            connection = await _redial(slot, connection, settings)
        await _run_ticket(slot, connection, ticket, queues)
    except TargetError:
        _after_failure(ticket, queues)
    return connection


async def serve_slot(slot, queues, settings):
    """Connect, take the next request, send, read the answer, and again.

    The connection is opened before a request is taken, so that an executor that
    can't be reached takes none.
    """
    connection = await _connect(slot, settings)
    while not slot.ending:
        ticket = await _take(slot, queues)
        if ticket is None:
            break
        slot.busy = True
        try:
            connection = await _serve_ticket(slot, connection, ticket, queues, settings)
        finally:
            slot.busy = False
            queues.finish(slot.pool, ticket)
        if not connection.idle:
            await connection.close()
            connection = await _connect(slot, settings)
    if connection is not None:
        await connection.close()
