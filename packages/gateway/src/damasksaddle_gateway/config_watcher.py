"""
Watches the operator's configuration, evacuations and the list of upstreams.

The configuration and the evacuated failure domains are rows of one table and are
followed through its change feed. A full snapshot is
read on start, and when the table no longer has the requested history. The list of
upstreams is polled because its rows change with every heartbeat.

The watcher tracks when the configuration was last verified to be current, on a clock
that keeps running while the VM is suspended. A response of the feed alone does not
verify it, because a feed can lag without notice. Every read and write of rows returns
the store's newest version at that moment; once the feed has delivered all changes up to
that version, the configuration is known to have been current then.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from mode import Service

from damasksaddle.exceptions import ResponseLost, TableUnavailable
from damasksaddle.platform import Page, Row, row_key
from damasksaddle.utils import Gauge, boottime_s, get_logger, set_gauge
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.feeds import RETRY_S, TableFeed, decode, read_all
from damasksaddle_gateway.interfaces import RowDecoder
from damasksaddle_gateway.routing_config import RoutingConfig, Upstream
from damasksaddle_gateway.store import StoreCircuitBreaker

log = get_logger("view")

# Long-poll time of one read of the feed. It bounds the age of the last verification.
FEED_WAIT_S = 0.5
# Minimum time between two recorded versions, and the number of versions kept until the
# feed reaches them. Together they cover the longest time for which a configuration
# counts as current.
OBSERVATION_INTERVAL_S = 0.1
MAX_OBSERVED_VERSIONS = 64
# Poll interval of the upstreams, as a share of the time after which a draining upstream
# must get no new requests. At a third of it, one read may fail.
UPSTREAM_POLL_SHARE = 1 / 3
# An upstream whose row expired during an outage is kept for this time after the outage,
# because upstreams renew their rows within two seconds of its end.
REREGISTRATION_S = 2.0
# An upstream that leaves is gone within this time, or was wrong when it said so.
LEAVING_RETENTION_S = 600.0
# A longer gap than this between two successful reads counts as an outage.
OUTAGE_THRESHOLD_S = 2.0


@dataclass(frozen=True, slots=True)
class _Leaving:
    """An upstream as it was listed when it last said that it leaves."""

    upstream: Upstream
    said_s: float


class ConfigWatcher(Service):
    """Holds the newest configuration and upstreams known to this VM."""

    def __init__(
        self, table: StoreCircuitBreaker, decoder: RowDecoder, drain_ms: float
    ) -> None:
        super().__init__()
        self._table = table
        self._decoder = decoder
        # How long a draining upstream may receive new requests.
        self.drain_ms = drain_ms
        self.config: RoutingConfig | None = None
        # Failure domains whose upstreams get no new requests, by the operator's rows.
        self.evacuated: frozenset[str] = frozenset()
        self.upstreams: dict[str, Upstream] = {}
        # Upstreams that said in a response that they leave, by id.
        self._leaving: dict[str, _Leaving] = {}
        # Called after a new configuration was applied.
        self.on_applied: Callable[[], None] = lambda: None
        # Called with each list of upstreams and the time at which its read began.
        self.on_upstreams_read: Callable[[dict[str, Upstream], float], None] = (
            lambda listed, requested_s: None
        )
        self._feed = TableFeed(
            table,
            decoder.config_table,
            "",
            FEED_WAIT_S,
            self._on_snapshot,
            self._on_changes,
        )
        self._config_verified_s = -math.inf
        # Times at which a version was the newest one, for versions not yet reached by
        # the feed.
        self._observed_versions: deque[tuple[float, int]] = deque(
            maxlen=MAX_OBSERVED_VERSIONS
        )
        table.on_version = self._observe_version
        self._upstreams_verified_s = -math.inf
        self._outage_ended_s = -math.inf

    def config_age_s(self) -> float:
        """Returns the time since the configuration was last verified to be current."""
        return boottime_s() - self._config_verified_s

    def upstreams_age_s(self) -> float:
        """Returns the time since the list of upstreams was last read."""
        return boottime_s() - self._upstreams_verified_s

    def upstream_poll_s(self) -> float:
        """Returns the interval at which every VM reads the list of upstreams."""
        return self.drain_ms / 1000 * UPSTREAM_POLL_SHARE

    def is_leaving(self, upstream: Upstream) -> bool:
        """
        Tells whether an upstream said in a response that it leaves.

        What its process said also holds for older entries of its id.
        """
        known = self._leaving.get(upstream.id)
        if known is None:
            return False
        return (
            upstream.incarnation == known.upstream.incarnation
            or upstream.started_at_ms < known.upstream.started_at_ms
        )

    def record_leaving(self, upstream: Upstream) -> None:
        """Records that an upstream said in a response that it leaves."""
        known = self._leaving.get(upstream.id)
        if known and known.upstream.started_at_ms > upstream.started_at_ms:
            return
        if known is None or known.upstream.incarnation != upstream.incarnation:
            log.info("An upstream said that it leaves.", upstream=upstream.id)
        self._leaving[upstream.id] = _Leaving(upstream, boottime_s())

    def _forget_leaving(self, listed: dict[str, Upstream], now_s: float) -> None:
        """Forgets upstreams that are gone, and what may have been wrong."""
        self._leaving = {
            name: known
            for name, known in self._leaving.items()
            if name in listed and now_s - known.said_s <= LEAVING_RETENTION_S
        }

    @background_task
    async def _follow_config(self) -> None:
        await self._feed.follow(lambda: self.should_stop)

    def _on_snapshot(self, page: Page, requested_s: float) -> None:
        self._apply_evacuations(page.rows, frozenset())
        self._apply_config(page.rows)
        self._update_verified_time()

    def _on_changes(self, page: Page) -> None:
        self._apply_evacuations(page.rows, self.evacuated)
        self._apply_config(page.rows)
        self._update_verified_time()

    def _observe_version(self, requested_s: float, page: Page) -> None:
        """Records the newest version of the store at the time a page was read."""
        answered_s = self._table.clock.earliest_answer_s(
            requested_s, boottime_s(), page.now_ms
        )
        if (
            self._observed_versions
            and answered_s - self._observed_versions[-1][0] < OBSERVATION_INTERVAL_S
        ):
            return
        self._observed_versions.append((answered_s, page.version))
        self._update_verified_time()

    def _update_verified_time(self) -> None:
        while (
            self._observed_versions
            and self._observed_versions[0][1] <= self._feed.version
        ):
            answered_s, _ = self._observed_versions.popleft()
            self._config_verified_s = max(self._config_verified_s, answered_s)

    def _apply_evacuations(self, rows: list[Row], known: frozenset[str]) -> None:
        """Applies rows to the `known` evacuations, the oldest version first."""
        evacuated = set(known)
        for row in sorted(rows, key=lambda row: row.version):
            failure_domain = decode(self._decoder.decode_evacuation, row)
            if failure_domain is None:
                continue
            if row.deleted:
                evacuated.discard(failure_domain)
            else:
                evacuated.add(failure_domain)
        for failure_domain in sorted(evacuated - self.evacuated):
            log.info("A failure domain is evacuated.", failure_domain=failure_domain)
        for failure_domain in sorted(self.evacuated - evacuated):
            log.info(
                "The evacuation of a failure domain has ended.",
                failure_domain=failure_domain,
            )
        self.evacuated = frozenset(evacuated)
        set_gauge(Gauge.EVACUATED_DOMAINS, len(evacuated))

    def _apply_config(self, rows: list[Row]) -> None:
        for row in rows:
            config = None if row.deleted else decode(self._decoder.decode_config, row)
            if config is None:
                continue
            if self.config and config.version <= self.config.version:
                continue
            log.info(
                "Applied a new configuration.",
                version=config.version,
                routes=len(config.routes),
                keys=len(config.workspace_by_key),
                age_s=round(self.config_age_s(), 3),
            )
            self.config = config
            self.on_applied()

    @background_task
    async def _follow_upstreams(self) -> None:
        while not self.should_stop:
            interval_s = self.upstream_poll_s()
            try:
                await self._read_upstreams()
            except (TableUnavailable, ResponseLost) as error:
                log.debug("Could not read the upstreams; retrying.", error=repr(error))
                interval_s = RETRY_S
            await asyncio.sleep(interval_s)

    async def _read_upstreams(self) -> None:
        requested_s = boottime_s()
        prefix = row_key(self._decoder.upstream_table, "", "")
        page = await read_all(self._table, prefix)
        if requested_s - self._upstreams_verified_s > OUTAGE_THRESHOLD_S:
            self._outage_ended_s = requested_s
        self._upstreams_verified_s = requested_s
        self._replace_upstreams(page.rows, requested_s)

    def _replace_upstreams(self, rows: list[Row], now_s: float) -> None:
        listed = {}
        for row in rows:
            upstream = decode(self._decoder.decode_upstream, row)
            if upstream is not None:
                listed[upstream.id] = upstream
        if now_s - self._outage_ended_s < REREGISTRATION_S:
            kept = {
                upstream_id: upstream
                for upstream_id, upstream in self.upstreams.items()
                if upstream_id not in listed
            }
            listed.update(kept)
        self.on_upstreams_read(listed, now_s)
        self._forget_leaving(listed, now_s)
        if listed == self.upstreams:
            return
        self._log_changes(listed)
        self.upstreams = listed

    def _log_changes(self, listed: dict[str, Upstream]) -> None:
        for upstream in listed.values():
            if self.upstreams.get(upstream.id) != upstream:
                log.info(
                    "An upstream was registered or changed.",
                    upstream=upstream.id,
                    service=upstream.service,
                    address=upstream.address,
                    version=upstream.software_version,
                    started_at_ms=upstream.started_at_ms,
                    draining=upstream.draining,
                )
        for removed in self.upstreams.keys() - listed.keys():
            log.info("An upstream was removed.", upstream=removed)
