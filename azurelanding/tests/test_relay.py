"""Test what a peer's connection passes on, without an RPC system."""

import contextlib
import socket
import struct

import anyio
import anyio.abc
import testtools

from azurelanding.addresses import split_address
from azurelanding.entries import relay as relay_module
from azurelanding.entries.relay import MAX_CALLS, MAX_MESSAGE_BYTES, Relay
from azurelanding.entries.server import PeerServer
from azurelanding.served_metrics import ServedMetrics
from azurelanding.server_load import ServerLoad
from azurelanding.standins.site import free_ports

CALL, FINISH = 2, 4
ENDS = (anyio.EndOfStream, anyio.BrokenResourceError)


def message(kind, words=2):
    """Return a message of one segment whose root begins with ``kind``."""
    body = struct.pack("<IIHxxxxxx", 0, 1, kind)
    return struct.pack("<II", 0, words) + body.ljust(words * 8, b"\0")


class RelayTest(testtools.TestCase):
    """One connection, between a peer and an RPC system that tests play."""

    def run_with(self, scenario):
        """Run ``scenario(peer, system)`` beside a relay; return whether it ended."""
        self.load = ServerLoad(4, 64 << 20, ServedMetrics())

        async def main():
            pairs = [socket.socketpair() for _ in range(2)]
            streams = [
                await anyio.abc.SocketStream.from_socket(end)
                for pair in pairs
                for end in pair
            ]
            peer, peer_end, system_end, system = streams
            ended = anyio.Event()

            async def run():
                await Relay(peer_end, system_end, self.load).run()
                ended.set()

            with anyio.fail_after(10):
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(run)
                    await scenario(peer, system)
                    await anyio.sleep(0.1)
                    self.ended = ended.is_set()
                    task_group.cancel_scope.cancel()
            for stream in streams:
                await anyio.aclose_forcefully(stream)

        anyio.run(main)

    async def receive(self, stream, size):
        received = b""
        with anyio.move_on_after(0.3):
            while len(received) < size:
                received += await stream.receive()
        return received

    def test_messages_pass_in_both_directions(self):
        async def scenario(peer, system):
            for begin in (message(CALL), message(CALL, 20_000), message(FINISH)):
                await peer.send(begin)
                self.assertEqual(begin, await self.receive(system, len(begin)))
            await system.send(message(3, 300_000))
            self.assertEqual(300_000 * 8 + 8, len(await self.receive(peer, 1 << 30)))

        self.run_with(scenario)
        self.assertFalse(self.ended)

    def test_message_over_the_limit_ends_the_connection(self):
        for announced in ((0, MAX_MESSAGE_BYTES // 8 + 1), (1_000, 0), (2**32 - 1, 0)):

            async def scenario(peer, system, announced=announced):
                await peer.send(struct.pack("<II", *announced))

            self.run_with(scenario)
            self.assertTrue(self.ended, announced)
            self.assertEqual({}, dict(self.load.connections))

    def test_calls_wait_until_earlier_answers_are_read(self):
        calls = 3 * MAX_CALLS

        async def scenario(peer, system):
            await peer.send(message(CALL) * calls)
            size = len(message(CALL))
            self.assertEqual(MAX_CALLS * size, len(await self.receive(system, 1 << 20)))
            await system.send(message(3) * 5)
            self.assertEqual(5 * size, len(await self.receive(system, 1 << 20)))

        self.run_with(scenario)
        self.assertFalse(self.ended)

    def test_messages_without_an_answer_don_t_count_as_calls(self):
        async def scenario(peer, system):
            sent = message(FINISH) * 3 * MAX_CALLS + message(CALL)
            await peer.send(sent)
            self.assertEqual(sent, await self.receive(system, len(sent)))

        self.run_with(scenario)

    def test_message_that_stands_still_ends_the_connection(self):
        self.patch(relay_module, "MESSAGE_TIMEOUT_SECONDS", 0.1)

        async def scenario(peer, system):
            await peer.send(message(CALL)[:-4])
            await anyio.sleep(0.3)

        self.run_with(scenario)
        self.assertTrue(self.ended)

    def test_quiet_connection_gives_way_to_a_new_one(self):
        async def scenario(peer, system):
            await anyio.sleep(0.05)
            for _ in range(5):
                self.load.admit(Relay(peer, system, self.load))

        self.run_with(scenario)
        self.assertTrue(self.ended)


class PeerServerTest(testtools.TestCase):
    """The server for peers, and connections that fail."""

    async def connect_twice(self):
        address = f"127.0.0.1:{free_ports(1)[0]}"
        host, port = split_address(address)
        served = []

        async def fail(server, stream):
            served.append(server)
            raise ValueError

        self.patch(PeerServer, "_serve_stream", fail)
        async with anyio.create_task_group() as task_group:
            server = PeerServer(address, members=None)
            await server.start(task_group)
            for _ in range(2):
                async with await anyio.connect_tcp(host, port) as stream:
                    with contextlib.suppress(*ENDS):
                        await stream.receive()
            await server.close()
        return len(served)

    def test_error_of_one_connection_ends_no_other(self):
        self.assertEqual(2, anyio.run(self.connect_twice))
