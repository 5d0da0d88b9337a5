"""Sends requests to peers, over one connection per peer."""

import asyncio
from collections.abc import AsyncGenerator, Callable, Container
from contextlib import aclosing, suppress

from damasksaddle.exceptions import (
    PeerError,
    PeerTimeout,
    PeerUnreachable,
    ProtocolViolation,
    refusal_from_code,
)
from damasksaddle.utils import get_logger
from damasksaddle_node.peers.buffering import BatchedWriter, CoalescingQueue
from damasksaddle_node.peers.handshake import greet_as_client
from damasksaddle_node.peers.network import Network
from damasksaddle_node.peers.server import Handlers, Sender
from damasksaddle_protocol import (
    CallEnd,
    Cancel,
    Failure,
    Frame,
    FrameWriter,
    Message,
    pack_frame,
    read_frame,
)

log = get_logger("peers")

_LOST = object()


class _Connection:
    """One open connection to a peer, with a reader task."""

    def __init__(self, reader: asyncio.StreamReader, writer: FrameWriter) -> None:
        self._reader = reader
        self._writer = BatchedWriter(writer)
        self._next_id = 0
        self._waiting: dict[int, asyncio.Queue[object]] = {}
        self.closed = False
        self.heard_s = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        try:
            while True:
                frame = await read_frame(self._reader)
                self.heard_s = asyncio.get_running_loop().time()
                queue = self._waiting.get(frame.request_id)
                if queue is not None:
                    queue.put_nowait(frame.message)
        except (OSError, asyncio.IncompleteReadError, ProtocolViolation) as error:
            log.debug("A peer connection ended.", reason=repr(error))
        finally:
            self.close()

    def close(self) -> None:
        self.closed = True
        self._task.cancel()
        self._writer.close()
        for queue in self._waiting.values():
            queue.put_nowait(_LOST)

    async def exchange(
        self, message: Message, epoch: int, timeout_s: float | None
    ) -> AsyncGenerator[Message, None]:
        """Sends a request and yields its answers until the consumer stops."""
        self._next_id += 1
        request_id = self._next_id
        queue: asyncio.Queue[object] = CoalescingQueue()
        self._waiting[request_id] = queue
        deadline_ms = int(timeout_s * 1000) if timeout_s else 0
        finished = False
        try:
            self._writer.write(
                pack_frame(Frame(request_id, message, epoch, deadline_ms))
            )
            await self._writer.drain()
            while True:
                answer = await self._next(queue)
                finished = isinstance(answer, (Failure, CallEnd))
                yield answer
        except OSError as error:
            raise PeerUnreachable(repr(error)) from error
        finally:
            del self._waiting[request_id]
            if not finished and not self.closed:
                with suppress(OSError):
                    self._writer.write(pack_frame(Frame(request_id, Cancel(), epoch)))

    async def _next(self, queue: asyncio.Queue[object]) -> Message:
        if self.closed and queue.empty():
            raise PeerUnreachable("the connection ended")
        answer = await queue.get()
        if answer is _LOST:
            raise PeerUnreachable("the connection ended")
        return answer  # type: ignore[return-value]


class PeerPool:
    """
    Requests to other nodes, by vm_id.

    A request to the node itself goes straight to its handlers.
    """

    def __init__(
        self,
        vm_id: str,
        secret: str,
        network: Network,
        handlers: Handlers,
        address_of: Callable[[str], str | None],
        epoch: Callable[[], int],
        connect_timeout_s: float,
    ) -> None:
        self.vm_id = vm_id
        self._secret = secret
        self._network = network
        self._handlers = handlers
        self._address_of = address_of
        self._epoch = epoch
        self._connect_timeout_s = connect_timeout_s
        self._connections: dict[str, _Connection] = {}
        self._dialling: dict[str, asyncio.Lock] = {}

    async def request(
        self, vm_id: str, message: Message, timeout_s: float, epoch: int | None = None
    ) -> Message:
        """
        Returns the one answer of a peer.

        Raises the `Refusal` that the peer reports, `PeerUnreachable` or
        `PeerTimeout`.
        """
        try:
            async with (
                asyncio.timeout(timeout_s),
                aclosing(self._exchange(vm_id, message, timeout_s, epoch)) as answers,
            ):
                async for answer in answers:
                    return answer
        except TimeoutError as error:
            raise PeerTimeout(f"{vm_id}: {type(message).__name__}") from error
        raise PeerUnreachable(f"{vm_id}: no answer")

    async def stream(
        self, vm_id: str, message: Message
    ) -> AsyncGenerator[Message, None]:
        """Yields the answers of a peer up to `CallEnd`; raises like `request`."""
        async with aclosing(self._exchange(vm_id, message, None, None)) as answers:
            async for answer in answers:
                yield answer
                if isinstance(answer, CallEnd):
                    return

    async def _exchange(
        self,
        vm_id: str,
        message: Message,
        timeout_s: float | None,
        epoch: int | None,
    ) -> AsyncGenerator[Message, None]:
        epoch = self._epoch() if epoch is None else epoch
        if vm_id == self.vm_id:
            sender = Sender(vm_id, epoch, timeout_s)
            source = self._handlers.answers(message, sender)
        else:
            connection = await self._connection(vm_id)
            source = connection.exchange(message, epoch, timeout_s)
        async with aclosing(source) as answers:
            async for answer in answers:
                if isinstance(answer, Failure):
                    raise _refusal(answer)
                yield answer

    async def _connection(self, vm_id: str) -> _Connection:
        lock = self._dialling.setdefault(vm_id, asyncio.Lock())
        async with lock:
            known = self._connections.get(vm_id)
            if known is not None and not known.closed:
                return known
            connection = await self._dial(vm_id)
            self._connections[vm_id] = connection
            return connection

    async def _dial(self, vm_id: str) -> _Connection:
        address = self._address_of(vm_id)
        if address is None:
            raise PeerUnreachable(f"{vm_id} is not a member", sent=False)
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await self._network.connect(address)
                peer = await greet_as_client(reader, writer, self.vm_id, self._secret)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            PeerError,
        ) as error:
            raise PeerUnreachable(f"{vm_id}: {error!r}", sent=False) from error
        if peer != vm_id:
            writer.close()
            raise PeerUnreachable(f"{address} is now {peer}", sent=False)
        return _Connection(reader, writer)

    def disconnect(self, vm_id: str) -> None:
        """Closes the connection to a VM that is no longer a member."""
        self._dialling.pop(vm_id, None)
        connection = self._connections.pop(vm_id, None)
        if connection is not None:
            connection.close()

    def disconnect_if_silent(self, vm_id: str, silent_s: float) -> None:
        """Closes the connection to a VM that sent nothing for some time."""
        connection = self._connections.get(vm_id)
        if connection is None:
            return
        if asyncio.get_running_loop().time() - connection.heard_s >= silent_s:
            self.disconnect(vm_id)

    def disconnect_except(self, members: Container[str]) -> None:
        """
        Closes connections to VMs that are no longer members.

        A VM that hangs keeps its connections open; requests to it end here.
        """
        for vm_id in [known for known in self._dialling if known not in members]:
            self.disconnect(vm_id)

    def close(self) -> None:
        """Closes all connections."""
        for vm_id in list(self._connections):
            self.disconnect(vm_id)


def _refusal(failure: Failure) -> Exception:
    retry_after_s = failure.retry_after_ms / 1000
    return refusal_from_code(
        failure.code,
        failure.detail,
        failure.not_run,
        retry_after_s if failure.retry_after_ms >= 0 else None,
    )
