"""Measure waves against one host at a time and against fixed batches.

Each pool of the example rules is maintained whole, in simulated time over the
decisions alone: drains take seconds, reboots minutes with some stragglers. In
the second run of each a rack is lost in the middle of the wave. Prints
``name=value`` lines, the seed, and each bar's pass or fail.

Run with ``python -m bench.maintenance --seed 7``.
"""

import random
import sys

import attrs
import defopt

from azurelanding import maintenance, records, rules_parser, waves
from azurelanding.availability import may_stop, required
from azurelanding.hosts import Phase
from azurelanding.pools.reboots import RebootState
from azurelanding.standins.pool_model import PoolModel, make_hosts

SITES = {
    "telar": ("examples/telar.rules", 6, 6, ("a", "b", "c")),
    "magnolia": ("examples/magnolia.rules", 8, 8, ("a", "b", "c", "d")),
}
DRAIN_SECONDS = 4.0
REBOOT_SECONDS = (90.0, 180.0)
STRAGGLER_SECONDS = 420.0
STRAGGLERS = 0.1
RACK_LOST_AT_SECONDS = 300.0
RACK_BACK_AFTER_SECONDS = 900.0
LIMIT_SECONDS = 20_000
BATCH = 4


def make_reboot_time(seed):
    """Return a function that gives the reboot time of a host in seconds."""

    def reboot_time(name):
        generator = random.Random(f"{seed} {name}")
        if generator.random() < STRAGGLERS:
            return STRAGGLER_SECONDS
        return generator.uniform(*REBOOT_SECONDS)

    return reboot_time


def _judge_hosts(view):
    """Return the bodies for hosts in course, by drain and reboot time alone."""
    for host in view.hosts_in_phase(Phase.REBOOTING):
        if view.reboots[host.name] is RebootState.DONE:
            yield records.HostReturned(host.name, host.version, maintained=True)
    for host in view.hosts_in_phase(Phase.DRAINING):
        if not view.blockers[host.name]:
            yield records.HostRebooting(host.name, host.version)


def fixed_batches(size, careful):
    """Return a baseline that stops ``size`` hosts and waits until all are back.

    It takes the hosts in the order of their names. With ``careful`` it waits, or
    takes fewer, where the batch would cross the availability budget.
    """

    def choose(view):
        names = sorted(n for n in view.wave.pending if view.hosts[n].listed)[:size]
        while careful and names and not may_stop(view.rule, view.hosts, names):
            names.pop()
        return tuple(names)

    def decide(view, _now):
        bodies = list(_judge_hosts(view))
        if bodies or view.wave is None or view.wave.in_course:
            return bodies
        if not view.wave.pending:
            return [records.WaveFinished(view.rule.name, view.wave.started)]
        step = choose(view)
        if step:
            return [records.WaveStepTaken(view.rule.name, step, view.stops)]
        return []

    return decide


POLICIES = {
    "waves": maintenance.decide,
    "one_at_a_time": fixed_batches(1, careful=True),
    "careful_batches": fixed_batches(BATCH, careful=True),
    "fixed_batches": fixed_batches(BATCH, careful=False),
}


@attrs.define
class Outcome:
    """What one wave cost; ``least_able`` is the smallest fraction of able hosts.

    ``steps_below`` counts steps that took the pool below its budget,
    ``seconds_below`` the seconds below it while a planned stop was part of that.
    ``domains`` is the largest number of racks that were stopped together.
    """

    seconds: int = 0
    least_able: float = 1.0
    least_of_kind: float = 1.0
    steps_below: int = 0
    seconds_below: int = 0
    domains: int = 0
    finished: bool = False


