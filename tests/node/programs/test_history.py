"""Order and history of programs through deaths and outages (R1, R2, R9)."""

import asyncio
import re
from dataclasses import replace

from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import ProgramFinished
from damasksaddle_node.programs.state import PartitionState


async def test_vm_killed_during_turns(session, snapshot):
    """Guards against lost, doubled or reordered turns when VMs are killed."""
    async with session(7) as s:
        await s.ask("chat", "one", "p1", vm="vm0")
        owner = s.owner("p1")
        vm = s.other(owner, s.committer("p1"))
        streamed = asyncio.create_task(
            s.ask("chat", "two", "p1", vm, tokens=50, stream=True, idempotency_key="k")
        )
        await s.until(lambda: max(e.load().running for e in s.engines))
        await asyncio.sleep(0.1)
        await s.fleet.kill(owner)
        await streamed
        await s.ask("chat", "two", "p1", vm, tokens=50, idempotency_key="k")
        s.fleet.table.faults.answer_delay_s = 0.2
        whole = asyncio.create_task(s.ask("chat", "three", "p1", vm))
        await s.until(lambda: max(e.load().running for e in s.engines))
        await asyncio.sleep(0.15)
        await s.fleet.kill(s.committer("p1"))
        s.fleet.table.faults.answer_delay_s = 0.0
        await whole
        await asyncio.sleep(15)
        await s.ask("chat", "four", "p1")
        assert s.text() == snapshot


async def test_calls_at_the_same_time(session, snapshot):
    """Guards against calls of one program that overlap or mix with its sub-agents'."""
    async with session() as s:
        programs = ["p1", "p1", "p1", "p1/a", "p1/b", "p1/a", "p1/b", "p2"]
        asks = [
            s.ask("chat", f"{p} call{n}", p, vm=f"vm{n % 4}", tokens=20)
            for n, p in enumerate(programs)
        ]
        await asyncio.gather(*asks)
        for program in ("p1", "p1/a", "p1/b"):
            await s.ask("chat", "last", program)
        for program in ("p1", "p1/a", "p1/b", "p2"):
            calls = [
                call
                for engine in s.engines
                for call in engine.seen
                if call.session == f"ngo/{program}"
            ]
            calls.sort(key=lambda call: len(call.prompt))
            previous = ""
            for call in calls:
                assert call.prompt.startswith(previous)
                previous = call.prompt
            s.note(f"{program} had {len(calls)} calls, each on top of the one before")
        # Which of them comes first depends on which VMs are connected already.
        lines = sorted(re.sub(r" charge=\d+", "", line) for line in s.lines)
        assert "\n".join(lines) == snapshot


async def outage(s, program):
    """Runs two turns that do not become durable; returns the sealed record."""
    await s.ask("chat", "one", program)
    s.fleet.table.faults.down = True
    await asyncio.sleep(90)
    two = await s.ask("chat", "two", program)
    three = await s.ask("chat", "three", program, sealed=two.sealed)
    await s.ask("file", "report", program)
    await s.fleet.kill(s.owner(program))
    await asyncio.sleep(1)
    await s.ask("chat", "four", program, sealed=three.sealed)
    await asyncio.sleep(60)
    s.fleet.table.faults.down = False
    await asyncio.sleep(20)
    return three.sealed


async def test_outage_with_sealed_record(session, snapshot):
    """Guards against losing turns that only the caller's sealed record holds."""
    async with session(6) as s:
        sealed = await outage(s, "p1")
        await s.ask("chat", "four", "p1", sealed=sealed)
        await s.ask("chat", "five", "p1", sealed=sealed)
        await s.fleet.kill(s.owner("p1"))
        await asyncio.sleep(15)
        await s.ask("chat", "six", "p1")
        account = await s.read("p1")
        s.note(f"spent {account['spent_micros']} in {account['turns']} turns")
        assert s.text() == snapshot


async def test_outage_without_sealed_record(session, snapshot):
    """Guards against a late sealed record reordering the turns that came later."""
    async with session(6) as s:
        sealed = await outage(s, "p1")
        await s.ask("chat", "four", "p1")
        await s.ask("chat", "five", "p1", sealed=sealed)
        for text, fields in (
            (
                "altered",
                {"program": "p1", "sealed": sealed[:40] + "AAAA" + sealed[44:]},
            ),
            ("other program", {"program": "p2", "sealed": sealed}),
            ("other workspace", {"program": "p1", "sealed": sealed}),
            ("no base64", {"program": "p1", "sealed": "%%%"}),
        ):
            workspace = "other" if text == "other workspace" else "ngo"
            await s.ask("chat", text, workspace=workspace, **fields)
        await s.fleet.kill(s.owner("p1"))
        await asyncio.sleep(15)
        await s.ask("chat", "six", "p1")
        account = await s.read("p1")
        s.note(f"spent {account['spent_micros']} in {account['turns']} turns")
        assert s.text() == snapshot


async def test_sealed_outcome_settles_a_swept_intent(session, snapshot):
    """Guards against losing a plain call's outcome that the caller holds sealed."""
    async with session(6) as s:
        await s.ask("chat", "one", "p1")
        s.tool.delay_s = 2.0
        call = asyncio.create_task(s.ask("file", "report", "p1", idempotency_key="k"))
        await s.until(lambda: s.tool.seen)
        s.fleet.table.faults.down = True
        done = await call
        await s.fleet.kill(s.owner("p1"))
        s.fleet.table.faults.down = False
        await asyncio.sleep(20)
        await s.ask("file", "report", "p1", idempotency_key="k")
        await s.ask("file", "report", "p1", idempotency_key="k", sealed=done.sealed)
        assert s.text() == snapshot


async def test_records_are_appended_in_bounded_batches():
    """Guards against a batch that is larger than a frame after a long outage."""
    sizes = []

    class Commits:
        async def append_until_known(self, number, records, opened_at):
            sizes.append(sum(len(record) for record in records))
            return 1

    partition = Partition(1, 1, PartitionState(), Commits())
    record = ProgramFinished("record-1", "ngo", "p1", "x" * 1_500_000)
    items = [partition.add(replace(record, record_id=f"r{n}")) for n in range(12)]
    task = asyncio.create_task(partition.flush())
    await asyncio.wait([item.done for item in items])
    task.cancel()
    assert len(sizes) > 1
    assert max(sizes) < 4_000_000
