"""Measure restarts of entries, departures of executors and maintenance waves.

Every daemon runs as a separate process, and callers send requests throughout.
``rolling`` replaces all six entries one after the other. ``leaving`` drains
executors or marks them as leaving in the host list, also while the log service is
down and while the host list lags. ``wave`` maintains a pool while its controller is
killed and the log service has an outage. Prints ``name=value`` lines, the seed, and
pass or fail for each criterion, a limit that a figure must meet.

Run with ``python -m bench.leaving --part rolling``, ``leaving`` or ``wave``.
"""

import random
import sys

import anyio
import attrs
import defopt

from azurelanding import records
from azurelanding.hosts import Presence
from azurelanding.operators.client import DaemonUnreachableError, OperatorsClient
from azurelanding.standins.site import LocalSite, SiteConfig
from bench.site_load import SiteLoad

RULES = """
pool previews hosts=preview-* availability=50%  # Marisol
pool spares spare=yes  # Ines
service preview pool=previews deadline=3s idempotent=no  # Marisol
maintenance previews canary=1 domain=rack at-once=2 settle=1s return-within=60s  # Rosa
"""
ENTRIES = 6
EXECUTORS = 6
WORKERS = 2
SLOTS_PER_EXECUTOR = 8
CALLERS = 24
RUN_TIMES_SECONDS = (0.02, 0.05, 0.1, 0.4)
SETTLE_SECONDS = 1.0
OBSERVATION_SECONDS = 5.0
MAX_DRAIN_DELAY_SECONDS = 1.0
MAX_LIST_DELAY_SECONDS = 3.0
HOST_LIST_LAG_SECONDS = 2.0
LOG_OUTAGE_SECONDS = 4.0
WAVE_TIMEOUT_SECONDS = 75.0
POLL_INTERVAL_SECONDS = 0.1
LOG_TAIL_CHARACTERS = 4000


def print_criterion(name, passed):
    """Print whether the criterion ``name`` is met and return ``passed``."""
    print(f"bar.{name}={'pass' if passed else 'FAIL'}")
    return passed


async def _submit_change(site, body):
    client = OperatorsClient.from_config(site.operators_address)
    try:
        return await client.change(body, "bench")
    finally:
        await client.close()


async def _read_host_versions(site):
    client = OperatorsClient.from_config(site.operators_address)
    try:
        return {host.name: host.version for host in await client.hosts()}
    finally:
        await client.close()


async def _publish_rules(site):
    await _submit_change(site, records.RulesPublished(RULES, 0))
    for daemon in site.entries:
        await site.wait_for_status(daemon, lambda report: report.slots >= EXECUTORS)


async def _read_ledger_lines(site):
    ledgers = await site.ledgers()
    return {name: ledger["lines"] for name, ledger in ledgers.items()}


def _report_load(part, load):
    interrupted = load.interrupted_requests()
    print(f"{part}.requests={len(load.results)}")
    print(f"{part}.cut_off={len(interrupted)}")
    for outcome in ("ran", "not-run", "unknown"):
        print(f"{part}.told_{outcome.replace('-', '_')}={load.count(outcome)}")
    unsuccessful = [result for result in load.results if result.outcome != "ran"]
    for result in unsuccessful[:5]:
        print(f"# told {result.outcome} at {result.entry}: {result.detail}")
    return interrupted


def _print_log(site, daemon):
    """Print the end of the log file of ``daemon``."""
    text = (site.path / f"{daemon.name}.log").read_text()
    for line in text[-LOG_TAIL_CHARACTERS:].splitlines():
        print(f"# {daemon.name}: {line}")


async def run_rolling(site, load):
    """Replace every entry in turn; return whether each criterion is met."""
    exit_codes, stop_seconds = [], []
    for daemon in site.entries:
        started_at = anyio.current_time()
        exit_codes.append(await site.stop(daemon.name))
        if exit_codes[-1]:
            _print_log(site, daemon)
        stop_seconds.append(anyio.current_time() - started_at)
        await site.start_daemon(daemon.name)
        await site.wait_for_status(daemon, lambda report: report.slots >= EXECUTORS)
    load.close()
    await anyio.sleep(SETTLE_SECONDS)
    interrupted = _report_load("rolling", load)
    ledgers = await site.ledgers()
    peak = max(ledger["peak"] for ledger in ledgers.values())
    print(f"rolling.longest_stop_seconds={max(stop_seconds):.2f}")
    print(f"rolling.peak_on_one_executor={peak}")
    return [
        print_criterion("rolling.none_cut_off", not interrupted),
        print_criterion("rolling.none_unknown", not load.count("unknown")),
        print_criterion("rolling.all_stopped_cleanly", exit_codes == [0] * ENTRIES),
        print_criterion(
            "rolling.never_more_than_the_slots", peak <= SLOTS_PER_EXECUTOR
        ),
    ]


