"""A TCP proxy on loopback that can delay, block and reset connections."""

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field

CHUNK_BYTES = 65536
# SO_LINGER with a zero timeout: closing discards buffered data and sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Aborts a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


@dataclass(slots=True, eq=False)
class Direction:
    """One direction of all connections; data waits while `enabled` is not set."""

    delay_s: float = 0.0
    enabled: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.enabled.set()

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards data until the connection ends."""
        while data := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self.delay_s)
            await self.enabled.wait()
            writer.write(data)
            await writer.drain()
        await self.enabled.wait()
        writer.write_eof()


class Proxy:
    """Forwards connections from `address` to `target`; both are (host, port)."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.address = ("", 0)
        self.to_target = Direction()
        self.from_target = Direction()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_all(self) -> None:
        """Resets both sides of all connections."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset_connection(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self.to_target.forward(reader, target_writer))
                directions.create_task(self.from_target.forward(target_reader, writer))
            writer.close()
            target_writer.close()
        except* OSError:
            # A failure on one side resets both.
            reset_connection(writer)
            reset_connection(target_writer)
        finally:
            self._writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()
