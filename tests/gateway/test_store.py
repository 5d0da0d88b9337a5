"""A store that is away must not hold requests, and its clock must not flatter."""

import asyncio

import pytest

from damasksaddle.exceptions import TableUnavailable
from damasksaddle_gateway.store import StoreClock, StoreGate
from damasksaddle_standins.versioned_table import MemoryVersionedTable

pytestmark = pytest.mark.looptime


async def test_calls_fail_at_once_while_the_store_is_away(
    table: MemoryVersionedTable,
) -> None:
    """Guards against each request waiting for a time-out of its own."""
    gate = StoreGate(table)
    table.down = True
    for _ in range(3):
        with pytest.raises(TableUnavailable):
            await gate.row("t//k")
    loop = asyncio.get_running_loop()
    calls, began_s = table.calls, loop.time()
    with pytest.raises(TableUnavailable):
        await gate.row("t//k")
    assert (table.calls, loop.time()) == (calls, began_s)
    table.down = False
    await gate.page("t//")
    assert await gate.row("t//k") is None


def test_an_answer_counts_from_when_it_was_made() -> None:
    """Guards against a long read that makes the configuration seem older or newer."""
    clock = StoreClock()
    # The store's clock is 100 s ahead; the first exchange takes 10 ms.
    assert clock.made_s(1.0, 1.01, 101_005) == 1.0
    made_s = clock.made_s(2.0, 3.0, 102_990)
    assert 2.98 <= made_s <= 2.99
    # The store's clock starts anew.
    assert clock.made_s(4.0, 4.01, 5_000) == 4.0
    assert clock.made_s(5.0, 5.5, 6_400) == pytest.approx(5.4)
