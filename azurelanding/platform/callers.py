"""HTTP API for callers: submit and cancel jobs, and read their state."""

import http
import math
import time
import typing

import attrs
import msgspec
import structlog

from azurelanding import http_server
from azurelanding.access import Access
from azurelanding.decoding import (
    Count,
    DurationMs,
    PositiveCount,
    Text,
    TimeMs,
    make_json_decoder,
    message_type,
)
from azurelanding.job_service import Acceptance, StateUnknownError
from azurelanding.jobs import MAX_TASKS_PER_JOB, Job, Step
from azurelanding.platform.workers import CAPACITY_FIELDS, decode_resources

logger = structlog.get_logger()

MAX_STEPS = 1000
"""Longest list of steps, and of steps that one comes after; hundreds of times the
largest jobs seen."""
MAX_SPEC_CHARACTERS = 4000
JOB_ID_LENGTH = 16
JOB_ID_DIGITS = frozenset("0123456789abcdef")
MS_PER_SECOND = 1000.0
KEY_SCHEME = "token"
READ_HEADERS = frozenset((b"host", b"authorization", b"x-request-deadline"))
"""Names of the headers that a request is decided by; others are not kept."""
JSON_HEADERS = (("Content-Type", "application/json"),)
STATUS_BY_ACCEPTANCE = {
    Acceptance.ACCEPTED: http.HTTPStatus.OK,
    Acceptance.REFUSED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Acceptance.UNKNOWN: http.HTTPStatus.GATEWAY_TIMEOUT,
    Acceptance.NO_JOB: http.HTTPStatus.GONE,
}


class JobFormatError(ValueError):
    """The body of a submission is not a valid job."""


Estimate = typing.NotRequired[DurationMs]
Flag = typing.NotRequired[bool]
Label = typing.NotRequired[Text]
After = typing.Annotated[list[Count], msgspec.Meta(max_length=MAX_STEPS)]
StepMessage = message_type(
    "StepMessage",
    {
        **CAPACITY_FIELDS,
        "count": PositiveCount,
        "estimatedMs": Estimate,
        "after": typing.NotRequired[After],
        "gang": Flag,
        "sameRack": Flag,
        "requirements": Label,
        "affinity": Label,
        "antiAffinity": typing.NotRequired[Count],
        "speculative": Flag,
        "longRunning": Flag,
        "checkpointing": Flag,
        "image": Label,
        "targetMs": Estimate,
        "fills": Flag,
        "mayMiss": typing.NotRequired[Count],
    },
)
JobMessage = message_type(
    "JobMessage",
    {
        "spec": typing.Annotated[str, msgspec.Meta(max_length=MAX_SPEC_CHARACTERS)],
        "steps": typing.Annotated[
            list[StepMessage], msgspec.Meta(max_length=MAX_STEPS)
        ],
        "repeatCount": typing.NotRequired[Count],
        "startAtMs": typing.NotRequired[TimeMs],
        "intervalMs": Estimate,
    },
)
_decode_job_message = make_json_decoder(JobMessage, JobFormatError)


def _decode_step(values, number):
    after = tuple(sorted(set(values.get("after", ()))))
    if any(earlier >= number for earlier in after):
        raise JobFormatError(f"step {number} is after one that isn't earlier")
    return Step(
        count=values["count"],
        need=decode_resources(values),
        estimate=values.get("estimatedMs", 0) / MS_PER_SECOND,
        after=after,
        gang=values.get("gang", False),
        same_rack=values.get("sameRack", False),
        label=values.get("requirements", ""),
        rack=values.get("affinity", ""),
        per_worker=values.get("antiAffinity", 0),
        speculative=values.get("speculative", False),
        long_running=values.get("longRunning", False),
        checkpoints=values.get("checkpointing", False),
        image=values.get("image", ""),
        tail_target=values.get("targetMs", 0) / MS_PER_SECOND,
        fills=values.get("fills", False),
        may_miss=values.get("mayMiss", 0),
    )


