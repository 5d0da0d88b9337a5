"""A token bucket with a FIFO queue of waiters."""

import asyncio
from collections import deque
from collections.abc import Callable

from damasksaddle.exceptions import RateExceeded


class TokenBucket:
    """
    The token bucket of a workspace, held by the workspace's owner.

    In any window of W seconds it admits at most `rate_per_s` x W + `burst` requests.
    It starts with `level` tokens at `start_s` on the event loop's clock and admits
    nothing before. `check_authority` raises a `Refusal` while this VM must not admit
    requests.
    """

    def __init__(
        self,
        rate_per_s: float,
        burst: int,
        level: float,
        start_s: float,
        check_authority: Callable[[], None],
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(level, burst)
        self._updated_s = start_s
        self._check_authority = check_authority
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._admission_task: asyncio.Task[None] | None = None

    def set_limits(self, rate_per_s: float, burst: int) -> None:
        """Changes the rate and burst from now on."""
        self._refill()
        self.rate_per_s, self.burst = rate_per_s, burst
        self._level = min(self._level, burst)

    def started(self) -> bool:
        """Returns whether the start time has passed."""
        return asyncio.get_running_loop().time() >= self._updated_s

    def level(self) -> float:
        """Returns the current number of tokens."""
        self._refill()
        return self._level

    def _refill(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s > self._updated_s:
            added = (now_s - self._updated_s) * self.rate_per_s
            self._level = min(self.burst, self._level + added)
            self._updated_s = now_s

    def expected_wait_s(self) -> float:
        """Returns the expected wait of a new request."""
        self._refill()
        now_s = asyncio.get_running_loop().time()
        deficit = len(self._waiters) + 1 - self._level
        return max(0.0, self._updated_s - now_s) + max(0.0, deficit / self.rate_per_s)

    async def acquire(self, max_wait_s: float) -> None:
        """
        Takes a token; waiters are served in the order of their arrival.

        Raises `RateExceeded` immediately if the expected wait exceeds `max_wait_s`.
        The time until a bucket that was taken over starts does not count towards it,
        because otherwise requests within the rate would be refused.
        """
        wait_s = self.expected_wait_s()
        start_delay_s = max(0.0, self._updated_s - asyncio.get_running_loop().time())
        if wait_s - start_delay_s > max_wait_s:
            raise RateExceeded(retry_after_s=wait_s)
        if wait_s == 0 and not self._waiters:
            self._take_token()
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        if self._admission_task is None or self._admission_task.done():
            self._admission_task = asyncio.create_task(self._admit_waiters())
        await waiter

    async def _admit_waiters(self) -> None:
        while self._waiters:
            now_s = asyncio.get_running_loop().time()
            self._refill()
            deficit = 1 - self._level
            wait_s = max(0.0, self._updated_s - now_s) + max(
                0.0, deficit / self.rate_per_s
            )
            if wait_s > 0:
                await asyncio.sleep(wait_s)
                self._refill()
                if self._level < 1 - 1e-9:
                    continue
            waiter = self._waiters.popleft()
            if waiter.done():
                continue
            try:
                self._take_token()
            except Exception as error:
                waiter.set_exception(error)
                continue
            waiter.set_result(None)

    def _take_token(self) -> None:
        """Takes a token; raises a `Refusal` while this VM must not admit requests."""
        self._check_authority()
        self._level = max(0.0, self._level - 1)

    def close(self, error: Exception) -> None:
        """Fails all waiters when this VM no longer owns the bucket."""
        if self._admission_task is not None:
            self._admission_task.cancel()
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(error)
