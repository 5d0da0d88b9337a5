"""Engine memory of ended programs is released (R4, R16)."""

import asyncio

import pytest


def held_sessions(session):
    return sorted(name for engine in session.engines for name in engine.held_sessions())


async def test_owner_dies_before_the_release(start_session):
    """Guards against memory that is never released because no further call arrives."""
    async with start_session(6) as session:
        await session.call("chat", "hello", "p1", tokens=40)
        await session.call("chat", "hello", "p1/sub", tokens=40)
        await session.call("chat", "hello", "p2", tokens=40)
        assert held_sessions(session) == ["ngo/p1", "ngo/p1/sub", "ngo/p2"]
        await session.query_program("p1", action="end")
        await session.fleet.kill(session.owner_name("p1"))
        await asyncio.sleep(30)
        assert held_sessions(session) == ["ngo/p2"]
        refused = await session.call("chat", "more", "p1/sub", tokens=40)
        assert refused.code == "program_ended"


async def test_owner_leaves_before_the_release(start_session):
    """Guards against losing a pending release in a planned handover."""
    async with start_session(5) as session:
        await session.call("chat", "hello", "p1", tokens=40)
        session.fleet.upstreams.down |= set(session.fleet.upstreams.engines)
        await session.query_program("p1", action="end")
        await session.fleet.leave(session.owner_name("p1"))
        session.fleet.upstreams.down.clear()
        await asyncio.sleep(15)
        assert held_sessions(session) == []


@pytest.mark.parametrize("is_first_call", [True, False])
async def test_engine_memory_of_unrecorded_call_is_released(
    start_session, is_first_call
):
    """Guards against keeping memory of a call whose owner failed before its record."""
    async with start_session(6) as session:
        if not is_first_call:
            await session.call("chat", "hello", "p1", tokens=40)
        session.fleet.table.faults.delay_s = 0.4
        owner = session.owner_name("p1")
        vm = session.vm_other_than(owner)
        call = asyncio.create_task(session.call("chat", "lost", "p1", vm, tokens=40))

        def engines_with_finished_call():
            return [
                url
                for url, engine in session.fleet.upstreams.engines.items()
                for seen in engine.seen
                if seen.prompt.endswith("lost") and seen.ended == "finished"
            ]

        await session.wait_until(engines_with_finished_call)
        # The next attempt uses the other engine.
        session.fleet.upstreams.down.update(engines_with_finished_call())
        await session.fleet.kill(owner)
        session.fleet.table.faults.delay_s = 0.0
        await call
        assert len(held_sessions(session)) == 2
        session.fleet.upstreams.down.clear()
        await session.query_program("p1", action="end")
        await asyncio.sleep(10)
        assert held_sessions(session) == []


async def test_idle_programs_end(start_session):
    """Guards against idle programs that never end and never release memory."""
    async with start_session(6) as session:
        await session.call("chat", "hello", "p1", tokens=40)
        await session.call("chat", "hello", "p2", tokens=40)
        await asyncio.sleep(400)
        await session.call("chat", "hello", "p2/sub", tokens=40)
        await session.fleet.kill(session.owner_name("p1"))
        await asyncio.sleep(300)
        assert held_sessions(session)
        await asyncio.sleep(350)
        assert "ngo/p1" not in held_sessions(session)
        await asyncio.sleep(700)
        assert held_sessions(session) == []
        assert (await session.query_program("p2"))["ended"] == "idle"


async def test_late_call_of_former_holder_keeps_no_engine_memory(start_session):
    """
    Guards against memory that an engine keeps after a program was released.

    Found by the soak test with seeds 7005 and 7037: an engine finished a call of the
    former holder after the new holder had released the program, and the release was
    not repeated.
    """
    async with start_session(6) as session:
        await session.call("chat", "hello", "p1", tokens=40)
        await session.fleet.kill(session.owner_name("p1"))
        await session.call("chat", "again", "p1", tokens=40)
        await session.query_program("p1", action="end")
        await asyncio.sleep(5)
        assert held_sessions(session) == []
        for engine in session.fleet.upstreams.engines.values():
            engine.cache.insert("ngo/p1", [1, 2, 3], keep=True)
        assert held_sessions(session)
        await asyncio.sleep(5)
        assert held_sessions(session) == []
