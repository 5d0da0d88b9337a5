"""
A soak test that runs programs under a random schedule of faults.

`python -m damasksaddle_standins soak --seed N --minutes M` runs nodes in one process
on a simulated clock. Two faults can be active at a time. At the end, the invariants
are checked against the records of the stand-ins. The same seed gives the same
schedule.
"""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from damasksaddle.exceptions import DamasksaddleError, KeyRejected, Refusal
from damasksaddle.keys import make_key
from damasksaddle_node.entry import CallerRequest
from damasksaddle_node.fleet.records import (
    DocumentApplied,
    FleetRecord,
    KeyGiven,
    KeyWithdrawn,
)
from damasksaddle_node.programs.records import CallOutcome
from damasksaddle_node.settings import Timing
from damasksaddle_standins.engine import EngineSettings, ModelEngine
from damasksaddle_standins.fleet import LocalFleet
from damasksaddle_standins.tool import ToolService

NODE_COUNT = 5
WORKSPACE_COUNT = 4
RATE_PER_S, BURST = 10, 20
TURNS_PER_PROGRAM = 5
AGENTS_PER_WORKSPACE = 3
CALL_TIMEOUT_S = 90.0
RETRY_INTERVAL_S = 1.0
# Time after the last fault for outages to end and cache memory to be released.
RECOVERY_S = 60.0
WITHDRAWAL_LIMIT_S = 5.0
PROGRAM_TIMEOUT_S = 1200.0


@dataclass(slots=True)
class SoakReport:
    """Counts, faults and broken invariants of a run."""

    seed: int
    programs: int = 0
    turns: int = 0
    filings: int = 0
    unknown: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def as_dict(self) -> dict[str, Any]:
        """Returns the report as a dictionary for JSON."""
        return {name: getattr(self, name) for name in self.__slots__}


@dataclass(slots=True)
class _TurnRecord:
    """The message of one turn and the answer that its caller received."""

    text: str
    answer: str = ""


def _document(version: int) -> str:
    def upstreams(kind: str, number: int) -> list[dict[str, Any]]:
        return [
            {"name": f"{kind}-{n}", "url": f"http://{kind}-{n}", "failure_domain": "a"}
            for n in range(number)
        ]

    return json.dumps(
        {
            "service": "soak",
            "pools": {
                "writer": {
                    "kind": "model",
                    "model": "m",
                    "output_micros_per_ktoken": 1000,
                    "max_queue": 1000 + version,
                    "upstreams": upstreams("run", 3),
                },
                "filing": {
                    "kind": "plain",
                    "call_micros": 10,
                    "upstreams": upstreams("tool", 2),
                },
            },
            "routes": {
                "chat": {"pool": "writer", "timeout_s": 60},
                "file": {"pool": "filing", "path": "/file", "repeat": "never"},
            },
            "workspaces": {
                f"ws{n}": {
                    "rate_per_s": RATE_PER_S,
                    "burst": BURST,
                    "max_wait_ms": 20_000,
                }
                for n in range(WORKSPACE_COUNT)
            },
        }
    )


