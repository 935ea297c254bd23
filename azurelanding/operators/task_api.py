"""Answer operators who submit, cancel and ask after tasks."""

import http
import re
import time
import urllib.parse

import anyio
import msgspec

from azurelanding import http_server, rules_parser, task_records
from azurelanding.log_service.client import LogServiceError
from azurelanding.log_service.task_stream import TasksNotRecordedError, TaskStream
from azurelanding.operators import task_reports, task_wire
from azurelanding.tasks import new_tasks, pool_of

MAX_ASKED_BYTES = 4 << 20
MAX_TASKS = 5_000
TASKS_PER_RECORD = 1_000
SETTLE_SECONDS = 5.0
KEY = re.compile(r"[A-Za-z0-9-]{1,64}")


class TasksRefusedError(Exception):
    """What was asked can't be done; the message says why."""


class TasksUndecidedError(TasksRefusedError):
    """What was asked may still take effect."""


async def _append(daemon, pool, bodies, asked_by):
    """Append ``bodies`` to the pool's stream; raise if that is not sure."""
    stream = TaskStream.from_config(pool, daemon.settings.log_service)
    try:
        for body in bodies:
            record = task_records.new_record(
                body, daemon.incarnation, asked_by, time.time()
            )
            with anyio.fail_after(SETTLE_SECONDS):
                await stream.append(record)
    except TimeoutError:
        text = "the log service did not answer; the change may still take effect"
        raise TasksUndecidedError(text) from None
    except TasksNotRecordedError as error:
        raise TasksRefusedError(str(error)) from error
    finally:
        with anyio.CancelScope(shield=True):
            await stream.close()


def _check_known(name, known, what):
    if name not in known:
        hint = rules_parser.suggest(name, known)
        raise TasksRefusedError(f"there is no {what} {name}{hint}")


async def _submit(daemon, asked):
    rule_set = daemon.state.rules
    _check_known(asked.job, rule_set.jobs, "job")
    _check_known(asked.team, rule_set.teams, "team")
    if not 0 < asked.count <= MAX_TASKS:
        raise TasksRefusedError(f"count must be from 1 to {MAX_TASKS}")
    if not KEY.fullmatch(asked.key):
        raise TasksRefusedError("a key has only letters, digits and dashes")
    rule = rule_set.jobs[asked.job]
    tasks = new_tasks(
        rule, asked.team, asked.count, asked.key, time.time(), asked.deadline
    )
    bodies = [
        task_records.TasksSubmitted(tasks[first : first + TASKS_PER_RECORD])
        for first in range(0, len(tasks), TASKS_PER_RECORD)
    ]
    await _append(daemon, rule.pool, bodies, asked.asked_by)
    return task_wire.TaskChangeResult(True, tuple(task.id for task in tasks))


def _pools_of_jobs(rule_set, job):
    return {rule.pool for rule in rule_set.jobs.values() if job in ("", rule.name)}


def _check_task(task_id, rule_set):
    if pool_of(task_id) not in rule_set.pools:
        raise TasksRefusedError(f"there is no task {task_id}")


def _by_pool(names, rule_set):
    pools = {}
    for name in names:
        _check_task(name, rule_set)
        pools.setdefault(pool_of(name), []).append(name)
    return pools


async def _cancel(daemon, asked):
    rule_set = daemon.state.rules
    if asked.job:
        _check_known(asked.job, rule_set.jobs, "job")
    if asked.team:
        _check_known(asked.team, rule_set.teams, "team")
    for pool, names in _by_pool(asked.tasks, rule_set).items():
        body = task_records.TasksCancelled(tuple(names))
        await _append(daemon, pool, [body], asked.asked_by)
    if asked.job or asked.team:
        body = task_records.TasksCancelled((), asked.job, asked.team)
        for pool in sorted(_pools_of_jobs(rule_set, asked.job)):
            await _append(daemon, pool, [body], asked.asked_by)
    return task_wire.TaskChangeResult(True, asked.tasks)


async def _release(daemon, asked):
    for pool, names in _by_pool(asked.tasks, daemon.state.rules).items():
        body = task_records.TasksReleased(tuple(names))
        await _append(daemon, pool, [body], asked.asked_by)
    return task_wire.TaskChangeResult(True, asked.tasks)


CHANGE_HANDLERS = {
    task_wire.SUBMIT_PATH: (task_wire.SubmitRequest, _submit),
    task_wire.CANCEL_PATH: (task_wire.CancelRequest, _cancel),
    task_wire.RELEASE_PATH: (task_wire.ReleaseRequest, _release),
}


async def handle_change(daemon, path, receive):
    """Return the status and the value that answer a change of tasks."""
    content = await http_server.read_body(receive, MAX_ASKED_BYTES)
    if content is None:
        return http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {"error": "too many tasks"}
    asked_type, change = CHANGE_HANDLERS[path]
    try:
        asked = msgspec.json.decode(content, type=asked_type)
        return http.HTTPStatus.OK, await change(daemon, asked)
    except msgspec.DecodeError as error:
        return http.HTTPStatus.BAD_REQUEST, {"error": str(error)}
    except TasksRefusedError as error:
        undecided = isinstance(error, TasksUndecidedError)
        return http.HTTPStatus.OK, task_wire.TaskChangeResult(
            False, reason=str(error), undecided=undecided
        )


async def _read_tasks(daemon, pool):
    """Return the pool's tasks from the log, for a daemon that does not control it."""
    stream = TaskStream.from_config(pool, daemon.settings.log_service)
    try:
        with anyio.fail_after(SETTLE_SECONDS):
            await stream.catch_up()
        return stream.tasks
    except (LogServiceError, TimeoutError) as error:
        raise TasksRefusedError(f"the tasks can't be read: {error}") from error
    finally:
        with anyio.CancelScope(shield=True):
            await stream.close()


async def handle_query(daemon, query):
    """Return the status and the value that answer a question about tasks."""
    asked = urllib.parse.parse_qs(query.decode())
    task_id = asked.get("task", [""])[0]
    pool = asked.get("pool", [pool_of(task_id)])[0]
    try:
        if task_id:
            _check_task(task_id, daemon.state.rules)
        _check_known(pool, daemon.state.rules.pools, "pool")
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