@attrs.frozen
class Departure:
    """One way for an executor to leave; times are in seconds.

    ``max_delay`` is the longest allowed time between the announcement that the
    executor leaves and the start of its last request. The announcement in a lagging
    host list counts from when the list shows it, after ``list_lag``.
    """

    name: str
    by_host_list: bool
    max_delay: float
    log_down: bool = False
    list_lag: float = 0.0


DEPARTURES = (
    Departure("drain", False, MAX_DRAIN_DELAY_SECONDS),
    Departure("drain_log_outage", False, MAX_DRAIN_DELAY_SECONDS, log_down=True),
    Departure("list", True, MAX_LIST_DELAY_SECONDS),
    Departure(
        "list_lagging", True, MAX_LIST_DELAY_SECONDS, list_lag=HOST_LIST_LAG_SECONDS
    ),
    Departure("list_log_outage", True, MAX_LIST_DELAY_SECONDS, log_down=True),
)


async def _announce_departure(site, departure, host):
    """Announce that ``host`` leaves; return the time from which its delay counts."""
    if departure.by_host_list:
        await site.ask(
            site.host_list_address, "POST", "/knobs", {"lag": departure.list_lag}
        )
        if departure.log_down:
            await site.set_log_knobs(down=True)
        await site.put_hosts([attrs.evolve(host, presence=Presence.LEAVING)])
        return anyio.current_time() + departure.list_lag
    versions = await _read_host_versions(site)
    body = records.HostDraining(host.name, "bench", versions[host.name])
    result = await _submit_change(site, body)
    if not result.accepted:
        raise RuntimeError(f"the drain was refused: {result.reason}")
    if departure.log_down:
        await site.set_log_knobs(down=True)
    return anyio.current_time()


async def _measure_departure(site, departure, host):
    """Return the seconds from the announcement to the start of the last request."""
    announced_at = await _announce_departure(site, departure, host)
    await anyio.sleep(departure.list_lag + OBSERVATION_SECONDS)
    await site.set_log_knobs(down=False)
    lines = (await _read_ledger_lines(site))[host.name]
    last_start = max((line["started_at"] for line in lines), default=announced_at)
    return max(0.0, last_start - announced_at)


async def run_leaving(site, load):
    """Let one executor leave in each way; return whether each criterion is met."""
    criteria_met = []
    for departure, host in zip(DEPARTURES, site.hosts, strict=False):
        last_delay = await _measure_departure(site, departure, host)
        print(f"leaving.{departure.name}.last_request_after_seconds={last_delay:.3f}")
        criteria_met.append(
            print_criterion(
                f"leaving.{departure.name}", last_delay <= departure.max_delay
            )
        )
    load.close()
    await anyio.sleep(SETTLE_SECONDS)
    interrupted = _report_load("leaving", load)
    criteria_met.append(print_criterion("leaving.none_cut_off", not interrupted))
    return criteria_met


async def _read_wave_report(site):
    for daemon in site.daemons.values():
        client = OperatorsClient.from_config(daemon.operators)
        try:
            reports = await client.waves()
            return next(report for report in reports if report.pool == "previews")
        except DaemonUnreachableError:
            continue
        finally:
            await client.close()
    raise RuntimeError("no daemon answered the request for the wave reports")


async def _wait_for_wave(site, condition):
    with anyio.fail_after(WAVE_TIMEOUT_SECONDS):
        while True:
            report = await _read_wave_report(site)
            if condition(report):
                return report
            await anyio.sleep(POLL_INTERVAL_SECONDS)


async def _find_pool_controller(site):
    """Return the name of the daemon whose log shows that it controls the pool."""
    for daemon in site.daemons.values():
        text = (site.path / f"{daemon.name}.log").read_text()
        if "placement starts" in text and "pool=previews" in text:
            return daemon.name
    raise RuntimeError("no control daemon has logged that it controls pool previews")