class SoakRun:
    """One run of the soak test."""

    def __init__(self, seed: int, minutes: float) -> None:
        self.report = SoakReport(seed)
        self._rng = random.Random(seed)
        self._end_s = minutes * 60
        self._fleet = LocalFleet(NODE_COUNT, Timing(hold_s=2.0))
        self._keys: dict[str, str] = {}
        self._withdrawn_at_s: dict[str, float] = {}
        self._histories: dict[str, list[_TurnRecord]] = {}
        self._confirmed_filings: Counter[str] = Counter()
        self._faulty_nodes: set[str] = set()
        self._last_node_number = NODE_COUNT
        self._version = 1

    async def run(self) -> SoakReport:
        """Runs programs under faults, then checks the records of the stand-ins."""
        fleet = self._fleet
        fleet.upstreams.engines = {
            f"http://run-{n}": ModelEngine(EngineSettings(name=f"run-{n}", slots=16))
            for n in range(3)
        }
        fleet.upstreams.tools = {
            f"http://tool-{n}": ToolService(f"tool-{n}") for n in range(2)
        }
        async with fleet:
            await fleet.apply("soak", _document(0))
            for number in range(WORKSPACE_COUNT):
                self._keys[f"ws{number}"] = await fleet.give_key(f"ws{number}")
            loop = asyncio.get_running_loop()
            self._end_s += loop.time()
            agents = [
                asyncio.create_task(self._run_agent(workspace, number))
                for workspace in self._keys
                for number in range(AGENTS_PER_WORKSPACE)
            ]
            withdrawals = asyncio.create_task(self._withdraw_keys())
            faults = [asyncio.create_task(self._run_faults(n)) for n in range(2)]
            await asyncio.gather(*faults)
            await asyncio.gather(*agents, withdrawals)
            await asyncio.sleep(RECOVERY_S)
            self._check_invariants()
        return self.report

    # Callers.

    def _random_entry(self) -> str:
        names = [name for name in self._fleet.nodes if name not in self._faulty_nodes]
        return self._rng.choice(names or list(self._fleet.nodes))

    async def _call_until_answered(
        self, request: CallerRequest
    ) -> tuple[str, CallOutcome] | None:
        """Repeats a call until it is answered; None if its outcome is unknown."""
        while True:
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    return await self._fleet.call(self._random_entry(), request)
            except Refusal as error:
                self.report.refused[error.code] += 1
                if error.code == "fate_unknown" and request.route == "file":
                    return None
                if error.code in ("program_ended", "history_mismatch"):
                    self.report.broken.append(f"{request.program_id}: {error}")
                    return None
            except (DamasksaddleError, TimeoutError, AssertionError, KeyError) as error:
                self.report.refused[type(error).__name__] += 1
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _run_agent(self, workspace: str, number: int) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < self._end_s:
            self.report.programs += 1
            program = f"p{number}-{self.report.programs}"
            try:
                async with asyncio.timeout(PROGRAM_TIMEOUT_S):
                    await self._run_program(workspace, program)
            except TimeoutError:
                self.report.broken.append(f"{workspace}/{program} did not end in time")

    async def _run_program(self, workspace: str, program: str) -> None:
        rng, key, sealed = self._rng, self._keys[workspace], ""
        turns = self._histories.setdefault(f"{workspace}/{program}", [])
        for number in range(TURNS_PER_PROGRAM):
            await asyncio.sleep(rng.uniform(0.1, 3.0))
            turn = _TurnRecord(f"{workspace}/{program}/turn{number}")
            turns.append(turn)
            message = {"role": "user", "content": turn.text}
            body = {"messages": [message], "max_tokens": rng.randint(2, 30)}
            request = CallerRequest(
                key,
                "soak",
                "chat",
                json.dumps(body).encode(),
                program_id=program,
                idempotency_key=f"t{number}",
                stream=rng.random() < 0.5,
                sealed=sealed,
            )
            result = await self._call_until_answered(request)
            if result is None:
                return
            self.report.turns += 1
            turn.answer = json.loads(result[1].body)["text"]
            sealed = result[1].sealed
        filing = CallerRequest(
            key,
            "soak",
            "file",
            json.dumps({"report": f"{workspace}/{program}"}).encode(),
            program_id=program,
            idempotency_key="file",
            sealed=sealed,
        )
        if await self._call_until_answered(filing) is None:
            self.report.unknown += 1
        else:
            self._confirmed_filings[f"{workspace}/{program}"] += 1
            self.report.filings += 1
        while True:
            try:
                await self._fleet.nodes[self._random_entry()].entry.query(
                    key, program, "end"
                )
                return
            except (DamasksaddleError, KeyError):
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _withdraw_keys(self) -> None:
        """Repeatedly gives a key and withdraws it while calls use it."""
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < self._end_s:
            number += 1
            await asyncio.sleep(RETRY_INTERVAL_S)
            with suppress(DamasksaddleError, TimeoutError, KeyError):
                async with asyncio.timeout(60):
                    key = make_key()
                    await self._append_change(
                        KeyGiven(key.key_id, "ws0", key.digest, "soak", 0)
                    )
                await self._withdraw_while_calling(key.text, f"victim{number}")

    async def _withdraw_while_calling(self, key: str, program: str) -> None:
        loop = asyncio.get_running_loop()
        body = {
            "messages": [{"role": "user", "content": f"{program} turn"}],
            "max_tokens": 3,
        }
        request = CallerRequest(
            key, "soak", "chat", json.dumps(body).encode(), program_id=program
        )
        calls = [asyncio.create_task(self._call_repeatedly(request)) for _ in range(2)]
        await asyncio.sleep(self._rng.uniform(1, 4))
        try:
            if await self._append_change(KeyWithdrawn(key.split("_")[1], "soak", 0)):
                self._withdrawn_at_s[program] = loop.time()
            await asyncio.sleep(WITHDRAWAL_LIMIT_S + 10)
        finally:
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    async def _call_repeatedly(self, request: CallerRequest) -> None:
        while True:
            try:
                async with asyncio.timeout(20):
                    await self._fleet.call(self._random_entry(), request)
            except KeyRejected:
                await asyncio.sleep(0.3)
            except (DamasksaddleError, TimeoutError, AssertionError, KeyError):
                await asyncio.sleep(0.3)

    async def _append_change(self, record: FleetRecord) -> bool:
        """Appends a change on a random node; returns whether it was confirmed."""
        node = self._fleet.nodes[self._random_entry()]
        position = await node.fleet.append(lambda state: record)
        return await node.changes.confirm(position) is None

    # Faults.

    async def _run_faults(self, sequence_number: int) -> None:
        loop = asyncio.get_running_loop()
        fault_actions: list[Callable[[], Awaitable[str]]] = [
            self._kill_node,
            self._pause_node,
            self._disconnect_node,
            self._stop_table,
            self._lose_table_answers,
            self._stop_node,
            self._change_document,
        ]
        while True:
            await asyncio.sleep(self._rng.uniform(3, 15))
            if loop.time() >= self._end_s:
                return
            fault = self._rng.choice(fault_actions)
            started_s = loop.time()
            try:
                description = await fault()
            except (DamasksaddleError, TimeoutError) as error:
                description = f"{fault.__name__}: {error!r}"
            self.report.faults.append(
                f"{started_s:.1f} {sequence_number} {description}"
            )

    def _pick_healthy_node(self) -> str | None:
        """
        Picks a healthy node and marks it as faulty.

        Returns None unless more than half of the fleet stays healthy without it.
        """
        names = [name for name in self._fleet.nodes if name not in self._faulty_nodes]
        if len(names) <= NODE_COUNT - 2:
            return None
        name = self._rng.choice(sorted(names))
        self._faulty_nodes.add(name)
        return name

    async def _start_replacement(self, name: str) -> None:
        self._last_node_number += 1
        await self._fleet.start(f"vm{self._last_node_number}")
        self._faulty_nodes.discard(name)

    async def _kill_node(self) -> str:
        name = self._pick_healthy_node()
        if name is None:
            return "no fault: too few healthy nodes"
        await self._fleet.kill(name)
        await asyncio.sleep(self._rng.uniform(0, 10))
        await self._start_replacement(name)
        return f"killed {name}"

    async def _pause_node(self) -> str:
        name = self._pick_healthy_node()
        if name is None:
            return "no fault: too few healthy nodes"
        pause_s = self._rng.choice((1.0, 5.0, 8.0, 20.0))
        self._fleet.pause(name)
        await asyncio.sleep(pause_s)
        self._fleet.resume(name)
        await asyncio.sleep(3)
        await self._restart_if_removed(name)
        return f"paused {name} for {pause_s} s"

    async def _restart_if_removed(self, name: str) -> None:
        node = self._fleet.nodes[name]
        if node.removed.is_set():
            await self._fleet.kill(name)
            await self._start_replacement(name)
        else:
            self._faulty_nodes.discard(name)

    async def _disconnect_node(self) -> str:
        name = self._pick_healthy_node()
        if name is None:
            return "no fault: too few healthy nodes"
        table_too = self._rng.random() < 0.5
        outage_s = self._rng.uniform(1, 25)
        self._fleet.network.disconnect(name, list(self._fleet.nodes))
        if table_too:
            self._fleet.table.faults.unreachable_for.add(name)
        await asyncio.sleep(outage_s)
        self._fleet.network.disconnected = {
            pair for pair in self._fleet.network.disconnected if name not in pair
        }
        self._fleet.table.faults.unreachable_for.discard(name)
        await asyncio.sleep(3)
        await self._restart_if_removed(name)
        return f"disconnected {name} for {outage_s:.1f} s, table too: {table_too}"

    async def _stop_table(self) -> str:
        outage_s = self._rng.choice((1.0, 4.0, 15.0))
        self._fleet.table.faults.down = True
        await asyncio.sleep(outage_s)
        self._fleet.table.faults.down = False
        return f"table unavailable for {outage_s} s"

    async def _lose_table_answers(self) -> str:
        number = self._rng.randint(1, 8)
        self._fleet.table.faults.lose_answers += number
        return f"lost the answers to {number} writes"

    async def _stop_node(self) -> str:
        name = self._pick_healthy_node()
        if name is None:
            return "no fault: too few healthy nodes"
        async with asyncio.timeout(300):
            await self._fleet.leave(name)
        await self._start_replacement(name)
        return f"shut down {name} gracefully"

    async def _change_document(self) -> str:
        self._version += 1
        async with asyncio.timeout(60):
            text = _document(self._version)
            await self._append_change(
                DocumentApplied("soak", self._version + 1, text, "soak", 0)
            )
        return f"applied document {self._version}"

    # Invariants, checked against the records of the stand-ins.

    def _check_invariants(self) -> None:
        engines = self._fleet.upstreams.engines.values()
        calls = [call for engine in engines for call in engine.seen]
        self._check_histories([call.prompt for call in calls])
        self._check_filings()
        for engine in engines:
            for session in engine.held_sessions():
                if not session.rpartition("/")[2].startswith("victim"):
                    self.report.broken.append(
                        f"engine memory is still held for {session}"
                    )
        for call in calls:
            program = call.session.rpartition("/")[2]
            withdrawn_at_s = self._withdrawn_at_s.get(program)
            if withdrawn_at_s and call.arrived_s > withdrawn_at_s + WITHDRAWAL_LIMIT_S:
                late_s = call.arrived_s - withdrawn_at_s
                self.report.broken.append(
                    f"{program}: call {late_s:.1f} s after its key was withdrawn"
                )
        self._check_rates([(c.session.partition("/")[0], c.arrived_s) for c in calls])

    def _check_histories(self, prompts: list[str]) -> None:
        longest: dict[str, str] = {}
        for prompt in prompts:
            words = [word for word in prompt.split() if "/turn" in word]
            programs = {word.rpartition("/")[0] for word in words}
            if len(programs) > 1:
                self.report.broken.append(
                    f"a prompt mixes histories of {sorted(programs)}"
                )
            for name in programs:
                longest[name] = max(longest.get(name, ""), prompt, key=len)
                if words != [f"{name}/turn{n}" for n in range(len(words))]:
                    self.report.broken.append(
                        f"{name}: unexpected order of turns: {words}"
                    )
        for name, turns in self._histories.items():
            answered = [turn for turn in turns if turn.answer]
            expected = " ".join(
                text for turn in answered for text in (turn.text, turn.answer)
            )
            # No prompt contains the last answer, because no turn followed it.
            last = answered[-1].answer if answered else ""
            expected = expected[: len(expected) - len(last)].strip()
            if not longest.get(name, "").startswith(expected):
                self.report.broken.append(f"{name}: the recorded history is incomplete")

    def _check_filings(self) -> None:
        seen = Counter(
            json.loads(body)["report"]
            for tool in self._fleet.upstreams.tools.values()
            for _, _, body in tool.seen
        )
        for name, count in seen.items():
            if count > 1:
                self.report.broken.append(f"{name} was filed {count} times")
        for name in self._confirmed_filings:
            if not seen[name]:
                self.report.broken.append(
                    f"{name} was confirmed as filed, but no filing was recorded"
                )

    def _check_rates(self, arrivals: list[tuple[str, float]]) -> None:
        """
        Checks the arrivals of calls at engines against the rate of each workspace.

        The token bucket limits the first try of a call. Calls reach an engine later
        than their admission, so the bound has a margin for queueing, which is short
        here because slots are free.
        """
        by_workspace: dict[str, list[float]] = {}
        for workspace, at_s in sorted(arrivals, key=lambda pair: pair[1]):
            by_workspace.setdefault(workspace, []).append(at_s)
        for workspace, times_s in by_workspace.items():
            for number, start_s in enumerate(times_s):
                for count, end_s in enumerate(times_s[number:], 1):
                    bound = RATE_PER_S * (end_s - start_s) + BURST
                    if end_s - start_s > 10:
                        break
                    if count > bound + 2 * BURST:
                        self.report.broken.append(f"{workspace} exceeded its rate")
                        break


async def run_soak(seed: int, minutes: float) -> SoakReport:
    """Runs one schedule; the event loop should have a simulated clock."""
    return await SoakRun(seed, minutes).run()
