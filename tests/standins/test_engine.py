"""Tests of the engine stand-in, on whose behaviour benchmark results depend."""

import asyncio

import pytest

from damasksaddle.exceptions import OrderRefused, UpstreamError
from damasksaddle_node.upstreams import EngineDone, EngineOrder, EngineRequest
from damasksaddle_standins import EngineSettings, ModelEngine
from damasksaddle_standins.cache import CacheLedger
from damasksaddle_standins.orders import WeightStore

SHARED_PROMPT = " ".join(f"rule{number}" for number in range(64))


def make_request(session: str, text: str = SHARED_PROMPT, **fields) -> EngineRequest:
    fields = {"max_tokens": 4, "keep": True, **fields}
    messages = [{"role": "user", "content": text}]
    return EngineRequest(f"call-{session}", session, "lv", messages, **fields)


async def run_call(engine: ModelEngine, call: EngineRequest) -> EngineDone:
    return [event async for event in engine.generate(call)][-1]


def call_summaries(engine: ModelEngine) -> list[str]:
    return [
        f"{call.session}: {call.ended} at {call.ended_s - call.arrived_s:.4f} s, "
        f"{call.tokens} tokens, {call.cached_tokens}/{call.prompt_tokens} cached"
        for call in engine.seen
    ]


async def test_session(snapshot):
    """Guards against changes of timing and caching that alter benchmark results."""
    engine = ModelEngine(EngineSettings(slots=2))
    await run_call(engine, make_request("a"))
    await asyncio.gather(
        run_call(engine, make_request("b", f"{SHARED_PROMPT} more", max_tokens=20)),
        run_call(engine, make_request("c", "one two")),
        run_call(engine, make_request("late", "one two")),
        run_call(engine, make_request("urgent", "one two", priority=5)),
    )
    cancelled = asyncio.create_task(run_call(engine, make_request("d", max_tokens=500)))
    await asyncio.sleep(0.2)
    cancelled.cancel()
    await asyncio.gather(cancelled, return_exceptions=True)
    await run_call(engine, make_request("e", "one", max_tokens=2, resume_text="w0 w1 "))
    await engine.import_kv("moved", engine.export_kv("a"))
    engine.release("a")
    await asyncio.sleep(1)
    assert {
        "calls": call_summaries(engine),
        "held": engine.cache.held(),
        "events": engine.cache_events(0),
        "ledger": engine.cache.ledger,
    } == snapshot


async def test_cache_stays_within_its_capacity():
    """Guards against kept sessions that exceed the cache capacity."""
    ledger = CacheLedger()
    engine = ModelEngine(EngineSettings(cache_tokens=160), ledger)
    for number in range(5):
        text = " ".join(f"s{number}w{word}" for word in range(60))
        await run_call(engine, make_request(f"s{number}", text))
        assert engine.cache.tokens <= 160
    assert sorted(engine.held_sessions()) == ["s3", "s4"]
    assert ledger.unused == 20 * 16 - 160


async def test_cache_events_are_lost_and_load_reports_lag():
    """
    Guards against reports that are complete and current despite loss and lag settings.

    Schedulers would then be tested with perfect reports only.
    """
    engine = ModelEngine(EngineSettings(event_loss=0.5, load_lag_s=1.0))
    for number in range(20):
        await run_call(engine, make_request(f"s{number}", f"{number} {SHARED_PROMPT}"))
    numbers = [event.number for event in engine.cache_events(0)]
    assert 0 < len(numbers) < 20
    engine.load()
    task = asyncio.create_task(run_call(engine, make_request("x", max_tokens=300)))
    await asyncio.sleep(0.5)
    assert engine.load().running == 0
    await asyncio.sleep(1.0)
    assert engine.load().running == 1
    await task


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_order_with_an_old_fencing_number(checks_fencing):
    """Guards against a wrong result of an outdated order, with and without fencing."""
    engine = ModelEngine(EngineSettings(checks_fencing=checks_fencing))
    await engine.order(EngineOrder(7, "new"))
    try:
        await engine.order(EngineOrder(6, "old"))
    except OrderRefused:
        assert checks_fencing
    assert engine.holdings().model == ("new" if checks_fencing else "old")


async def test_weight_store_refuses_loads_above_its_limit():
    """Guards against loads above the limit of the weight store that are not refused."""
    store = WeightStore(load_s=1.0, max_loads=1)
    engines = [ModelEngine(EngineSettings(), store=store) for _ in range(2)]
    orders = [engine.order(EngineOrder(1, "other")) for engine in engines]
    results = await asyncio.gather(*orders, return_exceptions=True)
    assert [type(result) for result in results] == [type(None), UpstreamError]
    assert (store.refused, store.peak_loads) == (1, 1)
    with pytest.raises(UpstreamError):
        await run_call(engines[0], make_request("a"))
