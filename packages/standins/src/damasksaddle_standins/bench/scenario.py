"""One benchmark run: a workload on a fleet, with a fault, in simulated time."""

import asyncio
import json
import statistics
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import logbook
import looptime

from damasksaddle.config import Policy
from damasksaddle.exceptions import RateExceeded, Refusal
from damasksaddle.utils import rendezvous, seed_ids
from damasksaddle_node.entry import CallerRequest
from damasksaddle_standins.bench.workloads import (
    BURST,
    RATE_PER_S,
    Deployment,
    ProgramPlan,
    Turn,
    Workload,
    make_workload,
)
from damasksaddle_standins.cache import CacheLedger
from damasksaddle_standins.engine import EngineSettings, ModelEngine
from damasksaddle_standins.fleet import LocalFleet
from damasksaddle_standins.tool import ToolService

FAULT_START_S = 12.0
TABLE_OUTAGE_S = 15.0
ENGINE_SLOWDOWN = 10.0
CACHE_EVENT_LOSS = 0.7
LINK_DELAY_S = 0.005
RETRY_DELAY_S = 0.5
# A program that takes longer is cancelled and counts with this latency.
PROGRAM_TIMEOUT_S = 300.0
ENGINE_SLOTS = 8
ENGINE_CACHE_TOKENS = 24_000


class Fault(StrEnum):
    """The fault that is injected in a run."""

    NONE = "none"
    VM_KILLED = "VM killed"
    SLOW_ENGINE = "engine slow by 10x"
    TABLE_DOWN = "table down"
    EVENTS_LOST = "cache events lost"


@dataclass(frozen=True, slots=True)
class Case:
    """The parameters of one run; `only_workspace` restricts it to one workspace."""

    deployment: Deployment
    policy: Policy
    fault: Fault
    seed: int
    only_workspace: str = ""


@dataclass(slots=True)
class Record:
    """The data that callers and engines recorded in one run."""

    latencies_s: dict[str, float] = field(default_factory=dict)
    workspace_by_program: dict[str, str] = field(default_factory=dict)
    refusals: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    wrongful_refusals: int = 0
    requests: int = 0
    unfinished: int = 0
    ledger: CacheLedger = field(default_factory=CacheLedger)

    def mean_by_workspace(self) -> dict[str, float]:
        """Returns the mean latency of each workspace's programs."""
        latencies_s: dict[str, list[float]] = defaultdict(list)
        for program, latency_s in self.latencies_s.items():
            latencies_s[self.workspace_by_program[program]].append(latency_s)
        return {name: statistics.fmean(values) for name, values in latencies_s.items()}


@dataclass(slots=True)
class _TokenBucket:
    """Tracks a workspace's rate on the caller's side, to detect wrongful refusals."""

    level: float = BURST
    updated_s: float = 0.0

    def conforms(self, now_s: float) -> bool:
        self.level = min(BURST, self.level + (now_s - self.updated_s) * RATE_PER_S)
        self.updated_s = now_s
        if self.level < 1:
            return False
        self.level -= 1
        return True


def _make_document(workload: Workload, policy: Policy) -> str:
    failure_domains = workload.failure_domains

    def make_upstreams(
        name_prefix: str, count: int, slots: int
    ) -> list[dict[str, Any]]:
        return [
            {
                "name": f"{name_prefix}-{number}",
                "url": f"http://{name_prefix}-{number}",
                "failure_domain": failure_domains[number % len(failure_domains)],
                "slots": slots,
            }
            for number in range(1, count + 1)
        ]

    routes = {turn.route for plan in workload.plans for turn in plan.turns}
    actions = routes & {"alert", "file", "schedule", "confirm"}
    return json.dumps(
        {
            "service": workload.deployment,
            "pools": {
                "writer": {
                    "kind": "model",
                    "model": "agent-model",
                    "policy": policy,
                    "bytes_per_token": 4.0,
                    "upstreams": make_upstreams(
                        "run", workload.model_engines, ENGINE_SLOTS
                    ),
                },
                "apps": {
                    "kind": "plain",
                    "policy": policy,
                    "upstreams": make_upstreams("app", workload.tool_services, 16),
                },
            },
            "routes": {
                route: {"pool": "apps", "path": "/act", "repeat": "never"}
                if route in actions
                else {"pool": "writer"}
                for route in sorted(routes)
            },
            "workspaces": {
                name: {
                    "rate_per_s": RATE_PER_S,
                    "burst": BURST,
                    "max_wait_ms": 10_000,
                }
                for name in workload.workspaces
            },
        }
    )


