"""Tests of making room for urgent work."""

import attrs
import testtools

from azurelanding.preemption import Candidate, PreemptionAction, choose_steps
from azurelanding.requests import Urgency
from azurelanding.tasks import End, Resources
from azurelanding.tests.test_placement import Pool

GB = 1 << 30
TAKEN = Resources(4.0, 8 * GB, 0)


def make(task, urgency=Urgency.DEFERRABLE, repeat=True, checkpoint=False, unsaved=0.0):
    """Return a candidate that takes ``TAKEN``."""
    return Candidate(task, urgency, repeat, checkpoint, TAKEN, unsaved)


class ChooseTest(testtools.TestCase):
    """Which tasks make room."""

    def choose_steps(self, candidates, cores=2.0, memory=4 * GB):
        steps = choose_steps(candidates, "w", Resources(cores, memory, 0))
        return steps and [(step.task, step.action) for step in steps]

    def test_throttles_when_only_cores_lack(self):
        candidates = [make("a", repeat=False), make("b", unsaved=5.0)]
        self.assertEqual(
            [("a", PreemptionAction.THROTTLE)], self.choose_steps(candidates, memory=0)
        )

    def test_prefers_a_checkpoint_to_a_stop(self):
        candidates = [make("a", unsaved=1.0), make("b", checkpoint=True, unsaved=99.0)]
        self.assertEqual(
            [("b", PreemptionAction.CHECKPOINT)], self.choose_steps(candidates)
        )

    def test_stops_the_one_that_loses_least(self):
        candidates = [make("a", unsaved=9.0), make("b", unsaved=3.0)]
        self.assertEqual([("b", PreemptionAction.STOP)], self.choose_steps(candidates))

    def test_takes_the_least_urgent_first(self):
        candidates = [
            make("a", Urgency.STANDARD, checkpoint=True),
            make("b", Urgency.DEFERRABLE, unsaved=50.0),
        ]
        self.assertEqual([("b", PreemptionAction.STOP)], self.choose_steps(candidates))

    def test_never_stops_what_must_not_be_repeated(self):
        self.assertIsNone(self.choose_steps([make("a", repeat=False)]))

    def test_stops_where_throttling_is_not_enough(self):
        candidates = [make("a", checkpoint=True)]
        chosen = self.choose_steps(candidates, cores=4.0, memory=0)
        self.assertEqual([("a", PreemptionAction.CHECKPOINT)], chosen)


class PassTest(testtools.TestCase):
    """Urgent work on a full pool."""

    def fill(self, job):
        pool = Pool(workers=2, cores=4.0)
        pool.submit(job, "guild", 4, "low")
        pool.plan()
        return pool

    def test_an_urgent_task_claims_room_once(self):
        pool = self.fill("index")
        pool.submit("render", "swap", 1, "u")
        first, second = pool.plan(now=1.0), pool.plan(now=1.5)
        self.assertEqual(1, len({step.worker for step in first.steps}))
        self.assertEqual([], second.steps)

    def test_room_that_is_made_goes_to_the_urgent_task(self):
        pool = self.fill("index")
        pool.submit("render", "swap", 1, "u")
        pool.submit("index", "guild", 1, "x")
        victim = pool.plan(now=1.0).steps[0].task
        pool.end(victim, End.STOPPED, now=2.0)
        self.assertEqual(["u0"], [p.task for p in pool.plan(now=2.0).placements])

    def test_tasks_that_make_room_already_are_not_counted_again(self):
        pool = self.fill("index")
        pool.submit("render", "swap", 1, "u")
        first = pool.plan(now=1.0).steps
        pool.submit("render", "swap", 1, "v")
        second = pool.plan(now=1.5).steps
        self.assertEqual(set(), {s.task for s in first} & {s.task for s in second})
        self.assertEqual({"w0", "w1"}, {step.worker for step in [*first, *second]})

    def test_a_draining_worker_saves_its_tasks(self):
        pool = Pool(workers=1)
        pool.submit("render", "guild", 1)
        pool.plan()
        view = pool.rooms.views["w0"]
        pool.rooms.update_worker(attrs.evolve(view, open=False, draining=True))
        steps = pool.plan(now=1.0).steps
        self.assertEqual([PreemptionAction.CHECKPOINT], [step.action for step in steps])
