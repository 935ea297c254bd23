"""Place waiting tasks on workers, one pass at a time.

Tasks that wait in the same line, of one job and team, stand or fall together:
when the first finds no room, the others of the line are not tried. So the cost
of a pass grows with the number of placements, not with the number that wait.
"""

import heapq

import attrs

from azurelanding import preemption, quarantine
from azurelanding.free_capacity import EPSILON_CORES, find_best_worker
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
class Claim:
    """Room of ``need`` that is made on a worker for an urgent task of ``job``.

    ``steps`` are the actions that make it. It is given up at ``until``.
    """

    worker: str
    until: float
    job: str
    need: Resources
    steps: tuple[PreemptionStep, ...]


@attrs.frozen
class Blocked:
    """Why tasks wait; ``parked`` tells that no worker could ever run them."""

    reason: str
    parked: bool = False


@attrs.define
class Plan:
    """What one pass decided.

    ``blocked`` tells why the tasks of a line wait, by job and team, or why a
    single task does, by its id.
    """

    placements: list = attrs.field(factory=list)
    steps: list = attrs.field(factory=list)
    blocked: dict = attrs.field(factory=dict)


@attrs.define(eq=False)
class _Pass:
    """What the functions of one pass share; ``lines`` iterate over those waiting."""

    tasks: object
    rooms: object
    rule_set: object
    claims: dict
    usage: Usage
    now: float
    largest: object
    lines: dict = attrs.field(factory=dict)
    plan: Plan = attrs.field(factory=Plan)


def why_never_fits(need, largest):
    """Return why no worker could ever run a task of ``need``, or ``""``."""
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


def _acceptor(run, state, rule):
    """Return a function that tells whether a room may get the task at all."""
    careful = rule.urgency is Urgency.URGENT or not state.task.repeat

    def accepts(room):
        if room.trial and careful:
            return False
        if room.proven_jobs and not quarantine.ran_elsewhere(
            run.tasks.health, room.name, rule.name
        ):
            return False
        return room.name not in state.failed_on

    return accepts


def _place(run, state, rule, need, room):
    view = run.rooms.views[room.name]
    run.plan.placements.append(
        Placement(state.task.id, state.attempt + 1, room.name, view.incarnation, need)
    )
    run.rooms.allocate(room.name, rule.name, need)
    run.usage.add(rule.name, state.task.team, 1)
    run.claims.pop(state.task.id, None)


def _candidate(run, state, rule):
    view = run.rooms.views[state.placement.worker]
    return preemption.Candidate(
        state.task.id,
        rule.urgency,
        state.task.repeat,
        rule.checkpoint,
        run.rooms.taken(state),
        max(0.0, run.now - view.since.get(state.task.id, run.now)),
        state.task.id in view.limits,
    )


def _candidates(run, name, level):
    """Return the tasks on the worker ``name`` that make room at ``level``."""
    going = {step.task for claim in run.claims.values() for step in claim.steps}
    states = run.tasks.on_worker.get(name, {}).values()
    pairs = [(state, find_rule(run.rule_set, state)) for state in states]
    return [
        _candidate(run, state, rule)
        for state, rule in pairs
        if URGENCY_ORDER[rule.urgency] >= URGENCY_ORDER[level]
        and state.task.id not in going
    ]


def _claim(run, state, rule, need, room, steps):
    """Note that ``steps`` make room for an urgent task."""
    run.plan.steps.extend(steps)
    until = run.now + RESERVATION_TIMEOUT_SECONDS
    claim = Claim(room.name, until, rule.name, need, tuple(steps))
    run.claims[state.task.id] = claim
    run.rooms.reserve(claim.worker, claim.job, claim.need)


def _is_pending(run, step):
    """Tell whether a step has not yet freed what it will."""
    if step.task not in run.tasks.on_worker.get(step.worker, {}):
        return False
    limited = step.task in run.rooms.views[step.worker].limits
    return step.action is not PreemptionAction.THROTTLE or not limited


def _shortfall(run, need, name):
    """Return what the worker lacks for ``need`` once all claims are served."""
    room = run.rooms.free.rooms[name]
    pending = [
        step.frees
        for claim in run.claims.values()
        for step in claim.steps
        if claim.worker == name and _is_pending(run, step)
    ]
    return Resources(
        max(0.0, need.cores - room.cores - sum(f.cores for f in pending)),
        max(0, need.memory - room.memory - sum(f.memory for f in pending)),
        max(
            0,
            need.accelerators
            - room.accelerators
            - sum(f.accelerators for f in pending),
        ),
    )


def _make_room(run, state, rule, need):
    """Plan to make room for an urgent task on one worker."""
    if state.task.id in run.claims or len(run.plan.steps) >= MAX_STEPS_PER_PASS:
        return
    accepts = _acceptor(run, state, rule)
    for level in preemption.PREEMPTION_LEVELS:
        room = find_best_worker(run.rooms.levels[level], rule.name, need, accepts)
        if room is None:
            continue
        short = _shortfall(run, need, room.name)
        candidates = _candidates(run, room.name, level)
        steps = preemption.choose_steps(candidates, room.name, short)
        if steps:
            _claim(run, state, rule, need, room, steps)
            return


