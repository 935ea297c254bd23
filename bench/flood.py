"""Measure how a flood of one service slows the others, against naive baselines.

``python -m bench.flood telar`` and ``python -m bench.flood magnolia`` print
``name=value`` lines and pass or fail for each criterion. Each run is a process of
``bench.flood_model`` that simulates the site at full size in real time. The
baselines use the same admission; they differ in which request a free slot picks
and in how the slots are shared.
"""

import math
import pathlib
import sys

import anyio
import defopt
import msgspec

from azurelanding.rules_parser import read_rules
from bench import flood_scenarios
from bench.flood_scenarios import Result, Scenario

MAX_CONCURRENT_RUNS = 4
RUN_TIMEOUT_SECONDS = 45.0
BASELINES = ("fifo", "priority", "fixed")
MIN_KEPT_FRACTION = 0.99
MIN_FLOOR_FRACTION = 0.95
MIN_BUSY_FRACTION = 0.90
MAX_OVER_OFFERED_FRACTION = 0.01
SKEWED_FRACTION = 0.25
LONG_RUN_FACTOR = 10.0

# Services that flood in turn at each site: a deferrable one, then an urgent one.
FLOODING_SERVICES = {
    "telar": ("catalogue", "pattern-preview"),
    "magnolia": ("mainframe-call", "roll-change"),
}
# Services whose throughput must not drop in a flood of the deferrable service.
PROTECTED_SERVICES = {
    "telar": ("pattern-preview", "cut-list"),
    "magnolia": ("roll-change", "pallet-label"),
}


def read_site_rules(site):
    """Read the rules of ``site``, a key of ``SITES``."""
    path = pathlib.Path(flood_scenarios.SITES[site].rules_path)
    return read_rules(path.read_text())


class Report:
    """Prints figures and collects the names of those that miss their criterion."""

    def __init__(self):
        self.missed_criteria = []

    def print_figure(self, name, value):
        """Print one figure."""
        text = f"{value:.4f}" if isinstance(value, float) else value
        print(f"{name}={text}", flush=True)

    def print_criterion(self, name, value, passed):
        """Print one figure and whether it meets its criterion."""
        self.print_figure(name, value)
        self.print_figure(f"{name}.bar", "pass" if passed else "fail")
        if not passed:
            self.missed_criteria.append(name)


async def run_scenario(scenario, limiter, results):
    """Run ``scenario`` in its own process and add its result to ``results``."""
    argument = msgspec.json.encode(scenario).decode()
    command = [sys.executable, "-m", "bench.flood_model", argument]
    async with limiter:
        with anyio.fail_after(RUN_TIMEOUT_SECONDS):
            process = await anyio.run_process(command, stderr=None)
    results[scenario] = msgspec.json.decode(process.stdout, type=Result)


async def run_scenarios(scenarios):
    """Run ``scenarios`` a few at a time; return their results by scenario."""
    results = {}
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_RUNS)
    async with anyio.create_task_group() as task_group:
        for scenario in scenarios:
            task_group.start_soon(run_scenario, scenario, limiter, results)
    return results


def percentile(values, fraction):
    """Return the ``fraction`` quantile of ``values``, or NaN if there are none."""
    ordered = sorted(values)
    index = math.ceil(fraction * len(ordered)) - 1
    return ordered[max(0, index)] if ordered else math.nan


def fraction_of_calm(result, calm, service):
    """Return what a service completes in a flood as a fraction of the calm run."""
    return result.services[service].in_time / calm.services[service].in_time


def fraction_of_floor(site, rules, result, service):
    """Return what a service completes as a fraction of what its floor guarantees.

    If the callers sent less than that, it is the fraction of what they sent.
    """
    size = flood_scenarios.SITES[site]
    rate = size.executors * flood_scenarios.SLOTS / size.run_times[service]
    floor = rules.services[service].floor * rate * flood_scenarios.FLOOD_SECONDS
    figures = result.services[service]
    return figures.in_time / min(floor, figures.sent)


def print_run_figures(report, name, result, has_criteria):
    """Print slot usage, how often executors were overloaded, and service figures."""
    busy, over = result.busy, result.over_offered
    if has_criteria:
        report.print_criterion(f"{name}.busy", busy, busy >= MIN_BUSY_FRACTION)
        report.print_criterion(
            f"{name}.over_offered", over, over < MAX_OVER_OFFERED_FRACTION
        )
    else:
        report.print_figure(f"{name}.busy", busy)
        report.print_figure(f"{name}.over_offered", over)
    report.print_figure(f"{name}.late_wakes_s", result.late_wakes)
    for service, figures in result.services.items():
        report.print_figure(f"{name}.{service}.sent", figures.sent)
        report.print_figure(f"{name}.{service}.in_time", figures.in_time)
        report.print_figure(f"{name}.{service}.unknown", figures.unknown)
        report.print_figure(
            f"{name}.{service}.p99_s", percentile(figures.latencies, 0.99)
        )


