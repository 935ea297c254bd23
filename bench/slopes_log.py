"""Measure what the log costs a daemon, as slopes for the capacity page.

It prints the cost of folding a record, snapshots and memory by host, the time of a
cold start, and the bytes and the processor time of an exchange between daemons.
``python -m bench.slopes_log``
"""

import statistics
import time
import tracemalloc

import anyio
import capnp

from azurelanding import fleet, log, records
from azurelanding.entries.members import Members
from azurelanding.entries.server import PeerServer
from azurelanding.entries.wire import Status
from azurelanding.log_service import snapshots, wire
from azurelanding.log_service.client import LogClient
from azurelanding.log_service.follower import FleetFollower
from azurelanding.settings import EntriesSettings, LogServiceSettings
from azurelanding.standins.site import Site, SiteConfig, free_ports
from azurelanding.standins.tcp_path import TcpPath
from azurelanding.tests.fake_log import FakeLog

HOSTS = (1_000, 6_000, 18_000)
POOLS = 96
REPEATS = 5
FOLDS = 2_000
TAIL_RECORDS = 2_000
POOL_COUNTS = (5, 96)
BUSY_COUNTS = (0, 240)
EXCHANGES = 200
PERIOD_SECONDS = 0.005
HEARTBEAT_SECONDS = 1.0
GUARD_SECONDS = 30.0


def rules_text(pools=POOLS):
    """Return a rules file of ``pools`` pools."""
    lines = [
        f"pool p{n} hosts=p{n}-* availability=95%  # Marisol" for n in range(pools)
    ]
    return "\n".join(lines)


def make_record(body):
    """Return a record as a daemon writes it."""
    return records.new_record(body, "control-1.0a1b2c3d", "rules", time.time(), 1 << 40)


def host_name(number):
    """Return the name of the host ``number``."""
    return f"p{number % POOLS}-{number:05d}"


def make_state(hosts):
    """Return the state of a fleet of ``hosts`` hosts in 96 pools."""
    state = fleet.FleetState()
    bodies = [
        records.RulesPublished(rules_text(), 0),
        records.LeasesTaken(6.0, {f"p{n}": 0 for n in range(POOLS)}),
    ]
    bodies += [
        records.HostAssigned(host_name(n), f"p{n % POOLS}", 0) for n in range(hosts)
    ]
    for offset, body in enumerate(bodies, start=1):
        fleet.fold(state, offset, make_record(body))
    return state


