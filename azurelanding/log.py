"""Configure the logs of the daemons: one line of key=value pairs per event."""

import logging
import os
import sys

import structlog

LOGFMT_RENDERER = structlog.processors.LogfmtRenderer(
    key_order=["timestamp", "level", "event"], bool_as_flag=False
)


class NonBlockingOutput:
    """A text stream over a file descriptor whose writes never block.

    Lines that can't be written immediately are dropped, for instance while a pipe is
    full. The next line written is preceded by one with the number of dropped lines.
    """

    def __init__(self, descriptor):
        self.descriptor = descriptor
        self.unwritten = b""
        self.partial_line = []
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def _try_write(self, data):
        """Write the unwritten part of the last line, then ``data``.

        Return whether ``data`` was accepted. A part of it that did not fit is written
        by the next call.
        """
        try:
            if self.unwritten:
                self.unwritten = self.unwritten[
                    os.write(self.descriptor, self.unwritten) :
                ]
            if self.unwritten:
                return False
            self.unwritten = data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return False
        return True

    def write(self, text):
        """Buffer ``text`` and write each line once it is complete."""
        self.partial_line.append(text)
        if not text.endswith("\n"):
            return
        line, self.partial_line = "".join(self.partial_line), []
        data = line.encode(errors="backslashreplace")
        if self.dropped:
            data = (
                b'level=warning event="lines dropped" count=%d\n' % self.dropped + data
            )
        if self._try_write(data):
            self.dropped = 0
        else:
            self.dropped += 1

    def flush(self):
        """Do nothing, as each line is written when it is complete."""


def _shared_processors():
    return [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.ExceptionRenderer(),
    ]


def configure(level="info", stream=None):
    """Log events of ``level`` and above to ``stream``, standard error by default.

    Warnings and errors that libraries log through the ``logging`` module go to the
    same stream in the same format, at level ``critical`` only critical ones.
    """
    output = stream or sys.stderr
    structlog.configure(
        processors=[*_shared_processors(), LOGFMT_RENDERER],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(output),
        cache_logger_on_first_use=True,
    )
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=_shared_processors(),
        processors=[
            structlog.stdlib.ProcessorFormatter.remove_processors_meta,
            LOGFMT_RENDERER,
        ],
    )
    handler = logging.StreamHandler(output)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel("CRITICAL" if level == "critical" else "WARNING")
