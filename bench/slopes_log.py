"""Measure how the cost of the log for a daemon grows with the fleet.

Prints figures for the capacity page: the processor time to fold a record, the size
and processor time of a snapshot and the memory of the state by number of hosts, the
time of a cold start, and the bytes and processor time of an exchange between daemons.

Run with ``python -m bench.slopes_log``.
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
from azurelanding.standins.site import LocalSite, SiteConfig, free_ports
from azurelanding.standins.tcp_path import TcpPath
from azurelanding.tests.fake_log import FakeLog

HOST_COUNTS = (1_000, 6_000, 18_000)
POOLS_PER_FLEET = 96
REPEATS = 5
FOLD_COUNT = 2_000
TAIL_RECORDS = 2_000
EXCHANGE_POOL_COUNTS = (5, 96)
EXCHANGE_BUSY_COUNTS = (0, 240)
EXCHANGE_COUNT = 200
EXCHANGE_INTERVAL_SECONDS = 0.005
HEARTBEAT_INTERVAL_SECONDS = 1.0
EXCHANGE_TIMEOUT_SECONDS = 30.0


def make_rules_text(pools=POOLS_PER_FLEET):
    """Return the text of a rules file with ``pools`` pools."""
    lines = [
        f"pool p{n} hosts=p{n}-* availability=95%  # Marisol" for n in range(pools)
    ]
    return "\n".join(lines)


def make_record(body):
    """Return the ``Record`` that a daemon would append for ``body``."""
    return records.new_record(body, "control-1.0a1b2c3d", "rules", time.time(), 1 << 40)


def make_host_name(number):
    """Return the name of the host with this ``number``."""
    return f"p{number % POOLS_PER_FLEET}-{number:05d}"


def make_state(hosts):
    """Return the ``FleetState`` of ``hosts`` hosts in ``POOLS_PER_FLEET`` pools."""
    state = fleet.FleetState()
    bodies = [
        records.RulesPublished(make_rules_text(), 0),
        records.LeasesTaken(6.0, {f"p{n}": 0 for n in range(POOLS_PER_FLEET)}),
    ]
    bodies += [
        records.HostAssigned(make_host_name(n), f"p{n % POOLS_PER_FLEET}", 0)
        for n in range(hosts)
    ]
    for offset, body in enumerate(bodies, start=1):
        fleet.fold(state, offset, make_record(body))
    return state


def median_process_seconds(call):
    """Return the median processor time in seconds of ``REPEATS`` calls."""
    times = []
    for _ in range(REPEATS):
        started = time.process_time()
        call()
        times.append(time.process_time() - started)
    return statistics.median(times)


def measure_folds(hosts):
    """Print the cost of installing one record, with decoding and logging."""
    follower = FleetFollower.from_config(FakeLog(), LogServiceSettings())
    follower.replace_state(make_state(hosts))

    def fold_entry(make_body):
        for number in range(FOLD_COUNT):
            offset = follower.head.next_offset
            text = wire.encode_record(make_record(make_body(number)))
            texts.append((offset, text))
            follower.fold_entry(offset, text)

    kinds = {
        "drain": lambda n: records.HostDraining(
            make_host_name(n % hosts),
            "x",
            follower.head.hosts[make_host_name(n % hosts)].version,
        ),
        "renewal": lambda _: records.LeasesRenewed(6.0),
    }
    for kind, make_body in kinds.items():
        texts = []
        per_record = (
            median_process_seconds(lambda make_body=make_body: fold_entry(make_body))
            / FOLD_COUNT
        )
        size = statistics.mean(len(text) for _, text in texts)
        print(f"fold_{kind}_hosts_{hosts}_microseconds={per_record * 1e6:.1f}")
        print(f"record_{kind}_bytes={size:.0f}")


def measure_snapshots(hosts):
    """Print the bytes and the processor time of a snapshot."""
    state = make_state(hosts)
    data = snapshots.encode_state(state)
    encode_seconds = median_process_seconds(lambda: snapshots.encode_state(state))
    decode_seconds = median_process_seconds(lambda: snapshots.decode_state(data))
    parts = snapshots.make_parts(state)
    log_bytes = sum(len(wire.encode_part(part)) for part in parts)
    print(f"snapshot_hosts_{hosts}_bytes={len(data)} log_bytes={log_bytes}")
    print(f"snapshot_hosts_{hosts}_parts={len(parts)}")
    print(f"snapshot_hosts_{hosts}_encode_milliseconds={encode_seconds * 1e3:.1f}")
    print(f"snapshot_hosts_{hosts}_decode_milliseconds={decode_seconds * 1e3:.1f}")


def measure_memory(hosts):
    """Print the memory of a decoded state."""
    tracemalloc.start()
    data = snapshots.encode_state(make_state(hosts))
    before = tracemalloc.get_traced_memory()[0]
    state = snapshots.decode_state(data)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"state_hosts_{len(state.hosts)}_kilobytes={used / 1e3:.0f}")


async def measure_start(site):
    """Return the seconds from the start of the entry until it has a state in force."""
    started = time.monotonic()
    await site.start_daemon("entry-1")
    await site.wait_for_status(site.entries[0], lambda report: report.in_force)
    seconds = time.monotonic() - started
    await site.kill("entry-1")
    return seconds


async def measure_cold_start(hosts):
    """Print the start time of an entry with an empty log and with a full one."""
    site = LocalSite.from_config(SiteConfig(entries=1, controls=0))
    try:
        await site.start()
        await site.kill("entry-1")
        client = LogClient.from_config(LogServiceSettings(site.log_address))
        await site.set_log_knobs(rate=100_000.0)
        empty_seconds = await measure_start(site)
        state = make_state(hosts)
        # Unreadable records fill most of the offsets that the snapshot covers.
        for _ in range(state.next_offset - 1 - TAIL_RECORDS):
            await client.append(records.FLEET_STREAM, "{")
        await append_snapshot_and_tail(client, state)
        filled_seconds = await measure_start(site)
        await client.close()
    finally:
        await site.close()
    print(f"cold_start_empty_seconds={empty_seconds:.2f}")
    print(f"cold_start_hosts_{hosts}_tail_{TAIL_RECORDS}_seconds={filled_seconds:.2f}")


async def append_snapshot_and_tail(client, state):
    """Append a snapshot of ``state``, then ``TAIL_RECORDS`` beyond its offset."""
    await snapshots.write_snapshot(client, state, 0.1)
    start = (await client.read(records.FLEET_STREAM, 1, limit=1)).end
    missing = state.next_offset - start + TAIL_RECORDS
    for _ in range(missing):
        text = wire.encode_record(make_record(records.LeasesRenewed(6.0)))
        await client.append(records.FLEET_STREAM, text)


class PeerPair:
    """Two peer daemons, the near one connected to the far one over a ``TcpPath``.

    The path counts the bytes of the connection.
    """

    def __init__(self, pools, busy):
        ports = free_ports(3)
        near, far, path_address = (f"127.0.0.1:{port}" for port in ports)
        self.path = TcpPath(path_address, far)
        self.near = self.make_members(near, (path_address,), pools, busy)
        self.far = self.make_members(far, (), pools, busy)
        self.server = PeerServer.from_config(self.far.settings, self.far)

    def make_members(self, address, peers, pools, busy):
        """Return ``Members`` at ``address`` whose status names ``busy`` busy hosts."""
        settings = EntriesSettings(address, peers, EXCHANGE_INTERVAL_SECONDS, 3.0)
        status = Status(
            "entry-1",
            "entry-1.0a1b2c3d",
            "entry",
            "zone-a",
            address,
            1,
            1,
            tuple(make_host_name(n) for n in range(busy)),
            False,
            {f"p{n}": 1.0 for n in range(pools)},
        )
        follower = FleetFollower.from_config(FakeLog(), LogServiceSettings())
        members = Members.from_config(settings, lambda: status, follower)
        members.is_due = lambda _address, _now: True
        return members

    async def run(self):
        """Return the bytes and the processor seconds of one exchange, at both ends."""
        async with anyio.create_task_group() as task_group:
            await task_group.start(self.path.run)
            await self.server.start(task_group)
            self.near.start(task_group)
            await anyio.sleep(0.2)
            bytes_before, started = self.path.forwarded_bytes, time.process_time()
            count = await self.count_exchanges(EXCHANGE_COUNT)
            seconds = time.process_time() - started
            forwarded_bytes = self.path.forwarded_bytes - bytes_before
            task_group.cancel_scope.cancel()
        return forwarded_bytes / count, seconds / count

    async def count_exchanges(self, count):
        """Wait for at least ``count`` exchanges; return how many there were."""
        exchanges = 0
        original = self.far.record_status

        def count_status(status):
            nonlocal exchanges
            exchanges += 1
            original(status)

        self.far.record_status = count_status
        with anyio.fail_after(EXCHANGE_TIMEOUT_SECONDS):
            while exchanges < count:  # noqa: ASYNC110
                await anyio.sleep(EXCHANGE_INTERVAL_SECONDS)
        return exchanges


async def measure_exchange(pools, busy):
    """Print the bytes and the processor time of one exchange."""
    async with capnp.kj_loop():
        forwarded_bytes, seconds = await PeerPair(pools, busy).run()
    name = f"exchange_pools_{pools}_busy_{busy}"
    print(f"{name}_bytes={forwarded_bytes:.0f}")
    print(f"{name}_microseconds={seconds * 1e6:.0f}")
    rate = forwarded_bytes / HEARTBEAT_INTERVAL_SECONDS
    print(f"{name}_heartbeat_bytes_a_second_for_each_fellow={rate:.0f}", flush=True)


def main():
    """Run all measurements."""
    log.configure("warning")
    for hosts in HOST_COUNTS:
        measure_folds(hosts)
        measure_snapshots(hosts)
        measure_memory(hosts)
    for hosts in HOST_COUNTS[0], HOST_COUNTS[-1]:
        anyio.run(measure_cold_start, hosts)
    for pools in EXCHANGE_POOL_COUNTS:
        for busy in EXCHANGE_BUSY_COUNTS:
            anyio.run(measure_exchange, pools, busy)


if __name__ == "__main__":
    main()
