"""Many VMs before one upstream that names a rate limit, without sockets or a store."""

import asyncio
from contextlib import AsyncExitStack
from types import SimpleNamespace
from typing import Any

from damasksaddle.exceptions import PeerUnreachable
from damasksaddle.utils import boottime_s
from damasksaddle_gateway.announcements import Announcements
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.interfaces import ResponseMetadata
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_gateway.upstream_limits import Permitted, UpstreamLimits
from damasksaddle_node.peers import Handlers, Sender

UPSTREAM = Upstream("u0", "svc", "127.0.0.1:1", "a", 4, False)
ONE_WAY_S = 0.005
ANSWER_S = 0.05


class LoopbackPeers:
    """Passes messages between the VMs of a fleet in this process."""

    def __init__(self, vm: str, fleet: "LimitedFleet") -> None:
        self._vm = vm
        self._fleet = fleet
        self.handlers = Handlers()

    async def request(self, vm: str, message: Any, timeout_s: float) -> Any:
        self._fleet.messages += 1
        if self._fleet.unreachable & {vm, self._vm}:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachable(vm)
        await asyncio.sleep(ONE_WAY_S)
        handler = self._fleet.peers[vm].handlers.unary[type(message)]
        response = await handler(message, Sender(self._vm, 0, timeout_s))
        await asyncio.sleep(ONE_WAY_S)
        return response


class LimitedFleet:
    """
    VMs that send requests to one upstream.

    The upstream names `limit_per_s` in its responses while that is set. VMs in
    `unreachable` get and send no messages. `arrivals_s` lists when requests arrived.
    """

    def __init__(self, size: int) -> None:
        self.limit_per_s: float | None = None
        self.unreachable: set[str] = set()
        self.arrivals_s: list[float] = []
        self.messages = 0
        self.peers: dict[str, LoopbackPeers] = {}
        self.limits: dict[str, UpstreamLimits] = {}
        self._stack = AsyncExitStack()
        self.vms = [f"vm-{number}" for number in range(size)]

    async def __aenter__(self) -> "LimitedFleet":
        membership: Any = SimpleNamespace(live_vms=lambda: self.vms)
        store: Any = SimpleNamespace(is_available=lambda: False)
        for vm in self.vms:
            peers: Any = LoopbackPeers(vm, self)
            self.peers[vm] = peers
            coordinators = Coordinators(vm, store, membership, peers)
            announcements = Announcements(vm, membership, peers)
            await self._stack.enter_async_context(announcements)
            self.limits[vm] = UpstreamLimits(coordinators, announcements)
            self.limits[vm].register_handlers(peers.handlers)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._stack.aclose()

    async def send(
        self, vm: str, max_wait_s: float = 0.0, answer_s: float = ANSWER_S
    ) -> bool:
        """Sends one request if it gets a permit; returns whether it did."""
        limits = self.limits[vm]
        if await limits.take_permit(UPSTREAM, max_wait_s) != Permitted():
            return False
        sent_s = boottime_s()
        self.arrivals_s.append(sent_s)
        named_per_s = self.limit_per_s
        await asyncio.sleep(answer_s)
        response = ResponseMetadata("r", True, False, False, named_per_s)
        limits.record_response(UPSTREAM, response, sent_s)
        return True

    async def send_steadily(self, vm: str, pause_s: float, until_s: float) -> None:
        while boottime_s() < until_s:
            await asyncio.gather(self.send(vm, pause_s), asyncio.sleep(pause_s))

    def most_in(self, window_s: float, from_s: float, until_s: float) -> int:
        """Returns the most arrivals in any window of a length."""
        arrivals_s = [at_s for at_s in self.arrivals_s if from_s <= at_s <= until_s]
        return max(
            sum(start_s <= at_s < start_s + window_s for at_s in arrivals_s)
            for start_s in arrivals_s
        )
