"""Select the executors that may get new work."""

from azurelanding.fleet import Phase
from azurelanding.hosts import HostKind, Presence


def usable_targets(fleet_state, hosts):
    """Return the pool of each executor that may get new work, by host name.

    An executor gets new work only while it is in the serving phase according to the
    log and live according to the host list.
    """
    pools = {}
    for name, host_state in fleet_state.hosts.items():
        host = hosts.get(name)
        if host is None or host.kind is not HostKind.EXECUTOR:
            continue
        if host.presence is Presence.LIVE and host_state.phase is Phase.SERVING:
            pools[name] = host_state.pool
    return pools
