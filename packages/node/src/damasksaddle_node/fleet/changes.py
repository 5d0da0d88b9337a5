"""
Quorum confirmation of changes to the fleet log.

A change is accepted once its row is in the fleet log and a majority of the roster
has applied it. A VM that cannot reach the table needs responses from a majority to
prove that it is up to date. Any two majorities share a member, so at least one of
the responses reports every accepted change.
"""

import asyncio

from damasksaddle.exceptions import MembershipChangePending, PeerError, Refusal
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.peers import Handlers, PeerPool, Sender
from damasksaddle_node.settings import Timing
from damasksaddle_protocol import ChangeApplied, ChangeHint

RETRY_DELAY_S = 0.1


class ChangeAcceptance:
    """Announces changes to all members and waits until a majority has applied them."""

    def __init__(self, fleet: FleetLog, peers: PeerPool, timing: Timing) -> None:
        self._fleet = fleet
        self._peers = peers
        self._timing = timing
        # Members that the platform's VM list used to contain and no longer does. They
        # cannot vouch for any VM, so they count as having confirmed every change and
        # approved every removal.
        self.unlisted: set[str] = set()
        self._background_tasks: set[asyncio.Task[str | None]] = set()

    def register(self, handlers: Handlers) -> None:
        """Registers the handler for `ChangeHint`."""
        handlers.add(ChangeHint, self.on_change_hint)

    async def on_change_hint(
        self, message: ChangeHint, sender: Sender
    ) -> ChangeApplied:
        """Reads the log; responds once the change is applied or on a timeout."""
        await self._fleet.wait_for(message.cursor, self._timing.accept_wait_s)
        return ChangeApplied(self._fleet.state.cursor)

    async def confirm(self, position: int) -> list[str] | None:
        """
        Waits until a majority has applied a position of the log.

        Returns None on success, and on a timeout the members that did not confirm.
        """
        members = list(self._fleet.state.members)
        unconfirmed = set(members) - self.unlisted
        if len(unconfirmed) < (len(members) + 1) // 2:
            return None
        tasks = [
            asyncio.create_task(self._request_confirmation(vm_id, position))
            for vm_id in unconfirmed
        ]
        # Remaining requests continue in the background, because a hint makes its
        # receiver apply the change immediately.
        self._background_tasks.update(tasks)
        for task in tasks:
            task.add_done_callback(self._background_tasks.discard)
        for completed in asyncio.as_completed(tasks):
            unconfirmed.discard(await completed or "")
            if len(members) - len(unconfirmed) > len(members) // 2:
                return None
        return sorted(unconfirmed)

    async def confirmed_epoch(self) -> int:
        """
        Returns the epoch once a majority has applied it.

        Raises `MembershipChangePending` if no majority confirms in time. A member may
        join or be removed only after that: majorities of two consecutive rosters
        always share a VM, but majorities of rosters further apart may not.
        """
        epoch = self._fleet.state.epoch
        if self._fleet.state.members and await self.confirm(epoch) is not None:
            raise MembershipChangePending(f"no majority has applied epoch {epoch}")
        return epoch

    async def _request_confirmation(self, vm_id: str, position: int) -> str | None:
        """Returns the member once it has applied the position, None on a timeout."""
        try:
            async with asyncio.timeout(self._timing.accept_wait_s):
                await self._request_until_applied(vm_id, position)
        except TimeoutError:
            return None
        return vm_id

    async def _request_until_applied(self, vm_id: str, position: int) -> None:
        while True:
            try:
                response = await self._peers.request(
                    vm_id, ChangeHint(position), self._timing.accept_wait_s
                )
                if isinstance(response, ChangeApplied) and response.cursor >= position:
                    return
            except (PeerError, Refusal):
                pass
            await asyncio.sleep(RETRY_DELAY_S)
