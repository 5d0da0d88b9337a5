"""
Handles requests of callers: admission, choice of an upstream and the response.

A refusal with status 429, 503 or 402 is sent only for a request that did not run and
will not run. Once a request may have run, the only outcomes are its response, a 502 or
504, or a connection that is closed early.
"""

import asyncio
import math
from collections.abc import Iterable
from weakref import WeakKeyDictionary

from aiohttp import hdrs, web

from damasksaddle.exceptions import (
    HeadersTooLarge,
    KeyRejected,
    NotFresh,
    NotRun,
    OutcomeUnknown,
    Refusal,
    RouteNotFound,
    Stopping,
    StoreUnavailable,
    UpstreamUnavailable,
)
from damasksaddle.utils import (
    Counter,
    Timing,
    boottime_s,
    count,
    get_logger,
    measure,
)
from damasksaddle.utils.connections import close_after, connection_of
from damasksaddle_gateway.calls import Call, request_fingerprints
from damasksaddle_gateway.config_watcher import ConfigWatcher
from damasksaddle_gateway.coordinators import STORE_RETRY_S
from damasksaddle_gateway.dispatch import (
    NO_UPSTREAM_RETRY_S,
    Dispatcher,
    timeout_refusal,
)
from damasksaddle_gateway.events import EventSplitter
from damasksaddle_gateway.histories.histories import Histories
from damasksaddle_gateway.interfaces import HeaderCodec, RequestMetadata
from damasksaddle_gateway.membership import Membership
from damasksaddle_gateway.memory.bodies import read_body
from damasksaddle_gateway.placement import Placement
from damasksaddle_gateway.progress import Progress
from damasksaddle_gateway.quarantine import Quarantine
from damasksaddle_gateway.rate_limiter import RateLimiter
from damasksaddle_gateway.relay import ResponseRelay
from damasksaddle_gateway.routing_config import (
    AtMostOnce,
    Idempotent,
    Limits,
    Route,
    RouteKind,
    RoutingConfig,
    Streaming,
    Workspace,
    is_resumable,
)
from damasksaddle_gateway.scheduling.client import SchedulingClient
from damasksaddle_gateway.stream_versions import StreamVersions
from damasksaddle_gateway.turns import TurnBudgets
from damasksaddle_gateway.upstream_limits import UpstreamLimits
from damasksaddle_gateway.upstreams import (
    UpstreamClient,
)

log = get_logger("front")

# A configuration counts as current for this share of the bound on its age after it was
# last verified. The rest covers the time from this check until the request reaches an
# upstream.
CONFIG_AGE_SHARE = 0.92
# Retry-After of refusals for temporary conditions.
NOT_FRESH_RETRY_S = 0.5
# Another VM can serve the request at once.
STOPPING_RETRY_S = 0.0
# Shares of a request's timeout that it may wait for its rate. A program fails with a
# single call that fails, and most calls take a small part of their time to run. Callers
# abandon a stream that does not start within two seconds.
CALL_RATE_WAIT_SHARE = 0.75
STREAM_RATE_WAIT_SHARE = 0.45
# Share of a request's timeout that it may wait for its budget.
BUDGET_WAIT_SHARE = 0.2
# Reservation for a turn that does not declare its maximum number of tokens.
DEFAULT_TURN_TOKENS = 1024
# A colon, a space and the line terminator.
HEADER_OVERHEAD_BYTES = 4
# A request times out this long before its deadline, so that the response arrives in
# time.
RESPONSE_MARGIN_S = 0.02


