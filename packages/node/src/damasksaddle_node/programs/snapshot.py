"""Snapshots of a partition in the object store, which shorten a takeover."""

import asyncio

from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass

from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import (
    CallFinished,
    CallIntended,
    Outcome,
    ProgramFinished,
)
from damasksaddle_node.programs.state import Account, PartitionState, Program

# A takeover reads at most about this many records besides the snapshot.
SNAPSHOT_RECORDS = 500
# Records that are in no snapshot keep rows of their stream from being truncated.
SNAPSHOT_PERIOD_S = 600.0


def snapshot_is_due(partition: Partition) -> bool:
    """Tells whether a partition's snapshot should be written."""
    age_s = asyncio.get_running_loop().time() - partition.last_snapshot_s
    records_since_snapshot = partition.records_since_snapshot
    return records_since_snapshot >= SNAPSHOT_RECORDS or (
        records_since_snapshot > 0 and age_s > SNAPSHOT_PERIOD_S
    )


@dataclass(frozen=True, slots=True)
class ProgramSnapshot:
    """One program; its history follows from its calls."""

    workspace: str
    program_id: str
    service: str
    started_at_unix_s: int
    ended: str
    ended_at_unix_s: int
    engines: list[str]
    calls: list[CallFinished]


@dataclass(frozen=True, slots=True)
class AccountSnapshot:
    """The budget of a root program and its sub-agents."""

    workspace: str
    root: str
    budget_micros: int
    spent_micros: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """
    A partition after the row at `position` of its stream.

    `answers` are calls whose program was dropped, and `ended` such programs.
    """

    position: int
    programs: list[ProgramSnapshot]
    accounts: list[AccountSnapshot]
    intents: list[CallIntended]
    answers: list[CallFinished]
    ended: list[ProgramFinished]


_ADAPTER: TypeAdapter[Snapshot] = TypeAdapter(Snapshot)


def snapshot_key(partition: int, opened_at: int) -> str:
    """
    Returns the object of a holder's snapshots.

    Each holder writes its own object, so that one that was paused during a write
    cannot replace the snapshot of a later holder.
    """
    return f"partitions/{partition}/{opened_at}"


def dump_snapshot(state: PartitionState, position: int) -> bytes:
    """Returns a state in which all records up to a position are folded."""
    programs = [
        ProgramSnapshot(
            program.workspace,
            program.program_id,
            program.service,
            program.started_at_unix_s,
            program.end_reason,
            program.ended_at_unix_s,
            sorted(program.engines),
            program.calls,
        )
        for program in state.programs.values()
    ]
    accounts = [
        AccountSnapshot(*root_key, account.budget_micros, account.spent_micros)
        for root_key, account in state.accounts.items()
    ]
    answers = [
        record
        for record in state.finished_calls.values()
        if (record.workspace, record.program_id) not in state.programs
    ]
    intents, ended = list(state.intents.values()), list(state.ended_programs.values())
    return _ADAPTER.dump_json(
        Snapshot(position, programs, accounts, intents, answers, ended)
    )


def load_snapshot(data: bytes) -> tuple[int, PartitionState]:
    """Returns the position that a snapshot covers, and the state at it."""
    snapshot = _ADAPTER.validate_json(data)
    state = PartitionState()
    for account in snapshot.accounts:
        state.accounts[(account.workspace, account.root)] = Account(
            account.budget_micros, account.spent_micros
        )
    for record in snapshot.answers:
        state.index_answer(record)
    for program_snapshot in snapshot.programs:
        _restore_program(state, program_snapshot)
    for intent in snapshot.intents:
        state.apply(intent)
    for end_record in snapshot.ended:
        state.ended_programs[(end_record.workspace, end_record.program_id)] = end_record
    return snapshot.position, state


def _restore_program(state: PartitionState, saved: ProgramSnapshot) -> None:
    program = Program(
        saved.workspace,
        saved.program_id,
        saved.service,
        saved.started_at_unix_s,
    )
    state.programs[(saved.workspace, saved.program_id)] = program
    account = state.account(saved.workspace, saved.program_id)
    for record in saved.calls:
        state.add_call(program, record)
        if record.outcome is Outcome.UNKNOWN:
            account.unknown_micros += record.reserved_micros
    program.end_reason, program.ended_at_unix_s = (
        saved.ended,
        saved.ended_at_unix_s,
    )
    program.engines = set(saved.engines)
