"""Place waiting tasks on workers, one pass at a time.

Tasks of the same job and team wait in one line. If the first task of a line does
not fit on any worker, the others are not tried, so the cost of a pass grows with
the number of placements, not with the number of waiting tasks.
"""

import heapq

import attrs

from azurelanding import preemption, quarantine
from azurelanding.free_capacity import CORES_TOLERANCE, find_best_worker
from azurelanding.pool_capacity import estimate_job, find_rule
from azurelanding.preemption import URGENCY_ORDER, PreemptionAction, PreemptionStep
from azurelanding.quotas import NO_OTHER_USAGE, Usage
from azurelanding.requests import Urgency
from azurelanding.tasks import Placement, Resources, TaskPhase

MAX_PLACEMENTS_PER_PASS = 200
MAX_STEPS_PER_PASS = 64
MAX_TRIED_IN_LINE = 20
RESERVATION_TIMEOUT_SECONDS = 4.0
GB = 1 << 30


@attrs.frozen
class Reservation:
    """Capacity reserved on a worker for an urgent task of ``job``.

    ``steps`` are the preemptions that free it. ``expires_at`` is in seconds since the
    epoch.
    """

    worker: str
    expires_at: float
    job: str
    need: Resources
    steps: tuple[PreemptionStep, ...]


@attrs.frozen
class Blocked:
    """Why tasks wait; ``parked`` is true if no worker of the pool can ever run them."""

    reason: str
    parked: bool = False


@attrs.define
class Plan:
    """The decisions of one pass.

    ``blocked`` maps the job and team of a line, or the id of a single task, to the
    ``Blocked`` that says why it waits.
    """

    placements: list = attrs.field(factory=list)
    steps: list = attrs.field(factory=list)
    blocked: dict = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Pass:
    """The state of one pass.

    ``lines`` maps the job and team of each line to an iterator over its waiting
    tasks. ``largest`` is the most of each resource that any one worker has in total.
    """

    tasks: object
    capacity: object
    rule_set: object
    reservations: dict
    usage: Usage
    now: float
    largest: object
    lines: dict = attrs.field(factory=dict)
    plan: Plan = attrs.field(factory=Plan)


def never_fits_reason(need, largest):
    """Return why no worker can ever run a task that needs ``need``, or ``""``."""
    lacks = []
    if need.cores > largest.cores:
        lacks.append(f"{need.cores:g} cores but the largest has {largest.cores:g}")
    if need.memory > largest.memory:
        has = f"the largest has {largest.memory / GB:.1f} GB"
        lacks.append(f"{need.memory / GB:.1f} GB but {has}")
    if need.accelerators > largest.accelerators:
        has = f"the largest has {largest.accelerators}"
        lacks.append(f"{need.accelerators} accelerators but {has}")
    return f"no worker of the pool can run it: needs {'; '.join(lacks)}" * bool(lacks)


def _make_worker_filter(run, state, rule):
    """Return a function that returns whether a worker may run the task at all.

    It ignores free capacity. Urgent tasks and tasks that must not be repeated don't
    run on a worker that is on trial.
    """
    needs_healthy_worker = rule.urgency is Urgency.URGENT or not state.task.repeat

    def accepts(worker):
        if worker.on_trial and needs_healthy_worker:
            return False
        if worker.proven_jobs_only and not quarantine.ran_elsewhere(
            run.tasks.health, worker.name, rule.name
        ):
            return False
        return worker.name not in state.failed_on

    return accepts


def _place(run, state, rule, need, worker):
    view = run.capacity.views[worker.name]
    run.plan.placements.append(
        Placement(state.task.id, state.attempt + 1, worker.name, view.incarnation, need)
    )
    run.capacity.allocate(worker.name, rule.name, need)
    run.usage.add(rule.name, state.task.team, 1)
    run.reservations.pop(state.task.id, None)


def _make_candidate(run, state, rule):
    view = run.capacity.views[state.placement.worker]
    return preemption.Candidate(
        state.task.id,
        rule.urgency,
        state.task.repeat,
        rule.checkpoint,
        run.capacity.usage_of(state),
        max(0.0, run.now - view.since.get(state.task.id, run.now)),
        state.task.id in view.limits,
    )


