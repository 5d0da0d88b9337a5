"""A store that answers late, which is neither silent nor unavailable."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from damasksaddle.exceptions import RateExceeded, TableOverloaded
from damasksaddle.platform import Put
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.rows import CachedRow, update_row
from damasksaddle_gateway.settings import Address
from damasksaddle_gateway.store import REJECTION_THRESHOLD_S, StoreCircuitBreaker
from damasksaddle_gateway.store_latency import MAX_TIMEOUT_S, LatencyEstimator
from damasksaddle_gateway.token_buckets import TokenBuckets
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows
from tests.gateway.conftest import deny_offline_grants, make_settings

pytestmark = pytest.mark.looptime

# Reads of the configuration and the upstreams that a VM makes anyway.
POLL_S = 0.5
SLOW_S = 10.0
WORKSPACE = Workspace("ngo", rate_per_s=30.0, burst=30.0)


def test_a_late_answer_raises_the_timeout() -> None:
    """Guards against an estimate that learns only from answers in time."""
    estimator = LatencyEstimator(0.015)
    assert estimator.timeout_s() < 0.1
    estimator.record(0.5)
    assert estimator.timeout_s() > 0.5
    for _ in range(40):
        estimator.record(0.01)
    assert estimator.timeout_s() < 0.1


def test_timeouts_grow_once_per_round_and_within_a_bound() -> None:
    """Guards against timeouts that calls under way together multiply."""
    estimator = LatencyEstimator(0.015)
    first_s = estimator.timeout_s()
    for _ in range(10):
        estimator.record_timeout(1.0, 1.1)
    assert estimator.timeout_s() == pytest.approx(2 * first_s)
    for second in range(2, 30):
        estimator.record_timeout(second, second + 0.1)
    assert estimator.timeout_s() == MAX_TIMEOUT_S


async def _poll(breaker: StoreCircuitBreaker) -> None:
    while True:
        await breaker.page("servers//")
        await asyncio.sleep(POLL_S)


@pytest.mark.parametrize("slowdown", [5, 20, 60])
async def test_a_slow_store_gets_each_write_once(
    rows: VersionedRows, table: MemoryVersionedTable, slowdown: float
) -> None:
    """
    Guards against writes that are given up and repeated while the store handles them.

    Seen on quiet days of both first deployments with a slow store: each update was
    written three times, and what it granted was written off.
    """
    breaker = StoreCircuitBreaker(table)
    poll = asyncio.create_task(_poll(breaker))
    row = CachedRow("budgets/01/p")
    await update_row(breaker, row, lambda value: {"number": 0})
    rows.slowdown = slowdown
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    updates = commits_before = 0
    while loop.time() - started_s < SLOW_S:
        if loop.time() - started_s < 1.0:
            # The first answers teach the estimate.
            updates, commits_before = 0, table.commits
        await update_row(breaker, row, lambda value: {"number": 1})
        updates += 1
        assert breaker.is_available()
    assert table.commits - commits_before <= updates + 1
    assert breaker.latency.is_slow() == (slowdown >= 20)
    rows.slowdown = 1.0
    await asyncio.sleep(2.0 + POLL_S)
    for _ in range(5):
        await update_row(breaker, row, lambda value: {"number": 0})
    assert not breaker.latency.is_slow()
    poll.cancel()


@pytest.mark.parametrize(("slowdown", "max_wait_s"), [(20, 0.5), (60, 1.5)])
async def test_a_slow_store_delays_requests_and_refuses_none(
    rows: VersionedRows,
    table: MemoryVersionedTable,
    slowdown: float,
    max_wait_s: float,
) -> None:
    """Guards against refusals of a workspace within its rate while writes are slow."""
    breaker = StoreCircuitBreaker(table)
    poll = asyncio.create_task(_poll(breaker))
    buckets = TokenBuckets(breaker, make_settings(), deny_offline_grants)
    loop = asyncio.get_running_loop()
    waits_s: list[float] = []
    refused: list[RateExceeded] = []

    async def take() -> None:
        started_s = loop.time()
        try:
            await buckets.take(WORKSPACE, 1, 0.4, 0, "p")
        except RateExceeded as error:
            refused.append(error)
        waits_s.append(loop.time() - started_s)

    async with asyncio.TaskGroup() as callers:
        for number in range(400):
            if number == 50:
                rows.slowdown = slowdown
            callers.create_task(take())
            await asyncio.sleep(1.0 / 20)
    assert not refused
    assert max(waits_s) <= max_wait_s
    poll.cancel()


async def test_vms_stay_listed_while_their_heartbeats_are_slow(
    rows: VersionedRows,
) -> None:
    """Guards against heartbeats that queue up until all VMs look dead."""
    async with AsyncExitStack() as stack:
        members = []
        for number in range(9):
            breaker = StoreCircuitBreaker(MemoryVersionedTable(rows))
            settings = make_settings(
                f"vm-{number}", caller_address=Address(f"vm-{number}", 80)
            )
            membership = Membership(breaker, settings)
            members.append(await stack.enter_async_context(membership))
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)
        for slowdown, duration_s in ((60.0, 15.0), (1.0, 15.0)):
            rows.slowdown = slowdown
            for _ in range(int(duration_s / 0.25)):
                await asyncio.sleep(0.25)
                assert {len(member.live_vms()) for member in members} == {9}


def _fill_partition(rows: VersionedRows, key: str) -> None:
    rows.slowdown = 150.0
    with pytest.raises(TableOverloaded):
        while True:
            rows.enqueue(key)
    rows.slowdown = 1.0


async def test_a_store_that_rejects_excess_calls_is_available(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against an outage that is declared because of rejected calls."""
    breaker = StoreCircuitBreaker(table)
    await breaker.page("servers//")
    _fill_partition(rows, "beats/vms/vm")
    for _ in range(5):
        with pytest.raises(TableOverloaded):
            await breaker.commit([Put("beats/vms/vm", "1")])
    assert breaker.is_available()
    # Without any other answer for some time, the store turns this VM away.
    await asyncio.sleep(REJECTION_THRESHOLD_S)
    _fill_partition(rows, "beats/vms/vm")
    for _ in range(3):
        with pytest.raises(TableOverloaded):
            await breaker.commit([Put("beats/vms/vm", "1")])
    assert not breaker.is_available()


async def test_a_repeated_write_has_the_value_of_the_first(
    table: MemoryVersionedTable,
) -> None:
    """
    Guards against a row that records less than the caller believes it granted.

    The update may return another value when it is asked again after a lost answer, and
    the first value may have been written.
    """
    breaker = StoreCircuitBreaker(table)
    row = CachedRow("budgets/01/p")
    await update_row(breaker, row, lambda value: {"granted": 0})
    lost = iter([True])
    table.withhold_answer = lambda puts: next(lost, False)
    granted = 0

    def grant(value: dict[str, int] | None) -> dict[str, int]:
        nonlocal granted
        granted += 10
        return {"granted": granted}

    assert await update_row(breaker, row, grant)
    assert row.value is not None
    assert row.value["granted"] == granted
    stored = await table.row(row.key)
    assert stored is not None and f'"granted": {granted}' in stored.value
