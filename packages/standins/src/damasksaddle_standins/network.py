"""Byte streams in memory between nodes of one test, which can be cut."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from damasksaddle_standins.pause import Pauses


class MemoryWriter:
    """The writing end of a stream; what is written may be delayed or dropped."""

    def __init__(
        self, network: "MemoryNetwork", link: frozenset[str], far: asyncio.StreamReader
    ) -> None:
        self.link = link
        self._network = network
        self._far = far
        self._closed = False
        self._broken = False
        # Timers of one instant do not run in the order of their creation, so each
        # takes the oldest piece instead of its own. None stands for the end.
        self._pieces: deque[bytes | None] = deque()

    def write(self, data: bytes) -> None:
        if self._closed:
            raise ConnectionResetError("the stream is closed")
        if self._broken or self.link in self._network.cut:
            return
        self._send(data)

    def _send(self, piece: bytes | None) -> None:
        self._pieces.append(piece)
        loop = asyncio.get_running_loop()
        loop.call_later(self._network.delay_s, self._deliver)

    def _deliver(self) -> None:
        data = self._pieces.popleft()
        if data is None:
            self._far.feed_eof()
        elif self.link not in self._network.cut and not self._far.at_eof():
            try:
                self._far.feed_data(data)
            except AssertionError:
                # The far end has been closed meanwhile.
                return

    async def drain(self) -> None:
        return

    def reset(self) -> None:
        """Ends the stream as the death of its writer does: nothing more is sent."""
        self._broken = True
        self.close()

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._send(None)


Accept = Callable[[asyncio.StreamReader, MemoryWriter], Awaitable[None]]


async def _served(accepted: Awaitable[None]) -> None:
    await accepted


class MemoryNetwork:
    """
    Connects nodes by address; `as_node` gives the network as one node sees it.

    `cut` holds pairs of names whose streams lose everything that is written.
    """

    def __init__(self, delay_s: float = 0.005) -> None:
        self.delay_s = delay_s
        self.cut: set[frozenset[str]] = set()
        self._accept: dict[str, Accept] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[MemoryWriter] = []

    def as_node(self, name: str) -> "NodeNetwork":
        """Returns the network of one node."""
        return NodeNetwork(self, name)

    def cut_off(self, name: str, others: list[str]) -> None:
        """Cuts a node off from others."""
        self.cut |= {frozenset((name, other)) for other in others if other != name}

    def heal(self) -> None:
        """Ends all cuts."""
        self.cut.clear()

    def kill(self, name: str) -> None:
        """Ends all streams of a node at once, without what it writes from now on."""
        self._accept.pop(name, None)
        for writer in self._writers:
            if name in writer.link:
                writer.reset()
        self._writers = [w for w in self._writers if name not in w.link]

    async def connect(
        self, source: str, target: str
    ) -> tuple[asyncio.StreamReader, MemoryWriter]:
        link = frozenset((source, target))
        await asyncio.sleep(2 * self.delay_s)
        if link in self.cut:
            await asyncio.sleep(3600)
        if target not in self._accept:
            raise ConnectionRefusedError(target)
        near, far = asyncio.StreamReader(), asyncio.StreamReader()
        back, forth = MemoryWriter(self, link, near), MemoryWriter(self, link, far)
        self._writers += [back, forth]
        task = asyncio.create_task(
            _served(self._accept[target](far, back)), context=Pauses.context(target)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near, forth


class NodeNetwork:
    """The network as one node sees it; its address is its name and port 1."""

    def __init__(self, network: MemoryNetwork, name: str) -> None:
        self._network = network
        self._name = name

    async def connect(self, address: str) -> tuple[asyncio.StreamReader, MemoryWriter]:
        return await self._network.connect(self._name, address.rpartition(":")[0])

    async def listen(
        self, host: str, port: int, accept: Accept
    ) -> tuple[str, Callable[[], Awaitable[None]]]:
        self._network._accept[self._name] = accept

        async def close() -> None:
            self._network._accept.pop(self._name, None)

        return f"{self._name}:1", close
