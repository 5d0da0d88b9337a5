"""Server side of the peer protocol."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from damasksaddle.exceptions import NotRun, PeerError, ProtocolViolation, Refusal
from damasksaddle.utils import get_logger
from damasksaddle_node.peers.buffering import BatchedWriter
from damasksaddle_node.peers.handshake import server_handshake
from damasksaddle_node.peers.network import CloseCallback, Network
from damasksaddle_protocol import (
    Cancel,
    Failure,
    Frame,
    FrameWriter,
    Message,
    pack_frame,
    read_frame,
)

log = get_logger("peers")

HANDSHAKE_TIMEOUT_S = 5.0
MAX_REQUESTS_PER_PEER = 4096


@dataclass(frozen=True, slots=True)
class Sender:
    """The sender of a request, with its epoch and the request timeout."""

    vm_id: str
    epoch: int
    timeout_s: float | None = None


Handler = Callable[[Any, Sender], Awaitable[Message]]
StreamHandler = Callable[[Any, Sender], AsyncGenerator[Message, None]]
OneWayHandler = Callable[[Any, Sender], None]


@dataclass(slots=True)
class Handlers:
    """Request handlers by message type."""

    unary: dict[type, Handler] = field(default_factory=dict)
    streaming: dict[type, StreamHandler] = field(default_factory=dict)
    one_way: dict[type, OneWayHandler] = field(default_factory=dict)

    def add(self, message_type: type, handler: Handler) -> None:
        """Registers a handler that returns one response."""
        self.unary[message_type] = handler

    def add_streaming(self, message_type: type, handler: StreamHandler) -> None:
        """Registers a handler that yields a stream of responses."""
        self.streaming[message_type] = handler

    def add_one_way(self, message_type: type, handler: OneWayHandler) -> None:
        """Registers a handler that returns no response and does not wait."""
        self.one_way[message_type] = handler

    async def handle(
        self, message: Message, sender: Sender
    ) -> AsyncGenerator[Message, None]:
        """Runs the handler of a message and yields its responses; raises `Refusal`."""
        message_type = type(message)
        if message_type in self.unary:
            async with asyncio.timeout(sender.timeout_s):
                response = await self.unary[message_type](message, sender)
            yield response
        elif message_type in self.streaming:
            async for response in self.streaming[message_type](message, sender):
                yield response
        else:
            raise Refusal(f"{message_type.__name__} is not a request")


def failure_message(error: Refusal) -> Failure:
    """Converts a refusal to the message that reports it to another node."""
    retry_after_ms = (
        -1 if error.retry_after_s is None else int(error.retry_after_s * 1000)
    )
    return Failure(error.code, error.detail, str(error.not_run), retry_after_ms)


class PeerServer:
    """Accepts peer connections; runs a task per connection and per request."""

    def __init__(
        self,
        vm_id: str,
        secret: str,
        network: Network,
        handlers: Handlers,
        epoch: Callable[[], int],
    ) -> None:
        self.address = ""
        # Streamed responses that have not been written completely.
        self.active_streams = 0
        self._vm_id = vm_id
        self._secret = secret
        self._network = network
        self.handlers = handlers
        self.epoch = epoch
        self._close: CloseCallback | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts listening and sets `address` to `host:port`."""
        self.address, self._close = await self._network.listen(
            host, port, self._on_connection
        )

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        if self._close is not None:
            await self._close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: FrameWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                peer = await server_handshake(reader, writer, self._vm_id, self._secret)
            await _PeerConnection(self, peer, reader, writer).run()
        except PeerError as error:
            log.warning("A peer connection was rejected.", reason=error)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._connections.discard(task)
            writer.close()


class _PeerConnection:
    """An accepted connection from a peer."""

    def __init__(
        self,
        server: "PeerServer",
        peer: str,
        reader: asyncio.StreamReader,
        writer: FrameWriter,
    ) -> None:
        self._server = server
        self._peer = peer
        self._reader = reader
        self._writer = BatchedWriter(writer)
        self._requests: dict[int, asyncio.Task[None]] = {}

    async def run(self) -> None:
        try:
            while True:
                frame = await read_frame(self._reader)
                one_way = self._server.handlers.one_way.get(type(frame.message))
                if isinstance(frame.message, Cancel):
                    self._cancel_request(frame.request_id)
                elif one_way is not None:
                    one_way(frame.message, Sender(self._peer, frame.epoch))
                else:
                    self._start_request(frame)
        finally:
            for task in list(self._requests.values()):
                task.cancel()

    def _cancel_request(self, request_id: int) -> None:
        task = self._requests.get(request_id)
        if task is not None:
            task.cancel()

    def _start_request(self, frame: Frame) -> None:
        if frame.request_id in self._requests:
            raise ProtocolViolation(f"request id {frame.request_id} is already in use")
        if len(self._requests) >= MAX_REQUESTS_PER_PEER:
            refusal = Refusal("the VM has too many requests", retry_after_s=1.0)
            self._write(frame.request_id, failure_message(refusal))
            return
        task = asyncio.create_task(self._handle_request(frame))
        self._requests[frame.request_id] = task
        task.add_done_callback(lambda _: self._requests.pop(frame.request_id, None))

    async def _handle_request(self, frame: Frame) -> None:
        timeout_s = frame.deadline_ms / 1000 if frame.deadline_ms else None
        sender = Sender(self._peer, frame.epoch, timeout_s)
        streams = type(frame.message) in self._server.handlers.streaming
        self._server.active_streams += streams
        try:
            await self._respond(frame, sender)
        finally:
            self._server.active_streams -= streams

    async def _respond(self, frame: Frame, sender: Sender) -> None:
        handlers = self._server.handlers
        with suppress(OSError):
            try:
                async for response in handlers.handle(frame.message, sender):
                    self._write(frame.request_id, response)
                    await self._writer.drain()
            except Refusal as error:
                self._write(frame.request_id, failure_message(error))
            except TimeoutError:
                refusal = Refusal("the request took too long", not_run=NotRun.UNKNOWN)
                self._write(frame.request_id, failure_message(refusal))
            except (OSError, asyncio.CancelledError):
                raise
            except Exception as error:
                log.error("A request handler failed.", error=repr(error))
                refusal = Refusal("internal error", not_run=NotRun.UNKNOWN)
                self._write(frame.request_id, failure_message(refusal))
            await self._writer.drain()

    def _write(self, request_id: int, message: Message) -> None:
        self._writer.write(pack_frame(Frame(request_id, message, self._server.epoch())))
