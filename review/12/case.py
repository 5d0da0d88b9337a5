"""A runner starts again under its id with another version of its software."""

import asyncio
import itertools
import re
from pathlib import Path

from harness import (
    BROKEN,
    FRONTEND_PORT,
    HELD,
    LIMITS,
    Deployment,
    Gateway,
    Message,
    Reply,
    Runner,
    call,
    engine_service,
    has_trouble,
    route,
    run_case,
    turn_headers,
)

SERVICE = "agent-llm"
EVENTS, GAP_S = 12, 0.25
STREAMS, STREAM_INTERVAL_S = 120, 0.02
DEADLINE_S, TRIES, RETRY_S = 4.0, 4, 0.1
# The streams are spread over the runners by then.
SETTLE_S = 4.0
# How long the runner is gone; its entry is still listed as it was.
DOWN_S = 0.45
# ORDER: more than two streams hold events of two versions.
PERMITTED = 2
_EVENT = re.compile(rb"id: (\d+)\ndata: ([\d.]+) \d+$")


class Stream:
    """A caller that takes its stream up again after a broken connection."""

    _ids = itertools.count(1)

    def __init__(self, deployment: Deployment, number: int) -> None:
        self._record = deployment.record
        self._gateways = deployment.gateways
        self._number = number
        self._program = f"{number:08x}"
        # The version that made each event, by the event's id.
        self.versions: dict[int, str] = {}
        self._first_request_id = ""
        self._buffer = b""

    def is_mixed(self) -> bool:
        return len(set(self.versions.values())) > 1

    async def run(self) -> None:
        end_s = self._record.now_s() + DEADLINE_S
        for attempt in range(TRIES):
            left_s = end_s - self._record.now_s()
            if left_s <= 0:
                return
            number = (self._number + attempt) % len(self._gateways)
            answer = await self._try(self._gateways[number], int(left_s * 1000))
            if answer is not None and answer.status == 200 and answer.complete:
                return
            retry_after = answer.header("Retry-After") if answer is not None else ""
            await asyncio.sleep(float(retry_after or RETRY_S))

    async def _try(self, gateway: Gateway, left_ms: int) -> Message | None:
        request_id = f"{next(self._ids):016x}"
        headers = turn_headers(self._program, left_ms, "k-ngo")
        headers.append(("X-Request-Id", request_id))
        had_events = bool(self.versions)
        after = max(self.versions, default=0)
        if had_events:
            headers.append(("Last-Event-Id", str(after)))
            headers.append(("Resumes", self._first_request_id))
        self._record.add("sent", id=request_id, to=gateway.name, after=after)
        self._buffer = b""
        answer = await call(
            gateway.host,
            FRONTEND_PORT,
            "POST",
            "/turn/2f",
            headers,
            b"prompt",
            self._take,
        )
        if self.versions and not had_events:
            self._first_request_id = request_id
        self._record.add(
            "answered",
            id=request_id,
            status=answer.status if answer is not None else "none",
            whole=answer is not None and answer.complete,
            events=" ".join(f"{n}@{v}" for n, v in self.versions.items()),
        )
        return answer

    def _take(self, data: bytes) -> None:
        *events, self._buffer = (self._buffer + data).split(b"\n\n")
        for event in events:
            if found := _EVENT.search(event):
                self.versions[int(found[1])] = found[2].decode()


async def play(deployment: Deployment) -> int:
    record = deployment.record

    async def run_turn(runner: Runner, request: Message) -> Reply:
        first = int(request.header("Last-Event-Id", "0")) + 1
        events = [
            f"id: {number}\ndata: {runner.version} {number}\n\n".encode()
            for number in range(first, EVENTS + 1)
        ]
        return Reply(events=events, gap_s=GAP_S)

    def make_runner(name: str, version: str) -> Runner:
        return Runner(
            deployment.store,
            record,
            name,
            SERVICE,
            run_turn,
            slots=16,
            queue=48,
            version=version,
        )

    old = await deployment.add_runner(make_runner("i-aaaa", "7.1"))
    for number in range(6):
        await deployment.add_runner(make_runner(f"i-b{number:03x}", "7.2"))
    turns = route("r-turn", "/turn/", "streaming", SERVICE, TimeoutMs=4000)
    config = {
        "Routes": [{**turns, "Resumable": True, "Sticky": True}],
        "Services": [engine_service(SERVICE)],
        "Limits": LIMITS,
        "Tenants": [{"Name": "ngo", "ApiKeys": ["k-ngo"], "RatePerS": 0, "Burst": 0}],
    }
    await deployment.start(config)
    await asyncio.sleep(SETTLE_S)
    streams = [Stream(deployment, number) for number in range(STREAMS)]
    tasks = []
    for stream in streams:
        tasks.append(asyncio.create_task(stream.run()))
        await asyncio.sleep(STREAM_INTERVAL_S)
    if has_trouble():
        old.crash()
        await asyncio.sleep(DOWN_S)
        new = make_runner(old.id, "7.2")
        await new.start(old.host, old.port)
        deployment.runners.append(new)
        record.add("runner-start", runner=new.id, version=new.version)
    await asyncio.gather(*tasks)
    mixed = [number for number, stream in enumerate(streams) if stream.is_mixed()]
    record.add("mixed", streams=len(mixed), numbers=mixed)
    print(f"{len(mixed)} streams hold events of two software versions")
    return BROKEN if len(mixed) > PERMITTED else HELD


run_case(Path(__file__).parent, play)
