"""The records of a partition that are not durable yet."""

import asyncio

from damasksaddle_node.programs.partition import MAX_BATCH_BYTES, Partition
from damasksaddle_node.programs.records import ProgramFinished
from damasksaddle_node.programs.state import PartitionState


class RecordingCommitClient:
    """A commit client that records the batches it gets."""

    def __init__(self) -> None:
        self.batches: list[list[str]] = []

    async def append_with_retry(self, number, records, opened_at):
        self.batches.append(records)
        return len(self.batches)


async def test_sizes_of_records_are_counted_in_bytes():
    """Guards against batches and queues that exceed their limits with other scripts."""
    client = RecordingCommitClient()
    partition = Partition(1, 1, PartitionState(), client)
    text = "ж" * (MAX_BATCH_BYTES // 5)
    pending = [
        partition.queue(ProgramFinished(f"r{n}", "ngo", "p1", text)) for n in range(5)
    ]
    size_bytes = sum(len(one.text.encode()) for one in pending)
    assert partition.pending_bytes() == size_bytes > 2 * MAX_BATCH_BYTES
    flush = asyncio.create_task(partition.flush())
    await asyncio.wait([pending[-1].done])
    flush.cancel()
    batch_bytes = [len("".join(batch).encode()) for batch in client.batches]
    assert sum(batch_bytes) == size_bytes
    assert max(batch_bytes) <= MAX_BATCH_BYTES
