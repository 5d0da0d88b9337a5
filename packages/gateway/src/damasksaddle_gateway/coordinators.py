"""
Finds the VM that keeps a workspace's rate or a program's budget.

The holder is the first of the live VMs by a hash of the name, so all VMs mostly agree
on it without a message. That is only for speed: what the holder hands out it took from
the store by compare-and-set, and where it cannot answer, the next one may.
"""

import math
from collections.abc import Awaitable, Callable

from damasksaddle.exceptions import PeerError, StoreUnavailable
from damasksaddle.utils import elapsed_s, get_log, rendezvous
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.outage_detector import CONFIRM_WAIT_S
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_protocol import Message

log = get_log("holders")

# A peer answers within a round trip between failure domains and a few store calls.
PEER_TIMEOUT_S = 0.15
# The holder and those that are asked in its place.
MAX_CANDIDATES = 3
STORE_RETRY_S = 0.5
# A VM that did not answer is not asked first for this time: about what it takes until
# a VM that is gone is no longer listed.
SUSPECT_PERIOD_S = 2.0


class Coordinators:
    """Asks holders, this VM among them."""

    def __init__(
        self, vm: str, store: StoreCircuitBreaker, membership: Membership, peers: Peers
    ) -> None:
        self._vm = vm
        self._store = store
        self._membership = membership
        self._peers = peers
        self._suspect_until_s: dict[str, float] = {}

    def is_coordinator(self, name: str) -> bool:
        """Tells whether this VM is the first that is asked."""
        return rendezvous(name, self._membership.live_vms())[0] == self._vm

    def _candidates(self, name: str) -> list[str]:
        """
        Returns whom to ask in turn; VMs that failed a moment ago come last.

        Without the store only the first may act, so the order is kept then.
        """
        now_s = elapsed_s()
        order = rendezvous(name, self._membership.live_vms())
        if self._store.is_available():
            order.sort(key=lambda vm: self._suspect_until_s.get(vm, -math.inf) > now_s)
        candidates = order[:MAX_CANDIDATES]
        if self._vm not in candidates:
            candidates[-1] = self._vm
        return candidates

    async def request(
        self,
        name: str,
        message: Message,
        handle_locally: Callable[[], Awaitable[Message]],
        wait_s: float,
    ) -> tuple[str, Message]:
        """
        Returns who answered, and the answer; `wait_s` is how long it may wait.

        Raises the holder's `Refusal`, or `StoreUnavailable` if nobody can answer.
        """
        candidates = self._candidates(name)
        if not self._store.is_available():
            # The holder may wait for an outage to be confirmed.
            wait_s += CONFIRM_WAIT_S
        for vm in candidates:
            try:
                if vm == self._vm:
                    return vm, await handle_locally()
                timeout_s = PEER_TIMEOUT_S + wait_s
                return vm, await self._peers.request(vm, message, timeout_s)
            except (PeerError, StoreUnavailable, TimeoutError) as error:
                log.info(
                    "A holder could not answer.",
                    name=name,
                    holder=vm,
                    asked=type(message).__name__,
                    error=repr(error),
                )
                if isinstance(error, PeerError):
                    self._suspect_until_s[vm] = elapsed_s() + SUSPECT_PERIOD_S
        raise StoreUnavailable(f"{name}: no holder", retry_after_s=STORE_RETRY_S)
