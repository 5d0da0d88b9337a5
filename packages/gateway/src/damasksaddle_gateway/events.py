"""Splits a stream of server-sent events into complete events."""

from damasksaddle.exceptions import SizeLimitExceeded

SEPARATOR = b"\n\n"
# Far above any event; bytes without a separator are not buffered without end.
MAX_EVENT_BYTES = 1024 * 1024
_ID_FIELD = b"id:"


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
    """

    def __init__(self) -> None:
        self._buffer = b""
        self.last_id = ""
        self.count = 0

    @property
    def has_partial_event(self) -> bool:
        """Tells whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the events that are now complete; raises `SizeLimitExceeded`."""
        *events, self._buffer = (self._buffer + data).split(SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise SizeLimitExceeded(f"an event of more than {MAX_EVENT_BYTES} bytes")
        for event in events:
            self._record(event)
        return [event + SEPARATOR for event in events]

    def reset(self) -> None:
        """Discards the incomplete event before the stream is resumed elsewhere."""
        self._buffer = b""

    def _record(self, event: bytes) -> None:
        self.count += 1
        for line in event.split(b"\n"):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
