"""The HTTP API for callers."""

import asyncio
import json
from contextlib import aclosing
from dataclasses import replace
from typing import Any

from aiohttp import hdrs, web
from aiohttp.http import HttpProcessingError

from damasksaddle.config import RouteKind
from damasksaddle.exceptions import (
    BadRequest,
    BodyTooLarge,
    OutcomeUnknown,
    Refusal,
    RouteNotFound,
)
from damasksaddle.utils import new_id
from damasksaddle_node.addresses import caller_addresses
from damasksaddle_node.entry import CallerRequest, Entry, single_call_program_id
from damasksaddle_node.fleet.lease import Freshness
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.http.parsing import (
    HEADER_PREFIX,
    ProgramBody,
    bearer_key,
    parse_chat_call,
    parse_json_object,
    parse_plain_call,
    reject_workspace_keys,
    validate_model,
)
from damasksaddle_node.http.problems import handle_expect, problem_middleware
from damasksaddle_node.http.rendering import (
    CompletionEvents,
    add_call_headers,
    completion_body,
    plain_response,
)
from damasksaddle_node.programs.records import CALL_OUTCOME_ADAPTER, CallOutcome
from damasksaddle_node.settings import Settings
from damasksaddle_protocol import CallChunk, CallEnd

JSON_CONTENT_TYPE = "application/json"
# Timeout for receiving a complete request body.
BODY_TIMEOUT_S = 60.0
# A caller that reads nothing for this long is disconnected. Otherwise it could delay
# a graceful shutdown and occupy memory without limit.
WRITE_TIMEOUT_S = 60.0


