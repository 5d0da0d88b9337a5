"""Tests that kill, pause and stop node processes and interrupt the platform."""

import asyncio
import json
import signal
import time
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from damasksaddle_standins.desk import CHAT, FILE, chat_body, document
from damasksaddle_standins.process_fleet import ProcessFleet, upstreams
from damasksaddle_standins.processes import Processes

pytestmark = pytest.mark.processes

NODE_FLAGS = ("--lease-s", "3", "--freshness-s", "1.5", "--hold-s", "0.3")
SETUP_TIMEOUT_S = 30.0


@asynccontextmanager
async def running_fleet(tmp_path: Path, size: int):
    """Yields a fleet with the `desk` service, and a key of workspace `ngo`."""
    async with ProcessFleet(Processes(tmp_path / "log"), NODE_FLAGS) as fleet:
        await fleet.start_engine("run-1", "--token-s", "0.03", "--slots", "64")
        await fleet.start_tool("tool-1")
        await fleet.start_nodes(size)
        service = document("", "")
        service["pools"]["writer"]["upstreams"] = upstreams(fleet.engines, slots=64)
        service["pools"]["filing"]["upstreams"] = upstreams(fleet.tools)
        service["workspaces"]["ngo"]["max_wait_ms"] = 20_000
        assert await fleet.apply("vm0", service) == 200
        async with asyncio.timeout(SETUP_TIMEOUT_S):
            key = await fleet.give_key("vm0", "ngo")
            for node in fleet.nodes:
                await fleet.knows(node, key)
            yield fleet, key


async def test_owner_is_killed(tmp_path):
    """Guards against lost or mixed turns if owners die during and between calls."""
    async with running_fleet(tmp_path, 4) as (fleet, key):
        program, owner = await fleet.other_program(key)
        stream_headers = {"Program": program}
        first = asyncio.Event()
        stream = asyncio.create_task(
            fleet.streamed("vm0", key, chat_body("one", max_tokens=60), first,
                     **stream_headers, **{"Idempotency-Key": "one"})
        )  # fmt: skip
        await first.wait()
        fleet.nodes.pop(owner).signal(signal.SIGKILL)
        text, complete = await stream
        assert not complete and text.startswith("w0 ")
        body = chat_body("one", max_tokens=60)
        headers = {"program": program, "idempotency-key": "one"}
        await fleet.retried("vm0", key, CHAT, body, **headers)
        owner = await fleet.owner_of(key, program)
        entry = next(name for name in fleet.nodes if name != owner)
        fleet.nodes.pop(owner).signal(signal.SIGKILL)
        headers["idempotency-key"] = "two"
        await fleet.retried(entry, key, CHAT, chat_body("two"), **headers)
        prompts = await fleet.prompts()
        answer = "".join(f"w{n} " for n in range(60))
        assert prompts[-1] == ["one", answer, "two"]
        assert all(messages == ["one"] for messages in prompts[:-1])


async def test_owner_is_paused(tmp_path):
    """Guards against a call that a paused VM runs after its lease has expired."""
    async with running_fleet(tmp_path, 4) as (fleet, key):
        program, owner = await fleet.other_program(key)
        headers = {"program": program, "idempotency-key": "f1"}
        await fleet.retried("vm0", key, FILE, {"report": 0}, program=program)
        paused = fleet.nodes.pop(owner)
        paused.signal(signal.SIGSTOP)
        # This request waits in the socket buffer of the paused owner.
        call = fleet.retried("vm0", key, FILE, {"report": 1}, **headers)
        task = asyncio.create_task(call)
        while len((await fleet.admin("vm0", "GET", "vms"))[1]) == 4:
            await asyncio.sleep(0.1)
        await task
        paused.signal(signal.SIGCONT)
        assert await paused.wait() == 75
        await fleet.retried("vm0", key, FILE, {"report": 1}, **headers)
        assert await fleet.filings() == ['{"report": 0}', '{"report": 1}']


