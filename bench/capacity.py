"""Measure host moves, buffer hosts and work kept of pool sizing.

Seeded demand of both sites meets the deciding functions in simulated time. In
``surges`` each queue in turn surges to five times its mean for seconds and falls
to a twentieth; in ``growth`` one queue's mean grows besides for half an hour, and
in ``shift`` it grows beyond its pool and the spare together while others fall. A
moved host serves nobody while it drains and reboots.

Baselines: ``proportional`` sizes pools in proportion to demand at each tick,
``proportional_minutes`` once a minute to that minute's mean, ``static`` never.
The buffer of a policy is the smallest fleet that keeps ``BUFFER_KEPT`` of the
work less the hosts that the mean demand fills. Prints ``name=value`` lines, the
seed, and each bar's pass or fail.

Run with ``python -m bench.capacity --seed 7``.
"""

import collections
import math
import random
import sys

import defopt

from azurelanding import capacity, demand, fleet, pool_views, records, rules_parser
from azurelanding.hosts import Host, HostKind
from bench.capacity_demand import (
    ENTRIES,
    REPORT_KINDS,
    RUN_SECONDS,
    SCENARIOS,
    Queue,
    make_demand,
)

SITES = {
    "telar": ("examples/telar.rules", 6),
    "magnolia": ("examples/magnolia.rules", 8),
}
SLOTS = 8
MEAN_LOAD = 0.5
SPARE_LOAD = 0.2
BUFFER_KEPT = 0.95
LARGEST_FLEET = 160
DRAIN_SECONDS = 4
REBOOT_SECONDS = 60
SAMPLE_SECONDS = 5
DECIDE_SECONDS = 15
MOVES_RATIO = 5.0