def _find_candidates(run, name, level):
    """Return the tasks on the worker ``name`` that may be preempted at ``level``."""
    being_preempted = {
        step.task
        for reservation in run.reservations.values()
        for step in reservation.steps
    }
    states = run.tasks.on_worker.get(name, {}).values()
    pairs = [(state, find_rule(run.rule_set, state)) for state in states]
    return [
        _make_candidate(run, state, rule)
        for state, rule in pairs
        if URGENCY_ORDER[rule.urgency] >= URGENCY_ORDER[level]
        and state.task.id not in being_preempted
    ]


def _reserve(run, state, rule, need, worker, steps):
    """Plan ``steps`` and reserve the capacity that they free for an urgent task."""
    run.plan.steps.extend(steps)
    expires_at = run.now + RESERVATION_TIMEOUT_SECONDS
    reservation = Reservation(worker.name, expires_at, rule.name, need, tuple(steps))
    run.reservations[state.task.id] = reservation
    run.capacity.reserve(reservation.worker, reservation.job, reservation.need)


def _is_pending(run, step):
    """Return whether a step has not freed its resources yet."""
    if step.task not in run.tasks.on_worker.get(step.worker, {}):
        return False
    is_throttled = step.task in run.capacity.views[step.worker].limits
    return step.action is not PreemptionAction.THROTTLE or not is_throttled


def _shortfall(run, need, name):
    """Return what the worker lacks for ``need``, counting what pending steps free."""
    worker = run.capacity.free.workers[name]
    pending = [
        step.frees
        for reservation in run.reservations.values()
        for step in reservation.steps
        if reservation.worker == name and _is_pending(run, step)
    ]
    return Resources(
        max(0.0, need.cores - worker.cores - sum(f.cores for f in pending)),
        max(0, need.memory - worker.memory - sum(f.memory for f in pending)),
        max(
            0,
            need.accelerators
            - worker.accelerators
            - sum(f.accelerators for f in pending),
        ),
    )


def _plan_preemption(run, state, rule, need):
    """Plan steps that free capacity for an urgent task on one worker."""
    if state.task.id in run.reservations or len(run.plan.steps) >= MAX_STEPS_PER_PASS:
        return
    accepts = _make_worker_filter(run, state, rule)
    for level in preemption.PREEMPTION_LEVELS:
        worker = find_best_worker(run.capacity.levels[level], rule.name, need, accepts)
        if worker is None:
            continue
        short = _shortfall(run, need, worker.name)
        candidates = _find_candidates(run, worker.name, level)
        steps = preemption.choose_steps(candidates, worker.name, short)
        if steps:
            _reserve(run, state, rule, need, worker, steps)
            return


def _try_task(run, state, rule):
    """Place one task, or return a ``Blocked`` if it has to wait."""
    need = estimate_job(run.tasks, rule).need(state.memory_failures)
    reservation = run.reservations.get(state.task.id)
    if reservation is not None:
        run.capacity.release_reserved(
            reservation.worker, reservation.job, reservation.need
        )
    worker = find_best_worker(
        run.capacity.free, rule.name, need, _make_worker_filter(run, state, rule)
    )
    if worker is None and reservation is not None:
        run.capacity.reserve(reservation.worker, reservation.job, reservation.need)
    if worker is not None:
        _place(run, state, rule, need, worker)
        return None
    reason = never_fits_reason(need, run.largest)
    if reason:
        return Blocked(reason, parked=True)
    if rule.urgency is Urgency.URGENT:
        _plan_preemption(run, state, rule, need)
    amounts = f"{need.cores:.1f} cores and {need.memory / GB:.1f} GB"
    if need.accelerators:
        amounts += f" and {need.accelerators} accelerators"
    return Blocked(f"no worker that it may use has {amounts} free")


def _may_try_next_in_line(state, rule):
    """Return whether later tasks of the line may fit although this one did not.

    A task with failures is restricted in ways that the others are not, and for an
    urgent task capacity may be freed by preemption.
    """
    is_restricted = state.failed_on or state.memory_failures
    return bool(is_restricted) or rule.urgency is Urgency.URGENT


