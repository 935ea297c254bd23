"""Measure which requests are lost when all open connections to executors go silent.

``python -m bench.silence [SEED]`` sends non-idempotent requests through an entry,
and then over a plain connection pool in place of the entry, both through the same
relay to the executors. Each time, the relay silences all open connections twice:
at a light load after a surge, and after another surge while most slots are busy.
"""

import collections
import random
import sys

import anyio
import attrs
import httpcore

from azurelanding.addresses import split_address
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.requests import Outcome
from azurelanding.standins.site import LocalSite, SiteConfig
from bench import history_driver

RULES = """
pool orders hosts=order-* spare=yes  # bench
service order pool=orders deadline=4s floor=100%  # bench
"""
SEED = 31
EXECUTORS = 6
DEADLINE_SECONDS = 4.0
SURGE_CALLERS = 48
SURGE_SECONDS = 3.0
LIGHT_RATE_PER_SECOND = 60
LIGHT_RUN_TIME_SECONDS = 0.02
BUSY_RATE_PER_SECOND = 200
BUSY_RUN_TIME_SECONDS = 0.15
LOAD_SECONDS = 8.0
SETTLE_SECONDS = 1.0
MIN_ANSWERED_FRACTION = 0.5
MAX_RECOVERY_SECONDS = 2.0
WINDOW_SECONDS = 0.5
MIN_UNKNOWN_RATIO = 10
BENCH_TIMEOUT_SECONDS = 85.0


@attrs.frozen
class Sample:
    """The outcome of one request and the clock times, in seconds, of start and end."""

    sent_at: float
    ended_at: float
    outcome: Outcome


class EntrySender:
    """Sends requests through an entry; the relay is between entry and executors."""

    def __init__(self, address):
        self.address = address
        self.idle_clients = []

    async def send(self):
        """Return the outcome of one request."""
        client = (
            self.idle_clients.pop()
            if self.idle_clients
            else HttpClient(self.address, 10.0)
        )
        try:
            response = await client.send("POST", "/services/order/a", b"x")
        except HttpClientError:
            return Outcome.UNKNOWN
        self.idle_clients.append(client)
        return Outcome(dict(response.headers)[b"azurelanding-outcome"].decode())


