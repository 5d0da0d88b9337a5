"""
One client within all limits has every machine exceed its memory, one after the other.

The client runs programs on a route that keeps histories, one turn at a time, and each
turn has a new input just below the limit of a body. The platform ends a process that
uses more memory than its machine has, and starts it again. Other programs run beside
it, with inputs of the usual size. Counted is how often each process is ended.
"""

import asyncio
import itertools
import os
import sys
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
    has_trouble,
    run_case,
    stream,
)

MACHINES, MEMORY_MB = 3, 160
# The rule is broken if so many machines have so many ends.
MACHINES_OVER, ENDS = 2, 3
TURNS = 14
# The limit `MaxBodyBytes` is 4,194,304.
LARGE_INPUT_BYTES, USUAL_INPUT_BYTES = 4_000_000, 4_300
USUAL_PROGRAMS = 6
THINK_S = 0.2
TRIES, RETRY_S = 3, 0.4
PLAY_S = 90.0
POLL_S, RESTART_S = 0.02, 1.0
SETTLE_S = 4.0


class Platform:
    """Ends processes that use more memory than their machine has."""

    def __init__(self, record: Record, gateways: list[Gateway]) -> None:
        self._record = record
        self._gateways = gateways
        self.ends: Counter[str] = Counter()
        self.peak_mb: dict[str, float] = {}

    async def watch(self) -> None:
        await asyncio.gather(*(self._watch(gateway) for gateway in self._gateways))

    async def _watch(self, gateway: Gateway) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            used_mb = gateway.memory_mb()
            peak_mb = max(used_mb, self.peak_mb.get(gateway.name, 0.0))
            self.peak_mb[gateway.name] = round(peak_mb, 1)
            if used_mb > MEMORY_MB:
                self._record.line(f"{gateway.name} uses {used_mb:.0f} MB and is ended")
                await gateway.kill()
                self.ends[gateway.name] += 1
                await asyncio.sleep(RESTART_S)
                await gateway.start()


class Client:
    """Runs programs whose turns continue from each other, one turn at a time."""

    def __init__(self, fleet: Fleet, record: Record, name: str, size: int) -> None:
        self._fleet = fleet
        self._record = record
        self._name = name
        self._input_bytes = size
        self._attempts = itertools.count()
        self.whole_turns = 0

    async def run(self) -> None:
        for number in itertools.count():
            await self._run_program(f"{self._name}-{number}")

    async def _run_program(self, program: str) -> None:
        previous = ""
        for _ in range(TURNS):
            for _ in range(TRIES):
                turn_id = await self._turn(program, previous)
                if turn_id:
                    previous = turn_id
                    break
                await asyncio.sleep(RETRY_S)
            else:
                return
            await asyncio.sleep(THINK_S)

    async def _turn(self, program: str, previous: str) -> str:
        """Returns the id of the turn, or an empty text if it failed."""
        gateway = self._fleet.gateways[next(self._attempts) % MACHINES]
        request_id = self._fleet.new_id()
        headers = {"X-Program-Id": program, "X-Session-Id": program}
        if previous:
            headers["X-Previous-Turn"] = previous
        body = os.urandom(self._input_bytes)
        answer = await self._fleet.send(
            gateway, "/turns/1", request_id, body, headers=headers
        )
        self._record.line(
            f"{program}: {request_id} with {len(body)} bytes sent to {gateway.name}, "
            f"answered {answer.status}, whole {answer.complete}"
        )
        if answer.status != web.HTTPOk.status_code or not answer.complete:
            return ""
        self.whole_turns += 1
        return request_id


async def case(record: Record) -> int:
    async with Fleet(record) as fleet:
        for _ in range(MACHINES):
            await fleet.add_gateway(memory_mb=MEMORY_MB)
        for number in range(4):
            await fleet.add_upstream(f"i-{number}", "models", stream)
        route = {
            "Name": "turns",
            "Prefix": "/turns/",
            "Type": "streaming",
            "TimeoutMs": 4000,
            "TargetLatencyMs": 500,
            "Priority": 0,
            "Service": "models",
            "MaxAttempts": 2,
            "KeepsHistory": True,
            "RetentionS": 60.0,
            "Public": False,
            "Sticky": True,
            "Resumable": False,
            "TargetGapMs": 200,
        }
        engine = {"Slots": 6, "KvCapacity": 85100, "ChunkTokens": 22}
        fleet.configure([route], [{"Name": "models", "Engine": engine}])
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        platform = Platform(record, fleet.gateways)
        clients = [
            Client(fleet, record, f"usual{number}", USUAL_INPUT_BYTES)
            for number in range(USUAL_PROGRAMS)
        ]
        large = Client(fleet, record, "large", LARGE_INPUT_BYTES)
        if has_trouble():
            clients.append(large)
        tasks = [asyncio.create_task(platform.watch())]
        tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.wait(tasks, timeout=PLAY_S, return_when="FIRST_EXCEPTION")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for run in fleet.runs:
            record.line(
                f"{run.request_id} run at {run.upstream}: {len(run.body)} bytes"
            )
        usual_turns = sum(client.whole_turns for client in clients)
        usual_turns -= large.whole_turns
        record.line(f"whole turns: {usual_turns} usual, {large.whole_turns} large")
        record.line(f"ends: {dict(platform.ends)}; peak MB: {platform.peak_mb}")
        if not usual_turns:
            return NOT_RUN
        over = [name for name, ends in platform.ends.items() if ends >= ENDS]
        return BROKEN if len(over) >= MACHINES_OVER else HELD


if __name__ == "__main__":
    run_case(case, DIRECTORY)
