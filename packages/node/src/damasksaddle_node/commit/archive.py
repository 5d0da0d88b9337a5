"""
Moves rows that all snapshots cover from the table to the object store.

Rows are moved in blocks of a fixed size, so that two VMs that both consider themselves
the stream's committer write the same object for a block. The table row with the key
`floor/stream/N`, the marker row, counts the archived blocks of stream N.
"""

import json
from collections.abc import AsyncGenerator

from damasksaddle.exceptions import ResponseLost, WriteConflict
from damasksaddle.platform import ObjectStore, Put, RowSequence, Table
from damasksaddle.utils import new_id

# One transaction deletes the rows of a block and updates the marker row.
BLOCK_ROWS = 128


class StreamArchive:
    """The archived rows of one stream in the object store."""

    def __init__(self, table: Table, objects: ObjectStore, stream: int) -> None:
        self._table = table
        self._objects = objects
        self._rows = RowSequence(table, f"stream/{stream}")
        self._stream = stream

    async def archived_blocks(self) -> tuple[int, int]:
        """Returns the number of archived blocks, and the version of the marker row."""
        row = await self._table.get(f"floor/stream/{self._stream}")
        return (int(row.value), row.version) if row else (0, 0)

    def _object_key(self, block: int) -> str:
        return f"rows/{self._stream}/{block}"

    async def archive_next_block(self, until: int) -> bool:
        """
        Moves the next block if it ends at or before a position; returns whether it did.

        The rows are deleted only after their object was written. Raises
        `PlatformError`.
        """
        block, version = await self.archived_blocks()
        first, last = block * BLOCK_ROWS, (block + 1) * BLOCK_ROWS
        if last > until:
            return False
        rows = await self._rows.read_after(first, BLOCK_ROWS)
        data = json.dumps([row.value for row in rows]).encode()
        await self._objects.put(self._object_key(block), data)
        marker = Put(f"floor/stream/{self._stream}", str(block + 1), version)
        deletes = [Put(row.key, None, row.version) for row in rows]
        try:
            await self._table.write([marker, *deletes], new_id("write"))
        except (WriteConflict, ResponseLost):
            # The next attempt reads the marker row again.
            return False
        return True

    async def row_values(self) -> AsyncGenerator[str, None]:
        """
        Yields the values of all rows in order, from the object store and the table.

        Rows that are archived meanwhile may be yielded twice. Raises `PlatformError`.
        """
        next_block = 0
        while True:
            block_count, _ = await self.archived_blocks()
            for block in range(next_block, block_count):
                for value in json.loads(
                    await self._objects.get(self._object_key(block))
                ):
                    yield value
            next_block = block_count
            rows = await self._rows.read_after(next_block * BLOCK_ROWS)
            if (await self.archived_blocks())[0] == block_count:
                break
        while rows:
            for row in rows:
                yield row.value
            rows = await self._rows.read_after(self._rows.position(rows[-1]))
