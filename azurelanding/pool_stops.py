"""Order workers to stop runs or to slow them down, for a pool's controller."""

import structlog

from azurelanding import filler_throttle, job_ends
from azurelanding.run_progress import RestartWatch
from azurelanding.utils import boot_time
from azurelanding.worker_calls import StopOrder

logger = structlog.get_logger()

MAX_STOPS_PER_PASS_COUNT = 250
"""Limit on the stops that one pass orders, which takes the time of the event loop."""
STOP_REPEAT_SECONDS = 0.6
"""Time after which a stop is repeated; longer than workers take to stop a run."""


def log_run(event, worker, task, run, **fields):
    """Log an event of one run of a task."""
    logger.info(event, job=task.job, task=str(task), run=run, worker=worker, **fields)


class PoolStops:
    """Orders the stops of one controller, and throttles its filler tasks.

    ``links`` maps workers to their ``WorkerLink``s. A stalled or slow run is recorded
    in ``worker_failures`` as a failure of its worker. ``compared`` tells by worker
    which report and version of the log listed the same runs.
    """

    def __init__(self, pool, ledger, links, worker_failures, metrics):
        self.pool = pool
        self.ledger = ledger
        self.links = links
        self.worker_failures = worker_failures
        self.metrics = metrics
        self.throttles = filler_throttle.FillerThrottles()
        self.restart_watch = RestartWatch()
        self.compared = {}

    def stop_unwanted(self):
        """Stop runs that their jobs no longer need, and runs not found in the log.

        Returns whether there are more of them than one pass stops.
        """
        count = 0
        stopping = self.ledger.jobs_of(self.pool).stopping.values()
        for state in sorted(stopping, key=lambda state: state.position):
            for task_id, run, worker in job_ends.unwanted_runs(state):
                count += self.stop(worker, task_id, run, "job over")
                if count >= MAX_STOPS_PER_PASS_COUNT:
                    return True
        self._stop_unknown()
        return False

    def _stop_unknown(self):
        """Stop runs not found in the log, on workers where something has changed."""
        for worker_id in self.compared.keys() - self.links.keys():
            del self.compared[worker_id]
        for worker_id, link in self.links.items():
            version = self.ledger.placed_versions.get(worker_id)
            compared = link, link.report_count, version
            if self.compared.get(worker_id) == compared:
                continue
            placed = self.ledger.placed.get(worker_id, {})
            for task_id, run in link.listed_runs:
                if (task_id, run) not in placed and (task_id, run) not in link.runs:
                    self.stop(worker_id, task_id, run, "unknown run")
                    compared = None
            self.compared[worker_id] = compared

    def stop_stalled(self):
        """Stop runs that stall or are far slower than elsewhere, to restart them."""
        now = boot_time()
        restarts = self.restart_watch.runs_to_restart(self.links, self.ledger, now)
        for worker_id, task_id, run, reason in restarts:
            if (task_id, run) not in self.links[worker_id].stops:
                self.worker_failures.record_failure(worker_id, task_id.job, now)
            self.stop(worker_id, task_id, run, reason)

    def stop(self, worker_id, task_id, run, reason):
        """Order a stop, unless one was ordered within ``STOP_REPEAT_SECONDS``.

        Returns whether it was ordered.
        """
        link, now = self.links.get(worker_id), boot_time()
        if (
            link is None
            or now < link.stops.get((task_id, run), 0.0) + STOP_REPEAT_SECONDS
        ):
            return False
        link.stops[task_id, run] = now
        link.enqueue(StopOrder(task_id, run))
        log_run("stop ordered", worker_id, task_id, run, reason=reason)
        self.metrics.count("stops")
        return True

    def throttle_fillers(self):
        """Slow down the filler tasks beside tasks that miss their target."""
        for link in self.links.values():
            for order in self.throttles.pace_orders(link, self.ledger):
                link.enqueue(order)
