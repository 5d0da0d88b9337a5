"""Which VM may append to a commit stream."""

import asyncio
from types import SimpleNamespace

from damasksaddle.utils import PARTITIONS, partition_of
from damasksaddle_node.commit import CommitClient
from damasksaddle_node.commit.committer import MAX_ROW_BYTES
from damasksaddle_node.commit.rows import Holder
from damasksaddle_node.entry import CallerRequest
from damasksaddle_node.peers import Sender
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import Append
from damasksaddle_standins import ToolService
from damasksaddle_standins.fleet import LocalFleet

DOCUMENT = """
service: desk
pools:
  apps:
    kind: plain
    upstreams:
      - {name: app-1, url: "http://app-1", failure_domain: a}
routes:
  act: {pool: apps}
workspaces:
  ngo: {rate_per_s: 10, burst: 10, max_wait_ms: 10000}
"""


async def test_partition_opened_with_lost_answer_is_handed_over():
    """
    Guards against a partition whose holder does not know that it is the holder.

    This happens when the answer to the append that opened the partition is lost.
    """
    async with LocalFleet(3) as fleet:
        tool = ToolService()
        fleet.upstreams.tools["http://app-1"] = tool
        await fleet.apply("desk", DOCUMENT)
        key = await fleet.give_key("ngo")
        owners_before = fleet.any_node().fleet.state.owners
        await fleet.start("vm3")
        await fleet.wait_until_synced()
        owners_after = fleet.any_node().fleet.state.owners
        joined_vm_id = fleet.nodes["vm3"].vm_id
        moved_partition = next(
            (number, name)
            for name in (f"p{n}" for n in range(PARTITIONS))
            for number in [partition_of("ngo", name)]
            if owners_after.partition(number) == joined_vm_id
        )
        number, program = moved_partition
        former_owner = next(
            node
            for node in fleet.nodes.values()
            if node.vm_id == owners_before.partition(number)
        )
        # Simulates that the row was written but its answer was lost: the stream's
        # holder becomes the owner under the previous roster.
        stream = next(
            node.committers.streams[number % 4]
            for node in fleet.nodes.values()
            if node.vm_id == owners_after.stream(number % 4)
        )
        await fleet.sleep(2)
        stream.holders[number] = Holder(former_owner.vm_id, 1)
        request = CallerRequest(key, "desk", "act", b"{}", program_id=program)
        _, outcome = await fleet.call("vm0", request)
        assert outcome.http_status == 200
        assert len(tool.seen) == 1


async def test_size_of_a_row_is_counted_in_bytes():
    """Guards against rows above their limit if records are not in Latin script."""
    async with LocalFleet(1) as fleet:
        node = fleet.any_node()
        sender = Sender(node.vm_id, node.fleet.state.epoch)

        async def append(partition, records, opened_at):
            message = Append(partition, node.vm_id, records, opened_at)
            return (await node.committers.on_append(message, sender)).position

        partitions = range(0, 20, 4)
        opened = [await append(number, [], 0) for number in partitions]
        record = "ж" * (MAX_ROW_BYTES // 4)
        positions = await asyncio.gather(
            *(
                append(number, [record], opened_at)
                for number, opened_at in zip(partitions, opened, strict=True)
            )
        )
        records_per_row = [positions.count(row) for row in sorted({*positions})]
        assert records_per_row == [2, 2, 1]


async def test_append_to_a_former_committer_is_retried():
    """Guards against a partition that is given up because its committer changed."""
    async with LocalFleet(3) as fleet:
        node = fleet.any_node()
        owners = node.fleet.state.owners
        number = next(
            n for n in range(0, PARTITIONS, 4) if owners.partition(n) == node.vm_id
        )
        committer = owners.stream(0)
        former = next(
            other.vm_id
            for other in fleet.nodes.values()
            if other.vm_id not in (node.vm_id, committer)
        )
        committers = iter([committer, former, committer])
        stale_owners = SimpleNamespace(stream=lambda _: next(committers))
        stale_fleet = SimpleNamespace(state=SimpleNamespace(owners=stale_owners))
        client = CommitClient(fleet.table, stale_fleet, node.peers, 4, Timing())
        opened_at = await client.append(number, [], 0)
        assert await client.append_with_retry(number, ["record"], opened_at) > opened_at
        assert next(committers, None) is None
