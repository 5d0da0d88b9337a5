"""A workspace's rate holds over all VMs, and what is within it is admitted."""

import asyncio
from contextlib import suppress

import pytest

from damasksaddle.exceptions import RateExceeded, StoreUnavailable
from damasksaddle_gateway.allotments import Allotments
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.store import StoreGate
from damasksaddle_standins.versioned import VersionedRows, VersionedStandin
from tests.gateway.conftest import always, make_settings, never

RATE = Workspace("ngo", rate_per_s=30.0, burst=30.0)
WINDOW_S = 5.0
ALLOWED = (RATE.rate_per_s * WINDOW_S + RATE.burst) * 1.1 + 20

pytestmark = pytest.mark.looptime


def _vms(rows: VersionedRows, number: int) -> list[Allotments]:
    return [_vm(VersionedStandin(rows)) for _ in range(number)]


def _vm(table: VersionedStandin) -> Allotments:
    return Allotments(StoreGate(table), make_settings(), never)


def _busiest_window(times_s: list[float]) -> int:
    return max(
        sum(1 for t in times_s if begin <= t <= begin + WINDOW_S) for begin in times_s
    )


async def _press(vm: Allotments, pause_s: float, times_s: list[float]) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < 20:
        try:
            await vm.take(RATE, 1, 0.0, 0)
            times_s.append(loop.time())
        except (RateExceeded, StoreUnavailable):
            pass
        await asyncio.sleep(pause_s)


async def test_the_rate_holds_over_vms_that_all_draw(rows: VersionedRows) -> None:
    """Guards against VMs that admit a workspace's rate each."""
    times_s: list[float] = []
    await asyncio.gather(*(_press(vm, 0.02, times_s) for vm in _vms(rows, 5)))
    assert _busiest_window(times_s) <= ALLOWED


async def test_most_of_the_rate_can_be_used(rows: VersionedRows) -> None:
    """Guards against refusing what a workspace paid for."""
    times_s: list[float] = []
    await asyncio.gather(*(_press(vm, 0.02, times_s) for vm in _vms(rows, 1)))
    assert len(times_s) >= 0.9 * RATE.rate_per_s * 20


async def test_a_short_lack_is_waited_out(table: VersionedStandin) -> None:
    """Guards against refusing a call whose token comes within its patience."""
    vm = _vm(table)
    loop = asyncio.get_running_loop()
    for _ in range(40):
        await vm.take(RATE, 1, 0.4, 0)
    assert loop.time() < 1.0


async def test_programs_under_way_go_before_new_ones(table: VersionedStandin) -> None:
    """Guards against beginning programs that then cannot be finished."""
    vm = _vm(table)
    with pytest.raises(RateExceeded):
        for number in range(40):
            await vm.take(RATE, 1, 0.0, 8, f"p{number}")
    await vm.take(RATE, 1, 0.0, 8, "p0")
    await vm.take(RATE, 1, 0.0)


async def test_refused_programs_waste_nothing(table: VersionedStandin) -> None:
    """Guards against tokens that are handed out for requests that were refused."""
    vm = _vm(table)
    loop = asyncio.get_running_loop()
    under_way = 0
    while loop.time() < 10:
        for number in range(10):
            with suppress(RateExceeded):
                # A VM that expects more than it uses loses the rest.
                await vm.take(RATE, 4, 0.0, 8, f"{loop.time()}-{number}")
        try:
            await vm.take(RATE, 4, 0.0, 0)
            under_way += 1
        except RateExceeded:
            pass
        await asyncio.sleep(0.05)
    assert under_way >= 0.5 * 10 / 0.05


async def test_a_restart_with_an_empty_bucket_refills(rows: VersionedRows) -> None:
    """Guards against a VM that never learns the store's time and admits nothing."""
    before = _vms(rows, 1)[0]
    with pytest.raises(RateExceeded):
        while True:
            await before.take(RATE, 1, 0.0, 0)
    gate = StoreGate(VersionedStandin(rows))
    await gate.page("servers//")
    after = Allotments(gate, make_settings(), never)
    await asyncio.sleep(1.0)
    await after.take(RATE, 1, 0.2, 0)
    await after.take(RATE, 1, 0.2, 0)


async def test_the_rate_goes_on_through_an_outage(table: VersionedStandin) -> None:
    """Guards against refusing, or admitting twice, what comes during an outage."""
    gate = StoreGate(table)
    vm = Allotments(gate, make_settings(), always)
    times_s: list[float] = []
    loop = asyncio.get_running_loop()

    async def outage() -> None:
        await asyncio.sleep(6)
        table.down = True
        await asyncio.sleep(5)
        table.down = False
        while not gate.is_open():
            await gate.page("servers//")

    await asyncio.gather(_press(vm, 0.02, times_s), outage())
    assert _busiest_window(times_s) <= ALLOWED
    during = [t for t in times_s if 6 < t < 11]
    assert len(during) >= 0.8 * 5 * RATE.rate_per_s
    assert loop.time() >= 20