async def test_graceful_shutdown_completes_requests(tmp_path):
    """
    Guards against SIGTERM that interrupts requests or is ignored when repeated.

    A second SIGTERM must stop the process without waiting for requests.
    """
    async with running_fleet(tmp_path, 3) as (fleet, key):
        events = [asyncio.Event() for _ in range(9)]
        streams = [
            asyncio.create_task(
                fleet.streamed(f"vm{n % 3}", key, chat_body(max_tokens=60), event,
                         Program=f"s{n}")
            )
            for n, event in enumerate(events)
        ]  # fmt: skip
        await asyncio.gather(*(event.wait() for event in events))
        leaving = fleet.nodes.pop("vm1")
        leaving.signal(signal.SIGTERM)
        answer = "".join(f"w{n} " for n in range(60))
        assert await asyncio.gather(*streams) == [(answer, True)] * 9
        assert await leaving.wait() == 0
        report = await fleet.standin(fleet.engines["run-1"], "/seen")
        assert [call[2:4] for call in report["calls"]] == [[60, "finished"]] * 9
        event = asyncio.Event()
        long_body = chat_body(max_tokens=2000)
        stream = asyncio.create_task(fleet.streamed("vm2", key, long_body, event))
        await event.wait()
        forced = fleet.nodes.pop("vm2")
        for _ in range(2):
            forced.signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
        async with asyncio.timeout(5):
            assert await forced.wait() == 0
        await asyncio.gather(stream, return_exceptions=True)
        # The last VM of the fleet has no other VM to hand its programs to.
        await fleet.retried("vm0", key, CHAT, chat_body(), program="last")
        fleet.nodes["vm0"].signal(signal.SIGTERM)
        async with asyncio.timeout(5):
            assert await fleet.nodes["vm0"].wait() == 0


async def test_table_outage(tmp_path):
    """Guards against failed model calls or duplicate tool calls in a table outage."""
    async with running_fleet(tmp_path, 3) as (fleet, key):
        headers = {"program": "p", "idempotency-key": "f"}
        await fleet.retried("vm0", key, CHAT, chat_body("one"), program="p")
        await fleet.faults(down=True)
        deadline_s = time.monotonic() + 5
        turns = 0
        while time.monotonic() < deadline_s:
            status, answer = await fleet.caller(
                f"vm{turns % 3}", key, CHAT, chat_body("more"), program="p"
            )
            assert status == 200, answer
            assert answer["damasksaddle"]["sealed"]
            turns += 1
        status, refusal = await fleet.caller("vm1", key, FILE, {"r": 1}, **headers)
        assert (status, refusal["not_run"]) == (503, True)
        assert await fleet.filings() == []
        await fleet.faults(down=False)
        await fleet.retried("vm1", key, FILE, {"r": 1}, **headers)
        assert await fleet.filings() == ['{"r": 1}']
        answer = await fleet.retried("vm2", key, CHAT, chat_body("x"), program="p")
        assert answer["damasksaddle"]["durable"]
        prompts = (await fleet.prompts())[-1]
        assert prompts[::2] == ["one", *["more"] * turns, "x"]
        assert len((await fleet.admin("vm0", "GET", "vms"))[1]) == 3


async def test_node_that_accepted_a_document_is_killed(tmp_path):
    """Guards against losing an accepted document with the VM that accepted it."""
    async with running_fleet(tmp_path, 3) as (fleet, key):
        _, applied = await fleet.admin("vm1", "GET", "documents/desk")
        changed = json.loads(applied["text"])
        changed["routes"]["late"] = {"pool": "filing", "path": "/late"}
        assert await fleet.apply("vm1", changed) == 200
        fleet.nodes.pop("vm1").signal(signal.SIGKILL)
        late = "/v1/services/desk/late"
        for node in ("vm0", "vm2"):
            await fleet.retried(node, key, late, {"at": node}, program=node)
            _, applied = await fleet.admin(node, "GET", "documents/desk")
            assert applied["version"] == 2
        await fleet.start_node("vm1")
        _, applied = await fleet.admin("vm1", "GET", "documents/desk")
        assert applied["version"] == 2
        assert await fleet.filings() == ['{"at": "vm0"}', '{"at": "vm2"}']
