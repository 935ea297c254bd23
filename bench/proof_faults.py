"""The faults of the proof run, each a coroutine that causes one and ends it."""

import anyio
import attrs

from azurelanding import records
from azurelanding.fleet_histories import Downtime, Drain, Publish
from azurelanding.operators.client import (
    DaemonRefusedError,
    DaemonUnreachableError,
    OperatorsClient,
)

KILLED_SECONDS = 0.5
FREEZE_SECONDS = (0.5, 2.5)
LONG_FREEZE_SECONDS = 8.0
OUTAGE_SECONDS = (1.0, 3.0)
SLOW_DELAY_SECONDS = 0.4
SLOW_SECONDS = 2.0
CUTTING_SECONDS = 1.5
FLOOD_SECONDS = 2.0
DRAIN_SECONDS = 4.0
CUT_KNOBS = {
    "request_cut_share": 0.03,
    "answer_cut_share": 0.03,
    "repeat_share": 0.01,
    "max_byte": 900,
}
NO_CUT_KNOBS = dict.fromkeys(CUT_KNOBS, 0.0) | {"max_byte": 900}


@attrs.define
class ProofRun:
    """The site of a proof run and what the run has noted so far.

    ``flooding`` is set while the callers of the flood send.
    """

    site: object
    rules: str
    downtimes: list = attrs.field(factory=list)
    publishes: list = attrs.field(factory=list)
    drains: list = attrs.field(factory=list)
    races: list = attrs.field(factory=list)
    flooding: bool = False


async def ask(daemon, question):
    """Return the answer of ``daemon`` to ``question(client)``, or ``None``."""
    client = OperatorsClient.from_config(daemon.operators)
    try:
        return await question(client)
    except (DaemonRefusedError, DaemonUnreachableError):
        return None
    finally:
        await client.close()


def _pick(proof_run, rng, role):
    return rng.choice([d for d in proof_run.site.daemons.values() if d.role == role])


async def _kill(proof_run, daemon):
    start = anyio.current_time()
    await proof_run.site.kill(daemon.name)
    await anyio.sleep(KILLED_SECONDS)
    await proof_run.site.start_daemon(daemon.name)
    await proof_run.site.wait_for_status(daemon, lambda report: report.rules_version)
    proof_run.downtimes.append(Downtime(daemon.name, start, anyio.current_time()))


async def _freeze(proof_run, daemon, seconds):
    start = anyio.current_time()
    proof_run.site.freeze(daemon.name)
    await anyio.sleep(seconds)
    proof_run.site.resume(daemon.name)
    proof_run.downtimes.append(Downtime(daemon.name, start, anyio.current_time()))


async def kill_entry(proof_run, rng):
    """Kill an entry and start its replacement."""
    await _kill(proof_run, _pick(proof_run, rng, "entry"))


async def kill_control(proof_run, rng):
    """Kill a control and start its replacement."""
    await _kill(proof_run, _pick(proof_run, rng, "control"))


async def freeze_entry(proof_run, rng):
    """Freeze an entry for a moment."""
    await _freeze(
        proof_run, _pick(proof_run, rng, "entry"), rng.uniform(*FREEZE_SECONDS)
    )


async def freeze_control(proof_run, rng):
    """Freeze a control for longer than its leases."""
    await _freeze(proof_run, _pick(proof_run, rng, "control"), LONG_FREEZE_SECONDS)


async def cut_connections(proof_run, _rng):
    """Cut connections to executors at random bytes, and repeat answers."""
    relay = proof_run.site.relay_address
    await proof_run.site.ask(relay, "POST", "/knobs", CUT_KNOBS)
    await anyio.sleep(CUTTING_SECONDS)
    await proof_run.site.ask(relay, "POST", "/knobs", NO_CUT_KNOBS)


async def silence_connections(proof_run, _rng):
    """Let every open connection to an executor go silent for good."""
    await proof_run.site.ask(proof_run.site.relay_address, "POST", "/silence")


