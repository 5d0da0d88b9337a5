"""The state of a partition's programs: a fold of its records."""

import asyncio
from dataclasses import dataclass, field

from pydantic import TypeAdapter
from pydantic.dataclasses import dataclass as checked

from damasksaddle_node.programs.records import (
    CallFinished,
    CallIntended,
    EngineReleased,
    EnginesSuspected,
    Outcome,
    ProgramFinished,
    ProgramRecord,
    ProgramStarted,
)

ProgramKey = tuple[str, str]


def root_of(program_id: str) -> str:
    """Returns the root program of a sub-agent: `ROOT` of `ROOT/NAME`."""
    return program_id.partition("/")[0]


@dataclass(slots=True)
class Account:
    """
    The budget of a root program and its sub-agents, in millionths.

    `unknown_micros` is set aside for calls whose outcome may still be settled.
    """

    budget_micros: int
    spent_micros: int = 0
    reserved_micros: int = 0
    unknown_micros: int = 0

    @property
    def free_micros(self) -> int:
        """What may still be reserved."""
        return (
            self.budget_micros
            - self.spent_micros
            - self.reserved_micros
            - self.unknown_micros
        )


@dataclass(slots=True)
class Program:
    """One program; `lock` gives its calls their order while they run."""

    workspace: str
    program_id: str
    service: str
    started_at_unix_s: int
    messages: list[str] = field(default_factory=list)
    sequence: int = 0
    last_turn: str = ""
    attained_tokens: int = 0
    upstream: str = ""
    engines: set[str] = field(default_factory=set)
    calls: list[CallFinished] = field(default_factory=list)
    ended: str = ""
    touched_s: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def history_bytes(self) -> int:
        """The size of the history."""
        return sum(len(message) for message in self.messages)


@checked(frozen=True, slots=True)
class Snapshot:
    """The records of a partition up to a position of its stream."""

    position: int
    records: list[str]


SNAPSHOT: TypeAdapter[Snapshot] = TypeAdapter(Snapshot)


@dataclass(slots=True)
class PartitionState:
    """The programs of one partition."""

    programs: dict[ProgramKey, Program] = field(default_factory=dict)
    accounts: dict[ProgramKey, Account] = field(default_factory=dict)
    intents: dict[str, CallIntended] = field(default_factory=dict)
    finished: dict[str, CallFinished] = field(default_factory=dict)
    unknown: dict[str, CallFinished] = field(default_factory=dict)
    by_idempotency_key: dict[tuple[str, str, str], str] = field(default_factory=dict)
    _seen: set[str] = field(default_factory=set)

    def apply(self, record: ProgramRecord) -> bool:
        """Applies a record once; returns False if its id was applied before."""
        if record.record_id in self._seen:
            return False
        self._seen.add(record.record_id)
        match record:
            case ProgramStarted():
                self._start(record)
            case CallIntended():
                self.intents[record.call_id] = record
                self._remember_key(record)
            case CallFinished():
                self._finish_call(record)
            case ProgramFinished():
                program = self.programs.get((record.workspace, record.program_id))
                if program is not None:
                    program.ended = record.reason
            case EngineReleased():
                program = self.programs.get((record.workspace, record.program_id))
                if program is not None:
                    program.engines.discard(record.upstream)
            case EnginesSuspected():
                program = self.programs.get((record.workspace, record.program_id))
                if program is not None:
                    program.engines.update(record.engines)
        return True

    def _start(self, record: ProgramStarted) -> None:
        key = (record.workspace, record.program_id)
        if key in self.programs:
            return
        self.programs[key] = Program(
            record.workspace, record.program_id, record.service, record.at_unix_s
        )
        root = (record.workspace, root_of(record.program_id))
        self.accounts.setdefault(root, Account(record.budget_micros))

    def _remember_key(self, record: CallIntended | CallFinished) -> None:
        if record.idempotency_key:
            key = self.idempotency(record)
            self.by_idempotency_key[key] = record.call_id

    @staticmethod
    def idempotency(record: CallIntended | CallFinished) -> tuple[str, str, str]:
        """Returns the scope and value of a record's idempotency key."""
        root = root_of(record.program_id)
        return (record.workspace, root, record.idempotency_key)

    def _finish_call(self, record: CallFinished) -> None:
        program = self.programs.get((record.workspace, record.program_id))
        if program is None:
            return
        earlier = self.finished.get(record.call_id)
        if earlier is not None:
            if earlier.call_id in self.unknown and record.outcome is Outcome.OK:
                self._settle(program, earlier, record)
            return
        self.intents.pop(record.call_id, None)
        if record.outcome is Outcome.NOT_RUN:
            self.by_idempotency_key.pop(self.idempotency(record), None)
            return
        self.finished[record.call_id] = record
        self._remember_key(record)
        program.calls.append(record)
        self._extend_history(program, record)
        program.attained_tokens += record.prompt_tokens + record.output_tokens
        if record.outcome is Outcome.OK:
            program.upstream = record.upstream
        program.engines.update(record.engines)
        account = self.account(record.workspace, record.program_id)
        account.spent_micros += record.charge_micros
        if record.outcome is Outcome.UNKNOWN:
            self.unknown[record.call_id] = record
            account.unknown_micros += record.reserved_micros

    @staticmethod
    def _extend_history(program: Program, record: CallFinished) -> None:
        # A turn that does not follow the last one ran on a history that was lost or
        # replaced: its charge and its answer count, its messages do not.
        if record.messages and record.follows == program.last_turn:
            program.messages.extend(record.messages)
            program.sequence = record.sequence
            program.last_turn = record.call_id

    def _settle(
        self, program: Program, earlier: CallFinished, record: CallFinished
    ) -> None:
        """Replaces an unknown outcome by the one that the upstream reported."""
        del self.unknown[earlier.call_id]
        self.finished[record.call_id] = record
        program.calls[program.calls.index(earlier)] = record
        account = self.account(record.workspace, record.program_id)
        account.unknown_micros -= earlier.reserved_micros
        account.spent_micros += record.charge_micros

    def family(self, root: Program) -> list[Program]:
        """Returns a root program and its sub-agents, or a sub-agent alone."""
        return [
            program
            for (workspace, program_id), program in self.programs.items()
            if workspace == root.workspace
            and root.program_id in (program_id, root_of(program_id))
        ]

    def account(self, workspace: str, program_id: str) -> Account:
        """Returns the account that a program draws on."""
        return self.accounts[(workspace, root_of(program_id))]
