"""Share the slots of executors among the entries.

Each entry computes the shares of all from the same reports, so that they agree
without asking each other. Every entry gets one slot of each executor, and what is
left follows the demand that the entries report. Reports reach the entries at
different times; an entry therefore shrinks at once, and grows only to the smallest
share that it has had for a while and not while a fellow's shrinking goes on.
"""

import collections

import attrs

from azurelanding import pacing

DEMAND_SECONDS = 1.0
REPORT_FACTOR = 1.25
EVEN_FACTOR = 1.5
MAX_DEMAND = 1e6
FORGET_SECONDS = 30.0
GROW_PERIODS = 2.5


def spare_quotas(weights, spare):
    """Return how many of ``spare`` slots each member gets, in proportion to weight.

    The remainders go to the members with the largest ones, then by name.

    >>> spare_quotas({"a": 3.0, "b": 1.0}, 6)
    {'a': 5, 'b': 1}
    """
    total = sum(weights.values())
    exact = {name: spare * weight / total for name, weight in weights.items()}
    quotas = {name: int(quota) for name, quota in exact.items()}
    rest = spare - sum(quotas.values())
    by_remainder = sorted(exact, key=lambda name: (quotas[name] - exact[name], name))
    for name in by_remainder[:rest]:
        quotas[name] += 1
    return quotas


def _owners_of_spare(targets, spare, names, quotas):
    """Yield the member that gets each spare slot, target by target.

    Slots are dealt in turn, and only those of a member above its quota go to
    another, so that a small change of quotas moves few slots.
    """
    dealt = [names[index % len(names)] for index in range(len(targets) * spare)]
    missing = collections.Counter(quotas)
    missing.subtract(dealt)
    for owner in dealt:
        if missing[owner] >= 0:
            yield owner
            continue
        missing[owner] += 1
        neediest = max(names, key=lambda name: missing[name])
        missing[neediest] -= 1
        yield neediest


