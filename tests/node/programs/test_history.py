"""Order and history of programs across VM failures and table outages (R1, R2, R9)."""

import asyncio
import re
from dataclasses import replace

from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import ProgramFinished
from damasksaddle_node.programs.state import PartitionState


async def test_vm_killed_during_turns(start_session, snapshot):
    """Guards against lost, duplicate or reordered turns when VMs are killed."""
    async with start_session(7) as session:
        await session.call("chat", "one", "p1", vm="vm0")
        owner = session.owner_name("p1")
        vm = session.vm_other_than(owner, session.committer_name("p1"))
        streamed_call = asyncio.create_task(
            session.call(
                "chat", "two", "p1", vm, tokens=50, stream=True, idempotency_key="k"
            )
        )
        await session.wait_until(lambda: max(e.load().running for e in session.engines))
        await asyncio.sleep(0.1)
        await session.fleet.kill(owner)
        await streamed_call
        await session.call("chat", "two", "p1", vm, tokens=50, idempotency_key="k")
        session.fleet.table.faults.answer_delay_s = 0.2
        third_call = asyncio.create_task(session.call("chat", "three", "p1", vm))
        await session.wait_until(lambda: max(e.load().running for e in session.engines))
        await asyncio.sleep(0.15)
        await session.fleet.kill(session.committer_name("p1"))
        session.fleet.table.faults.answer_delay_s = 0.0
        await third_call
        await asyncio.sleep(15)
        await session.call("chat", "four", "p1")
        assert session.transcript_text() == snapshot


async def test_concurrent_calls_of_one_program(start_session, snapshot):
    """Guards against overlapping calls of a program, or ones mixed with sub-agents'."""
    async with start_session() as session:
        programs = ["p1", "p1", "p1", "p1/a", "p1/b", "p1/a", "p1/b", "p2"]
        concurrent_calls = [
            session.call("chat", f"{p} call{n}", p, vm=f"vm{n % 4}", tokens=20)
            for n, p in enumerate(programs)
        ]
        await asyncio.gather(*concurrent_calls)
        for program in ("p1", "p1/a", "p1/b"):
            await session.call("chat", "last", program)
        for program in ("p1", "p1/a", "p1/b", "p2"):
            calls = [
                call
                for engine in session.engines
                for call in engine.seen
                if call.session == f"ngo/{program}"
            ]
            calls.sort(key=lambda call: len(call.prompt))
            previous = ""
            for call in calls:
                assert call.prompt.startswith(previous)
                previous = call.prompt
            session.record_line(
                f"{program} had {len(calls)} calls, each extending the previous prompt"
            )
        # The order of the calls depends on which VMs are connected already.
        lines = sorted(re.sub(r" charge=\d+", "", line) for line in session.transcript)
        assert "\n".join(lines) == snapshot


async def run_turns_in_outage(session, program):
    """Runs two turns during a table outage; returns their sealed records."""
    await session.call("chat", "one", program)
    session.fleet.table.faults.down = True
    await asyncio.sleep(90)
    two = await session.call("chat", "two", program)
    three = await session.call("chat", "three", program, sealed=two.sealed)
    await session.call("file", "report", program)
    await session.fleet.kill(session.owner_name(program))
    await asyncio.sleep(1)
    await session.call("chat", "four", program, sealed=three.sealed)
    await asyncio.sleep(60)
    session.fleet.table.faults.down = False
    await asyncio.sleep(20)
    return three.sealed


async def test_outage_with_sealed_record(start_session, snapshot):
    """Guards against losing turns that exist only in the caller's sealed records."""
    async with start_session(6) as session:
        sealed = await run_turns_in_outage(session, "p1")
        await session.call("chat", "four", "p1", sealed=sealed)
        await session.call("chat", "five", "p1", sealed=sealed)
        await session.fleet.kill(session.owner_name("p1"))
        await asyncio.sleep(15)
        await session.call("chat", "six", "p1")
        account = await session.query_program("p1")
        session.record_line(
            f"spent {account['spent_micros']} in {account['turns']} turns"
        )
        assert session.transcript_text() == snapshot


async def test_outage_without_sealed_record(start_session, snapshot):
    """Guards against sealed records that arrive late and reorder newer turns."""
    async with start_session(6) as session:
        sealed = await run_turns_in_outage(session, "p1")
        await session.call("chat", "four", "p1")
        await session.call("chat", "five", "p1", sealed=sealed)
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
            await session.call("chat", text, workspace=workspace, **fields)
        await session.fleet.kill(session.owner_name("p1"))
        await asyncio.sleep(15)
        await session.call("chat", "six", "p1")
        account = await session.query_program("p1")
        session.record_line(
            f"spent {account['spent_micros']} in {account['turns']} turns"
        )
        assert session.transcript_text() == snapshot


async def test_sealed_record_replaces_unknown_outcome(start_session, snapshot):
    """Guards against losing a plain call's outcome that only a sealed record has."""
    async with start_session(6) as session:
        await session.call("chat", "one", "p1")
        session.tool.delay_s = 2.0
        call = asyncio.create_task(
            session.call("file", "report", "p1", idempotency_key="k")
        )
        await session.wait_until(lambda: session.tool.seen)
        session.fleet.table.faults.down = True
        done = await call
        await session.fleet.kill(session.owner_name("p1"))
        session.fleet.table.faults.down = False
        await asyncio.sleep(20)
        await session.call("file", "report", "p1", idempotency_key="k")
        await session.call(
            "file", "report", "p1", idempotency_key="k", sealed=done.sealed
        )
        assert session.transcript_text() == snapshot


async def test_records_are_appended_in_bounded_batches():
    """Guards against a batch that exceeds the frame size after a long outage."""
    sizes = []

    class Commits:
        async def append_with_retry(self, number, records, opened_at):
            sizes.append(sum(len(record) for record in records))
            return 1

    partition = Partition(1, 1, PartitionState(), Commits())
    record = ProgramFinished("record-1", "ngo", "p1", "x" * 1_500_000)
    items = [partition.add(replace(record, record_id=f"r{n}")) for n in range(12)]
    task = asyncio.create_task(partition.flush())
    await asyncio.wait([pending.done for pending in items])
    task.cancel()
    assert len(sizes) > 1
    assert max(sizes) < 4_000_000
