"""Measure the host moves, buffer hosts and served work of pool sizing.

Runs the functions that size the pools on a seeded demand for each site, in
simulated time. In ``surges`` the demand of each queue in turn rises to five times
its mean for a few seconds, then falls to a twentieth of it. In ``growth`` the mean
of one queue also grows for half an hour. In ``shift`` that mean exceeds the
capacity of its pool and the spare pool together while other means fall. A moved
host serves no work while it drains and reboots.

Baselines: ``proportional`` sizes the pools in proportion to the demand of every
tick, ``proportional_minutes`` does so once a minute from the mean of that minute,
and ``static`` never moves a host. The buffer of a policy is the size of the
smallest fleet that serves ``BUFFER_KEPT_FRACTION`` of the work, minus the hosts
that the mean demand fills. Prints the seed, ``name=value`` lines, and pass or fail
for each criterion, a limit that a figure must meet.

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
BUFFER_KEPT_FRACTION = 0.95
LARGEST_FLEET = 160
DRAIN_SECONDS = 4
REBOOT_SECONDS = 60
SAMPLE_INTERVAL_SECONDS = 5
DECISION_INTERVAL_SECONDS = 15
MIN_MOVES_RATIO = 5.0


class Model:
    """Simulates the pools of one site with their hosts and queues.

    ``ready_at`` is the second from which a moved host serves again. ``wanted`` holds
    the latest demand samples of each pool; the oldest of them is the one reported.
    """

    def __init__(self, site, seed, scenario="surges", fleet_size=None, report="honest"):
        path, hosts_per_pool = SITES[site]
        with open(path) as file:
            text = file.read()
        self.rules = rules_parser.read_rules(text)
        self.pools = list(self.rules.pools)
        self.spare = self.rules.spare_pool()
        self.hosts = self._make_hosts(fleet_size or hosts_per_pool * len(self.pools))
        self.state = fleet.FleetState()
        self.append(records.RulesPublished(text, 0))
        for name in self.hosts:
            pool = self.rules.home_pool(name)
            self.append(records.HostAssigned(name, pool, 0))
        self.means = {
            pool: hosts_per_pool
            * SLOTS
            * (SPARE_LOAD if pool == self.spare else MEAN_LOAD)
            for pool in self.pools
        }
        factors = SCENARIOS[scenario](self.pools, self.spare)
        self.demand = make_demand(self.pools, self.means, factors, seed)
        self.queues = {pool: Queue(self._deadline(pool)) for pool in self.pools}
        self.ready_at = {}
        self.moves = 0
        self.windows = {pool: demand.DemandWindow() for pool in self.pools}
        self.imbalances = capacity.PoolImbalances()
        self.report, self.lag_seconds = REPORT_KINDS[report]
        self.generator = random.Random(seed + 1)
        self.wanted = collections.defaultdict(collections.deque)

    def _make_hosts(self, count):
        """Return ``count`` hosts, assigned round-robin with the spare pool last."""
        pool_order = sorted(self.pools, key=lambda pool: pool == self.spare)
        hosts = {}
        for index in range(count):
            number, pool_index = divmod(index, len(pool_order))
            prefix = self.rules.pools[pool_order[pool_index]].hosts.rstrip("*")
            name = f"{prefix}{number + 1}"
            zone, rack = f"zone-{number % 3}", f"rack-{index // 4}"
            hosts[name] = Host(name, HostKind.EXECUTOR, "127.0.0.1:1", zone, rack)
        return hosts

    def _deadline(self, pool):
        return min(s.deadline for s in self.rules.services_of(pool))

    def append(self, body):
        """Fold a record of ``body`` into the state; return whether it was accepted."""
        record = records.new_record(body, "control-1", "model", 0.0)
        return fleet.fold(self.state, self.state.next_offset, record).accepted

    def _serve(self, second):
        """Run waiting work on idle slots, first that of a pool's own services.

        The slots that remain go to the services that borrow, most urgent first.
        """
        idle_slots = collections.Counter()
        for name, host in self.state.hosts.items():
            if not host.destination and self.ready_at.get(name, 0) <= second:
                idle_slots[host.pool] += SLOTS
        for pool, queue in self.queues.items():
            idle_slots[pool] = queue.serve(idle_slots[pool])
        services = sorted(
            self.rules.services.values(),
            key=lambda s: capacity.URGENCY_ORDER[s.urgency],
        )
        for service in services:
            for pool in service.borrows:
                idle_slots[pool] = self.queues[service.pool].serve(idle_slots[pool])

    def _finish_moves(self, second):
        for name, host in list(self.state.hosts.items()):
            if host.destination and self.ready_at[name] - REBOOT_SECONDS <= second:
                body = records.HostAssigned(name, host.destination, host.version)
                self.append(body)

    def start_move(self, body, second):
        """Fold a ``MoveStarted``; the host is out of service until it has rebooted."""
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
        """Add a demand sample per pool, as estimated from reports of the entries."""
        for pool in self.pools:
            demand_now = self.demand(second, pool) + self.queues[pool].depth()
            self.wanted[pool].append(demand_now)
            if len(self.wanted[pool]) > 1 + self.lag_seconds // SAMPLE_INTERVAL_SECONDS:
                self.wanted[pool].popleft()
            reports = self.report(self.wanted[pool][0], self.generator)
            slots = demand.estimate_demand(reports, ENTRIES)
            if slots is not None:
                self.windows[pool].observe(float(second), slots)

    def run(self, policy):
        """Simulate ``RUN_SECONDS``; ``policy(model, second)`` starts the moves."""
        for second in range(RUN_SECONDS):
            for pool, queue in self.queues.items():
                queue.add(second, self.demand(second, pool))
            self._finish_moves(second)
            self._serve(second)
            if second % SAMPLE_INTERVAL_SECONDS == 0:
                self._sample(second)
            policy(self, second)
        return self

    @property
    def kept(self):
        """Return the fraction of the offered work that met its deadline."""
        offered = sum(queue.offered for queue in self.queues.values())
        return sum(queue.served for queue in self.queues.values()) / offered

    @property
    def needed(self):
        """Return how many fully used hosts serve the mean demand."""
        return math.ceil(sum(self.means.values()) / SLOTS)


def use_product_sizing(model, second):
    """Start the moves that the pool sizing of azurelanding decides."""
    if second % DECISION_INTERVAL_SECONDS == 0:
        loads = capacity.compute_loads(
            model.state, model.views(), model.windows, SLOTS, float(second)
        )
        body = capacity.next_move(
            model.spare, loads, model.imbalances, float(second), model.rules.home_pool
        )
        if body is not None:
            model.start_move(body, second)


def _proportional_sizes(model, wanted):
    """Return pool sizes in proportion to ``wanted`` slots, at least one host each."""
    total = sum(wanted.values()) or 1.0
    spread = len(model.hosts) - len(model.pools)
    shares = {pool: 1 + spread * slots / total for pool, slots in wanted.items()}
    sizes = {pool: math.floor(share) for pool, share in shares.items()}
    by_remainder = sorted(shares, key=lambda pool: sizes[pool] - shares[pool])
    for pool in by_remainder[: len(model.hosts) - sum(sizes.values())]:
        sizes[pool] += 1
    return sizes


def _start_moves(model, sizes, second):
    """Start moves that bring the pools closer to ``sizes``."""
    host_counts = collections.Counter(
        host.destination or host.pool for host in model.state.hosts.values()
    )
    for name, host in model.state.hosts.items():
        is_movable = not host.destination and model.ready_at.get(name, 0) <= second
        if not is_movable or host_counts[host.pool] <= sizes[host.pool]:
            continue
        receiver = max(sizes, key=lambda pool: sizes[pool] - host_counts[pool])
        if sizes[receiver] <= host_counts[receiver]:
            return
        host_counts[host.pool] -= 1
        host_counts[receiver] += 1
        stops = model.state.stops.get(host.pool, 0)
        model.start_move(
            records.MoveStarted(name, receiver, host.version, stops), second
        )


def proportional(model, second):
    """Size the pools in proportion to the demand of this tick."""
    wanted = {
        pool: model.demand(second, pool) + model.queues[pool].depth()
        for pool in model.pools
    }
    _start_moves(model, _proportional_sizes(model, wanted), second)


def proportional_minutes(model, second):
    """Size the pools once a minute in proportion to the mean demand of that minute."""
    if second % 60 == 59:
        wanted = {
            pool: sum(model.demand(second - back, pool) for back in range(60))
            for pool in model.pools
        }
        _start_moves(model, _proportional_sizes(model, wanted), second)


def static(_model, _second):
    """Move no hosts."""


POLICIES = {
    "sized": use_product_sizing,
    "proportional": proportional,
    "proportional_minutes": proportional_minutes,
    "static": static,
}


def find_smallest_fleet(site, policy, seed):
    """Return the size of the smallest fleet that serves enough of the work.

    That is ``BUFFER_KEPT_FRACTION`` of it. ``None`` means that even
    ``LARGEST_FLEET`` hosts serve less.
    """
    low, high = len(Model(site, seed).pools), LARGEST_FLEET
    if Model(site, seed, fleet_size=high).run(policy).kept < BUFFER_KEPT_FRACTION:
        return None
    while high - low > 1:
        middle = (low + high) // 2
        kept = Model(site, seed, fleet_size=middle).run(policy).kept
        low, high = (low, middle) if kept >= BUFFER_KEPT_FRACTION else (middle, high)
    return high


def _print_criterion(name, passed):
    print(f"bar.{name}={'pass' if passed else 'FAIL'}")
    return passed


def _run_scenario(site, scenario, seed):
    """Return the model of each policy after ``scenario``; print moves and work kept."""
    models = {}
    for name, policy in POLICIES.items():
        model = models[name] = Model(site, seed, scenario).run(policy)
        print(f"{site}.{scenario}.{name}.moves={model.moves}")
        print(f"{site}.{scenario}.{name}.kept={model.kept:.4f}")
    return models


def _compare_policies(site, seed):
    criteria_met = []
    for scenario in SCENARIOS:
        models = _run_scenario(site, scenario, seed)
        sized_run, proportional_run = models["sized"], models["proportional"]
        has_fewer_moves = proportional_run.moves >= MIN_MOVES_RATIO * max(
            sized_run.moves, 1
        )
        label = f"{site}.{scenario}"
        criteria_met.append(
            _print_criterion(f"{label}.five_times_fewer_moves", has_fewer_moves)
        )
        criteria_met.append(
            _print_criterion(
                f"{label}.same_or_more_work", sized_run.kept >= proportional_run.kept
            )
        )
        if scenario == "shift":
            moves_pay = sized_run.kept > models["static"].kept
            criteria_met.append(_print_criterion(f"{label}.moves_pay", moves_pay))
    return criteria_met


def _compare_buffers(site, seed):
    buffers = {}
    for name, policy in POLICIES.items():
        smallest = find_smallest_fleet(site, policy, seed)
        needed = Model(site, seed).needed
        buffers[name] = math.inf if smallest is None else smallest - needed
        print(f"{site}.{name}.smallest_fleet={smallest or f'over {LARGEST_FLEET}'}")
        print(f"{site}.{name}.buffer_hosts={buffers[name]}")
    is_no_larger = buffers["sized"] <= buffers["proportional"]
    return [_print_criterion(f"{site}.no_more_buffer", is_no_larger)]


def _compare_reports(site, seed):
    runs = {
        kind: Model(site, seed, "growth", report=kind).run(use_product_sizing)
        for kind in REPORT_KINDS
    }
    for kind, model in runs.items():
        print(f"{site}.reports.{kind}.moves={model.moves}")
        print(f"{site}.reports.{kind}.kept={model.kept:.4f}")
    honest_run = runs["honest"]
    return [
        _print_criterion(f"{site}.reports.{kind}", model.moves <= honest_run.moves)
        for kind, model in runs.items()
    ]


def main(*, seed: int = 7):
    """Measure both sites and exit with 1 if a criterion is missed.

    :param seed: seed of the demand
    """
    print(f"seed={seed}")
    criteria_met = []
    for site in SITES:
        criteria_met += _compare_policies(site, seed)
        criteria_met += _compare_buffers(site, seed)
        criteria_met += _compare_reports(site, seed)
    sys.exit(0 if all(criteria_met) else 1)


if __name__ == "__main__":
    defopt.run(main)
