"""A runner that fails a part of its requests answers 503 after it has run them."""

import asyncio
import random
from pathlib import Path

from harness import (
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
REQUESTS, INTERVAL_S = 400, 0.025
# `srv_grey`: one of seven runners (share .15) fails 0.4 of its requests for 5 s.
FAILING_SHARE, FAILING_FROM_S, FAILING_FOR_S = 0.4, 2.0, 5.0
PROMISES = (408, 421, 429, 503)


async def play(deployment: Deployment) -> int:
    record = deployment.record
    ran: dict[str, list[int]] = {}
    rng = random.Random(11)
    started_s = 0.0

    async def work(runner: Runner, request: Message) -> Reply:
        await asyncio.sleep(0.04)
        # The submission is filed here, whatever the answer says.
        is_grey = has_trouble() and runner.id == "i-grey"
        grey_s = record.now_s() - started_s - FAILING_FROM_S
        is_grey = is_grey and 0 <= grey_s < FAILING_FOR_S
        status = 503 if is_grey and rng.random() < FAILING_SHARE else 200
        ran.setdefault(request.header("X-Request-Id"), []).append(status)
        if status == 200:
            return Reply()
        return Reply(status=status, body=b"the receipt could not be stored\n")

    for number in range(RUNNERS):
        name = "i-grey" if not number else f"i-{number:04x}"
        await deployment.add_runner(
            Runner(deployment.store, record, name, SERVICE, work)
        )
    config = {
        "Routes": [route("r-file", "/file/", "non_idempotent", SERVICE)],
        "Services": [plain_service(SERVICE)],
        "Limits": LIMITS,
        "Tenants": [{"Name": "ngo", "ApiKeys": ["k-ngo"], "RatePerS": 0, "Burst": 0}],
    }
    await deployment.start(config)
    started_s = record.now_s()
    broken = 0

    async def send(number: int) -> None:
        nonlocal broken
        await asyncio.sleep(number * INTERVAL_S)
        request_id = f"{number:016x}"
        gateway = deployment.gateways[number % len(deployment.gateways)]
        headers = [
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", "2000"),
            ("Authorization", "Token k-ngo"),
        ]
        path = f"/file/{number}"
        record.add("sent", id=request_id, to=gateway.name)
        answer = await call(
            gateway.host, FRONTEND_PORT, "POST", path, headers, b"a report"
        )
        if answer is None:
            record.add("closed", id=request_id)
            return
        record.add(
            "answered",
            id=request_id,
            status=answer.status,
            signature=answer.header("X-Server-Signature"),
        )
        if answer.status in PROMISES and request_id in ran:
            broken += 1
            record.add("BROKEN", id=request_id, ran=len(ran[request_id]))

    await asyncio.gather(*(send(number) for number in range(REQUESTS)))
    print(f"{len(ran)} requests ran; {broken} of them were answered 'not run'")
    return BROKEN if broken else HELD


run_case(Path(__file__).parent, play)
