"""Send requests to the entries of a site, as callers behind a balancer do.

A caller keeps one connection to each entry and sends only to entries whose health
address answers. What each was told is kept, so that a bench can compare it with
what the executors ran.
"""

import itertools
import random
import uuid

import anyio
import attrs

from azurelanding.http_client import HttpClient, HttpClientError

HEALTH_PATH = "/health"
HEALTH_PERIOD_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 15.0
STATUS_OK = 200


@attrs.frozen
class Told:
    """What one caller was told: the outcome, or ``None`` when it was cut off."""

    marker: str
    entry: str
    outcome: str | None
    sent_at: float
    told_at: float
    detail: str = ""


class SiteLoad:
    """Callers of one service of a site, and what they were told.

    ``run_times`` are the seconds that requests run, taken in turn.
    """

    def __init__(self, site, service, callers, run_times, seed):
        self.site = site
        self.service = service
        self.callers = callers
        self.run_times = itertools.cycle(run_times)
        self.random = random.Random(seed)
        self.healthy = set()
        self.results = []
        self.going = True

    async def _watch_health(self, daemon):
        client = HttpClient(daemon.callers, HEALTH_PERIOD_SECONDS)
        while self.going:
            try:
                status, _ = await client.request("GET", HEALTH_PATH)
            except HttpClientError:
                status = 0
            change = self.healthy.add if status == STATUS_OK else self.healthy.discard
            change(daemon.name)
            await anyio.sleep(HEALTH_PERIOD_SECONDS)
        await client.close()

    async def _call_once(self, clients):
        names = sorted(self.healthy)
        if not names:
            await anyio.sleep(HEALTH_PERIOD_SECONDS)
            return
        name = self.random.choice(names)
        marker, sent_at = uuid.uuid4().hex, anyio.current_time()
        headers = [("Standin-Run-Time", str(next(self.run_times)))]
        outcome, detail = None, ""
        try:
            response = await clients[name].send(
                "POST", f"/services/{self.service}/load", marker.encode(), headers
            )
            outcome = dict(response.headers)[b"azurelanding-outcome"].decode()
            detail = "" if outcome == "ran" else response.content.decode()
        except HttpClientError as error:
            detail = str(error)
        now = anyio.current_time()
        self.results.append(Told(marker, name, outcome, sent_at, now, detail))

    async def _call(self):
        clients = {
            daemon.name: HttpClient(daemon.callers, CALL_TIMEOUT_SECONDS)
            for daemon in self.site.entries
        }
        while self.going:
            await self._call_once(clients)
        for client in clients.values():
            await client.close()

    def start(self, task_group):
        """Send requests in tasks of ``task_group`` until ``close``."""
        for daemon in self.site.entries:
            task_group.start_soon(self._watch_health, daemon)
        for _ in range(self.callers):
            task_group.start_soon(self._call)

    def close(self):
        """Let the callers end after their request."""
        self.going = False

    def interrupted_requests(self):
        """Return what was told of requests that got no whole reply."""
        return [line for line in self.results if line.outcome is None]

    def count(self, outcome):
        """Return how many requests were told ``outcome``."""
        return sum(line.outcome == outcome for line in self.results)
