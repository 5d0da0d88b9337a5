"""Log lines as text and as JSON."""

import json
import os

import pytest

from damasksaddle.utils import LogFormat, get_logger
from damasksaddle.utils.logs import MAX_LINE_BYTES, NonBlockingHandler


@pytest.mark.parametrize("log_format", list(LogFormat))
def test_a_line_carries_its_fields(log_format: LogFormat) -> None:
    """Guards against lines that lose a field, or that a tool cannot parse."""
    read_end, write_end = os.pipe()
    with NonBlockingHandler("INFO", write_end, log_format).applicationbound():
        get_logger("front").info(
            "Refused a request.", code="rate", detail="a\nb" * 2000
        )
        get_logger("front").debug("Not written.")
        get_logger("front").info("Refused a request.", code="rate", after_ms=7)
    os.close(write_end)
    with os.fdopen(read_end) as lines:
        long_line, short_line = lines.read().splitlines()
    assert len(long_line) < MAX_LINE_BYTES
    match log_format:
        case LogFormat.TEXT:
            assert short_line.endswith("front: Refused a request. code=rate after_ms=7")
        case LogFormat.JSON:
            assert json.loads(long_line)["code"] == "rate"
            entry = json.loads(short_line)
            assert (entry["component"], entry["after_ms"]) == ("front", 7)
