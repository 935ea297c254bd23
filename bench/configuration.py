"""Measure how long until a published configuration is in force at every daemon.

In each round one entry is cut off from the log, one is frozen and resumed, and one
has just been replaced. Further checks: two operators publish concurrently, the log
holds unreadable records, and during a log outage rules are published and an entry
starts cold. Delays are measured from just before the publish. Run with
``python -m bench.configuration [SEED]``.
"""

import itertools
import random
import statistics
import sys

import anyio

from azurelanding import records
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.operators.client import DaemonUnreachableError, OperatorsClient
from azurelanding.standins.site import LocalSite, SiteConfig
from azurelanding.utils import Notifier

SEED = 1
ROUNDS = 8
ENTRIES = 5
CONTROLS = 2
POLL_INTERVAL_SECONDS = 0.02
STATUS_TIMEOUT_SECONDS = 0.5
FREEZE_RANGE_SECONDS = (0.5, 2.5)
ROUND_TIMEOUT_SECONDS = 12.0
BENCH_TIMEOUT_SECONDS = 85.0
MAX_MEDIAN_SECONDS = 2.0
MAX_DELAY_SECONDS = 6.0
CUT_OFF, FROZEN, REPLACED = "entry-1", "entry-2", "entry-3"
OVERSIZED_BYTES = 3 << 19
MAX_PAYLOAD_BYTES = 2 << 20
NEWER_FORMAT_RECORD = (
    '{"v":99,"kind":"x","id":"n","author":"a","asked_by":"b","made_at":0,"body":{}}'
)


class StatusMonitor:
    """Polls the daemons and records which version of the rules they have in force.

    ``history`` holds, by daemon, pairs of a version and the time at which the daemon
    first reported it in force; ``latest`` holds the last status reports.
    """

    def __init__(self, site):
        self.site = site
        self.history = {name: [] for name in site.daemons}
        self.latest = {}
        self.changes = Notifier()

    async def poll(self, name):
        """Poll the status of the daemon ``name`` until cancelled."""
        address = self.site.daemons[name].operators
        client = OperatorsClient(HttpClient(address, STATUS_TIMEOUT_SECONDS))
        while True:
            try:
                report = await client.status()
                self.record_report(name, report)
            except DaemonUnreachableError:
                pass
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    def record_report(self, name, report):
        """Record the version that the status ``report`` shows in force."""
        self.latest[name] = report
        self.changes.notify()
        versions = self.history[name]
        if report.in_force and (
            not versions or versions[-1][0] != report.rules_version
        ):
            versions.append((report.rules_version, anyio.current_time()))

    def in_force_times(self, version):
        """Return when ``version`` or a later one came into force, by daemon."""
        return {
            name: next(at for seen, at in versions if seen >= version)
            for name, versions in self.history.items()
            if any(seen >= version for seen, _ in versions)
        }

    def count_reverts(self):
        """Return how often a daemon reported a lower version after a higher one."""
        revert_count = 0
        for versions in self.history.values():
            seen = [version for version, _ in versions]
            revert_count += sum(
                late < early for early, late in itertools.pairwise(seen)
            )
        return revert_count

    async def wait_for_version(self, version):
        """Wait until ``version`` is in force at all daemons; return when, by daemon."""
        with anyio.fail_after(ROUND_TIMEOUT_SECONDS):
            await self.changes.wait_until(
                lambda: len(self.in_force_times(version)) == len(self.history)
            )
        return self.in_force_times(version)


def make_rules(number):
    """Return rules whose deadline depends on ``number``, so that versions differ."""
    return (
        "pool previews hosts=preview-* spare=yes  # Marisol\n"
        f"service preview pool=previews deadline={number + 1}s  # Marisol\n"
    )


async def publish(site, text, base, asked_by="Marisol", daemon="control-1"):
    """Publish the rules ``text`` and return the reply of the control daemon."""
    client = OperatorsClient.from_config(site.daemons[daemon].operators)
    try:
        return await client.change(records.RulesPublished(text, base), asked_by)
    finally:
        await client.close()


async def freeze_and_resume(site, name, seconds):
    """Freeze the daemon ``name`` and resume it after ``seconds``."""
    site.freeze(name)
    await anyio.sleep(seconds)
    site.resume(name)


async def run_round(site, monitor, number, base, rng):
    """Publish once under the three faults; return the version and delay by daemon."""
    site.paths[CUT_OFF].cut()
    await site.kill(REPLACED)
    await site.start_daemon(REPLACED)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(
            freeze_and_resume, site, FROZEN, rng.uniform(*FREEZE_RANGE_SECONDS)
        )
        await anyio.sleep(rng.uniform(0.0, 0.4))
        started_at = anyio.current_time()
        result = await publish(site, make_rules(number), base)
        in_force_times = await monitor.wait_for_version(result.offset)
    site.paths[CUT_OFF].restore()
    return result.offset, {name: at - started_at for name, at in in_force_times.items()}


async def publish_concurrently(site, base):
    """Let two operators publish on top of the version ``base`` concurrently.

    Return the accepted version, and whether the other change was refused with the
    name of the winner.
    """
    results = []

    async def publish_one(asked_by, daemon, number):
        text = make_rules(number)
        results.append(await publish(site, text, base, asked_by, daemon))

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(publish_one, "Rosa", "control-1", 50)
        task_group.start_soon(publish_one, "Ana", "control-2", 51)
    won = [result for result in results if result.accepted]
    lost = [result for result in results if not result.accepted]
    names_winner = len(won) == len(lost) == 1 and lost[0].winner in ("Rosa", "Ana")
    return won[0].offset, names_winner


