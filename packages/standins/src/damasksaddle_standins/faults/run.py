"""Plays one seed and reports what was promised and not kept."""

import asyncio
import json
import random
import tempfile
from dataclasses import asdict, dataclass, field
from pathlib import Path

from damasksaddle.utils import boottime_s
from damasksaddle_standins.faults.callers import Caller
from damasksaddle_standins.faults.fleet import Fleet
from damasksaddle_standins.faults.operator import Operator
from damasksaddle_standins.faults.promises import CONTACT_S, Promises
from damasksaddle_standins.faults.schedule import World, play
from damasksaddle_standins.faults.upstreams import Pool, Upstream

CALLERS_PER_WORKSPACE = 2
# One workspace asks for several times its rate.
RATES = {"ws-a": (40.0, 40.0), "ws-b": (40.0, 40.0), "ws-hot": (8.0, 10.0)}
HOT = "ws-hot"
HOT_CALLERS = 6
ENGINES, DESKS = 3, 2
# Traffic before the first fault, and after the last one.
QUIET_S = 2.0
CALM_S = CONTACT_S + 4.0


@dataclass(slots=True)
class FaultReport:
    """What a run did, and what it found broken."""

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
        """Tells whether a promise was broken, or calm callers were not served."""
        return bool(self.broken) or self.failed_in_calm

    def as_json(self) -> str:
        """Returns the report as text."""
        return json.dumps(asdict(self), indent=2)


async def run_fault_injection(
    seed: int, time_s: float, vms: int, directory: Path | None = None
) -> FaultReport:
    """
    Runs a fleet under the faults of a seed for some seconds.

    The logs of all processes stay in the directory, by default a new temporary one.
    """
    found = directory or Path(tempfile.mkdtemp(prefix=f"faults-{seed}-"))
    promises = Promises()
    fleet = Fleet(found, promises)
    numbers = iter(range(1, 1_000_000))

    def make(service: str) -> Upstream:
        number = next(numbers)
        name = f"i-{service}-{number}"
        own = random.Random(f"{seed} {name}")
        return Upstream(name, service, fleet.rows, promises, own)

    pool = Pool(make)
    operator = Operator(fleet.rows, promises, RATES)
    operator.begin()
    for service in ["llm"] * ENGINES + ["desk"] * DESKS:
        await pool.add(service)
    try:
        await fleet.start(vms)
        return await _play(seed, time_s, fleet, pool, operator, promises)
    finally:
        await fleet.stop()
        await pool.stop()


async def _play(
    seed: int,
    time_s: float,
    fleet: Fleet,
    pool: Pool,
    operator: Operator,
    promises: Promises,
) -> FaultReport:
    world = World(fleet, pool, operator, promises, random.Random(seed))
    until_s = boottime_s() + QUIET_S + time_s + CALM_S
    callers = [
        Caller(
            number,
            workspace,
            operator.keys,
            operator.withdrawn,
            fleet,
            promises,
            random.Random(f"{seed} caller {number}"),
            beyond_rate=workspace == HOT,
            pause_s=0.0 if workspace == HOT else 0.05,
        )
        for number, workspace in enumerate(_workspaces())
    ]
    running = [asyncio.create_task(caller.run(until_s)) for caller in callers]
    await asyncio.sleep(QUIET_S)
    await play(world, time_s)
    # Faults may end later than planned; the calm after them is never shorter.
    await asyncio.sleep(max(0.0, until_s - boottime_s()))
    await asyncio.gather(*running)
    promises.finish()
    return FaultReport(
        seed,
        str(fleet.directory),
        sum(caller.programs for caller in callers),
        sum(caller.whole for caller in callers),
        promises.calm_requests,
        promises.calm_failures,
        promises.failed_in_calm(),
        dict(promises.statuses),
        world.log,
        promises.broken,
    )


def _workspaces() -> list[str]:
    found = [
        name for name in RATES if name != HOT for _ in range(CALLERS_PER_WORKSPACE)
    ]
    return found + [HOT] * HOT_CALLERS
