"""Withdrawal of keys and isolation of workspaces (R5, R7)."""

import asyncio

import pytest

from damasksaddle.exceptions import Refusal
from damasksaddle.keys import parse_key
from damasksaddle.utils import partition_of
from damasksaddle_node.entry import CallerRequest
from damasksaddle_node.fleet.records import KeyWithdrawn
from damasksaddle_protocol import CallChunk
from damasksaddle_standins import ModelEngine
from damasksaddle_standins.fleet import LocalFleet

MAX_DELAY_S = 5.0
DOCUMENT = """
service: desk
pools:
  p: {kind: model, model: m, upstreams: [{name: e, url: "http://e", failure_domain: a}]}
routes: {chat: {pool: p}}
workspaces:
  ngo: {rate_per_s: 100, burst: 100}
  other: {rate_per_s: 100, burst: 100}
"""


def chat_request(key: str, tokens: int, **fields) -> CallerRequest:
    body = '{"messages": [{"role": "user", "content": "hi"}], "max_tokens": %d}'
    return CallerRequest(key, "desk", "chat", (body % tokens).encode(), **fields)


async def set_up_service(fleet: LocalFleet) -> str:
    fleet.upstreams.engines = {"http://e": ModelEngine()}
    await fleet.apply("desk", DOCUMENT)
    return await fleet.give_key("ngo")


@pytest.mark.parametrize("fault", ["none", "table", "peers", "both", "pause"])
@pytest.mark.parametrize("phase_s", [0.0, 0.3, 0.6, 0.9])
async def test_stream_of_a_withdrawn_key_ends(fault, phase_s):
    """Guards against a disconnected VM that keeps accepting a withdrawn key."""
    async with LocalFleet(5) as fleet:
        key = await set_up_service(fleet)
        engine = fleet.upstreams.engines["http://e"]
        vm = fleet.owner_of(lambda s: s.owners.partition(partition_of("ngo", "p")))
        loop = asyncio.get_running_loop()
        chunk_times_s: list[float] = []
        authenticated_s: list[float] = []

        async def stream() -> None:
            request = chat_request(key, 6000, program_id="p", stream=True)
            async for message in fleet.nodes[vm].entry.call(request):
                if isinstance(message, CallChunk):
                    chunk_times_s.append(loop.time())

        async def authenticate_repeatedly() -> None:
            while True:
                await asyncio.sleep(0.05)
                try:
                    fleet.nodes[vm].entry.authenticate(key)
                    authenticated_s.append(loop.time())
                except Refusal:
                    pass

        tasks = [fleet.spawn(vm, stream()), fleet.spawn(vm, authenticate_repeatedly())]
        await asyncio.sleep(7 + phase_s)
        assert engine.seen[0].ended == "running"
        others = [name for name in fleet.nodes if name != vm]
        if fault in ("table", "both"):
            fleet.table.faults.unreachable_for.add(vm)
        if fault in ("peers", "both"):
            fleet.network.cut_off(vm, others)
        if fault == "pause":
            fleet.pause(vm)
        other_node = fleet.nodes[others[0]]
        withdrawn_s = loop.time()
        key_id = parse_key(key)[0]
        position = await other_node.fleet.append(
            lambda state: KeyWithdrawn(key_id, "op", 0)
        )
        assert await other_node.changes.confirm(position) is None
        await asyncio.sleep(20)
        if fault == "pause":
            fleet.resume(vm)
            await asyncio.sleep(2)
        assert engine.seen[0].ended == "cancelled"
        assert chunk_times_s[-1] - withdrawn_s <= MAX_DELAY_S
        assert authenticated_s[-1] - withdrawn_s <= MAX_DELAY_S
        for task in tasks:
            task.cancel()


async def test_same_ids_in_two_workspaces_are_isolated():
    """Guards against data that leaks to another workspace that uses the same ids."""
    async with LocalFleet(3) as fleet:
        keys = [await set_up_service(fleet), await fleet.give_key("other")]
        for key in keys:
            request = chat_request(key, 3, program_id="p", idempotency_key="k")
            _, outcome = await fleet.call("vm1", request)
            assert not outcome.replayed
            _, outcome = await fleet.call("vm2", chat_request(key, 3, program_id="p"))
        seen = fleet.upstreams.engines["http://e"].seen
        assert [call.session for call in seen] == ["ngo/p"] * 2 + ["other/p"] * 2
        assert [call.prompt for call in seen[2:]] == [call.prompt for call in seen[:2]]
        for key in keys:
            listings = await fleet.nodes["vm0"].entry.list_programs(
                fleet.nodes["vm0"].entry.authenticate(key).workspace
            )
            assert sum(text.count(b'"program_id"') for text in listings) == 1
