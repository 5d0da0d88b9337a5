"""Workspaces whose burst is about as large as the fan-out of one program."""

import asyncio
import math
import random

import pytest

from damasksaddle_gateway.rate_queue import RateQueue, Waiter
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_gateway.token_buckets import TokenBuckets
from damasksaddle_standins.gateway_load import ProgramLoad, ProgramShape
from damasksaddle_standins.versioned_table import MemoryVersionedTable
from tests.gateway.conftest import deny_offline_grants, make_settings

pytestmark = pytest.mark.looptime

WORKSPACE = Workspace("ngo", rate_per_s=4.0, burst=5.0)
RESERVE = ProgramShape().reserve


def _token_buckets(table: MemoryVersionedTable) -> TokenBuckets:
    return TokenBuckets(
        StoreCircuitBreaker(table), make_settings(), deny_offline_grants
    )


async def test_sparse_requests_within_the_rate_are_not_refused(
    table: MemoryVersionedTable,
) -> None:
    """
    Guards against tokens that are drawn ahead of demand and expire.

    Seen on quiet-1 of the large deployment: a workspace with one request at a time lost
    a token with nearly every request.
    """
    buckets = _token_buckets(table)
    for number in range(200):
        await buckets.take(WORKSPACE, 1, 0.0, RESERVE, f"p{number}")
        await asyncio.sleep(1.02 / WORKSPACE.rate_per_s)


async def test_a_program_that_fans_out_is_not_interrupted(
    table: MemoryVersionedTable,
) -> None:
    """Guards against stopping a program midway that needs its rate in bursts."""
    load = ProgramLoad(WORKSPACE, _token_buckets(table))
    assert await load.run_program("p") == "finished"


async def test_programs_beyond_the_rate_are_refused_at_their_start(
    table: MemoryVersionedTable,
) -> None:
    """Guards against refusals midway in a workspace that starts too many programs."""
    load = ProgramLoad(WORKSPACE, _token_buckets(table))
    rng = random.Random(20261204)
    await load.start_programs(rng.uniform(1.0, 3.0) for _ in range(40))
    possible = 40 * 2.0 * WORKSPACE.rate_per_s / load.shape.requests()
    assert load.outcomes.count("interrupted") <= 1
    assert load.outcomes.count("finished") >= 0.7 * possible


async def test_running_programs_are_served_in_the_order_of_their_deadlines(
    table: MemoryVersionedTable,
) -> None:
    """Guards against a program near its end that waits behind younger ones."""
    buckets = _token_buckets(table)
    for _ in range(5):
        await buckets.take(WORKSPACE, 1, 0.0)
    served: list[float] = []

    async def take(time_left_s: float) -> None:
        await buckets.take(WORKSPACE, 1, 2.0, 0, "p", time_left_s)
        served.append(time_left_s)

    await asyncio.gather(*(take(time_left_s) for time_left_s in (9.0, 3.0, 5.0)))
    assert served == [3.0, 5.0, 9.0]


async def test_an_abandoned_request_leaves_its_token(
    table: MemoryVersionedTable,
) -> None:
    """Guards against tokens that callers who left take with them."""
    buckets = _token_buckets(table)
    for _ in range(5):
        await buckets.take(WORKSPACE, 1, 0.0)
    abandoned = asyncio.create_task(buckets.take(WORKSPACE, 1, 2.0, 0, "p", 1.0))
    waiting = asyncio.create_task(buckets.take(WORKSPACE, 1, 2.0, 0, "p", 2.0))
    await asyncio.sleep(0.1)
    abandoned.cancel()
    started_s = asyncio.get_running_loop().time()
    await waiting
    assert asyncio.get_running_loop().time() - started_s < 1.5 / WORKSPACE.rate_per_s


async def test_the_queue_serves_running_programs_first() -> None:
    """Guards against starting a program with the tokens of running ones."""
    loop = asyncio.get_running_loop()

    def waiter(deadline_s: float, arrival: int, reserve: int) -> Waiter:
        return Waiter(math.inf, deadline_s, arrival, reserve, 1, loop.create_future())

    queue = RateQueue()
    starting, late, early = waiter(1, 0, 2), waiter(9, 1, 0), waiter(5, 2, 0)
    for one in (starting, late, early):
        queue.add(one)
    assert queue.waiters() == [early, late, starting]
    assert queue.next_waiter(1.0) is early
    assert queue.next_waiter(0.9) is None
    assert [queue.servable(tokens) for tokens in (0.5, 2.0, 4.9, 5.0)] == [0, 2, 2, 3]
    assert queue.shortfall(starting, 3.0) == 2.0
