"""Calls to model engines."""

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
from damasksaddle_node.programs.budget import cost_micros, prompt_tokens_at_most
from damasksaddle_node.programs.context import JSON, MAX_TRIES, MS, CallContext
from damasksaddle_node.programs.outcome import HTTP_OK, finished_record, wait_durable
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
    """Runs a call on the engines of its pool."""

    def __init__(self, context: CallContext) -> None:
        self._context = context

    def _chat(self) -> dict[str, Any]:
        try:
            body = json.loads(self._context.call.body)
            messages = body["messages"]
        except (ValueError, KeyError, TypeError) as error:
            raise BadRequest("the body has no messages") from error
        if not isinstance(messages, list) or not messages:
            raise BadRequest("messages is not a list")
        return body

    def _new_messages(self, body: dict[str, Any]) -> list[str]:
        """Returns what this call adds to the history."""
        messages = [json.dumps(message) for message in body["messages"]]
        if self._context.call.history_mode == "append":
            return messages
        known = self._context.program.messages
        if messages[: len(known)] != known:
            raise HistoryMismatch
        return messages[len(known) :]

    def _max_tokens(self, body: dict[str, Any]) -> int:
        asked = body.get("max_completion_tokens") or body.get("max_tokens")
        if asked is None:
            return self._context.pool.max_tokens
        if not isinstance(asked, int) or asked < 1:
            raise BadRequest("max_tokens is not a positive number")
        return asked

    def _prompt_bytes(self, body: dict[str, Any]) -> int:
        return sum(
            len(message.encode())
            for message in [*self._context.program.messages, *self._new_messages(body)]
        )

    def cost_at_most(self) -> int:
        """Returns the price of the longest answer to the longest prompt."""
        body = self._chat()
        prompt = prompt_tokens_at_most(self._context.pool, self._prompt_bytes(body))
        return cost_micros(self._context.pool, prompt, self._max_tokens(body))

    async def run(self, reserved_micros: int) -> CallFinished:
        """Returns the record of the call, not queued yet; raises `Refusal`."""
        context = self._context
        body = self._chat()
        added = self._new_messages(body)
        outcome = Outcome.OK
        failure: Refusal | None = None
        try:
            await self._generate(body, added)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if context.stop_reason is None or task is None:
                raise
            task.uncancel()
            outcome, failure = Outcome.CANCELLED, context.stop_reason
        except Refusal as error:
            outcome, failure = Outcome.FAILED, error
        if failure is None:
            return self._record(outcome, added, reserved_micros)
        context.interruptible = False
        if not context.sent:
            # No engine took the call, so it did not run and is not charged.
            failure.not_run = NotRun.YES
            raise failure
        failure.not_run = NotRun.NO if context.output.tokens else NotRun.UNKNOWN
        record = self._record(outcome, added, reserved_micros)
        if not context.partition.lost:
            with suppress(OutcomeUnknown):
                await wait_durable(context, context.partition.add(record))
        raise failure

    async def _generate(self, body: dict[str, Any], added: list[str]) -> None:
        context = self._context
        excluded: list[str] = []
        max_tokens = self._max_tokens(body)
        tries = min(MAX_TRIES, len(context.pool.upstreams))
        for number in range(1, tries + 1):
            context.note(tries=number)
            placed = await context.place(self._prompt_bytes(body), max_tokens, excluded)
            try:
                await self._stream(placed, body, added, max_tokens)
                return
            except UpstreamError as error:
                log.warning(
                    "An engine failed a call.",
                    call=context.call.call_id,
                    upstream=placed.upstream,
                    reason=error,
                )
                excluded.append(placed.upstream)
            if context.output.tokens >= max_tokens:
                # Only the engine's closing message is missing.
                context.output.finish_reason = "length"
                return
        if context.sent:
            raise UpstreamFailed
        raise UpstreamUnavailable(retry_after_s=1.0)

    async def _stream(
        self, placed: Placed, body: dict[str, Any], added: list[str], max_tokens: int
    ) -> None:
        started_s = self._context.now_s()
        finish = Finish(
            self._context.call.call_id,
            self._context.pool_name,
            placed.upstream,
        )
        output = self._context.output
        before = output.tokens
        try:
            self._context.check_holder()
            # The engine may act on the call from here on.
            sent_before, self._context.sent = self._context.sent, True
            output.upstream = placed.upstream
            await self._relay(placed.url, body, added, max_tokens)
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
            finish.served_tokens = output.tokens - before
            finish.cached_tokens = output.cached_tokens
            finish.prompt_tokens = output.prompt_tokens
            first_s = output.first_token_s or self._context.now_s()
            finish.first_token_ms = max(0, int((first_s - started_s) * MS))
            finish.total_ms = int((self._context.now_s() - started_s) * MS)
            finish.program_ended = self._context.call.end_program
            self._context.services.pools.finish(finish)

    async def _relay(
        self, url: str, body: dict[str, Any], added: list[str], max_tokens: int
    ) -> None:
        output = self._context.output
        messages = [
            json.loads(text) for text in [*self._context.program.messages, *added]
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
        events = self._context.services.upstreams.generate(url, request)
        async with aclosing(events) as stream:
            async for event in stream:
                match event:
                    case EngineToken() if output.tokens >= max_tokens:
                        # An engine that generates more than asked is cut off,
                        # before it has told its count of the prompt.
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
            self._context.note(first_token_ms=self._context.elapsed_ms())
            measure(Timing.FIRST_TOKEN, self._context.elapsed_ms())
        output.text += text
        output.tokens += 1
        if self._context.call.stream:
            self._context.events.put_nowait(CallChunk(text))

    def _record(
        self, outcome: Outcome, added: list[str], reserved_micros: int
    ) -> CallFinished:
        output = self._context.output
        charge = cost_micros(self._context.pool, output.prompt_tokens, output.tokens)
        return finished_record(
            self._context,
            outcome,
            http_status=HTTP_OK,
            content_type=JSON,
            body=json.dumps(
                {"text": output.text, "finish_reason": output.finish_reason}
            ),
            messages=added if outcome is Outcome.OK else None,
            charge_micros=min(charge, reserved_micros),
            upstream=output.upstream,
            engines=sorted(output.engines),
        )
