"""Tests of placing tasks, and of the fold that keeps them."""

import hypothesis
import testtools
from hypothesis import strategies

from azurelanding import (
    free_capacity,
    placement,
    rules_parser,
    task_ends,
    task_fold,
    task_records,
)
from azurelanding.free_capacity import (
    CapacityIndex,
    IndexedWorker,
    find_best_worker,
    rack_sort_key,
    worker_sort_key,
    zone_sort_key,
)
from azurelanding.pool_capacity import PoolCapacity, WorkerView
from azurelanding.tasks import (
    Disposition,
    End,
    Placement,
    Resources,
    Task,
    TaskEnd,
    TaskPhase,
)

GB = 1 << 30
RULES = """
pool cuts spare=yes  # Ana
team guild share=3 tasks=5 accelerators=2  # Ana
team swap tasks=2  # Ana
job render pool=cuts urgency=urgent cores=2 memory=4GB checkpoint=yes  # Ana
job print pool=cuts urgency=deferrable cores=2 memory=4GB repeat=no  # Ana
job index pool=cuts cores=2 memory=4GB  # Ana
job train pool=cuts cores=1 memory=1GB accelerators=1  # Ana
job huge pool=cuts cores=64 memory=4GB  # Ana
"""
RULE_SET = rules_parser.read_rules(RULES)


def find_by_exhaustive_search(all_rooms, job, need, accepts):
    """Return the best room by looking at every worker."""
    fitting = [r for r in all_rooms.rooms.values() if r.fits(need) and accepts(r)]

    def key(room):
        zone = all_rooms.zones[room.zone]
        rack = zone.members[room.rack]
        return (
            zone_sort_key(zone, job),
            rack_sort_key(rack, job, need),
            worker_sort_key(room, need),
        )

    return min(fitting, key=key, default=None)


class Pool:
    """A pool's tasks and rooms, driven without any input or output."""

    def __init__(self, workers=4, cores=8.0, accelerators=0, rule_set=RULE_SET):
        self.tasks = task_fold.PoolTasks()
        self.rooms = PoolCapacity()
        self.rule_set = rule_set
        self.claims = {}
        for number in range(workers):
            total = Resources(cores, 32 * GB, accelerators)
            name, zone = f"w{number}", f"zone-{number % 2}"
            self.rooms.update_worker(WorkerView(name, zone, f"r{number // 4}", total))

    def fold(self, body, now=0.0):
        record = task_records.new_record(body, "c", "ana", now)
        return task_fold.fold(self.tasks, self.tasks.next_offset, record)

    def submit(self, job, team, count, prefix="t"):
        repeat = self.rule_set.jobs[job].repeat
        names = [f"{prefix}{number}" for number in range(count)]
        tasks = tuple(Task(name, job, team, 0.0, repeat) for name in names)
        self.fold(task_records.TasksSubmitted(tasks))
        return names

    def plan(self, now=0.0):
        plan = placement.plan_pass(
            self.tasks, self.rooms, self.rule_set, self.claims, now
        )
        placed = tuple(plan.placements)
        self.fold(task_records.TasksDecided(1, placed=placed), now)
        return plan

    def end(self, name, end, reason="", now=0.0, usage=None):
        state = self.tasks.tasks[name]
        size = len(self.rooms.views)
        task_end = task_ends.make_task_end(
            state, end, self.tasks.health, size, reason, usage
        )
        self.fold(task_records.TasksDecided(1, ended=(task_end,)), now)
        return task_end


amounts = strategies.integers(0, 8)
workers_drawn = strategies.lists(
    strategies.tuples(amounts, amounts, strategies.integers(0, 2)),
    min_size=1,
    max_size=8,
)
needs_drawn = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("ab"),
        strategies.integers(1, 4),
        strategies.integers(0, 4),
        strategies.integers(0, 1),
        strategies.booleans(),
    ),
    max_size=20,
)


