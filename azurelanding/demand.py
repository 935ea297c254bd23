"""Learn how many slots each pool needs from what the entries report.

Reports lag, are lost, or lie. A single report can't move the estimate far, and a
quantile of many minutes can't be moved by a surge of seconds.
"""

import collections
import math

import attrs

TRIM_FROM = 3
MAX_REPORT_SLOTS = 1e6
WINDOW_SECONDS = 600.0
FRESH_SECONDS = 30.0
ENOUGH_SECONDS = 300.0
DEMAND_QUANTILE = 0.8


def estimate_demand(reports, live):
    """Return the slots wanted by ``live`` entries, from the ``reports`` of some.

    Reports that are no possible number of slots are dropped, and the mean of the
    others stands for those missing. Of three or more, the largest and the
    smallest count no further than the next one. Returns ``None`` when no report
    is usable.

    >>> estimate_demand([4.0, 5.0, 900.0, float("nan")], live=4)
    20.0
    """
    usable = sorted(r for r in reports if 0.0 <= r <= MAX_REPORT_SLOTS)
    if not usable:
        return None
    if len(usable) >= TRIM_FROM:
        usable[0], usable[-1] = usable[1], usable[-2]
    return sum(usable) / len(usable) * live


@attrs.define
class DemandWindow:
    """The demand of one pool over the last ``WINDOW_SECONDS``.

    ``samples`` are pairs of monotonic time and slots, the oldest first.
    """

    samples: collections.deque = attrs.field(factory=collections.deque)

    def observe(self, now, slots):
        """Add the demand at ``now`` and forget what is too old."""
        self.samples.append((now, slots))
        while self.samples[0][0] < now - WINDOW_SECONDS:
            self.samples.popleft()

    def is_usable(self, now):
        """Tell whether the samples reach far enough back and are fresh."""
        if not self.samples:
            return False
        oldest, newest = self.samples[0][0], self.samples[-1][0]
        return newest - oldest >= ENOUGH_SECONDS and now - newest <= FRESH_SECONDS

    def quantile(self):
        """Return the slots that suffice for ``DEMAND_QUANTILE`` of the time."""
        ordered = sorted(slots for _, slots in self.samples)
        return ordered[math.ceil(DEMAND_QUANTILE * len(ordered)) - 1]
