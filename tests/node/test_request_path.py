"""End-to-end tests in one process: entry VM, owner, pool, upstream and commit."""

import json

import pytest

from damasksaddle.exceptions import KeyRejected
from damasksaddle.utils import partition_of
from damasksaddle_node.entry import CallerRequest
from damasksaddle_standins import ModelEngine, ToolService
from damasksaddle_standins.fleet import LocalFleet

DOCUMENT = """
service: desk
pools:
  writer:
    kind: model
    model: lv
    prompt_micros_per_ktoken: 1000
    output_micros_per_ktoken: 2000
    upstreams:
      - {name: run-1, url: "http://run-1", failure_domain: a}
      - {name: run-2, url: "http://run-2", failure_domain: b}
  filing:
    kind: plain
    call_micros: 50
    upstreams:
      - {name: tool-1, url: "http://tool-1", failure_domain: a}
routes:
  chat: {pool: writer}
  file: {pool: filing, path: /file, repeat: never}
workspaces:
  ngo: {rate_per_s: 10, burst: 10, max_wait_ms: 10000}
"""


async def start_service(fleet: LocalFleet) -> str:
    fleet.upstreams.engines = {
        "http://run-1": ModelEngine(),
        "http://run-2": ModelEngine(),
    }
    fleet.upstreams.tools = {"http://tool-1": ToolService()}
    await fleet.apply("desk", DOCUMENT)
    return await fleet.give_key("ngo")


def chat_request(key: str, text: str, **fields) -> CallerRequest:
    body = {"messages": [{"role": "user", "content": text}], "max_tokens": 3}
    return CallerRequest(key, "desk", "chat", json.dumps(body).encode(), **fields)


async def test_history_is_shared_by_entry_vms():
    """Guards against a history that depends on the VM that accepted the call."""
    async with LocalFleet(3) as fleet:
        key = await start_service(fleet)
        for number in range(6):
            text, outcome = await fleet.call(
                f"vm{number % 3}",
                chat_request(key, f"turn{number}", program_id="p1", stream=True),
            )
            assert text == "w0 w1 w2 "
            assert outcome.durable
        engines = fleet.upstreams.engines.values()
        prompts = [call.prompt for engine in engines for call in engine.seen]
        longest = max(prompts, key=len)
        assert [word for word in longest.split() if word.startswith("turn")] == [
            f"turn{number}" for number in range(6)
        ]


async def test_owner_is_killed_between_turns():
    """Guards against lost turns after the owner of a program is killed."""
    async with LocalFleet(4) as fleet:
        key = await start_service(fleet)
        await fleet.call("vm0", chat_request(key, "first", program_id="p1"))
        owner = fleet.owner_of(lambda s: s.owners.partition(partition_of("ngo", "p1")))
        await fleet.kill(owner)
        entry = next(iter(fleet.nodes))
        await fleet.call(entry, chat_request(key, "second", program_id="p1"))
        engines = fleet.upstreams.engines.values()
        prompts = [call.prompt for engine in engines for call in engine.seen]
        assert "first w0 w1 w2  second" in prompts


async def test_idempotency_key_prevents_second_run():
    """Guards against running a non-repeatable call twice for one idempotency key."""
    async with LocalFleet(3) as fleet:
        key = await start_service(fleet)
        request = CallerRequest(
            key, "desk", "file", b'{"report": 1}', idempotency_key="report-1"
        )
        _, first = await fleet.call("vm0", request)
        _, second = await fleet.call("vm1", request)
        assert first.body == second.body
        assert second.replayed
        assert len(fleet.upstreams.tools["http://tool-1"].seen) == 1


async def test_unknown_key_is_refused():
    """Guards against a request that is accepted without a valid key."""
    async with LocalFleet(1) as fleet:
        await start_service(fleet)
        with pytest.raises(KeyRejected):
            await fleet.call("vm0", chat_request("dsk_aa_bb", "hello"))
