"""Upstreams and callers that send bytes without end, or one now and then."""

import asyncio
import resource
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from damasksaddle.exceptions import SizeLimitExceeded
from damasksaddle_gateway.events import MAX_EVENT_BYTES, EventSplitter
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_standins.endless import endless_server
from tests.gateway.test_request_handler import HOST, KEY, RunningGateway, run_gateway

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Signature: s1\r\n"
CHUNK = b"x" * 65536
MAX_GROWTH_KB = 64 * 1024


@asynccontextmanager
async def endless_upstream(
    gateway: RunningGateway, head: bytes, piece: bytes, interval_s: float = 0.0
) -> AsyncIterator[list[int]]:
    """Adds an upstream that sends `piece` until the gateway closes the connection."""
    async with endless_server(head, piece, interval_s) as (address, sent):
        gateway.config_watcher.upstreams["endless"] = Upstream(
            "endless", "svc", address, "a", 4, False
        )
        yield sent


@pytest.mark.parametrize("path", ["/once/x", "/turn/x", "/safe/x"])
@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Endless: ", CHUNK),
        (b"HTTP/1.1 200 OK\r\n", b"X-Endless: x\r\n" * 4096),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024),
        (HEAD + b"\r\n", CHUNK),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + CHUNK + b"\r\n"),
    ],
    ids=["line", "headers", "interim", "body", "chunks"],
)
async def test_endless_bytes_end_with_an_error(
    path: str, head: bytes, piece: bytes
) -> None:
    """Guards against memory that grows with a response, and a wait without end."""
    loop = asyncio.get_running_loop()
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    # The paused clock advances only while no bytes arrive.
    interval_s = 0.0 if head else 0.01
    async with (
        run_gateway() as gateway,
        endless_upstream(gateway, head, piece, interval_s) as sent,
    ):
        started_s = loop.time()
        status, body, _ = await gateway.send(path)
        assert (status, len(sent)) in ((502, 1), (504, 1), (502, 2))
        assert loop.time() - started_s < 1.5
        assert CHUNK not in body
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert after_kb - before_kb < MAX_GROWTH_KB


async def test_a_stream_of_single_bytes_ends_at_its_deadline() -> None:
    """Guards against a stalled stream that never ends."""
    head = HEAD + b"\r\nid: 1\ndata: x\n\n"
    loop = asyncio.get_running_loop()
    async with (
        run_gateway() as gateway,
        endless_upstream(gateway, head, b"x", interval_s=0.05),
    ):
        started_s = loop.time()
        with pytest.raises(aiohttp.ClientPayloadError):
            await gateway.send("/turn/x")
        assert loop.time() - started_s < 1.5


async def test_a_body_that_never_arrives_is_refused() -> None:
    """Guards against a caller that holds a request open with a byte now and then."""
    async with run_gateway() as gateway:
        host, _, port = gateway.url.removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 100\r\n"
            f"Authorization: Token {KEY}\r\nX-Deadline-Ms: 300\r\n\r\n".encode()
        )
        async with asyncio.timeout(2.0):
            assert (await reader.readline()).startswith(b"HTTP/1.1 408 ")
        writer.close()


def test_an_event_without_end_is_an_error() -> None:
    """Guards against buffering bytes that contain no end of an event."""
    splitter = EventSplitter()
    with pytest.raises(SizeLimitExceeded):
        for _ in range(MAX_EVENT_BYTES // len(CHUNK) + 2):
            splitter.feed(CHUNK)


async def test_bytes_on_an_idle_connection_close_it() -> None:
    """Guards against memory that fills with answers to requests that nobody sent."""
    answer = HEAD + b"Content-Length: 4\r\n\r\ndone"
    closed = asyncio.Event()
    sent_bytes = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent_bytes
        await reader.readuntil(b"body")
        writer.write(answer)
        await asyncio.sleep(0.1)
        try:
            while sent_bytes < 50 * len(CHUNK):
                writer.write(answer * 100)
                sent_bytes += 100 * len(answer)
                await writer.drain()
                # Lets the gateway read, which runs in the same loop.
                await asyncio.sleep(0)
        except OSError:
            closed.set()
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()[:2]
    async with run_gateway() as gateway:
        gateway.config_watcher.upstreams["u"] = Upstream(
            "u", "svc", f"{host}:{port}", "a", 4, False
        )
        assert (await gateway.send("/once/x"))[:2] == (200, b"done")
        async with asyncio.timeout(1.0):
            await closed.wait()
        assert sent_bytes < 30 * len(CHUNK)
    server.close()
