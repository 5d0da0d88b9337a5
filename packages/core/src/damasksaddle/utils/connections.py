"""
HTTP connections that bound what the other side sends besides bodies.

The library bounds one header line, the number of headers and the buffered part of a
body. It does not bound interim responses, empty lines, spaces, and the sizes and
extensions of chunks. Each can go on without end and yields nothing to a reader.

A `CallerGuard` also bounds what all connections of callers hold together.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import Any, Protocol

import aiohttp
from aiohttp import hdrs, web
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler

from damasksaddle.exceptions import MemoryExceeded, Refusal
from damasksaddle.utils.logs import get_logger

log = get_logger("connections")

# Bytes besides the body of a response. Heads of upstreams and of the store have less
# than 1 KB.
MAX_RESPONSE_OVERHEAD_BYTES = 64 * 1024
# Bytes besides the body of a request, and of the next head: twice the longest header
# that the gateway accepts, so that it still refuses a long head with a status.
MAX_REQUEST_OVERHEAD_BYTES = 128 * 1024
# Additional bytes for each byte of a body. A chunk of two bytes has 2.5 for each. Long
# bodies in chunks of one byte are refused: each chunk takes about 10 us to parse.
MAX_OVERHEAD_PER_BODY_BYTE = 4
# Bytes that are read after the response to a request whose body has not ended, so that
# the caller can finish it and read the response: twice the usual limit of a body.
MAX_REFUSED_BODY_BYTES = 8 * 1024 * 1024
# Empty lines before a request. Clients send one at most, after an earlier body.
MAX_EMPTY_LINE_BYTES = 1024
# Most bytes that one read of a caller's connection returns; what is not parsed yet is
# kept.
MAX_READ_BYTES = 64 * 1024
# Bytes of a body that are parsed before it is known whether its chunks are small, and
# bytes besides such chunks that are parsed in one turn of the loop: those of 170
# chunks, which take 2 ms.
FIRST_PIECE_BYTES = 1024
# Memory for each byte of a head: the bytes, the text, and the objects of a field.
HEAD_FACTOR = 4
# Most bytes of a response that wait for a slow caller: one buffered response.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
# A caller makes progress if it sends so many bytes; single bytes are no progress.
PROGRESS_BYTES = 1024
# A request that holds less may use the part of the budget that is kept for small ones.
SMALL_REQUEST_BYTES = 64 * 1024


class OverheadExceeded(aiohttp.ClientPayloadError):
    """The other side sent too many bytes that are not part of a body."""


def _allowed_bytes(overhead_bytes: int, body_bytes: int, limit_bytes: int) -> int:
    """Returns how many bytes may follow without any of them being part of a body."""
    return limit_bytes + MAX_OVERHEAD_PER_BODY_BYTE * body_bytes - overhead_bytes


class BoundedConnection(ResponseHandler):
    """
    A client's connection; the first bytes that exceed its bounds close it.

    While idle, it accepts no bytes: they would be parsed and kept without a bound.
    """

    # Set while the connection waits in the pool.
    idle = False
    # Since the last request was sent.
    _received_bytes = 0

    def set_response_params(self, **params: Any) -> None:
        self.idle = False
        self._received_bytes = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        # The library calls this without data when it resumes reading.
        if not data:
            super().data_received(data)
        while data and self.transport is not None and not self.transport.is_closing():
            if self.idle:
                log.info("Bytes arrived without a request.", peer=self._peer())
                self.abort()
                return
            allowed_bytes = self._allowed_bytes()
            if allowed_bytes <= 0:
                self._refuse()
                return
            # What exceeds the bound is not parsed.
            piece, data = data[:allowed_bytes], data[allowed_bytes:]
            self._received_bytes += len(piece)
            super().data_received(piece)

    def _allowed_bytes(self) -> int:
        body_bytes = self._payload.total_bytes if self._payload is not None else 0
        overhead_bytes = self._received_bytes - body_bytes
        if self._reading_paused:
            # The parser keeps bytes that it will parse once the body is read.
            overhead_bytes = 0
        return _allowed_bytes(overhead_bytes, body_bytes, MAX_RESPONSE_OVERHEAD_BYTES)

    def _refuse(self) -> None:
        error = OverheadExceeded(
            f"{self._received_bytes} bytes arrived with too little of a body"
        )
        log.info("A response was cut off.", peer=self._peer(), error=error)
        payload = self._payload
        self.abort()
        self.set_exception(error)
        if payload is not None:
            set_exception(payload, error)

    def _peer(self) -> object:
        return self.transport and self.transport.get_extra_info("peername")


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections of the class `connection_type`."""

    connection_type = BoundedConnection

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory: partial[Any] = partial(
            self.connection_type, loop=asyncio.get_running_loop()
        )

    def _release(self, key: Any, protocol: ResponseHandler, **options: Any) -> None:
        if isinstance(protocol, BoundedConnection):
            protocol.idle = True
        super()._release(key, protocol, **options)


