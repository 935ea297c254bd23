"""Serve callers: validate a request, run it and reply with its outcome."""

import http
import urllib.parse
import uuid

import anyio
import attrs
import structlog

from azurelanding import http_server
from azurelanding.callers import wire
from azurelanding.requests import Outcome, RefusalReason, Request

logger = structlog.get_logger()

MAX_KEY_LENGTH = 200


class InvalidRequestError(Exception):
    """A request is invalid and was not run.

    ``status`` is the HTTP status of the reply, ``reason`` a fixed name for programs,
    and ``detail`` describes the error to people.
    """

    def __init__(self, status, reason, detail):
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


@attrs.define
class CallersState:
    """State that the callers' application shares with its daemon.

    While ``stopping``, the health check fails; requests are still served, and their
    connections are closed afterwards. ``in_flight`` counts the requests in progress.
    """

    stopping: bool = False
    in_flight: int = 0


def _bad_request(reason, detail):
    return InvalidRequestError(http.HTTPStatus.BAD_REQUEST, reason, detail)


def _decode_headers(scope, settings):
    size = sum(len(name) + len(value) for name, value in scope["headers"])
    if size > settings.max_header:
        raise InvalidRequestError(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "header-too-large",
            f"the headers have {size} bytes, more than {settings.max_header}",
        )
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    )


def _check_path(path):
    """Refuse dot segments: an executor could resolve them to another service."""
    segments = urllib.parse.unquote(path).split("/")
    if "." in segments or ".." in segments:
        raise _bad_request("bad-path", "the path has dot segments")


def _read_timeout(headers, rule):
    text = headers.get(wire.TIMEOUT_HEADER)
    if text is None:
        return rule.deadline
    try:
        timeout = float(text)
    except ValueError:
        timeout = 0.0
    if not 0.0 < timeout < float("inf"):
        raise _bad_request(
            "bad-timeout", f"{wire.TIMEOUT_HEADER} must be seconds above 0"
        )
    return min(timeout, rule.deadline)


