"""Measure how soon a published configuration is in force at every daemon.

In each round one entry is cut off from the log, one is frozen and resumed, and one
was just replaced. Afterwards come two operators who race, records that nobody can
read, a publish in an outage, and a cold start in it. Times count from the moment
before the publish. ``python -m bench.configuration [SEED]``
"""

import itertools
import random
import statistics
import sys

import anyio

from azurelanding import records
from azurelanding.http_client import HttpClient, HttpClientError
from azurelanding.operators.client import DaemonUnreachableError, OperatorsClient
from azurelanding.standins.site import Site, SiteConfig
from azurelanding.utils import Notifier

SEED = 1
ROUNDS = 8
ENTRIES = 5
CONTROLS = 2
POLL_SECONDS = 0.02
STATUS_TIMEOUT_SECONDS = 0.5
FREEZE_SECONDS = (0.5, 2.5)
ROUND_SECONDS = 12.0
BENCH_TIMEOUT_SECONDS = 85.0
MEDIAN_BAR_SECONDS = 2.0
WORST_BAR_SECONDS = 6.0
CUT, FROZEN, REPLACED = "entry-1", "entry-2", "entry-3"
OVERSIZED_BYTES = 3 << 19
MAX_PAYLOAD_BYTES = 2 << 20
NEWER = '{"v":99,"kind":"x","id":"n","author":"a","asked_by":"b","made_at":0,"body":{}}'


class Watch:
    """What each daemon has had in force, and when a version came into force."""

    def __init__(self, site):
        self.site = site
        self.history = {name: [] for name in site.daemons}
        self.latest = {}
        self.changes = Notifier()

    async def follow(self, name):
        """Poll the daemon ``name`` until cancelled."""
        address = self.site.daemons[name].operators
        client = OperatorsClient(HttpClient(address, STATUS_TIMEOUT_SECONDS))
        while True:
            try:
                report = await client.status()
                self.note(name, report)
            except DaemonUnreachableError:
                pass
            await anyio.sleep(POLL_SECONDS)

    def note(self, name, report):
        """Keep the version that ``report`` shows in force."""
        self.latest[name] = report
        self.changes.notify()
        versions = self.history[name]
        if report.in_force and (
            not versions or versions[-1][0] != report.rules_version
        ):
            versions.append((report.rules_version, anyio.current_time()))

    def times(self, version):
        """Return, by daemon, when ``version`` or a later one came into force."""
        return {
            name: next(at for seen, at in versions if seen >= version)
            for name, versions in self.history.items()
            if any(seen >= version for seen, _ in versions)
        }

    def count_reverts(self):
        """Return how often a daemon showed a lower version after a higher one."""
        pairs = 0
        for versions in self.history.values():
            seen = [version for version, _ in versions]
            pairs += sum(late < early for early, late in itertools.pairwise(seen))
        return pairs

    async def everywhere(self, version):
        """Return the times at which ``version`` was in force, for each daemon."""
        with anyio.fail_after(ROUND_SECONDS):
            await self.changes.wait_until(
                lambda: len(self.times(version)) == len(self.history)
            )
        return self.times(version)


def rules_text(number):
    """Return the rules of round ``number``."""
    return (
        "pool previews hosts=preview-* spare=yes  # Marisol\n"
        f"service preview pool=previews deadline={number + 1}s  # Marisol\n"
    )


async def publish(site, text, base, asked_by="Marisol", daemon="control-1"):
    """Publish ``text`` and return the ``ChangeDecided``."""
    client = OperatorsClient.from_config(site.daemons[daemon].operators)
    try:
        return await client.change(records.RulesPublished(text, base), asked_by)
    finally:
        await client.close()


async def resume_later(site, name, seconds):
    """Freeze the daemon ``name`` for ``seconds``."""
    site.freeze(name)
    await anyio.sleep(seconds)
    site.resume(name)


async def run_round(site, watch, number, base, pick):
    """Publish once under the three faults; return the version and the delays."""
    site.paths[CUT].cut()
    await site.kill(REPLACED)
    await site.start_daemon(REPLACED)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(resume_later, site, FROZEN, pick.uniform(*FREEZE_SECONDS))
        await anyio.sleep(pick.uniform(0.0, 0.4))
        started = anyio.current_time()
        decided = await publish(site, rules_text(number), base)
        times = await watch.everywhere(decided.offset)
    site.paths[CUT].restore()
    return decided.offset, {name: at - started for name, at in times.items()}


async def race(site, base):
    """Let two operators publish on one version; return whether one was told."""
    decisions = []

    async def one(asked_by, daemon, number):
        text = rules_text(number)
        decisions.append(await publish(site, text, base, asked_by, daemon))

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(one, "Rosa", "control-1", 50)
        task_group.start_soon(one, "Ana", "control-2", 51)
    won = [decided for decided in decisions if decided.accepted]
    lost = [decided for decided in decisions if not decided.accepted]
    told = len(won) == len(lost) == 1 and lost[0].winner in ("Rosa", "Ana")
    return won[0].offset, told


