"""
VMs of a gateway fleet that exchange messages within this process.

Sockets and a store are not needed, so hundreds of VMs run on a simulated clock.
Subclasses add the part of a VM that is played.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
from types import SimpleNamespace
from typing import Any, Self

from damasksaddle.exceptions import PeerTimeout, PeerUnreachable
from damasksaddle_gateway.announcements import Announcements
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_node.peers import Handlers, Sender

ONE_WAY_S = 0.005


class LoopbackPeers:
    """Passes messages between the VMs of a fleet."""

    def __init__(self, vm: str, fleet: "LoopbackFleet") -> None:
        self._vm = vm
        self._fleet = fleet
        self.handlers = Handlers()
        self._connected: set[str] = set()

    async def request(self, vm: str, message: Any, timeout_s: float) -> Any:
        """Returns the response of a VM; raises `PeerUnreachable` without one."""
        self._fleet.messages += 1
        if self._fleet.unreachable & {vm, self._vm}:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachable(vm)
        if vm in self._fleet.broken_connections:
            self._fleet.broken_connections.discard(vm)
            raise PeerUnreachable(vm)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(vm, message, timeout_s)
        except TimeoutError as error:
            raise PeerTimeout(vm) from error

    async def connect(self, vm: str, timeout_s: float) -> None:
        """Connects to a VM; raises `PeerUnreachable`."""
        await asyncio.sleep(2 * self._fleet.one_way_s)
        if self._fleet.unreachable & {vm, self._vm}:
            raise PeerUnreachable(vm)
        self._connected.add(vm)

    def post(self, vm: str, message: Any) -> object | None:
        """Sends a message without a response; returns the process that gets it."""
        fleet = self._fleet
        peer = fleet.peers[vm]
        lost = {*fleet.broken_connections, *fleet.unreachable}
        if vm not in self._connected or lost & {vm, self._vm}:
            self._connected.discard(vm)
            fleet.broken_connections.discard(vm)
            return None
        fleet.messages += 1
        fleet.sent[type(message)] += 1
        sender = Sender(self._vm, 0)
        handler = peer.handlers.one_way[type(message)]
        asyncio.get_running_loop().call_later(fleet.one_way_s, handler, message, sender)
        return peer

    def disconnect_if_silent(self, vm: str, silent_s: float) -> None:
        """Does nothing: messages need no connections."""

    async def _exchange(self, vm: str, message: Any, timeout_s: float) -> Any:
        fleet = self._fleet
        fleet.sent[type(message)] += 1
        await asyncio.sleep(fleet.one_way_s)
        await fleet.pass_link(self._vm, vm)
        handler = fleet.peers[vm].handlers.unary[type(message)]
        response = await handler(message, Sender(self._vm, 0, timeout_s))
        await asyncio.sleep(fleet.one_way_s)
        await fleet.pass_link(self._vm, vm)
        return response


class LoopbackFleet:
    """
    VMs with coordinators and announcements; their store is unavailable.

    VMs in `unreachable` get and send no messages, and no message passes between the two
    VMs of a link in `cut_links`. `sent` counts messages by type. `add_part` is called
    for each VM.
    """

    def __init__(
        self,
        size: int,
        add_part: Callable[[str, Coordinators, Any, Announcements], None],
    ) -> None:
        self.vms = [f"vm-{number}" for number in range(size)]
        self.unreachable: set[str] = set()
        # VMs to which the next message is lost.
        self.broken_connections: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.messages = 0
        self.one_way_s = ONE_WAY_S
        self.sent: Counter[type] = Counter()
        self.peers: dict[str, LoopbackPeers] = {}
        self._add_part = add_part
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        for vm in self.vms:
            await self.start(vm)
        return self

    async def pass_link(self, vm: str, other: str) -> None:
        """Returns once messages pass between two VMs."""
        while frozenset((vm, other)) in self.cut_links or self.unreachable & {
            vm,
            other,
        }:
            await asyncio.sleep(ONE_WAY_S)

    async def start(self, vm: str) -> None:
        """Starts the process of a VM, or replaces it by one that knows nothing."""
        membership: Any = SimpleNamespace(
            live_vms=lambda: self.vms, is_loaded=lambda: len(self.peers) > 1
        )
        store: Any = SimpleNamespace(is_available=lambda: False)
        peers: Any = LoopbackPeers(vm, self)
        self.peers[vm] = peers
        announcements = Announcements(vm, membership, peers)
        await self._stack.enter_async_context(announcements)
        coordinators = Coordinators(vm, store, membership, peers)
        self._add_part(vm, coordinators, peers, announcements)

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()