class Model:
    """The pools of one site, their hosts and queues, in simulated time."""

    def __init__(self, site, seed, scenario="surges", fleet_size=None, report="honest"):
        path, per_pool = SITES[site]
        with open(path) as file:
            text = file.read()
        self.rules = rules_parser.read_rules(text)
        self.pools = list(self.rules.pools)
        self.spare = self.rules.spare_pool()
        self.hosts = self._make_hosts(fleet_size or per_pool * len(self.pools))
        self.state = fleet.FleetState()
        self.append(records.RulesPublished(text, 0))
        for name in self.hosts:
            pool = self.rules.home_pool(name)
            self.append(records.HostAssigned(name, pool, 0))
        self.means = {
            pool: per_pool * SLOTS * (SPARE_LOAD if pool == self.spare else MEAN_LOAD)
            for pool in self.pools
        }
        factors = SCENARIOS[scenario](self.pools, self.spare)
        self.demand = make_demand(self.pools, self.means, factors, seed)
        self.queues = {pool: Queue(self._deadline(pool)) for pool in self.pools}
        self.ready_at = {}
        self.moves = 0
        self.windows = {pool: demand.DemandWindow() for pool in self.pools}
        self.patience = capacity.PoolImbalances()
        self.report, self.lag = REPORT_KINDS[report]
        self.generator = random.Random(seed + 1)
        self.wanted = collections.defaultdict(collections.deque)

    def _make_hosts(self, count):
        """Return ``count`` hosts, dealt to the pools in turn, the spare last."""
        dealt = sorted(self.pools, key=lambda pool: pool == self.spare)
        hosts = {}
        for index in range(count):
            number, place = divmod(index, len(dealt))
            prefix = self.rules.pools[dealt[place]].hosts.rstrip("*")
            name = f"{prefix}{number + 1}"
            zone, rack = f"zone-{number % 3}", f"rack-{index // 4}"
            hosts[name] = Host(name, HostKind.EXECUTOR, "127.0.0.1:1", zone, rack)
        return hosts

    def _deadline(self, pool):
        return min(s.deadline for s in self.rules.services_of(pool))

    def append(self, body):
        """Fold ``body``; return whether it was accepted."""
        record = records.new_record(body, "control-1", "model", 0.0)
        return fleet.fold(self.state, self.state.next_offset, record).accepted

    def _serve(self, second):
        idle = collections.Counter()
        for name, host in self.state.hosts.items():
            if not host.destination and self.ready_at.get(name, 0) <= second:
                idle[host.pool] += SLOTS
        for pool, queue in self.queues.items():
            idle[pool] = queue.serve(idle[pool])
        services = sorted(
            self.rules.services.values(),
            key=lambda s: capacity.URGENCY_ORDER[s.urgency],
        )
        for service in services:
            for pool in service.borrows:
                idle[pool] = self.queues[service.pool].serve(idle[pool])

    def _finish_moves(self, second):
        for name, host in list(self.state.hosts.items()):
            if host.destination and self.ready_at[name] - REBOOT_SECONDS <= second:
                body = records.HostAssigned(name, host.destination, host.version)
                self.append(body)

    def start_move(self, body, second):
        """Fold a ``MoveStarted``; its host serves nobody for a while."""
        if self.append(body):
            self.moves += 1
            self.ready_at[body.host] = second + DRAIN_SECONDS + REBOOT_SECONDS

    def views(self):
        """Return the ``PoolView`` of each pool."""
        return pool_views.make_pool_views(
            self.state,
            self.hosts,
            [],
            set(),
            3.0,
            pool_views.Observations(),
            self.pools,
        )

    def _sample(self, second):
        for pool in self.pools:
            now_wanted = self.demand(second, pool) + self.queues[pool].depth()
            self.wanted[pool].append(now_wanted)
            if len(self.wanted[pool]) > 1 + self.lag // SAMPLE_SECONDS:
                self.wanted[pool].popleft()
            reports = self.report(self.wanted[pool][0], self.generator)
            slots = demand.estimate_demand(reports, ENTRIES)
            if slots is not None:
                self.windows[pool].observe(float(second), slots)

    def run(self, policy):
        """Let ``policy(model, second)`` move hosts while demand comes."""
        for second in range(RUN_SECONDS):
            for pool, queue in self.queues.items():
                queue.add(second, self.demand(second, pool))
            self._finish_moves(second)
            self._serve(second)
            if second % SAMPLE_SECONDS == 0:
                self._sample(second)
            policy(self, second)
        return self

    @property
    def kept(self):
        """Return the fraction of the work offered that was served in time."""
        offered = sum(queue.offered for queue in self.queues.values())
        return sum(queue.served for queue in self.queues.values()) / offered

    @property
    def needed(self):
        """Return how many hosts the mean demand fills."""
        return math.ceil(sum(self.means.values()) / SLOTS)


def sized(model, second):
    """Move hosts as the product does."""
    if second % DECIDE_SECONDS == 0:
        loads = capacity.compute_loads(
            model.state, model.views(), model.windows, SLOTS, float(second)
        )
        body = capacity.next_move(
            model.spare, loads, model.patience, float(second), model.rules.home_pool
        )
        if body is not None:
            model.start_move(body, second)


def _share_out(model, wanted):
    """Return the size of each pool in proportion to ``wanted``, at least one."""
    total = sum(wanted.values()) or 1.0
    spread = len(model.hosts) - len(model.pools)
    shares = {pool: 1 + spread * slots / total for pool, slots in wanted.items()}
    sizes = {pool: math.floor(share) for pool, share in shares.items()}
    by_rest = sorted(shares, key=lambda pool: sizes[pool] - shares[pool])
    for pool in by_rest[: len(model.hosts) - sum(sizes.values())]:
        sizes[pool] += 1
    return sizes


def _move_to(model, sizes, second):
    """Start the moves that bring every pool to its size."""
    owned = collections.Counter(
        host.destination or host.pool for host in model.state.hosts.values()
    )
    for name, host in model.state.hosts.items():
        settled = not host.destination and model.ready_at.get(name, 0) <= second
        if not settled or owned[host.pool] <= sizes[host.pool]:
            continue
        receiver = max(sizes, key=lambda pool: sizes[pool] - owned[pool])
        if sizes[receiver] <= owned[receiver]:
            return
        owned[host.pool] -= 1
        owned[receiver] += 1
        stops = model.state.stops.get(host.pool, 0)
        model.start_move(
            records.MoveStarted(name, receiver, host.version, stops), second
        )


