"""Provide small helpers that several packages use."""

import time

import anyio

MAX_CLOCK_SKEW_SECONDS = 4.0
"""Maximum difference of the wall clocks of two daemons; each may jump by two
seconds."""


def boot_time():
    """Return a monotonic time in seconds that includes time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Notifier:
    """Wakes all tasks that wait for a change.

    >>> notifier = Notifier()
    >>> async def follow():
    ...     while True:
    ...         await notifier.wait()
    """

    def __init__(self):
        self.event = anyio.Event()

    def notify(self):
        """Wake the tasks that are waiting now."""
        event, self.event = self.event, anyio.Event()
        event.set()

    async def wait(self):
        """Return after the next call of ``notify``."""
        await self.event.wait()

    async def wait_until(self, condition):
        """Return once ``condition()`` is true, checked now and after each change."""
        while not condition():
            await self.event.wait()
