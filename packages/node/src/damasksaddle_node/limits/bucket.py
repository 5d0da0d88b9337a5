"""A token bucket with a queue of waiters."""

import asyncio
from collections import deque
from collections.abc import Callable

from damasksaddle.exceptions import RateExceeded


class TokenBucket:
    """
    The bucket of one workspace, at its owner.

    In any window of W seconds it admits at most `rate_per_s` x W + `burst`. It
    starts with `level` tokens at `start_s` on the loop's clock; before that it
    admits nothing. `guard` raises a `Refusal` when this VM may not admit.
    """

    def __init__(
        self,
        rate_per_s: float,
        burst: int,
        level: float,
        start_s: float,
        guard: Callable[[], None],
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(level, burst)
        self._at_s = start_s
        self._guard = guard
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._task: asyncio.Task[None] | None = None

    def set_limits(self, rate_per_s: float, burst: int) -> None:
        """Applies changed limits from now on."""
        self._refill()
        self.rate_per_s, self.burst = rate_per_s, burst
        self._level = min(self._level, burst)

    def started(self) -> bool:
        """Tells whether the bucket admits already."""
        return asyncio.get_running_loop().time() >= self._at_s

    def level(self) -> float:
        """Returns the tokens that are in the bucket now."""
        self._refill()
        return self._level

    def _refill(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s > self._at_s:
            gained = (now_s - self._at_s) * self.rate_per_s
            self._level = min(self.burst, self._level + gained)
            self._at_s = now_s

    def wait_s(self) -> float:
        """Returns when a new request would be admitted, from now."""
        self._refill()
        now_s = asyncio.get_running_loop().time()
        missing = len(self._waiters) + 1 - self._level
        return max(0.0, self._at_s - now_s) + max(0.0, missing / self.rate_per_s)

    async def acquire(self, max_wait_s: float) -> None:
        """
        Takes a token, in the order of arrival.

        Raises `RateExceeded` at once if the wait would be longer than
        `max_wait_s`. The time until a bucket that was taken over admits again does
        not count: requests within the rate would be refused for it.
        """
        wait_s = self.wait_s()
        opening_s = max(0.0, self._at_s - asyncio.get_running_loop().time())
        if wait_s - opening_s > max_wait_s:
            raise RateExceeded(retry_after_s=wait_s)
        if wait_s == 0 and not self._waiters:
            self._take()
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._serve())
        await waiter

    async def _serve(self) -> None:
        while self._waiters:
            now_s = asyncio.get_running_loop().time()
            self._refill()
            missing = 1 - self._level
            wait_s = max(0.0, self._at_s - now_s) + max(0.0, missing / self.rate_per_s)
            if wait_s > 0:
                await asyncio.sleep(wait_s)
                self._refill()
                if self._level < 1 - 1e-9:
                    continue
            waiter = self._waiters.popleft()
            if waiter.done():
                continue
            try:
                self._take()
            except Exception as error:
                waiter.set_exception(error)
                continue
            waiter.set_result(None)

    def _take(self) -> None:
        """Admits one request; raises a `Refusal` when this VM may not admit."""
        self._guard()
        self._level = max(0.0, self._level - 1)

    def close(self, error: Exception) -> None:
        """Fails all waiters, because this VM no longer owns the bucket."""
        if self._task is not None:
            self._task.cancel()
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(error)
