"""Request and cache start permits, which some queues need to start a step on a worker.

The advice service issues a start permit as a ticket for one step on one worker.
"""

import anyio
import attrs
import structlog

from azurelanding.job_placement import is_eligible, is_far
from azurelanding.utils import Notifier, boot_time

logger = structlog.get_logger()

WORKERS_PER_REQUEST = 12
"""Largest number of workers in one request; enough for most steps, and few enough for
a quick answer."""
USABLE_SHARE = 0.8
"""Share of a permit's validity in which it is used; the remainder covers the time until
the start order reaches the worker."""
RETRY_DELAY_SECONDS = 0.2
"""Delay after a failed request."""
SEARCH_DELAY_SECONDS = 0.1
"""Delay between two searches for a step that has no worker left to request a permit
for; a worker that joins the pool takes many times as long."""


class AdviceError(Exception):
    """The advice service did not answer, or its answer is unusable."""


@attrs.define(eq=False)
class StepPermits:
    """The start permits of one step.

    ``granted`` maps workers to a ticket and the ``boot_time`` until which it is used.
    ``refused`` holds the workers that got no permit. ``needs_more`` is whether too few
    workers are usable, ``search_at`` the ``boot_time`` from which others are searched.
    """

    ready: object
    advice: object
    granted: dict = attrs.field(factory=dict)
    refused: set = attrs.field(factory=set)
    needs_more: bool = False
    search_at: float = 0.0
    is_requested: bool = False


class StartPermits:
    """The start permits of a pool's steps; one task sends one request at a time.

    The pools of a daemon take turns by ``client.turn``. ``find_advice(queue)`` returns
    the ``Advice`` of a queue, or ``None``. ``capacities`` holds the free capacity of
    the usable workers as the last pass left it. They are searched once for each
    request, as a pass has many steps that wait.
    """

    def __init__(self, client, find_advice):
        self.client = client
        self.find_advice = find_advice
        self.steps = {}
        self.capacities = {}
        self.requests = Notifier()
        self.on_answer = None

    def usable_workers(self, ready, capacities, on_answer):
        """Return the free capacity of each worker where ``ready`` may start tasks now.

        If there are too few of them, more permits are requested, and ``on_answer`` is
        called after the answer or failure.
        """
        advice = self.find_advice(ready.state.job.queue)
        if advice is None:
            return capacities.values()
        self.on_answer, self.capacities = on_answer, capacities
        permits = self.steps.get(ready.key)
        if permits is None:
            permits = self.steps[ready.key] = StepPermits(ready, advice)
        now = boot_time()
        permits.ready = ready
        permits.granted = {
            worker: permit
            for worker, permit in permits.granted.items()
            if permit[1] > now
        }
        usable_workers = [
            capacities[worker] for worker in permits.granted if worker in capacities
        ]
        fitting = sum(is_eligible(ready, capacity) for capacity in usable_workers)
        permits.needs_more = (
            fitting < len(ready.tasks)
            and not permits.is_requested
            and now >= permits.search_at
        )
        if permits.needs_more:
            self.requests.notify()
        return usable_workers

    def _untried(self, permits):
        """Return the workers to request permits of a step for next.

        Those in the rack of the data come first. A permit for a worker that the step
        can't start on would hide that more are needed.
        """
        ready = permits.ready
        untried = [
            capacity
            for capacity in self.capacities.values()
            if capacity.id not in permits.granted
            and capacity.id not in permits.refused
            and is_eligible(ready, capacity)
        ]
        untried.sort(
            key=lambda capacity: (
                is_far(ready.step, capacity),
                capacity.penalty,
                -capacity.cores,
                capacity.id,
            )
        )
        return [capacity.id for capacity in untried[:WORKERS_PER_REQUEST]]

    def ticket(self, ready, worker):
        """Return the ticket for a step on a worker, empty if none is needed."""
        permits = self.steps.get(ready.key)
        return (
            permits.granted[worker][0] if permits and worker in permits.granted else ""
        )

    def drop_permit(self, task, worker):
        """Drop a permit that a worker refused."""
        permits = self.steps.get((task.job, task.occurrence, task.step))
        if permits is not None:
            permits.granted.pop(worker, None)

    def prune(self, active):
        """Drop the permits of jobs that are not in ``active``."""
        for key in [key for key in self.steps if key[0] not in active]:
            del self.steps[key]

    def _is_any_needed(self):
        return any(permits.needs_more for permits in self.steps.values())

    def _next_request(self):
        """Return the next step to request permits of and its workers, or ``None``."""
        for permits in self.steps.values():
            if not permits.needs_more:
                continue
            permits.needs_more = False
            workers = self._untried(permits)
            if workers:
                return permits, workers
            permits.search_at = boot_time() + SEARCH_DELAY_SECONDS
        return None

    async def run(self):
        """Request the permits that are needed until cancelled."""
        while True:
            await self.requests.wait_until(self._is_any_needed)
            async with self.client.turn:
                # The step that needed some before this turn may have started or ended.
                found = self._next_request()
                if found is not None:
                    await self._request(*found)

    async def _request(self, permits, workers):
        permits.is_requested = True
        job, occurrence, number = permits.ready.key
        sent_at = boot_time()
        try:
            try:
                granted = await self.client.request_permits(
                    job, occurrence, number, workers, permits.advice
                )
            finally:
                permits.is_requested = False
        except AdviceError as error:
            logger.info(
                "start permit request failed", job=job, step=number, reason=str(error)
            )
            await anyio.sleep(RETRY_DELAY_SECONDS)
        else:
            until = sent_at + permits.advice.valid * USABLE_SHARE
            permits.granted.update(
                (worker, (ticket, until)) for worker, ticket in granted.items()
            )
            permits.refused.update(set(workers) - granted.keys())
            logger.info(
                "start permits received",
                job=job,
                step=number,
                asked=len(workers),
                good=len(granted),
            )
        if self.on_answer is not None:
            self.on_answer()

    async def close(self):
        """Close the connection; may be called twice."""
        if self.client is not None:
            await self.client.close()