async def put_unreadable(site, watch):
    """Append records that nobody reads; return whether all daemons name them."""
    await site.set_log_knobs(max_payload=MAX_PAYLOAD_BYTES)
    for text in ("{", NEWER, "x" * OVERSIZED_BYTES):
        client = HttpClient(site.log_address, 5.0)
        await client.request("POST", "/streams/fleet", text.encode())
        await client.close()
    with anyio.move_on_after(ROUND_SECONDS):
        await watch.changes.wait_until(
            lambda: all(len(r.quarantined) == 3 for r in watch.latest.values())
        )
        return True
    return False


async def publish_in_outage(site, watch, base):
    """Return the seconds until the refusal and whether nothing was changed."""
    await site.set_log_knobs(down=True)
    started = anyio.current_time()
    decided = await publish(site, rules_text(60), base)
    refused_after = anyio.current_time() - started
    nothing = not decided.accepted and not decided.undecided
    nothing = nothing and all(r.rules_version == base for r in watch.latest.values())
    return refused_after, nothing


async def cold_start(site, watch, base):
    """Return the seconds until a replaced entry has ``base`` in force, no log up."""
    await site.kill(REPLACED)
    watch.latest.pop(REPLACED, None)
    started = anyio.current_time()
    await site.start_daemon(REPLACED)
    with anyio.fail_after(ROUND_SECONDS):
        await watch.changes.wait_until(
            lambda: REPLACED in watch.latest and watch.latest[REPLACED].in_force
        )
    same = watch.latest[REPLACED].rules_version == base
    return anyio.current_time() - started, same


def check(name, value, passed):
    """Print one figure with its verdict and return the verdict."""
    text = f"{value:.3f}" if isinstance(value, float) else value
    print(f"{name}={text} {'pass' if passed else 'FAIL'}", flush=True)
    return passed


async def measure(site, watch, pick):
    """Run all parts; return whether every bar is met."""
    decided = await publish(site, rules_text(0), 0)
    await watch.everywhere(decided.offset)
    base, delays, by_daemon = decided.offset, [], {}
    for number in range(1, ROUNDS + 1):
        base, found = await run_round(site, watch, number, base, pick)
        delays += found.values()
        for name, delay in found.items():
            by_daemon.setdefault(name, []).append(delay)
    for name, label in ((CUT, "cut_off"), (FROZEN, "frozen"), (REPLACED, "replaced")):
        print(f"{label}_median_seconds={statistics.median(by_daemon[name]):.3f}")
        print(f"{label}_max_seconds={max(by_daemon[name]):.3f}")
    median, worst = statistics.median(delays), max(delays)
    passed = [
        check("in_force_median_seconds", median, median <= MEDIAN_BAR_SECONDS),
        check("in_force_max_seconds", worst, worst <= WORST_BAR_SECONDS),
    ]
    base, told = await race(site, base)
    passed.append(check("loser_of_race_told_by_whom", told, told))
    await watch.everywhere(base)
    named = await put_unreadable(site, watch)
    passed.append(check("unreadable_named_everywhere", named, named))
    decided = await publish(site, rules_text(52), base)
    passed.append(check("publish_after_unreadable", decided.offset, decided.accepted))
    base = decided.offset
    await watch.everywhere(base)
    seconds, nothing = await publish_in_outage(site, watch, base)
    passed.append(check("outage_refused_after_seconds", seconds, nothing))
    seconds, same = await cold_start(site, watch, base)
    passed.append(check("cold_start_in_outage_seconds", seconds, same))
    await site.set_log_knobs(down=False)
    decided = await publish_until_up(site, base)
    passed.append(check("publish_after_outage", decided.offset, decided.accepted))
    await watch.everywhere(decided.offset)
    reverts = watch.count_reverts()
    passed.append(check("reverts", reverts, reverts == 0))
    return all(passed)


async def publish_until_up(site, base):
    """Publish again until the control daemon has found the log up."""
    while True:
        decided = await publish(site, rules_text(61), base)
        if decided.accepted or "can't be reached" not in decided.reason:
            return decided
        await anyio.sleep(POLL_SECONDS)


async def run_bench(seed):
    """Run the bench and return its exit code."""
    names = {"entries": ENTRIES, "controls": CONTROLS, "paths": (CUT,)}
    site = Site.from_config(SiteConfig(**names))
    print(f"seed={seed} daemons={ENTRIES + CONTROLS} rounds={ROUNDS}")
    try:
        with anyio.fail_after(BENCH_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as task_group:
                for path in site.paths.values():
                    await task_group.start(path.run)
                await site.start()
                watch = Watch(site)
                for name in site.daemons:
                    task_group.start_soon(watch.follow, name)
                passed = await measure(site, watch, random.Random(seed))
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
