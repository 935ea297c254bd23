"""Collect the changes of one decision on a ledger before they are stored.

A decision takes the time of the daemon's only event loop, which also renews leases and
memberships. So each kind of change is limited; what is left is for the next decision,
which follows as soon as this one is stored.
"""

import itertools

from azurelanding.job_records import encode_drop, encode_record
from azurelanding.ledger import JobEnded, TaskChanged
from azurelanding.pool_jobs import AccountUsage, sum_usage

MAX_CHANGES_PER_KIND_COUNT = 250
"""Limit on the ends, on the freed runs and on the dropped tasks of a decision."""


class JobDraft:
    """The jobs of a pool as they will be once the changes are stored.

    The ledger itself is not modified: a job is copied before its first change.

    ``copies`` holds the copied jobs, ``changed`` the new task states, ``placed`` the
    runs on each worker on which they change, ``account_changes`` the change of each
    account's usage, ``ended`` the ``JobEnded`` records,
    ``objectives`` the objectives in seconds of the ended jobs, ``extra`` the other new
    records, ``dropped_jobs`` the jobs whose records are deleted,
    ``dropped_cancellations`` those of which only the cancellation is, ``dropped_pins``
    the names of deleted pins, and ``dropped_tasks`` the names of the tasks of ended
    jobs whose records are. ``withdrawn`` holds the jobs whose submission is deleted, as
    another pool runs them. ``is_cut`` is set once a change is left to the next
    decision.
    """

    def __init__(self, ledger, pool):
        self.ledger = ledger
        self.pool = pool
        self.copies = {}
        self.changed = {}
        self.placed = {}
        self.account_changes = {}
        self.ended = {}
        self.objectives = {}
        self.extra = []
        self.dropped_jobs = []
        self.dropped_cancellations = []
        self.dropped_pins = []
        self.dropped_tasks = []
        self.withdrawn = []
        self.is_cut = False

    def job(self, job_id):
        """Return the ``JobState`` of a job that has not ended, or ``None``."""
        if job_id in self.ended:
            return None
        return self.copies.get(job_id) or self.ledger.active.get(job_id)

    def _changed_or(self, job_ids):
        """Return the jobs of ``job_ids``, and those of the pool that were changed.

        They have the order of their acceptance, without those that were ended.
        """
        copies = {
            job_id for job_id, copy in self.copies.items() if copy.job.pool == self.pool
        }
        states = [self.job(job_id) for job_id in copies.union(job_ids)]
        states = [state for state in states if state is not None]
        return sorted(states, key=lambda state: state.position)

    def jobs_to_end(self):
        """Return the jobs of the pool that may end now."""
        ending = self.ledger.jobs_of(self.pool).ending
        return [state for state in self._changed_or(ending) if state.may_end]

    def has_startable_jobs(self):
        """Return whether jobs of the pool may have tasks that may start."""
        return bool(self.copies or self.ledger.jobs_of(self.pool).startable)

    def startable_jobs(self, accepts):
        """Return the jobs of the pool with tasks that may start.

        Jobs are left out if ``accepts(need, fills)`` is false for all such tasks.
        """
        startable = self.ledger.jobs_of(self.pool).startable
        accepted = [jobs for need, jobs in startable.items() if accepts(*need)]
        return self._changed_or(itertools.chain.from_iterable(accepted))

    def set_task(self, task_id, state):
        """Change the state of a task."""
        copy = self.copies.get(task_id.job)
        if copy is None:
            copy = self.ledger.active[task_id.job].copy()
            self.copies[task_id.job] = copy
        known = copy.task(task_id)
        self._unplace(task_id, known)
        self._count_runs(copy.job, task_id, len(state.active) - len(known.active))
        copy.set_task(task_id, state)
        self.changed[task_id] = state
        for run, worker in state.active.items():
            self._runs_on(worker)[task_id, run] = None

    def _count_runs(self, job, task_id, runs):
        if job.account and runs:
            usage = self.account_changes.setdefault(job.account, AccountUsage())
            usage.count(job.steps[task_id.step].need, runs)

    def account_usage(self, account):
        """Return what the runs of an account in the pool need, as ``Resources``."""
        known = self.ledger.pools[self.pool].accounts.get(account, AccountUsage())
        change = self.account_changes.get(account, AccountUsage())
        return known.plus(change).resources()

    def _runs_on(self, worker):
        runs = self.placed.get(worker)
        if runs is None:
            runs = self.placed[worker] = dict(self.ledger.placed.get(worker, {}))
        return runs

    def _unplace(self, task_id, task):
        for run, worker in task.active.items():
            self._runs_on(worker).pop((task_id, run), None)

    def usage(self, worker):
        """Return the ``WorkerUsage`` of a worker by the runs of the pool."""
        if worker in self.placed:
            return sum_usage(self.placed[worker], self.job, self.pool)
        return self.ledger.usage(self.pool, worker)

    def end_job(self, job_id, outcome, now):
        """End a job, which drops the records of its tasks and of its work."""
        for task_id, task in self.job(job_id).in_progress.items():
            self._unplace(task_id, task)
        self.objectives[job_id] = self.ledger.active[job_id].objective
        self.ended[job_id] = JobEnded(job_id, outcome, now)

    def drop_job(self, job_id):
        """Drop all records of a job whose retention has passed."""
        self.dropped_jobs.append(job_id)

    def drop_cancellation(self, job_id):
        """Drop the cancellation of a job that has not become known."""
        self.dropped_cancellations.append(job_id)

    def withdraw_job(self, job_id):
        """Drop the submission of a job of which no task was ever started."""
        self.withdrawn.append(job_id)

    def drop_pins(self, names):
        """Drop pins by the names of their records."""
        self.dropped_pins.extend(names)

    def drop_pinned(self, job_id):
        """Drop the pins of a job, and before them what they withhold."""
        if job_id in self.ledger.pins.withheld:
            self.withdraw_job(job_id)
        self.drop_pins(self.ledger.pins.pins[job_id])

    def drop_ended_tasks(self):
        """Drop the records of the tasks of ended jobs, those that end now among them.

        They may be many: a job that has ended is over without it.
        """
        names = itertools.chain(
            self.ledger.ended_tasks_of(self.pool),
            (str(t) for job in self.ended for t in self.ledger.active[job].tasks),
        )
        self.dropped_tasks = list(itertools.islice(names, MAX_CHANGES_PER_KIND_COUNT))
        self.is_cut = self.is_cut or next(names, None) is not None

    def add(self, record):
        """Add a record to be stored together with the changes."""
        self.extra.append(record)

    def _drops(self):
        for name in self.dropped_tasks:
            yield encode_drop(("task", name))
        for job_id in self.dropped_jobs:
            # A reader that has not read the rest yet must not find a job that goes on.
            for kind in ("job", "cancel", "end"):
                yield encode_drop((kind, job_id))
        for job_id in self.dropped_cancellations:
            yield encode_drop(("cancel", job_id))
        for job_id in self.withdrawn:
            for kind in ("job", "work"):
                yield encode_drop((kind, job_id))
        # Without its pins a withheld submission would count.
        for name in self.dropped_pins:
            yield encode_drop(("pin", name))
        # A submission that is repeated after the end stores the work again.
        for job_id in (*self.ended, *self.dropped_jobs):
            if ("work", job_id) in self.ledger.offsets:
                yield encode_drop(("work", job_id))

    def records(self):
        """Return the changes as encoded records, including the dropped keys."""
        changed = [
            encode_record(TaskChanged(task_id, state))
            for task_id, state in self.changed.items()
            if task_id.job not in self.ended
        ]
        ended = [encode_record(record) for record in self.ended.values()]
        extra = [encode_record(record) for record in self.extra]
        return [*changed, *ended, *self._drops(), *extra]
