"""Fold a pool's task stream into the state of its tasks.

Every reader folds the same records in offset order. Three checks prevent a
non-repeatable task from running twice: a decision is accepted only under the
newest epoch, a placement only for a waiting task, and the end of an attempt only
for the attempt that is currently placed. A non-repeatable task returns to waiting
only if its worker never started it, or if an operator releases it.
"""

import collections

import attrs

from azurelanding import quarantine, sizing
from azurelanding.task_records import (
    TasksCancelled,
    TasksDecided,
    TasksReleased,
    TasksRestated,
    TasksSubmitted,
)
from azurelanding.tasks import Disposition, End, TaskPhase, TaskState

MAX_REMEMBERED_VERDICTS = 5_000
MAX_REMEMBERED_FINISHED = 2_000
NO_EPOCH = 0


@attrs.frozen
class FinishedTask:
    """One of the last ``MAX_REMEMBERED_FINISHED`` finished tasks.

    It is kept for operators' reports, and so that a repeated submission of the task
    is ignored. ``at`` is when it finished, in seconds since the epoch.
    """

    task: str
    job: str
    team: str
    outcome: str
    worker: str
    at: float


@attrs.define(eq=False)
class PoolTasks:
    """The tasks of one pool, with job sizes and worker health observed from them.

    ``tasks`` maps the id of each unfinished task to its state. ``waiting`` maps the
    ``Task.kind`` of each line to the line: its waiting tasks in the order in which
    they began to wait, but retried tasks first. ``on_worker`` maps each worker to the
    tasks placed on it, and ``running`` counts placed tasks by ``Task.kind``.
    ``changed_workers`` names the workers whose tasks have changed since it was last
    cleared. ``sizes`` maps jobs to their usage samples. ``verdicts`` maps the ids of
    recent records to whether they were accepted, ``finished`` the ids of recently
    finished tasks to how they ended, and ``unreadable`` the offsets of skipped
    records to the reason.
    """

    next_offset: int = 1
    epoch: int = NO_EPOCH
    tasks: dict = attrs.field(factory=dict)
    waiting: dict = attrs.field(factory=dict)
    on_worker: dict = attrs.field(factory=lambda: collections.defaultdict(dict))
    running: collections.Counter = attrs.field(factory=collections.Counter)
    sizes: dict = attrs.field(factory=lambda: collections.defaultdict(sizing.JobSizes))
    health: quarantine.Health = attrs.field(factory=quarantine.Health)
    verdicts: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    finished: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    changed_workers: set = attrs.field(factory=set)
    unreadable: dict = attrs.field(factory=dict)


def new_waiting_line():
    """Return an empty line: an ordered mapping of task ids to waiting tasks."""
    return collections.OrderedDict()


def _make_waiting(tasks, state, first=False):
    state.phase = TaskPhase.WAITING
    line = tasks.waiting.setdefault(state.task.kind, new_waiting_line())
    line[state.task.id] = state
    if first:
        line.move_to_end(state.task.id, last=False)


def _remove_from_line(tasks, state):
    line = tasks.waiting[state.task.kind]
    del line[state.task.id]
    if not line:
        del tasks.waiting[state.task.kind]


def _remove_from_worker(tasks, state):
    worker = state.placement.worker
    tasks.changed_workers.add(worker)
    del tasks.on_worker[worker][state.task.id]
    if not tasks.on_worker[worker]:
        del tasks.on_worker[worker]
    tasks.running[state.task.kind] -= 1
    state.placement = None


def _finish(tasks, state, outcome, worker, now):
    task = state.task
    del tasks.tasks[task.id]
    tasks.finished[task.id] = FinishedTask(
        task.id, task.job, task.team, outcome, worker, now
    )
    if len(tasks.finished) > MAX_REMEMBERED_FINISHED:
        tasks.finished.popitem(last=False)


def _fold_submitted(tasks, record):
    for task in record.body.tasks:
        if task.id not in tasks.tasks and task.id not in tasks.finished:
            state = tasks.tasks[task.id] = TaskState(task)
            _make_waiting(tasks, state)
    return True


def _selects(body, task):
    if body.job or body.team:
        return body.job in ("", task.job) and body.team in ("", task.team)
    return False


def _cancelled_states(tasks, body):
    by_id = [tasks.tasks[task_id] for task_id in body.tasks if task_id in tasks.tasks]
    selected = [state for state in tasks.tasks.values() if _selects(body, state.task)]
    return {state.task.id: state for state in by_id + selected}.values()


