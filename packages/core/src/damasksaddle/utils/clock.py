"""Clocks derived from the event loop's clock, which tests can pause."""

import asyncio
import time

_EPOCH_OFFSET_S = time.time() - time.monotonic()


def unix_s() -> int:
    """Returns the Unix time in seconds, for values that outlive this process."""
    return int(_EPOCH_OFFSET_S + asyncio.get_running_loop().time())


def boottime_s() -> float:
    """
    Returns the loop's time plus the time for which this VM was suspended.

    The loop's clock stops while a VM is suspended. Limits on the age of state, such as
    leases, must include that time.
    """
    suspended_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    return asyncio.get_running_loop().time() + suspended_s
