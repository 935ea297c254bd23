"""Distinguish broken workers from broken jobs.

A failure counts against a worker only if another worker has run the same job, and
against a job only if it failed on several workers that run other jobs. A worker
is quarantined after ``QUARANTINE_AFTER_FAILURES`` such failures without a
success between them. When the quarantine ends the worker is on trial: it gets one
task at a time, and only tasks that may be repeated. Each failed trial doubles the
next quarantine.

For ``SUSPECT_SECONDS`` after a failure a worker gets only tasks of jobs that have
run on other workers, because only their failures show whether the worker is
broken.
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
    """The failure history of one worker.

    ``failures`` are the jobs that failed since its last success. ``proven`` is true
    once a task has succeeded or has run for ``PROVEN_SECONDS``.
    ``quarantined_until`` is the end of the quarantine in seconds since the epoch,
    and ``quarantines_in_row`` how often the worker was quarantined since its last
    success.
    """

    failures: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_FAILURES_PER_WORKER)
    )
    proven: bool = False
    last_failure: float = 0.0
    quarantined_until: float | None = None
    quarantines_in_row: int = 0


@attrs.define(eq=False)
class JobHealth:
    """The history of successes and failures of one job.

    ``ran_on`` maps workers to the time of the last success, the oldest first.
    ``failed_on`` names the healthy workers on which the job failed since its last
    success.
    """

    ran_on: collections.OrderedDict = attrs.field(factory=collections.OrderedDict)
    failed_on: set = attrs.field(factory=set)
    last_failure: float = 0.0


@attrs.define(eq=False)
class Health:
    """The health of a pool's workers and jobs.

    ``suspects`` names the workers that failed since their last success.
    """

    workers: dict = attrs.field(factory=lambda: collections.defaultdict(WorkerHealth))
    jobs: dict = attrs.field(factory=lambda: collections.defaultdict(JobHealth))
    suspects: set = attrs.field(factory=set)


@attrs.frozen
class Allowance:
    """Which tasks a worker may get, and why it is restricted.

    ``max_tasks`` is how many it may run at once, ``None`` if there is no limit. If
    ``on_trial``, it gets only tasks that are not urgent and may be repeated; with
    ``proven_jobs_only``, only tasks of jobs that have run on another worker.
    """

    max_tasks: int | None = None
    on_trial: bool = False
    proven_jobs_only: bool = False
    reason: str = ""


UNLIMITED = Allowance()


def ran_elsewhere(health, name, job):
    """Return whether a worker other than ``name`` has run a task of ``job``."""
    return any(other != name for other in health.jobs[job].ran_on)


def _count_own_failures(health, name):
    """Return how many failures of the worker count against it.

    These are the failures of jobs that have run on other workers and are not held.
    """
    return sum(
        ran_elsewhere(health, name, job)
        and len(health.jobs[job].failed_on) < HOLD_JOB_AFTER_WORKERS
        for job in health.workers[name].failures
    )


def _quarantine_if_failing(health, name, now):
    """Quarantine the worker if enough failures, or one on trial, count against it."""
    worker = health.workers[name]
    on_trial = worker.quarantined_until is not None and now >= worker.quarantined_until
    threshold = 1 if on_trial else QUARANTINE_AFTER_FAILURES
    if worker.quarantined_until is not None and not on_trial:
        return
    if _count_own_failures(health, name) < threshold:
        return
    duration = min(
        MIN_QUARANTINE_SECONDS * 2**worker.quarantines_in_row, MAX_QUARANTINE_SECONDS
    )
    worker.quarantined_until = now + duration
    worker.quarantines_in_row += 1
    worker.failures.clear()


def record_success(health, name, job, now):
    """Record that the worker ``name`` ran a task of ``job`` to its end.

    Suspects that failed the same job are evaluated again, as their failures of it
    count against them from now on.
    """
    worker = health.workers[name]
    worker.proven, worker.quarantined_until, worker.quarantines_in_row = True, None, 0
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
            _quarantine_if_failing(health, suspect, now)


def record_failure(health, name, job, now):
    """Record that a task of ``job`` failed on the worker ``name``."""
    worker, record = health.workers[name], health.jobs[job]
    worker.failures.append(job)
    worker.last_failure = record.last_failure = now
    health.suspects.add(name)
    if is_healthy(health, name):
        record.failed_on.add(name)
    _quarantine_if_failing(health, name, now)


def record_survival(health, name):
    """Record that a task has been running on the worker for ``PROVEN_SECONDS``."""
    if not health.workers[name].failures:
        health.workers[name].proven = True


def is_healthy(health, name):
    """Return whether a failure on the worker may count against the job."""
    worker = health.workers[name]
    return (
        worker.quarantined_until is None
        and _count_own_failures(health, name) < QUARANTINE_AFTER_FAILURES - 1
    )


def quarantined_workers(health, now):
    """Return the names of the workers in quarantine, the last to leave it first."""
    names = [
        name
        for name in health.suspects
        if (until := health.workers[name].quarantined_until) is not None and now < until
    ]
    return sorted(
        names, key=lambda name: (-health.workers[name].quarantined_until, name)
    )


def excluded_workers(health, pool_size, now):
    """Return the names of the quarantined workers that get no tasks now.

    At most ``MAX_QUARANTINED_FRACTION`` of the workers are excluded, but always at
    least one may be: if more fail at the same time, the workers are probably not the
    cause, and the other quarantined ones get one task at a time.
    """
    max_excluded = max(1, int(pool_size * MAX_QUARANTINED_FRACTION))
    return frozenset(quarantined_workers(health, now)[:max_excluded])


def allowance(health, name, excluded, now):
    """Return the ``Allowance`` of a worker, given the ``excluded_workers``."""
    worker = health.workers[name]
    if name in excluded:
        remaining = worker.quarantined_until - now
        return Allowance(0, True, True, f"quarantined for {remaining:.0f} s more")
    if worker.quarantined_until is not None:
        reason = "on trial after quarantine"
        return Allowance(MAX_TASKS_WHILE_SUSPECT, True, True, reason)
    if worker.failures:
        failed_recently = now < worker.last_failure + SUSPECT_SECONDS
        return Allowance(
            MAX_TASKS_WHILE_SUSPECT, False, failed_recently, "its last task failed"
        )
    if not worker.proven:
        return Allowance(MAX_TASKS_WHILE_NEW, reason="has run nothing yet")
    return UNLIMITED


def job_limit(health, job, now):
    """Return how many tasks of ``job`` may run at once, ``None`` if not limited.

    A job that failed on several healthy workers without a success since is held: it
    gets no tasks for ``HELD_JOB_PAUSE_SECONDS`` after each failure, then one task
    at a time to check whether it runs again.
    """
    record = health.jobs[job]
    if len(record.failed_on) < HOLD_JOB_AFTER_WORKERS:
        return None
    return 1 if now >= record.last_failure + HELD_JOB_PAUSE_SECONDS else 0
