"""A planned stop of a gateway under load."""

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import aiohttp
import logbook
import pytest
from aiohttp import web

from damasksaddle.platform import Put
from damasksaddle_gateway.gateway import Gateway, _close_idle_connections
from damasksaddle_gateway.grace import ADDRESS_RETENTION_FACTOR
from damasksaddle_gateway.settings import Address
from damasksaddle_platform.headers import PlatformHeaderCodec
from damasksaddle_platform.records import RecordDecoder
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows
from tests.gateway.conftest import make_settings
from tests.gateway.test_request_handler import start_server

KEY = "k3fexd9dnn2"
# Longer than the time after which a stop used to cut connections.
WORK_S = 1.0
TIMEOUT_MS = 3000
# More than the socket buffers of the caller hold.
LARGE_BYTES = 2_000_000
ROUTE = {
    "Host": "desk.example",
    "Prefix": "/file/",
    "Type": "non_idempotent",
    "TimeoutMs": TIMEOUT_MS,
    "Service": "app",
}
CONFIG = {
    "Version": 1,
    "Routes": [ROUTE],
    "Services": [{"Name": "app"}],
    "Tenants": [{"Name": "ngo", "ApiKeys": [KEY]}],
}


async def _respond(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(float(request.headers["X-Work-S"]))
    body = b"filed".ljust(int(request.headers.get("X-Size", 0)))
    return web.Response(body=body, headers={"X-Server-Signature": "s1"})


async def _file_report(
    session: aiohttp.ClientSession, url: str, work_s: float = WORK_S
) -> tuple[int, bytes]:
    headers = {
        "Host": "desk.example",
        "Authorization": f"Token {KEY}",
        "X-Request-Id": "r1",
        "X-Deadline-Ms": str(TIMEOUT_MS),
        "X-Work-S": str(work_s),
    }
    async with session.post(url + "/file/x", headers=headers, data=b"{}") as response:
        return response.status, await response.read()


@asynccontextmanager
async def running_gateway(
    rows: VersionedRows, table: MemoryVersionedTable, **changes: object
) -> AsyncIterator[Gateway]:
    """Runs a gateway with one upstream, and waits until it is ready."""
    runner, address = await start_server(_respond)
    rows.apply([Put("op//config", json.dumps(CONFIG))])
    server = {
        "Service": "app",
        "Address": address,
        "Zone": "a",
        "Version": "v1",
        "Slots": 4,
        "State": "ready",
        "SeqNum": 1,
    }
    rows.apply([Put("servers//i-1", json.dumps(server))])
    host = Address("127.0.0.1", 0)
    settings = make_settings(caller_address=host, peer_address=host, **changes)
    gateway = Gateway(settings, table, RecordDecoder(), PlatformHeaderCodec())
    await gateway.start()
    while not gateway.request_handler.is_ready():
        await asyncio.sleep(0.1)
    yield gateway
    await runner.cleanup()


def _url(gateway: Gateway, listener: int = 0) -> str:
    host, port = gateway._runners[listener].addresses[0][:2]
    return f"http://{host}:{port}"


async def test_a_request_accepted_at_the_end_of_a_stop_is_finished(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against cutting a request that arrives when nothing else is under way."""
    async with (
        running_gateway(rows, table, address_ttl_s=0.1, grace_s=6.0) as gateway,
        aiohttp.ClientSession() as session,
    ):
        url = _url(gateway)
        assert await _file_report(session, url) == (200, b"filed")
        await gateway.drain()
        late = asyncio.create_task(_file_report(session, url))
        while not gateway.request_handler.active_requests:
            await asyncio.sleep(0.01)
        await gateway.stop()
        assert await late == (200, b"filed")


async def _stop(gateway: Gateway) -> None:
    await gateway.drain()
    await gateway.stop()


async def test_the_longest_request_to_the_oldest_address_is_finished(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against addresses that outlive the time in which a stop can serve them."""
    async with (
        running_gateway(rows, table, address_ttl_s=1.5, grace_s=7.0) as gateway,
        aiohttp.ClientSession() as session,
    ):
        async with session.get(_url(gateway, listener=2) + "/resolve") as response:
            ttl_s = (await response.json())["TtlS"]
        stop = asyncio.create_task(_stop(gateway))
        await asyncio.sleep(ttl_s * ADDRESS_RETENTION_FACTOR)
        work_s = TIMEOUT_MS / 1000 - 0.1
        assert await _file_report(session, _url(gateway), work_s) == (200, b"filed")
        await stop


async def test_a_request_that_a_stop_would_cut_is_refused_at_once(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against running a request whose response the end of the process cuts."""
    async with (
        running_gateway(rows, table, address_ttl_s=1.5, grace_s=6.0) as gateway,
        aiohttp.ClientSession() as session,
    ):
        url = _url(gateway)
        running = asyncio.create_task(_file_report(session, url, work_s=2.9))
        await asyncio.sleep(2.5)
        stop = asyncio.create_task(_stop(gateway))
        assert await running == (200, b"filed")
        await asyncio.sleep(2.5)
        late = asyncio.create_task(_file_report(session, url, work_s=2.9))
        assert await late == (503, b"stopping")
        await stop


async def test_a_request_that_a_stop_would_cut_is_refused_before_its_body(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against waiting for a body that a stop leaves without a response."""
    async with running_gateway(rows, table, address_ttl_s=0.1, grace_s=3.0) as gateway:
        await gateway.drain()
        reader, writer = await asyncio.open_connection(
            *gateway._runners[0].addresses[0][:2]
        )
        await asyncio.sleep(0.6)
        writer.write(_head(200_000, 0.0) + b"x" * 1000)
        async with asyncio.timeout(0.2):
            assert b" 503 " in await reader.readuntil(b"stopping")
        writer.close()
        await gateway.stop()


async def test_a_timeout_that_a_stop_cannot_fit_is_refused_when_it_is_configured(
    rows: VersionedRows, table: MemoryVersionedTable, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cutting requests that a new configuration makes longer."""
    monkeypatch.setitem(CONFIG, "Routes", [{**ROUTE, "TimeoutMs": 1000}])
    async with running_gateway(rows, table, address_ttl_s=1.5, grace_s=8.0) as gateway:
        reader, writer = await asyncio.open_connection(
            *gateway._runners[0].addresses[0][:2]
        )
        stop = asyncio.create_task(_stop(gateway))
        await asyncio.sleep(1.0)
        changed = {**CONFIG, "Version": 2, "Routes": [{**ROUTE, "TimeoutMs": 4000}]}
        rows.apply([Put("op//config", json.dumps(changed))])
        await asyncio.sleep(3.4)
        writer.write(_head(2, 3.5, deadline_ms=4000) + b"{}")
        assert b" 503 " in await reader.read()
        writer.close()
        await stop


async def test_a_request_sent_behind_another_is_answered_in_a_stop(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against dropping a request that was read before the last response."""
    async with running_gateway(rows, table, grace_s=8.0) as gateway:
        reader, writer = await asyncio.open_connection(
            *gateway._runners[0].addresses[0][:2]
        )
        writer.write(_head(2, 1.0) + b"{}" + _head(2, 0.1) + b"{}")
        while not gateway.request_handler.active_requests:
            await asyncio.sleep(0.01)
        stop = asyncio.create_task(_stop(gateway))
        assert (await reader.read()).count(b"filed") == 2
        writer.close()
        await stop


async def test_a_response_is_whole_when_a_request_arrives_behind_it(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against a reset that discards the part of a response still in transit."""
    async with running_gateway(rows, table, address_ttl_s=0.1, grace_s=6.0) as gateway:
        await gateway.drain()
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            client.setblocking(False)
            address = gateway._runners[0].addresses[0][:2]
            await loop.sock_connect(client, address)
            await loop.sock_sendall(
                client, _head(2, 0.0, response_bytes=LARGE_BYTES) + b"{}"
            )
            received = 0
            while data := await loop.sock_recv(client, 30_000):
                received += len(data)
                if received == len(data):
                    # The server has written all of it to its socket by then.
                    await asyncio.sleep(0.3)
                    await loop.sock_sendall(client, _head(2, 0.0) + b"{}")
                    await asyncio.sleep(0.1)
            assert received > LARGE_BYTES
        await gateway.stop()


async def test_a_grace_period_that_is_too_short_is_reported(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against settings that do not fit the routes and nobody notices."""
    with logbook.TestHandler() as records:
        async with running_gateway(rows, table, grace_s=8.0) as gateway:
            assert not records.has_warnings
            short = replace(gateway.settings, grace_s=4.0)
            gateway.apply_settings(short)
            text = "The grace period is too short for the longest route timeout."
            assert records.has_warning(text)
            await gateway.stop()


async def _stop_under_a_call(
    rows: VersionedRows, table: MemoryVersionedTable, grace_s: float, work_s: float
) -> tuple[list[logbook.LogRecord], asyncio.Task[tuple[int, bytes]]]:
    """Returns the log lines of a stop that began during a call, and the call."""
    with logbook.TestHandler() as handler:
        async with (
            running_gateway(rows, table, grace_s=grace_s) as gateway,
            aiohttp.ClientSession() as session,
        ):
            call = asyncio.create_task(_file_report(session, _url(gateway), work_s))
            while not gateway.request_handler.active_requests:
                await asyncio.sleep(0.01)
            await _stop(gateway)
            await asyncio.wait([call])
    return handler.records, call


async def test_a_request_that_ends_as_a_stop_waits_is_not_logged_as_cut(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against a log that names answered requests as lost."""
    records, call = await _stop_under_a_call(rows, table, grace_s=2.0, work_s=1.54)
    assert call.result() == (200, b"filed")
    assert not any("cut" in record.message for record in records)


async def test_a_request_that_a_stop_cuts_is_logged(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against a lost request that left no line with its id, age and progress."""
    records, call = await _stop_under_a_call(rows, table, grace_s=1.6, work_s=2.9)
    assert isinstance(call.exception(), aiohttp.ServerDisconnectedError)
    cut = [record for record in records if "cut" in record.message]
    assert [record.extra["fields"]["request"] for record in cut] == ["r1"]
    fields = cut[0].extra["fields"]
    assert (fields["phase"], fields["tried"]) == ("upstream", "i-1")
    assert fields["after_ms"] > 500 and fields["left_ms"] > 500
    assert not any("disconnected" in record.message for record in records)


def _head(
    length: int,
    work_s: float,
    deadline_ms: int = TIMEOUT_MS,
    response_bytes: int = 0,
) -> bytes:
    headers = {
        "Host": "desk.example",
        "Authorization": f"Token {KEY}",
        "X-Request-Id": "r2",
        "X-Deadline-Ms": str(deadline_ms),
        "X-Work-S": str(work_s),
        "X-Size": str(response_bytes),
        "Content-Length": str(length),
    }
    lines = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(["POST /file/x HTTP/1.1", *lines, "", ""]).encode()


async def test_an_idle_connection_is_closed_as_soon_as_a_stop_accepts_no_request(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against reading a request that is never answered."""
    async with running_gateway(rows, table, address_ttl_s=0.1, grace_s=6.0) as gateway:
        host, port = gateway._runners[0].addresses[0][:2]
        idle, idle_writer = await asyncio.open_connection(host, port)
        idle_writer.write(_head(2, 0.0) + b"{}")
        assert b"200 OK" in await idle.readuntil(b"filed")
        busy, busy_writer = await asyncio.open_connection(host, port)
        await gateway.drain()
        busy_writer.write(_head(2, 1.0) + b"{}")
        while not gateway.request_handler.active_requests:
            await asyncio.sleep(0.01)
        stop = asyncio.create_task(gateway.stop())
        async with asyncio.timeout(0.2):
            assert await idle.read() == b""
        assert b"filed" in await busy.read()
        await stop
        idle_writer.close()
        busy_writer.close()


async def test_a_request_that_arrived_before_its_connection_closes_is_answered(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against closing a connection whose request waits to be read."""
    async with running_gateway(rows, table, address_ttl_s=0.1, grace_s=6.0) as gateway:
        server = gateway._runners[0].server
        assert server is not None
        reader, writer = await asyncio.open_connection(
            *gateway._runners[0].addresses[0][:2]
        )
        while not any(connection._waiter for connection in server.connections):
            await asyncio.sleep(0.01)
        writer.write(_head(2, 0.0) + b"{}")
        _close_idle_connections(server)
        assert b"filed" in await reader.readuntil(b"filed")
        writer.close()
        await gateway.stop()


async def test_a_body_that_arrives_during_a_stop_is_read(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against ignoring the rest of a request that has begun."""
    async with running_gateway(rows, table, address_ttl_s=0.1, grace_s=6.0) as gateway:
        host, port = gateway._runners[0].addresses[0][:2]
        reader, writer = await asyncio.open_connection(host, port)
        await gateway.drain()
        writer.write(_head(200_000, 0.0) + b"x" * 100_000)
        while not gateway.request_handler.active_requests:
            await asyncio.sleep(0.01)
        stop = asyncio.create_task(gateway.stop())
        await asyncio.sleep(0.3)
        writer.write(b"x" * 100_000)
        assert b"filed" in await reader.read()
        await stop
        writer.close()


async def test_a_connection_accepted_as_a_stop_begins_is_closed(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against a connection that stays open and silent until the process ends."""
    async with running_gateway(rows, table, address_ttl_s=0.1, grace_s=6.0) as gateway:
        await gateway.drain()
        runner = gateway._runners[0]
        server = next(iter(runner.sites))._server
        listener = server.sockets[0]._sock
        connection = socket.create_connection(listener.getsockname())
        stop = asyncio.create_task(gateway.stop())
        # What the loop does when the listener is readable, in the turn of the stop.
        loop: Any = asyncio.get_running_loop()
        loop._accept_connection(runner.server, listener, None, server)
        reader, writer = await asyncio.open_connection(sock=connection)
        async with asyncio.timeout(0.5):
            assert await reader.read() == b""
        await stop
        writer.close()
