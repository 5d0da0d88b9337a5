"""Handles queries about programs at the VM that owns them."""

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
from damasksaddle_node.programs.engine_memory import program_finished_record
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.partition_manager import PartitionManager
from damasksaddle_node.programs.records import CallFinished, Outcome, ProgramStarted
from damasksaddle_node.programs.state import Program, root_program_id
from damasksaddle_protocol import ProgramAnswer, ProgramQuery

# Prefix of the action that queries one call by its call id or idempotency key.
CALL_ACTION_PREFIX = "call:"


class ProgramQueries:
    """Starts, reads, lists, explains and ends programs in this VM's partitions."""

    def __init__(
        self, dependencies: CallDependencies, partition_manager: PartitionManager
    ) -> None:
        self._dependencies = dependencies
        self._fleet = dependencies.fleet
        self._partition_manager = partition_manager

    def register(self, handlers: Handlers) -> None:
        """Registers the handler of queries."""
        handlers.add(ProgramQuery, self.on_query)

    async def on_query(self, message: ProgramQuery, sender: Sender) -> ProgramAnswer:
        """Answers a query; raises `ProgramNotFound` or `CallNotFound`."""
        match message.action:
            case "open":
                await self._partition_manager.open_partition(int(message.program_id))
                body: Any = {}
            case "list":
                body = self._list_programs(message.workspace)
            case _:
                body = await self._query_program(message)
        return ProgramAnswer(json.dumps(body).encode())

    async def _query_program(self, message: ProgramQuery) -> dict[str, Any]:
        self._dependencies.check_lease_and_freshness()
        number = partition_of(message.workspace, message.program_id)
        partition = await self._partition_manager.open_partition(number)
        key = (message.workspace, message.program_id)
        if message.action.startswith(CALL_ACTION_PREFIX):
            reference = message.action.removeprefix(CALL_ACTION_PREFIX)
            return _call_as_json(partition, key, reference)
        if message.action == "start":
            await self._start_program(partition, message)
        program = partition.state.programs.get(key)
        if program is None:
            return _dropped_program_as_json(partition, key)
        if message.action == "end":
            return await self._end_program(partition, program)
        if message.action == "explain":
            return program_with_traces(partition, program)
        return program_with_history(partition, program)

    async def _start_program(self, partition: Partition, message: ProgramQuery) -> None:
        """Starts a program; idempotent as long as the budget is the same."""
        document = self._fleet.state.document(message.service)
        if document is None:
            raise RouteNotFound(f"there is no service {message.service}")
        budget = document.program.budget_micros
        if message.budget_micros >= 0:
            budget = min(budget, message.budget_micros)
        state = partition.state
        existing = state.programs.get((message.workspace, message.program_id))
        if existing is not None:
            account = state.account(message.workspace, message.program_id)
            if existing.end_reason or account.budget_micros != budget:
                raise ProgramExists
            return
        await self._dependencies.limiter.acquire(message.workspace)
        record = ProgramStarted(
            new_id("record"),
            message.workspace,
            message.program_id,
            message.service,
            budget,
            unix_s(),
        )
        pending = partition.add(record)
        wait_s = self._dependencies.settings.timing.durable_wait_s
        await asyncio.wait([pending.done], timeout=wait_s)

    def _list_programs(self, workspace: str) -> list[dict[str, Any]]:
        return [
            program_summary(partition, program)
            for partition in self._partition_manager.partitions.values()
            if not partition.lost
            for program in partition.state.programs.values()
            if workspace in ("", program.workspace)
        ]

    async def _end_program(
        self, partition: Partition, program: Program
    ) -> dict[str, Any]:
        pending = None
        for member in partition.state.program_tree(program):
            async with member.lock:
                if not member.end_reason:
                    pending = partition.add(
                        program_finished_record(member, "ended by its caller")
                    )
        if pending is not None:
            wait_s = self._dependencies.settings.timing.durable_wait_s
            await asyncio.wait([pending.done], timeout=wait_s)
        return program_with_history(partition, program)


def _call_as_json(
    partition: Partition, key: tuple[str, str], reference: str
) -> dict[str, Any]:
    """Returns a call as JSON, by its call id or retry key; raises `CallNotFound`."""
    workspace, program_id = key
    state = partition.state
    retry_scope = (workspace, root_program_id(program_id), reference)
    call_id = state.call_ids_by_retry_key.get(retry_scope, reference)
    record = state.finished_calls.get(call_id) or state.intents.get(call_id)
    if (
        record is None
        or (record.workspace, root_program_id(record.program_id)) != retry_scope[:2]
    ):
        raise CallNotFound
    body: dict[str, Any] = {
        "call_id": record.call_id,
        "program_id": record.program_id,
        "route": record.route,
        "upstream": record.upstream,
        "outcome": "running",
        "durable": partition.find_pending(record) is None,
    }
    if isinstance(record, CallFinished):
        body["outcome"] = record.outcome
        body["charge_micros"] = record.charge_micros
        if record.outcome is not Outcome.UNKNOWN:
            body["http_status"] = record.http_status
            body["content_type"] = record.content_type
            body["body"] = record.body
    return body


def _dropped_program_as_json(
    partition: Partition, key: tuple[str, str]
) -> dict[str, Any]:
    """
    Returns a program as JSON that ended and whose history was dropped.

    Raises `ProgramNotFound`.
    """
    end_record = partition.state.ended_programs.get(key)
    if end_record is None:
        raise ProgramNotFound
    workspace, program_id = key
    return {
        "workspace": workspace,
        "program_id": program_id,
        "ended": end_record.reason,
        "dropped": True,
    }


def program_summary(partition: Partition, program: Program) -> dict[str, Any]:
    """Returns a program as JSON, without its history."""
    account = partition.state.account(program.workspace, program.program_id)
    return {
        "program_id": program.program_id,
        "workspace": program.workspace,
        "service": program.service,
        "turns": len(program.calls),
        "ended": program.end_reason,
        "budget_micros": account.budget_micros,
        "spent_micros": account.spent_micros,
        "reserved_micros": account.reserved_micros,
        "history_bytes": program.history_bytes,
        "engines": sorted(program.engines),
        "partition": partition.number,
    }


def program_with_history(partition: Partition, program: Program) -> dict[str, Any]:
    """Returns a program as JSON, with its history."""
    messages = [json.loads(message) for message in program.messages]
    return {**program_summary(partition, program), "messages": messages}


def program_with_traces(partition: Partition, program: Program) -> dict[str, Any]:
    """Returns a program as JSON, with the placement and waiting times of each call."""
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
    return {**program_summary(partition, program), "calls": calls}
