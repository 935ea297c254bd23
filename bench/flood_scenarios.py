"""Describe the sites, floods and policies of the bench of floods."""

import attrs

from azurelanding import lending

SLOTS = 8
WARM_UP_SECONDS = 3.0
FLOOD_SECONDS = 5.0
TAIL_SECONDS = 3.0
FLOOD_FACTOR = 5.0
AFTER_FLOOD_FACTOR = 0.05
OFFERED_LOAD = 0.85
RUN_TIME_SIGMA = 0.5


@attrs.frozen
class SiteSize:
    """A users' site: its rules, its zones and the mean run times in seconds."""

    rules_path: str
    zones: int
    zone_delay: float
    executors: int
    run_times: dict[str, float]


SITES = {
    "telar": SiteSize(
        "examples/telar.rules",
        zones=3,
        zone_delay=0.0015,
        executors=6,
        run_times={
            "pattern-preview": 0.2,
            "cut-list": 0.4,
            "swatch-match": 0.4,
            "catalogue": 0.8,
            "storefront": 0.2,
        },
    ),
    "magnolia": SiteSize(
        "examples/magnolia.rules",
        zones=4,
        zone_delay=0.0005,
        executors=8,
        run_times={
            "roll-change": 0.2,
            "pallet-label": 0.4,
            "order": 0.4,
            "portal": 0.4,
            "mainframe-call": 0.8,
        },
    ),
}


@attrs.frozen
class Scenario:
    """One run: which service floods, if any, under which policy.

    ``stretch`` multiplies the run times of the flooding service, and ``skew`` is
    the fraction of all requests that the balancer sends to the first entry beyond
    its even part.
    """

    site: str
    policy: str
    flood: str = ""
    stretch: float = 1.0
    skew: float = 0.0
    seed: int = 1


@attrs.define
class ServiceResult:
    """What became of the requests that came in the measured window."""

    sent: int = 0
    in_time: int = 0
    not_run: int = 0
    unknown: int = 0
    small_team_sent: int = 0
    small_team_in_time: int = 0
    latencies: list[float] = attrs.field(factory=list)


@attrs.define
class Result:
    """One run's figures; fractions are of samples taken in the flood."""

    services: dict[str, ServiceResult] = attrs.field(factory=dict)
    busy: float = 0.0
    busy_open: float = 0.0
    over_offered: float = 0.0
    late_wakes: float = 0.0


def _head_time(service):
    team = next(team for team in service.waiting.teams.values() if team.tickets)
    return next(iter(team.tickets)).request.received_at


def _pick_fifo(pool, _now):
    waiting = [s for s in pool.owners + pool.borrowers if s.waiting]
    return min(waiting, key=_head_time, default=None)


def _pick_priority(pool, _now):
    order = lending.URGENCY_ORDER
    waiting = [s for s in pool.owners + pool.borrowers if s.waiting]
    return min(
        waiting,
        key=lambda s: (order[s.rule.urgency], _head_time(s)),
        default=None,
    )


def _open_rules(rules):
    """Return ``rules`` with every service free to use every pool, and no teams."""
    services = {
        name: attrs.evolve(rule, borrows=tuple(rules.pools))
        for name, rule in rules.services.items()
    }
    return attrs.evolve(rules, services=services, teams={})


def _closed_rules(rules):
    """Return ``rules`` with no borrowing."""
    services = {
        name: attrs.evolve(rule, borrows=()) for name, rule in rules.services.items()
    }
    return attrs.evolve(rules, services=services)


@attrs.frozen
class Policy:
    """How a policy picks, what it makes of the rules, and whether shares move."""

    pick: object = lending.pick_fair
    change_rules: object = staticmethod(lambda rules: rules)
    equal_shares: bool = False
    own_zone_first: bool = True
    lend_all: bool = False


POLICIES = {
    "azurelanding": Policy(),
    "fifo": Policy(_pick_fifo, _open_rules),
    "priority": Policy(_pick_priority, _open_rules),
    "fixed": Policy(change_rules=_closed_rules, equal_shares=True),
    "equal-shares": Policy(equal_shares=True),
    "any-zone": Policy(own_zone_first=False),
    "lend-all": Policy(lend_all=True),
}
