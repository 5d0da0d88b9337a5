"""Upstreams that register in the store and fail on demand."""

import asyncio
import json
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web

from damasksaddle.platform import Put, row_key
from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.promises import Promises
from damasksaddle_standins.faults.traffic import EVENTS, event, kind_of, plain_body
from damasksaddle_standins.versioned import VersionedRows

SLOTS = 6
QUEUE = 18
STEP_S = 0.015
WORK_S = 0.02
HEARTBEAT_S = 1.2
# A row is removed after three heartbeats of silence.
LAPSE_S = 3 * HEARTBEAT_S
SERVES_ON_S = 3.0
HTTP_MISDIRECTED = 421


class Trouble(Enum):
    """How an upstream treats a request that it should answer."""

    RESET = "reset"
    TRUNCATED = "truncated"
    FOREIGN = "foreign"
    EXTRA = "extra"
    SILENT = "silent"


@dataclass(slots=True, eq=False)
class Upstream:
    """One start of an upstream at an address."""

    id: str
    service: str
    rows: VersionedRows
    promises: Promises
    random: random.Random
    trouble: Trouble | None = None
    trouble_share: float = 0.0
    state: str = "ready"
    address: str = ""
    active: int = 0
    _beats: int = 0
    _server: web.Server | None = None
    _runner: web.ServerRunner | None = None
    _slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(SLOTS))
    _beating: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listens and registers."""
        self._server = web.Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.05)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True)
        await site.start()
        host, bound = self._runner.addresses[0][:2]
        self.address = f"{host}:{bound}"
        self._beating = asyncio.create_task(self._beat())

    @property
    def port(self) -> int:
        """The port that this start listens on."""
        return int(self.address.rpartition(":")[2])

    async def _beat(self) -> None:
        while True:
            self._write()
            await asyncio.sleep(HEARTBEAT_S)

    def _write(self) -> None:
        self._beats += 1
        row = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "a",
            "Slots": SLOTS,
            "State": self.state,
            "SeqNum": self._beats,
        }
        self.rows.apply([Put(row_key("servers", "", self.id), json.dumps(row))])

    async def leave(self) -> None:
        """Reports that it is leaving, serves on for a while and ends."""
        self.state = "draining"
        self._write()
        self.promises.draining_s[self.id] = boottime_s()
        await asyncio.sleep(SERVES_ON_S)
        while self.active:
            await asyncio.sleep(0.05)
        await self.stop()
        self.rows.apply([Put(row_key("servers", "", self.id), None)])

    async def crash(self) -> None:
        """Ends at once; its row stays until it lapses."""
        await self.stop()
        loop = asyncio.get_running_loop()
        gone = Put(row_key("servers", "", self.id), None)
        loop.call_later(LAPSE_S, self.rows.apply, [gone])

    async def stop(self) -> None:
        """Ends all connections."""
        if self._beating is not None:
            self._beating.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = request.headers
        request_id = headers.get("X-Request-Id", "")
        if headers.get("X-Expect-Instance", self.id) != self.id:
            return self._not_run(HTTP_MISDIRECTED, request_id)
        if self.active >= SLOTS + QUEUE:
            return self._not_run(503, request_id)
        await request.read()
        self.active += 1
        try:
            async with self._slots:
                return await self._run(request, request_id)
        except ConnectionResetError:
            # The gateway has left; nobody reads this answer.
            return web.Response(status=503)
        finally:
            self.active -= 1

    def _not_run(self, status: int, request_id: str) -> web.Response:
        headers = {"X-Not-Executed": "1", "X-Request-Id": request_id}
        return web.Response(status=status, headers=headers)

    async def _run(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        headers = request.headers
        path = request.raw_path
        kind = kind_of(path)
        self.promises.on_run(
            request_id,
            path,
            self.id,
            headers.get("X-Tenant", ""),
            float(headers.get("X-Deadline-Ms", "inf")),
            "Authorization" in headers,
        )
        trouble = None
        if self.random.random() < self.trouble_share:
            trouble = self.trouble
        if trouble is Trouble.SILENT:
            await asyncio.sleep(float(headers["X-Deadline-Ms"]) / 1000 + 1)
        if trouble is Trouble.FOREIGN:
            request_id = "0" * len(request_id)
        signed = {"X-Server-Signature": self.id, "X-Request-Id": request_id}
        if kind is not None and kind.is_stream():
            return await self._stream(request, path, signed, trouble)
        await asyncio.sleep(WORK_S)
        if trouble is Trouble.RESET:
            self._abort(request)
        response = web.Response(body=plain_body(path, request_id), headers=signed)
        await response.prepare(request)
        if trouble is Trouble.TRUNCATED:
            self._abort(request)
        await response.write_eof()
        if trouble is Trouble.EXTRA and request.transport is not None:
            request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
        return response

    async def _stream(
        self,
        request: web.BaseRequest,
        path: str,
        headers: dict[str, str],
        trouble: Trouble | None,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", -1)) + 1
        broken = self.random.randrange(first, EVENTS) if first < EVENTS else first
        for number in range(first, EVENTS):
            await asyncio.sleep(STEP_S)
            written = event(path, number)
            if number == broken and trouble in (Trouble.RESET, Trouble.TRUNCATED):
                await response.write(written[:9])
                self._abort(request)
            await response.write(written)
        await response.write_eof()
        return response

    @staticmethod
    def _abort(request: web.BaseRequest) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError


@dataclass(slots=True)
class Pool:
    """The upstreams of all services, each with its successors."""

    make: Callable[[str], Upstream]
    running: list[Upstream] = field(default_factory=list)

    async def add(self, service: str, port: int = 0) -> Upstream:
        """Starts one more; an address that is taken again is tried as it is."""
        upstream = self.make(service)
        with suppress(OSError):
            await upstream.start(port)
            self.running.append(upstream)
            return upstream
        await upstream.start()
        self.running.append(upstream)
        return upstream

    async def stop(self) -> None:
        """Ends all of them."""
        for upstream in self.running:
            await upstream.stop()
