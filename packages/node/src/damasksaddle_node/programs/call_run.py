"""Runs one call of a program at the program's owner."""

import asyncio
from collections.abc import AsyncGenerator
from copy import copy
from dataclasses import replace

from damasksaddle.config import ProgramLimits, RetryPolicy, RouteKind
from damasksaddle.exceptions import (
    DeadlineExceeded,
    HistoryTooLarge,
    IdempotencyMismatch,
    KeyRejected,
    NotRun,
    OutcomeUnknown,
    ProgramEnded,
    Refusal,
    Stopping,
    StoreUnavailable,
    TurnsExceeded,
)
from damasksaddle.utils import Timing, get_logger, measure, new_id
from damasksaddle_node.programs.budget import release_reservation, reserve_budget
from damasksaddle_node.programs.context import MS_PER_S, CallContext
from damasksaddle_node.programs.engine_memory import program_finished_record
from damasksaddle_node.programs.model_call import ModelCall
from damasksaddle_node.programs.outcome import build_call_end, wait_until_durable
from damasksaddle_node.programs.plain_call import PlainCall
from damasksaddle_node.programs.records import CallFinished, Outcome
from damasksaddle_node.programs.state import SINGLE_CALL, root_program_id
from damasksaddle_protocol import CallChunk, CallEnd, CallRequest

log = get_logger("programs")


