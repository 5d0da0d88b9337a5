"""
Structured logging: one line per event, with the name of the component.

Fields are appended as `name=value`, so that lines are readable and can be parsed, or
each line is a JSON object with the same fields.
"""

import json
import os
import select
import sys
import time
from enum import StrEnum
from typing import Any

import logbook

# A writable pipe accepts this many bytes without blocking (PIPE_BUF).
MAX_LINE_BYTES = 4096
# Bounds the cost of logging; allows several lines per request at a few hundred requests
# per second.
MAX_LINES_PER_S = 1000
BURST_LINES = 4000

# Length to which the values of a JSON line are cut if the line is too long.
MAX_VALUE_CHARS = 200


class LogFormat(StrEnum):
    """How log lines are written."""

    TEXT = "text"
    JSON = "json"


class ComponentLogger:
    """A logger for one component, for example `fleet` or `programs`."""

    def __init__(self, component: str) -> None:
        self._logger = logbook.Logger(component)

    def debug(self, message: str, **fields: Any) -> None:
        self._logger.debug(message, extra={"fields": fields})

    def info(self, message: str, **fields: Any) -> None:
        self._logger.info(message, extra={"fields": fields})

    def warning(self, message: str, **fields: Any) -> None:
        self._logger.warning(message, extra={"fields": fields})

    def error(self, message: str, **fields: Any) -> None:
        self._logger.error(message, extra={"fields": fields})


def _format_text(record: logbook.LogRecord, fields: dict[str, Any]) -> bytes:
    text = "".join(f" {name}={value}" for name, value in fields.items())
    line = (
        f"{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
        f"{record.channel}: {record.message}{text}"
    )
    return line.replace("\n", "\\n").encode()[: MAX_LINE_BYTES - 1]


def _format_json(record: logbook.LogRecord, fields: dict[str, Any]) -> bytes:
    """Returns a JSON object; long values are cut, so that it stays valid."""
    values = {
        "time": f"{record.time:%Y-%m-%dT%H:%M:%S.%f}",
        "level": record.level_name,
        "component": record.channel,
        "message": record.message,
        **fields,
    }
    line = json.dumps(values, default=str).encode()
    if len(line) >= MAX_LINE_BYTES:
        cut = {name: str(value)[:MAX_VALUE_CHARS] for name, value in values.items()}
        line = json.dumps(cut).encode()
    return line


def get_logger(component: str) -> ComponentLogger:
    """Returns the logger of a component."""
    return ComponentLogger(component)


class NonBlockingHandler(logbook.Handler):
    """
    Writes lines to a file descriptor without blocking on a slow reader.

    A writable pipe has room for `MAX_LINE_BYTES`, so a line of that length does not
    block. Lines are dropped if there is no room or if they exceed `MAX_LINES_PER_S`;
    the next line that is written reports the number of dropped lines.
    """

    def __init__(
        self, level: str, descriptor: int, log_format: LogFormat = LogFormat.TEXT
    ) -> None:
        super().__init__(level)
        self._log_format = log_format
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
        fields = dict(record.extra["fields"] or {})
        if self.dropped:
            fields["dropped_before"] = self.dropped
        match self._log_format:
            case LogFormat.TEXT:
                line = _format_text(record, fields)
            case LogFormat.JSON:
                line = _format_json(record, fields)
        try:
            os.write(self._descriptor, line + b"\n")
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


def configure_logging(level: str, log_format: str = LogFormat.TEXT) -> None:
    """Writes log lines of this level and above to standard output."""
    handler = NonBlockingHandler(
        level.upper(), sys.stdout.fileno(), LogFormat(log_format)
    )
    handler.push_application()
