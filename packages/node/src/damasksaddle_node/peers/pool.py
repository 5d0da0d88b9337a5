"""Client side of the peer protocol, with one connection per peer."""

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
from damasksaddle_node.peers.handshake import client_handshake
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

_CONNECTION_CLOSED = object()


class _Connection:
    """An open connection to a peer, with a task that reads responses."""

    def __init__(self, reader: asyncio.StreamReader, writer: FrameWriter) -> None:
        self._reader = reader
        self._writer = BatchedWriter(writer)
        self._next_id = 0
        self._response_queues: dict[int, asyncio.Queue[object]] = {}
        self.closed = False
        self.last_received_s = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        try:
            while True:
                frame = await read_frame(self._reader)
                self.last_received_s = asyncio.get_running_loop().time()
                queue = self._response_queues.get(frame.request_id)
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
        for queue in self._response_queues.values():
            queue.put_nowait(_CONNECTION_CLOSED)

    async def exchange(
        self, message: Message, epoch: int, timeout_s: float | None
    ) -> AsyncGenerator[Message, None]:
        """Sends a request and yields its responses until the consumer stops."""
        self._next_id += 1
        request_id = self._next_id
        queue: asyncio.Queue[object] = CoalescingQueue()
        self._response_queues[request_id] = queue
        deadline_ms = int(timeout_s * 1000) if timeout_s else 0
        finished = False
        try:
            self._writer.write(
                pack_frame(Frame(request_id, message, epoch, deadline_ms))
            )
            await self._writer.drain()
            while True:
                response = await self._next_response(queue)
                finished = isinstance(response, (Failure, CallEnd))
                yield response
        except OSError as error:
            raise PeerUnreachable(repr(error)) from error
        finally:
            del self._response_queues[request_id]
            if not finished and not self.closed:
                with suppress(OSError):
                    self._writer.write(pack_frame(Frame(request_id, Cancel(), epoch)))

    def post(self, message: Message, epoch: int) -> bool:
        """Sends a message that has no response; see `BatchedWriter.write_through`."""
        if self.closed:
            return False
        self._next_id += 1
        return self._writer.write_through(
            pack_frame(Frame(self._next_id, message, epoch))
        )

    async def _next_response(self, queue: asyncio.Queue[object]) -> Message:
        if self.closed and queue.empty():
            raise PeerUnreachable("the connection ended")
        response = await queue.get()
        if response is _CONNECTION_CLOSED:
            raise PeerUnreachable("the connection ended")
        return response  # type: ignore[return-value]


class PeerPool:
    """
    Sends requests to other nodes, addressed by vm_id.

    Requests to this node are passed directly to its handlers.
    """

    def __init__(
        self,
        vm_id: str,
        secret: str,
        network: Network,
        handlers: Handlers,
        find_address: Callable[[str], str | None],
        epoch: Callable[[], int],
        connect_timeout_s: float,
    ) -> None:
        self.vm_id = vm_id
        self._secret = secret
        self._network = network
        self._handlers = handlers
        self._find_address = find_address
        self._epoch = epoch
        self._connect_timeout_s = connect_timeout_s
        self._connections: dict[str, _Connection] = {}
        self._connect_locks: dict[str, asyncio.Lock] = {}

    async def request(
        self, vm_id: str, message: Message, timeout_s: float, epoch: int | None = None
    ) -> Message:
        """
        Sends a request and returns its single response.

        Raises the `Refusal` that the peer reports, `PeerUnreachable` or
        `PeerTimeout`.
        """
        try:
            async with (
                asyncio.timeout(timeout_s),
                aclosing(self._exchange(vm_id, message, timeout_s, epoch)) as responses,
            ):
                async for response in responses:
                    return response
        except TimeoutError as error:
            raise PeerTimeout(f"{vm_id}: {type(message).__name__}") from error
        raise PeerUnreachable(f"{vm_id}: no response")

    async def stream(
        self, vm_id: str, message: Message
    ) -> AsyncGenerator[Message, None]:
        """Yields responses up to `CallEnd`; raises the same errors as `request`."""
        async with aclosing(self._exchange(vm_id, message, None, None)) as responses:
            async for response in responses:
                yield response
                if isinstance(response, CallEnd):
                    return

    async def connect(self, vm_id: str) -> None:
        """Opens a connection unless there is one; raises `PeerUnreachable`."""
        await self._connection(vm_id)

    def post(self, vm_id: str, message: Message) -> object | None:
        """
        Sends a message that has no response, at once, on an open connection.

        Returns the connection, which delivers its messages in their order as long as it
        is the same one. Returns None if there is none or the message waits in this
        process: it may be lost with the process.
        """
        connection = self._connections.get(vm_id)
        if connection is None or not connection.post(message, self._epoch()):
            return None
        return connection

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
            source = self._handlers.handle(message, sender)
        else:
            connection = await self._connection(vm_id)
            source = connection.exchange(message, epoch, timeout_s)
        async with aclosing(source) as responses:
            async for response in responses:
                if isinstance(response, Failure):
                    raise _refusal_from(response)
                yield response

    async def _connection(self, vm_id: str) -> _Connection:
        lock = self._connect_locks.setdefault(vm_id, asyncio.Lock())
        async with lock:
            existing = self._connections.get(vm_id)
            if existing is not None and not existing.closed:
                return existing
            connection = await self._connect(vm_id)
            self._connections[vm_id] = connection
            return connection

    async def _connect(self, vm_id: str) -> _Connection:
        address = self._find_address(vm_id)
        if address is None:
            raise PeerUnreachable(f"{vm_id} is not a member", sent=False)
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await self._network.connect(address)
                peer = await client_handshake(reader, writer, self.vm_id, self._secret)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            PeerError,
        ) as error:
            raise PeerUnreachable(f"{vm_id}: {error!r}", sent=False) from error
        if peer != vm_id:
            writer.close()
            raise PeerUnreachable(f"{address} now belongs to {peer}", sent=False)
        return _Connection(reader, writer)

    def disconnect(self, vm_id: str) -> None:
        """Closes the connection to a VM."""
        self._connect_locks.pop(vm_id, None)
        connection = self._connections.pop(vm_id, None)
        if connection is not None:
            connection.close()

    def disconnect_if_silent(self, vm_id: str, silent_s: float) -> None:
        """Closes the connection to a VM that sent nothing for `silent_s`."""
        connection = self._connections.get(vm_id)
        if connection is None:
            return
        if asyncio.get_running_loop().time() - connection.last_received_s >= silent_s:
            self.disconnect(vm_id)

    def disconnect_except(self, members: Container[str]) -> None:
        """
        Closes connections to VMs that are no longer members.

        A VM that hangs keeps its connections open, so pending requests to it would
        not fail otherwise.
        """
        for vm_id in [peer for peer in self._connect_locks if peer not in members]:
            self.disconnect(vm_id)

    def close(self) -> None:
        """Closes all connections."""
        for vm_id in list(self._connections):
            self.disconnect(vm_id)


def _refusal_from(failure: Failure) -> Exception:
    retry_after_s = failure.retry_after_ms / 1000
    return refusal_from_code(
        failure.code,
        failure.detail,
        failure.not_run,
        retry_after_s if failure.retry_after_ms >= 0 else None,
    )
