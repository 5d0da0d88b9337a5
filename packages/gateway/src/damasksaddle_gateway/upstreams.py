"""
Sends requests to upstreams over keep-alive connections.

Requests are never retried here. Each failure has an exception type that tells the
caller of `send` whether a retry is permitted.
"""

import asyncio
import re
import time
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

import aiohttp
from aiohttp import hdrs, web
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from damasksaddle.exceptions import DamasksaddleError, OutcomeUnknown
from damasksaddle.utils import boottime_s
from damasksaddle.utils.connections import BoundedConnection, BoundedConnector
from damasksaddle_gateway.histories.chains import ChainBody
from damasksaddle_gateway.interfaces import HeaderCodec, ResponseMetadata
from damasksaddle_gateway.memory.upstream_bodies import (
    BytesInFlight,
    PacedBody,
    PiecewiseBody,
)
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_gateway.upstream_limits import UpstreamLimits

CONNECT_TIMEOUT_S = 0.4
# Upstreams close idle connections after their own timeout, which is a few seconds.
KEEPALIVE_S = 4.0
# An idle connection is closed this long before the timeout that its upstream names. A
# request on a connection that the upstream closes meanwhile may have run.
KEEPALIVE_MARGIN_S = 0.5
_KEEPALIVE_TIMEOUT = re.compile(r"(?:^|[,\s])timeout=(\d{1,5})(?:$|[,\s])", re.I)
# Time for the answer to a probe. It may wait for a slot of its upstream.
PROBE_TIMEOUT_S = 1.0
# Maximum size of a plain response that is buffered before it is relayed.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Maximum length of one header line, and number of lines, of a response.
MAX_HEADER_LINE_BYTES = 8190
MAX_HEADERS = 128
# An interim status that the library returns as a response; no request asks for it.
SWITCHING_PROTOCOLS = 101
# The statuses that HTTP defines (RFC 9110, section 15). The library returns any number.
STATUSES = range(100, 600)


class Liveness(Enum):
    """What a probe of an upstream process tells."""

    ALIVE = auto()
    # Nothing listens at its address, or another process.
    GONE = auto()
    SILENT = auto()


class UpstreamAttemptError(DamasksaddleError):
    """Base class of failed attempts to get a usable response."""


class UpstreamUnreachable(UpstreamAttemptError):
    """The connection failed before the request was sent, so it did not run."""


class UpstreamRejected(UpstreamAttemptError):
    """The upstream reported that it did not run the request."""

    def __init__(self, status: int, misdirected: bool) -> None:
        super().__init__(f"status {status}")
        self.misdirected = misdirected


class ResponseInterrupted(UpstreamAttemptError):
    """The request was sent but no complete response arrived, so it may have run."""


class RunUnknown(UpstreamAttemptError):
    """
    The status of a complete response promises that the request did not run, which the
    upstream did not state, so it may have run.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status} of a request that may have run")


class BodyInterrupted(ResponseInterrupted):
    """The rest of the request's body could not be read while it was sent."""


class _Connection(BoundedConnection):
    """Records the error that closed the connection."""

    close_error: BaseException | None = None
    # How long the connection may stay idle, if its upstream names a timeout.
    keepalive_s: float | None = None

    def is_connected(self) -> bool:
        """
        Tells whether the connection can carry another request.

        Bytes that arrived while it was idle belong to an earlier request, and would be
        taken for the response to the next one.
        """
        return super().is_connected() and not self.should_close

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """
        Takes a response from the parser.

        A connection that carried an invalid one is not used again. The library returns
        a connection to the pool as soon as it has the whole response, before `_head`
        sees it.
        """
        if data[0].code not in STATUSES:
            self._should_close = True
        header = data[0].headers.get(hdrs.KEEP_ALIVE)
        if header is not None:
            self.keepalive_s = keepalive_s(header)
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        self.close_error = exc
        super().connection_lost(exc)


@dataclass(slots=True)
class _Attempt:
    """What is known of one attempt; aiohttp passes it to the trace callbacks."""

    request_id: str
    connection_reused: bool = False


async def _on_connection_reused(
    session: aiohttp.ClientSession, context: Any, params: Any
) -> None:
    context.trace_request_ctx.connection_reused = True


class _Connector(BoundedConnector):
    connection_type = _Connection

    def __init__(self, keepalive_s: float | None) -> None:
        # The library's keys of connections, by address.
        self._keys: dict[str, Any] = {}
        keepalive: dict[str, Any] = {"force_close": True}
        if keepalive_s is not None:
            keepalive = {"keepalive_timeout": keepalive_s}
        super().__init__(limit=0, use_dns_cache=False, **keepalive)

    def _release(self, key: Any, protocol: ResponseHandler, **options: Any) -> None:
        super()._release(key, protocol, **options)
        idle = self._conns.get(key)
        if not idle or idle[-1][0] is not protocol:
            return
        self._keys[f"{key.host}:{key.port}"] = key
        if isinstance(protocol, _Connection) and protocol.keepalive_s is not None:
            # The library compares the time since then with `KEEPALIVE_S`.
            since_s = idle[-1][1] + protocol.keepalive_s - KEEPALIVE_S
            idle[-1] = protocol, since_s

    def has_idle(self, address: str) -> bool:
        """Tells whether a connection to an address can carry a request at once."""
        key = self._keys.get(address)
        if key is None:
            return False
        now_s = time.monotonic()
        return any(
            now_s - since_s <= KEEPALIVE_S and protocol.is_connected()
            for protocol, since_s in self._conns.get(key, ())
        )


