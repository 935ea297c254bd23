"""Compare maintenance waves with one host at a time and with fixed batches.

Every host of each pool in the example rules is maintained once. Only the decisions
run, in simulated time: drains take seconds, reboots minutes, and some reboots take
much longer. Then all runs are repeated with a rack lost in the middle of the wave.
Prints the seed, ``name=value`` lines, and pass or FAIL for each criterion.

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
REBOOT_RANGE_SECONDS = (90.0, 180.0)
STRAGGLER_SECONDS = 420.0
STRAGGLER_FRACTION = 0.1
RACK_LOST_AT_SECONDS = 300.0
RACK_OUTAGE_SECONDS = 900.0
MAX_WAVE_SECONDS = 20_000
BATCH_SIZE = 4


def make_reboot_time(seed):
    """Return a function from a host name to the reboot time in seconds."""

    def reboot_time(name):
        generator = random.Random(f"{seed} {name}")
        if generator.random() < STRAGGLER_FRACTION:
            return STRAGGLER_SECONDS
        return generator.uniform(*REBOOT_RANGE_SECONDS)

    return reboot_time


def _check_hosts(view):
    """Yield records for hosts that finished their drain or their reboot."""
    for host in view.hosts_in_phase(Phase.REBOOTING):
        if view.reboots[host.name] is RebootState.DONE:
            yield records.HostReturned(host.name, host.version, maintained=True)
    for host in view.hosts_in_phase(Phase.DRAINING):
        if not view.blockers[host.name]:
            yield records.HostRebooting(host.name, host.version)


def fixed_batches(size, within_budget):
    """Return a baseline policy that stops ``size`` hosts and waits until all return.

    It selects the hosts in the order of their names. With ``within_budget`` it selects
    fewer hosts, or waits, when the batch would violate the availability budget.
    """

    def choose_step(view):
        names = sorted(n for n in view.wave.pending if view.hosts[n].listed)[:size]
        while within_budget and names and not may_stop(view.rule, view.hosts, names):
            names.pop()
        return tuple(names)

    def decide(view, _now):
        bodies = list(_check_hosts(view))
        if bodies or view.wave is None or view.wave.in_course:
            return bodies
        if not view.wave.pending:
            return [records.WaveFinished(view.rule.name, view.wave.started)]
        step = choose_step(view)
        if step:
            return [records.WaveStepTaken(view.rule.name, step, view.stops)]
        return []

    return decide


POLICIES = {
    "waves": maintenance.decide,
    "one_at_a_time": fixed_batches(1, within_budget=True),
    "careful_batches": fixed_batches(BATCH_SIZE, within_budget=True),
    "fixed_batches": fixed_batches(BATCH_SIZE, within_budget=False),
}


@attrs.define
class Outcome:
    """The cost of one wave; the fields are printed under their names.

    ``least_able`` is the smallest fraction of available hosts, ``least_of_kind`` the
    smallest among hosts of one kind. ``steps_below`` counts the steps that took the
    pool below its budget, ``seconds_below`` the seconds that it was below while some
    of its hosts were stopped by the wave. ``domains`` is the largest number of failure
    domains with stopped hosts at the same time.
    """

    seconds: int = 0
    least_able: float = 1.0
    least_of_kind: float = 1.0
    steps_below: int = 0
    seconds_below: int = 0
    domains: int = 0
    finished: bool = False


def _record_step(view, bodies, outcome):
    """Update ``outcome`` with one second: a ``PoolView`` and the records decided."""
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
        fraction_of_kind = sum(host.available for host in of_kind) / len(of_kind)
        outcome.least_of_kind = min(outcome.least_of_kind, fraction_of_kind)


def _lose_rack(model, second):
    """Remove the rack of the last pending host from the host list; restore it later."""
    if second == RACK_LOST_AT_SECONDS:
        name = model.wave.pending[-1]
        rack = model.hosts[name].rack
        model.lost |= {n for n, host in model.hosts.items() if host.rack == rack}
    elif second == RACK_LOST_AT_SECONDS + RACK_OUTAGE_SECONDS:
        model.lost.clear()


def run_wave(site, pool, decide, seed, rack_lost):
    """Run one wave over ``pool`` and return its ``Outcome``."""
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
    for second in range(MAX_WAVE_SECONDS):
        if rack_lost and model.wave is not None:
            _lose_rack(model, second)
        bodies = model.tick()
        _record_step(model.last_view, bodies, outcome)
        if model.wave is None:
            outcome.seconds, outcome.finished = second, True
            break
    return outcome


def _print_outcome(label, outcome):
    for field in attrs.fields(Outcome):
        value = getattr(outcome, field.name)
        formatted = f"{value:.3f}" if isinstance(value, float) else int(value)
        print(f"{label}.{field.name}={formatted}")


def _combine(outcomes):
    """Return one ``Outcome`` that combines ``outcomes``."""
    return Outcome(
        sum(o.seconds for o in outcomes),
        min(o.least_able for o in outcomes),
        min(o.least_of_kind for o in outcomes),
        sum(o.steps_below for o in outcomes),
        sum(o.seconds_below for o in outcomes),
        max(o.domains for o in outcomes),
        all(o.finished for o in outcomes),
    )


def _print_criterion(name, passed):
    print(f"bar.{name}={'pass' if passed else 'FAIL'}")
    return passed


def _run_case(case, seed, rack_lost):
    """Run every pool under each policy; return the total ``Outcome`` by policy."""
    results = {policy: [] for policy in POLICIES}
    for site, (path, *_rest) in SITES.items():
        with open(path) as file:
            pools = rules_parser.read_rules(file.read()).pools
        for pool in pools:
            for policy, decide in POLICIES.items():
                outcome = run_wave(site, pool, decide, seed, rack_lost)
                _print_outcome(f"{case}.{site}.{pool}.{policy}", outcome)
                results[policy].append(outcome)
    totals = {policy: _combine(outcomes) for policy, outcomes in results.items()}
    for policy, total in totals.items():
        _print_outcome(f"{case}.total.{policy}", total)
    return totals


def main(*, seed: int = 7):
    """Run every pool of both sites under each policy.

    :param seed: seed of the reboot times
    """
    print(f"seed={seed}")
    passed = True
    for case in ("calm", "rack_lost"):
        totals = _run_case(case, seed, rack_lost=case == "rack_lost")
        waves_total = totals["waves"]
        criteria = {
            "no_step_below_the_budget": waves_total.steps_below == 0,
            "one_domain_at_a_time": waves_total.domains == 1,
            "finished": waves_total.finished,
            "faster_than_one_at_a_time": waves_total.seconds
            < totals["one_at_a_time"].seconds,
        }
        for name, met in criteria.items():
            passed &= _print_criterion(f"{case}.{name}", met)
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    defopt.run(main)
