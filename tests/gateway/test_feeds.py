"""A table that is followed: read whole page by page, then by its changes."""

import asyncio

import pytest

from damasksaddle.platform import Page, Put
from damasksaddle_gateway.feeds import TableFeed, read_all
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows

pytestmark = pytest.mark.looptime

# More than one page holds.
ROWS = 1200


class Copy:
    """The values that a feed told."""

    def __init__(self, table: MemoryVersionedTable) -> None:
        self.values: dict[str, str] = {}
        self.whole = 0
        self.feed = TableFeed(table, "vms", "vms", 1.0, self.on_whole, self.on_changes)

    def on_whole(self, page: Page, sent_s: float) -> None:
        self.whole += 1
        self.values = {row.key: row.value for row in page.rows}

    def on_changes(self, page: Page) -> None:
        for row in page.rows:
            if row.deleted:
                self.values.pop(row.key, None)
            else:
                self.values[row.key] = row.value


def fill(rows: VersionedRows) -> None:
    rows.apply([Put(f"vms/vms/{number:04d}", "0") for number in range(ROWS)])


async def test_all_pages_are_read(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against a list that ends with its first page."""
    fill(rows)
    page = await read_all(table, "vms/vms/")
    assert len(page.rows) == ROWS
    assert table.calls == 3


async def test_changes_between_pages_are_told(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against a row of an early page that changed while later ones were read."""
    fill(rows)
    copy = Copy(table)
    following = asyncio.create_task(copy.feed.follow(lambda: False))
    await asyncio.sleep(0.006)
    rows.apply([Put("vms/vms/0001", "1"), Put("vms/vms/0002", None)])
    await asyncio.sleep(0.5)
    assert copy.whole == 1
    assert copy.values == {key: row.value for key, row in rows.rows.items()}
    following.cancel()


async def test_a_failure_or_a_forgotten_history_leads_to_a_whole_read(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against changes that are missed while the store is away or forgetful."""
    fill(rows)
    copy = Copy(table)
    following = asyncio.create_task(copy.feed.follow(lambda: False))
    await asyncio.sleep(0.5)
    table.down = True
    await asyncio.sleep(2.0)
    rows.apply([Put("vms/vms/0001", "1"), Put("vms/vms/0002", None)])
    rows.compact()
    table.down = False
    await asyncio.sleep(1.0)
    assert copy.whole >= 2
    assert copy.values == {key: row.value for key, row in rows.rows.items()}
    following.cancel()
