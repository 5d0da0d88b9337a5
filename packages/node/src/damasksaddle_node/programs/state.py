"""The state of a partition's programs, built by applying its records in order."""

import asyncio
from dataclasses import dataclass, field, replace

from damasksaddle_node.programs.records import (
    CallFinished,
    CallIntended,
    EngineReleased,
    EnginesSuspected,
    Outcome,
    ProgramFinished,
    ProgramRecord,
    ProgramStarted,
    Trace,
)

ProgramKey = tuple[str, str]

# The end reason of a program that consists of a single call.
SINGLE_CALL = "single call"
# How long ended programs can be read.
PROGRAM_RETENTION_S = 600
SINGLE_CALL_RETENTION_S = 60
# How long answers for idempotency keys, calls of unknown outcome, and the ids of ended
# programs are retained.
ANSWER_RETENTION_S = 24 * 3600


def is_retained(record: CallFinished) -> bool:
    """Returns whether a call is retained after its program was dropped."""
    has_idempotency_key = record.idempotency_key != record.call_id
    return has_idempotency_key or record.outcome is Outcome.UNKNOWN


def root_program_id(program_id: str) -> str:
    """Returns the id of a sub-agent's root program: `ROOT` of `ROOT/NAME`."""
    return program_id.partition("/")[0]


@dataclass(slots=True)
class Account:
    """
    The budget account of a root program and its sub-agents, in micros (millionths).

    `unknown_micros` is reserved for calls whose unknown outcome may be resolved later.
    """

    budget_micros: int
    spent_micros: int = 0
    reserved_micros: int = 0
    unknown_micros: int = 0

    @property
    def available_micros(self) -> int:
        """The amount that may still be reserved."""
        return (
            self.budget_micros
            - self.spent_micros
            - self.reserved_micros
            - self.unknown_micros
        )


@dataclass(slots=True)
class Program:
    """One program; `lock` is held while a call runs, so that calls run in order."""

    workspace: str
    program_id: str
    service: str
    started_at_unix_s: int
    messages: list[str] = field(default_factory=list)
    sequence: int = 0
    last_turn: str = ""
    attained_tokens: int = 0
    last_upstream: str = ""
    engines: set[str] = field(default_factory=set)
    calls: list[CallFinished] = field(default_factory=list)
    end_reason: str = ""
    ended_at_unix_s: int = 0
    last_used_s: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def history_bytes(self) -> int:
        """The size of the history in bytes."""
        return sum(len(message) for message in self.messages)


