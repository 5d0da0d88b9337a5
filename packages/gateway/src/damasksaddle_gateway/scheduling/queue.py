"""
The requests that wait for a slot of a service, and their order.

A workspace that was served more than its fair share goes after the others. Otherwise
requests of programs in progress go first, by slack, then those that begin a program, by
priority. Requests of programs that are late already go last.
"""

import heapq
import math
from collections import Counter
from dataclasses import dataclass
from enum import IntEnum

from damasksaddle.utils import FairShare
from damasksaddle_gateway.scheduling.requests import PlaceRequest

# A workspace is over its fair share if it was served this much more slot time than the
# waiting workspace that was served least: about five turns, so that the order of slack
# decides between workspaces that send about as much.
FAIR_LEAD_S = 1.0
# A workspace that sends less than its share keeps a credit of this much, and so goes
# before one that sends more. Without it, it would lose its lead each time it begins to
# wait. It exceeds the lead, so that it makes a difference.
CREDIT_S = 2.0


# The software version, the excluded upstreams, and whether the request may be repeated:
# what decides on the upstreams that can serve it, apart from its size.
Needs = tuple[str | None, frozenset[str], bool]


def needs_of(request: PlaceRequest) -> Needs:
    """Returns what a request needs of an upstream."""
    return request.software_version, request.excluded, request.retryable


class Precedence(IntEnum):
    """The classes of waiting requests; lower ones go first."""

    IN_PROGRESS = 0
    BEGINS = 1
    # The program cannot finish in time any more, which makes it worth little.
    LATE = 2


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """
    A request that waits.

    It has to start by `latest_start_s` to complete in time, and is rejected at
    `give_up_s`. `skipped_s` is when it was first passed over for lack of memory.
    """

    request: PlaceRequest
    submitted_s: float
    precedence: Precedence
    latest_start_s: float
    give_up_s: float
    number: int
    skipped_s: float = math.inf
    removed: bool = False

    def sort_key(self) -> tuple[float, float, int]:
        """Returns the sort key within the workspace; the smallest goes first."""
        first, second = self._urgency()
        return first, second, self.number

    def rank(self, served_s: float) -> tuple[float, float, float]:
        """Returns the sort key among workspaces, for one that was served so much."""
        first, second = self._urgency()
        if self.precedence is Precedence.IN_PROGRESS:
            return first, second, served_s
        return first, served_s, second

    def _urgency(self) -> tuple[float, float]:
        priority = float(self.request.priority)
        if self.precedence is Precedence.IN_PROGRESS:
            return self.latest_start_s, priority
        # Programs that cannot all begin begin by priority, so that an urgent kind is
        # not rejected more often than a less urgent one.
        return priority, self.latest_start_s


class _WorkspaceQueue:
    """The waiting requests of one workspace, a heap for each class."""

    def __init__(self) -> None:
        self.heaps: tuple[
            list[tuple[tuple[float, float, int], WaitingRequest]], ...
        ] = tuple([] for _ in Precedence)
        self.size = 0

    def head(self, precedence: Precedence) -> WaitingRequest | None:
        """Returns the first request of a class, after dropping removed ones."""
        heap = self.heaps[precedence]
        while heap and heap[0][1].removed:
            heapq.heappop(heap)
        return heap[0][1] if heap else None


