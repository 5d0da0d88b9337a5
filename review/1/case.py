"""An entry of another writer in the list of runners, which cannot be read."""

import asyncio
from pathlib import Path

from standins import (
    Answer,
    System,
    call,
    main,
    make_config,
    make_route,
    new_request_id,
)

KEY = "3fexd9dnn2ctnfzs989a"
MACHINES = 4
CALLS_PER_S = 25
DRAIN_MS = 2000
TRAFFIC_S = 12.0
UNREADABLE_ENTRY_AT_S = 4.0
DRAINING_AT_S = 5.0
UNREADABLE_ENTRY = b"[" * 2_000


async def scenario(system: System, with_trouble: bool) -> bool:
    """Returns whether DRAIN was broken."""
    record = system.record
    runners = [await system.add_runner(f"i-{n}", "field-app") for n in range(3)]
    tenant = {"Name": "hule930", "ApiKeys": [KEY], "RatePerS": 140, "Burst": 140}
    route = make_route("commit", "/pule252/", "non_idempotent", "field-app")
    system.write_config(make_config(7, [route], [tenant]))
    await system.start_machines(MACHINES)
    await asyncio.sleep(4.0)
    started_s = record.now_s()
    answers: list[tuple[float, Answer]] = []
    arrived: dict[str, float] = {}
    acknowledged_s = None

    async def send(number: int) -> None:
        machine = system.machines[number % MACHINES]
        request_id = new_request_id()
        sent_s = record.now_s()
        record.write(f"sent {request_id} to {machine.name}")
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "2000",
            "Authorization": f"Token {KEY}",
        }
        answer = await call(
            machine.host, machine.port, "POST", "/pule252/2f", headers, b"x" * 600
        )
        record.write(f"answered {request_id} {answer.status}")
        answers.append((sent_s, answer))

    leaving = runners[0]
    behave = leaving.behave

    async def note_arrival(exchange) -> None:
        arrived[exchange.id] = record.now_s()
        await behave(exchange)

    leaving.behave = note_arrival
    tasks = []
    wrote_entry = False
    for number in range(int(TRAFFIC_S * CALLS_PER_S)):
        await asyncio.sleep(max(0.0, started_s + number / CALLS_PER_S - record.now_s()))
        tasks.append(asyncio.create_task(send(number)))
        passed_s = record.now_s() - started_s
        if with_trouble and not wrote_entry and passed_s >= UNREADABLE_ENTRY_AT_S:
            wrote_entry = True
            system.store.put("servers", "x-other-writer", UNREADABLE_ENTRY)
            record.write("another writer's entry acknowledged")
        if acknowledged_s is None and passed_s >= DRAINING_AT_S:
            leaving.state = "draining"
            leaving.register()
            acknowledged_s = record.now_s()
            record.write(f"{leaving.id} acknowledged as draining")
    await asyncio.gather(*tasks)
    assert acknowledged_s is not None
    bound_s = acknowledged_s + DRAIN_MS / 1000
    late = [request for request, at_s in arrived.items() if at_s > bound_s]
    last = [answer for sent_s, answer in answers if sent_s > started_s + TRAFFIC_S - 3]
    served = sum(answer.status == 200 for answer in last)
    record.write(f"{len(late)} requests reached {leaving.id} later than DrainMs")
    record.write(f"{served} of {len(last)} requests of the last 3 s were served")
    return bool(late)


if __name__ == "__main__":
    main(scenario, Path(__file__).parent)
