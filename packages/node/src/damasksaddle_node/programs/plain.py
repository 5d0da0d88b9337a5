"""Calls to plain services."""

import asyncio
import base64
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
from damasksaddle_node.programs.context import MAX_TRIES, MS, CallContext
from damasksaddle_node.programs.outcome import finished_record, wait_durable
from damasksaddle_node.programs.partition import Waiting
from damasksaddle_node.programs.records import CallFinished, CallIntended, Outcome
from damasksaddle_node.upstreams import PlainRequest, PlainResponse
from damasksaddle_protocol import Finish, Placed

HTTP_SERVER_ERROR = 500


class PlainCall:
    """Runs a call on the services of its pool."""

    def __init__(self, context: CallContext) -> None:
        self._context = context

    def cost_at_most(self) -> int:
        """Returns the price of the call."""
        return self._context.pool.call_micros

    async def run(self, reserved_micros: int) -> CallFinished:
        """Returns the record of the call, not queued yet; raises `Refusal`."""
        excluded: list[str] = []
        for number in range(1, MAX_TRIES + 1):
            self._context.note(tries=number)
            placed = await self._context.place(
                len(self._context.call.body), 1, excluded
            )
            try:
                answer = await self._call_plain(placed, reserved_micros)
                return self._record(answer, placed, reserved_micros)
            except UpstreamError as error:
                excluded.append(placed.upstream)
                if error.sent and self._context.route.repeat is RetryPolicy.NEVER:
                    await self._record_unknown(placed)
                    raise OutcomeUnknown(
                        "the call was sent, and no answer came"
                    ) from error
        if self._context.sent:
            raise UpstreamFailed(
                "no upstream answered the call", not_run=NotRun.UNKNOWN
            )
        raise UpstreamUnavailable(retry_after_s=1.0)

    async def _call_plain(self, placed: Placed, reserved_micros: int) -> PlainResponse:
        started_s = self._context.now_s()
        finish = Finish(
            self._context.call.call_id,
            self._context.pool_name,
            placed.upstream,
        )
        never = self._context.route.repeat is RetryPolicy.NEVER
        try:
            if never:
                await self._intend(placed, reserved_micros)
                # From here on the outcome must be recorded.
                self._context.interruptible = False
            self._guard_send(placed, never)
            sent_before, self._context.sent = self._context.sent, True
            request = PlainRequest(
                self._context.call.call_id,
                self._context.route.path,
                self._context.call.body,
                self._context.call.content_type,
                self._context.route.timeout_s,
            )
            return await self._context.services.upstreams.call(placed.url, request)
        except UpstreamError as error:
            finish.failed = True
            if not error.sent:
                self._context.sent = sent_before
                if never:
                    self._abandon(placed)
            raise
        finally:
            finish.total_ms = int((self._context.now_s() - started_s) * MS)
            self._context.services.pools.finish(finish)

    def _guard_send(self, placed: Placed, never: bool) -> None:
        """Raises `Refusal` unless this VM may send the call now."""
        try:
            self._context.check_holder()
        except Refusal:
            if never and not self._context.partition.lost:
                self._abandon(placed)
            raise

    async def _intend(self, placed: Placed, reserved_micros: int) -> None:
        """Makes the intent durable, or raises `StoreUnavailable`."""
        record = CallIntended(
            new_id("record"),
            self._context.call.workspace,
            self._context.program.program_id,
            self._context.call.call_id,
            self._context.retry_key,
            self._context.digest,
            self._context.call.route,
            placed.upstream,
            reserved_micros,
        )
        waiting = self._context.partition.add(record)
        try:
            if await self._wait_for_intent(waiting):
                return
        except OutcomeUnknown as error:
            raise NotOwner from error
        except asyncio.CancelledError:
            self._abandon(placed)
            raise
        self._context.partition.withdraw(waiting)
        self._abandon(placed)
        raise StoreUnavailable(
            "the call's intent could not be made durable", retry_after_s=1.0
        )

    async def _wait_for_intent(self, waiting: Waiting) -> bool:
        """Waits for the successor of a committer, but not for a table that is down."""
        context = self._context
        until_s = context.now_s() + context.services.settings.timing.failover_timeout_s
        while not await wait_durable(context, waiting):
            if context.partition.commits.store_is_down or context.now_s() >= until_s:
                return False
        return True

    def _abandon(self, placed: Placed) -> None:
        """Records that an intended call was certainly not sent."""
        self._context.partition.add(
            finished_record(
                self._context, Outcome.NOT_RUN, body="", upstream=placed.upstream
            )
        )

    async def _record_unknown(self, placed: Placed) -> None:
        record = finished_record(
            self._context,
            Outcome.UNKNOWN,
            body="",
            upstream=placed.upstream,
            reserved_micros=self.cost_at_most(),
        )
        with suppress(OutcomeUnknown):
            await wait_durable(self._context, self._context.partition.add(record))

    def _record(
        self, answer: PlainResponse, placed: Placed, reserved_micros: int
    ) -> CallFinished:
        failed = answer.status >= HTTP_SERVER_ERROR
        try:
            body, binary = answer.body.decode(), False
        except UnicodeDecodeError:
            body, binary = base64.b64encode(answer.body).decode(), True
        return finished_record(
            self._context,
            Outcome.FAILED if failed else Outcome.OK,
            http_status=answer.status,
            content_type=answer.content_type,
            body=body,
            binary=binary,
            charge_micros=0 if failed else reserved_micros,
            upstream=placed.upstream,
        )
