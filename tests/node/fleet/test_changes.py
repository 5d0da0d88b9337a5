"""Document changes under concurrent edits and failures (R14, R19, R21)."""

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


async def apply_edit(node: Node, route: str, expected_version: int) -> int:
    """Applies a document like an operator's edit of the expected version."""

    def make_record(state):
        current = state.documents.get("desk")
        version = current.version if current else 0
        if version != expected_version:
            raise VersionConflict("desk", expected_version, version)
        return DocumentApplied("desk", version + 1, DOCUMENT % route, "op", 0)

    return await node.fleet.append(make_record)


def served_version(node: Node) -> int | None:
    """Returns the document version that a VM uses, None if it refuses requests."""
    try:
        node.check_authority()
    except Refusal:
        return None
    return node.fleet.state.documents["desk"].version


def written_versions(fleet: LocalFleet) -> list[int]:
    """Returns the document versions in the table, in log order."""
    rows = [row for key, row in sorted(fleet.table.rows.items()) if "fleet/" in key]
    return [
        int(row.value.partition('"version":')[2].partition(",")[0])
        for row in rows
        if "document_applied" in row.value
    ]


async def test_only_one_concurrent_edit_succeeds():
    """Guards against concurrent edits that overwrite each other."""
    async with LocalFleet(5) as fleet:
        fleet.table.faults.delay_s = 0.05
        await apply_edit(fleet.nodes["vm0"], "a", 0)
        pending_edits = [
            apply_edit(fleet.nodes[f"vm{n}"], f"r{n}", 1) for n in range(5)
        ]
        results = await asyncio.gather(*pending_edits, return_exceptions=True)
        conflicts = [
            result for result in results if isinstance(result, VersionConflict)
        ]
        assert [error.in_force for error in conflicts] == [2] * 4
        assert written_versions(fleet) == [1, 2]


@pytest.mark.parametrize("fault", ["lost response", "killed", "frozen", "cut off"])
async def test_vm_applies_change_or_refuses_within_3_s(fault):
    """Guards against a VM that keeps using an old document or reverts to one."""
    async with LocalFleet(5) as fleet:
        await apply_edit(fleet.nodes["vm0"], "old", 0)
        await asyncio.sleep(7.3)
        match fault:
            case "lost response":
                fleet.table.faults.lose_answers = 1
            case "frozen":
                fleet.pause("vm1")
            case "cut off":
                fleet.table.faults.unreachable_for.add("vm1")
        await apply_edit(fleet.nodes["vm0"], "new", 1)
        if fault == "killed":
            await fleet.kill("vm0")
        await asyncio.sleep(3)
        if fault == "frozen":
            await asyncio.sleep(57)
            fleet.resume("vm1")
        for _ in range(200):
            assert {served_version(node) for node in fleet.nodes.values()} <= {2, None}
            await asyncio.sleep(0.1)
        assert written_versions(fleet) == [1, 2]


async def test_vm_started_during_table_outage_serves_nothing():
    """Guards against a VM that serves requests before it has read the whole log."""
    async with LocalFleet(3) as fleet:
        await apply_edit(fleet.nodes["vm0"], "old", 0)
        await apply_edit(fleet.nodes["vm0"], "new", 1)
        fleet.table.faults.unreachable_for.add("vm3")
        starting = asyncio.create_task(fleet.start("vm3"))
        for _ in range(100):
            await asyncio.sleep(0.2)
            with pytest.raises(Refusal):
                fleet.nodes["vm3"].entry.route("desk", "new")
        fleet.table.faults.unreachable_for.clear()
        await starting
        assert served_version(fleet.nodes["vm3"]) == 2
