"""Test a link to a worker over real connections whose answers come late."""

import socket
import threading
import time

import anyio
import msgspec
import testtools

from azurelanding import worker_holds, worker_orders
from azurelanding.fleet_workers import WorkerEntry, WorkerPhase
from azurelanding.http_server import HttpServer, read_body, send_reply
from azurelanding.jobs import TaskId
from azurelanding.platform.workers import WorkerClient
from azurelanding.tasks import Resources
from azurelanding.tests.platform_world import make_link
from azurelanding.utils import boot_time
from azurelanding.worker_calls import StartOrder, WorkerNoResponseError

LEASE_SECONDS = 6.0
LATENCY_SECONDS = 0.8
TASK = TaskId("0" * 16, 0, 0, 0)
KEY = (TASK, 1)


class SlowWorker:
    """Answers calls after the latency of a full link, ``hold`` also after its wait.

    ``calls`` are the paths of the calls, in order.
    """

    def __init__(self):
        self.calls = []

    async def app(self, scope, receive, send):
        self.calls.append(scope["path"])
        values = msgspec.json.decode(await read_body(receive, 1 << 20))
        await anyio.sleep(values.get("waitMs", 0) / 1000 + LATENCY_SECONDS)
        answer = {"clockMs": int(boot_time() * 1000), "born": 1}
        await send_reply(send, 200, (), msgspec.json.encode(answer))


def answer_once(listener, arrived, may_answer):
    """Answer one request from a thread, as another host would, once it may."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(1 << 16)
        arrived.set()
        may_answer.wait()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        connection.recv(1 << 16)


def make_entry(address):
    """Return the entry of a worker at ``address``."""
    return WorkerEntry(
        id="w",
        host="host-w",
        pool="cuts",
        address=address,
        availability_zone="a",
        resources=Resources(1.0, 1 << 30, 0),
        labels=(),
        phase=WorkerPhase.READY,
        born=1,
    )


class SlowAnswersTest(testtools.TestCase):
    """A worker that is up, behind a link on which every answer is late."""

    def setUp(self):
        super().setUp()
        self.worker = SlowWorker()

    async def run_link(self, scenario):
        """Run ``scenario(link, task_group)`` on a link to the worker; return it."""
        server = HttpServer.from_config("127.0.0.1:0", self.worker.app)
        link = make_link(
            entry=make_entry(server.address),
            make_client=lambda entry: WorkerClient.from_config(
                entry, 1, LEASE_SECONDS, lambda: None
            ),
            lease=LEASE_SECONDS,
        )
        async with anyio.create_task_group() as task_group:
            server.start(task_group)
            await scenario(link, task_group)
            task_group.cancel_scope.cancel()
        await link.close()
        return link

    def test_late_answers_are_read_and_the_lease_is_extended(self):
        async def follow(link, task_group):
            task_group.start_soon(worker_holds.follow, link)
            task_group.start_soon(worker_holds.follow_while_overdue, link)
            await anyio.sleep(LEASE_SECONDS)

        link = anyio.run(self.run_link, follow)
        self.assertGreaterEqual(link.report_count, 2)
        self.assertGreater(link.leased_until, boot_time() + LEASE_SECONDS / 2)

    def test_start_is_repeated_less_and_less_often_until_its_late_answer(self):
        async def start(link, task_group):
            link.clock = (boot_time(), boot_time())
            link.enqueue(StartOrder(TASK, 1, "spec"))
            task_group.start_soon(
                worker_orders.send_orders, link, link.order_clients[0]
            )
            with anyio.move_on_after(LEASE_SECONDS):
                while link.runs[KEY] is None:  # noqa: ASYNC110
                    await anyio.sleep(0.02)

        link = anyio.run(self.run_link, start)
        self.assertIsNotNone(link.runs[KEY])
        self.assertLessEqual(len(self.worker.calls), 3)

    def test_orders_wait_longer_when_opening_a_connection_takes_too_long(self):
        # On a full link the opening packets are late too.
        async def stop(address):
            client = WorkerClient.from_config(
                make_entry(address), 1, LEASE_SECONDS, lambda: None
            )
            before = client.order_timeout.seconds
            with testtools.ExpectedException(WorkerNoResponseError):
                await client.stop(TASK, 1)
            return client.order_timeout.seconds / before

        with socket.socket() as listener, socket.socket() as other:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            other.connect(listener.getsockname())
            address = "{}:{}".format(*listener.getsockname())
            self.assertGreater(anyio.run(stop, address), 1.0)


class RestartTest(testtools.TestCase):
    """A worker that starts again between two calls, at its address and under its id."""

    def test_no_ends_of_a_later_incarnation_are_dropped_unread(self):
        # Tasks that had ended there were started again.
        dropped_up_to = []

        async def serve(scope, receive, send):
            values = msgspec.json.decode(await read_body(receive, 1 << 20))
            dropped_up_to.append(values["lastSeen"])
            await send_reply(send, 200, (), b'{"clockMs": 1}')

        async def main():
            server = HttpServer.from_config("127.0.0.1:0", serve)
            entry = make_entry(server.address)
            client = WorkerClient.from_config(entry, 1, LEASE_SECONDS, lambda: None)
            async with anyio.create_task_group() as task_group:
                server.start(task_group)
                for last_seen in (0, 57):
                    await client.hold(last_seen)
                await server.close()
                server = HttpServer.from_config(entry.address, serve)
                server.start(task_group)
                for _ in range(2):
                    await client.hold(57)
                await client.close()
                await server.close()

        anyio.run(main)
        self.assertEqual([0, 57, 0, 57], dropped_up_to)

    def test_order_that_is_answered_while_the_daemon_is_busy_is_answered(self):
        async def stop():
            arrived, may_answer = threading.Event(), threading.Event()
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = "{}:{}".format(*listener.getsockname())
                worker = threading.Thread(
                    target=answer_once, args=(listener, arrived, may_answer)
                )
                worker.start()
                client = WorkerClient.from_config(
                    make_entry(address), 1, LEASE_SECONDS, lambda: None
                )
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(client.stop, TASK, 1)
                    while not arrived.is_set():  # noqa: ASYNC110
                        await anyio.sleep(0.001)
                    # As a long pass does, this holds up the event loop.
                    may_answer.set()
                    time.sleep(1.5 * client.order_timeout.seconds)  # noqa: ASYNC251
                await client.close()
                worker.join()

        anyio.run(stop)
