"""A TCP proxy on loopback that delays, silences and resets what passes."""

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field

CHUNK_BYTES = 65536
# Closing with this option sends a reset instead of what is still buffered.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset."""
    connected = writer.get_extra_info("socket")
    if connected is not None:
        with suppress(OSError):
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


@dataclass(slots=True, eq=False)
class Way:
    """One direction of all connections; bytes wait while `open` is not set."""

    delay_s: float = 0.0
    open: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.open.set()

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes bytes on until the connection ends."""
        while data := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self.delay_s)
            await self.open.wait()
            writer.write(data)
            await writer.drain()
        await self.open.wait()
        writer.write_eof()


class Proxy:
    """Listens at `address` and connects to `target`, both (host, port)."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.address = ("", 0)
        self.to_target = Way()
        self.from_target = Way()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._passing: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on a free port of loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Ends all connections and listens no more."""
        assert self._server is not None
        self._server.close()
        for task in list(self._passing):
            task.cancel()
        await asyncio.gather(*self._passing, return_exceptions=True)

    def reset_all(self) -> None:
        """Resets all connections, on both sides."""
        for writer in list(self._writers):
            reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._passing.add(task)
        try:
            await self._pass(reader, writer)
        except asyncio.CancelledError:
            pass
        finally:
            self._passing.discard(task)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        self._writers |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(self.to_target.copy(reader, far_writer))
                both.create_task(self.from_target.copy(far_reader, writer))
            writer.close()
            far_writer.close()
        except* OSError:
            # A reset of one side is passed on to the other.
            reset(writer)
            reset(far_writer)
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()
