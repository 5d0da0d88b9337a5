"""Non-repeatable calls: at most once, and a truthful `not_run` (R10, R11, R19)."""

import asyncio

from damasksaddle.utils import partition_of


async def test_owner_killed_around_sending(session, snapshot):
    """Guards against a second send, or a false `not_run`, when an owner dies."""
    async with session(6) as s:
        s.tool.delay_s = 1.0
        for program in ("sent", "unsent"):
            owner = s.owner(program)
            s.fleet.table.faults.delay_s = 0.2 if program == "unsent" else 0.0
            vm = s.other(owner, s.committer(program))
            fields = {"program": program, "vm": vm, "idempotency_key": "k1"}
            call = asyncio.create_task(s.ask("file", program, **fields))
            seen = len(s.tool.seen)
            if program == "sent":
                await s.until(lambda seen=seen: len(s.tool.seen) > seen)
            else:
                await s.until(lambda: s.fleet.nodes[owner].owner.runs)  # noqa: B023
            await s.fleet.kill(owner)
            s.fleet.table.faults.delay_s = 0.0
            await call
            await s.ask("file", program, program, idempotency_key="k1")
            await s.ask("file", "another body", program, idempotency_key="k1")
            await s.ask("file", f"{program} again", program)
        assert s.text() == snapshot


async def test_answers_lost_and_upstream_hangs(session, snapshot):
    """Guards against repeating a call because a table or upstream answer is lost."""
    async with session() as s:
        s.fleet.table.faults.lose_answers = 5
        await s.ask("file", "table answers lost", "p1", idempotency_key="a")
        await s.ask("file", "table answers lost", "p1", idempotency_key="a")
        s.tool.lose_answers = 1
        await s.ask("file", "upstream answer lost", "p1", idempotency_key="b")
        await s.ask("file", "upstream answer lost", "p1", idempotency_key="b")
        s.tool.hang = 1
        await s.ask("file", "upstream hangs", "p1", idempotency_key="c")
        await s.ask("file", "upstream hangs", "p1", idempotency_key="c")
        await asyncio.sleep(6)
        s.tool.hang = 1
        await s.ask("look", "repeatable call hangs", "p1", timeout_ms=500)
        s.tool.refuse_connections = True
        await s.ask("file", "connection refused", "p1", idempotency_key="d")
        s.tool.refuse_connections = False
        await s.ask("file", "connection refused", "p1", idempotency_key="d")
        assert s.text() == snapshot


async def test_retries_with_one_key_meet(session, snapshot):
    """Guards against two sends for one key through other VMs or sub-agents."""
    async with session() as s:
        asks = [
            s.ask("file", "pay", vm=f"vm{n}", idempotency_key="k") for n in range(4)
        ]
        await asyncio.gather(*asks)
        asks = [s.ask("file", "sub", f"p/{n}", idempotency_key="k2") for n in "abc"]
        await asyncio.gather(*asks)
        s.lines.sort()
        assert s.text() == snapshot


async def test_caller_leaves_before_the_intent_is_durable(session, snapshot):
    """Guards against a call that was never sent being held as unknown."""
    async with session() as s:
        await s.ask("chat", "hello", "p1")
        s.fleet.table.faults.delay_s = 0.3
        await s.ask("file", "report", "p1", timeout_ms=100)
        s.fleet.table.faults.delay_s = 0.0
        await asyncio.sleep(1)
        state = s.fleet.nodes[s.owner("p1")].owner.partition_manager.partitions
        assert not state[partition_of("ngo", "p1")].state.intents
        s.fleet.table.faults.down = True
        await s.ask("file", "report", "p1", idempotency_key="k")
        s.fleet.table.faults.down = False
        await s.ask("file", "report", "p1", idempotency_key="k")
        assert s.text() == snapshot


async def test_committer_killed_in_group_commit(session, snapshot):
    """Guards against repeats when a committer dies before or after its write."""
    async with session(6) as s:
        s.tool.delay_s = 0.3
        for number, fault in enumerate(("delay_s", "answer_delay_s")):
            program = next(
                p
                for p in (f"{fault[:2]}{n}" for n in range(99))
                if s.committer(p) not in (s.owner(p), "vm0", "vm1")
                and s.owner(p) not in ("vm0", "vm1")
            )
            await s.ask("chat", "hello", program, vm=f"vm{number}")
            committer = s.committer(program)
            setattr(s.fleet.table.faults, fault, 0.3)
            call = asyncio.create_task(
                s.ask("file", fault, program, vm=f"vm{number}", idempotency_key="k")
            )
            await asyncio.sleep(0.1)
            await s.fleet.kill(committer)
            setattr(s.fleet.table.faults, fault, 0.0)
            await call
            await asyncio.sleep(12)
            await s.ask("file", fault, program, idempotency_key="k")
            await s.ask("file", fault + " next", program)
        assert s.text() == snapshot


async def test_holder_cut_off(session, snapshot):
    """Guards against two VMs running one program while one of them is cut off."""
    async with session(5) as s:
        await s.ask("chat", "first", "p1")
        holder = s.owner("p1")
        s.tool.delay_s = 1.0
        stale = asyncio.create_task(
            s.ask("file", "before", "p1", vm=holder, idempotency_key="k")
        )
        await s.until(lambda: s.tool.seen)
        s.fleet.network.cut_off(holder, list(s.fleet.nodes))
        s.fleet.table.faults.unreachable_for.add(holder)
        await stale
        await s.ask("file", "cut off", "p1", vm=holder, idempotency_key="k2")
        await asyncio.sleep(20)
        vm = s.other(holder)
        await s.ask("file", "before", "p1", vm=vm, idempotency_key="k")
        await s.ask("file", "cut off", "p1", vm=vm, idempotency_key="k2")
        await s.ask("file", "too late", "p1", vm=holder)
        await s.ask("chat", "second", "p1", vm=vm)
        assert s.text() == snapshot


async def test_unknown_outcome_is_looked_up_and_settled(session, snapshot):
    """Guards against an unknown call being lost, repeated or called `not run`."""
    async with session(5, outcome='outcome_path: "/calls/{call_id}"') as s:
        owner = s.owner("p1")
        vm = s.other(owner)
        s.tool.delay_s = 1.0
        call = asyncio.create_task(
            s.ask("pay", "allowance", "p1", vm=vm, idempotency_key="k")
        )
        await s.until(lambda: s.tool.seen)
        await s.fleet.kill(owner)
        await call
        s.tool.delay_s = 0.0
        await asyncio.sleep(5)
        await s.look_up("k", "p1")
        await s.look_up("k", "p1", workspace="other")
        await s.look_up("none", "p1")
        await s.ask("pay", "allowance", "p1", idempotency_key="k")
        # This upstream forgets the call, as one that never received it.
        s.tool.lose_answers = 1
        answer = await s.ask("pay", "second", "p1", idempotency_key="k2")
        s.tool._answers.clear()
        await asyncio.sleep(200)
        await s.look_up("k2", "p1")
        asked = len(s.tool.asked)
        await asyncio.sleep(200)
        assert len(s.tool.asked) == asked
        await s.look_up(answer.call_id, answer.program_id)
        await s.ask("pay", "second", "p1", idempotency_key="k2")
        assert s.text() == snapshot