def _try_line(run, line_key):
    """Place the next task of a line; return whether to try the line again."""
    for _, state in zip(range(MAX_TRIED_IN_LINE), run.lines[line_key], strict=False):
        rule = find_rule(run.rule_set, state)
        reason = run.usage.over_quota_reason(rule, state.task.team)
        reason = reason or run.usage.job_held_reason(rule, run.tasks.health, run.now)
        if reason:
            run.plan.blocked[line_key] = Blocked(reason)
            return False
        blocked = _try_task(run, state, rule)
        if blocked is None:
            return True
        if blocked.parked or not _may_try_next_in_line(state, rule):
            run.plan.blocked[line_key] = blocked
            return False
        run.plan.blocked[state.task.id] = blocked
    return False


def _line_sort_key(run, line_key):
    """Return the sort key of a line: urgency, the team's use of its share, age."""
    first = next(iter(run.tasks.waiting[line_key].values()))
    urgency = URGENCY_ORDER[find_rule(run.rule_set, first).urgency]
    return (
        urgency,
        run.usage.tasks_per_share(line_key[1]),
        first.task.submitted_at,
        line_key,
    )


def _place_lines(run):
    heap = [_line_sort_key(run, line_key) for line_key in run.tasks.waiting]
    heapq.heapify(heap)
    run.lines = {
        line_key: iter(line.values()) for line_key, line in run.tasks.waiting.items()
    }
    while heap and len(run.plan.placements) < MAX_PLACEMENTS_PER_PASS:
        line_key = heapq.heappop(heap)[-1]
        if _try_line(run, line_key):
            heapq.heappush(heap, _line_sort_key(run, line_key))


def _restore_throttled(run):
    """Plan to lift the limits of throttled tasks where enough cores are free.

    Workers with reserved capacity are skipped, and a pass restores at most one task
    per worker.
    """
    reserved = {reservation.worker for reservation in run.reservations.values()}
    for name in sorted(run.capacity.throttled - reserved):
        view, worker = run.capacity.views[name], run.capacity.free.workers[name]
        states = run.tasks.on_worker.get(name, {})
        for task, limit in view.limits.items():
            if task not in states:
                continue
            cores_to_restore = states[task].placement.need.cores - limit
            if cores_to_restore <= worker.cores + CORES_TOLERANCE:
                step = PreemptionStep(
                    task, name, PreemptionAction.RESTORE, preemption.NO_RESOURCES
                )
                run.plan.steps.append(step)
                break


def _drain_workers(run):
    """Plan to stop the tasks on draining workers that can save a checkpoint first."""
    for name in sorted(run.capacity.draining):
        for state in run.tasks.on_worker.get(name, {}).values():
            rule = find_rule(run.rule_set, state)
            if rule.checkpoint and state.task.repeat:
                frees = run.capacity.usage_of(state)
                step = PreemptionStep(
                    state.task.id, name, PreemptionAction.CHECKPOINT, frees
                )
                run.plan.steps.append(step)


def _is_waiting(tasks, task_id):
    state = tasks.tasks.get(task_id)
    return state is not None and state.phase is TaskPhase.WAITING


def plan_pass(
    tasks, capacity, rule_set, reservations, now, usage_in_other_pools=NO_OTHER_USAGE
):
    """Return the ``Plan`` of one pass over the tasks of a pool.

    ``capacity`` is the free capacity of the pool; the placements of the plan are
    allocated in it. ``reservations`` maps the ids of urgent tasks to their
    ``Reservation``s; the caller keeps it between passes.
    ``usage_in_other_pools`` is what teams run in other pools.
    """
    for task, reservation in list(reservations.items()):
        if reservation.expires_at <= now or not _is_waiting(tasks, task):
            del reservations[task]
    capacity.refresh(tasks, rule_set, now)
    for reservation in reservations.values():
        capacity.reserve(reservation.worker, reservation.job, reservation.need)
    usage = Usage.from_running(tasks.running, rule_set, usage_in_other_pools)
    largest = capacity.largest()
    run = _Pass(tasks, capacity, rule_set, reservations, usage, now, largest)
    _place_lines(run)
    _restore_throttled(run)
    _drain_workers(run)
    return run.plan
