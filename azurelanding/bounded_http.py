"""HTTP connections that hold a bounded amount, whatever their clients send.

``HttpLimits`` bounds one connection, ``ServerLoad`` all connections of a server; both
are in ``server_load``. What is over a limit is refused if no earlier request of its
connection is unanswered, as a refusal would be taken for the answer to that one;
otherwise the connection is closed.
"""

import collections
import http
import math

import structlog
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from azurelanding.server_load import HttpLimits

logger = structlog.get_logger()

REQUEST_BYTES = 4096
"""About what a request takes until it is answered, without its headers and its body."""
HEADER_BYTES = 400
"""About what a header takes beyond its name and value, once it is decoded too."""
HEADER_FRAMING_BYTES = 3
"""Fewest bytes that frame a header: the colon and the line break."""
BODY_COPIES = 2
"""Copies of a body while its parts are joined."""
CHUNK_OVERHEAD_FACTOR = 8
"""Longest framing for each byte of a body that is sent in chunks of a byte."""


class OverLimitError(Exception):
    """A client is over a limit; ends the parsing of what it has sent."""


class BoundedProtocol(HttpToolsProtocol):
    """One connection of a server that keeps to ``find_limits()`` and to ``load``.

    Only headers in ``kept_headers`` are kept, and the last of each; all if it is
    ``None``. ``costs`` has what each request takes that is not answered yet, in bytes,
    and ``kept_positions`` where each kept header of the current head is. While
    ``is_waiting``, the next request waits until the last answer is read.
    """

    load = None
    kept_headers = None

    @staticmethod
    def find_limits():
        """Return the ``HttpLimits`` in force."""
        return HttpLimits()

    def connection_made(self, transport):
        """Begin a connection, which may be idle before its first request, too."""
        super().connection_made(transport)
        self.head_size = self.unparsed_size = self.kept_size = 0
        self.body_size = self.framing_size = 0
        self.costs = collections.deque()
        self.kept_positions = {}
        self.in_head = self.in_message = self.is_lost = self.is_waiting = False
        self.begun = 0
        self.unread = math.inf
        self.refusal = None
        self.timer = self.write_timer = self.timed = None
        self.messages = 0
        self.limits = self.find_limits()
        self.load.admit(self)
        self._start_timer(self.limits.idle_timeout)

    def connection_lost(self, exc):
        """Stop the timers and drop the requests that have not begun."""
        self._stop_timer()
        self._stop_write_timer()
        self._release()
        super().connection_lost(exc)

    @property
    def is_unanswered(self):
        """Return whether a request of this connection is not answered yet."""
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def is_active(self):
        """Return whether a request of this connection may still be answered."""
        return self.is_unanswered and not self.transport.is_closing()

    # Parsing

    def data_received(self, data):
        """Parse ``data``, and close the connection if it is over a limit."""
        was_in_message, body_before, self.begun = self.in_message, self.body_size, 0
        super().data_received(data)
        if self.transport.is_closing():
            return
        if self.in_head and was_in_message + self.begun == 1:
            # Else a part of the piece belongs to an earlier request.
            self._check_unparsed(len(data))
        elif not (was_in_message or self.begun):
            self._check_unparsed(len(data))
            self._end_idle_later()
        elif self.in_message and not self.in_head:
            self._check_framing(len(data) - max(0, self.body_size - body_before))
        self._time_message()
        self.load.hold(self)

    def _time_message(self):
        """Time what has not arrived whole; most requests do in one piece."""
        if not self.in_message:
            if self.timed is not None:
                self.timed = None
                self._stop_timer()
            return
        timed = self.messages, self.in_head
        if timed != self.timed:
            self.timed = timed
            self._start_timer(
                self.limits.header_timeout
                if self.in_head
                else self.limits.request_timeout
            )

    def _check_unparsed(self, size):
        """Refuse a header without end, or lines before a request without end.

        The parser keeps the one to itself and drops the others, so neither is counted
        by a callback.
        """
        self.unparsed_size += size
        if self.unparsed_size > self.limits.max_header and (
            self.in_head or not self.is_active
        ):
            self._refuse(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "header-too-large"
            )

    def _end_idle_later(self):
        """Time the lines between two requests, which end the server's own timer."""
        if not self.is_active and self.timer is None:
            self._start_timer(self.limits.idle_timeout)

    def _check_framing(self, size):
        """Refuse chunks and trailers that take much more than the body itself."""
        self.framing_size += size
        allowed = CHUNK_OVERHEAD_FACTOR * self.body_size
        if self.framing_size > 2 * self.limits.max_header + allowed:
            self._refuse(http.HTTPStatus.BAD_REQUEST, "framing-too-large")

    def measure(self):
        """Return the bytes that the connection holds, with answers that aren't read."""
        requests = self.kept_size + self.unparsed_size + sum(self.costs)
        return requests + self.transport.get_write_buffer_size()

    def _release(self):
        """Drop what the connection holds; requests that have not begun never will."""
        self.is_lost = True
        self.load.forget(self)
        self.pipeline.clear()
        self.costs.clear()
        if self.is_unanswered:
            self.cycle.disconnected = True
            self.cycle.body = bytearray()

    def on_message_begin(self):
        """Begin a request head, under the limits in force now."""
        super().on_message_begin()
        self.limits = self.find_limits()
        self.timeout_keep_alive = self.limits.idle_timeout
        self.messages += 1
        if self.timed is None:
            self._stop_timer()
        self.head_size = self.unparsed_size = self.kept_size = 0
        self.body_size = self.framing_size = 0
        self.kept_positions = {}
        self.in_head = self.in_message = True
        self.begun += 1

    def _count_head(self, size):
        self.head_size += size
        if self.head_size > self.limits.max_header:
            self.refusal = (
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                "header-too-large" if self.in_head else "trailers-too-large",
            )
            raise OverLimitError

    def on_url(self, url):
        """Take a part of the target of a request."""
        self._count_head(len(url))
        self.kept_size += len(url)
        super().on_url(url)

    def on_header(self, name, value):
        """Take a header; a trailer counts against the limit and is left out."""
        self._count_head(len(name) + len(value) + HEADER_FRAMING_BYTES)
        if not self.in_head:
            return
        if self.kept_headers is None:
            super().on_header(name, value)
        elif name.lower() in self.kept_headers:
            super().on_header(name, value)
            self._replace_earlier(name.lower())
        else:
            return
        self.kept_size += len(name) + len(value) + HEADER_BYTES

    def _replace_earlier(self, name):
        position = self.kept_positions.setdefault(name, len(self.headers) - 1)
        if position < len(self.headers) - 1:
            self.headers[position] = self.headers.pop()

    def on_headers_complete(self):
        """Begin the request, unless too many wait for earlier answers."""
        self.in_head = False
        self.costs.append(REQUEST_BYTES + self.kept_size)
        self.head_size = self.unparsed_size = self.kept_size = 0
        self.load.hold(self)
        if self.is_lost:
            raise OverLimitError
        super().on_headers_complete()
        if len(self.pipeline) > self.limits.max_pipelined:
            self.refusal = (
                http.HTTPStatus.TOO_MANY_REQUESTS,
                "too-many-requests-ahead",
            )
            raise OverLimitError

    def on_body(self, body):
        """Take a part of a body."""
        self.body_size += len(body)
        if not self.cycle.response_complete:
            self.costs[-1] += BODY_COPIES * len(body)
        super().on_body(body)

    def on_message_complete(self):
        """Note that a request has arrived."""
        self.in_message = False
        super().on_message_complete()

    def on_response_complete(self):
        """Release what the answered request held, and go on with the next one.

        None begins while its client leaves earlier answers unread.
        """
        if self.costs:
            self.costs.popleft()
        self.load.touch(self)
        self.is_waiting = self.flow.write_paused and not self.transport.is_closing()
        if not self.is_waiting:
            super().on_response_complete()
        self.load.hold(self)
        self._time_last_answer()

    def eof_received(self):
        """Let the connection be closed, as its client sends no more."""
        super().eof_received()
        self._start_write_timer()

    def shutdown(self):
        """Close the connection once its last answer is written, as the server stops."""
        super().shutdown()
        self._time_last_answer()

    def timeout_keep_alive_handler(self):
        """Close a connection that was idle."""
        super().timeout_keep_alive_handler()
        self._time_last_answer()

    def _time_last_answer(self):
        """Limit how long a connection that is being closed waits for its client."""
        if self.transport.is_closing() and not self.is_lost:
            self._start_write_timer()

    def _time_out_unread(self):
        """Cut a connection whose client doesn't read.

        The last answer is left to a client that is still reading it: the connection
        gives way to a new one.
        """
        self.write_timer = None
        unread, self.unread = self.unread, self.transport.get_write_buffer_size()
        if self.transport.is_closing() and self.unread < unread:
            self._start_write_timer()
        else:
            self.cut("answer-unread")

    # Refusals

    def send_400_response(self, msg):
        """Refuse what can't be parsed, or what a callback found over a limit."""
        refusal, self.refusal = self.refusal, None
        self._refuse(*(refusal or (http.HTTPStatus.BAD_REQUEST, "bad-framing")))

    def encode_refusal(self, status, reason):
        """Encode a complete reply that refuses a request and closes the connection."""
        return (
            f"HTTP/1.1 {int(status)} {status.phrase}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n"
        ).encode()

    def _refuse(self, status, reason):
        if self.transport.is_closing():
            return
        if self.is_active:
            self.cut(reason)
            return
        self._log(reason)
        self._stop_timer()
        self.transport.write(self.encode_refusal(status, reason))
        self.transport.close()
        self._time_last_answer()

    def cut(self, reason):
        """Close the connection at once, without an answer."""
        if not self.is_lost:
            self._log(reason)
            self._release()
            self.transport.abort()

    def _log(self, reason):
        self.load.count(reason)
        logger.debug("connection of a client cut", client=self.client, reason=reason)

    # Timers

    def _start_timer(self, seconds):
        self._stop_timer()
        if seconds is not None:
            self.timer = self.loop.call_later(seconds, self._time_out)

    def _stop_timer(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _time_out(self):
        self.timer = None
        if self.in_message:
            reason = "header-too-slow" if self.in_head else "body-too-slow"
            self._refuse(http.HTTPStatus.REQUEST_TIMEOUT, reason)
        elif not self.is_active:
            self.cut("idle")

    def pause_writing(self):
        """Read no more requests, and start the timer of an answer that isn't read."""
        super().pause_writing()
        self.flow.pause_reading()
        self._start_write_timer()

    def resume_writing(self):
        """Stop the timer, as the client reads on, unless it has had its last answer."""
        if not self.transport.is_closing():
            self._stop_write_timer()
        super().resume_writing()
        if self.is_waiting:
            self.is_waiting = False
            super().on_response_complete()
        self.load.hold(self)

    def _start_write_timer(self):
        if self.write_timer is None:
            self.write_timer = self.loop.call_later(
                self.limits.idle_timeout, self._time_out_unread
            )

    def _stop_write_timer(self):
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None


def make_protocol(find_limits, load, base=BoundedProtocol, kept_headers=None):
    """Return a protocol class for ``HttpServer`` that keeps to the limits.

    ``kept_headers`` are the names, in lower case, of those that the application reads;
    ``None`` for all.
    """
    members = {
        "find_limits": staticmethod(find_limits),
        "load": load,
        "kept_headers": kept_headers,
    }
    return type("LimitedProtocol", (base,), members)
