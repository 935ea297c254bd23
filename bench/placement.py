"""Measure placement against first-fit by declared size.

``python -m bench.placement`` drives the decision functions through a seeded
workload at both sites' sizes: declared sizes and run times far off, jobs that can
never run, a worker that fails everything, floods and a wave of cancellations. It
prints ``name=value`` lines and a verdict for each bar; it exits with 0 only when
every bar is met. The times are those of the workload, not of the machine.
"""

import collections
import statistics
import sys
import time

import attrs

from azurelanding import placement, preemption, task_ends, task_fold, task_records
from azurelanding.pool_capacity import PoolCapacity, WorkerView
from azurelanding.preemption import PreemptionAction
from azurelanding.tasks import End, Resources, TaskPhase
from bench import placement_world
from bench.placement_world import FEASIBLE, RULE_SET, SITES, World, make_workload

SEEDS = (11, 12, 13)
HORIZON_SECONDS = 1200.0
TAIL_SECONDS = 600.0
STEP_SECONDS = 0.25
URGENT_BAR_SECONDS = 6.0
BAD_RUNS_BAR = 12
RETRIES = 10


@attrs.define
class Result:
    """What one run came to; hours are of one core."""

    in_time: float = 0.0
    finished: float = 0.0
    wasted: float = 0.0
    useful: float = 0.0
    lost_work: float = 0.0
    lost_saved: float = 0.0
    urgent_starts: list = attrs.field(factory=list)
    bad_runs: int = 0
    repeated: int = 0
    pass_seconds: list = attrs.field(factory=list)


class FirstFit:
    """First-fit by declared size: urgency first, then in the order of arrival."""

    def __init__(self, world):
        self.world = world
        self.waiting = {}
        self.placed = {}
        self.tries = collections.Counter()

    def submit(self, arrivals):
        """Add tasks to those that wait."""
        for arrival in arrivals:
            self.waiting[arrival.task.id] = arrival

    def cancel(self, names, now):
        """Drop tasks."""
        for name in names:
            self.waiting.pop(name, None)
            if name in self.placed:
                self.world.cancel(name, self.placed.pop(name)[1], now)

    def ended(self, ended):
        """Take note of an attempt that ended."""
        arrival, _ = self.placed.pop(ended.run.task.id)
        self.tries[arrival.task.id] += 1
        again = ended.end is not End.DONE and arrival.task.repeat
        if again and self.tries[arrival.task.id] < RETRIES:
            self.waiting[arrival.task.id] = arrival

    def _free(self):
        free = {}
        for name, runs in self.world.runs.items():
            rules = [RULE_SET.jobs[run.task.job] for run in runs.values()]
            free[name] = [
                self.world.size.cores - sum(rule.cores for rule in rules),
                self.world.size.memory - sum(rule.memory for rule in rules),
            ]
        return free

    def tick(self, now):
        """Start what fits."""
        free, full = self._free(), set()
        order = sorted(
            self.waiting.values(),
            key=lambda a: preemption.URGENCY_ORDER[RULE_SET.jobs[a.task.job].urgency],
        )
        for arrival in order:
            rule = RULE_SET.jobs[arrival.task.job]
            if rule.name in full:
                continue
            for name, room in free.items():
                if rule.cores <= room[0] and rule.memory <= room[1]:
                    room[0] -= rule.cores
                    room[1] -= rule.memory
                    del self.waiting[arrival.task.id]
                    self.placed[arrival.task.id] = (arrival, name)
                    self.world.start(arrival, name, 0.0, now)
                    break
            else:
                full.add(rule.name)