async def take_log_down(proof_run, rng):
    """Take the log service down."""
    await proof_run.site.set_log_knobs(down=True)
    await anyio.sleep(rng.uniform(*OUTAGE_SECONDS))
    await proof_run.site.set_log_knobs(down=False)


async def slow_log(proof_run, _rng):
    """Slow the log service down."""
    await proof_run.site.set_log_knobs(delay=SLOW_DELAY_SECONDS)
    await anyio.sleep(SLOW_SECONDS)
    await proof_run.site.set_log_knobs(delay=0.0)


async def lose_replies(proof_run, rng):
    """Lose replies of the log service after the append took effect."""
    await proof_run.site.set_log_knobs(lose_replies=rng.randrange(1, 5))


async def flood(proof_run, _rng):
    """Let catalogue updates flood in."""
    proof_run.flooding = True
    await anyio.sleep(FLOOD_SECONDS)
    proof_run.flooding = False


async def drain_host(proof_run, rng):
    """Drain an executor on an operator's word and let it serve again."""
    name = rng.choice(proof_run.site.hosts).name
    daemon = _pick(proof_run, rng, "control")
    hosts = await ask(daemon, lambda client: client.hosts())
    versions = {host.name: host.version for host in hosts or ()}
    body = records.HostDraining(name, "proof", versions.get(name, 0))
    decided = await ask(daemon, lambda client: client.change(body, "Rosa Lum"))
    accepted_at = anyio.current_time()
    if decided is None or not decided.accepted:
        return
    await anyio.sleep(DRAIN_SECONDS)
    ended_at = anyio.current_time()
    proof_run.drains.append(Drain(name, accepted_at, ended_at))
    body = records.HostReturned(name, decided.offset)
    await ask(daemon, lambda client: client.change(body, "Rosa Lum"))


async def start_wave(proof_run, rng):
    """Ask for a wave of maintenance in a pool."""
    daemon = _pick(proof_run, rng, "control")
    reports = await ask(daemon, lambda client: client.waves())
    free = [report for report in reports or () if not report.wave]
    if free:
        report = rng.choice(free)
        body = records.WaveStarted(report.pool, tuple(report.hosts), report.stops)
        await ask(daemon, lambda client: client.change(body, "Rosa Lum"))


async def publish(proof_run, daemon, asked_by, base):
    """Publish the rules with a new comment; return what became of it."""
    text = f"{proof_run.rules}\n# {asked_by} at {anyio.current_time():.3f}\n"
    body = records.RulesPublished(text, base)
    decided = await ask(daemon, lambda client: client.change(body, asked_by))
    if decided is not None and decided.accepted:
        publish = Publish(decided.offset, anyio.current_time())
        proof_run.publishes.append(publish)
    return decided


async def publish_change(proof_run, rng):
    """Let an operator publish through any daemon."""
    daemon = rng.choice(list(proof_run.site.daemons.values()))
    current = await ask(daemon, lambda client: client.rules())
    if current is not None:
        await publish(proof_run, daemon, "Ines Prado", current.version)


async def race_operators(proof_run, rng):
    """Let two operators publish from the same version through two daemons."""
    daemons = rng.sample(list(proof_run.site.daemons.values()), 2)
    current = await ask(daemons[0], lambda client: client.rules())
    if current is None:
        return
    decided = []

    async def run(daemon, asked_by):
        decided.append(await publish(proof_run, daemon, asked_by, current.version))

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(run, daemons[0], "Marisol Vega")
        task_group.start_soon(run, daemons[1], "Tomas Arce")
    proof_run.races.append([d is not None and d.accepted for d in decided])


FAULTS = (
    kill_entry,
    kill_control,
    freeze_entry,
    freeze_control,
    cut_connections,
    silence_connections,
    take_log_down,
    slow_log,
    lose_replies,
    flood,
    drain_host,
    start_wave,
    race_operators,
)
SHORT_FAULTS = (
    kill_entry,
    freeze_entry,
    cut_connections,
    take_log_down,
    lose_replies,
    race_operators,
)
