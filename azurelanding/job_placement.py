"""Decide which ready tasks start on which workers.

Jobs are ordered by priority, then by how timely their result can still be, then by the
time at which they become late. A task goes to the worker with the least free capacity
that fits it, which leaves enough free capacity on other workers for large tasks.
"""

import enum
import itertools
import math

import attrs

from azurelanding.tasks import Resources

WORTHLESS_FACTOR = 3.0
"""Multiple of its objective after which a job's result has no value to its caller."""
MAX_READY_OCCURRENCES = 32
"""Limit on the occurrences of a job of which one pass looks at a step. They are the
most urgent; what more of them may start follows in the next pass."""
EPSILON_CORES = 1e-6
"""Tolerance for rounding errors in sums of cores."""


@attrs.define(eq=False)
class WorkerCapacity:
    """The free capacity of a worker, and the number of its tasks by step.

    ``penalty`` sorts unhealthy or slow workers behind others.
    ``fillers`` counts the tasks on the worker that use its idle cores, and ``serving``
    the tasks that have a target for their response times.
    """

    id: str
    cores: float
    memory: int
    accelerators: int
    total: Resources
    rack: str = ""
    labels: frozenset[str] = frozenset()
    penalty: float = 0.0
    steps: dict = attrs.field(factory=dict)
    fillers: int = 0
    serving: int = 0

    def fits(self, step):
        """Return whether one more task of ``step`` fits."""
        need = step.need
        return (
            (step.fills or need.cores <= self.cores + EPSILON_CORES)
            and need.memory <= self.memory
            and need.accelerators <= self.accelerators
        )

    def allocate(self, step, step_key):
        """Allocate the resources of one more task of ``step``."""
        self._add(step, step_key, 1)

    def release(self, step, step_key):
        """Free the resources of a task that ``allocate`` allocated."""
        self._add(step, step_key, -1)

    def _add(self, step, step_key, sign):
        if not step.fills:
            self.cores -= sign * step.need.cores
        self.memory -= sign * step.need.memory
        self.accelerators -= sign * step.need.accelerators
        self.steps[step_key] = self.steps.get(step_key, 0) + sign
        self.fillers += sign * step.fills
        self.serving += sign * (step.tail_target > 0)


@attrs.frozen
class ReadyStep:
    """The tasks of one step of an occurrence that may start now."""

    state: object
    occurrence: int
    number: int
    tasks: tuple

    @property
    def step(self):
        """Return the ``Step``."""
        return self.state.job.steps[self.number]

    @property
    def has_more_occurrences(self):
        """Return whether the step may start in more occurrences than a pass looks at.

        Some of them may not be due yet.
        """
        occurrences = self.state.progress.open_occurrences(self.number)
        return len(occurrences) > MAX_READY_OCCURRENCES

    @property
    def key(self):
        """Return the job id, the occurrence and the number of the step."""
        return self.state.job.id, self.occurrence, self.number


class FreeBounds:
    """Upper bounds of what any one worker has free, so that a search can be skipped.

    A pool with a backlog is full, and most of the steps that wait fit on no worker:

    >>> bounds = FreeBounds(capacities)
    >>> bounds.may_fit(step.need, step.fills)
    False

    Capacity that is allocated leaves the bounds valid, ``tighten`` lowers them.
    """

    def __init__(self, workers):
        self.workers = workers
        self.tighten()

    def tighten(self):
        """Lower the bounds to what the workers have free now."""
        self.cores = max((w.cores for w in self.workers), default=-1.0)
        self.memory = max((w.memory for w in self.workers), default=-1)
        self.accelerators = max((w.accelerators for w in self.workers), default=-1)

    def may_fit(self, need, fills):
        """Return whether a task may fit on a worker, one that ``fills`` or not."""
        return (
            (fills or need.cores <= self.cores + EPSILON_CORES)
            and need.memory <= self.memory
            and need.accelerators <= self.accelerators
        )


def _startable(state, occurrence, number, is_backing_off, limit):
    """Return up to ``limit`` tasks of a step, all of a gang, that may start now."""
    waiting = state.waiting_tasks(occurrence, number)
    startable = (task_id for task_id in waiting if not is_backing_off(task_id))
    is_gang = state.job.steps[number].gang
    return tuple(itertools.islice(startable, None if is_gang else limit))


def _accept_all(_step):
    return True


def _by_urgency(state, number, now):
    """Yield the occurrences of which tasks of a step may start, the most urgent first.

    Occurrences are due in their order. So those that can still be in time follow all
    others, and those that can only be late follow the worthless ones. For this only
    the chain of steps that begins with this one counts.
    """
    job, plan = state.job, state.progress.plan
    occurrences, due_count = state.progress.open_occurrences(number), job.count_due(now)
    if job.occurrences == 1 or plan.is_long_running:
        yield from occurrences.between(0, due_count)
        return
    ends_at, objective = now + plan.tails[number], state.objective
    in_time_from = min(due_count, job.first_due_from(ends_at - objective))
    late_from = job.first_due_from(ends_at - WORTHLESS_FACTOR * objective)
    late_from = min(in_time_from, late_from)
    yield from occurrences.between(in_time_from, due_count)
    yield from occurrences.between(late_from, in_time_from)
    yield from occurrences.between(0, late_from)