class Azurelanding:
    """The decision functions of azurelanding."""

    def __init__(self, world):
        self.world = world
        self.tasks = task_fold.PoolTasks()
        self.capacity = PoolCapacity()
        self.claims = {}
        self.arrivals = {}
        self.pass_seconds = []

    def _fold(self, body, now):
        record = task_records.new_record(body, "bench", "bench", now)
        task_fold.fold(self.tasks, self.tasks.next_offset, record)

    def submit(self, arrivals):
        """Add tasks to those that wait."""
        self.arrivals.update((a.task.id, a) for a in arrivals)
        tasks = tuple(arrival.task for arrival in arrivals)
        self._fold(task_records.TasksSubmitted(tasks), tasks[0].submitted_at)

    def cancel(self, names, now):
        """Drop tasks in one record."""
        for name in names:
            state = self.tasks.tasks.get(name)
            if state is not None and state.placement is not None:
                self.world.cancel(name, state.placement.worker, now)
        self._fold(task_records.TasksCancelled(tuple(names)), now)

    def ended(self, ended):
        """Record an attempt that ended."""
        run, state = ended.run, self.tasks.tasks[ended.run.task.id]
        end = task_ends.make_task_end(
            state,
            ended.end,
            self.tasks.health,
            len(self.world.names),
            "exit code 1",
            Resources(run.truth.cores, run.truth.memory),
            ended.at - run.started_at,
            run.saved,
        )
        self._fold(task_records.TasksDecided(1, ended=(end,)), ended.at)

    def _show(self, name, now):
        runs = self.world.runs[name].values()
        lag = placement_world.USAGE_LAG_SECONDS
        size = self.world.size
        self.capacity.update_worker(
            WorkerView(
                name,
                f"zone-{self.world.names.index(name) // 4}",
                f"rack-{self.world.names.index(name) // 4}",
                Resources(size.cores, size.memory, 0),
                "i1",
                True,
                {
                    run.task.id: Resources(run.truth.cores, run.truth.memory)
                    for run in runs
                    if now >= run.started_at + lag
                },
                {r.task.id: r.limit for r in runs if r.limit < size.cores + 1},
                False,
                {run.task.id: run.started_at for run in runs},
            )
        )

    def _carry_out(self, step, now):
        run = self.world.runs[step.worker].get(step.task)
        if run is None:
            return
        if step.action is PreemptionAction.THROTTLE:
            run.limit = step.cores
        elif step.action is PreemptionAction.RESTORE:
            run.limit = float("inf")
        elif run.stop_at is None:
            run.saves = step.action is PreemptionAction.CHECKPOINT
            pause = placement_world.CHECKPOINT_SECONDS if run.saves else 0.0
            run.stop_at = now + pause

    def tick(self, now):
        """Make one pass and carry it out."""
        for name in self.world.names:
            self._show(name, now)
        began = time.perf_counter()
        plan = placement.plan_pass(
            self.tasks, self.capacity, RULE_SET, self.claims, now
        )
        self.pass_seconds.append(time.perf_counter() - began)
        placed = tuple(plan.placements)
        self._fold(task_records.TasksDecided(1, placed=placed), now)
        for intent in placed:
            state = self.tasks.tasks[intent.task]
            assert state.phase is TaskPhase.PLACED
            arrival = self.arrivals[intent.task]
            self.world.start(arrival, intent.worker, state.saved, now)
        for step in plan.steps:
            self._carry_out(step, now)


@attrs.define
class _Account:
    """What the bench notes while a run goes on."""

    started: dict = attrs.field(factory=dict)
    starts: collections.Counter = attrs.field(factory=collections.Counter)
    done_at: dict = attrs.field(factory=dict)
    bad_runs: int = 0

    def note_starts(self, world, now):
        """Note the attempts that started in this step."""
        for name, runs in world.runs.items():
            for run in runs.values():
                if run.started_at == now:
                    self.started.setdefault(run.task.id, now)
                    self.starts[run.task.id] += 1
                    self.bad_runs += name in world.bad


def _is_urgent(arrival):
    return RULE_SET.jobs[arrival.task.job].urgency.value == "urgent"


def _judge(result, account, world, workload):
    wanted = [a for a in workload if a.task.job in FEASIBLE and a.cancel_at is None]
    done = account.done_at
    in_time = [a for a in wanted if done.get(a.task.id, 1e9) <= a.task.deadline]
    result.in_time = len(in_time) / len(wanted)
    result.finished = sum(a.task.id in done for a in wanted) / len(wanted)
    result.wasted, result.useful = world.wasted, world.useful
    result.lost_work, result.lost_saved = world.lost_work, world.lost_saved
    result.bad_runs = account.bad_runs
    result.urgent_starts = [
        account.started.get(a.task.id, 1e9) - a.at for a in wanted if _is_urgent(a)
    ]
    once = (a.task.id for a in workload if not a.task.repeat)
    result.repeated = sum(account.starts[name] > 1 for name in once)
    return result


