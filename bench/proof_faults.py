"""The faults of the proof run, each a coroutine that injects and then ends one."""

import anyio
import attrs

from azurelanding import records
from azurelanding.fleet_histories import Downtime, Drain, Publish
from azurelanding.operators.client import (
    DaemonRefusedError,
    DaemonUnreachableError,
    OperatorsClient,
)

RESTART_DELAY_SECONDS = 0.5
FREEZE_RANGE_SECONDS = (0.5, 2.5)
LONG_FREEZE_SECONDS = 8.0
OUTAGE_RANGE_SECONDS = (1.0, 3.0)
LOG_DELAY_SECONDS = 0.4
SLOW_LOG_SECONDS = 2.0
CUT_CONNECTIONS_SECONDS = 1.5
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
    """The site of a proof run and the events that it recorded so far.

    ``rules`` is the text of the rules file. ``races`` has, for each race of two
    operators, whether each was accepted. The extra callers of a flood send only
    while ``flooding`` is set.
    """

    site: object
    rules: str
    downtimes: list = attrs.field(factory=list)
    publishes: list = attrs.field(factory=list)
    drains: list = attrs.field(factory=list)
    races: list = attrs.field(factory=list)
    flooding: bool = False


async def query_daemon(daemon, query):
    """Return the result of ``query(client)``, or ``None`` if ``daemon`` failed.

    A daemon fails a query when it refuses it or can't be reached.
    """
    client = OperatorsClient.from_config(daemon.operators)
    try:
        return await query(client)
    except (DaemonRefusedError, DaemonUnreachableError):
        return None
    finally:
        await client.close()


def _pick_daemon(proof_run, rng, role):
    return rng.choice([d for d in proof_run.site.daemons.values() if d.role == role])


async def _kill_and_restart(proof_run, daemon):
    start = anyio.current_time()
    await proof_run.site.kill(daemon.name)
    await anyio.sleep(RESTART_DELAY_SECONDS)
    await proof_run.site.start_daemon(daemon.name)
    await proof_run.site.wait_for_status(daemon, lambda report: report.rules_version)
    proof_run.downtimes.append(Downtime(daemon.name, start, anyio.current_time()))


async def _freeze_and_resume(proof_run, daemon, seconds):
    start = anyio.current_time()
    proof_run.site.freeze(daemon.name)
    await anyio.sleep(seconds)
    proof_run.site.resume(daemon.name)
    proof_run.downtimes.append(Downtime(daemon.name, start, anyio.current_time()))


async def kill_entry(proof_run, rng):
    """Kill an entry and restart it."""
    await _kill_and_restart(proof_run, _pick_daemon(proof_run, rng, "entry"))


async def kill_control(proof_run, rng):
    """Kill a control daemon and restart it."""
    await _kill_and_restart(proof_run, _pick_daemon(proof_run, rng, "control"))


async def freeze_entry(proof_run, rng):
    """Freeze an entry for a short time."""
    await _freeze_and_resume(
        proof_run,
        _pick_daemon(proof_run, rng, "entry"),
        rng.uniform(*FREEZE_RANGE_SECONDS),
    )


async def freeze_control(proof_run, rng):
    """Freeze a control daemon for longer than its leases last."""
    await _freeze_and_resume(
        proof_run, _pick_daemon(proof_run, rng, "control"), LONG_FREEZE_SECONDS
    )


async def cut_connections(proof_run, _rng):
    """Cut connections to executors at random bytes and repeat some answers."""
    relay = proof_run.site.relay_address
    await proof_run.site.ask(relay, "POST", "/knobs", CUT_KNOBS)
    await anyio.sleep(CUT_CONNECTIONS_SECONDS)
    await proof_run.site.ask(relay, "POST", "/knobs", NO_CUT_KNOBS)


async def silence_connections(proof_run, _rng):
    """Silence every open connection to an executor permanently."""
    await proof_run.site.ask(proof_run.site.relay_address, "POST", "/silence")


