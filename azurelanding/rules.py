"""The rules that operators declare: pools, services, teams, jobs, maintenance.

Each rule is one line of the rules file, which ``azurelanding.rules_parser`` parses. The
``read`` function in a field's metadata parses the text of that option.
"""

import fnmatch
import functools

import attrs

from azurelanding import units
from azurelanding.requests import Urgency


def _option(read, **arguments):
    return attrs.field(kw_only=True, metadata={"read": read}, **arguments)


def read_urgency(text):
    """Return the ``Urgency`` named by ``text``."""
    try:
        return Urgency(text)
    except ValueError:
        names = ", ".join(urgency.value for urgency in Urgency)
        raise units.UnitError(f"expected one of {names}") from None


@attrs.frozen
class PoolRule:
    """A pool and the hosts that are first assigned to it.

    ``hosts`` is a pattern of host names such as ``preview-*``; hosts that match no
    pool are first assigned to the spare pool. ``availability`` is the availability
    budget: the fraction of hosts that must be able to serve at any time. ``buffer``
    is the number of hosts that the pool has beyond its demand.
    """

    name: str
    hosts: str = _option(str, default="")
    availability: float = _option(units.read_fraction, default=0.9)
    buffer: int = _option(units.read_count, default=0)
    spare: bool = _option(units.read_flag, default=False)
    asked_by: str = ""


@attrs.frozen
class ServiceRule:
    """A service and what its callers can rely on.

    ``deadline`` is in seconds, ``max_body`` in bytes. ``floor`` is the fraction
    of the pool's slots that an overload of other services can't take away.
    ``borrows`` names the pools whose idle slots the service may use.
    """

    name: str
    pool: str = _option(str)
    urgency: Urgency = _option(read_urgency, default=Urgency.STANDARD)
    deadline: float = _option(units.read_duration, default=30.0)
    idempotent: bool = _option(units.read_flag, default=False)
    keyed: bool = _option(units.read_flag, default=False)
    floor: float = _option(units.read_fraction, default=0.1)
    borrows: tuple[str, ...] = _option(units.read_words, default=())
    max_body: int = _option(units.read_size, default=1 << 20)
    asked_by: str = ""


@attrs.frozen
class TeamRule:
    """A team's quota.

    ``share`` is its weight when slots are contended, ``tasks`` and
    ``accelerators`` are how many it may use at the same time.
    """

    name: str
    share: float = _option(units.read_number, default=1.0)
    tasks: int = _option(units.read_count, default=1000)
    accelerators: int = _option(units.read_count, default=0)
    asked_by: str = ""


@attrs.frozen
class JobRule:
    """A kind of task that workers run, with the resources that it needs.

    ``cores`` and ``accelerators`` are numbers of units, ``memory`` is in bytes and
    ``run_time`` in seconds. A task of a job with ``repeat=no`` must not run twice.
    """

    name: str
    pool: str = _option(str)
    urgency: Urgency = _option(read_urgency, default=Urgency.STANDARD)
    cores: float = _option(units.read_number, default=1.0)
    memory: int = _option(units.read_size, default=1 << 30)
    accelerators: int = _option(units.read_count, default=0)
    run_time: float = _option(units.read_duration, default=60.0)
    repeat: bool = _option(units.read_flag, default=True)
    checkpoint: bool = _option(units.read_flag, default=False)
    asked_by: str = ""


def read_domain(text):
    """Return the failure domain named by ``text``."""
    if text not in ("host", "rack", "zone"):
        raise units.UnitError("expected host, rack or zone")
    return text


@attrs.frozen
class MaintenanceRule:
    """How the hosts of the pool ``name`` are maintained, in waves.

    Every host is maintained once in ``every`` seconds. A wave first maintains
    ``canary`` hosts, then the hosts of one failure ``domain`` after the other, at
    most ``at_once`` at a time. It waits ``settle`` seconds after each step and
    halts after ``halt_after`` failures. A host that is not back ``return_within``
    seconds after its reboot has failed.
    """

    name: str
    every: float = _option(units.read_duration, default=7 * 604_800.0)
    canary: int = _option(units.read_count, default=1)
    domain: str = _option(read_domain, default="rack")
    at_once: int = _option(units.read_count, default=4)
    halt_after: int = _option(units.read_count, default=2)
    settle: float = _option(units.read_duration, default=60.0)
    return_within: float = _option(units.read_duration, default=900.0)
    asked_by: str = ""


RULE_TYPES = {
    "pool": PoolRule,
    "service": ServiceRule,
    "team": TeamRule,
    "job": JobRule,
    "maintenance": MaintenanceRule,
}


@attrs.frozen
class RuleSet:
    """All rules of one rules file; each field maps names to rules of one kind."""

    pools: dict[str, PoolRule] = attrs.field(factory=dict)
    services: dict[str, ServiceRule] = attrs.field(factory=dict)
    teams: dict[str, TeamRule] = attrs.field(factory=dict)
    jobs: dict[str, JobRule] = attrs.field(factory=dict)
    maintenance: dict[str, MaintenanceRule] = attrs.field(factory=dict)

    def home_pool(self, host_name):
        """Return the pool that ``host_name`` is first assigned to, or ``None``."""
        for pool in self.pools.values():
            if pool.hosts and _matches(pool.hosts, host_name):
                return pool.name
        return self.spare_pool()

    def spare_pool(self):
        """Return the name of the spare pool, or ``None``."""
        spares = (pool.name for pool in self.pools.values() if pool.spare)
        return next(spares, None)

    def services_of(self, pool_name):
        """Return the services whose home pool is ``pool_name``."""
        return [
            service for service in self.services.values() if service.pool == pool_name
        ]


@functools.lru_cache(maxsize=100_000)
def _matches(pattern, host_name):
    return fnmatch.fnmatchcase(host_name, pattern)
