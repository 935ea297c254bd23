"""Hold what a daemon learns at its start about the site it runs on."""

import attrs


@attrs.frozen
class StoreLimits:
    """The address of the platform's store and what it takes.

    ``partitions`` is the number of partitions of each topic, ``max_request`` the
    bytes of one append and ``shortest_membership`` the least time in seconds for
    which a group keeps a silent member.
    """

    address: str
    partitions: int = 16
    max_record: int = 262_144
    max_request: int = 2_097_152
    shortest_membership: float = 1.0


@attrs.frozen
class Timing:
    """The bounds that the platform and its operators state, in seconds.

    ``longest_lease`` is the most that a worker grants, ``stop`` how long a stop may
    take, ``gang`` how long a member of a gang waits for the others. ``holder_pause``
    is the time between the orders of two holders for one host, ``notice`` how long
    a task counts as away after it was not at work, ``harm`` how long a task may
    miss its target because of others.
    """

    longest_lease: float = 6.0
    stop: float = 0.4
    gang: float = 3.0
    drain: float = 2.0
    grace: float = 6.0
    retention: float = 120.0
    holder_pause: float = 3.0
    notice: float = 4.5
    move: float = 1.5
    maintenance: float = 2.0
    harm: float = 4.0
    early_start: float = 0.25


@attrs.frozen
class Site:
    """What one daemon is told at its start.

    ``remote_factor`` is how many times as long a task takes away from its data.
    ``hosts_address`` answers for the hosts of the fleet and ``advice_address`` for
    which workers may run a step.
    """

    name: str
    availability_zone: str
    callers_address: str
    readiness_address: str
    metrics_ip: str
    store: StoreLimits
    hosts_address: str = ""
    advice_address: str = ""
    host_calls_per_second: float = 64.0
    remote_factor: float = 2.0
    timing: Timing = Timing()
