"""Test a daemon under crowds of all kinds, with signals, restarts and changes at once.

What comes, and when, is drawn from a seed. ``AZURELANDING_SOAK_SEEDS=1-50`` in the
environment plays other seeds than the one of the ordinary run.
"""

import functools
import os
import random
import signal

import anyio
import testtools

from azurelanding.tests import test_lasting_crowds as lasting
from azurelanding.tests import test_uncontrolled_clients as uncontrolled
from azurelanding.tests.crowds import Crowd, UseWatch
from azurelanding.tests.platform_processes import (
    IPS,
    make_configuration,
    run_on_platform,
)

SEEDS_VARIABLE = "AZURELANDING_SOAK_SEEDS"
SECONDS = 30.0
LONGEST_PAUSE_SECONDS = 1.0
CROWDS_AT_ONCE = 6
ADDRESSES = (lasting.CALLERS, lasting.READINESS, lasting.METRICS)
ACTS = (
    *uncontrolled.CROWDS.values(),
    uncontrolled.stay_idle,
    lasting.send_short_headers,
    lasting.send_short_headers_ahead,
    lasting.leave_answers_unread,
    lasting.leave_last_answer_unread,
    functools.partial(lasting.submit_many, lasting.WORK_BEFORE),
    functools.partial(lasting.submit_many, lasting.WORK_STEP_BY_STEP),
)


def read_seeds():
    """Return the seeds to play."""
    first, _, last = os.environ.get(SEEDS_VARIABLE, "1").partition("-")
    return range(int(first), int(last or first) + 1)


class Soak:
    """One play: a daemon that is started again whenever it was stopped."""

    def __init__(self, seed, platform):
        self.random = random.Random(seed)
        self.platform = platform
        self.watches = []
        self.crowds = []
        self.version = 1
        self.faults = []

    @property
    def process(self):
        """Return the process that runs, or was last asked to end."""
        return self.platform.processes[-1]

    async def start_daemon(self):
        """Start the daemon, and wait until it is ready."""
        limits = {
            "memoryMb": lasting.MEMORY_MEGABYTES,
            "maxFds": lasting.DESCRIPTORS,
        }
        known = len(self.platform.processes)
        async with anyio.create_task_group() as task_group:
            start = functools.partial(
                self.platform.start_daemons, IPS[:1], limits=limits
            )
            task_group.start_soon(start)
            while len(self.platform.processes) == known:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            watch = UseWatch(self.process, ADDRESSES)
            self.watches.append(watch)
            self.platform.task_group.start_soon(watch.run)

    def change(self):
        """Let a new version of the configuration come into force."""
        self.version += self.random.randint(1, 5)
        configuration = make_configuration(self.version, "q", "r")
        self.platform.store.put("keyed.op", "config", configuration)

    async def hang_up(self):
        """Let the settings be read again, several times in a row."""
        process = self.process
        for _ in range(self.random.randint(1, 5)):
            if process.returncode is None:
                process.send_signal(signal.SIGHUP)
            await anyio.sleep(self.random.random() * 0.1)

    def add_crowd(self):
        """Let a crowd of one kind come, and the oldest one go if they are many."""
        crowd = Crowd(self.platform.task_group)
        act, address = self.random.choice(ACTS), self.random.choice(ADDRESSES)
        small_window = self.random.random() < 0.5
        crowd.add(act, address, self.random.randint(4, 24), small_window)
        self.crowds.append(crowd)
        if len(self.crowds) > CROWDS_AT_ONCE:
            self.crowds.pop(0).close()

    async def restart(self):
        """End the daemon in order, or at once, and start it again."""
        process, is_kill = self.process, self.random.random() < 0.3
        self._check_alive()
        process.send_signal(signal.SIGKILL if is_kill else signal.SIGTERM)
        await self.hang_up()
        code = await process.wait()
        if code != (-signal.SIGKILL if is_kill else 0):
            self.faults.append(f"ended with {code}")
        await self.start_daemon()

    def _check_alive(self):
        if self.process.returncode is not None:
            self.faults.append(f"ended by itself with {self.process.returncode}")

    async def run(self):
        """Play for some seconds, then ask for an ordinary answer and end the daemon."""
        await self.start_daemon()
        events = (self.add_crowd,) * 4 + (self.change, self.hang_up, self.restart)
        with anyio.move_on_after(SECONDS):
            while not self.faults:
                result = self.random.choice(events)()
                if result is not None:
                    with anyio.CancelScope(shield=True):
                        await result
                await anyio.sleep(self.random.random() * LONGEST_PAUSE_SECONDS)
        if not self.faults:
            await lasting.expect_ordinary_answer(self.platform)
            self._check_alive()
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
            code = await self.process.wait()
            if code != 0:
                self.faults.append(f"ended with {code} when it was asked to")
        for crowd in self.crowds:
            crowd.close()
        for watch in self.watches:
            if watch.memory >= lasting.MEMORY_MEGABYTES << 20:
                self.faults.append(f"used {watch.memory >> 20} MB")
            if watch.descriptors >= lasting.DESCRIPTORS:
                self.faults.append(f"opened {watch.descriptors} descriptors")


class CrowdSoakTest(testtools.TestCase):
    """A play for each seed, one after the other."""

    def play(self, seed):
        """Return the faults of one play."""
        faults = []

        async def scenario(platform):
            platform.add_worker("w-1", run_time=0.05)
            platform.store.put("keyed.op", "config", make_configuration(1, "q", "r"))
            soak = Soak(seed, platform)
            try:
                await soak.run()
            finally:
                faults.extend(soak.faults)

        anyio.run(run_on_platform, scenario)
        return faults

    def test_no_crowd_ends_or_stops_a_daemon(self):
        self.assertEqual({}, {s: f for s in read_seeds() if (f := self.play(s))})
