"""
A circuit breaker for calls to the store.

Reads that follow the configuration and the upstreams continue while the store is
unavailable, and the first success closes the breaker. Until then all other calls fail
immediately, so that no request waits for a store that cannot respond.
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

# Number of consecutive failures after which the store counts as unavailable. Single
# responses may be lost while the store works.
FAILURE_THRESHOLD = 3
# Initial estimate of the duration of a write, and the weight of each new sample in the
# moving average.
INITIAL_WRITE_S = 0.015
WRITE_SMOOTHING = 0.2
# A write times out after this multiple of the average duration and is then retried.
WRITE_TIMEOUT_FACTOR = 5.0
MAX_WRITE_TIMEOUT_S = 0.7
# A write timeout counts as a failure only if the store did not respond to any other
# call for this time either. The change feed alone gets two responses per second.
SILENCE_THRESHOLD_S = 0.3


class StoreClock:
    """
    Converts times of the store's clock to this VM's clock.

    The store's clock is monotonic, so each exchange bounds its offset to this VM's
    clock. The tightest bound so far gives the earliest time at which a response was
    produced.
    """

    def __init__(self) -> None:
        self._offset_s: float | None = None
        self._latest_ms = 0.0
        self._observed_s = 0.0

    def now_ms(self) -> float:
        """Returns a lower bound of the store's clock, or 0 if it is unknown."""
        if not self._latest_ms:
            return 0.0
        return self._latest_ms + (boottime_s() - self._observed_s) * 1000

    def observe(self, now_ms: float) -> None:
        """Updates the lower bound with the clock value of a response."""
        if now_ms > self.now_ms():
            self._latest_ms, self._observed_s = now_ms, boottime_s()

    def earliest_answer_s(
        self, requested_s: float, received_s: float, now_ms: float
    ) -> float:
        """Returns the earliest time at which a response can have been produced."""
        now_s = now_ms / 1000
        bound_s = now_s - requested_s
        if self._offset_s is None or bound_s < self._offset_s:
            self._offset_s = bound_s
        earliest_answer_s = now_s - self._offset_s
        if earliest_answer_s > received_s:
            # The store's clock was reset; only this exchange is a valid bound.
            self._offset_s = bound_s
            return requested_s
        return max(requested_s, earliest_answer_s)


class StoreCircuitBreaker:
    """A `VersionedTable` that fails immediately while the store is unavailable."""

    def __init__(self, table: VersionedTable) -> None:
        self._table = table
        self._failures = 0
        self._unavailable_since_s = 0.0
        self._last_answer_s = -math.inf
        self._average_write_s = INITIAL_WRITE_S
        self.clock = StoreClock()
        # Called with the request time and the page for each response that contains the
        # newest version.
        self.on_version: Callable[[float, Page], None] = lambda requested_s, page: None
        # Set while the store is unavailable.
        self.unavailable = asyncio.Event()

    def is_available(self) -> bool:
        """Tells whether the store is considered available."""
        return self._failures < FAILURE_THRESHOLD

    def silence_s(self) -> float:
        """Returns the time since the store last responded."""
        return boottime_s() - self._last_answer_s

    async def row(self, key: str) -> Row | None:
        self._check_available()
        return await self._track(self._table.row(key))

    async def commit(self, puts: list[Put], attempt: int = 0) -> Page:
        """
        Applies writes, with a timeout of a few times the average duration of a write.

        A write whose response is lost is recognized when it is retried, so a longer
        timeout has no benefit. The timeout doubles with each further attempt.
        """
        self._check_available()
        timeout_s = min(
            MAX_WRITE_TIMEOUT_S,
            self._average_write_s * WRITE_TIMEOUT_FACTOR * 2**attempt,
        )
        started_s = boottime_s()
        try:
            async with asyncio.timeout(timeout_s):
                page = await self._track(self._table.commit(puts))
        except TimeoutError as error:
            answer_lost = ResponseLost(f"no response within {timeout_s:.3f} s")
            if self.silence_s() > SILENCE_THRESHOLD_S:
                self._record_failure(answer_lost)
            raise answer_lost from error
        duration_s = boottime_s() - started_s
        measure(Timing.STORE, duration_s * 1000)
        self._average_write_s += WRITE_SMOOTHING * (duration_s - self._average_write_s)
        return self._observe_page(started_s, page)

    async def page(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        requested_s = boottime_s()
        page = await self._track(self._table.page(prefix, after, limit))
        return self._observe_page(requested_s, page)

    async def changes(self, table: str, after_version: int, wait_s: float) -> Page:
        page = await self._track(self._table.changes(table, after_version, wait_s))
        # The feed may lag, so its version need not be the newest.
        self.clock.observe(page.now_ms)
        return page

    def _observe_page(self, requested_s: float, page: Page) -> Page:
        self.clock.observe(page.now_ms)
        self.on_version(requested_s, page)
        return page

    def _check_available(self) -> None:
        if not self.is_available():
            unavailable_s = boottime_s() - self._unavailable_since_s
            raise TableUnavailable(
                f"the store has been unavailable for {unavailable_s:.1f} s"
            )

    async def _track(self, call: Awaitable[Result]) -> Result:
        try:
            result = await call
        except (TableUnavailable, ResponseLost) as error:
            self._record_failure(error)
            raise
        except Exception:
            # Any other exception means that the store responded.
            self._record_success()
            raise
        self._record_success()
        return result

    def _record_failure(self, error: Exception) -> None:
        self._failures += 1
        if self._failures == FAILURE_THRESHOLD:
            self._unavailable_since_s = boottime_s()
            self.unavailable.set()
            count(Counter.STORE_OUTAGES)
            log.warning("The store is unavailable.", error=repr(error))

    def _record_success(self) -> None:
        if not self.is_available():
            unavailable_s = round(boottime_s() - self._unavailable_since_s, 3)
            log.info("The store is available again.", away_s=unavailable_s)
            self.unavailable.clear()
        self._failures = 0
        self._last_answer_s = boottime_s()
