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

from damasksaddle.utils import boottime_s, rendezvous
from damasksaddle_gateway.interfaces import RequestMetadata
from damasksaddle_gateway.routing_config import Service, Upstream

# An upstream that said it is full gets no request for this time, in which about one of
# its requests ends.
FULL_PAUSE_S = 0.03
# An upstream that failed is avoided for this time, doubling up to the longest.
FAILED_PAUSE_S = 0.5
LONGEST_PAUSE_S = 8.0
# The part of an upstream's connections that all VMs use together: they may disagree on
# how many they are for a moment, and an upstream with a long queue accepts fewer.
CONNECTION_SHARE = 0.7
# Requests that may wait in this VM for each one that may be under way.
WAITING_FACTOR = 3
# Requests under way at an upstream for each of its slots, from all VMs together: enough
# that none of its slots stands idle, and few enough that its queue takes them.
UNDER_WAY_PER_SLOT = 3.0


@dataclass(slots=True)
class Standing:
    """What this VM experienced with one start of an upstream."""

    outstanding: int = 0
    failures: int = 0
    full_until_s: float = -math.inf
    avoid_until_s: float = -math.inf


def under_way_limit(upstream: Upstream, service: Service, vms: int) -> int:
    """Returns how many requests a VM may have under way at one upstream."""
    by_slots = math.ceil(upstream.slots * UNDER_WAY_PER_SLOT / vms)
    if service.max_connections:
        by_connections = int(service.max_connections * CONNECTION_SHARE / vms)
        return max(1, min(by_slots, by_connections))
    return max(1, by_slots)


class Placement:
    """Keeps the standing of upstreams and chooses among them."""

    def __init__(self) -> None:
        self._standing: dict[tuple[str, str, int], Standing] = {}
        self._random = random.Random()
        self._freed = asyncio.Event()
        self._waiting: dict[str, int] = {}

    def standing(self, upstream: Upstream) -> Standing:
        """Returns the standing of an upstream since it started."""
        return self._standing.setdefault(upstream.incarnation, Standing())

    def keep_only(self, upstreams: list[Upstream]) -> None:
        """Forgets upstreams that are gone and have no request."""
        known = {upstream.incarnation for upstream in upstreams}
        for incarnation in list(self._standing):
            unused = not self._standing[incarnation].outstanding
            if incarnation not in known and unused:
                del self._standing[incarnation]

    def has_room(self, upstream: Upstream, service: Service, vms: int) -> bool:
        """Tells whether one more request of this VM may be under way there."""
        standing = self.standing(upstream)
        if standing.full_until_s > boottime_s():
            return False
        return standing.outstanding < under_way_limit(upstream, service, vms)

    async def wait_for_room(
        self, upstreams: list[Upstream], service: Service, vms: int, until_s: float
    ) -> bool:
        """
        Waits a moment, in which a request of this VM may end.

        Returns False at once if the time is over, or if so many wait already that this
        one would wait in vain.
        """
        waiting = self._waiting.get(service.name, 0)
        room = sum(under_way_limit(u, service, vms) for u in upstreams)
        left_s = until_s - boottime_s()
        if left_s <= 0 or waiting >= room * WAITING_FACTOR:
            return False
        self._waiting[service.name] = waiting + 1
        try:
            async with asyncio.timeout(min(left_s, FULL_PAUSE_S)):
                await self._freed.wait()
        except TimeoutError:
            return True
        finally:
            self._waiting[service.name] -= 1
        return True

    def begin(self, upstream: Upstream) -> None:
        """Books that a request is under way."""
        self.standing(upstream).outstanding += 1

    def end(self, upstream: Upstream) -> None:
        """Books that a request is no longer under way."""
        self.standing(upstream).outstanding -= 1
        self._freed.set()
        self._freed = asyncio.Event()

    def choose(
        self,
        candidates: list[Upstream],
        service: Service,
        facts: RequestMetadata,
    ) -> Upstream | None:
        """Returns the upstream to try next, or None if there is none."""
        if not candidates:
            return None
        now_s = boottime_s()
        calm = [c for c in candidates if self.standing(c).avoid_until_s <= now_s]
        candidates = calm or candidates
        if service.engine is not None and facts.program is not None:
            return self._engine(candidates, facts.program.id)
        return self._least_outstanding(candidates)

    def _engine(self, candidates: list[Upstream], program: str) -> Upstream:
        by_id = {upstream.id: upstream for upstream in candidates}
        return by_id[rendezvous(program, by_id)[0]]

    def _least_outstanding(self, candidates: list[Upstream]) -> Upstream:
        drawn = self._random.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=self._load)

    def _load(self, upstream: Upstream) -> float:
        return self.standing(upstream).outstanding / max(1, upstream.slots)

    def full(self, upstream: Upstream) -> None:
        """Books that an upstream had no room."""
        self.standing(upstream).full_until_s = boottime_s() + FULL_PAUSE_S

    def failed(self, upstream: Upstream) -> None:
        """Books that an upstream could not be reached or broke off."""
        standing = self.standing(upstream)
        pause_s = min(LONGEST_PAUSE_S, FAILED_PAUSE_S * 2**standing.failures)
        standing.failures += 1
        standing.avoid_until_s = boottime_s() + pause_s

    def succeeded(self, upstream: Upstream) -> None:
        """Books a complete answer."""
        self.standing(upstream).failures = 0
