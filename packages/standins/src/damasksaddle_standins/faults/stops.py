"""
Stops gateway processes in turn, under callers that keep their connections.

Planned work loses no request: a request that a process has read is answered whole. In
between, the operator adds routes, other writers leave odd entries among the upstreams,
and the store is slow. Routes that were added are served like the first ones.
"""

import asyncio
import json
import random
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import asdict, dataclass, field
from http import HTTPStatus
from pathlib import Path

from damasksaddle.platform import Put, row_key
from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.fleet import Fleet, Vm
from damasksaddle_standins.faults.invariants import GRACE_S, InvariantChecker
from damasksaddle_standins.faults.kept_connections import (
    CallerProfile,
    FramingUpstream,
    KeptCaller,
    Observations,
    WorkProfile,
    measure_lag,
)
from damasksaddle_standins.faults.operator import Operator
from damasksaddle_standins.faults.traffic import LOOKUP, PAYMENT, RESUMABLE_TURN

WORKSPACE, LIMITED_WORKSPACE = "ws", "limited"
AMPLE_RATE = (4000.0, 4000.0)
FIRST_PREFIXES = [PAYMENT.prefix, LOOKUP.prefix, RESUMABLE_TURN.prefix]
ENGINES, DESKS = 2, 3
MAX_START_PAUSE_S = 2.0
RESTART_DELAY_S = (0.2, 1.5)
# Share of stops that repeat the signal, and of starts that get SIGHUP at once.
REPEATED_SHARE, HANGUP_SHARE = 0.3, 0.4
MAX_HANGUP_DELAY_S = 1.0
MAX_START_S = 8.0
# All VMs have applied a configuration after this time.
CONFIG_APPLY_S = 2.5
# An added route is served at least this share as often as the first ones.
MIN_ADDED_SHARE = 0.25
COOLDOWN_S = 6.0
SLOW_STORE_S = 0.15
# A grace period into which the longest request fits, as on the users' machines.
FITTING_GRACE_S = 8.0
CALL_S, LONG_CALL_S = (0.06, 0.06), (1.2, 1.2)
BUSY_CALLERS = CallerProfile(6, max_pause_s=0.06, deadlines_ms=(700, 1000, 2000))
# Entries of other writers; none of them names an upstream.
ODD_ENTRIES = (
    "[" * 3000,
    '{"Service":' * 3000,
    json.dumps({"Service": "desk", "Address": "127.0.0.1:99999", "Slots": 1}),
    '{"Service":"desk","Address":"127.0.0.1:1","Zone":"a","Version":"v1","Slots":'
    + "9" * 400
    + ',"State":"ready","SeqNum":1}',
    '{"Slots":' + "9" * 5000 + "}",
    '{"Service":"desk","Address":"127.0.0.1:70000","Zone":"a","Version":"v1",'
    '"Slots":4,"State":"ready","SeqNum":1}',
)


@dataclass(frozen=True, slots=True)
class Load:
    """
    What callers ask and what upstreams do during a run.

    Callers of the limited workspace may send `limited_rate_per_s` requests and a burst
    of as many; the others are not limited.
    """

    callers: tuple[CallerProfile, ...] = (BUSY_CALLERS,)
    limited_callers: tuple[CallerProfile, ...] = ()
    limited_rate_per_s: float = 0.0
    work: WorkProfile = WorkProfile(CALL_S, LONG_CALL_S, long_share=0.05)
    grace_s: float = GRACE_S

    def rates(self) -> dict[str, tuple[float, float]]:
        """Returns the rate and the burst of each workspace."""
        limited = (self.limited_rate_per_s, self.limited_rate_per_s)
        return {WORKSPACE: AMPLE_RATE, LIMITED_WORKSPACE: limited}

    def callers_by_workspace(self) -> list[tuple[str, CallerProfile]]:
        """Returns the callers of each VM."""
        return [
            *((WORKSPACE, profile) for profile in self.callers),
            *((LIMITED_WORKSPACE, profile) for profile in self.limited_callers),
        ]


