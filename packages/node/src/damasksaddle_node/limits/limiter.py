"""Admission of requests by the owner of their workspace."""

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

RETRY_DELAY_S = 0.1
MS_PER_S = 1000


class Limiter:
    """
    Requests admission from workspace owners, and grants it for owned workspaces.

    `check_authority` raises a `Refusal` unless this VM's lease and freshness are valid.
    `confirm` returns None once a majority of the roster has applied a position of the
    fleet log.
    """

    def __init__(
        self,
        fleet: FleetLog,
        peers: PeerPool,
        timing: Timing,
        check_authority: Callable[[], None],
        confirm: Callable[[int], Awaitable[list[str] | None]],
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._timing = timing
        self._check_authority = check_authority
        self._confirm = confirm
        self._buckets: dict[str, TokenBucket] = {}
        self._bucket_locks: dict[str, asyncio.Lock] = {}
        self._last_owners: dict[str, str | None] = {}
        self._former_owners: dict[str, str] = {}
        # The time and log position at which this VM applied the last owner change of
        # a workspace.
        self._owner_changes: dict[str, tuple[float, int]] = {}
        self._newest_confirmed = (0, float("-inf"))
        self._tasks: set[asyncio.Task[None]] = set()
        self._handover_levels: dict[str, float] = {}
        self._known_workspaces: set[str] = set()
        self._new_workspaces: set[str] = set()
        fleet.add_listener(self._on_record)

    def register(self, handlers: Handlers) -> None:
        """Registers the handlers for `Acquire` and `BucketHandover`."""
        handlers.add(Acquire, self.on_acquire)
        handlers.add(BucketHandover, self.on_handover)

    async def acquire(self, workspace: str) -> float:
        """
        Waits for the admission of a request; returns the wait in seconds.

        The time until a failed owner is replaced does not count towards the maximum
        wait of the workspace, because the workspace did not cause it. Raises
        `RateExceeded` or `OwnerUnreachable`; the request has not run in that case.
        """
        limits = self._fleet.state.workspace(workspace)
        if limits is None:
            raise RouteForbidden(f"no document declares workspace {workspace}")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        max_wait_s = limits.max_wait_ms / MS_PER_S
        deadline_s = started_s + max(max_wait_s, self._timing.failover_timeout_s)
        while True:
            try:
                await self._request_admission(workspace, max_wait_s)
                return loop.time() - started_s
            except (PeerError, NotOwner, NotFresh, LeaseLapsed) as error:
                # The owner failed, changed or cannot prove that it is current. The
                # roster yields its successor once its removal is applied.
                if loop.time() + RETRY_DELAY_S >= deadline_s:
                    raise OwnerUnreachable(str(error), retry_after_s=1.0) from error
            await asyncio.sleep(RETRY_DELAY_S)

    async def _request_admission(self, workspace: str, max_wait_s: float) -> None:
        owner = self._fleet.state.owners.workspace(workspace)
        if owner is None:
            raise OwnerUnreachable("the fleet has no members")
        message = Acquire(workspace, int(max_wait_s * MS_PER_S))
        timeout_s = max_wait_s + self._timing.peer_timeout_s
        await self._peers.request(owner, message, timeout_s)

    async def on_acquire(self, message: Acquire, sender: Sender) -> Acquired:
        """Admits a request as the owner; raises `RateExceeded` or `NotOwner`."""
        started_s = asyncio.get_running_loop().time()
        await self._fleet.wait_for(sender.epoch, self._timing.peer_timeout_s)
        self._check_owner(message.workspace)
        bucket = await self._get_bucket(message.workspace)
        await bucket.acquire(message.max_wait_ms / MS_PER_S)
        waited_s = asyncio.get_running_loop().time() - started_s
        return Acquired(int(waited_s * MS_PER_S))

    def _check_owner(self, workspace: str) -> None:
        if self._fleet.state.owners.workspace(workspace) != self._peers.vm_id:
            raise NotOwner(f"not the owner of workspace {workspace}")

    async def _get_bucket(self, workspace: str) -> TokenBucket:
        async with self._bucket_locks.setdefault(workspace, asyncio.Lock()):
            limits = self._fleet.state.workspace(workspace)
            if limits is None:
                raise RateExceeded(f"no document declares workspace {workspace}")
            bucket = self._buckets.get(workspace)
            if bucket is None:
                bucket = await self._create_bucket(
                    workspace, limits.rate_per_s, limits.burst
                )
                self._check_owner(workspace)
                self._buckets[workspace] = bucket
            elif (bucket.rate_per_s, bucket.burst) != (
                limits.rate_per_s,
                limits.burst,
            ):
                bucket.set_limits(limits.rate_per_s, limits.burst)
            return bucket

    async def _create_bucket(
        self, workspace: str, rate_per_s: float, burst: int
    ) -> TokenBucket:
        """
        Creates the token bucket of a workspace.

        The bucket of a newly declared workspace starts full. After a handover it
        starts at the former owner's level. Without a handover it starts empty, at a
        time when no former owner can admit requests any more.
        """
        now_s = asyncio.get_running_loop().time()
        if workspace in self._new_workspaces:
            self._new_workspaces.discard(workspace)
            return TokenBucket(rate_per_s, burst, burst, now_s, self._check_authority)
        level = await self._request_former_level(workspace)
        if level is not None:
            now_s = asyncio.get_running_loop().time()
            return TokenBucket(rate_per_s, burst, level, now_s, self._check_authority)
        start_s = await self._safe_start_s(workspace)
        return TokenBucket(rate_per_s, burst, 0.0, start_s, self._check_authority)

    async def _safe_start_s(self, workspace: str) -> float:
        """
        Returns the time after which no former owner can admit requests.

        Raises `NotOwner` until a majority has applied the change of the owner. Until
        then, a former owner that has not seen the change can stay fresh through
        vouches, and its last proof is valid for another `freshness_s`.
        """
        changed_s, position = self._owner_changes[workspace]
        if self._newest_confirmed[0] < position:
            if await self._confirm(position) is not None:
                raise NotOwner("no majority has applied the change of the owner yet")
            now_s = asyncio.get_running_loop().time()
            self._newest_confirmed = max(self._newest_confirmed, (position, now_s))
        return max(changed_s, self._newest_confirmed[1]) + self._timing.freshness_s

    async def _request_former_level(self, workspace: str) -> float | None:
        former = self._former_owners.get(workspace)
        if former is None or former not in self._fleet.state.members:
            return None
        try:
            response = await self._peers.request(
                former, BucketHandover(workspace), self._timing.peer_timeout_s
            )
        except (PeerError, Refusal):
            return None
        if isinstance(response, BucketLevel) and response.level >= 0:
            return response.level
        return None

    async def on_handover(self, message: BucketHandover, sender: Sender) -> BucketLevel:
        """Hands over a workspace's bucket; returns its level."""
        await self._fleet.wait_for(sender.epoch, self._timing.peer_timeout_s)
        if self._fleet.state.owners.workspace(message.workspace) == self._peers.vm_id:
            raise EpochStale
        return BucketLevel(self._handover_levels.pop(message.workspace, -1.0))

    def _on_record(self, record: FleetRecord) -> None:
        """Tracks the owners of workspaces when the roster or a document changes."""
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
            if name not in self._known_workspaces:
                self._known_workspaces.add(name)
                if owner == self._peers.vm_id:
                    self._new_workspaces.add(name)
            elif owner != self._last_owners[name]:
                self._on_owner_change(name, owner)
            self._last_owners[name] = owner

    def _on_owner_change(self, workspace: str, owner: str | None) -> None:
        now_s = asyncio.get_running_loop().time()
        former = self._last_owners[workspace]
        if former == self._peers.vm_id:
            self._release_bucket(workspace)
        elif former is not None:
            self._former_owners[workspace] = former
        self._owner_changes[workspace] = (now_s, self._fleet.state.cursor)
        if owner == self._peers.vm_id:
            self._handover_levels.pop(workspace, None)
            # Created early, so that the first request need not wait for the handover.
            task = asyncio.create_task(self._prepare_bucket(workspace))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _prepare_bucket(self, workspace: str) -> None:
        try:
            self._check_owner(workspace)
            await self._get_bucket(workspace)
        except Refusal as error:
            log.debug("A bucket cannot be used yet.", workspace=workspace, reason=error)

    def _release_bucket(self, workspace: str) -> None:
        """Stops admission for a workspace that this VM no longer owns."""
        bucket = self._buckets.pop(workspace, None)
        if workspace in self._new_workspaces:
            self._new_workspaces.discard(workspace)
            limits = self._fleet.state.workspace(workspace)
            self._handover_levels[workspace] = float(limits.burst if limits else 0)
        elif bucket is not None:
            # A bucket that has not started still waits until an earlier owner cannot
            # admit any more. The next owner must wait for that as well, so no level
            # is handed over.
            if bucket.started():
                self._handover_levels[workspace] = bucket.level()
            bucket.close(NotOwner())
