"""Carry one request from its admission to its answer."""

import anyio

from azurelanding.admission import Ticket
from azurelanding.requests import RefusalReason, refuse

GRACE_SECONDS = 0.5


def _give_up(ticket, queues):
    """Answer ``ticket`` with what is known now and stop all work on it.

    The answer comes first: from then on no byte of the request is written.
    """
    ticket.reply(refuse(RefusalReason.DEADLINE, queues.retry_after(ticket)))
    queues.withdraw(ticket)
    ticket.cancel_exchange()


async def run_ticket(ticket, queues):
    """Return the ``Answer`` to ``ticket``, at its deadline at the latest.

    A request of which no byte was written by the deadline is refused as not run,
    any other is unknown. When the caller leaves, this task is cancelled: a
    queued request is withdrawn, and the connection of a running one is closed.
    """
    refusal = queues.submit(ticket)
    if refusal is not None:
        return refusal
    try:
        with anyio.move_on_at(ticket.request.deadline):
            await ticket.done.wait()
    finally:
        if ticket.answer is None:
            _give_up(ticket, queues)
    return ticket.answer


async def run_request(request, rule, queues):
    """Return the ``Answer`` to a request that needs no claim."""
    return await run_ticket(Ticket(request, rule), queues)
