"""Gateway processes with stand-ins for the platform's store, upstreams and callers."""

import asyncio
import base64
import contextlib
import itertools
import json
import logging
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
# The command of the deploy file and the path that it is run with.
COMMAND = (sys.executable, "-m", "damasksaddle_platform")
DEPENDENCIES = ROOT / "target" / "deps"

HELD, BROKEN, NOT_RUN = 0, 1, 2

HOST_NAME = "app.example"
KEY = "3fexd9dnn2ctnfzs989a"
TENANT = "hule930"
FRONTEND_PORT, READY_PORT, DIRECTORY_PORT = 8368, 8369, 8360
INTERNAL_PORTS = (7780, 7795)
HEARTBEAT_S = 1.2
READ_S = 0.004
TRANSACTION_S = 0.005
READY_TIMEOUT_S = 40.0
# A case runs for 120 s at most.
TIME_LIMIT_S = 116.0
READ_PIECE_BYTES = 64 * 1024


def has_trouble() -> bool:
    """Tells whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def line(self, text: str) -> None:
        """Writes one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


Row = tuple[str, str, str]


class Store:
    """The platform's store: rows, conditional transactions and a change feed."""

    def __init__(self) -> None:
        self.rows: dict[Row, tuple[str, int]] = {}
        self.version = 0
        self._changes: list[tuple[int, Row, str | None]] = []
        self._changed = asyncio.Event()
        self._part_locks: dict[str, asyncio.Lock] = {}
        self._runners: list[web.AppRunner] = []
        self._epoch_s = time.monotonic() - 1000
        # While it is set, the connections of all machines are reset.
        self.is_down = False
        # Calls that arrive while it is set are never answered.
        self.is_silent = False
        # How many times as long each answer takes.
        self.slowdown = 1.0
        # The machine that last wrote under a condition.
        self.last_writer = ""

    async def listen(self, machine: str) -> str:
        """Returns an address of the store for one machine."""
        app = web.Application(
            client_max_size=16 * 1024 * 1024, middlewares=[self._reset_if_down]
        )
        app["machine"] = machine
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-parts", self._parts)
        app.router.add_get("/rows-feed", self._feed)
        app.router.add_post("/rows-tx", self._commit)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.05)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self._runners.append(runner)
        return "{}:{}".format(*runner.addresses[0][:2])

    async def stop(self) -> None:
        for runner in self._runners:
            await runner.cleanup()

    @web.middleware
    async def _reset_if_down(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if self.is_silent:
            await asyncio.Event().wait()
        if not self.is_down:
            response = await handler(request)
        if self.is_down and request.transport is not None:
            # A call that is answered while the store goes down may have been applied.
            request.transport.abort()
            return web.Response(status=503)
        return response

    def put(self, table: str, key: str, value: dict[str, Any] | None) -> None:
        """Writes a row of the operator or of an upstream, or removes it."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([((table, "", key), text)])

    def _apply(self, entries: list[tuple[Row, str | None]]) -> None:
        self.version += 1
        for row, value in entries:
            if value is None:
                if self.rows.pop(row, None) is None:
                    continue
            else:
                self.rows[row] = value, self.version
            self._changes.append((self.version, row, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _tail(self) -> dict[str, Any]:
        now_ms = int((time.monotonic() - self._epoch_s) * 1000)
        return {"Ver": self.version, "NowMs": now_ms}

    @staticmethod
    def _fields(row: Row, value: str | None, version: int) -> dict[str, Any]:
        fields: dict[str, Any] = {"Table": row[0], "part": row[1], "Key": row[2]}
        content = {"Tombstone": True} if value is None else {"Value": value}
        return {**fields, **content, "Ver": version}

    async def _get(self, request: web.Request) -> web.Response:
        await asyncio.sleep(READ_S * self.slowdown)
        query = request.query
        start, end = query.get("From", ""), query.get("To")
        limit = min(500, int(query.get("Limit", 500)))
        found = sorted(
            row
            for row in self.rows
            if row[:2] == (query["Table"], query.get("part", ""))
            and row[2] >= start
            and (end is None or row[2] < end)
        )
        rows = [self._fields(row, *self.rows[row]) for row in found[:limit]]
        more = len(found) > limit
        return web.json_response({"Rows": rows, "MorePages": more, **self._tail()})

    async def _parts(self, request: web.Request) -> web.Response:
        await asyncio.sleep(READ_S * self.slowdown)
        parts = sorted(
            {row[1] for row in self.rows if row[0] == request.query["Table"]}
        )
        return web.json_response({"parts": parts, "MorePages": False, **self._tail()})

    async def _feed(self, request: web.Request) -> web.Response:
        table, after = request.query["Table"], int(request.query["after"])
        deadline_s = time.monotonic() + int(request.query["WaitMs"]) / 1000
        while True:
            await asyncio.sleep(READ_S * self.slowdown)
            rows = [
                self._fields(row, value, version)
                for version, row, value in self._changes
                if version > after and row[0] == table
            ]
            left_s = deadline_s - time.monotonic()
            if rows or left_s <= 0:
                return web.json_response({"Rows": rows, **self._tail()})
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.json()
        entries = [*body["SetKeys"], *body["Remove"]]
        part = entries[0].get("part", "") if entries else ""
        async with self._part_locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(TRANSACTION_S * self.slowdown)
            current = []
            for entry in body["ExpectedRev"]:
                row = entry["Table"], entry.get("part", ""), entry["Key"]
                known = self.rows.get(row)
                if (known[1] if known else 0) != entry["Ver"]:
                    current += [self._fields(row, *known)] if known else []
                    break
            else:
                if body["ExpectedRev"]:
                    self.last_writer = request.app["machine"]
                self._apply(
                    [
                        (
                            (entry["Table"], entry.get("part", ""), entry["Key"]),
                            entry.get("Value"),
                        )
                        for entry in entries
                    ]
                )
                return web.json_response(self._tail())
        return web.json_response({"Rows": current, **self._tail()}, status=412)


@dataclass(slots=True)
class Run:
    """A request that an upstream began to run."""

    request_id: str
    upstream: str
    at_s: float
    headers: Mapping[str, str]
    body: bytes


Behavior = Callable[["Upstream", web.BaseRequest, Run], Awaitable[web.StreamResponse]]


@dataclass(slots=True, eq=False)
class Upstream:
    """A runner that registers in the store."""

    id: str
    service: str
    store: Store
    behavior: Behavior
    runs: list[Run] = field(default_factory=list)
    slots: int = 6
    zone: str = "zone-a"
    version: str = "v1"
    port: int = 0
    # How fast it reads the body of a request; 0 is at once.
    read_bytes_per_s: int = 0
    state: str = "ready"
    _sequence: int = 0
    _born_ms: int = 0
    _server: web.ServerRunner | None = None
    _beats: asyncio.Task[None] | None = None
    _connections: set[asyncio.Transport] = field(default_factory=set)

    async def start(self) -> None:
        """Listens at its address and registers; again after a crash."""
        server = web.Server(
            self._handle,
            access_log=None,
            handler_cancellation=True,
            read_bufsize=READ_PIECE_BYTES,
        )
        self._server = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._server.setup()
        site = web.TCPSite(self._server, "127.0.0.1", self.port, reuse_address=True)
        await site.start()
        self.port = self._server.addresses[0][1]
        self._born_ms = int(time.time() * 1000)
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self._register()
            await asyncio.sleep(HEARTBEAT_S)

    def _register(self) -> None:
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "SeqNum": self._sequence,
            "born": self._born_ms,
        }
        self.store.put("servers", self.id, entry)

    async def stop(self) -> None:
        """Ends at once: its port is closed and its connections are reset."""
        if self._beats is not None:
            self._beats.cancel()
        server, self._server = self._server, None
        if server is not None:
            for site in list(server.sites):
                await site.stop()
            for connection in list(self._connections):
                connection.abort()
            await server.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        assert isinstance(request.transport, asyncio.Transport)
        self._connections.add(request.transport)
        try:
            request_id = request.headers.get("X-Request-Id", "")
            if request.headers.get("X-Expect-Instance", self.id) != self.id:
                return self.rejection(request_id, 421)
            body = await self._read(request)
            run = Run(request_id, self.id, time.monotonic(), request.headers, body)
            self.runs.append(run)
            return await self.behavior(self, request, run)
        finally:
            self._connections.discard(request.transport)

    async def _read(self, request: web.BaseRequest) -> bytes:
        if not self.read_bytes_per_s:
            return await request.content.read()
        pieces = []
        while piece := await request.content.read(READ_PIECE_BYTES):
            pieces.append(piece)
            await asyncio.sleep(len(piece) / self.read_bytes_per_s)
        return b"".join(pieces)

    @staticmethod
    def rejection(request_id: str, status: int = 503) -> web.Response:
        """Returns the answer to a request that was not run."""
        headers = {"X-Not-Executed": "1", "X-Request-Id": request_id}
        return web.Response(status=status, headers=headers)

    def headers(self, run: Run) -> dict[str, str]:
        """Returns the headers of an answer."""
        signature = f"{self.id}.{run.request_id}"
        return {"X-Request-Id": run.request_id, "X-Server-Signature": signature}


async def stream(
    upstream: Upstream,
    request: web.BaseRequest,
    run: Run,
    events: int = 3,
    pause_s: float = 0.01,
) -> web.StreamResponse:
    """Answers with a stream of events, from the one after `Last-Event-Id`."""
    response = web.StreamResponse(headers=upstream.headers(run))
    response.content_type = "text/event-stream"
    response.enable_chunked_encoding()
    await response.prepare(request)
    first = int(run.headers.get("Last-Event-Id", 0)) + 1
    for number in range(first, events + 1):
        await asyncio.sleep(pause_s)
        await response.write(b"id: %d\ndata: e%d\n\n" % (number, number))
    await response.write_eof()
    return response


async def plain(
    upstream: Upstream, request: web.BaseRequest, run: Run, work_s: float = 0.02
) -> web.StreamResponse:
    """Answers after some work."""
    await asyncio.sleep(work_s)
    return web.Response(body=b"done", headers=upstream.headers(run))


@dataclass(slots=True, eq=False)
class Gateway:
    """One machine of the deployment and its process."""

    name: str
    host: str
    directory: Path
    settings: dict[str, Any]
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        path = self.directory / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings))
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": str(DEPENDENCIES),
                    "DAMASKSADDLE_NODE_FILE": str(path),
                },
            )

    async def kill(self) -> None:
        await self.end(signal.SIGKILL)

    async def end(self, number: signal.Signals) -> None:
        """Sends a signal and waits for the end of the process."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        await self.process.wait()
        self.process = None

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        url = f"http://{self.host}:{READY_PORT}/readyz"
        try:
            timeout = aiohttp.ClientTimeout(total=1)
            async with session.get(url, timeout=timeout) as response:
                return response.status == web.HTTPOk.status_code
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S), aiohttp.ClientSession() as session:
            while not await self.is_ready(session):
                await asyncio.sleep(0.1)

    def memory_mb(self) -> float:
        """Returns how much memory the process uses now."""
        if self.process is None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [line for line in status.splitlines() if line.startswith("VmRSS:")]
        return int(sizes[0].split()[1]) / 1024 if sizes else 0.0


