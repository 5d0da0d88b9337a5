"""
Callers that keep their connections until the other side closes them, and upstreams that
frame their responses in several ways.

Both read and write bytes of HTTP themselves, so that a body can arrive in pieces and a
response can end with its connection.
"""

import asyncio
import itertools
import json
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from damasksaddle.platform import Put, row_key
from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.fleet import FRONTEND_PORT, Vm
from damasksaddle_standins.faults.traffic import HOST
from damasksaddle_standins.versioned_table import VersionedRows

RECONNECT_DELAY_S = 0.05
# The body of a request may arrive in pieces.
LARGE_BODY_BYTES, LARGE_BODY_SHARE = 400_000, 0.15
BODY_PIECES, MAX_PIECE_PAUSE_S = 6, 0.05
# Share of the bodies that are sent in chunks, whether they are large or not.
CHUNKED_SHARE = 0.4
EVENTS, EVENT_INTERVAL_S = 8, 0.05
LAST_CHUNK = b"0\r\n\r\n"
HTTP_UNAVAILABLE = 503
# A response may be broken off this long before the deadline.
DEADLINE_MARGIN_S = 0.1
# A response that is this late after its deadline counts as none.
RESPONSE_MARGIN_S = 1.5
# A connection that is closed sooner than this after the last byte of a request may have
# crossed the request.
CROSSING_S = 0.2
MAX_HEAD_BYTES = 65536
# Interval of the samples of the delay of this process, and their number in 0.5 s.
LAG_INTERVAL_S, LAG_SAMPLES = 0.02, 25

_request_ids = itertools.count(1)


@dataclass(frozen=True, slots=True)
class CallerProfile:
    """
    How the callers of a VM use their connections.

    A caller pauses for up to `max_pause_s` before each request, so a long pause leaves
    connections that are used for the first time late in a stop.
    """

    callers_per_vm: int
    max_pause_s: float
    # Short deadlines let requests arrive until the end of a stop.
    deadlines_ms: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WorkProfile:
    """
    How long upstreams work on a call, and how many they take at once.

    Calls beyond `slots` wait for up to `max_queue_s` and are then rejected as not run.
    """

    work_s: tuple[float, float]
    long_work_s: tuple[float, float]
    long_share: float
    slots: int = 400
    max_queue_s: float = 0.0


@dataclass(slots=True)
class Observations:
    """What callers and upstreams saw."""

    statuses: Counter[str] = field(default_factory=Counter)
    ran: set[str] = field(default_factory=set)
    lost: list[str] = field(default_factory=list)
    # How late this process noticed events lately, newest last.
    lags_s: deque[float] = field(default_factory=lambda: deque(maxlen=LAG_SAMPLES))
    # Statuses of requests by route, for requests of calm times.
    by_route: dict[str, Counter[int]] = field(default_factory=dict)


async def measure_lag(observations: Observations) -> None:
    """Records how late this process, which may be short of CPU time, notices events."""
    while True:
        started_s = boottime_s()
        await asyncio.sleep(LAG_INTERVAL_S)
        lag_s = boottime_s() - started_s - LAG_INTERVAL_S
        observations.lags_s.append(lag_s)


def make_chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers, whose names are in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


