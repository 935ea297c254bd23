"""Seeded demand for ``bench.capacity``, and reports that lag, are lost or lie."""

import collections
import math
import random

import attrs

ENTRIES = 6
RUN_SECONDS = 5400
SURGE_FACTOR = 5.0
SURGE_SECONDS = 5
FALL_FACTOR = 0.05
FALL_SECONDS = 15
TURN_SECONDS = 30
NOISE = 0.1
CHANGE_SECONDS = (1800, 3600)
LAG_SECONDS = 30
LOST_REPORTS = 0.3


@attrs.define
class Queue:
    """The work of one pool's services that waits: pairs of arrival and slots."""

    deadline: float
    waiting: collections.deque = attrs.field(factory=collections.deque)
    offered: float = 0.0
    served: float = 0.0

    def add(self, now, slots):
        """Add work that arrives, and drop what is past its deadline."""
        self.offered += slots
        self.waiting.append([now, slots])
        while self.waiting[0][0] + self.deadline < now:
            self.waiting.popleft()

    def depth(self):
        """Return how many slots the waiting work could fill."""
        return sum(slots for _, slots in self.waiting)

    def serve(self, slots):
        """Run waiting work on up to ``slots``; return the slots left over."""
        while self.waiting and slots > 0.0:
            part = min(slots, self.waiting[0][1])
            self.waiting[0][1] -= part
            self.served += part
            slots -= part
            if self.waiting[0][1] <= 0.0:
                self.waiting.popleft()
        return slots


def no_change(_pools, _spare):
    """Return the factors of a demand whose means stay."""
    return {}


def growth(pools, _spare):
    """Return the factors by which one mean grows."""
    return {pools[0]: 1.7}


def shift(pools, spare):
    """Return the factors by which one mean grows while others fall."""
    return {pools[0]: 3.6, pools[2]: 0.2, pools[3]: 0.4, spare: 1.5}


SCENARIOS = {"surges": no_change, "growth": growth, "shift": shift}


def make_demand(pools, means, factors, seed):
    """Return a function of second and pool that gives the slots wanted."""
    generator = random.Random(seed)
    noise = [
        {pool: max(0.0, generator.gauss(1.0, NOISE)) for pool in pools}
        for _ in range(RUN_SECONDS)
    ]

    def slots_wanted(second, pool):
        turn, phase = divmod(second, TURN_SECONDS)
        factor = 1.0
        if pools[turn % len(pools)] == pool:
            if phase < SURGE_SECONDS:
                factor = SURGE_FACTOR
            elif phase < SURGE_SECONDS + FALL_SECONDS:
                factor = FALL_FACTOR
        if CHANGE_SECONDS[0] <= second < CHANGE_SECONDS[1]:
            factor *= factors.get(pool, 1.0)
        return means[pool] * factor * noise[second][pool]

    return slots_wanted


def honest(wanted, _generator):
    """Return the report of every entry, each with its part of the demand."""
    return [wanted / ENTRIES] * ENTRIES


def some_lost(wanted, generator):
    """Lose a part of the reports."""
    reports = honest(wanted, generator)
    return [r for r in reports if generator.random() >= LOST_REPORTS]


def one_says(value):
    """Return reports of which one is ``value``."""

    def report(wanted, _generator):
        return [wanted / ENTRIES] * (ENTRIES - 1) + [value]

    return report


REPORT_KINDS = {
    "honest": (honest, 0),
    "lagging": (honest, LAG_SECONDS),
    "lost": (some_lost, 0),
    "shouting": (one_says(1e5), 0),
    "absurd": (one_says(1e30), 0),
    "negative": (one_says(-1e9), 0),
    "not_a_number": (one_says(math.nan), 0),
    "silent": (one_says(0.0), 0),
}
