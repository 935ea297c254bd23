"""Measure what is lost when all open connections to the executors go silent.

``python -m bench.silence [SEED]`` sends requests that must not be repeated through
an entry, and then through a plain pool of kept connections, over the same relay.
After a surge, at a light load, the relay silences every connection that is open;
then again while most slots are busy.
"""

import collections
import random
import sys

import anyio
import attrs
import httpcore

from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.requests import Outcome
from azurelanding.settings import split_address
from azurelanding.standins.site import Site, SiteConfig
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
LIGHT_PER_SECOND = 60
LIGHT_RUN_SECONDS = 0.02
BUSY_PER_SECOND = 200
BUSY_RUN_SECONDS = 0.15
LOAD_SECONDS = 8.0
SETTLE_SECONDS = 1.0
FLOWING_SHARE = 0.5
FLOW_LIMIT_SECONDS = 2.0
WINDOW_SECONDS = 0.5
FEWER_UNKNOWN = 10
BENCH_TIMEOUT_SECONDS = 85.0


@attrs.frozen
class Sample:
    """One request: when it was sent and ended, and what was told of it."""

    sent_at: float
    ended_at: float
    outcome: Outcome


class EntrySender:
    """Sends through an entry, over connections that the relay does not touch."""

    def __init__(self, address):
        self.address = address
        self.idle = []

    async def send(self):
        """Return the outcome of one request."""
        client = self.idle.pop() if self.idle else HttpClient(self.address, 10.0)
        try:
            response = await client.send("POST", "/services/order/a", b"x")
        except HttpClientError:
            return Outcome.UNKNOWN
        self.idle.append(client)
        return Outcome(dict(response.headers)[b"azurelanding-outcome"].decode())


class PlainPool:
    """Sends straight to the executors over kept connections, the last used first."""

    def __init__(self, hosts):
        self.idle = {host.address: [] for host in hosts}
        self.turn = 0

    def _pick(self):
        """Return the next address and a connection to it."""
        addresses = list(self.idle)
        self.turn += 1
        address = addresses[self.turn % len(addresses)]
        if self.idle[address]:
            return address, self.idle[address].pop()
        host, port = split_address(address)
        origin = httpcore.Origin(b"http", host.encode(), port)
        return address, httpcore.AsyncHTTPConnection(origin)

    async def send(self):
        """Return the outcome of one request."""
        address, connection = self._pick()
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
        self.idle[address].append(connection)
        return Outcome.RAN if response.status == 200 else Outcome.NOT_RUN


async def _sample(sender, samples):
    sent_at = anyio.current_time()
    outcome = await sender.send()
    samples.append(Sample(sent_at, anyio.current_time(), outcome))


async def _send_closed(sender, samples, seconds):
    """Keep ``SURGE_CALLERS`` requests in flight for ``seconds``."""
    end = anyio.current_time() + seconds

    async def call():
        while anyio.current_time() < end:
            await _sample(sender, samples)

    async with anyio.create_task_group() as task_group:
        for _ in range(SURGE_CALLERS):
            task_group.start_soon(call)


async def _send_open(sender, samples, per_second, rng):
    """Send requests at random moments, ``per_second`` on average."""
    end = anyio.current_time() + LOAD_SECONDS
    async with anyio.create_task_group() as task_group:
        while anyio.current_time() < end:
            task_group.start_soon(_sample, sender, samples)
            await anyio.sleep(rng.expovariate(per_second))


def _time_to_flow(samples, silenced_at, per_second):
    """Return the seconds until answers come at half the rate of requests or more.

    From then on they do so in every window in which requests were sent.
    """
    last = LOAD_SECONDS - SETTLE_SECONDS - WINDOW_SECONDS
    ran = collections.Counter(
        int((sample.ended_at - silenced_at) // WINDOW_SECONDS)
        for sample in samples
        if sample.outcome is Outcome.RAN
    )
    enough = FLOWING_SHARE * per_second * WINDOW_SECONDS
    numbers = range(int(last / WINDOW_SECONDS))
    slow = [number for number in numbers if ran[number] < enough]
    return (max(slow, default=-1) + 1) * WINDOW_SECONDS


async def _measure(site, name, sender, per_second, rng):
    """Silence the connections under load; return what was lost, and how long."""
    samples = []
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_send_open, sender, samples, per_second, rng)
        await anyio.sleep(SETTLE_SECONDS)
        told = await site.ask(site.relay_address, "POST", "/silence")
        silenced_at = anyio.current_time()
    unknown = [s for s in samples if s.outcome is Outcome.UNKNOWN]
    refused = sum(s.outcome is Outcome.NOT_RUN for s in samples)
    lost = len(unknown)
    in_flight = sum(sample.sent_at < silenced_at for sample in unknown)
    flow = _time_to_flow(samples, silenced_at, per_second)
    print(f"{name}_requests={len(samples)}")
    print(f"{name}_connections_silenced={told['silenced']}")
    print(f"{name}_not_run={refused}\n{name}_unknown={lost}")
    print(f"{name}_unknown_in_flight={in_flight}")
    print(f"{name}_flowing_after_seconds={flow:.2f}")
    return lost, flow


async def _measure_both(site, name, sender, seed):
    """Return what was lost at a light load after a surge, and when most is busy."""
    rng = random.Random(seed)
    found = []
    for load, per_second, run_time in (
        ("light", LIGHT_PER_SECOND, LIGHT_RUN_SECONDS),
        ("busy", BUSY_PER_SECOND, BUSY_RUN_SECONDS),
    ):
        await history_driver.set_executor_knobs(site, site.hosts, run_time=run_time)
        await _send_closed(sender, [], SURGE_SECONDS)
        label = f"{name}_{load}"
        found.append(await _measure(site, label, sender, per_second, rng))
    return found


def _judge(entry, plain):
    (lost, flow), (_, busy_flow) = entry
    plain_lost = plain[0][0]
    print(f"unknown_ratio_light={plain_lost / max(1, lost):.1f}")
    print(f"unknown_ratio_busy={plain[1][0] / max(1, entry[1][0]):.1f}")
    return [
        history_driver.print_bar(
            "ten_times_fewer_unknown_light",
            plain_lost >= FEWER_UNKNOWN * max(1, lost),
        ),
        history_driver.print_bar("flowing_light", flow <= FLOW_LIMIT_SECONDS),
        history_driver.print_bar("flowing_busy", busy_flow <= FLOW_LIMIT_SECONDS),
    ]


async def run_bench(seed):
    """Run the bench and return its exit code."""
    print(f"seed={seed}")
    config = SiteConfig(
        entries=1,
        executors={"order": EXECUTORS},
        relayed=True,
        overrides={"log": {"level": "error"}},
    )
    site = Site.from_config(config)
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            await site.start()
            await history_driver.publish_rules(site, RULES, len(site.hosts))
            await history_driver.set_executor_knobs(site, site.hosts, slots=64)
            sender = EntrySender(site.entries[0].callers)
            entry = await _measure_both(site, "entry", sender, seed)
            pool = PlainPool(site.listed_hosts)
            plain = await _measure_both(site, "plain", pool, seed)
        passed = _judge(entry, plain)
    finally:
        await site.close()
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(anyio.run(run_bench, int(sys.argv[1]) if len(sys.argv) > 1 else SEED))
