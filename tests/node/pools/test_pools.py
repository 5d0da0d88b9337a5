"""Pools on real nodes: leaving upstreams, owner changes and slow engines."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest

from damasksaddle.exceptions import Refusal
from damasksaddle.platform import ListedVm
from damasksaddle.utils import partition_of
from damasksaddle_node.entry import CallerRequest
from damasksaddle_standins import EngineSettings, ModelEngine
from damasksaddle_standins.fleet import LocalFleet

SLOTS = 2
POOL = "desk/writer"


def document(engines: int, **upstream_fields) -> str:
    upstreams = [
        {
            "name": f"run-{number}",
            "url": f"http://run-{number}:80",
            "failure_domain": "a",
            "slots": SLOTS,
            **upstream_fields,
        }
        for number in range(engines)
    ]
    limits = {"rate_per_s": 1000, "burst": 1000, "max_wait_ms": 20_000}
    pool = {"kind": "model", "model": "lv", "upstreams": upstreams}
    return json.dumps(
        {
            "service": "desk",
            "pools": {"writer": pool},
            "routes": {"chat": {"pool": "writer"}},
            "workspaces": {"ngo": limits},
        }
    )


class Deployment:
    """A fleet with engines, and callers that retry refused requests."""

    def __init__(self, fleet: LocalFleet, engines: int) -> None:
        self.fleet = fleet
        self.key = ""
        self.engines = [
            ModelEngine(EngineSettings(f"run-{n}", load_lag_s=1.0))
            for n in range(engines)
        ]
        for engine in self.engines:
            fleet.upstreams.engines[f"http://{engine.settings.name}:80"] = engine

    async def call(self, program: str, tokens: int = 3) -> None:
        body = {"messages": [{"role": "user", "content": program}]}
        body["max_tokens"] = tokens
        data = json.dumps(body).encode()
        request = CallerRequest(
            self.key, "desk", "chat", data, program_id=program, idempotency_key="k"
        )
        while True:
            name = next(iter(self.fleet.nodes))
            try:
                await self.fleet.call(name, request)
                return
            except Refusal:
                await asyncio.sleep(0.2)

    async def calls(self, label: str, count: int, tokens: int = 3) -> None:
        await asyncio.gather(
            *(self.call(f"{label}{number}", tokens) for number in range(count))
        )

    def publish_vms(self, **leaving: bool) -> None:
        vms = [ListedVm(vm, vm, False) for vm in self.fleet.nodes]
        vms += [
            ListedVm(
                f"host-{n}", f"{engine.settings.name}:80", leaving.get(f"run{n}", False)
            )
            for n, engine in enumerate(self.engines)
        ]
        self.fleet.vm_list.set(vms)

    def pool_owner(self) -> str:
        return self.fleet.owner_of(lambda state: state.owners.pool(POOL))

    def owner(self, session: str) -> str:
        workspace, _, program = session.partition("/")
        number = partition_of(workspace, program)
        return self.fleet.owner_of(lambda state: state.owners.partition(number))

    def max_concurrent_calls(self) -> list[int]:
        """Returns the maximum number of concurrent calls of each engine."""
        maxima = []
        for engine in self.engines:
            intervals = [
                (call.arrived_s, 1, call.ended_s or float("inf"))
                for call in engine.seen
            ]
            maxima.append(
                max(
                    sum(1 for start, _, end in intervals if start <= at < end)
                    for at, _, _ in intervals
                )
            )
        return maxima


@asynccontextmanager
async def deploy(engines: int = 2, nodes: int = 3, **upstream_fields):
    async with LocalFleet(nodes) as fleet:
        deployment = Deployment(fleet, engines)
        await fleet.apply("desk", document(engines, **upstream_fields))
        deployment.key = await fleet.give_key("ngo")
        yield deployment


@pytest.mark.parametrize("fault", ["none", "list down", "owner killed"])
async def test_leaving_upstream_gets_no_new_calls(fault):
    """Guards against new calls 5 s after the VM list marks an upstream as leaving."""
    async with deploy() as deployment:
        loop = asyncio.get_running_loop()
        deployment.fleet.vm_list.lag_s = 4.0
        deployment.publish_vms()
        await asyncio.sleep(6)
        long = asyncio.create_task(deployment.calls("long", 4, tokens=3000))
        await asyncio.sleep(1)
        deployment.publish_vms(run1=True)
        visible_s = loop.time() + 4.0
        await asyncio.sleep(4.0 + 5.0)
        if fault != "none":
            deployment.fleet.vm_list.down = True
        killed = deployment.pool_owner() if fault == "owner killed" else ""
        owned = {
            call.session
            for call in deployment.engines[1].seen
            if deployment.owner(call.session) == killed
        }
        if killed:
            await deployment.fleet.kill(killed)
        await deployment.calls("late", 6)
        await long
        late = [
            call
            for call in deployment.engines[1].seen
            if call.arrived_s > visible_s + 5.0
        ]
        assert late == []
        # Only calls that the killed VM itself sent may end early.
        early = {
            call.session
            for call in deployment.engines[1].seen
            if call.ended != "finished"
        }
        assert early == owned


async def test_upstream_marked_leaving_in_document_gets_no_calls():
    """Guards against calls to an upstream that the document marks as leaving."""
    async with deploy() as deployment:
        text = json.loads(document(2))
        text["pools"]["writer"]["upstreams"][0]["leaving"] = True
        await deployment.fleet.apply("desk", json.dumps(text))
        await deployment.calls("a", 4)
        assert deployment.engines[0].seen == []


async def test_unreachable_upstream_is_suspended():
    """Guards against calls that are placed on an unreachable upstream."""
    async with deploy() as deployment:
        deployment.fleet.upstreams.down.add("http://run-0:80")
        await asyncio.sleep(3)
        view = (
            deployment.fleet.nodes[deployment.pool_owner()]
            .schedulers.schedulers[POOL]
            .view
        )
        assert view.available_upstreams(asyncio.get_running_loop().time(), []) == [
            view.upstreams["run-1"]
        ]
        await deployment.calls("a", 2)
        assert len(deployment.engines[1].seen) == 2


@pytest.mark.parametrize("how", ["killed", "leaves"])
async def test_new_owner_does_not_overload_upstreams(how):
    """Guards against a new owner that places calls on occupied slots."""
    async with deploy(nodes=4) as deployment:
        # The calls of programs that other VMs own continue after the change.
        first = asyncio.create_task(deployment.calls("long", 4, tokens=4000))
        await asyncio.sleep(2)
        owner = deployment.pool_owner()
        if how == "killed":
            await deployment.fleet.kill(owner)
        else:
            leaving = asyncio.create_task(deployment.fleet.nodes[owner].leave())
        await asyncio.sleep(0.05)
        await asyncio.gather(first, deployment.calls("more", 8, tokens=50))
        if how == "leaves":
            await leaving
        assert max(deployment.max_concurrent_calls()) <= SLOTS


async def test_slow_engine_is_drained_and_probed():
    """Guards against programs that wait for an engine with a grey failure."""
    async with deploy(engines=4) as deployment:
        for number in range(4):
            await deployment.calls(f"warm{number}-", 8, tokens=20)
        slow = deployment.engines[0]
        slow.settings.slowness = 20.0
        await deployment.calls("a", 8, tokens=50)
        await asyncio.sleep(5)
        drained = len(slow.seen)
        for number in range(6):
            await deployment.calls(f"b{number}-", 4, tokens=20)
        assert len(slow.seen) - drained <= 1
        slow.settings.slowness = 1.0
        await asyncio.sleep(60)
        for number in range(6):
            await deployment.calls(f"c{number}-", 8, tokens=20)
        assert len(slow.seen) - drained >= 5
