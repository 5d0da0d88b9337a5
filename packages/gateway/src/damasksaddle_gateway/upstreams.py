"""
Sends requests to upstreams, with connections that are kept.

Nothing here repeats a request. The outcome of a try is a type, so that the caller of
`send` decides what may be tried again.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from typing import Any

import aiohttp
from aiohttp import hdrs
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from damasksaddle.exceptions import DamasksaddleError
from damasksaddle_gateway.interfaces import HeaderCodec, ResponseMetadata
from damasksaddle_gateway.routing_config import Upstream

CONNECT_TIMEOUT_S = 0.4
# Upstreams close idle connections after a timeout of their own, in seconds.
KEEPALIVE_S = 4.0
# The largest body of a plain answer that is read whole before it is passed on.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class UpstreamAttemptError(DamasksaddleError):
    """Base of what ends a try without a usable answer."""


class UpstreamUnreachable(UpstreamAttemptError):
    """Nothing was sent: the request has not run there."""


class UpstreamRejected(UpstreamAttemptError):
    """The upstream said that it did not run the request."""

    def __init__(self, status: int, misdirected: bool) -> None:
        super().__init__(f"status {status}")
        self.misdirected = misdirected


class ResponseInterrupted(UpstreamAttemptError):
    """The request was sent and no complete answer came: it may have run."""


class _Connection(ResponseHandler):
    """Remembers how the connection ended."""

    close_error: BaseException | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        self.close_error = exc
        super().connection_lost(exc)


class _Connector(aiohttp.TCPConnector):
    def __init__(self) -> None:
        super().__init__(limit=0, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False)
        self._factory: partial[Any] = partial(
            _Connection, loop=asyncio.get_running_loop()
        )


@dataclass(slots=True)
class UpstreamResponse:
    """The head of an upstream's answer; `facts` are what its headers tell."""

    status: int
    headers: CIMultiDictProxy[str]
    metadata: ResponseMetadata
    response: aiohttp.ClientResponse
    connection: _Connection | None

    async def body(self) -> bytes:
        """Returns the whole body; raises `BrokenOff`."""
        chunks = [chunk async for chunk in self.chunks()]
        return b"".join(chunks)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; raises `BrokenOff`."""
        try:
            async for chunk in self.response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            raise ResponseInterrupted(repr(error)) from error
        if self.connection is not None and self.connection.close_error is not None:
            raise ResponseInterrupted(repr(self.connection.close_error))


class UpstreamClient:
    """Connections to upstreams."""

    def __init__(self, codec: HeaderCodec) -> None:
        self._codec = codec
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Opens the client; needs the running loop."""
        self._session = aiohttp.ClientSession(
            connector=_Connector(),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
            ),
        )
        # The client would send a request again by its method; here the route decides.
        self._session._retry_connection = False

    async def stop(self) -> None:
        """Closes all connections."""
        if self._session is not None:
            await self._session.close()

    @asynccontextmanager
    async def send(
        self,
        upstream: Upstream,
        method: str,
        raw_path: str,
        headers: CIMultiDict[str],
        body: bytes,
        request_id: str,
    ) -> AsyncIterator[UpstreamResponse]:
        """
        Sends a request once and yields the head of its answer.

        Raises `NotReached`, `NotTaken` or `BrokenOff`. Leaving the context before
        the body was read ends the connection, which stops the upstream's work.
        """
        assert self._session is not None
        url = URL(f"http://{upstream.address}{raw_path}", encoded=True)
        try:
            response = await self._session.request(
                method,
                url,
                headers=headers,
                data=body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamUnreachable(repr(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise ResponseInterrupted(repr(error)) from error
        try:
            yield await self._head(response, request_id)
        finally:
            if not response.content.is_eof():
                response.close()
            response.release()

    async def _head(
        self, response: aiohttp.ClientResponse, request_id: str
    ) -> UpstreamResponse:
        metadata = self._codec.decode_response(response.status, response.headers)
        if metadata.request_id and metadata.request_id != request_id:
            response.close()
            raise ResponseInterrupted("the answer belongs to another request")
        if metadata.not_run:
            raise UpstreamRejected(response.status, metadata.misdirected)
        connection = _connection_ending_body(response)
        return UpstreamResponse(
            response.status, response.headers, metadata, response, connection
        )


def _connection_ending_body(response: aiohttp.ClientResponse) -> _Connection | None:
    """
    Returns the connection whose end ends the body, or None if a length does.

    Such a body is complete only if the connection was closed and not reset.
    """
    headers = response.headers
    if hdrs.CONTENT_LENGTH in headers or hdrs.TRANSFER_ENCODING in headers:
        return None
    connection = response.connection
    protocol = connection.protocol if connection is not None else None
    return protocol if isinstance(protocol, _Connection) else None
