"""Ended programs hold no engine memory (R4, R16)."""

import asyncio

import pytest


def held(s):
    return sorted(name for engine in s.engines for name in engine.held_sessions())


async def test_owner_dies_before_the_release(session):
    """Guards against memory that nobody frees because no call comes any more."""
    async with session(6) as s:
        await s.ask("chat", "hello", "p1", tokens=40)
        await s.ask("chat", "hello", "p1/sub", tokens=40)
        await s.ask("chat", "hello", "p2", tokens=40)
        assert held(s) == ["ngo/p1", "ngo/p1/sub", "ngo/p2"]
        await s.read("p1", action="end")
        await s.fleet.kill(s.owner("p1"))
        await asyncio.sleep(30)
        assert held(s) == ["ngo/p2"]
        refused = await s.ask("chat", "more", "p1/sub", tokens=40)
        assert refused.code == "program_ended"


async def test_owner_leaves_before_the_release(session):
    """Guards against losing a release in a planned handover."""
    async with session(5) as s:
        await s.ask("chat", "hello", "p1", tokens=40)
        s.fleet.upstreams.down |= set(s.fleet.upstreams.engines)
        await s.read("p1", action="end")
        await s.fleet.leave(s.owner("p1"))
        s.fleet.upstreams.down.clear()
        await asyncio.sleep(15)
        assert held(s) == []


@pytest.mark.parametrize("first", [True, False])
async def test_engine_kept_a_call_that_was_never_recorded(session, first):
    """Guards against memory of a call whose owner died before its record."""
    async with session(6) as s:
        if not first:
            await s.ask("chat", "hello", "p1", tokens=40)
        s.fleet.table.faults.delay_s = 0.4
        owner = s.owner("p1")
        vm = s.other(owner)
        call = asyncio.create_task(s.ask("chat", "lost", "p1", vm, tokens=40))

        def kept():
            return [
                url
                for url, engine in s.fleet.upstreams.engines.items()
                for seen in engine.seen
                if seen.prompt.endswith("lost") and seen.ended == "finished"
            ]

        await s.until(kept)
        # The next try goes to the other engine.
        s.fleet.upstreams.down.update(kept())
        await s.fleet.kill(owner)
        s.fleet.table.faults.delay_s = 0.0
        await call
        assert len(held(s)) == 2
        s.fleet.upstreams.down.clear()
        await s.read("p1", action="end")
        await asyncio.sleep(10)
        assert held(s) == []


async def test_idle_programs_end(session):
    """Guards against programs that never end and hold memory for good."""
    async with session(6) as s:
        await s.ask("chat", "hello", "p1", tokens=40)
        await s.ask("chat", "hello", "p2", tokens=40)
        await asyncio.sleep(400)
        await s.ask("chat", "hello", "p2/sub", tokens=40)
        await s.fleet.kill(s.owner("p1"))
        await asyncio.sleep(300)
        assert held(s)
        await asyncio.sleep(350)
        assert "ngo/p1" not in held(s)
        await asyncio.sleep(700)
        assert held(s) == []
        assert (await s.read("p2"))["ended"] == "idle"


async def test_a_call_of_the_former_holder_that_ends_late_keeps_nothing(session):
    """
    Guards against memory that is kept after the release of its program.

    Found by the soak with seeds 7005 and 7037: the engine finished a call of the
    former holder after the new one had released the program, and nobody repeated it.
    """
    async with session(6) as s:
        await s.ask("chat", "hello", "p1", tokens=40)
        await s.fleet.kill(s.owner("p1"))
        await s.ask("chat", "again", "p1", tokens=40)
        await s.read("p1", action="end")
        await asyncio.sleep(5)
        assert held(s) == []
        for engine in s.fleet.upstreams.engines.values():
            engine.cache.insert("ngo/p1", [1, 2, 3], keep=True)
        assert held(s)
        await asyncio.sleep(5)
        assert held(s) == []
