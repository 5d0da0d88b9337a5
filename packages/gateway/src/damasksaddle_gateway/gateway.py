"""Assembles the components of a gateway process and runs them as one service."""

import asyncio
import math
from collections.abc import Awaitable, Callable

from aiohttp import web
from mode import Service
from mode.types import ServiceT

from damasksaddle.platform import VersionedTable
from damasksaddle.utils import boottime_s, get_logger
from damasksaddle.utils.connections import BoundedServer, CallerGuard
from damasksaddle.utils.memory import MemoryBudget
from damasksaddle.utils.metrics_server import metrics_response
from damasksaddle_gateway.announcements import Announcements
from damasksaddle_gateway.budgets import TABLE as BUDGETS_TABLE
from damasksaddle_gateway.budgets import Budgets
from damasksaddle_gateway.config_watcher import ConfigWatcher
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.crash_detector import CrashDetector
from damasksaddle_gateway.explain import PATH as EXPLAIN_PATH
from damasksaddle_gateway.explain import Explainer
from damasksaddle_gateway.grace import (
    ADDRESS_RETENTION_FACTOR,
    LEAVE_PROPAGATION_S,
    address_ttl_s,
    fitting_ttl_s,
    serving_s,
)
from damasksaddle_gateway.histories.cleanup import TurnCleanup
from damasksaddle_gateway.histories.coordinator import (
    HistoryCoordinator,
    max_memory_bytes,
)
from damasksaddle_gateway.histories.histories import Histories
from damasksaddle_gateway.interfaces import HeaderCodec, RowDecoder
from damasksaddle_gateway.liveness_probes import LivenessProbes
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.memory.guard import ConnectionGuard
from damasksaddle_gateway.memory.limits import (
    backlog_size,
    max_connections,
    max_service_connections,
    memory_budget_bytes,
)
from damasksaddle_gateway.offline_rights import OfflineRights
from damasksaddle_gateway.outage_detector import OutageDetector
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.placement import Placement
from damasksaddle_gateway.quarantine import Quarantine
from damasksaddle_gateway.quarantine_rows import QuarantineRows
from damasksaddle_gateway.rate_limiter import RateLimiter
from damasksaddle_gateway.request_handler import RequestHandler
from damasksaddle_gateway.routing_config import Upstream
from damasksaddle_gateway.scheduling.client import SchedulingClient
from damasksaddle_gateway.scheduling.service import SchedulerService
from damasksaddle_gateway.settings import LIVE_SETTINGS, Address, GatewaySettings
from damasksaddle_gateway.store import StoreCircuitBreaker
from damasksaddle_gateway.stream_versions import StreamVersions
from damasksaddle_gateway.token_buckets import TokenBuckets
from damasksaddle_gateway.turns import TurnBudgets
from damasksaddle_gateway.upstream_limits import UpstreamLimits
from damasksaddle_gateway.upstreams import (
    Liveness,
    UpstreamClient,
    refuses_connections,
)
from damasksaddle_gateway.version_splits import VersionSplits

log = get_logger("gateway")

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

STOP_POLL_S = 0.05
# A connection that was just accepted is known to its server some turns later.
EMPTY_POLLS = 2
# Time for closing connections once no request runs; part of the stop margin.
CONNECTION_CLOSE_S = 0.4
# Time after which a connection that did not close is cut.
CUT_TIMEOUT_S = 0.1
MAX_HEADER_BYTES = 65536
# Twice this much of a body may wait for its reader.
READ_BUFFER_BYTES = 64 * 1024
# Time for the head of a request. Callers reuse connections for less time than this.
CALLER_KEEPALIVE_S = 60.0


class Directory:
    """Serves the address directory and the readiness probe."""

    def __init__(
        self,
        request_handler: RequestHandler,
        membership: Membership,
        codec: HeaderCodec,
        address_ttl_s: Callable[[], float],
    ) -> None:
        self._request_handler = request_handler
        self._membership = membership
        self._codec = codec
        self._address_ttl_s = address_ttl_s

    async def ready(self, request: web.BaseRequest) -> web.Response:
        """Responds with 200 if this VM accepts new requests, and 503 otherwise."""
        return web.Response(status=200 if self._request_handler.is_ready() else 503)

    async def resolve(self, request: web.BaseRequest) -> web.Response:
        """Responds with the addresses for the caller's failure domain."""
        addresses = self._membership.addresses(
            self._codec.caller_failure_domain(request.query)
        )
        if not addresses:
            return web.Response(status=503)
        body = self._codec.addresses_body(addresses, self._address_ttl_s())
        return web.json_response(body)


