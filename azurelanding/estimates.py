"""Estimate run times and needs from what was observed."""

import math

import attrs

MEAN_GAIN = 0.05
DEVIATIONS = 3.0
NEED_SECONDS = 10.0


@attrs.define
class RunTime:
    """A moving mean of run times and of their deviation, in seconds."""

    mean: float | None = None
    deviation: float = 0.0

    def observe(self, seconds):
        """Take one observed run time into account."""
        if self.mean is None:
            self.mean = seconds
            return
        error = seconds - self.mean
        self.mean += MEAN_GAIN * error
        self.deviation += MEAN_GAIN * (abs(error) - self.deviation)

    @property
    def high(self):
        """Return a run time that few requests exceed; infinite when unknown."""
        if self.mean is None:
            return math.inf
        return self.mean + DEVIATIONS * self.deviation


@attrs.define
class Peak:
    """The highest of recent values, decaying over ``NEED_SECONDS``."""

    value: float = 0.0
    noted_at: float = 0.0

    def observe(self, value, now):
        """Raise the peak to ``value`` if it is higher."""
        self.value = max(value, self.at(now))
        self.noted_at = now

    def at(self, now):
        """Return the peak as decayed until ``now``."""
        elapsed = max(0.0, now - self.noted_at)
        return self.value * math.exp(-elapsed / NEED_SECONDS)
