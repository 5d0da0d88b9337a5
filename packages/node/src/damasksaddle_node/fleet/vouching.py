"""
Vouches: how a VM that cannot read the table proves that it is current.

A peer that vouches for a VM promises not to agree to its removal for a lease. A
watcher needs the agreement of a majority to remove a VM, so a removal and a
majority of vouches exclude each other.
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


class Vouching:
    """Answers `Vouch` and `Release`, and asks for vouches when they are needed."""

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
        """Registers the handlers of `Vouch` and `Release`."""
        handlers.add(Vouch, self.on_vouch)
        handlers.add(Release, self.on_release)

    async def on_vouch(self, message: Vouch, sender: Sender) -> Vouched:
        """Vouches for the sender, unless its removal was agreed to."""
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
        """Agrees not to vouch for a VM, unless a vouch for it still holds."""
        now_s = asyncio.get_running_loop().time()
        if self._vouched_until_s.get(message.vm_id, 0) > now_s:
            return Released(False)
        self._released_until_s[message.vm_id] = now_s + 2 * self._timing.lease_s
        return Released(True)

    async def renew_periodically(self) -> None:
        """Asks for vouches whenever the log has not been read for a while."""
        while True:
            await asyncio.sleep(self._timing.freshness_s / 4)
            age_s = asyncio.get_running_loop().time() - self._fleet.read_started_s
            if age_s > self._timing.freshness_s / 2 and not self._lease.revoked:
                await self.ask()

    async def ask(self) -> bool:
        """Asks all members once; returns whether a majority proved freshness."""
        started_s = asyncio.get_running_loop().time()
        members = list(self._fleet.state.members)
        answers = await asyncio.gather(*(self._ask_one(vm_id) for vm_id in members))
        granted = [answer for answer in answers if answer and answer.granted]
        if len(granted) < self._fleet.state.majority():
            return False
        self._lease.extend(started_s)
        if max(answer.cursor for answer in granted) > self._fleet.state.cursor:
            self._fleet.poll_now()
            return False
        self._freshness.vouched(started_s)
        return True

    async def _ask_one(self, vm_id: str) -> Vouched | None:
        message = Vouch(self._peers.vm_id, self._fleet.state.cursor)
        try:
            answer = await self._peers.request(
                vm_id, message, self._timing.freshness_s / 4
            )
        except (PeerError, Refusal):
            return None
        return answer if isinstance(answer, Vouched) else None