def create_server(handler: Handler, guard: CallerGuard | None = None) -> web.Server:
    """Returns a server that cancels the handler of a caller that disconnects."""
    return BoundedServer(
        handler,
        guard,
        handler_cancellation=True,
        access_log=None,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        keepalive_timeout=CALLER_KEEPALIVE_S,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
    )


def _close_idle_connections(server: web.Server) -> None:
    """
    Closes the connections that wait for their next request.

    `Server.pre_shutdown` does not: it leaves them open and ignores what they receive,
    also the rest of a request body.
    """
    for connection in server.connections:
        if _is_idle(connection):
            # A request may have arrived that the loop has not read yet.
            read = getattr(connection.transport, "_read_ready", None)
            if read is not None:
                read()
            if _is_idle(connection):
                connection.force_close()


def _is_idle(connection: web.RequestHandler) -> bool:
    return connection._waiter is not None and not connection._waiter.done()


def _stop_accepting(sites: list[web.BaseSite]) -> None:
    """
    Leaves new connections to the listening sockets, which reset them when they close.

    `asyncio.Server.close` alone would lose a connection that was accepted in the same
    turn of the loop: its transport cannot be created, and its socket stays open.
    """
    loop = asyncio.get_running_loop()
    for site in sites:
        if isinstance(site._server, asyncio.Server):
            for listener in site._server.sockets:
                loop.remove_reader(listener.fileno())