def ready_steps(state, now, is_backing_off, accepts=_accept_all, limit=None):
    """Yield the ``ReadyStep``s of a job at ``now``, in seconds since the epoch.

    ``is_backing_off(task_id)`` returns whether a task still waits for its backoff after
    a refused start. A step is left out if ``accepts(step)`` is false. No more than
    ``limit`` tasks of a step are listed, but all of a gang, which starts as a whole. Of
    each step the most urgent ``MAX_READY_OCCURRENCES`` are looked at.
    """
    if state.is_over:
        return
    for number in state.progress.open_numbers():
        if not accepts(state.job.steps[number]):
            continue
        occurrences = _by_urgency(state, number, now)
        left = limit
        for occurrence in itertools.islice(occurrences, MAX_READY_OCCURRENCES):
            tasks = _startable(state, occurrence, number, is_backing_off, left)
            if tasks:
                yield ReadyStep(state, occurrence, number, tasks)
            if left is not None:
                left -= len(tasks)
                if left <= 0:
                    break


def count_ready(state, now):
    """Return how many tasks of a job may start at ``now``."""
    if state.is_over:
        return 0
    due_count, progress = state.job.count_due(now), state.progress
    return sum(
        progress.count_open_waiting(number, 0, due_count)
        for number in progress.open_numbers()
    )


def deadline(state, occurrence):
    """Return when an occurrence becomes late, in seconds since the epoch."""
    return state.job.due_at(occurrence) + state.objective


class Timeliness(enum.IntEnum):
    """How timely the result of a start now can be; lower values start first."""

    LONG_RUNNING = 0
    IN_TIME = 1
    LATE = 2
    WORTHLESS = 3


def timeliness(state, occurrence, now):
    """Return the ``Timeliness`` of an occurrence whose ready steps start at ``now``."""
    job = state.job
    if state.progress.plan.is_long_running:
        return Timeliness.LONG_RUNNING
    due_at, late_at = job.due_at(occurrence), deadline(state, occurrence)
    ends_at = now + state.progress.chain_left(occurrence)
    if ends_at <= late_at:
        return Timeliness.IN_TIME
    if ends_at <= due_at + WORTHLESS_FACTOR * (late_at - due_at):
        return Timeliness.LATE
    return Timeliness.WORTHLESS


def urgency(ready, now):
    """Return the key by which ready steps are sorted; lower keys start first."""
    job = ready.state.job
    timing = timeliness(ready.state, ready.occurrence, now)
    if timing is Timeliness.LONG_RUNNING:
        return job.priority, timing, job.submitted_at, ready.number
    late_at = deadline(ready.state, ready.occurrence)
    return job.priority, timing, late_at, ready.number


def is_eligible(ready, worker, avoided=()):
    """Return whether one more task of ``ready`` may start on a worker.

    A worker in ``avoided`` is not eligible.
    """
    step = ready.step
    if step.label and step.label not in worker.labels:
        return False
    if step.per_worker and worker.steps.get(ready.key, 0) >= step.per_worker:
        return False
    return worker.id not in avoided and worker.fits(step)


def is_far(step, worker):
    """Return whether a worker is not in the rack that holds the data of ``step``."""
    return bool(step.rack) and step.rack != worker.rack


def worker_order(step, worker):
    """Return the sort key of a worker for a task of ``step``; the lowest is preferred.

    Workers in the rack of the data come first, then healthy workers, then those where
    the task disturbs the fewest others, then those with the fewest free cores.
    """
    disturbed = worker.fillers if step.tail_target else 0
    disturbed += worker.serving if step.fills else 0
    return (
        is_far(step, worker),
        worker.penalty,
        disturbed,
        worker.cores - step.need.cores,
        worker.id,
    )


def pick_worker(ready, workers, avoided):
    """Return the ``WorkerCapacity`` to run a task of ``ready`` on, or ``None``.

    Workers in ``avoided``, where the task failed, are used only if no other fits.
    """
    for excluded in (avoided, ()) if avoided else ((),):
        fitting = [worker for worker in workers if is_eligible(ready, worker, excluded)]
        if fitting:
            return min(fitting, key=lambda worker: worker_order(ready.step, worker))
    return None


@attrs.frozen
class PlacedTask:
    """A decision to start a task on a worker."""

    task: object
    worker: str


def without_placed(ready, draft):
    """Return a ready step without the tasks that ``draft`` has placed since.

    The state of a job that had changed before in the same decision is changed in place.
    """
    state = draft.job(ready.state.job.id)
    left = tuple(task for task in ready.tasks if not state.task(task).active)
    return ready if len(left) == len(ready.tasks) else attrs.evolve(ready, tasks=left)


def _place_gang(ready, workers):
    """Return the ``PlacedTask``s of a whole gang, or an empty list."""
    step, placed, allocated = ready.step, [], []
    racks = {worker.rack for worker in workers} if step.same_rack else {None}
    for rack in sorted(racks, key=lambda rack: (rack != step.rack, rack or "")):
        in_rack = [worker for worker in workers if rack is None or worker.rack == rack]
        for task_id in ready.tasks:
            worker = pick_worker(ready, in_rack, ready.state.task(task_id).failed_on)
            if worker is None:
                break
            worker.allocate(step, ready.key)
            allocated.append(worker)
            placed.append(PlacedTask(task_id, worker.id))
        if len(placed) == len(ready.tasks):
            return placed
        for worker in allocated:
            worker.release(step, ready.key)
        placed, allocated = [], []
    return []


def place(ready, workers, limit=math.inf):
    """Return the ``PlacedTask``s of a ready step and allocate their resources.

    At most ``limit`` tasks are placed; a gang is whole or not placed at all.
    """
    if ready.step.gang:
        is_complete = len(ready.tasks) == ready.step.count
        return _place_gang(ready, workers) if is_complete else []
    placed = []
    for task_id in ready.tasks:
        if len(placed) >= limit:
            break
        worker = pick_worker(ready, workers, ready.state.task(task_id).failed_on)
        if worker is None:
            # The other tasks have the same needs.
            break
        worker.allocate(ready.step, ready.key)
        placed.append(PlacedTask(task_id, worker.id))
    return placed
