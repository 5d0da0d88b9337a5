"""One running call of a program, at the program's owner."""

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
from damasksaddle_node.programs.budget import reserve, settle
from damasksaddle_node.programs.context import MS, CallContext
from damasksaddle_node.programs.engines import finished
from damasksaddle_node.programs.model import ModelCall
from damasksaddle_node.programs.outcome import call_end, wait_durable
from damasksaddle_node.programs.plain import PlainCall
from damasksaddle_node.programs.records import CallFinished, Outcome
from damasksaddle_node.programs.state import SINGLE_CALL, root_of
from damasksaddle_protocol import CallChunk, CallEnd, CallRequest

log = get_logger("programs")


class CallRun:
    """
    Runs one call in a task of its own.

    The task outlives the caller's connection where the outcome must be recorded;
    `events` relays what it produces.
    """

    def __init__(self, context: CallContext) -> None:
        self._context = context
        self.task = asyncio.create_task(self._run())

    @property
    def call(self) -> CallRequest:
        """The call that runs."""
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
            # A caller that left can come back for the answer only with a key.
            if not ended and not self.call.idempotency_key:
                self.stop(DeadlineExceeded("the caller left", not_run=NotRun.NO))

    def stop(self, reason: Refusal) -> None:
        """Ends the call early, unless it must not be interrupted any more."""
        context = self._context
        if context.interruptible and not self.task.done():
            # One reason may end many calls, and each has its own `not_run`.
            context.stop_reason = copy(reason)
            context.interruptible = False
            self.task.cancel()

    async def _run(self) -> None:
        context = self._context
        context.partition.begin()
        try:
            timeout_s = context.route.timeout_s
            if self.call.timeout_ms:
                timeout_s = min(timeout_s, self.call.timeout_ms / MS)
            timer = asyncio.get_running_loop().call_later(
                timeout_s, self.stop, DeadlineExceeded()
            )
            try:
                end = await self._in_order()
            finally:
                timer.cancel()
            context.events.put_nowait(end)
        except Refusal as error:
            context.events.put_nowait(error)
        except asyncio.CancelledError:
            reason = context.stop_reason or Stopping()
            reason.not_run = NotRun.UNKNOWN if context.sent else NotRun.YES
            context.events.put_nowait(reason)
        except Exception as error:
            log.error(
                "A call failed in the node.",
                call=self.call.call_id,
                error=repr(error),
            )
            context.events.put_nowait(
                OutcomeUnknown("internal error", not_run=NotRun.UNKNOWN)
            )
        finally:
            context.partition.end()
            context.program.touched_s = context.now_s()

    async def _in_order(self) -> CallEnd:
        context = self._context
        partition = context.partition
        async with context.program.lock, partition.key_lock(self._retry_scope()):
            context.note(order_wait_ms=context.elapsed_ms())
            context.check_holder()
            for sealed in context.sealed:
                partition.replay(sealed)
            earlier = self._earlier_record()
            record = earlier or await self._run_once()
            waiting = partition.waiting_for(record)
        durable = waiting is None or await wait_durable(context, waiting)
        measure(Timing.CALL, context.elapsed_ms())
        return call_end(context, record, durable, replayed=earlier is not None)

    async def _run_once(self) -> CallFinished:
        context = self._context
        self._check_program()
        rate_wait_s = await context.services.limiter.acquire(self.call.workspace)
        context.note(rate_wait_ms=int(rate_wait_s * MS))
        measure(Timing.RATE_WAIT, rate_wait_s * MS)
        record = await self._within_budget()
        context.interruptible = False
        context.partition.add(record)
        if self.call.end_program:
            context.partition.add(finished(context.program, SINGLE_CALL))
        return record

    def _retry_scope(self) -> tuple[str, str, str]:
        root = root_of(self._context.program.program_id)
        return (self.call.workspace, root, self._context.retry_key)

    def _earlier_record(self) -> CallFinished | None:
        """
        Returns the record of this call if it was made before.

        An entry VM repeats a call with the same call id when it lost the owner; a
        caller repeats it with the same idempotency key.
        """
        context = self._context
        state = context.partition.state
        call_id = state.by_idempotency_key.get(self._retry_scope())
        if call_id is None:
            return None
        record = state.finished.get(call_id)
        if record is None:
            raise OutcomeUnknown("an earlier try of this call has no known outcome")
        if record.body_digest != context.digest or record.route != self.call.route:
            raise IdempotencyMismatch
        if record.outcome is Outcome.UNKNOWN:
            raise OutcomeUnknown(f"call {call_id} was sent; its outcome is not known")
        if record.outcome is Outcome.OK or context.route.repeat is RetryPolicy.NEVER:
            return record
        # The failed try keeps its own id and charge.
        context.call = replace(self.call, call_id=new_id("call"))
        return None

    def _check_program(self) -> None:
        """Raises `Refusal` unless the program may make another call."""
        context = self._context
        program, partition = context.program, context.partition
        limits = self._limits()
        if program.ended:
            raise ProgramEnded(f"the program has ended: {program.ended}")
        if len(program.calls) >= limits.max_turns:
            raise TurnsExceeded(f"a program has at most {limits.max_turns} turns")
        if program.history_bytes + len(self.call.body) > limits.max_history_bytes:
            raise HistoryTooLarge
        if not context.route.open and not context.services.fleet.state.key_is_valid(
            self.call.key_id
        ):
            raise KeyRejected
        settings = context.services.settings
        if (
            partition.pending_bytes() > settings.max_pending_bytes
            or partition.undurable_micros() > settings.max_undurable_micros
        ):
            raise StoreUnavailable(
                "too many turns are not durable yet", retry_after_s=1.0
            )

    def _limits(self) -> ProgramLimits:
        document = self._context.services.fleet.state.document(self.call.service)
        assert document is not None
        return document.program

    async def _within_budget(self) -> CallFinished:
        context = self._context
        account = context.partition.state.account(
            self.call.workspace, context.program.program_id
        )
        kind = ModelCall if context.pool.kind is RouteKind.MODEL else PlainCall
        run = kind(context)
        amount_micros = run.cost_at_most()
        reserve(account, amount_micros)
        try:
            return await run.run(amount_micros)
        finally:
            settle(account, amount_micros)
