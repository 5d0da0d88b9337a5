"""
When a change counts as accepted.

A change is accepted when its row is in the fleet log and a majority of the roster
has applied it. A VM that is cut off from the table must hear from a majority that
nothing has changed, so one of them tells it of every accepted change.
"""

import asyncio

from damasksaddle.exceptions import MembershipChangePending, PeerError, Refusal
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.peers import Handlers, PeerPool, Sender
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import ChangeApplied, ChangeHint

RETRY_S = 0.1


class ChangeAcceptance:
    """Pushes changes to all members and waits until a majority has them."""

    def __init__(self, fleet: FleetLog, peers: PeerPool, timing: Timing) -> None:
        self._fleet = fleet
        self._peers = peers
        self._timing = timing
        # Members that the platform's VM list showed and no longer shows. They cannot
        # vouch for anybody, so they count as having applied and agreed to anything.
        self.unlisted: set[str] = set()
        self._asking: set[asyncio.Task[str | None]] = set()

    def register(self, handlers: Handlers) -> None:
        """Registers the handler of `ChangeHint`."""
        handlers.add(ChangeHint, self.on_hint)

    async def on_hint(self, message: ChangeHint, sender: Sender) -> ChangeApplied:
        """Reads the log and answers once the change is applied."""
        await self._fleet.wait_for(message.cursor, self._timing.accept_wait_s)
        return ChangeApplied(self._fleet.state.cursor)

    async def confirm(self, position: int) -> list[str] | None:
        """
        Returns None once a majority has applied a position.

        Otherwise returns the members that had not confirmed in time.
        """
        members = list(self._fleet.state.members)
        missing = set(members) - self.unlisted
        if len(missing) < (len(members) + 1) // 2:
            return None
        asking = [asyncio.create_task(self._ask(v, position)) for v in missing]
        # The others go on in the background: a hint makes them apply it at once.
        self._asking.update(asking)
        for task in asking:
            task.add_done_callback(self._asking.discard)
        for answered in asyncio.as_completed(asking):
            missing.discard(await answered or "")
            if len(members) - len(missing) > len(members) // 2:
                return None
        return sorted(missing)

    async def confirmed_epoch(self) -> int:
        """
        Returns the epoch once a majority has applied it; raises
        `MembershipChangePending`.

        The roster grows or loses a member only from there: two rosters that are one
        step apart share a VM in any two majorities, and rosters further apart do not.
        """
        epoch = self._fleet.state.epoch
        if self._fleet.state.members and await self.confirm(epoch) is not None:
            raise MembershipChangePending(f"no majority has applied epoch {epoch}")
        return epoch

    async def _ask(self, vm_id: str, position: int) -> str | None:
        """Returns the member once it has applied the position, None if too late."""
        try:
            async with asyncio.timeout(self._timing.accept_wait_s):
                await self._ask_until_applied(vm_id, position)
        except TimeoutError:
            return None
        return vm_id

    async def _ask_until_applied(self, vm_id: str, position: int) -> None:
        while True:
            try:
                answer = await self._peers.request(
                    vm_id, ChangeHint(position), self._timing.accept_wait_s
                )
                if isinstance(answer, ChangeApplied) and answer.cursor >= position:
                    return
            except (PeerError, Refusal):
                pass
            await asyncio.sleep(RETRY_S)