def proportional(model, second):
    """Size every pool in proportion to the demand of this tick."""
    wanted = {
        pool: model.demand(second, pool) + model.queues[pool].depth()
        for pool in model.pools
    }
    _move_to(model, _share_out(model, wanted), second)


def proportional_minutes(model, second):
    """Size every pool once a minute in proportion to the minute's mean demand."""
    if second % 60 == 59:
        wanted = {
            pool: sum(model.demand(second - back, pool) for back in range(60))
            for pool in model.pools
        }
        _move_to(model, _share_out(model, wanted), second)


def static(_model, _second):
    """Move nothing."""


POLICIES = {
    "sized": sized,
    "proportional": proportional,
    "proportional_minutes": proportional_minutes,
    "static": static,
}


def find_smallest(site, policy, seed):
    """Return the smallest fleet that keeps ``BUFFER_KEPT``, or ``None``."""
    low, high = len(Model(site, seed).pools), LARGEST_FLEET
    if Model(site, seed, fleet_size=high).run(policy).kept < BUFFER_KEPT:
        return None
    while high - low > 1:
        middle = (low + high) // 2
        kept = Model(site, seed, fleet_size=middle).run(policy).kept
        low, high = (low, middle) if kept >= BUFFER_KEPT else (middle, high)
    return high


def _judge(name, passed):
    print(f"bar.{name}={'pass' if passed else 'FAIL'}")
    return passed


def _run_scenario(site, scenario, seed):
    """Print and return what each policy made of ``scenario``."""
    models = {}
    for name, policy in POLICIES.items():
        model = models[name] = Model(site, seed, scenario).run(policy)
        print(f"{site}.{scenario}.{name}.moves={model.moves}")
        print(f"{site}.{scenario}.{name}.kept={model.kept:.4f}")
    return models


def _compare_policies(site, seed):
    bars = []
    for scenario in SCENARIOS:
        models = _run_scenario(site, scenario, seed)
        ours, theirs = models["sized"], models["proportional"]
        fewer = theirs.moves >= MOVES_RATIO * max(ours.moves, 1)
        label = f"{site}.{scenario}"
        bars.append(_judge(f"{label}.five_times_fewer_moves", fewer))
        bars.append(_judge(f"{label}.same_or_more_work", ours.kept >= theirs.kept))
        if scenario == "shift":
            worth = ours.kept > models["static"].kept
            bars.append(_judge(f"{label}.moves_pay", worth))
    return bars


def _compare_buffers(site, seed):
    buffers = {}
    for name, policy in POLICIES.items():
        smallest = find_smallest(site, policy, seed)
        needed = Model(site, seed).needed
        buffers[name] = math.inf if smallest is None else smallest - needed
        print(f"{site}.{name}.smallest_fleet={smallest or f'over {LARGEST_FLEET}'}")
        print(f"{site}.{name}.buffer_hosts={buffers[name]}")
    no_more = buffers["sized"] <= buffers["proportional"]
    return [_judge(f"{site}.no_more_buffer", no_more)]


def _compare_reports(site, seed):
    runs = {
        kind: Model(site, seed, "growth", report=kind).run(sized)
        for kind in REPORT_KINDS
    }
    for kind, model in runs.items():
        print(f"{site}.reports.{kind}.moves={model.moves}")
        print(f"{site}.reports.{kind}.kept={model.kept:.4f}")
    honest_run = runs["honest"]
    return [
        _judge(f"{site}.reports.{kind}", model.moves <= honest_run.moves)
        for kind, model in runs.items()
    ]


def main(*, seed: int = 7):
    """Run both sites.

    :param seed: seed of the demand
    """
    print(f"seed={seed}")
    bars = []
    for site in SITES:
        bars += _compare_policies(site, seed)
        bars += _compare_buffers(site, seed)
        bars += _compare_reports(site, seed)
    sys.exit(0 if all(bars) else 1)


if __name__ == "__main__":
    defopt.run(main)
