"""
Selects the upstream of a request.

Requests of one program go to the same engine, whichever VM receives them, because the
program's prompts share a prefix. The engines are ordered by rendezvous hashing of the
program id; one that is full or failed recently is no candidate (`eligibility`). A
request to a plain service goes to the less loaded of two randomly sampled upstreams,
where only requests of this VM count as load.

An upstream resets connections beyond its limit for all VMs together, and a request lost
that way may not be retryable. Each VM therefore uses at most its share of the
connections; further requests wait until one is free.
"""

import asyncio
import math
import random
from dataclasses import dataclass

from damasksaddle.utils import boottime_s, rendezvous
from damasksaddle_gateway.interfaces import RequestMetadata
from damasksaddle_gateway.routing_config import Service, Upstream

# An upstream that rejected a request as full gets no request for this time, in which
# about one of its requests ends.
REJECTED_BACKOFF_S = 0.03
# Longest time for which an upstream without a permit is passed over, so that the end of
# its rate limit is noticed.
MAX_LIMITED_S = 0.5
# An upstream that failed is avoided for this time, which doubles with each further
# failure up to the maximum.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
# Share of an upstream's connections that all VMs use together. The rest allows for VMs
# that briefly disagree on how many VMs there are, and for upstreams with a long queue,
# which accept fewer connections.
CONNECTION_SHARE = 0.7
# Requests that may wait on this VM for each request that may be in flight.
WAITING_PER_IN_FLIGHT = 3
# Requests in flight to an upstream per slot, from all VMs together: enough to keep all
# slots busy, and few enough to fit its queue.
IN_FLIGHT_PER_SLOT = 3.0


@dataclass(slots=True)
class UpstreamState:
    """What this VM observed of one incarnation of an upstream."""

    outstanding: int = 0
    failures: int = 0
    rejected_until_s: float = -math.inf
    limited_until_s: float = -math.inf
    avoid_until_s: float = -math.inf


def in_flight_limit(upstream: Upstream, service: Service, vms: int) -> int:
    """Returns how many requests of one VM may be in flight to an upstream."""
    by_slots = math.ceil(upstream.slots * IN_FLIGHT_PER_SLOT / vms)
    if service.max_connections:
        by_connections = int(service.max_connections * CONNECTION_SHARE / vms)
        return max(1, min(by_slots, by_connections))
    return max(1, by_slots)


class Placement:
    """Tracks the state of upstreams and selects among them."""

    def __init__(self) -> None:
        self._states: dict[tuple[str, str, int], UpstreamState] = {}
        self._random = random.Random()
        self._capacity_freed = asyncio.Event()
        self._waiting_by_service: dict[str, int] = {}

    def upstream_state(self, upstream: Upstream) -> UpstreamState:
        """Returns the state of an upstream since it last started."""
        return self._states.setdefault(upstream.incarnation, UpstreamState())

    def known_state(self, upstream: Upstream) -> UpstreamState:
        """Returns the state of an upstream, to be read only."""
        return self._states.get(upstream.incarnation) or UpstreamState()

    def retain(self, upstreams: list[Upstream]) -> None:
        """Removes the state of upstreams that are gone and have no active request."""
        known = {upstream.incarnation for upstream in upstreams}
        for incarnation in list(self._states):
            unused = not self._states[incarnation].outstanding
            if incarnation not in known and unused:
                del self._states[incarnation]

    async def wait_for_capacity(
        self, upstreams: list[Upstream], service: Service, vms: int, until_s: float
    ) -> bool:
        """
        Waits for a short time in which a request of this VM may end.

        Returns False at once if the deadline has passed, or if so many requests are
        already waiting that this one would not be served in time.
        """
        waiting = self._waiting_by_service.get(service.name, 0)
        capacity = sum(
            in_flight_limit(upstream, service, vms) for upstream in upstreams
        )
        time_left_s = until_s - boottime_s()
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
        """Counts a request as in flight."""
        self.upstream_state(upstream).outstanding += 1

    def finish_request(self, upstream: Upstream) -> None:
        """Counts a request as no longer in flight."""
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
        """Records that an upstream rejected a request as full."""
        self.upstream_state(upstream).rejected_until_s = (
            boottime_s() + REJECTED_BACKOFF_S
        )

    def record_limited(self, upstream: Upstream, wait_s: float) -> None:
        """Records that an upstream's rate limit permits no request for a time."""
        self.upstream_state(upstream).limited_until_s = boottime_s() + min(
            wait_s, MAX_LIMITED_S
        )

    def record_failure(self, upstream: Upstream) -> None:
        """Records that an upstream was unreachable or interrupted a response."""
        state = self.upstream_state(upstream)
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**state.failures)
        state.failures += 1
        state.avoid_until_s = boottime_s() + backoff_s

    def record_success(self, upstream: Upstream) -> None:
        """Records that an upstream completed a response."""
        self.upstream_state(upstream).failures = 0
