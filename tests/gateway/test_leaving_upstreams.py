"""Upstreams that say in their responses that they leave."""

import asyncio
from dataclasses import replace

import pytest
from aiohttp import web

from tests.gateway.test_request_handler import (
    SIGNED,
    RequestCallback,
    respond_ok,
    run_gateway,
)


def answering(status: int = 200, **headers: str) -> RequestCallback:
    """Returns an upstream whose responses have these headers."""
    sent = {name.replace("_", "-"): value for name, value in headers.items()}

    async def respond(request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        signed = SIGNED if status == 200 else {}
        return web.Response(status=status, body=b"done", headers={**signed, **sent})

    return respond


async def _send_times(handler: RequestCallback, times: int = 6) -> int:
    """Returns how many of several requests reach an upstream beside a sound one."""
    reached = 0

    async def count_requests(request: web.BaseRequest) -> web.StreamResponse:
        nonlocal reached
        reached += 1
        return await handler(request)

    async with run_gateway(count_requests, respond_ok) as gateway:
        # Only the first upstream is known until it has responded once.
        sound = gateway.config_watcher.upstreams.pop("u1")
        status, _, _ = await gateway.send("/once/x")
        gateway.config_watcher.upstreams = {
            **gateway.config_watcher.upstreams,
            "u1": sound,
        }
        reached = 0
        for _ in range(times):
            assert (await gateway.send("/once/x"))[0] == 200
        return reached


@pytest.mark.parametrize(
    "handler",
    [
        answering(server_leaving=" 1 "),
        answering(503, x_not_executed="1", server_leaving="1"),
        answering(500, server_leaving="1"),
        answering(421, server_leaving="1"),
    ],
)
async def test_an_upstream_that_leaves_gets_no_new_requests(
    handler: RequestCallback,
) -> None:
    """Guards against sending to an upstream that leaves while the store is away."""
    assert await _send_times(handler) == 0


@pytest.mark.parametrize("value", ["0", "", "yes", "11", "9" * 5000])
async def test_another_value_says_nothing(value: str) -> None:
    """Guards against losing an upstream for a header that means nothing."""
    assert await _send_times(answering(server_leaving=value), times=20) > 0


async def test_requests_are_refused_at_once_if_all_upstreams_leave() -> None:
    """Guards against holding requests that no upstream will take."""
    async with run_gateway(answering(server_leaving="1")) as gateway:
        assert (await gateway.send("/once/x"))[0] == 200
        async with asyncio.timeout(0.3):
            status, _, headers = await gateway.send("/once/x")
        assert status == 503
        assert float(headers["Retry-After"]) > 0


async def test_an_upstream_that_started_again_gets_requests() -> None:
    """Guards against an upstream that is lost for good once it has left."""
    async with run_gateway(answering(server_leaving="1")) as gateway:
        watcher = gateway.config_watcher
        assert (await gateway.send("/once/x"))[0] == 200
        assert (await gateway.send("/once/x"))[0] == 503
        watcher.upstreams = {"u0": replace(watcher.upstreams["u0"], started_at_ms=7)}
        assert (await gateway.send("/once/x"))[0] == 200
