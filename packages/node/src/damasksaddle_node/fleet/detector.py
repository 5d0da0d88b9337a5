"""
Removes members whose lease has run out.

Each member has two watchers, preferably in other failure domains, that read its
lease row. A row that did not change for longer than a lease makes the member
suspected; a majority of the roster must agree before it is removed.
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

WATCHERS = 2
# Covers the drift between two VMs' clocks during one lease.
CLOCK_MARGIN = 1.1
ROSTER_RETRY_S = 0.1


class _Gone(Refusal):
    """The member was removed meanwhile."""

    code = "member_gone"


@dataclass(slots=True)
class _Seen:
    version: int
    since_s: float


def watched_by(vm_id: str, members: dict[str, Member]) -> list[str]:
    """
    Returns the members that a VM watches.

    Members form a ring in the order of a hash; the next two of other failure domains
    watch a member, and its next neighbours if there are no other domains. A ring
    needs one hash per member, where ranking all pairs needs one per pair.
    """
    ring = rendezvous("watch", members)
    return [
        member
        for number, member in enumerate(ring)
        if vm_id in _watchers(members[member], ring[number + 1 :], ring, members)
    ]


def _watchers(
    member: Member, after: list[str], ring: list[str], members: dict[str, Member]
) -> list[str]:
    others = (other for other in chain(after, ring) if other != member.vm_id)
    found: dict[str, None] = {}
    near: dict[str, None] = {}
    for other in islice(others, len(ring) - 1):
        far = members[other].failure_domain != member.failure_domain
        (found if far else near)[other] = None
        if len(found) == WATCHERS:
            break
    return [*found, *near][:WATCHERS]


class FailureDetector:
    """Watches the lease rows that fall to this VM."""

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
        self._seen: dict[str, _Seen] = {}
        self._watched: list[str] = []
        self._watched_at = 0
        self._vm_list = vm_list
        self._listed: set[str] = set()
        self._earlier: set[str] = set()
        self._gone_since_s: dict[str, float] = {}

    def watched(self) -> list[str]:
        """Returns the members that this VM watches."""
        state = self._fleet.state
        if self._watched_at != state.epoch:
            self._watched_at = state.epoch
            self._watched = watched_by(self._vm_id, state.members)
        return self._watched

    async def monitor_leases(self) -> None:
        """Checks the watched rows three times per lease."""
        while True:
            await asyncio.sleep(self._timing.lease_s / 3)
            await self.read_vm_list()
            watched = self.watched()
            self._seen = {v: s for v, s in self._seen.items() if v in watched}
            for vm_id in watched:
                try:
                    await self._check(vm_id)
                except TableUnavailable as error:
                    # Nothing is known about rows that could not be read.
                    self._seen.clear()
                    log.debug("A lease row cannot be read.", reason=error)
                    break

    def record_previous_members(self) -> None:
        """
        Notes the members that were there before this process started.

        A list that shows this VM is newer than they are, so that it shows those
        that live. A name that was a member before proves nothing about the list.
        """
        members = self._fleet.state.members
        if all(member.name != self._name for member in members.values()):
            self._earlier = set(members)

    async def read_vm_list(self) -> None:
        """Notes members that the list should show and has not shown for a lease."""
        try:
            names = {vm.name for vm in await self._vm_list.read()}
        except PlatformError as error:
            log.debug("The VM list cannot be read.", reason=error)
            return
        if not names:
            # An empty list is a fault of the platform, because this VM runs.
            return
        now_s = asyncio.get_running_loop().time()
        members = self._fleet.state.members
        present = {v for v, member in members.items() if member.name in names}
        if self._name in names:
            self._listed |= self._earlier
        self._listed = (self._listed | present) & members.keys()
        gone = self._listed - present
        self._gone_since_s = {v: self._gone_since_s.get(v, now_s) for v in gone}
        wait_s = self._timing.lease_s * CLOCK_MARGIN
        self._changes.unlisted = {
            v for v, since_s in self._gone_since_s.items() if now_s - since_s >= wait_s
        }

    async def _check(self, vm_id: str) -> None:
        now_s = asyncio.get_running_loop().time()
        row = await self._table.get(lease_key(vm_id))
        if row is None:
            return
        seen = self._seen.get(vm_id)
        if seen is None or seen.version != row.version:
            answered_s = asyncio.get_running_loop().time()
            self._seen[vm_id] = _Seen(row.version, answered_s)
            return
        if now_s - seen.since_s >= self._timing.lease_s * CLOCK_MARGIN:
            await self._remove(vm_id, row.version)

    async def _remove(self, vm_id: str, version: int) -> None:
        log.warning("A member's lease has run out.", vm=vm_id)
        # The agreement ends after two leases; a write that may still be on its way
        # must have arrived by then.
        until_s = asyncio.get_running_loop().time() + self._timing.lease_s
        try:
            async with asyncio.timeout_at(until_s):
                while not await self._try_to_remove(vm_id, version):
                    await asyncio.sleep(ROSTER_RETRY_S)
        except TimeoutError:
            log.warning("A removal took too long.", vm=vm_id)
        except (WriteConflict, _Gone):
            self._seen.pop(vm_id, None)

    async def _try_to_remove(self, vm_id: str, version: int) -> bool:
        """Returns False if the roster must settle first, which takes a moment."""
        try:
            epoch = await self._changes.confirmed_epoch()
        except MembershipChangePending:
            return False
        if not await self._agreed(vm_id):
            log.warning("No majority agrees to the removal.", vm=vm_id)
            return True

        def check(state: FleetState) -> FleetRecord:
            if vm_id not in state.members:
                raise _Gone
            if state.epoch != epoch:
                raise MembershipChangePending
            return VmRemoved(vm_id, by=self._vm_id)

        delete = Put(lease_key(vm_id), None, expected_version=version)
        try:
            await self._fleet.append(check, extra_puts=(delete,))
        except MembershipChangePending:
            return False
        count(Counter.MEMBER_REMOVALS)
        log.warning("A member was removed.", vm=vm_id)
        return True

    async def _agreed(self, vm_id: str) -> bool:
        members = [other for other in self._fleet.state.members if other != vm_id]
        # The suspected member cannot vouch for itself, but its seat counts.
        needed = self._fleet.state.majority()
        tasks = [asyncio.create_task(self._ask(other, vm_id)) for other in members]
        try:
            for answer in asyncio.as_completed(tasks):
                needed -= await answer
                if needed == 0:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _ask(self, other: str, vm_id: str) -> bool:
        if other in self._changes.unlisted:
            return True
        try:
            answer = await self._peers.request(
                other, Release(vm_id), self._timing.peer_timeout_s
            )
        except (PeerError, Refusal):
            return False
        return isinstance(answer, Released) and answer.granted