class PlainConnectionPool:
    """Sends requests to executors in turn; the last used idle connection goes first."""

    def __init__(self, hosts):
        self.idle_connections = {host.address: [] for host in hosts}
        self.acquired_count = 0

    def _acquire(self):
        """Return the next address and an idle or new connection to it."""
        addresses = list(self.idle_connections)
        self.acquired_count += 1
        address = addresses[self.acquired_count % len(addresses)]
        if self.idle_connections[address]:
            return address, self.idle_connections[address].pop()
        host, port = split_address(address)
        origin = httpcore.Origin(b"http", host.encode(), port)
        return address, httpcore.AsyncHTTPConnection(origin)

    async def send(self):
        """Return the outcome of one request."""
        address, connection = self._acquire()
        host, port = split_address(address)
        url = httpcore.URL(
            scheme=b"http", host=host.encode(), port=port, target=b"/run/order/a"
        )
        headers = [("Host", address), ("Azurelanding-Request-Id", "plain")]
        try:
            with anyio.fail_after(DEADLINE_SECONDS):
                response = await connection.request(
                    "POST", url, headers=headers, content=b"x"
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
            return Outcome.UNKNOWN
        self.idle_connections[address].append(connection)
        return Outcome.RAN if response.status == 200 else Outcome.NOT_RUN


async def _send_sample(sender, samples):
    sent_at = anyio.current_time()
    outcome = await sender.send()
    samples.append(Sample(sent_at, anyio.current_time(), outcome))


async def _run_closed_loop(sender, samples, seconds):
    """Keep ``SURGE_CALLERS`` requests in flight for ``seconds``."""
    end = anyio.current_time() + seconds

    async def call():
        while anyio.current_time() < end:
            await _send_sample(sender, samples)

    async with anyio.create_task_group() as task_group:
        for _ in range(SURGE_CALLERS):
            task_group.start_soon(call)


async def _run_open_loop(sender, samples, per_second, rng):
    """Send requests at random times, ``per_second`` on average."""
    end = anyio.current_time() + LOAD_SECONDS
    async with anyio.create_task_group() as task_group:
        while anyio.current_time() < end:
            task_group.start_soon(_send_sample, sender, samples)
            await anyio.sleep(rng.expovariate(per_second))


def _compute_recovery_seconds(samples, silenced_at, per_second):
    """Return the seconds until executors answer at least half the request rate again.

    The rate must hold in every later window in which requests were sent.
    """
    observed_seconds = LOAD_SECONDS - SETTLE_SECONDS - WINDOW_SECONDS
    ran_by_window = collections.Counter(
        int((sample.ended_at - silenced_at) // WINDOW_SECONDS)
        for sample in samples
        if sample.outcome is Outcome.RAN
    )
    min_ran = MIN_ANSWERED_FRACTION * per_second * WINDOW_SECONDS
    windows = range(int(observed_seconds / WINDOW_SECONDS))
    slow_windows = [window for window in windows if ran_by_window[window] < min_ran]
    return (max(slow_windows, default=-1) + 1) * WINDOW_SECONDS


async def _measure(site, name, sender, per_second, rng):
    """Silence the connections under load.

    Returns the number of unknown outcomes and the seconds until recovery.
    """
    samples = []
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_run_open_loop, sender, samples, per_second, rng)
        await anyio.sleep(SETTLE_SECONDS)
        reply = await site.ask(site.relay_address, "POST", "/silence")
        silenced_at = anyio.current_time()
    unknown_samples = [
        sample for sample in samples if sample.outcome is Outcome.UNKNOWN
    ]
    not_run_count = sum(sample.outcome is Outcome.NOT_RUN for sample in samples)
    unknown_count = len(unknown_samples)
    in_flight_count = sum(sample.sent_at < silenced_at for sample in unknown_samples)
    recovery_seconds = _compute_recovery_seconds(samples, silenced_at, per_second)
    print(f"{name}_requests={len(samples)}")
    print(f"{name}_connections_silenced={reply['silenced']}")
    print(f"{name}_not_run={not_run_count}\n{name}_unknown={unknown_count}")
    print(f"{name}_unknown_in_flight={in_flight_count}")
    print(f"{name}_flowing_after_seconds={recovery_seconds:.2f}")
    return unknown_count, recovery_seconds


async def _measure_loads(site, name, sender, seed):
    """Return what ``_measure`` found at a light load and with most slots busy."""
    rng = random.Random(seed)
    measurements = []
    for load, per_second, run_time in (
        ("light", LIGHT_RATE_PER_SECOND, LIGHT_RUN_TIME_SECONDS),
        ("busy", BUSY_RATE_PER_SECOND, BUSY_RUN_TIME_SECONDS),
    ):
        await history_driver.set_executor_knobs(site, site.hosts, run_time=run_time)
        await _run_closed_loop(sender, [], SURGE_SECONDS)
        label = f"{name}_{load}"
        measurements.append(await _measure(site, label, sender, per_second, rng))
    return measurements


def _print_criteria(entry, plain):
    (unknown_count, recovery_seconds), (_, busy_recovery_seconds) = entry
    plain_unknown = plain[0][0]
    print(f"unknown_ratio_light={plain_unknown / max(1, unknown_count):.1f}")
    print(f"unknown_ratio_busy={plain[1][0] / max(1, entry[1][0]):.1f}")
    return [
        history_driver.print_criterion(
            "ten_times_fewer_unknown_light",
            plain_unknown >= MIN_UNKNOWN_RATIO * max(1, unknown_count),
        ),
        history_driver.print_criterion(
            "flowing_light", recovery_seconds <= MAX_RECOVERY_SECONDS
        ),
        history_driver.print_criterion(
            "flowing_busy", busy_recovery_seconds <= MAX_RECOVERY_SECONDS
        ),
    ]


async def run_bench(seed):
    """Run the bench and return its exit code, 0 when all criteria are met."""
    print(f"seed={seed}")
    config = SiteConfig(
        entries=1,
        executors={"order": EXECUTORS},
        relayed=True,
        overrides={"log": {"level": "error"}},
    )
    site = LocalSite.from_config(config)
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            await site.start()
            await history_driver.publish_rules(site, RULES, len(site.hosts))
            await history_driver.set_executor_knobs(site, site.hosts, slots=64)
            sender = EntrySender(site.entries[0].callers)
            entry = await _measure_loads(site, "entry", sender, seed)
            connection_pool = PlainConnectionPool(site.listed_hosts)
            plain = await _measure_loads(site, "plain", connection_pool, seed)
        passed = _print_criteria(entry, plain)
    finally:
        await site.close()
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(anyio.run(run_bench, int(sys.argv[1]) if len(sys.argv) > 1 else SEED))
