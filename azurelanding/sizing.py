"""Correct the declared sizes and run times of jobs by observed values.

A quantile is computed for each worker that ran the job, and then the median over
the workers, so that a single worker with wrong reports does not change the result.
At most ``MAX_SAMPLES_PER_WORKER`` samples are kept for a job and worker, and
``MAX_SAMPLES`` for a job; new samples replace the oldest.

>>> estimate(JobSizes(), Resources(4.0, 8 << 30), 60.0).cores
4.0
"""

import collections
import math

import attrs

from azurelanding.tasks import Resources

MAX_SAMPLES = 64
MAX_SAMPLES_PER_WORKER = 8
MIN_SAMPLES = 4
MIN_WORKERS = 2
SAMPLE_RETENTION_SECONDS = 6 * 3600.0
CORES_QUANTILE = 0.75
MEMORY_QUANTILE = 1.0
RUN_TIME_QUANTILE = 0.75
MEMORY_MARGIN_FACTOR = 1.15
MEMORY_RETRY_FACTOR = 2.0
MAX_RETRY_FACTORS_COUNT = 32
"""Limit on how often the memory is multiplied; the result is more than any host has."""
MIN_CORES = 0.1
MIN_MEMORY_BYTES = 64 << 20


@attrs.frozen
class Sample:
    """The peak usage and the run time of one finished task.

    ``memory`` is in bytes, ``run_time`` and ``at`` are in seconds.
    """

    worker: str
    cores: float
    memory: int
    run_time: float
    at: float


@attrs.frozen
class Estimate:
    """The size and run time of a job, in the units of ``Sample``.

    ``observed`` is false if they are the declared values.
    """

    cores: float
    memory: int
    accelerators: int
    run_time: float
    observed: bool

    def need(self, memory_failures=0):
        """Return the ``Resources`` of a task that ran out of memory so many times.

        The memory is multiplied by ``MEMORY_RETRY_FACTOR`` for each failure.
        """
        factors = min(memory_failures, MAX_RETRY_FACTORS_COUNT)
        memory = int(self.memory * MEMORY_RETRY_FACTOR**factors)
        return Resources(self.cores, memory, self.accelerators)


@attrs.define(eq=False)
class JobSizes:
    """The samples of one job, the oldest first.

    ``cached`` is the last estimate with the declared values that it was made for,
    and is dropped with each new sample.
    """

    samples: collections.deque = attrs.field(factory=collections.deque)
    cached: tuple | None = None


def _is_usable(sample):
    numbers = (sample.cores, sample.memory, sample.run_time)
    return all(math.isfinite(number) and number >= 0 for number in numbers)


def record_sample(sizes, sample):
    """Add ``sample`` and drop expired ones.

    At the limit for each worker, it replaces the worker's oldest sample; at the
    limit for the job, the oldest of all. A sample that is negative or not finite is
    ignored.
    """
    if not _is_usable(sample):
        return
    samples = sizes.samples
    while samples and samples[0].at < sample.at - SAMPLE_RETENTION_SECONDS:
        samples.popleft()
    own_samples = [old for old in samples if old.worker == sample.worker]
    if len(own_samples) >= MAX_SAMPLES_PER_WORKER:
        samples.remove(own_samples[0])
    elif len(samples) >= MAX_SAMPLES:
        samples.popleft()
    samples.append(sample)
    sizes.cached = None


def _quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _median_over_workers(by_worker, name, fraction):
    """Return the upper median over the workers of each worker's quantile."""
    quantiles = sorted(
        _quantile([getattr(sample, name) for sample in samples], fraction)
        for samples in by_worker.values()
    )
    return quantiles[len(quantiles) // 2]


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
        max(MIN_MEMORY_BYTES, int(memory * MEMORY_MARGIN_FACTOR)),
        declared.accelerators,
        _median_over_workers(by_worker, "run_time", RUN_TIME_QUANTILE),
        True,
    )


def estimate(sizes, declared, run_time):
    """Return the ``Estimate`` of a job.

    It consists of the declared resources and ``run_time``, in seconds, until there
    are ``MIN_SAMPLES`` samples from at least ``MIN_WORKERS`` workers.
    """
    key = (declared, run_time)
    if sizes.cached is None or sizes.cached[0] != key:
        sizes.cached = (key, _estimate(sizes, declared, run_time))
    return sizes.cached[1]
