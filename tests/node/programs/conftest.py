"""Runs caller sessions and records them with what the stand-ins received."""

import asyncio
import json
import re
from contextlib import asynccontextmanager

import pytest

from damasksaddle.exceptions import Refusal
from damasksaddle.utils import partition_of
from damasksaddle_node.entry import CallerRequest
from damasksaddle_standins import ModelEngine, ToolService
from damasksaddle_standins.engine import EngineSettings
from damasksaddle_standins.fleet import LocalFleet

DOCUMENT = """
service: desk
pools:
  writer:
    kind: model
    model: lv
    prompt_micros_per_ktoken: 1000
    output_micros_per_ktoken: 2000
    upstreams:
      - {name: run-1, url: "http://run-1", failure_domain: a}
      - {name: run-2, url: "http://run-2", failure_domain: b}
  filing:
    kind: plain
    call_micros: 50
    upstreams:
      - {name: tool-1, url: "http://tool-1", failure_domain: a}
routes:
  chat: {pool: writer}
  look: {pool: filing, path: /look}
  file: {pool: filing, path: /file, repeat: never, timeout_s: 10}
  pay: {pool: filing, path: /pay, repeat: never, timeout_s: 10, OUTCOME}
workspaces:
  ngo: {rate_per_s: 100, burst: 100, max_wait_ms: 20000}
  other: {rate_per_s: 100, burst: 100, max_wait_ms: 20000}
program: {budget_micros: 100000, idle_timeout_s: 600}
"""


class RecordedSession:
    """
    A fleet with a transcript of the calls and their answers.

    Generated identifiers are replaced by numbers in order of appearance.
    """

    def __init__(self, fleet: LocalFleet) -> None:
        self.fleet = fleet
        self.keys: dict[str, str] = {}
        self.transcript: list[str] = []

    @property
    def tool(self) -> ToolService:
        return self.fleet.upstreams.tools["http://tool-1"]

    @property
    def engines(self) -> list[ModelEngine]:
        return list(self.fleet.upstreams.engines.values())

    def owner_name(self, program: str, workspace: str = "ngo") -> str:
        number = partition_of(workspace, program)
        return self.fleet.owner_of(lambda state: state.owners.partition(number))

    def committer_name(self, program: str, workspace: str = "ngo") -> str:
        stream = partition_of(workspace, program) % 4
        return self.fleet.owner_of(lambda state: state.owners.stream(stream))

    async def wait_until(self, condition, seconds=30.0):
        for _ in range(int(seconds / 0.005)):
            if condition():
                return
            await asyncio.sleep(0.005)
        raise AssertionError("the condition was not met in time")

    def vm_other_than(self, *names: str) -> str:
        return next(name for name in self.fleet.nodes if name not in names)

    async def call(self, route, body, program="", vm="", workspace="ngo", **fields):
        """Makes a call and records its answer; returns the outcome or the refusal."""
        if route == "chat":
            tokens = fields.pop("tokens", 3)
            message = {"role": "user", "content": body}
            data = json.dumps({"messages": [message], "max_tokens": tokens}).encode()
        else:
            data = body.encode()
        key = self.keys[workspace]
        request = CallerRequest(key, "desk", route, data, program_id=program, **fields)
        summary = f"{workspace}: {route} {body!r} {program}"
        summary += f" key={request.idempotency_key}" if request.idempotency_key else ""
        summary += " sealed" if request.sealed else ""
        try:
            _, answer = await self.fleet.call(vm or self.vm_other_than(), request)
        except Refusal as error:
            self.record_line(f"{summary} -> {error.code} not_run={error.not_run}")
            return error
        self.record_line(
            f"{summary} -> {answer.outcome} {answer.body} charge={answer.charge_micros}"
            f"{'' if answer.durable else ' not durable'}"
            f"{' replayed' if answer.replayed else ''}"
        )
        return answer

    async def look_up_call(self, reference, program, workspace="ngo", vm=""):
        """Looks up a call as `GET /v1/calls/REFERENCE` does, and records the answer."""
        entry = self.fleet.nodes[vm or self.vm_other_than()].entry
        query = entry.query(self.keys[workspace], program, f"call:{reference}")
        try:
            call = json.loads(await query)
        except Refusal as error:
            self.record_line(
                f"look up {reference} -> {error.code} not_run={error.not_run}"
            )
            return
        body = f"{call['outcome']} {call.get('body')} charge={call['charge_micros']}"
        self.record_line(f"look up {reference} -> {body}")

    async def query_program(self, program, workspace="ngo", action="read"):
        """Returns a program as `GET /v1/programs/ID` does."""
        entry = self.fleet.nodes[self.vm_other_than()].entry
        return json.loads(await entry.query(self.keys[workspace], program, action))

    def record_line(self, line: str) -> None:
        self.transcript.append(line)

    def transcript_text(self) -> str:
        """Returns the transcript, followed by the calls that upstreams received."""
        upstream_lines = [
            f"tool saw {path} {body!r}" for _, path, body in self.tool.seen
        ]
        for name, engine in zip(("run-1", "run-2"), self.engines, strict=True):
            upstream_lines += [
                f"{name} saw {call.session}: {call.prompt!r}, {call.tokens} tokens"
                f"{', ' + call.ended if call.tokens < call.max_tokens else ''}"
                for call in engine.seen
            ]
        id_numbers: dict[str, int] = {}
        return re.sub(
            r"(?<=-)[0-9a-f]{16,}",
            lambda match: str(id_numbers.setdefault(match[0], len(id_numbers) + 1)),
            "\n".join([*self.transcript, *upstream_lines]) + "\n",
        )


@pytest.fixture
def start_session():
    """Returns a context manager that starts a fleet with a document and API keys."""

    @asynccontextmanager
    async def start_fleet(size: int = 4, outcome: str = "", **fields):
        async with LocalFleet(size, **fields) as fleet:
            fleet.upstreams.engines = {
                f"http://run-{index}": ModelEngine(EngineSettings(name=f"run-{index}"))
                for index in (1, 2)
            }
            fleet.upstreams.tools = {"http://tool-1": ToolService()}
            document = DOCUMENT.replace(", OUTCOME", f", {outcome}" if outcome else "")
            await fleet.apply("desk", document)
            session = RecordedSession(fleet)
            for workspace in ("ngo", "other"):
                session.keys[workspace] = await fleet.give_key(workspace)
            yield session

    return start_fleet
