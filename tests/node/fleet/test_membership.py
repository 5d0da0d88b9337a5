"""Membership while VMs and the table fail (R20, R22)."""

import asyncio

import pytest

from damasksaddle.exceptions import Refusal
from damasksaddle.platform import ListedVm
from damasksaddle_standins.fleet import LocalFleet


def active_nodes(fleet: LocalFleet) -> list[str]:
    """Returns the names of the nodes that may act now."""
    active = []
    for name, node in fleet.nodes.items():
        try:
            node.check_authority()
            active.append(name)
        except Refusal:
            pass
    return active


async def test_loss_of_more_than_half():
    """Guards against a fleet that cannot recover from the loss of most VMs at once."""
    async with LocalFleet(5) as fleet:
        await asyncio.sleep(10)
        for name in ("vm0", "vm1", "vm2"):
            await fleet.kill(name)
        await asyncio.sleep(30)
        assert len(fleet.any().fleet.state.members) == 5
        fleet.vm_list.set([ListedVm(name, name, False) for name in fleet.nodes])
        await asyncio.sleep(40)
        assert set(fleet.any().fleet.state.members) == {
            node.vm_id for node in fleet.nodes.values()
        }
        await fleet.start("vm7")
        assert sorted(active_nodes(fleet)) == ["vm3", "vm4", "vm7"]


async def test_loss_of_all():
    """Guards against a fleet that no VM can join after all members failed."""
    async with LocalFleet(3) as fleet:
        await asyncio.sleep(10)
        for name in ("vm0", "vm1", "vm2"):
            await fleet.kill(name)
        async with asyncio.timeout(60):
            await fleet.start("vm7")
        await fleet.start("vm8")
        await asyncio.sleep(60)
        assert set(fleet.any().fleet.state.members) == {
            node.vm_id for node in fleet.nodes.values()
        }
        assert sorted(active_nodes(fleet)) == ["vm7", "vm8"]


async def test_table_outage_removes_no_member():
    """Guards against leases that expire while no VM can reach the table."""
    async with LocalFleet(5) as fleet:
        fleet.table.faults.down = True
        for _ in range(300):
            await asyncio.sleep(1)
            assert len(active_nodes(fleet)) == 5
        fleet.table.faults.down = False
        await asyncio.sleep(20)
        assert len(fleet.any().fleet.state.members) == 5


@pytest.mark.parametrize("pause_s", [5.0, 7.5, 20.0])
async def test_paused_vm_does_not_act_on_an_expired_lease(pause_s):
    """Guards against a VM that acts on a lease that expired while it was paused."""
    async with LocalFleet(5) as fleet:
        await asyncio.sleep(7)
        fleet.pause("vm1")
        await asyncio.sleep(pause_s)
        fleet.resume("vm1")
        was_member = fleet.nodes["vm1"].vm_id in fleet.nodes["vm0"].fleet.state.members
        assert "vm1" not in active_nodes(fleet)
        await asyncio.sleep(15)
        still_member = (
            fleet.nodes["vm1"].vm_id in fleet.nodes["vm0"].fleet.state.members
        )
        assert still_member == was_member == ("vm1" in active_nodes(fleet))
        assert fleet.nodes["vm1"].removed.is_set() != was_member


async def test_partitioned_minority_refuses_requests():
    """Guards against a minority that keeps serving without the table."""
    async with LocalFleet(5) as fleet:
        for name in ("vm0", "vm1"):
            fleet.network.cut_off(name, ["vm2", "vm3", "vm4"])
            fleet.table.faults.unreachable_for.add(name)
        await asyncio.sleep(4)
        assert sorted(active_nodes(fleet)) == ["vm2", "vm3", "vm4"]
        await asyncio.sleep(20)
        assert len(fleet.nodes["vm2"].fleet.state.members) == 3


async def test_two_simultaneous_failures_twice_in_a_row():
    """Guards against concurrent removals that block each other."""
    async with LocalFleet(9) as fleet:
        await asyncio.sleep(7)
        for names in (("vm0", "vm1"), ("vm2", "vm3")):
            for name in names:
                await fleet.kill(name)
            started_s = asyncio.get_running_loop().time()
            while len(fleet.any().fleet.state.members) > len(fleet.nodes):
                await asyncio.sleep(0.1)
            assert asyncio.get_running_loop().time() - started_s < 12
            assert sorted(active_nodes(fleet)) == sorted(fleet.nodes)


async def test_restart_replaces_the_previous_member():
    """Guards against two members with the same name."""
    async with LocalFleet(3) as fleet:
        old = fleet.nodes["vm1"].vm_id
        await fleet.kill("vm1")
        new = (await fleet.start("vm1")).vm_id
        await fleet.settle()
        members = fleet.nodes["vm0"].fleet.state.members
        assert old not in members and new in members and len(members) == 3
