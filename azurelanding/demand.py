"""Estimate how many slots each pool needs from the reports of the entries.

Reports may be late, lost or wrong. A single report can't change the estimate much,
and a surge of a few seconds can't change the quantile over many minutes.
"""

import collections
import math

import attrs

MIN_REPORTS_TO_CLAMP = 3
MAX_REPORT_SLOTS = 1e6
WINDOW_SECONDS = 600.0
MAX_NEWEST_AGE_SECONDS = 30.0
MIN_COVERED_SECONDS = 300.0
DEMAND_QUANTILE = 0.8


def estimate_demand(reports, live):
    """Return the slots wanted by ``live`` entries, from the ``reports`` of some.

    Reports that are not a possible number of slots are dropped, and the mean of the
    others replaces missing reports. Of three or more usable reports, the largest and
    the smallest are clamped to the next one. Returns ``None`` if no report is usable.

    >>> estimate_demand([4.0, 5.0, 900.0, float("nan")], live=4)
    20.0
    """
    usable = sorted(r for r in reports if 0.0 <= r <= MAX_REPORT_SLOTS)
    if not usable:
        return None
    if len(usable) >= MIN_REPORTS_TO_CLAMP:
        usable[0], usable[-1] = usable[1], usable[-2]
    return sum(usable) / len(usable) * live


@attrs.define
class DemandWindow:
    """The demand of one pool over the last ``WINDOW_SECONDS``.

    ``samples`` are pairs of monotonic time and slots, the oldest first.
    """

    samples: collections.deque = attrs.field(factory=collections.deque)

    def observe(self, now, slots):
        """Add the demand at ``now`` and drop samples that are too old."""
        self.samples.append((now, slots))
        while self.samples[0][0] < now - WINDOW_SECONDS:
            self.samples.popleft()

    def is_usable(self, now):
        """Return whether the samples cover enough time and the newest is recent."""
        if not self.samples:
            return False
        oldest, newest = self.samples[0][0], self.samples[-1][0]
        return (
            newest - oldest >= MIN_COVERED_SECONDS
            and now - newest <= MAX_NEWEST_AGE_SECONDS
        )

    def quantile(self):
        """Return the slots that suffice for ``DEMAND_QUANTILE`` of the samples."""
        ordered = sorted(slots for _, slots in self.samples)
        return ordered[math.ceil(DEMAND_QUANTILE * len(ordered)) - 1]
