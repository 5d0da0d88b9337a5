"""One running call of a program, at the program's owner."""

import asyncio
import json
import time
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing, suppress
from dataclasses import dataclass, replace
from typing import Any

from damasksaddle.config import Pool, Repeat, Route, RouteKind
from damasksaddle.exceptions import (
    BadRequest,
    DeadlineExceeded,
    FateUnknown,
    HistoryMismatch,
    HistoryTooLarge,
    IdempotencyMismatch,
    KeyRejected,
    NotOwner,
    NotRun,
    ProgramEnded,
    Refusal,
    StoreUnavailable,
    TurnsExceeded,
    UpstreamError,
    UpstreamFailed,
    UpstreamUnavailable,
)
from damasksaddle.utils import digest_of, get_log, new_id
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.limits import Limiter
from damasksaddle_node.pools import PoolClient
from damasksaddle_node.programs.budget import (
    cost_micros,
    prompt_tokens_at_most,
    reserve,
    settle,
)
from damasksaddle_node.programs.partition import Partition, Waiting
from damasksaddle_node.programs.records import (
    OUTCOME,
    CallFinished,
    CallIntended,
    CallOutcome,
    Outcome,
    ProgramFinished,
    Trace,
)
from damasksaddle_node.programs.sealed import Sealer
from damasksaddle_node.programs.state import Program, root_of
from damasksaddle_node.settings import Settings
from damasksaddle_node.upstreams import (
    EngineDone,
    EngineRequest,
    EngineToken,
    PlainAnswer,
    PlainRequest,
    Upstreams,
)
from damasksaddle_protocol import CallChunk, CallEnd, CallRequest, Finish, Place, Placed

log = get_log("programs")

MS = 1000
# First try and retries of a repeatable call, each on another upstream.
MAX_TRIES = 3
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
JSON = "application/json"


@dataclass(slots=True)
class Services:
    """What a run needs of the node."""

    settings: Settings
    fleet: FleetLog
    limiter: Limiter
    pools: PoolClient
    upstreams: Upstreams
    sealer: Sealer
    guard: Callable[[], None]


@dataclass(slots=True)
class _Output:
    """What an engine has produced for this call so far."""

    text: str = ""
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    finish_reason: str = "stop"
    first_token_s: float | None = None
    upstream: str = ""
    started: bool = False


