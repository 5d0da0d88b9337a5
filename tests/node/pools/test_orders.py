"""Engine orders across owner changes and with a rate-limited weight store."""

import asyncio
import json

import pytest

from damasksaddle_node.pools.weights import WEIGHT_STORE
from damasksaddle_node.settings import Timing
from damasksaddle_standins import EngineSettings, ModelEngine
from damasksaddle_standins.fleet import LocalFleet
from damasksaddle_standins.orders import WeightStore


def document(
    version: str, engines: int, checks_fencing: bool = True, service: str = "desk"
) -> str:
    upstreams = [
        {
            "name": f"{service}-{number}",
            "url": f"http://{service}-{number}",
            "failure_domain": "a",
            "checks_fencing": checks_fencing,
        }
        for number in range(engines)
    ]
    pool = {"kind": "model", "model": "lv", "version": version, "upstreams": upstreams}
    return json.dumps(
        {
            "service": service,
            "pools": {"writer": pool},
            "routes": {"chat": {"pool": "writer"}},
        }
    )


def start_engines(
    fleet: LocalFleet, count: int, store=None, service="desk", **settings
):
    engines = [
        ModelEngine(EngineSettings(f"{service}-{n}", **settings), store=store)
        for n in range(count)
    ]
    for engine in engines:
        fleet.upstreams.engines[f"http://{engine.settings.name}"] = engine
    return engines


@pytest.mark.parametrize("checks_fencing", [True, False], ids=["checks", "ignores"])
async def test_late_order_of_a_former_owner(checks_fencing):
    """Guards against a late order of a failed owner that reverts a newer one."""
    async with LocalFleet(4, Timing(order_timeout_s=20.0)) as fleet:
        (engine,) = start_engines(fleet, 1, checks_fencing=checks_fencing)
        await fleet.apply("desk", document("v1", 1, checks_fencing))
        await asyncio.sleep(2)
        assert engine.holdings().version == "v1"
        # The order of the first owner arrives after that owner has been removed.
        engine.orders.delay_s = 18.0
        await fleet.apply("desk", document("v2", 1, checks_fencing))
        await asyncio.sleep(1)
        engine.orders.delay_s = 0.0
        owner = fleet.owner_of(lambda state: state.owners.pool("desk/writer"))
        await fleet.kill(owner)
        await fleet.apply("desk", document("v3", 1, checks_fencing))
        await asyncio.sleep(60)
        assert engine.holdings().version == "v3"
        outcomes = [
            (label.split(":")[2], outcome) for _, label, outcome in engine.orders.seen
        ]
        late_outcome = "refused" if checks_fencing else "done"
        assert ("v2", late_outcome) in outcomes
        done_versions = [version for version, outcome in outcomes if outcome == "done"]
        assert done_versions == sorted(done_versions)
        assert len({fence for fence, _, outcome in engine.orders.seen}) > 1


@pytest.mark.parametrize("fault", ["none", "permit owner killed"])
async def test_loads_stay_within_the_rate_of_the_store(fault):
    """Guards against concurrent loads by the owners of several pools."""
    store = WeightStore(load_s=2.0, max_loads=1)
    services = ["a", "b", "c", "d", "e", "f"]
    async with LocalFleet(5) as fleet:
        engines = [e for s in services for e in start_engines(fleet, 3, store, s)]
        for service in services:
            await fleet.apply(service, document("v1", 3, service=service))
        await asyncio.sleep(5)
        if fault != "none":
            await fleet.kill(
                fleet.owner_of(lambda state: state.owners.pool(WEIGHT_STORE))
            )
        await asyncio.sleep(75)
        assert {engine.holdings().version for engine in engines} == {"v1"}
        assert store.most_at_once == 1
        assert store.refused == 0


async def test_restarted_engine_is_loaded_again():
    """Guards against an engine that gets no weights after a restart."""
    async with LocalFleet(2) as fleet:
        start_engines(fleet, 1)
        await fleet.apply("desk", document("v1", 1))
        await asyncio.sleep(2)
        (engine,) = start_engines(fleet, 1)
        await asyncio.sleep(15)
        assert engine.holdings().version == "v1"
