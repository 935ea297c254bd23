"""Build the reports on status, hosts and rules, and one-line change summaries."""

import collections

from azurelanding import records
from azurelanding.operators import (
    pool_reports,
    wave_reports,
    wave_summaries,
    wire,
)


def _report_members(daemon):
    own = daemon.own_status()
    statuses = (daemon.members.live() | {own.name: own}).values()
    return tuple(
        wire.Member(
            status.name,
            status.role,
            status.zone,
            status.next_offset,
            status.rules_version,
            status.stopping,
        )
        for status in sorted(statuses, key=lambda status: status.name)
    )


def _count_hosts(state):
    counts = collections.defaultdict(collections.Counter)
    for host in state.hosts.values():
        counts[host.pool][host.phase.value] += 1
    return {pool: dict(phases) for pool, phases in sorted(counts.items())}


def _report_leases(state):
    return {
        pool: wire.LeaseReport(lease.holder, lease.epoch)
        for pool, lease in sorted(state.leases.items())
    }


def report_status(daemon):
    """Return the ``StatusReport`` of ``daemon``."""
    state = daemon.state
    slots, busy = daemon.count_slots()
    hosts = _count_hosts(state)
    return wire.StatusReport(
        name=daemon.settings.name,
        role=daemon.role,
        next_offset=state.next_offset,
        rules_version=state.rules_version,
        rules_by=state.rules_by,
        rules_at=state.rules_at,
        log_service_up=daemon.follower.up,
        host_list_up=daemon.host_list.up,
        members=_report_members(daemon),
        hosts=hosts,
        waiting=daemon.waiting(),
        slots=slots,
        slots_busy=busy,
        quarantined=dict(state.quarantined),
        in_force=daemon.follower.in_force,
        log_service_fault=daemon.follower.fault,
        outdated=daemon.follower.outdated,
        snapshot_offset=state.snapshot_offset,
        leases=_report_leases(state),
        pools=pool_reports.report_pools(daemon, hosts),
        waves=tuple(wave_reports.report_waves(daemon, state.waves)),
    )


def report_hosts(daemon):
    """Return a ``HostReport`` for each host, sorted by name."""
    reports = []
    for name, host in sorted(daemon.state.hosts.items()):
        listed = daemon.host_list.hosts.get(name)
        report = wire.HostReport(
            name,
            host.pool,
            host.phase.value,
            host.version,
            host.reason,
            listed.zone if listed else "",
            listed.rack if listed else "",
            listed.presence.value if listed else "not listed",
        )
        reports.append(report)
    return reports


def report_rules(daemon):
    """Return the ``RulesReport`` of the rules in force."""
    state = daemon.state
    return wire.RulesReport(state.rules_text, state.rules_version, state.rules_by)


def _summarize_published(body):
    lines = len(body.text.splitlines())
    return f"rules file of {lines} lines in place of version {body.base}"


def _summarize_edited(body):
    added = sum(len(edit.added) for edit in body.edits)
    removed = sum(edit.removed for edit in body.edits)
    return f"rules file of version {body.base}, +{added} -{removed} lines"


SUMMARIES = {
    records.RulesPublished: _summarize_published,
    records.RulesEdited: _summarize_edited,
    **wave_summaries.SUMMARIES,
}


def summarize(body):
    """Return a one-line summary of the change ``body``."""
    return SUMMARIES.get(type(body), _summarize_other)(body)


def _summarize_other(body):
    match body:
        case records.HostAssigned():
            return f"host {body.host} to pool {body.pool}"
        case records.HostDraining():
            return f"host {body.host} drains: {body.reason}"
        case records.HostReturned():
            return f"host {body.host} serves again"
        case records.LeasesTaken():
            return f"lease of {', '.join(sorted(body.bases))} taken"
        case records.LeasesRenewed():
            return "leases renewed" if body.duration else "leases released"
        case records.SnapshotTaken():
            return f"snapshot of the state before offset {body.next_offset}"
        case records.Withdrawn():
            return f"record {body.record_id} withdrawn"
        case records.FormatAdopted():
            return f"format {body.format} adopted"
