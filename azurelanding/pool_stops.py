"""Order workers to stop runs or to slow them down, for a pool's controller."""

import structlog

from azurelanding import filler_throttle, job_ends, run_progress
from azurelanding.utils import boot_time
from azurelanding.worker_calls import StopOrder

logger = structlog.get_logger()

STOP_REPEAT_SECONDS = 0.6
"""Time after which a stop is repeated; longer than workers take to stop a run."""


def log_run(event, worker, task, run, **fields):
    """Log an event of one run of a task."""
    logger.info(event, job=task.job, task=str(task), run=run, worker=worker, **fields)


class PoolStops:
    """Orders the stops of one controller, and throttles its filler tasks.

    ``links`` maps workers to their ``WorkerLink``s. A stalled or slow run is recorded
    in ``worker_failures`` as a failure of its worker.
    """

    def __init__(self, pool, ledger, links, worker_failures, metrics):
        self.pool = pool
        self.ledger = ledger
        self.links = links
        self.worker_failures = worker_failures
        self.metrics = metrics
        self.throttles = filler_throttle.FillerThrottles()

    def stop_unwanted(self):
        """Stop runs that their jobs no longer need, and runs not found in the log."""
        stopping = self.ledger.jobs_of(self.pool).stopping.values()
        for state in sorted(stopping, key=lambda state: state.position):
            for task_id, run, worker in job_ends.unwanted_runs(state):
                self.stop(worker, task_id, run, "job over")
        for worker_id, link in self.links.items():
            placed = self.ledger.placed.get(worker_id, {})
            for task_id, run in link.listed_runs:
                if (task_id, run) not in placed and (task_id, run) not in link.runs:
                    self.stop(worker_id, task_id, run, "unknown run")

    def stop_stalled(self):
        """Stop runs that stall or are far slower than elsewhere, to restart them."""
        now = boot_time()
        times = run_progress.fastest_step_times(self.links.values())
        for worker_id, link in self.links.items():
            restarts = run_progress.runs_to_restart(link, self.ledger, times, now)
            for task_id, run, reason in restarts:
                if (task_id, run) not in link.stops:
                    self.worker_failures.record_failure(worker_id, task_id.job, now)
                self.stop(worker_id, task_id, run, reason)

    def stop(self, worker_id, task_id, run, reason):
        """Order a stop, unless one was ordered within ``STOP_REPEAT_SECONDS``."""
        link, now = self.links.get(worker_id), boot_time()
        if (
            link is None
            or now < link.stops.get((task_id, run), 0.0) + STOP_REPEAT_SECONDS
        ):
            return
        link.stops[task_id, run] = now
        link.enqueue(StopOrder(task_id, run))
        log_run("stop ordered", worker_id, task_id, run, reason=reason)
        self.metrics.count("stops")

    def throttle_fillers(self):
        """Slow down the filler tasks beside tasks that miss their target."""
        for link in self.links.values():
            for order in self.throttles.pace_orders(link, self.ledger):
                link.enqueue(order)
