"""
Plays the load of one workspace's programs against a gateway's rate and budget.

The store is a stand-in whose answers may take many times as long. The play needs no
network and no processes, so it runs on a simulated clock, in tests and as a benchmark.
"""

import asyncio
import random
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import looptime

from damasksaddle.exceptions import BudgetExceeded, RateExceeded, StoreUnavailable
from damasksaddle_gateway.budgets import LARGE_BLOCK_RETURN_DELAY_S, Budgets
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.settings import Address, GatewaySettings
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_gateway.token_buckets import TokenBuckets
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows

# Interval of the reads that a VM makes anyway, for its configuration and upstreams.
POLL_S = 0.5
# Answer time of the store, relative to normal, in the benchmark: 4 ms to 600 ms.
BENCH_SLOWDOWNS = (1.0, 5.0, 20.0, 60.0, 150.0)
BENCH_DURATION_S = 60.0


def gateway_settings(vm: str = "vm-a", **changes: object) -> GatewaySettings:
    """Returns settings with the limits of a small deployment."""
    local = Address("127.0.0.1", 0)
    values: dict[str, Any] = {
        "vm": vm,
        "failure_domain": "a",
        "caller_address": local,
        "ready_address": local,
        "directory_address": local,
        "metrics_address": local,
        "peer_address": local,
        "grace_s": 8.0,
        "key_revocation_ms": 5000.0,
        "drain_ms": 2000.0,
        "address_ttl_s": 1.5,
        "rate_window_s": 5.0,
        "rate_overrun": 0.1,
        "rate_slack": 20.0,
        "settle_ms": 1000.0,
        "verified_directory": True,
    }
    return GatewaySettings(**{**values, **changes})


async def deny_offline_grants(name: str) -> bool:
    """Permits no grants without the store."""
    return False


@dataclass(frozen=True, slots=True)
class ProgramShape:
    """
    What a program does: turns, each of which starts `fan_out` calls at once.

    A caller sends a refused request `max_attempts` times at most, and each attempt may
    wait `max_wait_s` for its rate. The program should end within `time_s`.
    """

    turns: int = 6
    fan_out: int = 5
    turn_s: float = 0.3
    tools_s: float = 0.3
    max_wait_s: float = 0.8
    max_attempts: int = 2
    reserve: int = 2
    time_s: float = 12.0
    turn_tokens: int = 40

    def requests(self) -> int:
        """Returns the number of requests of a program that ends whole."""
        return self.turns * (1 + self.fan_out)


