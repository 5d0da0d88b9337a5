"""
Routes requests to the VM that coordinates a workspace's rate or a program's budget.

The coordinator is the first live VM in the rendezvous order of the name, so VMs usually
agree on it without exchanging messages. Correctness does not depend on that: a
coordinator acquires what it hands out from the store by compare-and-set, so if it does
not respond, the next VM in the order may take its place. What is handed out while the
store is unavailable needs a single holder; see `is_offline_holder`.
"""

import math
from collections.abc import Awaitable, Callable

from damasksaddle.exceptions import PeerError, StoreUnavailable
from damasksaddle.utils import boottime_s, get_logger, rendezvous
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.outage_detector import CONFIRM_WAIT_S
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_protocol import Message

log = get_logger("holders")

# Covers a round trip between failure domains and a few store calls.
PEER_TIMEOUT_S = 0.15
# Number of consecutive writes that a coordinator may need; each takes longer if the
# store is slow.
MAX_WRITES = 2
# The coordinator and the VMs that may take its place.
MAX_CANDIDATES = 3
STORE_RETRY_S = 0.5
# A VM that did not respond is tried last for this time, which is about how long it
# takes until a lost VM is no longer listed as live.
SUSPECT_PERIOD_S = 2.0


class Coordinators:
    """Sends requests to coordinators, which may be this VM itself."""

    def __init__(
        self, vm: str, store: StoreCircuitBreaker, membership: Membership, peers: Peers
    ) -> None:
        self.vm = vm
        self._store = store
        self._membership = membership
        self._peers = peers
        self._suspect_until_s: dict[str, float] = {}

    def order(self, name: str) -> list[str]:
        """
        Returns the coordinator for a name, and the VMs that may take its place.

        This VM is always part of it, also while it leaves.
        """
        order = rendezvous(name, self._membership.live_vms())
        return order if self.vm in order else [*order, self.vm]

    def is_coordinator(self, name: str) -> bool:
        """Tells whether this VM is the coordinator for a name."""
        return rendezvous(name, self._membership.live_vms())[0] == self.vm

    def is_offline_holder(self, name: str) -> bool:
        """
        Tells whether this VM is the one to grant a rate or a budget without the store.

        It may do so if it is settled; see `Membership.is_settled`.

        Live VMs differ between views for about two seconds after a VM was lost or came
        back, and they cannot converge once the store is unavailable. The holder of the
        right is therefore chosen from VMs on which all views agree.
        """
        return self._offline_holder(name) == self.vm

    def holder_since_s(self, name: str) -> float:
        """Returns since when this VM holds that right, or infinity if it does not."""
        since_s = math.inf
        for changed_s, vms in reversed(self._membership.registered_history):
            if not vms or rendezvous(name, vms)[0] != self.vm:
                break
            since_s = changed_s
        return since_s

    def _offline_holder(self, name: str) -> str | None:
        vms = self._membership.registered_vms()
        return rendezvous(name, vms)[0] if vms else None

    def _candidates(
        self, name: str, needs_store: bool, vms: list[str] | None = None
    ) -> list[str]:
        """
        Returns the VMs to try in order; recently failed VMs come last.

        While a store that the coordinator needs is unavailable, only the holder of the
        right to grant offline may act, so it comes first.
        """
        now_s = boottime_s()
        if vms is not None:
            order = list(vms)
        else:
            order = rendezvous(name, self._membership.live_vms())
        if self._store.is_available() or not needs_store:
            order.sort(key=lambda vm: self._suspect_until_s.get(vm, -math.inf) > now_s)
        elif (holder := self._offline_holder(name)) is not None:
            order = [holder, *(vm for vm in order if vm != holder)]
        candidates = order[:MAX_CANDIDATES]
        if self.vm not in candidates:
            if vms is not None and len(candidates) < MAX_CANDIDATES:
                candidates.append(self.vm)
            else:
                candidates[-1] = self.vm
        return candidates

    async def request(
        self,
        name: str,
        message: Message,
        handle_locally: Callable[[], Awaitable[Message]],
        wait_s: float,
        needs_store: bool = True,
        vms: list[str] | None = None,
    ) -> tuple[str, Message]:
        """
        Returns the VM that responded and its response.

        `wait_s` is how long the VM may hold the request before it responds, and
        `needs_store` whether it uses the store. The candidates are `vms` in their
        order, or all live VMs. Raises the coordinator's `Refusal`, or
        `StoreUnavailable` if no VM can respond.
        """
        candidates = self._candidates(name, needs_store, vms)
        if needs_store:
            if not self._store.is_available():
                # The coordinator may wait until the outage is confirmed.
                wait_s += CONFIRM_WAIT_S
            wait_s += MAX_WRITES * self._store.latency.extra_write_s()
        for vm in candidates:
            try:
                if vm == self.vm:
                    return vm, await handle_locally()
                timeout_s = PEER_TIMEOUT_S + wait_s
                return vm, await self._peers.request(vm, message, timeout_s)
            except (PeerError, StoreUnavailable, TimeoutError) as error:
                log.info(
                    "A coordinator failed to handle a request.",
                    name=name,
                    holder=vm,
                    asked=type(message).__name__,
                    error=repr(error),
                )
                if isinstance(error, PeerError):
                    self._suspect_until_s[vm] = boottime_s() + SUSPECT_PERIOD_S
        raise StoreUnavailable(
            f"{name}: no coordinator is available", retry_after_s=STORE_RETRY_S
        )
