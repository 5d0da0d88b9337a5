"""Buffers for streamed responses and outgoing frames."""

import asyncio
from typing import Any

from damasksaddle_protocol import CallChunk

# Queued chunks are merged up to this size. This keeps the memory overhead per chunk
# low, and the limit keeps the cost of concatenation linear.
MAX_MERGED_CHARS = 16 * 1024


class CoalescingQueue(asyncio.Queue[Any]):
    """
    A queue that merges consecutive chunks of a streamed response.

    It is unbounded: the route limits the size of a response, and a slow consumer must
    not block the other requests on the connection.
    """

    def _put(self, item: Any) -> None:
        if isinstance(item, CallChunk) and self._queue:  # type: ignore[attr-defined]
            last = self._queue[-1]  # type: ignore[attr-defined]
            if isinstance(last, CallChunk) and len(last.text) < MAX_MERGED_CHARS:
                last.text += item.text
                return
        super()._put(item)


class BatchedWriter:
    """
    Combines all writes of one event loop iteration into one transport write.

    An engine emits a token for all calls of its batch at the same time, so frames to
    one peer arrive in groups.
    """

    def __init__(self, writer: Any) -> None:
        self._writer = writer
        self._pending: list[bytes] = []
        self._loop = asyncio.get_running_loop()

    def write(self, data: bytes) -> None:
        """Queues data; transport errors are reported by `drain`."""
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.append(data)

    def write_through(self, data: bytes) -> bool:
        """
        Writes at once; returns whether the operating system took all of it.

        What it took is still sent if this process is killed.
        """
        self._pending.append(data)
        self._flush()
        transport = self._writer.transport
        return not transport.is_closing() and not transport.get_write_buffer_size()

    def _flush(self) -> None:
        data, self._pending = b"".join(self._pending), []
        if data:
            try:
                self._writer.write(data)
            except OSError:
                # The task that reads this connection detects and reports its end.
                return

    async def drain(self) -> None:
        """Waits until the transport accepts more data; raises `OSError`."""
        await self._writer.drain()

    def close(self) -> None:
        """Writes pending data and closes the transport."""
        self._flush()
        self._writer.close()
