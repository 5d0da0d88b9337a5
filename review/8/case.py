"""
Streams of turns that are kept cannot be taken up again after their machine was killed.

Turns run on a route that keeps histories and whose streams may be resumed. In the
middle of the streams, the connections of the callers of one machine break: because it
is killed, or without the disruption because these callers close them. They take their
streams up again at the other machines, where new streams are begun at the same time.
"""

import asyncio
import contextlib
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import aiohttp
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
    run_case,
    stream,
)

MACHINES = 3
UPSTREAMS, SLOTS = 6, 24
# From the rule: at least so many streams count, and their share may be half of that of
# new streams.
MIN_STREAMS = 12
STREAMS_PER_MACHINE = 18
EVENTS, PAUSE_S = 18, 0.1
# The connections break when so many streams at the machine have brought events.
BREAK_AT_STREAMS = 16
BREAK_WITHIN_S = 10.0
MORE_STREAMS_INTERVAL_S = 0.1
# Streams that are run before.
WARM_UP_STREAMS = 54
TRIES = 3
RETRY_S = 0.3
NEW_STREAMS = 20
NEW_STREAM_INTERVAL_S = 0.1
SETTLE_S = 6.0
TIMEOUT_MS = 4000


@dataclass(slots=True)
class Attempt:
    """A client attempt for a stream: what it got, and which request it resumes."""

    gateway: Gateway
    request_id: str
    status: int = 0
    events: int = 0
    last_id: int = 0
    whole: bool = False


class Callers:
    """Callers that take their streams up again."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        # Set when the callers of the first machine close their connections.
        self.close = asyncio.Event()
        # The streams under way at the first machine that have brought events.
        self.under_way: set[str] = set()
        self.taken_up: Counter[bool] = Counter()
        self.begun: Counter[bool] = Counter()

    async def attempt(
        self, gateway: Gateway, program: str, last_id: int = 0, resumes: str = ""
    ) -> Attempt:
        attempt = Attempt(gateway, self._fleet.new_id(), last_id=last_id)
        headers = {"X-Program-Id": program, "X-Session-Id": program}
        if resumes:
            headers |= {"Last-Event-Id": str(last_id), "Resumes": resumes}
        reading = asyncio.create_task(self._read(attempt, headers))
        closing = asyncio.create_task(self.close.wait())
        waiting = [reading]
        if gateway is self._fleet.gateways[0]:
            waiting.append(closing)
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in (reading, closing):
            task.cancel()
        await asyncio.gather(reading, closing, return_exceptions=True)
        self.under_way.discard(attempt.request_id)
        self._record.line(
            f"{attempt.request_id} sent to {gateway.name}"
            f"{f', resumes {resumes} after {last_id}' if resumes else ''}: "
            f"answered {attempt.status}, {attempt.events} events, whole {attempt.whole}"
        )
        return attempt

    async def _read(self, attempt: Attempt, headers: dict[str, str]) -> None:
        buffered = b""
        try:
            async with self._fleet.open(
                attempt.gateway,
                "/turns/1",
                attempt.request_id,
                b"{}",
                TIMEOUT_MS,
                headers=headers,
            ) as response:
                attempt.status = response.status
                async for chunk in response.content.iter_any():
                    *events, buffered = (buffered + chunk).split(b"\n\n")
                    if response.status != web.HTTPOk.status_code:
                        continue
                    for event in events:
                        attempt.events += 1
                        if attempt.gateway is self._fleet.gateways[0]:
                            self.under_way.add(attempt.request_id)
                        attempt.last_id = int(event.split(b"\n")[0].split(b":")[1])
                attempt.whole = True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._record.line(f"{attempt.request_id} broke: {error!r}")

    async def run_stream(self, number: int) -> None:
        """Runs a stream, and takes it up again at other machines if it breaks."""
        gateways = self._fleet.gateways
        program = f"p{number}"
        first = await self.attempt(gateways[number % MACHINES], program)
        if first.whole or not first.events:
            return
        others = [gateway for gateway in gateways if gateway is not first.gateway]
        last_id = first.last_id
        for retry in range(TRIES):
            gateway = others[(number + retry) % len(others)]
            again = await self.attempt(gateway, program, last_id, first.request_id)
            if again.events:
                break
            await asyncio.sleep(RETRY_S)
        self.taken_up[again.events > 0] += 1

    async def begin_stream(self, number: int) -> None:
        """Begins a new stream at a machine that stays."""
        gateway = self._fleet.gateways[1 + number % (MACHINES - 1)]
        attempt = await self.attempt(gateway, f"new-{number}")
        self.begun[attempt.events > 0] += 1


async def run_slowly(
    upstream: Upstream, request: web.BaseRequest, run: Run
) -> web.StreamResponse:
    return await stream(upstream, request, run, EVENTS, PAUSE_S)


async def case(record: Record) -> int:
    async with Fleet(record) as fleet:
        for _ in range(MACHINES):
            await fleet.add_gateway()
        for number in range(UPSTREAMS):
            name = f"i-{number}"
            await fleet.add_upstream(name, "models", run_slowly, slots=SLOTS)
        route = {
            "Name": "turns",
            "Prefix": "/turns/",
            "Type": "streaming",
            "TimeoutMs": TIMEOUT_MS,
            "TargetLatencyMs": 500,
            "Priority": 0,
            "Service": "models",
            "MaxAttempts": 2,
            "KeepsHistory": True,
            "RetentionS": 60.0,
            "Public": False,
            "Sticky": True,
            "Resumable": True,
            "TargetGapMs": 200,
        }
        engine = {"Slots": SLOTS, "KvCapacity": 85100, "ChunkTokens": 22}
        fleet.configure([route], [{"Name": "models", "Engine": engine}])
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        callers = Callers(fleet, record)
        warm_up = (
            callers.attempt(fleet.gateways[number % MACHINES], f"warm-{number}")
            for number in range(WARM_UP_STREAMS)
        )
        await asyncio.gather(*warm_up)
        callers.under_way.clear()
        tasks = [
            asyncio.create_task(callers.run_stream(number))
            for number in range(MACHINES * STREAMS_PER_MACHINE)
        ]
        # Runners take more streams as they go, so some of those above may have ended.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BREAK_WITHIN_S):
                while len(callers.under_way) < BREAK_AT_STREAMS:
                    stream_at_first = callers.run_stream(MACHINES * len(tasks))
                    tasks.append(asyncio.create_task(stream_at_first))
                    await asyncio.sleep(MORE_STREAMS_INTERVAL_S)
        record.line(f"the streams at {fleet.gateways[0].name} break")
        if has_trouble():
            await fleet.gateways[0].kill()
        else:
            callers.close.set()
        for number in range(NEW_STREAMS):
            tasks.append(asyncio.create_task(callers.begin_stream(number)))
            await asyncio.sleep(NEW_STREAM_INTERVAL_S)
        await asyncio.gather(*tasks)
        for run in fleet.runs:
            record.line(f"{run.request_id} run at {run.upstream}")
        streams, new_streams = callers.taken_up.total(), callers.begun.total()
        gone_on = callers.taken_up[True] / max(1, streams)
        begun = callers.begun[True] / max(1, new_streams)
        record.line(
            f"taken up again: {streams}, of these {gone_on:.0%} went on; "
            f"new streams: {new_streams}, of these {begun:.0%} began"
        )
        if streams < MIN_STREAMS or not callers.begun[True]:
            return NOT_RUN
        return BROKEN if gone_on < begun / 2 else HELD


if __name__ == "__main__":
    run_case(case, DIRECTORY)
