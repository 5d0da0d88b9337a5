"""Builds the record of a finished call and the end of its answer."""

import asyncio

from damasksaddle.exceptions import NotRun, OutcomeUnknown
from damasksaddle.utils import new_id, unix_s
from damasksaddle_node.programs.context import JSON_CONTENT_TYPE, CallContext
from damasksaddle_node.programs.partition import PendingRecord
from damasksaddle_node.programs.records import (
    CALL_OUTCOME_ADAPTER,
    CallFinished,
    CallIntended,
    CallOutcome,
    Outcome,
    ProgramRecord,
)
from damasksaddle_protocol import CallEnd

HTTP_OK = 200


def call_finished_record(
    context: CallContext,
    outcome: Outcome,
    *,
    body: str,
    upstream: str,
    http_status: int = HTTP_OK,
    content_type: str = JSON_CONTENT_TYPE,
    messages: list[str] | None = None,
    charge_micros: int = 0,
    engines: list[str] | None = None,
    reserved_micros: int = 0,
    binary: bool = False,
) -> CallFinished:
    """Returns the record of a finished call."""
    context.update_trace(total_ms=context.elapsed_ms())
    return CallFinished(
        record_id=new_id("record"),
        workspace=context.call.workspace,
        program_id=context.program.program_id,
        call_id=context.call.call_id,
        idempotency_key=context.retry_key,
        body_digest=context.body_digest,
        route=context.call.route,
        upstream=upstream,
        outcome=outcome,
        http_status=http_status,
        content_type=content_type,
        body=body,
        messages=messages or [],
        turn=messages is not None,
        charge_micros=charge_micros,
        prompt_tokens=context.output.prompt_tokens,
        output_tokens=context.output.tokens,
        cached_tokens=context.output.cached_tokens,
        sequence=context.program.sequence + (messages is not None),
        at_unix_s=unix_s(),
        trace=context.trace,
        engines=engines or [],
        reserved_micros=reserved_micros,
        follows=context.program.last_turn,
        binary=binary,
    )


async def wait_until_durable(context: CallContext, pending: PendingRecord) -> bool:
    """
    Waits up to `durable_wait_s` for a record to become durable.

    Returns whether it did. Raises `OutcomeUnknown` if the partition was lost before.
    """
    wait_s = context.dependencies.settings.timing.durable_wait_s
    await asyncio.wait([pending.done], timeout=wait_s)
    if not pending.done.done():
        return False
    if pending.done.exception() is not None:
        raise OutcomeUnknown(
            "the call ran, but another VM took over the program before it was recorded",
            not_run=NotRun.UNKNOWN,
        )
    return True


def _must_be_sealed(record: ProgramRecord) -> bool:
    # A call whose intent is not durable is never sent, so callers need not keep it.
    return not isinstance(record, CallIntended) and not (
        isinstance(record, CallFinished) and record.outcome is Outcome.NOT_RUN
    )


def build_call_end(
    context: CallContext, record: CallFinished, durable: bool, replayed: bool = False
) -> CallEnd:
    """
    Returns the final message of a call's answer.

    If the call is not durable yet, the message contains the sealed records that the
    caller must keep.
    """
    sealed = ""
    if not durable:
        sealed = context.dependencies.sealer.seal(
            record.workspace,
            record.program_id,
            [
                pending.text
                for pending in context.partition.pending_records
                if _must_be_sealed(pending.record)
                and pending.record.workspace == record.workspace
                and pending.record.program_id == record.program_id
            ],
        )
    outcome = CallOutcome(
        record.call_id,
        record.program_id,
        record.outcome,
        record.http_status,
        record.content_type,
        record.body,
        record.charge_micros,
        record.prompt_tokens,
        record.output_tokens,
        record.upstream,
        durable,
        sealed,
        record.trace,
        replayed,
        record.binary,
    )
    return CallEnd(CALL_OUTCOME_ADAPTER.dump_json(outcome))