@dataclass(slots=True)
class UpstreamResponse:
    """The head of an upstream's response; `metadata` is decoded from it."""

    upstream: Upstream
    status: int
    headers: CIMultiDictProxy[str]
    metadata: ResponseMetadata
    response: aiohttp.ClientResponse
    connection: _Connection | None

    async def body(self, hold: Callable[[int], bool]) -> bytes:
        """
        Returns the complete body.

        `hold` reserves memory for bytes and returns whether there is any. Raises
        `ResponseInterrupted`, also if the body exceeds `MAX_RESPONSE_BYTES`, and
        `OutcomeUnknown` without memory.
        """
        chunks: list[bytes] = []
        size_bytes = 0
        try:
            async for chunk in self.chunks():
                size_bytes += len(chunk)
                if size_bytes > MAX_RESPONSE_BYTES:
                    raise ResponseInterrupted(
                        f"the response has more than {MAX_RESPONSE_BYTES} bytes"
                    )
                if not hold(len(chunk)):
                    raise OutcomeUnknown("no memory for the response")
                chunks.append(chunk)
            return b"".join(chunks)
        finally:
            # The traceback of an exception refers to this list.
            chunks.clear()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; raises `ResponseInterrupted`."""
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise ResponseInterrupted(repr(error)) from error
        if self.connection is not None and self.connection.close_error is not None:
            raise ResponseInterrupted(repr(self.connection.close_error))


class UpstreamClient:
    """HTTP client for upstreams."""

    def __init__(self, codec: HeaderCodec, limits: UpstreamLimits) -> None:
        self._codec = codec
        self._limits = limits
        # Called with an upstream that says in a response that it leaves.
        self.on_leaving: Callable[[Upstream], None] = lambda upstream: None
        self._session: aiohttp.ClientSession | None = None
        # For requests that must not use a kept connection.
        self._closing_session: aiohttp.ClientSession | None = None
        self._bytes_in_flight = BytesInFlight()

    async def start(self) -> None:
        """Opens the client sessions; requires a running event loop."""
        self._session = self._open_session(KEEPALIVE_S)
        self._closing_session = self._open_session(None)

    @staticmethod
    def _open_session(keepalive_s: float | None) -> aiohttp.ClientSession:
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(_on_connection_reused)
        session = aiohttp.ClientSession(
            connector=_Connector(keepalive_s),
            trace_configs=[trace],
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            max_headers=MAX_HEADERS,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
            ),
        )
        # aiohttp would retry idempotent methods, but here the route decides on retries.
        session._retry_connection = False
        return session

    def connected(self, upstreams: Iterable[Upstream]) -> frozenset[str]:
        """Returns the ids of upstreams to which a connection is idle."""
        connector = self._session.connector if self._session else None
        if not isinstance(connector, _Connector):
            return frozenset()
        return frozenset(
            upstream.id
            for upstream in upstreams
            if connector.has_idle(upstream.address)
        )

    async def stop(self) -> None:
        """Closes all connections."""
        for session in (self._session, self._closing_session):
            if session is not None:
                await session.close()

    async def probe(self, upstream: Upstream, health_path: str) -> Liveness:
        """
        Asks an upstream process for its health; any answer shows that it runs.

        Without a `health_path`, only a connection is tried.
        """
        if not health_path:
            return await _connect(upstream)
        assert self._closing_session is not None
        url = URL(f"http://{upstream.address}{health_path}", encoded=True)
        try:
            async with (
                asyncio.timeout(PROBE_TIMEOUT_S),
                self._closing_session.get(
                    url,
                    headers=self._codec.probe_headers(upstream),
                    allow_redirects=False,
                    trace_request_ctx=_Attempt(""),
                ) as response,
            ):
                metadata = self._codec.decode_response(
                    response.status, response.headers
                )
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return Liveness.GONE if refused else Liveness.SILENT
        except (aiohttp.ClientError, OSError, TimeoutError):
            return Liveness.SILENT
        is_other = metadata.upstream_id not in ("", upstream.id)
        return Liveness.GONE if metadata.misdirected or is_other else Liveness.ALIVE

    @asynccontextmanager
    async def send(
        self,
        upstream: Upstream,
        method: str,
        raw_path: str,
        headers: CIMultiDict[str],
        body: bytes | ChainBody,
        request_id: str,
        fresh_connection: bool = False,
    ) -> AsyncIterator[UpstreamResponse]:
        """
        Sends a request once and yields the head of the response.

        `fresh_connection` is needed for a request that the upstream rejected before: on
        the same connection, a repeated rejection looks like that of this attempt.
        Raises `UpstreamUnreachable`, `UpstreamRejected` or `ResponseInterrupted`, and
        `BodyInterrupted` if the body could not be read. Leaving the context before the
        body is read closes the connection, which cancels the request at the upstream.
        """
        size_bytes = body.size_bytes if isinstance(body, ChainBody) else len(body)
        if not self._bytes_in_flight.add(upstream.id, size_bytes):
            raise UpstreamRejected(web.HTTPServiceUnavailable.status_code, False)
        try:
            async with self._send(
                upstream, method, raw_path, headers, body, request_id, fresh_connection
            ) as response:
                yield response
        finally:
            self._bytes_in_flight.remove(upstream.id, size_bytes)

    @asynccontextmanager
    async def _send(
        self,
        upstream: Upstream,
        method: str,
        raw_path: str,
        headers: CIMultiDict[str],
        body: bytes | ChainBody,
        request_id: str,
        fresh_connection: bool,
    ) -> AsyncIterator[UpstreamResponse]:
        session = self._closing_session if fresh_connection else self._session
        assert session is not None
        attempt = _Attempt(request_id)
        url = URL(f"http://{upstream.address}{raw_path}", encoded=True)
        sent_s = boottime_s()
        try:
            response = await session.request(
                method,
                url,
                headers=headers,
                data=_payload(body),
                allow_redirects=False,
                trace_request_ctx=attempt,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamUnreachable(repr(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            if isinstance(body, ChainBody) and body.error is not None:
                raise BodyInterrupted(repr(body.error)) from error
            raise ResponseInterrupted(repr(error)) from error
        try:
            yield await self._head(response, attempt, upstream, sent_s)
        finally:
            if not response.content.is_eof():
                response.close()
            response.release()

    async def _head(
        self,
        response: aiohttp.ClientResponse,
        attempt: _Attempt,
        upstream: Upstream,
        sent_s: float,
    ) -> UpstreamResponse:
        if response.status not in STATUSES:
            # Its headers mean nothing either.
            _close_connection(response)
            raise ResponseInterrupted(f"{response.status} is no status of HTTP")
        if response.status == SWITCHING_PROTOCOLS:
            _close_connection(response)
            raise ResponseInterrupted("the connection changes to another protocol")
        metadata = self._codec.decode_response(response.status, response.headers)
        if metadata.leaving:
            self.on_leaving(upstream)
        if metadata.request_id and metadata.request_id != attempt.request_id:
            _close_connection(response)
            raise ResponseInterrupted("the response belongs to another request")
        if metadata.not_run and not metadata.request_id and attempt.connection_reused:
            _close_connection(response)
            raise ResponseInterrupted("the rejection may be that of an earlier request")
        self._limits.record_response(upstream, metadata, sent_s)
        if metadata.not_run:
            raise UpstreamRejected(response.status, metadata.misdirected)
        connection = _connection_ending_body(response)
        return UpstreamResponse(
            upstream, response.status, response.headers, metadata, response, connection
        )


def _payload(body: bytes | ChainBody) -> PacedBody | PiecewiseBody | None:
    match body:
        case ChainBody():
            return PiecewiseBody(body)
        case b"":
            return None
        case _:
            return PacedBody(body)


def _close_connection(response: aiohttp.ClientResponse) -> None:
    """
    Closes the connection of a response that does not belong to its request.

    `ClientResponse.close` leaves it open if the whole response has arrived, because the
    library has returned the connection to the pool by then.
    """
    connection = response._protocol
    response.close()
    if connection is not None:
        connection.force_close()
        connection.close()


async def refuses_connections(upstream: Upstream) -> bool:
    """
    Tells whether no process listens at the address of an upstream.

    An upstream that cannot be reached, or accepts no more connections, has not ended.
    """
    return await _connect(upstream) is Liveness.GONE


async def _connect(upstream: Upstream) -> Liveness:
    host, _, port = upstream.address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Liveness.GONE
    except (OSError, TimeoutError):
        return Liveness.SILENT
    writer.close()
    return Liveness.ALIVE


def keepalive_s(header: str) -> float | None:
    """
    Returns how long a connection may stay idle, or None if the header names no timeout.

    >>> keepalive_s("timeout=5, max=100")
    4.5
    """
    match = _KEEPALIVE_TIMEOUT.search(header)
    return max(0.0, int(match[1]) - KEEPALIVE_MARGIN_S) if match else None


def _connection_ending_body(response: aiohttp.ClientResponse) -> _Connection | None:
    """
    Returns the connection whose close ends the body, or None if the body is framed.

    Such a body is complete only if the connection was closed and not reset.
    """
    headers = response.headers
    if hdrs.CONTENT_LENGTH in headers or hdrs.TRANSFER_ENCODING in headers:
        return None
    connection = response.connection
    protocol = connection.protocol if connection is not None else None
    return protocol if isinstance(protocol, _Connection) else None
