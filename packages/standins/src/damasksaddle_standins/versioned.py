"""A stand-in for a store with versions and a feed, in memory, that fails on demand."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace

from damasksaddle.exceptions import (
    ChangesExpired,
    ResponseLost,
    TableUnavailable,
    WriteConflict,
)
from damasksaddle.platform import Page, Put, Row

# What a call takes there and back, and a transaction besides.
CALL_S = 0.004
TRANSACTION_S = 0.005
# Longer than any client waits.
MUTE_S = 3600.0
# When a write takes effect that was postponed.
POSTPONED_S = 2.0


@dataclass(slots=True)
class VersionedRows:
    """The rows that all clients share; `history` is what the feed can tell."""

    rows: dict[str, Row] = field(default_factory=dict)
    history: list[Row] = field(default_factory=list)
    version: int = 0
    forgotten: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def apply(self, puts: list[Put]) -> None:
        """Applies all puts at once; raises `WriteConflict`."""
        for put in puts:
            if put.expected_version is None:
                continue
            row = self.rows.get(put.key)
            if put.expected_version != (row.version if row else 0):
                found = [self.rows[p.key] for p in puts if p.key in self.rows]
                raise WriteConflict(put.key, found)
        self.version += 1
        for put in puts:
            self._put(put)
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, put: Put) -> None:
        if put.value is None:
            self.rows.pop(put.key, None)
            self.history.append(Row(put.key, "", self.version, deleted=True))
        else:
            row = Row(put.key, put.value, self.version)
            self.rows[put.key] = row
            self.history.append(row)

    def compact(self) -> None:
        """Forgets the history up to now."""
        self.history.clear()
        self.forgotten = self.version
        self.changed.set()
        self.changed = asyncio.Event()


class VersionedStandin:
    """
    One client's view of the rows.

    `down` refuses every call, `lose` decides for each write whether its answer is
    lost after it took effect, `mute` whether it just never comes, and `postpone`
    whether the write takes effect only later and is not answered. `silent` keeps the
    feed from telling anything: it then names no newer version than the one that was
    asked for.
    """

    def __init__(self, rows: VersionedRows) -> None:
        self._rows = rows
        self.down = False
        self.silent = False
        self.lose: Callable[[list[Put]], bool] = lambda puts: False
        self.mute: Callable[[list[Put]], bool] = lambda puts: False
        self.postpone: Callable[[list[Put]], bool] = lambda puts: False
        self.calls = 0

    async def _call(self, time_s: float) -> None:
        self.calls += 1
        await asyncio.sleep(time_s)
        if self.down:
            raise TableUnavailable("the stand-in is down")

    def _page(self, rows: list[Row], complete: bool = True) -> Page:
        now_ms = int(asyncio.get_running_loop().time() * 1000) + 1
        return Page(rows, self._rows.version, now_ms, complete)

    async def row(self, key: str) -> Row | None:
        await self._call(CALL_S)
        return self._rows.rows.get(key)

    async def page(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        await self._call(CALL_S)
        keys = sorted(
            key for key in self._rows.rows if key.startswith(prefix) and key > after
        )
        rows = [self._rows.rows[key] for key in keys[:limit]]
        return self._page(rows, len(keys) <= limit)

    async def changes(self, table: str, after_version: int, wait_s: float) -> Page:
        await self._call(CALL_S)
        self._check_known(table, after_version)
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + wait_s
        while loop.time() < ends_s:
            rows = [
                row
                for row in self._rows.history
                if row.version > after_version and row.key.startswith(f"{table}/")
            ]
            if rows and not self.silent:
                return self._page(rows)
            try:
                async with asyncio.timeout(ends_s - loop.time()):
                    await self._rows.changed.wait()
            except TimeoutError:
                break
            self._check_known(table, after_version)
        if self.down:
            raise TableUnavailable("the stand-in is down")
        page = self._page([])
        return replace(page, version=after_version) if self.silent else page

    def _check_known(self, table: str, after_version: int) -> None:
        if after_version < self._rows.forgotten:
            raise ChangesExpired(table)

    async def commit(self, puts: list[Put]) -> Page:
        await self._call(CALL_S + TRANSACTION_S)
        if self.postpone(puts):
            loop = asyncio.get_running_loop()
            loop.call_later(POSTPONED_S, self._apply_late, puts)
            raise ResponseLost("the stand-in postponed the write")
        self._rows.apply(puts)
        if self.lose(puts):
            raise ResponseLost("the stand-in lost the answer")
        if self.mute(puts):
            await asyncio.sleep(MUTE_S)
        return self._page([])

    def _apply_late(self, puts: list[Put]) -> None:
        # Its condition may no longer hold; nobody waits for the answer.
        with suppress(WriteConflict):
            self._rows.apply(puts)
