"""A cache of turns in memory, bounded in bytes, without those unused for longest."""

from collections import OrderedDict

from damasksaddle.utils import Counter, Gauge, count, set_gauge
from damasksaddle.utils.memory import MemoryBudget
from damasksaddle_gateway.histories.turn_rows import SplitTurn, StoredTurn

# Bytes of the objects of an entry beside its input and output, and of a chain's entry.
ENTRY_BYTES = 600
CHAIN_ENTRY_BYTES = 8
# The owner of the cached bytes in the memory budget.
CACHE_OWNER = "cached_turns"


def turn_bytes(turn: StoredTurn | SplitTurn) -> int:
    """Returns about how much memory a turn takes; only its head if it is split."""
    match turn:
        case StoredTurn():
            content_bytes = turn.size_bytes
        case SplitTurn():
            content_bytes = 0
    names_bytes = 3 * len(turn.name) + CHAIN_ENTRY_BYTES * len(turn.chain)
    return ENTRY_BYTES + content_bytes + names_bytes


class TurnCache:
    """
    The turns that were stored or read lately.

    Each turn holds only what is new in it, so a chain takes as much memory as its
    content. The bytes count in `budget`, which may have entries evicted.
    """

    def __init__(self, max_bytes: int, budget: MemoryBudget) -> None:
        self._turns: OrderedDict[str, StoredTurn | SplitTurn] = OrderedDict()
        self._budget = budget
        self.max_bytes = max_bytes
        self.size_bytes = 0
        budget.add_cache(CACHE_OWNER, self._evict)

    def find(self, name: str) -> StoredTurn | SplitTurn | None:
        """Returns a turn, or None if it is not in memory."""
        turn = self._turns.get(name)
        count(Counter.TURN_CACHE, "miss" if turn is None else "hit")
        if turn is not None:
            self._turns.move_to_end(name)
        return turn

    def peek(self, name: str) -> StoredTurn | SplitTurn | None:
        """Returns a turn without counting a use of it, or None."""
        return self._turns.get(name)

    def add(self, turn: StoredTurn | SplitTurn) -> None:
        """Adds a turn that the store holds; evicts others if there is no room."""
        self.remove(turn.name)
        added_bytes = turn_bytes(turn)
        self._evict(self.size_bytes + added_bytes - self.max_bytes)
        has_room = self.size_bytes + added_bytes <= self.max_bytes
        if has_room and self._budget.reserve(CACHE_OWNER, added_bytes):
            self._turns[turn.name] = turn
            self.size_bytes += added_bytes
        set_gauge(Gauge.TURN_CACHE_BYTES, self.size_bytes)

    def remove(self, name: str) -> None:
        """Removes a turn if it is in memory."""
        turn = self._turns.pop(name, None)
        if turn is not None:
            self._release(turn)

    def _evict(self, size_bytes: int) -> None:
        """Evicts entries of so many bytes, or all of them."""
        while size_bytes > 0 and self._turns:
            _, evicted = self._turns.popitem(last=False)
            self._release(evicted)
            size_bytes -= turn_bytes(evicted)

    def _release(self, turn: StoredTurn | SplitTurn) -> None:
        self.size_bytes -= turn_bytes(turn)
        self._budget.release(CACHE_OWNER, turn_bytes(turn))
