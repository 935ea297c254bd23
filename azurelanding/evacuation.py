"""Choose the long-running tasks that leave a worker which is about to end.

Of a step with ``may_miss`` no more tasks than that may be away at once, counted with
those that are not at work for any other cause.
"""

from azurelanding.job_placement import ReadyStep, pick_worker
from azurelanding.jobs import task_ids

STEADY_SECONDS = 1.0
"""How long a run is seen at work before it counts; over the time of a stop that an
earlier controller may have ordered, and of a task's start-up."""


def steady_runs(links, now):
    """Return the runs that have been at work for a while and are not being stopped.

    What a worker listed counts only as long as its next report is not overdue.
    """
    return {
        key
        for link in links
        if not link.is_overdue(now)
        for key, since in link.at_work_since.items()
        if now >= since + STEADY_SECONDS and key not in link.stops
    }


def _is_at_work(task_id, task, steady):
    return any((task_id, run) in steady for run in task.active)


def count_away(state, occurrence, number, steady):
    """Return how many tasks of a step are not steadily at work."""
    step = state.job.steps[number]
    return sum(
        not _is_at_work(task_id, state.task(task_id), steady)
        for task_id in task_ids(state.job.id, occurrence, number, step)
    )


def _long_running(ledger, pool, workers):
    for worker in workers:
        for task_id, run in list(ledger.placed.get(worker, ())):
            state = ledger.active.get(task_id.job)
            if state is None or state.job.pool != pool or state.is_over:
                continue
            if state.job.steps[task_id.step].long_running:
                yield state, task_id, run, worker


def runs_to_move(ledger, pool, leaving, draining, steady, rooms):
    """Yield the runs to stop now, as task, run and worker.

    Workers in ``leaving`` wait until they are empty, those in ``draining`` do not.
    ``steady`` holds the runs that are surely at work, as task and run, and ``rooms``
    what the other workers have left.
    """
    away = {}
    for _, task_id, run, worker in _long_running(ledger, pool, draining):
        yield task_id, run, worker
        key = (task_id.job, task_id.occurrence, task_id.step)
        away[key] = away.get(key, 0) + 1
    for state, task_id, run, worker in _long_running(ledger, pool, leaving - draining):
        step = state.job.steps[task_id.step]
        key = (task_id.job, task_id.occurrence, task_id.step)
        missing = away.get(key, 0)
        missing += count_away(state, task_id.occurrence, task_id.step, steady)
        is_at_work = _is_at_work(task_id, state.task(task_id), steady)
        if step.may_miss and missing - (not is_at_work) >= step.may_miss:
            continue
        ready = ReadyStep(state, task_id.occurrence, task_id.step, (task_id,))
        room = pick_worker(ready, rooms.values(), ())
        if room is None:
            continue
        room.take(step, ready.key)
        away[key] = away.get(key, 0) + 1
        yield task_id, run, worker
