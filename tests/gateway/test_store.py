"""The circuit breaker for the store, and the conversion of its clock."""

import asyncio

import pytest

from damasksaddle.exceptions import TableUnavailable
from damasksaddle_gateway.store import StoreCircuitBreaker, StoreClock
from damasksaddle_standins.versioned import VersionedStandin

pytestmark = pytest.mark.looptime


async def test_calls_fail_fast_while_the_store_is_unavailable(
    table: VersionedStandin,
) -> None:
    """Guards against a timeout in each request while the store is unavailable."""
    breaker = StoreCircuitBreaker(table)
    table.down = True
    for _ in range(3):
        with pytest.raises(TableUnavailable):
            await breaker.row("t//k")
    loop = asyncio.get_running_loop()
    call_count, started_s = table.calls, loop.time()
    with pytest.raises(TableUnavailable):
        await breaker.row("t//k")
    assert (table.calls, loop.time()) == (call_count, started_s)
    table.down = False
    await breaker.page("t//")
    assert await breaker.row("t//k") is None


def test_an_answer_is_dated_by_the_store_clock() -> None:
    """Guards against a long read that makes the configuration seem older or newer."""
    clock = StoreClock()
    # The store's clock is 100 s ahead; the first exchange takes 10 ms.
    assert clock.earliest_answer_s(1.0, 1.01, 101_005) == 1.0
    answered_s = clock.earliest_answer_s(2.0, 3.0, 102_990)
    assert 2.98 <= answered_s <= 2.99
    # The store's clock is reset.
    assert clock.earliest_answer_s(4.0, 4.01, 5_000) == 4.0
    assert clock.earliest_answer_s(5.0, 5.5, 6_400) == pytest.approx(5.4)
