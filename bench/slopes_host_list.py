"""Measure the cost of the host list for a daemon: bytes, time to decode, memory.

``python -m bench.slopes_host_list`` prints ``name=value`` lines for lists of 1,000 to
18,000 hosts, and for a listing with one changed host.
"""

import time
import tracemalloc

from azurelanding.host_list import wire
from azurelanding.hosts import Host, HostKind

FLEET_SIZES = (1_000, 6_000, 18_000)
POOL_COUNT = 96
ZONE_COUNT = 13
HOSTS_PER_RACK = 40


def make_host(number):
    """Return the ``Host`` of a worker in a large fleet."""
    return Host(
        f"worker-{number:05d}.pool{number % POOL_COUNT}",
        HostKind.WORKER,
        f"10.0.{number // 256}.{number % 256}:9100",
        f"zone-{number % ZONE_COUNT}",
        f"rack-{number // HOSTS_PER_RACK}",
        cores=64.0,
        memory=256 << 30,
        accelerators=number % 3,
    )


def measure(size):
    """Print the cost of decoding a whole list of ``size`` hosts."""
    hosts = tuple(make_host(number) for number in range(size))
    content = wire.encode_listing(wire.HostListing(size, True, hosts))
    del hosts
    tracemalloc.start()
    started = time.process_time()
    listing = wire.decode_listing(content)
    seconds = time.process_time() - started
    kilobytes = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    print(f"hosts_{len(listing.hosts)}.bytes={len(content)}")
    print(f"hosts_{size}.read_ms={1e3 * seconds:.0f}")
    print(f"hosts_{size}.kilobytes={kilobytes:.0f}")


def main():
    """Print the cost of whole lists and the bytes of one change."""
    for size in FLEET_SIZES:
        measure(size)
    change = wire.HostListing(2, False, (make_host(1),))
    print(f"one_change.bytes={len(wire.encode_listing(change))}")


if __name__ == "__main__":
    main()