async def _continue_body(request: web.BaseRequest) -> None:
    """Answers a caller that waits for permission to send its body."""
    if request.headers.get(hdrs.EXPECT, "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The head of the response does not depend on what was written before.
        request.writer.output_size = 0


def _find_route(request: web.BaseRequest, config: RoutingConfig) -> Route | None:
    path = request.raw_path.partition("?")[0]
    return config.find_route(request.headers.get(hdrs.HOST, ""), path)


def _time_ms(route: Route, metadata: RequestMetadata) -> float:
    """Returns how long a request may take."""
    return min(route.timeout_ms, metadata.deadline_ms or route.timeout_ms)


def _deadline_s(started_s: float, route: Route, metadata: RequestMetadata) -> float:
    """Returns when a request times out."""
    return started_s + _time_ms(route, metadata) / 1000 - RESPONSE_MARGIN_S


def rate_wait_share(kind: RouteKind) -> float:
    """Returns the share of its time that a request may wait for its rate."""
    match kind:
        case Streaming():
            return STREAM_RATE_WAIT_SHARE
        case Idempotent() | AtMostOnce():
            return CALL_RATE_WAIT_SHARE


def exceeds_engine_memory(call: Call) -> bool:
    """Tells whether no engine of the service can ever run a request."""
    engine = call.service.engine
    if engine is None or not engine.kv_capacity_tokens:
        return False
    metadata = call.metadata
    needed_tokens = metadata.prompt_tokens + metadata.max_output_tokens
    return needed_tokens > engine.kv_capacity_tokens


def check_header_size(request: web.BaseRequest, limit_bytes: int) -> None:
    """Raises `HeadersTooLarge` if the headers exceed the limit."""
    size_bytes = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES
        for name, value in request.raw_headers
    )
    if size_bytes > limit_bytes:
        raise HeadersTooLarge


