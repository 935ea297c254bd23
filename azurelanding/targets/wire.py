"""Encode requests to executors and decode their answers over HTTP.

A request is sent to ``/run/SERVICE/PATH`` with the id of the attempt in
``Azurelanding-Request-Id``, and the answer must carry the same id. Each attempt has
its own id, so that an answer to an earlier attempt, such as a refusal, is never
taken for the answer to a later one. An executor that did not run a request answers
with status 503 and ``Azurelanding-Outcome: not-run``.
"""

import http

import httpcore

from azurelanding.requests import (
    Answer,
    Outcome,
    RefusalReason,
    refuse,
)

REQUEST_ID_HEADER = b"azurelanding-request-id"
OUTCOME_HEADER = b"azurelanding-outcome"
RETRY_AFTER_SECONDS = 1.0
OWN_HEADERS = frozenset((REQUEST_ID_HEADER, OUTCOME_HEADER, b"host", b"content-length"))
BODILESS_STATUSES = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)


class AnswerError(Exception):
    """An answer may be incomplete or belongs to another request."""


def attempt_id(request, attempt):
    """Return the id that is sent to the target for attempt number ``attempt``.

    >>> attempt_id(request, 1), attempt_id(request, 2)
    ('a2f8', 'a2f8.2')
    """
    return request.id if attempt <= 1 else f"{request.id}.{attempt}"


def encode_request(request, attempt, address, origin):
    """Return the ``httpcore.Request`` that carries ``request`` to an executor.

    Headers of the caller with a name in ``OWN_HEADERS`` are dropped, because the
    exchange relies on its own values of these.
    """
    headers = [
        (b"Host", address.encode()),
        (b"Azurelanding-Request-Id", attempt_id(request, attempt).encode()),
    ]
    pairs = (
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in request.headers
    )
    headers += [pair for pair in pairs if pair[0].lower() not in OWN_HEADERS]
    if request.body:
        headers.append((b"Content-Length", str(len(request.body)).encode()))
    target = f"/run/{request.service}{request.path}".encode("latin-1")
    url = httpcore.URL(
        scheme=b"http", host=origin.host, port=origin.port, target=target
    )
    return httpcore.Request(
        request.method.encode(), url, headers=headers, content=request.body
    )


def _check_framing(request, target_name, response, headers):
    """Raise ``AnswerError`` if a truncated body would go unnoticed."""
    if response.status < http.HTTPStatus.OK:
        raise AnswerError(
            f"{target_name} answered with interim status {response.status}"
        )
    bodiless = request.method == "HEAD" or response.status in BODILESS_STATUSES
    framed = b"content-length" in headers or b"transfer-encoding" in headers
    if not bodiless and not framed:
        raise AnswerError(
            f"{target_name} sent no content length and no transfer encoding"
        )


def decode_answer(request, attempt, target_name, response):
    """Return the ``Answer`` in ``response`` to attempt number ``attempt``.

    Raises ``AnswerError`` when the response belongs to another request, or when its
    framing doesn't show whether the body is complete.
    """
    headers = {name.lower(): value for name, value in response.headers}
    ids = [v for name, v in response.headers if name.lower() == REQUEST_ID_HEADER]
    sent_id = attempt_id(request, attempt)
    if ids != [sent_id.encode()]:
        raise AnswerError(
            f"{target_name} sent an answer to another request than {sent_id}"
        )
    _check_framing(request, target_name, response, headers)
    refused = headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN.value.encode()
    if refused and response.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return refuse(RefusalReason.TARGET_REFUSED, RETRY_AFTER_SECONDS, target_name)
    pairs = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers
        if name.lower() not in (REQUEST_ID_HEADER, OUTCOME_HEADER, b"date")
    )
    return Answer(
        Outcome.RAN, response.status, pairs, response.content, target=target_name
    )
