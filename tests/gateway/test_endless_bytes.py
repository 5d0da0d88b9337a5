"""Upstreams and callers that send bytes without end, or one now and then."""

import asyncio
import resource
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest

from damasksaddle.exceptions import SizeLimitExceeded
from damasksaddle_gateway.events import MAX_EVENT_BYTES, EventSplitter
from damasksaddle_gateway.gateway import CALLER_KEEPALIVE_S
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_standins.endless import endless_server
from tests.gateway.test_request_handler import HOST, KEY, RunningGateway, run_gateway

HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Signature: s1\r\n"
CHUNK = b"x" * 65536
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
REQUEST = (
    f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
).encode()
CHUNKED_REQUEST = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_GROWTH_KB = 64 * 1024
# More than any bound, and than the buffers of a connection.
ENDLESS_BYTES = 32 * 1024 * 1024


@asynccontextmanager
async def endless_upstream(
    gateway: RunningGateway, head: bytes, piece: bytes, interval_s: float = 0.0
) -> AsyncIterator[list[int]]:
    """Adds an upstream that sends `piece` until the gateway closes the connection."""
    server = endless_server(head, piece, interval_s, ENDLESS_BYTES)
    async with server as (address, sent):
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
        (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 1024),
        (b"", b"\r\n" * 32768),
        (HEAD + b"X-Endless:", b" " * 65536),
        (HEAD + b"\r\n", CHUNK),
        (CHUNKED, b"10000\r\n" + CHUNK + b"\r\n"),
        (CHUNKED, b"0" * 65536),
        (CHUNKED + b"1;", CHUNK),
        (CHUNKED + b"1", b" " * 65536),
        (CHUNKED, b"1\r\nx\r\n" * 8192),
        (CHUNKED, (b"1;" + b"x" * 8000 + b"\r\nx\r\n") * 8),
        (CHUNKED + b"0\r\n", b"X-Endless: x\r\n" * 4096),
    ],
    ids=[
        "line",
        "headers",
        "interim",
        "interim-headers",
        "empty-lines",
        "spaces",
        "body",
        "chunks",
        "zeros",
        "extension",
        "size-spaces",
        "single-bytes",
        "extensions",
        "trailers",
    ],
)
async def test_endless_bytes_end_with_an_error(
    path: str, head: bytes, piece: bytes
) -> None:
    """Guards against memory that grows with a response, and a wait without end."""
    loop = asyncio.get_running_loop()
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    async with (
        run_gateway() as gateway,
        endless_upstream(gateway, head, piece) as sent,
    ):
        started_s = loop.time()
        status, body, _ = await gateway.send(path)
        assert (status, len(sent)) in ((502, 1), (502, 2))
        assert loop.time() - started_s < 0.1
        assert max(sent) < ENDLESS_BYTES
        assert CHUNK not in body
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert after_kb - before_kb < MAX_GROWTH_KB


@pytest.mark.parametrize("event", [b"\n\n", b": comment\n\n"])
async def test_a_stream_of_events_without_an_id_is_cut_off(event: bytes) -> None:
    """Guards against events that are nothing and block other callers."""
    chunk = b"10000\r\n" + event * (65536 // len(event))
    async with (
        run_gateway() as gateway,
        endless_upstream(
            gateway, CHUNKED, chunk + b"\n" * (65543 - len(chunk)) + b"\r\n"
        ),
    ):
        assert (await gateway.send("/turn/x"))[0] == 502


@pytest.mark.parametrize("path", ["/once/x", "/turn/x"])
async def test_a_change_of_protocol_is_no_response(path: str) -> None:
    """Guards against responding with a status that no caller asked for."""
    head = HEAD.replace(b"200 OK", b"101 Switching Protocols")
    head += b"Connection: upgrade\r\nUpgrade: x\r\n\r\n"
    async with run_gateway() as gateway, endless_upstream(gateway, head, CHUNK):
        assert (await gateway.send(path))[0] == 502


async def test_legal_overhead_is_accepted() -> None:
    """Guards against bounds that refuse sound responses."""
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
    head = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + interim * 20
    )
    chunk = b"0000001;signature=" + b"0" * 500 + b"\r\nx\r\n"
    body = b"x" * 5100
    end = b"0000\r\nX-Trailer: x\r\n\r\n"
    async with (
        run_gateway() as gateway,
        endless_upstream(
            gateway,
            head + CHUNKED + chunk * 100 + b"1\r\nx\r\n" * 5000 + end,
            b"",
            10.0,
        ),
    ):
        assert (await gateway.send("/once/x"))[:2] == (200, body)


@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (b"", b"\r\n" * 32768),
        (b"GET", b" " * 65536),
        (REQUEST + b"X-Endless:", b" " * 65536),
        (REQUEST, b"X-Endless: " + b"x" * 60000 + b"\r\n"),
        (CHUNKED_REQUEST, b"0" * 65536),
        (CHUNKED_REQUEST + b"1;", CHUNK),
        (CHUNKED_REQUEST, b"1\r\nx\r\n" * 8192),
        (CHUNKED_REQUEST, (b"1;" + b"x" * 8000 + b"\r\nx\r\n") * 8),
        (CHUNKED_REQUEST + b"0\r\n", b"X-Endless: x\r\n" * 4096),
        (REQUEST + b"Content-Length: 99999999\r\n\r\n", CHUNK),
    ],
    ids=[
        "empty-lines",
        "method-spaces",
        "spaces",
        "headers",
        "zeros",
        "extension",
        "single-bytes",
        "extensions",
        "trailers",
        "body",
    ],
)
async def test_endless_bytes_of_a_caller_close_its_connection(
    head: bytes, piece: bytes
) -> None:
    """Guards against callers that take the gateway's time and memory."""
    sent_bytes = 0
    async with run_gateway() as gateway:
        reader, writer = await _connect(gateway)
        writer.write(head)
        try:
            while sent_bytes < ENDLESS_BYTES:
                writer.write(piece)
                sent_bytes += len(piece)
                await writer.drain()
                # Lets the gateway read, which runs in the same loop.
                await asyncio.sleep(0)
        except OSError:
            pass
        assert sent_bytes < ENDLESS_BYTES
        writer.close()


async def test_a_head_that_never_ends_closes_the_connection() -> None:
    """Guards against connections that are held open with a byte now and then."""
    async with run_gateway() as gateway:
        reader, writer = await _connect(gateway)
        writer.write(REQUEST)

        async def drip() -> None:
            while not writer.is_closing():
                writer.write(b"x")
                await asyncio.sleep(1.0)

        dripping = asyncio.create_task(drip())
        async with asyncio.timeout(CALLER_KEEPALIVE_S + 1.0):
            assert await reader.read() == b""
        dripping.cancel()
        writer.close()


async def _connect(
    gateway: RunningGateway,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = gateway.url.removeprefix("http://").partition(":")
    return await asyncio.open_connection(host, int(port))


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
        reader, writer = await _connect(gateway)
        writer.write(REQUEST + b"Content-Length: 100\r\nX-Deadline-Ms: 300\r\n\r\n")
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
