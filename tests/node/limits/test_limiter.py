"""Fleet-wide rate limits of workspaces while VMs fail (R8, R26)."""

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

# Rates are unique, so that `RecordingBucket` can identify a workspace by its rate.
RATES = {f"w{number}": 4 + number / 8 for number in range(8)}
MANY_RATES = {f"w{number}": 4 + number / 64 for number in range(10)}
BURST = 5
GREEDY = "w0"
TIMING = Timing(hold_s=2.0, stop_timeout_s=20.0)
DOCUMENT_HEAD = """
service: desk
pools: {p: {kind: plain, upstreams: [{name: t, url: "http://t", failure_domain: a}]}}
routes: {r: {pool: p, path: /r}}
workspaces:
"""


def document(rates: dict[str, float]) -> str:
    return DOCUMENT_HEAD + "\n".join(
        f"  {name}: {{rate_per_s: {rate}, burst: {BURST}}}"
        for name, rate in rates.items()
    )


class LoadRun:
    """Load from all workspaces, with a record of when tokens were taken."""

    def __init__(
        self,
        fleet: LocalFleet,
        monkeypatch: pytest.MonkeyPatch,
        rates: dict[str, float],
        greedy: set[str],
    ) -> None:
        self.fleet, self.rates, self.greedy = fleet, rates, greedy
        self.token_times_s: dict[str, list[float]] = defaultdict(list)
        self.outcomes: dict[str, Counter[str]] = defaultdict(Counter)
        self.random = random.Random(8)
        self.tasks: list[asyncio.Task] = []
        self.paused: set[str] = set()
        names = {rate: name for name, rate in rates.items()}

        class RecordingBucket(TokenBucket):
            def _take_token(bucket) -> None:
                super()._take_token()
                now_s = asyncio.get_running_loop().time()
                self.token_times_s[names[bucket.rate_per_s]].append(now_s)

        monkeypatch.setattr(limiter, "TokenBucket", RecordingBucket)

    async def generate_load(self, workspace: str) -> None:
        share = 4.0 if workspace in self.greedy else 0.6
        while True:
            await asyncio.sleep(1 / (self.rates[workspace] * share))
            vm = self.random.choice(sorted(self.fleet.nodes.keys() - self.paused))
            self.tasks.append(self.fleet.spawn(vm, self.acquire(vm, workspace)))

    async def acquire(self, vm: str, workspace: str) -> None:
        try:
            await self.fleet.nodes[vm].limiter.acquire(workspace)
            self.outcomes[workspace]["admitted"] += 1
        except Refusal as error:
            self.outcomes[workspace][error.code] += 1

    async def inject(self, action: str, name: str, for_s: float = 0.0) -> None:
        fleet = self.fleet
        match action:
            case "kill":
                await fleet.kill(name)
            case "leave":
                self.tasks.append(asyncio.create_task(fleet.leave(name)))
            case "join":
                await fleet.start(name)
            case "pause":
                self.paused.add(name)
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
        self.paused.discard(name)
        self.fleet.resume(name)

    def owner(self) -> str:
        """Returns the owner of the greedy workspace, or any VM if the owner is down."""
        vm_id = self.fleet.any().fleet.state.owners.workspace(GREEDY)
        up = sorted(self.fleet.nodes.keys() - self.paused)
        return next((n for n in up if self.fleet.nodes[n].vm_id == vm_id), up[0])

    def refusals(self) -> dict[str, int]:
        """Counts refusals of workspaces that stay within their rate, by code."""
        total: Counter[str] = Counter()
        for workspace, outcomes in self.outcomes.items():
            if workspace not in self.greedy:
                total += outcomes
        del total["admitted"]
        return dict(total)

    def check(self) -> None:
        for name, token_times_s in self.token_times_s.items():
            assert max_excess(token_times_s, self.rates[name], BURST) <= 1e-6, name
            assert self.outcomes[name]["admitted"] <= len(token_times_s)


def max_excess(token_times_s: list[float], rate: float, burst: int) -> float:
    """Returns the largest excess of any window over rate x window + burst."""
    worst, low = -float(burst), float("inf")
    for number, at_s in enumerate(token_times_s):
        low = min(low, number - rate * at_s)
        worst = max(worst, number + 1 - rate * at_s - low - burst)
    return worst


async def run_plan(
    monkeypatch, plan, rates=RATES, greedy=frozenset({GREEDY}), tail_s: float = 18
) -> LoadRun:
    """Runs a plan of (wait in seconds, action, duration, VM) under load."""
    async with LocalFleet(5, TIMING, delay_s=0.005) as fleet:
        load_run = LoadRun(fleet, monkeypatch, rates, greedy)
        await fleet.apply("desk", document(rates))
        load_tasks = [
            asyncio.create_task(load_run.generate_load(name)) for name in rates
        ]
        joined = 5
        await asyncio.sleep(3)
        for wait_s, action, for_s, *name in plan:
            await asyncio.sleep(wait_s)
            if action == "join":
                await load_run.inject("join", f"vm{joined}")
                joined += 1
            elif name:
                await load_run.inject(action, name[0], for_s)
            elif len(fleet.nodes) - len(load_run.paused) > 2:
                await load_run.inject(action, load_run.owner(), for_s)
        await asyncio.sleep(tail_s)
        for task in load_tasks:
            task.cancel()
        await asyncio.wait(load_run.tasks, timeout=30)
    return load_run


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
    """Guards against two VMs that admit requests of a workspace at once (R8)."""
    with pytest.MonkeyPatch.context() as patch:
        load_run = await run_plan(patch, plan)
    load_run.check()


async def test_planned_changes_cause_no_refusals_within_the_rate(monkeypatch):
    """Guards against refusals within the rate while VMs join and leave (R26)."""
    plan = [(0, "join", 0), (2, "leave", 0), (0.3, "leave", 0), (0.2, "join", 0)]
    load_run = await run_plan(monkeypatch, plan)
    assert load_run.refusals() == {}


async def test_bucket_that_has_not_started_is_not_handed_over(monkeypatch):
    """
    Guards against a bucket that starts while an earlier owner still admits requests.

    The second of three owners in a row loses ownership before its own bucket has
    started, while the first owner is disconnected and still admits requests. If the
    second handed over a level, the third would start immediately.
    """
    async with LocalFleet(3, TIMING) as fleet:
        load_run = LoadRun(fleet, monkeypatch, RATES, set())
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
        await asyncio.wait(
            [asyncio.create_task(load_run.generate_load("w1"))], timeout=6
        )
        assert load_run.token_times_s["w1"][1] >= start_s
        await leaving


async def test_former_owner_with_vouches_from_a_stale_majority(monkeypatch):
    """
    Guards against a new owner that admits requests while the former one still does.

    A majority that cannot read the table does not know of the change, so its vouches
    keep the former owner fresh.
    """
    cuts = [(0, "cut", 9.0, f"vm{number}") for number in range(3)]
    cuts += [(0, "split", 9.0, f"vm{number}") for number in range(3)]
    plan = [*cuts, (0, "join", 0), (0, "join", 0)]
    (await run_plan(monkeypatch, plan, MANY_RATES, set(MANY_RATES), tail_s=12)).check()
