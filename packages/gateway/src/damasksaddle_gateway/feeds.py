"""Follows a table: reads it whole, then its changes, and whole again where needed."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from damasksaddle.exceptions import AnswerLost, HistoryForgotten, TableUnavailable
from damasksaddle.platform import Page, VersionedTable, row_key
from damasksaddle.utils import elapsed_s, get_log

log = get_log("feeds")

# Pause after a failed read, so that a store that is down gets few requests.
RETRY_S = 0.25


async def read_all(table: VersionedTable, prefix: str) -> Page:
    """Reads the rows with a prefix, page by page; the version is that of the first."""
    page = first = await table.page(prefix)
    rows = list(first.rows)
    while not page.complete:
        page = await table.page(prefix, after=page.rows[-1].key)
        rows += page.rows
    return Page(rows, first.version, first.now_ms)


@dataclass(slots=True)
class TableFeed:
    """
    The rows of a table, in all of its parts or one that is read whole.

    `on_whole` gets a page with all rows and when it was asked for, `on_changes` what
    changed since. One read of changes waits `wait_s` for one. `version` is how far the
    feed has told all changes.
    """

    table: VersionedTable
    name: str
    part: str
    wait_s: float
    on_snapshot: Callable[[Page, float], None]
    on_changes: Callable[[Page], None]
    version: int = 0

    async def follow(self, is_stopped: Callable[[], bool]) -> None:
        """Reads until it is stopped."""
        while not is_stopped():
            try:
                await self._read_snapshot()
                while not is_stopped():
                    await self._read_changes()
            except HistoryForgotten:
                log.info("The feed forgot its history; reading all.", table=self.name)
            except (TableUnavailable, AnswerLost) as error:
                log.debug("A table was not read.", table=self.name, error=repr(error))
                await asyncio.sleep(RETRY_S)

    async def _read_snapshot(self) -> None:
        requested_s = elapsed_s()
        page = await read_all(self.table, row_key(self.name, self.part, ""))
        # What changed while later pages were read is told again as a change.
        self.version = page.version
        self.on_snapshot(page, requested_s)

    async def _read_changes(self) -> None:
        page = await self.table.changes(self.name, self.version, self.wait_s)
        self.version = max(self.version, page.version)
        self.on_changes(page)
