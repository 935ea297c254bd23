"""Run one request from its admission to its answer."""

import anyio

from azurelanding.admission import Ticket
from azurelanding.requests import RefusalReason, refuse

ANSWER_GRACE_SECONDS = 0.5


def _give_up(ticket, queues):
    """Answer ``ticket`` with what is known now and stop all work on it.

    The answer is set first: after that no byte of the request can be written.
    """
    ticket.reply(refuse(RefusalReason.DEADLINE, queues.retry_after(ticket)))
    queues.withdraw(ticket)
    ticket.cancel_exchange()


async def run_ticket(ticket, queues):
    """Run ``ticket`` and return its ``Answer``, by its deadline at the latest.

    At the deadline, a request that had no byte written is refused as not run;
    otherwise its outcome is unknown. This task is cancelled when the caller
    disconnects: a queued request is withdrawn, and the connection of a running one
    is closed.
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
    """Run a request that needs no claim on its key and return its ``Answer``."""
    return await run_ticket(Ticket(request, rule), queues)
