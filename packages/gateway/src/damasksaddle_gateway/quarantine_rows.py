"""
Keeps quarantines in the store, so that they survive the loss of all VMs.

Each quarantine is one row, written by the VM that starts it and read by each process
at its start. In between, VMs learn of quarantines by announcements.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from mode import Service

from damasksaddle.exceptions import PlatformError
from damasksaddle.platform import Page, Put, Row, row_key
from damasksaddle.utils import boottime_s, get_logger
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.crash_counts import QUARANTINED_REMEMBERED_S
from damasksaddle_gateway.feeds import decode, read_all
from damasksaddle_gateway.rows import CachedRow, update_row
from damasksaddle_gateway.store import StoreCircuitBreaker

log = get_logger("quarantine")

TABLE = "quarantines"
RETRY_S = 0.25


@dataclass(frozen=True, slots=True)
class StoredQuarantine:
    """A quarantine that ends at `until_ms` on the store's clock."""

    fingerprint: str
    crashes: int
    until_ms: float


def _decode_quarantine(row: Row) -> StoredQuarantine:
    value = json.loads(row.value)
    return StoredQuarantine(row.name, int(value["crashes"]), float(value["until_ms"]))


class QuarantineRows(Service):
    """Reads the quarantines of earlier processes, and writes new ones."""

    def __init__(self, table: StoreCircuitBreaker) -> None:
        super().__init__()
        self._table = table
        # Called with the fingerprint, the crashes and the seconds until the end, which
        # is negative for a quarantine that has ended.
        self.on_read: Callable[[str, int, float], None] = lambda name, crashes, s: None
        # Set once the quarantines of earlier processes are known.
        self.is_loaded = False
        # The crashes and the end on this VM's clock, by fingerprint.
        self._unwritten: dict[str, tuple[int, float]] = {}
        self._changed = asyncio.Event()

    def keep(self, fingerprint: str, crashes: int, left_s: float) -> None:
        """Has a quarantine written; does not wait for it."""
        self._unwritten[fingerprint] = crashes, boottime_s() + left_s
        self._changed.set()

    @background_task
    async def _load(self) -> None:
        while not self.should_stop:
            try:
                page = await read_all(self._table, row_key(TABLE, "", ""))
                break
            except PlatformError as error:
                log.debug("Could not read the quarantines.", error=repr(error))
                await self.sleep(RETRY_S)
        else:
            return
        expired = self._read(page)
        self.is_loaded = True
        try:
            for key in expired:
                await self._table.commit([Put(key, None)])
        except PlatformError as error:
            log.debug("Could not remove a quarantine.", error=repr(error))

    def _read(self, page: Page) -> list[str]:
        """Reports the rows of a page; returns those that are needed no more."""
        expired = []
        for row in page.rows:
            stored = decode(_decode_quarantine, row)
            if stored is None:
                continue
            left_s = (stored.until_ms - page.now_ms) / 1000
            if left_s < -QUARANTINED_REMEMBERED_S:
                expired.append(row.key)
            else:
                self.on_read(stored.fingerprint, stored.crashes, left_s)
        return expired

    @background_task
    async def _write_all(self) -> None:
        while not self.should_stop:
            await self._changed.wait()
            self._changed.clear()
            for fingerprint, (crashes, until_s) in list(self._unwritten.items()):
                try:
                    await self._write(fingerprint, crashes, until_s)
                except PlatformError as error:
                    log.debug("Could not write a quarantine.", error=repr(error))
                    await self.sleep(RETRY_S)
                    self._changed.set()
                    continue
                if self._unwritten[fingerprint] == (crashes, until_s):
                    del self._unwritten[fingerprint]

    async def _write(self, fingerprint: str, crashes: int, until_s: float) -> None:
        def extend(value: dict[str, Any] | None) -> dict[str, Any] | None:
            until_ms = self._table.clock.now_ms() + (until_s - boottime_s()) * 1000
            # The VM next in the order counts too, and writes the same quarantine.
            if value is not None and value["crashes"] >= crashes:
                return None
            return {"crashes": crashes, "until_ms": until_ms}

        cached = CachedRow(row_key(TABLE, "", fingerprint))
        await update_row(self._table, cached, extend, reread=True)
