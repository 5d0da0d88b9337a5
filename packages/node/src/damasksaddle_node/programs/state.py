"""The state of a partition's programs: a fold of its records."""

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

# Why a program of a single call ended.
SINGLE_CALL = "single call"
# Ended programs can be read for this long.
PROGRAM_RETENTION_S = 600
SINGLE_RETENTION_S = 60
# Answers for idempotency keys, calls of unknown outcome, and the fact that a program
# has ended are kept for this long.
ANSWER_RETENTION_S = 24 * 3600


def is_kept(record: CallFinished) -> bool:
    """Tells whether a call stays known after its program was dropped."""
    keyed = record.idempotency_key != record.call_id
    return keyed or record.outcome is Outcome.UNKNOWN


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
    ended_at_unix_s: int = 0
    touched_s: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    @property
    def history_bytes(self) -> int:
        """The size of the history."""
        return sum(len(message) for message in self.messages)


@dataclass(slots=True)
class PartitionState:
    """The programs of one partition."""

    programs: dict[ProgramKey, Program] = field(default_factory=dict)
    accounts: dict[ProgramKey, Account] = field(default_factory=dict)
    intents: dict[str, CallIntended] = field(default_factory=dict)
    finished: dict[str, CallFinished] = field(default_factory=dict)
    unknown: dict[str, CallFinished] = field(default_factory=dict)
    by_idempotency_key: dict[tuple[str, str, str], str] = field(default_factory=dict)
    ended: dict[ProgramKey, ProgramFinished] = field(default_factory=dict)

    def apply(self, record: ProgramRecord) -> bool:
        """
        Applies a record; returns False if it says nothing new.

        A record may come twice: its append is repeated when an answer is lost, and
        callers send sealed records with several calls.
        """
        match record:
            case ProgramStarted():
                return self._start(record)
            case CallIntended():
                return self._intend(record)
            case CallFinished():
                return self._finish_call(record)
        program = self.programs.get((record.workspace, record.program_id))
        if program is None:
            return False
        match record:
            case ProgramFinished():
                if program.ended:
                    return False
                program.ended = record.reason
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

    def _intend(self, record: CallIntended) -> bool:
        if record.call_id in self.intents or record.call_id in self.finished:
            return False
        self.intents[record.call_id] = record
        self._remember_key(record)
        return True

    def _start(self, record: ProgramStarted) -> bool:
        key = (record.workspace, record.program_id)
        if key in self.programs or key in self.ended:
            # In a replay the earlier program of this id may have expired by then.
            self.expire(record.at_unix_s)
            if key in self.programs or key in self.ended:
                return False
        self.programs[key] = Program(
            record.workspace, record.program_id, record.service, record.at_unix_s
        )
        root = (record.workspace, root_of(record.program_id))
        self.accounts.setdefault(root, Account(record.budget_micros))
        return True

    def _remember_key(self, record: CallIntended | CallFinished) -> None:
        if record.idempotency_key:
            key = self.idempotency(record)
            self.by_idempotency_key[key] = record.call_id

    @staticmethod
    def idempotency(record: CallIntended | CallFinished) -> tuple[str, str, str]:
        """Returns the scope and value of a record's idempotency key."""
        root = root_of(record.program_id)
        return (record.workspace, root, record.idempotency_key)

    def _finish_call(self, record: CallFinished) -> bool:
        program = self.programs.get((record.workspace, record.program_id))
        earlier = self.finished.get(record.call_id)
        if earlier is not None:
            if earlier.call_id not in self.unknown or record.outcome is not Outcome.OK:
                return False
            self._settle(program, earlier, record)
            return True
        intended = self.intents.pop(record.call_id, None) is not None
        if record.outcome is Outcome.NOT_RUN:
            self.by_idempotency_key.pop(self.idempotency(record), None)
            return intended
        if program is None:
            return False
        self.add_call(program, record)
        account = self.account(record.workspace, record.program_id)
        account.spent_micros += record.charge_micros
        if record.outcome is Outcome.UNKNOWN:
            account.unknown_micros += record.reserved_micros
        return True

    def add_call(self, program: Program, record: CallFinished) -> None:
        """Adds a finished call to its program, without booking its charge."""
        self.remember(record)
        program.calls.append(record)
        self._extend_history(program, record)
        program.attained_tokens += record.prompt_tokens + record.output_tokens
        if record.outcome is Outcome.OK:
            program.upstream = record.upstream
        program.engines.update(record.engines)

    def remember(self, record: CallFinished) -> None:
        """Makes a call's answer findable by its call id and its retry key."""
        self.finished[record.call_id] = record
        self._remember_key(record)
        if record.outcome is Outcome.UNKNOWN:
            self.unknown[record.call_id] = record

    def knows_key(self, scope: tuple[str, str, str]) -> bool:
        """Tells whether an answer is stored for a retry key."""
        return self.by_idempotency_key.get(scope) in self.finished

    def expire(self, now_unix_s: int) -> None:
        """Drops ended programs and old answers, see the retention times above."""
        for key, program in list(self.programs.items()):
            age_s = now_unix_s - program.ended_at_unix_s
            single = program.ended == SINGLE_CALL
            retention_s = SINGLE_RETENTION_S if single else PROGRAM_RETENTION_S
            if program.ended and not program.engines and age_s > retention_s:
                self._drop(key, program)
        oldest_unix_s = now_unix_s - ANSWER_RETENTION_S
        for call_id, record in list(self.finished.items()):
            key = (record.workspace, record.program_id)
            if record.at_unix_s < oldest_unix_s and key not in self.programs:
                self._forget(call_id)
        for key, end in list(self.ended.items()):
            if end.at_unix_s < oldest_unix_s:
                del self.ended[key]
                self._drop_account(key)

    def _drop(self, key: ProgramKey, program: Program) -> None:
        if program.lock.locked():
            return
        del self.programs[key]
        if program.ended != SINGLE_CALL:
            self.ended[key] = ProgramFinished(
                "", *key, program.ended, program.ended_at_unix_s
            )
        for record in program.calls:
            if is_kept(record):
                self.finished[record.call_id] = replace(
                    record, messages=[], turn=False, engines=[], trace=Trace()
                )
            else:
                self._forget(record.call_id)
        self._drop_account(key)

    def _drop_account(self, key: ProgramKey) -> None:
        """Drops the account of a tree of programs that are all forgotten."""
        root = (key[0], root_of(key[1]))
        known = [*self.programs, *self.ended]
        if all((workspace, root_of(name)) != root for workspace, name in known):
            self.accounts.pop(root, None)

    def _forget(self, call_id: str) -> None:
        record = self.finished.pop(call_id)
        self.unknown.pop(call_id, None)
        scope = self.idempotency(record)
        if self.by_idempotency_key.get(scope) == call_id:
            del self.by_idempotency_key[scope]

    @staticmethod
    def _extend_history(program: Program, record: CallFinished) -> None:
        # A turn that does not follow the last one ran on a history that was lost or
        # replaced: its charge and its answer count, its messages do not.
        if record.turn and record.follows == program.last_turn:
            program.messages.extend(record.history())
            program.sequence = record.sequence
            program.last_turn = record.call_id

    def _settle(
        self, program: Program | None, earlier: CallFinished, record: CallFinished
    ) -> None:
        """Replaces an unknown outcome by the one that the upstream reported."""
        del self.unknown[earlier.call_id]
        self.finished[record.call_id] = record
        if program is None:
            return
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
