"""Tests of the graceful shutdown of a node (requirement R13)."""

import asyncio

import pytest

from damasksaddle.utils import partition_of
from damasksaddle_node.entry import CallerRequest
from damasksaddle_node.settings import Timing
from damasksaddle_standins import ModelEngine
from damasksaddle_standins.fleet import LocalFleet

TIMING = Timing(hold_s=1.0, stop_timeout_s=30.0)
DOCUMENT = """
service: desk
pools:
  p: {kind: model, model: m, upstreams: [{name: e, url: "http://e", failure_domain: a}]}
routes: {chat: {pool: p}}
workspaces: {ngo: {rate_per_s: 100, burst: 100}}
"""


@pytest.mark.parametrize("outage_s", [0, 10, 100])
async def test_shutdown_completes_streams_within_timeout(outage_s):
    """
    Guards against interrupted streams, and a shutdown without end, in an outage.

    While the table is down, the node cannot record that it is leaving the fleet.
    """
    async with LocalFleet(4, TIMING) as fleet:
        engine = ModelEngine()
        fleet.upstreams.engines = {"http://e": engine}
        await fleet.apply("desk", DOCUMENT)
        key = await fleet.give_key("ngo")
        owner = fleet.owner_of(lambda s: s.owners.partition(partition_of("ngo", "p")))
        body = b'{"messages": [{"role": "user", "content": "hi"}], "max_tokens": 600}'
        entries = list(fleet.nodes)
        calls = [
            asyncio.create_task(
                fleet.call(
                    entry, CallerRequest(key, "desk", "chat", body, program_id="p")
                )
            )
            for entry in entries[:3]
        ]
        await asyncio.sleep(1)
        fleet.table.faults.down = outage_s > 0
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        loop.call_later(outage_s, setattr, fleet.table.faults, "down", False)
        await fleet.leave(owner)
        elapsed_s = loop.time() - started_s
        assert elapsed_s <= TIMING.stop_timeout_s + TIMING.accept_wait_s
        await asyncio.gather(*calls)
        assert [(call.tokens, call.ended) for call in engine.seen] == [
            (600, "finished")
        ] * 3


async def test_streams_end_when_a_former_committer_takes_over():
    """
    Guards against a stream without its end after its committer left the fleet.

    The next committer had been one before the leaving VM joined. It rejected the record
    of the call, because it did not know that the partition had been opened since.
    """
    async with LocalFleet(1, TIMING) as fleet:
        fleet.upstreams.engines = {"http://e": ModelEngine()}
        await fleet.apply("desk", DOCUMENT)
        key = await fleet.give_key("ngo")
        # Each committer reads its commit stream once a second.
        await fleet.sleep(2)
        await fleet.start("vm1")
        await fleet.wait_until_synced()
        owners = fleet.any_node().fleet.state.owners
        joined = fleet.nodes["vm1"].vm_id
        program = next(
            f"p{n}"
            for n in range(100)
            for partition in [partition_of("ngo", f"p{n}")]
            if owners.partition(partition) != joined == owners.stream(partition % 4)
        )
        body = b'{"messages": [{"role": "user", "content": "hi"}], "max_tokens": 600}'
        request = CallerRequest(key, "desk", "chat", body, program_id=program)
        call = asyncio.create_task(fleet.call("vm0", request))
        await fleet.sleep(1)
        assert not call.done()
        await fleet.leave("vm1")
        _, outcome = await call
        assert outcome.durable
