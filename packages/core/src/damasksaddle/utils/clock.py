"""Clocks derived from the event loop's clock, which tests can pause."""

import asyncio
import time

_EPOCH_OFFSET_S = time.time() - time.monotonic()


class SuspensionClock:
    """
    Measures how long this VM has been suspended.

    `CLOCK_BOOTTIME` counts the time of a suspension and the monotonic clock does not.
    The two clocks cannot be read at the same instant, so a process that loses the
    processor between the reads would see a suspension that did not happen. A reading
    therefore counts only if it was quick, and only a difference above the error of a
    reading changes the result.
    """

    # Maximum time between the reads of a valid reading, in nanoseconds.
    MAX_READ_NS = 1_000_000
    # Shorter suspensions are counted once they add up to this, in nanoseconds.
    MIN_SUSPENSION_NS = 2 * MAX_READ_NS
    MAX_READS = 100

    def __init__(self) -> None:
        self._started_ns = self._read_ns()
        self._suspended_ns = 0

    def suspended_s(self) -> float:
        """
        Returns for how many seconds the VM was suspended since the process started.

        The result never decreases. It is exactly 0 without a suspension, so that sums
        with the loop's time are the same in every process.
        """
        suspended_ns = self._read_ns() - self._started_ns
        if suspended_ns - self._suspended_ns >= self.MIN_SUSPENSION_NS:
            self._suspended_ns = suspended_ns
        return self._suspended_ns / 1e9

    def _read_ns(self) -> int:
        """Returns the difference of the clocks, at most `MAX_READ_NS` too small."""
        suspended_ns = 0
        for _ in range(self.MAX_READS):
            started_ns = time.monotonic_ns()
            boottime_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
            ended_ns = time.monotonic_ns()
            # Too small by at most the duration of the reading, and never too large.
            suspended_ns = boottime_ns - ended_ns
            if ended_ns - started_ns <= self.MAX_READ_NS:
                break
        return suspended_ns


_suspension_clock = SuspensionClock()


def unix_s() -> int:
    """Returns the Unix time in seconds, for values that outlive this process."""
    return int(_EPOCH_OFFSET_S + asyncio.get_running_loop().time())


def boottime_s() -> float:
    """
    Returns the loop's time plus the time for which this VM was suspended.

    The loop's clock stops while a VM is suspended. Limits on the age of state, such as
    leases, must include that time.
    """
    return asyncio.get_running_loop().time() + _suspension_clock.suspended_s()