def _read_key(headers, rule):
    key = headers.get(wire.KEY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        raise _bad_request(
            "bad-key", f"{wire.KEY_HEADER} must have 1 to {MAX_KEY_LENGTH} characters"
        )
    if key is None and rule.keyed:
        raise _bad_request(
            RefusalReason.KEY_REQUIRED.value,
            f"service {rule.name} takes only requests with an {wire.KEY_HEADER}",
        )
    return key


def _read_issue_time(headers):
    """Return when the idempotency key was issued, or ``None`` if not stated.

    The time is in seconds since the epoch.
    """
    text = headers.get(wire.KEY_ISSUED_HEADER)
    if text is None:
        return None
    try:
        issued_at = float(text)
    except ValueError:
        issued_at = -1.0
    if not 0.0 <= issued_at < float("inf"):
        raise InvalidRequestError(
            http.HTTPStatus.BAD_REQUEST,
            "bad-key-issued",
            f"{wire.KEY_ISSUED_HEADER} must be seconds since the epoch",
        )
    return issued_at


async def _read_body(receive, rule, settings):
    try:
        with anyio.fail_after(settings.body_timeout):
            body = await http_server.read_body(receive, rule.max_body)
    except TimeoutError:
        raise InvalidRequestError(
            http.HTTPStatus.REQUEST_TIMEOUT,
            "body-too-slow",
            f"the body did not end within {settings.body_timeout} s",
        ) from None
    if body is None:
        raise InvalidRequestError(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            "body-too-large",
            f"service {rule.name} takes bodies up to {rule.max_body} bytes",
        )
    return body


def _find_rule(service, rule_set):
    rule = rule_set.services.get(service)
    if rule is None:
        raise InvalidRequestError(
            http.HTTPStatus.NOT_FOUND,
            "unknown-service",
            f"there is no service {service!r}; paths are /services/NAME/…",
        )
    return rule


async def _read_request(scope, receive, request_id, rule_set, settings):
    """Return the request and the rule of its service.

    Raises ``InvalidRequestError`` when the request is invalid.
    """
    received_at = anyio.current_time()
    header_pairs = _decode_headers(scope, settings)
    headers = dict(header_pairs)
    service, subpath = wire.split_path(scope["raw_path"].decode("latin-1"))
    _check_path(subpath)
    rule = _find_rule(service, rule_set)
    timeout = _read_timeout(headers, rule)
    key = _read_key(headers, rule)
    body = await _read_body(receive, rule, settings)
    query = scope["query_string"].decode("latin-1")
    request = Request(
        id=request_id,
        service=service,
        team=headers.get(wire.TEAM_HEADER, ""),
        method=scope["method"],
        path=f"{subpath or '/'}?{query}" if query else subpath or "/",
        headers=wire.end_to_end_headers(header_pairs),
        body=body,
        received_at=received_at,
        deadline=received_at + timeout,
        key=key,
        key_issued_at=_read_issue_time(headers),
    )
    return request, rule


async def _send_error(send, error, request_id):
    headers = wire.outcome_headers(Outcome.NOT_RUN, request_id)
    headers += (("Content-Type", wire.PROBLEM_TYPE), ("Connection", "close"))
    body = wire.encode_problem(error.status, error.reason, error.detail, request_id)
    await http_server.send_reply(send, error.status, headers, body)


async def _send_health(send, stopping):
    status = http.HTTPStatus.SERVICE_UNAVAILABLE if stopping else http.HTTPStatus.OK
    body = b"stopping\n" if stopping else b"ok\n"
    await http_server.send_reply(send, status, (("Content-Type", "text/plain"),), body)


def _record_answer(metrics, request, rule, answer):
    elapsed = anyio.current_time() - request.received_at
    name = f"{request.service}.{rule.urgency.value}.{answer.outcome.value}"
    metrics.count(f"requests.{name}")
    metrics.timing(f"latency.{name}", elapsed)
    if answer.reason is not None:
        metrics.count(f"refused.{request.service}.{answer.reason.value}")
    logger.info(
        "request answered",
        request=request.id,
        service=request.service,
        team=request.team,
        outcome=answer.outcome.value,
        status=answer.status,
        target=answer.target,
        reason=answer.reason.value if answer.reason else None,
        seconds=round(elapsed, 4),
    )


async def _run_while_connected(caller, run, request, rule):
    """Return the answer of ``run``, cancelled when the caller disconnects.

    Raises ``ConnectionResetError`` in that case.
    """
    answer = None
    if not caller.disconnected:
        with anyio.CancelScope() as caller.request_scope:
            answer = await run(request, rule)
        caller.request_scope = None
    if answer is None:
        raise ConnectionResetError("the caller disconnected before its answer")
    return answer


def make_app(state, settings, current_rules, run, metrics):
    """Return the ASGI application for callers.

    ``current_rules()`` returns the current ``RuleSet``, and ``run(request, rule)``
    the ``Answer`` to a request. Serve the application with a protocol of
    ``callers.protocol.make_protocol``, which reports callers that disconnect.
    """

    async def serve(scope, receive, send, request_id):
        try:
            request, rule = await _read_request(
                scope, receive, request_id, current_rules(), settings
            )
        except InvalidRequestError as error:
            await _send_error(send, error, request_id)
            metrics.count(f"rejected.{error.reason}")
            return
        answer = await _run_while_connected(
            scope["state"]["caller"], run, request, rule
        )
        headers, body = wire.encode_answer(answer, request_id)
        if state.stopping:
            headers += (("Connection", "close"),)
        await http_server.send_reply(send, answer.status, headers, body)
        _record_answer(metrics, request, rule, answer)

    async def app(scope, receive, send):
        if scope["path"] == wire.HEALTH_PATH:
            await _send_health(send, state.stopping)
            return
        state.in_flight += 1
        try:
            await serve(scope, receive, send, uuid.uuid4().hex)
        except ConnectionResetError:
            logger.info("caller disconnected before its reply")
        finally:
            state.in_flight -= 1

    return app
