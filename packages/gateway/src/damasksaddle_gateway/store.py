"""
A circuit breaker for calls to the store.

Reads that follow the configuration and the upstreams continue while the store is
unavailable, and the first success closes the breaker. Until then all other calls fail
immediately, so that no request waits for a store that cannot respond.
"""

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable
from typing import TypeVar

from damasksaddle.exceptions import (
    ResponseLost,
    TableOverloaded,
    TableUnavailable,
    WriteConflict,
)
from damasksaddle.platform import Page, Put, Row, VersionedTable
from damasksaddle.utils import Counter, Timing, boottime_s, count, get_logger, measure
from damasksaddle_gateway.store_latency import StoreLatency

log = get_logger("store")

Result = TypeVar("Result")

# Number of consecutive failures after which the store counts as unavailable. Single
# responses may be lost while the store works.
FAILURE_THRESHOLD = 3
# A write timeout counts as a failure only if the store did not respond to any other
# call for this time either, or for twice its timeout if it is slow. The change feed
# alone gets two responses per second.
SILENCE_THRESHOLD_S = 0.6
SILENCE_TIMEOUTS = 2.0
# A store that rejects single calls because it gets too many is available. One that
# accepted none of this VM's calls for this time turns the VM away.
REJECTION_THRESHOLD_S = 1.0
# The ends of more outages than happen within a minute.
MAX_OUTAGE_ENDS = 64
# The feeds get two responses a second. After a longer silence, this VM cannot tell
# whether the store was available to others.
MAX_UNNOTICED_S = 1.0
# Single late answers do not make a store slow.
SLOW_CONFIRMATION_S = 1.0


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
        # When the last outages ended.
        self.outage_ends_s: deque[float] = deque(maxlen=MAX_OUTAGE_ENDS)
        # When times ended in which an outage may have been: outages, silences, and the
        # time before the first response.
        self.gap_ends_s: deque[float] = deque(maxlen=MAX_OUTAGE_ENDS)
        self.first_success_s = math.inf
        self._last_answer_s = -math.inf
        self._last_success_s = -math.inf
        self._was_slow = False
        # When the store was last as slow or as fast as the last log line says.
        self._unchanged_s: float | None = None
        # Writes whose answers may still arrive after their callers gave up.
        self._writes: set[asyncio.Task[Page]] = set()
        self.latency = StoreLatency()
        self.clock = StoreClock()
        # Called with the request time and the page for each response that contains the
        # newest version.
        self.on_version: Callable[[float, Page], None] = lambda requested_s, page: None
        # Set while the store is unavailable.
        self.unavailable = asyncio.Event()

    def is_available(self) -> bool:
        """Tells whether the store is considered available."""
        return self._failures < FAILURE_THRESHOLD

    def unavailable_since_s(self) -> float:
        """Returns when the store became unavailable, or now if it is available."""
        return boottime_s() if self.is_available() else self._unavailable_since_s

    def silence_s(self) -> float:
        """Returns the time since the store last responded."""
        return boottime_s() - self._last_answer_s

    async def row(self, key: str) -> Row | None:
        self._check_available()
        return await self._track(self._table.row(key))

    async def commit(
        self, puts: list[Put], unanswered: list[asyncio.Task[Page]] | None = None
    ) -> Page:
        """
        Applies writes; raises `ResponseLost` if the answer is later than expected.

        A write is never abandoned: its answer, however late, adjusts the timeout of the
        next one. A caller that repeats a write passes the list `unanswered`, which
        collects the earlier ones; the first answer to any of them counts.
        """
        self._check_available()
        started_s = boottime_s()
        timeout_s = self.latency.write_timeout_s()
        write = asyncio.create_task(self._commit(puts, started_s))
        self._writes.add(write)
        write.add_done_callback(self._on_write_done)
        page = await _first_answer(write, unanswered or [], timeout_s)
        if page is not None:
            return page
        if unanswered is not None:
            unanswered.append(write)
        self.latency.writes.record_timeout(started_s, boottime_s())
        answer_lost = ResponseLost(f"no response within {timeout_s:.3f} s")
        if self.silence_s() > max(SILENCE_THRESHOLD_S, SILENCE_TIMEOUTS * timeout_s):
            self._record_failure(answer_lost)
        raise answer_lost

    async def late_answer(self, unanswered: list[asyncio.Task[Page]]) -> Page | None:
        """Waits for an answer to one of several writes; returns None if none comes."""
        started_s = boottime_s()
        page = await _first_answer(None, unanswered, self.latency.write_timeout_s())
        if page is None:
            self.latency.writes.record_timeout(started_s, boottime_s())
        return page

    async def _commit(self, puts: list[Put], started_s: float) -> Page:
        try:
            page = await self._track(self._table.commit(puts))
        except WriteConflict:
            self._record_write(started_s)
            raise
        self._record_write(started_s)
        return self._observe_page(started_s, page)

    def _on_write_done(self, write: asyncio.Task[Page]) -> None:
        self._writes.discard(write)
        if not write.cancelled() and write.exception() is not None:
            # Its caller either got the exception or had given up before.
            log.debug("A write failed.", error=repr(write.exception()))

    def _record_write(self, started_s: float) -> None:
        duration_s = boottime_s() - started_s
        measure(Timing.STORE, duration_s * 1000)
        self.latency.writes.record(duration_s)
        self._log_if_slow()

    def _log_if_slow(self) -> None:
        """Logs that the store became slow, or that it is fast again, for some time."""
        now_s = boottime_s()
        if self._unchanged_s is None or self.latency.is_slow() == self._was_slow:
            self._unchanged_s = now_s
        if now_s - self._unchanged_s < SLOW_CONFIRMATION_S:
            return
        self._unchanged_s = now_s
        self._was_slow = not self._was_slow
        expected_ms = round(self.latency.write_s() * 1000)
        if self._was_slow:
            count(Counter.STORE_SLOWDOWNS)
            log.warning("The store is slow.", write_ms=expected_ms)
        else:
            log.info("The store is no longer slow.", write_ms=expected_ms)

    async def page(self, prefix: str, after: str = "", limit: int = 500) -> Page:
        requested_s = boottime_s()
        page = await self._track(self._table.page(prefix, after, limit))
        self.latency.reads.record(boottime_s() - requested_s)
        self._log_if_slow()
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
        except TableOverloaded as error:
            if boottime_s() - self._last_success_s > REJECTION_THRESHOLD_S:
                self._record_failure(error)
            else:
                self._last_answer_s = boottime_s()
            raise
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
        now_s = boottime_s()
        self.first_success_s = min(self.first_success_s, now_s)
        is_silent = now_s - self._last_success_s > MAX_UNNOTICED_S
        if is_silent or not self.is_available():
            self.gap_ends_s.append(now_s)
        if not self.is_available():
            unavailable_s = round(boottime_s() - self._unavailable_since_s, 3)
            log.info("The store is available again.", away_s=unavailable_s)
            self.unavailable.clear()
            self.outage_ends_s.append(boottime_s())
        self._failures = 0
        self._last_answer_s = self._last_success_s = boottime_s()


async def _first_answer(
    write: asyncio.Task[Page] | None,
    unanswered: list[asyncio.Task[Page]],
    timeout_s: float,
) -> Page | None:
    """
    Returns the page of the first write that succeeds, or None after the timeout.

    Raises the exception of `write` if it fails; those of earlier writes are ignored.
    """
    waiting = {*unanswered} | ({write} if write is not None else set())
    try:
        async with asyncio.timeout(timeout_s):
            while waiting:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task is write or (not task.cancelled() and not task.exception()):
                        return task.result()
    except TimeoutError:
        pass
    return None
