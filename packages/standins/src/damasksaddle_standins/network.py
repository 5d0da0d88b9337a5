"""An in-memory network between the nodes of a test, with links that can be cut."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from damasksaddle_standins.node_pauser import NodePauser


class MemoryWriter:
    """The writing end of a stream; its data is delayed and may be dropped."""

    def __init__(
        self,
        network: "MemoryNetwork",
        link: frozenset[str],
        receiver: asyncio.StreamReader,
    ) -> None:
        self.link = link
        self._network = network
        self._receiver = receiver
        self._closed = False
        self._aborted = False
        # Timers that are due at the same time do not run in the order of their
        # creation, so each delivers the oldest queued data. None ends the stream.
        self._queue: deque[bytes | None] = deque()

    def write(self, data: bytes) -> None:
        if self._closed:
            raise ConnectionResetError("the stream is closed")
        if self._aborted or self.link in self._network.disconnected:
            return
        self._send(data)

    def _send(self, data: bytes | None) -> None:
        self._queue.append(data)
        loop = asyncio.get_running_loop()
        loop.call_later(self._network.delay_s, self._deliver)

    def _deliver(self) -> None:
        data = self._queue.popleft()
        if data is None:
            self._receiver.feed_eof()
        elif (
            self.link not in self._network.disconnected and not self._receiver.at_eof()
        ):
            try:
                self._receiver.feed_data(data)
            except AssertionError:
                # The receiving end has been closed in the meantime.
                return

    async def drain(self) -> None:
        return

    def abort(self) -> None:
        """Ends the stream as a crash of its writer does; drops what it writes later."""
        self._aborted = True
        self.close()

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._send(None)


AcceptCallback = Callable[[asyncio.StreamReader, MemoryWriter], Awaitable[None]]


async def _run_accept(handler: Awaitable[None]) -> None:
    await handler


class MemoryNetwork:
    """
    Connects nodes by address; `as_node` returns the network interface of one node.

    `disconnected` holds pairs of node names; data on streams between them is dropped.
    """

    def __init__(self, delay_s: float = 0.005) -> None:
        self.delay_s = delay_s
        self.disconnected: set[frozenset[str]] = set()
        self._accept_callbacks: dict[str, AcceptCallback] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[MemoryWriter] = []

    def as_node(self, name: str) -> "NodeNetwork":
        """Returns the network interface of one node."""
        return NodeNetwork(self, name)

    def disconnect(self, name: str, others: list[str]) -> None:
        """Disconnects a node from the others."""
        self.disconnected |= {
            frozenset((name, other)) for other in others if other != name
        }

    def reconnect_all(self) -> None:
        """Restores all links."""
        self.disconnected.clear()

    def kill(self, name: str) -> None:
        """Ends all streams of a node at once and drops what it writes afterwards."""
        self._accept_callbacks.pop(name, None)
        for writer in self._writers:
            if name in writer.link:
                writer.abort()
        self._writers = [w for w in self._writers if name not in w.link]

    async def connect(
        self, source: str, target: str
    ) -> tuple[asyncio.StreamReader, MemoryWriter]:
        link = frozenset((source, target))
        await asyncio.sleep(2 * self.delay_s)
        if link in self.disconnected:
            await asyncio.sleep(3600)
        if target not in self._accept_callbacks:
            raise ConnectionRefusedError(target)
        source_reader, target_reader = asyncio.StreamReader(), asyncio.StreamReader()
        to_source, to_target = (
            MemoryWriter(self, link, source_reader),
            MemoryWriter(self, link, target_reader),
        )
        self._writers += [to_source, to_target]
        task = asyncio.create_task(
            _run_accept(self._accept_callbacks[target](target_reader, to_source)),
            context=NodePauser.context(target),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return source_reader, to_target


class NodeNetwork:
    """The network interface of one node; its address is its name and port 1."""

    def __init__(self, network: MemoryNetwork, name: str) -> None:
        self._network = network
        self._name = name

    async def connect(self, address: str) -> tuple[asyncio.StreamReader, MemoryWriter]:
        return await self._network.connect(self._name, address.rpartition(":")[0])

    async def listen(
        self, host: str, port: int, accept: AcceptCallback
    ) -> tuple[str, Callable[[], Awaitable[None]]]:
        self._network._accept_callbacks[self._name] = accept

        async def close() -> None:
            self._network._accept_callbacks.pop(self._name, None)

        return f"{self._name}:1", close
