"""Splits a stream of server-sent events into complete events."""

import re

from damasksaddle.exceptions import DamasksaddleError, SizeLimitExceeded

SEPARATOR = b"\n\n"
# Lines may also end with a carriage return and a line feed.
_CRLF_SEPARATOR = re.compile(rb"\r?\n\r?\n")
# Far above any event; bytes without a separator are not buffered without end.
MAX_EVENT_BYTES = 1024 * 1024
# Upstreams number their events; a few comments may precede the first one.
MAX_EVENTS_WITHOUT_ID = 128
_ID_FIELD = b"id:"


class EventOutOfOrder(DamasksaddleError):
    """An event does not follow the last one of its stream."""


class EventSplitter:
    """
    Buffers received bytes and returns complete events.

    Bytes after the last complete event are never forwarded, so a stream that breaks
    inside an event can be resumed after the previous one.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.last_id
    '1'

    `last_id` is the id of the last event that the caller has. An event that does not
    follow it is not part of the stream.
    """

    def __init__(self, last_id: str = "") -> None:
        self._buffer = b""
        self.last_id = last_id
        self.count = 0

    @property
    def has_partial_event(self) -> bool:
        """Tells whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """
        Returns the events that are now complete.

        Raises `SizeLimitExceeded`, or `EventOutOfOrder` before any event is returned.
        """
        events, self._buffer = split_events(self._buffer + data)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise SizeLimitExceeded(f"an event of more than {MAX_EVENT_BYTES} bytes")
        count, last_id = self.count, self.last_id
        for event in events:
            last_id = next_id(last_id, event)
            count += 1
            if not last_id and count > MAX_EVENTS_WITHOUT_ID:
                raise EventOutOfOrder(f"{count} events without an id")
        self.count, self.last_id = count, last_id
        return events

    def reset(self) -> None:
        """Discards the incomplete event before the stream is resumed elsewhere."""
        self._buffer = b""


def split_events(data: bytes) -> tuple[list[bytes], bytes]:
    """Returns the complete events with their separators, and the rest."""
    if b"\r" not in data:
        *events, rest = data.split(SEPARATOR)
        return [event + SEPARATOR for event in events], rest
    events, start = [], 0
    for separator in _CRLF_SEPARATOR.finditer(data):
        events.append(data[start : separator.end()])
        start = separator.end()
    return events, data[start:]


def next_id(last_id: str, event: bytes) -> str:
    """Returns the id of the event that follows one; raises `EventOutOfOrder`."""
    event_id = last_id
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
    if last_id and event_id == last_id:
        raise EventOutOfOrder(f"an event without an id of its own after {last_id}")
    if last_id.isdigit() and event_id.isdigit() and int(event_id) <= int(last_id):
        raise EventOutOfOrder(f"event {event_id} after event {last_id}")
    return event_id
