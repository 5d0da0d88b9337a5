"""Programs of a workspace that sends more than its rate."""

import asyncio
import random
from collections import Counter

import pytest

from damasksaddle.exceptions import RateExceeded
from damasksaddle_gateway.allotments import PROGRAM_IDLE_S, Allotments
from damasksaddle_gateway.rates import MAX_WAIT_S, RESERVE_SHARE
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.store import StoreGate
from damasksaddle_standins.versioned import VersionedRows, VersionedStandin
from tests.gateway.conftest import make_settings, never

pytestmark = pytest.mark.looptime

WORKSPACE = Workspace("ngo", rate_per_s=25.0, burst=26.0)
TIME_S = 60.0
# Turns of a program, each followed by two calls at once.
TURNS = 5
CALLS = 2
REQUESTS = TURNS * (1 + CALLS)
TRIES = 2


class Load:
    """Programs that come back once after a refusal and then fail."""

    def __init__(self, vm: Allotments, seed: int, told: bool) -> None:
        self.vm = vm
        self.random = random.Random(seed)
        # Without it, each turn looks as if it began a program.
        self.told = told
        self.seen: Counter[str] = Counter()

    async def ask(self, turn_of: str = "") -> bool:
        reserve = int(WORKSPACE.burst * RESERVE_SHARE)
        for _ in range(TRIES):
            try:
                await self.vm.take(WORKSPACE, 1, MAX_WAIT_S, reserve, turn_of)
            except RateExceeded as error:
                self.seen["refused"] += 1
                await asyncio.sleep(min(error.retry_after_s or 0.0, 1.0))
            else:
                return True
        return False

    async def program(self, name: str) -> None:
        self.seen["asked"] += 1
        for turn in range(TURNS):
            if not await self.ask(name if self.told else f"{name}-{turn}"):
                self.seen["midway" if turn else "not begun"] += 1
                return
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
            calls = await asyncio.gather(*(self.ask() for _ in range(CALLS)))
            if not all(calls):
                self.seen["midway"] += 1
                return
            await asyncio.sleep(self.random.uniform(0.05, 0.2))
        self.seen["whole"] += 1

    async def arrive(self, per_s: float) -> None:
        async with asyncio.TaskGroup() as programs:
            ends_s = asyncio.get_running_loop().time() + TIME_S
            while asyncio.get_running_loop().time() < ends_s:
                await asyncio.sleep(self.random.expovariate(per_s))
                programs.create_task(self.program(f"p{self.seen['asked']}"))


async def play(demand: float, seed: int, told: bool = True) -> Counter[str]:
    """Plays a demand, as a part of the rate, and returns what programs got."""
    table = StoreGate(VersionedStandin(VersionedRows()))
    load = Load(Allotments(table, make_settings(), never), seed, told)
    await load.arrive(demand * WORKSPACE.rate_per_s / REQUESTS)
    return load.seen


@pytest.mark.parametrize("demand", [1.3, 2.0, 4.0])
async def test_programs_that_began_are_finished(demand: float) -> None:
    """Guards against programs that use the rate and are stopped midway."""
    for seed in (1, 2):
        before = await play(demand, seed, told=False)
        now = await play(demand, seed)
        assert now["whole"] > before["whole"]
        assert now["midway"] == 0
        # What the rate allows within the time.
        assert now["whole"] >= 0.8 * TIME_S * WORKSPACE.rate_per_s / REQUESTS


async def test_a_workspace_within_its_rate_is_served_whole() -> None:
    """Guards against refusals of what a workspace pays for."""
    for seed in (1, 2):
        seen = await play(0.6, seed)
        assert seen["whole"] == seen["asked"]


async def test_programs_that_ended_are_forgotten() -> None:
    """Guards against memory that grows with all programs that ever ran."""
    vm = Allotments(
        StoreGate(VersionedStandin(VersionedRows())), make_settings(), never
    )
    for number in range(100):
        await vm.take(WORKSPACE, 1, 1.0, 0, f"p{number}")
        await asyncio.sleep(1.0)
    assert len(vm._allotments["ngo"].begun_s) <= PROGRAM_IDLE_S + 1
