"""Test crowds whose clients stay connected until the process is gone.

Each test starts one daemon of the platform with little memory and few descriptors.
Judged are that the process lives, that its memory and descriptors stay under these
limits, that an ordinary request is answered while the crowd is still connected, and
that the process then ends in order when it is asked to. What was received for the
process and not read by it counts as its memory.
"""

import functools
import itertools
import signal

import anyio
import msgspec
import testtools

from azurelanding.tests.crowds import Crowd, UseWatch
from azurelanding.tests.platform_processes import (
    IPS,
    make_configuration,
    run_on_platform,
)

MEMORY_MEGABYTES = 90
DESCRIPTORS = 160
CROWD = 32
CALLERS, READINESS, METRICS = (f"{IPS[0]}:{port}" for port in (7171, 7172, 7075))
JOB_ID = "0123456789abcdef"
HOST = f"Host: {IPS[0]}\r\n".encode()
POST = f"POST /q/{JOB_ID} HTTP/1.1\r\n".encode() + HOST
GET = b"GET /none HTTP/1.1\r\n" + HOST
BODY = msgspec.json.encode({"spec": "s", "steps": [{"count": 1}]})
PIECE = 64 << 10
SHORT_HEADER = b"a:\r\n"
UNREAD_BYTES = 8 << 20
JOBS_EACH = 30
WORK_STEPS = 125
LATER = [0] * 1000
WORK_BEFORE = [{"count": 1}, *[{"count": 1, "after": LATER}] * WORK_STEPS]
WORK_STEP_BY_STEP = [{"count": 1}] * 1000
job_numbers = itertools.count()


async def send_short_headers(stream):
    """Begin a request of very many headers, which waits for its body."""
    await stream.send(POST + SHORT_HEADER * 16_000 + b"Content-Length: 9\r\n\r\n")


async def send_short_headers_ahead(stream):
    """Send many requests at once that have many headers each."""
    await stream.send((GET + SHORT_HEADER * 3_900 + b"\r\n") * 16)


async def leave_answers_unread(stream):
    """Read no answer, so that requests wait, and send on behind them."""
    for _ in range(60):
        await stream.send((GET + b"\r\n") * 30)
        await anyio.sleep(0.01)
    for _ in range(UNREAD_BYTES // PIECE):
        await stream.send(b"\r\n" * (PIECE // 2))
    await stream.send((GET + b"\r\n") * 2)
    for _ in range(UNREAD_BYTES // PIECE):
        await stream.send(b"\r\n" * (PIECE // 2))


async def leave_last_answer_unread(stream):
    """Ask for an answer and the end of the connection, and read neither."""
    request = b"GET /metrics HTTP/1.1\r\nHost: h\r\n%s\r\n"
    for _ in range(5):
        await stream.send(request % b"")
        await anyio.sleep(0.05)
    await stream.send(request % b"Connection: close\r\n")


async def submit_many(steps, stream):
    """Submit jobs of many steps, one after the other, as fast as they are answered."""
    body = msgspec.json.encode({"spec": "s", "steps": steps})
    for _ in range(JOBS_EACH):
        head = f"POST /q/{next(job_numbers):016x} HTTP/1.1\r\n".encode() + HOST
        await stream.send(b"%sContent-Length: %d\r\n\r\n%s" % (head, len(body), body))
        await stream.receive()


async def expect_ordinary_answer(platform):
    """Hand in a job to another queue, as a caller who tries again as it is told."""
    process = platform.processes[-1]
    while process.returncode is None:
        answer = await platform.call(IPS[0], "POST", f"/r/{'f' * 16}", BODY)
        if answer and answer[0] == 200:
            return
        await anyio.sleep(0.2)


class LastingCrowdTest(testtools.TestCase):
    """One daemon and one crowd."""

    def meet(self, act, address=CALLERS, count=CROWD, **options):
        """Let ``count`` clients meet a daemon."""

        async def scenario(platform):
            platform.add_worker("w-1", run_time=0.05)
            platform.store.put("keyed.op", "config", make_configuration(1, "q", "r"))
            limits = {"memoryMb": MEMORY_MEGABYTES, "maxFds": DESCRIPTORS}
            await platform.start_daemons(IPS[:1], limits=limits)
            (process,) = platform.processes
            watch = UseWatch(process, (CALLERS, READINESS, METRICS))
            platform.task_group.start_soon(watch.run)
            crowd = Crowd(platform.task_group)
            crowd.add(act, address, count, **options)
            await crowd.wait()
            await expect_ordinary_answer(platform)
            self.assertIsNone(process.returncode)
            process.send_signal(signal.SIGTERM)
            code = await process.wait()
            crowd.close()
            self.assertEqual(0, code)
            self.assertLess(watch.memory, MEMORY_MEGABYTES << 20)
            self.assertLess(watch.descriptors, DESCRIPTORS)

        anyio.run(run_on_platform, scenario)

    def test_heads_of_many_short_headers(self):
        self.meet(send_short_headers)

    def test_requests_ahead_of_many_short_headers(self):
        self.meet(send_short_headers_ahead)

    def test_bytes_that_nobody_reads(self):
        self.meet(leave_answers_unread, small_window=True)

    def test_last_answers_that_nobody_reads(self):
        self.meet(leave_last_answer_unread, METRICS, 100, small_window=True)

    def test_jobs_whose_steps_wait_for_many(self):
        self.meet(functools.partial(submit_many, WORK_BEFORE))

    def test_jobs_of_many_steps(self):
        self.meet(functools.partial(submit_many, WORK_STEP_BY_STEP))

    def test_start_reload_and_stop_under_a_crowd(self):
        async def scenario(platform):
            platform.add_worker("w-1", run_time=0.05)
            platform.store.put("keyed.op", "config", make_configuration(1, "q", "r"))
            limits = {"memoryMb": MEMORY_MEGABYTES, "maxFds": DESCRIPTORS}
            crowd = Crowd(platform.task_group)
            for act in (send_short_headers, send_short_headers_ahead):
                crowd.add(act, CALLERS, CROWD // 2, rounds=100)
            for address in (READINESS, METRICS):
                crowd.add(send_short_headers_ahead, address, CROWD // 4, rounds=100)
            platform.task_group.start_soon(
                functools.partial(platform.start_daemons, IPS[:1], limits=limits)
            )
            while not platform.processes:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            (process,) = platform.processes
            watch = UseWatch(process, (CALLERS, READINESS, METRICS))
            platform.task_group.start_soon(watch.run)
            await platform.until_answer(READINESS, "GET", "/v1/ready", 200)
            for version in range(2, 12):
                process.send_signal(signal.SIGHUP)
                configuration = make_configuration(version, "q", "r")
                platform.store.put("keyed.op", "config", configuration)
                await anyio.sleep(0.05)
            await expect_ordinary_answer(platform)
            self.assertIsNone(process.returncode)
            process.send_signal(signal.SIGTERM)
            crowd.add(send_short_headers, CALLERS, CROWD, rounds=100)
            while process.returncode is None:
                process.send_signal(signal.SIGHUP)
                await anyio.sleep(0.05)
            crowd.close()
            self.assertEqual(0, process.returncode)
            self.assertLess(watch.memory, MEMORY_MEGABYTES << 20)
            self.assertLess(watch.descriptors, DESCRIPTORS)

        anyio.run(run_on_platform, scenario)