class PickTest(testtools.TestCase):
    """The grouped search against a search of every worker."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(workers_drawn, needs_drawn)
    def test_picks_what_an_exhaustive_search_picks(self, workers, needs):
        grouped = CapacityIndex()
        for number, (cores, memory, accelerators) in enumerate(workers):
            total = Resources(float(cores), memory, accelerators)
            room = IndexedWorker(
                f"w{number}", f"z{number % 3}", f"r{number % 5}", total
            )
            room.cores, room.memory, room.accelerators = cores, memory, accelerators
            room.slots = None if number % 4 else 2
            grouped.add(room)
        taken = []
        for job, cores, memory, accelerators, gives_back in needs:
            need = Resources(float(cores), memory, accelerators)
            expected = find_by_exhaustive_search(grouped, job, need, lambda room: True)
            found = find_best_worker(grouped, job, need, lambda room: True)
            self.assertIs(expected, found)
            if found is not None:
                grouped.allocate(found, job, need)
                taken.append((found, job, need))
            if gives_back and taken:
                grouped.deallocate(*taken.pop())


class PlanTest(testtools.TestCase):
    """One pass over the tasks of a pool."""

    def test_spreads_a_job_over_zones(self):
        pool = Pool(workers=4)
        pool.submit("index", "guild", 4)
        zones = [pool.rooms.views[p.worker].zone for p in pool.plan().placements]
        self.assertEqual(["zone-0", "zone-0", "zone-1", "zone-1"], sorted(zones))

    def test_keeps_teams_to_their_quotas(self):
        pool = Pool(workers=8, accelerators=4)
        pool.submit("index", "swap", 4, "s")
        pool.submit("train", "guild", 4, "g")
        plan = pool.plan()
        self.assertEqual(4, len(plan.placements))
        reasons = {kind: blocked.reason for kind, blocked in plan.blocked.items()}
        self.assertIn("quota is 2", reasons["index", "swap"])
        self.assertIn("holds 2 accelerators", reasons["train", "guild"])

    def test_tells_why_a_task_can_never_run(self):
        pool = Pool()
        pool.submit("huge", "guild", 1)
        blocked = pool.plan().blocked["huge", "guild"]
        self.assertTrue(blocked.parked)
        self.assertIn("64 cores but the largest has 8", blocked.reason)

    def test_places_urgent_work_first(self):
        pool = Pool(workers=1, cores=2.0)
        pool.submit("print", "guild", 1, "p")
        pool.submit("render", "guild", 1, "r")
        self.assertEqual(["r0"], [p.task for p in pool.plan().placements])

    def test_gives_a_closed_worker_nothing(self):
        pool = Pool(workers=1)
        total = Resources(8.0, 32 * GB, 0)
        pool.rooms.update_worker(WorkerView("w0", "zone-0", "r0", total, open=False))
        pool.submit("index", "guild", 1)
        self.assertEqual([], pool.plan().placements)

    def test_parks_a_task_that_failed_on_several_good_workers(self):
        pool = Pool(workers=5)
        pool.submit("index", "guild", 1)
        for expected in (Disposition.RETRY, Disposition.RETRY, Disposition.PARKED):
            self.assertEqual(1, len(pool.plan(now=100.0).placements))
            end = pool.end("t0", End.FAILED, "no such file")
            self.assertEqual(expected, end.then)
        self.assertIn("failed on 3 workers", pool.tasks.tasks["t0"].reason)
        self.assertIn("no such file", pool.tasks.tasks["t0"].reason)

    def test_gives_more_memory_after_a_failure_for_want_of_it(self):
        pool = Pool()
        pool.submit("index", "guild", 1)
        first = pool.plan().placements[0]
        pool.end("t0", End.MEMORY)
        self.assertEqual(2 * first.need.memory, pool.plan().placements[0].need.memory)

    def test_cancels_thousands_in_one_record(self):
        pool = Pool()
        pool.submit("index", "guild", 3000)
        placed = pool.plan().placements
        pool.fold(task_records.TasksCancelled(job="index"))
        self.assertEqual(5, len(placed))
        self.assertEqual({}, pool.tasks.tasks)
        self.assertEqual({}, pool.tasks.waiting)
        self.assertEqual({}, dict(pool.tasks.on_worker))
        self.assertEqual([], pool.plan().placements)


class FoldTest(testtools.TestCase):
    """What the fold lets count."""

    def place(self, pool, attempt, epoch=1, worker="w0"):
        intent = Placement("t0", attempt, worker, "i1", Resources(1.0, GB, 0))
        return pool.fold(task_records.TasksDecided(epoch, placed=(intent,)))

    def test_an_older_epoch_decides_nothing(self):
        pool = Pool()
        pool.submit("print", "guild", 1)
        pool.fold(task_records.TasksDecided(9))
        self.assertFalse(self.place(pool, 1, epoch=5))
        self.assertIs(TaskPhase.WAITING, pool.tasks.tasks["t0"].phase)

    def test_of_two_intents_the_first_counts(self):
        pool = Pool()
        pool.submit("print", "guild", 1)
        self.place(pool, 1, worker="w0")
        self.place(pool, 1, worker="w1")
        self.assertEqual("w0", pool.tasks.tasks["t0"].placement.worker)

    def test_what_must_not_be_repeated_waits_again_only_if_never_started(self):
        for end, phase in (
            (End.GONE, TaskPhase.LOST),
            (End.LAPSED, TaskPhase.LOST),
            (End.STOPPED, TaskPhase.LOST),
            (End.FAILED, TaskPhase.PARKED),
            (End.UNSTARTED, TaskPhase.WAITING),
        ):
            pool = Pool()
            pool.submit("print", "guild", 1)
            self.place(pool, 1)
            pool.end("t0", end)
            self.assertIs(phase, pool.tasks.tasks["t0"].phase, end)

    def test_an_intent_for_a_task_that_is_placed_does_not_count(self):
        pool = Pool()
        pool.submit("print", "guild", 1)
        self.place(pool, 1)
        self.place(pool, 2, worker="w1")
        state = pool.tasks.tasks["t0"]
        self.assertEqual((1, "w0"), (state.attempt, state.placement.worker))

    def test_a_decision_to_repeat_what_must_not_be_repeated_does_not_count(self):
        for job, phase in (("print", TaskPhase.LOST), ("index", TaskPhase.WAITING)):
            pool = Pool()
            pool.submit(job, "guild", 1)
            self.place(pool, 1)
            again = TaskEnd("t0", 1, End.GONE, Disposition.RETRY)
            pool.fold(task_records.TasksDecided(1, ended=(again,)))
            self.assertIs(phase, pool.tasks.tasks["t0"].phase, job)

    def test_the_end_of_an_older_attempt_changes_nothing(self):
        pool = Pool()
        pool.submit("index", "guild", 1)
        self.place(pool, 1)
        late = pool.end("t0", End.STOPPED)
        self.place(pool, 2)
        pool.fold(task_records.TasksDecided(1, ended=(late,)))
        self.assertIs(TaskPhase.PLACED, pool.tasks.tasks["t0"].phase)

    def test_a_repeated_record_counts_once(self):
        pool = Pool()
        body = task_records.TasksSubmitted((Task("t0", "index", "guild", 0.0),))
        record = task_records.new_record(body, "c", "ana", 0.0)
        task_fold.fold(pool.tasks, 1, record)
        pool.fold(task_records.TasksCancelled(("t0",)))
        task_fold.fold(pool.tasks, 3, record)
        self.assertEqual({}, pool.tasks.tasks)

    def test_a_released_task_waits_again(self):
        pool = Pool()
        pool.submit("print", "guild", 1)
        self.place(pool, 1)
        pool.end("t0", End.GONE)
        pool.fold(task_records.TasksReleased(("t0",)))
        self.assertEqual(2, pool.plan().placements[0].attempt)


class ShapeOfRoomsTest(testtools.TestCase):
    """The bounds of racks and zones."""

    def test_an_emptied_zone_is_forgotten(self):
        grouped = CapacityIndex()
        room = IndexedWorker("w", "z", "r", Resources(1.0, 1, 0), 1.0, 1, 0, None)
        grouped.add(room)
        grouped.remove("w")
        self.assertEqual(({}, {}), (grouped.zones, grouped.rooms))
        self.assertIsNone(
            free_capacity.find_best_worker(grouped, "a", Resources(), lambda room: True)
        )
