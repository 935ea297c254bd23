"""Share the slots of executors among the entries.

Each entry computes the shares of all entries from the same reports, so that they
agree without further messages. Every entry gets one slot of each executor; the
other slots follow the demand that the entries report. Reports reach the entries at
different times. An entry therefore lowers its share immediately, but raises it only
to the smallest share computed during the grow delay, and not while a peer entry is
still releasing slots.
"""

import collections

import attrs

from azurelanding import pacing

DEMAND_SMOOTHING_SECONDS = 1.0
REPORT_CHANGE_FACTOR = 1.25
MEAN_TOLERANCE_FACTOR = 1.5
MAX_DEMAND_SLOTS = 1e6
SILENT_PEER_SECONDS = 30.0
GROW_DELAY_PERIODS = 2.5


def spare_quotas(weights, spare):
    """Divide ``spare`` slots among the members in proportion to their weights.

    Slots left after rounding down go to the members with the largest remainders,
    then by name.

    >>> spare_quotas({"a": 3.0, "b": 1.0}, 6)
    {'a': 5, 'b': 1}
    """
    total = sum(weights.values())
    exact = {name: spare * weight / total for name, weight in weights.items()}
    quotas = {name: int(quota) for name, quota in exact.items()}
    remainder = spare - sum(quotas.values())
    by_remainder = sorted(exact, key=lambda name: (quotas[name] - exact[name], name))
    for name in by_remainder[:remainder]:
        quotas[name] += 1
    return quotas


def _owners_of_spare(targets, spare, names, quotas):
    """Yield the member that gets each spare slot, target by target.

    Slots are assigned round-robin. Only the slots of a member above its quota go
    to another one, so that a small change of quotas moves few slots.
    """
    round_robin = [names[index % len(names)] for index in range(len(targets) * spare)]
    missing = collections.Counter(quotas)
    missing.subtract(round_robin)
    for owner in round_robin:
        if missing[owner] >= 0:
            yield owner
            continue
        missing[owner] += 1
        neediest = max(names, key=lambda name: missing[name])
        missing[neediest] -= 1
        yield neediest


