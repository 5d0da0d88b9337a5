"""The soak from outside: its checks, and a short run of real processes."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from damasksaddle_standins.faults import run_fault_injection
from damasksaddle_standins.faults.promises import Answered, Promises, Sent
from damasksaddle_standins.faults.proxy import Proxy
from damasksaddle_standins.faults.traffic import (
    BUDGET_TOKENS,
    EVENTS,
    LOOK,
    PAY,
    TALK,
    TOKENS_PER_EVENT,
    TURN,
    Kind,
    event,
    plain_body,
)

KEY = "key-ws-a-0"
Play = Callable[[Promises], None]


def sent(promises: Promises, kind: Kind, request_id: str = "r1", **more: float) -> Sent:
    found = Sent(
        request_id, kind, f"{kind.prefix}p1-0", "ws-a", KEY, "vm-1", 10.0, "p1"
    )
    found.sent_s = more.get("sent_s", 10.0)
    found.first_event = int(more.get("first_event", 0))
    promises.sent[request_id] = found
    return found


def run(promises: Promises, found: Sent, upstream: str = "i-1", **more: object) -> None:
    promises.on_run(
        found.id,
        str(more.get("path", found.path)),
        upstream,
        str(more.get("workspace", "ws-a")),
        float(str(more.get("deadline_ms", 4000.0))),
        bool(more.get("shows_key", False)),
    )


def whole(found: Sent, first: int = 0, last: int = EVENTS) -> bytes:
    if found.kind.is_stream():
        return b"".join(event(found.path, n) for n in range(first, last))
    return plain_body(found.path, found.id)


def _unasked(promises: Promises) -> None:
    run(promises, Sent("other", PAY, "/pay/x", "ws-a", KEY, "vm-1", 10.0))


def _changed_path(promises: Promises) -> None:
    run(promises, sent(promises, PAY), path="/pay/other")


def _twice(promises: Promises) -> None:
    found = sent(promises, PAY)
    run(promises, found)
    run(promises, found, "i-2")


def _run_after_refusal(promises: Promises) -> None:
    found = sent(promises, PAY)
    promises.on_answer(found, Answered(503, b"", True))
    run(promises, found)


def _refused_after_run(promises: Promises) -> None:
    found = sent(promises, TALK)
    run(promises, found)
    promises.on_answer(found, Answered(429, b"", True))


def _another_workspace(promises: Promises) -> None:
    run(promises, sent(promises, LOOK), workspace="forged")


def _shown_key(promises: Promises) -> None:
    run(promises, sent(promises, LOOK), shows_key=True)


def _longer_deadline(promises: Promises) -> None:
    run(promises, sent(promises, LOOK), deadline_ms=5000.0)


def _withdrawn_key(promises: Promises) -> None:
    promises.withdrawn_s[KEY] = 5.0
    run(promises, sent(promises, LOOK, sent_s=8.5))


def _leaving_upstream(promises: Promises) -> None:
    promises.draining_s["i-1"] = -10.0
    run(promises, sent(promises, LOOK))


def _denied(promises: Promises) -> None:
    promises.first_keys.add(KEY)
    promises.on_answer(sent(promises, LOOK), Answered(404, b"", True))


def _another_body(promises: Promises) -> None:
    promises.on_answer(sent(promises, LOOK), Answered(200, b"other", True))


def _lost_event(promises: Promises) -> None:
    found = sent(promises, TURN)
    body = whole(found, 0, 2) + whole(found, 3)
    promises.on_answer(found, Answered(200, body, False))


def _cut_but_complete(promises: Promises) -> None:
    found = sent(promises, TURN)
    promises.on_answer(found, Answered(200, whole(found, 0, 3), True))


def _over_budget(promises: Promises) -> None:
    for number in range(BUDGET_TOKENS // (EVENTS * TOKENS_PER_EVENT) + 2):
        found = sent(promises, TURN, f"r{number}")
        promises.on_answer(found, Answered(200, whole(found), True))


def _over_rate(promises: Promises) -> None:
    promises.rates["ws-a"] = (4.0, 10.0)
    for number in range(54):
        run(promises, sent(promises, PAY, f"r{number}", sent_s=0.0))


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("play", "promise"),
    [
        (_unasked, "nobody asked"),
        (_changed_path, "nobody asked"),
        (_twice, "ran twice"),
        (_run_after_refusal, "ran after a refusal"),
        (_refused_after_run, "refused and has run"),
        (_another_workspace, "another workspace"),
        (_shown_key, "shows a key"),
        (_longer_deadline, "more time than is left"),
        (_withdrawn_key, "a withdrawn key"),
        (_leaving_upstream, "a leaving upstream"),
        (_denied, "denied"),
        (_another_body, "another body"),
        (_lost_event, "out of order"),
        (_cut_but_complete, "looks complete"),
        (_over_budget, "over the budget"),
        (_over_rate, "over the rate"),
    ],
)
async def test_a_broken_promise_is_found(play: Play, promise: str) -> None:
    """Guards against a soak that passes because it does not look."""
    promises = Promises()
    play(promises)
    promises.finish()
    assert len(promises.broken) == 1 and promise in promises.broken[0]


@pytest.mark.looptime
async def test_what_is_allowed_is_not_reported() -> None:
    """Guards against findings that are none."""
    promises = Promises(first_keys={KEY}, rates={"ws-a": (4.0, 10.0)})
    promises.withdrawn_s["old"] = -100.0
    for number, kind in enumerate((TURN, TALK, LOOK, PAY)):
        found = sent(promises, kind, f"r{number}")
        run(promises, found)
        if kind.may_run_again():
            run(promises, found, "i-2")
        promises.on_answer(found, Answered(200, whole(found), True))
    refused = sent(promises, PAY, "r9")
    promises.on_answer(refused, Answered(429, b"", True))
    resumed = sent(promises, TURN, "r10", first_event=2)
    promises.on_answer(resumed, Answered(200, whole(resumed, 2), True))
    cut = sent(promises, PAY, "r11")
    run(promises, cut)
    promises.on_answer(cut, Answered(0, b"", False))
    promises.finish()
    assert promises.broken == []


@pytest.mark.looptime
async def test_many_failures_in_calm_are_found() -> None:
    """Guards against a fleet that refuses though nothing is wrong with it."""
    promises = Promises()
    for number in range(6):
        answer = Answered(503, b"", True)
        promises.on_answer(sent(promises, LOOK, f"r{number}"), answer)
    assert promises.failed_in_calm()
    promises = Promises()
    promises.note_fault(None)
    for number in range(6):
        found = sent(promises, LOOK, f"r{number}", sent_s=2.0)
        promises.on_answer(found, Answered(503, b"", True))
    assert not promises.failed_in_calm()


@pytest.mark.processes
async def test_a_proxy_silences_and_resets() -> None:
    """Guards against faults that are not injected."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    proxy = Proxy(server.sockets[0].getsockname()[:2])
    await proxy.start()
    reader, writer = await asyncio.open_connection(*proxy.address)
    writer.write(b"one")
    assert await reader.read(100) == b"one"
    proxy.from_target.open.clear()
    writer.write(b"two")
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await reader.read(100)
    proxy.from_target.open.set()
    assert await reader.read(100) == b"two"
    proxy.reset_all()
    with pytest.raises(ConnectionResetError):
        await reader.read(100)
    await proxy.stop()
    server.close()


@pytest.mark.processes
async def test_processes_keep_their_promises_under_faults(tmp_path: Path) -> None:
    """Guards against promises that only hold within one process."""
    report = await run_fault_injection(seed=7, time_s=6.0, vms=3, directory=tmp_path)
    assert report.broken == [], report.as_json()
    assert report.whole > 0 and len(report.faults) > 2
