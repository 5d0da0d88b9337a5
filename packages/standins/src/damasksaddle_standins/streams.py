"""
Measures the cost of calls and streamed tokens in node processes.

`python -m damasksaddle_standins streams` runs real processes under a steady load and
prints CPU time per call and per token. It also compares latencies with those of direct
calls to the engines in the same run.
"""

import asyncio
import itertools
import json
import tempfile
import time
from collections.abc import AsyncGenerator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import numpy
import psutil

from damasksaddle.utils import partition_of
from damasksaddle_standins.process_fleet import ProcessFleet, upstream_entries
from damasksaddle_standins.processes import Processes

MICROS_PER_S = 1e6
MS_PER_S = 1e3
# The time between tokens according to requirement R31.
TOKEN_S = 0.028
WARM_UP_S = 3.0
WORKSPACE = "load"
# All programs belong to this many partitions, which a warm-up phase opens first.
PARTITIONS_USED = 32


@dataclass(slots=True)
class PhaseSample:
    """Measurements of callers in one phase, in seconds."""

    calls: int = 0
    tokens: int = 0
    events: int = 0
    first_s: list[float] = field(default_factory=list)
    gap_s: list[float] = field(default_factory=list)
    whole_s: list[float] = field(default_factory=list)


def _percentile(values: list[float], percent: float) -> float:
    return float(numpy.percentile(values, percent)) * MS_PER_S if values else 0.0


async def _stream_call(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    body: dict[str, Any],
    sample: PhaseSample,
) -> None:
    started_s = last_s = time.monotonic()
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        if response.status != 200:
            raise RuntimeError(await response.text())
        async for line in response.content:
            if not line.startswith(b"data: {"):
                continue
            now_s = time.monotonic()
            chunk = json.loads(line[6:])
            text = "".join(
                choice["delta"].get("content") or "" for choice in chunk["choices"]
            )
            if text:
                words = text.count(" ")
                (sample.gap_s if sample.events else sample.first_s).append(
                    now_s - last_s
                )
                sample.tokens += words
                sample.events += 1
                last_s = now_s
    sample.calls += 1
    sample.whole_s.append(time.monotonic() - started_s)


async def _short_call(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    body: dict[str, Any],
    sample: PhaseSample,
) -> None:
    started_s = time.monotonic()
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")
    sample.calls += 1
    sample.whole_s.append(time.monotonic() - started_s)


def _program_ids() -> Iterator[str]:
    """Yields program ids that belong to the first `PARTITIONS_USED` partitions."""
    for number in itertools.count():
        name = f"p{number}"
        if partition_of(WORKSPACE, name) < PARTITIONS_USED:
            yield name


def _body(number: int, tokens: int, stream: bool, direct: bool) -> dict[str, Any]:
    body: dict[str, Any] = {
        "model": "bench/chat",
        "messages": [{"role": "user", "content": f"call {number}"}],
        "max_tokens": tokens,
        "stream": stream,
    }
    if direct:
        body.update(call_id=f"direct-{number}", session=f"direct/{number}")
    return body