@dataclass(slots=True)
class ProgramLoad:
    """Programs of one workspace; `outcomes` and `waits_s` say what callers got."""

    workspace: Workspace
    buckets: TokenBuckets
    shape: ProgramShape = ProgramShape()
    # Without budgets, turns only need their rate.
    budgets: Budgets | None = None
    outcomes: list[str] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)
    turns: int = 0

    async def run_program(self, program: str) -> str:
        """Returns `finished`, `refused` at its start or `interrupted` midway."""
        shape = self.shape
        end_s = asyncio.get_running_loop().time() + shape.time_s
        for turn in range(shape.turns):
            if not await self._run_turn(program, end_s):
                return "interrupted" if turn else "refused"
            calls = (self._send(program, 0, end_s) for _ in range(shape.fan_out))
            if not all(await asyncio.gather(*calls)):
                return "interrupted"
            await asyncio.sleep(shape.tools_s)
        return "finished"

    async def start_programs(
        self, pauses_s: Iterable[float], name: str = "program"
    ) -> None:
        """Starts a program before each pause, and waits until all have ended."""

        async def run(number: int) -> None:
            self.outcomes.append(await self.run_program(f"{name}-{number}"))

        async with asyncio.TaskGroup() as programs:
            for number, pause_s in enumerate(pauses_s):
                programs.create_task(run(number))
                await asyncio.sleep(pause_s)

    async def _run_turn(self, program: str, end_s: float) -> bool:
        shape = self.shape
        if not await self._send(program, shape.reserve, end_s):
            return False
        if self.budgets is None:
            await asyncio.sleep(shape.turn_s)
            return True
        budget = 2 * shape.turns * shape.turn_tokens
        try:
            reservation = await self.budgets.reserve(
                self.workspace.name,
                program,
                budget,
                shape.turn_tokens,
                shape.max_wait_s,
            )
        except (BudgetExceeded, StoreUnavailable):
            return False
        await asyncio.sleep(shape.turn_s)
        self.budgets.settle(reservation, shape.turn_tokens // 2)
        self.turns += 1
        return True

    async def _send(self, program: str, reserve: int, end_s: float) -> bool:
        """Sends a request as a caller does; returns whether it was admitted."""
        loop = asyncio.get_running_loop()
        shape = self.shape
        for _ in range(shape.max_attempts):
            started_s = loop.time()
            try:
                await self.buckets.take(
                    self.workspace,
                    1,
                    shape.max_wait_s,
                    reserve,
                    program,
                    end_s - started_s,
                )
            except RateExceeded as error:
                await asyncio.sleep(min(error.retry_after_s or 0.0, shape.max_wait_s))
            except StoreUnavailable as error:
                await asyncio.sleep(error.retry_after_s or 0.0)
            else:
                self.waits_s.append(loop.time() - started_s)
                return True
        return False


@dataclass(frozen=True, slots=True)
class StoreResult:
    """What a load got from a store of one speed."""

    slowdown: float
    finished: int
    interrupted: int
    refused: int
    median_wait_ms: float
    p95_wait_ms: float
    writes_per_turn: float


async def play_slow_store(slowdown: float, seed: int = 1) -> StoreResult:
    """Plays a workspace within its rate before a store that answers late."""
    rows = VersionedRows()
    table = MemoryVersionedTable(rows)
    breaker = StoreCircuitBreaker(table)
    settings = gateway_settings()
    load = ProgramLoad(
        Workspace("ws", rate_per_s=60.0, burst=60.0),
        TokenBuckets(breaker, settings, deny_offline_grants),
        budgets=Budgets(breaker, settings.settle_ms / 1000, deny_offline_grants),
    )
    rng = random.Random(seed)
    # A third of the rate.
    program_pause_s = 3 * load.shape.requests() / load.workspace.rate_per_s
    number = int(BENCH_DURATION_S / program_pause_s)

    async def poll() -> None:
        while True:
            await breaker.page("servers//")
            await asyncio.sleep(POLL_S)

    polls = asyncio.create_task(poll())
    await asyncio.sleep(2 * POLL_S)
    rows.slowdown = slowdown
    await load.start_programs(
        rng.uniform(0.5, 1.5) * program_pause_s for _ in range(number)
    )
    polls.cancel()
    # Lets the programs' unused tokens return.
    rows.slowdown = 1.0
    await asyncio.sleep(2 * LARGE_BLOCK_RETURN_DELAY_S)
    cuts = statistics.quantiles(load.waits_s, n=20) if len(load.waits_s) > 1 else [0.0]
    return StoreResult(
        slowdown,
        load.outcomes.count("finished"),
        load.outcomes.count("interrupted"),
        load.outcomes.count("refused"),
        statistics.median(load.waits_s or [0.0]) * 1000,
        cuts[-1] * 1000,
        table.commits / max(1, load.turns),
    )


def run_store_bench() -> str:
    """Returns a table of what callers get at several speeds of the store."""
    lines = [
        "| Store slower by | finished | interrupted | refused | wait p50 ms | p95 ms "
        "| writes a turn |",
        "|---|---|---|---|---|---|---|",
    ]
    for slowdown in BENCH_SLOWDOWNS:
        loop = looptime.new_event_loop(start=0)
        try:
            result = loop.run_until_complete(play_slow_store(slowdown))
        finally:
            loop.close()
        lines.append(
            f"| {slowdown:g} | {result.finished} | {result.interrupted} "
            f"| {result.refused} | {result.median_wait_ms:.0f} "
            f"| {result.p95_wait_ms:.0f} | {result.writes_per_turn:.2f} |"
        )
    return "\n".join(lines)
