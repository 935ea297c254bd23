"""Gather the changes of one decision over a ledger, before they are stored."""

from azurelanding.job_records import encode_drop, encode_record
from azurelanding.jobs import JobState, objective
from azurelanding.ledger import JobEnded, TaskChanged


class JobDraft:
    """The jobs of a pool as they will be once the changes are stored.

    The ledger itself is left alone; a job that changes is copied first.
    """

    def __init__(self, ledger, pool):
        self.ledger = ledger
        self.pool = pool
        self.copies = {}
        self.changed = {}
        self.ended = {}
        self.objectives = {}
        self.extra = []
        self.forgotten = []

    def job(self, job_id):
        """Return the ``JobState`` of a job that has not ended, or ``None``."""
        if job_id in self.ended:
            return None
        return self.copies.get(job_id) or self.ledger.active.get(job_id)

    def jobs(self):
        """Yield the pool's jobs that have not ended."""
        for job_id, state in self.ledger.active.items():
            if state.job.pool == self.pool and job_id not in self.ended:
                yield self.copies.get(job_id, state)

    def set_task(self, task_id, state):
        """Change the state of a task."""
        copy = self.copies.get(task_id.job)
        if copy is None:
            known = self.ledger.active[task_id.job]
            copy = JobState(
                known.job, dict(known.tasks), dict(known.done), known.cancelled_at
            )
            copy.failed_tasks = known.failed_tasks
            self.copies[task_id.job] = copy
        copy.set_task(task_id, state)
        self.changed[task_id] = state

    def end_job(self, job_id, outcome, now):
        """End a job; its tasks are dropped, and with its end its steps."""
        self.objectives[job_id] = objective(self.ledger.active[job_id].job)
        self.ended[job_id] = JobEnded(job_id, outcome, now)

    def forget_job(self, job_id):
        """Drop a job that ended long ago, and all that is said of it."""
        self.forgotten.append(job_id)

    def add(self, record):
        """Store another record along with the changes."""
        self.extra.append(record)

    def _drops(self):
        for job_id in self.ended:
            for task_id in self.ledger.active[job_id].tasks:
                yield encode_drop(("task", str(task_id)))
        for job_id in self.forgotten:
            for kind in ("cancel", "end", "job"):
                yield encode_drop((kind, job_id))

    def records(self):
        """Return the changes as encoded records."""
        changed = [
            encode_record(TaskChanged(task_id, state))
            for task_id, state in self.changed.items()
            if task_id.job not in self.ended
        ]
        ended = [encode_record(record) for record in self.ended.values()]
        extra = [encode_record(record) for record in self.extra]
        return [*changed, *ended, *self._drops(), *extra]
