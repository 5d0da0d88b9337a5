"""
Structured logging: one line per event, with the name of the component.

Fields are appended as `name=value`, so that lines are readable and can be parsed.
"""

import os
import select
import sys
import time
from typing import Any

import logbook

# A writable pipe accepts this many bytes without blocking (PIPE_BUF).
MAX_LINE_BYTES = 4096
# Bounds the cost of logging; allows several lines per request at a few hundred requests
# per second.
MAX_LINES_PER_S = 1000
BURST_LINES = 4000

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}{record.extra[fields]}"
)


class ComponentLogger:
    """A logger for one component, for example `fleet` or `programs`."""

    def __init__(self, component: str) -> None:
        self._logger = logbook.Logger(component)

    def debug(self, message: str, **fields: Any) -> None:
        self._logger.debug(message, extra={"fields": _format_fields(fields)})

    def info(self, message: str, **fields: Any) -> None:
        self._logger.info(message, extra={"fields": _format_fields(fields)})

    def warning(self, message: str, **fields: Any) -> None:
        self._logger.warning(message, extra={"fields": _format_fields(fields)})

    def error(self, message: str, **fields: Any) -> None:
        self._logger.error(message, extra={"fields": _format_fields(fields)})


def _format_fields(fields: dict[str, Any]) -> str:
    return "".join(f" {name}={value}" for name, value in fields.items())


def get_logger(component: str) -> ComponentLogger:
    """Returns the logger of a component."""
    return ComponentLogger(component)


class NonBlockingHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """
    Writes lines to a file descriptor without blocking on a slow reader.

    A writable pipe has room for `MAX_LINE_BYTES`, so a line of that length does not
    block. Lines are dropped if there is no room or if they exceed `MAX_LINES_PER_S`;
    the next line that is written reports the number of dropped lines.
    """

    def __init__(self, level: str, descriptor: int) -> None:
        logbook.Handler.__init__(self, level)
        logbook.StringFormatterHandlerMixin.__init__(self, FORMAT)
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._allowance = float(BURST_LINES)
        self._refilled_at_s = time.monotonic()
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record or drops it."""
        if not self._admit() or not self._poll.poll(0):
            self.dropped += 1
            return
        line = self.format(record)
        if self.dropped:
            line += f" dropped_before={self.dropped}"
        data = line.replace("\n", "\\n").encode()[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader of the log is gone; the process must continue.
            self.dropped += 1
        else:
            self.dropped = 0

    def _admit(self) -> bool:
        now_s = time.monotonic()
        refilled = (now_s - self._refilled_at_s) * MAX_LINES_PER_S
        self._allowance = min(float(BURST_LINES), self._allowance + refilled)
        self._refilled_at_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


def configure_logging(level: str) -> None:
    """Writes log lines of this level and above to standard output."""
    NonBlockingHandler(level.upper(), sys.stdout.fileno()).push_application()
