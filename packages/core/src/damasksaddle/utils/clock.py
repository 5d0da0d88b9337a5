"""Calendar time that follows the event loop's clock, which tests can pause."""

import asyncio
import time

_OFFSET_S = time.time() - time.monotonic()


def unix_s() -> int:
    """Returns the seconds since 1970, for what outlives this process."""
    return int(_OFFSET_S + asyncio.get_running_loop().time())
