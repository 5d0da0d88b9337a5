"""
The order in which requests of one workspace get the tokens of its rate.

A workspace whose programs start several requests at once needs more tokens than its
bucket holds, for a short time. Requests of running programs then wait in the order of
their programs' deadlines, so that the oldest programs end first. A request that would
start a program comes after all of them, and only while the bucket also holds a reserve
for what the running programs ask for next.

The queue only decides: it neither waits nor draws tokens.
"""

import asyncio
import bisect
import math
from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Waiter:
    """
    A request that waits for a token.

    `wait_until_s` is the latest time at which a token helps, and `program_deadline_s`
    when its program should end. `reserve` is the number of tokens that must stay in the
    bucket if the request starts a program, and 0 if it belongs to a running one.
    `granted` receives the number of tokens.
    """

    wait_until_s: float
    program_deadline_s: float
    arrival: int
    reserve: int
    requested: int
    granted: asyncio.Future[int]

    @property
    def order(self) -> tuple[bool, float, int]:
        """Returns the sort key; the lowest is served first."""
        return self.reserve > 0, self.program_deadline_s, self.arrival


@dataclass(slots=True)
class RateQueue:
    """
    The waiting requests of one workspace.

    With 2 tokens, a request of a running program goes first, and a program is started
    only if its reserve of 1 remains:

        queue.next_waiter(tokens=2.0)
    """

    _waiters: list[Waiter] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self._waiters)

    def waiters(self) -> list[Waiter]:
        """Returns the requests in their order."""
        return list(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Adds a request at its place in the order."""
        bisect.insort(self._waiters, waiter, key=lambda other: other.order)

    def discard(self, waiter: Waiter) -> None:
        """Removes a request if it still waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def clear(self) -> list[Waiter]:
        """Removes and returns all requests."""
        waiters, self._waiters = self._waiters, []
        return waiters

    def next_waiter(self, tokens: float) -> Waiter | None:
        """Returns the request to serve next if the bucket holds `tokens`, or None."""
        if self._waiters and self.shortfall(self._waiters[0], tokens) <= 0:
            return self._waiters[0]
        return None

    def servable(self, tokens: float) -> int:
        """Returns how many requests could be served in a row with so many tokens."""
        number = 0
        for waiter in self._waiters:
            if number + 1 + waiter.reserve > tokens:
                break
            number += 1
        return number

    def shortfall(self, waiter: Waiter, tokens: float) -> float:
        """
        Returns how many tokens the bucket lacks for a request and those before it.

        The request need not be in the queue; 0 or less means that it can be served.
        """
        if math.isinf(tokens):
            return 0.0
        ahead = bisect.bisect_left(
            self._waiters, waiter.order, key=lambda other: other.order
        )
        return ahead + 1 + waiter.reserve - tokens

    def first_shortfall(self, tokens: float) -> float:
        """Returns the shortfall of the request that is served next."""
        return self.shortfall(self._waiters[0], tokens) if self._waiters else 0.0
