"""Free the runs of a pool that are certainly no longer in progress.

Their tasks may then start elsewhere. A run is lost when its worker no longer lists it
or has ended, when its lease has expired, and when its start was refused or never sent.
"""

import functools
import itertools
import time

from azurelanding import job_ends, missing_workers
from azurelanding.job_draft import MAX_CHANGES_PER_KIND_COUNT
from azurelanding.ledger import WorkersMissing
from azurelanding.pool_stops import log_run
from azurelanding.utils import boot_time
from azurelanding.worker_calls import Refusal
from azurelanding.worker_link import round_seconds

FULL_WORKER_BACKOFF_SECONDS = 0.4
"""How long a worker gets no starts after it refused one for lack of free capacity."""
TASK_BACKOFF_SECONDS = 0.5
"""How long a task is not placed again after a refused start."""


def free_lost_runs(controller, draft, with_ends_left):
    """Free the runs that are certainly no longer in progress.

    Those on workers in ``with_ends_left`` wait: such a run may have been done.
    """
    now, ended = boot_time(), controller.daemon.fleet.ended()
    _mark_ended_workers(controller, now, ended)
    lost_runs = itertools.chain(
        _lost_runs(controller, draft, with_ends_left, now),
        _lost_runs_of_missing(controller, draft, now, ended),
    )
    count = 0
    for free in itertools.islice(lost_runs, MAX_CHANGES_PER_KIND_COUNT):
        free()
        count += 1
    draft.is_cut = draft.is_cut or count == MAX_CHANGES_PER_KIND_COUNT


def _mark_ended_workers(controller, now, ended):
    for worker_id, link in controller.links.items():
        signs = _signs_of_end(controller, worker_id, ended)
        may_have_ended = any(signs) and not link.has_ended
        if may_have_ended and link.has_fallen_silent(signs, now):
            link.mark_ended("its host was ordered or runs a later one")


def _lost_runs(controller, draft, with_ends_left, now):
    """Yield for each lost run on a linked worker the function that frees it."""
    for worker_id, link in list(controller.links.items()):
        if worker_id in with_ends_left:
            continue
        while link.not_started:
            (task, run), refusal = link.not_started.pop(0)
            yield functools.partial(
                _record_refusal, controller, draft, link, task, run, refusal
            )
        while link.lost_runs:
            task, run = link.lost_runs.pop(0)
            reason = "not listed by its worker"
            yield functools.partial(_free, draft, link, task, run, reason)
        if link.has_ended or link.is_lease_over(now):
            reason = "worker gone" if link.has_ended else "lease over"
            for task, run in list(controller.ledger.placed.get(worker_id, ())):
                yield functools.partial(_free, draft, link, task, run, reason)


def _signs_of_end(controller, worker_id, ended):
    """Return two signs that a worker has ended, each as a truth value.

    They are an order to its host, and a later incarnation of the host.
    """
    is_later_known = controller.daemon.registry.has_later_incarnation(worker_id)
    return worker_id in ended, is_later_known


def _lost_runs_of_missing(controller, draft, now, ended):
    """Yield a function that frees it for each run on a worker without an entry.

    Its lease must have expired. The time from which a worker is missing is stored,
    so that a takeover does not wait for a full lease again, once no earlier controller
    can extend the lease. A link to such a worker is only made after the record no
    longer names it, because the link extends the lease.
    """
    succession = controller.pool_links.succession
    registered = controller.pool_links.registered
    runs = missing_workers.runs_by_missing_worker(
        controller.ledger, controller.pool, controller.links, registered
    )
    recorded = controller.ledger.missing.get(controller.pool, {})
    wall_time = time.time()
    missing = {name: recorded.get(name, wall_time) for name in sorted(runs)}
    if missing != recorded and succession.is_sole(now):
        draft.add(WorkersMissing(controller.pool, missing))
    lease = controller.daemon.site.timing.longest_lease
    for name in missing:
        is_expired = missing_workers.is_lease_expired(
            recorded.get(name), succession.extensions_end_at(), lease, now, wall_time
        )
        if is_expired or any(_signs_of_end(controller, name, ended)):
            for task, run in runs[name]:
                yield functools.partial(_free_missing, draft, name, task, run)


def _free_missing(draft, worker_id, task, run):
    job_ends.record_lost_run(draft, task, run)
    log_run("run freed", worker_id, task, run, reason="no worker")


def _free(draft, link, task, run, reason):
    job_ends.record_lost_run(draft, task, run)
    fields = {
        "reason": reason,
        "report_age": round_seconds(link.report_age(boot_time())),
        "start_answered": link.runs.get((task, run)) is not None,
    }
    link.drop_run((task, run))
    if not link.has_ended:
        # An unanswered start may still be carried out.
        link.stop_before_others(task, run)
    log_run("run freed", link.entry.id, task, run, **fields)


def _record_refusal(controller, draft, link, task, run, refusal):
    now = boot_time()
    job_ends.record_unstarted_run(draft, task, run)
    link.drop_run((task, run))
    controller.task_backoffs[task] = now + TASK_BACKOFF_SECONDS
    if refusal is Refusal.NO_ROOM:
        link.no_starts_until = max(
            link.no_starts_until, now + FULL_WORKER_BACKOFF_SECONDS
        )
        controller.task_backoffs.pop(task)
    if refusal is Refusal.NO_TICKET:
        controller.permits.drop_permit(task, link.entry.id)
    controller.metrics.count(f"start_refused_{refusal.value if refusal else 'none'}")
    reason = refusal.value if refusal else None
    log_run("start refused", link.entry.id, task, run, reason=reason)
