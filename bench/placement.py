"""Compare task placement with first-fit by declared size.

``python -m bench.placement`` simulates a pool of the size of each site under a
seeded workload and lets the decision functions place its tasks. The workload has
declared sizes and run times that are far off, jobs that can never run, a worker on
which every task fails, floods of tasks and a mass cancellation. The bench prints
``name=value`` lines and pass or FAIL for each criterion, and exits with 0 only if
all criteria are met. Times are simulated, except for ``pass_ms``.
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
from bench.placement_world import (
    FEASIBLE_JOBS,
    RULE_SET,
    SITES,
    SimulatedPool,
    make_workload,
)

SEEDS = (11, 12, 13)
ARRIVAL_PERIOD_SECONDS = 1200.0
COMPLETION_PERIOD_SECONDS = 600.0
STEP_SECONDS = 0.25
MAX_URGENT_START_SECONDS = 6.0
MAX_BAD_WORKER_STARTS = 12
MAX_ATTEMPTS = 10


@attrs.define
class PolicyResult:
    """Metrics of one policy on one workload.

    ``in_time`` and ``finished`` are fractions of the tasks that can run and are not
    cancelled. The ``max_lost`` fields are the most work that one stop lost, those of
    ``urgent_start_delays`` the delays from arrival to first start, all in seconds.
    """

    in_time: float = 0.0
    finished: float = 0.0
    wasted_core_hours: float = 0.0
    useful_core_hours: float = 0.0
    max_lost_seconds: float = 0.0
    max_lost_checkpointed_seconds: float = 0.0
    urgent_start_delays: list = attrs.field(factory=list)
    bad_worker_starts: int = 0
    forbidden_repeats: int = 0
    pass_seconds: list = attrs.field(factory=list)


class FirstFitPolicy:
    """Places tasks first-fit by declared size, by urgency and then arrival."""

    def __init__(self, pool):
        self.pool = pool
        self.waiting = {}
        self.placed = {}
        self.attempt_counts = collections.Counter()

    def submit(self, arrivals):
        """Queue the tasks that arrived."""
        for arrival in arrivals:
            self.waiting[arrival.task.id] = arrival

    def cancel(self, task_ids, now):
        """Remove tasks from the queue and from their workers."""
        for task_id in task_ids:
            self.waiting.pop(task_id, None)
            if task_id in self.placed:
                self.pool.cancel(task_id, self.placed.pop(task_id)[1], now)

    def record_end(self, ended):
        """Record an attempt that ended."""
        arrival, _ = self.placed.pop(ended.attempt.task.id)
        self.attempt_counts[arrival.task.id] += 1
        retry = ended.end is not End.DONE and arrival.task.repeat
        if retry and self.attempt_counts[arrival.task.id] < MAX_ATTEMPTS:
            self.waiting[arrival.task.id] = arrival

    def _free_by_worker(self):
        free = {}
        for name, attempts in self.pool.attempts.items():
            rules = [RULE_SET.jobs[attempt.task.job] for attempt in attempts.values()]
            free[name] = [
                self.pool.size.cores - sum(rule.cores for rule in rules),
                self.pool.size.memory - sum(rule.memory for rule in rules),
            ]
        return free

    def run_pass(self, now):
        """Start each waiting task on the first worker with enough free capacity."""
        free, full_jobs = self._free_by_worker(), set()
        by_urgency = sorted(
            self.waiting.values(),
            key=lambda a: preemption.URGENCY_ORDER[RULE_SET.jobs[a.task.job].urgency],
        )
        for arrival in by_urgency:
            rule = RULE_SET.jobs[arrival.task.job]
            if rule.name in full_jobs:
                continue
            for name, remaining in free.items():
                if rule.cores <= remaining[0] and rule.memory <= remaining[1]:
                    remaining[0] -= rule.cores
                    remaining[1] -= rule.memory
                    del self.waiting[arrival.task.id]
                    self.placed[arrival.task.id] = (arrival, name)
                    self.pool.start(arrival, name, 0.0, now)
                    break
            else:
                full_jobs.add(rule.name)


class AzurelandingPolicy:
    """Places tasks with the decision functions of azurelanding."""

    def __init__(self, pool):
        self.pool = pool
        self.tasks = task_fold.PoolTasks()
        self.capacity = PoolCapacity()
        self.claims = {}
        self.arrivals = {}
        self.pass_seconds = []

    def _fold(self, body, now):
        record = task_records.new_record(body, "bench", "bench", now)
        task_fold.fold(self.tasks, self.tasks.next_offset, record)

    def submit(self, arrivals):
        """Queue the tasks that arrived."""
        self.arrivals.update((a.task.id, a) for a in arrivals)
        tasks = tuple(arrival.task for arrival in arrivals)
        self._fold(task_records.TasksSubmitted(tasks), tasks[0].submitted_at)

    def cancel(self, task_ids, now):
        """Cancel tasks with one record and remove them from their workers."""
        for task_id in task_ids:
            state = self.tasks.tasks.get(task_id)
            if state is not None and state.placement is not None:
                self.pool.cancel(task_id, state.placement.worker, now)
        self._fold(task_records.TasksCancelled(tuple(task_ids)), now)

    def record_end(self, ended):
        """Record an attempt that ended."""
        attempt, state = ended.attempt, self.tasks.tasks[ended.attempt.task.id]
        end = task_ends.make_task_end(
            state,
            ended.end,
            self.tasks.health,
            len(self.pool.worker_names),
            "exit code 1",
            Resources(attempt.usage.cores, attempt.usage.memory),
            ended.ended_at - attempt.started_at,
            attempt.saved,
        )
        self._fold(task_records.TasksDecided(1, ended=(end,)), ended.ended_at)

    def _update_view(self, name, now):
        attempts = self.pool.attempts[name].values()
        lag = placement_world.USAGE_REPORT_DELAY_SECONDS
        size = self.pool.size
        self.capacity.update_worker(
            WorkerView(
                name,
                f"zone-{self.pool.worker_names.index(name) // 4}",
                f"rack-{self.pool.worker_names.index(name) // 4}",
                Resources(size.cores, size.memory, 0),
                "i1",
                True,
                {
                    attempt.task.id: Resources(
                        attempt.usage.cores, attempt.usage.memory
                    )
                    for attempt in attempts
                    if now >= attempt.started_at + lag
                },
                {
                    r.task.id: r.core_limit
                    for r in attempts
                    if r.core_limit < size.cores + 1
                },
                False,
                {attempt.task.id: attempt.started_at for attempt in attempts},
            )
        )

    def _apply_step(self, step, now):
        attempt = self.pool.attempts[step.worker].get(step.task)
        if attempt is None:
            return
        if step.action is PreemptionAction.THROTTLE:
            attempt.core_limit = step.cores
        elif step.action is PreemptionAction.RESTORE:
            attempt.core_limit = float("inf")
        elif attempt.stop_at is None:
            attempt.saves_checkpoint = step.action is PreemptionAction.CHECKPOINT
            pause = (
                placement_world.CHECKPOINT_SECONDS if attempt.saves_checkpoint else 0.0
            )
            attempt.stop_at = now + pause

    def run_pass(self, now):
        """Run one placement pass and apply its placements and steps."""
        for name in self.pool.worker_names:
            self._update_view(name, now)
        started = time.perf_counter()
        plan = placement.plan_pass(
            self.tasks, self.capacity, RULE_SET, self.claims, now
        )
        self.pass_seconds.append(time.perf_counter() - started)
        placed = tuple(plan.placements)
        self._fold(task_records.TasksDecided(1, placed=placed), now)
        for intent in placed:
            state = self.tasks.tasks[intent.task]
            assert state.phase is TaskPhase.PLACED
            arrival = self.arrivals[intent.task]
            self.pool.start(arrival, intent.worker, state.saved, now)
        for step in plan.steps:
            self._apply_step(step, now)


@attrs.define
class _RunHistory:
    """The starts and ends of tasks recorded during a run, in simulated seconds.

    ``bad_worker_starts`` counts the attempts started on workers that fail every task.
    """

    first_starts: dict = attrs.field(factory=dict)
    start_counts: collections.Counter = attrs.field(factory=collections.Counter)
    done_at: dict = attrs.field(factory=dict)
    bad_worker_starts: int = 0

    def record_starts(self, pool, now):
        """Record the attempts that started at ``now``."""
        for name, attempts in pool.attempts.items():
            for attempt in attempts.values():
                if attempt.started_at == now:
                    self.first_starts.setdefault(attempt.task.id, now)
                    self.start_counts[attempt.task.id] += 1
                    self.bad_worker_starts += name in pool.bad_workers


def _is_urgent(arrival):
    return RULE_SET.jobs[arrival.task.job].urgency.value == "urgent"


def _compute_result(result, history, pool, workload):
    feasible = [
        a for a in workload if a.task.job in FEASIBLE_JOBS and a.cancel_at is None
    ]
    done = history.done_at
    in_time = [a for a in feasible if done.get(a.task.id, 1e9) <= a.task.deadline]
    result.in_time = len(in_time) / len(feasible)
    result.finished = sum(a.task.id in done for a in feasible) / len(feasible)
    result.wasted_core_hours, result.useful_core_hours = (
        pool.wasted_core_hours,
        pool.useful_core_hours,
    )
    result.max_lost_seconds, result.max_lost_checkpointed_seconds = (
        pool.max_lost_seconds,
        pool.max_lost_checkpointed_seconds,
    )
    result.bad_worker_starts = history.bad_worker_starts
    result.urgent_start_delays = [
        history.first_starts.get(a.task.id, 1e9) - a.arrives_at
        for a in feasible
        if _is_urgent(a)
    ]
    unrepeatable = (a.task.id for a in workload if not a.task.repeat)
    result.forbidden_repeats = sum(
        history.start_counts[task_id] > 1 for task_id in unrepeatable
    )
    return result


def run_policy(make_policy, size, seed):
    """Run one policy on one workload and return its ``PolicyResult``."""
    pool, workload = (
        SimulatedPool(size),
        make_workload(size, seed, ARRIVAL_PERIOD_SECONDS),
    )
    policy, history = make_policy(pool), _RunHistory()
    cancellations = collections.defaultdict(list)
    for arrival in workload:
        if arrival.cancel_at is not None:
            cancellations[arrival.cancel_at].append(arrival.task.id)
    upcoming, now = collections.deque(workload), 0.0
    while now < ARRIVAL_PERIOD_SECONDS + COMPLETION_PERIOD_SECONDS:
        now += STEP_SECONDS
        for ended in pool.advance(now, STEP_SECONDS):
            policy.record_end(ended)
            if ended.end is End.DONE:
                history.done_at[ended.attempt.task.id] = now
        arrivals = []
        while upcoming and upcoming[0].arrives_at <= now:
            arrivals.append(upcoming.popleft())
        if arrivals:
            policy.submit(arrivals)
        for at in [at for at in cancellations if at <= now]:
            policy.cancel(cancellations.pop(at), now)
        policy.run_pass(now)
        history.record_starts(pool, now)
    result = PolicyResult(pass_seconds=getattr(policy, "pass_seconds", []))
    return _compute_result(result, history, pool, workload)


def _quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _print_result(name, result):
    delays = result.urgent_start_delays
    print(f"{name}.in_time={result.in_time:.3f}")
    print(f"{name}.finished={result.finished:.3f}")
    print(f"{name}.wasted_core_hours={result.wasted_core_hours:.2f}")
    print(f"{name}.useful_core_hours={result.useful_core_hours:.2f}")
    print(f"{name}.lost_by_a_stop_max_s={result.max_lost_seconds:.2f}")
    print(
        f"{name}.lost_though_checkpoint_max_s={result.max_lost_checkpointed_seconds:.2f}"
    )
    print(f"{name}.urgent_start_p50_s={_quantile(delays, 0.5):.2f}")
    print(f"{name}.urgent_start_p99_s={_quantile(delays, 0.99):.2f}")
    print(f"{name}.urgent_start_max_s={max(delays):.2f}")
    print(f"{name}.runs_on_bad_workers={result.bad_worker_starts}")
    print(f"{name}.repeated_though_forbidden={result.forbidden_repeats}")
    if result.pass_seconds:
        median = statistics.median(result.pass_seconds) * 1000.0
        print(f"{name}.pass_ms_median={median:.2f}")
        print(f"{name}.pass_ms_max={max(result.pass_seconds) * 1000.0:.2f}")


def _check_criteria(label, measured, baseline):
    """Yield the name of each criterion and whether it is met."""
    yield f"{label}: more work finished in time", measured.in_time > baseline.in_time
    yield (
        f"{label}: at most half the hours wasted",
        measured.wasted_core_hours <= baseline.wasted_core_hours / 2.0,
    )
    slowest_start = max(measured.urgent_start_delays)
    yield (
        f"{label}: urgent work starts within 6 s",
        slowest_start <= MAX_URGENT_START_SECONDS,
    )
    yield f"{label}: nothing repeated that must not be", measured.forbidden_repeats == 0
    yield f"{label}: no checkpoint lost", measured.max_lost_checkpointed_seconds == 0.0
    met = measured.bad_worker_starts <= MAX_BAD_WORKER_STARTS
    yield f"{label}: a bad worker gets at most {MAX_BAD_WORKER_STARTS} tasks", met


def main():
    """Run both policies for each site and seed; return the exit code."""
    failed = 0
    for size in SITES:
        healthy = attrs.evolve(
            size, name=f"{size.name}-no-bad-worker", bad_worker_count=0
        )
        for variant, seed in [(healthy, SEEDS[0]), *((size, seed) for seed in SEEDS)]:
            measured = run_policy(AzurelandingPolicy, variant, seed)
            baseline = run_policy(FirstFitPolicy, variant, seed)
            print(f"site={variant.name} seed={seed}")
            _print_result(f"{variant.name}.{seed}.azurelanding", measured)
            _print_result(f"{variant.name}.{seed}.first_fit", baseline)
            for criterion, met in _check_criteria(
                f"{variant.name} seed {seed}", measured, baseline
            ):
                print(f"{'pass' if met else 'FAIL'}: {criterion}")
                failed += not met
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
