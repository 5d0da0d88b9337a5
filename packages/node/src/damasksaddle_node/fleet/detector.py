"""
Failure detection: removes members whose lease has expired.

The lease row of each member is read by two watchers, preferably in other failure
domains. A member whose row has not changed for longer than a lease is suspected to
have failed; it is removed once a majority of the roster agrees.
"""

import asyncio
from dataclasses import dataclass
from itertools import chain, islice

from damasksaddle.exceptions import (
    MembershipChangePending,
    PeerError,
    PlatformError,
    Refusal,
    TableUnavailable,
    WriteConflict,
)
from damasksaddle.platform import Put, Table, VmList
from damasksaddle.utils import Counter, count, get_logger, rendezvous
from damasksaddle_node.fleet.changes import ChangeAcceptance
from damasksaddle_node.fleet.lease import lease_key
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.fleet.records import FleetRecord, VmRemoved
from damasksaddle_node.fleet.state import FleetState, Member
from damasksaddle_node.peers import PeerPool
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import Release, Released

log = get_logger("fleet")

WATCHERS_PER_MEMBER = 2
# Allows for clock drift between two VMs during one lease.
CLOCK_DRIFT_FACTOR = 1.1
ROSTER_RETRY_S = 0.1


class _MemberGone(Refusal):
    """The member has already been removed by another VM."""

    code = "member_gone"


@dataclass(slots=True)
class _LeaseObservation:
    """The version of a lease row and when this VM first read it."""

    version: int
    unchanged_since_s: float


def members_watched_by(vm_id: str, members: dict[str, Member]) -> list[str]:
    """
    Returns the members that a VM watches.

    Members are ordered by hash in a ring. A member is watched by the next two members
    of other failure domains, or by its next neighbours if there are too few of those.
    A ring costs one hash per member; ranking all pairs would cost one per pair.
    """
    ring = rendezvous("watch", members)
    return [
        member
        for index, member in enumerate(ring)
        if vm_id in _watchers(members[member], ring[index + 1 :], ring, members)
    ]


def _watchers(
    member: Member, successors: list[str], ring: list[str], members: dict[str, Member]
) -> list[str]:
    candidates = (peer for peer in chain(successors, ring) if peer != member.vm_id)
    other_domains: dict[str, None] = {}
    same_domain: dict[str, None] = {}
    for peer in islice(candidates, len(ring) - 1):
        in_other_domain = members[peer].failure_domain != member.failure_domain
        (other_domains if in_other_domain else same_domain)[peer] = None
        if len(other_domains) == WATCHERS_PER_MEMBER:
            break
    return [*other_domains, *same_domain][:WATCHERS_PER_MEMBER]


