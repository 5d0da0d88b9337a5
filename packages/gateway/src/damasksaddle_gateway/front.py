"""
Serves callers: admits a request, finds an upstream for it and passes the answer on.

A refusal with status 429, 503 or 402 is sent only for a request that did not run and
will not run. As soon as a request may have run, what is left is its answer, 502 or
504, or a connection that ends early.
"""

import asyncio

from aiohttp import hdrs, web

from damasksaddle.exceptions import (
    BodyTooLarge,
    DeadlineExceeded,
    HeadersTooLarge,
    KeyRejected,
    NotFresh,
    NotRun,
    OutcomeUnknown,
    Refusal,
    RouteNotFound,
    UpstreamUnavailable,
)
from damasksaddle.utils import Counter, Timing, boottime_s, count, get_logger, measure
from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.interfaces import HeaderCodec, RequestMetadata
from damasksaddle_gateway.placement import Placement
from damasksaddle_gateway.rates import Rates
from damasksaddle_gateway.relay import Relay
from damasksaddle_gateway.roster import Roster
from damasksaddle_gateway.routing_config import (
    AtMostOnce,
    Idempotent,
    Limits,
    RoutingConfig,
    Streaming,
    Upstream,
    is_retryable,
)
from damasksaddle_gateway.turns import TurnBudgets
from damasksaddle_gateway.upstreams import (
    Answer,
    BrokenOff,
    NotReached,
    NotTaken,
    UpstreamClient,
)
from damasksaddle_gateway.view import View

log = get_logger("front")

# A key may work for this share of the bound on revocation after the last proof; the
# rest covers what a request takes from this check to its upstream.
KEY_FRESH_SHARE = 0.92
# Retry-After of refusals that pass by themselves.
NOT_FRESH_RETRY_S = 0.5
NO_UPSTREAM_RETRY_S = 0.2
# The parts of a request's time that it may wait for its rate and for its budget.
RATE_PATIENCE_SHARE = 0.2
BUDGET_PATIENCE_SHARE = 0.2
# How often upstreams may say that they have no room until a request is refused.
MAX_REJECTIONS = 6
# What a turn may generate that does not tell its size.
UNKNOWN_TURN_TOKENS = 1024
# The part of what is left that a request may wait for room at an upstream.
PLACEMENT_PATIENCE_SHARE = 0.5
# A colon, a space and the end of the line.
HEADER_FRAMING_BYTES = 4
# The answer to a request that has run out of time should leave a little earlier.
ANSWER_MARGIN_S = 0.02


async def read_body(request: web.BaseRequest, limit_bytes: int) -> bytes:
    """Returns the whole body; raises `BodyTooLarge` as soon as it is."""
    chunks = []
    size_bytes = 0
    async for chunk in request.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise BodyTooLarge
        chunks.append(chunk)
    return b"".join(chunks)


def check_header_size(request: web.BaseRequest, limit_bytes: int) -> None:
    """Raises `HeadersTooLarge` if the headers are larger than the limit."""
    size_bytes = sum(
        len(name) + len(value) + HEADER_FRAMING_BYTES
        for name, value in request.raw_headers
    )
    if size_bytes > limit_bytes:
        raise HeadersTooLarge


