"""Requests on their way through a gateway, over real sockets."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from damasksaddle_gateway.allotments import Allotments
from damasksaddle_gateway.budgets import Budgets
from damasksaddle_gateway.front import Front
from damasksaddle_gateway.gateway import MAX_HEADER_BYTES
from damasksaddle_gateway.holders import Holders
from damasksaddle_gateway.peers import Peers
from damasksaddle_gateway.placement import Placement
from damasksaddle_gateway.rates import Rates
from damasksaddle_gateway.roster import Roster
from damasksaddle_gateway.routing_config import (
    AtMostOnce,
    Engine,
    Idempotent,
    Route,
    RouteKind,
    RoutingConfig,
    Service,
    Streaming,
    Target,
    Upstream,
    Workspace,
)
from damasksaddle_gateway.store import StoreGate
from damasksaddle_gateway.turns import TurnBudgets
from damasksaddle_gateway.upstreams import UpstreamClient
from damasksaddle_gateway.view import View
from damasksaddle_platform.headers import PlatformHeaderCodec
from damasksaddle_platform.records import RecordDecoder
from damasksaddle_standins.versioned import VersionedRows, VersionedStandin
from tests.gateway.conftest import make_settings, never

KEY = "k3fexd9dnn2"
HOST = "desk.example"
SIGNED = {"X-Server-Signature": "s1"}
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def route(prefix: str, kind: RouteKind, attempts: int = 1) -> Route:
    return Route(
        name=prefix,
        host=HOST,
        prefix=prefix,
        kind=kind,
        targets=(Target("svc", 1.0),),
        timeout_ms=1000.0,
        target_latency_ms=300.0,
        priority=0,
        max_attempts=attempts,
        public=False,
    )


CATALOGUE = RoutingConfig(
    version=1,
    routes=(
        route("/once/", AtMostOnce(), attempts=3),
        route("/safe/", Idempotent(), attempts=2),
        route("/turn/", Streaming(resumable=True, max_gap_ms=200)),
    ),
    services={"svc": Service("svc", 10, Engine(4, 1000, 9))},
    workspaces={"ngo": Workspace("ngo")},
    workspace_by_key={KEY: "ngo"},
)


@dataclass
class Gateway:
    """A front with upstreams that tests script."""

    url: str
    view: View
    front: Front
    seen: list[web.BaseRequest] = field(default_factory=list)

    async def send(
        self, path: str, method: str = "POST", body: bytes = b"body", **headers: str
    ) -> tuple[int, bytes, dict[str, str]]:
        """Returns status, body and headers of an answer."""
        sent = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "X-Request-Id": "r1",
            "X-Deadline-Ms": "800",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, self.url + path, headers=sent, data=body) as answer,
        ):
            return answer.status, await answer.read(), dict(answer.headers)


async def listen(handler: Handler) -> tuple[web.ServerRunner, str]:
    server = web.Server(
        handler,
        handler_cancellation=True,
        access_log=None,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    return runner, f"{host}:{port}"


@asynccontextmanager
async def gateway(*handlers: Handler) -> AsyncIterator[Gateway]:
    """Runs a front before one upstream per handler."""
    table = StoreGate(VersionedStandin(VersionedRows()))
    settings = make_settings()
    wire = PlatformHeaderCodec()
    view = View(table, RecordDecoder(), settings.drain_ms)
    view.catalogue = CATALOGUE
    view.config_age_s = lambda: 0.0  # type: ignore[method-assign]
    roster = Roster(table, settings)
    peers = Peers(table, roster, settings)
    holders = Holders(settings.vm, table, roster, peers)
    rates = Rates(Allotments(table, settings, never), holders, view, settings)
    turns = TurnBudgets(settings.vm, Budgets(table, 1.0, never), holders, peers)
    client = UpstreamClient(wire)
    await client.start()
    front = Front(view, rates, turns, Placement(), roster, client, wire, 5000.0)
    started = [await listen(front.handle)]
    running = Gateway("http://" + started[0][1], view, front)
    for number, handler in enumerate(handlers):
        runner, address = await listen(_recorded(running, handler))
        started.append((runner, address))
        name = f"u{number}"
        view.upstreams[name] = Upstream(name, "svc", address, "a", 4, False)
    try:
        yield running
    finally:
        await client.stop()
        for runner, _ in started:
            await runner.cleanup()


def _recorded(running: Gateway, handler: Handler) -> Handler:
    async def record(request: web.BaseRequest) -> web.StreamResponse:
        running.seen.append(request)
        return await handler(request)

    return record


async def fine(request: web.BaseRequest) -> web.StreamResponse:
    body = b"".join([chunk async for chunk in request.content.iter_any()])
    return web.Response(body=b"done " + body, headers=SIGNED)


async def full(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=503, headers={"X-Not-Executed": "1"})


async def reset(request: web.BaseRequest) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def another(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b"other", headers={**SIGNED, "X-Request-Id": "r0"})


async def unframed_then_reset(request: web.BaseRequest) -> web.StreamResponse:
    transport = request.transport
    assert transport is not None
    transport.write(b"HTTP/1.1 200 OK\r\nX-Server-Signature: s1\r\n\r\nhalf")
    await asyncio.sleep(0.05)
    # Closing with this option resets the connection.
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    transport.abort()
    return web.Response()


def stream_of(*events: bytes, whole: bool = True) -> Handler:
    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse(headers=SIGNED)
        response.enable_chunked_encoding()
        await response.prepare(request)
        for event in events:
            await response.write(event)
        if whole:
            await response.write_eof()
        else:
            assert request.transport is not None
            await asyncio.sleep(0.02)
            request.transport.close()
        return response

    return answer


async def test_answers_pass_unchanged_and_secrets_stay() -> None:
    """Guards against a changed body, a key or a forged header at an upstream."""
    async with gateway(fine) as running:
        status, body, headers = await running.send(
            "/once/x?a=1",
            X_Tenant="forged",
            X_Hold="h1",
            Kv_From="1.2.3.4:5/6",
            X_Copy=f"key {KEY}",
        )
        assert (status, body) == (200, b"done body")
        assert headers["X-Server-Signature"] == "s1"
        seen = running.seen[0]
        assert seen.raw_path == "/once/x?a=1"
        assert seen.headers["X-Tenant"] == "ngo"
        assert seen.headers["X-Expect-Instance"] == "u0"
        assert 0 < int(seen.headers["X-Deadline-Ms"]) <= 800
        assert not {"X-Hold", "Kv-From", "X-Copy", "Authorization"} & set(seen.headers)


async def test_refusals_of_unknown_keys_and_routes() -> None:
    """Guards against running a request that no configuration allows."""
    async with gateway(fine) as running:
        assert (await running.send("/none/x"))[0] == 404
        assert (await running.send("/once/x", Authorization="Token no"))[0] == 401
        assert not running.seen


async def test_a_stale_configuration_serves_nobody() -> None:
    """Guards against a withdrawn key that a VM without the store still accepts."""
    async with gateway(fine) as running:
        running.view.config_age_s = lambda: 4.8  # type: ignore[method-assign]
        status, _, headers = await running.send("/once/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not running.seen
        assert not running.front.is_ready()


async def test_a_full_upstream_leads_to_the_next() -> None:
    """Guards against refusing a request that another upstream has room for."""
    async with gateway(full, full, fine) as running:
        assert (await running.send("/once/x"))[0] == 200


async def test_nobody_has_room() -> None:
    """Guards against a refusal without a time to come back."""
    async with gateway(full, full) as running:
        status, _, headers = await running.send("/once/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0


async def test_at_most_once_is_not_repeated() -> None:
    """Guards against a second run, and against a claim that nothing ran."""
    async with gateway(reset, reset, reset) as running:
        status, _, _ = await running.send("/once/x")
        assert status == 502
        assert len(running.seen) == 1


async def test_a_repeatable_request_is_tried_as_often_as_its_route_allows() -> None:
    """Guards against both giving up early and exceeding the route's attempts."""
    async with gateway(reset, reset, reset) as running:
        assert (await running.send("/safe/x", "GET"))[0] == 502
        assert len(running.seen) == 2


