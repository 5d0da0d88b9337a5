"""Rate and burst of workspaces over the whole fleet, while VMs fail (R8, R26)."""

import asyncio
import random
from collections import Counter, defaultdict

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from damasksaddle.exceptions import Refusal
from damasksaddle_node.limits import limiter
from damasksaddle_node.limits.bucket import TokenBucket
from damasksaddle_node.settings import Timing
from damasksaddle_standins.fleet import LocalFleet

# The rate names the workspace where a bucket is recorded.
RATES = {f"w{number}": 4 + number / 8 for number in range(8)}
MANY = {f"w{number}": 4 + number / 64 for number in range(10)}
BURST = 5
GREEDY = "w0"
TIMING = Timing(hold_s=2.0, stop_timeout_s=20.0)
POOLS = """
service: desk
pools: {p: {kind: plain, upstreams: [{name: t, url: "http://t", failure_domain: a}]}}
routes: {r: {pool: p, path: /r}}
workspaces:
"""


def document(rates: dict[str, float]) -> str:
    return POOLS + "\n".join(
        f"  {name}: {{rate_per_s: {rate}, burst: {BURST}}}"
        for name, rate in rates.items()
    )


class Session:
    """Callers of all workspaces, and the instants at which tokens were taken."""

    def __init__(
        self,
        fleet: LocalFleet,
        monkeypatch: pytest.MonkeyPatch,
        rates: dict[str, float],
        greedy: set[str],
    ) -> None:
        self.fleet, self.rates, self.greedy = fleet, rates, greedy
        self.taken: dict[str, list[float]] = defaultdict(list)
        self.answers: dict[str, Counter[str]] = defaultdict(Counter)
        self.random = random.Random(8)
        self.tasks: list[asyncio.Task] = []
        self.resting: set[str] = set()
        names = {rate: name for name, rate in rates.items()}

        class Recorded(TokenBucket):
            def _take(bucket) -> None:
                super()._take()
                now_s = asyncio.get_running_loop().time()
                self.taken[names[bucket.rate_per_s]].append(now_s)

        monkeypatch.setattr(limiter, "TokenBucket", Recorded)

    async def load(self, workspace: str) -> None:
        share = 4.0 if workspace in self.greedy else 0.6
        while True:
            await asyncio.sleep(1 / (self.rates[workspace] * share))
            vm = self.random.choice(sorted(self.fleet.nodes.keys() - self.resting))
            self.tasks.append(self.fleet.spawn(vm, self.ask(vm, workspace)))

    async def ask(self, vm: str, workspace: str) -> None:
        try:
            await self.fleet.nodes[vm].limiter.acquire(workspace)
            self.answers[workspace]["admitted"] += 1
        except Refusal as error:
            self.answers[workspace][error.code] += 1

    async def act(self, action: str, name: str, for_s: float = 0.0) -> None:
        fleet = self.fleet
        match action:
            case "kill":
                await fleet.kill(name)
            case "leave":
                self.tasks.append(asyncio.create_task(fleet.leave(name)))
            case "join":
                await fleet.start(name)
            case "pause":
                self.resting.add(name)
                fleet.pause(name)
                asyncio.get_running_loop().call_later(for_s, self.resume, name)
            case "cut" | "isolate":
                fleet.table.faults.unreachable_for.add(name)
                loop = asyncio.get_running_loop()
                heal = fleet.table.faults.unreachable_for.discard
                loop.call_later(for_s, heal, name)
                if action == "isolate":
                    fleet.network.cut_off(name, [f"vm{n}" for n in range(20)])
                    loop.call_later(for_s, fleet.network.heal)
            case "split":
                fleet.network.cut_off(name, [f"vm{n}" for n in range(3, 20)])
                asyncio.get_running_loop().call_later(for_s, fleet.network.heal)

    def resume(self, name: str) -> None:
        self.resting.discard(name)
        self.fleet.resume(name)

    def owner(self) -> str:
        """The live VM that owns the greedy workspace's bucket, or any."""
        vm_id = self.fleet.any().fleet.state.owners.workspace(GREEDY)
        up = sorted(self.fleet.nodes.keys() - self.resting)
        return next((n for n in up if self.fleet.nodes[n].vm_id == vm_id), up[0])

    def refused(self) -> dict[str, int]:
        """Requests within their workspace's rate that were refused, by code."""
        total: Counter[str] = Counter()
        for workspace, answers in self.answers.items():
            if workspace not in self.greedy:
                total += answers
        del total["admitted"]
        return dict(total)

    def check(self) -> None:
        for name, taken in self.taken.items():
            assert excess(taken, self.rates[name], BURST) <= 1e-6, name
            assert self.answers[name]["admitted"] <= len(taken)


