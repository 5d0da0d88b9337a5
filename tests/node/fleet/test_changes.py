"""Changes of documents while operators, VMs and the table fail (R14, R19, R21)."""

import asyncio

import pytest

from damasksaddle.exceptions import Refusal, VersionConflict
from damasksaddle_node.fleet.records import DocumentApplied
from damasksaddle_node.node import Node
from damasksaddle_standins.fleet import LocalFleet

DOCUMENT = """
service: desk
pools:
  p: {kind: plain, upstreams: [{name: t, url: "http://t", failure_domain: a}]}
routes: {%s: {pool: p, path: /r}}
workspaces: {ngo: {rate_per_s: 10, burst: 10}}
"""


async def edit(node: Node, route: str, expected: int) -> int:
    """Does what an operator's edit does, based on a version."""

    def check(state):
        known = state.documents.get("desk")
        version = known.version if known else 0
        if version != expected:
            raise VersionConflict("desk", expected, version)
        return DocumentApplied("desk", version + 1, DOCUMENT % route, "op", 0)

    return await node.fleet.append(check)


def version(node: Node) -> int | None:
    """The version that a VM serves by, None if it refuses."""
    try:
        node.check_authority()
    except Refusal:
        return None
    return node.fleet.state.documents["desk"].version


def written(fleet: LocalFleet) -> list[int]:
    """The versions in the table, in order."""
    rows = [row for key, row in sorted(fleet.table.rows.items()) if "fleet/" in key]
    return [
        int(row.value.partition('"version":')[2].partition(",")[0])
        for row in rows
        if "document_applied" in row.value
    ]


async def test_one_of_two_operators_wins():
    """Guards against two operators' edits that overwrite each other."""
    async with LocalFleet(5) as fleet:
        fleet.table.faults.delay_s = 0.05
        await edit(fleet.nodes["vm0"], "a", 0)
        edits = [edit(fleet.nodes[f"vm{n}"], f"r{n}", 1) for n in range(5)]
        results = await asyncio.gather(*edits, return_exceptions=True)
        lost = [result for result in results if isinstance(result, VersionConflict)]
        assert [error.in_force for error in lost] == [2] * 4
        assert written(fleet) == [1, 2]


@pytest.mark.parametrize("fault", ["lost answer", "killed", "frozen", "cut off"])
async def test_change_is_in_force_or_refused_within_3_s(fault):
    """Guards against a VM that serves by an old document, or goes back to one."""
    async with LocalFleet(5) as fleet:
        await edit(fleet.nodes["vm0"], "old", 0)
        await asyncio.sleep(7.3)
        match fault:
            case "lost answer":
                fleet.table.faults.lose_answers = 1
            case "frozen":
                fleet.pause("vm1")
            case "cut off":
                fleet.table.faults.unreachable_for.add("vm1")
        await edit(fleet.nodes["vm0"], "new", 1)
        if fault == "killed":
            await fleet.kill("vm0")
        await asyncio.sleep(3)
        if fault == "frozen":
            await asyncio.sleep(57)
            fleet.resume("vm1")
        for _ in range(200):
            assert {version(node) for node in fleet.nodes.values()} <= {2, None}
            await asyncio.sleep(0.1)
        assert written(fleet) == [1, 2]


async def test_vm_that_starts_in_an_outage_serves_nothing():
    """Guards against a VM that serves before it has read the log to its end."""
    async with LocalFleet(3) as fleet:
        await edit(fleet.nodes["vm0"], "old", 0)
        await edit(fleet.nodes["vm0"], "new", 1)
        fleet.table.faults.unreachable_for.add("vm3")
        starting = asyncio.create_task(fleet.start("vm3"))
        for _ in range(100):
            await asyncio.sleep(0.2)
            with pytest.raises(Refusal):
                fleet.nodes["vm3"].entry.route("desk", "new")
        fleet.table.faults.unreachable_for.clear()
        await starting
        assert version(fleet.nodes["vm3"]) == 2
