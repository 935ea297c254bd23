"""Report the tasks of a pool to operators."""

import collections
import time

from azurelanding import quarantine
from azurelanding.operators import task_wire
from azurelanding.tasks import TaskPhase

EXAMPLES = 3


def _reason(state, blocked, controller):
    """Return the phase to show and why the task is in it."""
    if state.phase is not TaskPhase.WAITING:
        return state.phase.value, state.reason
    if blocked is None:
        return state.phase.value, f"{controller or 'no daemon'} knows why"
    found = blocked.get(state.task.id) or blocked.get(state.task.kind)
    if found is None:
        return state.phase.value, "its turn has not come"
    shown = TaskPhase.PARKED if found.parked else state.phase
    return shown.value, found.reason


def report_task(tasks, blocked, controller, task_id):
    """Return the ``TaskReport`` of one task, or ``None`` if it is not known."""
    ended = tasks.finished.get(task_id)
    if ended is not None:
        return task_wire.TaskReport(
            task_id, ended.job, ended.team, ended.outcome, worker=ended.worker
        )
    state = tasks.tasks.get(task_id)
    if state is None:
        return None
    phase, reason = _reason(state, blocked, controller)
    worker = state.placement.worker if state.placement else ""
    task = state.task
    return task_wire.TaskReport(
        task.id, task.job, task.team, phase, state.attempt, worker, reason
    )


def _report_lines(tasks, blocked, controller):
    alike = collections.defaultdict(list)
    for state in tasks.tasks.values():
        shown = _reason(state, blocked, controller)
        alike[(*state.task.kind, *shown)].append(state.task.id)
    return tuple(
        task_wire.TaskGroupReport(*key, len(ids), tuple(ids[:EXAMPLES]))
        for key, ids in sorted(alike.items())
    )


def _report_workers(tasks, capacity):
    now, reports = time.time(), []
    closed = quarantine.closed_workers(tasks.health, len(capacity.views), now)
    for name, view in sorted(capacity.views.items()):
        allowance = quarantine.allowance(tasks.health, name, closed, now)
        reason = allowance.reason or ("drains" if view.draining else "")
        if not view.open and not reason:
            reason = "does not answer"
        count = len(tasks.on_worker.get(name, ()))
        reports.append(task_wire.WorkerReport(name, count, view.open, reason))
    return tuple(reports)


def report_tasks(pool, tasks, controller, placer=None):
    """Return the ``TasksReport`` of a pool; ``placer`` is given if it is ours."""
    blocked = placer.blocked if placer else None
    return task_wire.TasksReport(
        pool,
        controller,
        placer is not None,
        _report_lines(tasks, blocked, controller),
        _report_workers(tasks, placer.capacity) if placer else (),
    )
