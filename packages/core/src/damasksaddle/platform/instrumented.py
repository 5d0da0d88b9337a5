"""A table wrapper that counts failures."""

from collections.abc import Iterator
from contextlib import contextmanager

from damasksaddle.exceptions import ResponseLost, TableUnavailable
from damasksaddle.platform.interfaces import Put, Row, Table
from damasksaddle.utils import Counter, count


@contextmanager
def _count_failures() -> Iterator[None]:
    try:
        yield
    except TableUnavailable:
        count(Counter.TABLE_ERRORS)
        raise
    except ResponseLost:
        count(Counter.TABLE_RESPONSES_LOST)
        raise


class InstrumentedTable:
    """Forwards requests to a table and counts those that fail."""

    def __init__(self, table: Table) -> None:
        self._table = table

    async def get(self, key: str) -> Row | None:
        with _count_failures():
            return await self._table.get(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 500) -> list[Row]:
        with _count_failures():
            return await self._table.scan(prefix, after=after, limit=limit)

    async def write(self, puts: list[Put], write_id: str) -> None:
        with _count_failures():
            await self._table.write(puts, write_id)
