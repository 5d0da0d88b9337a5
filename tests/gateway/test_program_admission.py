"""Admission of programs in a workspace that exceeds its rate."""

import asyncio
import random
from collections import Counter

import pytest

from damasksaddle.exceptions import RateExceeded
from damasksaddle_gateway.rate_limiter import RESERVE_SHARE
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_gateway.token_buckets import PROGRAM_IDLE_TIMEOUT_S, TokenBuckets
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows
from tests.gateway.conftest import deny_offline_grants, make_settings

pytestmark = pytest.mark.looptime

WORKSPACE = Workspace("ngo", rate_per_s=25.0, burst=26.0)
DURATION_S = 60.0
# Turns per program, each followed by two concurrent calls.
TURNS_PER_PROGRAM = 5
CALLS_PER_TURN = 2
REQUESTS_PER_PROGRAM = TURNS_PER_PROGRAM * (1 + CALLS_PER_TURN)
MAX_ATTEMPTS = 2
MAX_RATE_WAIT_S = 0.4


class ProgramLoad:
    """Simulates programs that retry a refused request once and then fail."""

    def __init__(
        self, buckets: TokenBuckets, seed: int, sends_program_id: bool
    ) -> None:
        self.buckets = buckets
        self.random = random.Random(seed)
        # If false, each turn looks like the first turn of a program.
        self.sends_program_id = sends_program_id
        self.outcomes: Counter[str] = Counter()

    async def send_request(self, program_id: str = "") -> bool:
        reserve = int(WORKSPACE.burst * RESERVE_SHARE)
        for _ in range(MAX_ATTEMPTS):
            try:
                await self.buckets.take(
                    WORKSPACE, 1, MAX_RATE_WAIT_S, reserve, program_id
                )
            except RateExceeded as error:
                self.outcomes["refused"] += 1
                await asyncio.sleep(min(error.retry_after_s or 0.0, 1.0))
            else:
                return True
        return False

    async def run_program(self, name: str) -> None:
        self.outcomes["started"] += 1
        for turn in range(TURNS_PER_PROGRAM):
            if not await self.send_request(
                name if self.sends_program_id else f"{name}-{turn}"
            ):
                self.outcomes["interrupted" if turn else "refused at start"] += 1
                return
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
            calls = await asyncio.gather(
                *(self.send_request() for _ in range(CALLS_PER_TURN))
            )
            if not all(calls):
                self.outcomes["interrupted"] += 1
                return
            await asyncio.sleep(self.random.uniform(0.05, 0.2))
        self.outcomes["finished"] += 1

    async def start_programs(self, per_s: float) -> None:
        async with asyncio.TaskGroup() as programs:
            deadline_s = asyncio.get_running_loop().time() + DURATION_S
            while asyncio.get_running_loop().time() < deadline_s:
                await asyncio.sleep(self.random.expovariate(per_s))
                programs.create_task(self.run_program(f"p{self.outcomes['started']}"))


async def simulate(
    demand: float, seed: int, sends_program_id: bool = True
) -> Counter[str]:
    """Simulates a demand relative to the rate and returns counts of the outcomes."""
    table = StoreCircuitBreaker(MemoryVersionedTable(VersionedRows()))
    program_load = ProgramLoad(
        TokenBuckets(table, make_settings(), deny_offline_grants),
        seed,
        sends_program_id,
    )
    await program_load.start_programs(
        demand * WORKSPACE.rate_per_s / REQUESTS_PER_PROGRAM
    )
    return program_load.outcomes


@pytest.mark.parametrize("demand", [1.3, 2.0, 4.0])
async def test_started_programs_finish(demand: float) -> None:
    """Guards against admitting programs that are then stopped midway."""
    for seed in (1, 2):
        without_ids = await simulate(demand, seed, sends_program_id=False)
        with_ids = await simulate(demand, seed)
        assert with_ids["finished"] > without_ids["finished"]
        assert with_ids["interrupted"] == 0
        # The number of programs that the rate permits in that time.
        assert (
            with_ids["finished"]
            >= 0.8 * DURATION_S * WORKSPACE.rate_per_s / REQUESTS_PER_PROGRAM
        )


async def test_a_workspace_within_its_rate_is_not_refused() -> None:
    """Guards against refusing requests within a workspace's rate."""
    for seed in (1, 2):
        outcomes = await simulate(0.6, seed)
        assert outcomes["finished"] == outcomes["started"]


async def test_ended_programs_are_removed_from_memory() -> None:
    """Guards against memory use that grows with every program."""
    buckets = TokenBuckets(
        StoreCircuitBreaker(MemoryVersionedTable(VersionedRows())),
        make_settings(),
        deny_offline_grants,
    )
    for number in range(100):
        await buckets.take(WORKSPACE, 1, 1.0, 0, f"p{number}")
        await asyncio.sleep(1.0)
    assert len(buckets._buckets["ngo"].last_turn_s) <= PROGRAM_IDLE_TIMEOUT_S + 1