async def test_an_answer_to_another_request_is_not_passed_on() -> None:
    """Guards against a late answer that a kept connection still carries."""
    async with gateway(another) as running:
        status, body, _ = await running.send("/once/x")
        assert status == 502
        assert b"other" not in body


async def test_a_body_without_a_length_that_was_reset_is_not_complete() -> None:
    """Guards against half of an answer that looks whole."""
    async with gateway(unframed_then_reset) as running:
        status, body, _ = await running.send("/once/x")
        assert status == 502
        assert b"half" not in body


async def test_a_dead_upstream_is_passed_over() -> None:
    """Guards against losing a request to an upstream that does not listen."""
    async with gateway(fine) as running:
        running.view.upstreams["dead"] = Upstream(
            "dead", "svc", "127.0.0.1:1", "a", 4, False
        )
        for _ in range(6):
            assert (await running.send("/once/x"))[0] == 200


async def test_streams_carry_whole_events() -> None:
    """Guards against joined, cut or missing events."""
    events = (b"id: 1\ndata: a\n\n", b"id: 2\nda", b"ta: b\n\n")
    async with gateway(stream_of(*events)) as running:
        status, body, _ = await running.send("/turn/x")
        assert (status, body) == (200, b"".join(events))


async def test_a_broken_stream_does_not_look_complete() -> None:
    """Guards against a stream that ends early with a proper end."""
    broken = stream_of(b"id: 1\ndata: a\n\n", b"id: 2\nda", whole=False)
    async with gateway(broken) as running:
        try:
            await running.send("/turn/x")
        except aiohttp.ClientPayloadError:
            return
        raise AssertionError("the stream looked complete")


