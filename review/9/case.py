"""
A tenant gets its burst twice if the machine that serves it in an outage is killed.

The tenant's requests come in waves: few for some seconds, then more than its limit. In
the second wave the store is down for some seconds, and the machine that last wrote to
it under a condition is killed shortly before it is back. In all windows of 5 s, the
requests that were sent and arrived at a runner are counted.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

from aiohttp import web

DIRECTORY = Path(__file__).resolve().parent
sys.path.insert(0, str(DIRECTORY.parent / "lib-2"))

from fleet import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Fleet,
    Gateway,
    Record,
    Run,
    Upstream,
    has_trouble,
    plain,
    run_case,
)

RATE_PER_S, BURST = 50, 150
# The bounds QuotaWindowS, QuotaOverrun and QuotaSlack.
WINDOW_S, OVERRUN, SLACK = 5.0, 0.1, 20
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERRUN) + SLACK
CALM_S, CALM_PER_S = 6.0, 5
WAVE_S, WAVE_PER_S = 5.6, 400
# The store is down for the last part of the calm and the first of the wave.
DOWN_CALM_S, DOWN_WAVE_S = 3.0, 0.9
# The machine is killed so long before the store is back.
KILL_BEFORE_S = 0.3
RESTART_S = 3.5
SETTLE_S = 6.0
CALL_MS = 2000


class Callers:
    """Sends the tenant's requests to machines that have not failed."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._random = random.Random(1)
        self.failed: set[str] = set()
        self.sent_s: dict[str, float] = {}
        # By request.
        self.statuses: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def _send(self, gateway: Gateway) -> None:
        request_id = self._fleet.new_id()
        self.sent_s[request_id] = time.monotonic()
        answer = await self._fleet.send(
            gateway, "/calls/1", request_id, deadline_ms=CALL_MS, method="GET"
        )
        if not answer.status:
            self.failed.add(gateway.name)
        self.statuses[request_id] = answer.status

    async def send_for(self, duration_s: float, per_s: float) -> None:
        """Sends requests at a rate, without waiting for their answers."""
        started_s, sent = time.monotonic(), 0
        while (passed_s := time.monotonic() - started_s) < duration_s:
            while sent < passed_s * per_s:
                usable = [
                    gateway
                    for gateway in self._fleet.gateways
                    if gateway.name not in self.failed
                ]
                task = asyncio.create_task(self._send(self._random.choice(usable)))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                sent += 1
            await asyncio.sleep(0.005)

    async def finish(self) -> None:
        """Waits for the answers to all requests."""
        while self._tasks:
            await asyncio.wait(self._tasks)


async def run_at_once(
    upstream: Upstream, request: web.BaseRequest, run: Run
) -> web.StreamResponse:
    return await plain(upstream, request, run, work_s=0.005)


async def disrupt(fleet: Fleet, record: Record) -> None:
    """Has the store down for some seconds, and a machine killed meanwhile."""
    await asyncio.sleep(CALM_S - DOWN_CALM_S)
    record.line("the store is down")
    fleet.store.is_down = True
    await asyncio.sleep(DOWN_CALM_S + DOWN_WAVE_S - KILL_BEFORE_S)
    killed = next(
        gateway for gateway in fleet.gateways if gateway.name == fleet.store.last_writer
    )
    await killed.kill()
    record.line(f"killed {killed.name}")
    await asyncio.sleep(KILL_BEFORE_S)
    fleet.store.is_down = False
    record.line("the store is back")
    await asyncio.sleep(RESTART_S)
    await killed.start()


def most_in_window(sent_s: dict[str, float], runs: list[Run]) -> tuple[int, float]:
    """Returns the most requests that were sent and arrived in one window."""
    spans = sorted(
        (sent_s[run.request_id], run.at_s) for run in runs if run.request_id in sent_s
    )
    best, best_start_s = 0, 0.0
    for start_s, _ in spans:
        number = sum(
            sent >= start_s and arrived <= start_s + WINDOW_S for sent, arrived in spans
        )
        if number > best:
            best, best_start_s = number, start_s
    return best, best_start_s


async def case(record: Record) -> int:
    async with Fleet(record) as fleet:
        for _ in range(3):
            await fleet.add_gateway()
        for number in range(4):
            await fleet.add_upstream(f"i-{number}", "app", run_at_once, slots=32)
        route = {
            "Name": "calls",
            "Prefix": "/calls/",
            "Type": "idempotent",
            "TimeoutMs": CALL_MS,
            "TargetLatencyMs": 300,
            "Priority": 0,
            "Service": "app",
            "MaxAttempts": 1,
            "Public": False,
        }
        service = {"Name": "app", "MaxConns": 400}
        fleet.configure([route], [service], RatePerS=RATE_PER_S, Burst=BURST)
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        callers = Callers(fleet)
        started_s = time.monotonic()
        trouble = None
        for wave in (1, 2):
            record.line(f"wave {wave}")
            if wave == 2 and has_trouble():
                trouble = asyncio.create_task(disrupt(fleet, record))
            await callers.send_for(CALM_S, CALM_PER_S)
            await callers.send_for(WAVE_S, WAVE_PER_S)
        await callers.finish()
        if trouble is not None:
            await trouble
        runs = {run.request_id: run for run in fleet.runs}
        for request_id, sent_s in callers.sent_s.items():
            run = runs.get(request_id)
            ran = f"{run.at_s - started_s:.3f} at {run.upstream}" if run else "never"
            record.line(
                f"{request_id} sent {sent_s - started_s:.3f} "
                f"answered {callers.statuses[request_id]} run {ran}"
            )
        statuses = Counter(callers.statuses.values())
        most, start_s = most_in_window(callers.sent_s, fleet.runs)
        record.line(f"answers by status: {dict(statuses)}")
        record.line(
            f"most in {WINDOW_S:g} s: {most} from {start_s - started_s:.2f} s on; "
            f"allowed: {LIMIT:g}"
        )
        if statuses[web.HTTPOk.status_code] < RATE_PER_S * WINDOW_S:
            return NOT_RUN
        return BROKEN if most > LIMIT else HELD


if __name__ == "__main__":
    run_case(case, DIRECTORY)
