"""
Moves rows that all snapshots cover from the table to the object store.

Rows go in blocks of a fixed size, so that two committers that both believe to be the
stream's write the same object for a block. The floor row counts the blocks that went.
"""

import json
from collections.abc import AsyncGenerator

from damasksaddle.exceptions import ResponseLost, WriteConflict
from damasksaddle.platform import ObjectStore, Put, RowSequence, Table
from damasksaddle.utils import new_id

# One block and the floor row are one transaction.
BLOCK_ROWS = 128


class Archive:
    """The rows of one stream that are in the object store."""

    def __init__(self, table: Table, objects: ObjectStore, stream: int) -> None:
        self._table = table
        self._objects = objects
        self._rows = RowSequence(table, f"stream/{stream}")
        self._stream = stream

    async def blocks(self) -> tuple[int, int]:
        """Returns how many blocks went, and the version of the floor row."""
        row = await self._table.get(f"floor/stream/{self._stream}")
        return (int(row.value), row.version) if row else (0, 0)

    def _key(self, block: int) -> str:
        return f"rows/{self._stream}/{block}"

    async def move(self, until: int) -> bool:
        """
        Moves the next block if it ends at or before a position.

        Raises `PlatformError`. The rows are deleted only once their object is written.
        """
        block, version = await self.blocks()
        first, last = block * BLOCK_ROWS, (block + 1) * BLOCK_ROWS
        if last > until:
            return False
        rows = await self._rows.read_after(first, BLOCK_ROWS)
        data = json.dumps([row.value for row in rows]).encode()
        await self._objects.put(self._key(block), data)
        floor = Put(f"floor/stream/{self._stream}", str(block + 1), version)
        deletes = [Put(row.key, None, row.version) for row in rows]
        try:
            await self._table.write([floor, *deletes], new_id("write"))
        except (WriteConflict, ResponseLost):
            # The next try reads the floor row again.
            return False
        return True

    async def values(self) -> AsyncGenerator[str, None]:
        """
        Yields all rows in order, from the object store and the table.

        Raises `PlatformError`. Rows that move meanwhile may come twice.
        """
        block = 0
        while True:
            blocks, _ = await self.blocks()
            for number in range(block, blocks):
                for value in json.loads(await self._objects.get(self._key(number))):
                    yield value
            block = blocks
            rows = await self._rows.read_after(block * BLOCK_ROWS)
            if (await self.blocks())[0] == blocks:
                break
        while rows:
            for row in rows:
                yield row.value
            rows = await self._rows.read_after(self._rows.position(rows[-1]))
