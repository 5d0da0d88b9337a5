"""What a partition keeps in memory, and for how long."""

import asyncio

import pytest

from damasksaddle.utils import partition_of
from damasksaddle_node.programs import state


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    """Shortens the retention times, so that a session stays short."""
    monkeypatch.setattr(state, "SINGLE_RETENTION_S", 5)
    monkeypatch.setattr(state, "PROGRAM_RETENTION_S", 20)
    monkeypatch.setattr(state, "ANSWER_RETENTION_S", 100)


def state_of(s, program):
    node = s.fleet.nodes[s.owner(program)]
    return node.owner.partition_manager.partitions[partition_of("ngo", program)].state


async def test_ended_programs_are_dropped(session, snapshot):
    """Guards against memory that grows with calls, and against early forgetting."""
    async with session(2) as s:
        for number in range(30):
            await s.ask("look", f"call {number}")
        await s.ask("file", "keyed", idempotency_key="k")
        await s.ask("chat", "hello", "p1")
        await s.read("p1", action="end")
        s.lines.clear()
        await asyncio.sleep(40)
        states = [
            p.state
            for n in s.fleet.nodes.values()
            for p in n.owner.partition_manager.partitions.values()
        ]
        assert sum(len(state.programs) for state in states) == 0
        assert sum(len(state.accounts) for state in states) == 1
        assert sum(len(state.finished) for state in states) == 1
        await asyncio.sleep(30)
        await s.ask("file", "keyed", idempotency_key="k")
        await s.ask("file", "another body", idempotency_key="k")
        await s.ask("chat", "more", "p1")
        await asyncio.sleep(80)
        assert not any(x.finished or x.ended or x.accounts for x in states)
        s.tool.seen.clear()
        assert s.text() == snapshot


async def test_unknown_call_of_a_dropped_program_is_not_repeated(session, snapshot):
    """Guards against repeating a call after its program was dropped."""
    async with session(3) as s:
        s.tool.lose_answers = 1
        answer = await s.ask("file", "payout", "p1", idempotency_key="k")
        await s.read("p1", action="end")
        await asyncio.sleep(60)
        assert not state_of(s, "p1").programs
        await s.look_up(answer.call_id, "p1")
        await s.ask("file", "payout", "p1", idempotency_key="k")
        assert s.text() == snapshot


async def test_id_is_used_again_after_its_program_was_forgotten(session, snapshot):
    """Guards against a replay that takes a second program for its ended namesake."""
    async with session(5) as s:
        await s.ask("chat", "first life", "p1")
        await s.read("p1", action="end")
        await asyncio.sleep(200)
        await s.ask("chat", "second life", "p1")
        await s.fleet.kill(s.owner("p1"))
        await asyncio.sleep(15)
        await s.ask("chat", "goes on", "p1")
        account = await s.read("p1")
        s.note(f"spent {account['spent_micros']} in {account['turns']} turns")
        assert s.text() == snapshot
