"""
Finds upstreams that crashed silently, from the list of upstreams.

Each VM looks only at upstreams that left requests of its own unanswered. A process
whose id or address another one has taken is gone. If its entry has merely expired, the
process is asked: one that answers leaves without having said so, and one that is cut
off is listed again soon.
"""

import asyncio
from collections.abc import Awaitable, Callable

from damasksaddle.utils import Counter, boottime_s, count, get_logger
from damasksaddle_gateway.quarantine import Quarantine
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_gateway.upstreams import Liveness

log = get_logger("quarantine")

PROBE_INTERVAL_S = 0.5
# A process without an entry that stays silent for this time has crashed. Upstreams that
# were cut off renew their entries within two seconds.
SILENT_S = 3.0


class CrashDetector:
    """
    Reports the requests under which upstreams crashed silently.

    `probe` asks an upstream process whether it runs.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        is_leaving: Callable[[Upstream], bool],
        probe: Callable[[Upstream], Awaitable[Liveness]],
    ) -> None:
        self._quarantine = quarantine
        self._attempts = quarantine.attempts
        self._is_leaving = is_leaving
        self._probe = probe
        self._tasks: set[asyncio.Task[None]] = set()

    def observe(self, listed: dict[str, Upstream], requested_s: float) -> None:
        """Looks for crashes in a list of upstreams that was read at a time."""
        findings = self._attempts.observe(listed, requested_s, self._is_leaving)
        for crash in findings.crashes:
            self._report(crash.upstream, "replaced", crash.fingerprints)
        for upstream in findings.missing:
            task = asyncio.create_task(self._examine(upstream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _examine(self, upstream: Upstream) -> None:
        """Probes a process that is not listed any more until its fate is known."""
        missing_s = boottime_s()
        while self._attempts.is_missing(upstream):
            liveness = await self._probe(upstream)
            is_silent = boottime_s() - missing_s >= SILENT_S
            match liveness:
                case Liveness.ALIVE:
                    self._attempts.forget(upstream)
                    return
                case Liveness.GONE:
                    self._report(upstream, "gone", self._attempts.take(upstream))
                    return
                case Liveness.SILENT if is_silent and self._attempts.is_missing(
                    upstream
                ):
                    self._report(upstream, "silent", self._attempts.take(upstream))
                    return
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _report(
        self, upstream: Upstream, found: str, fingerprints: frozenset[str]
    ) -> None:
        count(Counter.SILENT_CRASHES, found)
        log.info(
            "An upstream crashed silently.",
            upstream=upstream.id,
            address=upstream.address,
            started_at_ms=upstream.started_at_ms,
            found=found,
            fingerprints=len(fingerprints),
        )
        self._quarantine.record_crash(fingerprints, upstream)
