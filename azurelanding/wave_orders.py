"""Decide what orders for maintenance mean for the hosts of a wave."""

import attrs

from azurelanding.fleet_records import WaveProgress
from azurelanding.fleet_workers import HostPhase


def shows_maintenance(host, plan):
    """Return whether the ``HostEntry`` of a host shows that its order ended a worker.

    A host that is down may have failed, with a worker that is cut off but still up.
    """
    if host is None or host.phase is HostPhase.DOWN:
        return False
    return host.worker != plan.worker or host.phase is HostPhase.MAINTENANCE


def close_accepted(accepted, pending, hosts, now):
    """Return the plans in ``accepted`` that are still pending, as they are closed.

    An order is also accepted if the maintenance was carried out before, as after an
    order without an answer. It ends nothing then, and its plan is dropped. ``now`` is
    in seconds since the epoch.
    """
    closed = []
    for name, plan in accepted.items():
        if pending.get(name) == plan:
            is_ordered = shows_maintenance(hosts.get(name), plan)
            is_dropped = not is_ordered
            closed.append(
                attrs.evolve(
                    plan, is_ordered=is_ordered, is_dropped=is_dropped, closed_at=now
                )
            )
    return closed


def hosts_in_maintenance(wave, hosts, ordered_at, recent):
    """Return the names of the hosts of a wave that are, or may be, in maintenance.

    ``ordered_at`` maps pairs of host and wave to the ``boot_time`` of the last order;
    the list of hosts may not show the orders after ``recent`` yet.
    """
    listed = {
        name
        for name in wave.hosts
        if name in hosts and hosts[name].phase is HostPhase.MAINTENANCE
    }
    ordered = {
        host
        for (host, number), at in ordered_at.items()
        if number == wave.number and at > recent
    }
    return listed | ordered


def progress_after(plans, progress_of):
    """Return the ``WaveProgress`` of each wave after the orders of ``plans``."""
    begun = {}
    for plan in plans:
        if plan.wave is not None:
            begun.setdefault(plan.wave, set()).add(plan.host)
    return [
        WaveProgress(number, progress_of(number).begun | begun[number])
        for number in sorted(begun)
    ]