class CallRun:
    """
    Runs one call in a separate task.

    The task outlives the caller's connection if the outcome must be recorded.
    `events` relays the answer to the caller.
    """

    def __init__(self, context: CallContext) -> None:
        self._context = context
        self.task = asyncio.create_task(self._run())

    @property
    def call(self) -> CallRequest:
        """The request that is running."""
        return self._context.call

    async def events(self) -> AsyncGenerator[CallChunk | CallEnd, None]:
        """Yields the answer; raises the `Refusal` that ended the call."""
        ended = False
        try:
            while True:
                event = await self._context.events.get()
                if isinstance(event, Refusal):
                    ended = True
                    raise event
                ended = isinstance(event, CallEnd)
                yield event
                if ended:
                    return
        finally:
            # Only with an idempotency key can a disconnected caller fetch the answer
            # later.
            if not ended and not self.call.idempotency_key:
                self.cancel(
                    DeadlineExceeded("the caller disconnected", not_run=NotRun.NO)
                )

    def cancel(self, reason: Refusal) -> None:
        """Cancels the call, unless its outcome must be recorded."""
        context = self._context
        if context.interruptible and not self.task.done():
            # One reason may cancel several calls, and each sets its own `not_run`.
            context.cancel_reason = copy(reason)
            context.interruptible = False
            self.task.cancel()

    async def _run(self) -> None:
        context = self._context
        context.partition.call_started()
        try:
            timeout_s = context.route.timeout_s
            if self.call.timeout_ms:
                timeout_s = min(timeout_s, self.call.timeout_ms / MS_PER_S)
            timer = asyncio.get_running_loop().call_later(
                timeout_s, self.cancel, DeadlineExceeded()
            )
            try:
                end = await self._run_in_order()
            finally:
                timer.cancel()
            context.events.put_nowait(end)
        except Refusal as error:
            context.events.put_nowait(error)
        except asyncio.CancelledError:
            reason = context.cancel_reason or Stopping()
            reason.not_run = NotRun.UNKNOWN if context.sent else NotRun.YES
            context.events.put_nowait(reason)
        except Exception as error:
            log.error(
                "A call failed with an unexpected error.",
                call=self.call.call_id,
                error=repr(error),
            )
            context.events.put_nowait(
                OutcomeUnknown("internal error", not_run=NotRun.UNKNOWN)
            )
        finally:
            context.partition.call_ended()
            context.program.last_used_s = context.now_s()

    async def _run_in_order(self) -> CallEnd:
        context = self._context
        partition = context.partition
        async with context.program.lock, partition.retry_key_lock(self._retry_scope()):
            context.update_trace(order_wait_ms=context.elapsed_ms())
            context.check_ownership()
            for sealed in context.sealed:
                partition.replay(sealed)
            earlier = self._find_earlier_record()
            record = earlier or await self._run_new_call()
            pending = partition.find_pending(record)
        durable = pending is None or await wait_until_durable(context, pending)
        measure(Timing.CALL, context.elapsed_ms())
        return build_call_end(context, record, durable, replayed=earlier is not None)

    async def _run_new_call(self) -> CallFinished:
        context = self._context
        self._check_program_limits()
        rate_wait_s = await context.dependencies.limiter.acquire(self.call.workspace)
        context.update_trace(rate_wait_ms=int(rate_wait_s * MS_PER_S))
        measure(Timing.RATE_WAIT, rate_wait_s * MS_PER_S)
        record = await self._run_within_budget()
        context.interruptible = False
        context.partition.add(record)
        if self.call.end_program:
            context.partition.add(program_finished_record(context.program, SINGLE_CALL))
        return record

    def _retry_scope(self) -> tuple[str, str, str]:
        root = root_program_id(self._context.program.program_id)
        return (self.call.workspace, root, self._context.retry_key)

    def _find_earlier_record(self) -> CallFinished | None:
        """
        Returns the record of an earlier attempt at this call, if any.

        An entry VM that lost its connection to the owner retries with the same call
        id; a caller retries with the same idempotency key.
        """
        context = self._context
        state = context.partition.state
        call_id = state.call_ids_by_retry_key.get(self._retry_scope())
        if call_id is None:
            return None
        record = state.finished_calls.get(call_id)
        if record is None:
            raise OutcomeUnknown(
                "the outcome of an earlier attempt at this call is not known"
            )
        if record.body_digest != context.body_digest or record.route != self.call.route:
            raise IdempotencyMismatch
        if record.outcome is Outcome.UNKNOWN:
            raise OutcomeUnknown(f"call {call_id} was sent, but its outcome is unknown")
        if record.outcome is Outcome.OK or context.route.repeat is RetryPolicy.NEVER:
            return record
        # The failed attempt keeps its call id and charge; the retry gets a new id.
        context.call = replace(self.call, call_id=new_id("call"))
        return None

    def _check_program_limits(self) -> None:
        """Raises `Refusal` unless the program may make another call."""
        context = self._context
        program, partition = context.program, context.partition
        limits = self._program_limits()
        if program.end_reason:
            raise ProgramEnded(f"the program has ended: {program.end_reason}")
        if len(program.calls) >= limits.max_turns:
            raise TurnsExceeded(f"a program has at most {limits.max_turns} turns")
        if program.history_bytes + len(self.call.body) > limits.max_history_bytes:
            raise HistoryTooLarge
        if not context.route.open and not context.dependencies.fleet.state.key_is_valid(
            self.call.key_id
        ):
            raise KeyRejected
        settings = context.dependencies.settings
        if (
            partition.pending_bytes() > settings.max_pending_bytes
            or partition.undurable_charge_micros() > settings.max_undurable_micros
        ):
            raise StoreUnavailable(
                "too many records are not durable yet", retry_after_s=1.0
            )

    def _program_limits(self) -> ProgramLimits:
        document = self._context.dependencies.fleet.state.document(self.call.service)
        assert document is not None
        return document.program

    async def _run_within_budget(self) -> CallFinished:
        context = self._context
        account = context.partition.state.account(
            self.call.workspace, context.program.program_id
        )
        call_class = ModelCall if context.pool.kind is RouteKind.MODEL else PlainCall
        call = call_class(context)
        amount_micros = call.max_cost_micros()
        reserve_budget(account, amount_micros)
        try:
            return await call.run(amount_micros)
        finally:
            release_reservation(account, amount_micros)
