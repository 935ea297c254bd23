"""Pass messages between a peer's connection and its RPC system, a bounded amount.

The RPC library reads a message of any length, runs any number of calls at once, and
keeps each answer until the peer reads it. So what a peer sends goes through here: a
message that is too long or too slow ends the connection, and a call is passed on only
while fewer than ``MAX_CALLS`` are unanswered, as far as the peer has read answers.
"""

import struct

import anyio
import attrs
import structlog

logger = structlog.get_logger()

MAX_MESSAGE_BYTES = 2 << 20
"""Longest message of a peer; twice the status of a daemon that names 18,000 hosts."""
MAX_SEGMENTS = 64
MAX_CALLS = 16
MESSAGE_TIMEOUT_SECONDS = 15.0
"""Longest time that a message may take from its first byte, in either direction."""
CHUNK_BYTES = 65_536
WORD_BYTES = 8
FINISH, RELEASE = 4, 6
UNANSWERED_KINDS = frozenset((FINISH, RELEASE))
"""Kinds of messages without an answer, as numbered in the schema of Cap'n Proto RPC."""


class RelayError(Exception):
    """A peer is over a limit, or has gone."""


@attrs.define(eq=False)
class Relay:
    """The state of one connection: what its peer has asked and been answered.

    ``scope`` ends the connection. It ``is_active`` while calls are ``unanswered``.
    ``load`` is the ``ServerLoad`` that counts the message under way, of ``held`` bytes.
    """

    peer: object
    system: object
    load: object
    held: int = 0
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    unanswered: int = 0
    answers: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def is_active(self):
        """Return whether the peer waits for an answer."""
        return self.unanswered > 0

    def cut(self, reason):
        """End the connection."""
        logger.info("connection of a peer cut", reason=reason)
        self.load.count(reason)
        self.load.forget(self)
        self.scope.cancel()

    def measure(self):
        """Return the bytes of the message under way."""
        return self.held

    def _hold(self, size):
        self.held = size
        self.load.hold(self)

    async def run(self):
        """Pass messages on until either side ends, or the peer is over a limit."""
        self.load.admit(self)
        with self.scope:
            try:
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(self._pass_answers)
                    await self._pass_calls()
            except* RelayError as group:
                logger.info("connection of a peer ended", reason=str(group.exceptions))
            except* (anyio.EndOfStream, anyio.IncompleteRead):
                pass
            except* (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass
            finally:
                self.load.forget(self)

    async def _pass_calls(self):
        source = Frames(self.peer)
        while True:
            while self.unanswered >= MAX_CALLS:
                self.answers = anyio.Event()
                await self.answers.wait()
            size = await source.begin(MAX_MESSAGE_BYTES)
            self.load.touch(self)
            self._hold(size)
            kind = await source.pass_on(self.system)
            self._hold(0)
            self.unanswered += kind not in UNANSWERED_KINDS

    async def _pass_answers(self):
        source = Frames(self.system)
        while True:
            await source.begin(None)
            await source.pass_on(self.peer)
            self.unanswered -= 1
            self.answers.set()


class Frames:
    """Reads the messages of one direction of a connection.

    ``head`` is the part of the current one that has been read, ``left`` how many of its
    bytes follow, and ``received`` what was read and is not used yet.
    """

    def __init__(self, stream):
        self.stream = stream
        self.received = bytearray()
        self.head = b""
        self.left = 0

    async def _receive(self, size):
        """Return ``size`` bytes."""
        while len(self.received) < size:
            self.received += await self.stream.receive(CHUNK_BYTES)
        part = bytes(self.received[:size])
        del self.received[:size]
        return part

    async def begin(self, limit):
        """Wait for the next message, and return its size in bytes.

        Raises ``RelayError`` if it is longer than ``limit``.
        """
        first = await self._receive(4)
        with _limited_time():
            (count,) = struct.unpack("<I", first)
            if count >= MAX_SEGMENTS and limit is not None:
                raise RelayError(f"a message of {count + 1} segments")
            # The table of the segments is padded to whole words.
            table = await self._receive(4 * (count + 1 + count % 2))
            words = sum(struct.unpack_from(f"<{count + 1}I", table))
            if limit is not None and words * WORD_BYTES > limit:
                raise RelayError(f"a message of {words} words")
        self.head, self.left = first + table, words * WORD_BYTES
        return len(self.head) + self.left

    async def pass_on(self, sink):
        """Send the rest of the message to ``sink``, and return its kind.

        The kind is that of a call unless the message says so plainly.
        """
        kind = None
        with _limited_time():
            await sink.send(self.head)
            while self.left:
                part = await self._receive(min(self.left, CHUNK_BYTES))
                if kind is None:
                    kind = _read_kind(part)
                self.left -= len(part)
                await sink.send(part)
        return kind


def _limited_time():
    return anyio.fail_after(MESSAGE_TIMEOUT_SECONDS)


def _read_kind(part):
    """Return the kind of the message that begins with ``part``, 0 if it is unclear."""
    if len(part) < 2 * WORD_BYTES:
        return 0
    pointer, data = struct.unpack_from("<IxxxxH", part)
    return data if pointer == 0 else 0
