"""Answers on their way to a consumer that may be slower than they arrive."""

import asyncio
from typing import Any

from damasksaddle_protocol import CallChunk

# A piece that waits grows to this size before the next one starts, so that what
# waits costs little more memory than its text, and joining stays linear.
MERGED_CHARS = 16 * 1024


class CoalescingQueue(asyncio.Queue[Any]):
    """
    A queue that joins the pieces of a streamed answer which wait in it.

    It is not bounded: the size of an answer is bounded by its route, and one slow
    reader must not stall the other requests of a connection.
    """

    def _put(self, item: Any) -> None:
        if isinstance(item, CallChunk) and self._queue:  # type: ignore[attr-defined]
            last = self._queue[-1]  # type: ignore[attr-defined]
            if isinstance(last, CallChunk) and len(last.text) < MERGED_CHARS:
                last.text += item.text
                return
        super()._put(item)


class BatchedWriter:
    """
    Hands what is written in one turn of the event loop to the transport at once.

    An engine gives a token to all calls of its batch at the same time, so that the
    frames to one peer come in groups.
    """

    def __init__(self, writer: Any) -> None:
        self._writer = writer
        self._pending: list[bytes] = []
        self._loop = asyncio.get_running_loop()

    def write(self, data: bytes) -> None:
        """Queues data; an error of the transport shows in `drain`."""
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.append(data)

    def _flush(self) -> None:
        data, self._pending = b"".join(self._pending), []
        if data:
            try:
                self._writer.write(data)
            except OSError:
                # The reader of this connection sees its end and reports it.
                return

    async def drain(self) -> None:
        """Waits while the transport's buffer is full; raises `OSError`."""
        await self._writer.drain()

    def close(self) -> None:
        """Writes what is pending and closes."""
        self._flush()
        self._writer.close()
