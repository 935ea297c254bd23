"""Names and encoding of the HTTP messages exchanged with callers."""

import http
import math

import msgspec

from azurelanding.requests import Outcome

OUTCOME_HEADER = "Azurelanding-Outcome"
REQUEST_ID_HEADER = "Azurelanding-Request-Id"
TEAM_HEADER = "azurelanding-team"
TIMEOUT_HEADER = "azurelanding-timeout"
KEY_HEADER = "idempotency-key"
KEY_ISSUED_HEADER = "idempotency-key-issued"
SERVICES_PREFIX = "/services/"
HEALTH_PATH = "/health"
PROBLEM_TYPE = "application/problem+json"
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
RESERVED_HEADERS = frozenset((OUTCOME_HEADER.lower(), REQUEST_ID_HEADER.lower()))


def split_path(path):
    """Split a path ``/services/NAME/PATH`` into the service and the path below it.

    The service is empty when the path has another form.

    >>> split_path("/services/cut-list/today")
    ('cut-list', '/today')
    """
    if not path.startswith(SERVICES_PREFIX):
        return "", path
    service, slash, subpath = path[len(SERVICES_PREFIX) :].partition("/")
    return service, slash + subpath


def end_to_end_headers(headers):
    """Return ``headers`` without hop-by-hop ones and those that every reply sets.

    Headers that ``Connection`` names are hop-by-hop too (RFC 9110, 7.6.1).
    """
    connection_options = {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | RESERVED_HEADERS | connection_options
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


def encode_problem(status, reason, detail, request_id):
    """Encode a problem details body (RFC 9457)."""
    return msgspec.json.encode(
        {
            "type": f"urn:azurelanding:{reason}",
            "title": reason,
            "status": status,
            "detail": detail,
            "request_id": request_id,
        }
    )


def outcome_headers(outcome, request_id):
    """Return the headers of every reply."""
    return ((OUTCOME_HEADER, outcome.value), (REQUEST_ID_HEADER, request_id))


def _explain_outcome(answer):
    """Return a text that explains the outcome of a request without an answer."""
    if answer.outcome is Outcome.UNKNOWN:
        return "The request may have run; its answer did not arrive whole."
    if answer.status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return "The request was not run and will not be as it stands."
    return "The request was not run; it may be sent again."


def encode_answer(answer, request_id):
    """Encode ``answer`` into the headers and body of a reply."""
    headers = outcome_headers(answer.outcome, request_id)
    if answer.outcome is Outcome.RAN:
        return headers + end_to_end_headers(answer.headers), answer.body
    reason = answer.reason.value if answer.reason else answer.outcome.value
    headers += (("Content-Type", PROBLEM_TYPE),)
    if answer.retry_after is not None:
        seconds = max(1, math.ceil(answer.retry_after))
        headers += (("Retry-After", str(seconds)),)
    return headers, encode_problem(
        answer.status, reason, _explain_outcome(answer), request_id
    )
