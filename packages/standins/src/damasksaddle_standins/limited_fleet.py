"""Many VMs before one upstream that names a rate limit."""

import asyncio
from typing import Any

from damasksaddle.utils import boottime_s
from damasksaddle_gateway.announcements import Announcements
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.interfaces import ResponseMetadata
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_gateway.upstream_limits import Permitted, UpstreamLimits
from damasksaddle_standins.loopback_fleet import LoopbackFleet

UPSTREAM = Upstream("u0", "svc", "127.0.0.1:1", "a", 4, False)
ANSWER_S = 0.05


class LimitedFleet(LoopbackFleet):
    """
    VMs that send requests to one upstream.

    The upstream names `limit_per_s` in its responses while that is set. `arrivals_s`
    lists when requests arrived.
    """

    def __init__(self, size: int) -> None:
        super().__init__(size, self._add_limits)
        self.limit_per_s: float | None = None
        self.arrivals_s: list[float] = []
        self.limits: dict[str, UpstreamLimits] = {}

    def _add_limits(
        self,
        vm: str,
        coordinators: Coordinators,
        peers: Any,
        announcements: Announcements,
    ) -> None:
        self.limits[vm] = UpstreamLimits(coordinators, announcements)
        self.limits[vm].register_handlers(peers.handlers)

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
        """Sends a request after each pause, and lets each wait for that long."""
        while boottime_s() < until_s:
            await asyncio.gather(self.send(vm, pause_s), asyncio.sleep(pause_s))

    def most_in(self, window_s: float, from_s: float, until_s: float) -> int:
        """Returns the most arrivals in any window of a length."""
        arrivals_s = [at_s for at_s in self.arrivals_s if from_s <= at_s <= until_s]
        return max(
            sum(start_s <= at_s < start_s + window_s for at_s in arrivals_s)
            for start_s in arrivals_s
        )
