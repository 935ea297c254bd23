"""Measure what waves and pool sizes cost a control daemon as the fleet grows.

For fleets of 1,000 to 18,000 hosts in 96 pools it times one look for pools with
something to do, one decision on a pool in a wave, and one decision on the moves of
all pools, and gives the share of a core that each takes at its period. Prints
``name=value`` lines.

Run with ``python -m bench.slopes_maintenance``.
"""

import time

from azurelanding import capacity, demand, fleet, maintenance, pool_views, records
from azurelanding.capacity_task import SAMPLE_INTERVAL_SECONDS, SAMPLES_PER_DECISION
from azurelanding.hosts import Host, HostKind, Phase
from azurelanding.maintenance_task import TICK_SECONDS

FLEETS = (1_000, 4_500, 9_000, 18_000)
POOLS = 96
ROUNDS = 20
SLOTS = 8
SILENCE_SECONDS = 3.0


def make_rules():
    """Return the rules of ``POOLS`` pools with maintenance."""
    lines = ["pool pool-0 spare=yes # A"]
    lines += [f"pool pool-{n} hosts=pool-{n}-* # A" for n in range(1, POOLS)]
    lines += [f"maintenance pool-{n} at-once=8 # A" for n in range(POOLS)]
    return "\n".join(lines)


def make_fleet(count):
    """Return the state and the host list of ``count`` hosts, one pool in a wave."""
    state, hosts = fleet.FleetState(), {}

    def append(body):
        record = records.new_record(body, "control-1", "bench", 0.0)
        return fleet.fold(state, state.next_offset, record)

    append(records.RulesPublished(make_rules(), 0))
    for index in range(count):
        pool = f"pool-{index % POOLS}"
        name = f"{pool}-{index}"
        rack = f"rack-{index // POOLS // 16}"
        kind = HostKind.WORKER if index % 4 else HostKind.EXECUTOR
        hosts[name] = Host(name, kind, "127.0.0.1:1", f"zone-{index % 13}", rack)
        append(records.HostAssigned(name, pool, 0))
    names = tuple(n for n, host in state.hosts.items() if host.pool == "pool-1")
    append(records.WaveStarted("pool-1", names, state.stops.get("pool-1", 0)))
    return state, hosts


def time_once(run):
    """Return the processor seconds of one call, the median of ``ROUNDS``."""
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        run()
        times.append(time.process_time() - began)
    return sorted(times)[ROUNDS // 2]


def measure(count):
    """Print the costs of a fleet of ``count`` hosts."""
    state, hosts = make_fleet(count)
    window = demand.DemandWindow()
    for second in range(0, 600, 5):
        window.observe(float(second), 8.0)
    windows = dict.fromkeys(state.rules.pools, window)
    patience = capacity.PoolImbalances()

    def view(names):
        return pool_views.make_pool_views(
            state, hosts, [], set(), SILENCE_SECONDS, pool_views.Observations(), names
        )

    def look():
        serving = Phase.SERVING
        return {n: h for n, h in state.hosts.items() if h.phase is not serving}

    def decide_wave():
        return maintenance.decide(view(["pool-1"])["pool-1"], 0.0)

    def decide_moves():
        loads = capacity.compute_loads(
            state, view(state.rules.pools), windows, SLOTS, 600.0
        )
        return capacity.next_move(
            "pool-0", loads, patience, 600.0, state.rules.home_pool
        )

    decide_period = SAMPLE_INTERVAL_SECONDS * SAMPLES_PER_DECISION
    for name, run, period in (
        ("look", look, TICK_SECONDS),
        ("decide_wave", decide_wave, TICK_SECONDS),
        ("decide_moves", decide_moves, decide_period),
    ):
        seconds = time_once(run)
        print(f"hosts.{count}.{name}.ms={seconds * 1000:.2f}")
        print(f"hosts.{count}.{name}.core_percent={seconds / period * 100:.2f}")


def main():
    """Measure every fleet."""
    for count in FLEETS:
        measure(count)


if __name__ == "__main__":
    main()
