"""Tests of preempting tasks for urgent ones."""

import attrs
import testtools

from azurelanding.preemption import Candidate, PreemptionAction, choose_steps
from azurelanding.requests import Urgency
from azurelanding.tasks import End, Resources
from azurelanding.tests.test_placement import Pool

GB = 1 << 30
USED = Resources(4.0, 8 * GB, 0)


def make_candidate(
    task, urgency=Urgency.DEFERRABLE, repeat=True, checkpoint=False, unsaved=0.0
):
    """Return a candidate that uses ``USED``."""
    return Candidate(task, urgency, repeat, checkpoint, USED, unsaved)


class ChooseTest(testtools.TestCase):
    """Which tasks are preempted, and how."""

    def choose_steps(self, candidates, cores=2.0, memory=4 * GB):
        steps = choose_steps(candidates, "w", Resources(cores, memory, 0))
        return steps and [(step.task, step.action) for step in steps]

    def test_throttles_if_only_cores_are_short(self):
        candidates = [
            make_candidate("a", repeat=False),
            make_candidate("b", unsaved=5.0),
        ]
        self.assertEqual(
            [("a", PreemptionAction.THROTTLE)], self.choose_steps(candidates, memory=0)
        )

    def test_prefers_a_checkpoint_to_a_stop(self):
        candidates = [
            make_candidate("a", unsaved=1.0),
            make_candidate("b", checkpoint=True, unsaved=99.0),
        ]
        self.assertEqual(
            [("b", PreemptionAction.CHECKPOINT)], self.choose_steps(candidates)
        )

    def test_stops_the_task_that_loses_least(self):
        candidates = [
            make_candidate("a", unsaved=9.0),
            make_candidate("b", unsaved=3.0),
        ]
        self.assertEqual([("b", PreemptionAction.STOP)], self.choose_steps(candidates))

    def test_preempts_the_least_urgent_task_first(self):
        candidates = [
            make_candidate("a", Urgency.STANDARD, checkpoint=True),
            make_candidate("b", Urgency.DEFERRABLE, unsaved=50.0),
        ]
        self.assertEqual([("b", PreemptionAction.STOP)], self.choose_steps(candidates))

    def test_never_stops_an_unrepeatable_task(self):
        self.assertIsNone(self.choose_steps([make_candidate("a", repeat=False)]))

    def test_stops_a_task_if_throttling_frees_too_little(self):
        candidates = [make_candidate("a", checkpoint=True)]
        chosen = self.choose_steps(candidates, cores=4.0, memory=0)
        self.assertEqual([("a", PreemptionAction.CHECKPOINT)], chosen)


class PassTest(testtools.TestCase):
    """Passes over a full pool with urgent tasks waiting."""

    def fill(self, job):
        pool = Pool(workers=2, cores=4.0)
        pool.submit(job, "guild", 4, "low")
        pool.plan()
        return pool

    def test_preempts_only_once_for_an_urgent_task(self):
        pool = self.fill("index")
        pool.submit("render", "swap", 1, "u")
        first, second = pool.plan(now=1.0), pool.plan(now=1.5)
        self.assertEqual(1, len({step.worker for step in first.steps}))
        self.assertEqual([], second.steps)

    def test_freed_capacity_goes_to_the_urgent_task(self):
        pool = self.fill("index")
        pool.submit("render", "swap", 1, "u")
        pool.submit("index", "guild", 1, "x")
        preempted = pool.plan(now=1.0).steps[0].task
        pool.end(preempted, End.STOPPED, now=2.0)
        self.assertEqual(["u0"], [p.task for p in pool.plan(now=2.0).placements])

    def test_does_not_preempt_a_task_twice(self):
        pool = self.fill("index")
        pool.submit("render", "swap", 1, "u")
        first = pool.plan(now=1.0).steps
        pool.submit("render", "swap", 1, "v")
        second = pool.plan(now=1.5).steps
        self.assertEqual(set(), {s.task for s in first} & {s.task for s in second})
        self.assertEqual({"w0", "w1"}, {step.worker for step in [*first, *second]})

    def test_saves_checkpoints_on_a_draining_worker(self):
        pool = Pool(workers=1)
        pool.submit("render", "guild", 1)
        pool.plan()
        view = pool.capacity.views["w0"]
        pool.capacity.update_worker(attrs.evolve(view, open=False, draining=True))
        steps = pool.plan(now=1.0).steps
        self.assertEqual([PreemptionAction.CHECKPOINT], [step.action for step in steps])
