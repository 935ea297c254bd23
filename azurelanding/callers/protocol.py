"""HTTP protocol for callers with limits on the size and time of request heads."""

import http
import uuid

from azurelanding import bounded_http
from azurelanding.bounded_http import BoundedProtocol
from azurelanding.callers import wire
from azurelanding.http_server import KEEP_ALIVE_SECONDS
from azurelanding.requests import Outcome
from azurelanding.server_load import HttpLimits, ServerLoad

DESCRIPTORS_SHARE = 0.4
"""Share of the descriptors that callers' connections may have."""


def encode_error(status, reason, detail):
    """Encode a complete reply that refuses a request and closes the connection."""
    request_id = uuid.uuid4().hex
    body = wire.encode_problem(status, reason, detail, request_id)
    headers = (
        *wire.outcome_headers(Outcome.NOT_RUN, request_id),
        ("Content-Type", wire.PROBLEM_TYPE),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    )
    lines = [f"HTTP/1.1 {int(status)} {http.HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class CallerConnection:
    """The connection of a caller, shared with the application.

    ``request_scope`` is the cancel scope of the request that runs for the caller; it is
    cancelled when the caller disconnects, which sets ``disconnected``.
    """

    def __init__(self):
        self.request_scope = None
        self.disconnected = False

    def on_disconnect(self):
        """Cancel the request of a caller that has disconnected."""
        self.disconnected = True
        if self.request_scope is not None:
            self.request_scope.cancel()


DETAILS = {
    "header-too-large": "the headers are larger than {0.max_header} bytes",
    "header-too-slow": "the headers did not end within {0.header_timeout} s",
    "bad-framing": "Invalid HTTP request received.",
}


class CallerProtocol(BoundedProtocol):
    """Protocol of one connection that tells each refused caller the outcome.

    A request head gets 431 when it exceeds ``max_header`` bytes, 408 when it does not
    end within ``header_timeout`` seconds, and 400 when it is not HTTP. Such a request
    was not run, and each reply states that.
    """

    def connection_made(self, transport):
        """Begin a connection that the application can watch."""
        self.caller = CallerConnection()
        super().connection_made(transport)

    def connection_lost(self, exc):
        """Cancel the caller's request."""
        super().connection_lost(exc)
        self.caller.on_disconnect()

    def on_message_begin(self):
        """Share the connection with the application."""
        super().on_message_begin()
        self.scope["state"]["caller"] = self.caller

    def encode_refusal(self, status, reason):
        """Encode a complete reply with a problem details body."""
        detail = DETAILS.get(reason, reason).format(self.find_limits())
        return encode_error(status, reason, detail)


def make_protocol(settings, metrics):
    """Return a protocol class for ``HttpServer`` that enforces ``settings``.

    The application limits the time of a body.
    """
    limits = HttpLimits(
        max_header=settings.max_header,
        header_timeout=settings.header_timeout,
        request_timeout=None,
        idle_timeout=KEEP_ALIVE_SECONDS,
    )
    load = ServerLoad.from_process(metrics, DESCRIPTORS_SHARE)
    return bounded_http.make_protocol(lambda: limits, load, CallerProtocol)
