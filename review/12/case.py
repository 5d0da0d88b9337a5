"""A request under which runners fall silent comes again and again."""

import asyncio
import itertools
from pathlib import Path

from harness import (
    BOUNDS,
    BROKEN,
    FRONTEND_PORT,
    HELD,
    LIMITS,
    Deployment,
    Message,
    Reply,
    Runner,
    call,
    has_trouble,
    plain_service,
    route,
    run_case,
)

SERVICE = "filing-app"
RUNNERS = 7
# One runner at a time is down: `srv_crash` takes a share of .15, and one in seven is.
DOWN_S = 3.0
INTERVAL_S = 3.7
REQUESTS = 16
# BUDGET: no more than three retries, later than `ContactMs` after the third crash.
CRASHES = 3
PERMITTED = 3
REPORT = b"a report that no reader survives"


async def play(deployment: Deployment) -> int:
    record = deployment.record
    runs_s: list[float] = []
    crashes_s: list[float] = []
    restarts: set[asyncio.Task[None]] = set()
    numbers = itertools.count(1)

    def make_runner() -> Runner:
        name = f"i-{next(numbers):04x}"
        return Runner(deployment.store, record, name, SERVICE, work)

    async def restart(old: Runner) -> None:
        """Brings a runner back at its address as a new process."""
        await asyncio.sleep(DOWN_S)
        old.crash()
        new = make_runner()
        await new.start(old.host, old.port)
        deployment.runners.append(new)
        record.add("runner-start", runner=new.id)

    async def work(runner: Runner, request: Message) -> Reply:
        if request.body == REPORT:
            runs_s.append(record.now_s())
            if has_trouble():
                runner.lose_power()
                crashes_s.append(record.now_s())
                restarts.add(asyncio.create_task(restart(runner)))
                await asyncio.Event().wait()
        await asyncio.sleep(0.04)
        return Reply()

    for _ in range(RUNNERS):
        await deployment.add_runner(make_runner())
    config = {
        "Routes": [route("r-file", "/file/", "non_idempotent", SERVICE)],
        "Services": [plain_service(SERVICE)],
        "Limits": LIMITS,
        "Tenants": [{"Name": "ngo", "ApiKeys": ["k-ngo"], "RatePerS": 0, "Burst": 0}],
    }
    await deployment.start(config)

    async def send(number: int) -> None:
        request_id = f"{number:016x}"
        gateway = deployment.gateways[number % len(deployment.gateways)]
        headers = [
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", "2000"),
            ("Authorization", "Token k-ngo"),
        ]
        record.add("sent", id=request_id, to=gateway.name)
        answer = await call(
            gateway.host, FRONTEND_PORT, "POST", "/file/7", headers, REPORT
        )
        status = answer.status if answer is not None else "none"
        record.add("answered", id=request_id, status=status)

    requests = []
    for number in range(REQUESTS):
        requests.append(asyncio.create_task(send(number)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*requests)
    late = 0
    if len(crashes_s) >= CRASHES:
        from_s = crashes_s[CRASHES - 1] + BOUNDS["ContactMs"] / 1000
        late = sum(run_s > from_s for run_s in runs_s)
    print(f"the request ran {len(runs_s)} times, {late} of them too late")
    return BROKEN if late > PERMITTED else HELD


run_case(Path(__file__).parent, play)
