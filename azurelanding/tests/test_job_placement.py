"""Test which tasks start, in which order and on which workers."""

import testtools

from azurelanding import job_placement
from azurelanding.jobs import JobState, TaskId, TaskState
from azurelanding.tasks import Resources
from azurelanding.tests.platform_world import make_job, make_step

BIG = Resources(8.0, 1 << 34, 0)


def make_capacity(name, cores=8.0, rack="r1-1", **fields):
    """Return the free capacity of a worker."""
    total = Resources(cores, 1 << 34, 0)
    labels = fields.pop("labels", frozenset({"a", rack}))
    return job_placement.WorkerCapacity(
        name, cores, 1 << 34, 0, total, rack, labels, **fields
    )


def never_backing_off(_task_id):
    """Report that no task is backing off."""
    return False


def ready(job, state=None, now=2.0):
    """Return the ready steps of a job."""
    return list(
        job_placement.ready_steps(state or JobState(job), now, never_backing_off)
    )


class ReadyTest(testtools.TestCase):
    """Which tasks are ready to start."""

    def test_step_waits_for_the_steps_it_depends_on(self):
        job = make_job(steps=(make_step(2), make_step(1, after=(0,))))
        state = JobState(job)
        self.assertEqual([0], [step.number for step in ready(job, state)])
        for index in range(2):
            task = TaskId(job.id, 0, 0, index)
            state.set_task(task, TaskState(1, {}, is_done=True))
        self.assertEqual([1], [step.number for step in ready(job, state)])

    def test_occurrence_is_not_ready_before_it_is_due(self):
        job = make_job(occurrences=3, first_due=10.0, interval=5.0)
        self.assertEqual([], ready(job, now=9.99))
        self.assertEqual([0, 1], sorted(r.occurrence for r in ready(job, now=15.0)))

    def test_running_task_is_not_ready(self):
        job = make_job(steps=(make_step(2),))
        state = JobState(job)
        state.set_task(TaskId(job.id, 0, 0, 1), TaskState(1, {1: "w"}))
        (step,) = ready(job, state)
        self.assertEqual([0], [task.index for task in step.tasks])

    def test_cancelled_job_starts_nothing(self):
        job = make_job()
        state = JobState(job)
        state.cancelled_at = 1.5
        self.assertEqual([], ready(job, state))


class PlaceTest(testtools.TestCase):
    """Which workers tasks are placed on."""

    def place(self, step, *workers, state=None, job=None):
        """Return the workers on which the tasks of ``step`` are placed."""
        (ready_step,) = ready(job or make_job(steps=(step,)), state)
        return [placed.worker for placed in job_placement.place(ready_step, workers)]

    def test_limit_places_part_of_a_step_but_never_part_of_a_gang(self):
        for gang, count in ((False, 2), (True, 3)):
            (ready_step,) = ready(make_job(steps=(make_step(3, gang=gang),)))
            worker = make_capacity("v")
            placed = job_placement.place(ready_step, [worker], 2)
            self.assertEqual(count, len(placed))
            self.assertEqual(8.0 - count, worker.cores)

    def test_free_capacity_is_never_exceeded(self):
        step = make_step(9, need=Resources(3.0, 1, 0))
        placed = self.place(step, make_capacity("v"), make_capacity("w"))
        self.assertEqual(["v", "v", "w", "w"], sorted(placed))

    def test_number_of_tasks_per_worker_is_limited(self):
        step = make_step(4, per_worker=1)
        placed = self.place(step, make_capacity("v"), make_capacity("w"))
        self.assertEqual(["v", "w"], sorted(placed))

    def test_label_is_required(self):
        step = make_step(1, label="gpu")
        self.assertEqual([], self.place(step, make_capacity("v")))
        labelled = make_capacity("w", labels=frozenset({"gpu"}))
        self.assertEqual(["w"], self.place(step, make_capacity("v"), labelled))

    def test_rack_of_the_data_is_preferred_while_it_has_capacity(self):
        step = make_step(3, need=Resources(4.0, 1, 0), rack="r2-1")
        near = make_capacity("near", rack="r2-1")
        placed = self.place(step, make_capacity("far"), near)
        self.assertEqual(["far", "near", "near"], sorted(placed))

    def test_worker_where_the_task_failed_is_avoided(self):
        job = make_job(max_attempts=3)
        state = JobState(job)
        failed = TaskState(1, {}, failures=1, failed_on=("v",))
        state.set_task(TaskId(job.id, 0, 0, 0), failed)
        workers = make_capacity("v", cores=2.0), make_capacity("w")
        self.assertEqual(["w"], self.place(None, *workers, state=state, job=job))
        self.assertEqual(["v"], self.place(None, workers[0], state=state, job=job))

    def test_gang_is_placed_whole_or_not_at_all(self):
        step = make_step(3, need=Resources(4.0, 1, 0), gang=True)
        self.assertEqual([], self.place(step, make_capacity("v")))
        placed = self.place(step, make_capacity("v"), make_capacity("w"))
        self.assertEqual(3, len(placed))

    def test_gang_that_needs_one_rack_is_placed_on_one_rack(self):
        step = make_step(2, need=Resources(8.0, 1, 0), gang=True, same_rack=True)
        workers = [make_capacity("a", rack="r1-1"), make_capacity("b", rack="r2-1")]
        self.assertEqual([], self.place(step, *workers))
        workers.append(make_capacity("c", rack="r2-1"))
        self.assertEqual(["b", "c"], sorted(self.place(step, *workers)))

    def test_full_workers_are_searched_once_for_a_step(self):
        searched = []

        class CountedCapacity(job_placement.WorkerCapacity):
            def fits(self, step):
                searched.append(self.id)
                return super().fits(step)

        total = Resources(8.0, 1 << 34, 0)
        workers = [
            CountedCapacity(f"w{number}", 0.5, 1 << 34, 0, total)
            for number in range(20)
        ]
        self.assertEqual([], self.place(make_step(50), *workers))
        self.assertEqual(20, len(searched))

    def test_filler_task_needs_no_free_cores(self):
        step = make_step(1, need=Resources(8.0, 1, 0), fills=True)
        self.assertEqual(["v"], self.place(step, make_capacity("v", cores=0.0)))


class UrgencyTest(testtools.TestCase):
    """Which jobs start first."""

    def test_jobs_are_ordered_by_priority_then_by_deadline(self):
        first = make_job("a" * 16, priority=0, target_duration=9.0)
        second = make_job("b" * 16, priority=1, target_duration=1.0)
        third = make_job("c" * 16, priority=1, target_duration=2.0)
        steps = [ready(job)[0] for job in (third, second, first)]
        steps.sort(key=lambda step: job_placement.urgency(step, 1.1))
        self.assertEqual(["a", "b", "c"], [s.state.job.id[0] for s in steps])

    def test_worthless_job_starts_after_a_job_that_is_in_time(self):
        old = make_job("a" * 16, target_duration=1.0)
        new = make_job("b" * 16, target_duration=30.0)
        steps = sorted(
            (ready(old)[0], ready(new)[0]),
            key=lambda step: job_placement.urgency(step, 20.0),
        )
        self.assertEqual("b", steps[0].state.job.id[0])
