"""A program's budget over two outages of the store, with a process killed in each."""

import asyncio
import random
from pathlib import Path

from standins import (
    Answer,
    Exchange,
    System,
    call,
    main,
    make_config,
    make_route,
    new_request_id,
)

KEY = "3fexd9dnn2ctnfzs989a"
MACHINES = 3
BUDGET_TOKENS = 4608
TURN_TOKENS = 288
EVENT_TOKENS = 12
EVENT_S = 0.04
# A program calls a tool between two turns.
TOOL_S = 0.3
DEADLINE_S = 4.0
# Client attempts of a turn, and how often a failed turn is sent again from its start.
ATTEMPTS = 2
RESENDS = 2
# A stopped program may return within RetentionS (60).
RETURN_AFTER_S = 3.0
PROGRAM_S = 70.0
OUTAGES_AT_S = (9.6, 19.8)
OUTAGE_S = 3.0
# The process is killed this long before the store is back.
KILL_BEFORE_END_S = 0.3
RESTART_S = 1.0


async def run_turn(exchange: Exchange) -> None:
    """Streams a turn of the maximum size, from the event after `Last-Event-Id`."""
    lines = [f"{name}: {value}" for name, value in exchange.signed().items()]
    head = "\r\n".join(
        ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *lines]
        + ["Transfer-Encoding: chunked", "", ""]
    )
    writer = exchange.writer
    writer.write(head.encode())
    first = int(exchange.request.headers.get("last-event-id", 0)) + 1
    for number in range(first, TURN_TOKENS // EVENT_TOKENS + 1):
        await asyncio.sleep(EVENT_S)
        event = f"id: {number}\ndata: tokens\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")


class Program:
    """A program that loops without end until it is stopped."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.id = f"{random.getrandbits(24):06x}"
        self.session = f"{random.getrandbits(24):06x}"
        self.handed_tokens = 0
        self.started_s = system.record.now_s()

    async def run(self) -> None:
        """Runs turns, and returns once after it was stopped."""
        for _ in range(2):
            while (outcome := await self._turn()) == "done":
                await asyncio.sleep(TOOL_S)
            if outcome == "failed":
                return
            await asyncio.sleep(RETURN_AFTER_S)

    async def _turn(self) -> str:
        for _ in range(1 + RESENDS):
            deadline_s = self.system.record.now_s() + DEADLINE_S
            last_event, first_id, avoided = 0, "", set()
            for _ in range(ATTEMPTS):
                left_s = deadline_s - self.system.record.now_s()
                if left_s <= 0:
                    break
                answer, request_id = await self._attempt(
                    left_s, last_event, first_id, avoided
                )
                events = answer.body.count(b"\n\n")
                self.handed_tokens += events * EVENT_TOKENS
                if answer.complete and answer.status == 200:
                    return "done"
                if answer.status == 402:
                    return "stopped"
                if events:
                    first_id = first_id or request_id
                    last_event += events
                retry_s = float(answer.headers.get("retry-after", 0.0))
                await asyncio.sleep(min(retry_s, left_s / 3))
            await asyncio.sleep(random.uniform(0.1, 0.4))
        self.system.record.write("a turn failed three times")
        return "failed"

    async def _attempt(
        self, left_s: float, last_event: int, first_id: str, avoided: set[str]
    ) -> tuple[Answer, str]:
        record = self.system.record
        machines = [
            machine for machine in self.system.machines if machine.name not in avoided
        ]
        machine = random.choice(machines or self.system.machines)
        request_id = new_request_id()
        headers = {
            "X-Request-Id": request_id,
            "X-Program-Id": self.id,
            "X-Session-Id": self.session,
            "X-Program-Deadline-Ms": "9000",
            "X-Token-Budget": str(BUDGET_TOKENS),
            "X-Token-Count": f"1100,{TURN_TOKENS}",
            "X-Prompt-Prefix": "5c1e07a2:512,91bd3f06:588",
            "X-Deadline-Ms": str(int(left_s * 1000)),
            "Authorization": f"Token {KEY}",
        }
        if last_event:
            headers |= {"Last-Event-Id": str(last_event), "Resumes": first_id}
        record.write(f"sent turn {request_id} to {machine.name} after {last_event}")
        answer = await call(
            machine.host, machine.port, "POST", "/lohu930/4b", headers, b"x" * 4000
        )
        if answer.status != 200:
            avoided.add(machine.name)
        record.write(
            f"answered {request_id} {answer.status} complete={answer.complete} "
            f"events={answer.body.count(b'data:')}"
        )
        return answer, request_id


async def interrupt(system: System, start_s: float) -> None:
    """Takes the store down and kills the process that last wrote to it."""
    record = system.record
    await asyncio.sleep(max(0.0, start_s - record.now_s()))
    store = system.store
    store.set_down(True)
    record.write("the store is down")
    await asyncio.sleep(OUTAGE_S - KILL_BEFORE_END_S)
    (victim,) = [m for m in system.machines if m.name == store.last_writer]
    restart = asyncio.create_task(victim.restart(RESTART_S))
    record.write(f"{victim.name} is killed")
    await asyncio.sleep(KILL_BEFORE_END_S)
    store.set_down(False)
    record.write("the store is back")
    await restart


async def scenario(system: System, with_trouble: bool) -> bool:
    """Returns whether BUDGET was broken."""
    for number in range(3):
        runner = await system.add_runner(f"i-llm-{number}", "agent-llm", slots=16)
        runner.behave = run_turn
    route = make_route(
        "digest-turn",
        "/lohu930/",
        "streaming",
        "agent-llm",
        TimeoutMs=4000,
        Resumable=True,
        KeepsHistory=False,
        Sticky=True,
    )
    tenant = {"Name": "hule930", "ApiKeys": [KEY]}
    system.write_config(make_config(7, [route], [tenant]))
    await system.start_machines(MACHINES)
    await asyncio.sleep(4.0)
    program = Program(system)
    tasks = [asyncio.create_task(program.run())]
    if with_trouble:
        tasks += [
            asyncio.create_task(interrupt(system, program.started_s + at_s))
            for at_s in OUTAGES_AT_S
        ]
    async with asyncio.timeout(PROGRAM_S):
        await asyncio.gather(*tasks)
    allowed = BUDGET_TOKENS + TURN_TOKENS
    system.record.write(f"{program.handed_tokens} tokens handed out, {allowed} allowed")
    return program.handed_tokens > allowed


if __name__ == "__main__":
    main(scenario, Path(__file__).parent)
