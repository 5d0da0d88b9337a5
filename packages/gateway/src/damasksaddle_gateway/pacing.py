"""
Spaces the requests to an upstream evenly in time, within its rate limit.

A permit is a reserved moment at which one request may be sent. Reserving moments ahead
queues requests without holding them in memory, and tells at once how long the queue is.
The code only decides: it neither waits nor sends.
"""

from dataclasses import dataclass

# Unused permits accumulate for this time at most.
BURST_S = 0.25
# A limit below this still lets requests through, because only a response tells that the
# limit has ended.
MIN_RATE_PER_S = 0.25
# Longest time until the first permit of a new pacer. Another VM may have issued permits
# until now.
MAX_START_DELAY_S = 0.5


@dataclass(slots=True)
class Pacer:
    """
    Reserves moments for requests at a rate.

    At 4 requests per second, the third request within a quarter of a second waits:

        pacer = Pacer(next_s=0.0)
        pacer.reserve(4.0, now_s=0.25, max_wait_s=1.0)  # 0.0
        pacer.reserve(4.0, now_s=0.25, max_wait_s=1.0)  # 0.0
        pacer.reserve(4.0, now_s=0.25, max_wait_s=1.0)  # 0.25
    """

    next_s: float

    def wait_s(self, now_s: float) -> float:
        """Returns the time until the next permit, in seconds."""
        return max(0.0, self.next_s - now_s)

    def reserve(
        self, rate_per_s: float, now_s: float, max_wait_s: float
    ) -> float | None:
        """
        Reserves the next permit and returns the time until it is valid, in seconds.

        Returns None, and reserves nothing, if that is more than `max_wait_s`.
        """
        wait_s = self.wait_s(now_s)
        if wait_s > max_wait_s:
            return None
        valid_s = max(self.next_s, now_s - BURST_S)
        self.next_s = valid_s + 1 / max(rate_per_s, MIN_RATE_PER_S)
        return wait_s


def new_pacer(rate_per_s: float, now_s: float) -> Pacer:
    """Returns a pacer for an upstream that other VMs may have used until now."""
    delay_s = min(MAX_START_DELAY_S, 1 / max(rate_per_s, MIN_RATE_PER_S))
    return Pacer(now_s + delay_s)
