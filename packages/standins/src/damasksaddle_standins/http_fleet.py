"""Nodes in one process with real HTTP and TCP, on stand-ins, for tests."""

import asyncio
import json
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import aiohttp
from aiohttp import web

from damasksaddle_node.node import Node
from damasksaddle_node.peers import TcpNetwork
from damasksaddle_node.settings import Settings, Timing
from damasksaddle_node.upstreams import HttpUpstreams
from damasksaddle_standins.engine import ModelEngine
from damasksaddle_standins.platform import MemoryObjects, MemoryTable, MemoryVmList
from damasksaddle_standins.recording import Recorder
from damasksaddle_standins.servers import engine_app, tool_app
from damasksaddle_standins.tool import ToolService

FAST_TIMING = Timing(hold_s=0.2, poll_s=0.2)


@dataclass(slots=True)
class HttpFleet:
    """
    A fleet whose callers, peers and upstreams communicate over loopback.

    `engine`, `tool` and `recorder` hold the calls that the upstreams received.
    """

    nodes: list[Node]
    engine: ModelEngine
    tool: ToolService
    recorder: Recorder
    table: MemoryTable
    session: aiohttp.ClientSession
    urls: dict[str, str]
    _runners: list[web.AppRunner] = field(default_factory=list)

    async def apply(self, service: str, document: dict[str, Any]) -> None:
        """Applies a service document through the admin interface."""
        url = f"{self.nodes[0].admin_url}/admin/documents/{service}"
        async with self.session.put(url, data=json.dumps(document)) as response:
            assert response.status == 200, await response.text()

    async def give_key(self, workspace: str) -> str:
        """Gives a key for a workspace and returns its text."""
        url = f"{self.nodes[0].admin_url}/admin/keys"
        async with self.session.post(url, json={"workspace": workspace}) as response:
            assert response.status == 200, await response.text()
            return (await response.json())["key"]


async def serve_app(app: web.Application) -> tuple[str, web.AppRunner]:
    """Serves an application on a free loopback port; returns its URL and runner."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    return f"http://{host}:{port}", runner


@asynccontextmanager
async def http_fleet(
    size: int, engine: ModelEngine | None = None, **settings_changes: Any
) -> AsyncGenerator[HttpFleet, None]:
    """Yields a running fleet of `size` nodes, one engine and one plain service."""
    engine, tool, recorder = engine or ModelEngine(), ToolService(), Recorder()
    engine_url, engine_runner = await serve_app(recorder.install(engine_app(engine)))
    tool_url, tool_runner = await serve_app(recorder.install(tool_app(tool)))
    table, objects, vm_list = MemoryTable(), MemoryObjects(), MemoryVmList()
    operator_headers = {"Authorization": "Bearer operator"}
    async with (
        aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()) as upstream_session,
        aiohttp.ClientSession(headers=operator_headers) as session,
    ):
        nodes = []
        for number in range(size):
            settings = Settings(
                name=f"vm{number}",
                failure_domain="abc"[number % 3],
                fleet_secret="fleet secret of the tests",
                operator_token="operator",
                timing=FAST_TIMING,
            )
            node = Node(
                replace(settings, **settings_changes),
                table,
                objects,
                vm_list,
                HttpUpstreams(upstream_session),
                TcpNetwork(),
            )
            await node.start()
            nodes.append(node)
        last_position = max(node.fleet.state.cursor for node in nodes)
        await asyncio.gather(
            *(node.fleet.wait_for(last_position, 10.0) for node in nodes)
        )
        urls = {"engine": engine_url, "tool": tool_url}
        try:
            yield HttpFleet(nodes, engine, tool, recorder, table, session, urls)
        finally:
            await asyncio.gather(*(node.stop() for node in nodes))
            await engine_runner.cleanup()
            await tool_runner.cleanup()


@dataclass(slots=True)
class RawResponse:
    """The final response to a raw request."""

    status: int
    headers: dict[str, str]
    body: bytes


async def send_raw(url: str, data: bytes, timeout_s: float = 5.0) -> RawResponse:
    """
    Sends raw bytes and returns the response, or status 0 if the connection closes.

    Informational responses (1xx) are skipped.
    """
    host, _, port = url.removeprefix("http://").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        async with asyncio.timeout(timeout_s):
            head = b"HTTP/1.1 1"
            while head.startswith(b"HTTP/1.1 1"):
                head = await reader.readuntil(b"\r\n\r\n")
            status_line, *header_lines = head.decode("latin-1").split("\r\n")
            headers = dict(
                header_line.lower().split(": ", 1)
                for header_line in header_lines
                if header_line
            )
            length = int(headers.get("content-length", "0"))
            body = await reader.readexactly(length)
        return RawResponse(int(status_line.split()[1]), headers, body)
    except (asyncio.IncompleteReadError, ConnectionError):
        return RawResponse(0, {}, b"")
    finally:
        writer.close()
