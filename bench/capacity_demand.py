"""Seeded demand for ``bench.capacity``, and late, lost or wrong demand reports."""

import collections
import math
import random

import attrs

ENTRIES = 6
RUN_SECONDS = 5400
SURGE_FACTOR = 5.0
SURGE_SECONDS = 5
LOW_FACTOR = 0.05
LOW_SECONDS = 15
SURGE_PERIOD_SECONDS = 30
NOISE_DEVIATION = 0.1
MEAN_CHANGE_SECONDS = (1800, 3600)
LAG_SECONDS = 30
LOST_REPORT_FRACTION = 0.3


@attrs.define
class Queue:
    """The waiting work of a pool's services.

    ``waiting`` holds pairs of arrival time and slots; ``deadline`` is in seconds.
    ``offered`` and ``served`` count slots.
    """

    deadline: float
    waiting: collections.deque = attrs.field(factory=collections.deque)
    offered: float = 0.0
    served: float = 0.0

    def add(self, now, slots):
        """Add work that arrives at ``now``, and drop work past its deadline."""
        self.offered += slots
        self.waiting.append([now, slots])
        while self.waiting[0][0] + self.deadline < now:
            self.waiting.popleft()

    def depth(self):
        """Return how many slots the waiting work would fill."""
        return sum(slots for _, slots in self.waiting)

    def serve(self, slots):
        """Run waiting work on up to ``slots`` slots; return how many stay unused."""
        while self.waiting and slots > 0.0:
            part = min(slots, self.waiting[0][1])
            self.waiting[0][1] -= part
            self.served += part
            slots -= part
            if self.waiting[0][1] <= 0.0:
                self.waiting.popleft()
        return slots


def keep_means(_pools, _spare):
    """Return no factors: every mean stays the same."""
    return {}


def grow_one(pools, _spare):
    """Return the factor by which the mean of one pool grows."""
    return {pools[0]: 1.7}


def shift_demand(pools, spare):
    """Return the factors for one mean that grows far while most others fall."""
    return {pools[0]: 3.6, pools[2]: 0.2, pools[3]: 0.4, spare: 1.5}


SCENARIOS = {"surges": keep_means, "growth": grow_one, "shift": shift_demand}


def make_demand(pools, means, factors, seed):
    """Return a function of second and pool that returns the wanted slots.

    ``means`` are the mean slots of each pool, and ``factors`` multiply them during
    ``MEAN_CHANGE_SECONDS``.
    """
    generator = random.Random(seed)
    noise = [
        {pool: max(0.0, generator.gauss(1.0, NOISE_DEVIATION)) for pool in pools}
        for _ in range(RUN_SECONDS)
    ]

    def slots_wanted(second, pool):
        turn, phase = divmod(second, SURGE_PERIOD_SECONDS)
        factor = 1.0
        if pools[turn % len(pools)] == pool:
            if phase < SURGE_SECONDS:
                factor = SURGE_FACTOR
            elif phase < SURGE_SECONDS + LOW_SECONDS:
                factor = LOW_FACTOR
        if MEAN_CHANGE_SECONDS[0] <= second < MEAN_CHANGE_SECONDS[1]:
            factor *= factors.get(pool, 1.0)
        return means[pool] * factor * noise[second][pool]

    return slots_wanted


def report_all(wanted, _generator):
    """Return a correct report of every entry: an equal part of the demand."""
    return [wanted / ENTRIES] * ENTRIES


def lose_reports(wanted, generator):
    """Return the correct reports without some that are lost at random."""
    reports = report_all(wanted, generator)
    return [r for r in reports if generator.random() >= LOST_REPORT_FRACTION]


def report_one_as(value):
    """Return a function whose reports are correct but for one that is ``value``."""

    def report_with_one(wanted, _generator):
        return [wanted / ENTRIES] * (ENTRIES - 1) + [value]

    return report_with_one


REPORT_KINDS = {
    "honest": (report_all, 0),
    "lagging": (report_all, LAG_SECONDS),
    "lost": (lose_reports, 0),
    "shouting": (report_one_as(1e5), 0),
    "absurd": (report_one_as(1e30), 0),
    "negative": (report_one_as(-1e9), 0),
    "not_a_number": (report_one_as(math.nan), 0),
    "silent": (report_one_as(0.0), 0),
}
