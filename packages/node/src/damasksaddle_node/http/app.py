"""The callers' interface."""

import json
import time
from contextlib import aclosing
from dataclasses import replace
from typing import Any

from aiohttp import hdrs, web

from damasksaddle.config import RouteKind
from damasksaddle.exceptions import (
    BadRequest,
    BodyTooLarge,
    FateUnknown,
    Refusal,
    RouteNotFound,
)
from damasksaddle_node.addresses import addresses
from damasksaddle_node.entry import CallerRequest, Entry, single_program_id
from damasksaddle_node.fleet.lease import Freshness
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.http.problems import problem, refusals_as_problems
from damasksaddle_node.programs.records import OUTCOME, CallOutcome
from damasksaddle_node.settings import Settings
from damasksaddle_protocol import CallChunk, CallEnd

HEADER = "X-Damasksaddle-"
OPTIONS = "damasksaddle"


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
            web.post("/v1/chat/completions", self.chat),
            web.post("/v1/services/{service}/{route}", self.plain),
            web.get("/v1/calls/{reference:.+}", self.read_call),
            web.get("/v1/programs", self.list_programs),
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
            workspace = self._entry.authenticate(_key(request)).workspace
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
        self._entry.authenticate(_key(request))
        found = [
            {"id": f"{service}/{name}", "object": "model", "owned_by": service}
            for service, version in self._fleet.state.documents.items()
            for name, route in version.document.routes.items()
            if version.document.pools[route.pool].kind is RouteKind.MODEL
        ]
        return web.json_response({"object": "list", "data": found})

    async def chat(self, request: web.Request) -> web.StreamResponse:
        raw = await self._body(request)
        try:
            body = json.loads(raw)
        except ValueError as error:
            raise BadRequest("the body is not JSON") from error
        if not isinstance(body, dict):
            raise BadRequest("the body is not a JSON object")
        options = body.pop(OPTIONS, None) or {}
        if not isinstance(options, dict):
            raise BadRequest(f"{OPTIONS} is not an object")
        model = body.get("model")
        service, _, route = str(model or "").partition("/")
        if not route:
            raise RouteNotFound("model names a route as SERVICE/ROUTE")
        if self._entry.route(service, route)[1] is not RouteKind.MODEL:
            raise RouteNotFound(f"{service}/{route} is not a model route")
        stream = body.pop("stream", False) is True
        call = _caller_request(request, options, service, route, stream)
        # The body is put in one form, so that a repeat has the same digest.
        call = _with_body(call, json.dumps(body, sort_keys=True).encode())
        if stream:
            return await self._stream_chat(request, call, str(model))
        outcome = await self._outcome(call)
        return _answer(web.json_response(_completion(outcome, str(model))), outcome)

    async def _body(self, request: web.Request) -> bytes:
        try:
            return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise BodyTooLarge from error

    async def _outcome(self, call: CallerRequest) -> CallOutcome:
        async with aclosing(self._entry.call(call)) as answers:
            async for answer in answers:
                if isinstance(answer, CallEnd):
                    return OUTCOME.validate_json(answer.outcome)
        raise FateUnknown("the answer ended early")

    async def _stream_chat(
        self, request: web.Request, call: CallerRequest, model: str
    ) -> web.StreamResponse:
        answers = self._entry.call(call)
        async with aclosing(answers):
            # Refusals before the first piece still get their own status.
            first = await anext(answers)
            response = web.StreamResponse(
                headers={
                    hdrs.CONTENT_TYPE: "text/event-stream",
                    hdrs.CACHE_CONTROL: "no-store",
                }
            )
            await response.prepare(request)
            try:
                await _send_event(response, first, model)
                async for answer in answers:
                    await _send_event(response, answer, model)
                await response.write(b"data: [DONE]\n\n")
            except Refusal as error:
                data = json.dumps(problem(error))
                await response.write(f"event: error\ndata: {data}\n\n".encode())
        await response.write_eof()
        return response

    async def plain(self, request: web.Request) -> web.Response:
        body = await self._body(request)
        service = request.match_info["service"]
        route = request.match_info["route"]
        if self._entry.route(service, route)[1] is not RouteKind.PLAIN:
            raise RouteNotFound(f"{service}/{route} is not a plain route")
        call = _caller_request(request, {}, service, route, False)
        call = _with_body(call, body)
        outcome = await self._outcome(call)
        response = web.Response(
            body=outcome.body.encode(),
            status=outcome.http_status,
            content_type=outcome.content_type,
        )
        return _answer(response, outcome)

    async def list_programs(self, request: web.Request) -> web.Response:
        workspace = self._entry.authenticate(_key(request)).workspace
        lists = await self._entry.list_programs(workspace)
        programs = [item for text in lists for item in json.loads(text)]
        return web.json_response({"programs": programs})

    async def read_program(self, request: web.Request) -> web.Response:
        return await self._query(request, "read")

    async def read_call(self, request: web.Request) -> web.Response:
        """Answers by call id or idempotency key what became of a call."""
        reference = request.match_info["reference"]
        query = request.query
        program_id = query.get("program") or single_program_id(
            query.get("service", ""), query.get("route", ""), reference
        )
        body = await self._entry.query(_key(request), program_id, f"call:{reference}")
        return web.Response(body=body, content_type="application/json")

    async def end_program(self, request: web.Request) -> web.Response:
        return await self._query(request, "end")

    async def _query(self, request: web.Request, action: str) -> web.Response:
        program_id = request.match_info["program_id"]
        body = await self._entry.query(_key(request), program_id, action)
        return web.Response(body=body, content_type="application/json")


