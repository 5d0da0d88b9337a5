"""A budget in bytes for what a process holds for others."""

from collections import Counter
from collections.abc import Callable

# Share of the budget that only small requests may use, so that large bodies do not keep
# them out.
SMALL_REQUESTS_SHARE = 1 / 8


class MemoryBudget:
    """
    Counts the bytes that the process holds, by owner, and bounds their sum.

    An owner is the kind of what is held, such as `bodies` or `turns`. A cache may use
    what nobody else needs: it counts like any owner, and evicts entries when the room
    is needed.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._held_bytes: Counter[str] = Counter()
        self._total_bytes = 0
        # By owner; evicts entries of so many bytes, or all of them.
        self._caches: dict[str, Callable[[int], None]] = {}

    def add_cache(self, owner: str, evict: Callable[[int], None]) -> None:
        """Registers a cache, which releases what it evicts."""
        self._caches[owner] = evict

    def reserve(self, owner: str, size_bytes: int, small: bool = False) -> bool:
        """
        Reserves bytes and returns whether there was room for all of them.

        With `small`, the part that is kept for small requests may be used as well.
        """
        if size_bytes > self.available(small):
            return False
        missing_bytes = size_bytes - self._free_bytes(small)
        for evict in self._caches.values():
            if missing_bytes > 0:
                evict(missing_bytes)
                missing_bytes = size_bytes - self._free_bytes(small)
        self._held_bytes[owner] += size_bytes
        self._total_bytes += size_bytes
        return True

    def release(self, owner: str, size_bytes: int) -> None:
        self._held_bytes[owner] -= size_bytes
        self._total_bytes -= size_bytes

    def available(self, small: bool = False) -> int:
        """Returns how many bytes can be reserved."""
        cached_bytes = sum(self._held_bytes[owner] for owner in self._caches)
        return self._free_bytes(small) + cached_bytes

    def _free_bytes(self, small: bool) -> int:
        kept_bytes = 0 if small else int(self.limit_bytes * SMALL_REQUESTS_SHARE)
        return self.limit_bytes - kept_bytes - self._total_bytes

    def held_bytes(self) -> dict[str, int]:
        """Returns the reserved bytes by owner."""
        return dict(self._held_bytes)


class Holding:
    """
    What one owner holds of a budget until it ends.

    >>> holding = Holding(MemoryBudget(1000), "turns")
    >>> holding.add(800), holding.add(800)
    (True, False)
    >>> holding.release()
    >>> holding.add(800)
    True
    """

    def __init__(self, budget: MemoryBudget, owner: str) -> None:
        self._budget = budget
        self._owner = owner
        self._size_bytes = 0

    def add(self, size_bytes: int, small: bool = False) -> bool:
        """Reserves more bytes and returns whether there was room for them."""
        if not self._budget.reserve(self._owner, size_bytes, small):
            return False
        self._size_bytes += size_bytes
        return True

    def release(self) -> None:
        """Releases all that is held."""
        self._budget.release(self._owner, self._size_bytes)
        self._size_bytes = 0
