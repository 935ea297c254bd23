"""Measure retries while a zone of executors is lost and while one executor fails.

``python -m bench.retries`` runs two entries and six executors in three zones as
separate processes, with idempotent requests at a steady rate. The entries are in two
of the zones. First the executors of one of these zones stop responding, later those
of the other are killed, and finally one executor answers every request with 500.
Prints ``name=value`` lines and pass or fail for each criterion.
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
from azurelanding.standins.site import LocalSite, SiteConfig

RULES = """
pool previews hosts=preview-* spare=yes  # bench
service preview pool=previews urgency=urgent deadline=2s idempotent=yes  # bench
"""
SEED = 1
ZONES = ("zone-a", "zone-b", "zone-c")
EXECUTORS = 6
REQUESTS_PER_SECOND = 100.0
RUN_TIME_SECONDS = "0.1"
CALM_SECONDS = 3.0
ZONE_LOST_SECONDS = 9.0
RECOVERY_SECONDS = 3.0
FAILING_SECONDS = 6.0
LOSS_DELAY_SECONDS = 1.0
BENCH_TIMEOUT_SECONDS = 85.0
CALLER_TIMEOUT_SECONDS = 5.0
ATTEMPTS_PER_FIRST_LIMIT = 1.1
MIN_KEPT_FRACTION = 0.95


@attrs.define
class Phase:
    """Counts of the requests sent in one phase of the run and of their answers.

    ``ran`` counts answers with status 200 and ``failed`` those with status 500.
    """

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
        headers = [("Standin-Run-Time", RUN_TIME_SECONDS)]
        response = await client.send("POST", "/services/preview/x", b"hello", headers)
        phase.ran += response.status == 200
        phase.failed += response.status == 500
    except HttpClientError:
        pass
    finally:
        await client.close()


async def _run_phase(name, addresses, seconds, rng):
    """Send requests at a steady rate; return the ``Phase`` once all are answered."""
    phase = Phase(name, _now())
    until = anyio.current_time() + seconds
    async with anyio.create_task_group() as callers:
        while anyio.current_time() < until:
            callers.start_soon(_call, rng.choice(addresses), phase)
            await anyio.sleep(rng.expovariate(REQUESTS_PER_SECOND))
    phase.ended_at = _now()
    return phase


def _count_attempts(site, since, until):
    """Return how many requests reached a target, and how many attempts failed.

    Counts the messages that the entries logged from ``since`` to before ``until``.
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
    """Run all phases and return them."""
    await site.start()
    await _publish(site)
    await anyio.sleep(2.0)
    addresses = [daemon.callers for daemon in site.entries]
    rng = random.Random(SEED)
    calm = await _run_phase("calm", addresses, CALM_SECONDS, rng)
    phases = [calm]
    silent_zone, killed_zone = (site.standins[f"executors-{n}"] for n in range(2))
    for name, lose in (
        ("silent", lambda: silent_zone.send_signal(signal.SIGSTOP)),
        ("killed", killed_zone.kill),
    ):
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_lose_zone, lose)
            phases.append(await _run_phase(name, addresses, ZONE_LOST_SECONDS, rng))
        silent_zone.send_signal(signal.SIGCONT)
        await anyio.sleep(RECOVERY_SECONDS)
    knobs = {"fail_all": True}
    await site.ask(site.hosts[0].address, "POST", "/knobs", knobs)
    phases.append(await _run_phase("failing", addresses, FAILING_SECONDS, rng))
    return phases


async def _lose_zone(lose):
    """Call ``lose`` after a delay, so that the zone is lost during the phase."""
    await anyio.sleep(LOSS_DELAY_SECONDS)
    lose()


def _print_report(site, phases):
    """Print the figures and criteria of all phases; return the exit code."""
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
            missed += _print_criteria(phase.name, **figures)
    print(f"missed_bars={','.join(missed) or 'none'}")
    return 1 if missed else 0


def _print_criteria(name, attempts_per_first, kept):
    """Print pass or fail for the criteria of a phase; return the missed ones."""
    passed = {
        f"{name}.attempts_per_first": attempts_per_first < ATTEMPTS_PER_FIRST_LIMIT,
        f"{name}.kept": kept >= MIN_KEPT_FRACTION,
    }
    for criterion, is_passed in passed.items():
        print(f"{criterion}.bar={'pass' if is_passed else 'fail'}")
    return [criterion for criterion, is_passed in passed.items() if not is_passed]


async def run_bench():
    """Run the bench and return its exit code."""
    config = SiteConfig(
        executors={"preview": EXECUTORS}, zones=ZONES, executor_processes=len(ZONES)
    )
    site = LocalSite.from_config(config)
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            phases = await _run(site)
        return _print_report(site, phases)
    finally:
        await site.close()


if __name__ == "__main__":
    sys.exit(anyio.run(run_bench))
