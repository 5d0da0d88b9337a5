"""The callers' interface."""

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
from damasksaddle_node.addresses import addresses
from damasksaddle_node.entry import CallerRequest, Entry, single_program_id
from damasksaddle_node.fleet.lease import Freshness
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.http.parsing import (
    HEADER,
    ProgramBody,
    chat_of,
    checked,
    json_object,
    key_of,
    plain_of,
    refuse_keys,
)
from damasksaddle_node.http.problems import expect_continue, refusals_as_problems
from damasksaddle_node.http.rendering import (
    EventStream,
    completion,
    plain_response,
    with_headers,
)
from damasksaddle_node.programs.records import CALL_OUTCOME_ADAPTER, CallOutcome
from damasksaddle_node.settings import Settings
from damasksaddle_protocol import CallChunk, CallEnd

JSON = "application/json"
# How long a whole body may take to arrive.
BODY_TIMEOUT_S = 60.0
# A caller that reads nothing for so long is disconnected, so that it cannot hold a
# leaving VM or its memory for ever.
WRITE_TIMEOUT_S = 60.0


class CallerApi:
    """Handlers of the callers' HTTP interface."""

    def __init__(
        self, entry: Entry, fleet: FleetLog, freshness: Freshness, settings: Settings
    ) -> None:
        self._entry = entry
        self._fleet = fleet
        self._freshness = freshness
        self._settings = settings

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of this interface."""
        return [
            web.get("/healthz", self.health),
            web.get("/v1/addresses", self.addresses),
            web.get("/v1/models", self.models),
            web.get("/v1/models/{model:.+}", self.model),
            web.post("/v1/chat/completions", self.chat),
            web.post("/v1/services/{service}/{route}", self.plain),
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
            workspace = self._entry.authenticate(key_of(request)).workspace
        return web.json_response(
            addresses(
                self._fleet.state,
                self._settings.timing.hold_s,
                request.query.get("failure_domain", self._settings.failure_domain),
                workspace,
                program_id,
            )
        )

    async def models(self, request: web.Request) -> web.Response:
        return web.json_response({"object": "list", "data": self._models(request)})

    async def model(self, request: web.Request) -> web.Response:
        for model in self._models(request):
            if model["id"] == request.match_info["model"]:
                return web.json_response(model)
        raise RouteNotFound("there is no such model")

    def _models(self, request: web.Request) -> list[dict[str, Any]]:
        """Returns the model routes that the caller's workspace may use."""
        workspace = self._entry.authenticate(key_of(request)).workspace
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

    async def chat(self, request: web.Request) -> web.StreamResponse:
        call, model = chat_of(request, await self._body(request))
        self._check_kind(call, RouteKind.MODEL)
        if call.stream:
            return await self._stream_chat(request, call, model)
        outcome = await self._outcome(call)
        response = web.json_response(completion(outcome, model))
        return with_headers(response, outcome, sealed=False)

    async def _body(self, request: web.Request) -> bytes:
        """Returns a request's body; raises `Refusal`."""
        if (request.content_length or 0) > self._settings.max_body_bytes:
            raise BodyTooLarge
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise BodyTooLarge from error
        except (HttpProcessingError, web.RequestPayloadError) as error:
            raise BadRequest("the body does not fit its headers") from error
        except TimeoutError as error:
            raise BadRequest("the body took too long to arrive") from error

    def _check_kind(self, call: CallerRequest, kind: RouteKind) -> None:
        """Raises `Refusal` unless a route of this kind exists."""
        try:
            found = self._entry.route(call.service, call.route)[1]
        except RouteNotFound:
            # Which routes exist is shown to callers with a key only.
            self._entry.authenticate(call.key)
            raise
        if found is not kind:
            raise RouteNotFound(f"{call.service}/{call.route} is not a {kind} route")

    async def _outcome(self, call: CallerRequest) -> CallOutcome:
        async with aclosing(self._entry.call(call)) as answers:
            async for answer in answers:
                if isinstance(answer, CallEnd):
                    return CALL_OUTCOME_ADAPTER.validate_json(answer.outcome)
        raise OutcomeUnknown("the answer ended early")

    async def _stream_chat(
        self, request: web.Request, call: CallerRequest, model: str
    ) -> web.StreamResponse:
        call = replace(call, call_id=new_id("call"))
        events = EventStream(call.call_id, model)
        answers = self._entry.call(call)
        async with aclosing(answers):
            # Refusals before the first piece still get their own status.
            first = await anext(answers)
            response = web.StreamResponse(
                headers={
                    hdrs.CONTENT_TYPE: "text/event-stream",
                    hdrs.CACHE_CONTROL: "no-store",
                    HEADER + "Call": call.call_id,
                }
            )
            await response.prepare(request)
            try:
                await _send(request, response, _event(events, first))
                async for answer in answers:
                    await _send(request, response, _event(events, answer))
            except Refusal as error:
                await _send(request, response, events.failure(error))
        await response.write_eof()
        return response

    async def plain(self, request: web.Request) -> web.Response:
        call = plain_of(request, await self._body(request))
        self._check_kind(call, RouteKind.PLAIN)
        return plain_response(await self._outcome(call))

    async def list_programs(self, request: web.Request) -> web.Response:
        workspace = self._entry.authenticate(key_of(request)).workspace
        lists = await self._entry.list_programs(workspace)
        programs = [item for text in lists for item in json.loads(text)]
        return web.json_response({"programs": programs})

    async def start_program(self, request: web.Request) -> web.Response:
        key = key_of(request)
        self._entry.authenticate(key)
        raw = await self._body(request)
        body = checked(ProgramBody, json_object(raw))
        refuse_keys(key, raw)
        answer = await self._entry.start_program(
            key,
            body.program or new_id("program"),
            body.service,
            -1 if body.budget is None else body.budget,
        )
        return web.Response(body=answer, status=201, content_type=JSON)

    async def read_program(self, request: web.Request) -> web.Response:
        return await self._query(request, "read")

    async def read_call(self, request: web.Request) -> web.Response:
        """Answers by call id or idempotency key what became of a call."""
        reference = request.match_info["reference"]
        query = request.query
        program_id = query.get("program") or single_program_id(
            query.get("service", ""), query.get("route", ""), reference
        )
        body = await self._entry.query(key_of(request), program_id, f"call:{reference}")
        return web.Response(body=body, content_type="application/json")

    async def end_program(self, request: web.Request) -> web.Response:
        return await self._query(request, "end")

    async def _query(self, request: web.Request, action: str) -> web.Response:
        program_id = request.match_info["program_id"]
        body = await self._entry.query(key_of(request), program_id, action)
        return web.Response(body=body, content_type=JSON)


def _event(events: EventStream, answer: CallChunk | CallEnd) -> bytes:
    match answer:
        case CallChunk(text):
            return events.piece(text)
        case CallEnd(outcome):
            return events.end(CALL_OUTCOME_ADAPTER.validate_json(outcome))


async def _send(
    request: web.Request, response: web.StreamResponse, data: bytes
) -> None:
    """Writes to a caller; raises `ConnectionError` if it reads nothing."""
    transport = request.transport
    if transport is not None and not transport.get_write_buffer_size():
        # The caller keeps up, so the write cannot wait and needs no timer.
        await response.write(data)
        return
    try:
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await response.write(data)
    except TimeoutError as error:
        raise ConnectionResetError("the caller does not read") from error


def caller_app(api: CallerApi, max_body_bytes: int) -> web.Application:
    """Returns the callers' application."""
    app = web.Application(
        middlewares=[refusals_as_problems], client_max_size=max_body_bytes
    )
    for route in api.routes():
        app.router.add_route(
            route.method, route.path, route.handler, expect_handler=expect_continue
        )
    return app
