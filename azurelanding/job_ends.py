"""Update tasks and jobs when a run of a task has ended."""

from azurelanding.jobs import JobOutcome, RunEnd, task_ids

MAX_FAILED_WORKERS = 4
"""Number of workers recorded per task on which it failed; enough for later runs to
avoid them."""


def _without_run(task, run):
    copy = task.copy()
    copy.active.pop(run, None)
    return copy


def record_run_end(draft, task_id, run, end, checkpoint, worker):
    """Record how a run ended; return whether the ledger had that run as active."""
    state = draft.job(task_id.job)
    if state is None or run not in state.task(task_id).active:
        return False
    was_done = state.task(task_id).is_done
    task = _without_run(state.task(task_id), run)
    task.was_reported = True
    step = state.job.steps[task_id.step]
    if checkpoint:
        task.checkpoint = checkpoint
    if end is RunEnd.DONE and not step.long_running:
        task.is_done = True
    elif end is RunEnd.FAILED:
        task.failures += 1
        task.failed_on = (*task.failed_on, worker)[-MAX_FAILED_WORKERS:]
    draft.set_task(task_id, task)
    if step.gang and end is RunEnd.DONE and not was_done:
        _finish_gang(draft, task_id, step)
    return True


def _finish_gang(draft, task_id, step):
    """Mark every member of a gang as done: the end of one member counts for all."""
    members = task_ids(task_id.job, task_id.occurrence, task_id.step, step)
    for member in members:
        task = draft.job(task_id.job).task(member).copy()
        task.is_done = True
        draft.set_task(member, task)


def record_begin(draft, task_id, run):
    """Record that a worker has begun a run, if none of its job had begun."""
    state = draft.job(task_id.job)
    if state is None or run not in state.task(task_id).active:
        return
    if not state.begun:
        task = state.task(task_id).copy()
        task.was_reported = True
        draft.set_task(task_id, task)


def record_lost_run(draft, task_id, run):
    """Record that a run can't be in progress any more although no end was reported."""
    state = draft.job(task_id.job)
    if state is not None and run in state.task(task_id).active:
        draft.set_task(task_id, _without_run(state.task(task_id), run))


def record_unstarted_run(draft, task_id, run):
    """Record that a run never began and never will."""
    state = draft.job(task_id.job)
    if state is not None and run in state.task(task_id).active:
        task = _without_run(state.task(task_id), run)
        task.not_begun += 1
        draft.set_task(task_id, task)


def end_jobs(draft, now):
    """End the completed jobs, and the jobs that are over and have no active run."""
    for state in draft.jobs_to_end():
        if not state.is_over:
            outcome = JobOutcome.COMPLETED
        elif state.cancelled_at is not None:
            outcome = JobOutcome.CANCELLED
        else:
            outcome = JobOutcome.FAILED
        draft.end_job(state.job.id, outcome, now)


def drop_expired_jobs(draft, retention, now):
    """Drop the records of jobs that ended more than ``retention`` seconds ago.

    Those of their tasks have to be dropped before. Cancellations of jobs that have not
    become known are dropped after the same time, and so are pins.
    """
    ended_tasks = draft.ledger.ended_tasks
    for job_id, state in draft.ledger.jobs.items():
        is_ended = state.outcome is not None and state.job.pool == draft.pool
        is_expired = is_ended and now > state.ended_at + retention
        if is_expired and job_id not in ended_tasks:
            draft.drop_job(job_id)
    for job_id, cancellation in draft.ledger.early_cancellations.items():
        if now > cancellation.at + retention:
            draft.drop_cancellation(job_id)
    for job_id in draft.ledger.pins.expired(retention, now):
        draft.drop_pinned(job_id)


def unwanted_runs(state):
    """Yield the runs to stop.

    These are all runs of a job that is over, otherwise the runs of tasks that are done.
    """
    tasks = state.in_progress if state.is_over else state.overdone
    for task_id, task in tasks.items():
        for run, worker in task.active.items():
            yield task_id, run, worker