class CallRun:
    """
    Runs one call in a task of its own.

    The task outlives the caller's connection where the outcome must be recorded;
    `events` relays what it produces.
    """

    def __init__(
        self,
        services: Services,
        partition: Partition,
        program: Program,
        call: CallRequest,
        route: Route,
        pool: Pool,
    ) -> None:
        self.call = call
        self.program = program
        self.partition = partition
        self._services = services
        self._route = route
        self._pool = pool
        self._digest = digest_of(call.body)
        self._channel: asyncio.Queue[CallChunk | CallEnd | Refusal] = asyncio.Queue()
        self._trace = Trace(entry_vm=call.entry_vm, owner_vm=partition.commits.vm_id)
        self._output = _Output()
        self._stop_reason: Refusal | None = None
        self._interruptible = True
        self._started_s = asyncio.get_running_loop().time()
        self.task = asyncio.create_task(self._run())

    async def events(self) -> AsyncGenerator[CallChunk | CallEnd, None]:
        """Yields the answer; raises the `Refusal` that ended the call."""
        ended = False
        try:
            while True:
                event = await self._channel.get()
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
        if self._interruptible and not self.task.done():
            self._stop_reason = reason
            self._interruptible = False
            self.task.cancel()

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _note(self, **fields: Any) -> None:
        self._trace = replace(self._trace, **fields)

    async def _run(self) -> None:
        self.partition.begin()
        try:
            timeout_s = self._route.timeout_s
            if self.call.timeout_ms:
                timeout_s = min(timeout_s, self.call.timeout_ms / MS)
            timer = asyncio.get_running_loop().call_later(
                timeout_s, self.stop, DeadlineExceeded()
            )
            try:
                end = await self._in_order()
            finally:
                timer.cancel()
            self._channel.put_nowait(end)
        except Refusal as error:
            self._channel.put_nowait(error)
        except asyncio.CancelledError:
            reason = self._stop_reason or DeadlineExceeded("the VM stopped")
            self._channel.put_nowait(reason)
        except Exception as error:
            log.error("A call failed in the node.", call=self.call.call_id, error=error)
            self._channel.put_nowait(
                FateUnknown("internal error", not_run=NotRun.UNKNOWN)
            )
        finally:
            self.partition.end()
            self.program.touched_s = self._now_s()

    async def _in_order(self) -> CallEnd:
        async with self.program.lock:
            self._note(order_wait_ms=self._elapsed_ms())
            earlier = self._earlier_outcome()
            if earlier is not None:
                return earlier
            self._check_program()
            rate_wait_s = await self._services.limiter.acquire(self.call.workspace)
            self._note(rate_wait_ms=int(rate_wait_s * MS))
            record = await self._within_budget()
            self._interruptible = False
            waiting = self.partition.add(record)
            if self.call.end_program:
                self._end_program()
        durable = await self._durable(waiting)
        return self._end(record, durable)

    def _elapsed_ms(self) -> int:
        return int((self._now_s() - self._started_s) * MS)

    def _earlier_outcome(self) -> CallEnd | None:
        """
        Returns the stored answer if this call was made before.

        An entry VM repeats a call with the same call id when it lost the owner; a
        caller repeats it with the same idempotency key.
        """
        call_id = self._earlier_call_id()
        if call_id is None:
            return None
        record = self.partition.state.finished.get(call_id)
        if record is None:
            raise FateUnknown("an earlier try of this call has no known outcome")
        if record.body_digest != self._digest or record.route != self.call.route:
            raise IdempotencyMismatch
        if record.outcome is Outcome.UNKNOWN:
            raise FateUnknown(f"call {call_id} was sent; its outcome is not known")
        if record.outcome is not Outcome.OK and self._route.repeat is Repeat.SAFE:
            return None
        return self._end(record, durable=True, replayed=True)

    def _earlier_call_id(self) -> str | None:
        state = self.partition.state
        call_id = self.call.call_id
        if call_id in state.finished or call_id in state.intents:
            return call_id
        if not self.call.idempotency_key:
            return None
        root = root_of(self.program.program_id)
        key = (self.call.workspace, root, self.call.idempotency_key)
        return state.by_idempotency_key.get(key)

    def _check_program(self) -> None:
        """Raises `Refusal` unless the program may make another call."""
        limits = self._limits()
        if self.program.ended:
            raise ProgramEnded(f"the program has ended: {self.program.ended}")
        if len(self.program.calls) >= limits.max_turns:
            raise TurnsExceeded(f"a program has at most {limits.max_turns} turns")
        if self.program.history_bytes + len(self.call.body) > limits.max_history_bytes:
            raise HistoryTooLarge
        if not self._route.open and not self._services.fleet.state.key_is_valid(
            self.call.key_id
        ):
            raise KeyRejected
        settings = self._services.settings
        if (
            self.partition.pending_bytes() > settings.max_pending_bytes
            or self.partition.undurable_micros() > settings.max_undurable_micros
        ):
            raise StoreUnavailable(
                "too many turns are not durable yet", retry_after_s=1.0
            )

    def _limits(self) -> Any:
        document = self._services.fleet.state.document(self.call.service)
        assert document is not None
        return document.program

    async def _within_budget(self) -> CallFinished:
        account = self.partition.state.account(
            self.call.workspace, self.program.program_id
        )
        if self._pool.kind is RouteKind.MODEL:
            run: Callable[[int], Any] = self._run_model
            amount = self._model_cost_at_most()
        else:
            run = self._run_plain
            amount = self._pool.call_micros
        reserve(account, amount)
        try:
            return await run(amount)
        finally:
            settle(account, amount)

    # Model calls.

    def _chat(self) -> dict[str, Any]:
        try:
            body = json.loads(self.call.body)
            messages = body["messages"]
        except (ValueError, KeyError, TypeError) as error:
            raise BadRequest("the body has no messages") from error
        if not isinstance(messages, list) or not messages:
            raise BadRequest("messages is not a list")
        return body

    def _new_messages(self, body: dict[str, Any]) -> list[str]:
        """Returns what this call adds to the history."""
        messages = [json.dumps(message) for message in body["messages"]]
        if self.call.history_mode == "append":
            return messages
        known = self.program.messages
        if messages[: len(known)] != known:
            raise HistoryMismatch
        return messages[len(known) :]

    def _max_tokens(self, body: dict[str, Any]) -> int:
        asked = body.get("max_completion_tokens") or body.get("max_tokens")
        if asked is None:
            return self._pool.max_tokens
        if not isinstance(asked, int) or asked < 1:
            raise BadRequest("max_tokens is not a positive number")
        return asked

    def _prompt_bytes(self, body: dict[str, Any]) -> int:
        return sum(
            len(message.encode())
            for message in [*self.program.messages, *self._new_messages(body)]
        )

    def _model_cost_at_most(self) -> int:
        body = self._chat()
        prompt = prompt_tokens_at_most(self._pool, self._prompt_bytes(body))
        return cost_micros(self._pool, prompt, self._max_tokens(body))

    async def _run_model(self, reserved_micros: int) -> CallFinished:
        body = self._chat()
        added = self._new_messages(body)
        outcome, failure = Outcome.OK, None
        try:
            await self._generate(body, added)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if self._stop_reason is None or task is None:
                raise
            task.uncancel()
            outcome, failure = Outcome.CANCELLED, self._stop_reason
        except UpstreamFailed as error:
            outcome, failure = Outcome.FAILED, error
        if not self._output.started:
            # No engine took the call, so it did not run and is not charged.
            failure = failure or UpstreamUnavailable()
            failure.not_run = NotRun.YES
            raise failure
        record = self._model_record(outcome, added, reserved_micros)
        if failure is not None:
            self._interruptible = False
            failure.not_run = NotRun.NO
            await self._durable(self.partition.add(record))
            raise failure
        return record

    async def _generate(self, body: dict[str, Any], added: list[str]) -> None:
        excluded: list[str] = []
        max_tokens = self._max_tokens(body)
        for number in range(1, MAX_TRIES + 1):
            self._note(tries=number)
            placed = await self._place(self._prompt_bytes(body), max_tokens, excluded)
            try:
                await self._stream(placed, added, max_tokens)
                return
            except UpstreamError as error:
                log.warning(
                    "An engine failed a call.",
                    call=self.call.call_id,
                    upstream=placed.upstream,
                    reason=error,
                )
                excluded.append(placed.upstream)
                if error.sent:
                    self._output.started = True
        if self._output.started:
            raise UpstreamFailed
        raise UpstreamUnavailable(retry_after_s=1.0)

    async def _place(
        self, prompt_bytes: int, max_tokens: int, excluded: list[str]
    ) -> Placed:
        message = Place(
            call_id=self.call.call_id,
            pool=f"{self.call.service}/{self._route.pool}",
            workspace=self.call.workspace,
            program_id=self.program.program_id,
            prompt_tokens=prompt_tokens_at_most(self._pool, prompt_bytes),
            max_tokens=max_tokens,
            attained_tokens=self.program.attained_tokens,
            last_upstream=self.program.upstream,
            excluded=excluded,
        )
        placed = await self._services.pools.place(message, self._route.timeout_s)
        self._note(
            queue_wait_ms=self._trace.queue_wait_ms + placed.waited_ms,
            reason=placed.reason,
        )
        return placed

    async def _stream(self, placed: Placed, added: list[str], max_tokens: int) -> None:
        started_s = self._now_s()
        finish = Finish(
            self.call.call_id,
            f"{self.call.service}/{self._route.pool}",
            placed.upstream,
        )
        output = self._output
        before = output.tokens
        try:
            # The engine may act on the call from here on.
            self._services.guard()
            output.upstream = placed.upstream
            await self._relay(placed.url, added, max_tokens)
        except UpstreamError:
            finish.failed = True
            raise
        finally:
            finish.served_tokens = output.tokens - before
            finish.cached_tokens = output.cached_tokens
            first_s = output.first_token_s or self._now_s()
            finish.first_token_ms = max(0, int((first_s - started_s) * MS))
            finish.total_ms = int((self._now_s() - started_s) * MS)
            finish.program_ended = self.call.end_program
            self._services.pools.finish(finish)

    async def _relay(self, url: str, added: list[str], max_tokens: int) -> None:
        output = self._output
        messages = [json.loads(text) for text in [*self.program.messages, *added]]
        request = EngineRequest(
            call_id=self.call.call_id,
            session=f"{self.call.workspace}/{self.program.program_id}",
            model=self._pool.model,
            messages=messages,
            max_tokens=max_tokens - output.tokens,
            resume_text=output.text,
            keep=not self.call.end_program,
        )
        events = self._services.upstreams.generate(url, request)
        async with aclosing(events) as stream:
            async for event in stream:
                match event:
                    case EngineToken(text):
                        self._on_token(text)
                        if output.tokens >= max_tokens:
                            # An engine that generates more than asked is cut off.
                            output.finish_reason = "length"
                            return
                    case EngineDone():
                        output.prompt_tokens = event.prompt_tokens
                        output.cached_tokens = event.cached_tokens
                        output.finish_reason = event.finish_reason
                        return

    def _on_token(self, text: str) -> None:
        output = self._output
        output.started = True
        if output.first_token_s is None:
            output.first_token_s = self._now_s()
            self._note(first_token_ms=self._elapsed_ms())
        output.text += text
        output.tokens += 1
        if self.call.stream:
            self._channel.put_nowait(CallChunk(text))

    def _model_record(
        self, outcome: Outcome, added: list[str], reserved_micros: int
    ) -> CallFinished:
        output = self._output
        messages: list[str] = []
        if outcome is Outcome.OK:
            answer = {"role": "assistant", "content": output.text}
            messages = [*added, json.dumps(answer)]
        charge = cost_micros(self._pool, output.prompt_tokens, output.tokens)
        return self._record(
            outcome,
            http_status=HTTP_OK,
            content_type=JSON,
            body=json.dumps(
                {"text": output.text, "finish_reason": output.finish_reason}
            ),
            messages=messages,
            charge_micros=min(charge, reserved_micros),
            upstream=output.upstream,
            held=not self.call.end_program,
        )

    # Calls to plain services.

    async def _run_plain(self, reserved_micros: int) -> CallFinished:
        excluded: list[str] = []
        for number in range(1, MAX_TRIES + 1):
            self._note(tries=number)
            placed = await self._place(len(self.call.body), 1, excluded)
            try:
                answer = await self._call_plain(placed, reserved_micros)
                return self._plain_record(answer, placed, reserved_micros)
            except UpstreamError as error:
                excluded.append(placed.upstream)
                if error.sent and self._route.repeat is Repeat.NEVER:
                    await self._record_unknown(placed)
                    raise FateUnknown(
                        f"call {self.call.call_id} was sent, and no answer came"
                    ) from error
                if error.sent:
                    self._output.started = True
        if self._output.started:
            raise UpstreamFailed
        raise UpstreamUnavailable(retry_after_s=1.0)

    async def _call_plain(self, placed: Placed, reserved_micros: int) -> PlainAnswer:
        started_s = self._now_s()
        finish = Finish(
            self.call.call_id,
            f"{self.call.service}/{self._route.pool}",
            placed.upstream,
        )
        never = self._route.repeat is Repeat.NEVER
        try:
            if never:
                await self._intend(placed, reserved_micros)
                # From here on the outcome must be recorded.
                self._interruptible = False
            await self._guard_send(placed, never)
            request = PlainRequest(
                self.call.call_id,
                self._route.path,
                self.call.body,
                self.call.content_type,
                self._route.timeout_s,
            )
            return await self._services.upstreams.call(placed.url, request)
        except UpstreamError as error:
            finish.failed = True
            if never and not error.sent:
                await self._abandon(placed)
            raise
        finally:
            finish.total_ms = int((self._now_s() - started_s) * MS)
            self._services.pools.finish(finish)

    async def _guard_send(self, placed: Placed, never: bool) -> None:
        """Raises `Refusal` unless this VM may send the call now."""
        try:
            self._services.guard()
            if self.partition.lost:
                raise NotOwner
        except Refusal:
            if never and not self.partition.lost:
                await self._abandon(placed)
            raise

    async def _intend(self, placed: Placed, reserved_micros: int) -> None:
        """Makes the intent durable, or raises `StoreUnavailable`."""
        record = CallIntended(
            new_id("record"),
            self.call.workspace,
            self.program.program_id,
            self.call.call_id,
            self.call.idempotency_key,
            self._digest,
            self.call.route,
            placed.upstream,
            reserved_micros,
        )
        waiting = self.partition.add(record)
        try:
            if await self._durable(waiting):
                return
        except FateUnknown as error:
            raise NotOwner from error
        self.partition.withdraw(waiting)
        await self._abandon(placed)
        raise StoreUnavailable(
            "the call's intent could not be made durable", retry_after_s=1.0
        )

    async def _abandon(self, placed: Placed) -> None:
        """Records that an intended call was certainly not sent."""
        self.partition.add(
            self._record(Outcome.NOT_RUN, body="", upstream=placed.upstream)
        )

    async def _record_unknown(self, placed: Placed) -> None:
        record = self._record(Outcome.UNKNOWN, body="", upstream=placed.upstream)
        with suppress(FateUnknown):
            await self._durable(self.partition.add(record))

    def _plain_record(
        self, answer: PlainAnswer, placed: Placed, reserved_micros: int
    ) -> CallFinished:
        failed = answer.status >= HTTP_SERVER_ERROR
        return self._record(
            Outcome.FAILED if failed else Outcome.OK,
            http_status=answer.status,
            content_type=answer.content_type,
            body=answer.body.decode(errors="replace"),
            charge_micros=0 if failed else reserved_micros,
            upstream=placed.upstream,
        )

    # Records and the answer.

    def _record(
        self,
        outcome: Outcome,
        *,
        body: str,
        upstream: str,
        http_status: int = HTTP_OK,
        content_type: str = JSON,
        messages: list[str] | None = None,
        charge_micros: int = 0,
        held: bool = False,
    ) -> CallFinished:
        self._note(total_ms=self._elapsed_ms())
        return CallFinished(
            record_id=new_id("record"),
            workspace=self.call.workspace,
            program_id=self.program.program_id,
            call_id=self.call.call_id,
            idempotency_key=self.call.idempotency_key,
            body_digest=self._digest,
            route=self.call.route,
            upstream=upstream,
            outcome=outcome,
            http_status=http_status,
            content_type=content_type,
            body=body,
            messages=messages or [],
            charge_micros=charge_micros,
            prompt_tokens=self._output.prompt_tokens,
            output_tokens=self._output.tokens,
            cached_tokens=self._output.cached_tokens,
            sequence=self.program.sequence + 1,
            at_unix_s=int(time.time()),
            trace=self._trace,
            held=held,
        )

    def _end_program(self) -> None:
        record = ProgramFinished(
            new_id("record"),
            self.call.workspace,
            self.program.program_id,
            "single call",
        )
        self.partition.add(record)

    async def _durable(self, waiting: Waiting) -> bool:
        """
        Waits a little for a record to become durable.

        Raises `FateUnknown` if the partition was lost before that.
        """
        wait_s = self._services.settings.timing.durable_wait_s
        await asyncio.wait([waiting.done], timeout=wait_s)
        if not waiting.done.done():
            return False
        if waiting.done.exception() is not None:
            raise FateUnknown(
                "the call ran, but another VM took the program over before it was "
                "recorded",
                not_run=NotRun.UNKNOWN,
            )
        return True

    def _end(
        self, record: CallFinished, durable: bool, replayed: bool = False
    ) -> CallEnd:
        sealed = ""
        if not durable:
            sealed = self._services.sealer.seal(
                record.workspace,
                record.program_id,
                [
                    item.text
                    for item in self.partition.waiting
                    if getattr(item.record, "workspace", "") == record.workspace
                    and getattr(item.record, "program_id", "") == record.program_id
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
        )
        return CallEnd(OUTCOME.dump_json(outcome))