class RequestHandler:
    """Serves the requests of callers."""

    def __init__(
        self,
        config_watcher: ConfigWatcher,
        rate_limiter: RateLimiter,
        turns: TurnBudgets,
        placement: Placement,
        membership: Membership,
        upstreams: UpstreamClient,
        upstream_limits: UpstreamLimits,
        quarantine: Quarantine,
        stream_versions: StreamVersions,
        histories: Histories,
        codec: HeaderCodec,
        key_revocation_ms: float,
        evacuation_ms: float | None = None,
        scheduling: SchedulingClient | None = None,
    ) -> None:
        self._config_watcher = config_watcher
        self._rate_limiter = rate_limiter
        self._turns = turns
        self._quarantine = quarantine
        self._stream_versions = stream_versions
        self._histories = histories
        self._codec = codec
        self._relay = ResponseRelay(codec, stream_versions)
        self._dispatcher = Dispatcher(
            config_watcher,
            placement,
            membership,
            upstreams,
            upstream_limits,
            quarantine,
            stream_versions,
            codec,
            self._relay,
            self._check_config,
            scheduling,
        )
        # How long a withdrawn key may remain accepted.
        self.key_revocation_ms = key_revocation_ms
        # How long an evacuated failure domain may get requests; None without a bound.
        self.evacuation_ms = evacuation_ms
        self.draining = False
        # While it drains: when callers no longer use the address, and when the process
        # stops serving.
        self._addresses_expire_s = self._stop_deadline_s = math.inf
        self.active_requests = 0
        # By connection, for requests of connections that are open.
        self._progress: WeakKeyDictionary[asyncio.BaseTransport, Progress] = (
            WeakKeyDictionary()
        )

    def start_draining(self, addresses_expire_s: float, stop_deadline_s: float) -> None:
        """
        Tells callers to leave; the process serves until `stop_deadline_s`.

        After `addresses_expire_s`, requests that might take longer are refused. If
        called again, the earlier times hold.
        """
        self.draining = True
        self._addresses_expire_s = min(self._addresses_expire_s, addresses_expire_s)
        self._stop_deadline_s = min(self._stop_deadline_s, stop_deadline_s)

    def _check_stop(self, started_s: float, deadline_s: float) -> None:
        """Raises `Stopping` for a late request that may run when the process ends."""
        is_late = started_s > self._addresses_expire_s
        if is_late and deadline_s > self._stop_deadline_s:
            raise Stopping(retry_after_s=STOPPING_RETRY_S)

    def max_config_age_s(self) -> float:
        """Returns the age from which the configuration is too old to serve requests."""
        bound_ms = self.key_revocation_ms
        if self.evacuation_ms is not None:
            bound_ms = min(bound_ms, self.evacuation_ms)
        return bound_ms / 1000 * CONFIG_AGE_SHARE

    def is_ready(self) -> bool:
        """Tells whether this VM should get new requests."""
        return (
            not self.draining
            and self._quarantine.is_loaded()
            and self._config_watcher.config is not None
            and self._config_watcher.config_age_s() < self.max_config_age_s()
            and self._config_watcher.upstreams_age_s() < self.max_config_age_s()
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request of a caller."""
        started_s = boottime_s()
        metadata = self._codec.decode_request(request.headers)
        progress = Progress(metadata.request_id, started_s)
        if request.transport is not None:
            self._progress[request.transport] = progress
        self.active_requests += 1
        try:
            call = await self._admit(request, metadata, progress)
            count(Counter.REQUESTS)
            response = await self._serve(request, call)
            if self.draining and not response.prepared:
                close_after(request, response)
            measure(Timing.RESPONSE, (boottime_s() - started_s) * 1000)
            return response
        except Refusal as error:
            response = self._refuse(metadata, error, started_s)
            if self.draining:
                close_after(request, response)
            return response
        except asyncio.CancelledError:
            if progress.is_cut:
                progress.log_cut()
            else:
                count(Counter.CALLER_DISCONNECTS)
                log.info("The caller disconnected.", **progress.log_fields())
            raise
        finally:
            progress.finish()
            self.active_requests -= 1

    def mark_cut(self, connections: Iterable[asyncio.BaseTransport]) -> None:
        """Has requests logged if the end of the process cuts their connections."""
        for connection in connections:
            progress = self._progress.get(connection)
            if progress is None:
                continue
            progress.is_cut = True
            if progress.has_response:
                # Nothing tells whether the rest of the response is still written.
                progress.log_cut()

    def _refuse(
        self, metadata: RequestMetadata, error: Refusal, started_s: float
    ) -> web.Response:
        count(Counter.REFUSALS, error.code)
        config = self._config_watcher.config
        workspace = config.find_workspace(metadata.key) if config else None
        log.info(
            "Refused a request.",
            request=metadata.request_id,
            program=metadata.program.id if metadata.program else "",
            workspace=workspace.name if workspace else "",
            may_begin=bool(metadata.startable_program_id()),
            code=error.code,
            status=error.status,
            not_run=error.not_run,
            retry_after_s=error.retry_after_s,
            config=self._config_watcher.config.version
            if self._config_watcher.config
            else 0,
            config_age_s=round(self._config_watcher.config_age_s(), 3),
            after_ms=round((boottime_s() - started_s) * 1000),
            detail=error.detail,
        )
        response = web.Response(status=error.status, text=error.code)
        if error.retry_after_s is not None:
            response.headers[hdrs.RETRY_AFTER] = f"{error.retry_after_s:.3f}"
        return response

    async def _admit(
        self, request: web.BaseRequest, metadata: RequestMetadata, progress: Progress
    ) -> Call:
        started_s = progress.started_s
        limits = self.limits()
        body_time_ms = min(
            limits.idle_timeout_ms, metadata.deadline_ms or limits.idle_timeout_ms
        )
        config = self._config_watcher.config
        route = _find_route(request, config) if config is not None else None
        if route is not None:
            # The body of a request that is refused for the stop need not arrive.
            self._check_stop(started_s, _deadline_s(started_s, route, metadata))
            body_time_ms = min(body_time_ms, route.timeout_ms)
        await _continue_body(request)
        sender = config.find_workspace(metadata.key) if config is not None else None
        body = await read_body(
            request,
            limits.max_body_bytes,
            body_time_ms / 1000,
            sender.name if sender is not None else "",
        )
        config = self._current_config()
        check_header_size(request, config.limits.max_header_bytes)
        raw_path = request.raw_path
        route = _find_route(request, config)
        if route is None:
            raise RouteNotFound
        workspace = None
        if not route.public:
            workspace = config.find_workspace(metadata.key)
            if workspace is None:
                raise KeyRejected
        service = config.services.get(route.service_for(metadata.stream_id))
        if service is None:
            raise UpstreamUnavailable(retry_after_s=NO_UPSTREAM_RETRY_S)
        fingerprints = request_fingerprints(
            workspace,
            request.method,
            raw_path,
            body,
            metadata.previous_turn_id if route.keeps_history else "",
        )
        self._quarantine.check(fingerprints)
        call = Call(
            metadata=metadata,
            route=route,
            service=service,
            workspace=workspace,
            method=request.method,
            raw_path=raw_path,
            body=body,
            fingerprints=fingerprints,
            started_s=started_s,
            deadline_s=_deadline_s(started_s, route, metadata),
            last_event_id=metadata.last_event_id,
            events=EventSplitter(metadata.last_event_id),
            draining=self.draining,
            connection=connection_of(request),
        )
        progress.admit(call)
        self._check_stop(started_s, call.deadline_s)
        if exceeds_engine_memory(call):
            raise UpstreamUnavailable("the request exceeds an engine's memory")
        self._dispatcher.check_evacuation(call)
        if workspace is not None:
            urgent = route.priority == config.most_urgent_priority()
            await self._acquire_rate(call, workspace, urgent)
        return call

    async def _acquire_rate(
        self, call: Call, workspace: Workspace, urgent: bool
    ) -> None:
        """Takes a token of the workspace's rate; raises a refusal at the deadline."""
        time_ms = _time_ms(call.route, call.metadata)
        wait_s = time_ms / 1000 * rate_wait_share(call.route.kind)
        try:
            # Other VMs and the store may respond later than the wait allows.
            async with asyncio.timeout(max(0.0, call.time_left_s())):
                await self._rate_limiter.acquire(
                    workspace, wait_s, call.metadata, urgent
                )
        except TimeoutError as error:
            raise StoreUnavailable(
                f"{workspace.name}: no token before the deadline",
                retry_after_s=STORE_RETRY_S,
            ) from error
        measure(Timing.RATE_WAIT, (boottime_s() - call.started_s) * 1000)

    def limits(self) -> Limits:
        """Returns the limits for callers that are in force."""
        config = self._config_watcher.config
        return Limits() if config is None else config.limits

    def _current_config(self) -> RoutingConfig:
        config = self._config_watcher.config
        if (
            config is None
            or self._config_watcher.config_age_s() >= self.max_config_age_s()
        ):
            raise NotFresh(retry_after_s=NOT_FRESH_RETRY_S)
        return config

    def _check_config(self, call: Call) -> None:
        """
        Raises `NotFresh` if the configuration is too old for a call that waited.

        Meanwhile its key may have been withdrawn, or a failure domain evacuated in a
        way that this VM has not read yet.
        """
        if call.workspace is not None or self.evacuation_ms is not None:
            self._current_config()

    async def _serve(self, request: web.BaseRequest, call: Call) -> web.StreamResponse:
        try:
            if call.time_left_s() <= 0:
                raise TimeoutError
            async with asyncio.timeout(call.time_left_s()):
                if is_resumable(call.route.kind) and call.continues_stream:
                    await self._histories.find_resumed(call)
                    if call.version is None:
                        call.version = await self._stream_versions.find(call)
                await self._histories.prepare(call, lambda: self._reserve(call))
                response = await self._dispatcher.serve(request, call)
                if call.recorder is not None and response is call.response:
                    await self._histories.keep(call)
                    await self._relay.end_turn(call, call.recorder)
                return response
        except TimeoutError as error:
            if call.response is not None:
                return self._relay.abort(request, call, "timeout")
            raise timeout_refusal(call) from error
        except Refusal as error:
            if call.response is not None:
                return self._relay.abort(request, call, "failed")
            if call.may_have_run and error.not_run is NotRun.YES:
                raise OutcomeUnknown(
                    f"after an earlier attempt: {error.detail}"
                ) from error
            raise
        finally:
            self._settle(call)
            self._histories.finish(call)
            call.memory.release()

    async def _reserve(self, call: Call) -> None:
        program = call.metadata.program
        if program is None or program.budget_tokens is None:
            return
        if not isinstance(call.route.kind, Streaming):
            return
        max_turn_tokens = call.metadata.max_output_tokens
        if max_turn_tokens <= 0:
            max_turn_tokens = min(program.budget_tokens, DEFAULT_TURN_TOKENS)
        started_s = boottime_s()
        call.reservation = await self._turns.reserve(
            # Requests on public routes have no workspace.
            call.workspace.name if call.workspace is not None else "",
            program.id,
            program.budget_tokens,
            max_turn_tokens,
            call.time_left_s() * BUDGET_WAIT_SHARE,
            call.time_left_s(),
            bool(call.metadata.startable_program_id()),
        )
        measure(Timing.BUDGET_WAIT, (boottime_s() - started_s) * 1000)

    def _settle(self, call: Call) -> None:
        if call.reservation is not None:
            self._turns.settle(call.reservation, call.tokens_used)
        if not call.may_have_run and call.workspace is not None:
            self._rate_limiter.return_token(call.workspace)