def _fold_cancelled(tasks, record):
    for state in _cancelled_states(tasks, record.body):
        worker = state.placement.worker if state.placement else ""
        if state.phase is TaskPhase.WAITING:
            _remove_from_line(tasks, state)
        elif state.phase is TaskPhase.PLACED:
            _remove_from_worker(tasks, state)
        _finish(tasks, state, "cancelled", worker, record.made_at)
    return True


def _fold_released(tasks, record):
    for task_id in record.body.tasks:
        state = tasks.tasks.get(task_id)
        if state and state.phase in (TaskPhase.PARKED, TaskPhase.LOST):
            state.failed_on, state.memory_failures, state.reason = (), 0, ""
            _make_waiting(tasks, state)
    return True


def _record_observations(tasks, state, end, now):
    """Update the job's size samples and the worker's health from ``end``."""
    worker, job = state.placement.worker, state.task.job
    if end.end is End.DONE:
        sample = sizing.Sample(worker, end.cores, end.memory, end.ran, now)
        sizing.record_sample(tasks.sizes[job], sample)
        quarantine.record_success(tasks.health, worker, job, now)
    elif end.end is End.FAILED:
        if quarantine.is_healthy(tasks.health, worker):
            state.failed_on = (*state.failed_on, worker)
        quarantine.record_failure(tasks.health, worker, job, now)
    elif end.end is End.MEMORY:
        state.memory_failures += 1


def _disposition(state, end):
    """Return what happens to the task next.

    A non-repeatable task is retried only if the attempt was never started.
    """
    if (
        end.then is not Disposition.RETRY
        or state.task.repeat
        or end.end is End.UNSTARTED
    ):
        return end.then
    return Disposition.LOST


def _fold_end(tasks, end, now):
    state = tasks.tasks.get(end.task)
    if state is None or state.phase is not TaskPhase.PLACED:
        return
    if state.attempt != end.attempt:
        return
    worker = state.placement.worker
    _record_observations(tasks, state, end, now)
    _remove_from_worker(tasks, state)
    state.saved, state.reason = end.saved, end.reason
    match _disposition(state, end):
        case Disposition.FINISHED:
            _finish(tasks, state, end.end.value, worker, now)
        case Disposition.RETRY:
            _make_waiting(tasks, state, first=True)
        case Disposition.PARKED:
            state.phase = TaskPhase.PARKED
        case Disposition.LOST:
            state.phase = TaskPhase.LOST


def _fold_placement(tasks, placement):
    state = tasks.tasks.get(placement.task)
    if state is None or state.phase is not TaskPhase.WAITING:
        return
    if placement.attempt != state.attempt + 1:
        return
    _remove_from_line(tasks, state)
    state.phase, state.attempt = TaskPhase.PLACED, placement.attempt
    state.placement = placement
    tasks.on_worker[placement.worker][state.task.id] = state
    tasks.changed_workers.add(placement.worker)
    tasks.running[state.task.kind] += 1


def _fold_decided(tasks, record):
    body = record.body
    if body.epoch < tasks.epoch:
        return False
    tasks.epoch = body.epoch
    for end in body.ended:
        _fold_end(tasks, end, record.made_at)
    for placement in body.placed:
        _fold_placement(tasks, placement)
    return True


def _fold_restated(tasks, record):
    """Change nothing: a reader that folds this record already has its tasks."""
    return True


FOLDS = {
    TasksSubmitted: _fold_submitted,
    TasksCancelled: _fold_cancelled,
    TasksReleased: _fold_released,
    TasksDecided: _fold_decided,
    TasksRestated: _fold_restated,
}


def fold(tasks, offset, record):
    """Apply ``record`` at ``offset`` to ``tasks``; return whether it was accepted.

    A record that was folded before changes nothing: the result is ``None`` if
    ``offset`` is below ``next_offset``, and the first verdict if the record repeats
    an id at a new offset.
    """
    if offset < tasks.next_offset:
        return None
    tasks.next_offset = offset + 1
    if record.id in tasks.verdicts:
        return tasks.verdicts[record.id]
    accepted = FOLDS[type(record.body)](tasks, record)
    tasks.verdicts[record.id] = accepted
    if len(tasks.verdicts) > MAX_REMEMBERED_VERDICTS:
        tasks.verdicts.popitem(last=False)
    return accepted


def skip_record(tasks, offset, reason):
    """Skip the record at ``offset``, which can't be decoded, and keep ``reason``."""
    if offset >= tasks.next_offset:
        tasks.next_offset = offset + 1
        tasks.unreadable[offset] = reason
