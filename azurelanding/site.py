"""Hold what a daemon learns at its start about the site it runs on."""

import attrs


@attrs.frozen
class StoreSettings:
    """The address of the platform's store and its bounds.

    ``partitions`` is the number of partitions of each topic, ``min_membership_seconds``
    the least time in seconds for which a group keeps a silent member.
    """

    address: str
    partitions: int = 16
    min_membership_seconds: float = 1.0


@attrs.frozen
class Timing:
    """The bounds that the platform and its operators state, in seconds.

    ``longest_lease`` is the most that a worker grants, ``grace`` the time from the
    order to stop until a process is killed. ``retention`` is how long the outcome of
    a job is told, ``holder_pause`` the time between the orders of two holders for one
    host, ``maintenance`` how long a host is away for its maintenance.
    """

    longest_lease: float = 6.0
    grace: float = 6.0
    retention: float = 120.0
    holder_pause: float = 3.0
    maintenance: float = 2.0


@attrs.frozen
class Site:
    """What one daemon is told at its start.

    ``hosts_address`` answers for the hosts of the fleet and ``advice_address`` for
    which workers may run a step.
    """

    name: str
    availability_zone: str
    callers_address: str
    readiness_address: str
    metrics_ip: str
    store: StoreSettings
    hosts_address: str = ""
    advice_address: str = ""
    timing: Timing = Timing()
