"""Choose the long-running tasks to stop on workers that are about to end.

At most ``may_miss`` tasks of a step may be unavailable at the same time, including
those that are unavailable for any other reason.
"""

from azurelanding.job_placement import ReadyStep, pick_worker
from azurelanding.jobs import task_ids

STEADY_SECONDS = 1.0
"""How long a run must have been reported as running to count as steady. Longer than a
stop that an earlier controller may have ordered takes, and than a task's start-up."""


def steady_runs(links, now):
    """Return the runs that are steadily running and are not being stopped.

    A worker's report counts only until its next report is overdue.
    """
    return {
        key
        for link in links
        if not link.is_overdue(now)
        for key, since in link.working_since.items()
        if now >= since + STEADY_SECONDS and key not in link.stops
    }


def _has_steady_run(task_id, task, steady):
    return any((task_id, run) in steady for run in task.active)


def count_unavailable(state, occurrence, step_index, steady):
    """Return how many tasks of a step have no steady run."""
    step = state.job.steps[step_index]
    return sum(
        not _has_steady_run(task_id, state.task(task_id), steady)
        for task_id in task_ids(state.job.id, occurrence, step_index, step)
    )


def _long_running_runs(ledger, pool, workers):
    for worker in workers:
        for task_id, run in list(ledger.placed.get(worker, ())):
            state = ledger.active.get(task_id.job)
            if state is None or state.job.pool != pool or state.is_over:
                continue
            if state.job.steps[task_id.step].long_running:
                yield state, task_id, run, worker


def runs_to_evacuate(ledger, pool, cordoned, draining, steady, free_capacity):
    """Yield the runs to stop now, as task, run and worker.

    Workers in ``cordoned`` are shut down only after they are drained. Those in
    ``draining`` end regardless, so all their runs are stopped immediately. ``steady``
    holds the ``steady_runs``, and ``free_capacity`` maps each other worker to its
    ``WorkerCapacity``.
    """
    unavailable = {}
    for _, task_id, run, worker in _long_running_runs(ledger, pool, draining):
        yield task_id, run, worker
        key = (task_id.job, task_id.occurrence, task_id.step)
        unavailable[key] = unavailable.get(key, 0) + 1
    for state, task_id, run, worker in _long_running_runs(
        ledger, pool, cordoned - draining
    ):
        step = state.job.steps[task_id.step]
        key = (task_id.job, task_id.occurrence, task_id.step)
        unavailable_count = unavailable.get(key, 0)
        unavailable_count += count_unavailable(
            state, task_id.occurrence, task_id.step, steady
        )
        has_steady_run = _has_steady_run(task_id, state.task(task_id), steady)
        if step.may_miss and unavailable_count - (not has_steady_run) >= step.may_miss:
            continue
        ready = ReadyStep(state, task_id.occurrence, task_id.step, (task_id,))
        capacity = pick_worker(ready, free_capacity.values(), ())
        if capacity is None:
            continue
        capacity.allocate(step, ready.key)
        unavailable[key] = unavailable.get(key, 0) + 1
        yield task_id, run, worker
