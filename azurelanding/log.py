"""Configure the daemons' logs: one line of key=value pairs for each event."""

import logging
import os
import sys

import structlog

LINE = structlog.processors.LogfmtRenderer(
    key_order=["timestamp", "level", "event"], bool_as_flag=False
)


class NonBlockingOutput:
    """A text stream over a file descriptor whose writes never wait.

    Lines that its reader leaves no room for are dropped, and the next line that can
    be written is preceded by one that counts them.
    """

    def __init__(self, descriptor):
        self.descriptor = descriptor
        self.rest = b""
        self.line = []
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def _push(self, data):
        """Write ``data`` after what is left of an earlier line; tell if it fits."""
        try:
            if self.rest:
                self.rest = self.rest[os.write(self.descriptor, self.rest) :]
            if self.rest:
                return False
            self.rest = data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return False
        return True

    def write(self, text):
        """Write ``text``, a whole line at a time."""
        self.line.append(text)
        if not text.endswith("\n"):
            return
        data, self.line = "".join(self.line).encode(), []
        if self.dropped:
            data = (
                b'level=warning event="lines dropped" count=%d\n' % self.dropped + data
            )
        if self._push(data):
            self.dropped = 0
        else:
            self.dropped += 1

    def flush(self):
        """Do nothing: lines are written as they come."""


def _shared_processors():
    return [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.ExceptionRenderer(),
    ]


def configure(level="info", stream=None):
    """Send events of ``level`` and above to ``stream``, standard error by default.

    What libraries log through the standard library, from warnings up, goes to
    the same stream in the same form.
    """
    output = stream or sys.stderr
    structlog.configure(
        processors=[*_shared_processors(), LINE],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=_shared_processors(),
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, LINE],
    )
    handler = logging.StreamHandler(output)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel("CRITICAL" if level == "critical" else "WARNING")
