"""
When a change counts as accepted.

A change is accepted when its row is in the fleet log and a majority of the roster
has applied it. A VM that is cut off from the table must hear from a majority that
nothing has changed, so one of them tells it of every accepted change.
"""

import asyncio

from damasksaddle.exceptions import PeerError, Refusal
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
        tasks = {
            vm_id: asyncio.create_task(self._ask(vm_id, position)) for vm_id in members
        }
        try:
            async with asyncio.timeout(self._timing.accept_wait_s):
                await asyncio.gather(*tasks.values())
        except TimeoutError:
            pass
        finally:
            for task in tasks.values():
                task.cancel()
        missing = [v for v, t in tasks.items() if not _confirmed(t)]
        confirmed = len(members) - len(missing)
        return None if confirmed >= self._fleet.state.majority() else missing

    async def _ask(self, vm_id: str, position: int) -> bool:
        while True:
            try:
                answer = await self._peers.request(
                    vm_id, ChangeHint(position), self._timing.accept_wait_s
                )
                if isinstance(answer, ChangeApplied) and answer.cursor >= position:
                    return True
            except (PeerError, Refusal):
                pass
            await asyncio.sleep(RETRY_S)


def _confirmed(task: "asyncio.Task[bool]") -> bool:
    return task.done() and not task.cancelled() and task.exception() is None
