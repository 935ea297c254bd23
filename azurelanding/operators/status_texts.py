"""Tell operators in a few lines how the site is."""

from azurelanding import units
from azurelanding.operators.command_line import format_time
from azurelanding.operators.wave_texts import print_wave


def _print_rules(report, now):
    if not report.in_force:
        print("nothing in force yet: a newer state is known than could be read")
    elif report.rules_version:
        age = units.format_duration(now - report.rules_at)
        print(
            f"rules version {report.rules_version} in force, "
            f"by {report.rules_by} at {format_time(report.rules_at)}, {age} ago"
        )
    else:
        print("rules version 0: none published yet")


def _print_platform(report):
    log_service = "up" if report.log_service_up else "DOWN"
    host_list = "up" if report.host_list_up else "DOWN"
    print(f"platform: log service {log_service}, host list {host_list}")
    if report.log_service_fault:
        print(f"  log service: {report.log_service_fault}")
    if not report.log_service_up:
        print("  no change can be made; requests and running tasks go on")
    if report.outdated:
        print(f"  this daemon is outdated: {report.outdated}")


def _print_members(report):
    for member in report.members:
        late = member.rules_version != report.rules_version
        rules = f": has rules version {member.rules_version}" if late else ""
        stopping = ", stopping" if member.stopping else ""
        print(f"  {member.name} ({member.role}, {member.zone}){stopping}{rules}")


def _print_pool(name, report):
    pool = report.pools[name]
    phases = report.hosts.get(name, {})
    counts = ", ".join(f"{count} {phase}" for phase, count in phases.items())
    held = pool.controller or "no daemon"
    print(
        f"pool {name}: {counts or 'no hosts'}; {pool.wanted:.0f} of {pool.slots} "
        f"slots wanted; controlled by {held}"
    )
    if pool.short:
        print(f"  SHORT: {pool.short}")
    waiting = report.waiting.get(name, 0)
    if waiting:
        why = "for a free slot" if pool.slots else "while no executor may get work"
        print(f"  {waiting} requests wait at {report.name} {why}")
    for line in pool.tasks:
        print(f"  {line.count} tasks of {line.job} for {line.team} wait: {line.reason}")


def print_status(report, now):
    """Print a ``StatusReport``; ``now`` is in seconds since the epoch."""
    _print_rules(report, now)
    _print_platform(report)
    print(f"{len(report.members)} live daemons, as {report.name} sees them:")
    _print_members(report)
    for name in report.pools:
        _print_pool(name, report)
    for wave in report.waves:
        print_wave(wave)
    if report.role == "entry":
        print(
            f"slots that {report.name} holds: {report.slots_busy} of "
            f"{report.slots} busy"
        )
    for offset, reason in report.quarantined.items():
        print(f"record {offset} passed over: {reason}")
