"""VMs of one failure domain that keep turns, without sockets, on a simulated clock."""

import asyncio
import random
import statistics
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import looptime
from multidict import CIMultiDict

from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.histories.coordinator import HistoryCoordinator
from damasksaddle_gateway.histories.histories import Histories
from damasksaddle_gateway.interfaces import ProgramMetadata, RequestMetadata
from damasksaddle_gateway.routing_config import (
    Route,
    Service,
    Streaming,
    Target,
    Workspace,
)
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_standins.loopback_fleet import LoopbackFleet, LoopbackPeers
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows

ROUTE = Route(
    name="turns",
    host="desk.example",
    prefix="/",
    kind=Streaming(resumable=True, max_gap_ms=200),
    targets=(Target("llm", 1.0),),
    timeout_ms=4000.0,
    target_latency_ms=300.0,
    priority=0,
    max_attempts=2,
    public=False,
    keeps_history=True,
    retention_s=60.0,
)
# Latency of messages within a failure domain.
LOCAL_ONE_WAY_S = 0.0002
MAX_BYTES = 4 * 1024 * 1024
# What a turn of site A brings and generates.
INPUT_BYTES = 2100
OUTPUT_EVENTS = 3
EVENT_BYTES = 100
TURNS_PER_PROGRAM = 5
TURN_S = 0.15
# How many times as long the store takes, and the programs that begin in a second.
BENCH_LOADS = ((1.0, 8.0), (1.0, 40.0), (1.0, 120.0), (1.0, 300.0), (20.0, 8.0))
BENCH_S = 5.0


@dataclass(frozen=True, slots=True)
class PlayResult:
    """What the turns of a play cost."""

    turns: int
    transactions_per_turn: float
    reads_per_turn: float
    messages_per_turn: float
    median_wait_ms: float
    p95_wait_ms: float


class HistoryFleet(LoopbackFleet):
    """VMs that share a store; each one keeps turns for the others."""

    def __init__(self, size: int, max_bytes: int = MAX_BYTES, domains: int = 1) -> None:
        super().__init__(size, lambda *parts: None)
        self.rows = VersionedRows()
        self.one_way_s = LOCAL_ONE_WAY_S
        self.max_bytes = max_bytes
        self.domains = domains
        self.tables: dict[str, MemoryVersionedTable] = {}
        self.coordinators: dict[str, HistoryCoordinator] = {}
        self.histories: dict[str, Histories] = {}
        # Whether turns are stored by their entry VM, each by itself.
        self.without_coordinators = False

    def domain_vms(self, number: int) -> list[str]:
        """Returns the VMs of a failure domain."""
        return self.vms[number % self.domains :: self.domains]

    async def start(self, vm: str) -> None:
        """Starts the process of a VM, or replaces it by one that knows nothing."""
        membership: Any = SimpleNamespace(
            live_vms=lambda: self.vms,
            large_local_vms=lambda: (
                [vm]
                if self.without_coordinators
                else self.domain_vms(self.vms.index(vm))
            ),
        )
        peers: Any = LoopbackPeers(vm, self)
        self.peers[vm] = peers
        self.tables[vm] = MemoryVersionedTable(self.rows)
        store = StoreCircuitBreaker(self.tables[vm])
        coordinators = Coordinators(vm, store, membership, peers)
        self.coordinators[vm] = HistoryCoordinator(store, self.max_bytes)
        self.coordinators[vm].register_handlers(peers.handlers)
        self.histories[vm] = Histories(
            self.coordinators[vm], coordinators, membership, store, peers
        )

    def call(
        self,
        request: str,
        previous: str = "",
        body: bytes = b"in",
        program: str = "p",
        workspace: str = "ngo",
        time_s: float = 4.0,
        last_event: str = "",
        resumes: str = "",
    ) -> Call:
        """Returns a turn of a caller."""
        metadata = RequestMetadata(
            request_id=request,
            key="",
            deadline_ms=None,
            program=ProgramMetadata(program, "", None, None) if program else None,
            prompt_tokens=0,
            max_output_tokens=0,
            prompt_parts=(),
            last_event_id=last_event,
            forwarded=CIMultiDict(),
            resumed_request_id=resumes,
            previous_turn_id=previous,
        )
        started_s = asyncio.get_running_loop().time()
        return Call(
            metadata,
            ROUTE,
            Service("llm", 100),
            Workspace(workspace),
            "POST",
            "/",
            body,
            (),
            started_s,
            started_s + time_s,
            last_event,
        )

    async def run_turn(
        self, vm: str, call: Call, *events: bytes, turn_s: float = 0.0
    ) -> bytes:
        """
        Runs a turn at a VM and returns the body that its upstream got.

        Raises a refusal, or `TimeoutError` if the turn was not stored in time. Its
        events are then known as those of an interrupted turn.
        """
        histories = self.histories[vm]

        async def reserve() -> None:
            return

        try:
            async with asyncio.timeout(call.time_left_s()):
                await histories.find_resumed(call)
                await histories.prepare(call, reserve)
                await asyncio.sleep(turn_s)
                await self.pass_on(call, *events)
                await histories.keep(call)
                assert call.recorder is not None
                call.recorder.is_ended = True
        finally:
            histories.finish(call)
        return call.body

    @staticmethod
    async def pass_on(call: Call, *events: bytes) -> None:
        """Does what precedes passing on events of a prepared turn."""
        assert call.recorder is not None
        call.recorder.record(events)
        if call.copies is not None:
            await call.copies.add(events)

    def total_calls(self) -> tuple[int, int]:
        """Returns the number of transactions and of reads of all VMs."""
        commits = sum(table.commits for table in self.tables.values())
        return commits, sum(table.calls for table in self.tables.values()) - commits


