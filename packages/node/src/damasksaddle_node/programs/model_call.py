"""Runs calls on model engines."""

import asyncio
import json
from contextlib import aclosing, suppress
from typing import Any

from damasksaddle.exceptions import (
    BadRequest,
    HistoryMismatch,
    NotRun,
    OutcomeUnknown,
    Refusal,
    UpstreamError,
    UpstreamFailed,
    UpstreamUnavailable,
)
from damasksaddle.utils import Timing, get_logger, measure
from damasksaddle_node.programs.budget import cost_micros, max_prompt_tokens
from damasksaddle_node.programs.context import (
    JSON_CONTENT_TYPE,
    MAX_ATTEMPTS,
    MS_PER_S,
    CallContext,
)
from damasksaddle_node.programs.outcome import (
    HTTP_OK,
    call_finished_record,
    wait_until_durable,
)
from damasksaddle_node.programs.records import CallFinished, Outcome
from damasksaddle_node.upstreams import (
    SAMPLING_PARAMETERS,
    EngineDone,
    EngineRequest,
    EngineToken,
)
from damasksaddle_protocol import CallChunk, Finish, Placed

log = get_logger("programs")


class ModelCall:
    """Runs a call on the engines of its pool, with retries on other engines."""

    def __init__(self, context: CallContext) -> None:
        self._context = context

    def _parse_body(self) -> dict[str, Any]:
        try:
            body = json.loads(self._context.call.body)
            messages = body["messages"]
        except (ValueError, KeyError, TypeError) as error:
            raise BadRequest("the request body has no messages") from error
        if not isinstance(messages, list) or not messages:
            raise BadRequest("messages must be a non-empty list")
        return body

    def _new_messages(self, body: dict[str, Any]) -> list[str]:
        """Returns the messages that this call adds to the history."""
        messages = [json.dumps(message) for message in body["messages"]]
        if self._context.call.history_mode == "append":
            return messages
        history = self._context.program.messages
        if messages[: len(history)] != history:
            raise HistoryMismatch
        return messages[len(history) :]

    def _max_tokens(self, body: dict[str, Any]) -> int:
        requested = body.get("max_completion_tokens") or body.get("max_tokens")
        if requested is None:
            return self._context.pool.max_tokens
        if not isinstance(requested, int) or requested < 1:
            raise BadRequest("max_tokens must be a positive integer")
        return requested

    def _prompt_bytes(self, body: dict[str, Any]) -> int:
        return sum(
            len(message.encode())
            for message in [*self._context.program.messages, *self._new_messages(body)]
        )

    def max_cost_micros(self) -> int:
        """Returns the price of the longest possible prompt and output."""
        body = self._parse_body()
        prompt_tokens = max_prompt_tokens(self._context.pool, self._prompt_bytes(body))
        return cost_micros(self._context.pool, prompt_tokens, self._max_tokens(body))

    async def run(self, reserved_micros: int) -> CallFinished:
        """
        Returns the record of the successful call, without applying it.

        On failure it raises `Refusal`, and first queues the record of a call that an
        upstream may have received.
        """
        context = self._context
        body = self._parse_body()
        new_messages = self._new_messages(body)
        outcome = Outcome.OK
        failure: Refusal | None = None
        try:
            await self._generate_with_retries(body, new_messages)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if context.cancel_reason is None or task is None:
                raise
            task.uncancel()
            outcome, failure = Outcome.CANCELLED, context.cancel_reason
        except Refusal as error:
            outcome, failure = Outcome.FAILED, error
        if failure is None:
            return self._finished_record(outcome, new_messages, reserved_micros)
        context.interruptible = False
        if not context.sent:
            # No engine received the call, so it did not run and is not charged.
            failure.not_run = NotRun.YES
            raise failure
        failure.not_run = NotRun.NO if context.output.tokens else NotRun.UNKNOWN
        record = self._finished_record(outcome, new_messages, reserved_micros)
        if not context.partition.lost:
            with suppress(OutcomeUnknown):
                await wait_until_durable(context, context.partition.add(record))
        raise failure

    async def _generate_with_retries(
        self, body: dict[str, Any], new_messages: list[str]
    ) -> None:
        context = self._context
        excluded: list[str] = []
        max_tokens = self._max_tokens(body)
        max_attempts = min(MAX_ATTEMPTS, len(context.pool.upstreams))
        for attempt in range(1, max_attempts + 1):
            context.update_trace(tries=attempt)
            placed = await context.place(self._prompt_bytes(body), max_tokens, excluded)
            try:
                await self._call_engine(placed, body, new_messages, max_tokens)
                return
            except UpstreamError as error:
                log.warning(
                    "A call failed on an engine.",
                    call=context.call.call_id,
                    upstream=placed.upstream,
                    reason=error,
                )
                excluded.append(placed.upstream)
            if context.output.tokens >= max_tokens:
                # All output was received; only the engine's final event is missing.
                context.output.finish_reason = "length"
                return
        if context.sent:
            raise UpstreamFailed
        raise UpstreamUnavailable(retry_after_s=1.0)

    async def _call_engine(
        self,
        placed: Placed,
        body: dict[str, Any],
        new_messages: list[str],
        max_tokens: int,
    ) -> None:
        started_s = self._context.now_s()
        finish = Finish(
            self._context.call.call_id,
            self._context.pool_name,
            placed.upstream,
        )
        output = self._context.output
        tokens_before = output.tokens
        output.first_token_s = None
        try:
            self._context.check_ownership()
            # From here on the engine may have received the call.
            sent_before, self._context.sent = self._context.sent, True
            output.upstream = placed.upstream
            await self._relay_output(placed.url, body, new_messages, max_tokens)
            output.engines.add(placed.upstream)
        except UpstreamError as error:
            finish.failed = True
            if error.sent:
                output.engines.add(placed.upstream)
            else:
                self._context.sent = sent_before
            raise
        except asyncio.CancelledError:
            output.engines.add(placed.upstream)
            raise
        finally:
            finish.served_tokens = output.tokens - tokens_before
            finish.cached_tokens = output.cached_tokens
            finish.prompt_tokens = output.prompt_tokens
            first_token_s = output.first_token_s or self._context.now_s()
            finish.first_token_ms = int((first_token_s - started_s) * MS_PER_S)
            finish.total_ms = int((self._context.now_s() - started_s) * MS_PER_S)
            finish.program_ended = self._context.call.end_program
            self._context.dependencies.pools.finish(finish)

    async def _relay_output(
        self, url: str, body: dict[str, Any], new_messages: list[str], max_tokens: int
    ) -> None:
        output = self._context.output
        messages = [
            json.loads(text)
            for text in [*self._context.program.messages, *new_messages]
        ]
        request = EngineRequest(
            call_id=self._context.call.call_id,
            session=f"{self._context.call.workspace}/{self._context.program.program_id}",
            model=self._context.pool.model,
            messages=messages,
            max_tokens=max_tokens - output.tokens,
            resume_text=output.text,
            keep=not self._context.call.end_program,
            sampling={name: body[name] for name in SAMPLING_PARAMETERS if name in body},
        )
        events = self._context.dependencies.upstreams.generate(url, request)
        async with aclosing(events) as stream:
            async for event in stream:
                match event:
                    case EngineToken() if output.tokens >= max_tokens:
                        # Stops reading from an engine that generates more tokens
                        # than requested; its prompt token count is then missing.
                        output.finish_reason = "length"
                        return
                    case EngineToken(text):
                        self._on_token(text)
                    case EngineDone():
                        output.prompt_tokens = event.prompt_tokens
                        output.cached_tokens = event.cached_tokens
                        output.finish_reason = event.finish_reason
                        return

    def _on_token(self, text: str) -> None:
        output = self._context.output
        if output.first_token_s is None:
            output.first_token_s = self._context.now_s()
        if not output.tokens:
            self._context.update_trace(first_token_ms=self._context.elapsed_ms())
            measure(Timing.FIRST_TOKEN, self._context.elapsed_ms())
        output.text += text
        output.tokens += 1
        if self._context.call.stream:
            self._context.events.put_nowait(CallChunk(text))

    def _finished_record(
        self, outcome: Outcome, new_messages: list[str], reserved_micros: int
    ) -> CallFinished:
        output = self._context.output
        charge = cost_micros(self._context.pool, output.prompt_tokens, output.tokens)
        return call_finished_record(
            self._context,
            outcome,
            http_status=HTTP_OK,
            content_type=JSON_CONTENT_TYPE,
            body=json.dumps(
                {"text": output.text, "finish_reason": output.finish_reason}
            ),
            messages=new_messages if outcome is Outcome.OK else None,
            charge_micros=min(charge, reserved_micros),
            upstream=output.upstream,
            engines=sorted(output.engines),
        )
