"""Programs that loop, and slow tables."""

import asyncio
import json

import pytest

from damasksaddle.exceptions import TurnsExceeded
from damasksaddle_node.entry import CallerRequest
from damasksaddle_standins import ModelEngine
from damasksaddle_standins.fleet import LocalFleet

DOCUMENT = """
service: desk
pools:
  writer:
    kind: model
    model: lv
    upstreams:
      - {name: run-1, url: "http://run-1", failure_domain: a}
routes:
  chat: {pool: writer}
workspaces:
  ngo: {rate_per_s: 100, burst: 100, max_wait_ms: 10000}
program: {max_turns: 3}
"""


def turn_request(key: str, text: str) -> CallerRequest:
    body = {"messages": [{"role": "user", "content": text}], "max_tokens": 2}
    return CallerRequest(
        key, "desk", "chat", json.dumps(body).encode(), program_id="p1"
    )


async def test_program_is_refused_after_max_turns():
    """Guards against a program that makes calls without limit."""
    async with LocalFleet(3) as fleet:
        engine = fleet.upstreams.engines["http://run-1"] = ModelEngine()
        await fleet.apply("desk", DOCUMENT)
        key = await fleet.give_key("ngo")
        for number in range(3):
            await fleet.call(f"vm{number}", turn_request(key, f"turn{number}"))
        with pytest.raises(TurnsExceeded) as raised:
            await fleet.call("vm0", turn_request(key, "one too many"))
        assert raised.value.not_run == "true"
        assert len(engine.seen) == 3


async def test_slow_table_loses_no_turn():
    """Guards against lost or duplicate turns while each table request takes 1 s."""
    async with LocalFleet(3) as fleet:
        engine = fleet.upstreams.engines["http://run-1"] = ModelEngine()
        await fleet.apply("desk", DOCUMENT)
        key = await fleet.give_key("ngo")
        _, first = await fleet.call("vm0", turn_request(key, "first"))
        assert first.durable
        fleet.table.faults.delay_s = 1.0
        await asyncio.sleep(5)
        _, second = await fleet.call("vm1", turn_request(key, "second"))
        assert not second.durable
        assert second.sealed
        await asyncio.sleep(30)
        assert len(fleet.any().fleet.state.members) == 3
        fleet.table.faults.delay_s = 0.0
        _, third = await fleet.call("vm2", turn_request(key, "third"))
        assert third.durable
        assert [call.prompt for call in engine.seen] == [
            "first",
            "first w0 w1  second",
            "first w0 w1  second w0 w1  third",
        ]
