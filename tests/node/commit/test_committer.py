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


async def test_former_committer_writes_after_the_rows_archived_since(monkeypatch):
    """
    Guards against records that are written between archived rows, where none is read.

    A VM that became the committer again continued at the position it had left off.
    """
    for name, value in (
        ("commit.archive.BLOCK_ROWS", 4),
        ("commit.committer.BLOCK_ROWS", 4),
        ("commit.committer.CHECKPOINT_INTERVAL_ROWS", 4),
        ("commit.client.CHECKPOINT_INTERVAL_ROWS", 4),
        ("programs.snapshot.SNAPSHOT_RECORDS", 1),
    ):
        monkeypatch.setattr(f"damasksaddle_node.{name}", value)
    async with LocalFleet(1) as fleet:
        fleet.upstreams.tools["http://app-1"] = ToolService()
        await fleet.apply("desk", DOCUMENT)
        key = await fleet.give_key("ngo")
        requests = {
            partition_of("ngo", program): CallerRequest(
                key, "desk", "act", b"{}", program_id=program
            )
            for program in ("p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7")
        }
        for request in requests.values():
            await fleet.call("vm0", request)
        joined = await fleet.start("vm1")
        await fleet.wait_until_synced()
        owners = joined.fleet.state.owners
        number = next(
            number
            for number in requests
            if owners.partition(number) != joined.vm_id == owners.stream(number % 4)
        )

        def first_position() -> int:
            prefix = f"stream/{number % 4}/"
            keys = [key for key in fleet.table.rows if key.startswith(prefix)]
            return min(int(key.removeprefix(prefix)) for key in keys)

        last_before_join = fleet.nodes["vm0"].committers.streams[number % 4].position
        while first_position() <= last_before_join + 1:
            await fleet.call("vm0", requests[number])
            await fleet.sleep(2)
        await fleet.leave("vm1")
        await fleet.call("vm0", requests[number])
        assert first_position() > last_before_join + 1


async def test_append_is_rejected_only_after_new_rows_were_read():
    """
    Guards against a partition that is lost because its stream had two committers.

    The former committer may write the row that opens a partition after the new one has
    loaded the state of the stream.
    """
    async with LocalFleet(1) as fleet:
        fleet.upstreams.tools["http://app-1"] = ToolService()
        await fleet.apply("desk", DOCUMENT)
        request = CallerRequest(
            await fleet.give_key("ngo"), "desk", "act", b"{}", program_id="p"
        )
        await fleet.call("vm0", request)
        stream = fleet.nodes["vm0"].committers.streams[partition_of("ngo", "p") % 4]
        last_position, stream.position, stream.holders = stream.position, 0, {}
        await fleet.call("vm0", request)
        assert stream.position == last_position + 1
        (holder,) = stream.holders.values()
        assert holder.opened_at == 1


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