# Connections that were opened before a stop and are used for the first time during it,
# up to its end, also by callers that wait for their rate.
RESERVED_CALLERS = CallerProfile(60, max_pause_s=9.0, deadlines_ms=(2000, 3000))
LIMITED_CALLERS = CallerProfile(20, max_pause_s=9.0, deadlines_ms=(2000, 3000))
LOADS = {
    "busy": Load(),
    "reserved": Load(
        callers=(BUSY_CALLERS, RESERVED_CALLERS),
        limited_callers=(LIMITED_CALLERS,),
        limited_rate_per_s=6.0,
        work=WorkProfile((0.03, 0.08), (0.3, 1.4), long_share=0.3),
        grace_s=FITTING_GRACE_S,
    ),
}


@dataclass(slots=True)
class StopReport:
    """What a run saw; it failed if `broken` is not empty."""

    seed: int
    directory: str
    statuses: dict[str, int] = field(default_factory=dict)
    stops: int = 0
    broken: list[str] = field(default_factory=list)

    def as_json(self) -> str:
        """Returns the report as JSON."""
        return json.dumps(asdict(self), indent=2)


@dataclass(slots=True)
class _Run:
    fleet: Fleet
    operator: Operator
    observations: Observations
    rng: random.Random
    report: StopReport
    prefixes: list[str] = field(default_factory=lambda: list(FIRST_PREFIXES))

    async def stop_in_turn(self, until_s: float) -> None:
        """Stops and restarts VMs, at times several at once, but never all of them."""
        async with asyncio.TaskGroup() as stops:
            while boottime_s() < until_s:
                await asyncio.sleep(self.rng.uniform(0, MAX_START_PAUSE_S))
                running = [vm for vm in self.fleet.vms if not vm.process_lock.locked()]
                if len(running) > len(self.fleet.vms) // 2:
                    stops.create_task(self._stop(self.rng.choice(running)))

    async def _stop(self, vm: Vm) -> None:
        async with vm.process_lock:
            self.report.stops += 1
            vm.signal(signal.SIGTERM)
            if self.rng.random() < REPEATED_SHARE:
                await asyncio.sleep(self.rng.uniform(0, self.fleet.grace_s / 2))
                vm.signal(signal.SIGTERM)
            try:
                async with asyncio.timeout(self.fleet.grace_s):
                    assert vm.process is not None
                    await vm.process.wait()
            except TimeoutError:
                self.report.broken.append(f"{vm.name} exceeded the grace period")
            await vm.kill()
            await asyncio.sleep(self.rng.uniform(*RESTART_DELAY_S))
            await vm.start()
            if self.rng.random() < HANGUP_SHARE:
                await vm.wait_takes_hangup()
                await asyncio.sleep(self.rng.uniform(0, MAX_HANGUP_DELAY_S))
                vm.signal(signal.SIGHUP)
            await self._wait_ready(vm)

    async def _wait_ready(self, vm: Vm) -> None:
        try:
            async with asyncio.timeout(MAX_START_S):
                await self.fleet.wait_ready(vm)
        except TimeoutError:
            state = "is not ready" if vm.is_running() else "has ended"
            self.report.broken.append(f"{vm.name} {state} {MAX_START_S} s after start")
            if not vm.is_running():
                await vm.start()

    async def change_routes(self, until_s: float) -> None:
        """Adds routes beside odd entries and a slow store."""
        number = 0
        while boottime_s() + CONFIG_APPLY_S < until_s:
            entry = ODD_ENTRIES[number % len(ODD_ENTRIES)]
            odd = Put(row_key("servers", "", f"odd-{number % 3}"), entry)
            self.fleet.rows.apply([odd])
            is_slow = self.rng.random() < 0.5
            self._delay_store(SLOW_STORE_S if is_slow else 0.0)
            number += 1
            prefix = f"/added-{number}/"
            self.operator.add_route({**PAYMENT.make_route(), "Prefix": prefix})
            await asyncio.sleep(CONFIG_APPLY_S)
            self._delay_store(0.0)
            self.prefixes.append(prefix)
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))

    def _delay_store(self, delay_s: float) -> None:
        for vm in self.fleet.vms:
            vm.store_proxy.from_target.delay_s = delay_s

    def check(self) -> None:
        """Adds what was lost, and routes that were added and not served."""
        observations, broken = self.observations, self.report.broken
        broken += [f"lost: {request}" for request in observations.lost]
        first = _served_share(observations, FIRST_PREFIXES)
        added_prefixes = self.prefixes[len(FIRST_PREFIXES) :]
        added = _served_share(observations, added_prefixes)
        if added_prefixes and added < first * MIN_ADDED_SHARE:
            broken.append(f"added routes served {added:.2f}, first ones {first:.2f}")
        unknown = sum(
            observations.by_route.get(prefix, Counter())[HTTPStatus.NOT_FOUND]
            for prefix in added_prefixes
        )
        if unknown:
            broken.append(f"{unknown} requests on added routes got 404")
        if not first:
            broken.append("no request was served")
        self.report.statuses = dict(observations.statuses)


