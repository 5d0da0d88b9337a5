"""Reads bodies whose sender may never end them."""

import aiohttp

from damasksaddle.exceptions import SizeLimitExceeded


async def read_limited(content: aiohttp.StreamReader, limit_bytes: int) -> bytes:
    """Returns a whole body; raises `SizeLimitExceeded` as soon as it is too large."""
    chunks: list[bytes] = []
    size_bytes = 0
    try:
        async for chunk in content.iter_any():
            size_bytes += len(chunk)
            if size_bytes > limit_bytes:
                raise SizeLimitExceeded(f"a body of more than {limit_bytes} bytes")
            chunks.append(chunk)
        return b"".join(chunks)
    finally:
        # The traceback of an exception refers to this list.
        chunks.clear()
