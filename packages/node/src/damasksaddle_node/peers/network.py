"""Transports for connections between peers."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from typing import Protocol

from damasksaddle_protocol import FrameWriter

ConnectionCallback = Callable[[asyncio.StreamReader, FrameWriter], Awaitable[None]]
CloseCallback = Callable[[], Awaitable[None]]


class Network(Protocol):
    """Opens and accepts byte streams; tests use an in-memory implementation."""

    async def connect(self, address: str) -> tuple[asyncio.StreamReader, FrameWriter]:
        """Opens a connection to `host:port`; raises `OSError`."""
        ...

    async def listen(
        self, host: str, port: int, accept: ConnectionCallback
    ) -> tuple[str, CloseCallback]:
        """Starts listening; returns the bound address and a function that stops it."""
        ...


class TcpNetwork:
    """TCP connections, with TLS if contexts are given."""

    def __init__(
        self,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ) -> None:
        self._server_tls = server_tls
        self._client_tls = client_tls

    async def connect(self, address: str) -> tuple[asyncio.StreamReader, FrameWriter]:
        host, _, port = address.rpartition(":")
        return await asyncio.open_connection(host, int(port), ssl=self._client_tls)

    async def listen(
        self, host: str, port: int, accept: ConnectionCallback
    ) -> tuple[str, CloseCallback]:
        server = await asyncio.start_server(accept, host, port, ssl=self._server_tls)
        bound_host, bound_port = server.sockets[0].getsockname()[:2]

        async def close() -> None:
            server.close()

        return f"{bound_host}:{bound_port}", close
