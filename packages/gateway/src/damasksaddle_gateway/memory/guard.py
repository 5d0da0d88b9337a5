"""
Decides which connections and requests of callers end to free memory and descriptors.

The guard knows all connections of callers. A request that needs memory while there is
none left is refused, after requests whose bodies make no progress have been ended.
"""

import asyncio
from collections import Counter as Tally
from collections.abc import Callable

from damasksaddle.exceptions import BodyTimeout
from damasksaddle.utils import Counter, Gauge, count, get_logger, set_gauge
from damasksaddle.utils.connections import (
    SMALL_REQUEST_BYTES,
    CallerConnection,
    Memory,
)
from damasksaddle.utils.memory import MemoryBudget
from damasksaddle_gateway.memory.limits import CONNECTION_BYTES
from damasksaddle_gateway.routing_config import Limits

log = get_logger("memory")

# Without progress for this time, a body or a reader may be ended to make room. Clients
# in use send or read many times in it.
STALL_S = 1.0
# A new connection is not closed as idle before the request that was sent with it has
# had time to arrive.
IDLE_S = 0.1
# Share of the budget that one workspace may hold, and one connection.
WORKSPACE_SHARE = 0.6
CONNECTION_SHARE = 0.5
SWEEP_INTERVAL_S = 0.25
# After a search for stalled connections that found none.
SEARCH_INTERVAL_S = 0.1
LOG_INTERVAL_S = 1.0


