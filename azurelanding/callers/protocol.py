"""HTTP protocol for callers with limits on the size and time of request heads."""

import http
import uuid

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from azurelanding.callers import wire
from azurelanding.requests import Outcome
from azurelanding.settings import CallersSettings


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


class BoundedProtocol(HttpToolsProtocol):
    """Protocol of one connection that enforces ``limits``.

    A request head gets 431 as soon as it exceeds ``max_header`` bytes, 408 when it
    does not end within ``header_timeout`` seconds, and 400 when it is not HTTP. Such a
    request was not run, and each reply states that.
    """

    limits = CallersSettings()
    head_size = 0
    head_timer = None

    def connection_made(self, transport):
        """Start the timer of the first request head."""
        super().connection_made(transport)
        self.caller = CallerConnection()
        self._start_head()

    def connection_lost(self, exc):
        """Stop the head timer and cancel the caller's request."""
        self._end_head()
        super().connection_lost(exc)
        self.caller.on_disconnect()

    def on_message_begin(self):
        """Start the timer of a request head."""
        super().on_message_begin()
        self.scope["state"]["caller"] = self.caller
        self._start_head()

    def on_headers_complete(self):
        """Stop the timer of a complete request head."""
        self._end_head()
        super().on_headers_complete()

    def data_received(self, data):
        """Parse ``data``; refuse a request head that is over the limit."""
        super().data_received(data)
        if self.head_timer is None:
            return
        self.head_size += len(data)
        if self.head_size > self.limits.max_header:
            self._refuse(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                "header-too-large",
                f"the headers are larger than {self.limits.max_header} bytes",
            )

    def send_400_response(self, msg):
        """Refuse data that is not an HTTP request."""
        self._refuse(http.HTTPStatus.BAD_REQUEST, "bad-framing", msg)

    def _start_head(self):
        self._end_head()
        self.head_timer = self.loop.call_later(
            self.limits.header_timeout, self._refuse_slow_head
        )

    def _end_head(self):
        self.head_size = 0
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _refuse_slow_head(self):
        self._refuse(
            http.HTTPStatus.REQUEST_TIMEOUT,
            "header-too-slow",
            f"the headers did not end within {self.limits.header_timeout} s",
        )

    def _refuse(self, status, reason, detail):
        self._end_head()
        if not self.transport.is_closing():
            self.transport.write(encode_error(status, reason, detail))
            self.transport.close()


def make_protocol(settings):
    """Return a protocol class for ``HttpServer`` that enforces ``settings``."""
    return type("CallerProtocol", (BoundedProtocol,), {"limits": settings})
