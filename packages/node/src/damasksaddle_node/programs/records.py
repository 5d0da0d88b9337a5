"""Program records in the commit streams, and the outcome of a call."""

import base64
import json
from enum import StrEnum
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass


class Outcome(StrEnum):
    """How a call ended."""

    OK = "ok"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


@dataclass(frozen=True, slots=True)
class Trace:
    """The placement of a call, its waiting times, and the VMs that handled it."""

    entry_vm: str = ""
    owner_vm: str = ""
    reason: str = ""
    order_wait_ms: int = 0
    rate_wait_ms: int = 0
    queue_wait_ms: int = 0
    first_token_ms: int = 0
    total_ms: int = 0
    tries: int = 1


@dataclass(frozen=True, slots=True)
class ProgramStarted:
    """A program started; a root program's record sets the budget of its tree."""

    record_id: str
    workspace: str
    program_id: str
    service: str
    budget_micros: int
    at_unix_s: int
    kind: Literal["program_started"] = "program_started"


@dataclass(frozen=True, slots=True)
class CallIntended:
    """A call that must run at most once is about to be sent."""

    record_id: str
    workspace: str
    program_id: str
    call_id: str
    idempotency_key: str
    body_digest: str
    route: str
    upstream: str
    reserved_micros: int
    kind: Literal["call_intended"] = "call_intended"


@dataclass(frozen=True, slots=True)
class CallFinished:
    """
    A call ended. The record is also the charge, and counts once per call id.

    A `turn` appends its `messages`, as JSON texts, and the answer in its body to the
    history. `sequence` numbers the turns, and `follows` is the call id of the previous
    turn. `engines` lists the engines that may hold memory for the program.
    `reserved_micros` is the most that a call of unknown outcome may still cost; a
    later record with the same call id may resolve the outcome. The body is encoded in
    base64 if `binary` is True.
    """

    record_id: str
    workspace: str
    program_id: str
    call_id: str
    idempotency_key: str
    body_digest: str
    route: str
    upstream: str
    outcome: Outcome
    http_status: int
    content_type: str
    body: str
    messages: list[str]
    charge_micros: int
    prompt_tokens: int
    output_tokens: int
    cached_tokens: int
    sequence: int
    at_unix_s: int
    trace: Trace
    engines: list[str] = Field(default_factory=list)
    reserved_micros: int = 0
    follows: str = ""
    binary: bool = False
    turn: bool = False
    kind: Literal["call_finished"] = "call_finished"

    def history_messages(self) -> list[str]:
        """Returns the messages that this call adds to its program's history."""
        if not self.turn:
            return []
        answer = {"role": "assistant", "content": json.loads(self.body)["text"]}
        return [*self.messages, json.dumps(answer)]


@dataclass(frozen=True, slots=True)
class ProgramFinished:
    """A program ended; its engines may still hold memory for it."""

    record_id: str
    workspace: str
    program_id: str
    reason: str
    at_unix_s: int = 0
    kind: Literal["program_finished"] = "program_finished"


@dataclass(frozen=True, slots=True)
class EngineReleased:
    """An engine was told to release the memory of an ended program."""

    record_id: str
    workspace: str
    program_id: str
    upstream: str
    kind: Literal["engine_released"] = "engine_released"


@dataclass(frozen=True, slots=True)
class EnginesSuspected:
    """
    Engines may hold memory for a program although no call record lists them.

    The former owner failed, so its running calls left no records.
    """

    record_id: str
    workspace: str
    program_id: str
    engines: list[str]
    kind: Literal["engines_suspected"] = "engines_suspected"


ProgramRecord = Annotated[
    ProgramStarted
    | CallIntended
    | CallFinished
    | ProgramFinished
    | EngineReleased
    | EnginesSuspected,
    Field(discriminator="kind"),
]
_ADAPTER: TypeAdapter[ProgramRecord] = TypeAdapter(ProgramRecord)


def encode_body(body: bytes) -> tuple[str, bool]:
    """Returns a body as the text of a record, and whether it is in base64."""
    try:
        return body.decode(), False
    except UnicodeDecodeError:
        return base64.b64encode(body).decode(), True


def dump_program_record(record: ProgramRecord) -> str:
    """Returns a record as JSON."""
    return _ADAPTER.dump_json(record).decode()


def load_program_record(text: str) -> ProgramRecord:
    """Returns the record that a JSON text encodes."""
    return _ADAPTER.validate_json(text)


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """
    The result of a call, which its owner returns to the entry VM.

    `durable` is False if the call's record is not in the table yet; `sealed` then
    contains the sealed records that the caller must keep.
    """

    call_id: str
    program_id: str
    outcome: Outcome
    http_status: int
    content_type: str
    body: str
    charge_micros: int
    prompt_tokens: int
    output_tokens: int
    upstream: str
    durable: bool
    sealed: str
    trace: Trace
    replayed: bool = False
    binary: bool = False

    def body_bytes(self) -> bytes:
        """Returns the body as the upstream sent it."""
        return base64.b64decode(self.body) if self.binary else self.body.encode()


CALL_OUTCOME_ADAPTER: TypeAdapter[CallOutcome] = TypeAdapter(CallOutcome)