async def test_a_turn_ends_at_its_budget() -> None:
    """Guards against a budget that only the first turn's size is held against."""
    events = [f"id: {n}\ndata: a\n\n".encode() for n in range(1, 9)]
    headers = {
        "X_Program_Id": "p1",
        "X_Session_Id": "s1",
        "X_Token_Count": "10,72",
        "X_Token_Budget": "150",
    }
    async with gateway(stream_of(*events)) as running:
        statuses = [(await running.send("/turn/x", **headers))[0] for _ in range(3)]
        assert statuses == [200, 200, 402]
        assert len(running.seen) == 2


async def test_a_caller_that_leaves_stops_the_upstream() -> None:
    """Guards against work for callers who are gone."""
    stopped = asyncio.Event()

    async def slow(request: web.BaseRequest) -> web.StreamResponse:
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            stopped.set()
            raise
        return web.Response()

    async with gateway(slow) as running:
        sending = asyncio.create_task(running.send("/once/x"))
        while not running.seen:
            await asyncio.sleep(0.01)
        sending.cancel()
        await asyncio.wait_for(stopped.wait(), 0.5)


async def test_a_silent_upstream_is_given_up_at_the_deadline() -> None:
    """Guards against a caller that waits longer than it said."""

    async def silent(request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.sleep(5)
        return web.Response()

    async with gateway(silent) as running:
        status, _, _ = await running.send("/once/x", X_Deadline_Ms="200")
        assert status == 504


async def test_connections_stay_within_what_an_upstream_accepts() -> None:
    """Guards against requests that are lost because an upstream resets connections."""
    under_way = most = 0

    async def slow(request: web.BaseRequest) -> web.StreamResponse:
        nonlocal under_way, most
        under_way += 1
        most = max(most, under_way)
        await asyncio.sleep(0.03)
        under_way -= 1
        return await fine(request)

    async with gateway(slow) as running:
        answers = await asyncio.gather(
            *(running.send("/once/x") for _ in range(20)), return_exceptions=True
        )
        assert [answer[0] for answer in answers] == [200] * 20  # type: ignore[index]
        assert most <= 7


async def test_a_success_without_a_signature_is_not_passed_on() -> None:
    """Guards against bytes that no upstream's work produced."""

    async def unsigned(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=b"noise")

    async with gateway(unsigned) as running:
        status, body, _ = await running.send("/once/x")
        assert status == 502
        assert b"noise" not in body


async def test_a_refusal_after_a_broken_try_does_not_claim_that_nothing_ran() -> None:
    """Guards against "not run" for a request that an upstream may have run."""

    async def withdraw(request: web.BaseRequest) -> web.StreamResponse:
        # The configuration goes stale while the first try is under way.
        running.view.config_age_s = lambda: 9.0  # type: ignore[method-assign]
        return await reset(request)

    async with gateway(withdraw, withdraw) as running:
        assert (await running.send("/safe/x", "GET"))[0] == 502
        assert len(running.seen) == 1


async def test_large_requests_pass_up_to_the_limits() -> None:
    """Guards against a library's own limit in place of the operator's."""
    async with gateway(fine) as running:
        large = b"x" * (3 * 1024 * 1024)
        status, body, _ = await running.send("/once/x", body=large)
        assert (status, len(body)) == (200, len(large) + 5)
        assert (await running.send("/once/x", X_Note="n" * 12_000))[0] == 200
        assert (await running.send("/once/x", body=large * 2))[0] == 413
        notes = {f"X_Note{n}": "n" * 6_000 for n in range(4)}
        assert (await running.send("/once/x", **notes))[0] == 431
        assert len(running.seen) == 2
