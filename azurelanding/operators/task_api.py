"""Serve the part of the operators' API that submits, cancels and reports tasks."""

import http
import re
import time
import urllib.parse

import anyio

from azurelanding import http_server, rules_parser, task_records
from azurelanding.log_service.client import LogServiceError
from azurelanding.log_service.task_stream import TasksNotRecordedError, TaskStream
from azurelanding.operators import task_reports, task_wire, wire
from azurelanding.tasks import new_tasks, pool_of

MAX_REQUEST_BYTES = 4 << 20
MAX_TASKS = 5_000
TASKS_PER_RECORD = 1_000
LOG_TIMEOUT_SECONDS = 5.0
KEY_PATTERN = re.compile(r"[A-Za-z0-9-]{1,64}")


class TasksRefusedError(Exception):
    """The request can't be carried out; the message says why."""


class TasksUndecidedError(TasksRefusedError):
    """It is not known whether the change was recorded; it may still take effect."""


async def _append(daemon, pool, bodies, asked_by):
    """Append a record for each of ``bodies`` to the pool's stream.

    Raises ``TasksUndecidedError`` if the log service doesn't answer in time and
    ``TasksRefusedError`` if a record is not appended.
    """
    stream = TaskStream.from_config(pool, daemon.settings.log_service)
    try:
        for body in bodies:
            record = task_records.new_record(
                body, daemon.incarnation, asked_by, time.time()
            )
            with anyio.fail_after(LOG_TIMEOUT_SECONDS):
                await stream.append(record)
    except TimeoutError:
        text = "the log service did not answer; the change may still take effect"
        raise TasksUndecidedError(text) from None
    except TasksNotRecordedError as error:
        raise TasksRefusedError(str(error)) from error
    finally:
        with anyio.CancelScope(shield=True):
            await stream.close()


def _require_known(name, known, what):
    if name not in known:
        hint = rules_parser.suggest(name, known)
        raise TasksRefusedError(f"there is no {what} {name}{hint}")


async def _submit(daemon, request):
    rule_set = daemon.state.rules
    _require_known(request.job, rule_set.jobs, "job")
    _require_known(request.team, rule_set.teams, "team")
    if not 0 < request.count <= MAX_TASKS:
        raise TasksRefusedError(f"count must be from 1 to {MAX_TASKS}")
    if not KEY_PATTERN.fullmatch(request.key):
        raise TasksRefusedError("a key has only letters, digits and dashes")
    rule = rule_set.jobs[request.job]
    tasks = new_tasks(
        rule, request.team, request.count, request.key, time.time(), request.deadline
    )
    bodies = [
        task_records.TasksSubmitted(tasks[first : first + TASKS_PER_RECORD])
        for first in range(0, len(tasks), TASKS_PER_RECORD)
    ]
    await _append(daemon, rule.pool, bodies, request.asked_by)
    return task_wire.TaskChangeResult(True, tuple(task.id for task in tasks))


def _pools_of_jobs(rule_set, job):
    """Return the names of the pools of ``job``, or of all jobs if it is empty."""
    return {rule.pool for rule in rule_set.jobs.values() if job in ("", rule.name)}


def _require_task(task_id, rule_set):
    if pool_of(task_id) not in rule_set.pools:
        raise TasksRefusedError(f"there is no task {task_id}")


def _group_by_pool(task_ids, rule_set):
    pools = {}
    for task_id in task_ids:
        _require_task(task_id, rule_set)
        pools.setdefault(pool_of(task_id), []).append(task_id)
    return pools


async def _cancel(daemon, request):
    rule_set = daemon.state.rules
    if request.job:
        _require_known(request.job, rule_set.jobs, "job")
    if request.team:
        _require_known(request.team, rule_set.teams, "team")
    for pool, task_ids in _group_by_pool(request.tasks, rule_set).items():
        body = task_records.TasksCancelled(tuple(task_ids))
        await _append(daemon, pool, [body], request.asked_by)
    if request.job or request.team:
        body = task_records.TasksCancelled((), request.job, request.team)
        for pool in sorted(_pools_of_jobs(rule_set, request.job)):
            await _append(daemon, pool, [body], request.asked_by)
    return task_wire.TaskChangeResult(True, request.tasks)


async def _release(daemon, request):
    for pool, task_ids in _group_by_pool(request.tasks, daemon.state.rules).items():
        body = task_records.TasksReleased(tuple(task_ids))
        await _append(daemon, pool, [body], request.asked_by)
    return task_wire.TaskChangeResult(True, request.tasks)


CHANGE_HANDLERS = {
    task_wire.SUBMIT_PATH: (task_wire.SubmitRequest, _submit),
    task_wire.CANCEL_PATH: (task_wire.CancelRequest, _cancel),
    task_wire.RELEASE_PATH: (task_wire.ReleaseRequest, _release),
}


async def handle_change(daemon, path, receive):
    """Apply the change of tasks in a request; return the HTTP status and the reply."""
    content = await http_server.read_body(receive, MAX_REQUEST_BYTES)
    if content is None:
        return http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {"error": "too many tasks"}
    request_type, change = CHANGE_HANDLERS[path]
    try:
        request = wire.decode(content, request_type)
        return http.HTTPStatus.OK, await change(daemon, request)
    except wire.MessageFormatError as error:
        return http.HTTPStatus.BAD_REQUEST, {"error": str(error)}
    except TasksRefusedError as error:
        undecided = isinstance(error, TasksUndecidedError)
        return http.HTTPStatus.OK, task_wire.TaskChangeResult(
            False, reason=str(error), undecided=undecided
        )


async def _read_tasks(daemon, pool):
    """Return the tasks of a pool that this daemon doesn't control, from the log."""
    stream = TaskStream.from_config(pool, daemon.settings.log_service)
    try:
        with anyio.fail_after(LOG_TIMEOUT_SECONDS):
            await stream.catch_up()
        return stream.tasks
    except (LogServiceError, TimeoutError) as error:
        raise TasksRefusedError(f"the tasks can't be read: {error}") from error
    finally:
        with anyio.CancelScope(shield=True):
            await stream.close()


async def handle_query(daemon, query):
    """Return the HTTP status and the report that answer a query about tasks."""
    parameters = urllib.parse.parse_qs(query.decode())
    task_id = parameters.get("task", [""])[0]
    pool = parameters.get("pool", [pool_of(task_id)])[0]
    try:
        if task_id:
            _require_task(task_id, daemon.state.rules)
        _require_known(pool, daemon.state.rules.pools, "pool")
        placer = daemon.placers().get(pool)
        tasks = placer.tasks if placer else await _read_tasks(daemon, pool)
    except TasksRefusedError as error:
        return http.HTTPStatus.SERVICE_UNAVAILABLE, {"error": str(error)}
    lease = daemon.state.leases.get(pool)
    controller = lease.holder if lease else ""
    if not task_id:
        report = task_reports.report_tasks(pool, tasks, controller, placer)
        return http.HTTPStatus.OK, report
    blocked = placer.blocked if placer else None
    report = task_reports.report_task(tasks, blocked, controller, task_id)
    if report is None:
        return http.HTTPStatus.NOT_FOUND, {"error": f"there is no task {task_id}"}
    return http.HTTPStatus.OK, report
