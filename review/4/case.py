"""A request that crashes runners, while all processes are killed at once, twice."""

import asyncio
from pathlib import Path

from standins import (
    Exchange,
    System,
    answer_plain,
    call,
    main,
    make_config,
    make_route,
    new_request_id,
)

KEY = "3fexd9dnn2ctnfzs989a"
MACHINES = 4
RUNNERS = 6
CONTACT_S = 3.0
# "The runner is back after some seconds."
RUNNER_RESTART_S = 2.5
# The request comes again at this pace, at one machine after the other.
DEADLY_PACE_S = 6.0
PACE_S = 0.5
KILLS_AT_S = (12.5, 30.5)
DOWN_S = 0.6
TRAFFIC_S = 54.0
MAX_RETRIES = 3
DEADLY_PATH = "/lohu930/7c"
DEADLY_BODY = b"deadly" * 100


class Case:
    """What happened in a run."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.crashes = 0
        self.third_crash_s: float | None = None
        # When all machines are in touch after their last start.
        self.in_touch_s = 0.0
        self.sent_s: dict[str, float] = {}
        self.late_retries: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self, exchange: Exchange) -> None:
        """Runs a request; a deadly one ends the runner, which is back later."""
        if exchange.request.target != DEADLY_PATH:
            await answer_plain(exchange)
            return
        record = self.system.record
        self.crashes += 1
        runner = exchange.runner
        now_s = record.now_s()
        record.write(f"{runner.id} crashes under {exchange.id} (crash {self.crashes})")
        if self.crashes == 3:
            self.third_crash_s = now_s
        elif self.third_crash_s is not None:
            sent_s = self.sent_s[exchange.id]
            is_late = now_s > self.third_crash_s + CONTACT_S
            if is_late and sent_s > self.in_touch_s:
                self.late_retries.append(exchange.id)
                record.write(f"late retry {len(self.late_retries)}")
        runner.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(
            RUNNER_RESTART_S,
            lambda: self.tasks.append(asyncio.create_task(runner.restart())),
        )

    async def send(self, number: int, target: str, body: bytes) -> None:
        """Sends a request to one of the machines."""
        machine = self.system.machines[number % MACHINES]
        record = self.system.record
        request_id = new_request_id()
        self.sent_s[request_id] = record.now_s()
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "2000",
            "Authorization": f"Token {KEY}",
        }
        record.write(f"sent {request_id} {target} to {machine.name}")
        answer = await call(machine.host, machine.port, "POST", target, headers, body)
        record.write(f"answered {request_id} {answer.status}")

    async def kill_all(self) -> None:
        """Kills all processes at once and starts them again."""
        machines = self.system.machines
        self.system.record.write("all processes are killed")
        await asyncio.gather(*(machine.restart(DOWN_S) for machine in machines))
        await self.system.wait_ready(machines)
        self.in_touch_s = self.system.record.now_s() + CONTACT_S


async def scenario(system: System, with_trouble: bool) -> bool:
    """Returns whether BUDGET was broken."""
    case = Case(system)
    for number in range(RUNNERS):
        runner = await system.add_runner(f"i-app-{number}", "filing-app")
        runner.behave = case.run
    route = make_route("report-file", "/lohu930/", "non_idempotent", "filing-app")
    tenant = {"Name": "hule930", "ApiKeys": [KEY], "RatePerS": 140, "Burst": 140}
    system.write_config(make_config(7, [route], [tenant]))
    await system.start_machines(MACHINES)
    await asyncio.sleep(4.0)
    case.in_touch_s = started_s = system.record.now_s()
    kills = list(KILLS_AT_S) if with_trouble else []
    for number in range(int(TRAFFIC_S / PACE_S)):
        next_s = started_s + number * PACE_S
        await asyncio.sleep(max(0.0, next_s - system.record.now_s()))
        if kills and system.record.now_s() - started_s >= kills[0]:
            kills.pop(0)
            case.tasks.append(asyncio.create_task(case.kill_all()))
        if number % (DEADLY_PACE_S / PACE_S) == 0:
            machine = int(number * PACE_S / DEADLY_PACE_S)
            case.tasks.append(
                asyncio.create_task(case.send(machine, DEADLY_PATH, DEADLY_BODY))
            )
        case.tasks.append(
            asyncio.create_task(case.send(number, f"/lohu930/{number}", b"x" * 600))
        )
    await asyncio.gather(*case.tasks)
    system.record.write(
        f"{case.crashes} crashes; {len(case.late_retries)} retries in touch later than "
        f"ContactMs after the third crash, {MAX_RETRIES} allowed"
    )
    return len(case.late_retries) > MAX_RETRIES


if __name__ == "__main__":
    main(scenario, Path(__file__).parent)
