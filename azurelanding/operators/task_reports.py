"""Report the tasks of a pool to operators."""

import collections
import time

from azurelanding import quarantine
from azurelanding.operators import task_wire
from azurelanding.tasks import TaskPhase

MAX_EXAMPLES = 3


def _explain_phase(state, blocked, controller):
    """Return the phase to show for a task and why the task is in it."""
    if state.phase is not TaskPhase.WAITING:
        return state.phase.value, state.reason
    if blocked is None:
        return state.phase.value, f"{controller or 'no daemon'} knows why"
    block = blocked.get(state.task.id) or blocked.get(state.task.kind)
    if block is None:
        return state.phase.value, "its turn has not come"
    shown_phase = TaskPhase.PARKED if block.parked else state.phase
    return shown_phase.value, block.reason


def report_task(tasks, blocked, controller, task_id):
    """Return the ``TaskReport`` of one task, or ``None`` if it is not known."""
    end = tasks.finished.get(task_id)
    if end is not None:
        return task_wire.TaskReport(
            task_id, end.job, end.team, end.outcome, worker=end.worker
        )
    state = tasks.tasks.get(task_id)
    if state is None:
        return None
    phase, reason = _explain_phase(state, blocked, controller)
    worker = state.placement.worker if state.placement else ""
    task = state.task
    return task_wire.TaskReport(
        task.id, task.job, task.team, phase, state.attempt, worker, reason
    )


def _report_groups(tasks, blocked, controller):
    ids_by_group = collections.defaultdict(list)
    for state in tasks.tasks.values():
        phase_and_reason = _explain_phase(state, blocked, controller)
        ids_by_group[(*state.task.kind, *phase_and_reason)].append(state.task.id)
    return tuple(
        task_wire.TaskGroupReport(*key, len(ids), tuple(ids[:MAX_EXAMPLES]))
        for key, ids in sorted(ids_by_group.items())
    )


def _report_workers(tasks, capacity):
    now, reports = time.time(), []
    excluded = quarantine.excluded_workers(tasks.health, len(capacity.views), now)
    for name, view in sorted(capacity.views.items()):
        allowance = quarantine.allowance(tasks.health, name, excluded, now)
        reason = allowance.reason or ("drains" if view.draining else "")
        if not view.open and not reason:
            reason = "does not answer"
        count = len(tasks.on_worker.get(name, ()))
        reports.append(task_wire.WorkerReport(name, count, view.open, reason))
    return tuple(reports)


def report_tasks(pool, tasks, controller, placer=None):
    """Return the ``TasksReport`` of a pool.

    ``placer`` is given only if this daemon controls the pool.
    """
    blocked = placer.blocked if placer else None
    return task_wire.TasksReport(
        pool,
        controller,
        placer is not None,
        _report_groups(tasks, blocked, controller),
        _report_workers(tasks, placer.capacity) if placer else (),
    )