class RequestQueue:
    """The waiting requests of a service."""

    def __init__(self) -> None:
        self.shares = FairShare()
        self._workspaces: dict[str, _WorkspaceQueue] = {}
        self._by_id: dict[str, WaitingRequest] = {}
        self._give_ups: list[tuple[float, int, WaitingRequest]] = []
        self._in_progress = 0
        self._begins_by_priority: dict[int, int] = {}
        self._needs: Counter[Needs] = Counter()

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, request_id: str) -> WaitingRequest | None:
        """Returns a waiting request."""
        return self._by_id.get(request_id)

    def requests(self) -> list[WaitingRequest]:
        """Returns all waiting requests, in no particular order."""
        return list(self._by_id.values())

    def push(self, waiting: WaitingRequest) -> None:
        """Adds a request that begins to wait."""
        workspace = waiting.request.workspace
        queue = self._workspaces.get(workspace)
        if queue is None:
            self._update_floor(workspace)
            self.shares.activate(workspace)
            queue = self._workspaces[workspace] = _WorkspaceQueue()
        heapq.heappush(queue.heaps[waiting.precedence], (waiting.sort_key(), waiting))
        queue.size += 1
        self._by_id[waiting.request.id] = waiting
        heapq.heappush(self._give_ups, (waiting.give_up_s, waiting.number, waiting))
        self._count(waiting, 1)

    def remove(self, waiting: WaitingRequest) -> None:
        """Removes a request, wherever it is in the order."""
        if waiting.removed:
            return
        waiting.removed = True
        del self._by_id[waiting.request.id]
        self._count(waiting, -1)
        workspace = waiting.request.workspace
        queue = self._workspaces[workspace]
        queue.size -= 1
        if not queue.size:
            del self._workspaces[workspace]

    def needs_only(self, needs: set[Needs]) -> bool:
        """Tells whether all waiting requests have one of these needs."""
        return self._needs.keys() <= needs

    def has_restricted(self) -> bool:
        """Tells whether some waiting request cannot use all upstreams."""
        return any(
            version is not None or excluded for version, excluded, _ in self._needs
        )

    def _count(self, waiting: WaitingRequest, change: int) -> None:
        needs = needs_of(waiting.request)
        self._needs[needs] += change
        if not self._needs[needs]:
            del self._needs[needs]
        if waiting.precedence is Precedence.IN_PROGRESS:
            self._in_progress += change
        elif waiting.precedence is Precedence.BEGINS:
            priority = waiting.request.priority
            count = self._begins_by_priority.get(priority, 0) + change
            self._begins_by_priority[priority] = count

    def take(self) -> WaitingRequest | None:
        """
        Takes the next request out of the order and returns it, or None.

        The caller passes it to `remove`, or to `restore` if it cannot be served now.
        """
        waiting = self._first()
        if waiting is not None:
            queue = self._workspaces[waiting.request.workspace]
            heapq.heappop(queue.heaps[waiting.precedence])
        return waiting

    def restore(self, skipped: list[WaitingRequest]) -> None:
        """Puts requests back that `take` returned and that still wait."""
        for waiting in skipped:
            if not waiting.removed:
                queue = self._workspaces[waiting.request.workspace]
                heapq.heappush(
                    queue.heaps[waiting.precedence], (waiting.sort_key(), waiting)
                )

    def _first(self) -> WaitingRequest | None:
        least_s = min(map(self.shares.virtual_time, self._workspaces), default=0.0)
        best: WaitingRequest | None = None
        best_key: tuple[float, ...] = ()
        for workspace, queue in self._workspaces.items():
            served_s = self.shares.virtual_time(workspace)
            over_share = served_s > least_s + FAIR_LEAD_S
            for precedence in Precedence:
                head = queue.head(precedence)
                if head is None:
                    continue
                is_late = precedence is Precedence.LATE
                key = (is_late, over_share, precedence, *head.rank(served_s))
                if best is None or key < best_key:
                    best, best_key = head, key
        return best

    def charge(self, workspace: str, slot_s: float) -> None:
        """Counts slot time that a workspace was granted."""
        self._update_floor(workspace)
        if not self._workspaces:
            # Nobody waits, so nobody is kept from a fair share.
            self.shares.activate(workspace)
        self.shares.charge(workspace, slot_s, 1.0)

    def _update_floor(self, workspace: str) -> None:
        """
        Updates the virtual time at which a workspace begins to wait.

        It is that of the waiting workspace served least, or of the last one served,
        less the credit.
        """
        floor_s = min(
            map(self.shares.virtual_time, self._workspaces),
            default=self.shares.virtual_time(workspace),
        )
        self.shares.system_virtual_time = max(
            self.shares.system_virtual_time, floor_s - CREDIT_S
        )

    def ahead_of(self, workspace: str, precedence: Precedence, priority: int) -> int:
        """
        Returns how many waiting requests go before a new one, estimated.

        A workspace has to wait for at most as many requests of each other workspace as
        it has itself.
        """
        own = self._workspaces.get(workspace)
        own_size = (own.size if own else 0) + 1
        by_share = sum(
            queue.size if name == workspace else min(queue.size, own_size)
            for name, queue in self._workspaces.items()
        )
        if precedence is Precedence.IN_PROGRESS:
            return min(by_share, self._in_progress)
        if precedence is Precedence.LATE:
            return len(self._by_id)
        by_priority = self._in_progress + sum(
            count
            for other, count in self._begins_by_priority.items()
            if other <= priority
        )
        return min(by_share, by_priority)

    def due_give_ups(self, now_s: float) -> list[WaitingRequest]:
        """Removes and returns the requests that have waited for as long as they may."""
        due = []
        while self._give_ups and (
            self._give_ups[0][2].removed or self._give_ups[0][0] <= now_s
        ):
            waiting = heapq.heappop(self._give_ups)[2]
            if not waiting.removed:
                self.remove(waiting)
                due.append(waiting)
        return due

    def next_give_up_s(self) -> float:
        """Returns when the next request has waited for as long as it may."""
        while self._give_ups and self._give_ups[0][2].removed:
            heapq.heappop(self._give_ups)
        return self._give_ups[0][0] if self._give_ups else math.inf
