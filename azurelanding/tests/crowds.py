"""Clients that don't behave, and what a process uses while a crowd of them is there.

Each client does one thing, a few times over one connection after the other, and keeps
all of them open. The crowd stays until the process is gone.
"""

import contextlib
import errno
import os
import pathlib
import socket

import anyio

FAULTS = (anyio.EndOfStream, anyio.ClosedResourceError, OSError)
READ_BYTES = 65_536
ACT_SECONDS = 10.0
"""Time that a client has for what it does."""
ROUNDS = 3
RECONNECT_SECONDS = 0.02
SMALL_SEGMENT_BYTES = 536
SMALL_WINDOW_BYTES = 2_048
OPEN_STATES = ("01", "08")
"""ESTABLISHED and CLOSE_WAIT, as in ``/proc/net/tcp``."""


class RawStream:
    """A connection that reads only when it is asked to."""

    def __init__(self, raw):
        self.raw = raw

    async def send(self, data):
        """Send all of ``data``."""
        view = memoryview(data)
        while view:
            try:
                view = view[self.raw.send(view) :]
            except BlockingIOError:
                await anyio.wait_writable(self.raw)

    async def receive(self):
        """Return what has arrived next; raise ``EndOfStream`` at the end."""
        await anyio.wait_readable(self.raw)
        data = self.raw.recv(READ_BYTES)
        if not data:
            raise anyio.EndOfStream
        return data

    async def aclose(self):
        """Close the connection."""
        self.raw.close()


async def connect(address, small_window=False):
    """Return a stream to ``address``; a small window keeps the peer's buffers small."""
    host, _, port = address.rpartition(":")
    raw = socket.socket()
    try:
        raw.setblocking(False)
        if small_window:
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SMALL_SEGMENT_BYTES)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
        if raw.connect_ex((host, int(port))) == errno.EINPROGRESS:
            await anyio.wait_writable(raw)
        error = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))
    except BaseException:
        raw.close()
        raise
    return RawStream(raw)


class Crowd:
    """The clients of one test; ``close`` ends them all."""

    def __init__(self, task_group):
        self.task_group = task_group
        self.scopes = []
        self.acting = 0
        self.done = anyio.Event()

    def add(self, act, address, count, small_window=False, rounds=ROUNDS):
        """Start ``count`` clients that call ``act(stream)`` and stay connected."""
        for _ in range(count):
            self.acting += 1
            self.task_group.start_soon(self._run, act, address, small_window, rounds)

    def _scope(self):
        self.scopes.append(anyio.CancelScope())
        return self.scopes[-1]

    async def _run(self, act, address, small_window, rounds):
        with self._scope(), anyio.move_on_after(ACT_SECONDS):
            for _ in range(rounds):
                try:
                    stream = await connect(address, small_window)
                    self.task_group.start_soon(self._keep, stream)
                    await act(stream)
                except FAULTS:
                    await anyio.sleep(RECONNECT_SECONDS)
        self.acting -= 1
        if not self.acting:
            self.done.set()

    async def _keep(self, stream):
        with self._scope():
            try:
                await anyio.sleep_forever()
            finally:
                await anyio.aclose_forcefully(stream)

    async def wait(self):
        """Wait until each client has done what it does."""
        await self.done.wait()

    def close(self):
        """End all clients; may be called twice."""
        for scope in self.scopes:
            scope.cancel()


def read_unread_bytes(addresses):
    """Return the bytes that were sent to ``addresses`` and wait to be read there."""
    locals_ = set()
    for address in addresses:
        host, _, port = address.rpartition(":")
        packed = socket.inet_aton(host)[::-1].hex().upper()
        locals_.add(f"{packed}:{int(port):04X}")
    unread = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        if local in locals_ and state in OPEN_STATES:
            unread += int(queues.partition(":")[2], 16)
    return unread


def read_memory(process, addresses):
    """Return the bytes that a process uses, with those that it has not read yet."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (used,) = (line for line in status.splitlines() if line.startswith("VmRSS"))
    return (int(used.split()[1]) << 10) + read_unread_bytes(addresses)


def count_descriptors(process):
    """Return how many descriptors a process has open."""
    return len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))


class UseWatch:
    """Samples what a process uses; ``memory`` in bytes and ``descriptors`` are peaks.

    ``addresses`` are those that the process listens on.
    """

    def __init__(self, process, addresses):
        self.process = process
        self.addresses = addresses
        self.memory = 0
        self.descriptors = 0

    async def run(self):
        """Take samples until the process is gone."""
        while self.process.returncode is None:
            with contextlib.suppress(OSError, ValueError):
                memory = read_memory(self.process, self.addresses)
                self.memory = max(self.memory, memory)
                open_now = count_descriptors(self.process)
                self.descriptors = max(self.descriptors, open_now)
            await anyio.sleep(0.03)