def print_flood(report, site, rules, scenario, result, calm):
    """Print the effect of a flood; criteria don't apply to baselines."""
    name = f"{site}.{scenario.flood}.{scenario.policy}"
    has_criteria = scenario.policy == "azurelanding"
    deferrable, _ = FLOODING_SERVICES[site]
    for service in result.services:
        if service == scenario.flood:
            continue
        if scenario.flood == deferrable:
            figure = f"{name}.{service}.kept"
            value, min_value = (
                fraction_of_calm(result, calm, service),
                MIN_KEPT_FRACTION,
            )
            has_criterion = has_criteria and service in PROTECTED_SERVICES[site]
        else:
            figure = f"{name}.{service}.kept_of_floor"
            value, min_value = (
                fraction_of_floor(site, rules, result, service),
                MIN_FLOOR_FRACTION,
            )
            has_criterion = has_criteria
        if has_criterion:
            report.print_criterion(figure, value, value >= min_value)
        else:
            report.print_figure(figure, value)
    flood_figures = result.services[scenario.flood]
    small_team_kept = flood_figures.small_team_in_time / max(
        1, flood_figures.small_team_sent
    )
    report.print_figure(f"{name}.{scenario.flood}.small_team_kept", small_team_kept)
    print_run_figures(report, name, result, has_criteria)


def plan_scenarios(site, seed):
    """Return the calm run, the floods under each policy, and further comparisons.

    The comparisons are a skewed balancer, a flood of requests with long run times,
    and no preference for executors in the zone of the entry.
    """
    calm = Scenario(site, "azurelanding", seed=seed)
    floods = [
        Scenario(site, policy, flood, seed=seed)
        for flood in FLOODING_SERVICES[site]
        for policy in ("azurelanding", *BASELINES)
    ]
    comparisons = [
        Scenario(site, policy, skew=SKEWED_FRACTION, seed=seed)
        for policy in ("azurelanding", "equal-shares")
    ]
    comparisons += [
        Scenario(
            site, policy, FLOODING_SERVICES[site][0], stretch=LONG_RUN_FACTOR, seed=seed
        )
        for policy in ("azurelanding", "lend-all")
    ]
    comparisons.append(Scenario(site, "any-zone", seed=seed))
    return calm, floods, comparisons


def print_comparison(report, site, scenario, result):
    """Print the figures of a comparison, which has no criteria."""
    if scenario.skew:
        comparison = "skewed-balancer"
    elif scenario.stretch > 1.0:
        comparison = "long-runs"
    else:
        comparison = "calm"
    name = f"{site}.{comparison}.{scenario.policy}"
    for service, figures in result.services.items():
        kept = figures.in_time / max(1, figures.sent)
        report.print_figure(f"{name}.{service}.in_time_share", kept)
        report.print_figure(
            f"{name}.{service}.p50_s", percentile(figures.latencies, 0.5)
        )
        report.print_figure(
            f"{name}.{service}.p99_s", percentile(figures.latencies, 0.99)
        )
    report.print_figure(f"{name}.busy", result.busy)


async def run_bench(site, seed):
    """Run the bench for one site and return the exit code."""
    report = Report()
    report.print_figure("seed", seed)
    report.print_figure("load", flood_scenarios.OFFERED_LOAD)
    calm, floods, comparisons = plan_scenarios(site, seed)
    results = await run_scenarios([calm, *floods, *comparisons])
    rules = read_site_rules(site)
    for scenario in floods:
        print_flood(report, site, rules, scenario, results[scenario], results[calm])
    for scenario in (calm, *comparisons):
        print_comparison(report, site, scenario, results[scenario])
    report.print_figure("missed_bars", ",".join(report.missed_criteria) or "none")
    return 1 if report.missed_criteria else 0


def main(site: str, *, seed: int = 1):
    """Measure floods at one site.

    :param site: telar or magnolia
    :param seed: seed of arrivals, run times and status exchange phases
    """
    sys.exit(anyio.run(run_bench, site, seed))


if __name__ == "__main__":
    defopt.run(main)
