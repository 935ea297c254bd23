"""Correct the declared sizes and run times of jobs by what was observed.

Each worker's own quantile of a job is taken first and then the median over the
workers, so that one worker that reports nonsense moves nothing. The samples are
few for each job and worker, and the newest replace the oldest.

>>> estimate(JobSizes(), Need(4.0, 8 << 30), 60.0).cores
4.0
"""

import collections
import math

import attrs

from azurelanding.tasks import Resources

MAX_SAMPLES = 64
SAMPLES_PER_WORKER = 8
MIN_SAMPLES = 4
MIN_WORKERS = 2
SAMPLE_LIFE_SECONDS = 6 * 3600.0
CORES_QUANTILE = 0.75
MEMORY_QUANTILE = 1.0
RUN_TIME_QUANTILE = 0.75
MEMORY_MARGIN = 1.15
MEMORY_RETRY_FACTOR = 2.0
MIN_CORES = 0.1
MIN_MEMORY_BYTES = 64 << 20


@attrs.frozen
class Sample:
    """The peaks and the run time of one finished task; ``at`` is in seconds."""

    worker: str
    cores: float
    memory: int
    run_time: float
    at: float


@attrs.frozen
class Estimate:
    """The corrected size of a job; ``observed`` tells whether it differs."""

    cores: float
    memory: int
    accelerators: int
    run_time: float
    observed: bool

    def need(self, memory_failures=0):
        """Return the ``Resources`` of a task that failed so often for want of memory."""
        memory = int(self.memory * MEMORY_RETRY_FACTOR**memory_failures)
        return Resources(self.cores, memory, self.accelerators)


@attrs.define(eq=False)
class JobSizes:
    """What was observed of one job; ``cached`` is dropped with each sample."""

    samples: collections.deque = attrs.field(factory=collections.deque)
    cached: tuple | None = None


def _is_usable(sample):
    numbers = (sample.cores, sample.memory, sample.run_time)
    return all(math.isfinite(number) and number >= 0 for number in numbers)


def record_sample(sizes, sample):
    """Keep ``sample``, in place of the worker's oldest or of the oldest of all."""
    if not _is_usable(sample):
        return
    kept = sizes.samples
    while kept and kept[0].at < sample.at - SAMPLE_LIFE_SECONDS:
        kept.popleft()
    own = [old for old in kept if old.worker == sample.worker]
    if len(own) >= SAMPLES_PER_WORKER:
        kept.remove(own[0])
    elif len(kept) >= MAX_SAMPLES:
        kept.popleft()
    kept.append(sample)
    sizes.cached = None


def _quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _median_over_workers(by_worker, name, fraction):
    """Return the upper median over the workers of each one's quantile."""
    own = sorted(
        _quantile([getattr(sample, name) for sample in samples], fraction)
        for samples in by_worker.values()
    )
    return own[len(own) // 2]


def _estimate(sizes, declared, run_time):
    by_worker = collections.defaultdict(list)
    for sample in sizes.samples:
        by_worker[sample.worker].append(sample)
    if len(sizes.samples) < MIN_SAMPLES or len(by_worker) < MIN_WORKERS:
        return Estimate(
            declared.cores, declared.memory, declared.accelerators, run_time, False
        )
    memory = _median_over_workers(by_worker, "memory", MEMORY_QUANTILE)
    return Estimate(
        max(MIN_CORES, _median_over_workers(by_worker, "cores", CORES_QUANTILE)),
        max(MIN_MEMORY_BYTES, int(memory * MEMORY_MARGIN)),
        declared.accelerators,
        _median_over_workers(by_worker, "run_time", RUN_TIME_QUANTILE),
        True,
    )


def estimate(sizes, declared, run_time):
    """Return the ``Estimate`` of a job declared with ``declared`` and ``run_time``.

    It is the declared one until several tasks have ended on several workers.
    """
    key = (declared, run_time)
    if sizes.cached is None or sizes.cached[0] != key:
        sizes.cached = (key, _estimate(sizes, declared, run_time))
    return sizes.cached[1]
