"""Compare an entry with a bare pass-through that uses the same libraries.

``python -m bench.cost`` runs both in front of the same stand-in executors and sends
the same requests to each in turn, in interleaved rounds. It prints ``name=value``
lines and pass or fail for each criterion, a limit that a figure must meet.
"""

import statistics
import sys

import anyio

from azurelanding import records
from azurelanding.addresses import split_address
from azurelanding.operators.client import OperatorsClient
from azurelanding.standins.site import LOOPBACK, LocalSite, SiteConfig, free_ports

RULES = """
pool previews hosts=preview-* spare=yes  # bench
service preview pool=previews urgency=urgent deadline=5s idempotent=yes  # bench
"""
CALLERS = 12
ROUNDS = 5
ROUND_SECONDS = 2.5
EXECUTORS = 2
MIN_RATE_RATIO = 0.6
MAX_LATENCY_RATIO = 2.0
BENCH_TIMEOUT_SECONDS = 80.0
HEADERS_END = b"\r\n\r\n"
LENGTH_HEADER = b"content-length: "

REQUEST = (
    b"POST /services/preview/cost HTTP/1.1\r\nHost: bench\r\n"
    b"Azurelanding-Team: bench\r\nStandin-Run-Time: 0\r\n"
    b"Azurelanding-Request-Id: bench\r\nContent-Length: 5\r\n\r\nhello"
)


async def _read_reply(stream, buffer):
    """Return the headers of one complete reply and the bytes after its body."""
    while HEADERS_END not in buffer:
        buffer += await stream.receive()
    head, _, body = buffer.partition(HEADERS_END)
    lines = head.lower().split(b"\r\n")
    length_line = next(line for line in lines if line.startswith(LENGTH_HEADER))
    length = int(length_line[len(LENGTH_HEADER) :])
    while len(body) < length:
        body += await stream.receive()
    return head, body[length:]


async def _call_repeatedly(address, end, latencies, failures):
    stream = await anyio.connect_tcp(*split_address(address))
    buffer = b""
    async with stream:
        while (sent_at := anyio.current_time()) < end:
            await stream.send(REQUEST)
            head, buffer = await _read_reply(stream, buffer)
            if b" 200 " in head[:16]:
                latencies.append(anyio.current_time() - sent_at)
            else:
                failures.append(head)


async def measure_round(address):
    """Run one round; return its requests per second and median latency in seconds."""
    latencies, failures = [], []
    end = anyio.current_time() + ROUND_SECONDS
    async with anyio.create_task_group() as task_group:
        for _ in range(CALLERS):
            task_group.start_soon(_call_repeatedly, address, end, latencies, failures)
    if failures:
        raise RuntimeError(
            f"{len(failures)} requests to {address} failed, first: {failures[0]!r}"
        )
    return len(latencies) / ROUND_SECONDS, statistics.median(latencies)


async def _publish_rules(site):
    client = OperatorsClient.from_config(site.operators_address)
    await client.change(records.RulesPublished(RULES, 0), "bench")
    await client.close()
    slots = EXECUTORS * 8
    await site.wait_for_status(site.entries[0], lambda report: report.slots >= slots)


async def _measure_rounds(addresses):
    """Return the results of ``measure_round`` for each name of ``addresses``.

    A first round for each address is a warm-up and not counted.
    """
    measurements = {name: [] for name in addresses}
    for address in addresses.values():
        await measure_round(address)
    for _ in range(ROUNDS):
        for name, address in addresses.items():
            measurements[name].append(await measure_round(address))
    return measurements


def _report(measurements):
    """Print medians and criteria; return the exit code, 0 when all criteria are met."""
    rates = {
        name: statistics.median(rate for rate, _ in rounds)
        for name, rounds in measurements.items()
    }
    latencies = {
        name: statistics.median(latency for _, latency in rounds)
        for name, rounds in measurements.items()
    }
    for name, rounds in measurements.items():
        print(f"{name}.requests_per_s={rates[name]:.0f}")
        print(f"{name}.median_ms={latencies[name] * 1000:.2f}")
        print(f"{name}.rounds={','.join(f'{rate:.0f}' for rate, _ in rounds)}")
    rate_ratio = rates["entry"] / rates["pass_through"]
    latency_ratio = latencies["entry"] / latencies["pass_through"]
    passed = {
        "rate_ratio": rate_ratio >= MIN_RATE_RATIO,
        "latency_ratio": latency_ratio <= MAX_LATENCY_RATIO,
    }
    for name, value in (("rate_ratio", rate_ratio), ("latency_ratio", latency_ratio)):
        print(f"{name}={value:.3f}")
        print(f"{name}.bar={'pass' if passed[name] else 'fail'}")
    return 0 if all(passed.values()) else 1


async def run_bench():
    """Run the bench and return its exit code."""
    config = SiteConfig(entries=1, controls=1, executors={"preview": EXECUTORS})
    site = LocalSite.from_config(config)
    address = f"{LOOPBACK}:{free_ports(1)[0]}"
    targets = [host.address for host in site.hosts]
    command = [sys.executable, "-m", "bench.pass_through", address, *targets]
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            await site.start()
            await _publish_rules(site)
            async with await anyio.open_process(
                command, stdout=None, stderr=None
            ) as process:
                await anyio.sleep(1.0)
                measurements = await _measure_rounds(
                    {"pass_through": address, "entry": site.entries[0].callers}
                )
                process.terminate()
    finally:
        await site.close()
    return _report(measurements)


if __name__ == "__main__":
    sys.exit(anyio.run(run_bench))
