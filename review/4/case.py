"""A tenant's quota, when the store goes down soon after a machine has woken."""

import asyncio
import json
import random
import signal
from pathlib import Path

from standins import (
    BOUNDS,
    Exchange,
    Machine,
    System,
    answer_plain,
    call,
    main,
    make_config,
    make_route,
    new_request_id,
)

KEY = "3fexd9dnn2ctnfzs989a"
# Machines 1 and 3 are in zone-a, 2 and 4 in zone-b.
MACHINES = 4
RATE_PER_S = 84
BURST = 84
# "One tenant sends many times its usual": its rate is 1.6 times its usual.
HOT_PER_S = 260
HOT_S = 6.0
FROZEN_S = 4.0
# The store goes down this long after the machine has woken.
WOKEN_S = 0.5
DOWN_S = 4.5
WORK_S = 0.01


class Case:
    """What happened in a run."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.sent_s: dict[str, float] = {}
        # When a request was sent and when it arrived at a runner that ran it.
        self.ran: list[tuple[float, float]] = []
        self.addresses: dict[str, tuple[float, list[str]]] = {}
        self.zone = "zone-a"

    async def run(self, exchange: Exchange) -> None:
        """Runs a request."""
        if (sent_s := self.sent_s.get(exchange.id)) is not None:
            self.ran.append((sent_s, self.system.record.now_s()))
        await answer_plain(exchange, WORK_S)

    async def resolve(self, near: Machine, zone: str) -> list[str]:
        """Asks a machine where to connect, and keeps its answer for its time."""
        record = self.system.record
        expires_s, addresses = self.addresses.get(near.name, (0.0, []))
        if record.now_s() < expires_s:
            return addresses
        self.addresses[near.name] = (record.now_s() + 1.0, addresses)
        answer = await call(
            near.host,
            near.ports[2],
            "GET",
            f"/resolve?Name=desk.example&Region=region&Zone={zone}",
            {},
            timeout_s=1.0,
        )
        if answer.status == 200:
            body = json.loads(answer.body)
            expires_s = record.now_s() + body["TtlS"]
            self.addresses[near.name] = (expires_s, body["Addresses"])
        return self.addresses[near.name][1]

    async def send(self, near: Machine, zone: str) -> None:
        """Sends a request to one of the addresses that a machine gives."""
        record = self.system.record
        addresses = await self.resolve(near, zone)
        if not addresses:
            return
        host, port = random.choice(addresses).split(":")
        request_id = new_request_id()
        self.sent_s[request_id] = record.now_s()
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "1200",
            "Authorization": f"Token {KEY}",
        }
        record.write(f"sent {request_id} to {host}")
        answer = await call(host, int(port), "GET", "/pule252/2f", headers)
        record.write(f"answered {request_id} {answer.status}")

    def most_in_window(self) -> int:
        """Returns the most requests both sent and run in one window of the rule."""
        window_s = BOUNDS["QuotaWindowS"]
        return max(
            sum(
                start_s <= sent_s and arrived_s <= start_s + window_s
                for sent_s, arrived_s in self.ran
            )
            for start_s, _ in self.ran
        )


async def scenario(system: System, with_trouble: bool) -> bool:
    """Returns whether QUOTA was broken."""
    record = system.record
    case = Case(system)
    for number in range(4):
        runner = await system.add_runner(f"i-app-{number}", "filing-app", slots=12)
        runner.behave = case.run
    route = make_route("alert", "/pule252/", "idempotent", "filing-app", TimeoutMs=1200)
    tenant = {
        "Name": "hule930",
        "ApiKeys": [KEY],
        "RatePerS": RATE_PER_S,
        "Burst": BURST,
    }
    system.write_config(make_config(7, [route], [tenant]))
    await system.start_machines(MACHINES, zones="ab")
    await asyncio.sleep(2.0)
    for _ in range(20):
        await case.send(system.machines[0], "zone-a")
        await asyncio.sleep(0.1)
    (leader,) = [m for m in system.machines if m.name == system.store.last_writer]
    record.write(f"{leader.name} was the last to write to the store")
    near = [leader] + [
        m for m in system.machines if m.zone == leader.zone and m is not leader
    ]
    if with_trouble:
        leader.signal(signal.SIGSTOP)
        record.write(f"{leader.name} is frozen")
    await asyncio.sleep(FROZEN_S)
    leader.signal(signal.SIGCONT)
    record.write(f"{leader.name} runs on")
    started_s = record.now_s()
    tasks = []
    is_down = False
    case.addresses.clear()
    for number in range(int(HOT_S * HOT_PER_S)):
        next_s = started_s + number / HOT_PER_S
        await asyncio.sleep(max(0.0, next_s - record.now_s()))
        if with_trouble and not is_down and next_s > started_s + WOKEN_S:
            is_down = True
            system.store.set_down(True)
            record.write("the store is down")
            loop = asyncio.get_running_loop()
            loop.call_later(DOWN_S, system.store.set_down, False)
        tasks.append(
            asyncio.create_task(case.send(near[number % len(near)], leader.zone))
        )
    await asyncio.gather(*tasks)
    most = case.most_in_window()
    window = BOUNDS["QuotaWindowS"] * RATE_PER_S + BURST
    allowed = window * (1 + BOUNDS["QuotaOverrun"]) + BOUNDS["QuotaSlack"]
    record.write(f"{most} requests ran in one window, {allowed:.0f} allowed")
    return most > allowed


if __name__ == "__main__":
    main(scenario, Path(__file__).parent)
