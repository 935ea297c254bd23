"""Test crowds at the listeners of the entry and control daemons of a site.

Each test starts a site of one entry and one control daemon with few descriptors.
Judged are that the daemon lives, that its memory, with the bytes that it has not read
yet, and its descriptors stay under their limits, that ordinary requests are answered
while the crowd is still connected, and that the daemon then ends in order.
"""

import contextlib
import struct
import sys

import anyio
import capnp
import testtools
import yaml

from azurelanding.entries import wire
from azurelanding.operators.client import DaemonUnreachableError, OperatorsClient
from azurelanding.standins.site import LocalSite, SiteConfig
from azurelanding.tests.crowds import Crowd, UseWatch
from azurelanding.tests.test_site import RULES, call, publish

MEMORY_MEGABYTES = 300
DESCRIPTORS = 160
CROWD = 64
PIECE = 64 << 10
WORD_BYTES = 8
ANNOUNCED_WORDS = 7 << 20
MESSAGE_BYTES = 32 << 20
CALLS = 2_000
TEAMS = 20_000
POST = b"POST /services/preview/a HTTP/1.1\r\nHost: h\r\n"


class FewDescriptorsSite(LocalSite):
    """A site whose processes may open few descriptors."""

    async def _spawn(self, name, *arguments):
        with (self.path / f"{name}.log").open("ab") as output:
            return await anyio.open_process(
                [
                    *("sh", "-c", 'ulimit -n "$0" && exec "$@"', str(DESCRIPTORS)),
                    *(sys.executable, "-m", *arguments),
                ],
                stdin=None,
                stdout=output,
                stderr=output,
            )


async def stay_idle(stream):
    """Send nothing."""


async def send_short_headers(stream):
    """Begin a request of very many headers, which waits for its body."""
    await stream.send(POST + b"a:\r\n" * 16_000 + b"Content-Length: 9\r\n\r\n")


async def leave_rules_unread(stream):
    """Ask for the rules again and again, and read none of the answers."""
    await stream.send(b"GET /v1/rules HTTP/1.1\r\nHost: h\r\n\r\n" * 30)


async def announce_long_message(stream):
    """Send a message between daemons that is long, and never ends."""
    await stream.send(struct.pack("<II", 0, ANNOUNCED_WORDS))
    for _ in range(MESSAGE_BYTES // PIECE):
        await stream.send(bytes(PIECE))


async def record_calls():
    """Return the bytes of a peer that asks for the state many times."""
    received = bytearray()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def read(stream):
        faults = (anyio.EndOfStream, anyio.BrokenResourceError)
        with contextlib.suppress(*faults):
            while True:
                received.extend(await stream.receive())

    async with listener, anyio.create_task_group() as task_group:
        task_group.start_soon(listener.serve, read)
        async with capnp.kj_loop():
            stream = await capnp.AsyncIoStream.create_connection("127.0.0.1", port)
            client = capnp.TwoPartyClient(stream)
            peer = client.bootstrap().cast_as(wire.SCHEMA.Fellow)
            calls = [peer.state(part=0) for _ in range(CALLS)]
            before = -1
            while len(received) > before:
                before = len(received)
                await anyio.sleep(0.3)
            del calls
            client.close()
        task_group.cancel_scope.cancel()
    return bytes(received)


class SiteCrowdTest(testtools.TestCase):
    """One site and one crowd at a listener of one of its daemons."""

    def meet(self, role, part, act, count=CROWD, rules=RULES, **options):
        """Let ``count`` clients meet the daemon of ``role`` at its address ``part``."""

        async def scenario():
            config = SiteConfig(entries=1, controls=1)
            site = FewDescriptorsSite.from_config(config)
            try:
                await site.start()
                result = await publish(site, rules)
                self.assertTrue(result.accepted)
                (daemon,) = (d for d in site.daemons.values() if d.role == role)
                async with anyio.create_task_group() as task_group:
                    await self._let_meet(
                        site, daemon, part, act, count, task_group, options
                    )
                    task_group.cancel_scope.cancel()
            finally:
                await site.close()

        anyio.run(scenario)

    async def _let_meet(self, site, daemon, part, act, count, task_group, options):
        settings = yaml.safe_load(await anyio.Path(daemon.settings_path).read_text())
        addresses = {
            name: settings[name]["address"]
            for name in ("callers", "operators", "entries")
        }
        (entry,) = site.entries
        await site.wait_for_status(entry, lambda report: report.slots >= 2)
        watch = UseWatch(daemon.process, addresses.values())
        task_group.start_soon(watch.run)
        crowd = Crowd(task_group)
        crowd.add(act, addresses[part], count, **options)
        await crowd.wait()
        with anyio.fail_after(60):
            await self._expect_ordinary_answers(daemon, entry)
        self.assertIsNone(daemon.process.returncode)
        code = await site.stop(daemon.name)
        crowd.close()
        self.assertEqual(0, code)
        self.assertLess(watch.memory, MEMORY_MEGABYTES << 20)
        self.assertLess(watch.descriptors, DESCRIPTORS)

    async def _expect_ordinary_answers(self, daemon, entry):
        """Ask for the daemon's status and run a request, until both are answered."""
        client = OperatorsClient.from_config(daemon.operators)
        while daemon.process.returncode is None:
            with contextlib.suppress(DaemonUnreachableError):
                await client.status()
                break
            await anyio.sleep(0.2)
        await client.close()
        answer = await call(entry.callers, "/services/preview/a", b"one")
        self.assertEqual((200, "ran"), answer[:2])

    def test_heads_of_many_short_headers(self):
        self.meet("entry", "callers", send_short_headers)

    def test_answers_to_operators_that_nobody_reads(self):
        teams = "".join(f"team team-{number}  # Ines\n" for number in range(TEAMS))
        self.meet("control", "operators", leave_rules_unread, rules=RULES + teams)

    def test_idle_connections_at_the_address_for_peers(self):
        for role in ("entry", "control"):
            self.meet(role, "entries", stay_idle, count=100)

    def test_long_messages_of_peers(self):
        self.meet("entry", "entries", announce_long_message, count=16)

    def test_calls_of_peers_whose_answers_nobody_reads(self):
        calls = anyio.run(record_calls)

        async def send_calls(stream):
            await stream.send(calls)

        self.meet("entry", "entries", send_calls, count=16, small_window=True)
