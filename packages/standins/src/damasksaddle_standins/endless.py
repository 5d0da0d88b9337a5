"""A server that sends bytes until its client closes the connection."""

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


@asynccontextmanager
async def endless_server(
    head: bytes,
    piece: bytes,
    interval_s: float = 0.0,
    max_bytes: float = math.inf,
) -> AsyncIterator[tuple[str, list[int]]]:
    """
    Responds to each request with `head`, and then with `piece` every `interval_s`.

    After `max_bytes`, a connection stays silent, so that a paused clock goes on.
    Yields the server's address and the number of bytes sent on each connection.
    """
    sent_bytes: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        connection = len(sent_bytes)
        sent_bytes.append(0)
        try:
            writer.write(head)
            while sent_bytes[connection] < max_bytes:
                writer.write(piece)
                sent_bytes[connection] += len(piece)
                await writer.drain()
                await asyncio.sleep(interval_s)
            await reader.read()
        except OSError:
            # The client has closed the connection.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    try:
        yield f"{host}:{port}", sent_bytes
    finally:
        server.close()
