"""Measure how targets leave, how entries stop, and waves on real processes.

Every daemon is a process of its own and callers send throughout. ``rolling``
replaces all six entries one after the other. ``leaving`` drains executors and lets
the host list say that they leave, also while the log is down and while the list
lags. ``wave`` maintains a pool while its controller is killed and the log has an
outage. Prints ``name=value`` lines, the seed, and each bar's pass or fail.

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
from azurelanding.standins.site import Site, SiteConfig
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
SLOTS = 8
CALLERS = 24
RUN_TIMES_SECONDS = (0.02, 0.05, 0.1, 0.4)
WARM_UP_SECONDS = 1.0
WATCH_SECONDS = 5.0
DRAIN_LIMIT_SECONDS = 1.0
LIST_LIMIT_SECONDS = 3.0
LIST_LAG_SECONDS = 2.0
OUTAGE_SECONDS = 4.0
WAVE_LIMIT_SECONDS = 75.0
POLL_SECONDS = 0.1
LOG_TAIL_CHARACTERS = 4000


def judge(name, passed):
    """Print and return whether a bar holds."""
    print(f"bar.{name}={'pass' if passed else 'FAIL'}")
    return passed


async def _change(site, body):
    client = OperatorsClient.from_config(site.operators_address)
    try:
        return await client.change(body, "bench")
    finally:
        await client.close()


async def _host_versions(site):
    client = OperatorsClient.from_config(site.operators_address)
    try:
        return {host.name: host.version for host in await client.hosts()}
    finally:
        await client.close()


async def _publish(site):
    await _change(site, records.RulesPublished(RULES, 0))
    for daemon in site.entries:
        await site.wait_for_status(daemon, lambda report: report.slots >= EXECUTORS)


async def _lines_by_host(site):
    ledgers = await site.ledgers()
    return {name: ledger["lines"] for name, ledger in ledgers.items()}


def _report_load(part, load):
    cut = load.interrupted_requests()
    print(f"{part}.requests={len(load.results)}")
    print(f"{part}.cut_off={len(cut)}")
    for outcome in ("ran", "not-run", "unknown"):
        print(f"{part}.told_{outcome.replace('-', '_')}={load.count(outcome)}")
    others = [line for line in load.results if line.outcome != "ran"]
    for line in others[:5]:
        print(f"# told {line.outcome} at {line.entry}: {line.detail}")
    return cut


def _print_log(site, daemon):
    """Print the end of the log of a daemon that did not stop cleanly."""
    text = (site.path / f"{daemon.name}.log").read_text()
    for line in text[-LOG_TAIL_CHARACTERS:].splitlines():
        print(f"# {daemon.name}: {line}")


async def run_rolling(site, load):
    """Replace every entry in turn; return whether the bars hold."""
    codes, times = [], []
    for daemon in site.entries:
        started = anyio.current_time()
        codes.append(await site.stop(daemon.name))
        if codes[-1]:
            _print_log(site, daemon)
        times.append(anyio.current_time() - started)
        await site.start_daemon(daemon.name)
        await site.wait_for_status(daemon, lambda report: report.slots >= EXECUTORS)
    load.close()
    await anyio.sleep(WARM_UP_SECONDS)
    cut = _report_load("rolling", load)
    ledgers = await site.ledgers()
    peak = max(ledger["peak"] for ledger in ledgers.values())
    print(f"rolling.longest_stop_seconds={max(times):.2f}")
    print(f"rolling.peak_on_one_executor={peak}")
    return [
        judge("rolling.none_cut_off", not cut),
        judge("rolling.none_unknown", not load.count("unknown")),
        judge("rolling.all_stopped_cleanly", codes == [0] * ENTRIES),
        judge("rolling.never_more_than_the_slots", peak <= SLOTS),
    ]


@attrs.frozen
class Leaving:
    """One way for an executor to leave; ``limit`` is in seconds from its word."""

    name: str
    by_list: bool
    limit: float
    log_down: bool = False
    list_lag: float = 0.0


LEAVINGS = (
    Leaving("drain", False, DRAIN_LIMIT_SECONDS),
    Leaving("drain_log_outage", False, DRAIN_LIMIT_SECONDS, log_down=True),
    Leaving("list", True, LIST_LIMIT_SECONDS),
    Leaving("list_lagging", True, LIST_LIMIT_SECONDS, list_lag=LIST_LAG_SECONDS),
    Leaving("list_log_outage", True, LIST_LIMIT_SECONDS, log_down=True),
)


async def _say_leaving(site, way, host):
    """Let ``host`` leave and return the time at which the word was given."""
    if way.by_list:
        await site.ask(site.host_list_address, "POST", "/knobs", {"lag": way.list_lag})
        if way.log_down:
            await site.set_log_knobs(down=True)
        await site.put_hosts([attrs.evolve(host, presence=Presence.LEAVING)])
        return anyio.current_time() + way.list_lag
    versions = await _host_versions(site)
    body = records.HostDraining(host.name, "bench", versions[host.name])
    decided = await _change(site, body)
    if not decided.accepted:
        raise RuntimeError(f"the drain was refused: {decided.reason}")
    if way.log_down:
        await site.set_log_knobs(down=True)
    return anyio.current_time()


async def _leave_once(site, way, host):
    """Return the seconds until the last request that began after the word."""
    told_at = await _say_leaving(site, way, host)
    await anyio.sleep(way.list_lag + WATCH_SECONDS)
    await site.set_log_knobs(down=False)
    lines = (await _lines_by_host(site))[host.name]
    last = max((line["started_at"] for line in lines), default=told_at)
    return max(0.0, last - told_at)


async def run_leaving(site, load):
    """Let an executor leave in each way; return whether the bars hold."""
    bars = []
    for way, host in zip(LEAVINGS, site.hosts, strict=False):
        last = await _leave_once(site, way, host)
        print(f"leaving.{way.name}.last_request_after_seconds={last:.3f}")
        bars.append(judge(f"leaving.{way.name}", last <= way.limit))
    load.close()
    await anyio.sleep(WARM_UP_SECONDS)
    cut = _report_load("leaving", load)
    bars.append(judge("leaving.none_cut_off", not cut))
    return bars


async def _wave_report(site):
    for daemon in site.daemons.values():
        client = OperatorsClient.from_config(daemon.operators)
        try:
            reports = await client.waves()
            return next(report for report in reports if report.pool == "previews")
        except DaemonUnreachableError:
            continue
        finally:
            await client.close()
    raise RuntimeError("no daemon answers")


async def _wait_for_wave(site, condition):
    with anyio.fail_after(WAVE_LIMIT_SECONDS):
        while True:
            report = await _wave_report(site)
            if condition(report):
                return report
            await anyio.sleep(POLL_SECONDS)


async def _holder(site):
    """Return the name of the control daemon that holds the pool's lease."""
    for daemon in site.daemons.values():
        text = (site.path / f"{daemon.name}.log").read_text()
        if "placement starts" in text and "pool=previews" in text:
            return daemon.name
    raise RuntimeError("no control daemon holds the pool")


