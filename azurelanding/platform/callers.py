"""Serve clients over HTTP: decode jobs, encode what became of them."""

import http
import time

import attrs
import msgspec
import structlog

from azurelanding import http_server
from azurelanding.job_service import Acceptance, StateUnknownError
from azurelanding.jobs import Job, Step
from azurelanding.platform.workers import decode_resources

logger = structlog.get_logger()

MOST_TASKS = 100_000
"""Tasks of a job over all occurrences; hundreds of times the largest ones seen."""
ID_LENGTH = 16
ID_DIGITS = frozenset("0123456789abcdef")
MS = 1000.0
JSON_HEADERS = (("Content-Type", "application/json"),)
STATUS_OF = {
    Acceptance.ACCEPTED: http.HTTPStatus.OK,
    Acceptance.REFUSED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Acceptance.UNKNOWN: http.HTTPStatus.GATEWAY_TIMEOUT,
    Acceptance.NO_JOB: http.HTTPStatus.GONE,
}


class JobFormatError(ValueError):
    """A submission can't be read."""


def _decode_step(values, number):
    after = tuple(values.get("after", ()))
    if not all(isinstance(n, int) and 0 <= n < number for n in after):
        raise JobFormatError(f"step {number} is after {after}")
    return Step(
        count=int(values["count"]),
        need=decode_resources(values),
        estimate=values.get("estimatedMs", 0) / MS,
        after=after,
        gang=bool(values.get("gang", False)),
        same_rack=bool(values.get("sameRack", False)),
        label=values.get("requirements", ""),
        rack=values.get("affinity", ""),
        per_worker=values.get("antiAffinity", 0),
        speculative=bool(values.get("speculative", False)),
        long_running=bool(values.get("longRunning", False)),
        checkpoints=bool(values.get("checkpointing", False)),
        image=values.get("image", ""),
        tail_target=values.get("targetMs", 0) / MS,
        fills=bool(values.get("fills", False)),
        may_miss=values.get("mayMiss", 0),
    )


def _check_size(job):
    counts = [step.count for step in job.steps]
    if min(counts, default=1) < 1 or sum(counts) * job.occurrences > MOST_TASKS:
        raise JobFormatError(f"steps of {counts} tasks, {job.occurrences} times")


def decode_job(job_id, queue, body, now):
    """Return the ``Job`` in the body of a submission to ``queue``.

    Raises ``JobFormatError`` when it can't be read.
    """
    try:
        values = msgspec.json.decode(body)
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
            first_due=values.get("startAtMs", 0) / MS if repeats else 0.0,
            interval=values.get("intervalMs", 0) / MS,
            max_attempts=queue.max_attempts,
            priority=queue.priority,
            stretch=queue.stretch,
            target_duration=queue.target_duration,
        )
        _check_size(job)
        # Reading it back finds fields of other types, which no daemon could read.
        return msgspec.json.decode(msgspec.json.encode(job), type=Job)
    except JobFormatError:
        raise
    except (
        msgspec.DecodeError,
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
    ) as error:
        raise JobFormatError(f"the job can't be read: {error!r}") from error


async def _reply(send, status, value=None, headers=()):
    body = b"" if value is None else msgspec.json.encode(value)
    await http_server.send_reply(send, status, (*JSON_HEADERS, *headers), body)


def _headers(scope):
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def _patience(headers, queue, settings):
    """Return how many seconds a client waits for its answer at most."""
    try:
        stated = float(headers.get("x-request-deadline", "inf")) / MS
    except ValueError:
        stated = float("inf")
    route = queue.timeout or float("inf")
    return min(stated, route, settings.max_timeout) * settings.timeout_share


@attrs.frozen
class Front:
    """What a request is answered with.

    ``find_queue(host, path)`` returns the queue of a request, or ``None``, and
    raises ``LookupError`` while no configuration is known. ``limits`` bound how
    long an answer may take and say when to return after a refusal.
    """

    service: object
    find_queue: object
    limits: object

    def come_back(self, acceptance):
        """Return the headers of an answer, which say when to come back."""
        if acceptance is not Acceptance.REFUSED:
            return ()
        return (("Retry-After", str(self.limits.retry_after)),)


