"""
Measures the cost of nearly idle node processes for several fleet sizes.

`python -m damasksaddle_standins slopes` starts real node processes, measures CPU time,
memory, table requests and bytes, and prints least-squares slopes for capacity planning.
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

BYTES_PER_MB = 1024 * 1024
SETTLE_S = 3.0
MAX_CONCURRENT_CALLS = 16
MAX_RETRIES = 100


@dataclass(slots=True)
class Point:
    """One size and its cost: CPU and memory per node, table use of the whole fleet."""

    nodes: int
    workspaces: int
    programs: int
    cpu_share: float = 0.0
    memory_mb: float = 0.0
    table_reads_per_s: float = 0.0
    table_writes_per_s: float = 0.0
    table_bytes_per_s: float = 0.0


COST_FIELDS = (
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
    """Starts the programs of a point, distributed over the nodes."""
    names = list(fleet.nodes)
    key = await fleet.give_key("vm0", "w0")
    for node in names:
        await fleet.wait_for_key(node, key)
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def start(number: int) -> None:
        body = {"program": f"p{number}"}
        for retry in range(MAX_RETRIES):
            node = names[(number + retry) % len(names)]
            async with semaphore:
                status, _ = await fleet.caller_request(node, key, "/v1/programs", body)
            if status in (200, 201):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f"failed to start program {number}")

    await asyncio.gather(*(start(number) for number in range(point.programs)))


async def _measure(fleet: ProcessFleet, point: Point, seconds: float) -> None:
    processes = [psutil.Process(n.process.pid) for n in fleet.nodes.values()]

    def cpu_s() -> float:
        return sum(sum(process.cpu_times()[:2]) for process in processes)

    assert fleet.platform is not None
    counts_before = await fleet.standin_request(fleet.platform, "/counts")
    cpu_before = cpu_s()
    await asyncio.sleep(seconds)
    counts_after = await fleet.standin_request(fleet.platform, "/counts")
    count_changes = {
        name: counts_after[name] - counts_before.get(name, 0) for name in counts_after
    }
    size = len(processes)
    point.cpu_share = (cpu_s() - cpu_before) / seconds / size
    point.table_bytes_per_s = count_changes.get("bytes", 0) / seconds
    point.memory_mb = sum(p.memory_info().rss for p in processes) / size / BYTES_PER_MB
    reads = count_changes.get("get", 0) + count_changes.get("scan", 0)
    point.table_reads_per_s = reads / seconds
    point.table_writes_per_s = count_changes.get("write", 0) / seconds


async def _run_point(point: Point, seconds: float) -> Point:
    log_path = Path(tempfile.mkdtemp(prefix="damasksaddle-")) / "slopes.log"
    async with ProcessFleet(Processes(log_path)) as fleet:
        await fleet.start_tool("app-1")
        await fleet.start_nodes(point.nodes)
        await fleet.apply("vm0", _document(fleet, point.workspaces))
        await _open_programs(fleet, point)
        await asyncio.sleep(SETTLE_S)
        await _measure(fleet, point, seconds)
    return point


def fit_slopes(points: list[Point], dimension: str) -> dict[str, dict[str, float]]:
    """Returns the least-squares slope and the intercept of each cost."""
    sizes = [getattr(point, dimension) for point in points]
    results = {}
    for cost in COST_FIELDS:
        values = [getattr(point, cost) for point in points]
        slope, intercept = numpy.polyfit(sizes, values, 1)
        results[cost] = {"slope": float(slope), "at_zero": float(intercept)}
    return results


async def run_slopes(
    nodes: list[int], workspaces: list[int], programs: list[int], seconds: float
) -> dict[str, Any]:
    """Varies one size at a time and keeps the others at their minimum."""
    smallest = (min(nodes), min(workspaces), min(programs))
    series = {
        "nodes": [Point(n, smallest[1], smallest[2]) for n in nodes],
        "workspaces": [Point(smallest[0], w, smallest[2]) for w in workspaces],
        "programs": [Point(smallest[0], smallest[1], p) for p in programs],
    }
    results: dict[str, Any] = {}
    for dimension, points in series.items():
        for point in points:
            await _run_point(point, seconds)
        results[dimension] = {
            "points": [asdict(point) for point in points],
            "slopes": fit_slopes(points, dimension),
        }
    return results


def markdown_report(results: dict[str, Any]) -> str:
    """Returns the results as Markdown tables, followed by the same data as JSON."""
    lines = []
    for dimension, result in results.items():
        lines += [f"| {dimension} | " + " | ".join(COST_FIELDS) + " |"]
        lines += ["|---:" * (len(COST_FIELDS) + 1) + "|"]
        for point in result["points"]:
            values = " | ".join(f"{point[cost]:.4g}" for cost in COST_FIELDS)
            lines.append(f"| {point[dimension]} | {values} |")
        values = " | ".join(
            f"{result['slopes'][cost]['slope']:.3g}" for cost in COST_FIELDS
        )
        lines += [f"| slope per unit | {values} |", ""]
    return "\n".join([*lines, json.dumps(results)])