async def _disturb(site):
    """Kill the controller in the first step and stop the log in a later one."""
    await _wait_for_wave(site, lambda report: report.in_course)
    holder = await _holder(site)
    await site.kill(holder)
    killed_at = anyio.current_time()
    await _wait_for_wave(site, lambda report: len(report.done) >= 2)
    waited = anyio.current_time() - killed_at
    print(f"wave.second_host_done_after_kill_seconds={waited:.1f}")
    await _wait_for_wave(site, lambda report: report.in_course)
    await site.set_log_knobs(down=True)
    await anyio.sleep(OUTAGE_SECONDS)
    await site.set_log_knobs(down=False)
    await site.start_daemon(holder)


def _find_faults(reboots, lines_by_host, audit):
    """Return, in words, what the wave did against its promises."""
    faults = []
    recorded = {
        str(line.offset)
        for line in audit
        if line.kind == "host-rebooting" and line.accepted
    }
    rebooted = [reboot["host"] for reboot in reboots]
    faults += [f"{n} rebooted twice" for n in set(rebooted) if rebooted.count(n) > 1]
    for reboot in reboots:
        if reboot["token"] not in recorded:
            faults.append(f"the reboot of {reboot['host']} was not recorded")
        for line in lines_by_host.get(reboot["host"], ()):
            end = line["finished_at"] or line["started_at"]
            began = reboot["started_at"]
            if line["started_at"] < reboot["finished_at"] and end > began:
                faults.append(f"{reboot['host']} rebooted under a request")
    return faults


async def run_wave(site, load):
    """Maintain the pool through a killed controller and an outage."""
    await site.set_pools_knobs(reboot_time=1.0)
    report = await _wait_for_wave(site, lambda r: len(r.hosts) == EXECUTORS + WORKERS)
    names = tuple(report.hosts)
    started = anyio.current_time()
    body = records.WaveStarted("previews", names, report.stops)
    decided = await _change(site, body)
    if not decided.accepted:
        raise RuntimeError(f"the wave was refused: {decided.reason}")
    await _disturb(site)
    await _wait_for_wave(site, lambda r: not r.wave or r.phase == "halted")
    seconds = anyio.current_time() - started
    load.close()
    await anyio.sleep(WARM_UP_SECONDS)
    cut = _report_load("wave", load)
    client = OperatorsClient.from_config(site.entries[0].operators)
    audit = await client.audit()
    await client.close()
    reboots = await site.ask(site.pools_address, "GET", "/history")
    faults = _find_faults(reboots, await _lines_by_host(site), audit)
    for fault in faults[:10]:
        print(f"# {fault}")
    finished = any(line.kind == "wave-finished" and line.accepted for line in audit)
    print(f"wave.seconds={seconds:.1f}")
    print(f"wave.reboots={len(reboots)}")
    return [
        judge("wave.finished", finished),
        judge("wave.every_host_rebooted_once", len(reboots) == len(names)),
        judge("wave.no_promise_broken", not faults),
        judge("wave.none_cut_off", not cut),
        judge("wave.none_unknown", not load.count("unknown")),
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
    site = Site.from_config(config)
    try:
        await site.start()
        await _publish(site)
        async with anyio.create_task_group() as task_group:
            load = SiteLoad(site, "preview", CALLERS, RUN_TIMES_SECONDS, seed)
            load.start(task_group)
            await anyio.sleep(WARM_UP_SECONDS)
            return await PARTS[part](site, load)
    finally:
        await site.close()


def main(*, part: str = "rolling", seed: int = 7):
    """Run one part.

    :param part: rolling, leaving or wave
    :param seed: seed of the callers
    """
    print(f"seed={seed}")
    bars = anyio.run(_run, part, seed)
    sys.exit(0 if all(bars) else 1)


if __name__ == "__main__":
    defopt.run(main)
