"""
An append-only log stored as rows of the table.

Each position can be inserted only once, which gives a total order without a leader.
The fleet log and the commit streams are such sequences.
"""

import asyncio

from damasksaddle.exceptions import ResponseLost, TableUnavailable, WriteConflict
from damasksaddle.platform.interfaces import Put, Row, Table

POSITION_DIGITS = 12


class RowSequence:
    """
    The rows `{prefix}/{position}`, with positions starting at 1.

    >>> sequence = RowSequence(table, "fleet")
    >>> await sequence.insert(1, "first", new_id("write"))
    True
    """

    def __init__(self, table: Table, prefix: str) -> None:
        self._table = table
        self._prefix = prefix

    def key(self, position: int) -> str:
        """Returns the row key of a position; keys sort in the order of positions."""
        return f"{self._prefix}/{position:0{POSITION_DIGITS}d}"

    def position(self, row: Row) -> int:
        """Returns the position of a row of this sequence."""
        return int(row.key.rpartition("/")[2])

    async def read(self, position: int) -> Row | None:
        """Returns the row at a position, or None if it is not written yet."""
        return await self._table.get(self.key(position))

    async def read_after(self, position: int, limit: int = 500) -> list[Row]:
        """Returns up to `limit` rows after a position."""
        after = self.key(position)
        return await self._table.scan(f"{self._prefix}/", after=after, limit=limit)

    async def last_position(self, known: int) -> int:
        """
        Returns the last written position, given a written position or 0.

        Finds it by exponential and binary search, so that the number of reads is
        logarithmic in the distance.
        """
        step = 1
        while await self.read(known + step) is not None:
            known += step
            step *= 2
        while step > 1:
            step //= 2
            if await self.read(known + step) is not None:
                known += step
        return known

    async def insert(
        self, position: int, value: str, write_id: str, extra_puts: tuple[Put, ...] = ()
    ) -> bool:
        """
        Inserts the row at a position; returns False if another writer inserted it.

        `extra_puts` are written in the same transaction. After a lost response or a
        conflict, the row is read back and its write id identifies the writer, so a
        retry must use the same write id.

        Raises `WriteConflict` if a row of `extra_puts` conflicts, `TableUnavailable` if
        nothing was written, and `ResponseLost` if it is not known yet whether the
        write took effect.
        """
        put = Put(self.key(position), value, expected_version=0)
        try:
            await self._table.write([put, *extra_puts], write_id)
        except WriteConflict:
            visible_write_id = await self._visible_write_id(position)
            if visible_write_id is None:
                raise
            return visible_write_id == write_id
        except ResponseLost as error:
            visible_write_id = await self._visible_write_id(position)
            if visible_write_id is None:
                # The write may still be in flight, so it may yet take effect.
                raise ResponseLost(f"{self.key(position)} is not visible") from error
            return visible_write_id == write_id
        return True

    async def insert_with_retries(
        self,
        position: int,
        value: str,
        write_id: str,
        extra_puts: tuple[Put, ...] = (),
        retry_s: float = 0.2,
    ) -> bool:
        """
        Inserts like `insert`, and retries until the outcome of the write is known.

        Raises `TableUnavailable` only if no attempt can have taken effect.
        """
        response_lost = False
        while True:
            try:
                return await self.insert(position, value, write_id, extra_puts)
            except ResponseLost:
                response_lost = True
            except TableUnavailable:
                if not response_lost:
                    raise
            await asyncio.sleep(retry_s)

    async def _visible_write_id(self, position: int) -> str | None:
        try:
            row = await self.read(position)
        except TableUnavailable as error:
            raise ResponseLost(str(error)) from error
        return row.write_id if row else None
