"""Estimate run times and resource needs from observed values."""

import math

import attrs

SMOOTHING_FACTOR = 0.05
"""Weight of a new value in the moving means."""
HIGH_DEVIATIONS = 3.0
"""Mean deviations above the mean run time that few requests exceed."""
PEAK_DECAY_SECONDS = 10.0
"""Time in which a peak decays to 1/e of its value."""


@attrs.define
class RunTime:
    """Moving means of run times and of their absolute deviation, in seconds."""

    mean: float | None = None
    deviation: float = 0.0

    def observe(self, seconds):
        """Update the means with one observed run time."""
        if self.mean is None:
            self.mean = seconds
            return
        error = seconds - self.mean
        self.mean += SMOOTHING_FACTOR * error
        self.deviation += SMOOTHING_FACTOR * (abs(error) - self.deviation)

    @property
    def high(self):
        """Return a run time that few requests exceed, infinite before the first one."""
        if self.mean is None:
            return math.inf
        return self.mean + HIGH_DEVIATIONS * self.deviation


@attrs.define
class Peak:
    """The highest recent value, decaying exponentially over ``PEAK_DECAY_SECONDS``."""

    value: float = 0.0
    updated_at: float = 0.0

    def observe(self, value, now):
        """Raise the peak to ``value`` if that is above the decayed peak."""
        self.value = max(value, self.at(now))
        self.updated_at = now

    def at(self, now):
        """Return the peak after its decay until ``now``."""
        elapsed = max(0.0, now - self.updated_at)
        return self.value * math.exp(-elapsed / PEAK_DECAY_SECONDS)
