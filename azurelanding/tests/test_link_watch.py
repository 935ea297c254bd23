"""Test what is measured and logged on the links of a pool and on the event loop."""

import anyio
import anyio.abc
import testtools

from azurelanding import (
    link_watch,
    loop_watch,
    pool_stops,
    worker_holds,
    worker_orders,
)
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.jobs import TaskId
from azurelanding.link_watch import LinkWatch
from azurelanding.loop_watch import LoopWatch
from azurelanding.order_queue import OrderQueue
from azurelanding.served_metrics import ServedMetrics
from azurelanding.start_budget import order_bytes
from azurelanding.tests.platform_world import (
    LEASE_SECONDS,
    World,
    capture_lines,
    make_job,
    make_link,
    make_queue,
    make_step,
    until,
)
from azurelanding.utils import boot_time
from azurelanding.worker_calls import (
    StartOrder,
    StopOrder,
    WorkerNoResponseError,
    WorkerReport,
)

TASK = TaskId("0" * 16, 0, 0, 0)
START = StartOrder(TASK, 1, "spec", "saved", "ticket")


def value_of(metrics, name):
    """Return the value of a served metric, or ``None``."""
    return metrics.registry.get_sample_value(f"azurelanding_{name}")


def make_start(age=0.0, run=1):
    """Return a start order that was placed ``age`` seconds ago."""
    return StartOrder(TASK, run, "spec", placed_at=boot_time() - age)


class FailingClient:
    """Answers no call: each ends by a time-out, or else with its connection."""

    def __init__(self, timed_out):
        self.error = WorkerNoResponseError("no answer", True, timed_out)

    async def hold(self, last_seen, lease_end, wait):
        raise self.error

    async def start(self, order, lease_end):
        raise self.error


class CallTest(testtools.TestCase):
    """Counters and lines of the calls of one link."""

    def setUp(self):
        super().setUp()
        self.metrics = ServedMetrics()
        self.watch = LinkWatch("cuts", self.metrics)
        self.lines = capture_lines(self, worker_holds)

    def hold(self, timed_out, leaving=False):
        """Return a link after an unanswered ``hold`` call."""
        client = FailingClient(timed_out)
        link = make_link(
            make_client=lambda entry: client,
            is_leaving=lambda worker_id: leaving,
            watch=self.watch,
        )
        anyio.run(worker_holds.hold, link, client, 0.0)
        return link

    def test_unanswered_calls_are_counted_by_call_and_kind(self):
        self.hold(timed_out=True)
        self.hold(timed_out=False)
        self.hold(timed_out=False)
        for kind, count in (("timeout", 1), ("ended", 2)):
            name = f"calls_unanswered_hold_{kind}_total"
            self.assertEqual(count, value_of(self.metrics, name))

    def test_silent_worker_is_logged_with_what_is_known_of_it(self):
        link = self.hold(timed_out=True, leaving=True)
        anyio.run(worker_holds.hold, link, link.hold_client, 0.0)
        (line,) = self.lines
        self.assertEqual("worker does not answer", line["event"])
        self.assertEqual((True, 1), (line["leaving"], line["unanswered"]))
        self.assertEqual(2, link.unanswered_calls)

    def test_worker_that_answers_again_is_logged_with_its_silence(self):
        link = self.hold(timed_out=True)
        link.silent_since -= 3.0
        for _ in range(2):
            worker_holds.apply_report(
                link, WorkerReport(1.0, link.born, (), ()), boot_time()
            )
        (_, line) = self.lines
        self.assertEqual("worker answers again", line["event"])
        self.assertEqual(3, round(line["silent"]))

    def test_answered_start_is_timed_and_its_bytes_are_counted(self):
        with self.watch.call("start"):
            self.watch.count_start_bytes(START)
        self.assertEqual(1, value_of(self.metrics, "start_call_seconds_count"))
        self.assertEqual(
            order_bytes(START), value_of(self.metrics, "start_bytes_total")
        )

    def test_wait_that_a_hold_asked_for_does_not_count(self):
        with self.watch.call("hold", wait=1.0):
            pass
        self.assertEqual(0, value_of(self.metrics, "hold_call_seconds_sum"))

    def test_late_starts_of_one_worker_are_logged_at_most_once_a_second(self):
        link, lines = make_link(), capture_lines(self, worker_orders)
        worker_orders.log_late_start(link, make_start(0.5), boot_time(), 1)
        for run in (1, 2, 3):
            worker_orders.log_late_start(
                link, make_start(3.0, run), boot_time() - 1.0, 2
            )
        (line,) = lines
        self.assertEqual((1, 2), (line["run"], line["attempt"]))
        self.assertEqual((3, 2), (round(line["wait"]), round(line["queued"])))


