"""Length-prefixed frames on a byte stream."""

import asyncio
import struct
from typing import Protocol

from damasksaddle.exceptions import ProtocolViolation
from damasksaddle_protocol.codec import decode, encode
from damasksaddle_protocol.messages import Frame

MAX_FRAME_BYTES = 8 * 1024 * 1024
_LENGTH_PREFIX = struct.Struct(">I")


class FrameWriter(Protocol):
    """Interface to write frames to; `asyncio.StreamWriter` implements it."""

    def write(self, data: bytes) -> None: ...

    async def drain(self) -> None: ...

    def close(self) -> None: ...


def pack_frame(frame: Frame) -> bytes:
    """Encodes a frame with a length prefix; raises `ProtocolViolation`."""
    data = encode(frame)
    if len(data) > MAX_FRAME_BYTES:
        raise ProtocolViolation(f"a frame of {len(data)} bytes exceeds the limit")
    return _LENGTH_PREFIX.pack(len(data)) + data


async def read_frame(
    reader: asyncio.StreamReader, limit_bytes: int = MAX_FRAME_BYTES
) -> Frame:
    """
    Reads one frame.

    Raises `ProtocolViolation` if the frame is too large or malformed, and
    `asyncio.IncompleteReadError` at the end of the stream.
    """
    (size_bytes,) = _LENGTH_PREFIX.unpack(await reader.readexactly(_LENGTH_PREFIX.size))
    if size_bytes > limit_bytes:
        raise ProtocolViolation(f"a frame of {size_bytes} bytes exceeds the limit")
    return decode(await reader.readexactly(size_bytes))
