"""Length-prefixed frames on a byte stream."""

import asyncio
import struct
from typing import Protocol

from damasksaddle.exceptions import ProtocolViolation
from damasksaddle_protocol.codec import decode, encode
from damasksaddle_protocol.messages import Frame

MAX_FRAME_BYTES = 8 * 1024 * 1024
_HEADER = struct.Struct(">I")


class FrameWriter(Protocol):
    """What a frame is written to; `asyncio.StreamWriter` fits."""

    def write(self, data: bytes) -> None: ...

    async def drain(self) -> None: ...

    def close(self) -> None: ...


def pack_frame(frame: Frame) -> bytes:
    """Returns a frame with its length in front; raises `ProtocolViolation`."""
    data = encode(frame)
    if len(data) > MAX_FRAME_BYTES:
        raise ProtocolViolation(f"a frame of {len(data)} bytes is too large")
    return _HEADER.pack(len(data)) + data


async def read_frame(
    reader: asyncio.StreamReader, limit_bytes: int = MAX_FRAME_BYTES
) -> Frame:
    """
    Reads one frame.

    Raises `ProtocolViolation` if the frame is too large or malformed, and
    `asyncio.IncompleteReadError` at the end of the stream.
    """
    (size_bytes,) = _HEADER.unpack(await reader.readexactly(_HEADER.size))
    if size_bytes > limit_bytes:
        raise ProtocolViolation(f"a frame of {size_bytes} bytes is too large")
    return decode(await reader.readexactly(size_bytes))