class OrderQueueTest(testtools.TestCase):
    """Orders to one worker."""

    def test_orders_are_taken_in_order_and_their_wait_is_observed(self):
        waits = []
        queue = OrderQueue(waits.append)
        first, second, urgent = make_start(run=1), make_start(run=2), "urgent"
        queue.append(first)
        queue.append(second)
        queue.appendleft(urgent)
        taken = [queue.popleft() for _ in range(3)]
        self.assertEqual([urgent, first, second], taken)
        self.assertEqual(3, len(waits))

    def test_oldest_wait_is_of_the_order_that_was_added_first(self):
        queue = OrderQueue(lambda seconds: None)
        self.assertEqual(0.0, queue.oldest_wait(boot_time()))
        queue.append(make_start())
        added_at = queue.entries[0][0]
        queue.appendleft(StopOrder(TASK, 1))
        self.assertEqual(2.0, queue.oldest_wait(added_at + 2.0))


class PoolLineTest(testtools.TestCase):
    """Gauge and lines of a pool whose orders wait."""

    def setUp(self):
        super().setUp()
        self.metrics = ServedMetrics()
        self.watch = LinkWatch("cuts", self.metrics)
        self.links = [make_link("v"), make_link("w")]
        self.links[0].orders.append(make_start())
        self.links[1].last_hold_failed = True

    def lines(self, *times):
        """Return the lines of checks at ``times``, in seconds from now."""
        now, lines = boot_time(), capture_lines(self, link_watch)
        for seconds in times:
            self.watch.check(self.links, 0.25, now + seconds)
        return lines

    def test_pool_without_late_orders_has_a_gauge_and_no_line(self):
        self.assertEqual([], self.lines(0.1, 0.5))
        self.assertEqual(1, value_of(self.metrics, "orders_waiting_cuts"))
        self.watch.close()
        self.assertEqual(0, value_of(self.metrics, "orders_waiting_cuts"))

    def test_orders_for_a_worker_that_has_ended_do_not_count_as_late(self):
        self.links[0].has_ended = True
        self.assertEqual([], self.lines(3.0))
        self.assertEqual(0, value_of(self.metrics, "orders_waiting_cuts"))

    def test_starts_held_back_for_a_while_are_logged(self):
        self.links[0].orders.popleft()
        self.watch.record_held_back(7, boot_time())
        self.watch.record_held_back(6, boot_time() + 1.0)
        (line,) = self.lines(0.5, 1.5)
        self.assertEqual((0, 6), (line["waiting"], line["held_back"]))
        self.watch.record_held_back(0, boot_time())
        self.assertEqual([], self.lines(9.0))
        self.assertEqual(0, value_of(self.metrics, "starts_held_back_cuts"))

    def test_late_orders_are_logged_with_the_state_of_the_links(self):
        expected_error = testtools.ExpectedException(WorkerNoResponseError)
        with expected_error, self.watch.call("start"):
            raise WorkerNoResponseError("no answer", True, timed_out=True)
        self.watch.count_start_bytes(START)
        (line,) = self.lines(3.0)
        expected = {
            "waiting": 1,
            "links": 2,
            "silent": 1,
            "timeouts": 1,
            "start_bytes": order_bytes(START),
        }
        self.assertEqual(expected, {key: line[key] for key in expected})
        self.assertEqual(3, round(line["counted_for"]))
        self.assertEqual((3, 0.25), (round(line["oldest"]), line["loop_late"]))

    def test_calls_of_the_time_before_the_trouble_are_not_counted(self):
        self.watch.count_start_bytes(make_start())
        self.links[0].orders.popleft()
        self.lines(6.0)
        self.links[0].orders.append(make_start())
        (line,) = self.lines(8.0)
        self.assertEqual((0, 2), (line["start_bytes"], round(line["counted_for"])))

    def test_pool_in_trouble_is_logged_at_most_every_five_seconds(self):
        interval = link_watch.TROUBLE_INTERVAL_SECONDS
        times = (3.0, 4.0, 2.9 + interval, 3.1 + interval)
        self.assertEqual(2, len(self.lines(*times)))