def share_pool(targets, slots, weights):
    """Return the number of slots of each member, by target and member name.

    ``slots`` is the number of slots of each target. ``weights`` are the members'
    demands, each above 0. Every member gets at least one slot of each target.
    """
    targets, names = sorted(targets), sorted(weights)
    spare = max(0, slots - len(names))
    shares = {target: dict.fromkeys(names, 1) for target in targets}
    quotas = spare_quotas(weights, spare * len(targets))
    owners = _owners_of_spare(targets, spare, names, quotas)
    for index, owner in enumerate(owners):
        shares[targets[index // spare]][owner] += 1
    return shares


def shrink_to_mean(weights):
    """Return ``weights`` moved towards their mean.

    A weight within ``MEAN_TOLERANCE_FACTOR`` of the mean becomes the mean; any other
    is moved towards it by that factor. Small differences in load therefore move no
    slots back and forth.
    """
    mean = sum(weights.values()) / len(weights)
    return {
        name: max(
            min(mean, weight * MEAN_TOLERANCE_FACTOR), weight / MEAN_TOLERANCE_FACTOR
        )
        for name, weight in weights.items()
    }


@attrs.frozen
class PeerEntries:
    """The peer entries that share the slots.

    ``demands`` is by entry name and pool. ``silent`` says whether any peer is silent.
    ``releasing`` holds the executors whose slots a peer is releasing. A peer that
    has announced its stop keeps one slot of each executor until its last report is
    too old, and is then dropped without the delay for silent peers.
    """

    demands: dict[str, dict[str, float]]
    silent: bool
    releasing: frozenset[str]


def select_peers(peer_statuses, silence, now):
    """Select the entries among ``peer_statuses`` that share the slots.

    A peer without a report for ``silence`` seconds is silent, and still counts for
    ``SILENT_PEER_SECONDS`` more. When all peers are silent, this entry may be the one
    that is cut off, so none is dropped.
    """
    entries = {
        name: peer_status
        for name, peer_status in peer_statuses.items()
        if peer_status.status.role == "entry"
    }
    ages = {
        name: now - peer_status.received_at for name, peer_status in entries.items()
    }
    reporting = [name for name, age in ages.items() if age < silence]
    demands, silent = {}, False
    for name, peer_status in entries.items():
        if peer_status.status.stopping:
            if name in reporting:
                demands[name] = {}
        elif not reporting or ages[name] < silence + SILENT_PEER_SECONDS:
            demands[name] = peer_status.status.demands
            silent = silent or name not in reporting
    releasing = {pool for name in reporting for pool in entries[name].status.releasing}
    return PeerEntries(demands, silent, frozenset(releasing))


class SlotShares:
    """The demand that this entry reports and the slots that it may hold.

    ``reported_demands`` is the demand by pool, smoothed over
    ``DEMAND_SMOOTHING_SECONDS``. It is updated only when it has changed by a factor
    of ``REPORT_CHANGE_FACTOR``, so that noise moves no slots. ``held`` is the number
    of slots that this entry may hold, by executor. ``silence`` and ``grow_delay`` are
    in seconds.
    """

    def __init__(self, name, slots, silence, grow_delay):
        self.name = name
        self.slots = slots
        self.silence = silence
        self.grow_delay = grow_delay
        self.reported_demands = {}
        self.smoothed = collections.defaultdict(float)
        self.reported_at = None
        self.recent_shares = collections.deque()
        self.held = {}

    @classmethod
    def from_config(cls, settings):
        """Create the shares of the entry with these ``settings``."""
        entries = settings.entries
        grow_delay = GROW_DELAY_PERIODS * entries.period if entries.fellows else 0.0
        silence = pacing.silence(entries)
        return cls(settings.name, settings.targets.slots, silence, grow_delay)

    def report(self, demands, now):
        """Update ``reported_demands`` from the slots that the queues could fill now."""
        elapsed = (
            now - self.reported_at
            if self.reported_at is not None
            else DEMAND_SMOOTHING_SECONDS
        )
        self.reported_at = now
        gain = min(1.0, elapsed / DEMAND_SMOOTHING_SECONDS)
        reported_demands = dict(self.reported_demands)
        for pool in {*self.smoothed, *demands}:
            change = demands.get(pool, 0.0) - self.smoothed[pool]
            value = self.smoothed[pool] = self.smoothed[pool] + gain * change
            old = reported_demands.get(pool, 0.0)
            if (
                not old / REPORT_CHANGE_FACTOR
                <= value + 1.0
                <= old * REPORT_CHANGE_FACTOR
            ):
                reported_demands[pool] = value + 1.0
        self.reported_demands = reported_demands

    def withdraw_demand(self):
        """Report no demand any more, so that the peers take over the slots."""
        self.reported_demands = {}

    def _compute_shares(self, pools, peers):
        members = {**peers.demands, self.name: self.reported_demands}
        targets = collections.defaultdict(list)
        for target, pool in pools.items():
            targets[pool].append(target)
        own_shares = {}
        for pool, names in targets.items():
            weights = {
                name: max(1.0, min(reported_demands.get(pool, 1.0), MAX_DEMAND_SLOTS))
                for name, reported_demands in members.items()
            }
            even = dict.fromkeys(members, 1.0)
            weights = even if peers.silent else shrink_to_mean(weights)
            for target, shares in share_pool(names, self.slots, weights).items():
                own_shares[target] = shares[self.name]
        return own_shares

    def update(self, pools, peer_statuses, now):
        """Return how many slots of each executor this entry may hold.

        ``pools`` maps executors to their pool, and ``peer_statuses`` maps peers to
        their last report. A share grows only to the lowest value computed in the last
        ``grow_delay`` seconds. An entry that has just started, or that has had no
        report of a peer since its start, holds one slot of each executor.
        """
        if self.grow_delay and not peer_statuses:
            return dict.fromkeys(pools, 1)
        peers = select_peers(peer_statuses, self.silence, now)
        own_shares = self._compute_shares(pools, peers)
        if not self.recent_shares and self.grow_delay:
            self.recent_shares.append((now, dict.fromkeys(pools, 1)))
        self.recent_shares.append((now, own_shares))
        while (
            len(self.recent_shares) > 1
            and self.recent_shares[1][0] <= now - self.grow_delay
        ):
            self.recent_shares.popleft()
        self.held = {
            target: self._limit_growth(target, share, target in peers.releasing)
            for target, share in own_shares.items()
        }
        return self.held

    def _limit_growth(self, target, share, releasing):
        """Return the share of ``target`` limited by its recent shares.

        While a peer is ``releasing`` slots of the target, the share does not grow.
        """
        lowest = min(shares.get(target, share) for _, shares in self.recent_shares)
        return min(lowest, self.held.get(target, lowest)) if releasing else lowest