def _note_step(view, bodies, outcome):
    """Add to ``outcome`` the moment of ``view`` and the ``bodies`` decided on it."""
    needed = required(view.rule.availability, len(view.hosts))
    available = sum(host.available for host in view.hosts.values())
    for body in bodies:
        if (
            isinstance(body, records.WaveStepTaken)
            and available - len(body.hosts) < needed
        ):
            outcome.steps_below += 1
    stopped = [h for h in view.hosts.values() if h.phase is not Phase.SERVING]
    outcome.least_able = min(outcome.least_able, available / len(view.hosts))
    outcome.seconds_below += bool(stopped) and available < needed
    racks = {waves.failure_domain(view.maintenance, host) for host in stopped}
    outcome.domains = max(outcome.domains, len(racks))
    for kind in {host.kind for host in view.hosts.values()}:
        of_kind = [host for host in view.hosts.values() if host.kind is kind]
        able_of_kind = sum(host.available for host in of_kind) / len(of_kind)
        outcome.least_of_kind = min(outcome.least_of_kind, able_of_kind)


def _lose_rack(model, second):
    """Lose the rack of the host that is next, and bring it back later."""
    if second == RACK_LOST_AT_SECONDS:
        name = model.wave.pending[-1]
        rack = model.hosts[name].rack
        model.lost |= {n for n, host in model.hosts.items() if host.rack == rack}
    elif second == RACK_LOST_AT_SECONDS + RACK_BACK_AFTER_SECONDS:
        model.lost.clear()


def run_wave(site, pool, decide, seed, rack_lost):
    """Maintain ``pool`` once and return the ``Outcome``."""
    path, executors, workers, zones = SITES[site]
    with open(path) as file:
        text = file.read()
    hosts = make_hosts(pool, executors, workers, zones)
    model = PoolModel(
        text,
        pool,
        hosts,
        decide=decide,
        drain_time=DRAIN_SECONDS,
        reboot_time=make_reboot_time(seed),
    )
    model.start_wave()
    outcome = Outcome()
    for second in range(LIMIT_SECONDS):
        if rack_lost and model.wave is not None:
            _lose_rack(model, second)
        bodies = model.tick()
        _note_step(model.last_view, bodies, outcome)
        if model.wave is None:
            outcome.seconds, outcome.finished = second, True
            break
    return outcome


def _report(label, outcome):
    for field in attrs.fields(Outcome):
        value = getattr(outcome, field.name)
        shown = f"{value:.3f}" if isinstance(value, float) else int(value)
        print(f"{label}.{field.name}={shown}")


def _sum_up(outcomes):
    """Return one ``Outcome`` for all ``outcomes`` together."""
    return Outcome(
        sum(o.seconds for o in outcomes),
        min(o.least_able for o in outcomes),
        min(o.least_of_kind for o in outcomes),
        sum(o.steps_below for o in outcomes),
        sum(o.seconds_below for o in outcomes),
        max(o.domains for o in outcomes),
        all(o.finished for o in outcomes),
    )


def _judge(name, passed):
    print(f"bar.{name}={'pass' if passed else 'FAIL'}")
    return passed


def _run_case(case, seed, rack_lost):
    """Run every pool under each policy and return the total ``Outcome``s."""
    results = {policy: [] for policy in POLICIES}
    for site, (path, *_rest) in SITES.items():
        with open(path) as file:
            pools = rules_parser.read_rules(file.read()).pools
        for pool in pools:
            for policy, decide in POLICIES.items():
                outcome = run_wave(site, pool, decide, seed, rack_lost)
                _report(f"{case}.{site}.{pool}.{policy}", outcome)
                results[policy].append(outcome)
    totals = {policy: _sum_up(outcomes) for policy, outcomes in results.items()}
    for policy, total in totals.items():
        _report(f"{case}.total.{policy}", total)
    return totals


def main(*, seed: int = 7):
    """Run every pool of both sites under each policy.

    :param seed: seed of the reboot times
    """
    print(f"seed={seed}")
    passed = True
    for case in ("calm", "rack_lost"):
        totals = _run_case(case, seed, rack_lost=case == "rack_lost")
        ours = totals["waves"]
        bars = {
            "no_step_below_the_budget": ours.steps_below == 0,
            "one_domain_at_a_time": ours.domains == 1,
            "finished": ours.finished,
            "faster_than_one_at_a_time": ours.seconds < totals["one_at_a_time"].seconds,
        }
        for name, held in bars.items():
            passed &= _judge(f"{case}.{name}", held)
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    defopt.run(main)
