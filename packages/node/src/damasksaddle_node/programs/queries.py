"""Queries about programs, answered by the VM that owns them."""

import asyncio
import json
from dataclasses import asdict
from typing import Any

from damasksaddle.exceptions import (
    CallNotFound,
    ProgramExists,
    ProgramNotFound,
    RouteNotFound,
)
from damasksaddle.utils import new_id, partition_of, unix_s
from damasksaddle_node.peers import Handlers, Sender
from damasksaddle_node.programs.context import CallDependencies
from damasksaddle_node.programs.engines import finished
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.partition_manager import PartitionManager
from damasksaddle_node.programs.records import CallFinished, Outcome, ProgramStarted
from damasksaddle_node.programs.state import Program, root_of
from damasksaddle_protocol import ProgramAnswer, ProgramQuery

# A query for one call; the call id or idempotency key follows.
CALL_ACTION = "call:"


class ProgramQueries:
    """Starts, reads, lists, explains and ends programs of this VM's partitions."""

    def __init__(
        self, services: CallDependencies, partition_manager: PartitionManager
    ) -> None:
        self._services = services
        self._fleet = services.fleet
        self._partition_manager = partition_manager

    def register(self, handlers: Handlers) -> None:
        """Registers the handler of queries."""
        handlers.add(ProgramQuery, self.on_query)

    async def on_query(self, message: ProgramQuery, sender: Sender) -> ProgramAnswer:
        """Answers a query; raises `ProgramNotFound` or `CallNotFound`."""
        match message.action:
            case "open":
                await self._partition_manager.opened(int(message.program_id))
                body: Any = {}
            case "list":
                body = self._list(message.workspace)
            case _:
                body = await self._about_one(message)
        return ProgramAnswer(json.dumps(body).encode())

    async def _about_one(self, message: ProgramQuery) -> dict[str, Any]:
        self._services.guard()
        number = partition_of(message.workspace, message.program_id)
        partition = await self._partition_manager.opened(number)
        key = (message.workspace, message.program_id)
        if message.action.startswith(CALL_ACTION):
            reference = message.action.removeprefix(CALL_ACTION)
            return _call(partition, key, reference)
        if message.action == "start":
            await self._start(partition, message)
        program = partition.state.programs.get(key)
        if program is None:
            return _ended(partition, key)
        if message.action == "end":
            return await self._end(partition, program)
        if message.action == "explain":
            return explain(partition, program)
        return read(partition, program)

    async def _start(self, partition: Partition, message: ProgramQuery) -> None:
        """Starts a program; a repeat with the same budget changes nothing."""
        document = self._fleet.state.document(message.service)
        if document is None:
            raise RouteNotFound(f"there is no service {message.service}")
        budget = document.program.budget_micros
        if message.budget_micros >= 0:
            budget = min(budget, message.budget_micros)
        state = partition.state
        known = state.programs.get((message.workspace, message.program_id))
        if known is not None:
            account = state.account(message.workspace, message.program_id)
            if known.ended or account.budget_micros != budget:
                raise ProgramExists
            return
        await self._services.limiter.acquire(message.workspace)
        record = ProgramStarted(
            new_id("record"),
            message.workspace,
            message.program_id,
            message.service,
            budget,
            unix_s(),
        )
        waiting = partition.add(record)
        wait_s = self._services.settings.timing.durable_wait_s
        await asyncio.wait([waiting.done], timeout=wait_s)

    def _list(self, workspace: str) -> list[dict[str, Any]]:
        return [
            summary(partition, program)
            for partition in self._partition_manager.partitions.values()
            if not partition.lost
            for program in partition.state.programs.values()
            if workspace in ("", program.workspace)
        ]

    async def _end(self, partition: Partition, program: Program) -> dict[str, Any]:
        waiting = None
        for member in partition.state.family(program):
            async with member.lock:
                if not member.ended:
                    waiting = partition.add(finished(member, "ended by its caller"))
        if waiting is not None:
            wait_s = self._services.settings.timing.durable_wait_s
            await asyncio.wait([waiting.done], timeout=wait_s)
        return read(partition, program)


def _call(partition: Partition, key: tuple[str, str], reference: str) -> dict[str, Any]:
    """Returns a call as JSON, by its call id or retry key; raises `CallNotFound`."""
    workspace, program_id = key
    state = partition.state
    scope = (workspace, root_of(program_id), reference)
    call_id = state.by_idempotency_key.get(scope, reference)
    record = state.finished.get(call_id) or state.intents.get(call_id)
    if record is None or (record.workspace, root_of(record.program_id)) != scope[:2]:
        raise CallNotFound
    body: dict[str, Any] = {
        "call_id": record.call_id,
        "program_id": record.program_id,
        "route": record.route,
        "upstream": record.upstream,
        "outcome": "running",
        "durable": partition.waiting_for(record) is None,
    }
    if isinstance(record, CallFinished):
        body["outcome"] = record.outcome
        body["charge_micros"] = record.charge_micros
        if record.outcome is not Outcome.UNKNOWN:
            body["http_status"] = record.http_status
            body["content_type"] = record.content_type
            body["body"] = record.body
    return body


def _ended(partition: Partition, key: tuple[str, str]) -> dict[str, Any]:
    """Returns what is left of a program that ended and whose history was dropped."""
    end = partition.state.ended.get(key)
    if end is None:
        raise ProgramNotFound
    workspace, program_id = key
    return {
        "workspace": workspace,
        "program_id": program_id,
        "ended": end.reason,
        "dropped": True,
    }


def summary(partition: Partition, program: Program) -> dict[str, Any]:
    """Returns a program as JSON, without its history."""
    account = partition.state.account(program.workspace, program.program_id)
    return {
        "program_id": program.program_id,
        "workspace": program.workspace,
        "service": program.service,
        "turns": len(program.calls),
        "ended": program.ended,
        "budget_micros": account.budget_micros,
        "spent_micros": account.spent_micros,
        "reserved_micros": account.reserved_micros,
        "history_bytes": program.history_bytes,
        "engines": sorted(program.engines),
        "partition": partition.number,
    }


def read(partition: Partition, program: Program) -> dict[str, Any]:
    """Returns a program as JSON, with its history."""
    messages = [json.loads(message) for message in program.messages]
    return {**summary(partition, program), "messages": messages}


def explain(partition: Partition, program: Program) -> dict[str, Any]:
    """Returns a program as JSON, with why each call went where it went."""
    calls = [
        {
            "call_id": call.call_id,
            "route": call.route,
            "upstream": call.upstream,
            "outcome": call.outcome,
            "charge_micros": call.charge_micros,
            "prompt_tokens": call.prompt_tokens,
            "cached_tokens": call.cached_tokens,
            "output_tokens": call.output_tokens,
            **asdict(call.trace),
        }
        for call in program.calls
    ]
    return {**summary(partition, program), "calls": calls}