class FreedRunTest(testtools.TestCase):
    """A run on a worker that stops answering."""

    def test_freed_run_is_logged_with_what_was_known_of_it(self):
        world, lines = World(), capture_lines(self, pool_stops)
        model = world.add_worker("w0")
        world.configure(make_queue())
        job = make_job(steps=(make_step(1, long_running=True),))
        world.fleet.long_running.add(job.id)

        async def scenario(world):
            await world.daemons[0].service.submit(job, 5.0)
            await until(lambda: model.started)
            await anyio.sleep(0.2)
            model.knobs.silent = True
            await until(lambda: [line for line in lines if "reason" in line])

        anyio.run(world.run, scenario)
        (line,) = [line for line in lines if line["event"] == "run freed"]
        self.assertEqual(("lease over", True), (line["reason"], line["start_answered"]))
        self.assertGreaterEqual(line["report_age"], LEASE_SECONDS)


class LoopWatchTest(testtools.TestCase):
    """Samples of how late the event loop wakes."""

    def test_late_wake_ups_are_observed_and_logged_not_too_often(self):
        metrics = ServedMetrics()
        watch, lines = LoopWatch(metrics), capture_lines(self, loop_watch)
        for now, late in ((1.0, 0.01), (2.0, 0.9), (3.0, 0.8), (8.0, 0.7)):
            watch.record(late, now)
        self.assertEqual([0.9, 0.7], [line["seconds"] for line in lines])
        self.assertEqual(0.9, watch.worst())
        self.assertEqual(4, value_of(metrics, "loop_late_seconds_count"))

    def test_samples_are_taken_at_their_interval(self):
        watch = LoopWatch(ServedMetrics())

        async def main():
            with anyio.move_on_after(2.5 * loop_watch.SAMPLE_INTERVAL_SECONDS):
                await watch.run()

        anyio.run(main)
        self.assertIn(len(watch.recent), (1, 2))


class ErrorKindTest(testtools.TestCase):
    """Requests to a peer that accepts connections and answers nothing."""

    async def request(self, closes):
        """Return the error of a request, and how many connections were opened."""
        opened = []

        async def serve(stream):
            async with stream:
                if not closes:
                    await anyio.sleep_forever()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener, anyio.create_task_group() as task_group:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_group.start_soon(listener.serve, serve)
            client = HttpClient(f"127.0.0.1:{port}", 0.2, lambda: opened.append(1))
            try:
                await client.request("GET", "/")
            except HttpClientError as error:
                return error, len(opened)
            finally:
                await client.close()
                task_group.cancel_scope.cancel()

    def test_silence_of_the_peer_is_a_time_out(self):
        error, opened = anyio.run(self.request, False)
        self.assertEqual((True, 1), (error.timed_out, opened))

    def test_end_of_the_connection_is_no_time_out(self):
        error, opened = anyio.run(self.request, True)
        self.assertEqual((False, 1), (error.timed_out, opened))
