"""Follows a table through a snapshot and its change feed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from damasksaddle.exceptions import ChangesExpired, ResponseLost, TableUnavailable
from damasksaddle.platform import Page, Row, VersionedTable, row_key
from damasksaddle.utils import Counter, boottime_s, count, get_logger

log = get_logger("feeds")

Result = TypeVar("Result")

# Delay after a failed read, to limit the load on an unavailable store.
RETRY_S = 0.25


def decode(decoder: Callable[[Row], Result | None], row: Row) -> Result | None:
    """
    Returns the decoded row, or None if it holds nothing usable.

    A row at which the decoder fails is skipped, so that it costs no other row.
    """
    try:
        return decoder(row)
    except Exception as error:
        count(Counter.INVALID_ROWS, row.table)
        log.warning("A row cannot be decoded.", row=row.key, error=repr(error)[:200])
        return None


async def read_all(table: VersionedTable, prefix: str) -> Page:
    """Reads all rows with a prefix by page; the version is that of the first page."""
    page = first = await table.page(prefix)
    rows = list(first.rows)
    while not page.complete:
        if not page.last_key:
            raise TableUnavailable(f"{prefix}: an empty page is not the last one")
        page = await table.page(prefix, after=page.last_key)
        rows += page.rows
    return Page(rows, first.version, first.now_ms)


@dataclass(slots=True)
class TableFeed:
    """
    Follows the rows of a table; the snapshot covers one partition, `part`.

    `on_snapshot` receives a page with all rows and the time at which it was requested;
    `on_changes` receives the changes since then. `wait_s` is the long-poll time of a
    read of changes. `version` is the version up to which all changes have been
    delivered.
    """

    table: VersionedTable
    name: str
    part: str
    wait_s: float
    on_snapshot: Callable[[Page, float], None]
    on_changes: Callable[[Page], None]
    version: int = 0

    async def follow(self, is_stopped: Callable[[], bool]) -> None:
        """Reads the table until `is_stopped` returns true."""
        while not is_stopped():
            try:
                await self._read_snapshot()
                while not is_stopped():
                    await self._read_changes()
            except ChangesExpired:
                log.info(
                    "The change history was truncated; reading a snapshot.",
                    table=self.name,
                )
            except (TableUnavailable, ResponseLost) as error:
                log.debug(
                    "Could not read a table; retrying.",
                    table=self.name,
                    error=repr(error),
                )
                await asyncio.sleep(RETRY_S)

    async def _read_snapshot(self) -> None:
        requested_s = boottime_s()
        page = await read_all(self.table, row_key(self.name, self.part, ""))
        # Changes made while later pages were read are delivered again by the change
        # feed.
        self.version = page.version
        self.on_snapshot(page, requested_s)

    async def _read_changes(self) -> None:
        page = await self.table.changes(self.name, self.version, self.wait_s)
        self.version = max(self.version, page.version)
        self.on_changes(page)