def decode_job(job_id, queue, body, now, account=""):
    """Decode the body of a submission to ``queue`` into a ``Job`` of ``account``.

    ``now`` is the submission time in seconds since the epoch. Raises
    ``JobFormatError`` when the body is not a valid job.
    """
    values = _decode_job_message(body)
    steps = tuple(_decode_step(s, n) for n, s in enumerate(values["steps"]))
    repeats = values.get("repeatCount", 0)
    job = Job(
        id=job_id,
        queue=queue.name,
        pool=queue.pool,
        spec=values["spec"],
        steps=steps,
        submitted_at=now,
        occurrences=max(1, repeats),
        first_due=values.get("startAtMs", 0) / MS_PER_SECOND if repeats else 0.0,
        interval=values.get("intervalMs", 0) / MS_PER_SECOND,
        max_attempts=queue.max_attempts,
        priority=queue.priority,
        stretch=queue.stretch,
        target_duration=queue.target_duration,
        account=account,
    )
    if max(job.task_count, job.occurrences) > MAX_TASKS_PER_JOB:
        raise JobFormatError(
            f"{job.task_count} tasks in {job.occurrences} occurrences, "
            f"at most {MAX_TASKS_PER_JOB}"
        )
    return job


async def _reply(send, status, value=None, headers=()):
    body = b"" if value is None else msgspec.json.encode(value)
    await http_server.send_reply(send, status, (*JSON_HEADERS, *headers), body)


def _decode_headers(scope):
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def _answer_timeout(headers, queue, limits):
    """Return the time in seconds within which a request must be answered.

    This is ``timeout_share`` of the shortest of the caller's timeout, the queue's
    timeout and ``max_timeout``.
    """
    try:
        caller_timeout = float(headers.get("x-request-deadline", "inf")) / MS_PER_SECOND
    except ValueError:
        caller_timeout = math.inf
    if math.isnan(caller_timeout):
        caller_timeout = math.inf
    queue_timeout = queue.timeout or float("inf")
    return min(caller_timeout, queue_timeout, limits.max_timeout) * limits.timeout_share


@attrs.frozen
class CallerRequest:
    """A request whose queue is known: its head, and the access that its key gives."""

    queue: object
    job_id: str
    method: str
    headers: dict[str, str]
    key: str | None
    account: str


@attrs.frozen
class HandlerContext:
    """What the request handlers share: the job service, lookups and limits.

    ``find_queue(host, path)`` returns the queue of a request, or ``None``, and
    raises ``LookupError`` until a configuration has been read. ``check_key(queue,
    key)`` returns the ``Grant`` of a request, and ``is_confirmed(queue)`` whether the
    daemon still knows which keys are valid. ``limits`` are the ``CallerLimits``.
    """

    service: object
    find_queue: object
    check_key: object
    is_confirmed: object
    limits: object

    def retry_headers(self, acceptance):
        """Return a ``Retry-After`` header for a refused request, otherwise none."""
        if acceptance is not Acceptance.REFUSED:
            return ()
        return (("Retry-After", str(self.limits.retry_after)),)

    def answer_timeout(self, request):
        """Return the time in seconds within which ``request`` must be answered."""
        return _answer_timeout(request.headers, request.queue, self.limits)


