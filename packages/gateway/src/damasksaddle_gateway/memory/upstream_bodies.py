"""Bounds the bodies on their way to upstreams."""

from collections import Counter
from contextlib import aclosing

from aiohttp import payload
from aiohttp.abc import AbstractStreamWriter

from damasksaddle_gateway.histories.chains import ChainBody

# Bytes of bodies of requests that one upstream runs for this VM at once. An upstream
# crashes if they exceed its memory, which is unknown. Ordinary bodies have up to 50 KB;
# eight of the largest size fit.
MAX_BYTES_IN_FLIGHT = 32 * 1024 * 1024
# A longer body is sent in pieces; a single write would copy what the upstream has not
# read yet.
PIECE_BYTES = 64 * 1024


class BytesInFlight:
    """The bytes of the bodies that each upstream was sent and has not responded to."""

    def __init__(self, limit_bytes: int = MAX_BYTES_IN_FLIGHT) -> None:
        self._limit_bytes = limit_bytes
        self._bytes: Counter[str] = Counter()

    def add(self, upstream: str, size_bytes: int) -> bool:
        """Returns whether the body may be sent; a single one always may."""
        sent_bytes = self._bytes[upstream]
        if sent_bytes and sent_bytes + size_bytes > self._limit_bytes:
            return False
        self._bytes[upstream] += size_bytes
        return True

    def remove(self, upstream: str, size_bytes: int) -> None:
        self._bytes[upstream] -= size_bytes
        if not self._bytes[upstream]:
            del self._bytes[upstream]


class PiecewiseBody(payload.Payload):
    """A body that is read piece by piece while it is sent."""

    _value: ChainBody

    def __init__(self, body: ChainBody) -> None:
        super().__init__(body)
        self._size = body.size_bytes

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        raise TypeError("the body is not in memory")

    async def write(self, writer: AbstractStreamWriter) -> None:
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        async with aclosing(self._value.pieces()) as pieces:
            async for piece in pieces:
                for start in range(0, len(piece), PIECE_BYTES):
                    await writer.write(piece[start : start + PIECE_BYTES])


class PacedBody(payload.BytesPayload):
    """A body of which the transport holds little that the upstream has not read."""

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        body = self._value
        if content_length is not None:
            body = body[:content_length]
        for start in range(0, len(body), PIECE_BYTES):
            await writer.write(body[start : start + PIECE_BYTES])