class CallerApi:
    """Request handlers of the caller API."""

    def __init__(
        self, entry: Entry, fleet: FleetLog, freshness: Freshness, settings: Settings
    ) -> None:
        self._entry = entry
        self._fleet = fleet
        self._freshness = freshness
        self._settings = settings

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the caller API."""
        return [
            web.get("/healthz", self.health),
            web.get("/v1/addresses", self.addresses),
            web.get("/v1/models", self.list_models),
            web.get("/v1/models/{model:.+}", self.show_model),
            web.post("/v1/chat/completions", self.complete_chat),
            web.post("/v1/services/{service}/{route}", self.call_plain_service),
            web.get("/v1/calls/{reference:.+}", self.read_call),
            web.get("/v1/programs", self.list_programs),
            web.post("/v1/programs", self.start_program),
            web.get("/v1/programs/{program_id:.+}", self.read_program),
            web.post("/v1/programs/{program_id:.+}/end", self.end_program),
        ]

    async def health(self, request: web.Request) -> web.Response:
        self._freshness.check()
        return web.json_response({"status": "ok"})

    async def addresses(self, request: web.Request) -> web.Response:
        program_id = request.query.get("program", "")
        workspace = ""
        if program_id:
            workspace = self._entry.authenticate(bearer_key(request)).workspace
        return web.json_response(
            caller_addresses(
                self._fleet.state,
                self._settings.timing.hold_s,
                request.query.get("failure_domain", self._settings.failure_domain),
                workspace,
                program_id,
            )
        )

    async def list_models(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"object": "list", "data": self._visible_models(request)}
        )

    async def show_model(self, request: web.Request) -> web.Response:
        for model in self._visible_models(request):
            if model["id"] == request.match_info["model"]:
                return web.json_response(model)
        raise RouteNotFound("there is no such model")

    def _visible_models(self, request: web.Request) -> list[dict[str, Any]]:
        """Returns the model routes that the caller's workspace may use."""
        workspace = self._entry.authenticate(bearer_key(request)).workspace
        return [
            {
                "id": f"{service}/{name}",
                "object": "model",
                "created": version.at_unix_s,
                "owned_by": service,
            }
            for service, version in self._fleet.state.documents.items()
            for name, route in version.document.routes.items()
            if version.document.pools[route.pool].kind is RouteKind.MODEL
            and (route.workspaces is None or workspace in route.workspaces)
        ]

    async def complete_chat(self, request: web.Request) -> web.StreamResponse:
        call, model = parse_chat_call(request, await self._read_body(request))
        self._check_route_kind(call, RouteKind.MODEL)
        if call.stream:
            return await self._stream_chat(request, call, model)
        outcome = await self._wait_for_outcome(call)
        response = web.json_response(completion_body(outcome, model))
        return add_call_headers(response, outcome, include_sealed=False)

    async def _read_body(self, request: web.Request) -> bytes:
        """Returns the request body; raises `Refusal` if it cannot be accepted."""
        if (request.content_length or 0) > self._settings.max_body_bytes:
            raise BodyTooLarge
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise BodyTooLarge from error
        except (HttpProcessingError, web.RequestPayloadError) as error:
            raise BadRequest("the body does not match its headers") from error
        except TimeoutError as error:
            raise BadRequest("the body took too long to arrive") from error

    def _check_route_kind(self, call: CallerRequest, kind: RouteKind) -> None:
        """Raises `Refusal` unless the call's route exists and is of this kind."""
        try:
            actual = self._entry.route(call.service, call.route)[1]
        except RouteNotFound:
            # Only callers with a valid key may learn which routes exist.
            self._entry.authenticate(call.key)
            raise
        if actual is not kind:
            raise RouteNotFound(f"{call.service}/{call.route} is not a {kind} route")

    async def _wait_for_outcome(self, call: CallerRequest) -> CallOutcome:
        async with aclosing(self._entry.call(call)) as answers:
            async for answer in answers:
                if isinstance(answer, CallEnd):
                    return CALL_OUTCOME_ADAPTER.validate_json(answer.outcome)
        raise OutcomeUnknown("the answer ended without an outcome")

    async def _stream_chat(
        self, request: web.Request, call: CallerRequest, model: str
    ) -> web.StreamResponse:
        call = replace(call, call_id=new_id("call"))
        events = CompletionEvents(call.call_id, model)
        answers = self._entry.call(call)
        async with aclosing(answers):
            # A refusal before the first chunk can still be sent with its own status.
            first = await anext(answers)
            response = web.StreamResponse(
                headers={
                    hdrs.CONTENT_TYPE: "text/event-stream",
                    hdrs.CACHE_CONTROL: "no-store",
                    HEADER_PREFIX + "Call": call.call_id,
                }
            )
            await response.prepare(request)
            try:
                await _write(request, response, _format_event(events, first))
                async for answer in answers:
                    await _write(request, response, _format_event(events, answer))
            except Refusal as error:
                await _write(request, response, events.failure(error))
        await response.write_eof()
        return response

    async def call_plain_service(self, request: web.Request) -> web.Response:
        call = parse_plain_call(request, await self._read_body(request))
        self._check_route_kind(call, RouteKind.PLAIN)
        return plain_response(await self._wait_for_outcome(call))

    async def list_programs(self, request: web.Request) -> web.Response:
        workspace = self._entry.authenticate(bearer_key(request)).workspace
        program_lists = await self._entry.list_programs(workspace)
        programs = [item for part in program_lists for item in json.loads(part)]
        return web.json_response({"programs": programs})

    async def start_program(self, request: web.Request) -> web.Response:
        key = bearer_key(request)
        self._entry.authenticate(key)
        raw = await self._read_body(request)
        body = validate_model(ProgramBody, parse_json_object(raw))
        reject_workspace_keys(key, raw)
        answer = await self._entry.start_program(
            key,
            body.program or new_id("program"),
            body.service,
            -1 if body.budget is None else body.budget,
        )
        return web.Response(body=answer, status=201, content_type=JSON_CONTENT_TYPE)

    async def read_program(self, request: web.Request) -> web.Response:
        return await self._query(request, "read")

    async def read_call(self, request: web.Request) -> web.Response:
        """Returns the outcome of a call, given its id or idempotency key."""
        reference = request.match_info["reference"]
        query = request.query
        program_id = query.get("program") or single_call_program_id(
            query.get("service", ""), query.get("route", ""), reference
        )
        body = await self._entry.query(
            bearer_key(request), program_id, f"call:{reference}"
        )
        return web.Response(body=body, content_type="application/json")

    async def end_program(self, request: web.Request) -> web.Response:
        return await self._query(request, "end")

    async def _query(self, request: web.Request, action: str) -> web.Response:
        program_id = request.match_info["program_id"]
        body = await self._entry.query(bearer_key(request), program_id, action)
        return web.Response(body=body, content_type=JSON_CONTENT_TYPE)


def _format_event(events: CompletionEvents, answer: CallChunk | CallEnd) -> bytes:
    match answer:
        case CallChunk(text):
            return events.chunk(text)
        case CallEnd(outcome):
            return events.end(CALL_OUTCOME_ADAPTER.validate_json(outcome))


async def _write(
    request: web.Request, response: web.StreamResponse, data: bytes
) -> None:
    """Writes to a caller; raises `ConnectionError` if it does not read in time."""
    transport = request.transport
    if transport is not None and not transport.get_write_buffer_size():
        # The write buffer is empty, so the write does not block and needs no timeout.
        await response.write(data)
        return
    try:
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await response.write(data)
    except TimeoutError as error:
        raise ConnectionResetError("the caller stopped reading the response") from error


def caller_app(api: CallerApi, max_body_bytes: int) -> web.Application:
    """Returns the web application of the caller API."""
    app = web.Application(
        middlewares=[problem_middleware], client_max_size=max_body_bytes
    )
    for route in api.routes():
        app.router.add_route(
            route.method, route.path, route.handler, expect_handler=handle_expect
        )
    return app