def time_of(action):
    """Return the median processor time in seconds of ``action()``."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return statistics.median(times)


def measure_folds(hosts):
    """Print what installing one record costs, decoding and logging included."""
    follower = FleetFollower.from_config(FakeLog(), LogServiceSettings())
    follower.replace_state(make_state(hosts))

    def fold_entry(make_body):
        for number in range(FOLDS):
            offset = follower.head.next_offset
            text = wire.encode_record(make_record(make_body(number)))
            texts.append((offset, text))
            follower.fold_entry(offset, text)

    kinds = {
        "drain": lambda n: records.HostDraining(
            host_name(n % hosts), "x", follower.head.hosts[host_name(n % hosts)].version
        ),
        "renewal": lambda _: records.LeasesRenewed(6.0),
    }
    for kind, make_body in kinds.items():
        texts = []
        whole = time_of(lambda make_body=make_body: fold_entry(make_body)) / FOLDS
        size = statistics.mean(len(text) for _, text in texts)
        print(f"fold_{kind}_hosts_{hosts}_microseconds={whole * 1e6:.1f}")
        print(f"record_{kind}_bytes={size:.0f}")


def measure_snapshots(hosts):
    """Print the bytes and the processor time of a snapshot."""
    state = make_state(hosts)
    data = snapshots.encode_state(state)
    encode = time_of(lambda: snapshots.encode_state(state))
    decode = time_of(lambda: snapshots.decode_state(data))
    parts = snapshots.make_parts(state)
    written = sum(len(wire.encode_part(part)) for part in parts)
    print(f"snapshot_hosts_{hosts}_bytes={len(data)} log_bytes={written}")
    print(f"snapshot_hosts_{hosts}_parts={len(parts)}")
    print(f"snapshot_hosts_{hosts}_encode_milliseconds={encode * 1e3:.1f}")
    print(f"snapshot_hosts_{hosts}_decode_milliseconds={decode * 1e3:.1f}")


def measure_memory(hosts):
    """Print the memory that a state takes."""
    tracemalloc.start()
    data = snapshots.encode_state(make_state(hosts))
    before = tracemalloc.get_traced_memory()[0]
    state = snapshots.decode_state(data)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"state_hosts_{len(state.hosts)}_kilobytes={used / 1e3:.0f}")


async def time_start(site):
    """Return the seconds until the entry has a state in force."""
    started = time.monotonic()
    await site.start_daemon("entry-1")
    await site.wait_for_status(site.entries[0], lambda report: report.in_force)
    seconds = time.monotonic() - started
    await site.kill("entry-1")
    return seconds


async def measure_cold_start(hosts):
    """Print the time until a new entry has the state of the log in force."""
    site = Site.from_config(SiteConfig(entries=1, controls=0))
    try:
        await site.start()
        await site.kill("entry-1")
        client = LogClient.from_config(LogServiceSettings(site.log_address))
        await site.set_log_knobs(rate=100_000.0)
        bare = await time_start(site)
        state = make_state(hosts)
        for _ in range(state.next_offset - 1 - TAIL_RECORDS):
            await client.append(records.FLEET_STREAM, "{")
        await fill_tail(client, state)
        filled = await time_start(site)
        await client.close()
    finally:
        await site.close()
    print(f"cold_start_empty_seconds={bare:.2f}")
    print(f"cold_start_hosts_{hosts}_tail_{TAIL_RECORDS}_seconds={filled:.2f}")


async def fill_tail(client, state):
    """Write a snapshot of ``state`` and records after it, up to its offset."""
    await snapshots.write_snapshot(client, state, 0.1)
    start = (await client.read(records.FLEET_STREAM, 1, limit=1)).end
    missing = state.next_offset - start + TAIL_RECORDS
    for _ in range(missing):
        text = wire.encode_record(make_record(records.LeasesRenewed(6.0)))
        await client.append(records.FLEET_STREAM, text)


class Pair:
    """Two fellows, one of which reaches the other over a path that counts bytes."""

    def __init__(self, pools, busy):
        ports = free_ports(3)
        near, far, between = (f"127.0.0.1:{port}" for port in ports)
        self.path = TcpPath(between, far)
        self.near = self.make_members(near, (between,), pools, busy)
        self.far = self.make_members(far, (), pools, busy)
        self.server = PeerServer.from_config(self.far.settings, self.far)

    def make_members(self, address, fellows, pools, busy):
        """Return the members at ``address`` that tell of ``busy`` hosts."""
        settings = EntriesSettings(address, fellows, PERIOD_SECONDS, 3.0)
        status = Status(
            "entry-1",
            "entry-1.0a1b2c3d",
            "entry",
            "zone-a",
            address,
            1,
            1,
            tuple(host_name(n) for n in range(busy)),
            False,
            {f"p{n}": 1.0 for n in range(pools)},
        )
        follower = FleetFollower.from_config(FakeLog(), LogServiceSettings())
        members = Members.from_config(settings, lambda: status, follower)
        members.is_due = lambda _address, _now: True
        return members

    async def run(self):
        """Print the bytes and the processor time of one exchange, both ends."""
        async with anyio.create_task_group() as task_group:
            await task_group.start(self.path.run)
            await self.server.start(task_group)
            self.near.start(task_group)
            await anyio.sleep(0.2)
            bytes_before, started = self.path.forwarded_bytes, time.process_time()
            count = await self.count_exchanges(EXCHANGES)
            seconds = time.process_time() - started
            forwarded_bytes = self.path.forwarded_bytes - bytes_before
            task_group.cancel_scope.cancel()
        return forwarded_bytes / count, seconds / count

    async def count_exchanges(self, count):
        """Return after ``count`` exchanges."""
        seen = 0
        record_status = self.far.record_status

        def counted(status):
            nonlocal seen
            seen += 1
            record_status(status)

        self.far.record_status = counted
        with anyio.fail_after(GUARD_SECONDS):
            while seen < count:  # noqa: ASYNC110
                await anyio.sleep(PERIOD_SECONDS)
        return seen


async def measure_exchange(pools, busy):
    """Print the bytes and the processor time of one exchange."""
    async with capnp.kj_loop():
        forwarded_bytes, seconds = await Pair(pools, busy).run()
    name = f"exchange_pools_{pools}_busy_{busy}"
    print(f"{name}_bytes={forwarded_bytes:.0f}")
    print(f"{name}_microseconds={seconds * 1e6:.0f}")
    rate = forwarded_bytes / HEARTBEAT_SECONDS
    print(f"{name}_heartbeat_bytes_a_second_for_each_fellow={rate:.0f}", flush=True)


def main():
    """Run every measurement."""
    log.configure("warning")
    for hosts in HOSTS:
        measure_folds(hosts)
        measure_snapshots(hosts)
        measure_memory(hosts)
    for hosts in HOSTS[0], HOSTS[-1]:
        anyio.run(measure_cold_start, hosts)
    for pools in POOL_COUNTS:
        for busy in BUSY_COUNTS:
            anyio.run(measure_exchange, pools, busy)


if __name__ == "__main__":
    main()
