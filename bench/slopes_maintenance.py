"""Measure what maintenance and pool sizing cost a control daemon as the fleet grows.

For fleets of 1,000 to 18,000 hosts in 96 pools the bench times one scan for hosts
that do not serve, one decision on a pool with a wave, and one decision on the moves
between all pools. It also prints which share of a core each takes at the interval
at which the daemon repeats it. The output has ``name=value`` lines.

Run with ``python -m bench.slopes_maintenance``.
"""

import time

from azurelanding import capacity, demand, fleet, maintenance, pool_views, records
from azurelanding.capacity_task import SAMPLE_INTERVAL_SECONDS, SAMPLES_PER_DECISION
from azurelanding.hosts import Host, HostKind, Phase
from azurelanding.maintenance_task import CHECK_INTERVAL_SECONDS

FLEET_SIZES = (1_000, 4_500, 9_000, 18_000)
POOL_COUNT = 96
REPEATS = 20
SLOTS_PER_HOST = 8
ENTRY_TIMEOUT_SECONDS = 3.0


def make_rules():
    """Return the text of rules with maintenance for ``POOL_COUNT`` pools."""
    lines = ["pool pool-0 spare=yes # A"]
    lines += [f"pool pool-{n} hosts=pool-{n}-* # A" for n in range(1, POOL_COUNT)]
    lines += [f"maintenance pool-{n} at-once=8 # A" for n in range(POOL_COUNT)]
    return "\n".join(lines)


def make_fleet(count):
    """Return the state and the host list of ``count`` hosts; one pool has a wave."""
    state, hosts = fleet.FleetState(), {}

    def append(body):
        record = records.new_record(body, "control-1", "bench", 0.0)
        return fleet.fold(state, state.next_offset, record)

    append(records.RulesPublished(make_rules(), 0))
    for index in range(count):
        pool = f"pool-{index % POOL_COUNT}"
        name = f"{pool}-{index}"
        rack = f"rack-{index // POOL_COUNT // 16}"
        kind = HostKind.WORKER if index % 4 else HostKind.EXECUTOR
        hosts[name] = Host(name, kind, "127.0.0.1:1", f"zone-{index % 13}", rack)
        append(records.HostAssigned(name, pool, 0))
    names = tuple(n for n, host in state.hosts.items() if host.pool == "pool-1")
    append(records.WaveStarted("pool-1", names, state.stops.get("pool-1", 0)))
    return state, hosts


def median_process_seconds(call):
    """Return the median processor time in seconds of ``REPEATS`` calls."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        call()
        times.append(time.process_time() - started)
    return sorted(times)[REPEATS // 2]


def measure(count):
    """Print the processor time of each operation in a fleet of ``count`` hosts."""
    state, hosts = make_fleet(count)
    window = demand.DemandWindow()
    for second in range(0, 600, 5):
        window.observe(float(second), 8.0)
    windows = dict.fromkeys(state.rules.pools, window)
    imbalances = capacity.PoolImbalances()

    def make_views(names):
        return pool_views.make_pool_views(
            state,
            hosts,
            [],
            set(),
            ENTRY_TIMEOUT_SECONDS,
            pool_views.Observations(),
            names,
        )

    def scan_hosts():
        serving = Phase.SERVING
        return {n: h for n, h in state.hosts.items() if h.phase is not serving}

    def decide_wave():
        return maintenance.decide(make_views(["pool-1"])["pool-1"], 0.0)

    def decide_moves():
        loads = capacity.compute_loads(
            state, make_views(state.rules.pools), windows, SLOTS_PER_HOST, 600.0
        )
        return capacity.next_move(
            "pool-0", loads, imbalances, 600.0, state.rules.home_pool
        )

    decide_interval = SAMPLE_INTERVAL_SECONDS * SAMPLES_PER_DECISION
    for name, call, interval in (
        ("look", scan_hosts, CHECK_INTERVAL_SECONDS),
        ("decide_wave", decide_wave, CHECK_INTERVAL_SECONDS),
        ("decide_moves", decide_moves, decide_interval),
    ):
        seconds = median_process_seconds(call)
        print(f"hosts.{count}.{name}.ms={seconds * 1000:.2f}")
        print(f"hosts.{count}.{name}.core_percent={seconds / interval * 100:.2f}")


def main():
    """Measure all fleet sizes."""
    for count in FLEET_SIZES:
        measure(count)


if __name__ == "__main__":
    main()