class _ScenarioRun:
    def __init__(self, case: Case, fleet: LocalFleet, workload: Workload) -> None:
        self.case = case
        self.fleet = fleet
        self.workload = workload
        self.record = Record()
        self.keys: dict[str, str] = {}
        self._buckets: dict[str, _TokenBucket] = defaultdict(_TokenBucket)
        self._calls_by_vm: dict[str, set[asyncio.Task[Any]]] = defaultdict(set)

    async def start(self) -> None:
        settings = {
            "slots": ENGINE_SLOTS,
            "token_s": 0.015,
            "prefill_s_per_token": 0.0004,
            "cache_tokens": ENGINE_CACHE_TOKENS,
            "load_lag_s": 1.0,
            "event_lag_s": 0.5,
            "event_loss": CACHE_EVENT_LOSS
            if self.case.fault is Fault.EVENTS_LOST
            else 0.02,
        }
        upstreams = self.fleet.upstreams
        for number in range(1, self.workload.model_engines + 1):
            name = f"run-{number}"
            upstreams.engines[f"http://{name}"] = ModelEngine(
                EngineSettings(name, **settings),  # type: ignore[arg-type]
                self.record.ledger,
            )
        for number in range(1, self.workload.tool_services + 1):
            upstreams.tools[f"http://app-{number}"] = ToolService(f"app-{number}")
        document = _make_document(self.workload, self.case.policy)
        await self.fleet.apply(self.workload.deployment, document)
        for workspace in self.workload.workspaces:
            self.keys[workspace] = await self.fleet.give_key(workspace)

    async def run(self) -> Record:
        plans = [
            plan
            for plan in self.workload.plans
            if self.case.only_workspace in ("", plan.workspace)
        ]
        fault = asyncio.create_task(self._inject_fault())
        await asyncio.gather(*(self._run_root_program(plan) for plan in plans))
        fault.cancel()
        for engine in self.fleet.upstreams.engines.values():
            engine.cache.count_unused_blocks()
        return self.record

    async def _inject_fault(self) -> None:
        await asyncio.sleep(FAULT_START_S)
        match self.case.fault:
            case Fault.VM_KILLED:
                pool = f"{self.workload.deployment}/writer"
                killed_vm = self.fleet.owner_of(lambda state: state.owners.pool(pool))
                await self.fleet.kill(killed_vm)
                for call in self._calls_by_vm.pop(killed_vm, set()):
                    call.cancel()
            case Fault.SLOW_ENGINE:
                engine = self.fleet.upstreams.engines["http://run-1"]
                engine.settings.slowness = ENGINE_SLOWDOWN
            case Fault.TABLE_DOWN:
                self.fleet.table.faults.down = True
                await asyncio.sleep(TABLE_OUTAGE_S)
                self.fleet.table.faults.down = False

    async def _run_root_program(self, plan: ProgramPlan) -> None:
        await asyncio.sleep(plan.start_s)
        program = f"{plan.workspace}/{plan.program_id}"
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self.record.workspace_by_program[program] = plan.workspace
        try:
            async with asyncio.timeout(PROGRAM_TIMEOUT_S):
                await self._run_program(plan)
        except TimeoutError:
            self.record.unfinished += 1
        self.record.latencies_s[program] = loop.time() - started_s
        node = self.fleet.nodes[self._entry_vm(plan.program_id)]
        with suppress(Refusal, TimeoutError):
            async with asyncio.timeout(30):
                await node.entry.query(
                    self.keys[plan.workspace], plan.program_id, "end"
                )

    async def _run_program(self, plan: ProgramPlan) -> None:
        for number, turn in enumerate(plan.turns):
            await asyncio.sleep(turn.pause_s)
            await self._run_turn(plan, turn, f"{plan.program_id}:{number}")
            if turn.children:
                children = (self._run_program(child) for child in turn.children)
                await asyncio.gather(*children)

    def _entry_vm(self, program_id: str) -> str:
        return rendezvous(program_id, list(self.fleet.nodes))[0]

    async def _run_turn(
        self, plan: ProgramPlan, turn: Turn, idempotency_key: str
    ) -> None:
        body = {
            "messages": [{"role": "user", "content": turn.text}],
            "max_tokens": turn.max_tokens,
        }
        request = CallerRequest(
            self.keys[plan.workspace],
            self.workload.deployment,
            turn.route,
            json.dumps(body).encode(),
            program_id=plan.program_id,
            idempotency_key=idempotency_key,
        )
        while True:
            conforms = self._buckets[plan.workspace].conforms(
                asyncio.get_running_loop().time()
            )
            self.record.requests += 1
            try:
                if await self._send_call(plan.program_id, request):
                    return
            except RateExceeded as error:
                self._record_refusal(error, conforms)
                await asyncio.sleep(error.retry_after_s or RETRY_DELAY_S)
            except Refusal as error:
                self._record_refusal(error, conforms)
                if error.code == "fate_unknown":
                    # Not repeated, because an agent would look up the outcome.
                    return
                await asyncio.sleep(error.retry_after_s or RETRY_DELAY_S)

    async def _send_call(self, program_id: str, request: CallerRequest) -> bool:
        """Sends a call; returns False if the entry VM failed before the response."""
        name = self._entry_vm(program_id)
        task = asyncio.create_task(self.fleet.call(name, request))
        self._calls_by_vm[name].add(task)
        try:
            await asyncio.wait([task])
            if task.cancelled():
                return False
            task.result()
            return True
        finally:
            task.cancel()
            self._calls_by_vm[name].discard(task)

    def _record_refusal(self, error: Refusal, conforms: bool) -> None:
        self.record.refusals[error.code] += 1
        self.record.wrongful_refusals += conforms


async def _run_scenario(case: Case) -> Record:
    workload = make_workload(case.deployment, case.seed)
    failure_domains = workload.failure_domains
    async with LocalFleet(
        len(failure_domains), failure_domains=failure_domains, delay_s=LINK_DELAY_S
    ) as fleet:
        scenario = _ScenarioRun(case, fleet, workload)
        await scenario.start()
        return await scenario.run()


async def _do_nothing() -> None:
    return


def run_case(case: Case) -> Record:
    """Runs a case on its own simulated clock; equal cases give equal records."""
    seed_ids(case.seed)
    # No task waits for real I/O, so the clock may advance whenever no task is ready.
    loop = looptime.new_event_loop(start=0, noop_cycles=0)
    try:
        with logbook.NullHandler().applicationbound():
            record = loop.run_until_complete(_run_scenario(case))
        record.refusals = dict(record.refusals)
        record.ledger.known = set()
        return record
    finally:
        remaining_tasks = asyncio.all_tasks(loop)
        for task in remaining_tasks:
            task.cancel()
        loop.run_until_complete(
            asyncio.wait([*remaining_tasks, loop.create_task(_do_nothing())])
        )
        loop.close()
        seed_ids(None)