def _key(request: web.Request) -> str:
    scheme, _, key = request.headers.get(hdrs.AUTHORIZATION, "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _caller_request(
    request: web.Request,
    options: dict[str, Any],
    service: str,
    route: str,
    stream: bool,
) -> CallerRequest:
    def option(name: str) -> str:
        header = HEADER + name.replace("_", "-").title()
        return str(options.get(name, request.headers.get(header, "")))

    program_id = option("program")
    parent = option("parent")
    if parent:
        program_id = f"{parent}/{program_id}"
    return CallerRequest(
        key=_key(request),
        service=service,
        route=route,
        body=b"",
        content_type=request.content_type,
        program_id=program_id,
        idempotency_key=option("idempotency_key")
        or request.headers.get("Idempotency-Key", ""),
        budget_micros=_number(option("budget"), -1),
        timeout_ms=_number(option("deadline_ms"), 0),
        stream=stream,
        sealed=option("sealed"),
        history_mode="full" if option("history") == "full" else "append",
    )


def _with_body(call: CallerRequest, body: bytes) -> CallerRequest:
    return replace(call, body=body)


def _number(text: str, default: int) -> int:
    if not text:
        return default
    if not text.isdecimal() or len(text) > 12:
        raise BadRequest(f"{text!r} is not a number")
    return int(text)


def _completion(outcome: CallOutcome, model: str) -> dict[str, Any]:
    answer = json.loads(outcome.body)
    return {
        "id": outcome.call_id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": answer["text"]},
                "finish_reason": answer["finish_reason"],
            }
        ],
        "usage": _usage(outcome),
        OPTIONS: _details(outcome),
    }


def _usage(outcome: CallOutcome) -> dict[str, int]:
    return {
        "prompt_tokens": outcome.prompt_tokens,
        "completion_tokens": outcome.output_tokens,
        "total_tokens": outcome.prompt_tokens + outcome.output_tokens,
    }


def _details(outcome: CallOutcome) -> dict[str, Any]:
    return {
        "program": outcome.program_id,
        "upstream": outcome.upstream,
        "owner": outcome.trace.owner_vm,
        "charge_micros": outcome.charge_micros,
        "durable": outcome.durable,
        "sealed": outcome.sealed,
        "replayed": outcome.replayed,
        "total_ms": outcome.trace.total_ms,
    }


def _answer(response: web.Response, outcome: CallOutcome) -> web.Response:
    response.headers[HEADER + "Call"] = outcome.call_id
    response.headers[HEADER + "Program"] = outcome.program_id
    response.headers[HEADER + "Charge-Micros"] = str(outcome.charge_micros)
    response.headers[HEADER + "Durable"] = str(outcome.durable).lower()
    if outcome.replayed:
        response.headers[HEADER + "Replayed"] = "true"
    if outcome.sealed:
        response.headers[HEADER + "Sealed"] = outcome.sealed
    return response


async def _send_event(
    response: web.StreamResponse, event: CallChunk | CallEnd, model: str
) -> None:
    chunk: dict[str, Any] = {
        "id": "chatcmpl",
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
    }
    match event:
        case CallChunk(text):
            delta = {"role": "assistant", "content": text}
            chunk["choices"] = [{"index": 0, "delta": delta, "finish_reason": None}]
        case CallEnd():
            outcome = OUTCOME.validate_json(event.outcome)
            answer = json.loads(outcome.body)
            delta = {"content": answer["text"]} if outcome.replayed else {}
            chunk["id"] = outcome.call_id
            chunk["choices"] = [
                {"index": 0, "delta": delta, "finish_reason": answer["finish_reason"]}
            ]
            chunk["usage"] = _usage(outcome)
            chunk[OPTIONS] = _details(outcome)
    await response.write(f"data: {json.dumps(chunk)}\n\n".encode())


def caller_app(api: CallerApi, max_body_bytes: int) -> web.Application:
    """Returns the callers' application."""
    app = web.Application(
        middlewares=[refusals_as_problems], client_max_size=max_body_bytes
    )
    app.add_routes(api.routes())
    return app
