"""
What node processes cost while they do little, at several sizes.

`python -m damasksaddle_standins slopes` starts real node processes, measures CPU time,
memory, table requests and bytes, and prints least-squares slopes for capacity plans.
"""

import asyncio
import json
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import numpy
import psutil

from damasksaddle_standins.process_fleet import ProcessFleet, upstream_entries
from damasksaddle_standins.processes import Processes

MB = 1024 * 1024
SETTLE_S = 3.0
CALLS_AT_ONCE = 16
RETRIES = 100


@dataclass(slots=True)
class Point:
    """One size and what a node cost there; table figures are of the whole fleet."""

    nodes: int
    workspaces: int
    programs: int
    cpu_share: float = 0.0
    memory_mb: float = 0.0
    table_reads_per_s: float = 0.0
    table_writes_per_s: float = 0.0
    table_bytes_per_s: float = 0.0


COSTS = (
    "cpu_share",
    "memory_mb",
    "table_reads_per_s",
    "table_writes_per_s",
    "table_bytes_per_s",
)


def _document(fleet: ProcessFleet, workspaces: int) -> dict[str, Any]:
    limits = {"rate_per_s": 1000, "burst": 1000, "max_wait_ms": 20_000}
    return {
        "service": "slopes",
        "pools": {
            "apps": {
                "kind": "plain",
                "upstreams": upstream_entries(fleet.tools, slots=64),
            }
        },
        "routes": {"look": {"pool": "apps", "path": "/look"}},
        "workspaces": {f"w{n}": limits for n in range(workspaces)},
    }


async def _open_programs(fleet: ProcessFleet, point: Point) -> None:
    """Starts programs, spread over workspaces and nodes."""
    names = list(fleet.nodes)
    key = await fleet.give_key("vm0", "w0")
    for node in names:
        await fleet.wait_for_key(node, key)
    gate = asyncio.Semaphore(CALLS_AT_ONCE)

    async def start(number: int) -> None:
        body = {"program": f"p{number}"}
        for retry in range(RETRIES):
            node = names[(number + retry) % len(names)]
            async with gate:
                status, _ = await fleet.caller_request(node, key, "/v1/programs", body)
            if status in (200, 201):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"program {number} was not started")

    await asyncio.gather(*(start(number) for number in range(point.programs)))


async def _measure(fleet: ProcessFleet, point: Point, seconds: float) -> None:
    processes = [psutil.Process(n.process.pid) for n in fleet.nodes.values()]

    def cpu_s() -> float:
        return sum(sum(process.cpu_times()[:2]) for process in processes)

    assert fleet.platform is not None
    before = await fleet.standin_request(fleet.platform, "/counts")
    cpu_before = cpu_s()
    await asyncio.sleep(seconds)
    after = await fleet.standin_request(fleet.platform, "/counts")
    changed = {name: after[name] - before.get(name, 0) for name in after}
    size = len(processes)
    point.cpu_share = (cpu_s() - cpu_before) / seconds / size
    point.table_bytes_per_s = changed.get("bytes", 0) / seconds
    point.memory_mb = sum(p.memory_info().rss for p in processes) / size / MB
    reads = changed.get("get", 0) + changed.get("scan", 0)
    point.table_reads_per_s = reads / seconds
    point.table_writes_per_s = changed.get("write", 0) / seconds


async def _point(point: Point, seconds: float) -> Point:
    log_path = Path(tempfile.mkdtemp(prefix="damasksaddle-")) / "slopes.log"
    async with ProcessFleet(Processes(log_path)) as fleet:
        await fleet.start_tool("app-1")
        await fleet.start_nodes(point.nodes)
        await fleet.apply("vm0", _document(fleet, point.workspaces))
        await _open_programs(fleet, point)
        await asyncio.sleep(SETTLE_S)
        await _measure(fleet, point, seconds)
    return point


def slopes(points: list[Point], along: str) -> dict[str, dict[str, float]]:
    """Returns for each cost its least-squares slope and its value at zero."""
    sizes = [getattr(point, along) for point in points]
    found = {}
    for cost in COSTS:
        values = [getattr(point, cost) for point in points]
        slope, start = numpy.polyfit(sizes, values, 1)
        found[cost] = {"slope": float(slope), "at_zero": float(start)}
    return found


async def run_slopes(
    nodes: list[int], workspaces: list[int], programs: list[int], seconds: float
) -> dict[str, Any]:
    """Varies one size at a time, with the smallest of the others."""
    low = (min(nodes), min(workspaces), min(programs))
    series = {
        "nodes": [Point(n, low[1], low[2]) for n in nodes],
        "workspaces": [Point(low[0], w, low[2]) for w in workspaces],
        "programs": [Point(low[0], low[1], p) for p in programs],
    }
    found: dict[str, Any] = {}
    for along, points in series.items():
        for point in points:
            await _point(point, seconds)
        found[along] = {
            "points": [asdict(point) for point in points],
            "slopes": slopes(points, along),
        }
    return found


def markdown(found: dict[str, Any]) -> str:
    """Returns the figures as tables, and as JSON below them."""
    lines = []
    for along, part in found.items():
        lines += [f"| {along} | " + " | ".join(COSTS) + " |"]
        lines += ["|---:" * (len(COSTS) + 1) + "|"]
        for point in part["points"]:
            values = " | ".join(f"{point[cost]:.4g}" for cost in COSTS)
            lines.append(f"| {point[along]} | {values} |")
        values = " | ".join(f"{part['slopes'][cost]['slope']:.3g}" for cost in COSTS)
        lines += [f"| slope per unit | {values} |", ""]
    return "\n".join([*lines, json.dumps(found)])
