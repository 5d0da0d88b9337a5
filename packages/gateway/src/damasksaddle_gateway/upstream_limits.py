"""
Keeps the requests of all VMs together within the rate limits that upstreams name.

A VM that learns of a limit from a response announces it to all others. Requests to a
limited upstream need a permit from the upstream's coordinator, which spaces them
evenly. Nothing is stored: a VM that takes the coordinator's place learns the limit from
the next VM that asks for a permit.
"""

import asyncio
import math
from dataclasses import dataclass

from damasksaddle.exceptions import Refusal
from damasksaddle.utils import Counter, boottime_s, count, get_logger
from damasksaddle_gateway.announcements import Announcements, MessageFactory
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.interfaces import ResponseMetadata
from damasksaddle_gateway.pacing import Pacer, new_pacer
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_protocol import AnnounceLimit, Message, Ok, PermitTaken, TakePermit

log = get_logger("limits")

# Represents the absence of a limit in messages.
NO_LIMIT = -1.0
# Longest queue of permits. It bounds how many requests are sent on permits of an
# earlier coordinator.
MAX_QUEUE_S = 1.0
# A permit is used within this time of the moment for which it was issued; a VM that was
# paused in between asks for a new one.
PERMIT_LIFETIME_S = 0.25
# The end of a limit is announced for this time.
END_ANNOUNCED_S = 10.0
# Limits that no response has confirmed for this time are forgotten; by then the
# upstream is gone, or every VM asks it so rarely that no limit is exceeded.
FORGET_AFTER_S = 86_400.0
# Share of a limit that each VM may grant, by its place in the order of coordinators.
# The first and the second may both act for a while, and together stay within the
# tolerance of half of the limit that upstreams have.
COORDINATOR_SHARES = (1.0, 0.5)


@dataclass(frozen=True, slots=True)
class RateLimit:
    """
    The rate limit of an upstream, for the requests of all VMs together.

    `per_s` is None if the upstream names no limit. `observed_s` is the time for which
    this is known.
    """

    per_s: float | None
    observed_s: float

    def age_ms(self) -> int:
        """Returns the time since the observation in milliseconds."""
        return max(0, round((boottime_s() - self.observed_s) * 1000))


@dataclass(frozen=True, slots=True)
class Permitted:
    """The request may be sent now."""


@dataclass(frozen=True, slots=True)
class Limited:
    """The request may not be sent; a permit may be available after `retry_after_s`."""

    retry_after_s: float


def _limit_from(per_s: float, age_ms: int) -> RateLimit:
    return RateLimit(per_s if per_s >= 0 else None, boottime_s() - age_ms / 1000)


def _to_message(limit_per_s: float | None) -> float:
    return NO_LIMIT if limit_per_s is None else limit_per_s


def _upstream_key(upstream: Upstream) -> str:
    """Identifies one process of an upstream."""
    return "|".join(str(part) for part in upstream.incarnation)


