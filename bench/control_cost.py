"""Measure the processor time and memory of daemons that receive no requests.

``python -m bench.control_cost`` starts sites of growing size as separate processes,
waits until they are idle and reads the processor time and the resident memory of
each daemon. It prints ``name=value`` lines.
"""

import os
import pathlib

import anyio
import attrs

from azurelanding.operators.client import OperatorsClient
from azurelanding.records import RulesPublished
from azurelanding.standins.site import LocalSite, SiteConfig

RULES_PATH = "examples/telar.rules"
EXECUTOR_PREFIXES = ("preview", "cut", "swatch", "catalogue", "storefront")
SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 10.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Indexes of the fields of /proc/PID/stat, counted after the command name.
UTIME_FIELD, STIME_FIELD, RSS_FIELD = 11, 12, 21


@attrs.frozen
class ProcessUsage:
    """Processor time of a process since its start, and its resident memory."""

    processor_seconds: float
    resident_bytes: int


def read_usage(pid):
    """Return the ``ProcessUsage`` of the process ``pid``."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
    return ProcessUsage(ticks / TICKS_PER_SECOND, int(fields[RSS_FIELD]) * PAGE_BYTES)


def _read_usages(site):
    return {
        name: read_usage(daemon.process.pid) for name, daemon in site.daemons.items()
    }


async def publish_rules(site, path):
    """Publish the rules file at ``path`` through the first control daemon."""
    text = await anyio.Path(path).read_text()
    client = OperatorsClient.from_config(site.operators_address)
    await client.change(RulesPublished(text, 0), "bench")
    await client.close()


async def measure(size):
    """Print the cost of the daemons of a site.

    The site has ``size`` entries and as many control daemons.
    """
    config = SiteConfig(
        entries=size, controls=size, executors=dict.fromkeys(EXECUTOR_PREFIXES, 6)
    )
    site = LocalSite.from_config(config)
    try:
        await site.start()
        await publish_rules(site, RULES_PATH)
        await anyio.sleep(SETTLE_SECONDS)
        before = _read_usages(site)
        await anyio.sleep(MEASURE_SECONDS)
        after = _read_usages(site)
    finally:
        await site.close()
    for role in ("entry", "control"):
        names = [name for name, daemon in site.daemons.items() if daemon.role == role]
        spent_seconds = [
            after[name].processor_seconds - before[name].processor_seconds
            for name in names
        ]
        percent = 100.0 * sum(spent_seconds) / len(spent_seconds) / MEASURE_SECONDS
        resident_mebibytes = max(after[name].resident_bytes for name in names) / (
            1 << 20
        )
        print(f"{role}.members={2 * size} core_percent={percent:.2f}", end=" ")
        print(f"resident_mb={resident_mebibytes:.0f}", flush=True)


async def main():
    """Measure sites with 1, 3 and 6 entries and as many control daemons."""
    for size in (1, 3, 6):
        await measure(size)


if __name__ == "__main__":
    anyio.run(main)
