"""Following a table: a paged snapshot, then its changes."""

import asyncio

import pytest

from damasksaddle.platform import Page, Put
from damasksaddle_gateway.feeds import TableFeed, read_all
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows

pytestmark = pytest.mark.looptime

# More rows than fit on one page.
ROW_COUNT = 1200


class Replica:
    """The rows as delivered by a feed."""

    def __init__(self, table: MemoryVersionedTable) -> None:
        self.values: dict[str, str] = {}
        self.snapshot_count = 0
        self.feed = TableFeed(
            table, "vms", "vms", 1.0, self.on_snapshot, self.on_changes
        )

    def on_snapshot(self, page: Page, sent_s: float) -> None:
        self.snapshot_count += 1
        self.values = {row.key: row.value for row in page.rows}

    def on_changes(self, page: Page) -> None:
        for row in page.rows:
            if row.deleted:
                self.values.pop(row.key, None)
            else:
                self.values[row.key] = row.value


def write_rows(rows: VersionedRows) -> None:
    rows.apply([Put(f"vms/vms/{number:04d}", "0") for number in range(ROW_COUNT)])


async def test_all_pages_are_read(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against returning only the first page."""
    write_rows(rows)
    page = await read_all(table, "vms/vms/")
    assert len(page.rows) == ROW_COUNT
    assert table.calls == 3


async def test_changes_between_pages_are_delivered(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against losing changes to early pages while later ones are read."""
    write_rows(rows)
    replica = Replica(table)
    follow_task = asyncio.create_task(replica.feed.follow(lambda: False))
    await asyncio.sleep(0.006)
    rows.apply([Put("vms/vms/0001", "1"), Put("vms/vms/0002", None)])
    await asyncio.sleep(0.5)
    assert replica.snapshot_count == 1
    assert replica.values == {key: row.value for key, row in rows.rows.items()}
    follow_task.cancel()


async def test_a_failure_or_a_lost_history_triggers_a_snapshot(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """
    Guards against losing changes while the store is down or truncates its history.
    """
    write_rows(rows)
    replica = Replica(table)
    follow_task = asyncio.create_task(replica.feed.follow(lambda: False))
    await asyncio.sleep(0.5)
    table.down = True
    await asyncio.sleep(2.0)
    rows.apply([Put("vms/vms/0001", "1"), Put("vms/vms/0002", None)])
    rows.compact()
    table.down = False
    await asyncio.sleep(1.0)
    assert replica.snapshot_count >= 2
    assert replica.values == {key: row.value for key, row in rows.rows.items()}
    follow_task.cancel()


async def test_a_change_at_the_end_of_a_wait_is_delivered(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against a stand-in that skips a change and reports its version."""
    loop = asyncio.get_running_loop()
    wait = asyncio.create_task(table.changes("vms", 0, 0.5))
    await asyncio.sleep(0.01)
    loop.call_at(loop.time() + 0.494, rows.apply, [Put("vms/vms/a", "1")])
    page = await wait
    assert page.version == len(page.rows)
