"""
Chooses the upstream of a request.

Requests of one program go to the same engine, whichever VM they enter, because its
prompts begin alike: the order of engines follows from a hash of the program. An engine
that is full, or failed lately, is passed over. Requests to plain services go to the
upstream with the fewest requests of this VM among two drawn at random.

An upstream resets connections beyond those that it accepts from all VMs together, and
a request that is lost so may not be repeated. So a VM has at most its part of them in
use, and what comes beyond waits for one to get free.
"""

import asyncio
import math
import random
from dataclasses import dataclass

from damasksaddle.utils import elapsed_s, rendezvous
from damasksaddle_gateway.interfaces import RequestMetadata
from damasksaddle_gateway.routing_config import Service, Upstream

# An upstream that said it is full gets no request for this time, in which about one of
# its requests ends.
REJECTED_BACKOFF_S = 0.03
# An upstream that failed is avoided for this time, doubling up to the longest.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
# The part of an upstream's connections that all VMs use together: they may disagree on
# how many they are for a moment, and an upstream with a long queue accepts fewer.
CONNECTION_SHARE = 0.7
# Requests that may wait in this VM for each one that may be under way.
WAITING_PER_IN_FLIGHT = 3
# Requests under way at an upstream for each of its slots, from all VMs together: enough
# that none of its slots stands idle, and few enough that its queue takes them.
IN_FLIGHT_PER_SLOT = 3.0


@dataclass(slots=True)
class UpstreamState:
    """What this VM experienced with one start of an upstream."""

    outstanding: int = 0
    failures: int = 0
    rejected_until_s: float = -math.inf
    avoid_until_s: float = -math.inf


def in_flight_limit(upstream: Upstream, service: Service, vms: int) -> int:
    """Returns how many requests a VM may have under way at one upstream."""
    by_slots = math.ceil(upstream.slots * IN_FLIGHT_PER_SLOT / vms)
    if service.max_connections:
        by_connections = int(service.max_connections * CONNECTION_SHARE / vms)
        return max(1, min(by_slots, by_connections))
    return max(1, by_slots)


class Placement:
    """Keeps the standing of upstreams and chooses among them."""

    def __init__(self) -> None:
        self._states: dict[tuple[str, str, int], UpstreamState] = {}
        self._random = random.Random()
        self._capacity_freed = asyncio.Event()
        self._waiting_by_service: dict[str, int] = {}

    def upstream_state(self, upstream: Upstream) -> UpstreamState:
        """Returns the standing of an upstream since it started."""
        return self._states.setdefault(upstream.incarnation, UpstreamState())

    def retain(self, upstreams: list[Upstream]) -> None:
        """Forgets upstreams that are gone and have no request."""
        known = {upstream.incarnation for upstream in upstreams}
        for incarnation in list(self._states):
            unused = not self._states[incarnation].outstanding
            if incarnation not in known and unused:
                del self._states[incarnation]

    def has_capacity(self, upstream: Upstream, service: Service, vms: int) -> bool:
        """Tells whether one more request of this VM may be under way there."""
        state = self.upstream_state(upstream)
        if state.rejected_until_s > elapsed_s():
            return False
        return state.outstanding < in_flight_limit(upstream, service, vms)

    async def wait_for_capacity(
        self, upstreams: list[Upstream], service: Service, vms: int, until_s: float
    ) -> bool:
        """
        Waits a moment, in which a request of this VM may end.

        Returns False at once if the time is over, or if so many wait already that this
        one would wait in vain.
        """
        waiting = self._waiting_by_service.get(service.name, 0)
        capacity = sum(
            in_flight_limit(upstream, service, vms) for upstream in upstreams
        )
        time_left_s = until_s - elapsed_s()
        if time_left_s <= 0 or waiting >= capacity * WAITING_PER_IN_FLIGHT:
            return False
        self._waiting_by_service[service.name] = waiting + 1
        try:
            async with asyncio.timeout(min(time_left_s, REJECTED_BACKOFF_S)):
                await self._capacity_freed.wait()
        except TimeoutError:
            return True
        finally:
            self._waiting_by_service[service.name] -= 1
        return True

    def start_request(self, upstream: Upstream) -> None:
        """Books that a request is under way."""
        self.upstream_state(upstream).outstanding += 1

    def finish_request(self, upstream: Upstream) -> None:
        """Books that a request is no longer under way."""
        self.upstream_state(upstream).outstanding -= 1
        self._capacity_freed.set()
        self._capacity_freed = asyncio.Event()

    def choose(
        self,
        candidates: list[Upstream],
        service: Service,
        metadata: RequestMetadata,
    ) -> Upstream | None:
        """Returns the upstream to try next, or None if there is none."""
        if not candidates:
            return None
        now_s = elapsed_s()
        healthy = [
            candidate
            for candidate in candidates
            if self.upstream_state(candidate).avoid_until_s <= now_s
        ]
        candidates = healthy or candidates
        if service.engine is not None and metadata.program is not None:
            return self._preferred_engine(candidates, metadata.program.id)
        return self._least_outstanding(candidates)

    def _preferred_engine(self, candidates: list[Upstream], program: str) -> Upstream:
        by_id = {upstream.id: upstream for upstream in candidates}
        return by_id[rendezvous(program, by_id)[0]]

    def _least_outstanding(self, candidates: list[Upstream]) -> Upstream:
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=self._load)

    def _load(self, upstream: Upstream) -> float:
        return self.upstream_state(upstream).outstanding / max(1, upstream.slots)

    def record_rejection(self, upstream: Upstream) -> None:
        """Books that an upstream had no room."""
        self.upstream_state(upstream).rejected_until_s = (
            elapsed_s() + REJECTED_BACKOFF_S
        )

    def record_failure(self, upstream: Upstream) -> None:
        """Books that an upstream could not be reached or broke off."""
        state = self.upstream_state(upstream)
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**state.failures)
        state.failures += 1
        state.avoid_until_s = elapsed_s() + backoff_s

    def record_success(self, upstream: Upstream) -> None:
        """Books a complete answer."""
        self.upstream_state(upstream).failures = 0