@dataclass(slots=True, eq=False)
class FramingUpstream:
    """
    An upstream that responds with a length, in chunks or until its connection ends.
    """

    id: str
    service: str
    rows: VersionedRows
    observations: Observations
    rng: random.Random
    work: WorkProfile
    _server: asyncio.Server | None = None
    _slots: asyncio.Semaphore = field(init=False)

    def __post_init__(self) -> None:
        self._slots = asyncio.Semaphore(self.work.slots)

    async def start(self) -> None:
        """Listens on a free port and registers."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        row = {
            "Service": self.service,
            "Address": f"{host}:{port}",
            "Zone": "a",
            "Version": "v1",
            "Slots": self.work.slots,
            "State": "ready",
            "SeqNum": 1,
        }
        self.rows.apply([Put(row_key("servers", "", self.id), json.dumps(row))])

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            keeps = True
            while keeps:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                request_id = headers.get("x-request-id", "")
                if not await self._take_slot():
                    self._reject(writer, request_id)
                    continue
                try:
                    self.observations.ran.add(request_id)
                    keeps = await self._respond(writer, first.split()[1], request_id)
                finally:
                    self._slots.release()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _take_slot(self) -> bool:
        """Waits for a slot; returns False if the call is rejected."""
        if not self._slots.locked():
            return await self._slots.acquire()
        try:
            async with asyncio.timeout(self.work.max_queue_s):
                return await self._slots.acquire()
        except TimeoutError:
            return False

    @staticmethod
    def _reject(writer: asyncio.StreamWriter, request_id: str) -> None:
        head = [
            f"HTTP/1.1 {HTTP_UNAVAILABLE} Full",
            f"X-Request-Id: {request_id}",
            "X-Not-Executed: 1",
            "Content-Length: 0",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())

    async def _respond(
        self, writer: asyncio.StreamWriter, path: str, request_id: str
    ) -> bool:
        """Sends a response; returns whether the connection stays open."""
        is_stream = self.service == "llm"
        framing = self.rng.choice(("length", "chunked", "close"))
        if is_stream and framing == "length":
            framing = "chunked"
        pieces = [f"{path}|{request_id}".encode()]
        if is_stream:
            pieces = [f"id: {n}\ndata: {path}\n\n".encode() for n in range(EVENTS)]
        else:
            is_long = self.rng.random() < self.work.long_share
            range_s = self.work.long_work_s if is_long else self.work.work_s
            await asyncio.sleep(self.rng.uniform(*range_s))
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            f"X-Server-Signature: {self.id}",
        ]
        if is_stream:
            head.append("Content-Type: text/event-stream")
        match framing:
            case "length":
                head.append(f"Content-Length: {len(pieces[0])}")
            case "chunked":
                head.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join([*head, "", ""]).encode())
        for piece in pieces:
            if is_stream:
                await asyncio.sleep(EVENT_INTERVAL_S)
            if framing == "chunked":
                piece = make_chunk(piece)
            writer.write(piece)
            await writer.drain()
        if framing == "chunked":
            writer.write(LAST_CHUNK)
        return framing != "close"


@dataclass(slots=True, eq=False)
class KeptCaller:
    """
    A caller of one VM that sends requests on one connection until it is closed.

    `prefixes` are the routes that it may use; the operator may add some while it runs.
    """

    vm: Vm
    key: str
    prefixes: list[str]
    observations: Observations
    rng: random.Random
    started_s: float
    profile: CallerProfile

    async def run(self, until_s: float) -> None:
        """Sends requests until `until_s`."""
        while boottime_s() < until_s:
            try:
                streams = await asyncio.open_connection(
                    self.vm.host, FRONTEND_PORT, limit=MAX_HEAD_BYTES
                )
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                keeps = True
                while keeps and boottime_s() < until_s:
                    await asyncio.sleep(self.rng.uniform(0, self.profile.max_pause_s))
                    keeps = await self._send(*streams)
            finally:
                streams[1].transport.abort()

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends a request; returns whether the connection can be used again."""
        request_id = f"{next(_request_ids):016x}"
        prefix = self.rng.choice(self.prefixes)
        deadline_ms = self.rng.choice(self.profile.deadlines_ms)
        sent_s, written_s, status = boottime_s(), 0.0, 0
        headers: dict[str, str] = {}
        try:
            async with asyncio.timeout(deadline_ms / 1000 + RESPONSE_MARGIN_S):
                await self._write(writer, prefix, request_id, deadline_ms)
                written_s = boottime_s()
                first, headers = await read_head(reader)
                status = int(first.split()[1])
                await read_body(reader, headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            if boottime_s() - sent_s > deadline_ms / 1000 - DEADLINE_MARGIN_S:
                self.observations.statuses["late"] += 1
            else:
                self._record_failure(prefix, request_id, written_s, status)
            return False
        self.observations.statuses[str(status)] += 1
        self.observations.by_route.setdefault(prefix, Counter())[status] += 1
        return headers.get("connection", "").lower() != "close"

    async def _write(
        self,
        writer: asyncio.StreamWriter,
        prefix: str,
        request_id: str,
        deadline_ms: int,
    ) -> None:
        is_large = self.rng.random() < LARGE_BODY_SHARE
        is_chunked = self.rng.random() < CHUNKED_SHARE
        body = b"x" * (LARGE_BODY_BYTES if is_large else 600)
        framing = f"Content-Length: {len(body)}"
        if is_chunked:
            framing = "Transfer-Encoding: chunked"
        head = [
            f"POST {prefix}{request_id} HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Token {self.key}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            framing,
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        size = -(-len(body) // (BODY_PIECES if is_large else 1))
        for start in range(0, len(body), size):
            piece = body[start : start + size]
            if is_chunked:
                piece = make_chunk(piece)
            writer.write(piece)
            if is_large or is_chunked:
                await asyncio.sleep(self.rng.uniform(0, MAX_PIECE_PAUSE_S))
        if is_chunked:
            writer.write(LAST_CHUNK)
        await writer.drain()

    def _record_failure(
        self, prefix: str, request_id: str, written_s: float, status: int
    ) -> None:
        """Records a request without a whole response, unless it crossed a close."""
        now_s = boottime_s()
        ran = request_id in self.observations.ran
        waited_s = now_s - written_s if written_s else 0.0
        if not ran and waited_s <= CROSSING_S:
            self.observations.statuses["crossed"] += 1
            return
        self.observations.statuses["lost"] += 1
        self.observations.lost.append(
            f"{now_s - self.started_s:.3f} {prefix}{request_id} at {self.vm.name}: "
            f"ran {ran}, status {status}, {waited_s:.3f} s after its last byte, "
            f"noticed up to {max(self.observations.lags_s):.3f} s late"
        )