def _try_task(run, state, rule):
    """Place one task; return a ``Blocked`` if it has to wait."""
    need = estimate_job(run.tasks, rule).need(state.memory_failures)
    claim = run.claims.get(state.task.id)
    if claim is not None:
        run.rooms.release_reserved(claim.worker, claim.job, claim.need)
    room = find_best_worker(
        run.rooms.free, rule.name, need, _acceptor(run, state, rule)
    )
    if room is None and claim is not None:
        run.rooms.reserve(claim.worker, claim.job, claim.need)
    if room is not None:
        _place(run, state, rule, need, room)
        return None
    reason = why_never_fits(need, run.largest)
    if reason:
        return Blocked(reason, parked=True)
    if rule.urgency is Urgency.URGENT:
        _make_room(run, state, rule, need)
    amounts = f"{need.cores:.1f} cores and {need.memory / GB:.1f} GB"
    if need.accelerators:
        amounts += f" and {need.accelerators} accelerators"
    return Blocked(f"no worker that it may use has {amounts} free")


def _goes_on(state, rule):
    """Tell whether others of the line may find room where this task did not."""
    alone = state.failed_on or state.memory_failures
    return bool(alone) or rule.urgency is Urgency.URGENT


def _try_line(run, kind):
    """Place the next task of a line; return whether the line goes on."""
    for _, state in zip(range(MAX_TRIED_IN_LINE), run.lines[kind], strict=False):
        rule = find_rule(run.rule_set, state)
        reason = run.usage.over_quota_reason(rule, state.task.team)
        reason = reason or run.usage.job_held_reason(rule, run.tasks.health, run.now)
        if reason:
            run.plan.blocked[kind] = Blocked(reason)
            return False
        blocked = _try_task(run, state, rule)
        if blocked is None:
            return True
        if blocked.parked or not _goes_on(state, rule):
            run.plan.blocked[kind] = blocked
            return False
        run.plan.blocked[state.task.id] = blocked
    return False


def _rank(run, kind):
    """Return the place of a line: urgency, the team's use of its share, age."""
    first = next(iter(run.tasks.waiting[kind].values()))
    urgency = URGENCY_ORDER[find_rule(run.rule_set, first).urgency]
    return urgency, run.usage.tasks_per_share(kind[1]), first.task.submitted_at, kind


def _place_lines(run):
    heap = [_rank(run, kind) for kind in run.tasks.waiting]
    heapq.heapify(heap)
    run.lines = {kind: iter(line.values()) for kind, line in run.tasks.waiting.items()}
    while heap and len(run.plan.placements) < MAX_PLACEMENTS_PER_PASS:
        kind = heapq.heappop(heap)[-1]
        if _try_line(run, kind):
            heapq.heappush(heap, _rank(run, kind))


def _restore_throttled(run):
    """Lift the limits of throttled tasks where cores are free again."""
    claimed = {claim.worker for claim in run.claims.values()}
    for name in sorted(run.rooms.limited - claimed):
        view, room = run.rooms.views[name], run.rooms.free.rooms[name]
        states = run.tasks.on_worker.get(name, {})
        for task, limit in view.limits.items():
            if task not in states:
                continue
            missing = states[task].placement.need.cores - limit
            if missing <= room.cores + EPSILON_CORES:
                step = PreemptionStep(
                    task, name, PreemptionAction.RESTORE, preemption.NO_RESOURCES
                )
                run.plan.steps.append(step)
                break


def _clear_draining(run):
    """Stop tasks of draining workers that can save a checkpoint first."""
    for name in sorted(run.rooms.draining):
        for state in run.tasks.on_worker.get(name, {}).values():
            rule = find_rule(run.rule_set, state)
            if rule.checkpoint and state.task.repeat:
                frees = run.rooms.taken(state)
                step = PreemptionStep(
                    state.task.id, name, PreemptionAction.CHECKPOINT, frees
                )
                run.plan.steps.append(step)


def _waits(tasks, name):
    state = tasks.tasks.get(name)
    return state is not None and state.phase is TaskPhase.WAITING


def plan_pass(tasks, rooms, rule_set, claims, now, usage_in_other_pools=NO_OTHER_USAGE):
    """Return the ``Plan`` of one pass over the tasks of a pool.

    ``rooms`` is the ``PoolRooms`` of the pool and is changed as if the plan were
    carried out. ``claims`` maps urgent tasks to their ``Claim``s and is kept by
    the caller from pass to pass.
    """
    for task, claim in list(claims.items()):
        if claim.until <= now or not _waits(tasks, task):
            del claims[task]
    rooms.refresh(tasks, rule_set, now)
    for claim in claims.values():
        rooms.reserve(claim.worker, claim.job, claim.need)
    usage = Usage.from_running(tasks.running, rule_set, usage_in_other_pools)
    largest = rooms.largest()
    run = _Pass(tasks, rooms, rule_set, claims, usage, now, largest)
    _place_lines(run)
    _restore_throttled(run)
    _clear_draining(run)
    return run.plan
