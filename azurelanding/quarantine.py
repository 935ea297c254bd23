"""Tell a worker that fails everything from a job that can't run.

A failure is held against a worker only when another worker ran the same job, and
against a job only when it failed on several workers that run others. A worker
is quarantined after ``QUARANTINE_AFTER_FAILURES`` such failures without a success between
them; then it gets one task at a time that may be repeated, after a pause that
doubles with each trial that fails. A worker whose last task failed gets, for a
while, only tasks of jobs that others ran: their failures tell, others do not.
"""

import collections

import attrs

QUARANTINE_AFTER_FAILURES = 3
MAX_TASKS_WHILE_NEW = 3
MAX_TASKS_WHILE_SUSPECT = 1
HOLD_JOB_AFTER_WORKERS = 3
HELD_JOB_PAUSE_SECONDS = 60.0
MIN_QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 3600.0
MAX_QUARANTINED_FRACTION = 0.25
MAX_FAILURES_PER_WORKER = 8
MAX_WORKERS_PER_JOB = 8
PROVEN_SECONDS = 30.0
SUSPECT_SECONDS = 60.0


@attrs.define(eq=False)
class WorkerHealth:
    """One worker's record; ``failures`` are the jobs that failed since a success.

    ``proven`` tells that it has run something. ``until`` is the end of the
    quarantine in seconds and ``rounds`` how often it was quarantined in a row.
    """

    failures: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_FAILURES_PER_WORKER)
    )
    proven: bool = False
    last_failure: float = 0.0
    until: float | None = None
    rounds: int = 0


@attrs.define(eq=False)
class JobHealth:
    """Where a job ran, and on which good workers it failed since then."""

    ran_on: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    failed_on: set = attrs.field(factory=set)
    last_failure: float = 0.0


@attrs.define(eq=False)
class Health:
    """The records of a pool's workers and jobs; ``suspects`` have failures."""

    workers: dict = attrs.field(factory=lambda: collections.defaultdict(WorkerHealth))
    jobs: dict = attrs.field(factory=lambda: collections.defaultdict(JobHealth))
    suspects: set = attrs.field(factory=set)


@attrs.frozen
class Allowance:
    """How many tasks at once a worker may have, ``None`` for any number.

    On ``trial`` it gets only tasks that are not urgent and may be repeated, and
    with ``proven_jobs`` only tasks of jobs that another worker ran.
    """

    tasks: int | None = None
    trial: bool = False
    proven_jobs: bool = False
    reason: str = ""


UNLIMITED = Allowance()


def ran_elsewhere(health, name, job):
    """Tell whether a worker other than ``name`` ran a task of ``job``."""
    return any(other != name for other in health.jobs[job].ran_on)


def _blamed(health, name):
    """Return how many failures of the worker are of jobs that others run."""
    return sum(
        ran_elsewhere(health, name, job)
        and len(health.jobs[job].failed_on) < HOLD_JOB_AFTER_WORKERS
        for job in health.workers[name].failures
    )


def _judge(health, name, now):
    worker = health.workers[name]
    on_trial = worker.until is not None and now >= worker.until
    enough = 1 if on_trial else QUARANTINE_AFTER_FAILURES
    if worker.until is not None and not on_trial:
        return
    if _blamed(health, name) < enough:
        return
    pause = min(MIN_QUARANTINE_SECONDS * 2**worker.rounds, MAX_QUARANTINE_SECONDS)
    worker.until = now + pause
    worker.rounds += 1
    worker.failures.clear()


def record_success(health, name, job, now):
    """Note that the worker ``name`` ran a task of ``job``."""
    worker = health.workers[name]
    worker.proven, worker.until, worker.rounds = True, None, 0
    worker.failures.clear()
    health.suspects.discard(name)
    record = health.jobs[job]
    record.failed_on.clear()
    record.ran_on[name] = now
    record.ran_on.move_to_end(name)
    if len(record.ran_on) > MAX_WORKERS_PER_JOB:
        record.ran_on.popitem(last=False)
    for suspect in list(health.suspects):
        if job in health.workers[suspect].failures:
            _judge(health, suspect, now)


def record_failure(health, name, job, now):
    """Note that a task of ``job`` failed on the worker ``name``."""
    worker, record = health.workers[name], health.jobs[job]
    worker.failures.append(job)
    worker.last_failure = record.last_failure = now
    health.suspects.add(name)
    if is_healthy(health, name):
        record.failed_on.add(name)
    _judge(health, name, now)


def record_survival(health, name):
    """Note that a task has run on the worker for ``PROVEN_SECONDS``."""
    if not health.workers[name].failures:
        health.workers[name].proven = True


def is_healthy(health, name):
    """Tell whether a failure on the worker may be held against the job."""
    worker = health.workers[name]
    return (
        worker.until is None and _blamed(health, name) < QUARANTINE_AFTER_FAILURES - 1
    )


def quarantined(health, now):
    """Return the workers in quarantine, those first that leave it last."""
    shut = [
        name
        for name in health.suspects
        if (until := health.workers[name].until) is not None and now < until
    ]
    return sorted(shut, key=lambda name: (-health.workers[name].until, name))


def closed_workers(health, pool_size, now):
    """Return the workers that get no task now.

    At most a part of a pool is in quarantine, at least one worker: when more
    fail at the same time, the cause is likely not theirs, and the rest of them
    get one task at a time.
    """
    most = max(1, int(pool_size * MAX_QUARANTINED_FRACTION))
    return frozenset(quarantined(health, now)[:most])


def allowance(health, name, closed, now):
    """Return the ``Allowance`` of a worker; ``closed`` are those that get none."""
    worker = health.workers[name]
    if name in closed:
        left = worker.until - now
        return Allowance(0, True, True, f"quarantined for {left:.0f} s more")
    if worker.until is not None:
        reason = "on trial after quarantine"
        return Allowance(MAX_TASKS_WHILE_SUSPECT, True, True, reason)
    if worker.failures:
        lately = now < worker.last_failure + SUSPECT_SECONDS
        return Allowance(MAX_TASKS_WHILE_SUSPECT, False, lately, "its last task failed")
    if not worker.proven:
        return Allowance(MAX_TASKS_WHILE_NEW, reason="has run nothing yet")
    return UNLIMITED


def job_limit(health, job, now):
    """Return how many tasks of ``job`` may run at once, ``None`` for any number.

    A job that failed on several good workers and never ran since is held: one
    task at a time finds out whether it runs by now.
    """
    record = health.jobs[job]
    if len(record.failed_on) < HOLD_JOB_AFTER_WORKERS:
        return None
    return 1 if now >= record.last_failure + HELD_JOB_PAUSE_SECONDS else 0
