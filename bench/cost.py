"""Compare one entry with a bare pass-through of the same libraries.

``python -m bench.cost`` runs both beside the same stand-in executors and sends
the same requests to each in turn, in interleaved rounds. It prints
``name=value`` lines and the verdict on each bar.
"""

import statistics
import sys

import anyio

from azurelanding import records
from azurelanding.operators.client import OperatorsClient
from azurelanding.settings import split_address
from azurelanding.standins.site import LOOPBACK, Site, SiteConfig, free_ports

RULES = """
pool previews hosts=preview-* spare=yes  # bench
service preview pool=previews urgency=urgent deadline=5s idempotent=yes  # bench
"""
CALLERS = 12
ROUNDS = 5
ROUND_SECONDS = 2.5
EXECUTORS = 2
RATE_BAR = 0.6
LATENCY_BAR = 2.0
BENCH_TIMEOUT_SECONDS = 80.0
HEAD_END = b"\r\n\r\n"
LENGTH_HEADER = b"content-length: "

REQUEST = (
    b"POST /services/preview/cost HTTP/1.1\r\nHost: bench\r\n"
    b"Azurelanding-Team: bench\r\nStandin-Run-Time: 0\r\n"
    b"Azurelanding-Request-Id: bench\r\nContent-Length: 5\r\n\r\nhello"
)


async def _read_reply(stream, buffer):
    """Return the head of one whole reply and what follows its body."""
    while HEAD_END not in buffer:
        buffer += await stream.receive()
    head, _, rest = buffer.partition(HEAD_END)
    lines = head.lower().split(b"\r\n")
    length = next(line for line in lines if line.startswith(LENGTH_HEADER))
    missing = int(length[len(LENGTH_HEADER) :])
    while len(rest) < missing:
        rest += await stream.receive()
    return head, rest[missing:]


async def _call_repeatedly(address, until, latencies, failures):
    stream = await anyio.connect_tcp(*split_address(address))
    buffer = b""
    async with stream:
        while (sent_at := anyio.current_time()) < until:
            await stream.send(REQUEST)
            head, buffer = await _read_reply(stream, buffer)
            if b" 200 " in head[:16]:
                latencies.append(anyio.current_time() - sent_at)
            else:
                failures.append(head)


async def measure(address):
    """Return the requests a second and the median latency of one round."""
    latencies, failures = [], []
    until = anyio.current_time() + ROUND_SECONDS
    async with anyio.create_task_group() as task_group:
        for _ in range(CALLERS):
            task_group.start_soon(_call_repeatedly, address, until, latencies, failures)
    if failures:
        raise RuntimeError(f"{len(failures)} failures, first: {failures[0]!r}")
    return len(latencies) / ROUND_SECONDS, statistics.median(latencies)


async def _publish(site):
    client = OperatorsClient.from_config(site.operators_address)
    await client.change(records.RulesPublished(RULES, 0), "bench")
    await client.close()
    wanted = EXECUTORS * 8
    await site.wait_for_status(site.entries[0], lambda report: report.slots >= wanted)


async def _measure_rounds(addresses):
    """Return the figures of each address, one pair for each round."""
    figures = {name: [] for name in addresses}
    for address in addresses.values():
        await measure(address)
    for _ in range(ROUNDS):
        for name, address in addresses.items():
            figures[name].append(await measure(address))
    return figures


def _report(figures):
    """Print the medians and the bars; return the exit code."""
    rates = {n: statistics.median(r for r, _ in f) for n, f in figures.items()}
    medians = {n: statistics.median(m for _, m in f) for n, f in figures.items()}
    for name, rounds in figures.items():
        print(f"{name}.requests_per_s={rates[name]:.0f}")
        print(f"{name}.median_ms={medians[name] * 1000:.2f}")
        print(f"{name}.rounds={','.join(f'{rate:.0f}' for rate, _ in rounds)}")
    rate = rates["entry"] / rates["pass_through"]
    latency = medians["entry"] / medians["pass_through"]
    passed = {"rate_ratio": rate >= RATE_BAR, "latency_ratio": latency <= LATENCY_BAR}
    for name, value in (("rate_ratio", rate), ("latency_ratio", latency)):
        print(f"{name}={value:.3f}")
        print(f"{name}.bar={'pass' if passed[name] else 'fail'}")
    return 0 if all(passed.values()) else 1


async def run_bench():
    """Run the bench and return its exit code."""
    config = SiteConfig(entries=1, controls=1, executors={"preview": EXECUTORS})
    site = Site.from_config(config)
    address = f"{LOOPBACK}:{free_ports(1)[0]}"
    targets = [host.address for host in site.hosts]
    command = [sys.executable, "-m", "bench.pass_through", address, *targets]
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            await site.start()
            await _publish(site)
            async with await anyio.open_process(
                command, stdout=None, stderr=None
            ) as process:
                await anyio.sleep(1.0)
                figures = await _measure_rounds(
                    {"pass_through": address, "entry": site.entries[0].callers}
                )
                process.terminate()
    finally:
        await site.close()
    return _report(figures)


if __name__ == "__main__":
    sys.exit(anyio.run(run_bench))
