"""Tests of restating tasks for readers that the retention has overtaken."""

import hypothesis
import testtools
from hypothesis import strategies

from azurelanding import task_records, task_restating
from azurelanding.log_service import task_wire
from azurelanding.log_service.task_stream import TaskStream
from azurelanding.settings import LogServiceSettings
from azurelanding.tasks import Disposition, End, Placement, Resources, Task, TaskEnd

NEED = Resources(1.0, 1, 0)


def draw_body(kind, task, again):
    """Return the body of a record about one of a few tasks."""
    name = f"cuts.k-{task}"
    if kind == "submit":
        return task_records.TasksSubmitted((Task(name, f"j{task % 2}", "t", 0.0),))
    if kind == "cancel":
        return task_records.TasksCancelled((name,))
    if kind == "cancel-job":
        return task_records.TasksCancelled(job=f"j{task % 2}")
    if kind == "release":
        return task_records.TasksReleased((name,))
    if kind == "place":
        intent = Placement(name, 1 + again, f"w{task % 2}", "i", NEED)
        return task_records.TasksDecided(3, placed=(intent,))
    then = Disposition.RETRY if again else Disposition.PARKED
    end = TaskEnd(name, 1, End.STOPPED, then)
    return task_records.TasksDecided(3 + task % 2, ended=(end,))


def make_stream():
    """Return a stream that is fed by hand."""
    return TaskStream.from_config("cuts", LogServiceSettings())


def summary(stream):
    """Return what two readers must agree on."""
    tasks = stream.tasks
    states = {
        name: (state.phase, state.attempt, state.placement, state.saved)
        for name, state in tasks.tasks.items()
    }
    lines = {kind: set(line) for kind, line in tasks.waiting.items()}
    on_worker = {name: set(held) for name, held in tasks.on_worker.items()}
    running = {kind: count for kind, count in tasks.running.items() if count}
    return states, lines, on_worker, running, tasks.epoch, set(tasks.finished)


kinds = strategies.sampled_from(
    ("submit", "submit", "place", "end", "cancel", "cancel-job", "release")
)
bodies = strategies.lists(
    strategies.builds(
        draw_body, kinds, strategies.integers(0, 5), strategies.booleans()
    ),
    max_size=15,
)


class RestateTest(testtools.TestCase):
    """A late reader against one that read everything."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(bodies, bodies, bodies, strategies.integers(0, 3))
    def test_a_late_reader_comes_to_the_same_state(self, before, between, after, seen):
        early, late = make_stream(), make_stream()
        first = max(1, len(before) + 1 - seen)
        late.tasks.next_offset = first
        late.gap_recovery = task_restating.GapRecovery(first)
        offset = 0

        def write(body):
            nonlocal offset
            offset += 1
            record = task_records.new_record(body, "c", "ana", 0.0)
            early.fold_entry(offset, task_wire.encode_record(record))
            if offset >= first:
                late.fold_entry(offset, task_wire.encode_record(record))

        for body in before:
            write(body)
        parts = task_restating.restate(early.tasks)
        for body in [*between, *parts, *after]:
            write(body)
        self.assertTrue(late.has_all_records)
        self.assertEqual(summary(early), summary(late))

    def test_a_set_that_states_less_than_the_gap_is_not_used(self):
        early = make_stream()
        record = task_records.new_record(draw_body("submit", 1, False), "c", "a", 0.0)
        early.fold_entry(1, task_wire.encode_record(record))
        (part,) = task_restating.restate(early.tasks)
        late = make_stream()
        late.gap_recovery = task_restating.GapRecovery(3)
        restated = task_records.new_record(part, "c", "a", 0.0)
        late.fold_entry(3, task_wire.encode_record(restated))
        self.assertFalse(late.has_all_records)

    def test_many_tasks_come_in_parts(self):
        early, late = make_stream(), make_stream()
        tasks = tuple(Task(f"cuts.k-{n}", "j", "t", 0.0) for n in range(1200))
        body = task_records.TasksSubmitted(tasks)
        record = task_records.new_record(body, "c", "a", 0.0)
        early.fold_entry(1, task_wire.encode_record(record))
        late.gap_recovery = task_restating.GapRecovery(2)
        parts = task_restating.restate(early.tasks)
        self.assertEqual(3, len(parts))
        for offset, part in enumerate(parts, start=2):
            restated = task_records.new_record(part, "c", "a", 0.0)
            late.fold_entry(offset, task_wire.encode_record(restated))
        self.assertTrue(late.has_all_records)
        self.assertEqual(summary(early), summary(late))