def excess(taken: list[float], rate: float, burst: int) -> float:
    """Returns by how much the worst window is above rate x window + burst."""
    worst, low = -float(burst), float("inf")
    for number, at_s in enumerate(taken):
        low = min(low, number - rate * at_s)
        worst = max(worst, number + 1 - rate * at_s - low - burst)
    return worst


async def run(
    monkeypatch, plan, rates=RATES, greedy=frozenset({GREEDY}), tail_s: float = 18
) -> Session:
    """Runs a plan of (seconds to wait, action, duration, VM) under load."""
    async with LocalFleet(5, TIMING, delay_s=0.005) as fleet:
        session = Session(fleet, monkeypatch, rates, greedy)
        await fleet.apply("desk", document(rates))
        loads = [asyncio.create_task(session.load(name)) for name in rates]
        joined = 5
        await asyncio.sleep(3)
        for wait_s, action, for_s, *name in plan:
            await asyncio.sleep(wait_s)
            if action == "join":
                await session.act("join", f"vm{joined}")
                joined += 1
            elif name:
                await session.act(action, name[0], for_s)
            elif len(fleet.nodes) - len(session.resting) > 2:
                await session.act(action, session.owner(), for_s)
        await asyncio.sleep(tail_s)
        for load in loads:
            load.cancel()
        await asyncio.wait(session.tasks, timeout=30)
    return session


ACTIONS = st.tuples(
    st.sampled_from([0.0, 0.05, 0.4, 0.9, 4.0, 7.5]),
    st.sampled_from(["kill", "leave", "join", "pause", "cut"]),
    st.sampled_from([1.0, 3.2, 6.5, 8.0]),
)


@settings(
    max_examples=8,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(plan=st.lists(ACTIONS, min_size=1, max_size=5))
async def test_no_window_exceeds_rate_and_burst(plan):
    """Guards against two VMs admitting for one workspace at a time (R8)."""
    with pytest.MonkeyPatch.context() as patch:
        session = await run(patch, plan)
    session.check()


async def test_planned_changes_refuse_nothing_within_the_rate(monkeypatch):
    """Guards against refusals within the rate while VMs join and leave (R26)."""
    plan = [(0, "join", 0), (2, "leave", 0), (0.3, "leave", 0), (0.2, "join", 0)]
    session = await run(monkeypatch, plan)
    assert session.refused() == {}


async def test_bucket_that_has_not_started_is_not_handed_over(monkeypatch):
    """
    Guards against a chain of owners in which the last starts while the first, cut
    off from all, still admits.
    """
    async with LocalFleet(3, TIMING) as fleet:
        session = Session(fleet, monkeypatch, RATES, set())
        await fleet.apply("desk", document(RATES))
        vm_id = fleet.any().fleet.state.owners.workspace("w1")
        node = next(n for n in fleet.nodes.values() if n.vm_id == vm_id)
        await node.limiter.acquire("w1")
        start_s = asyncio.get_running_loop().time() + 2.5
        bucket = limiter.TokenBucket(
            RATES["w1"], BURST, 0.0, start_s, node.check_authority
        )
        node.limiter._buckets["w1"] = bucket
        leaving = asyncio.create_task(fleet.leave(node.settings.name))
        await asyncio.sleep(0.3)
        await asyncio.wait([asyncio.create_task(session.load("w1"))], timeout=6)
        assert session.taken["w1"][1] >= start_s
        await leaving


async def test_owner_that_a_stale_majority_vouches_for(monkeypatch):
    """
    Guards against a new owner that starts while a majority that cannot read the
    table keeps the former owner fresh.
    """
    cuts = [(0, "cut", 9.0, f"vm{number}") for number in range(3)]
    cuts += [(0, "split", 9.0, f"vm{number}") for number in range(3)]
    plan = [*cuts, (0, "join", 0), (0, "join", 0)]
    (await run(monkeypatch, plan, MANY, set(MANY), tail_s=12)).check()
