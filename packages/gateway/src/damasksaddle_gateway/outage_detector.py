"""
Tells an outage of the store for all VMs from one for this VM only.

While the store does not answer, this VM asks some others whether it answers them. If
it answers anybody, that VM can act in place of this one, and this one does nothing
alone. Only if it answers none of them may holders go on for a short time on what they
know.
"""

import asyncio
import math
import random

from mode import Service

from damasksaddle.exceptions import PeerError, Refusal
from damasksaddle.utils import elapsed_s, get_log
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_node.peers import Sender
from damasksaddle_protocol import StoreReach, StoreReached

log = get_log("reach")

POLL_S = 0.2
PEER_TIMEOUT_S = 0.2
# How long a request may wait until an outage is confirmed: the VMs notice it within one
# read of the feed.
CONFIRM_WAIT_S = 0.6
CONFIRM_POLL_S = 0.05
# With a third of the VMs turned away, it is one in 200,000 that all of these are.
MAX_SAMPLED_VMS = 12
# What peers said is believed for this time.
CONFIRMATION_TTL_S = 0.8
# So many of those asked have to answer.
MIN_REPLY_SHARE = 0.5


class OutageDetector(Service):
    """Knows whether the store is away for all VMs."""

    def __init__(
        self, vm: str, store: StoreCircuitBreaker, membership: Membership, peers: Peers
    ) -> None:
        super().__init__()
        self._vm = vm
        self._store = store
        self._membership = membership
        self._peers = peers
        self._confirmed_s = -math.inf
        peers.handlers.add(StoreReach, self._on_store_reach)

    def is_confirmed(self) -> bool:
        """Tells whether an outage was confirmed by other VMs a moment ago."""
        if self._store.is_available():
            return False
        return elapsed_s() - self._confirmed_s < CONFIRMATION_TTL_S

    async def confirm(self) -> bool:
        """Waits a moment for other VMs to notice the outage too."""
        deadline_s = elapsed_s() + CONFIRM_WAIT_S
        while not self.is_confirmed():
            if self._store.is_available() or elapsed_s() >= deadline_s:
                return False
            await asyncio.sleep(CONFIRM_POLL_S)
        return True

    async def _on_store_reach(
        self, message: StoreReach, sender: Sender
    ) -> StoreReached:
        return StoreReached(self._store.is_available())

    @Service.task
    async def _poll_during_outage(self) -> None:
        while not self.should_stop:
            await self._store.unavailable.wait()
            await self._ask_peers()
            await asyncio.sleep(POLL_S)

    async def _ask_peers(self) -> None:
        others = [vm for vm in self._membership.live_vms() if vm != self._vm]
        if not self._membership.is_loaded():
            # A process that just started knows of nobody whom it could ask.
            return
        sampled = random.sample(others, min(MAX_SAMPLED_VMS, len(others)))
        sent_s = elapsed_s()
        replies = await asyncio.gather(*(self._ask_peer(vm) for vm in sampled))
        received = [reply for reply in replies if reply is not None]
        if any(received) or len(received) < MIN_REPLY_SHARE * len(sampled):
            return
        if not self.is_confirmed():
            log.warning(
                "The store is away for all VMs that answer.",
                asked=len(sampled),
                answered=len(received),
            )
        self._confirmed_s = sent_s

    async def _ask_peer(self, vm: str) -> bool | None:
        try:
            response = await self._peers.request(vm, StoreReach(), PEER_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.debug("A peer did not tell of the store.", peer=vm, error=repr(error))
            return None
        return response.answers if isinstance(response, StoreReached) else None
