"""Measure retries while a zone of targets is lost, and while one target fails all.

``python -m bench.retries`` runs two entries and six executors in three zones as
separate processes, at a steady rate of idempotent requests. The entries are in two
of the zones. First the executors of the one fall silent, later those of the other
are killed, and at last one executor answers everything with 500. It prints
``name=value`` lines and the verdict on each bar.
"""

import datetime
import random
import signal
import sys

import anyio
import attrs

from azurelanding import records
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.operators.client import OperatorsClient
from azurelanding.standins.site import Site, SiteConfig

RULES = """
pool previews hosts=preview-* spare=yes  # bench
service preview pool=previews urgency=urgent deadline=2s idempotent=yes  # bench
"""
SEED = 1
ZONES = ("zone-a", "zone-b", "zone-c")
EXECUTORS = 6
RATE = 100.0
RUN_TIME = "0.1"
CALM_SECONDS = 3.0
LOST_SECONDS = 9.0
REST_SECONDS = 3.0
FAILING_SECONDS = 6.0
LOSS_DELAY_SECONDS = 1.0
BENCH_TIMEOUT_SECONDS = 85.0
CALLER_TIMEOUT_SECONDS = 5.0
ATTEMPTS_BAR = 1.1
KEPT_BAR = 0.95


@attrs.define
class Phase:
    """What callers were told in one stretch of the run."""

    name: str
    started_at: datetime.datetime
    sent: int = 0
    ran: int = 0
    failed: int = 0
    ended_at: datetime.datetime | None = None


def _now():
    return datetime.datetime.now(datetime.UTC)


async def _call(address, phase):
    client = HttpClient(address, CALLER_TIMEOUT_SECONDS)
    phase.sent += 1
    try:
        headers = [("Standin-Run-Time", RUN_TIME)]
        response = await client.send("POST", "/services/preview/x", b"hello", headers)
        phase.ran += response.status == 200
        phase.failed += response.status == 500
    except HttpClientError:
        pass
    finally:
        await client.close()


async def _run_phase(name, addresses, seconds, chooser):
    """Send requests at a steady rate; return the ``Phase`` when all are answered."""
    phase = Phase(name, _now())
    until = anyio.current_time() + seconds
    async with anyio.create_task_group() as callers:
        while anyio.current_time() < until:
            callers.start_soon(_call, chooser.choice(addresses), phase)
            await anyio.sleep(chooser.expovariate(RATE))
    phase.ended_at = _now()
    return phase


def _count_attempts(site, since, until):
    """Return the requests that reached a target, and their failed attempts.

    They are read from the entries' logs between two moments.
    """
    first, failed = 0, 0
    for daemon in site.entries:
        for line in (site.path / f"{daemon.name}.log").read_text().splitlines():
            fields = line.split()
            stamp = fields[0].removeprefix("timestamp=") if fields else ""
            if not stamp.endswith("Z"):
                continue
            if not since <= datetime.datetime.fromisoformat(stamp) < until:
                continue
            first += "request answered" in line and "target=preview" in line
            failed += "exchange failed" in line and "written=true" in line
            failed += "answer overdue" in line
    return first, failed


async def _publish(site):
    client = OperatorsClient.from_config(site.operators_address)
    await client.change(records.RulesPublished(RULES, 0), "bench")
    await client.close()
    for daemon in site.entries:
        await site.wait_for_status(daemon, lambda report: report.slots >= EXECUTORS)


async def _run(site):
    """Return the phases of one run."""
    await site.start()
    await _publish(site)
    await anyio.sleep(2.0)
    addresses = [daemon.callers for daemon in site.entries]
    chooser = random.Random(SEED)
    calm = await _run_phase("calm", addresses, CALM_SECONDS, chooser)
    phases = [calm]
    silent_zone, killed_zone = (site.standins[f"executors-{n}"] for n in range(2))
    for name, lose in (
        ("silent", lambda: silent_zone.send_signal(signal.SIGSTOP)),
        ("killed", killed_zone.kill),
    ):
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_lose, lose)
            phases.append(await _run_phase(name, addresses, LOST_SECONDS, chooser))
        silent_zone.send_signal(signal.SIGCONT)
        await anyio.sleep(REST_SECONDS)
    knobs = {"fail_all": True}
    await site.ask(site.hosts[0].address, "POST", "/knobs", knobs)
    phases.append(await _run_phase("failing", addresses, FAILING_SECONDS, chooser))
    return phases


async def _lose(lose):
    await anyio.sleep(LOSS_DELAY_SECONDS)
    lose()


def _report(site, phases):
    """Print the figures and the bars; return the exit code."""
    print(f"seed={SEED}")
    missed = []
    for phase in phases:
        first, failed = _count_attempts(site, phase.started_at, phase.ended_at)
        figures = {
            "attempts_per_first": (first + failed) / max(1, first),
            "kept": phase.ran / phase.sent,
        }
        print(f"{phase.name}.sent={phase.sent}")
        print(f"{phase.name}.failed_attempts={failed}")
        print(f"{phase.name}.answered_500={phase.failed}")
        for name, value in figures.items():
            print(f"{phase.name}.{name}={value:.4f}")
        if phase.name in ("silent", "killed"):
            missed += _judge(phase.name, **figures)
    print(f"missed_bars={','.join(missed) or 'none'}")
    return 1 if missed else 0


def _judge(name, attempts_per_first, kept):
    """Print the verdicts on one loss; return the bars that were missed."""
    passed = {
        f"{name}.attempts_per_first": attempts_per_first < ATTEMPTS_BAR,
        f"{name}.kept": kept >= KEPT_BAR,
    }
    for bar, verdict in passed.items():
        print(f"{bar}.bar={'pass' if verdict else 'fail'}")
    return [bar for bar, verdict in passed.items() if not verdict]


async def run_bench():
    """Run the bench and return its exit code."""
    config = SiteConfig(
        executors={"preview": EXECUTORS}, zones=ZONES, executor_processes=len(ZONES)
    )
    site = Site.from_config(config)
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            phases = await _run(site)
        return _report(site, phases)
    finally:
        await site.close()


if __name__ == "__main__":
    sys.exit(anyio.run(run_bench))
