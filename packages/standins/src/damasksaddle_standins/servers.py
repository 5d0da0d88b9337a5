"""The stand-ins as HTTP servers, for separate processes."""

import json
from contextlib import aclosing
from dataclasses import asdict, astuple

from aiohttp import web

from damasksaddle.exceptions import (
    ObjectNotFound,
    OrderRefused,
    ResponseLost,
    TableUnavailable,
    UpstreamError,
    WriteConflict,
)
from damasksaddle.platform import Put, Row
from damasksaddle_node.upstreams import EngineOrder, PlainRequest
from damasksaddle_standins.engine import ModelEngine, chunk_of, request_from_body
from damasksaddle_standins.platform import MemoryObjects, MemoryTable
from damasksaddle_standins.tool import ToolService

PLAIN_TIMEOUT_S = 30.0
# The size of the line and headers of a response of the platform.
HEAD_BYTES = 150


def _rows(rows: list[Row]) -> web.Response:
    fields = [[row.key, row.value, row.version, row.write_id] for row in rows]
    return web.json_response({"rows": fields})


def platform_app(table: MemoryTable, objects: MemoryObjects) -> web.Application:
    """Returns the platform's table, object store and VM list as one application."""
    vms: list[list[object]] = []

    @web.middleware
    async def faults(request: web.Request, handler):
        # What a node sends and receives, as bytes of headers and bodies.
        table.counts["bytes"] += sum(
            len(name) + len(value) for name, value in request.raw_headers
        ) + (request.content_length or 0)
        try:
            response = await handler(request)
            table.counts["bytes"] += HEAD_BYTES + (response.content_length or 0)
            return response
        except TableUnavailable as error:
            return web.Response(status=503, text=str(error))
        except WriteConflict as error:
            return web.Response(status=409, text=str(error))
        except ResponseLost:
            assert request.transport is not None
            request.transport.close()
            raise

    async def get_row(request: web.Request) -> web.Response:
        row = await table.get(request.query["key"])
        return _rows([row] if row else [])

    async def scan(request: web.Request) -> web.Response:
        query = request.query
        limit = int(query["limit"])
        return _rows(await table.scan(query["prefix"], query["after"], limit))

    async def write(request: web.Request) -> web.Response:
        body = await request.json()
        puts = [Put(*fields) for fields in body["puts"]]
        await table.write(puts, body["write_id"])
        return web.Response()

    async def put_object(request: web.Request) -> web.Response:
        await objects.put(request.match_info["key"], await request.read())
        return web.Response()

    async def get_object(request: web.Request) -> web.Response:
        try:
            return web.Response(body=await objects.get(request.match_info["key"]))
        except ObjectNotFound:
            return web.Response(status=404)

    async def get_vms(request: web.Request) -> web.Response:
        return web.json_response({"vms": vms})

    async def put_vms(request: web.Request) -> web.Response:
        vms[:] = await request.json()
        return web.Response()

    async def get_counts(request: web.Request) -> web.Response:
        return web.json_response(dict(table.counts))

    async def put_faults(request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(table.faults, name, value)
        return web.Response()

    app = web.Application(middlewares=[faults], client_max_size=64 * 1024 * 1024)
    app.add_routes(
        [
            web.get("/rows", get_row),
            web.get("/scan", scan),
            web.post("/write", write),
            web.put("/objects/{key:.+}", put_object),
            web.get("/objects/{key:.+}", get_object),
            web.get("/vms", get_vms),
            web.put("/vms", put_vms),
            web.put("/faults", put_faults),
            web.get("/counts", get_counts),
        ]
    )
    return app


def engine_app(engine: ModelEngine) -> web.Application:
    """Returns a model engine as an application."""

    async def chat(request: web.Request) -> web.StreamResponse:
        call = request_from_body(await request.json())
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        async with aclosing(engine.generate(call)) as events:
            try:
                async for event in events:
                    if not response.prepared:
                        await response.prepare(request)
                    await response.write(chunk_of(event))
            except UpstreamError as error:
                if not response.prepared:
                    status = 500 if error.sent else 503
                    return web.Response(status=status, text=str(error))
                # The stream breaks off: callers see an early end.
                return response
        await response.write(b"data: [DONE]\n\n")
        return response

    async def release(request: web.Request) -> web.Response:
        engine.release((await request.json())["session"])
        return web.json_response({})

    async def load(request: web.Request) -> web.Response:
        return web.json_response(
            asdict(engine.load(request.query.get("sessions") == "1"))
        )

    async def cache_events(request: web.Request) -> web.Response:
        events = engine.cache_events(int(request.query["after"]))
        return web.json_response([astuple(event) for event in events])

    async def order(request: web.Request) -> web.Response:
        try:
            await engine.order(EngineOrder(**await request.json()))
        except OrderRefused as error:
            return web.Response(status=409, text=str(error))
        except UpstreamError as error:
            return web.Response(status=429, text=str(error))
        return web.json_response({})

    async def holdings(request: web.Request) -> web.Response:
        return web.json_response(asdict(engine.holdings()))

    async def export_kv(request: web.Request) -> web.Response:
        return web.json_response(engine.export_kv(request.query["session"]))

    async def import_kv(request: web.Request) -> web.Response:
        body = await request.json()
        await engine.import_kv(body["session"], body["blocks"])
        return web.json_response({})

    async def seen(request: web.Request) -> web.Response:
        return web.json_response(
            {
                "held": sorted(engine.held_sessions()),
                "calls": [
                    [call.call_id, call.session, call.tokens, call.ended]
                    for call in engine.seen
                ],
            }
        )

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(
        [
            web.post("/v1/chat/completions", chat),
            web.post("/v1/release", release),
            web.get("/v1/load", load),
            web.get("/v1/cache_events", cache_events),
            web.post("/v1/orders", order),
            web.get("/v1/holdings", holdings),
            web.get("/v1/kv", export_kv),
            web.post("/v1/kv", import_kv),
            web.get("/seen", seen),
        ]
    )
    return app


def tool_app(tool: ToolService) -> web.Application:
    """Returns a plain service as an application."""
    headers: list[dict[str, str]] = []

    async def call(request: web.Request) -> web.Response:
        headers.append(dict(request.headers))
        answer = await tool.call(
            PlainRequest(
                request.headers.get("X-Request-Id", ""),
                request.path,
                await request.read(),
                request.content_type,
                PLAIN_TIMEOUT_S,
            )
        )
        return web.Response(
            body=answer.body, status=answer.status, content_type=answer.content_type
        )

    async def seen(request: web.Request) -> web.Response:
        return web.Response(
            text=json.dumps({"calls": tool.seen, "headers": headers}),
            content_type="application/json",
        )

    async def outcome(request: web.Request) -> web.Response:
        answer = tool.outcome(request.match_info["call_id"])
        return web.Response(
            body=answer.body, status=answer.status, content_type=answer.content_type
        )

    app = web.Application()
    app.add_routes([web.get("/calls/{call_id}", outcome)])
    app.add_routes([web.get("/seen", seen), web.post("/{path:.*}", call)])
    return app
