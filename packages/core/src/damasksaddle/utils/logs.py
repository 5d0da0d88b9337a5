"""
Structured logs: one line per event, with the prefix of the part that wrote it.

Fields are appended as `name=value`, so that lines can be read and parsed.
"""

import os
import select
import sys
import time
from typing import Any

import logbook

# What a pipe that is writable takes at once (PIPE_BUF).
LINE_BYTES = 4096
# Bounds what logging costs: some lines for each of a few hundred requests a second.
LINES_PER_S = 1000
BURST_LINES = 4000

FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}{record.extra[fields]}"
)


class PartLog:
    """A logger with a fixed prefix, for example `fleet` or `programs`."""

    def __init__(self, part: str) -> None:
        self._logger = logbook.Logger(part)

    def debug(self, message: str, **fields: Any) -> None:
        self._logger.debug(message, extra={"fields": _fields(fields)})

    def info(self, message: str, **fields: Any) -> None:
        self._logger.info(message, extra={"fields": _fields(fields)})

    def warning(self, message: str, **fields: Any) -> None:
        self._logger.warning(message, extra={"fields": _fields(fields)})

    def error(self, message: str, **fields: Any) -> None:
        self._logger.error(message, extra={"fields": _fields(fields)})


def _fields(fields: dict[str, Any]) -> str:
    return "".join(f" {name}={value}" for name, value in fields.items())


def get_logger(part: str) -> PartLog:
    """Returns the logger of a part."""
    return PartLog(part)


class OutputHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """
    Writes lines to a file descriptor, without ever waiting for its reader.

    A pipe that is writable has room for `LINE_BYTES`, so a shorter line does not
    block. Lines that find no room, or come faster than `LINES_PER_S`, are dropped;
    the next line that is written tells how many.
    """

    def __init__(self, level: str, descriptor: int) -> None:
        logbook.Handler.__init__(self, level)
        logbook.StringFormatterHandlerMixin.__init__(self, FORMAT)
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._allowance = float(BURST_LINES)
        self._at_s = time.monotonic()
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes one record, or drops it."""
        if not self._admit() or not self._poll.poll(0):
            self.dropped += 1
            return
        line = self.format(record)
        if self.dropped:
            line += f" dropped_before={self.dropped}"
        data = line.replace("\n", "\\n").encode()[: LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, data)
        except OSError:
            # Nobody reads the log any more; the process must go on.
            self.dropped += 1
        else:
            self.dropped = 0

    def _admit(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self._at_s) * LINES_PER_S
        self._allowance = min(float(BURST_LINES), self._allowance + gained)
        self._at_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True


def configure_logging(level: str) -> None:
    """Sends log lines of this level and above to standard output."""
    OutputHandler(level.upper(), sys.stdout.fileno()).push_application()
