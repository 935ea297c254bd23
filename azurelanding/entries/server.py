"""Answer the calls of peer daemons."""

import socket

import anyio
import capnp
import structlog
from anyio.abc import SocketStream

from azurelanding.addresses import split_address
from azurelanding.entries import wire
from azurelanding.entries.members import MAX_RELAYED_RECORDS
from azurelanding.entries.relay import Relay
from azurelanding.metrics import Metrics
from azurelanding.server_load import DEFAULT_MAX_BYTES, ServerLoad

logger = structlog.get_logger()

MAX_ANSWER_WAIT_SECONDS = 600.0
ACCEPT_PAUSE_SECONDS = 0.5
"""Pause after a connection could not be accepted, as when descriptors are short."""
CONNECTIONS_PER_PEER = 2
SPARE_CONNECTIONS = 16
"""Connections beyond those of the configured peers: to ask for the answer to a request
a daemon connects anew."""


async def _find_no_answer(_claim_id, _wait):
    return None


class _PeerConnection(wire.SCHEMA.Fellow.Server):
    """Answers the calls of one peer over one connection."""

    def __init__(self, members, find_answer):
        self.members = members
        self.state_parts = []
        self.find_answer = find_answer

    async def exchange(self, mine, _context, **_rest):
        status = wire.read_status(mine)
        _context.results.yourHighestOffset = self.members.highest_offset(status.name)
        self.members.record_status(status)
        wire.fill_status(
            _context.results.theirs, self.members.prepare_status(status.address)
        )

    async def records(self, first, limit, _context, **_rest):
        entries = self.members.follower.entries_from(
            first, min(limit, MAX_RELAYED_RECORDS)
        )
        wire.fill_entries(_context.results, entries)

    async def state(self, part, _context, **_rest):
        if part == 0:
            self.state_parts = self.members.state_parts()
        wire.fill_state_part(_context.results, self.state_parts[part])
        if part == len(self.state_parts) - 1:
            self.state_parts = []

    async def answer(self, claim, wait, _context, **_rest):
        limit = max(0.0, min(wait, MAX_ANSWER_WAIT_SECONDS))
        answer = await self.find_answer(claim, limit)
        _context.results.known = answer is not None
        if answer is not None:
            wire.fill_answer(_context.results.answer, answer)


class PeerServer:
    """Listens for connections of peer daemons.

    ``find_answer(claim_id, wait)`` returns the answer to a request that this
    daemon claimed, or ``None``.
    """

    def __init__(self, address, members, load=None):
        self.address = address
        self.members = members
        self.load = load or ServerLoad(
            SPARE_CONNECTIONS, DEFAULT_MAX_BYTES, Metrics(None)
        )
        self.find_answer = _find_no_answer
        self.listener = None

    @classmethod
    def from_config(cls, settings, members, metrics=None):
        """Return a server at the address in ``settings``, not yet listening."""
        count = CONNECTIONS_PER_PEER * len(settings.fellows) + SPARE_CONNECTIONS
        load = ServerLoad(count, DEFAULT_MAX_BYTES, metrics or Metrics(None))
        return cls(settings.address, members, load)

    async def _serve(self, connection):
        """Answer the calls of one connection; no error of it may end the others."""
        try:
            await self._serve_stream(await SocketStream.from_socket(connection))
        except Exception:
            logger.exception("connection of a peer failed")
        finally:
            connection.close()

    async def _serve_stream(self, stream):
        near, far = socket.socketpair()
        async with stream, await SocketStream.from_socket(near) as system:
            far_stream = await capnp.AsyncIoStream.create_unix_connection(sock=far)
            calls = _PeerConnection(self.members, self.find_answer)
            server = capnp.TwoPartyServer(far_stream, bootstrap=calls)
            try:
                await Relay(stream, system, self.load).run()
            finally:
                server.close()
                far_stream.close()

    async def start(self, task_group):
        """Serve connections in a task of ``task_group``.

        Raises ``OSError`` when the address is in use.
        """
        host, port = split_address(self.address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.listener = socket.create_server((host, port), family=family)
        self.listener.setblocking(False)
        task_group.start_soon(self._listen, self.listener, task_group)

    async def _listen(self, listener, task_group):
        """Accept connections until the listener is closed."""
        while self.listener is listener:
            try:
                await anyio.wait_readable(listener)
                connection, _ = listener.accept()
            except (anyio.ClosedResourceError, BlockingIOError):
                continue
            except OSError as error:
                logger.warning("connection of a peer not accepted", reason=str(error))
                await anyio.sleep(ACCEPT_PAUSE_SECONDS)
                continue
            connection.setblocking(False)
            task_group.start_soon(self._serve, connection)

    async def close(self):
        """Stop listening; may be called twice."""
        if self.listener is not None:
            listener, self.listener = self.listener, None
            anyio.notify_closing(listener)
            listener.close()
