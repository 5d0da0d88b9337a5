"""
The queue of a pool: fair queueing of workspaces, then least attained service.

The sort key of a call within its workspace is fixed while it waits. Both levels can
therefore be heaps, and a placement costs O(log n) for n queued calls.
"""

import heapq
import math
from dataclasses import dataclass

from damasksaddle.config import Policy
from damasksaddle.utils import FairShare
from damasksaddle_protocol import Place

# Each doubling of the tokens that a program has attained delays the effective arrival
# of its calls by this much. The total is at most 8 s for the largest program of R31,
# so no program starves.
DOUBLING_PENALTY_S = 0.5
PENALTY_BASE_TOKENS = 1000.0
# A call with a deadline is sorted as if it had to start this long before it.
DEADLINE_LEAD_S = 10.0
MS_PER_S = 1000


@dataclass(slots=True)
class QueuedCall:
    """A call that waits for an upstream."""

    place: Place
    queued_s: float
    weight: float
    number: int

    def sort_key(self) -> tuple[float, int]:
        """Returns the sort key within the workspace; the smallest goes first."""
        doublings = math.log2(1 + self.place.attained_tokens / PENALTY_BASE_TOKENS)
        effective_arrival_s = self.queued_s + DOUBLING_PENALTY_S * doublings
        if self.place.deadline_ms:
            latest_start_s = (
                self.queued_s + self.place.deadline_ms / MS_PER_S - DEADLINE_LEAD_S
            )
            effective_arrival_s = min(effective_arrival_s, latest_start_s)
        return effective_arrival_s, self.number


class CallQueue:
    """Queued calls, ordered by the policy of the pool."""

    def __init__(self) -> None:
        self.shares = FairShare()
        self._calls_by_workspace: dict[
            str, list[tuple[tuple[float, int], QueuedCall]]
        ] = {}
        self._workspace_heap: list[tuple[float, str]] = []
        self._current_entries: dict[str, float] = {}
        self._removed: set[int] = set()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, policy: Policy, call: QueuedCall, requeued: bool = False) -> None:
        """Adds a call; `requeued` is set for a call that could not be placed."""
        if policy is Policy.PROGRAM_FAIR:
            workspace, sort_key = call.place.workspace, call.sort_key()
        else:
            workspace, sort_key = "", (float(call.number), call.number)
        calls = self._calls_by_workspace.get(workspace)
        if calls is None:
            calls = self._calls_by_workspace[workspace] = []
            if not requeued:
                self.shares.activate(workspace)
            self._push_workspace(workspace)
        heapq.heappush(calls, (sort_key, call))
        self._size += 1

    def _push_workspace(self, workspace: str) -> None:
        """Adds a heap entry for a workspace, which invalidates the earlier one."""
        virtual_time = self._current_entries[workspace] = self.shares.virtual_time(
            workspace
        )
        heapq.heappush(self._workspace_heap, (virtual_time, workspace))

    def pop(self) -> QueuedCall | None:
        """Removes and returns the call to place next, None if there is none."""
        while self._workspace_heap:
            virtual_time, workspace = self._workspace_heap[0]
            if self._current_entries.get(workspace) != virtual_time:
                heapq.heappop(self._workspace_heap)
                continue
            calls = self._calls_by_workspace[workspace]
            while calls and calls[0][1].number in self._removed:
                self._removed.discard(heapq.heappop(calls)[1].number)
            if calls:
                self._size -= 1
                return heapq.heappop(calls)[1]
            heapq.heappop(self._workspace_heap)
            del self._calls_by_workspace[workspace], self._current_entries[workspace]
        return None

    def charge(self, call: QueuedCall, tokens: float) -> None:
        """Charges the workspace of a placed call."""
        workspace = call.place.workspace
        self.shares.system_virtual_time = max(
            self.shares.system_virtual_time, self.shares.virtual_time(workspace)
        )
        self.adjust_charge(workspace, tokens, call.weight)

    def adjust_charge(self, workspace: str, tokens: float, weight: float) -> None:
        """Corrects the charge of a workspace; negative values are a refund."""
        if tokens:
            self.shares.charge(workspace, tokens, weight)
            if workspace in self._calls_by_workspace:
                self._push_workspace(workspace)

    def remove(self, call: QueuedCall) -> None:
        """Removes a call whose caller has disconnected."""
        self._removed.add(call.number)
        self._size -= 1

    def clear(self) -> None:
        """Removes all calls."""
        self._calls_by_workspace.clear()
        self._workspace_heap.clear()
        self._current_entries.clear()
        self._removed.clear()
        self._size = 0