async def _inject_faults(site):
    """Kill the controller in the first step; stop the log service in a later one."""
    await _wait_for_wave(site, lambda report: report.in_course)
    controller = await _find_pool_controller(site)
    await site.kill(controller)
    killed_at = anyio.current_time()
    await _wait_for_wave(site, lambda report: len(report.done) >= 2)
    waited_seconds = anyio.current_time() - killed_at
    print(f"wave.second_host_done_after_kill_seconds={waited_seconds:.1f}")
    await _wait_for_wave(site, lambda report: report.in_course)
    await site.set_log_knobs(down=True)
    await anyio.sleep(LOG_OUTAGE_SECONDS)
    await site.set_log_knobs(down=False)
    await site.start_daemon(controller)


def _find_violations(reboots, ledger_lines, audit):
    """Return a description of each rule that a reboot broke.

    A host is rebooted once, only with the fencing token of an accepted
    ``host-rebooting`` record, and never while it runs a request.
    """
    violations = []
    recorded_tokens = {
        str(line.offset)
        for line in audit
        if line.kind == "host-rebooting" and line.accepted
    }
    rebooted = [reboot["host"] for reboot in reboots]
    violations += [
        f"{name} rebooted twice" for name in set(rebooted) if rebooted.count(name) > 1
    ]
    for reboot in reboots:
        if reboot["token"] not in recorded_tokens:
            violations.append(f"the reboot of {reboot['host']} was not recorded")
        for line in ledger_lines.get(reboot["host"], ()):
            end = line["finished_at"] or line["started_at"]
            reboot_start = reboot["started_at"]
            if line["started_at"] < reboot["finished_at"] and end > reboot_start:
                violations.append(f"{reboot['host']} rebooted under a request")
    return violations


async def run_wave(site, load):
    """Maintain the pool while its controller is killed and the log service fails.

    Returns whether each criterion is met.
    """
    await site.set_pools_knobs(reboot_time=1.0)
    report = await _wait_for_wave(
        site, lambda report: len(report.hosts) == EXECUTORS + WORKERS
    )
    names = tuple(report.hosts)
    started_at = anyio.current_time()
    body = records.WaveStarted("previews", names, report.stops)
    result = await _submit_change(site, body)
    if not result.accepted:
        raise RuntimeError(f"the wave was refused: {result.reason}")
    await _inject_faults(site)
    await _wait_for_wave(
        site, lambda report: not report.wave or report.phase == "halted"
    )
    seconds = anyio.current_time() - started_at
    load.close()
    await anyio.sleep(SETTLE_SECONDS)
    interrupted = _report_load("wave", load)
    client = OperatorsClient.from_config(site.entries[0].operators)
    audit = await client.audit()
    await client.close()
    reboots = await site.ask(site.pools_address, "GET", "/history")
    violations = _find_violations(reboots, await _read_ledger_lines(site), audit)
    for violation in violations[:10]:
        print(f"# {violation}")
    finished = any(line.kind == "wave-finished" and line.accepted for line in audit)
    print(f"wave.seconds={seconds:.1f}")
    print(f"wave.reboots={len(reboots)}")
    return [
        print_criterion("wave.finished", finished),
        print_criterion("wave.every_host_rebooted_once", len(reboots) == len(names)),
        print_criterion("wave.no_promise_broken", not violations),
        print_criterion("wave.none_cut_off", not interrupted),
        print_criterion("wave.none_unknown", not load.count("unknown")),
    ]


PARTS = {"rolling": run_rolling, "leaving": run_leaving, "wave": run_wave}


async def _run(part, seed):
    random.seed(seed)
    workers = {"preview-w": WORKERS} if part == "wave" else {}
    config = SiteConfig(
        entries=ENTRIES,
        controls=2,
        executors={"preview": EXECUTORS},
        workers=workers,
        overrides={"callers": {"notice": 1.0, "drain_timeout": 20.0}},
    )
    site = LocalSite.from_config(config)
    try:
        await site.start()
        await _publish_rules(site)
        async with anyio.create_task_group() as task_group:
            load = SiteLoad(site, "preview", CALLERS, RUN_TIMES_SECONDS, seed)
            load.start(task_group)
            await anyio.sleep(SETTLE_SECONDS)
            return await PARTS[part](site, load)
    finally:
        await site.close()


def main(*, part: str = "rolling", seed: int = 7):
    """Run one part of the bench; the exit code is 0 when all its criteria are met.

    :param part: rolling, leaving or wave
    :param seed: random seed of the callers
    """
    print(f"seed={seed}")
    criteria_met = anyio.run(_run, part, seed)
    sys.exit(0 if all(criteria_met) else 1)


if __name__ == "__main__":
    defopt.run(main)
