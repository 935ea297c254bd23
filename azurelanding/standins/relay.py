"""Simulate a network that cuts connections or silently stops forwarding.

A relay listens on an address for each target and forwards bytes both ways. It
injects faults into random exchanges, at a byte offset within the request or the
answer, by shares that its knobs set. On request it silences all open connections.
"""

import enum
import random

import anyio
import attrs

from azurelanding.addresses import split_address
from azurelanding.standins import knobs as knobs_module

SILENCE_PATH = "/silence"
CHUNK_BYTES = 1 << 16
PART_LIMITS_BYTES = ((0, "start"), (150, "head"), (float("inf"), "later"))


class Fault(enum.Enum):
    """A fault that the relay injects into an exchange.

    ``CUT`` closes the connection and ``SILENT`` stops forwarding on it, both at
    the chosen byte. ``REPEAT`` sends the previous exchange's answer once more,
    ahead of the request's own answer.
    """

    CUT = "cut"
    SILENT = "silent"
    REPEAT = "repeat"


@attrs.define
class RelayKnobs:
    """The share of exchanges with each fault, and the largest byte offset of it.

    ``silent_share`` also affects connections opened later, unlike ``/silence``.
    """

    request_cut_share: float = 0.0
    answer_cut_share: float = 0.0
    silent_share: float = 0.0
    repeat_share: float = 0.0
    max_byte: int = 600
    seed: int = 1


@attrs.frozen
class _PlannedFault:
    """The fault of one exchange, if any.

    ``at_byte`` is an offset within the answer if ``on_answer``, else the request.
    """

    fault: Fault | None = None
    on_answer: bool = False
    at_byte: int = 0


@attrs.define(eq=False)
class _RelayedConnection:
    """One relayed connection; once ``silent``, it never forwards anything again."""

    client_stream: object
    target_stream: object
    plan: _PlannedFault
    is_answering: bool = False
    forwarded_bytes: int = 0
    last_answer: bytearray = attrs.field(factory=bytearray)
    silent: bool = False


class Relay:
    """Relays connections to targets; ``counts`` counts the faults by name."""

    def __init__(self, routes):
        self.routes = routes
        self.knobs = RelayKnobs()
        self.random = random.Random(self.knobs.seed)
        self.connections = set()
        self.counts = {}

    def _plan_fault(self):
        """Choose the fault of the next exchange at random."""
        knobs = self.knobs
        at_byte = max(0, self.random.randrange(-knobs.max_byte // 4, knobs.max_byte))
        draw = self.random.random()
        for share, fault, on_answer in (
            (knobs.request_cut_share, Fault.CUT, False),
            (knobs.answer_cut_share, Fault.CUT, True),
            (knobs.silent_share, Fault.SILENT, self.random.random() < 0.5),
            (knobs.repeat_share, Fault.REPEAT, True),
        ):
            if draw < share:
                return _PlannedFault(fault, on_answer, at_byte)
            draw -= share
        return _PlannedFault()

    def _count_fault(self, connection, position):
        side = "answer" if connection.is_answering else "request"
        part = next(part for limit, part in PART_LIMITS_BYTES if position <= limit)
        name = f"{connection.plan.fault.value}-{side}-{part}"
        self.counts[name] = self.counts.get(name, 0) + 1

    async def _set_direction(self, connection, is_answering):
        """Record the direction of the next bytes; a request starts a new exchange."""
        if connection.is_answering == is_answering:
            return
        connection.is_answering, connection.forwarded_bytes = is_answering, 0
        if is_answering:
            connection.last_answer.clear()
            return
        connection.plan = self._plan_fault()
        if connection.plan.fault is Fault.REPEAT:
            self._count_fault(connection, 0)
            await connection.client_stream.send(bytes(connection.last_answer))

    async def _forward(self, connection, sink, chunk):
        """Send ``chunk`` to ``sink``, up to the byte of a planned cut or silence."""
        plan = connection.plan
        end = connection.forwarded_bytes + len(chunk)
        cuts = plan.fault in (Fault.CUT, Fault.SILENT)
        if not cuts or plan.on_answer != connection.is_answering or plan.at_byte >= end:
            if connection.is_answering:
                connection.last_answer += chunk
            connection.forwarded_bytes = end
            await sink.send(chunk)
            return
        self._count_fault(connection, plan.at_byte)
        allowed = chunk[: max(0, plan.at_byte - connection.forwarded_bytes)]
        if allowed:
            await sink.send(allowed)
        if plan.fault is Fault.CUT:
            raise anyio.EndOfStream
        connection.silent = True

    async def _forward_stream(self, connection, source, sink, is_answering):
        while True:
            chunk = await source.receive(CHUNK_BYTES)
            if connection.silent:
                continue
            await self._set_direction(connection, is_answering)
            await self._forward(connection, sink, chunk)

    async def _forward_until_end(self, connection, source, sink, is_answering, scope):
        try:
            await self._forward_stream(connection, source, sink, is_answering)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            if connection.silent and is_answering:
                return
            scope.cancel()

    async def _serve(self, client_stream, address):
        host, port = split_address(address)
        try:
            target_stream = await anyio.connect_tcp(host, port)
        except OSError:
            await client_stream.aclose()
            return
        connection = _RelayedConnection(
            client_stream, target_stream, self._plan_fault()
        )
        self.connections.add(connection)
        try:
            async with (
                client_stream,
                target_stream,
                anyio.create_task_group() as task_group,
            ):
                scope = task_group.cancel_scope
                task_group.start_soon(
                    self._forward_until_end,
                    connection,
                    client_stream,
                    target_stream,
                    False,
                    scope,
                )
                task_group.start_soon(
                    self._forward_until_end,
                    connection,
                    target_stream,
                    client_stream,
                    True,
                    scope,
                )
        finally:
            self.connections.discard(connection)

    async def start(self, task_group):
        """Listen on each route in a task of ``task_group``."""
        for listen_address, target_address in self.routes:
            host, port = split_address(listen_address)
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=port, reuse_port=True
            )

            async def handle(stream, target_address=target_address):
                await self._serve(stream, target_address)

            task_group.start_soon(self._listen, listener, handle)

    async def _listen(self, listener, handle):
        async with listener:
            await listener.serve(handle)

    def silence(self):
        """Silence all open connections and return their number; new ones work."""
        for connection in self.connections:
            connection.silent = True
        return len(self.connections)

    async def app(self, scope, receive, send):
        """Serve the knobs, the fault counts and ``/silence`` over HTTP."""
        if scope["path"] == SILENCE_PATH:
            await knobs_module.send_json(send, 200, {"silenced": self.silence()})
        elif scope["path"] == knobs_module.KNOBS_PATH:
            await knobs_module.serve_knobs(self.knobs, scope, receive, send)
            self.random.seed(self.knobs.seed)
        else:
            await knobs_module.send_json(send, 200, self.counts)