async def play_turns(
    programs_per_s: float,
    duration_s: float,
    without_coordinators: bool = False,
    vms: int = 20,
    slowdown: float = 1.0,
    seed: int = 1,
    domains: int = 1,
) -> PlayResult:
    """Plays programs whose turns enter at random VMs of their failure domain."""
    rng = random.Random(seed)
    waits_s: list[float] = []
    async with HistoryFleet(vms, domains=domains) as fleet:
        fleet.without_coordinators = without_coordinators
        # Each VM has learned the time and the latency of the store.
        fleet.rows.slowdown = slowdown
        for table in fleet.histories.values():
            await table._store.page("turn_ends/0/")
        before = fleet.total_calls()
        events = [b"id: %d\ndata: %s\n\n" % (n, b"x" * EVENT_BYTES) for n in range(3)]

        async def run_program(program: str, entry_vms: list[str]) -> None:
            previous = ""
            for number in range(TURNS_PER_PROGRAM):
                call = fleet.call(
                    f"{program}-{number}", previous, bytes(INPUT_BYTES), program
                )
                vm = rng.choice(entry_vms)
                await fleet.run_turn(vm, call, *events, turn_s=TURN_S)
                waited_s = asyncio.get_running_loop().time() - call.started_s - TURN_S
                waits_s.append(waited_s)
                previous = f"{program}-{number}"

        async with asyncio.TaskGroup() as programs:
            for number in range(int(programs_per_s * duration_s)):
                entry_vms = fleet.domain_vms(number)
                programs.create_task(run_program(f"program-{number}", entry_vms))
                await asyncio.sleep(rng.expovariate(programs_per_s))
        commits, reads = fleet.total_calls()
        turns = len(waits_s)
        cuts = statistics.quantiles(waits_s, n=20)
        return PlayResult(
            turns,
            (commits - before[0]) / turns,
            (reads - before[1]) / turns,
            fleet.messages / turns,
            statistics.median(waits_s) * 1000,
            cuts[-1] * 1000,
        )


def run_history_bench() -> str:
    """Returns a table of what turns cost with and without coordinators."""
    lines = [
        "| Store slower by | turns a second | kept by | transactions a turn "
        "| reads a turn | messages a turn | added ms p50 | p95 |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for slowdown, programs_per_s in BENCH_LOADS:
        for without_coordinators in (True, False):
            loop = looptime.new_event_loop(start=0)
            try:
                result = loop.run_until_complete(
                    play_turns(
                        programs_per_s, BENCH_S, without_coordinators, slowdown=slowdown
                    )
                )
            finally:
                loop.close()
            lines.append(
                f"| {slowdown:g} | {programs_per_s * TURNS_PER_PROGRAM:g} "
                f"| {'entry VM' if without_coordinators else 'coordinator'} "
                f"| {result.transactions_per_turn:.2f} | {result.reads_per_turn:.2f} "
                f"| {result.messages_per_turn:.2f} | {result.median_wait_ms:.0f} "
                f"| {result.p95_wait_ms:.0f} |"
            )
    return "\n".join(lines)
