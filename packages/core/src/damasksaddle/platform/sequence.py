"""
A log of insert-only rows in the table.

Position n can be inserted once, which gives a total order without a leader. The
fleet log and the commit streams are both such sequences.
"""

import asyncio

from damasksaddle.exceptions import ResponseLost, TableUnavailable, WriteConflict
from damasksaddle.platform.interfaces import Put, Row, Table

POSITION_DIGITS = 12


class RowSequence:
    """
    The rows `{prefix}/{position}`, counted from 1.

    >>> sequence = RowSequence(table, "fleet")
    >>> await sequence.insert(1, "first", new_id("write"))
    True
    """

    def __init__(self, table: Table, prefix: str) -> None:
        self._table = table
        self._prefix = prefix

    def key(self, position: int) -> str:
        """Returns the row key of a position; keys sort like positions."""
        return f"{self._prefix}/{position:0{POSITION_DIGITS}d}"

    def position(self, row: Row) -> int:
        """Returns the position of a row of this sequence."""
        return int(row.key.rpartition("/")[2])

    async def read(self, position: int) -> Row | None:
        """Returns the row at a position, or None if it is not written yet."""
        return await self._table.get(self.key(position))

    async def read_after(self, position: int, limit: int = 500) -> list[Row]:
        """Returns up to `limit` rows that follow a position."""
        after = self.key(position)
        return await self._table.scan(f"{self._prefix}/", after=after, limit=limit)

    async def last_position(self, known: int) -> int:
        """
        Returns the last written position, given one that is written (or 0).

        Reads a number of rows that is logarithmic in the distance.
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
        self, position: int, value: str, write_id: str, also: tuple[Put, ...] = ()
    ) -> bool:
        """
        Inserts the row at a position; returns False if another writer has it.

        `also` is written in the same transaction. If the table's answer is lost, or
        if there is a conflict, the row is read back and its write id tells whose it
        is; a repeat must therefore use the same write id. Raises `WriteConflict` if a
        row of `also` conflicts, `TableUnavailable` if nothing was written, and
        `ResponseLost` if it is not known yet whether the write took effect.
        """
        put = Put(self.key(position), value, expected_version=0)
        try:
            await self._table.write([put, *also], write_id)
        except WriteConflict:
            written_by = await self._written_by(position)
            if written_by is None:
                raise
            return written_by == write_id
        except ResponseLost as error:
            written_by = await self._written_by(position)
            if written_by is None:
                # The write may still be on its way, so it cannot be called absent.
                raise ResponseLost(f"{self.key(position)} is not visible") from error
            return written_by == write_id
        return True

    async def insert_with_retries(
        self,
        position: int,
        value: str,
        write_id: str,
        also: tuple[Put, ...] = (),
        retry_s: float = 0.2,
    ) -> bool:
        """
        Inserts like `insert`, and repeats until the fate of the write is known.

        Raises `TableUnavailable` only if no try can have taken effect.
        """
        lost = False
        while True:
            try:
                return await self.insert(position, value, write_id, also)
            except ResponseLost:
                lost = True
            except TableUnavailable:
                if not lost:
                    raise
            await asyncio.sleep(retry_s)

    async def _written_by(self, position: int) -> str | None:
        try:
            row = await self.read(position)
        except TableUnavailable as error:
            raise ResponseLost(str(error)) from error
        return row.write_id if row else None
