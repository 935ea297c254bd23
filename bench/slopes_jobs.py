"""Measure what one decision of a pool's controller costs by the size of its jobs.

``python -m bench.slopes_jobs`` makes a controller with two workers and jobs of growing
size, and lets it decide until the first starts are stored, then once more with a start
answered. It prints the longest decision and the mean of the others in milliseconds of
processor time, as ``name=value`` lines. The store takes no time.
"""

import time
import unittest.mock

import anyio

from azurelanding import log
from azurelanding.jobs import Job, Step
from azurelanding.ledger import JobSubmitted
from azurelanding.tasks import Resources
from azurelanding.tests.test_pool_jobs import make_controller

SMALL = Resources(0.01, 1, 0)
PASSES = 6
DUE_LONG_AGO = 1_000.0


def make_job(number, steps, **fields):
    """Return a job that was submitted just now."""
    return Job(f"{number:016x}", "q", "cuts", "spec", steps, time.time(), **fields)


def occurrences(count):
    """Return a scheduled job with ``count`` times due."""
    step = Step(1, SMALL, estimate=0.5)
    fields = {"first_due": DUE_LONG_AGO, "interval": 0.5, "occurrences": count}
    return [make_job(1, (step,), **fields)]


def steps(count):
    """Return a job of ``count`` steps, the second half after all of the first."""
    half = count // 2
    first = [Step(1, SMALL, estimate=0.5)] * half
    second = [Step(1, SMALL, estimate=0.5, after=tuple(range(half)))] * half
    return [make_job(1, (*first, *second))]


def tasks(count):
    """Return a job of one step with ``count`` tasks."""
    return [make_job(1, (Step(count, SMALL, estimate=0.5),))]


def gang(count):
    """Return a job of one gang with ``count`` tasks."""
    return [make_job(1, (Step(count, Resources(0.001, 1, 0), gang=True),))]


def jobs(count):
    """Return ``count`` jobs of eight tasks of which no worker has room for two."""
    step = Step(8, Resources(5.0, 1, 0), estimate=0.5)
    return [make_job(number, (step, step)) for number in range(count)]


SIZES = {
    occurrences: (10, 100, 1_000, 10_000, 100_000),
    steps: (10, 100, 1_000),
    tasks: (10, 100, 1_000, 20_000),
    gang: (10, 100, 1_000, 4_000),
    jobs: (1, 10, 100, 1_000),
}


async def measure(submitted):
    """Return the seconds of each decision on the jobs ``submitted``."""
    controller = await make_controller(["v", "w"], [])
    controller.stream.deferred.hold()
    controller.permits.find_advice = lambda queue: None
    end = 0
    for job in submitted:
        controller.ledger.apply(("job", job.id), JobSubmitted(job), end)
        end += 1

    async def store(records):
        nonlocal end
        controller.stream.apply_appended(records, end)
        end += len(records)
        return True

    seconds = []
    with unittest.mock.patch.object(controller, "_store", store):
        for _ in range(PASSES):
            started = time.process_time()
            await controller._decide()
            seconds.append(time.process_time() - started)
            for link in controller.links.values():
                link.start_times.clear()
    return seconds


def main():
    """Print the cost by kind and size."""
    log.configure("critical")
    for make, sizes in SIZES.items():
        for size in sizes:
            seconds = anyio.run(measure, make(size))
            name = f"{make.__name__}_{size}"
            others = sorted(seconds)[:-1]
            print(f"{name}_longest_ms={1e3 * max(seconds):.1f}")
            print(f"{name}_mean_ms={1e3 * sum(others) / len(others):.1f}", flush=True)


if __name__ == "__main__":
    main()
