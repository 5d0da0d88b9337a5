"""
The pace of an upstream: how many requests may be in flight, and how many may start.

A window of requests in flight starts small and follows the responses of the upstream.
The rate of a cold upstream is bounded by counting grants in a sliding second.
"""

from collections import deque
from dataclasses import dataclass, field

# Requests in flight at an upstream of which nothing is known. One alone would leave a
# sound upstream idle for the time between its response and the next request.
INITIAL_WINDOW = 2.0
MIN_WINDOW = 1.0
# A response up to this many times slower than expected is as fast as expected. The
# estimate does not know the prefill of other requests in the batch, which makes steps
# up to 1.5 times as long.
FAST_RATIO = 1.5
# A response this many times slower than expected shrinks the window. Between the two
# limits the window stays.
SLOW_RATIO = 2.5
SLOW_FACTOR = 0.7
FAILURE_FACTOR = 0.5
# A window does not grow for this time after a rejection as full, or every other request
# would try the limit again.
HOLD_AFTER_FULL_S = 2.0
# Requests that were in flight together fail together, and shrink the window once.
SHRINK_INTERVAL_S = 0.05
# Bounds of cold upstreams hold in any sliding window of this length.
RATE_WINDOW_S = 1.0
# Starts are forgotten after this time, which exceeds the window with any jitter.
MEMORY_S = 3.0


@dataclass(slots=True)
class Window:
    """
    The number of requests that may be in flight at one incarnation of an upstream.

    It grows by one with each response that is as fast as expected, so it doubles
    within one response time as long as it is used in full.
    """

    size: float = INITIAL_WINDOW
    shrunk_s: float = float("-inf")
    full_s: float = float("-inf")

    def record_response(self, ratio: float, in_flight: int, now_s: float) -> None:
        """
        Adapts to a response that took `ratio` times as long as expected.

        `in_flight` includes the request of the response. A window that is not used in
        full does not grow: nothing shows that the upstream could serve more.
        """
        if ratio <= FAST_RATIO:
            is_held = now_s - self.full_s < HOLD_AFTER_FULL_S
            if in_flight >= self.size / 2 and not is_held:
                self.size += 1
        elif ratio >= SLOW_RATIO:
            self._shrink(self.size * SLOW_FACTOR, now_s)

    def record_failure(self, now_s: float) -> None:
        """Adapts to a failed response or connection."""
        self._shrink(self.size * FAILURE_FACTOR, now_s)

    def record_full(self, in_flight: int, now_s: float) -> None:
        """Adapts to a rejection: `in_flight`, with the rejected one, was too many."""
        self.full_s = now_s
        self.size = max(MIN_WINDOW, min(self.size, in_flight - 1))

    def restart(self) -> None:
        """Shrinks the window to one request, for an upstream that is being probed."""
        self.size = MIN_WINDOW

    def cap(self, max_in_flight: int) -> None:
        """Bounds the window by what the upstream can run."""
        self.size = min(self.size, float(max(1, max_in_flight)))

    def _shrink(self, size: float, now_s: float) -> None:
        if now_s - self.shrunk_s >= SHRINK_INTERVAL_S:
            self.size = max(MIN_WINDOW, size)
            self.shrunk_s = now_s


@dataclass(slots=True)
class StartRate:
    """
    The requests granted to an upstream in the last second.

    Requests reach the upstream up to `jitter_s` later than one another, so that many
    seconds more are counted.
    """

    starts_s: deque[float] = field(default_factory=deque)

    def wait_s(self, limit: float, jitter_s: float, now_s: float) -> float:
        """Returns the time until another start keeps within the limit; 0 if now."""
        span_s = RATE_WINDOW_S + jitter_s
        while self.starts_s and self.starts_s[0] <= now_s - span_s:
            self.starts_s.popleft()
        allowed = max(1, int(limit))
        if len(self.starts_s) < allowed:
            return 0.0
        return self.starts_s[-allowed] + span_s - now_s

    def is_idle(self, now_s: float) -> bool:
        """Tells whether no start counts any more."""
        return not self.starts_s or self.starts_s[-1] < now_s - MEMORY_S

    def record(self, now_s: float) -> None:
        """Counts a start."""
        self.starts_s.append(now_s)
