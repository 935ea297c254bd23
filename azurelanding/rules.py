"""Define what operators declare: pools, services, teams, jobs, maintenance.

Each rule is one line of the rules file; ``azurelanding.rules_parser`` reads it. The
``read`` in a field's metadata turns the operator's text into the value.
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
    """A pool and the hosts that start in it.

    ``hosts`` is a pattern of host names such as ``preview-*``. ``availability``
    is the budget: the fraction of hosts that must be able to serve at any time.
    ``buffer`` counts hosts kept beyond the demand. Hosts that match no pool
    start in the spare pool.
    """

    name: str
    hosts: str = _option(str, default="")
    availability: float = _option(units.read_fraction, default=0.9)
    buffer: int = _option(units.read_count, default=0)
    spare: bool = _option(units.read_flag, default=False)
    asked_by: str = ""


@attrs.frozen
class ServiceRule:
    """A service and the promise made to its callers.

    ``deadline`` is in seconds, ``max_body`` in bytes. ``floor`` is the fraction
    of the pool's slots that a flood elsewhere can't take. ``borrows`` names the
    pools whose idle slots the service may use.
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
    """A team's quota: its share of contended slots and its tasks at once."""

    name: str
    share: float = _option(units.read_number, default=1.0)
    tasks: int = _option(units.read_count, default=1000)
    accelerators: int = _option(units.read_count, default=0)
    asked_by: str = ""


@attrs.frozen
class JobRule:
    """A kind of task that workers run, with its declared needs.

    ``cores`` and ``accelerators`` count, ``memory`` is in bytes, ``run_time`` in
    seconds. A job with ``repeat=no`` must not run twice.
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

    Every host is maintained once in ``every`` seconds. ``canary`` hosts go
    first; after them one ``domain`` at a time, at most ``at_once`` hosts. A wave
    halts after ``halt_after`` failures and waits ``settle`` seconds after each
    step. A host that is not back ``return_within`` seconds after its reboot has
    failed.
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
    """Everything that one rules file declares, each kind by name."""

    pools: dict[str, PoolRule] = attrs.field(factory=dict)
    services: dict[str, ServiceRule] = attrs.field(factory=dict)
    teams: dict[str, TeamRule] = attrs.field(factory=dict)
    jobs: dict[str, JobRule] = attrs.field(factory=dict)
    maintenance: dict[str, MaintenanceRule] = attrs.field(factory=dict)

    def home_pool(self, host_name):
        """Return the name of the pool that ``host_name`` starts in, or ``None``."""
        for pool in self.pools.values():
            if pool.hosts and _matches(pool.hosts, host_name):
                return pool.name
        return self.spare_pool()

    def spare_pool(self):
        """Return the name of the spare pool, or ``None``."""
        spares = (pool.name for pool in self.pools.values() if pool.spare)
        return next(spares, None)

    def services_of(self, pool_name):
        """Return the services whose home is the pool ``pool_name``."""
        return [
            service for service in self.services.values() if service.pool == pool_name
        ]


@functools.lru_cache(maxsize=100_000)
def _matches(pattern, host_name):
    return fnmatch.fnmatchcase(host_name, pattern)
