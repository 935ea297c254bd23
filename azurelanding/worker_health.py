"""Keep tasks away from workers that fail what others run."""

import collections

import attrs

SUSPEND_AFTER_FAILURES = 3
"""Failures of different jobs in a row after which a worker gets no start."""
FIRST_SHUT_SECONDS = 3.0
"""The first pause of such a worker; each further one is twice as long."""
LONGEST_SHUT_SECONDS = 24.0


@attrs.define
class WorkerHealth:
    """One worker's record: the jobs that failed there since a task was done."""

    failed_jobs: set = attrs.field(factory=set)
    shut_until: float = 0.0
    rounds: int = 0


class WorkerFailureTracker:
    """The records of a pool's workers."""

    def __init__(self):
        self.records = collections.defaultdict(WorkerHealth)

    def record_success(self, worker):
        """Note that a task was done on a worker."""
        self.records.pop(worker, None)

    def record_failure(self, worker, job, now):
        """Note that a task of ``job`` failed on a worker."""
        record = self.records[worker]
        record.failed_jobs.add(job)
        if len(record.failed_jobs) >= SUSPEND_AFTER_FAILURES:
            pause = FIRST_SHUT_SECONDS * 2**record.rounds
            record.shut_until = now + min(pause, LONGEST_SHUT_SECONDS)
            record.rounds += 1
            record.failed_jobs.clear()

    def is_suspended(self, worker, now):
        """Tell whether a worker gets no start at ``now``."""
        return worker in self.records and now < self.records[worker].shut_until

    def penalty(self, worker):
        """Return a rank that is higher the more jobs failed on a worker."""
        if worker not in self.records:
            return 0
        record = self.records[worker]
        return len(record.failed_jobs) + record.rounds
