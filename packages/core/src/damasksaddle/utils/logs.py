"""
Structured logs: one line per event, with the prefix of the part that wrote it.

Fields are appended as `name=value`, so that lines can be read and parsed.
"""

from typing import Any

import logbook

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


def get_log(part: str) -> PartLog:
    """Returns the logger of a part."""
    return PartLog(part)


def set_up_logs(level: str) -> None:
    """Sends log lines of this level and above to standard error."""
    handler = logbook.StderrHandler(level=level.upper(), format_string=FORMAT)
    handler.push_application()
