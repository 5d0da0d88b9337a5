"""How long a partition retains programs and answers in memory."""

import asyncio

import pytest

from damasksaddle.utils import partition_of
from damasksaddle_node.programs import state


@pytest.fixture(autouse=True)
def short_retention(monkeypatch):
    """Shortens the retention times to keep the sessions short."""
    monkeypatch.setattr(state, "SINGLE_CALL_RETENTION_S", 5)
    monkeypatch.setattr(state, "PROGRAM_RETENTION_S", 20)
    monkeypatch.setattr(state, "ANSWER_RETENTION_S", 100)


def partition_state(session, program):
    node = session.fleet.nodes[session.owner_name(program)]
    return node.owner.partition_manager.partitions[partition_of("ngo", program)].state


async def test_ended_programs_are_dropped(start_session, snapshot):
    """Guards against memory that grows with the number of calls, and early expiry."""
    async with start_session(2) as session:
        for number in range(30):
            await session.call("look", f"call {number}")
        await session.call("file", "keyed", idempotency_key="k")
        await session.call("chat", "hello", "p1")
        await session.query_program("p1", action="end")
        session.transcript.clear()
        await asyncio.sleep(40)
        states = [
            p.state
            for n in session.fleet.nodes.values()
            for p in n.owner.partition_manager.partitions.values()
        ]
        assert sum(len(state.programs) for state in states) == 0
        assert sum(len(state.accounts) for state in states) == 1
        assert sum(len(state.finished_calls) for state in states) == 1
        await asyncio.sleep(30)
        await session.call("file", "keyed", idempotency_key="k")
        await session.call("file", "another body", idempotency_key="k")
        await session.call("chat", "more", "p1")
        await asyncio.sleep(80)
        assert not any(
            state.finished_calls or state.ended_programs or state.accounts
            for state in states
        )
        session.tool.seen.clear()
        assert session.transcript_text() == snapshot


async def test_unknown_call_of_a_dropped_program_is_not_repeated(
    start_session, snapshot
):
    """Guards against resending a call after its program was dropped."""
    async with start_session(3) as session:
        session.tool.lose_answers = 1
        answer = await session.call("file", "payout", "p1", idempotency_key="k")
        await session.query_program("p1", action="end")
        await asyncio.sleep(60)
        assert not partition_state(session, "p1").programs
        await session.look_up_call(answer.call_id, "p1")
        await session.call("file", "payout", "p1", idempotency_key="k")
        assert session.transcript_text() == snapshot


async def test_program_id_is_reused_after_retention(start_session, snapshot):
    """Guards against a replay that confuses a program with an ended one of its id."""
    async with start_session(5) as session:
        await session.call("chat", "first life", "p1")
        await session.query_program("p1", action="end")
        await asyncio.sleep(200)
        await session.call("chat", "second life", "p1")
        await session.fleet.kill(session.owner_name("p1"))
        await asyncio.sleep(15)
        await session.call("chat", "goes on", "p1")
        account = await session.query_program("p1")
        session.record_line(
            f"spent {account['spent_micros']} in {account['turns']} turns"
        )
        assert session.transcript_text() == snapshot
