"""VMs before upstreams that crash when they run a deadly request."""

import asyncio
from typing import Any

from damasksaddle.exceptions import RequestQuarantined
from damasksaddle_gateway.announcements import Announcements
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.quarantine import Quarantine
from damasksaddle_gateway.quarantine_rows import QuarantineRows
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_standins.loopback_fleet import LoopbackFleet
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows

DEADLY = "f-deadly"
RESTART_S = 3.0


class CrashingFleet(LoopbackFleet):
    """
    VMs before upstreams that crash when they run the deadly request.

    `runs` counts how often that request reached an upstream.
    """

    def __init__(self, size: int, upstreams: int = 5) -> None:
        super().__init__(size, self._add_quarantine)
        self.quarantines: dict[str, Quarantine] = {}
        self.rows = VersionedRows()
        self.stored: dict[str, QuarantineRows] = {}
        self.upstreams = [
            Upstream(f"u{number}", "svc", f"u{number}:1", "a", 4, False)
            for number in range(upstreams)
        ]
        self.down: set[str] = set()
        self.runs = 0
        self._beside: dict[str, list[tuple[str, str]]] = {}

    def _add_quarantine(
        self,
        vm: str,
        coordinators: Coordinators,
        peers: Any,
        announcements: Announcements,
    ) -> None:
        rows = QuarantineRows(StoreCircuitBreaker(MemoryVersionedTable(self.rows)))
        self.quarantines[vm] = Quarantine(
            coordinators, peers, announcements, self._has_crashed, rows
        )
        self.quarantines[vm].register_handlers(peers.handlers)
        self.stored[vm] = rows

    async def start(self, vm: str) -> None:
        """Starts the process of a VM, which reads the stored quarantines."""
        await super().start(vm)
        await self._stack.enter_async_context(self.stored[vm])
        while not self.stored[vm].is_loaded:
            await asyncio.sleep(0.01)

    async def _has_crashed(self, upstream: Upstream) -> bool:
        return upstream.id in self.down

    def start_beside(self, vm: str, fingerprint: str, upstream: Upstream) -> None:
        """Starts a sound request that runs until its upstream crashes."""
        self._beside.setdefault(upstream.id, []).append((vm, fingerprint))

    async def send_deadly(self, vm: str) -> bool:
        """Sends the deadly request unless it is refused; returns whether it ran."""
        try:
            self.quarantines[vm].check([DEADLY])
        except RequestQuarantined:
            return False
        up = [upstream for upstream in self.upstreams if upstream.id not in self.down]
        if not up:
            return False
        await self.crash(vm, up[0])
        return True

    async def crash(self, vm: str, upstream: Upstream) -> None:
        self.runs += 1
        self.down.add(upstream.id)
        self.quarantines[vm].record_interruption([DEADLY], upstream)
        for other_vm, fingerprint in self._beside.pop(upstream.id, []):
            self.quarantines[other_vm].record_interruption([fingerprint], upstream)
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, self.down.discard, upstream.id)
        await asyncio.sleep(0.1)