class Gateway(Service):
    """A gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        table: VersionedTable,
        decoder: RowDecoder,
        codec: HeaderCodec,
    ) -> None:
        super().__init__()
        self.settings = settings
        # For all that is held for callers, upstreams and other VMs.
        self.memory = MemoryBudget(memory_budget_bytes(settings.memory_mb))
        self.store = table = StoreCircuitBreaker(table)
        self.config_watcher = ConfigWatcher(table, decoder, settings.drain_ms)
        self.membership = Membership(table, settings)
        self.peers = Peers(table, self.membership, settings)
        self.liveness_probes = LivenessProbes(settings.vm, self.membership, self.peers)
        self.outage_detector = OutageDetector(
            settings.vm, table, self.membership, self.peers
        )
        coordinators = Coordinators(settings.vm, table, self.membership, self.peers)

        offline_rights = OfflineRights(
            table, self.membership, coordinators, self.peers, self.outage_detector
        )
        self.token_buckets = TokenBuckets(
            table,
            settings,
            offline_rights.may_grant,
            offline_rights.granted_elsewhere_until_s,
        )
        self.rate_limiter = RateLimiter(
            self.token_buckets,
            coordinators,
            self.config_watcher,
            settings,
        )
        self.rate_limiter.register_handlers(self.peers.handlers)
        self.budgets = Budgets(
            table,
            settings.settle_ms / 1000,
            offline_rights.may_grant,
            lambda part: coordinators.is_coordinator(f"{BUDGETS_TABLE}/{part}"),
            offline_rights.sole_granter_s,
        )
        self.turns = TurnBudgets(settings.vm, self.budgets, coordinators, self.peers)
        self.placement = Placement()
        self.announcements = Announcements(settings.vm, self.membership, self.peers)
        self.upstream_limits = UpstreamLimits(coordinators, self.announcements)
        self.upstream_limits.register_handlers(self.peers.handlers)
        self.quarantine_rows = QuarantineRows(table)
        self.quarantine = Quarantine(
            coordinators,
            self.peers,
            self.announcements,
            refuses_connections,
            self.quarantine_rows,
        )
        self.quarantine.register_handlers(self.peers.handlers)
        self.crash_detector = CrashDetector(
            self.quarantine, self.config_watcher.is_leaving, self._probe_upstream
        )
        self.config_watcher.on_upstreams_read = self.crash_detector.observe
        self.version_splits = VersionSplits(table, self.config_watcher, coordinators)
        self.stream_versions = StreamVersions(
            self.version_splits, coordinators, self.peers, table.is_available
        )
        self.stream_versions.register_handlers(self.peers.handlers)
        self.history_coordinator = HistoryCoordinator(
            table, max_memory_bytes(settings.memory_mb), self.memory
        )
        self.history_coordinator.register_handlers(self.peers.handlers)
        self.histories = Histories(
            self.history_coordinator,
            coordinators,
            self.membership,
            table,
            self.peers,
        )
        self.turn_cleanup = TurnCleanup(
            settings.vm, table, self.membership, self.config_watcher
        )
        self.upstreams = UpstreamClient(codec, self.upstream_limits)
        self.upstreams.on_leaving = self.config_watcher.record_leaving
        self.scheduler_service = SchedulerService(
            self.config_watcher, self.membership, settings
        )
        self.scheduler_service.register_handlers(self.peers.handlers)
        self.scheduling = SchedulingClient(
            self.config_watcher,
            self.membership,
            self.peers,
            self.scheduler_service,
            self.upstreams.connected,
        )
        self.request_handler = RequestHandler(
            self.config_watcher,
            self.rate_limiter,
            self.turns,
            self.placement,
            self.membership,
            self.upstreams,
            self.upstream_limits,
            self.quarantine,
            self.stream_versions,
            self.histories,
            codec,
            settings.key_revocation_ms,
            settings.evacuation_ms,
            self.scheduling,
        )
        connections = max_connections(settings.max_descriptors, self.memory.limit_bytes)
        self.connection_guard = ConnectionGuard(
            self.memory, connections, "callers", self.request_handler.limits
        )
        # Callers cannot keep the readiness probe from its answer.
        self.service_guard = ConnectionGuard(
            self.memory,
            max_service_connections(connections),
            "services",
            self.request_handler.limits,
        )
        self.explainer = Explainer(
            self.config_watcher,
            self.membership,
            self.placement,
            self.quarantine,
            self.rate_limiter,
            self.upstream_limits,
            self.version_splits,
            self.history_coordinator,
            self.scheduling,
            self.request_handler,
            settings,
        )
        self.membership.is_ready = self.request_handler.is_ready
        self.directory = Directory(
            self.request_handler, self.membership, codec, self._address_ttl_s
        )
        self.config_watcher.on_applied = self._on_configuration
        self._runners: list[web.ServerRunner] = []
        # While it stops: since when, and until when requests are served.
        self._stop_started_s: float | None = None
        self._stop_deadline_s = math.inf

    async def _probe_upstream(self, upstream: Upstream) -> Liveness:
        config = self.config_watcher.config
        service = config.services.get(upstream.service) if config is not None else None
        health_path = service.health_path if service is not None else ""
        return await self.upstreams.probe(upstream, health_path)

    def _longest_request_s(self) -> float:
        config = self.config_watcher.config
        return config.longest_timeout_ms() / 1000 if config is not None else 0.0

    def _address_ttl_s(self) -> float:
        return address_ttl_s(self.settings, self._longest_request_s())

    def _on_configuration(self) -> None:
        self._check_grace_period()
        if self._stop_started_s is not None:
            self._limit_stop(self._stop_started_s)

    def _limit_stop(self, started_s: float) -> None:
        """
        Fits a stop to the settings and the configuration.

        What is changed during a stop can only shorten it: callers have been told to
        leave, and the process may be killed at the end of the first grace period.
        """
        deadline_s = started_s + serving_s(self.settings)
        self._stop_deadline_s = min(self._stop_deadline_s, deadline_s)
        address_life_s = LEAVE_PROPAGATION_S + (
            self._address_ttl_s() * ADDRESS_RETENTION_FACTOR
        )
        self.request_handler.start_draining(
            started_s + address_life_s, self._stop_deadline_s
        )

    def _check_grace_period(self) -> None:
        """Logs settings with which a planned stop may have to refuse requests."""
        longest_request_s = self._longest_request_s()
        ttl_s = self._address_ttl_s()
        if ttl_s > fitting_ttl_s(self.settings, longest_request_s):
            log.warning(
                "The grace period is too short for the longest route timeout.",
                grace_s=self.settings.grace_s,
                longest_timeout_s=longest_request_s,
                address_ttl_s=ttl_s,
                retention_factor=ADDRESS_RETENTION_FACTOR,
            )

    def on_init_dependencies(self) -> list[ServiceT]:
        return [
            self.config_watcher,
            self.membership,
            self.peers,
            self.liveness_probes,
            self.outage_detector,
            self.announcements,
            self.quarantine_rows,
            self.turns,
            self.budgets,
            self.version_splits,
            self.turn_cleanup,
            self.scheduler_service,
            self.scheduling,
        ]

    async def on_start(self) -> None:
        await self.upstreams.start()
        self.connection_guard.start()
        self.service_guard.start()
        settings = self.settings
        await self._listen(
            self.request_handler.handle, settings.caller_address, self.connection_guard
        )
        guard = self.service_guard
        await self._listen(self._on_ready, settings.ready_address, guard)
        await self._listen(self._on_directory, settings.directory_address, guard)
        await self._listen(self._on_metrics, settings.metrics_address, guard)
        log.info(
            "Started.",
            vm=settings.vm,
            callers=settings.caller_address,
            memory_budget_bytes=self.memory.limit_bytes,
            max_connections=self.connection_guard.max_connections,
        )

    async def _on_ready(self, request: web.BaseRequest) -> web.StreamResponse:
        return await self.directory.ready(request)

    async def _on_directory(self, request: web.BaseRequest) -> web.StreamResponse:
        return await self.directory.resolve(request)

    async def _on_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == EXPLAIN_PATH:
            return await self.explainer.handle(request)
        return await metrics_response(request)

    async def _listen(
        self, handler: Handler, address: Address, guard: ConnectionGuard
    ) -> None:
        server = create_server(handler, guard)
        runner = web.ServerRunner(server, shutdown_timeout=CUT_TIMEOUT_S)
        await runner.setup()
        backlog = backlog_size(guard.max_connections)
        await web.TCPSite(
            runner, address.host, address.port, backlog=backlog, reuse_address=True
        ).start()
        self._runners.append(runner)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """
        Replaces the settings that need no restart.

        Logs the changed ones by name, and those that take effect after a restart.
        """
        changed = self.settings.changed_fields(settings)
        log.info(
            "The settings file has changed.",
            applied=sorted(LIVE_SETTINGS.intersection(changed)),
            after_restart=sorted(set(changed) - LIVE_SETTINGS),
        )
        self.settings = settings = self.settings.with_live_settings(settings)
        self.token_buckets.settings = settings
        self.rate_limiter.settings = settings
        self.membership.settings = settings
        self.scheduler_service.settings = settings
        self.config_watcher.drain_ms = settings.drain_ms
        self.request_handler.key_revocation_ms = settings.key_revocation_ms
        self.request_handler.evacuation_ms = settings.evacuation_ms
        self.budgets.settle_s = settings.settle_ms / 1000
        self._on_configuration()

    async def drain(self) -> None:
        """
        Serves requests until callers have switched to other addresses and no request is
        active.

        Returns within the grace period.
        """
        started_s = boottime_s()
        settings = self.settings
        log.info(
            "Leaving.", vm=settings.vm, running=self.request_handler.active_requests
        )
        self._stop_started_s = started_s
        self._limit_stop(started_s)
        await self.membership.leave()
        addresses_expire_s = (
            started_s + settings.address_ttl_s * ADDRESS_RETENTION_FACTOR
        )
        while boottime_s() < self._stop_deadline_s:
            if (
                boottime_s() >= addresses_expire_s
                and not self.request_handler.active_requests
            ):
                break
            await asyncio.sleep(STOP_POLL_S)
        log.info(
            "Closing the listeners.",
            vm=settings.vm,
            running=self.request_handler.active_requests,
            left_ms=round((self._stop_deadline_s - boottime_s()) * 1000),
        )

    async def _finish_requests(self) -> None:
        """
        Accepts no more connections, and waits until those with a request have closed.

        After `drain`, requests still arrive on connections that are open. One without a
        request is closed at once. The others close after their response, because the
        VM drains, and a response may take some time to be read.
        """
        sites = [site for runner in self._runners for site in runner.sites]
        _stop_accepting(sites)
        await asyncio.sleep(STOP_POLL_S)
        for site in sites:
            await site.stop()
        servers = [runner.server for runner in self._runners if runner.server]
        empty_polls = 0
        while empty_polls < EMPTY_POLLS:
            await asyncio.sleep(STOP_POLL_S)
            for server in servers:
                _close_idle_connections(server)
            is_open = any(server.connections for server in servers)
            empty_polls = 0 if is_open else empty_polls + 1
            if boottime_s() >= self._stop_deadline_s + CONNECTION_CLOSE_S:
                return

    def _unfinished_connections(self) -> list[asyncio.BaseTransport]:
        """Returns the callers' connections with a request or part of a response."""
        server = self._runners[0].server if self._runners else None
        return [
            connection.transport
            for connection in (server.connections if server else [])
            if connection._request_in_progress and connection.transport is not None
        ]

    async def on_stop(self) -> None:
        await self._finish_requests()
        self.request_handler.mark_cut(self._unfinished_connections())
        for runner in self._runners:
            await runner.cleanup()
        if self.request_handler.active_requests:
            # Lets the handlers that were cancelled end, and log that they were cut.
            await asyncio.sleep(STOP_POLL_S)
        await self.upstreams.stop()
        self.connection_guard.stop()
        self.service_guard.stop()
        log.info(
            "Stopped.",
            vm=self.settings.vm,
            running=self.request_handler.active_requests,
        )
