"""Asks a workspace's owner for admission, and answers as the owner."""

import asyncio
from collections.abc import Awaitable, Callable

from damasksaddle.exceptions import (
    EpochStale,
    LeaseLapsed,
    NotFresh,
    NotOwner,
    OwnerUnreachable,
    PeerError,
    RateExceeded,
    Refusal,
    RouteForbidden,
)
from damasksaddle.utils import get_logger
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.fleet.records import FleetRecord
from damasksaddle_node.limits.bucket import TokenBucket
from damasksaddle_node.peers import Handlers, PeerPool, Sender
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import (
    Acquire,
    Acquired,
    BucketHandover,
    BucketLevel,
)

log = get_logger("limits")

RETRY_S = 0.1
MS = 1000


class Limiter:
    """
    Admission of requests by workspace.

    `guard` raises a `Refusal` unless this VM's lease and freshness hold. `confirm`
    returns None once a majority of the roster has applied a position of the log.
    """

    def __init__(
        self,
        fleet: FleetLog,
        peers: PeerPool,
        timing: Timing,
        guard: Callable[[], None],
        confirm: Callable[[int], Awaitable[list[str] | None]],
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._timing = timing
        self._guard = guard
        self._confirm = confirm
        self._buckets: dict[str, TokenBucket] = {}
        self._opening: dict[str, asyncio.Lock] = {}
        self._owner: dict[str, str | None] = {}
        self._former_owner: dict[str, str] = {}
        # When the roster change took effect here that last moved a workspace away
        # from an owner, and at which position.
        self._moved: dict[str, tuple[float, int]] = {}
        self._confirmed = (0, float("-inf"))
        self._tasks: set[asyncio.Task[None]] = set()
        self._retired_levels: dict[str, float] = {}
        self._declared: set[str] = set()
        self._never_granted: set[str] = set()
        fleet.add_listener(self._on_record)

    def register(self, handlers: Handlers) -> None:
        """Registers the handlers of `Acquire` and `BucketHandover`."""
        handlers.add(Acquire, self.on_acquire)
        handlers.add(BucketHandover, self.on_handover)

    async def acquire(self, workspace: str) -> float:
        """
        Returns after how many seconds one request of a workspace was admitted.

        The time until an owner that failed has a successor does not count against
        the workspace's longest wait, because the workspace did not cause it. Raises
        `RateExceeded` or `OwnerUnreachable`; the request has then not run.
        """
        limits = self._fleet.state.workspace(workspace)
        if limits is None:
            raise RouteForbidden(f"no document declares workspace {workspace}")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        max_wait_s = limits.max_wait_ms / MS
        until_s = started_s + max(max_wait_s, self._timing.failover_timeout_s)
        while True:
            try:
                await self._ask(workspace, max_wait_s)
                return loop.time() - started_s
            except (PeerError, NotOwner, NotFresh, LeaseLapsed) as error:
                # The owner has failed, changed or may not act now; its successor is
                # found in the roster as soon as the removal is applied.
                if loop.time() + RETRY_S >= until_s:
                    raise OwnerUnreachable(str(error), retry_after_s=1.0) from error
            await asyncio.sleep(RETRY_S)

    async def _ask(self, workspace: str, max_wait_s: float) -> None:
        owner = self._fleet.state.owners.workspace(workspace)
        if owner is None:
            raise OwnerUnreachable("the fleet has no members")
        message = Acquire(workspace, int(max_wait_s * MS))
        timeout_s = max_wait_s + self._timing.peer_timeout_s
        await self._peers.request(owner, message, timeout_s)

    async def on_acquire(self, message: Acquire, sender: Sender) -> Acquired:
        """Admits one request at the owner; raises `RateExceeded` or `NotOwner`."""
        started_s = asyncio.get_running_loop().time()
        await self._fleet.wait_for(sender.epoch, self._timing.peer_timeout_s)
        self._check_owner(message.workspace)
        bucket = await self._bucket(message.workspace)
        await bucket.acquire(message.max_wait_ms / MS)
        waited_s = asyncio.get_running_loop().time() - started_s
        return Acquired(int(waited_s * MS))

    def _check_owner(self, workspace: str) -> None:
        if self._fleet.state.owners.workspace(workspace) != self._peers.vm_id:
            raise NotOwner(f"not the owner of workspace {workspace}")

    async def _bucket(self, workspace: str) -> TokenBucket:
        async with self._opening.setdefault(workspace, asyncio.Lock()):
            limits = self._fleet.state.workspace(workspace)
            if limits is None:
                raise RateExceeded(f"no document declares workspace {workspace}")
            bucket = self._buckets.get(workspace)
            if bucket is None:
                bucket = await self._open(workspace, limits.rate_per_s, limits.burst)
                self._check_owner(workspace)
                self._buckets[workspace] = bucket
            elif (bucket.rate_per_s, bucket.burst) != (
                limits.rate_per_s,
                limits.burst,
            ):
                bucket.set_limits(limits.rate_per_s, limits.burst)
            return bucket

    async def _open(self, workspace: str, rate_per_s: float, burst: int) -> TokenBucket:
        """
        Opens a bucket.

        A newly declared workspace starts with its whole burst. With a handover the
        bucket starts at the former owner's level; otherwise it starts empty, once
        no former owner can admit any more.
        """
        now_s = asyncio.get_running_loop().time()
        if workspace in self._never_granted:
            self._never_granted.discard(workspace)
            return TokenBucket(rate_per_s, burst, burst, now_s, self._guard)
        level = await self._level_of_former(workspace)
        if level is not None:
            now_s = asyncio.get_running_loop().time()
            return TokenBucket(rate_per_s, burst, level, now_s, self._guard)
        start_s = await self._former_stopped_s(workspace)
        return TokenBucket(rate_per_s, burst, 0.0, start_s, self._guard)

    async def _former_stopped_s(self, workspace: str) -> float:
        """
        Returns from when on no former owner can admit; raises `NotOwner`.

        A former owner that did not see the change stays fresh through vouches until
        a majority has applied it, and for `freshness_s` after its last proof.
        """
        moved_s, position = self._moved[workspace]
        if self._confirmed[0] < position:
            if await self._confirm(position) is not None:
                raise NotOwner("no majority has seen the change of the owner yet")
            now_s = asyncio.get_running_loop().time()
            self._confirmed = max(self._confirmed, (position, now_s))
        return max(moved_s, self._confirmed[1]) + self._timing.freshness_s

    async def _level_of_former(self, workspace: str) -> float | None:
        former = self._former_owner.get(workspace)
        if former is None or former not in self._fleet.state.members:
            return None
        try:
            answer = await self._peers.request(
                former, BucketHandover(workspace), self._timing.peer_timeout_s
            )
        except (PeerError, Refusal):
            return None
        if isinstance(answer, BucketLevel) and answer.level >= 0:
            return answer.level
        return None

    async def on_handover(self, message: BucketHandover, sender: Sender) -> BucketLevel:
        """Stops granting for a workspace and returns what is left."""
        await self._fleet.wait_for(sender.epoch, self._timing.peer_timeout_s)
        if self._fleet.state.owners.workspace(message.workspace) == self._peers.vm_id:
            raise EpochStale
        return BucketLevel(self._retired_levels.pop(message.workspace, -1.0))

    def _on_record(self, record: FleetRecord) -> None:
        """Notes which workspaces this VM gained with a change of the roster."""
        if not record.kind.startswith("vm_") and record.kind != "document_applied":
            return
        state = self._fleet.state
        names = {
            name
            for version in state.documents.values()
            for name in version.document.workspaces
        }
        for name in names:
            owner = state.owners.workspace(name)
            if name not in self._declared:
                self._declared.add(name)
                if owner == self._peers.vm_id:
                    self._never_granted.add(name)
            elif owner != self._owner[name]:
                self._on_move(name, owner)
            self._owner[name] = owner

    def _on_move(self, workspace: str, owner: str | None) -> None:
        now_s = asyncio.get_running_loop().time()
        former = self._owner[workspace]
        if former == self._peers.vm_id:
            self._retire(workspace)
        elif former is not None:
            self._former_owner[workspace] = former
        self._moved[workspace] = (now_s, self._fleet.state.cursor)
        if owner == self._peers.vm_id:
            self._retired_levels.pop(workspace, None)
            # Opened now, so that the first request does not wait for the handover.
            task = asyncio.create_task(self._open_early(workspace))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _open_early(self, workspace: str) -> None:
        try:
            self._check_owner(workspace)
            await self._bucket(workspace)
        except Refusal as error:
            log.debug("A bucket is not open yet.", workspace=workspace, reason=error)

    def _retire(self, workspace: str) -> None:
        """Stops granting for a workspace that this VM does not own any more."""
        bucket = self._buckets.pop(workspace, None)
        if workspace in self._never_granted:
            self._never_granted.discard(workspace)
            limits = self._fleet.state.workspace(workspace)
            self._retired_levels[workspace] = float(limits.burst if limits else 0)
        elif bucket is not None:
            # A bucket that has not started still waits for the owner before this
            # one, and so must the next.
            if bucket.started():
                self._retired_levels[workspace] = bucket.level()
            bucket.close(NotOwner())
