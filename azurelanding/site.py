"""Define the settings that a daemon reads at its start: its site and the timing."""

import attrs


class SettingsError(Exception):
    """Settings are invalid; the message names the setting and the problem."""


@attrs.frozen
class StoreSettings:
    """The address of the platform's store and its limits.

    ``partitions`` is the number of partitions of each topic.
    ``min_membership_seconds`` is the shortest time in seconds after which a group can
    be set to remove a silent member.
    """

    address: str
    partitions: int = 16
    min_membership_seconds: float = 1.0


@attrs.frozen
class Timing:
    """The time limits that the platform and its operators set, in seconds.

    ``longest_lease`` is the longest lease that a worker grants. ``grace`` is the time
    from the stop order until a process is killed. ``retention`` is how long the outcome
    of a job can be queried. ``holder_pause`` is the minimum time between the orders of
    two holders for the same host. ``maintenance`` is how long a host is unavailable for
    its maintenance. ``revocation`` is the time after which no daemon may serve a key
    that was withdrawn, ``None`` if daemons that are cut off may go on serving it.
    """

    longest_lease: float = 6.0
    grace: float = 6.0
    retention: float = 120.0
    holder_pause: float = 3.0
    maintenance: float = 2.0
    revocation: float | None = None


@attrs.frozen
class Site:
    """The settings of one daemon.

    ``hosts_address`` is the address of the platform's service for the hosts of the
    fleet, ``advice_address`` that of the advice service, which decides which workers
    may run a step. Both are empty if the site has no such service. ``link_rate`` is the
    bandwidth of the host's own link in bytes per second, or ``None`` if it is unknown.
    ``memory`` in bytes and ``descriptors`` are what a process may have.
    """

    name: str
    availability_zone: str
    callers_address: str
    readiness_address: str
    metrics_ip: str
    store: StoreSettings
    hosts_address: str = ""
    advice_address: str = ""
    link_rate: float | None = None
    memory: int = 200 << 20
    descriptors: int = 4096
    timing: Timing = Timing()
