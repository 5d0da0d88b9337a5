"""Records what a turn passes on to its caller."""

import re
from collections.abc import Sequence

_LINE_END = re.compile(rb"\r\n|\n|\r")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


def event_output(block: bytes) -> bytes:
    """
    Returns what a block of a stream adds to a turn's output.

    That is the data of each event, as server-sent events define it, and a line feed.
    Comments are no events. A blank line ends an event.

    >>> event_output(b"id: 1\\ndata: a\\ndata: b\\n\\n")
    b'a\\nb\\n'
    >>> event_output(b"id: 2\\n\\n")
    b'\\n'
    >>> event_output(b": comment\\n\\n")
    b''
    """
    output = []
    data: list[bytes] = []
    has_fields = False
    for line in _LINE_END.split(block):
        if line:
            name, _, value = line.partition(b":")
            has_fields = has_fields or bool(name)
            if name == b"data":
                data.append(value.removeprefix(b" "))
        elif has_fields:
            output.append(b"\n".join(data) + b"\n")
            data, has_fields = [], False
    return b"".join(output)


class TurnRecorder:
    """The new input of a turn and the events passed on to its caller."""

    def __init__(self, new_input: bytes) -> None:
        self.input = new_input
        self._events: list[bytes] = []
        self.size_bytes = 0
        # Set once the end of the response was passed on.
        self.is_ended = False

    def record(self, events: Sequence[bytes]) -> None:
        """Adds events that are passed on, as they are."""
        self._events += events
        self.size_bytes += sum(map(len, events))

    @property
    def events(self) -> bytes:
        """Returns the events as they were passed on."""
        return b"".join(self._events)

    def output(self) -> bytes:
        """Returns the output of the turn so far."""
        if self._events and self._events[0].startswith(_BYTE_ORDER_MARK):
            first, *others = self._events
            events = [first.removeprefix(_BYTE_ORDER_MARK), *others]
        else:
            events = self._events
        return b"".join(map(event_output, events))
