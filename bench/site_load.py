"""Send requests to the entries of a site, as callers behind a load balancer do.

A caller keeps one connection to each entry and sends only to entries that pass
their health check. The results are recorded, so that a bench can compare them with
what the executors ran.
"""

import itertools
import random
import uuid

import anyio
import attrs

from azurelanding.http_client import HttpClient, HttpClientError

HEALTH_PATH = "/health"
HEALTH_CHECK_INTERVAL_SECONDS = 0.2
CALL_TIMEOUT_SECONDS = 15.0
STATUS_OK = 200


@attrs.frozen
class LoadResult:
    """The result of one request; times are in seconds.

    ``outcome`` is ``None`` when the request was cut off before a complete response.
    """

    marker: str
    entry: str
    outcome: str | None
    sent_at: float
    ended_at: float
    detail: str = ""


class SiteLoad:
    """Sends requests of concurrent callers to one service and records the results.

    ``callers`` is their number. ``run_times`` are the run times of requests in
    seconds, used in turn.
    """

    def __init__(self, site, service, callers, run_times, seed):
        self.site = site
        self.service = service
        self.callers = callers
        self.run_times = itertools.cycle(run_times)
        self.random = random.Random(seed)
        self.healthy = set()
        self.results = []
        self.is_running = True

    async def _check_health(self, daemon):
        client = HttpClient(daemon.callers, HEALTH_CHECK_INTERVAL_SECONDS)
        while self.is_running:
            try:
                status, _ = await client.request("GET", HEALTH_PATH)
            except HttpClientError:
                status = 0
            update = self.healthy.add if status == STATUS_OK else self.healthy.discard
            update(daemon.name)
            await anyio.sleep(HEALTH_CHECK_INTERVAL_SECONDS)
        await client.close()

    async def _call_once(self, clients):
        names = sorted(self.healthy)
        if not names:
            await anyio.sleep(HEALTH_CHECK_INTERVAL_SECONDS)
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
        self.results.append(LoadResult(marker, name, outcome, sent_at, now, detail))

    async def _run_caller(self):
        clients = {
            daemon.name: HttpClient(daemon.callers, CALL_TIMEOUT_SECONDS)
            for daemon in self.site.entries
        }
        while self.is_running:
            await self._call_once(clients)
        for client in clients.values():
            await client.close()

    def start(self, task_group):
        """Start the health checks and the callers, which run until ``close``."""
        for daemon in self.site.entries:
            task_group.start_soon(self._check_health, daemon)
        for _ in range(self.callers):
            task_group.start_soon(self._run_caller)

    def close(self):
        """Stop the callers after their current request."""
        self.is_running = False

    def interrupted_requests(self):
        """Return the results of requests that got no complete response."""
        return [result for result in self.results if result.outcome is None]

    def count(self, outcome):
        """Return the number of requests with ``outcome``."""
        return sum(result.outcome == outcome for result in self.results)
