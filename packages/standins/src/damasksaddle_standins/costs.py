"""
What single operations of a node cost, at several sizes.

`python -m damasksaddle_standins costs` prints the figures that docs/CAPACITY.md uses:
the time per operation on one core, and memory per item, each with the slope over the
sizes that were measured.
"""

import asyncio
import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import numpy

from damasksaddle.config import load_document
from damasksaddle.utils import new_id
from damasksaddle_node.commit.rows import Entry, EntryKind, StreamRow, dump_row
from damasksaddle_node.fleet.ownership import Owners
from damasksaddle_node.fleet.records import (
    DocumentApplied,
    KeyGiven,
    VmJoined,
    dump_record,
    load_record,
)
from damasksaddle_node.fleet.state import FleetState
from damasksaddle_node.limits import TokenBucket
from damasksaddle_node.peers import (
    Handlers,
    PeerPool,
    PeerServer,
    Sender,
    TcpNetwork,
)
from damasksaddle_node.programs.records import (
    CallFinished,
    Outcome,
    ProgramStarted,
    Trace,
    dump_program_record,
    load_program_record,
)
from damasksaddle_node.programs.state import PartitionState
from damasksaddle_protocol import (
    Acquire,
    Acquired,
    Finish,
    Frame,
    Message,
    Place,
    Vouch,
    decode,
    encode,
)

MICRO = 1e6
WORDS_PER_TURN = 300
REPEATS = 3
SECRET = "fleet secret of the measurement"


@dataclass(frozen=True, slots=True)
class Cost:
    """One operation at several sizes; `values` are microseconds or bytes."""

    name: str
    unit: str
    sizes: list[int]
    values: list[float]

    def slope(self) -> float:
        """Returns the least-squares slope per unit of size."""
        if len(self.sizes) < 2:
            return 0.0
        return float(numpy.polyfit(self.sizes, self.values, 1)[0])


def _time_us(operation: Callable[[], object], count: int) -> float:
    """Returns the best mean time of an operation over a few repeats."""
    best = float("inf")
    for _ in range(REPEATS):
        started_s = time.process_time()
        for _ in range(count):
            operation()
        best = min(best, (time.process_time() - started_s) / count)
    return best * MICRO


def _frames() -> list[Cost]:
    messages: dict[str, Message] = {
        "vouch": Vouch("vm-0123456789abcdef", 12345),
        "acquire": Acquire("workspace-1", 2000),
        "place": Place("call-0123456789abcdef", "s/p", "w", "program", 9000, 512),
        "finish": Finish("call-0123456789abcdef", "s/p", "run-1", 270, 8000, 900, 9000),
    }
    costs = []
    for name, message in messages.items():
        data = encode(Frame(7, message, 100, 2000))

        def both(data: bytes = data) -> None:
            encode(decode(data))

        costs.append(
            Cost(f"frame {name}, decode and encode", "us", [1], [_time_us(both, 2000)])
        )
        costs.append(Cost(f"frame {name}", "bytes", [1], [float(len(data))]))
    return costs


def _ownership() -> Cost:
    sizes, values = [12, 50, 100, 200, 390], []
    for size in sizes:
        members = [f"vm{number}-0123456789abcdef" for number in range(size)]
        keys = iter(range(10_000_000))
        owners = Owners(members)
        values.append(
            _time_us(lambda o=owners, k=keys: o.partition(next(k)), 200)  # type: ignore[misc]
        )
    return Cost("owner of a key, not yet known, by members", "us", sizes, values)


def _fleet_memory() -> Cost:
    sizes, values = [100, 200, 400, 940], []
    for size in sizes:

        def build(size: int = size) -> FleetState:
            state = FleetState()
            for number in range(390):
                joined = VmJoined(
                    f"vm{number}-0123456789abcdef", "a", "h:1", "http://h"
                )
                state.apply(number + 1, joined)
            for number in range(size):
                key = KeyGiven(
                    f"{number:012x}", f"workspace-{number}", "f" * 64, "o", 0
                )
                state.apply(391 + number, key)
            return state

        values.append(_memory_bytes(build))
    return Cost("fleet state with 390 members, by keys", "bytes", sizes, values)


def _memory_bytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = build()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size_bytes)


def _finished(program: str, number: int, words: int) -> CallFinished:
    text = "word " * words
    messages = [json.dumps({"role": "user", "content": "the next step"})]
    return CallFinished(
        record_id=new_id("record"),
        workspace="workspace-1",
        program_id=program,
        call_id=new_id("call"),
        idempotency_key="",
        body_digest="f" * 64,
        route="chat",
        upstream="run-1",
        outcome=Outcome.OK,
        http_status=200,
        content_type="application/json",
        body=json.dumps({"text": text, "finish_reason": "stop"}),
        messages=messages,
        turn=True,
        charge_micros=100,
        prompt_tokens=9000,
        output_tokens=words,
        cached_tokens=8000,
        sequence=number,
        at_unix_s=0,
        trace=Trace(entry_vm="vm-1", owner_vm="vm-1", reason="least estimate"),
    )


