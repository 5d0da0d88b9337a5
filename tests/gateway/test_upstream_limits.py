"""Rate limits that upstreams name hold for the requests of all VMs together."""

import asyncio

import pytest

from damasksaddle.utils import (
    Counter,
    boottime_s,
    clock,
    rendezvous,
    reset_metrics,
)
from damasksaddle.utils.metrics import counter_value
from damasksaddle_gateway.pacing import Pacer
from damasksaddle_gateway.upstream_limits import Limited, Permitted
from damasksaddle_standins.limited_fleet import UPSTREAM, LimitedFleet

pytestmark = pytest.mark.looptime

WINDOW_S = 4.0
# VMs have to keep to a limit this long after it was named.
CONTACT_S = 3.0
UPSTREAM_KEY = "u0|127.0.0.1:1|0"


def most_allowed(limit_per_s: float) -> float:
    """Returns the most requests that an upstream may get within the window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


async def _play(fleet: LimitedFleet, pause_s: float, duration_s: float) -> float:
    started_s = boottime_s()
    until_s = started_s + duration_s
    await asyncio.gather(
        *(fleet.send_steadily(vm, pause_s, until_s) for vm in fleet.vms)
    )
    return started_s


@pytest.mark.parametrize(("vms", "limit_per_s"), [(9, 12.3), (9, 2.3), (60, 5.0)])
async def test_all_vms_together_keep_to_the_limit_of_an_upstream(
    vms: int, limit_per_s: float
) -> None:
    """Guards against an upstream that gets more than it takes (incident LIMIT)."""
    async with LimitedFleet(vms) as fleet:
        fleet.limit_per_s = limit_per_s
        started_s = await _play(fleet, 0.2, 20.0)
        most = fleet.most_in(WINDOW_S, started_s + CONTACT_S, boottime_s())
        assert most <= most_allowed(limit_per_s)
        later = [at_s for at_s in fleet.arrivals_s if at_s > started_s + CONTACT_S]
        assert len(later) >= 0.8 * limit_per_s * (20.0 - CONTACT_S)


async def test_requests_flow_again_when_a_limit_ends() -> None:
    """Guards against a limit that outlives the trouble of its upstream."""
    async with LimitedFleet(9) as fleet:
        fleet.limit_per_s = 2.0
        await _play(fleet, 0.2, 8.0)
        fleet.limit_per_s = None
        await _play(fleet, 0.2, 2.0)
        assert all(
            limits.limit_per_s(UPSTREAM) is None for limits in fleet.limits.values()
        )
        fleet.arrivals_s.clear()
        await _play(fleet, 0.2, 2.0)
        assert len(fleet.arrivals_s) >= 80


async def test_what_one_vm_learns_holds_at_390_before_their_first_request() -> None:
    """Guards against one request from each VM on top of the limit."""
    async with LimitedFleet(390) as fleet:
        fleet.limit_per_s = 8.0
        # The messages that VMs send after their start.
        await asyncio.sleep(5.0)
        fleet.messages = 0
        await fleet.send(fleet.vms[7])
        await asyncio.sleep(1.0)
        assert fleet.messages <= 2 * len(fleet.vms)
        await asyncio.gather(*(fleet.send(vm) for vm in fleet.vms))
        assert len(fleet.arrivals_s) <= most_allowed(8.0)


async def test_a_restarted_vm_knows_the_limit_before_its_first_request() -> None:
    """Guards against one request from each restarted VM on top of the limit."""
    async with LimitedFleet(9) as fleet:
        fleet.limit_per_s = 2.0
        await fleet.send("vm-0")
        await asyncio.sleep(5.0)
        for vm in fleet.vms[1:5]:
            await fleet.start(vm)
        await asyncio.sleep(0.2)
        assert all(
            limits.limit_per_s(UPSTREAM) == 2.0 for limits in fleet.limits.values()
        )


async def test_an_unreachable_coordinator_does_not_raise_the_limit() -> None:
    """Guards against two VMs that each hand out the whole limit."""
    async with LimitedFleet(9) as fleet:
        fleet.limit_per_s = 10.0
        started_s = await _play(fleet, 0.2, 4.0)
        fleet.unreachable = {rendezvous(UPSTREAM_KEY, fleet.vms)[0]}
        await _play(fleet, 0.2, 5.0)
        fleet.unreachable = set()
        await _play(fleet, 0.2, 4.0)
        most = fleet.most_in(WINDOW_S, started_s + CONTACT_S, boottime_s())
        assert most <= most_allowed(10.0)


async def test_a_late_response_does_not_end_a_limit() -> None:
    """Guards against ending a limit by a response from before it was named."""
    async with LimitedFleet(2) as fleet:
        late = asyncio.create_task(fleet.send("vm-0", answer_s=0.5))
        await asyncio.sleep(0.01)
        fleet.limit_per_s = 3.0
        await fleet.send("vm-1")
        await late
        assert fleet.limits["vm-0"].limit_per_s(UPSTREAM) == 3.0


async def test_a_suspended_vm_does_not_use_its_permit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a permit that is used after a pause of its VM."""
    async with LimitedFleet(1) as fleet:
        fleet.limit_per_s = 1.0
        await fleet.send("vm-0")
        waiting = asyncio.create_task(
            fleet.limits["vm-0"].take_permit(UPSTREAM, max_wait_s=5.0)
        )
        await asyncio.sleep(0.1)
        reset_metrics()
        monkeypatch.setattr(clock._suspension_clock, "suspended_s", lambda: 3.0)
        assert await waiting == Permitted()
        assert counter_value(Counter.UPSTREAM_LIMITS, "permitted") == 1


async def test_a_request_without_time_is_told_when_to_come_back() -> None:
    """Guards against holding a request that a limit cannot serve in time."""
    async with LimitedFleet(1) as fleet:
        fleet.limit_per_s = 0.5
        await fleet.send("vm-0")
        started_s = boottime_s()
        await fleet.send("vm-0", max_wait_s=1.0)
        answer = await fleet.limits["vm-0"].take_permit(UPSTREAM, max_wait_s=0.5)
        assert isinstance(answer, Limited)
        assert 1.0 <= answer.retry_after_s <= 2.0
        assert boottime_s() - started_s < 0.7


def test_a_pacer_saves_up_a_quarter_of_a_second_at_most() -> None:
    """Guards against a burst after a time without requests."""
    pacer = Pacer(next_s=0.0)
    granted = [pacer.reserve(20.0, 100.0, 0.0) for _ in range(50)]
    assert granted.count(0.0) == 6