class FailureDetector:
    """Monitors the lease rows of the members that this VM watches."""

    def __init__(
        self,
        vm_id: str,
        table: Table,
        fleet: FleetLog,
        peers: PeerPool,
        changes: ChangeAcceptance,
        vm_list: VmList,
        timing: Timing,
    ) -> None:
        self._vm_id = vm_id
        self._name = vm_id.rpartition("-")[0]
        self._table = table
        self._fleet = fleet
        self._peers = peers
        self._changes = changes
        self._timing = timing
        self._observations: dict[str, _LeaseObservation] = {}
        self._watched: list[str] = []
        self._watched_epoch = 0
        self._vm_list = vm_list
        self._listed_members: set[str] = set()
        self._previous_members: set[str] = set()
        self._unlisted_since_s: dict[str, float] = {}

    def watched(self) -> list[str]:
        """Returns the members that this VM watches."""
        state = self._fleet.state
        if self._watched_epoch != state.epoch:
            self._watched_epoch = state.epoch
            self._watched = members_watched_by(self._vm_id, state.members)
        return self._watched

    async def monitor_leases(self) -> None:
        """Checks the watched rows three times per lease."""
        while True:
            await asyncio.sleep(self._timing.lease_s / 3)
            await self.read_vm_list()
            watched = self.watched()
            self._observations = {
                vm_id: observation
                for vm_id, observation in self._observations.items()
                if vm_id in watched
            }
            for vm_id in watched:
                try:
                    await self._check_lease(vm_id)
                except TableUnavailable as error:
                    # The state of rows that could not be read is unknown.
                    self._observations.clear()
                    log.debug("A lease row could not be read.", reason=error)
                    break

    def record_previous_members(self) -> None:
        """
        Records the members that joined before this process started.

        A VM list that contains this VM is newer than their joining, so it contains
        those of them that still run. This does not hold if a member with the name of
        this VM exists: the list may then date from before this start.
        """
        members = self._fleet.state.members
        if all(member.name != self._name for member in members.values()):
            self._previous_members = set(members)

    async def read_vm_list(self) -> None:
        """Updates the members that have been missing from the VM list for a lease."""
        try:
            names = {vm.name for vm in await self._vm_list.read()}
        except PlatformError as error:
            log.debug("The VM list could not be read.", reason=error)
            return
        if not names:
            # This VM is running, so an empty list is an error of the platform.
            return
        now_s = asyncio.get_running_loop().time()
        members = self._fleet.state.members
        present = {vm_id for vm_id, member in members.items() if member.name in names}
        if self._name in names:
            self._listed_members |= self._previous_members
        self._listed_members = (self._listed_members | present) & members.keys()
        unlisted = self._listed_members - present
        self._unlisted_since_s = {
            vm_id: self._unlisted_since_s.get(vm_id, now_s) for vm_id in unlisted
        }
        unlisted_timeout_s = self._timing.lease_s * CLOCK_DRIFT_FACTOR
        self._changes.unlisted = {
            vm_id
            for vm_id, since_s in self._unlisted_since_s.items()
            if now_s - since_s >= unlisted_timeout_s
        }

    async def _check_lease(self, vm_id: str) -> None:
        now_s = asyncio.get_running_loop().time()
        row = await self._table.get(lease_key(vm_id))
        if row is None:
            return
        observation = self._observations.get(vm_id)
        if observation is None or observation.version != row.version:
            observed_s = asyncio.get_running_loop().time()
            self._observations[vm_id] = _LeaseObservation(row.version, observed_s)
            return
        if (
            now_s - observation.unchanged_since_s
            >= self._timing.lease_s * CLOCK_DRIFT_FACTOR
        ):
            await self._remove(vm_id, row.version)

    async def _remove(self, vm_id: str, version: int) -> None:
        log.warning("A member's lease has expired.", vm=vm_id)
        # Peers agree for two leases. The attempts stop after one lease, so that a write
        # that is still in flight arrives before the agreement ends.
        deadline_s = asyncio.get_running_loop().time() + self._timing.lease_s
        try:
            async with asyncio.timeout_at(deadline_s):
                while not await self._try_to_remove(vm_id, version):
                    await asyncio.sleep(ROSTER_RETRY_S)
        except TimeoutError:
            log.warning("The removal of a member timed out.", vm=vm_id)
        except (WriteConflict, _MemberGone):
            self._observations.pop(vm_id, None)

    async def _try_to_remove(self, vm_id: str, version: int) -> bool:
        """Returns False if the roster changed and the attempt must be repeated."""
        try:
            epoch = await self._changes.confirmed_epoch()
        except MembershipChangePending:
            return False
        if not await self._majority_agrees(vm_id):
            log.warning("No majority agreed to the removal of a member.", vm=vm_id)
            return True

        def make_record(state: FleetState) -> FleetRecord:
            if vm_id not in state.members:
                raise _MemberGone
            if state.epoch != epoch:
                raise MembershipChangePending
            return VmRemoved(vm_id, by=self._vm_id)

        delete = Put(lease_key(vm_id), None, expected_version=version)
        try:
            await self._fleet.append(make_record, extra_puts=(delete,))
        except MembershipChangePending:
            return False
        count(Counter.MEMBER_REMOVALS)
        log.warning("A member was removed.", vm=vm_id)
        return True

    async def _majority_agrees(self, vm_id: str) -> bool:
        members = [peer for peer in self._fleet.state.members if peer != vm_id]
        # The suspected member has no vote, but it counts towards the roster's size.
        votes_needed = self._fleet.state.majority()
        tasks = [
            asyncio.create_task(self._request_release(peer, vm_id)) for peer in members
        ]
        try:
            for response in asyncio.as_completed(tasks):
                votes_needed -= await response
                if votes_needed == 0:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _request_release(self, peer: str, vm_id: str) -> bool:
        if peer in self._changes.unlisted:
            return True
        try:
            response = await self._peers.request(
                peer, Release(vm_id), self._timing.peer_timeout_s
            )
        except (PeerError, Refusal):
            return False
        return isinstance(response, Released) and response.granted
