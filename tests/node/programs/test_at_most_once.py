"""Calls that must run at most once, and the accuracy of `not_run` (R10, R11, R19)."""

import asyncio

from damasksaddle.utils import partition_of


async def test_owner_killed_around_sending(start_session, snapshot):
    """Guards against a second send or a wrong `not_run` when an owner is killed."""
    async with start_session(6) as session:
        session.tool.delay_s = 1.0
        for program in ("sent", "unsent"):
            owner = session.owner_name(program)
            session.fleet.table.faults.delay_s = 0.2 if program == "unsent" else 0.0
            vm = session.vm_other_than(owner, session.committer_name(program))
            fields = {"program": program, "vm": vm, "idempotency_key": "k1"}
            call = asyncio.create_task(session.call("file", program, **fields))
            seen = len(session.tool.seen)
            if program == "sent":
                await session.wait_until(
                    lambda seen=seen: len(session.tool.seen) > seen
                )
            else:
                await session.wait_until(lambda: session.fleet.nodes[owner].owner.runs)  # noqa: B023
            await session.fleet.kill(owner)
            session.fleet.table.faults.delay_s = 0.0
            await call
            await session.call("file", program, program, idempotency_key="k1")
            await session.call("file", "another body", program, idempotency_key="k1")
            await session.call("file", f"{program} again", program)
        assert session.transcript_text() == snapshot


async def test_answers_lost_and_upstream_hangs(start_session, snapshot):
    """Guards against resending a call after a lost table or upstream answer."""
    async with start_session() as session:
        session.fleet.table.faults.lose_answers = 5
        await session.call("file", "table answers lost", "p1", idempotency_key="a")
        await session.call("file", "table answers lost", "p1", idempotency_key="a")
        session.tool.lose_answers = 1
        await session.call("file", "upstream answer lost", "p1", idempotency_key="b")
        await session.call("file", "upstream answer lost", "p1", idempotency_key="b")
        session.tool.hanging_calls = 1
        await session.call("file", "upstream hangs", "p1", idempotency_key="c")
        await session.call("file", "upstream hangs", "p1", idempotency_key="c")
        await asyncio.sleep(6)
        session.tool.hanging_calls = 1
        await session.call("look", "repeatable call hangs", "p1", timeout_ms=500)
        session.tool.refuse_connections = True
        await session.call("file", "connection refused", "p1", idempotency_key="d")
        session.tool.refuse_connections = False
        await session.call("file", "connection refused", "p1", idempotency_key="d")
        assert session.transcript_text() == snapshot


async def test_concurrent_retries_with_one_key_run_once(start_session, snapshot):
    """Guards against two sends for one key, through several VMs or sub-agents."""
    async with start_session() as session:
        calls = [
            session.call("file", "pay", vm=f"vm{n}", idempotency_key="k")
            for n in range(4)
        ]
        await asyncio.gather(*calls)
        calls = [
            session.call("file", "sub", f"p/{n}", idempotency_key="k2") for n in "abc"
        ]
        await asyncio.gather(*calls)
        session.transcript.sort()
        assert session.transcript_text() == snapshot


async def test_caller_leaves_before_the_intent_is_durable(start_session, snapshot):
    """Guards against an unknown outcome for a call that was never sent."""
    async with start_session() as session:
        await session.call("chat", "hello", "p1")
        session.fleet.table.faults.delay_s = 0.3
        await session.call("file", "report", "p1", timeout_ms=100)
        session.fleet.table.faults.delay_s = 0.0
        await asyncio.sleep(1)
        partitions = session.fleet.nodes[
            session.owner_name("p1")
        ].owner.partition_manager.partitions
        assert not partitions[partition_of("ngo", "p1")].state.intents
        session.fleet.table.faults.down = True
        await session.call("file", "report", "p1", idempotency_key="k")
        session.fleet.table.faults.down = False
        await session.call("file", "report", "p1", idempotency_key="k")
        assert session.transcript_text() == snapshot


