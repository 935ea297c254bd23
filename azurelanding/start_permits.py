"""Keep the tickets that a queue's policy asks for to start a step on a worker."""

import anyio
import attrs
import structlog

from azurelanding.utils import Notifier, boot_time

logger = structlog.get_logger()

ASK_SHARE = 12
"""Workers named in one call; enough for most steps, and quick to answer."""
VALID_SHARE = 0.8
"""Share of a ticket's time for which it is used, for the way of a start."""
RETRY_SECONDS = 0.2
"""Pause after a call that got no answer."""


class AdviceError(Exception):
    """The advice service gave no answer."""


@attrs.define(eq=False)
class StepTickets:
    """What is known of one step: tickets, refused workers, and what is asked."""

    ready: object
    advice: object
    granted: dict = attrs.field(factory=dict)
    refused: set = attrs.field(factory=set)
    wanted: list = attrs.field(factory=list)


class StartPermits:
    """The tickets of a pool's steps; one task asks for them, one call at a time."""

    def __init__(self, client, find_advice):
        self.client = client
        self.find_advice = find_advice
        self.steps = {}
        self.arrivals = Notifier()
        self.on_answer = None

    def usable_workers(self, ready, rooms, on_answer):
        """Return the rooms where tasks of ``ready`` may start now.

        For a step without enough of them, the service is asked for more.
        """
        advice = self.find_advice(ready.state.job.queue)
        if advice is None:
            return rooms.values()
        self.on_answer = on_answer
        known = self.steps.get(ready.key)
        if known is None:
            known = self.steps[ready.key] = StepTickets(ready, advice)
        now = boot_time()
        known.granted = {w: t for w, t in known.granted.items() if t[1] > now}
        usable_workers = [rooms[w] for w in known.granted if w in rooms]
        self._want(known, ready, rooms)
        return usable_workers

    def _want(self, known, ready, rooms):
        fitting = [room for room in rooms.values() if room.fits(ready.step)]
        useful = sum(room.id in known.granted for room in fitting)
        if useful >= len(ready.tasks):
            known.wanted = []
            return
        unknown = [
            room
            for room in fitting
            if room.id not in known.granted and room.id not in known.refused
        ]
        unknown.sort(key=lambda room: (room.slow, -room.cores, room.id))
        known.wanted = [room.id for room in unknown[:ASK_SHARE]]
        if known.wanted:
            self.arrivals.notify()

    def ticket(self, ready, worker):
        """Return the ticket for a step on a worker, empty where none is needed."""
        known = self.steps.get(ready.key)
        return known.granted[worker][0] if known and worker in known.granted else ""

    def forget(self, task, worker):
        """Drop a ticket that a worker refused."""
        known = self.steps.get((task.job, task.occurrence, task.step))
        if known is not None:
            known.granted.pop(worker, None)

    def prune(self, active):
        """Forget the steps of jobs that have ended."""
        for key in [key for key in self.steps if key[0] not in active]:
            del self.steps[key]

    def _next(self):
        return next((known for known in self.steps.values() if known.wanted), None)

    async def run(self):
        """Ask for the tickets that are wanted until cancelled."""
        while True:
            await self.arrivals.wait_until(lambda: self._next() is not None)
            await self._ask(self._next())

    async def _ask(self, known):
        workers, known.wanted = known.wanted, []
        job, occurrence, number = known.ready.key
        sent_at = boot_time()
        try:
            good = await self.client.request_permits(
                job, occurrence, number, workers, known.advice
            )
        except AdviceError as error:
            logger.info("no advice", job=job, step=number, reason=str(error))
            await anyio.sleep(RETRY_SECONDS)
        else:
            until = sent_at + known.advice.valid * VALID_SHARE
            known.granted.update((w, (ticket, until)) for w, ticket in good.items())
            known.refused.update(set(workers) - good.keys())
            logger.info(
                "advice", job=job, step=number, asked=len(workers), good=len(good)
            )
        if self.on_answer is not None:
            self.on_answer()

    async def close(self):
        """Close the connection; may be called twice."""
        if self.client is not None:
            await self.client.close()