async def append_unreadable(site, monitor):
    """Append three unreadable records; return whether all daemons report them."""
    await site.set_log_knobs(max_payload=MAX_PAYLOAD_BYTES)
    for text in ("{", NEWER_FORMAT_RECORD, "x" * OVERSIZED_BYTES):
        client = HttpClient(site.log_address, 5.0)
        await client.request("POST", "/streams/fleet", text.encode())
        await client.close()
    with anyio.move_on_after(ROUND_TIMEOUT_SECONDS):
        await monitor.changes.wait_until(
            lambda: all(len(r.quarantined) == 3 for r in monitor.latest.values())
        )
        return True
    return False


async def publish_in_outage(site, monitor, base):
    """Publish while the log is down, which must be refused.

    Return the seconds until the reply, and whether the change was refused for
    certain and every daemon kept the version ``base``.
    """
    await site.set_log_knobs(down=True)
    started_at = anyio.current_time()
    result = await publish(site, make_rules(60), base)
    refusal_seconds = anyio.current_time() - started_at
    is_unchanged = not result.accepted and not result.undecided
    is_unchanged = is_unchanged and all(
        r.rules_version == base for r in monitor.latest.values()
    )
    return refusal_seconds, is_unchanged


async def cold_start(site, monitor, base):
    """Replace an entry while the log is down.

    Return the seconds until the new one has rules in force, and whether they are
    the version ``base``.
    """
    await site.kill(REPLACED)
    monitor.latest.pop(REPLACED, None)
    started_at = anyio.current_time()
    await site.start_daemon(REPLACED)
    with anyio.fail_after(ROUND_TIMEOUT_SECONDS):
        await monitor.changes.wait_until(
            lambda: REPLACED in monitor.latest and monitor.latest[REPLACED].in_force
        )
    has_base = monitor.latest[REPLACED].rules_version == base
    return anyio.current_time() - started_at, has_base


def print_criterion(name, value, passed):
    """Print one figure and whether it meets its criterion; return ``passed``."""
    text = f"{value:.3f}" if isinstance(value, float) else value
    print(f"{name}={text} {'pass' if passed else 'FAIL'}", flush=True)
    return passed


async def measure(site, monitor, rng):
    """Run the rounds and the further checks; return whether all passed."""
    result = await publish(site, make_rules(0), 0)
    await monitor.wait_for_version(result.offset)
    base, delays, delays_by_daemon = result.offset, [], {}
    for number in range(1, ROUNDS + 1):
        base, round_delays = await run_round(site, monitor, number, base, rng)
        delays += round_delays.values()
        for name, delay in round_delays.items():
            delays_by_daemon.setdefault(name, []).append(delay)
    for name, label in (
        (CUT_OFF, "cut_off"),
        (FROZEN, "frozen"),
        (REPLACED, "replaced"),
    ):
        print(f"{label}_median_seconds={statistics.median(delays_by_daemon[name]):.3f}")
        print(f"{label}_max_seconds={max(delays_by_daemon[name]):.3f}")
    median, max_delay = statistics.median(delays), max(delays)
    passed = [
        print_criterion(
            "in_force_median_seconds", median, median <= MAX_MEDIAN_SECONDS
        ),
        print_criterion(
            "in_force_max_seconds", max_delay, max_delay <= MAX_DELAY_SECONDS
        ),
    ]
    base, names_winner = await publish_concurrently(site, base)
    passed.append(
        print_criterion("loser_of_race_told_by_whom", names_winner, names_winner)
    )
    await monitor.wait_for_version(base)
    all_report = await append_unreadable(site, monitor)
    passed.append(
        print_criterion("unreadable_named_everywhere", all_report, all_report)
    )
    result = await publish(site, make_rules(52), base)
    passed.append(
        print_criterion("publish_after_unreadable", result.offset, result.accepted)
    )
    base = result.offset
    await monitor.wait_for_version(base)
    seconds, is_unchanged = await publish_in_outage(site, monitor, base)
    passed.append(
        print_criterion("outage_refused_after_seconds", seconds, is_unchanged)
    )
    seconds, has_base = await cold_start(site, monitor, base)
    passed.append(print_criterion("cold_start_in_outage_seconds", seconds, has_base))
    await site.set_log_knobs(down=False)
    result = await publish_until_up(site, base)
    passed.append(
        print_criterion("publish_after_outage", result.offset, result.accepted)
    )
    await monitor.wait_for_version(result.offset)
    reverts = monitor.count_reverts()
    passed.append(print_criterion("reverts", reverts, reverts == 0))
    return all(passed)


async def publish_until_up(site, base):
    """Publish until the control daemon no longer reports the log as unreachable."""
    while True:
        result = await publish(site, make_rules(61), base)
        if result.accepted or "can't be reached" not in result.reason:
            return result
        await anyio.sleep(POLL_INTERVAL_SECONDS)


async def run_bench(seed):
    """Run the bench and return its exit code."""
    options = {"entries": ENTRIES, "controls": CONTROLS, "paths": (CUT_OFF,)}
    site = LocalSite.from_config(SiteConfig(**options))
    print(f"seed={seed} daemons={ENTRIES + CONTROLS} rounds={ROUNDS}")
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as task_group:
                for path in site.paths.values():
                    await task_group.start(path.run)
                await site.start()
                monitor = StatusMonitor(site)
                for name in site.daemons:
                    task_group.start_soon(monitor.poll, name)
                passed = await measure(site, monitor, random.Random(seed))
                task_group.cancel_scope.cancel()
    except HttpClientError as error:
        print(f"error={error}")
        return 1
    finally:
        await site.close()
    print(f"all_bars={'pass' if passed else 'FAIL'}")
    return 0 if passed else 1


if __name__ == "__main__":
    SEED_GIVEN = int(sys.argv[1]) if len(sys.argv) > 1 else SEED
    sys.exit(anyio.run(run_bench, SEED_GIVEN))
