"""Restate the tasks of a pool, so that older records of its stream can be trimmed.

A restatement is a snapshot of the state up to an offset, written to the same
stream. Every reader computes the same state for an offset, so any reader may write
it. A reader that missed trimmed records, but has read every record after the
offset of the restatement, rebuilds the state from both. A reader that started
after that offset can't use the restatement and waits for the next one.
"""

import uuid

import attrs

from azurelanding import task_fold
from azurelanding.task_records import TasksRestated
from azurelanding.tasks import TaskPhase

TASKS_PER_PART = 500


def restate(tasks):
    """Return the ``TasksRestated`` parts that describe ``tasks``."""
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


def _add_state(tasks, state):
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
    """Return the ``PoolTasks`` that a complete set of parts describes."""
    tasks = task_fold.PoolTasks()
    tasks.next_offset, tasks.epoch = parts[0].through + 1, parts[0].epoch
    for part in parts:
        for state in part.states:
            _add_state(tasks, state)
        for task_id in part.ended:
            tasks.finished[task_id] = task_fold.FinishedTask(
                task_id, "", "", "over", "", 0.0
            )
    return tasks


class GapRecovery:
    """Records read since a gap, kept until a restatement makes the state complete.

    ``first`` is the offset of the first record after the gap.
    """

    def __init__(self, first):
        self.first = first
        self.records = []
        self.parts = {}

    def _collect(self, body):
        """Add one part; return the parts of its set in order if they are usable.

        A set is usable once all of its parts are read, if its offset ``through``
        reaches up to the end of the gap. Otherwise returns ``None``.
        """
        found = self.parts.setdefault(body.name, {})
        found[body.part] = body
        if len(found) < body.parts or body.through < self.first - 1:
            return None
        return [found[number] for number in range(body.parts)]

    def add_record(self, offset, record):
        """Keep a record; return the ``PoolTasks`` if the state is now complete."""
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
