"""Fetch from a fellow entry the answer to a request that it claimed."""

import anyio
import capnp

from azurelanding.entries import wire
from azurelanding.entries.members import PeerError
from azurelanding.settings import split_address

CONNECT_SECONDS = 1.0
REPLY_GRACE_SECONDS = 0.5


async def _ask(address, claim_id, wait):
    host, port = split_address(address)
    with anyio.fail_after(CONNECT_SECONDS):
        stream = await capnp.AsyncIoStream.create_connection(host, port)
    client = capnp.TwoPartyClient(stream)
    try:
        fellow = client.bootstrap().cast_as(wire.SCHEMA.Fellow)
        reply = await fellow.answer(claim=claim_id, wait=wait)
        return wire.read_answer(reply.answer) if reply.known else None
    finally:
        client.close()


async def fetch_answer(address, claim_id, wait):
    """Return the answer that the fellow at ``address`` has for ``claim_id``.

    The answer is waited for up to ``wait`` seconds and is ``None`` when the
    fellow knows of no such claim or has no answer by then. Raises
    ``PeerError`` when the fellow can't be asked.
    """
    try:
        with anyio.fail_after(wait):
            return await _ask(address, claim_id, max(0.0, wait - REPLY_GRACE_SECONDS))
    except (OSError, TimeoutError, ValueError, capnp.KjException) as error:
        raise PeerError(f"{address}: {error!r}") from error
