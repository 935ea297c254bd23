"""Test what is kept of a job's steps and occurrences against walks over all of them."""

import testtools
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from azurelanding import job_placement
from azurelanding.jobs import JobState, TaskId, task_ids
from azurelanding.occurrences import OccurrenceSet
from azurelanding.step_progress import MAX_COPIED_COUNT, copy_dict, longest_chain
from azurelanding.tests.platform_world import make_job, make_step
from azurelanding.tests.test_job_placement import never_backing_off

OCCURRENCES = 6
GENERATED = settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    database=None,
    phases=[Phase.generate],
)


@st.composite
def draw_steps(draw):
    """Return steps that wait for some of those before them, at times twice for one."""
    steps = []
    for number in range(draw(st.integers(1, 5))):
        earlier = st.integers(0, number - 1)
        after = draw(st.lists(earlier, max_size=3)) if number else ()
        count, estimate = draw(st.integers(1, 3)), draw(st.integers(0, 4)) / 2.0
        steps.append(make_step(count, after=tuple(after), estimate=estimate))
    return tuple(steps)


CHANGES = st.lists(
    st.tuples(
        st.integers(0, OCCURRENCES - 1),
        st.integers(0, 4),
        st.integers(0, 2),
        st.sampled_from(("start", "free", "done", "fail")),
    ),
    max_size=60,
)


def change(state, occurrence, number, index, action):
    """Change one task of a job, if it has it."""
    task_id = TaskId(state.job.id, occurrence, number, index)
    if not state.job.has_task(task_id):
        return
    task = state.task(task_id).copy()
    if action == "start":
        task.last_run += 1
        task.active[task.last_run] = "w"
    else:
        task.active.clear()
    task.is_done = task.is_done or action == "done"
    task.failures += action == "fail"
    state.set_task(task_id, task)


def walk_open(state, occurrence, number):
    """Return whether tasks of a step may start, by a walk over its tasks."""
    job = state.job

    def tasks_of(n):
        return map(state.task, task_ids(job.id, occurrence, n, job.steps[n]))

    if all(task.active or task.is_done for task in tasks_of(number)):
        return False
    return all(task.is_done for n in job.steps[number].after for task in tasks_of(n))


class OccurrenceSetTest(testtools.TestCase):
    """The set against Python's own."""

    @GENERATED
    @given(st.lists(st.tuples(st.booleans(), st.integers(0, 12)), max_size=40))
    def test_set_holds_what_was_added_and_not_discarded(self, changes):
        found, expected = OccurrenceSet.up_to(9), set(range(9))
        for is_added, occurrence in changes:
            (found.add if is_added else found.discard)(occurrence)
            (expected.add if is_added else expected.discard)(occurrence)
            self.assertEqual(len(expected), len(found))
            self.assertEqual(bool(expected), bool(found))
            for start, stop in ((0, 13), (3, 8), (5, 5)):
                between = [n for n in sorted(expected) if start <= n < stop]
                self.assertEqual(between, list(found.between(start, stop)))
                self.assertEqual(len(between), found.count_between(start, stop))
            self.assertEqual(expected, {n for n in range(13) if n in found})
            # Ranges that touch are one.
            self.assertTrue(
                all(a < b for a, b in zip(found.stops, found.starts[1:], strict=False))
            )


