"""
The queue of a pool: fair between workspaces, then by attained service.

Ranks inside a workspace do not change while a call waits, so both levels are heaps
and a placement costs O(log queue).
"""

import heapq
import math
from collections import defaultdict
from dataclasses import dataclass, field

from damasksaddle.config import Policy
from damasksaddle_protocol import Place

# Each doubling of a program's attained tokens counts as this much later an arrival.
# The sum is at most 8 s at R31's largest program, so that no program starves.
LEVEL_S = 0.5
LEVEL_TOKENS = 1000.0
# A call with a deadline counts as if it had to start this long before it.
DEADLINE_LEAD_S = 10.0
MS = 1000


@dataclass(slots=True)
class Queued:
    """A call that waits for an upstream."""

    place: Place
    since_s: float
    weight: float
    number: int

    def rank(self) -> tuple[float, int]:
        """Returns the order of the call inside its workspace; the least is first."""
        levels = math.log2(1 + self.place.attained_tokens / LEVEL_TOKENS)
        rank_s = self.since_s + LEVEL_S * levels
        if self.place.deadline_ms:
            start_s = self.since_s + self.place.deadline_ms / MS - DEADLINE_LEAD_S
            rank_s = min(rank_s, start_s)
        return rank_s, self.number


@dataclass(slots=True)
class FairShare:
    """
    Virtual time per workspace: tokens served, divided by the weight.

    A workspace that was idle does not save up credit: `floor` is the virtual time
    of the workspace that was served last.
    """

    served: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    floor: float = 0.0

    def of(self, workspace: str) -> float:
        """Returns a workspace's virtual time."""
        return self.served[workspace]

    def arrive(self, workspace: str) -> None:
        """Forfeits the credit of a workspace that had no call in the queue."""
        self.served[workspace] = max(self.served[workspace], self.floor)

    def charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Adds service to a workspace's virtual time; less than 0 takes back."""
        self.served[workspace] += tokens / weight


class CallQueue:
    """Queued calls in the order of a policy."""

    def __init__(self) -> None:
        self.shares = FairShare()
        self._lines: dict[str, list[tuple[tuple[float, int], Queued]]] = {}
        self._turns: list[tuple[float, str]] = []
        self._turn_of: dict[str, float] = {}
        self._gone: set[int] = set()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, policy: Policy, call: Queued, again: bool = False) -> None:
        """Adds a call; `again` puts one back that was not placed."""
        if policy is Policy.PROGRAM_FAIR:
            workspace, rank = call.place.workspace, call.rank()
        else:
            workspace, rank = "", (float(call.number), call.number)
        line = self._lines.get(workspace)
        if line is None:
            line = self._lines[workspace] = []
            if not again:
                self.shares.arrive(workspace)
            self._turn(workspace)
        heapq.heappush(line, (rank, call))
        self._size += 1

    def _turn(self, workspace: str) -> None:
        """Enters a workspace at its virtual time; an earlier entry is void."""
        at = self._turn_of[workspace] = self.shares.of(workspace)
        heapq.heappush(self._turns, (at, workspace))

    def pop(self) -> Queued | None:
        """Removes and returns the call that is to be placed first."""
        while self._turns:
            at, workspace = self._turns[0]
            if self._turn_of.get(workspace) != at:
                heapq.heappop(self._turns)
                continue
            line = self._lines[workspace]
            while line and line[0][1].number in self._gone:
                self._gone.discard(heapq.heappop(line)[1].number)
            if line:
                self._size -= 1
                return heapq.heappop(line)[1]
            heapq.heappop(self._turns)
            del self._lines[workspace], self._turn_of[workspace]
        return None

    def charge(self, call: Queued, tokens: float) -> None:
        """Charges a call that was placed."""
        workspace = call.place.workspace
        self.shares.floor = max(self.shares.floor, self.shares.of(workspace))
        self.settle(workspace, tokens, call.weight)

    def settle(self, workspace: str, tokens: float, weight: float) -> None:
        """Adds to what a workspace was charged; less than 0 takes back."""
        if tokens:
            self.shares.charge(workspace, tokens, weight)
            if workspace in self._lines:
                self._turn(workspace)

    def remove(self, call: Queued) -> None:
        """Forgets a call whose caller has left."""
        self._gone.add(call.number)
        self._size -= 1

    def clear(self) -> None:
        """Forgets all calls."""
        self._lines.clear()
        self._turns.clear()
        self._turn_of.clear()
        self._gone.clear()
        self._size = 0