async def take_log_down(proof_run, rng):
    """Take the log service down for a while."""
    await proof_run.site.set_log_knobs(down=True)
    await anyio.sleep(rng.uniform(*OUTAGE_RANGE_SECONDS))
    await proof_run.site.set_log_knobs(down=False)


async def slow_log(proof_run, _rng):
    """Delay the log service's replies for a while."""
    await proof_run.site.set_log_knobs(delay=LOG_DELAY_SECONDS)
    await anyio.sleep(SLOW_LOG_SECONDS)
    await proof_run.site.set_log_knobs(delay=0.0)


async def lose_replies(proof_run, rng):
    """Lose one to four replies of the log service after the append took effect."""
    await proof_run.site.set_log_knobs(lose_replies=rng.randrange(1, 5))


async def flood(proof_run, _rng):
    """Flood the site with catalogue updates from the extra callers."""
    proof_run.flooding = True
    await anyio.sleep(FLOOD_SECONDS)
    proof_run.flooding = False


async def drain_host(proof_run, rng):
    """Drain an executor by an operator's change and return it to service."""
    name = rng.choice(proof_run.site.hosts).name
    daemon = _pick_daemon(proof_run, rng, "control")
    hosts = await query_daemon(daemon, lambda client: client.hosts())
    versions = {host.name: host.version for host in hosts or ()}
    body = records.HostDraining(name, "proof", versions.get(name, 0))
    decision = await query_daemon(
        daemon, lambda client: client.change(body, "Rosa Lum")
    )
    accepted_at = anyio.current_time()
    if decision is None or not decision.accepted:
        return
    await anyio.sleep(DRAIN_SECONDS)
    ended_at = anyio.current_time()
    proof_run.drains.append(Drain(name, accepted_at, ended_at))
    body = records.HostReturned(name, decision.offset)
    await query_daemon(daemon, lambda client: client.change(body, "Rosa Lum"))


async def start_wave(proof_run, rng):
    """Start a maintenance wave in a random pool that has none."""
    daemon = _pick_daemon(proof_run, rng, "control")
    reports = await query_daemon(daemon, lambda client: client.waves())
    idle_pools = [report for report in reports or () if not report.wave]
    if idle_pools:
        report = rng.choice(idle_pools)
        body = records.WaveStarted(report.pool, tuple(report.hosts), report.stops)
        await query_daemon(daemon, lambda client: client.change(body, "Rosa Lum"))


async def publish(proof_run, daemon, asked_by, base):
    """Publish the rules with a new comment; return the decision, or ``None``."""
    text = f"{proof_run.rules}\n# {asked_by} at {anyio.current_time():.3f}\n"
    body = records.RulesPublished(text, base)
    decision = await query_daemon(daemon, lambda client: client.change(body, asked_by))
    if decision is not None and decision.accepted:
        publish = Publish(decision.offset, anyio.current_time())
        proof_run.publishes.append(publish)
    return decision


async def publish_change(proof_run, rng):
    """Publish as one operator through a random daemon."""
    daemon = rng.choice(list(proof_run.site.daemons.values()))
    current = await query_daemon(daemon, lambda client: client.rules())
    if current is not None:
        await publish(proof_run, daemon, "Ines Prado", current.version)


async def race_operators(proof_run, rng):
    """Publish as two operators on the same version through two daemons."""
    daemons = rng.sample(list(proof_run.site.daemons.values()), 2)
    current = await query_daemon(daemons[0], lambda client: client.rules())
    if current is None:
        return
    decisions = []

    async def publish_as(daemon, asked_by):
        decisions.append(await publish(proof_run, daemon, asked_by, current.version))

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(publish_as, daemons[0], "Marisol Vega")
        task_group.start_soon(publish_as, daemons[1], "Tomas Arce")
    proof_run.races.append(
        [decision is not None and decision.accepted for decision in decisions]
    )


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