async def test_committer_killed_in_group_commit(start_session, snapshot):
    """Guards against a second send if a committer is killed before or after a write."""
    async with start_session(6) as session:
        session.tool.delay_s = 0.3
        for number, fault in enumerate(("delay_s", "answer_delay_s")):
            program = next(
                p
                for p in (f"{fault[:2]}{n}" for n in range(99))
                if session.committer_name(p)
                not in (session.owner_name(p), "vm0", "vm1")
                and session.owner_name(p) not in ("vm0", "vm1")
            )
            await session.call("chat", "hello", program, vm=f"vm{number}")
            committer = session.committer_name(program)
            setattr(session.fleet.table.faults, fault, 0.3)
            call = asyncio.create_task(
                session.call(
                    "file", fault, program, vm=f"vm{number}", idempotency_key="k"
                )
            )
            await asyncio.sleep(0.1)
            await session.fleet.kill(committer)
            setattr(session.fleet.table.faults, fault, 0.0)
            await call
            await asyncio.sleep(12)
            await session.call("file", fault, program, idempotency_key="k")
            await session.call("file", fault + " next", program)
        assert session.transcript_text() == snapshot


async def test_holder_loses_network_and_table(start_session, snapshot):
    """Guards against two VMs running one program while one of them is disconnected."""
    async with start_session(5) as session:
        await session.call("chat", "first", "p1")
        holder = session.owner_name("p1")
        session.tool.delay_s = 1.0
        interrupted_call = asyncio.create_task(
            session.call("file", "before", "p1", vm=holder, idempotency_key="k")
        )
        await session.wait_until(lambda: session.tool.seen)
        session.fleet.network.disconnect(holder, list(session.fleet.nodes))
        session.fleet.table.faults.unreachable_for.add(holder)
        await interrupted_call
        await session.call("file", "cut off", "p1", vm=holder, idempotency_key="k2")
        await asyncio.sleep(20)
        vm = session.vm_other_than(holder)
        await session.call("file", "before", "p1", vm=vm, idempotency_key="k")
        await session.call("file", "cut off", "p1", vm=vm, idempotency_key="k2")
        await session.call("file", "too late", "p1", vm=holder)
        await session.call("chat", "second", "p1", vm=vm)
        assert session.transcript_text() == snapshot


async def test_unknown_outcome_is_looked_up_and_resolved(start_session, snapshot):
    """Guards against losing or resending an unknown call, or reporting `not run`."""
    async with start_session(5, outcome='outcome_path: "/calls/{call_id}"') as session:
        owner = session.owner_name("p1")
        vm = session.vm_other_than(owner)
        session.tool.delay_s = 1.0
        call = asyncio.create_task(
            session.call("pay", "allowance", "p1", vm=vm, idempotency_key="k")
        )
        await session.wait_until(lambda: session.tool.seen)
        await session.fleet.kill(owner)
        await call
        session.tool.delay_s = 0.0
        await asyncio.sleep(5)
        await session.look_up_call("k", "p1")
        await session.look_up_call("k", "p1", workspace="other")
        await session.look_up_call("none", "p1")
        await session.call("pay", "allowance", "p1", idempotency_key="k")
        # The upstream answers as if it had never received the call.
        session.tool.lose_answers = 1
        answer = await session.call("pay", "second", "p1", idempotency_key="k2")
        session.tool._answers.clear()
        await asyncio.sleep(200)
        await session.look_up_call("k2", "p1")
        query_count = len(session.tool.outcome_queries)
        await asyncio.sleep(200)
        assert len(session.tool.outcome_queries) == query_count
        await session.look_up_call(answer.call_id, answer.program_id)
        await session.call("pay", "second", "p1", idempotency_key="k2")
        assert session.transcript_text() == snapshot


async def test_resolved_outcome_has_the_bytes_of_the_service(start_session):
    """Guards against a binary answer that is corrupted when its outcome is resolved."""
    async with start_session(outcome='outcome_path: "/calls/{call_id}"') as session:
        session.tool.lose_answers = 1
        await session.call("pay", "receipt", "p1", idempotency_key="k")
        body = b"%PDF-1.7 \xff\xfe\x00"
        session.tool._answers[session.tool.seen[0][0]] = body
        await asyncio.sleep(5)
        answer = await session.call("pay", "receipt", "p1", idempotency_key="k")
        assert answer.body_bytes() == body
        assert len(session.tool.seen) == 1
