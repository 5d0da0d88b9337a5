"""Calendar time that follows the event loop's clock, which tests can pause."""

import asyncio
import time

_OFFSET_S = time.time() - time.monotonic()


def unix_s() -> int:
    """Returns the seconds since 1970, for what outlives this process."""
    return int(_OFFSET_S + asyncio.get_running_loop().time())


def boottime_s() -> float:
    """
    Returns the loop's time plus the time that this VM was suspended.

    The loop's clock stands still while a VM is suspended. Whatever bounds how old a
    belief may be has to count that time too.
    """
    suspended_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
    return asyncio.get_running_loop().time() + suspended_s
