"""Upstreams that register in the store and can be made to fail."""

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
from damasksaddle_standins.faults.invariants import InvariantChecker
from damasksaddle_standins.faults.traffic import (
    EVENTS_PER_TURN,
    find_kind,
    make_event,
    make_plain_body,
)
from damasksaddle_standins.versioned_table import VersionedRows

FAILURE_DOMAINS = ("a", "b")
SLOTS = 6
QUEUE_LENGTH = 18
EVENT_INTERVAL_S = 0.015
PLAIN_CALL_S = 0.02
HEARTBEAT_INTERVAL_S = 1.2
# A row expires after three missed heartbeats.
ROW_EXPIRY_S = 3 * HEARTBEAT_INTERVAL_S
DRAIN_SERVING_S = 3.0
HTTP_MISDIRECTED = 421


class Misbehavior(Enum):
    """How an upstream mishandles a request."""

    RESET = "reset"
    TRUNCATED = "truncated"
    WRONG_REQUEST_ID = "foreign"
    EXTRA_RESPONSE = "extra"
    SILENT = "silent"


@dataclass(slots=True, eq=False)
class Upstream:
    """One instance of an upstream, from its start at an address to its end."""

    id: str
    service: str
    rows: VersionedRows
    checker: InvariantChecker
    rng: random.Random
    misbehavior: Misbehavior | None = None
    misbehavior_probability: float = 0.0
    state: str = "ready"
    # Whether its responses say that it leaves, whatever its row says.
    says_leaving: bool = False
    failure_domain: str = "a"
    address: str = ""
    active_requests: int = 0
    _sequence_number: int = 0
    _server: web.Server | None = None
    _runner: web.ServerRunner | None = None
    _slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(SLOTS))
    _heartbeat_task: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listens and starts the heartbeats, which register it in the store."""
        self._server = web.Server(
            self._handle, access_log=None, handler_cancellation=True
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.05)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True)
        await site.start()
        host, bound_port = self._runner.addresses[0][:2]
        self.address = f"{host}:{bound_port}"
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    @property
    def port(self) -> int:
        """The port on which this instance listens."""
        return int(self.address.rpartition(":")[2])

    async def _send_heartbeats(self) -> None:
        while True:
            self._write_row()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _write_row(self) -> None:
        self._sequence_number += 1
        row = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.failure_domain,
            "Version": "v1",
            "Slots": SLOTS,
            "State": self.state,
            "SeqNum": self._sequence_number,
        }
        self.rows.apply([Put(row_key("servers", "", self.id), json.dumps(row))])

    async def drain(self) -> None:
        """Reports the state `draining`, continues to serve for a while and stops."""
        self.state = "draining"
        self.says_leaving = True
        self._write_row()
        self.checker.drain_started_s[self.id] = boottime_s()
        await asyncio.sleep(DRAIN_SERVING_S)
        while self.active_requests:
            await asyncio.sleep(0.05)
        await self.stop()
        self.rows.apply([Put(row_key("servers", "", self.id), None)])

    async def crash(self) -> None:
        """Stops at once; the row remains until it expires."""
        await self.stop()
        loop = asyncio.get_running_loop()
        removal = Put(row_key("servers", "", self.id), None)
        loop.call_later(ROW_EXPIRY_S, self.rows.apply, [removal])

    async def stop(self) -> None:
        """Stops the heartbeats and closes all connections."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = request.headers
        request_id = headers.get("X-Request-Id", "")
        self.checker.check_evacuation(request_id, self.failure_domain)
        if headers.get("X-Expect-Instance", self.id) != self.id:
            return self._not_run_response(HTTP_MISDIRECTED, request_id)
        if self.active_requests >= SLOTS + QUEUE_LENGTH:
            return self._not_run_response(503, request_id)
        await request.read()
        self.active_requests += 1
        try:
            async with self._slots:
                return await self._execute(request, request_id)
        except ConnectionResetError:
            # The gateway has closed the connection, so this response is not sent.
            return web.Response(status=503)
        finally:
            self.active_requests -= 1

    def _not_run_response(self, status: int, request_id: str) -> web.Response:
        headers = {"X-Not-Executed": "1", **self._response_headers(request_id)}
        return web.Response(status=status, headers=headers)

    def _response_headers(self, request_id: str) -> dict[str, str]:
        headers = {"X-Request-Id": request_id}
        if self.says_leaving:
            self.checker.record_leaving(self.id, request_id)
            headers["Server-Leaving"] = "1"
        return headers

    async def _execute(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        headers = request.headers
        path = request.raw_path
        kind = find_kind(path)
        self.checker.check_run(
            request_id,
            path,
            self.id,
            headers.get("X-Tenant", ""),
            float(headers.get("X-Deadline-Ms", "inf")),
            "Authorization" in headers,
            await request.read(),
        )
        misbehavior = None
        if self.rng.random() < self.misbehavior_probability:
            misbehavior = self.misbehavior
        if misbehavior is Misbehavior.SILENT:
            await asyncio.sleep(float(headers["X-Deadline-Ms"]) / 1000 + 1)
        if misbehavior is Misbehavior.WRONG_REQUEST_ID:
            request_id = "0" * len(request_id)
        response_headers = {
            "X-Server-Signature": self.id,
            **self._response_headers(request_id),
        }
        if kind is not None and kind.is_stream():
            return await self._stream(request, path, response_headers, misbehavior)
        await asyncio.sleep(PLAIN_CALL_S)
        if misbehavior is Misbehavior.RESET:
            self._abort(request)
        response = web.Response(
            body=make_plain_body(path, request_id), headers=response_headers
        )
        await response.prepare(request)
        if misbehavior is Misbehavior.TRUNCATED:
            self._abort(request)
        await response.write_eof()
        if misbehavior is Misbehavior.EXTRA_RESPONSE and request.transport is not None:
            request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
        return response

    async def _stream(
        self,
        request: web.BaseRequest,
        path: str,
        headers: dict[str, str],
        misbehavior: Misbehavior | None,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        first_event = int(request.headers.get("Last-Event-Id", -1)) + 1
        broken_event = (
            self.rng.randrange(first_event, EVENTS_PER_TURN)
            if first_event < EVENTS_PER_TURN
            else first_event
        )
        for number in range(first_event, EVENTS_PER_TURN):
            await asyncio.sleep(EVENT_INTERVAL_S)
            data = make_event(path, number)
            if number == broken_event and misbehavior in (
                Misbehavior.RESET,
                Misbehavior.TRUNCATED,
            ):
                await response.write(data[:9])
                self._abort(request)
            await response.write(data)
        await response.write_eof()
        return response

    @staticmethod
    def _abort(request: web.BaseRequest) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError


@dataclass(slots=True)
class UpstreamPool:
    """The running upstreams of all services."""

    make_upstream: Callable[[str], Upstream]
    running: list[Upstream] = field(default_factory=list)

    async def add(
        self, service: str, port: int = 0, failure_domain: str | None = None
    ) -> Upstream:
        """Starts an upstream on `port`, or on a free port if that one is in use."""
        upstream = self.make_upstream(service)
        upstream.failure_domain = failure_domain or upstream.failure_domain
        with suppress(OSError):
            await upstream.start(port)
            self.running.append(upstream)
            return upstream
        await upstream.start()
        self.running.append(upstream)
        return upstream

    async def stop(self) -> None:
        """Stops all upstreams."""
        for upstream in self.running:
            await upstream.stop()
