"""The operators' commands for tasks: submit, tasks, cancel, release.

Each command exits with one of the codes of ``ExitCode``.
"""

import getpass
import urllib.parse
import uuid

from azurelanding import units
from azurelanding.operators import task_wire
from azurelanding.operators.command_line import (
    DEFAULT_DAEMON,
    CommandError,
    ExitCode,
    call_daemon,
    print_json,
)

REPEAT_HINT = "it may be repeated without harm"


def _change(daemon, path, request, hint):
    """Request a change of tasks; raise ``CommandError`` if it is not recorded.

    ``hint`` is added to the error if it is not known whether it was recorded.
    """
    changed = call_daemon(
        daemon,
        lambda client: client.ask(path, task_wire.TaskChangeResult, request),
        hint,
    )
    if changed.undecided:
        raise CommandError(ExitCode.UNDECIDED, f"{changed.reason}; {hint}")
    if not changed.recorded:
        raise CommandError(ExitCode.REFUSED, f"refused: {changed.reason}")
    return changed


def submit(
    job: str,
    *,
    team: str,
    count: int = 1,
    deadline: str | None = None,
    key: str | None = None,
    by: str | None = None,
    daemon: str = DEFAULT_DAEMON,
    json: bool = False,
):
    """Submit tasks of a job and print their ids.

    Example: ``azurelanding submit cut-plan --team central-valley --count 20``

    :param job: name of the job
    :param team: name of the team whose quota they count for
    :param count: how many tasks
    :param deadline: time from now until they must be finished, such as ``10m``
    :param key: idempotency key; repeating a submission under it submits nothing twice
    :param by: who asks for it; by default the name of the user
    :param daemon: operators' address of any daemon
    :param json: print the outcome as JSON
    """
    try:
        deadline_seconds = None if deadline is None else units.read_duration(deadline)
    except units.UnitError as error:
        raise CommandError(ExitCode.BAD_USAGE, f"deadline: {error}") from error
    request = task_wire.SubmitRequest(
        job,
        team,
        count,
        by or getpass.getuser(),
        key or uuid.uuid4().hex[:12],
        deadline_seconds,
    )
    hint = f"repeat it with --key {request.key}, which submits nothing twice"
    changed = _change(daemon, task_wire.SUBMIT_PATH, request, hint)
    if json:
        print_json(changed)
    else:
        print("\n".join(changed.tasks))


def cancel(
    *tasks: str,
    job: str = "",
    team: str = "",
    by: str | None = None,
    daemon: str = DEFAULT_DAEMON,
    json: bool = False,
):
    """Cancel tasks by their ids, or all of a job, of a team or of both.

    Example: ``azurelanding cancel --job archive --team swap-desk``

    :param tasks: ids of tasks
    :param job: cancel all tasks of this job
    :param team: cancel all tasks of this team
    :param by: who asks for it; by default the name of the user
    :param daemon: operators' address of any daemon
    :param json: print the outcome as JSON
    """
    if not (tasks or job or team):
        raise CommandError(ExitCode.BAD_USAGE, "name tasks, a job or a team")
    request = task_wire.CancelRequest(by or getpass.getuser(), tasks, job, team)
    changed = _change(daemon, task_wire.CANCEL_PATH, request, REPEAT_HINT)
    print_json(changed) if json else print("cancelled")


def release(
    *tasks: str,
    by: str | None = None,
    daemon: str = DEFAULT_DAEMON,
    json: bool = False,
):
    """Return parked or lost tasks to the queue.

    A lost task may have run: if it must not run twice, release it only after you
    have made sure that it did not. Example: ``azurelanding release cuts.4f2a-0``

    :param tasks: ids of tasks
    :param by: who asks for it; by default the name of the user
    :param daemon: operators' address of any daemon
    :param json: print the outcome as JSON
    """
    if not tasks:
        raise CommandError(ExitCode.BAD_USAGE, "name the tasks to release")
    request = task_wire.ReleaseRequest(by or getpass.getuser(), tasks)
    changed = _change(daemon, task_wire.RELEASE_PATH, request, REPEAT_HINT)
    print_json(changed) if json else print("released")


def _print_task(report):
    where = f" on {report.worker}" if report.worker else ""
    print(f"{report.id}: {report.phase}{where}, attempt {report.attempt}")
    print(f"  job {report.job}, team {report.team}")
    if report.reason:
        print(f"  {report.reason}")


def _print_pool(report):
    print(f"pool {report.pool}, controlled by {report.by or 'no daemon'}")
    for line in report.lines:
        reason = f": {line.reason}" if line.reason else ""
        print(f"  {line.count:5} {line.phase:8} {line.job} of {line.team}{reason}")
        print(f"        such as {', '.join(line.examples)}")
    for worker in report.workers:
        reason = f": {worker.reason}" if worker.reason else ""
        print(f"  worker {worker.name} has {worker.tasks} tasks{reason}")


def tasks(
    pool: str = "",
    *,
    task: str = "",
    daemon: str = DEFAULT_DAEMON,
    json: bool = False,
):
    """Show the tasks of a pool, or one task, and why they wait or are parked.

    Example: ``azurelanding tasks cuts`` or ``azurelanding tasks --task cuts.4f2a-0``

    :param pool: name of a pool
    :param task: id of a task
    :param daemon: operators' address of any daemon; only the one that controls the
        pool knows why tasks wait
    :param json: print the report as JSON
    """
    if not (pool or task):
        raise CommandError(ExitCode.BAD_USAGE, "name a pool or a task")
    query = urllib.parse.urlencode({"task": task} if task else {"pool": pool})
    path = f"{task_wire.TASKS_PATH}?{query}"
    report_type = task_wire.TaskReport if task else task_wire.TasksReport
    report = call_daemon(daemon, lambda client: client.ask(path, report_type))
    if json:
        print_json(report)
    elif task:
        _print_task(report)
    else:
        _print_pool(report)


COMMANDS = (submit, tasks, cancel, release)
