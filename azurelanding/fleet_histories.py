"""Check histories of the fleet: what daemons had in force and what hosts ran.

A history is a list of ``Sample``s, each what one daemon said at one moment, with
the times of publishes, drains, reboots and runs beside it. All times are in
seconds of one monotonic clock. Each checker returns the violations that it found,
in words; an empty list is a pass.
"""

import collections

import attrs

from azurelanding import availability, fleet, records
from azurelanding.fleet import Phase


@attrs.frozen
class Sample:
    """What a daemon answered at ``at``; ``requested_at`` is when it was asked.

    ``hosts`` gives, by host, its pool and the version of that.
    """

    daemon: str
    requested_at: float
    at: float
    rules_version: int
    hosts: dict[str, tuple[str, int]] = attrs.field(factory=dict)


@attrs.frozen
class Publish:
    """Rules that were accepted as ``version`` by ``accepted_at``."""

    version: int
    accepted_at: float


@attrs.frozen
class Downtime:
    """A time in which a daemon was killed or frozen."""

    daemon: str
    start: float
    end: float


@attrs.frozen
class Drain:
    """A host that was to get nothing new from ``accepted_at`` until ``ended_at``."""

    host: str
    accepted_at: float
    ended_at: float = float("inf")


@attrs.frozen
class Run:
    """One request that ran on a host; ``finished_at`` is ``None`` if it did not."""

    host: str
    request_id: str
    started_at: float
    finished_at: float | None


@attrs.frozen
class Reboot:
    """A planned stop of a host."""

    host: str
    started_at: float


def find_conflicting_pools(samples):
    """Return the hosts that two daemons gave to different pools at one version."""
    pools = collections.defaultdict(set)
    for sample in samples:
        for host, (pool, version) in sample.hosts.items():
            pools[host, version].add(pool)
    return [
        f"{host} at version {version} belongs to {', '.join(sorted(found))}"
        for (host, version), found in pools.items()
        if len(found) > 1
    ]


def find_version_regressions(samples):
    """Return where a daemon had lower rules after higher ones, restarts included.

    A daemon that has just started and has nothing in force yet has no rules.
    """
    highest, found = {}, []
    for sample in samples:
        before = highest.get(sample.daemon, 0)
        if 0 < sample.rules_version < before:
            found.append(
                f"{sample.daemon} went from version {before} to {sample.rules_version}"
            )
        highest[sample.daemon] = max(before, sample.rules_version)
    return found


def find_late_rules(publishes, samples, downtimes, limit):
    """Return the daemons that did not have rules in force ``limit`` seconds later.

    A daemon that was absent at any time after the publish is given the limit
    again from its return.
    """
    found = []
    for publish in publishes:
        for sample in samples:
            back_at = max(
                (
                    downtime.end
                    for downtime in downtimes
                    if downtime.daemon == sample.daemon
                    and downtime.start <= sample.at
                    and downtime.end >= publish.accepted_at
                ),
                default=publish.accepted_at,
            )
            late = sample.requested_at > max(back_at, publish.accepted_at) + limit
            if late and sample.rules_version < publish.version:
                found.append(
                    f"{sample.daemon} had version {sample.rules_version} "
                    f"{sample.requested_at - publish.accepted_at:.1f} s after "
                    f"{publish.version} was accepted"
                )
    return found


def _is_planned(record):
    planned = isinstance(record.body, records.HostDraining | records.WaveStepTaken)
    return planned and record.body.epoch != fleet.NO_VERSION


def find_budget_breaches(entries):
    """Return the drains by controllers that left a pool below its budget.

    ``entries`` are pairs of offset and record in the order of the log. A host
    that fails is not seen here, only the drains.
    """
    state, found = fleet.FleetState(), []
    for offset, record in entries:
        state.next_offset = offset
        verdict = fleet.fold(state, offset, record)
        if not verdict.accepted or not _is_planned(record):
            continue
        sizes, serving = collections.Counter(), collections.Counter()
        for host in state.hosts.values():
            sizes[host.pool] += 1
            serving[host.pool] += host.phase is Phase.SERVING
        for pool, size in sizes.items():
            rule = state.rules.pools.get(pool)
            needed = availability.required(rule.availability, size) if rule else 0
            if serving[pool] < needed:
                found.append(
                    f"record {offset} left {serving[pool]} of {size} hosts of {pool}"
                )
    return found


def find_work_after_drain(drains, runs, grace):
    """Return the requests that a leaving host got more than ``grace`` seconds late."""
    return [
        f"{drain.host} got {run.request_id} {run.started_at - drain.accepted_at:.1f} s "
        "after its drain"
        for drain in drains
        for run in runs
        if run.host == drain.host
        and drain.accepted_at + grace < run.started_at < drain.ended_at
    ]


def find_interrupted_requests(reboots, runs):
    """Return the requests that were in flight on a host when it was rebooted."""
    return [
        f"{run.request_id} was in flight on {reboot.host} when it was rebooted"
        for reboot in reboots
        for run in runs
        if run.host == reboot.host
        and run.started_at < reboot.started_at
        and (run.finished_at is None or run.finished_at > reboot.started_at)
    ]
