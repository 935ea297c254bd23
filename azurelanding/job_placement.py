"""Decide which ready tasks start on which workers.

Jobs are taken by priority, then by what a start can still bring for them, then by the
time at which they become late. A task goes to the fullest worker that
has room for it, so that large tasks keep finding room.
"""

import enum

import attrs

from azurelanding.jobs import longest_chain, objective, task_ids
from azurelanding.tasks import Resources

LATE_FACTOR = 3.0
"""Times its objective after which a job's result is worth nothing to its caller."""
EPSILON_CORES = 1e-6


@attrs.define(eq=False)
class WorkerCapacity:
    """What a worker has left, and which tasks are on it.

    ``slow`` ranks workers that do badly behind others; ``fillers`` and ``serving``
    count the tasks on it that take what is left, and those with a target.
    """

    id: str
    cores: float
    memory: int
    accelerators: int
    total: Resources
    rack: str = ""
    labels: frozenset[str] = frozenset()
    slow: float = 0.0
    steps: dict = attrs.field(factory=dict)
    fillers: int = 0
    serving: int = 0

    def fits(self, step):
        """Tell whether one more task of ``step`` has room."""
        need = step.need
        return (
            (step.fills or need.cores <= self.cores + EPSILON_CORES)
            and need.memory <= self.memory
            and need.accelerators <= self.accelerators
        )

    def take(self, step, step_key):
        """Count one more task of ``step``."""
        self._add(step, step_key, 1)

    def release(self, step, step_key):
        """Undo ``take``."""
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
    """The tasks of one step of one occurrence that may start now."""

    state: object
    occurrence: int
    number: int
    tasks: tuple

    @property
    def step(self):
        """Return the ``Step``."""
        return self.state.job.steps[self.number]

    @property
    def key(self):
        """Return what identifies the step of this occurrence."""
        return self.state.job.id, self.occurrence, self.number


def _startable(state, occurrence, number, step, rests):
    """Return the tasks of a step that are neither done nor under way."""
    return tuple(
        task_id
        for task_id in task_ids(state.job.id, occurrence, number, step)
        if not state.task(task_id).active
        and not state.task(task_id).is_done
        and not rests(task_id)
    )


def ready_steps(state, now, rests):
    """Yield the ``ReadyStep``s of a job at ``now``, in seconds since the epoch.

    ``rests(task_id)`` tells that a task waits a while before it is tried again.
    """
    if state.is_over:
        return
    job = state.job
    for occurrence in range(job.occurrences):
        if job.due_at(occurrence) > now:
            return
        for number, step in enumerate(job.steps):
            if not all(state.step_is_done(occurrence, n) for n in step.after):
                continue
            if not step.long_running and state.step_is_done(occurrence, number):
                continue
            tasks = _startable(state, occurrence, number, step, rests)
            if tasks:
                yield ReadyStep(state, occurrence, number, tasks)


def deadline(job, occurrence):
    """Return when an occurrence becomes late, in seconds since the epoch."""
    return job.due_at(occurrence) + objective(job)


class Timeliness(enum.IntEnum):
    """What a start now can still bring for a job; the order in which jobs go."""

    LONG_RUNNING = 0
    IN_TIME = 1
    LATE = 2
    WORTHLESS = 3


def timeliness(ready, now):
    """Return the ``Timeliness`` of an occurrence whose ready steps start at ``now``."""
    state, occurrence = ready.state, ready.occurrence
    job = state.job
    if job.is_long_running:
        return Timeliness.LONG_RUNNING
    due_at, late_at = job.due_at(occurrence), deadline(job, occurrence)
    remaining = longest_chain(job, lambda n: state.step_is_done(occurrence, n))
    if now + remaining <= late_at:
        return Timeliness.IN_TIME
    if now + remaining <= due_at + LATE_FACTOR * (late_at - due_at):
        return Timeliness.LATE
    return Timeliness.WORTHLESS


def urgency(ready, now):
    """Return the place of a ready step in the line."""
    job, chance = ready.state.job, timeliness(ready, now)
    if chance is Timeliness.LONG_RUNNING:
        return job.priority, chance, job.submitted_at, ready.number
    late_at = deadline(job, ready.occurrence)
    return job.priority, chance, late_at, ready.number


def _suits(ready, room, avoided):
    step = ready.step
    if step.label and step.label not in room.labels:
        return False
    if step.per_worker and room.steps.get(ready.key, 0) >= step.per_worker:
        return False
    return room.id not in avoided and room.fits(step)


def room_order(step, room):
    """Return the preference for a worker: near the data, sound, then the fullest."""
    is_far = bool(step.rack) and step.rack != room.rack
    disturbs = room.fillers if step.tail_target else 0
    disturbs += room.serving if step.fills else 0
    return is_far, room.slow, disturbs, room.cores - step.need.cores, room.id


def pick_worker(ready, rooms, avoided):
    """Return the best room for a task of ``ready``, or ``None``.

    Workers in ``avoided``, where the task failed, are taken only if no other is.
    """
    for unwanted in (avoided, ()) if avoided else ((),):
        fitting = [room for room in rooms if _suits(ready, room, unwanted)]
        if fitting:
            return min(fitting, key=lambda room: room_order(ready.step, room))
    return None


@attrs.frozen
class Placed:
    """A decision to start a task on a worker."""

    task: object
    worker: str


def _place_gang(ready, rooms):
    """Return the places of a whole gang, or nothing."""
    step, placed, taken = ready.step, [], []
    racks = {room.rack for room in rooms} if step.same_rack else {None}
    for rack in sorted(racks, key=lambda rack: (rack != step.rack, rack or "")):
        inside = [room for room in rooms if rack is None or room.rack == rack]
        for task_id in ready.tasks:
            room = pick_worker(ready, inside, ready.state.task(task_id).failed_on)
            if room is None:
                break
            room.take(step, ready.key)
            taken.append(room)
            placed.append(Placed(task_id, room.id))
        if len(placed) == len(ready.tasks):
            return placed
        for room in taken:
            room.release(step, ready.key)
        placed, taken = [], []
    return []


def place(ready, rooms):
    """Return the ``Placed`` tasks of a ready step, and take their room."""
    if ready.step.gang:
        is_whole = len(ready.tasks) == ready.step.count
        return _place_gang(ready, rooms) if is_whole else []
    placed = []
    for task_id in ready.tasks:
        room = pick_worker(ready, rooms, ready.state.task(task_id).failed_on)
        if room is None:
            continue
        room.take(ready.step, ready.key)
        placed.append(Placed(task_id, room.id))
    return placed
