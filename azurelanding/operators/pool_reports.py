"""Report the capacity, the demand and the waiting tasks of each pool."""

import collections
import math

from azurelanding import availability
from azurelanding.operators import wire
from azurelanding.routing import usable_targets


def _count_wanted(daemon):
    """Return the slots that all live entries together want, by pool."""
    wanted = collections.Counter()
    for name, status in daemon.members.live("entry").items():
        if name != daemon.settings.name:
            wanted.update(status.wants)
    wanted.update(daemon.wants())
    return wanted


def _explain_shortage(rule, services, slots, wanted, serving, owned):
    """Return what the pool of ``rule`` lacks, or an empty text."""
    if services and not slots:
        return f"no executor may get work of {', '.join(services)}"
    needed = availability.required(rule.availability, owned)
    if serving < needed:
        return f"{serving} of {owned} hosts serve, its availability asks for {needed}"
    if wanted > slots:
        return f"its work could fill {math.ceil(wanted)} slots, it has {slots}"
    return ""


def _report_tasks(placer):
    """Return a ``WaitingTasks`` for each job and team that waits in ``placer``."""
    reports = []
    for kind, waiting_ids in sorted(placer.tasks.waiting.items()):
        first_id = next(iter(waiting_ids))
        block = placer.blocked.get(kind) or placer.blocked.get(first_id)
        reason = block.reason if block else "their turn has not come"
        reports.append(wire.WaitingTasks(*kind, len(waiting_ids), reason))
    return tuple(reports)


def report_pools(daemon, phases):
    """Return a ``PoolReport`` by pool; ``phases`` has its host counts by phase."""
    state, placers = daemon.state, daemon.placers()
    wanted = _count_wanted(daemon)
    usable = collections.Counter(usable_targets(state, daemon.host_list.hosts).values())
    reports = {}
    for name, rule in sorted(state.rules.pools.items()):
        slots = usable[name] * daemon.settings.targets.slots
        owned = phases.get(name, {})
        services = [service.name for service in state.rules.services_of(name)]
        serving = owned.get("serving", 0)
        short = _explain_shortage(
            rule, services, slots, wanted[name], serving, sum(owned.values())
        )
        lease = state.leases.get(name)
        reports[name] = wire.PoolReport(
            slots,
            wanted[name],
            short,
            lease.holder if lease else "",
            _report_tasks(placers[name]) if name in placers else (),
        )
    return reports
