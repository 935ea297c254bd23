"""Hold small tools that several packages need."""

import time

import anyio

MAX_CLOCK_SKEW_SECONDS = 4.0
"""How far the time of day of two daemons may differ: each jumps by two seconds."""


def boot_time():
    """Return seconds that also count while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Notifier:
    """Wakes every task that waits for a change.

    >>> notifier = Notifier()
    >>> async def follow():
    ...     while True:
    ...         await notifier.wait()
    """

    def __init__(self):
        self.event = anyio.Event()

    def notify(self):
        """Wake the tasks that wait now."""
        event, self.event = self.event, anyio.Event()
        event.set()

    async def wait(self):
        """Return after the next call of ``notify``."""
        await self.event.wait()

    async def wait_until(self, condition):
        """Return once ``condition()`` is true, trying it after each change."""
        while not condition():
            await self.event.wait()
