"""VMs before upstreams that fall silent instead of closing their connections."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from damasksaddle.exceptions import RequestQuarantined
from damasksaddle.utils import boottime_s
from damasksaddle_gateway.crash_detector import CrashDetector
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_gateway.unanswered import Attempt
from damasksaddle_gateway.upstreams import Liveness
from damasksaddle_standins.crashing_fleet import DEADLY, CrashingFleet

POLL_S = 0.667
HEARTBEAT_S = 1.2
ENTRY_LIFE_S = 3 * HEARTBEAT_S
DOWN_S = 2.0
REQUESTS, INTERVAL_S = 20, 2.2


class SilentFleet(CrashingFleet):
    """VMs before upstreams that fall silent instead of closing their connections."""

    def __init__(self, size: int, upstreams: int = 8) -> None:
        self.detectors: dict[str, CrashDetector] = {}
        super().__init__(size, upstreams)
        self.listed = {
            upstream.id: replace(upstream, started_at_ms=1)
            for upstream in self.upstreams
        }
        self.alive = {upstream.incarnation for upstream in self.listed.values()}
        # Addresses at which nothing listens.
        self.refusing: set[str] = set()
        self.leaving: set[str] = set()
        self.runs_s: list[float] = []

    def _add_quarantine(self, vm: str, *parts: Any) -> None:
        super()._add_quarantine(vm, *parts)
        self.detectors[vm] = CrashDetector(
            self.quarantines[vm],
            lambda upstream: upstream.id in self.leaving,
            self._probe,
        )

    async def _probe(self, upstream: Upstream) -> Liveness:
        if upstream.incarnation in self.alive:
            return Liveness.ALIVE
        if upstream.address in self.refusing:
            return Liveness.GONE
        await asyncio.sleep(1.0)
        return Liveness.SILENT

    async def run(self) -> None:
        """Renews the entries of upstreams, and has all VMs read them."""
        renewed_s = 0.0
        while True:
            if boottime_s() - renewed_s >= HEARTBEAT_S:
                renewed_s = boottime_s()
                for name, upstream in self.listed.items():
                    if upstream.incarnation in self.alive:
                        number = upstream.sequence_number + 1
                        self.listed[name] = replace(upstream, sequence_number=number)
            for detector in self.detectors.values():
                detector.observe(dict(self.listed), boottime_s())
            await asyncio.sleep(POLL_S)

    def later(self, delay_s: float, change: Callable[..., object], *args: Any) -> None:
        asyncio.get_running_loop().call_later(delay_s, change, *args)

    def add(self, upstream: Upstream) -> None:
        self.listed[upstream.id] = upstream
        self.alive.add(upstream.incarnation)

    def remove(self, upstream: Upstream) -> None:
        if self.listed.get(upstream.id) == upstream:
            del self.listed[upstream.id]

    def next_upstream(self) -> Upstream:
        alive = [up for up in self.listed.values() if up.incarnation in self.alive]
        return min(alive, key=lambda upstream: upstream.started_at_ms)

    def send(self, vm: str, upstream: Upstream, held_s: float, name: str) -> Attempt:
        """Sends a request that gets no answer for `held_s`."""
        self.runs_s.append(boottime_s())
        attempts = self.quarantines[vm].attempts
        attempt = attempts.start(upstream, (name,), boottime_s() + 3.0)
        self.later(
            held_s,
            lambda: attempts.finish(attempt, answered=False, now_s=boottime_s()),
        )
        return attempt

    def is_refused(self, vm: str, name: str) -> bool:
        try:
            self.quarantines[vm].check([name])
        except RequestQuarantined:
            return True
        return False

    async def send_all(
        self, held_s: float, on_run: Callable[[Upstream], None]
    ) -> list[float]:
        """Sends the deadly request again and again; returns when it ran."""
        for number in range(REQUESTS):
            vm = self.vms[number % len(self.vms)]
            if not self.is_refused(vm, DEADLY):
                upstream = self.next_upstream()
                self.send(vm, upstream, held_s, DEADLY)
                on_run(upstream)
            await asyncio.sleep(INTERVAL_S)
        return self.runs_s


def crash(fleet: SilentFleet, upstream: Upstream, comeback: str) -> None:
    """Has an upstream fall silent and come back in one of several ways."""
    fleet.alive.discard(upstream.incarnation)
    fleet.later(ENTRY_LIFE_S, fleet.remove, upstream)
    started_at_ms = round(boottime_s() * 1000) + 2000
    again = replace(upstream, started_at_ms=started_at_ms, sequence_number=1)
    other = replace(again, id=f"{upstream.id}-{started_at_ms}")
    match comeback:
        case "same-id":
            fleet.later(DOWN_S, fleet.add, again)
        case "same-address":
            fleet.later(DOWN_S, fleet.add, other)
        case "elsewhere":
            other = replace(other, address=f"{other.id}:1")
            fleet.later(DOWN_S, fleet.refusing.add, upstream.address)
            fleet.later(DOWN_S, fleet.add, other)
        case "never":
            other = replace(other, address=f"{other.id}:1")
            fleet.later(DOWN_S, fleet.add, other)


def survive(fleet: SilentFleet, upstream: Upstream, trouble: str) -> None:
    """Has an upstream stay well, or end without any fault of a request."""
    number = len(fleet.runs_s)
    newer = replace(upstream, id=f"n{number}", address=f"n{number}:1")
    newer = replace(newer, started_at_ms=number + 2, sequence_number=1)
    match trouble:
        case "cut":
            fleet.alive.discard(upstream.incarnation)
            fleet.later(DOWN_S, fleet.alive.add, upstream.incarnation)
        case "expired":
            # Its entry is gone for a time; it is the same process when it is back.
            fleet.alive.discard(upstream.incarnation)
            fleet.remove(upstream)
            fleet.later(DOWN_S, fleet.add, replace(upstream, sequence_number=99))
        case "drained" | "said":
            if trouble == "drained":
                fleet.add(replace(upstream, draining=True))
            fleet.leaving.add(upstream.id)
            fleet.add(newer)
            fleet.later(1.0, fleet.remove, fleet.listed[upstream.id])
            fleet.later(1.0, fleet.alive.discard, upstream.incarnation)
            fleet.later(1.0, fleet.add, replace(newer, id=f"{newer.id}-same"))
        case "unsaid":
            fleet.add(newer)
            fleet.remove(upstream)
            fleet.later(2.0, fleet.alive.discard, upstream.incarnation)
            fleet.later(2.0, fleet.refusing.add, upstream.address)
