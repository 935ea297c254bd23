"""Bound what one connection of a caller may send before its request is whole."""

import http
import uuid

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from azurelanding.callers import wire
from azurelanding.requests import Outcome
from azurelanding.settings import CallersSettings


def encode_error(status, reason, detail):
    """Return the bytes of a whole reply that refuses a request and closes."""
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


class Caller:
    """The caller at the other end of one connection.

    ``request_scope`` is the scope of the request that runs for it, which is cancelled when
    the caller leaves.
    """

    def __init__(self):
        self.request_scope = None
        self.disconnected = False

    def leave(self):
        """Stop the work for a caller that has left."""
        self.disconnected = True
        if self.request_scope is not None:
            self.request_scope.cancel()


class BoundedProtocol(HttpToolsProtocol):
    """One connection of a caller, kept to the limits in ``limits``.

    A request head over ``max_header`` bytes gets 431 as soon as it is, one that
    does not end within ``header_timeout`` seconds gets 408, and one that is no
    HTTP gets 400. Nothing of such a request has run, and each reply says so.
    """

    limits = CallersSettings()
    head_size = 0
    head_timer = None

    def connection_made(self, transport):
        """Wait for the first request head."""
        super().connection_made(transport)
        self.caller = Caller()
        self._await_head()

    def connection_lost(self, exc):
        """Stop waiting, and the work for the caller."""
        self._end_head()
        super().connection_lost(exc)
        self.caller.leave()

    def on_message_begin(self):
        """Begin a request head."""
        super().on_message_begin()
        self.scope["state"]["caller"] = self.caller
        self._await_head()

    def on_headers_complete(self):
        """End a request head."""
        self._end_head()
        super().on_headers_complete()

    def data_received(self, data):
        """Take ``data`` from the caller unless its head is over the limit."""
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
        """Refuse what is no HTTP request."""
        self._refuse(http.HTTPStatus.BAD_REQUEST, "bad-framing", msg)

    def _await_head(self):
        self._end_head()
        self.head_timer = self.loop.call_later(
            self.limits.header_timeout, self._refuse_slow
        )

    def _end_head(self):
        self.head_size = 0
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _refuse_slow(self):
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
    """Return a protocol class for ``HttpServer`` that keeps to ``settings``."""
    return type("CallerProtocol", (BoundedProtocol,), {"limits": settings})
