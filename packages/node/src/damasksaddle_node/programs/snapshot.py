"""Partition snapshots in the object store, which shorten takeovers."""

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

# Bounds the records that a takeover reads in addition to the snapshot, approximately.
SNAPSHOT_RECORDS = 500
# Bounds how long records that no snapshot covers prevent the truncation of their
# stream.
SNAPSHOT_PERIOD_S = 600.0


def snapshot_is_due(partition: Partition) -> bool:
    """Returns whether a snapshot of the partition should be written."""
    age_s = asyncio.get_running_loop().time() - partition.last_snapshot_s
    records_since_snapshot = partition.records_since_snapshot
    return records_since_snapshot >= SNAPSHOT_RECORDS or (
        records_since_snapshot > 0 and age_s > SNAPSHOT_PERIOD_S
    )


@dataclass(frozen=True, slots=True)
class ProgramSnapshot:
    """One program; its history is derived from its calls."""

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
    """The budget account of a root program and its sub-agents."""

    workspace: str
    root: str
    budget_micros: int
    spent_micros: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """
    The state of a partition after the row at `position` of its stream.

    `answers` contains the retained calls of dropped programs, and `ended` the final
    records of dropped programs.
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
    Returns the object key of a holder's snapshots.

    Each holder writes its own object, so that a holder that was paused during a write
    cannot overwrite the snapshot of a later holder.
    """
    return f"partitions/{partition}/{opened_at}"


def dump_snapshot(state: PartitionState, position: int) -> bytes:
    """Serializes a state to which all records up to a position were applied."""
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
    """Returns the position that a snapshot covers, and the state there."""
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
