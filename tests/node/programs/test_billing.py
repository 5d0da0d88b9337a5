"""One charge for each call that ran, and none above the budget (R3)."""

import asyncio
from collections import defaultdict

from damasksaddle_node.programs.charges import read_charges


async def bill(s):
    """Compares the charges in the table with what the stand-ins saw."""
    charges = await read_charges(s.fleet.table, s.fleet.objects, 4)
    tokens, answers = defaultdict(int), 0
    for charge in charges:
        if charge.route == "chat":
            tokens[f"{charge.workspace}/{charge.program_id}"] += charge.output_tokens
        elif charge.charge_micros:
            answers += 1
            assert charge.charge_micros == 50
    seen = defaultdict(int)
    for engine in s.engines:
        for call in engine.seen:
            seen[call.session] += min(call.tokens, call.max_tokens)
    for charge in sorted(
        charges, key=lambda c: (c.program_id, c.route, c.prompt_tokens)
    ):
        s.note(
            f"charge {charge.program_id} {charge.route} {charge.outcome}: "
            f"{charge.prompt_tokens}+{charge.output_tokens} tokens, "
            f"{charge.charge_micros}"
        )
    assert answers <= len({call_id for call_id, _, _ in s.tool.seen})
    return dict(tokens), dict(seen)


async def test_charges_match_what_ran(session, snapshot):
    """Guards against charges that are missing, double or for calls that did not run."""
    async with session(6) as s:
        await s.ask("chat", "plain", "p1", idempotency_key="k")
        await s.ask("chat", "plain", "p1", idempotency_key="k")
        await s.ask("file", "report", "p1")
        for engine in s.engines:
            engine.settings.extra_tokens = 7
        await s.ask("chat", "too long", "p2")
        for engine in s.engines:
            engine.settings.extra_tokens = 0
        s.engines[0].settings.fail_after_tokens = 5
        s.engines[1].settings.slowness = 3.0
        await s.ask("chat", "resumed", "p3", tokens=12)
        s.engines[0].settings.fail_after_tokens = None
        left = asyncio.create_task(s.ask("chat", "left", "p4", tokens=50))
        await asyncio.sleep(0.25)
        left.cancel()
        await asyncio.sleep(2)
        await s.ask("chat", "deadline", "p5", tokens=50, timeout_ms=200)
        for engine in s.engines:
            engine.settings.fail_after_tokens = 2
        await s.ask("chat", "all fail", "p6", tokens=9)
        for engine in s.engines:
            engine.settings.fail_after_tokens = None
        await asyncio.sleep(10)
        s.tool.lose_answers = 1
        await s.ask("file", "unknown", "p7")
        tokens, seen = await bill(s)
        assert tokens == seen
        assert s.text() == snapshot


async def test_budget_holds_over_sub_agents_and_takeover(session, snapshot):
    """Guards against spending more than a budget by running calls side by side."""
    async with session(6) as s:
        await s.ask("chat", "start", "p1", tokens=10, budget_micros=700)
        # Each may cost up to about 240, so that not all of them fit.
        asks = [s.ask("chat", "sub", f"p1/{n}", tokens=100) for n in range(5)]
        await asyncio.gather(*asks)
        s.lines.sort()
        account = await s.read("p1")
        s.note(
            f"spent {account['spent_micros']}, set aside {account['reserved_micros']}"
        )
        assert account["spent_micros"] <= 700
        await s.fleet.kill(s.owner("p1"))
        await asyncio.sleep(15)
        again = await s.read("p1")
        assert again["spent_micros"] == account["spent_micros"]
        await s.ask("chat", "too much", "p1/x", tokens=200)
        await s.ask("chat", "fits", "p1", tokens=5)
        tokens, seen = await bill(s)
        assert tokens == seen
        assert (
            sum(
                charge.charge_micros
                for charge in await read_charges(s.fleet.table, s.fleet.objects, 4)
            )
            == (await s.read("p1"))["spent_micros"]
        )
        assert "\n".join(s.lines) == snapshot


async def test_charges_of_an_outage(session, snapshot):
    """Guards against losing or doubling charges with replayed sealed records."""
    async with session(6) as s:
        await s.ask("chat", "one", "p1")
        s.fleet.table.faults.down = True
        await asyncio.sleep(30)
        two = await s.ask("chat", "two", "p1")
        three = await s.ask("chat", "three", "p1", sealed=two.sealed)
        await s.fleet.kill(s.owner("p1"))
        s.fleet.table.faults.down = False
        await asyncio.sleep(20)
        for vm in list(s.fleet.nodes)[:3]:
            await s.ask("chat", "next", "p1", vm=vm, sealed=three.sealed)
        await s.fleet.kill(s.owner("p1"))
        await asyncio.sleep(20)
        await s.ask("chat", "last", "p1", sealed=two.sealed)
        tokens, seen = await bill(s)
        assert tokens == seen
        assert s.text() == snapshot
