"""Collect the changes of one decision on a ledger before they are stored."""

from azurelanding.job_records import encode_drop, encode_record
from azurelanding.jobs import JobState, objective
from azurelanding.ledger import JobEnded, TaskChanged


class JobDraft:
    """The jobs of a pool as they will be once the changes are stored.

    The ledger itself is not modified: a job is copied before its first change.

    ``copies`` holds the copied jobs, ``changed`` the new task states, ``ended`` the
    ``JobEnded`` records, ``objectives`` the objectives in seconds of the ended jobs,
    ``extra`` the other new records, and ``dropped_jobs`` the jobs whose records are
    deleted.
    """

    def __init__(self, ledger, pool):
        self.ledger = ledger
        self.pool = pool
        self.copies = {}
        self.changed = {}
        self.ended = {}
        self.objectives = {}
        self.extra = []
        self.dropped_jobs = []

    def job(self, job_id):
        """Return the ``JobState`` of a job that has not ended, or ``None``."""
        if job_id in self.ended:
            return None
        return self.copies.get(job_id) or self.ledger.active.get(job_id)

    def jobs(self):
        """Yield the ``JobState`` of each job of the pool that has not ended."""
        for job_id, state in self.ledger.active.items():
            if state.job.pool == self.pool and job_id not in self.ended:
                yield self.copies.get(job_id, state)

    def set_task(self, task_id, state):
        """Change the state of a task."""
        copy = self.copies.get(task_id.job)
        if copy is None:
            stored = self.ledger.active[task_id.job]
            copy = JobState(
                stored.job, dict(stored.tasks), dict(stored.done), stored.cancelled_at
            )
            copy.failed_tasks = stored.failed_tasks
            self.copies[task_id.job] = copy
        copy.set_task(task_id, state)
        self.changed[task_id] = state

    def end_job(self, job_id, outcome, now):
        """End a job, which drops the records of its tasks and of its work."""
        self.objectives[job_id] = objective(self.ledger.active[job_id].job)
        self.ended[job_id] = JobEnded(job_id, outcome, now)

    def drop_job(self, job_id):
        """Drop all records of a job whose retention has passed."""
        self.dropped_jobs.append(job_id)

    def add(self, record):
        """Add a record to be stored together with the changes."""
        self.extra.append(record)

    def _drops(self):
        for job_id in self.ended:
            for task_id in self.ledger.active[job_id].tasks:
                yield encode_drop(("task", str(task_id)))
        for job_id in self.dropped_jobs:
            for kind in ("cancel", "end", "job"):
                yield encode_drop((kind, job_id))
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