class Memory(StrEnum):
    """What a connection holds memory for."""

    CONNECTIONS = "connections"
    HEADS = "heads"
    BODIES = "bodies"
    RESPONSES = "responses"
    CHAINS = "chains"
    OUTPUTS = "outputs"


class CallerGuard(Protocol):
    """Bounds the number of connections of callers and the memory that they hold."""

    def on_connected(self, connection: "CallerConnection") -> bool:
        """Returns whether the connection may stay open."""

    def on_disconnected(self, connection: "CallerConnection") -> None: ...

    def reserve(
        self, connection: "CallerConnection", kind: Memory, size_bytes: int
    ) -> bool:
        """Returns whether the connection may hold more bytes."""

    def release(
        self, connection: "CallerConnection", kind: Memory, size_bytes: int
    ) -> None: ...


class _Turns:
    """
    Runs callbacks that take long, one in a turn of the loop.

    After each, the loop has the same time for everything else.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._callbacks: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def add(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        started_s = self._loop.time()
        try:
            self._callbacks.popleft()()
        finally:
            self._is_scheduled = bool(self._callbacks)
            if self._is_scheduled:
                self._loop.call_later(self._loop.time() - started_s, self._run)


@dataclass(slots=True)
class _RequestMemory:
    """Bytes that are reserved for one request."""

    head_bytes: int
    body_bytes: int = 0


class CallerConnection(RequestHandler):
    """
    A server's connection; the first bytes that exceed its bounds close it.

    It reserves memory at its guard for what it holds: the heads and bodies of requests
    until their responses are written, and the unsent part of responses.
    """

    __slots__ = (
        "_body",
        "_received_bytes",
        "_refused_bytes",
        "_ends",
        "_has_ended",
        "guard",
        "_wire",
        "_turns",
        "_deferred",
        "_is_scheduled",
        "_piece_bytes",
        "_has_small_chunks",
        "_requests",
        "_head_bytes",
        "_last_head_bytes",
        "_head_is_blank",
        "_empty_bytes",
        "_response_bytes",
        "_unsent_bytes",
        "_on_refused",
        "_progress_bytes",
        "refusal",
        "held_bytes",
        "workspace",
        "head_started_s",
        "read_s",
        "sent_s",
    )

    def __init__(
        self,
        manager: web.Server,
        guard: CallerGuard | None,
        turns: _Turns,
        **options: Any,
    ) -> None:
        super().__init__(manager, **options)
        # The body of the last request that arrived.
        self._body: StreamReader = EMPTY_PAYLOAD
        # Since the head of that request.
        self._received_bytes = 0
        # Of that body, after the response.
        self._refused_bytes = 0
        # Whether the next response is the last one, and whether it has been written.
        self._ends = self._has_ended = False
        self.guard = guard
        # The transport until it is closed; the library forgets it before what was
        # written has been sent.
        self._wire: asyncio.Transport | None = None
        self._turns = turns
        # Bytes that were read and are not parsed yet; reading is paused meanwhile.
        self._deferred = b""
        self._is_scheduled = False
        # Bytes that may be parsed in one turn: fewer if the chunks are small.
        self._piece_bytes = FIRST_PIECE_BYTES
        self._has_small_chunks = False
        # Reserved for requests whose response is not written yet, in their order, and
        # for the head that has begun to arrive.
        self._requests: deque[_RequestMemory] = deque()
        self._head_bytes = 0
        # The library keeps the last head until the next request.
        self._last_head_bytes = 0
        # Whether only empty lines arrived since the last request, and their bytes.
        self._head_is_blank = True
        self._empty_bytes = 0
        # Reserved for the response that is read, and for what the caller has to read.
        self._response_bytes = self._unsent_bytes = 0
        # Ends the wait for a body that is refused.
        self._on_refused: Callable[[], None] | None = None
        # Why the rest of the present body is discarded.
        self.refusal: Refusal | None = None
        self.held_bytes = 0
        self.workspace = ""
        # Since `read_s`.
        self._progress_bytes = 0
        # When the head began to arrive, the caller last sent a part of some size, and
        # it last read a part of what it was sent.
        self.head_started_s: float | None = None
        self.read_s = self.sent_s = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        self._wire = transport
        # Private to the library's transport; other transports ignore it.
        transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]
        if self.guard is not None and not self.guard.on_connected(self):
            self.abort("no descriptor or memory for it")

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        self._wire = None
        self._deferred = b""
        self._release_requests()
        self.release(Memory.HEADS, self._last_head_bytes)
        self._last_head_bytes = 0
        self.release(Memory.RESPONSES, self._unsent_bytes)
        self._unsent_bytes = 0
        if self.guard is not None:
            self.guard.on_disconnected(self)

    def end_after_response(self) -> None:
        """
        Makes the next response the last one on this connection.

        The connection then sends its end, but stays open until the caller has closed
        it. If it were closed while a part of the response is in transit, a request
        from the caller would reset it, and that part would be lost.
        """
        self._ends = True

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: Any
    ) -> tuple[web.StreamResponse, bool]:
        if self._ends and not resp.prepared:
            resp.headers[hdrs.CONNECTION] = "close"
        try:
            result = await super().finish_response(request, resp, start_time)
        finally:
            self._release_request()
        if self._ends and self.transport is not None:
            self._has_ended = True
            # The response said that requests behind it are not served.
            self._messages.clear()
            self._release_requests()
            self.transport.write_eof()
        return result

    # Reading

    def data_received(self, data: bytes) -> None:
        self._progress_bytes += len(data)
        if self._progress_bytes >= PROGRESS_BYTES:
            self._record_progress()
        if self._has_ended or self.refusal is not None:
            self._refused_bytes += len(data)
            if self._refused_bytes > MAX_REFUSED_BODY_BYTES:
                self._refuse()
            return
        if not data:
            # The library calls this without data when it resumes reading.
            self._parse(data)
        elif self._deferred:
            self._defer(self._deferred + data)
        else:
            self._feed(data)

    def _record_progress(self) -> None:
        self._progress_bytes = 0
        self.read_s = self._loop.time()

    def _feed(self, data: bytes) -> None:
        """Parses data, as much as one turn of the loop has time for."""
        while data and self.transport is not None and not self.transport.is_closing():
            if self._reading_paused or self._buffer_paused:
                self._defer(data)
                return
            allowed_bytes = self._allowed_bytes()
            if allowed_bytes <= 0:
                self._refuse()
                return
            size_bytes = min(allowed_bytes, self._piece_bytes)
            piece, data = data[:size_bytes], data[size_bytes:]
            self._received_bytes += len(piece)
            if not self._request_in_progress and not self._body.is_eof():
                self._refused_bytes += len(piece)
            if not self._parse(piece):
                return
            if self._has_small_chunks and data:
                self._defer(data)
                self._schedule()
                return

    def _parse(self, data: bytes) -> bool:
        """Parses data and returns whether there was memory for it."""
        requests, body = self._request_count, self._body
        in_body, body_bytes = not body.is_eof(), body.total_bytes
        super().data_received(data)
        new_requests = self._request_count - requests
        if new_requests:
            self._body = self._messages[-1][1]
            self._received_bytes = self._body.total_bytes
            self._refused_bytes = 0
            self._piece_bytes = FIRST_PIECE_BYTES
            self._has_small_chunks = False
            self._record_progress()
            head_bytes = max(0, len(data) - self._body.total_bytes)
            return self._add_requests(new_requests, HEAD_FACTOR * head_bytes)
        if in_body:
            added_bytes = body.total_bytes - body_bytes
            if data:
                self._fit_piece(len(data), added_bytes)
            return self._add_body(added_bytes)
        self._piece_bytes = min(2 * self._piece_bytes, MAX_READ_BYTES)
        return self._add_head(data)

    def _fit_piece(self, size_bytes: int, body_bytes: int) -> None:
        """Fits what is parsed in one turn to the chunks of the last piece."""
        overhead_bytes = size_bytes - body_bytes
        piece_bytes = FIRST_PIECE_BYTES * size_bytes // (overhead_bytes + 1)
        self._piece_bytes = max(FIRST_PIECE_BYTES, min(piece_bytes, MAX_READ_BYTES))
        self._has_small_chunks = self._piece_bytes < MAX_READ_BYTES

    def _defer(self, data: bytes) -> None:
        self._deferred = data
        self._pause_transport_reading()

    def _resume_transport_reading(self) -> None:
        if self._deferred:
            self._schedule()
        else:
            super()._resume_transport_reading()

    def _schedule(self) -> None:
        """Has the rest of the data parsed in a later turn of the loop."""
        if self._is_scheduled:
            return
        self._is_scheduled = True
        if self._has_small_chunks:
            self._turns.add(self._continue)
        else:
            self._loop.call_soon(self._continue)

    def _continue(self) -> None:
        self._is_scheduled = False
        if self.transport is None or self._reading_paused or self._buffer_paused:
            return
        data, self._deferred = self._deferred, b""
        if not self._has_ended and self.refusal is None:
            self._feed(data)
        if not self._deferred and not self._reading_paused and not self._buffer_paused:
            super()._resume_transport_reading()

    def _allowed_bytes(self) -> int:
        if self._refused_bytes > MAX_REFUSED_BODY_BYTES:
            return 0
        body_bytes = self._body.total_bytes
        overhead_bytes = self._received_bytes - body_bytes
        return _allowed_bytes(overhead_bytes, body_bytes, MAX_REQUEST_OVERHEAD_BYTES)

    def _refuse(self) -> None:
        self.abort("too many bytes that are no part of a body")

    def abort(self, reason: str) -> None:
        """Closes the connection at once; what was not sent is discarded."""
        wire, self._wire = self._wire, None
        if wire is not None:
            log.info(
                "A caller's connection was cut off.",
                peer=wire.get_extra_info("peername"),
                reason=reason,
            )
            wire.abort()

    # Memory

    def reserve(self, kind: Memory, size_bytes: int) -> bool:
        """Reserves memory that is held until it is released; False without room."""
        if not size_bytes or self.guard is None:
            return True
        if not self.guard.reserve(self, kind, size_bytes):
            return False
        self.held_bytes += size_bytes
        return True

    def release(self, kind: Memory, size_bytes: int) -> None:
        """Releases a part of what was reserved."""
        if size_bytes and self.guard is not None:
            self.held_bytes -= size_bytes
            self.guard.release(self, kind, size_bytes)

    def _add_head(self, data: bytes) -> bool:
        """Accounts for a part of a head that has not ended."""
        if not data or self.transport is None:
            return True
        if self._head_is_blank and not data.strip(b"\r\n"):
            self._empty_bytes += len(data)
            if self._empty_bytes > MAX_EMPTY_LINE_BYTES:
                self.abort("too many empty lines")
                return False
            return True
        self._head_is_blank = False
        if self.head_started_s is None:
            self.head_started_s = self._loop.time()
        size_bytes = HEAD_FACTOR * len(data)
        if self.reserve(Memory.HEADS, size_bytes):
            self._head_bytes += size_bytes
            return True
        self.abort("no memory for a head")
        return False

    def _add_requests(self, number: int, head_bytes: int) -> bool:
        """Accounts for requests whose heads have ended, and the body of the last."""
        has_room = self.reserve(Memory.HEADS, head_bytes)
        if has_room:
            self._head_bytes += head_bytes
        # Which request has which part of the bytes is not known, nor needed.
        self._requests.extend(_RequestMemory(0) for _ in range(number - 1))
        self._requests.append(_RequestMemory(self._head_bytes))
        self._head_bytes = self._empty_bytes = 0
        self._head_is_blank = True
        self.head_started_s = None
        if not has_room:
            self.refuse_body(MemoryExceeded())
            return False
        return self._add_body(self._body.total_bytes)

    def _add_body(self, size_bytes: int) -> bool:
        # After the response, what arrives is read and discarded.
        if not self._requests or not size_bytes:
            return True
        if self.reserve(Memory.BODIES, size_bytes):
            self._requests[-1].body_bytes += size_bytes
            return True
        self.refuse_body(MemoryExceeded())
        return False

    def _release_request(self) -> None:
        if self._requests:
            request = self._requests.popleft()
            self.release(Memory.HEADS, self._last_head_bytes)
            self._last_head_bytes = request.head_bytes
            self.release(Memory.BODIES, request.body_bytes)
        self.release(Memory.RESPONSES, self._response_bytes)
        self._response_bytes = 0

    def _release_requests(self) -> None:
        while self._requests:
            self._release_request()
        self._release_request()
        self.release(Memory.HEADS, self._head_bytes)
        self._head_bytes = 0

    def hold_response(self, size_bytes: int) -> bool:
        """Reserves memory for a part of the present response, until it is written."""
        if not self.reserve(Memory.RESPONSES, size_bytes):
            return False
        self._response_bytes += size_bytes
        return True

    def release_response(self) -> None:
        """Releases what `hold_response` reserved."""
        self.release(Memory.RESPONSES, self._response_bytes)
        self._response_bytes = 0

    def account_unsent(self) -> bool:
        """
        Adapts what is reserved to what the caller has not read yet.

        Without room for it, the connection is closed and the result False.
        """
        if self._wire is None:
            return True
        size_bytes = self._wire.get_write_buffer_size()
        added_bytes = size_bytes - self._unsent_bytes
        if added_bytes < 0 or not size_bytes:
            self.sent_s = self._loop.time()
        if size_bytes > MAX_UNSENT_BYTES:
            self.abort("too much of a response is unread")
            return False
        if added_bytes <= 0:
            self.release(Memory.RESPONSES, -added_bytes)
        elif not self.reserve(Memory.RESPONSES, added_bytes):
            self.abort("no memory for a response that is read slowly")
            return False
        self._unsent_bytes = size_bytes
        return True

    def pause_writing(self) -> None:
        super().pause_writing()
        self.account_unsent()

    def resume_writing(self) -> None:
        super().resume_writing()
        self.account_unsent()

    # Refusals

    @property
    def is_idle(self) -> bool:
        """Tells whether the connection waits for a request, or for its close."""
        return self._has_ended or (self._waiter is not None and not self._waiter.done())

    @property
    def is_reading_body(self) -> bool:
        """Tells whether a handler waits for the rest of a body."""
        return self._on_refused is not None and self.refusal is None

    @property
    def has_ended(self) -> bool:
        """Tells whether the connection only waits until the caller closes it."""
        return self._has_ended

    @property
    def has_small_chunks(self) -> bool:
        """Tells whether the present body takes long to parse."""
        return self._has_small_chunks

    @property
    def unsent_bytes(self) -> int:
        return self._unsent_bytes

    def refuse_body(self, refusal: Refusal) -> None:
        """
        Discards the present body, whose reader ends with a refusal of this type.

        The response is the last one on the connection.
        """
        self.refusal = refusal
        self._deferred = b""
        self._release_requests()
        self.end_after_response()
        super()._resume_transport_reading()
        if self._on_refused is not None:
            self._on_refused()

    @contextmanager
    def reading_body(self, on_refused: Callable[[], None]) -> Iterator[None]:
        """Calls `on_refused`, at most once, if the body is refused meanwhile."""
        self._on_refused = on_refused
        try:
            if self.refusal is not None:
                on_refused()
            yield
        finally:
            self._on_refused = None


def connection_of(request: web.BaseRequest) -> CallerConnection:
    """Returns the connection of a request to a `BoundedServer`."""
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    return connection


def close_after(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """
    Tells a caller that a response is the last one on its connection.

    It is not if another request has already been read, which would be dropped.
    """
    connection = request.protocol
    if connection._messages:
        return
    if isinstance(connection, CallerConnection) and request.content.is_eof():
        response.headers[hdrs.CONNECTION] = "close"
        connection.end_after_response()
    else:
        response.force_close()


class BoundedServer(web.Server):
    """
    Accepts connections that bound what callers send.

    A `guard` bounds all of them together.
    """

    def __init__(
        self, handler: Any, guard: CallerGuard | None = None, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self._guard = guard
        self._turns = _Turns(self._loop)

    def __call__(self) -> RequestHandler:
        return CallerConnection(
            self, self._guard, self._turns, loop=self._loop, **self._kwargs
        )
