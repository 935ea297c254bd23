"""Keep, for the controller of a pool, what its placed runs use on each worker.

A controller decides many times a second, so what it looks at each time must not grow
with the number of jobs and runs.
"""

import math

import attrs


@attrs.define
class WorkerUsage:
    """What the runs that are placed on a worker use, and their number by step.

    ``fillers`` counts the runs that use idle cores, which count no ``cores`` here, and
    ``serving`` those that have a target for their response times.
    """

    cores: float = 0.0
    memory: int = 0
    accelerators: int = 0
    steps: dict = attrs.field(factory=dict)
    fillers: int = 0
    serving: int = 0


UNUSED = WorkerUsage()
"""The usage of a worker without runs; shared, so it must not be changed."""


def sum_usage(runs, find_job, pool):
    """Return the ``WorkerUsage`` of those of ``runs`` that are of jobs of ``pool``.

    ``runs`` are pairs of a task id and a run number, and ``find_job(job_id)`` returns
    the state of a job that has not ended, or ``None``.
    """
    usage, cores = WorkerUsage(), []
    for task_id, _ in runs:
        state = find_job(task_id.job)
        if state is None or state.job.pool != pool:
            continue
        step = state.job.steps[task_id.step]
        key = (task_id.job, task_id.occurrence, task_id.step)
        if not step.fills:
            cores.append(step.need.cores)
        usage.memory += step.need.memory
        usage.accelerators += step.need.accelerators
        usage.steps[key] = usage.steps.get(key, 0) + 1
        usage.fillers += step.fills
        usage.serving += step.tail_target > 0
    # Exact whatever the order of the runs, which is another one after a reload.
    usage.cores = math.fsum(cores)
    return usage


@attrs.define(eq=False)
class PoolJobs:
    """What the ledger keeps of the jobs of one pool that have not ended.

    ``usage`` holds the ``WorkerUsage`` of the workers whose runs have not changed since
    it was last asked for.
    """

    usage: dict[str, WorkerUsage] = attrs.field(factory=dict)

    def usage_on(self, worker, pool, runs, find_job):
        """Return the ``WorkerUsage`` of a worker, on which ``runs`` are placed."""
        if not runs:
            return UNUSED
        usage = self.usage.get(worker)
        if usage is None:
            usage = self.usage[worker] = sum_usage(runs, find_job, pool)
        return usage
