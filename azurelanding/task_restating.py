"""Restate the tasks of a pool, so that its older records may be trimmed.

The state up to an offset is the same whoever folds it, so whoever has it may
write it down. A reader that has read every record after that offset rebuilds the
rest from it; one that began later can't use it and waits for the next.
"""

import uuid

import attrs

from azurelanding import task_fold
from azurelanding.task_records import TasksRestated
from azurelanding.tasks import TaskPhase

TASKS_PER_PART = 500


def restate(tasks):
    """Return the ``TasksRestated`` parts that stand for ``tasks``."""
    states = [attrs.evolve(state) for state in tasks.tasks.values()]
    starts = range(0, max(1, len(states)), TASKS_PER_PART)
    name, through = uuid.uuid4().hex, tasks.next_offset - 1
    return [
        TasksRestated(
            name,
            through,
            tasks.epoch,
            part,
            len(starts),
            tuple(states[start : start + TASKS_PER_PART]),
            tuple(tasks.finished) if part == 0 else (),
        )
        for part, start in enumerate(starts)
    ]


def _add(tasks, state):
    tasks.tasks[state.task.id] = state
    if state.phase is TaskPhase.WAITING:
        line = tasks.waiting.setdefault(state.task.kind, task_fold.new_waiting_line())
        line[state.task.id] = state
    elif state.phase is TaskPhase.PLACED:
        worker = state.placement.worker
        tasks.on_worker[worker][state.task.id] = state
        tasks.running[state.task.kind] += 1
        tasks.changed_workers.add(worker)


def rebuild(parts):
    """Return the ``PoolTasks`` that a whole set of parts stands for."""
    tasks = task_fold.PoolTasks()
    tasks.next_offset, tasks.epoch = parts[0].through + 1, parts[0].epoch
    for part in parts:
        for state in part.states:
            _add(tasks, state)
        for name in part.ended:
            tasks.finished[name] = task_fold.FinishedTask(name, "", "", "over", "", 0.0)
    return tasks


class GapRecovery:
    """The records read since a gap, until a restatement makes the state whole."""

    def __init__(self, first):
        self.first = first
        self.records = []
        self.parts = {}

    def _collect(self, body):
        """Return the parts of a set in order once all have come."""
        found = self.parts.setdefault(body.name, {})
        found[body.part] = body
        if len(found) < body.parts or body.through < self.first - 1:
            return None
        return [found[number] for number in range(body.parts)]

    def add_record(self, offset, record):
        """Keep a record; return the ``PoolTasks`` if the state is whole by now."""
        self.records.append((offset, record))
        if not isinstance(record.body, TasksRestated):
            return None
        parts = self._collect(record.body)
        if parts is None:
            return None
        tasks = rebuild(parts)
        for later, kept in self.records:
            task_fold.fold(tasks, later, kept)
        tasks.next_offset = offset + 1
        return tasks
