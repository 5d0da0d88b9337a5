"""Each call that ran is charged once, and charges stay within the budget (R3)."""

import asyncio
from collections import defaultdict

from damasksaddle_node.programs.charges import read_charges


async def charged_and_seen_tokens(session):
    """
    Returns the charged output tokens, and those that the engines generated.

    Both are counted per program. Records the charges in the transcript, and checks the
    charges for plain calls.
    """
    charges = await read_charges(session.fleet.table, session.fleet.objects, 4)
    charged_tokens, charged_answers = defaultdict(int), 0
    for charge in charges:
        if charge.route == "chat":
            charged_tokens[f"{charge.workspace}/{charge.program_id}"] += (
                charge.output_tokens
            )
        elif charge.charge_micros:
            charged_answers += 1
            assert charge.charge_micros == 50
    seen_tokens = defaultdict(int)
    for engine in session.engines:
        for call in engine.seen:
            seen_tokens[call.session] += min(call.tokens, call.max_tokens)
    for charge in sorted(
        charges, key=lambda c: (c.program_id, c.route, c.prompt_tokens)
    ):
        session.record_line(
            f"charge {charge.program_id} {charge.route} {charge.outcome}: "
            f"{charge.prompt_tokens}+{charge.output_tokens} tokens, "
            f"{charge.charge_micros}"
        )
    assert charged_answers <= len({call_id for call_id, _, _ in session.tool.seen})
    return dict(charged_tokens), dict(seen_tokens)


async def test_charges_match_tokens_generated(start_session, snapshot):
    """Guards against missing or double charges, and charges without a run."""
    async with start_session(6) as session:
        await session.call("chat", "plain", "p1", idempotency_key="k")
        await session.call("chat", "plain", "p1", idempotency_key="k")
        await session.call("file", "report", "p1")
        for engine in session.engines:
            engine.settings.extra_tokens = 7
        await session.call("chat", "too long", "p2")
        for engine in session.engines:
            engine.settings.extra_tokens = 0
        session.engines[0].settings.fail_after_tokens = 5
        session.engines[1].settings.slowness = 3.0
        await session.call("chat", "resumed", "p3", tokens=12)
        session.engines[0].settings.fail_after_tokens = None
        abandoned_call = asyncio.create_task(
            session.call("chat", "left", "p4", tokens=50)
        )
        await asyncio.sleep(0.25)
        abandoned_call.cancel()
        await asyncio.sleep(2)
        await session.call("chat", "deadline", "p5", tokens=50, timeout_ms=200)
        for engine in session.engines:
            engine.settings.fail_after_tokens = 2
        await session.call("chat", "all fail", "p6", tokens=9)
        for engine in session.engines:
            engine.settings.fail_after_tokens = None
        await asyncio.sleep(10)
        session.tool.lose_answers = 1
        await session.call("file", "unknown", "p7")
        charged, seen = await charged_and_seen_tokens(session)
        assert charged == seen
        assert session.transcript_text() == snapshot


async def test_budget_holds_over_sub_agents_and_takeover(start_session, snapshot):
    """Guards against concurrent calls that spend more than their shared budget."""
    async with start_session(6) as session:
        await session.call("chat", "start", "p1", tokens=10, budget_micros=700)
        # Each call may cost up to about 240, so the budget does not cover all of them.
        calls = [session.call("chat", "sub", f"p1/{n}", tokens=100) for n in range(5)]
        await asyncio.gather(*calls)
        session.transcript.sort()
        account = await session.query_program("p1")
        session.record_line(
            f"spent {account['spent_micros']}, reserved {account['reserved_micros']}"
        )
        assert account["spent_micros"] <= 700
        await session.fleet.kill(session.owner_name("p1"))
        await asyncio.sleep(15)
        account_after_takeover = await session.query_program("p1")
        assert account_after_takeover["spent_micros"] == account["spent_micros"]
        await session.call("chat", "too much", "p1/x", tokens=200)
        await session.call("chat", "fits", "p1", tokens=5)
        charged, seen = await charged_and_seen_tokens(session)
        assert charged == seen
        assert (
            sum(
                charge.charge_micros
                for charge in await read_charges(
                    session.fleet.table, session.fleet.objects, 4
                )
            )
            == (await session.query_program("p1"))["spent_micros"]
        )
        assert "\n".join(session.transcript) == snapshot


async def test_charges_after_a_table_outage(start_session, snapshot):
    """Guards against lost or double charges when sealed records are replayed."""
    async with start_session(6) as session:
        await session.call("chat", "one", "p1")
        session.fleet.table.faults.down = True
        await asyncio.sleep(30)
        two = await session.call("chat", "two", "p1")
        three = await session.call("chat", "three", "p1", sealed=two.sealed)
        await session.fleet.kill(session.owner_name("p1"))
        session.fleet.table.faults.down = False
        await asyncio.sleep(20)
        for vm in list(session.fleet.nodes)[:3]:
            await session.call("chat", "next", "p1", vm=vm, sealed=three.sealed)
        await session.fleet.kill(session.owner_name("p1"))
        await asyncio.sleep(20)
        await session.call("chat", "last", "p1", sealed=two.sealed)
        charged, seen = await charged_and_seen_tokens(session)
        assert charged == seen
        assert session.transcript_text() == snapshot
