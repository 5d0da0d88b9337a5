"""Asks the owner of a pool for an upstream."""

import asyncio

from damasksaddle.exceptions import (
    NotOwner,
    OwnerUnreachable,
    PeerError,
    Refusal,
    UpstreamUnavailable,
)
from damasksaddle.utils import get_log
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.peers import PeerPool
from damasksaddle_protocol import Finish, Place, Placed

log = get_log("pools")

RETRY_S = 0.2
FINISH_TIMEOUT_S = 2.0


class PoolClient:
    """Placement of calls, wherever the pool's owner is."""

    def __init__(self, fleet: FleetLog, peers: PeerPool) -> None:
        self._fleet = fleet
        self._peers = peers
        self._background: set[asyncio.Task[None]] = set()

    async def place(self, message: Place, timeout_s: float) -> Placed:
        """
        Returns the upstream for a call, after waiting in the pool's queue.

        Raises `UpstreamUnavailable` if there is none within the timeout.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        while True:
            left_s = until_s - loop.time()
            if left_s <= 0:
                raise UpstreamUnavailable("no upstream was free in time")
            owner = self._fleet.state.owners.pool(message.pool)
            if owner is None:
                raise OwnerUnreachable("the fleet has no members")
            try:
                answer = await self._peers.request(owner, message, left_s)
                assert isinstance(answer, Placed)
                return answer
            except (PeerError, NotOwner) as error:
                log.debug("A pool's owner did not place a call.", reason=error)
            await asyncio.sleep(RETRY_S)

    def finish(self, message: Finish) -> None:
        """Tells the pool's owner in the background that a call is over."""
        task = asyncio.create_task(self._finish(message))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _finish(self, message: Finish) -> None:
        owner = self._fleet.state.owners.pool(message.pool)
        if owner is None:
            return
        try:
            await self._peers.request(owner, message, FINISH_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            # The owner frees the slot when it hears of this VM's removal, or
            # was itself replaced.
            log.debug("The end of a call was not reported.", reason=error)
