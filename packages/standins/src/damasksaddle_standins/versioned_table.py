"""An in-memory versioned table with a change feed and simulated faults."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace

from damasksaddle.exceptions import (
    ChangesExpired,
    ResponseLost,
    TableOverloaded,
    TableUnavailable,
    WriteConflict,
)
from damasksaddle.platform import Page, Put, Row

# The round-trip time of a call, and the additional time of a transaction.
CALL_LATENCY_S = 0.004
TRANSACTION_LATENCY_S = 0.005
# A partition rejects a transaction if those before it take longer than this.
MAX_PARTITION_QUEUE_S = 1.0
# Longer than the timeout of any client.
WITHHELD_ANSWER_S = 3600.0
# The delay until a postponed write takes effect.
POSTPONED_WRITE_DELAY_S = 2.0


@dataclass(slots=True)
class VersionedRows:
    """The rows that all clients share; the feed serves the changes in `history`."""

    rows: dict[str, Row] = field(default_factory=dict)
    history: list[Row] = field(default_factory=list)
    version: int = 0
    compacted_version: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    # All calls take this many times as long.
    slowdown: float = 1.0
    # Time at which each partition has finished its transactions.
    _partition_free_s: dict[str, float] = field(default_factory=dict)

    def enqueue(self, key: str) -> float:
        """
        Adds a transaction to the queue of its partition and returns when it is done.

        Raises `TableOverloaded` if the queue is too long.
        """
        partition = key.rpartition("/")[0]
        now_s = asyncio.get_running_loop().time()
        free_s = max(now_s, self._partition_free_s.get(partition, 0.0))
        if free_s - now_s > MAX_PARTITION_QUEUE_S:
            raise TableOverloaded(partition)
        free_s += TRANSACTION_LATENCY_S * self.slowdown
        self._partition_free_s[partition] = free_s
        return free_s

    def apply(self, puts: list[Put]) -> None:
        """Applies all puts atomically; raises `WriteConflict`."""
        for put in puts:
            if put.expected_version is None:
                continue
            row = self.rows.get(put.key)
            if put.expected_version != (row.version if row else 0):
                current_rows = [self.rows[p.key] for p in puts if p.key in self.rows]
                raise WriteConflict(put.key, current_rows)
        self.version += 1
        for put in puts:
            self._apply_put(put)
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply_put(self, put: Put) -> None:
        if put.value is None:
            self.rows.pop(put.key, None)
            self.history.append(Row(put.key, "", self.version, deleted=True))
        else:
            row = Row(put.key, put.value, self.version)
            self.rows[put.key] = row
            self.history.append(row)

    def compact(self) -> None:
        """Discards the history, so that older versions can no longer be followed."""
        self.history.clear()
        self.compacted_version = self.version
        self.changed.set()
        self.changed = asyncio.Event()


class MemoryVersionedTable:
    """
    A client of the shared rows.

    `down` makes every call fail. For each write, `lose_answer` decides whether its
    answer is lost after it took effect, `withhold_answer` whether its answer never
    comes, and `postpone_write` whether it takes effect only later and is not answered.
    `hide_changes` makes the feed report no changes and no newer version than the
    requested one.
    """

    def __init__(self, rows: VersionedRows) -> None:
        self._rows = rows
        self.down = False
        self.hide_changes = False
        self.lose_answer: Callable[[list[Put]], bool] = lambda puts: False
        self.withhold_answer: Callable[[list[Put]], bool] = lambda puts: False
        self.postpone_write: Callable[[list[Put]], bool] = lambda puts: False
        self.calls = 0
        self.commits = 0

    async def _simulate_call(self, time_s: float) -> None:
        self.calls += 1
        await asyncio.sleep(time_s * self._rows.slowdown)
        if self.down:
            raise TableUnavailable("the table is down")

    def _page(self, rows: list[Row], complete: bool = True) -> Page:
        now_ms = int(asyncio.get_running_loop().time() * 1000) + 1
        last_key = rows[-1].key if rows else ""
        return Page(rows, self._rows.version, now_ms, complete, last_key)

    async def row(self, key: str) -> Row | None:
        await self._simulate_call(CALL_LATENCY_S)
        return self._rows.rows.get(key)

    async def page(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        await self._simulate_call(CALL_LATENCY_S)
        keys = sorted(
            key for key in self._rows.rows if key.startswith(prefix) and key > after
        )
        rows = [self._rows.rows[key] for key in keys[:limit]]
        return self._page(rows, len(keys) <= limit)

    async def changes(self, table: str, after_version: int, wait_s: float) -> Page:
        await self._simulate_call(CALL_LATENCY_S)
        self._check_not_compacted(table, after_version)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while self.hide_changes or not self._changed_rows(table, after_version):
            try:
                async with asyncio.timeout_at(end_s):
                    await self._rows.changed.wait()
            except TimeoutError:
                break
            self._check_not_compacted(table, after_version)
        if self.down:
            raise TableUnavailable("the table is down")
        if self.hide_changes:
            return replace(self._page([]), version=after_version)
        # A change may have come together with the end of the wait.
        return self._page(self._changed_rows(table, after_version))

    def _changed_rows(self, table: str, after_version: int) -> list[Row]:
        return [
            row
            for row in self._rows.history
            if row.version > after_version and row.key.startswith(f"{table}/")
        ]

    def _check_not_compacted(self, table: str, after_version: int) -> None:
        if after_version < self._rows.compacted_version:
            raise ChangesExpired(table)

    async def commit(self, puts: list[Put]) -> Page:
        self.commits += 1
        await self._simulate_call(CALL_LATENCY_S)
        done_s = self._rows.enqueue(puts[0].key)
        await asyncio.sleep(done_s - asyncio.get_running_loop().time())
        if self.down:
            raise TableUnavailable("the table is down")
        if self.postpone_write(puts):
            loop = asyncio.get_running_loop()
            loop.call_later(POSTPONED_WRITE_DELAY_S, self._apply_postponed, puts)
            raise ResponseLost("the write was postponed")
        self._rows.apply(puts)
        if self.lose_answer(puts):
            raise ResponseLost("the answer to the write was lost")
        if self.withhold_answer(puts):
            await asyncio.sleep(WITHHELD_ANSWER_S)
        return self._page([])

    def _apply_postponed(self, puts: list[Put]) -> None:
        # The expected versions may be outdated by now; no client waits for the answer.
        with suppress(WriteConflict):
            self._rows.apply(puts)
