"""
The gateway's way to the store: gives up early while it does not answer.

Reads that follow the configuration and the upstreams go on while the store is away;
their first success ends the outage for all other calls, which fail at once until
then. So no request is held for a store that cannot answer.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

from damasksaddle.exceptions import ResponseLost, TableUnavailable
from damasksaddle.platform import Page, Put, Row, VersionedTable
from damasksaddle.utils import Counter, Timing, boottime_s, count, get_logger, measure

log = get_logger("store")

Result = TypeVar("Result")

# Failures in a row after which the store counts as away. Single answers may be lost
# while it works.
FAILURES_TO_CLOSE = 3
# What a write takes at first, and the share of each new time in the average.
USUAL_WRITE_S = 0.015
WRITE_SMOOTHING = 0.2
# A write is sent again after this many times the average.
WRITE_PATIENCE = 5.0
LONGEST_WRITE_S = 0.7
# A write without an answer counts as a failure if nothing else was answered for this
# time either; the feed alone is answered twice a second.
SILENT_S = 0.3


class StoreClock:
    """
    Places the store's answers on this VM's clock.

    The store's clock is steady, so its distance to this VM's clock is bounded by each
    exchange; the tightest bound so far tells when an answer was made at the earliest.
    """

    def __init__(self) -> None:
        self._offset_s: float | None = None
        self._latest_ms = 0.0
        self._heard_s = 0.0

    def now_ms(self) -> float:
        """Returns a lower bound of the store's clock, 0 if it was never heard."""
        if not self._latest_ms:
            return 0.0
        return self._latest_ms + (boottime_s() - self._heard_s) * 1000

    def hear(self, now_ms: float) -> None:
        """Books the clock that an answer told, which was made before now."""
        if now_ms > self.now_ms():
            self._latest_ms, self._heard_s = now_ms, boottime_s()

    def made_s(self, sent_s: float, received_s: float, now_ms: float) -> float:
        """Returns the earliest time at which an answer can have been made."""
        now_s = now_ms / 1000
        bound_s = now_s - sent_s
        if self._offset_s is None or bound_s < self._offset_s:
            self._offset_s = bound_s
        made_s = now_s - self._offset_s
        if made_s > received_s:
            # The store's clock started anew; nothing is known but this exchange.
            self._offset_s = bound_s
            return sent_s
        return max(sent_s, made_s)


class StoreGate:
    """A `VersionedTable` that fails at once while the store is away."""

    def __init__(self, table: VersionedTable) -> None:
        self._table = table
        self._failures = 0
        self._lost_s = 0.0
        self._answered_s = -math.inf
        self._write_s = USUAL_WRITE_S
        self.clock = StoreClock()
        # Gets each answer that tells the newest version, and when it was asked for.
        self.on_version: Callable[[float, Page], None] = lambda sent_s, page: None
        # Set while the store is away.
        self.closed = asyncio.Event()

    def is_open(self) -> bool:
        """Tells whether calls are worth making."""
        return self._failures < FAILURES_TO_CLOSE

    def silence_s(self) -> float:
        """Returns how long ago the store last answered."""
        return boottime_s() - self._answered_s

    async def row(self, key: str) -> Row | None:
        self._check()
        return await self._watch(self._table.row(key))

    async def commit(self, puts: list[Put], tried: int = 0) -> Page:
        """
        Applies puts, waiting a few times as long as a write usually takes.

        A write whose answer is lost is recognized when it is sent again, so waiting
        longer gains nothing; each further try waits twice as long.
        """
        self._check()
        patience_s = min(LONGEST_WRITE_S, self._write_s * WRITE_PATIENCE * 2**tried)
        began_s = boottime_s()
        try:
            async with asyncio.timeout(patience_s):
                page = await self._watch(self._table.commit(puts))
        except TimeoutError as error:
            lost = ResponseLost(f"no answer for {patience_s:.3f} s")
            if self.silence_s() > SILENT_S:
                self._fail(lost)
            raise lost from error
        taken_s = boottime_s() - began_s
        measure(Timing.STORE, taken_s * 1000)
        self._write_s += WRITE_SMOOTHING * (taken_s - self._write_s)
        return self._heard(began_s, page)

    async def page(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        sent_s = boottime_s()
        page = await self._watch(self._table.page(prefix, after, limit))
        return self._heard(sent_s, page)

    async def changes(self, table: str, after_version: int, wait_s: float) -> Page:
        page = await self._watch(self._table.changes(table, after_version, wait_s))
        # A feed may fall behind, so its version need not be the newest.
        self.clock.hear(page.now_ms)
        return page

    def _heard(self, sent_s: float, page: Page) -> Page:
        self.clock.hear(page.now_ms)
        self.on_version(sent_s, page)
        return page

    def _check(self) -> None:
        if not self.is_open():
            away_s = boottime_s() - self._lost_s
            raise TableUnavailable(f"the store is away since {away_s:.1f} s")

    async def _watch(self, call: Awaitable[Result]) -> Result:
        try:
            result = await call
        except (TableUnavailable, ResponseLost) as error:
            self._fail(error)
            raise
        except Exception:
            # Any other failure is an answer.
            self._regained()
            raise
        self._regained()
        return result

    def _fail(self, error: Exception) -> None:
        self._failures += 1
        if self._failures == FAILURES_TO_CLOSE:
            self._lost_s = boottime_s()
            self.closed.set()
            count(Counter.STORE_OUTAGES)
            log.warning("The store does not answer.", error=repr(error))

    def _regained(self) -> None:
        if not self.is_open():
            away_s = round(boottime_s() - self._lost_s, 3)
            log.info("The store answers again.", away_s=away_s)
            self.closed.clear()
        self._failures = 0
        self._answered_s = boottime_s()
