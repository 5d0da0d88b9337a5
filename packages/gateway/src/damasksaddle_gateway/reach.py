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
from damasksaddle.utils import boottime_s, get_logger
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.roster import Roster
from damasksaddle_gateway.store import StoreGate
from damasksaddle_node.peers import Sender
from damasksaddle_protocol import StoreReach, StoreReached

log = get_logger("reach")

POLL_S = 0.2
PEER_TIMEOUT_S = 0.2
# How long a request may wait until an outage is confirmed: the VMs notice it within one
# read of the feed.
CONFIRM_WAIT_S = 0.6
CONFIRM_STEP_S = 0.05
# With a third of the VMs turned away, it is one in 200,000 that all of these are.
MAX_ASKED = 12
# What peers said is believed for this time.
BELIEF_S = 0.8
# So many of those asked have to answer.
MIN_ANSWERED_SHARE = 0.5


class Reach(Service):
    """Knows whether the store is away for all VMs."""

    def __init__(self, vm: str, store: StoreGate, roster: Roster, peers: Peers) -> None:
        super().__init__()
        self._vm = vm
        self._store = store
        self._roster = roster
        self._peers = peers
        self._confirmed_s = -math.inf
        peers.handlers.add(StoreReach, self._on_reach)

    def is_away_for_all(self) -> bool:
        """Tells whether an outage was confirmed by other VMs a moment ago."""
        if self._store.is_open():
            return False
        return boottime_s() - self._confirmed_s < BELIEF_S

    async def confirm(self) -> bool:
        """Waits a moment for other VMs to notice the outage too."""
        ends_s = boottime_s() + CONFIRM_WAIT_S
        while not self.is_away_for_all():
            if self._store.is_open() or boottime_s() >= ends_s:
                return False
            await asyncio.sleep(CONFIRM_STEP_S)
        return True

    async def _on_reach(self, message: StoreReach, sender: Sender) -> StoreReached:
        return StoreReached(self._store.is_open())

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            await self._store.closed.wait()
            await self._ask()
            await asyncio.sleep(POLL_S)

    async def _ask(self) -> None:
        others = [vm for vm in self._roster.alive() if vm != self._vm]
        if not self._roster.is_known():
            # A process that just started knows of nobody whom it could ask.
            return
        asked = random.sample(others, min(MAX_ASKED, len(others)))
        asked_s = boottime_s()
        told = await asyncio.gather(*(self._answers(vm) for vm in asked))
        answered = [answers for answers in told if answers is not None]
        if any(answered) or len(answered) < MIN_ANSWERED_SHARE * len(asked):
            return
        if not self.is_away_for_all():
            log.warning(
                "The store is away for all VMs that answer.",
                asked=len(asked),
                answered=len(answered),
            )
        self._confirmed_s = asked_s

    async def _answers(self, vm: str) -> bool | None:
        try:
            answer = await self._peers.request(vm, StoreReach(), PEER_TIMEOUT_S)
        except (PeerError, Refusal) as error:
            log.debug("A peer did not tell of the store.", peer=vm, error=repr(error))
            return None
        return answer.answers if isinstance(answer, StoreReached) else None
