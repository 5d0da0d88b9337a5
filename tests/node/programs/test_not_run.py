"""A refusal says "not run" only if no upstream can have received the call."""

import json

import pytest

from damasksaddle.exceptions import DeadlineExceeded, NotRun, Refusal
from damasksaddle_node.entry import CallerRequest
from damasksaddle_standins import EngineSettings, ModelEngine, ToolService
from damasksaddle_standins.fleet import LocalFleet

DOCUMENT = """
service: desk
pools:
  writer:
    kind: model
    model: lv
    upstreams: [{name: run-1, url: "http://run-1", failure_domain: a}]
  apps:
    kind: plain
    upstreams: [{name: app-1, url: "http://app-1", failure_domain: a}]
routes: {chat: {pool: writer}, look: {pool: apps, timeout_s: 5}}
workspaces: {ngo: {rate_per_s: 10, burst: 10}}
"""


async def refusal(fleet: LocalFleet, route: str, timeout_ms: int) -> Refusal:
    """Returns the refusal of a call that exceeds its deadline."""
    key = await fleet.give_key("ngo")
    body = {"messages": [{"role": "user", "content": "hello"}], "max_tokens": 3}
    request = CallerRequest(
        key, "desk", route, json.dumps(body).encode(), timeout_ms=timeout_ms
    )
    with pytest.raises(Refusal) as raised:
        await fleet.call("vm0", request)
    return raised.value


async def test_call_that_a_service_has_seen():
    """Guards against "not run" for a call that a hanging service may execute."""
    async with LocalFleet(1) as fleet:
        tool = fleet.upstreams.tools["http://app-1"] = ToolService(hang=1)
        await fleet.apply("desk", DOCUMENT)
        error = await refusal(fleet, "look", 1000)
        assert isinstance(error, DeadlineExceeded)
        assert [call[2] for call in tool.seen] and error.not_run is NotRun.UNKNOWN


async def test_call_that_was_not_sent():
    """Guards against an unknown outcome for a call that was not sent."""
    async with LocalFleet(1) as fleet:
        fleet.upstreams.tools["http://app-1"] = ToolService(refuse_connections=True)
        await fleet.apply("desk", DOCUMENT)
        assert (await refusal(fleet, "look", 1000)).not_run is NotRun.YES


async def test_call_that_an_engine_has_seen():
    """Guards against "not run" for a call whose prompt an engine is processing."""
    async with LocalFleet(1) as fleet:
        engine = ModelEngine(EngineSettings(token_s=60.0))
        fleet.upstreams.engines["http://run-1"] = engine
        await fleet.apply("desk", DOCUMENT)
        error = await refusal(fleet, "chat", 1000)
        assert engine.seen and error.not_run is NotRun.UNKNOWN
