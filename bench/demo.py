"""Demonstrate publishing rules, serving requests, a drain and a killed entry.

``make demo`` starts the stand-ins, one control and two entry daemons as separate
processes, publishes ``examples/telar.rules``, sends requests to each service,
drains a host and kills an entry while requests are in flight. It then compares
the outcome that each caller received with what the executors ran, and exits with
0 only when they agree.
"""

import collections
import sys
import uuid

import anyio
import attrs

from azurelanding import records
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.operators.client import OperatorsClient
from azurelanding.standins.site import LocalSite, SiteConfig

RULES_PATH = "examples/telar.rules"
SERVICES = ("pattern-preview", "cut-list", "swatch-match", "catalogue", "storefront")
POOL_PREFIXES = ("preview", "cut", "swatch", "catalogue", "storefront")
ROUNDS = 12
CALLER_TIMEOUT_SECONDS = 10.0
DEMO_TIMEOUT_SECONDS = 55.0


@attrs.frozen
class DemoResult:
    """The response that one caller received.

    ``outcome`` is ``None`` when there was no response, as the entry was killed.
    """

    marker: str
    service: str
    outcome: str | None
    status: int
    body: bytes


async def _send_request(client, service, results):
    marker = uuid.uuid4().hex
    headers = [("Azurelanding-Team", "central-valley")]
    if service == "catalogue":
        headers.append(("Idempotency-Key", marker))
    try:
        response = await client.send(
            "POST", f"/services/{service}/demo", marker.encode(), headers
        )
    except HttpClientError:
        results.append(DemoResult(marker, service, None, 0, b""))
        return
    outcome = dict(response.headers)[b"azurelanding-outcome"].decode()
    results.append(
        DemoResult(marker, service, outcome, response.status, response.content)
    )


async def _send_round(addresses, results):
    async with anyio.create_task_group() as task_group:
        for service in SERVICES:
            for address in addresses:
                task_group.start_soon(_call_entry, address, service, results)


async def _call_entry(address, service, results):
    client = HttpClient(address, CALLER_TIMEOUT_SECONDS)
    try:
        await _send_request(client, service, results)
    finally:
        await client.close()


async def _publish(site):
    with open(RULES_PATH) as file:  # noqa: ASYNC230
        text = file.read()
    client = OperatorsClient.from_config(site.operators_address)
    decision = await client.change(records.RulesPublished(text, 0), "Marisol Vega")
    await client.close()
    print(
        f"published {RULES_PATH}: version {decision.offset}, {decision.reason or 'ok'}"
    )
    total = len(site.hosts)
    for daemon in site.daemons.values():
        await site.wait_for_status(
            daemon,
            lambda report: sum(sum(p.values()) for p in report.hosts.values()) == total,
        )
    for daemon in site.entries:
        await site.wait_for_status(daemon, lambda report: report.slots >= total)
    print(f"in force at {len(site.daemons)} daemons; {total} hosts in their pools")


async def _drain(site, name):
    client = OperatorsClient.from_config(site.operators_address)
    versions = {host.name: host.version for host in await client.hosts()}
    body = records.HostDraining(name, "demo", versions[name])
    decision = await client.change(body, "Rosa Lum")
    await client.close()
    print(f"drain of {name}: accepted={decision.accepted}")


def _find_contradiction(result, runs):
    """Return how the outcome of a request contradicts its runs, or ``None``."""
    count = runs[result.marker]
    if result.outcome == "ran" and (
        count < 1 or result.marker.encode() not in result.body
    ):
        return f"{result.marker} was told ran, but ran {count} times"
    if result.outcome == "not-run" and count:
        return f"{result.marker} was told not-run, but ran {count} times"
    if result.service in ("cut-list", "catalogue") and count > 1:
        return f"{result.marker} of {result.service} ran {count} times"
    return None


async def _compare_with_ledgers(site, results):
    ledgers = await site.ledgers()
    runs = collections.Counter(
        line["body"] for ledger in ledgers.values() for line in ledger["lines"]
    )
    outcomes = collections.Counter(
        (result.service, result.outcome) for result in results
    )
    for (service, outcome), count in sorted(outcomes.items(), key=str):
        print(f"{service:16} told {outcome or 'nothing (entry killed)'}: {count}")
    print(f"executors ran {sum(runs.values())} requests of {len(results)} sent")
    contradictions = [
        fault for result in results if (fault := _find_contradiction(result, runs))
    ]
    for fault in contradictions:
        print(f"FALSE: {fault}")
    return contradictions


async def _run(site):
    results = []
    await site.start()
    print(f"{len(site.daemons)} daemons and their stand-ins are up")
    await _publish(site)
    addresses = [daemon.callers for daemon in site.entries]
    for number in range(ROUNDS):
        if number == ROUNDS // 3:
            await _drain(site, "preview-1")
        if number == ROUNDS // 2:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(_send_round, addresses, results)
                await anyio.sleep(0.005)
                await site.kill(site.entries[0].name)
                print(f"killed {site.entries[0].name} with requests in flight")
            addresses = addresses[1:]
        await _send_round(addresses, results)
    return await _compare_with_ledgers(site, results)


async def run_demo():
    """Run the demo and return its exit code."""
    site = LocalSite.from_config(SiteConfig(executors=dict.fromkeys(POOL_PREFIXES, 2)))
    try:
        with anyio.fail_after(DEMO_TIMEOUT_SECONDS):
            contradictions = await _run(site)
    finally:
        await site.close()
    print(
        "callers and executors agree"
        if not contradictions
        else f"{len(contradictions)} faults"
    )
    return 1 if contradictions else 0


if __name__ == "__main__":
    sys.exit(anyio.run(run_demo))