def _program_memory() -> Cost:
    sizes, values = [1, 10, 50, 230], []
    for turns in sizes:

        def build(turns: int = turns) -> PartitionState:
            state = PartitionState()
            start = ProgramStarted("r", "workspace-1", "p", "s", 1, 0)
            state.apply(start)
            for number in range(turns):
                state.apply(_finished("p", number, WORDS_PER_TURN))
            return state

        values.append(_memory_bytes(build))
    name = f"one program, by turns of {WORDS_PER_TURN} words"
    return Cost(name, "bytes", sizes, values)


def _records() -> list[Cost]:
    record = _finished("p", 1, WORDS_PER_TURN)
    text = dump_program_record(record)
    joined = VmJoined("vm-0123456789abcdef", "a", "127.0.0.1:1", "http://h")
    fleet_text = dump_record(joined)
    sizes, values = [1, 10, 50, 100], []
    for size in sizes:
        entries = [Entry(n, "vm-1", EntryKind.RECORDS, [text]) for n in range(size)]
        row = StreamRow("vm-1", entries)
        values.append(_time_us(lambda r=row: dump_row(r), 100))  # type: ignore[misc]
    return [
        Cost("turn record", "bytes", [1], [float(len(text))]),
        Cost(
            "turn record, write as JSON",
            "us",
            [1],
            [_time_us(lambda: dump_program_record(record), 2000)],
        ),
        Cost(
            "turn record, read",
            "us",
            [1],
            [_time_us(lambda: load_program_record(text), 2000)],
        ),
        Cost(
            "fleet record, read",
            "us",
            [1],
            [_time_us(lambda: load_record(fleet_text), 2000)],
        ),
        Cost("stream row, write as JSON, by records", "us", sizes, values),
    ]


def _documents() -> list[Cost]:
    upstreams = [
        {"name": f"run-{n}", "url": f"http://10.0.0.{n}", "failure_domain": "a"}
        for n in range(43)
    ]
    text = json.dumps(
        {
            "service": "s",
            "pools": {"p": {"kind": "model", "model": "m", "upstreams": upstreams}},
            "routes": {"chat": {"pool": "p"}},
            "workspaces": {
                f"workspace-{n}": {"rate_per_s": 5, "burst": 10} for n in range(67)
            },
        }
    )
    name = f"document of {len(text)} bytes, read and check"
    record = DocumentApplied("s", 1, text, "operator", 0, load_document(text))
    row = dump_record(record)
    return [
        Cost(name, "us", [1], [_time_us(lambda: load_document(text), 10)]),
        Cost("its record, read", "us", [1], [_time_us(lambda: load_record(row), 200)]),
    ]


async def _bucket() -> Cost:
    loop = asyncio.get_running_loop()
    bucket = TokenBucket(1e9, 10**9, 1e9, loop.time(), lambda: None)
    count = 20_000
    started_s = time.process_time()
    for _ in range(count):
        await bucket.acquire(1.0)
    spent_us = (time.process_time() - started_s) / count * MICRO
    return Cost("bucket, take a token", "us", [1], [spent_us])


async def _round_trip() -> Cost:
    """Measures a request and its answer over TCP, with both ends in this process."""
    handlers = Handlers()

    async def on_acquire(message: Acquire, sender: Sender) -> Acquired:
        return Acquired(0)

    handlers.add(Acquire, on_acquire)
    server = PeerServer("vm-b", SECRET, TcpNetwork(), handlers, lambda: 1)
    await server.start("127.0.0.1", 0)
    pool = PeerPool(
        "vm-a", SECRET, TcpNetwork(), handlers, lambda _: server.address, lambda: 1, 1.0
    )
    count = 3000
    request = Acquire("workspace-1", 2000)
    await pool.request("vm-b", request, 2.0)
    started_s = time.process_time()
    for _ in range(count):
        await pool.request("vm-b", request, 2.0)
    spent_us = (time.process_time() - started_s) / count * MICRO
    pool.close()
    await server.stop()
    return Cost("request and answer between nodes, both ends", "us", [1], [spent_us])


def measure() -> list[Cost]:
    """Measures all operations."""
    return [
        *_frames(),
        _ownership(),
        *_records(),
        *_documents(),
        asyncio.run(_bucket()),
        asyncio.run(_round_trip()),
        _fleet_memory(),
        _program_memory(),
    ]


def table(costs: list[Cost]) -> str:
    """Returns the costs as a Markdown table."""
    lines = ["| operation | unit | sizes | measured | slope |", "|---|---|---|---|---|"]
    for cost in costs:
        sizes = ", ".join(str(size) for size in cost.sizes)
        values = ", ".join(f"{value:,.1f}" for value in cost.values)
        slope = f"{cost.slope():,.2f}" if len(cost.sizes) > 1 else ""
        lines.append(f"| {cost.name} | {cost.unit} | {sizes} | {values} | {slope} |")
    return "\n".join(lines)