def run_policy(make_policy, size, seed):
    """Return the ``Result`` of one policy on one workload."""
    world, workload = World(size), make_workload(size, seed, HORIZON_SECONDS)
    policy, account = make_policy(world), _Account()
    cancels = collections.defaultdict(list)
    for arrival in workload:
        if arrival.cancel_at is not None:
            cancels[arrival.cancel_at].append(arrival.task.id)
    coming, now = collections.deque(workload), 0.0
    while now < HORIZON_SECONDS + TAIL_SECONDS:
        now += STEP_SECONDS
        for ended in world.step(now, STEP_SECONDS):
            policy.ended(ended)
            if ended.end is End.DONE:
                account.done_at[ended.run.task.id] = now
        arrivals = []
        while coming and coming[0].at <= now:
            arrivals.append(coming.popleft())
        if arrivals:
            policy.submit(arrivals)
        for at in [at for at in cancels if at <= now]:
            policy.cancel(cancels.pop(at), now)
        policy.tick(now)
        account.note_starts(world, now)
    result = Result(pass_seconds=getattr(policy, "pass_seconds", []))
    return _judge(result, account, world, workload)


def _quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _print_result(name, result):
    starts = result.urgent_starts
    print(f"{name}.in_time={result.in_time:.3f}")
    print(f"{name}.finished={result.finished:.3f}")
    print(f"{name}.wasted_core_hours={result.wasted:.2f}")
    print(f"{name}.useful_core_hours={result.useful:.2f}")
    print(f"{name}.lost_by_a_stop_max_s={result.lost_work:.2f}")
    print(f"{name}.lost_though_checkpoint_max_s={result.lost_saved:.2f}")
    print(f"{name}.urgent_start_p50_s={_quantile(starts, 0.5):.2f}")
    print(f"{name}.urgent_start_p99_s={_quantile(starts, 0.99):.2f}")
    print(f"{name}.urgent_start_max_s={max(starts):.2f}")
    print(f"{name}.runs_on_bad_workers={result.bad_runs}")
    print(f"{name}.repeated_though_forbidden={result.repeated}")
    if result.pass_seconds:
        median = statistics.median(result.pass_seconds) * 1000.0
        print(f"{name}.pass_ms_median={median:.2f}")
        print(f"{name}.pass_ms_max={max(result.pass_seconds) * 1000.0:.2f}")


def _bars(label, ours, base):
    """Yield each bar's name and whether it is met."""
    yield f"{label}: more work finished in time", ours.in_time > base.in_time
    yield f"{label}: at most half the hours wasted", ours.wasted <= base.wasted / 2.0
    late = max(ours.urgent_starts)
    yield f"{label}: urgent work starts within 6 s", late <= URGENT_BAR_SECONDS
    yield f"{label}: nothing repeated that must not be", ours.repeated == 0
    yield f"{label}: no checkpoint lost", ours.lost_saved == 0.0
    met = ours.bad_runs <= BAD_RUNS_BAR
    yield f"{label}: a bad worker gets at most {BAD_RUNS_BAR} tasks", met


def main():
    """Run each site and seed; return the exit code."""
    failed = 0
    for size in SITES:
        good = attrs.evolve(size, name=f"{size.name}-no-bad-worker", bad=0)
        for shown, seed in [(good, SEEDS[0]), *((size, seed) for seed in SEEDS)]:
            ours = run_policy(Azurelanding, shown, seed)
            base = run_policy(FirstFit, shown, seed)
            print(f"site={shown.name} seed={seed}")
            _print_result(f"{shown.name}.{seed}.azurelanding", ours)
            _print_result(f"{shown.name}.{seed}.first_fit", base)
            for bar, met in _bars(f"{shown.name} seed {seed}", ours, base):
                print(f"{'pass' if met else 'FAIL'}: {bar}")
                failed += not met
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
