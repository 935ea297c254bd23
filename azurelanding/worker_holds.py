"""Make the ``hold`` calls of a ``WorkerLink``: extend its lease and read its reports.

Two connections with a task each make the calls. The first one repeats a long poll that
returns a report when a run ends. While its answer is overdue, the second one makes the
calls, and whichever answer comes first is used.
"""

import anyio
import structlog

from azurelanding.run_progress import RunProgress
from azurelanding.utils import boot_time
from azurelanding.worker_calls import (
    WorkerEndedError,
    WorkerNoResponseError,
    WorkerRefusedError,
)
from azurelanding.worker_link import (
    HOLD_WAIT_SECONDS,
    RETRY_DELAY_SECONDS,
    round_seconds,
)

logger = structlog.get_logger()

UNCONFIRMED_HOLD_WAIT_SECONDS = HOLD_WAIT_SECONDS / 2
"""Longest wait of a ``hold`` call without a membership: the permission to extend leases
then needs reports that were requested lately."""


async def follow(link):
    """Extend the lease and read the reports until the worker has ended."""
    while not (link.has_ended or link.is_fenced):
        wait = _next_wait(link)
        link.overdue_at = boot_time() + wait + link.overdue_delay.seconds
        await hold(link, link.hold_client, wait)
        link.overdue_at = None
        await _until_ends_recorded(link)
    link.controller.notify()


async def follow_while_overdue(link):
    """Make the calls while the answer on the first connection is overdue."""
    while not (link.has_ended or link.is_fenced):
        now, overdue_at = boot_time(), link.overdue_at
        if overdue_at is None or now < overdue_at:
            seconds = link.overdue_delay.seconds
            await anyio.sleep(seconds if overdue_at is None else overdue_at - now)
            continue
        if link.last_report_at is None or link.last_report_at < overdue_at:
            _record_no_response(link, "the answer to hold is overdue")
        await hold(link, link.backup_client, _next_wait(link))
        await _until_ends_recorded(link)
    link.controller.notify()


async def _until_ends_recorded(link):
    """Wait for new ends to be recorded, as the next call would return them again.

    The wait is bounded, because the next call also extends the lease.
    """
    if link.ends:
        with anyio.move_on_after(HOLD_WAIT_SECONDS):
            await link.ends_recorded.wait_until(lambda: not link.ends)


def _next_wait(link):
    """Return how long the next ``hold`` call may wait at the worker, in seconds."""
    if link.clock is None or link.last_hold_failed or link.ends:
        return 0.0
    if link.controller.permission.member.is_valid:
        return HOLD_WAIT_SECONDS
    return UNCONFIRMED_HOLD_WAIT_SECONDS


async def hold(link, client, wait):
    """Make one ``hold`` call and apply its report or its error."""
    link.extend_leased_until()
    sent_at = boot_time()
    try:
        last_seen = 0 if link.may_have_restarted else link.acknowledged
        with link.watched("hold", wait):
            report = await client.hold(last_seen, link.lease_end(), wait)
    except WorkerNoResponseError as error:
        link.may_have_restarted = True
        if link.last_report_at is None or link.last_report_at < sent_at:
            _record_no_response(link, str(error))
        link.overdue_delay.record_no_answer(link.overdue_delay.seconds)
        await anyio.sleep(RETRY_DELAY_SECONDS)
    except WorkerEndedError as error:
        link.mark_ended(str(error))
    except WorkerRefusedError as error:
        link.handle_refusal(error)
        await anyio.sleep(RETRY_DELAY_SECONDS)
    else:
        delay = boot_time() - sent_at - wait
        if delay >= 0.0:
            link.overdue_delay.record_answer(delay)
        if not _is_outdated(link, report, sent_at):
            apply_report(link, report, sent_at)


def _is_outdated(link, report, sent_at):
    """Return whether a report was overtaken by one on the other connection.

    The start of a later incarnation may seem earlier, as a host's clock may jump.
    """
    if link.clock is None:
        return False
    if report.born != link.born:
        return sent_at < link.last_report_at
    return report.clock < link.clock[0]


def _record_no_response(link, reason):
    if not link.last_hold_failed:
        now = boot_time()
        link.silent_since = link.last_report_at or now
        logger.info(
            "worker does not answer",
            worker=link.entry.id,
            reason=reason,
            leaving=link.controller.is_leaving(link.entry.id),
            unanswered=link.unanswered_calls,
            report_age=round_seconds(link.report_age(now)),
        )
    link.last_hold_failed = link.may_have_restarted = True


def _record_answer(link, report, sent_at):
    """Record who may extend leases now that the worker has answered."""
    link.controller.permission.record_report(link.entry.id, report.born, sent_at)
    link.controller.succession.record_answer(link.entry.id)
    if not link.has_answered:
        # An earlier controller may have extended the lease until now.
        link.leased_until = max(link.leased_until, boot_time() + link.longest_lease)


def apply_report(link, report, sent_at):
    """Apply a report that was requested at ``sent_at``."""
    if report.born != link.born:
        if link.born:
            logger.info("worker restarted", worker=link.entry.id, born=report.born)
        link.born, link.acknowledged, link.ends = report.born, 0, {}
    if link.last_hold_failed:
        silent = round_seconds(boot_time() - link.silent_since)
        logger.info("worker answers again", worker=link.entry.id, silent=silent)
    _record_answer(link, report, sent_at)
    link.clock = (report.clock, boot_time())
    link.last_report_at = boot_time()
    link.last_hold_failed = link.may_have_restarted = False
    link.report_count += 1
    _update_listed(link, report.runs)
    _update_progress(link)
    known = link.listed_runs.keys() | link.runs.keys()
    link.stops = {key: at for key, at in link.stops.items() if key in known}
    new_ends = [end for end in report.ends if end.number > link.acknowledged]
    ended = {(end.task, end.run) for end in new_ends}
    for key in ended:
        link.record_no_later_start(*key)
    link.ends.update((end.number, end) for end in new_ends)
    for key, counted_from in list(link.runs.items()):
        if counted_from is None or counted_from >= sent_at:
            continue
        if key in link.listed_runs:
            link.unanswered_starts.discard(key)
        elif key not in ended and report.has_all_ends:
            _record_unlisted(link, key)
    had_answered, link.has_answered = link.has_answered, True
    if new_ends or link.lost_runs or not had_answered:
        link.controller.notify()


def _update_listed(link, runs):
    """Update the listed runs; those listed for the first time have begun."""
    listed_before = link.listed_runs.keys()
    link.listed_runs = {(run.task, run.run): run for run in runs}
    for task_id, run in link.listed_runs.keys() - listed_before:
        link.controller.record_begin(task_id, run)


def _record_unlisted(link, key):
    """Record a run as lost, once the worker can't start it any more.

    A worker that restarted since it listed the run may still carry out a start.
    """
    if key not in link.unanswered_starts:
        link.lost_runs.append(key)
    elif key not in link.stops:
        link.stops[key] = boot_time()
        link.stop_before_others(*key)


def _update_progress(link):
    """Update each run's progress, and since when it works without a break."""
    since, now = link.working_since, boot_time()
    for key in link.progress.keys() - link.listed_runs.keys():
        del link.progress[key]
    for key, run in link.listed_runs.items():
        if key not in link.progress:
            link.progress[key] = RunProgress.begin(run.work_share, now)
        link.progress[key].update(run.work_share, now)
    link.working_since = {
        key: since.get(key, now)
        for key, run in link.listed_runs.items()
        if run.work_share >= 1.0
    }
