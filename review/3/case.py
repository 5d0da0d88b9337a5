"""Turns that clients send to a machine which is being stopped."""

import asyncio
import json
import random
import signal
from dataclasses import dataclass
from pathlib import Path

from standins import (
    BOUNDS,
    Exchange,
    Machine,
    System,
    call,
    main,
    make_config,
    make_route,
    new_request_id,
)

KEY = "3fexd9dnn2ctnfzs989a"
MACHINES = 4
# "Clients keep a response for that long, some of them three times as long." Each client
# stands for an application server that runs many programs.
CLIENTS = 2
TTL_FACTOR = 3
TURN_EVERY_S = 0.08
# A turn of 24 events with pauses below `TargetGapMs` (200 ms).
EVENTS = 24
EVENT_S = 0.158
DEADLINE_MS = 4000
STOP_AFTER_S = 10.0
# The machine is stopped this long after one of the clients has asked for addresses.
ASKED_BEFORE_S = 0.1
TRAFFIC_S = 22.0


@dataclass
class Turn:
    """A turn and its outcome."""

    id: str
    machine: str
    sent_s: float
    ended_s: float = 0.0
    ran: bool = False
    status: int = 0
    complete: bool = False


class Case:
    """What happened in a run."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.turns: dict[str, Turn] = {}
        # Set when a client got addresses.
        self.asked = asyncio.Event()

    async def run(self, exchange: Exchange) -> None:
        """Streams a turn."""
        if exchange.id in self.turns:
            self.turns[exchange.id].ran = True
        lines = [f"{name}: {value}" for name, value in exchange.signed().items()]
        head = "\r\n".join(
            ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *lines]
            + ["Transfer-Encoding: chunked", "", ""]
        )
        writer = exchange.writer
        writer.write(head.encode())
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: tokens\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def client(self, end_s: float) -> None:
        """Resolves, and sends turns to the addresses while they may be used."""
        record = self.system.record
        expires_s, addresses = 0.0, []
        tasks = []
        while record.now_s() < end_s:
            if record.now_s() > expires_s and (body := await self.resolve()):
                addresses = body["Addresses"]
                ttl_s = min(body["TtlS"], BOUNDS["ttl_max_s"])
                expires_s = record.now_s() + ttl_s * TTL_FACTOR
                self.asked.set()
                self.asked = asyncio.Event()
            if addresses:
                tasks.append(asyncio.create_task(self.send(random.choice(addresses))))
            await asyncio.sleep(TURN_EVERY_S)
        await asyncio.gather(*tasks)

    async def resolve(self) -> dict | None:
        """Asks up to three machines where to connect."""
        machines = self.system.machines[:3]
        for place in range(len(machines)):
            # The clients are in the zone of the first machine.
            near = machines[place]
            answer = await call(
                near.host,
                near.ports[2],
                "GET",
                f"/resolve?Name=desk.example&Region=region&Zone={near.zone}",
                {},
                timeout_s=1.0,
            )
            if answer.status == 200:
                return json.loads(answer.body)
        return None

    async def send(self, address: str) -> None:
        """Sends one turn."""
        record = self.system.record
        host, port = address.split(":")
        (machine,) = [m for m in self.system.machines if m.host == host]
        turn = Turn(new_request_id(), machine.name, record.now_s())
        self.turns[turn.id] = turn
        headers = {
            "X-Request-Id": turn.id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Token-Count": "1100,288",
            "X-Prompt-Prefix": "5c1e07a2:512,91bd3f06:588",
            "Authorization": f"Token {KEY}",
        }
        record.write(f"sent {turn.id} to {machine.name}")
        answer = await call(
            host, int(port), "POST", "/lohu930/2f", headers, b"x" * 4300
        )
        turn.ended_s, turn.status = record.now_s(), answer.status
        turn.complete = answer.complete
        record.write(f"answered {turn.id} {turn.status} complete={turn.complete}")

    def lost(self, stopped: Machine, signal_s: float) -> list[Turn]:
        """Returns the turns that the rule counts as lost."""
        grace_s = BOUNDS["GraceS"]
        return [
            turn
            for turn in self.turns.values()
            if turn.machine == stopped.name
            and turn.ran
            and not turn.complete
            and turn.ended_s < turn.sent_s + DEADLINE_MS / 1000 - 0.05
            and signal_s + 3 < turn.sent_s < signal_s + grace_s + 1
        ]


async def scenario(system: System, with_trouble: bool) -> bool:
    """Returns whether LOST was broken."""
    record = system.record
    case = Case(system)
    for number in range(9):
        runner = await system.add_runner(f"i-llm-{number}", "agent-llm", slots=16)
        runner.behave = case.run
    route = make_route(
        "digest-turn", "/lohu930/", "streaming", "agent-llm", TimeoutMs=DEADLINE_MS
    )
    tenant = {"Name": "hule930", "ApiKeys": [KEY], "RatePerS": 140, "Burst": 140}
    system.write_config(make_config(7, [route], [tenant]))
    await system.start_machines(MACHINES, zones="aabb")
    await asyncio.sleep(4.0)
    end_s = record.now_s() + TRAFFIC_S
    clients = [asyncio.create_task(case.client(end_s)) for _ in range(CLIENTS)]
    await asyncio.sleep(STOP_AFTER_S)
    await case.asked.wait()
    await asyncio.sleep(ASKED_BEFORE_S)
    stopped = system.machines[0]
    signal_s = record.now_s()
    if with_trouble:
        stopped.signal(signal.SIGTERM)
        record.write(f"{stopped.name} gets SIGTERM")
        await stopped.wait()
        record.write(f"{stopped.name} has ended")
    await asyncio.gather(*clients)
    lost = case.lost(stopped, signal_s)
    for turn in lost:
        record.write(
            f"lost {turn.id}: sent {turn.sent_s - signal_s:.2f} s after SIGTERM, "
            f"cut {turn.ended_s - signal_s:.2f} s after it, status {turn.status}"
        )
    record.write(f"{len(lost)} of {len(case.turns)} turns lost around the stop")
    return bool(lost)


if __name__ == "__main__":
    main(scenario, Path(__file__).parent)
