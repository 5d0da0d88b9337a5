"""Calls that continue on another engine."""

import asyncio


async def test_time_to_first_token_of_the_second_engine(start_session):
    """Guards against a first token that counts as instant at the engine of a retry."""
    async with start_session() as session:
        for engine in session.engines:
            engine.settings.prefill_s_per_token = 0.1
            engine.settings.fail_after_tokens = 3
        answer = await session.call("chat", "hello", "p1", tokens=5)
        assert answer.trace.tries == 2
        await asyncio.sleep(1)
        pool = "desk/writer"
        owner = session.fleet.owner_of(lambda state: state.owners.pool(pool))
        views = session.fleet.nodes[owner].schedulers.schedulers[pool].view.upstreams
        served_ms = max(view.first_token_ms for view in views.values())
        # The second engine prefills the prompt and the three tokens of the first.
        assert 400 <= served_ms < 450
        assert answer.trace.first_token_ms < served_ms
