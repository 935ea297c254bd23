"""Fetch the answer to a request from the peer entry that claimed it."""

import anyio
import capnp

from azurelanding.addresses import is_reachable, split_address
from azurelanding.entries import wire
from azurelanding.entries.members import PeerError

CONNECT_TIMEOUT_SECONDS = 1.0
REPLY_GRACE_SECONDS = 0.5


async def _request_answer(address, claim_id, wait):
    if not is_reachable(address):
        raise PeerError(f"no peer can be at {address!r}")
    host, port = split_address(address)
    with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
        stream = await capnp.AsyncIoStream.create_connection(host, port)
    client = capnp.TwoPartyClient(stream)
    try:
        peer = client.bootstrap().cast_as(wire.SCHEMA.Fellow)
        reply = await peer.answer(claim=claim_id, wait=wait)
        return wire.read_answer(reply.answer) if reply.known else None
    finally:
        client.close()


async def fetch_answer(address, claim_id, wait):
    """Return the answer that the peer at ``address`` has for ``claim_id``.

    The call takes up to ``wait`` seconds. It returns ``None`` when the peer knows of
    no such claim or has no answer by then, and raises ``PeerError`` when the peer
    can't be reached.
    """
    try:
        with anyio.fail_after(wait):
            return await _request_answer(
                address, claim_id, max(0.0, wait - REPLY_GRACE_SECONDS)
            )
    except (OSError, TimeoutError, ValueError, capnp.KjException) as error:
        raise PeerError(f"{address}: {error!r}") from error