class ConnectionGuard:
    """Bounds the connections of callers and what they hold."""

    def __init__(
        self,
        budget: MemoryBudget,
        max_connections: int,
        name: str,
        limits: Callable[[], Limits],
    ) -> None:
        self.budget = budget
        self.max_connections = max_connections
        self._name = name
        self._limits = limits
        # In the order in which they were accepted.
        self._connections: dict[CallerConnection, None] = {}
        self._workspace_bytes: Tally[str] = Tally()
        self._next_search_s = 0.0
        self._next_log_s = 0.0
        # Set while a sweep is due; there is none without connections.
        self._sweep_handle: asyncio.TimerHandle | None = None
        self._is_started = False

    def start(self) -> None:
        """Starts to watch the connections; requires a running event loop."""
        self._is_started = True
        self._schedule_sweep()

    def stop(self) -> None:
        self._is_started = False
        if self._sweep_handle is not None:
            self._sweep_handle.cancel()
            self._sweep_handle = None

    def _schedule_sweep(self) -> None:
        """Schedules the next sweep, unless one is due or there are no connections."""
        if not self._is_started or not self._connections or self._sweep_handle:
            return
        loop = asyncio.get_running_loop()
        self._sweep_handle = loop.call_later(SWEEP_INTERVAL_S, self._run_sweep)

    # Connections

    def on_connected(self, connection: CallerConnection) -> bool:
        if len(self._connections) >= self.max_connections and not self._make_place():
            count(Counter.CONNECTIONS_CLOSED, "new")
            return False
        if not self.budget.reserve(Memory.CONNECTIONS, CONNECTION_BYTES, small=True):
            count(Counter.CONNECTIONS_CLOSED, "new")
            return False
        self._connections[connection] = None
        self._schedule_sweep()
        return True

    def on_disconnected(self, connection: CallerConnection) -> None:
        if connection in self._connections:
            del self._connections[connection]
            self.budget.release(Memory.CONNECTIONS, CONNECTION_BYTES)

    def _make_place(self) -> bool:
        """Closes the connection that is needed least; False if all are needed."""
        now_s = asyncio.get_running_loop().time()
        idle = [
            connection
            for connection in self._connections
            if connection.has_ended
            or (connection.is_idle and now_s - connection.read_s >= IDLE_S)
        ]
        if idle:
            self._close(min(idle, key=lambda connection: connection.read_s), "idle")
            return True
        stalled = self._stalled(now_s)
        if stalled:
            self._close(stalled[0], "stalled")
            return True
        return False

    def _close(self, connection: CallerConnection, state: str) -> None:
        count(Counter.CONNECTIONS_CLOSED, state)
        connection.abort(f"{state}, and its place is needed")
        self.on_disconnected(connection)

    # Memory

    def reserve(
        self, connection: CallerConnection, kind: Memory, size_bytes: int
    ) -> bool:
        needed_bytes = connection.held_bytes + size_bytes
        is_small = needed_bytes <= SMALL_REQUEST_BYTES
        if not is_small and not self._is_within_shares(connection, needed_bytes):
            count(Counter.MEMORY_REFUSALS, f"{kind}_share")
            return False
        if not self.budget.reserve(kind, size_bytes, is_small):
            self._make_room(size_bytes, is_small, connection)
            if not self.budget.reserve(kind, size_bytes, is_small):
                count(Counter.MEMORY_REFUSALS, kind)
                self._log_pressure(kind)
                return False
        self._workspace_bytes[connection.workspace] += size_bytes
        return True

    def release(
        self, connection: CallerConnection, kind: Memory, size_bytes: int
    ) -> None:
        self.budget.release(kind, size_bytes)
        self._forget(connection.workspace, size_bytes)

    def assign(self, connection: CallerConnection, workspace: str) -> None:
        """Counts what a connection holds for a workspace."""
        if workspace != connection.workspace:
            self._forget(connection.workspace, connection.held_bytes)
            self._workspace_bytes[workspace] += connection.held_bytes
            connection.workspace = workspace

    def _forget(self, workspace: str, size_bytes: int) -> None:
        self._workspace_bytes[workspace] -= size_bytes
        if self._workspace_bytes[workspace] <= 0:
            del self._workspace_bytes[workspace]

    def has_room(self, connection: CallerConnection, size_bytes: int) -> bool:
        """Tells whether a body of a known size fits, and makes room if it can."""
        is_small = connection.held_bytes + size_bytes <= SMALL_REQUEST_BYTES
        if self.budget.available(is_small) < size_bytes:
            self._make_room(size_bytes, is_small, connection)
        return self.budget.available(is_small) >= size_bytes

    def _is_within_shares(
        self, connection: CallerConnection, needed_bytes: int
    ) -> bool:
        limit_bytes = self.budget.limit_bytes
        if needed_bytes > CONNECTION_SHARE * limit_bytes:
            return False
        # Requests without a known key share one part.
        used_bytes = self._workspace_bytes[connection.workspace]
        return used_bytes < WORKSPACE_SHARE * limit_bytes

    def _make_room(
        self, size_bytes: int, is_small: bool, requester: CallerConnection
    ) -> None:
        """Ends stalled requests, those first that hold most and progress least."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_search_s:
            return
        for connection in self._stalled(now_s):
            if self.budget.available(is_small) >= size_bytes:
                return
            if connection is requester:
                continue
            if connection.is_reading_body:
                count(Counter.CONNECTIONS_CLOSED, "body")
                connection.refuse_body(
                    BodyTimeout("the body made no progress while memory was short")
                )
            else:
                count(Counter.CONNECTIONS_CLOSED, "stalled")
                connection.abort("stalled, and its memory is needed")
        if self.budget.available(is_small) < size_bytes:
            self._next_search_s = now_s + SEARCH_INTERVAL_S

    def _stalled(self, now_s: float) -> list[CallerConnection]:
        """Returns the connections that hold memory without progress, worst first."""
        stalls = {
            connection: stall_s * connection.held_bytes
            for connection in self._connections
            if (stall_s := self._stall_s(connection, now_s)) >= STALL_S
        }
        return sorted(stalls, key=lambda connection: -stalls[connection])

    @staticmethod
    def _stall_s(connection: CallerConnection, now_s: float) -> float:
        """Returns for how long a connection has waited for its caller."""
        # An idle connection still holds its last head.
        holds_head = connection.is_idle and (
            connection.head_started_s is not None
            or connection.held_bytes > SMALL_REQUEST_BYTES
        )
        if connection.is_reading_body and connection.has_small_chunks:
            # Its progress takes the time of others.
            return max(STALL_S, now_s - connection.read_s)
        if connection.is_reading_body or holds_head:
            return now_s - connection.read_s
        if connection.unsent_bytes:
            return now_s - connection.sent_s
        return 0.0

    def _log_pressure(self, kind: Memory) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_log_s:
            return
        self._next_log_s = now_s + LOG_INTERVAL_S
        log.warning(
            "The memory budget has no room.",
            needed_for=kind,
            limit_bytes=self.budget.limit_bytes,
            connections=len(self._connections),
            **{f"{owner}_bytes": size for owner, size in self._held().items()},
        )

    # Timeouts

    def _run_sweep(self) -> None:
        self._sweep_handle = None
        self.sweep(asyncio.get_running_loop().time())
        self._schedule_sweep()

    def sweep(self, now_s: float) -> None:
        """Closes connections whose head does not end or whose caller does not read."""
        limits = self._limits()
        for connection in list(self._connections):
            connection.account_unsent()
            started_s = connection.head_started_s
            if (
                started_s is not None
                and connection.is_idle
                and now_s - started_s > limits.header_timeout_ms / 1000
            ):
                count(Counter.CONNECTIONS_CLOSED, "head")
                connection.abort("a head did not end in time")
            elif (
                connection.unsent_bytes
                and now_s - connection.sent_s > limits.idle_timeout_ms / 1000
            ):
                count(Counter.CONNECTIONS_CLOSED, "reader")
                connection.abort("a response was not read in time")
        set_gauge(Gauge.CONNECTIONS, len(self._connections), self._name)
        for owner, size_bytes in self._held().items():
            set_gauge(Gauge.MEMORY_HELD, size_bytes, owner)

    def _held(self) -> dict[str, int]:
        return self.budget.held_bytes()
