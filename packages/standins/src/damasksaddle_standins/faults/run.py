"""Runs the soak test with one seed and reports violations of invariants."""

import asyncio
import json
import random
import tempfile
from dataclasses import asdict, dataclass, field
from pathlib import Path

from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.callers import Caller
from damasksaddle_standins.faults.fleet import Fleet
from damasksaddle_standins.faults.invariants import RECOVERY_S, InvariantChecker
from damasksaddle_standins.faults.operator import Operator
from damasksaddle_standins.faults.schedule import FaultContext, inject_faults
from damasksaddle_standins.faults.traffic import SCHEDULED_KINDS
from damasksaddle_standins.faults.upstreams import (
    FAILURE_DOMAINS,
    Upstream,
    UpstreamPool,
)

CALLERS_PER_WORKSPACE = 2
# The callers of ws-hot send several times its rate.
RATES = {"ws-a": (40.0, 40.0), "ws-b": (40.0, 40.0), "ws-hot": (8.0, 10.0)}
OVER_RATE_WORKSPACE = "ws-hot"
OVER_RATE_CALLERS = 6
ENGINE_COUNT, DESK_COUNT = 3, 2
# How long traffic runs before the first fault and after the last one.
WARMUP_S = 2.0
COOLDOWN_S = RECOVERY_S + 4.0


@dataclass(slots=True)
class FaultReport:
    """
    What a run did, and the violations that it found.

    The field names are keys of the JSON output: `whole` counts completed programs, the
    `calm` fields cover requests without a fault nearby, `broken` lists violations.
    """

    seed: int
    directory: str
    programs: int = 0
    whole: int = 0
    calm_requests: int = 0
    calm_failures: list[str] = field(default_factory=list)
    failed_in_calm: bool = False
    statuses: dict[str, int] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def has_failures(self) -> bool:
        """Returns whether an invariant was violated or too many requests failed."""
        return bool(self.broken) or self.failed_in_calm

    def as_json(self) -> str:
        """Returns the report as JSON."""
        return json.dumps(asdict(self), indent=2)


async def run_fault_injection(
    seed: int, duration_s: float, vms: int, directory: Path | None = None
) -> FaultReport:
    """
    Runs a fleet and injects faults drawn from the seed for `duration_s`.

    The logs of all processes remain in `directory`, by default a new temporary one.
    """
    log_directory = directory or Path(tempfile.mkdtemp(prefix=f"faults-{seed}-"))
    checker = InvariantChecker()
    fleet = Fleet(log_directory, checker)
    upstream_numbers = iter(range(1, 1_000_000))

    def make_upstream(service: str) -> Upstream:
        number = next(upstream_numbers)
        name = f"i-{service}-{number}"
        rng = random.Random(f"{seed} {name}")
        upstream = Upstream(name, service, fleet.rows, checker, rng)
        upstream.failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        return upstream

    pool = UpstreamPool(make_upstream)
    operator = Operator(fleet.rows, checker, RATES, kinds=SCHEDULED_KINDS)
    operator.initialize()
    for service in ["llm"] * ENGINE_COUNT + ["desk"] * DESK_COUNT:
        await pool.add(service)
    try:
        await fleet.start(vms)
        return await _run_soak(seed, duration_s, fleet, pool, operator, checker)
    finally:
        await fleet.stop()
        await pool.stop()


async def _run_soak(
    seed: int,
    duration_s: float,
    fleet: Fleet,
    pool: UpstreamPool,
    operator: Operator,
    checker: InvariantChecker,
) -> FaultReport:
    context = FaultContext(fleet, pool, operator, checker, random.Random(seed))
    until_s = boottime_s() + WARMUP_S + duration_s + COOLDOWN_S
    callers = [
        Caller(
            number,
            workspace,
            operator.keys,
            operator.withdrawn_keys,
            fleet,
            checker,
            random.Random(f"{seed} caller {number}"),
            exceeds_rate=workspace == OVER_RATE_WORKSPACE,
            pause_s=0.0 if workspace == OVER_RATE_WORKSPACE else 0.05,
        )
        for number, workspace in enumerate(_caller_workspaces())
    ]
    caller_tasks = [asyncio.create_task(caller.run(until_s)) for caller in callers]
    await asyncio.sleep(WARMUP_S)
    await inject_faults(context, duration_s)
    # Faults may end later than planned; the callers still run until `until_s`.
    await asyncio.sleep(max(0.0, until_s - boottime_s()))
    await asyncio.gather(*caller_tasks)
    checker.finish()
    return FaultReport(
        seed,
        str(fleet.log_directory),
        sum(caller.started_programs for caller in callers),
        sum(caller.completed_programs for caller in callers),
        checker.fault_free_requests,
        checker.fault_free_failures,
        checker.has_excess_failures(),
        dict(checker.status_counts),
        context.fault_log,
        checker.violations,
    )


def _caller_workspaces() -> list[str]:
    workspaces = [
        name
        for name in RATES
        if name != OVER_RATE_WORKSPACE
        for _ in range(CALLERS_PER_WORKSPACE)
    ]
    return workspaces + [OVER_RATE_WORKSPACE] * OVER_RATE_CALLERS