def share_pool(targets, slots, weights):
    """Return the slots of each member, by target and member name.

    ``weights`` are the members' demands, each above 0.
    """
    targets, names = sorted(targets), sorted(weights)
    spare = max(0, slots - len(names))
    shares = {target: dict.fromkeys(names, 1) for target in targets}
    quotas = spare_quotas(weights, spare * len(targets))
    owners = _owners_of_spare(targets, spare, names, quotas)
    for index, owner in enumerate(owners):
        shares[targets[index // spare]][owner] += 1
    return shares


def dampen(weights):
    """Return ``weights`` with what is near the mean set to it.

    Only what exceeds a factor of ``EVEN_FACTOR`` counts, so that an even load
    moves no slots back and forth.
    """
    mean = sum(weights.values()) / len(weights)
    return {
        name: max(min(mean, weight * EVEN_FACTOR), weight / EVEN_FACTOR)
        for name, weight in weights.items()
    }


@attrs.frozen
class Fellows:
    """The entries that share the slots, and the executors that some release.

    ``demands`` is by name and pool; ``silent`` says that some fellow is silent.
    A fellow that has said that it stops keeps one slot of each executor until
    its last word is old, and is then gone at once.
    """

    demands: dict[str, dict[str, float]]
    silent: bool
    releasing: frozenset[str]


def count_fellows(peer_statuses, silence, now):
    """Return the ``Fellows`` among ``peer_statuses``.

    A fellow that falls silent is counted for ``FORGET_SECONDS`` more. When all
    are silent, this entry may be the one that is cut off, and none is forgotten.
    """
    entries = {
        name: peer_status
        for name, peer_status in peer_statuses.items()
        if peer_status.status.role == "entry"
    }
    ages = {
        name: now - peer_status.received_at for name, peer_status in entries.items()
    }
    heard = [name for name, age in ages.items() if age < silence]
    demands, silent = {}, False
    for name, peer_status in entries.items():
        if peer_status.status.stopping:
            if name in heard:
                demands[name] = {}
        elif not heard or ages[name] < silence + FORGET_SECONDS:
            demands[name] = peer_status.status.demands
            silent = silent or name not in heard
    releasing = {pool for name in heard for pool in entries[name].status.releasing}
    return Fellows(demands, silent, frozenset(releasing))


class SlotShares:
    """The demand that this entry tells, and the slots that it may hold.

    ``reported_demands`` is smoothed over ``DEMAND_SECONDS`` and changes only by a factor of
    ``REPORT_FACTOR``, so that noise moves no slots.
    """

    def __init__(self, name, slots, silence, grow_delay):
        self.name = name
        self.slots = slots
        self.silence = silence
        self.grow_delay = grow_delay
        self.reported_demands = {}
        self.smoothed = collections.defaultdict(float)
        self.reported_at = None
        self.window = collections.deque()
        self.held = {}

    @classmethod
    def from_config(cls, settings):
        """Return the shares of the entry that ``settings`` describe."""
        entries = settings.entries
        grow_delay = GROW_PERIODS * entries.period if entries.fellows else 0.0
        silence = pacing.silence(entries)
        return cls(settings.name, settings.targets.slots, silence, grow_delay)

    def report(self, demands, now):
        """Update ``reported_demands`` from the slots that the queues could fill now."""
        elapsed = (
            now - self.reported_at if self.reported_at is not None else DEMAND_SECONDS
        )
        self.reported_at = now
        gain = min(1.0, elapsed / DEMAND_SECONDS)
        reported_demands = dict(self.reported_demands)
        for pool in {*self.smoothed, *demands}:
            change = demands.get(pool, 0.0) - self.smoothed[pool]
            value = self.smoothed[pool] = self.smoothed[pool] + gain * change
            old = reported_demands.get(pool, 0.0)
            if not old / REPORT_FACTOR <= value + 1.0 <= old * REPORT_FACTOR:
                reported_demands[pool] = value + 1.0
        self.reported_demands = reported_demands

    def withdraw_demand(self):
        """Tell no demand any more, so that the fellows take over what they may."""
        self.reported_demands = {}

    def _compute(self, pools, fellows):
        members = {**fellows.demands, self.name: self.reported_demands}
        targets = collections.defaultdict(list)
        for target, pool in pools.items():
            targets[pool].append(target)
        mine = {}
        for pool, names in targets.items():
            weights = {
                name: max(1.0, min(reported_demands.get(pool, 1.0), MAX_DEMAND))
                for name, reported_demands in members.items()
            }
            even = dict.fromkeys(members, 1.0)
            weights = even if fellows.silent else dampen(weights)
            for target, shares in share_pool(names, self.slots, weights).items():
                mine[target] = shares[self.name]
        return mine

    def update(self, pools, peer_statuses, now):
        """Return how many slots of each executor this entry may hold.

        ``pools`` maps executors to their pool, ``peer_statuses`` fellows to what
        they last told. A share grows to what it has been at least for
        ``grow_delay`` seconds. An entry that has just started, or has heard of
        no fellow since, takes one slot of each.
        """
        if self.grow_delay and not peer_statuses:
            return dict.fromkeys(pools, 1)
        fellows = count_fellows(peer_statuses, self.silence, now)
        mine = self._compute(pools, fellows)
        if not self.window and self.grow_delay:
            self.window.append((now, dict.fromkeys(pools, 1)))
        self.window.append((now, mine))
        while len(self.window) > 1 and self.window[1][0] <= now - self.grow_delay:
            self.window.popleft()
        self.held = {
            target: self._grown(target, share, target in fellows.releasing)
            for target, share in mine.items()
        }
        return self.held

    def _grown(self, target, share, releasing):
        """Return the share of ``target`` after shrinking at once or growing late."""
        lowest = min(shares.get(target, share) for _, shares in self.window)
        return min(lowest, self.held.get(target, lowest)) if releasing else lowest