def _decode_key(headers):
    """Return the key in the head of a request, ``None`` without one."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == KEY_SCHEME else None


async def _reply_refused(context, send):
    headers = context.retry_headers(Acceptance.REFUSED)
    await _reply(send, http.HTTPStatus.SERVICE_UNAVAILABLE, {}, headers)


async def _may_go_on(context, queue, key, send):
    """Return the ``Grant`` of a request, or answer it and return ``None``."""
    grant = context.check_key(queue, key)
    if grant.access is Access.GRANTED:
        return grant
    logger.info(
        "request without access refused",
        queue=queue.name,
        account=grant.account or None,
        reason=grant.access.value,
    )
    if grant.access is Access.UNKNOWN_KEY:
        await _reply(send, http.HTTPStatus.UNAUTHORIZED)
    else:
        await _reply_refused(context, send)
    return None


async def _submit(context, request, receive, send):
    body = await http_server.read_body(receive, context.limits.max_body)
    if body is None:
        await _reply(send, http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        return
    # A key may have been withdrawn while the body arrived.
    if await _may_go_on(context, request.queue, request.key, send) is None:
        return
    try:
        job = decode_job(
            request.job_id, request.queue, body, time.time(), request.account
        )
    except JobFormatError as error:
        logger.info("invalid submission refused", job=request.job_id, reason=str(error))
        await _reply(send, http.HTTPStatus.BAD_REQUEST, {"error": str(error)})
        return
    acceptance = await context.service.submit(job, context.answer_timeout(request))
    await _reply_acceptance(context, request, acceptance, send)


async def _reply_acceptance(context, request, acceptance, send):
    """Answer a submission or a cancellation.

    One that succeeded while the daemon lost sight of the valid keys may have an effect,
    but isn't confirmed: its caller asks again.
    """
    if acceptance is Acceptance.ACCEPTED and not context.is_confirmed(request.queue):
        logger.info("success not confirmed", job=request.job_id, method=request.method)
        acceptance = Acceptance.UNKNOWN
    headers = context.retry_headers(acceptance)
    await _reply(send, STATUS_BY_ACCEPTANCE[acceptance], {}, headers)


async def _cancel(context, request, receive, send):
    acceptance = await context.service.cancel(
        request.queue, request.job_id, context.answer_timeout(request), request.account
    )
    await _reply_acceptance(context, request, acceptance, send)


async def _reply_value(context, request, value, send):
    """Answer a question, unless the daemon has lost sight of the valid keys."""
    if context.is_confirmed(request.queue):
        await _reply(send, http.HTTPStatus.OK, value)
    else:
        logger.info("answer not confirmed", queue=request.queue.name)
        await _reply_refused(context, send)


async def _get_state(context, request, receive, send):
    if not request.job_id:
        pending = await context.service.pending(request.queue)
        await _reply_value(context, request, {"pending": pending}, send)
        return
    try:
        phase = await context.service.phase(
            request.queue,
            request.job_id,
            context.answer_timeout(request),
            request.account,
        )
    except StateUnknownError as error:
        logger.info("job state unknown", job=request.job_id, reason=str(error))
        await _reply_refused(context, send)
        return
    if phase is None:
        logger.info(
            "unknown job requested", job=request.job_id, queue=request.queue.name
        )
        await _reply(send, http.HTTPStatus.GONE)
        return
    await _reply_value(context, request, {"state": phase.value}, send)


HANDLERS = {"POST": _submit, "GET": _get_state, "DELETE": _cancel}


async def _serve(context, scope, receive, send):
    headers = _decode_headers(scope)
    host = headers.get("host", "").partition(":")[0]
    try:
        queue = context.find_queue(host, scope["path"])
    except LookupError:
        await _reply_refused(context, send)
        return
    if queue is None:
        await _reply(send, http.HTTPStatus.NOT_FOUND)
        return
    key = _decode_key(headers)
    grant = await _may_go_on(context, queue, key, send)
    if grant is None:
        return
    job_id = scope["path"][len(queue.path_prefix) :]
    handler = HANDLERS.get(scope["method"])
    is_job_id = len(job_id) == JOB_ID_LENGTH and JOB_ID_DIGITS.issuperset(job_id)
    request = CallerRequest(queue, job_id, scope["method"], headers, key, grant.account)
    if handler is None:
        await _reply(send, http.HTTPStatus.METHOD_NOT_ALLOWED)
    elif is_job_id or (not job_id and handler is _get_state):
        await handler(context, request, receive, send)
    else:
        await _reply(send, http.HTTPStatus.NOT_FOUND)


def make_app(context):
    """Return the ASGI application for callers; ``context`` is a ``HandlerContext``."""

    async def app(scope, receive, send):
        try:
            await _serve(context, scope, receive, send)
        except ConnectionResetError:
            logger.info("caller disconnected before its request was complete")
        except Exception:
            # Whether the request has had an effect is not known, which 504 says.
            logger.exception("request failed", path=scope["path"])
            await _reply(send, http.HTTPStatus.GATEWAY_TIMEOUT)

    return app


def make_readiness_app(is_ready):
    """Return the ASGI application of the readiness check."""

    async def app(scope, receive, send):
        ready = is_ready()
        status = http.HTTPStatus.OK if ready else http.HTTPStatus.SERVICE_UNAVAILABLE
        await _reply(send, status)

    return app


def make_metrics_app(metrics, content_type):
    """Return the ASGI application that serves the daemon's metrics."""

    async def app(scope, receive, send):
        headers = (("Content-Type", content_type),)
        await http_server.send_reply(send, http.HTTPStatus.OK, headers, metrics.text())

    return app