@dataclass(slots=True)
class Answer:
    """What a caller got; status 0 is a connection that ended without an answer."""

    status: int
    body: bytes = b""
    complete: bool = False
    headers: dict[str, str] = field(default_factory=dict)


class Fleet:
    """All machines, upstreams and the store of a case."""

    def __init__(self, record: Record, bounds: dict[str, Any] | None = None) -> None:
        self.record = record
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.upstreams: list[Upstream] = []
        self.runs: list[Run] = []
        self.session: aiohttp.ClientSession | None = None
        self._bounds = bounds or {}
        self._ids = itertools.count(1)
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self._reservation: socket.socket | None = None
        self._network = ""

    async def __aenter__(self) -> "Fleet":
        # Each request uses a connection of its own.
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0)
        )
        self._reserve_network()
        return self

    async def __aexit__(self, *args: object) -> None:
        for gateway in self.gateways:
            await gateway.kill()
        for upstream in self.upstreams:
            await upstream.stop()
        if self.session is not None:
            await self.session.close()
        await self.store.stop()
        if self._reservation is not None:
            self._reservation.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.directory)

    def _reserve_network(self) -> None:
        for number in itertools.count(os.getpid()):
            network = f"127.{101 + number % 100}.{number // 100 % 250}"
            reservation = socket.socket()
            try:
                reservation.bind((f"{network}.254", FRONTEND_PORT))
            except OSError:
                reservation.close()
                continue
            self._network, self._reservation = network, reservation
            return

    async def add_gateway(self, zone: str = "zone-a", memory_mb: int = 160) -> Gateway:
        number = len(self.gateways) + 1
        host = f"{self._network}.{number}"
        name = f"edge-{zone}-{number}"
        settings = {
            "NodeName": name,
            "Role": "gateway",
            "MachineClass": "edge",
            "Serves": ["edge", "registry"],
            "Ip": host,
            "Zone": zone,
            "Region": "region",
            "Listen": {
                "Frontend": f"{host}:{FRONTEND_PORT}",
                "Ready": f"{host}:{READY_PORT}",
                "Directory": f"{host}:{DIRECTORY_PORT}",
            },
            "InternalPorts": list(INTERNAL_PORTS),
            "Seeds": [],
            "Bootstrap": True,
            "Limits": {
                "CpuShare": 0.717,
                "CpuCores": 3,
                "MemoryMb": memory_mb,
                "MaxFds": 8200,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Contracts": ["base", "drain", "config", "agent", "stream", "platform"],
            "Bounds": {
                "ContactMs": 3000,
                "DrainMs": 2000,
                "GraceS": 8,
                "ConfigApplyMs": 2000,
                "RevokeMs": 5000,
                "QuotaWindowS": 5,
                "QuotaOverrun": 0.1,
                "QuotaSlack": 20,
                "SettleMs": 1000,
                "ttl_max_s": 5,
                **self._bounds,
            },
            "Platform": {
                "Address": await self.store.listen(name),
                "form": "table",
                "WritesPerS": 800,
                "ReadsPerS": 2000,
                "RowBytes": 65536,
                "Across": False,
                "HistoryS": 20,
            },
        }
        gateway = Gateway(name, host, self.directory, settings)
        self.gateways.append(gateway)
        return gateway

    async def add_upstream(
        self, name: str, service: str, behavior: Behavior, **options: Any
    ) -> Upstream:
        upstream = Upstream(name, service, self.store, behavior, self.runs, **options)
        await upstream.start()
        self.upstreams.append(upstream)
        return upstream

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        version: int = 1,
        **tenant: Any,
    ) -> None:
        """Writes a configuration with one tenant."""
        config = {
            "Version": version,
            "Routes": [{"Host": HOST_NAME, **route} for route in routes],
            "Services": [
                {"HealthPath": "/healthz", "MaxConns": 160, **service}
                for service in services
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": [
                {"Name": TENANT, "ApiKeys": [KEY], "RatePerS": 0, "Burst": 0, **tenant}
            ],
        }
        self.store.put("op", "config", config)

    async def start(self) -> None:
        """Starts all gateways and waits until each is ready."""
        for gateway in self.gateways:
            await gateway.start()
        await asyncio.gather(*(gateway.wait_ready() for gateway in self.gateways))

    def new_id(self) -> str:
        return f"{next(self._ids):04d}{os.urandom(6).hex()}"

    @contextlib.asynccontextmanager
    async def open(
        self,
        gateway: Gateway,
        path: str,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 4000,
        method: str = "POST",
        headers: dict[str, str] | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Sends one client attempt and yields the head of the answer."""
        assert self.session is not None
        fields = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {KEY}",
            **(headers or {}),
        }
        url = f"http://{gateway.host}:{FRONTEND_PORT}{path}"
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 1, sock_connect=1)
        async with self.session.request(
            method, url, data=body, headers=fields, timeout=timeout
        ) as response:
            yield response

    async def send(
        self,
        gateway: Gateway,
        path: str,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 4000,
        method: str = "POST",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Sends one client attempt and returns what came back."""
        answer = Answer(0)
        try:
            async with self.open(
                gateway, path, request_id, body, deadline_ms, method, headers
            ) as response:
                answer.status = response.status
                answer.headers = dict(response.headers)
                async for chunk in response.content.iter_any():
                    answer.body += chunk
                answer.complete = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.record.line(f"attempt {request_id} broke: {error!r}")
        return answer


def run_case(case: Callable[[Record], Awaitable[int]], directory: Path) -> None:
    """Runs a case and exits with its result; 2 if it could not run."""
    # Connections that are reset on purpose would fill the output.
    logging.getLogger("aiohttp.server").disabled = True
    record = Record(directory / "record.txt")
    try:
        result = asyncio.run(_run(case, record))
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.line(f"result: {result}")
    record.close()
    sys.exit(result)


async def _run(case: Callable[[Record], Awaitable[int]], record: Record) -> int:
    task = asyncio.current_task()
    assert task is not None
    # Whoever ends the script has its processes ended too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(TIME_LIMIT_S):
        return await case(record)