async def _submit(front, queue, job_id, scope, receive, send):
    body = await http_server.read_body(receive, front.limits.max_body)
    if body is None:
        await _reply(send, http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        return
    try:
        job = decode_job(job_id, queue, body, time.time())
    except JobFormatError as error:
        logger.info("submission unreadable", job=job_id, reason=str(error))
        await _reply(send, http.HTTPStatus.BAD_REQUEST, {"error": str(error)})
        return
    patience = _patience(_headers(scope), queue, front.limits)
    acceptance = await front.service.submit(job, patience)
    headers = front.come_back(acceptance)
    await _reply(send, STATUS_OF[acceptance], {}, headers)


async def _cancel(front, queue, job_id, scope, receive, send):
    patience = _patience(_headers(scope), queue, front.limits)
    acceptance = await front.service.cancel(queue, job_id, patience)
    headers = front.come_back(acceptance)
    await _reply(send, STATUS_OF[acceptance], {}, headers)


async def _tell(front, queue, job_id, scope, receive, send):
    try:
        phase = await front.service.phase(queue, job_id)
    except StateUnknownError as error:
        logger.info("state unknown", job=job_id, reason=str(error))
        headers = front.come_back(Acceptance.REFUSED)
        await _reply(send, http.HTTPStatus.SERVICE_UNAVAILABLE, {}, headers)
        return
    if phase is None:
        logger.info("no such job", job=job_id, queue=queue.name)
        await _reply(send, http.HTTPStatus.GONE)
        return
    await _reply(send, http.HTTPStatus.OK, {"state": phase.value})


HANDLERS = {"POST": _submit, "GET": _tell, "DELETE": _cancel}


async def _serve(front, scope, receive, send):
    host = _headers(scope).get("host", "").partition(":")[0]
    try:
        queue = front.find_queue(host, scope["path"])
    except LookupError:
        headers = front.come_back(Acceptance.REFUSED)
        await _reply(send, http.HTTPStatus.SERVICE_UNAVAILABLE, {}, headers)
        return
    if queue is None:
        await _reply(send, http.HTTPStatus.NOT_FOUND)
        return
    job_id = scope["path"][len(queue.path_prefix) :]
    handler = HANDLERS.get(scope["method"])
    if handler is None:
        await _reply(send, http.HTTPStatus.METHOD_NOT_ALLOWED)
    elif not job_id and handler is _tell:
        pending = front.service.pending(queue)
        await _reply(send, http.HTTPStatus.OK, {"pending": pending})
    elif len(job_id) != ID_LENGTH or not ID_DIGITS.issuperset(job_id):
        await _reply(send, http.HTTPStatus.NOT_FOUND)
    else:
        await handler(front, queue, job_id, scope, receive, send)


def make_app(service, find_queue, limits):
    """Return the ASGI application that serves clients, as ``Front`` says."""
    front = Front(service, find_queue, limits)

    async def app(scope, receive, send):
        try:
            await _serve(front, scope, receive, send)
        except ConnectionResetError:
            logger.info("caller left before the end of its request")

    return app


def make_readiness_app(is_ready):
    """Return the ASGI application that tells whether this daemon is ready."""

    async def app(scope, receive, send):
        ready = is_ready()
        status = http.HTTPStatus.OK if ready else http.HTTPStatus.SERVICE_UNAVAILABLE
        await _reply(send, status)

    return app


def make_metrics_app(metrics, content_type):
    """Return the ASGI application that serves the daemon's metrics as text."""

    async def app(scope, receive, send):
        headers = (("Content-Type", content_type),)
        await http_server.send_reply(send, http.HTTPStatus.OK, headers, metrics.text())

    return app
