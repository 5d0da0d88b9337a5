"""Accepts peers' requests and answers them."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from damasksaddle.exceptions import NotRun, PeerError, ProtocolViolation, Refusal
from damasksaddle.utils import get_logger
from damasksaddle_node.peers.buffering import BatchedWriter
from damasksaddle_node.peers.handshake import greet_as_server
from damasksaddle_node.peers.network import Close, Network
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
    """Who sent a request, under which epoch, and how long it may take."""

    vm_id: str
    epoch: int
    timeout_s: float | None = None


Handler = Callable[[Any, Sender], Awaitable[Message]]
StreamHandler = Callable[[Any, Sender], AsyncGenerator[Message, None]]


@dataclass(slots=True)
class Handlers:
    """The handlers of a node by type of message."""

    unary: dict[type, Handler] = field(default_factory=dict)
    streaming: dict[type, StreamHandler] = field(default_factory=dict)

    def add(self, kind: type, handler: Handler) -> None:
        """Registers a handler that gives one answer."""
        self.unary[kind] = handler

    def add_streaming(self, kind: type, handler: StreamHandler) -> None:
        """Registers a handler that gives several answers."""
        self.streaming[kind] = handler

    async def answers(
        self, message: Message, sender: Sender
    ) -> AsyncGenerator[Message, None]:
        """Yields the answers to a message; raises `Refusal`."""
        kind = type(message)
        if kind in self.unary:
            async with asyncio.timeout(sender.timeout_s):
                answer = await self.unary[kind](message, sender)
            yield answer
        elif kind in self.streaming:
            async for answer in self.streaming[kind](message, sender):
                yield answer
        else:
            raise Refusal(f"{kind.__name__} is not a request")


def failure_from(error: Refusal) -> Failure:
    """Returns the message that carries a refusal to another node."""
    retry_ms = -1 if error.retry_after_s is None else int(error.retry_after_s * 1000)
    return Failure(error.code, error.detail, str(error.not_run), retry_ms)


class PeerServer:
    """Listens for peers; one task per connection and one per running request."""

    def __init__(
        self,
        vm_id: str,
        secret: str,
        network: Network,
        handlers: Handlers,
        epoch: Callable[[], int],
    ) -> None:
        self.address = ""
        self._vm_id = vm_id
        self._secret = secret
        self._network = network
        self._handlers = handlers
        self._epoch = epoch
        self._close: Close | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts to listen; `address` then holds `host:port`."""
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
                peer = await greet_as_server(reader, writer, self._vm_id, self._secret)
            await _ServedPeer(peer, reader, writer, self._handlers, self._epoch).run()
        except PeerError as error:
            log.warning("A peer connection was refused.", reason=error)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._connections.discard(task)
            writer.close()


class _ServedPeer:
    """One accepted connection."""

    def __init__(
        self,
        peer: str,
        reader: asyncio.StreamReader,
        writer: FrameWriter,
        handlers: Handlers,
        epoch: Callable[[], int],
    ) -> None:
        self._peer = peer
        self._reader = reader
        self._writer = BatchedWriter(writer)
        self._handlers = handlers
        self._epoch = epoch
        self._running: dict[int, asyncio.Task[None]] = {}

    async def run(self) -> None:
        try:
            while True:
                frame = await read_frame(self._reader)
                if isinstance(frame.message, Cancel):
                    self._cancel(frame.request_id)
                else:
                    self._begin(frame)
        finally:
            for task in list(self._running.values()):
                task.cancel()

    def _cancel(self, request_id: int) -> None:
        task = self._running.get(request_id)
        if task is not None:
            task.cancel()

    def _begin(self, frame: Frame) -> None:
        if frame.request_id in self._running:
            raise ProtocolViolation(f"request {frame.request_id} runs already")
        if len(self._running) >= MAX_REQUESTS_PER_PEER:
            refusal = Refusal("the VM has too many requests", retry_after_s=1.0)
            self._write(frame.request_id, failure_from(refusal))
            return
        task = asyncio.create_task(self._serve(frame))
        self._running[frame.request_id] = task
        task.add_done_callback(lambda _: self._running.pop(frame.request_id, None))

    async def _serve(self, frame: Frame) -> None:
        timeout_s = frame.deadline_ms / 1000 if frame.deadline_ms else None
        sender = Sender(self._peer, frame.epoch, timeout_s)
        with suppress(OSError):
            try:
                async for answer in self._handlers.answers(frame.message, sender):
                    self._write(frame.request_id, answer)
                    await self._writer.drain()
            except Refusal as error:
                self._write(frame.request_id, failure_from(error))
            except TimeoutError:
                refusal = Refusal("the request took too long", not_run=NotRun.UNKNOWN)
                self._write(frame.request_id, failure_from(refusal))
            except (OSError, asyncio.CancelledError):
                raise
            except Exception as error:
                log.error("A handler failed.", error=repr(error))
                refusal = Refusal("internal error", not_run=NotRun.UNKNOWN)
                self._write(frame.request_id, failure_from(refusal))
            await self._writer.drain()

    def _write(self, request_id: int, message: Message) -> None:
        self._writer.write(pack_frame(Frame(request_id, message, self._epoch())))
