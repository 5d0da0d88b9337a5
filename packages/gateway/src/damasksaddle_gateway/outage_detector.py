"""
Distinguishes a store outage for all VMs from one that affects only this VM.

While the store does not respond to this VM, it asks a sample of other VMs whether the
store responds to them. If it responds to any of them, that VM can act instead and this
VM does not act without the store. Only if none of them reaches the store may
coordinators continue for a short time with their last known state.
"""

import asyncio
import math
import random

from mode import Service

from damasksaddle.exceptions import PeerError, Refusal
from damasksaddle.utils import boottime_s, get_logger
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_node.peers import Sender
from damasksaddle_protocol import StoreReach, StoreReached

log = get_logger("reach")

POLL_S = 0.2
PEER_TIMEOUT_S = 0.2
# Maximum time that a request waits for an outage to be confirmed. The VMs detect an
# outage within one read of the change feed.
CONFIRM_WAIT_S = 0.6
CONFIRM_POLL_S = 0.05
# If a third of the VMs have lost the store, the chance that a sample of this size
# contains only such VMs is 1 in 200,000.
MAX_SAMPLED_VMS = 12
# Time for which a confirmation is valid.
CONFIRMATION_TTL_S = 0.8
# A VM that has just started has never had a response.
MAX_SILENT_MS = 3_600_000
# Minimum share of the sampled VMs that must reply.
MIN_REPLY_SHARE = 0.5


class OutageDetector(Service):
    """Detects whether the store is unavailable to all VMs."""

    def __init__(
        self, vm: str, store: StoreCircuitBreaker, membership: Membership, peers: Peers
    ) -> None:
        super().__init__()
        self._vm = vm
        self._store = store
        self._membership = membership
        self._peers = peers
        self._confirmed_s = -math.inf
        # When the store last responded to any VM that replied, in the current outage.
        self.began_s = math.inf
        peers.handlers.add(StoreReach, self._on_store_reach)

    def is_confirmed(self) -> bool:
        """Tells whether other VMs confirmed the outage recently."""
        if self._store.is_available():
            return False
        return boottime_s() - self._confirmed_s < CONFIRMATION_TTL_S

    async def confirm(self) -> bool:
        """Waits for a short time until other VMs have detected the outage too."""
        deadline_s = boottime_s() + CONFIRM_WAIT_S
        while not self.is_confirmed():
            if self._store.is_available() or boottime_s() >= deadline_s:
                return False
            await asyncio.sleep(CONFIRM_POLL_S)
        return True

    async def _on_store_reach(
        self, message: StoreReach, sender: Sender
    ) -> StoreReached:
        silent_ms = min(self._store.silence_s() * 1000, MAX_SILENT_MS)
        return StoreReached(self._store.is_available(), int(silent_ms))

    @background_task
    async def _poll_during_outage(self) -> None:
        while not self.should_stop:
            await self._store.unavailable.wait()
            await self._ask_peers()
            await asyncio.sleep(POLL_S)

    async def _ask_peers(self) -> None:
        # A VM that does not respond may have started again and reach the store.
        registered = {*self._membership.registered_vms(), *self._membership.live_vms()}
        others = sorted(registered - {self._vm})
        if not self._membership.is_loaded():
            # A process that has just started does not know any other VM to ask.
            return
        sampled = random.sample(others, min(MAX_SAMPLED_VMS, len(others)))
        sent_s = boottime_s()
        replies = await asyncio.gather(*(self._ask_peer(vm) for vm in sampled))
        received = [reply for reply in replies if reply is not None]
        answered = any(reply.answers for reply in received)
        if answered or len(received) < MIN_REPLY_SHARE * len(sampled):
            return
        silences_s = [reply.silent_ms / 1000 for reply in received]
        began_s = sent_s - min([self._store.silence_s(), *silences_s])
        if self.is_confirmed():
            self.began_s = max(self.began_s, began_s)
        else:
            self.began_s = began_s
            log.warning(
                "The store is unavailable to all VMs that replied.",
                asked=len(sampled),
                answered=len(received),
            )
        self._confirmed_s = sent_s

    async def _ask_peer(self, vm: str) -> StoreReached | None:
        try:
            response = await self._peers.request(vm, StoreReach(), PEER_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.debug(
                "A peer did not report its store status.", peer=vm, error=repr(error)
            )
            return None
        return response if isinstance(response, StoreReached) else None