class StepProgressTest(testtools.TestCase):
    """The progress of a job against walks over its tasks."""

    def check(self, state):
        for number, step in enumerate(state.job.steps):
            opened = [n for n in range(OCCURRENCES) if walk_open(state, n, number)]
            occurrences = state.progress.open_occurrences(number)
            self.assertEqual(opened, list(occurrences.between(0, OCCURRENCES)))
            waiting = sum(
                not (state.task(task_id).active or state.task(task_id).is_done)
                for n in opened
                for task_id in task_ids(state.job.id, n, number, step)
            )
            found = state.progress.count_open_waiting(number, 0, OCCURRENCES)
            self.assertEqual(waiting, found)
        for occurrence in range(OCCURRENCES):
            left = longest_chain(
                state.job.steps,
                lambda n, o=occurrence: all(
                    state.task(task_id).is_done
                    for task_id in task_ids(state.job.id, o, n, state.job.steps[n])
                ),
            )
            self.assertEqual(left, state.progress.chain_left(occurrence))
        done = sum(task.is_done for task in state.tasks.values())
        self.assertEqual(done, state.progress.total_done)
        self.assertEqual(
            {t for t, task in state.tasks.items() if task.active}, {*state.in_progress}
        )

    @GENERATED
    @given(draw_steps(), CHANGES, CHANGES)
    def test_progress_equals_that_of_a_walk(self, steps, changes, later):
        state = JobState(make_job(steps=steps, occurrences=OCCURRENCES))
        for number, values in enumerate(changes):
            change(state, *values)
            if number % 7 == 0:
                self.check(state)
        copy = state.copy()
        for values in later:
            change(copy, *values)
        self.check(copy)
        self.check(state)

    def test_copy_shares_what_is_unchanged(self):
        steps = (make_step(1), make_step(1, after=(0,)))
        count = 2 * MAX_COPIED_COUNT
        state = JobState(make_job(steps=steps, occurrences=count))
        for occurrence in range(count):
            change(state, occurrence, 0, 0, "done")
        copy = state.copy()
        self.assertIs(state.tasks, copy.tasks.maps[1])
        change(copy, 0, 1, 0, "start")
        self.assertEqual(count + 1, len(copy.tasks))
        self.assertEqual(count, len(state.tasks))
        self.assertEqual(count, len(state.progress.open_occurrences(1)))
        self.assertEqual(count - 1, len(copy.progress.open_occurrences(1)))

    def test_small_dictionary_is_copied(self):
        known = {"a": 1}
        copy = copy_dict(known)
        copy["b"] = 2
        self.assertEqual(({"a": 1}, {"a": 1, "b": 2}), (known, copy))


class DueTest(testtools.TestCase):
    """Which occurrences are due, and which of them are the most urgent."""

    @GENERATED
    @given(st.floats(0.1, 9e8), st.floats(1e-3, 1e6), st.floats(-3.0, 12.0))
    def test_due_occurrences_equal_those_of_a_walk(self, first_due, interval, turns):
        job = make_job(occurrences=9, first_due=first_due, interval=interval)
        for time in (first_due + turns * interval, job.due_at(4)):
            walked = [n for n in range(9) if job.due_at(n) < time]
            self.assertEqual(len(walked), job.first_due_from(time))
            due = [n for n in range(9) if job.due_at(n) <= time]
            self.assertEqual(len(due), job.count_due(time))

    def test_job_without_a_time_is_due_at_once(self):
        job = make_job(occurrences=3)
        self.assertEqual((0, 3), (job.count_due(0.5), job.count_due(1.0)))

    def test_most_urgent_occurrences_come_first(self):
        # Worthless up to 4, late up to 44, then in time.
        job = make_job(
            steps=(make_step(1, estimate=10.0),),
            occurrences=100,
            first_due=100.0,
            interval=1.0,
            stretch=2.0,
        )
        state, now = JobState(job), 155.0
        ready = list(job_placement.ready_steps(state, now, never_backing_off))
        found = [step.occurrence for step in ready]
        every = [
            job_placement.ReadyStep(state, n, 0, ()) for n in range(job.count_due(now))
        ]
        every.sort(key=lambda step: job_placement.urgency(step, now))
        expected = [step.occurrence for step in every]
        self.assertEqual(job_placement.MAX_READY_OCCURRENCES, len(found))
        self.assertEqual(expected[: len(found)], found)
        kinds = [job_placement.timeliness(state, n, now).name for n in (4, 5, 44, 45)]
        self.assertEqual(["WORTHLESS", "LATE", "LATE", "IN_TIME"], kinds)