class UpstreamLimits:
    """The rate limits of all upstreams, as this VM knows them, and their permits."""

    def __init__(
        self, coordinators: Coordinators, announcements: Announcements
    ) -> None:
        self._coordinators = coordinators
        self._announcements = announcements
        self._limits: dict[str, RateLimit] = {}
        self._pacers: dict[str, Pacer] = {}

    def register_handlers(self, handlers: Handlers) -> None:
        """Registers the handlers for requests of other VMs."""
        handlers.add(AnnounceLimit, self._on_announcement)
        handlers.add(TakePermit, self._on_take_permit)

    def limit_per_s(self, upstream: Upstream) -> float | None:
        """Returns the limit of an upstream, or None if it names none."""
        limit = self._limits.get(_upstream_key(upstream))
        return None if limit is None else limit.per_s

    def record_response(
        self, upstream: Upstream, metadata: ResponseMetadata, sent_s: float
    ) -> None:
        """
        Records the limit that a response names, and announces a change to all VMs.

        A response without a limit ends the limit only if its request was sent after the
        limit was last named, because responses overtake each other.
        """
        if metadata.rate_limit_per_s is not None:
            count(Counter.UPSTREAM_LIMITS, "named")
            limit = RateLimit(metadata.rate_limit_per_s, boottime_s())
        elif metadata.signed and not metadata.not_run:
            limit = RateLimit(None, sent_s)
        else:
            return
        key = _upstream_key(upstream)
        if self._update(key, limit):
            self._announcements.publish(key, self._message_factory(key, limit))

    async def take_permit(
        self, upstream: Upstream, max_wait_s: float
    ) -> Permitted | Limited:
        """
        Waits up to `max_wait_s` for a permit to send one request to an upstream.

        Returns at once if the upstream names no limit, or if the wait would be longer.
        """
        key = _upstream_key(upstream)
        wait_until_s = boottime_s() + max_wait_s
        while True:
            limit = self._limits.get(key)
            if limit is None or limit.per_s is None:
                return Permitted()
            left_s = max(0.0, wait_until_s - boottime_s())
            taken = await self._request_permit(key, limit, left_s)
            valid_s = boottime_s() + taken.wait_ms / 1000
            if not taken.granted:
                return Limited(taken.wait_ms / 1000)
            await asyncio.sleep(taken.wait_ms / 1000)
            # The loop's timers do not count the time of a suspension.
            if boottime_s() - valid_s <= PERMIT_LIFETIME_S:
                return Permitted()

    async def _request_permit(
        self, key: str, limit: RateLimit, max_wait_s: float
    ) -> PermitTaken:
        message = TakePermit(
            key, _to_message(limit.per_s), limit.age_ms(), int(max_wait_s * 1000)
        )

        async def take_locally() -> Message:
            return self._take_locally(message)

        try:
            _, response = await self._coordinators.request(
                key, message, take_locally, 0.0, needs_store=False
            )
        except Refusal as error:
            # A peer that fails to handle the message refuses it; that is no verdict on
            # the caller's request.
            log.info("A peer refused a permit request.", error=repr(error))
            response = await take_locally()
        assert isinstance(response, PermitTaken)
        self._update(key, _limit_from(response.limit_per_s, response.age_ms))
        return response

    def _take_locally(self, message: TakePermit) -> PermitTaken:
        now_s = boottime_s()
        key = message.upstream
        self._update(key, _limit_from(message.limit_per_s, message.age_ms))
        limit = self._limits.get(key)
        if limit is None or limit.per_s is None:
            age_ms = limit.age_ms() if limit else message.age_ms
            return PermitTaken(True, 0, NO_LIMIT, age_ms)
        rate_per_s = limit.per_s * self._share(key)
        pacer = self._pacers.get(key)
        if pacer is None:
            pacer = self._pacers[key] = new_pacer(rate_per_s, now_s)
        max_wait_s = min(message.max_wait_ms / 1000, MAX_QUEUE_S)
        wait_s = pacer.reserve(rate_per_s, now_s, max_wait_s)
        granted = wait_s is not None
        if wait_s is None:
            wait_s = pacer.wait_s(now_s)
        count(Counter.UPSTREAM_LIMITS, "permitted" if granted else "denied")
        wait_ms = math.ceil(wait_s * 1000)
        return PermitTaken(granted, wait_ms, limit.per_s, limit.age_ms())

    def _share(self, key: str) -> float:
        """Returns the share of a limit that this VM may grant."""
        order = self._coordinators.order(key)
        place = order.index(self._coordinators.vm)
        if place < len(COORDINATOR_SHARES):
            return COORDINATOR_SHARES[place]
        return 1 / len(order)

    def _update(self, key: str, limit: RateLimit) -> bool:
        """Records a limit unless a later one is known; returns whether it changed."""
        known = self._limits.get(key)
        if known is None and limit.per_s is None:
            return False
        if known is not None and known.observed_s > limit.observed_s:
            return False
        self._limits[key] = limit
        if known is not None and known.per_s == limit.per_s:
            return False
        if limit.per_s is None:
            count(Counter.UPSTREAM_LIMITS, "ended")
            self._pacers.pop(key, None)
        self._forget_old()
        log.info(
            "The rate limit of an upstream changed.",
            upstream=key,
            before_per_s=known.per_s if known else None,
            limit_per_s=limit.per_s,
        )
        return True

    def _forget_old(self) -> None:
        oldest_s = boottime_s() - FORGET_AFTER_S
        for key, limit in list(self._limits.items()):
            if limit.observed_s < oldest_s:
                del self._limits[key]
                self._pacers.pop(key, None)

    def _message_factory(self, key: str, limit: RateLimit) -> MessageFactory:
        """Returns what makes the announcement of a limit while it is current."""
        announced_until_s = math.inf
        if limit.per_s is None:
            announced_until_s = boottime_s() + END_ANNOUNCED_S

        def make_message() -> Message | None:
            known = self._limits.get(key)
            if known is None or known.per_s != limit.per_s:
                return None
            if boottime_s() > announced_until_s:
                return None
            return AnnounceLimit(key, _to_message(known.per_s), known.age_ms())

        return make_message

    async def _on_announcement(self, message: AnnounceLimit, sender: Sender) -> Ok:
        key = message.upstream
        limit = _limit_from(message.limit_per_s, message.age_ms)
        if self._update(key, limit):
            self._announcements.remember(key, self._message_factory(key, limit))
        return Ok()

    async def _on_take_permit(self, message: TakePermit, sender: Sender) -> PermitTaken:
        return self._take_locally(message)
