"""Tracks the rate limits that upstreams name in their responses."""

from dataclasses import dataclass

from damasksaddle.utils import Counter, boottime_s, count, get_logger
from damasksaddle_gateway.interfaces import ResponseMetadata
from damasksaddle_gateway.routing_config import Upstream

log = get_logger("limits")


@dataclass(frozen=True, slots=True)
class RateLimit:
    """
    The rate limit of an upstream, for the requests of all VMs together.

    `per_s` is None if the upstream names no limit. `observed_s` is the time for which
    this is known.
    """

    per_s: float | None
    observed_s: float


class UpstreamLimits:
    """The rate limits of all upstreams, as this VM knows them."""

    def __init__(self) -> None:
        self._limits: dict[tuple[str, str, int], RateLimit] = {}

    def record_response(
        self, upstream: Upstream, metadata: ResponseMetadata, sent_s: float
    ) -> None:
        """
        Records the limit that a response names.

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
        self._update(upstream, limit)

    def _update(self, upstream: Upstream, limit: RateLimit) -> None:
        known = self._limits.get(upstream.incarnation)
        if known is None and limit.per_s is None:
            return
        if known is not None and known.observed_s > limit.observed_s:
            return
        self._limits[upstream.incarnation] = limit
        if known is None or known.per_s != limit.per_s:
            if limit.per_s is None:
                count(Counter.UPSTREAM_LIMITS, "ended")
            log.info(
                "The rate limit of an upstream changed.",
                upstream=upstream.id,
                before_per_s=known.per_s if known else None,
                limit_per_s=limit.per_s,
            )