@dataclass(slots=True)
class PartitionState:
    """The programs of one partition, with their accounts, intents and answers."""

    programs: dict[ProgramKey, Program] = field(default_factory=dict)
    accounts: dict[ProgramKey, Account] = field(default_factory=dict)
    intents: dict[str, CallIntended] = field(default_factory=dict)
    finished_calls: dict[str, CallFinished] = field(default_factory=dict)
    unknown_outcomes: dict[str, CallFinished] = field(default_factory=dict)
    call_ids_by_retry_key: dict[tuple[str, str, str], str] = field(default_factory=dict)
    ended_programs: dict[ProgramKey, ProgramFinished] = field(default_factory=dict)

    def apply(self, record: ProgramRecord) -> bool:
        """
        Applies a record; returns False if it changes nothing.

        Applying is idempotent, because records may occur twice: an append is repeated
        when its answer is lost, and callers send sealed records with several calls.
        """
        match record:
            case ProgramStarted():
                return self._apply_program_started(record)
            case CallIntended():
                return self._apply_intent(record)
            case CallFinished():
                return self._apply_call_finished(record)
        program = self.programs.get((record.workspace, record.program_id))
        if program is None:
            return False
        match record:
            case ProgramFinished():
                if program.end_reason:
                    return False
                program.end_reason = record.reason
                program.ended_at_unix_s = record.at_unix_s
            case EngineReleased():
                if record.upstream not in program.engines:
                    return False
                program.engines.discard(record.upstream)
            case EnginesSuspected():
                if program.engines.issuperset(record.engines):
                    return False
                program.engines.update(record.engines)
        return True

    def _apply_intent(self, record: CallIntended) -> bool:
        if record.call_id in self.intents or record.call_id in self.finished_calls:
            return False
        self.intents[record.call_id] = record
        self._index_retry_key(record)
        return True

    def _apply_program_started(self, record: ProgramStarted) -> bool:
        key = (record.workspace, record.program_id)
        if key in self.programs or key in self.ended_programs:
            # During a replay, an earlier program with this id may have expired by the
            # time of this record.
            self.drop_expired(record.at_unix_s)
            if key in self.programs or key in self.ended_programs:
                return False
        self.programs[key] = Program(
            record.workspace, record.program_id, record.service, record.at_unix_s
        )
        root_key = (record.workspace, root_program_id(record.program_id))
        self.accounts.setdefault(root_key, Account(record.budget_micros))
        return True

    def _index_retry_key(self, record: CallIntended | CallFinished) -> None:
        if record.idempotency_key:
            key = self.retry_scope(record)
            self.call_ids_by_retry_key[key] = record.call_id

    @staticmethod
    def retry_scope(record: CallIntended | CallFinished) -> tuple[str, str, str]:
        """Returns the workspace, root program and retry key of a record."""
        root = root_program_id(record.program_id)
        return (record.workspace, root, record.idempotency_key)

    def _apply_call_finished(self, record: CallFinished) -> bool:
        program = self.programs.get((record.workspace, record.program_id))
        earlier = self.finished_calls.get(record.call_id)
        if earlier is not None:
            if (
                earlier.call_id not in self.unknown_outcomes
                or record.outcome is not Outcome.OK
            ):
                return False
            self._resolve_outcome(program, earlier, record)
            return True
        had_intent = self.intents.pop(record.call_id, None) is not None
        if record.outcome is Outcome.NOT_RUN:
            self.call_ids_by_retry_key.pop(self.retry_scope(record), None)
            return had_intent
        if program is None:
            return False
        self.add_call(program, record)
        account = self.account(record.workspace, record.program_id)
        account.spent_micros += record.charge_micros
        if record.outcome is Outcome.UNKNOWN:
            account.unknown_micros += record.reserved_micros
        return True

    def add_call(self, program: Program, record: CallFinished) -> None:
        """Adds a finished call to its program without booking its charge."""
        self.index_answer(record)
        program.calls.append(record)
        self._extend_history(program, record)
        program.attained_tokens += record.prompt_tokens + record.output_tokens
        if record.outcome is Outcome.OK:
            program.last_upstream = record.upstream
        program.engines.update(record.engines)

    def index_answer(self, record: CallFinished) -> None:
        """Indexes a call's answer by its call id and its retry key."""
        self.finished_calls[record.call_id] = record
        self._index_retry_key(record)
        if record.outcome is Outcome.UNKNOWN:
            self.unknown_outcomes[record.call_id] = record

    def has_answer_for(self, retry_scope: tuple[str, str, str]) -> bool:
        """Returns whether an answer is stored for a retry key."""
        return self.call_ids_by_retry_key.get(retry_scope) in self.finished_calls

    def drop_expired(self, now_unix_s: int) -> None:
        """Drops ended programs and answers after their retention times."""
        for key, program in list(self.programs.items()):
            age_s = now_unix_s - program.ended_at_unix_s
            is_single_call = program.end_reason == SINGLE_CALL
            retention_s = (
                SINGLE_CALL_RETENTION_S if is_single_call else PROGRAM_RETENTION_S
            )
            if program.end_reason and not program.engines and age_s > retention_s:
                self._drop_program(key, program)
        oldest_unix_s = now_unix_s - ANSWER_RETENTION_S
        for call_id, record in list(self.finished_calls.items()):
            key = (record.workspace, record.program_id)
            if record.at_unix_s < oldest_unix_s and key not in self.programs:
                self._remove_answer(call_id)
        for key, end_record in list(self.ended_programs.items()):
            if end_record.at_unix_s < oldest_unix_s:
                del self.ended_programs[key]
                self._drop_account(key)

    def _drop_program(self, key: ProgramKey, program: Program) -> None:
        if program.lock.locked():
            return
        del self.programs[key]
        if program.end_reason != SINGLE_CALL:
            self.ended_programs[key] = ProgramFinished(
                "", *key, program.end_reason, program.ended_at_unix_s
            )
        for record in program.calls:
            if is_retained(record):
                self.finished_calls[record.call_id] = replace(
                    record, messages=[], turn=False, engines=[], trace=Trace()
                )
            else:
                self._remove_answer(record.call_id)
        self._drop_account(key)

    def _drop_account(self, key: ProgramKey) -> None:
        """Drops the account of a program tree once all its programs are dropped."""
        root_key = (key[0], root_program_id(key[1]))
        remaining = [*self.programs, *self.ended_programs]
        if all(
            (workspace, root_program_id(name)) != root_key
            for workspace, name in remaining
        ):
            self.accounts.pop(root_key, None)

    def _remove_answer(self, call_id: str) -> None:
        record = self.finished_calls.pop(call_id)
        self.unknown_outcomes.pop(call_id, None)
        retry_scope = self.retry_scope(record)
        if self.call_ids_by_retry_key.get(retry_scope) == call_id:
            del self.call_ids_by_retry_key[retry_scope]

    @staticmethod
    def _extend_history(program: Program, record: CallFinished) -> None:
        # A turn that does not follow the last one ran on a history that was lost or
        # replaced. Its charge and its answer count, but its messages are not added.
        if record.turn and record.follows == program.last_turn:
            program.messages.extend(record.history_messages())
            program.sequence = record.sequence
            program.last_turn = record.call_id

    def _resolve_outcome(
        self, program: Program | None, earlier: CallFinished, record: CallFinished
    ) -> None:
        """Replaces an unknown outcome by one that is known now."""
        del self.unknown_outcomes[earlier.call_id]
        self.finished_calls[record.call_id] = record
        if program is None:
            return
        program.calls[program.calls.index(earlier)] = record
        account = self.account(record.workspace, record.program_id)
        account.unknown_micros -= earlier.reserved_micros
        account.spent_micros += record.charge_micros

    def program_tree(self, parent: Program) -> list[Program]:
        """Returns a root program with its sub-agents, or a sub-agent alone."""
        return [
            program
            for (workspace, program_id), program in self.programs.items()
            if workspace == parent.workspace
            and parent.program_id in (program_id, root_program_id(program_id))
        ]

    def account(self, workspace: str, program_id: str) -> Account:
        """Returns the account that a program is charged to."""
        return self.accounts[(workspace, root_program_id(program_id))]
