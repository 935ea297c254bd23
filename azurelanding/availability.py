"""Tell how many hosts of a pool may stop within its availability budget."""

import collections
import math

import attrs

from azurelanding.hosts import HostKind, Phase, Presence

ROUNDING = 1e-9


@attrs.frozen
class HostView:
    """A host of a pool, from the log, the host list and the entries together.

    ``healthy`` says that the list shows it live and that the entries use it;
    ``version`` and ``maintained_at`` are those of its ``HostState``.
    """

    name: str
    kind: HostKind
    zone: str
    rack: str
    phase: Phase
    listed: bool
    healthy: bool
    version: int = 0
    maintained_at: float = 0.0

    @property
    def available(self):
        """Tell whether the host can serve now."""
        return self.healthy and self.phase is Phase.SERVING


def view_hosts(fleet_state, hosts, set_aside, names):
    """Return the ``HostView``s of the pools ``names``, by pool and host name.

    ``hosts`` is the host list, ``set_aside`` names the executors that the
    entries do not use because they fail. A host that is not listed counts as an
    executor that is not healthy.
    """
    pools = collections.defaultdict(dict)
    for name, host_state in fleet_state.hosts.items():
        if host_state.pool not in names:
            continue
        host = hosts.get(name)
        live = host is not None and host.presence is Presence.LIVE
        pools[host_state.pool][name] = HostView(
            name,
            host.kind if host else HostKind.EXECUTOR,
            host.zone if host else "",
            host.rack if host else "",
            host_state.phase,
            listed=live,
            healthy=live and name not in set_aside,
            version=host_state.version,
            maintained_at=host_state.maintained_at,
        )
    return pools


def required(availability, count):
    """Return how many of ``count`` hosts must be able to serve.

    >>> required(0.9, 12), required(0.9, 10)
    (11, 9)
    """
    return math.ceil(availability * count - ROUNDING)


def _required_of_kind(availability, count):
    """Return how many of one kind must serve; the pool's budget rules the last."""
    return min(required(availability, count), count - 1)


def is_short(rule, hosts):
    """Tell whether fewer ``hosts`` of the pool are able than its budget asks."""
    available = sum(host.available for host in hosts.values())
    return available < required(rule.availability, len(hosts))


def may_stop(rule, hosts, names, leaves_pool=False):
    """Tell whether the hosts ``names`` may stop, all at once.

    The hosts left must meet the budget of the pool in all, and those of each
    kind as well, except that one host of a kind may always stop. With ``leaves_pool``
    the hosts go to another pool and no longer count.
    """
    left = [host for host in hosts.values() if host.name not in names]
    counted = left if leaves_pool else list(hosts.values())
    if sum(host.available for host in left) < required(rule.availability, len(counted)):
        return False
    for kind in {hosts[name].kind for name in names}:
        count = sum(host.kind is kind for host in counted)
        available = sum(host.available for host in left if host.kind is kind)
        if available < _required_of_kind(rule.availability, count):
            return False
    return True
