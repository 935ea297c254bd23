"""Answer the operators' command line."""

import http
import time

from azurelanding import http_server, records
from azurelanding.log_service.follower import (
    ChangeRefusedError,
    ChangeUndecidedError,
)
from azurelanding.operators import (
    audit,
    reports,
    task_api,
    task_wire,
    wave_reports,
    wire,
)
from azurelanding.rule_edits import make_edits

MAX_CHANGE_BYTES = 4 << 20
JSON_HEADERS = (("Content-Type", "application/json"),)


async def _read_status(daemon, _query):
    return reports.report_status(daemon)


async def _read_hosts(daemon, _query):
    return reports.report_hosts(daemon)


async def _read_rules(daemon, _query):
    return reports.report_rules(daemon)


async def _read_audit(daemon, query):
    include_housekeeping = query.decode(errors="replace") == wire.ALL_RECORDS_QUERY
    return await audit.read_audit(daemon.log_client, include_housekeeping)


async def _read_waves(daemon, _query):
    return wave_reports.report_waves(daemon)


READERS = {
    wire.STATUS_PATH: _read_status,
    wire.HOSTS_PATH: _read_hosts,
    wire.RULES_PATH: _read_rules,
    wire.AUDIT_PATH: _read_audit,
    wire.WAVES_PATH: _read_waves,
}


def _shorten(state, body):
    """Return a publish on the version in force as the edits that it makes."""
    if not isinstance(body, records.RulesPublished) or not state.rules_version:
        return body
    if body.base != state.rules_version:
        return body
    return records.RulesEdited(make_edits(state.rules_text, body.text), body.base)


async def _make_change(daemon, content):
    body, asked_by = wire.decode_change(content)
    body = _shorten(daemon.state, body)
    try:
        verdict = await daemon.follower.change(
            body, daemon.incarnation, asked_by, time.time()
        )
    except ChangeUndecidedError as error:
        record_id = error.record_id
        return wire.ChangeResult(
            False, reason=str(error), record=record_id, undecided=True
        )
    except ChangeRefusedError as error:
        return wire.ChangeResult(False, reason=str(error))
    return wire.ChangeResult(
        verdict.accepted,
        verdict.offset,
        verdict.reason,
        verdict.winner,
        verdict.record_id,
    )


async def _answer_change(daemon, receive):
    content = await http_server.read_body(receive, MAX_CHANGE_BYTES)
    if content is None:
        return http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {"error": "change too large"}
    try:
        return http.HTTPStatus.OK, await _make_change(daemon, content)
    except wire.ChangeFormatError as error:
        return http.HTTPStatus.BAD_REQUEST, {"error": str(error)}


async def _answer(daemon, scope, receive):
    method, path = scope["method"], scope["path"]
    if method == "POST" and path == wire.CHANGES_PATH:
        return await _answer_change(daemon, receive)
    if method == "POST" and path in task_api.CHANGE_HANDLERS:
        return await task_api.handle_change(daemon, path, receive)
    if method == "GET" and path == task_wire.TASKS_PATH:
        return await task_api.handle_query(daemon, scope["query_string"])
    reader = READERS.get(path)
    if method != "GET" or reader is None:
        return http.HTTPStatus.NOT_FOUND, {"error": f"no {method} of {path}"}
    try:
        return http.HTTPStatus.OK, await reader(daemon, scope["query_string"])
    except audit.AuditError as error:
        return http.HTTPStatus.SERVICE_UNAVAILABLE, {"error": str(error)}


def make_app(daemon):
    """Return the ASGI application that serves the operators of ``daemon``."""

    async def app(scope, receive, send):
        try:
            status, value = await _answer(daemon, scope, receive)
        except ConnectionResetError:
            return
        await http_server.send_reply(send, status, JSON_HEADERS, wire.encode(value))

    return app
