"""
HTTP connections that bound what the other side sends besides bodies.

The library bounds one header line, the number of headers and the buffered part of a
body. It does not bound interim responses, empty lines, spaces, and the sizes and
extensions of chunks. Each can go on without end and yields nothing to a reader.
"""

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp import hdrs, web
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler

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


class _CallerConnection(RequestHandler):
    """A server's connection; the first bytes that exceed its bounds close it."""

    __slots__ = ("_body", "_received_bytes", "_refused_bytes", "_ends", "_has_ended")

    def __init__(self, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, **options)
        # The body of the last request that arrived.
        self._body: StreamReader = EMPTY_PAYLOAD
        # Since the head of that request.
        self._received_bytes = 0
        # Of that body, after the response.
        self._refused_bytes = 0
        # Whether the next response is the last one, and whether it has been written.
        self._ends = self._has_ended = False

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
        result = await super().finish_response(request, resp, start_time)
        if self._ends and self.transport is not None:
            self._has_ended = True
            # The response said that requests behind it are not served.
            self._messages.clear()
            self.transport.write_eof()
        return result

    def data_received(self, data: bytes) -> None:
        if self._has_ended:
            self._refused_bytes += len(data)
            if self._refused_bytes > MAX_REFUSED_BODY_BYTES:
                self._refuse()
            return
        # The library calls this without data when it resumes reading.
        if not data:
            self._parse(data)
        while data and self.transport is not None and not self.transport.is_closing():
            allowed_bytes = self._allowed_bytes()
            if allowed_bytes <= 0:
                self._refuse()
                return
            piece, data = data[:allowed_bytes], data[allowed_bytes:]
            self._received_bytes += len(piece)
            if not self._request_in_progress and not self._body.is_eof():
                self._refused_bytes += len(piece)
            self._parse(piece)

    def _parse(self, data: bytes) -> None:
        requests = self._request_count
        super().data_received(data)
        if self._request_count != requests:
            self._body = self._messages[-1][1]
            self._received_bytes = self._body.total_bytes
            self._refused_bytes = 0

    def _allowed_bytes(self) -> int:
        if self._refused_bytes > MAX_REFUSED_BODY_BYTES:
            return 0
        body_bytes = self._body.total_bytes
        overhead_bytes = self._received_bytes - body_bytes
        if self._reading_paused or self._buffer_paused:
            overhead_bytes = 0
        return _allowed_bytes(overhead_bytes, body_bytes, MAX_REQUEST_OVERHEAD_BYTES)

    def _refuse(self) -> None:
        if self.transport is not None:
            log.info("A caller's connection was cut off.", peer=self.peername)
            self.transport.abort()


def close_after(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """
    Tells a caller that a response is the last one on its connection.

    It is not if another request has already been read, which would be dropped.
    """
    connection = request.protocol
    if connection._messages:
        return
    if isinstance(connection, _CallerConnection) and request.content.is_eof():
        response.headers[hdrs.CONNECTION] = "close"
        connection.end_after_response()
    else:
        response.force_close()


class BoundedServer(web.Server):
    """Accepts connections that bound what callers send."""

    def __call__(self) -> RequestHandler:
        return _CallerConnection(self, loop=self._loop, **self._kwargs)