def _served_share(observations: Observations, prefixes: list[str]) -> float:
    counts: Counter[int] = Counter()
    for prefix in prefixes:
        counts += observations.by_route.get(prefix, Counter())
    return counts[HTTPStatus.OK] / max(1, counts.total())


async def _start_busy_processes(number: int) -> list[asyncio.subprocess.Process]:
    return [
        await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        for _ in range(number)
    ]


async def run_stops(
    seed: int,
    duration_s: float,
    vms: int,
    load: Load,
    busy_processes: int = 0,
    source_tree: Path | None = None,
) -> StopReport:
    """
    Runs a fleet for `duration_s` under stops drawn from the seed.

    `source_tree` is the working tree of another build that is to be run.
    """
    directory = Path(tempfile.mkdtemp(prefix=f"stops-{seed}-"))
    rng, observations = random.Random(seed), Observations()
    checker = InvariantChecker()
    fleet = Fleet(directory, checker, grace_s=load.grace_s, source_tree=source_tree)
    operator = Operator(fleet.rows, checker, load.rates())
    operator.initialize()
    upstreams = [
        FramingUpstream(
            f"i-{service}-{number}",
            service,
            fleet.rows,
            observations,
            random.Random(f"{seed} {service} {number}"),
            load.work,
        )
        for service, count in (("llm", ENGINES), ("desk", DESKS))
        for number in range(count)
    ]
    busy: list[asyncio.subprocess.Process] = []
    run = _Run(fleet, operator, observations, rng, StopReport(seed, str(directory)))
    try:
        for upstream in upstreams:
            await upstream.start()
        await fleet.start(vms)
        busy = await _start_busy_processes(busy_processes)
        started_s = boottime_s()
        until_s = started_s + duration_s
        lag = asyncio.create_task(measure_lag(observations))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(run.stop_in_turn(until_s - COOLDOWN_S))
            tasks.create_task(run.change_routes(until_s - COOLDOWN_S))
            for vm in fleet.vms:
                for workspace, profile in load.callers_by_workspace():
                    for number in range(profile.callers_per_vm):
                        caller = KeptCaller(
                            vm,
                            operator.keys[workspace],
                            run.prefixes,
                            observations,
                            random.Random(f"{seed} {vm.name} {workspace} {number}"),
                            started_s,
                            profile,
                        )
                        tasks.create_task(caller.run(until_s))
        lag.cancel()
        run.check()
        return run.report
    finally:
        for process in busy:
            process.kill()
            await process.wait()
        await fleet.stop()
        for upstream in upstreams:
            upstream.stop()
