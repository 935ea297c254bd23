"""Order workers to stop or to slow down what runs, for a pool's controller."""

import structlog

from azurelanding import filler_throttle, job_ends, run_progress
from azurelanding.utils import boot_time
from azurelanding.worker_calls import StopOrder

logger = structlog.get_logger()

STOP_SECONDS = 0.6
"""Time after which a stop is ordered again; over the time that workers take for one."""


def log_run(event, worker, task, run, **facts):
    """Log a decision on one run of a task."""
    logger.info(event, job=task.job, task=str(task), run=run, worker=worker, **facts)


class PoolStops:
    """The stops of one controller, and the pace of what fills its workers.

    ``links`` maps workers to their ``WorkerLink``s, ``healths`` learns of workers on
    which runs get nowhere.
    """

    def __init__(self, pool, ledger, links, healths, metrics):
        self.pool = pool
        self.ledger = ledger
        self.links = links
        self.healths = healths
        self.metrics = metrics
        self.levels = filler_throttle.Levels()

    def stop_unwanted(self):
        """Stop the runs of jobs that are over, and those that the log does not know."""
        for state in list(self.ledger.active.values()):
            if state.job.pool != self.pool:
                continue
            for task_id, run, worker in job_ends.unwanted_runs(state):
                self.stop(worker, task_id, run, "job over")
        for worker_id, link in self.links.items():
            placed = self.ledger.placed.get(worker_id, {})
            for task_id, run in link.listed:
                if (task_id, run) not in placed and (task_id, run) not in link.runs:
                    self.stop(worker_id, task_id, run, "unknown run")

    def stop_stuck(self):
        """Stop runs that stand still or are far slower than others."""
        now = boot_time()
        times = run_progress.step_times(self.links.values())
        for worker_id, link in self.links.items():
            moves = run_progress.runs_to_move(link, self.ledger, times, now)
            for task_id, run, reason in moves:
                if (task_id, run) not in link.stops:
                    self.healths.record_failure(worker_id, task_id.job, now)
                self.stop(worker_id, task_id, run, reason)

    def stop(self, worker_id, task_id, run, reason):
        """Order a stop, and again if the run is still listed a while later."""
        link, now = self.links.get(worker_id), boot_time()
        if link is None or now < link.stops.get((task_id, run), 0.0) + STOP_SECONDS:
            return
        link.stops[task_id, run] = now
        link.order(StopOrder(task_id, run))
        log_run("stop ordered", worker_id, task_id, run, reason=reason)
        self.metrics.count("stops")

    def level(self):
        """Slow down what fills beside tasks that miss their target."""
        for link in self.links.values():
            for order in self.levels.orders(link, self.ledger):
                link.order(order)
