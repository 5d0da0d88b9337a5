"""Runs calls on plain services."""

import asyncio
from contextlib import suppress

from damasksaddle.config import RetryPolicy
from damasksaddle.exceptions import (
    NotOwner,
    NotRun,
    OutcomeUnknown,
    Refusal,
    StoreUnavailable,
    UpstreamError,
    UpstreamFailed,
    UpstreamUnavailable,
)
from damasksaddle.utils import new_id
from damasksaddle_node.programs.context import MAX_ATTEMPTS, MS_PER_S, CallContext
from damasksaddle_node.programs.outcome import call_finished_record, wait_until_durable
from damasksaddle_node.programs.partition import PendingRecord
from damasksaddle_node.programs.records import (
    CallFinished,
    CallIntended,
    Outcome,
    encode_body,
)
from damasksaddle_node.upstreams import PlainRequest, PlainResponse
from damasksaddle_protocol import Finish, Placed

HTTP_SERVER_ERROR = 500


class PlainCall:
    """
    Runs a call on the plain services of its pool.

    A repeatable call is retried on other upstreams. A call that must run at most once
    is sent only after the intent to send it is durable.
    """

    def __init__(self, context: CallContext) -> None:
        self._context = context

    def max_cost_micros(self) -> int:
        """Returns the price of the call."""
        return self._context.pool.call_micros

    async def run(self, reserved_micros: int) -> CallFinished:
        """Returns the record of the call, without applying it; raises `Refusal`."""
        excluded: list[str] = []
        for attempt in range(1, MAX_ATTEMPTS + 1):
            self._context.update_trace(tries=attempt)
            placed = await self._context.place(
                len(self._context.call.body), 1, excluded
            )
            try:
                answer = await self._call_upstream(placed, reserved_micros)
                return self._finished_record(answer, placed, reserved_micros)
            except UpstreamError as error:
                excluded.append(placed.upstream)
                if error.sent and self._context.route.repeat is RetryPolicy.NEVER:
                    await self._record_unknown_outcome(placed)
                    raise OutcomeUnknown(
                        "the call was sent, but no answer was received"
                    ) from error
        if self._context.sent:
            raise UpstreamFailed(
                "no upstream answered the call", not_run=NotRun.UNKNOWN
            )
        raise UpstreamUnavailable(retry_after_s=1.0)

    async def _call_upstream(
        self, placed: Placed, reserved_micros: int
    ) -> PlainResponse:
        started_s = self._context.now_s()
        finish = Finish(
            self._context.call.call_id,
            self._context.pool_name,
            placed.upstream,
        )
        at_most_once = self._context.route.repeat is RetryPolicy.NEVER
        try:
            if at_most_once:
                await self._record_intent(placed, reserved_micros)
                # A durable intent requires a record of the outcome.
                self._context.interruptible = False
            self._check_may_send(placed, at_most_once)
            sent_before, self._context.sent = self._context.sent, True
            request = PlainRequest(
                self._context.call.call_id,
                self._context.route.path,
                self._context.call.body,
                self._context.call.content_type,
                self._context.route.timeout_s,
            )
            return await self._context.dependencies.upstreams.call(placed.url, request)
        except UpstreamError as error:
            finish.failed = True
            if not error.sent:
                self._context.sent = sent_before
                if at_most_once:
                    self._record_not_run(placed)
            raise
        finally:
            finish.total_ms = int((self._context.now_s() - started_s) * MS_PER_S)
            self._context.dependencies.pools.finish(finish)

    def _check_may_send(self, placed: Placed, at_most_once: bool) -> None:
        """
        Raises `Refusal` unless this VM may send the call now.

        A call with an intent is then recorded as not run.
        """
        try:
            self._context.check_ownership()
        except Refusal:
            if at_most_once and not self._context.partition.lost:
                self._record_not_run(placed)
            raise

    async def _record_intent(self, placed: Placed, reserved_micros: int) -> None:
        """Makes the intent durable, or raises `StoreUnavailable`."""
        record = CallIntended(
            new_id("record"),
            self._context.call.workspace,
            self._context.program.program_id,
            self._context.call.call_id,
            self._context.retry_key,
            self._context.body_digest,
            self._context.call.route,
            placed.upstream,
            reserved_micros,
        )
        pending = self._context.partition.add(record)
        try:
            if await self._wait_until_intent_durable(pending):
                return
        except OutcomeUnknown as error:
            raise NotOwner from error
        except asyncio.CancelledError:
            self._record_not_run(placed)
            raise
        self._context.partition.cancel_pending(pending)
        self._record_not_run(placed)
        raise StoreUnavailable(
            "the call's intent could not be made durable", retry_after_s=1.0
        )

    async def _wait_until_intent_durable(self, pending: PendingRecord) -> bool:
        """
        Waits for an intent to become durable; returns whether it did.

        Waits up to `failover_timeout_s` for a new committer to take over, but returns
        at once if the table is down.
        """
        context = self._context
        deadline_s = (
            context.now_s() + context.dependencies.settings.timing.failover_timeout_s
        )
        while not await wait_until_durable(context, pending):
            if (
                context.partition.commit_client.store_is_down
                or context.now_s() >= deadline_s
            ):
                return False
        return True

    def _record_not_run(self, placed: Placed) -> None:
        """Records that a call with an intent was certainly not sent."""
        self._context.partition.add(
            call_finished_record(
                self._context, Outcome.NOT_RUN, body="", upstream=placed.upstream
            )
        )

    async def _record_unknown_outcome(self, placed: Placed) -> None:
        record = call_finished_record(
            self._context,
            Outcome.UNKNOWN,
            body="",
            upstream=placed.upstream,
            reserved_micros=self.max_cost_micros(),
        )
        with suppress(OutcomeUnknown):
            await wait_until_durable(self._context, self._context.partition.add(record))

    def _finished_record(
        self, answer: PlainResponse, placed: Placed, reserved_micros: int
    ) -> CallFinished:
        failed = answer.status >= HTTP_SERVER_ERROR
        body, binary = encode_body(answer.body)
        return call_finished_record(
            self._context,
            Outcome.FAILED if failed else Outcome.OK,
            http_status=answer.status,
            content_type=answer.content_type,
            body=body,
            binary=binary,
            charge_micros=0 if failed else reserved_micros,
            upstream=placed.upstream,
        )
