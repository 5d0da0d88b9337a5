"""VMs that ask each other's schedulers for slots, before upstreams that only count."""

import asyncio
from collections import Counter, deque
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from multidict import CIMultiDict

from damasksaddle.utils import boottime_s, rendezvous
from damasksaddle_gateway.announcements import Announcements
from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.interfaces import RequestMetadata
from damasksaddle_gateway.routing_config import (
    Idempotent,
    Route,
    RoutingConfig,
    Service,
    Target,
    Upstream,
    Workspace,
)
from damasksaddle_gateway.scheduling.client import NoPlace, Place, SchedulingClient
from damasksaddle_gateway.scheduling.requests import Outcome, OutcomeKind
from damasksaddle_gateway.scheduling.service import SchedulerService
from damasksaddle_standins.gateway_load import gateway_settings
from damasksaddle_standins.loopback_fleet import LoopbackFleet

SERVICE = Service("svc", 0)
COLD_SERVICE = replace(SERVICE, cold_start_s=3.0, cold_per_s=25.0)
WORKSPACE = Workspace("ws")
ROUTE = Route(
    name="route",
    host="host",
    prefix="/",
    kind=Idempotent(),
    targets=(Target("svc", 1.0),),
    timeout_ms=5000.0,
    target_latency_ms=500.0,
    priority=0,
    max_attempts=2,
    public=False,
    keeps_history=True,
)


class ScheduledFleet(LoopbackFleet):
    """
    VMs that send requests to the upstreams of one service.

    `live` lists the VMs that all VMs take for live. `most_running` and `arrivals_s` say
    what the upstreams saw, and `local` how often VMs decided without a scheduler.
    """

    def __init__(
        self, size: int, upstreams: int = 4, service: Service = SERVICE, slots: int = 4
    ) -> None:
        super().__init__(size, self._add_scheduling)
        self.live = list(self.vms)
        self.upstreams = {
            f"u{number}": Upstream(
                f"u{number}", "svc", f"127.0.0.1:{number}", "a", slots, False, 1
            )
            for number in range(upstreams)
        }
        self.service = service
        self.config = RoutingConfig(
            1, (ROUTE,), {"svc": service}, {"ws": WORKSPACE}, {}
        )
        self.services: dict[str, SchedulerService] = {}
        self.clients: dict[str, SchedulingClient] = {}
        self.running: Counter[str] = Counter()
        self.most_running: Counter[str] = Counter()
        self.arrivals_s: dict[str, deque[float]] = {}
        self.local = 0
        self._parts: list[Any] = []
        self._number = 0

    @property
    def order(self) -> list[str]:
        """Returns the VMs in the order in which they schedule."""
        return rendezvous("svc", self.live)

    def _add_scheduling(
        self,
        vm: str,
        coordinators: Coordinators,
        peers: Any,
        announcements: Announcements,
    ) -> None:
        membership: Any = SimpleNamespace(
            is_loaded=lambda: True,
            live_vms=lambda: self.live,
            large_vms=lambda: self.live,
            failure_domain=lambda vm: "a",
            is_present=lambda vm: vm in self.live,
        )
        watcher: Any = SimpleNamespace(
            config=self.config,
            upstreams=self.upstreams,
            evacuated=frozenset(),
            is_leaving=lambda upstream: False,
        )
        settings = gateway_settings(vm, cold_overrun=1.5, cold_slack=5.0)
        service = SchedulerService(watcher, membership, settings)
        service.register_handlers(peers.handlers)
        self.services[vm] = service
        self.clients[vm] = SchedulingClient(
            watcher, membership, peers, service, lambda upstreams: frozenset()
        )
        self._parts += [service, self.clients[vm]]

    async def start(self, vm: str) -> None:
        """Starts the process of a VM, or replaces it by one that knows nothing."""
        await super().start(vm)
        for part in self._parts:
            await self._stack.enter_async_context(part)
        self._parts.clear()

    def call(self, timeout_s: float = 5.0) -> Call:
        """Returns a new request."""
        self._number += 1
        metadata = RequestMetadata(
            request_id=f"r{self._number}",
            key="",
            deadline_ms=None,
            program=None,
            prompt_tokens=0,
            max_output_tokens=0,
            prompt_parts=(),
            last_event_id="",
            forwarded=CIMultiDict(),
        )
        now_s = boottime_s()
        return Call(
            metadata=metadata,
            route=ROUTE,
            service=self.service,
            workspace=WORKSPACE,
            method="POST",
            raw_path="/",
            body=b"",
            fingerprints=(),
            started_s=now_s,
            deadline_s=now_s + timeout_s,
            last_event_id="",
        )

    async def send(
        self, vm: str, work_s: float = 0.05, timeout_s: float = 5.0
    ) -> Place | NoPlace | None:
        """Sends a request once it has a slot, and gives the slot back afterwards."""
        client = self.clients[vm]
        call = self.call(timeout_s)
        place = await client.acquire(call, None, ())
        if place is None:
            self.local += 1
            upstreams = list(self.upstreams.values())
            allowed = client.within_local_rate(self.service, upstreams)
            if not allowed:
                return None
            place = client.place_locally(call, allowed[0])
        if not isinstance(place, Place):
            return place
        upstream = place.upstream.id
        self.arrivals_s.setdefault(upstream, deque()).append(boottime_s())
        self.running[upstream] += 1
        self.most_running[upstream] = max(
            self.most_running[upstream], self.running[upstream]
        )
        kind = OutcomeKind.ABANDONED
        try:
            await asyncio.sleep(work_s)
            kind = OutcomeKind.COMPLETED
        finally:
            self.running[upstream] -= 1
            client.release(place, Outcome(kind, total_ms=work_s * 1000))
        return place

    async def send_steadily(
        self, vm: str, pause_s: float, until_s: float, work_s: float = 0.05
    ) -> None:
        """Starts a request after each pause, and waits until all have ended."""
        async with asyncio.TaskGroup() as requests:
            while boottime_s() < until_s:
                requests.create_task(self.send(vm, work_s))
                await asyncio.sleep(pause_s)

    def leases(self, vm: str) -> int:
        """Returns how many slots are in use, as the scheduler on a VM knows."""
        running = self.services[vm]._running.get("svc")
        return len(running.leases) if running is not None else 0

    def waiting(self, vm: str) -> int:
        """Returns how many requests wait at the scheduler on a VM."""
        running = self.services[vm]._running.get("svc")
        return running.scheduler.waiting() if running is not None else 0
