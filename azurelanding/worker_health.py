"""Suspend starts on workers on which tasks of several jobs fail."""

import collections

import attrs

SUSPEND_AFTER_FAILURES = 3
"""Consecutive failures of different jobs after which a worker is suspended."""
FIRST_SUSPENSION_SECONDS = 3.0
"""Length of a worker's first suspension; each further one is twice as long."""
MAX_DOUBLINGS_COUNT = 3


@attrs.define
class WorkerFailureRecord:
    """One worker's failures and suspensions since a task last succeeded there.

    ``failed_jobs`` are the jobs that failed there since its last suspension began.
    ``suspensions`` counts its suspensions, and ``suspended_until`` is a ``boot_time``.
    """

    failed_jobs: set = attrs.field(factory=set)
    suspended_until: float = 0.0
    suspensions: int = 0


class WorkerFailureTracker:
    """The ``WorkerFailureRecord`` of each worker of a pool that had failures."""

    def __init__(self):
        self.records = collections.defaultdict(WorkerFailureRecord)

    def record_success(self, worker):
        """Record that a task succeeded on a worker, which clears its failures."""
        self.records.pop(worker, None)

    def record_failure(self, worker, job, now):
        """Record that a task of ``job`` failed on a worker at ``now``."""
        record = self.records[worker]
        record.failed_jobs.add(job)
        if len(record.failed_jobs) >= SUSPEND_AFTER_FAILURES:
            doublings = min(record.suspensions, MAX_DOUBLINGS_COUNT)
            record.suspended_until = now + FIRST_SUSPENSION_SECONDS * 2**doublings
            record.suspensions += 1
            record.failed_jobs.clear()

    def is_suspended(self, worker, now):
        """Return whether a worker is suspended at ``now``, a ``boot_time``."""
        return worker in self.records and now < self.records[worker].suspended_until

    def penalty(self, worker):
        """Return a placement rank that rises with the failures on a worker."""
        if worker not in self.records:
            return 0
        record = self.records[worker]
        return len(record.failed_jobs) + record.suspensions