class Front:
    """Handles the requests of callers."""

    def __init__(
        self,
        view: View,
        rates: Rates,
        turns: TurnBudgets,
        placement: Placement,
        roster: Roster,
        upstreams: UpstreamClient,
        wire: HeaderCodec,
        key_revocation_ms: float,
    ) -> None:
        self._view = view
        self._rates = rates
        self._turns = turns
        self._placement = placement
        self._roster = roster
        self._upstreams = upstreams
        self._wire = wire
        self._relay = Relay(wire)
        self._listed: dict[str, Upstream] = {}
        self._key_fresh_s = key_revocation_ms / 1000 * KEY_FRESH_SHARE
        self.leaving = False
        self.running = 0

    def is_ready(self) -> bool:
        """Tells whether this VM should get new requests."""
        return (
            not self.leaving
            and self._view.catalogue is not None
            and self._view.config_age_s() < self._key_fresh_s
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request of a caller."""
        began_s = boottime_s()
        facts = self._wire.decode_request(request.headers)
        self.running += 1
        try:
            call = await self._admit(request, facts, began_s)
            count(Counter.REQUESTS)
            response = await self._serve(request, call)
            if self.leaving:
                response.force_close()
            measure(Timing.RESPONSE, (boottime_s() - began_s) * 1000)
            return response
        except Refusal as error:
            return self._refuse(facts, error, began_s)
        except asyncio.CancelledError:
            count(Counter.CALLER_DISCONNECTS)
            log.info("The caller left.", request=facts.request_id)
            raise
        finally:
            self.running -= 1

    def _refuse(
        self, facts: RequestMetadata, error: Refusal, began_s: float
    ) -> web.Response:
        count(Counter.REFUSALS, error.code)
        catalogue = self._view.catalogue
        workspace = catalogue.find_workspace(facts.key) if catalogue else None
        log.info(
            "Refused a request.",
            request=facts.request_id,
            program=facts.program.id if facts.program else "",
            workspace=workspace.name if workspace else "",
            may_begin=bool(facts.startable_program_id()),
            code=error.code,
            status=error.status,
            not_run=error.not_run,
            retry_after_s=error.retry_after_s,
            config=self._view.catalogue.version if self._view.catalogue else 0,
            config_age_s=round(self._view.config_age_s(), 3),
            after_ms=round((boottime_s() - began_s) * 1000),
            detail=error.detail,
        )
        response = web.Response(status=error.status, text=error.code)
        if error.retry_after_s is not None:
            response.headers[hdrs.RETRY_AFTER] = f"{error.retry_after_s:.3f}"
        if self.leaving:
            response.force_close()
        return response

    async def _admit(
        self, request: web.BaseRequest, facts: RequestMetadata, began_s: float
    ) -> Call:
        body = await read_body(request, self._limits().max_body_bytes)
        catalogue = self._fresh_catalogue()
        check_header_size(request, catalogue.limits.max_header_bytes)
        raw_path = request.raw_path
        path = raw_path.partition("?")[0]
        route = catalogue.find_route(request.headers.get(hdrs.HOST, ""), path)
        if route is None:
            raise RouteNotFound
        workspace = None
        if not route.public:
            workspace = catalogue.find_workspace(facts.key)
            if workspace is None:
                raise KeyRejected
        service = catalogue.services.get(route.service_for(facts.request_id))
        if service is None:
            raise UpstreamUnavailable(retry_after_s=NO_UPSTREAM_RETRY_S)
        time_ms = min(route.timeout_ms, facts.deadline_ms or route.timeout_ms)
        call = Call(
            facts=facts,
            route=route,
            service=service,
            workspace=workspace,
            method=request.method,
            raw_path=raw_path,
            body=body,
            began_s=began_s,
            ends_s=began_s + time_ms / 1000 - ANSWER_MARGIN_S,
            last_event_id=facts.last_event_id,
            leaving=self.leaving,
        )
        if workspace is not None:
            await self._rates.acquire(
                workspace,
                time_ms / 1000 * RATE_PATIENCE_SHARE,
                facts.startable_program_id(),
                route.priority == catalogue.most_urgent_priority(),
            )
            measure(Timing.RATE_WAIT, (boottime_s() - began_s) * 1000)
        return call

    def _limits(self) -> Limits:
        catalogue = self._view.catalogue
        return Limits() if catalogue is None else catalogue.limits

    def _fresh_catalogue(self) -> RoutingConfig:
        catalogue = self._view.catalogue
        if catalogue is None or self._view.config_age_s() >= self._key_fresh_s:
            raise NotFresh(retry_after_s=NOT_FRESH_RETRY_S)
        return catalogue

    async def _serve(self, request: web.BaseRequest, call: Call) -> web.StreamResponse:
        try:
            async with asyncio.timeout(max(0.0, call.time_left_s())):
                await self._reserve(call)
                return await self._try_upstreams(request, call)
        except TimeoutError as error:
            if call.response is not None:
                return self._relay.break_off(request, call, "timeout")
            raise self._out_of_time(call) from error
        except Refusal as error:
            if call.response is not None:
                return self._relay.break_off(request, call, "failed")
            if call.may_have_run and error.not_run is NotRun.YES:
                raise OutcomeUnknown(f"after a try: {error.detail}") from error
            raise
        finally:
            self._settle(call)

    @staticmethod
    def _out_of_time(call: Call) -> Refusal:
        if call.may_have_run:
            return DeadlineExceeded(not_run=NotRun.UNKNOWN)
        return UpstreamUnavailable(retry_after_s=NO_UPSTREAM_RETRY_S)

    async def _reserve(self, call: Call) -> None:
        program = call.facts.program
        if program is None or program.budget_tokens is None or call.workspace is None:
            return
        if not isinstance(call.route.kind, Streaming):
            return
        most = call.facts.max_output_tokens
        if most <= 0:
            most = min(program.budget_tokens, UNKNOWN_TURN_TOKENS)
        began_s = boottime_s()
        call.reservation = await self._turns.reserve(
            call.workspace.name,
            program.id,
            program.budget_tokens,
            most,
            call.time_left_s() * BUDGET_PATIENCE_SHARE,
            call.time_left_s(),
            bool(call.facts.startable_program_id()),
        )
        measure(Timing.BUDGET_WAIT, (boottime_s() - began_s) * 1000)

    def _settle(self, call: Call) -> None:
        if call.reservation is not None:
            self._turns.settle(call.reservation, call.tokens_used)
        if not call.may_have_run and call.workspace is not None:
            self._rates.give_back(call.workspace)

    async def _try_upstreams(
        self, request: web.BaseRequest, call: Call
    ) -> web.StreamResponse:
        """Tries upstreams until one answers, as far as the route allows."""
        while True:
            upstream = await self._next_upstream(call)
            self._placement.begin(upstream)
            try:
                return await self._try_one(request, call, upstream)
            except NotReached as error:
                self._placement.failed(upstream)
                self._log_try(call, upstream, "not_reached", error)
            except NotTaken as error:
                self._placement.full(upstream)
                call.rejections += 1
                if not error.misdirected:
                    # It may have room again a moment later.
                    call.tried.remove(upstream.id)
                self._log_try(call, upstream, "not_taken", error)
            except BrokenOff as error:
                self._placement.failed(upstream)
                self._log_try(call, upstream, "broken_off", error)
                self._check_repeat(call)
            finally:
                self._placement.end(upstream)

    async def _next_upstream(self, call: Call) -> Upstream:
        began_s = boottime_s()
        until_s = began_s + call.time_left_s() * PLACEMENT_PATIENCE_SHARE
        while True:
            if self._listed is not self._view.upstreams:
                self._listed = self._view.upstreams
                self._placement.keep_only(list(self._listed.values()))
            candidates = [
                upstream
                for upstream in self._view.of_service(call.service.name)
                if upstream.id not in call.tried
            ]
            vms = len(self._roster.alive())
            free = [
                candidate
                for candidate in candidates
                if self._placement.has_room(candidate, call.service, vms)
            ]
            upstream = self._placement.choose(free, call.service, call.facts)
            if upstream is not None:
                break
            if call.rejections >= MAX_REJECTIONS:
                raise self._no_upstream(call)
            if not candidates or not await self._placement.wait_for_room(
                candidates, call.service, vms, until_s
            ):
                raise self._no_upstream(call)
        if call.workspace is not None:
            # A key may have been withdrawn while the request waited.
            self._fresh_catalogue()
        call.tried.append(upstream.id)
        measure(Timing.PLACEMENT_WAIT, (boottime_s() - began_s) * 1000)
        return upstream

    @staticmethod
    def _no_upstream(call: Call) -> Refusal:
        if call.may_have_run:
            return OutcomeUnknown()
        return UpstreamUnavailable(
            f"tried {len(call.tried)}, {call.rejections} had no room",
            retry_after_s=NO_UPSTREAM_RETRY_S,
        )

    def _check_repeat(self, call: Call) -> None:
        """Raises unless another upstream may run the request after a broken try."""
        if not is_retryable(call.route.kind):
            raise OutcomeUnknown
        if call.attempts >= call.route.max_attempts:
            raise OutcomeUnknown

    async def _try_one(
        self, request: web.BaseRequest, call: Call, upstream: Upstream
    ) -> web.StreamResponse:
        headers = self._wire.upstream_headers(
            call.facts,
            upstream,
            call.workspace,
            call.time_left_s() * 1000,
            call.last_event_id,
            self._engine_priority(call),
        )
        sent = self._upstreams.send(
            upstream,
            call.method,
            call.raw_path,
            headers,
            call.body,
            call.facts.request_id,
        )
        before = call.may_have_run
        call.may_have_run = True
        call.attempts += 1
        try:
            async with sent as answer:
                if answer.status < web.HTTPMultipleChoices.status_code:
                    self._check_signature(answer)
                match call.route.kind:
                    case Streaming() if answer.status == web.HTTPOk.status_code:
                        response = await self._relay.events(request, call, answer)
                    case Streaming() | Idempotent() | AtMostOnce():
                        response = await self._relay.whole(call, answer)
        except (NotReached, NotTaken):
            call.may_have_run = before
            call.attempts -= 1
            raise
        self._placement.succeeded(upstream)
        self._log_try(call, upstream, str(response.status), None)
        return response

    @staticmethod
    def _check_signature(answer: Answer) -> None:
        """Raises if a success does not come from an upstream's own work."""
        if not answer.facts.signed:
            raise BrokenOff("a success without a signature")

    @staticmethod
    def _engine_priority(call: Call) -> int | None:
        """Returns how urgent an engine should take a request, 0 first."""
        if call.service.engine is None:
            return None
        if call.workspace is not None and call.workspace.priority is not None:
            return call.workspace.priority
        return call.route.priority

    def _log_try(
        self, call: Call, upstream: Upstream, outcome: str, error: Exception | None
    ) -> None:
        count(Counter.UPSTREAM_ATTEMPTS, outcome)
        log.info(
            "An upstream was tried.",
            request=call.facts.request_id,
            program=call.facts.program.id if call.facts.program else "",
            workspace=call.workspace.name if call.workspace else "",
            route=call.route.name,
            upstream=upstream.id,
            outcome=outcome,
            error=error,
            attempt=call.attempts,
            events=call.events.count,
            outstanding=self._placement.standing(upstream).outstanding,
            upstreams_age_s=round(self._view.upstreams_age_s(), 3),
            after_ms=round((boottime_s() - call.began_s) * 1000),
            left_ms=round(call.time_left_s() * 1000),
        )