class StreamBenchmark:
    """Load phases and measurements on one fleet."""

    def __init__(self, fleet: ProcessFleet, key: str) -> None:
        self.fleet = fleet
        self._headers = {"Authorization": f"Bearer {key}"}
        self._call_number = 0
        self._program_id_iterator = _program_ids()

    def _next_url(self, direct: bool) -> str:
        self._call_number += 1
        pool = self.fleet.engines if direct else self.fleet.nodes
        names = list(pool)
        process = pool[names[self._call_number % len(names)]]
        return process.ready[0 if direct else 1]

    async def run_phase(
        self, seconds: float, streams: int, tokens: int, direct: bool, short: bool
    ) -> PhaseSample:
        """Runs `streams` concurrent callers for some time and returns their sample."""
        total = PhaseSample()
        end_s = time.monotonic() + seconds

        async def caller() -> None:
            while time.monotonic() < end_s:
                sample = PhaseSample()
                url = self._next_url(direct)
                body = _body(self._call_number, tokens, not short, direct)
                if not direct:
                    body["damasksaddle"] = {"program": next(self._program_id_iterator)}
                make_call = _short_call if short and not direct else _stream_call
                await make_call(self.fleet.session, url, self._headers, body, sample)
                for name in ("calls", "tokens", "events"):
                    setattr(total, name, getattr(total, name) + getattr(sample, name))
                for name in ("first_s", "gap_s", "whole_s"):
                    getattr(total, name).extend(getattr(sample, name))

        async with asyncio.TaskGroup() as group:
            for _ in range(streams):
                group.create_task(caller())
        return total

    async def measure_phase(
        self, seconds: float, streams: int, tokens: int, short: bool
    ) -> dict[str, Any]:
        """Runs a phase and returns CPU time, throughput and latencies of the nodes."""
        processes = [
            psutil.Process(node.process.pid) for node in self.fleet.nodes.values()
        ]
        before = [sum(process.cpu_times()[:2]) for process in processes]
        started_s = time.monotonic()
        sample = await self.run_phase(
            seconds, streams, tokens, direct=False, short=short
        )
        took_s = time.monotonic() - started_s
        after = [sum(process.cpu_times()[:2]) for process in processes]
        cpu_s = sum(after) - sum(before)
        tokens_done = sample.calls * tokens
        figures = {
            "nodes": len(processes),
            "calls_per_s": sample.calls / took_s,
            "tokens_per_s": tokens_done / took_s,
            "cpu_share_per_node": cpu_s / took_s / len(processes),
            "cpu_us_per_call": cpu_s / sample.calls * MICROS_PER_S,
            "cpu_us_per_token": cpu_s / tokens_done * MICROS_PER_S,
            "events_per_token": sample.events / max(1, sample.tokens),
            "tokens_lost": 0 if short else tokens_done - sample.tokens,
            "p50_ms": _percentile(sample.whole_s, 50),
            "p99_ms": _percentile(sample.whole_s, 99),
        }
        if not short:
            figures["first_p99_ms"] = _percentile(sample.first_s, 99)
            figures["gap_p95_ms"] = _percentile(sample.gap_s, 95)
        return {name: round(value, 3) for name, value in figures.items()}

    async def compare_with_direct(self, seconds: float, short: bool) -> dict[str, Any]:
        """Compares latencies of concurrent direct calls and calls through nodes."""
        tokens = 1 if short else 32
        through, direct = await asyncio.gather(
            self.run_phase(seconds, 4, tokens, direct=False, short=short),
            self.run_phase(seconds, 4, tokens, direct=True, short=short),
        )
        names = ["whole_s"] if short else ["first_s", "gap_s", "whole_s"]
        figures = {}
        for name in names:
            direct_ms = _percentile(getattr(direct, name), 99)
            through_ms = _percentile(getattr(through, name), 99)
            figures[name.replace("_s", "_p99")] = {
                "direct_ms": round(direct_ms, 2),
                "through_node_ms": round(through_ms, 2),
                "ratio": round(through_ms / direct_ms, 3),
            }
        return figures


@asynccontextmanager
async def benchmark_fleet(
    nodes: int, engines: int = 4
) -> AsyncGenerator[StreamBenchmark, None]:
    """Yields a fleet whose engines have the token rate of requirement R31."""
    log_path = Path(tempfile.mkdtemp(prefix="damasksaddle-")) / "streams.log"
    async with ProcessFleet(Processes(log_path)) as fleet:
        for number in range(engines):
            await fleet.start_engine(
                f"run-{number}",
                *("--slots", "512", "--token-s", str(TOKEN_S), "--batch-growth", "0"),
            )
        await fleet.start_nodes(nodes)
        document = {
            "service": "bench",
            "pools": {
                "writer": {
                    "kind": "model",
                    "model": "m",
                    "upstreams": upstream_entries(fleet.engines, slots=512),
                }
            },
            "routes": {"chat": {"pool": "writer"}},
            "workspaces": {WORKSPACE: {"rate_per_s": 100000, "burst": 100000}},
        }
        assert await fleet.apply("vm0", document) == 200
        yield StreamBenchmark(fleet, await fleet.give_key("vm0", WORKSPACE))


async def run_streams(seconds: float, streams: int) -> dict[str, Any]:
    """Measures fleets of one and of three nodes; returns all figures."""
    figures: dict[str, Any] = {}
    for nodes in (1, 3):
        async with benchmark_fleet(nodes) as benchmark:
            await benchmark.run_phase(WARM_UP_S, 16, 1, direct=False, short=True)
            figures[f"{nodes} node(s), streams"] = await benchmark.measure_phase(
                seconds, streams * nodes, 256, short=False
            )
            figures[f"{nodes} node(s), short calls"] = await benchmark.measure_phase(
                seconds, 8 * nodes, 1, short=True
            )
            figures[
                f"{nodes} node(s), streams next to direct ones"
            ] = await benchmark.compare_with_direct(seconds, short=False)
            figures[
                f"{nodes} node(s), short calls next to direct ones"
            ] = await benchmark.compare_with_direct(seconds, short=True)
    return figures
