"""
Vouches: how a VM that cannot read the table proves that it is up to date.

A peer that vouches for a VM does not agree to the VM's removal for one lease. A
watcher needs the agreement of a majority to remove a VM, and any two majorities
share a member. A VM with current vouches from a majority can therefore not be
removed.
"""

import asyncio

from damasksaddle.exceptions import PeerError, Refusal
from damasksaddle.utils import get_logger
from damasksaddle_node.fleet.lease import Freshness, Lease
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.peers import Handlers, PeerPool, Sender
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import Release, Released, Vouch, Vouched

log = get_logger("fleet")

# Rounds of vouches in the time that a proof of freshness lasts. A round ends before the
# next one starts, and the first starts in the middle of that time.
ROUNDS_PER_FRESHNESS = 4
# Lets the clock pass the time that a round is due; well below the length of a round.
MIN_WAIT_S = 0.02


class Vouching:
    """Handles `Vouch` and `Release`, and requests vouches when they are needed."""

    def __init__(
        self,
        fleet: FleetLog,
        lease: Lease,
        freshness: Freshness,
        peers: PeerPool,
        timing: Timing,
    ) -> None:
        self._fleet = fleet
        self._lease = lease
        self._freshness = freshness
        self._peers = peers
        self._timing = timing
        self._vouched_until_s: dict[str, float] = {}
        self._released_until_s: dict[str, float] = {}

    def register(self, handlers: Handlers) -> None:
        """Registers the handlers for `Vouch` and `Release`."""
        handlers.add(Vouch, self.on_vouch)
        handlers.add(Release, self.on_release)

    async def on_vouch(self, message: Vouch, sender: Sender) -> Vouched:
        """Vouches for the sender unless this VM has agreed to its removal."""
        now_s = asyncio.get_running_loop().time()
        if message.cursor > self._fleet.state.cursor:
            self._fleet.poll_now()
        granted = (
            message.vm_id == sender.vm_id
            and message.vm_id in self._fleet.state.members
            and self._released_until_s.get(message.vm_id, 0) <= now_s
        )
        if granted:
            self._vouched_until_s[message.vm_id] = now_s + self._timing.lease_s
        return Vouched(self._fleet.state.cursor, granted)

    async def on_release(self, message: Release, sender: Sender) -> Released:
        """Agrees to a VM's removal unless a vouch for that VM is still valid."""
        now_s = asyncio.get_running_loop().time()
        if self._vouched_until_s.get(message.vm_id, 0) > now_s:
            return Released(False)
        self._released_until_s[message.vm_id] = now_s + 2 * self._timing.lease_s
        return Released(True)

    async def renew_periodically(self) -> None:
        """Requests vouches while the last complete read of the log is too old."""
        loop = asyncio.get_running_loop()
        freshness_s = self._timing.freshness_s
        while True:
            # Two rounds fit into the rest of `freshness_s`, so that one may fail.
            due_s = self._fleet.read_started_s + freshness_s / 2
            next_round_s = loop.time() + freshness_s / ROUNDS_PER_FRESHNESS
            if due_s > loop.time():
                next_round_s = due_s
            elif not self._lease.revoked:
                await self.request_vouches()
            await asyncio.sleep(max(next_round_s - loop.time(), MIN_WAIT_S))

    async def request_vouches(self) -> bool:
        """Requests vouches from all members; returns whether they prove freshness."""
        started_s = asyncio.get_running_loop().time()
        members = list(self._fleet.state.members)
        responses = await asyncio.gather(
            *(self._request_vouch(vm_id) for vm_id in members)
        )
        granted = [response for response in responses if response and response.granted]
        if len(granted) < self._fleet.state.majority():
            return False
        self._lease.extend(started_s)
        if max(response.cursor for response in granted) > self._fleet.state.cursor:
            self._fleet.poll_now()
            return False
        self._freshness.record_vouches(started_s)
        return True

    async def _request_vouch(self, vm_id: str) -> Vouched | None:
        message = Vouch(self._peers.vm_id, self._fleet.state.cursor)
        try:
            response = await self._peers.request(
                vm_id, message, self._timing.freshness_s / ROUNDS_PER_FRESHNESS
            )
        except (PeerError, Refusal):
            return None
        return response if isinstance(response, Vouched) else None
