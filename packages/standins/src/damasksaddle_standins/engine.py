"""
A simulated model engine with batching, a prefix cache, sessions and priorities.

Tokens are words. The engine uses continuous batching: in one step, every decoding call
generates one token, and prefilling calls share a budget of prompt tokens. The duration
of a step grows with its work.
"""

import asyncio
import json
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field, replace
from typing import Any

from damasksaddle.exceptions import UpstreamError
from damasksaddle_node.upstreams import (
    CacheEvent,
    EngineDone,
    EngineEvent,
    EngineHoldings,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    EngineToken,
)
from damasksaddle_standins.cache import (
    BLOCK_TOKENS,
    CacheLedger,
    PrefixCache,
    block_hashes,
)
from damasksaddle_standins.orders import OrderHandler, WeightStore
from damasksaddle_standins.reports import CacheEvents, LoadReports


@dataclass(slots=True)
class EngineSettings:
    """
    Settings of a simulated engine; `slowness` multiplies all durations.

    A decoding step takes `token_s`, plus the fraction `batch_growth` of it for each
    further decoding call, plus `prefill_s_per_token` for each prefilled prompt token.
    """

    name: str = "engine"
    slots: int = 8
    prefill_s_per_token: float = 0.0005
    prefill_tokens_per_step: int = 512
    token_s: float = 0.01
    batch_growth: float = 0.05
    transfer_s_per_token: float = 0.00005
    cache_tokens: int = 200_000
    checks_fencing: bool = True
    slowness: float = 1.0
    load_lag_s: float = 0.0
    event_lag_s: float = 0.2
    event_loss: float = 0.0
    order_delay_s: float = 0.0
    fail_after_tokens: int | None = None
    extra_tokens: int = 0


@dataclass(slots=True)
class SeenCall:
    """The record of one call at an engine; times are event loop times."""

    call_id: str
    session: str
    prompt: str
    max_tokens: int
    tokens: int = 0
    ended: str = "running"
    arrived_s: float = 0.0
    ended_s: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(eq=False, slots=True)
class _Call:
    request: EngineRequest
    seen: SeenCall
    arrival_number: int
    words: list[str]
    block_hashes: list[int]
    resumed_tokens: int
    prefill_remaining: int = 0
    output: list[str] = field(default_factory=list)
    events: asyncio.Queue[EngineEvent | UpstreamError] = field(
        default_factory=asyncio.Queue
    )


class ModelEngine:
    """A simulated engine; `seen` records its calls in the order of arrival."""

    def __init__(
        self,
        settings: EngineSettings | None = None,
        ledger: CacheLedger | None = None,
        store: WeightStore | None = None,
    ) -> None:
        self.settings = settings = settings or EngineSettings()
        self.seen: list[SeenCall] = []
        self.released: list[str] = []
        self.cache = PrefixCache(settings.cache_tokens, ledger or CacheLedger())
        self.orders = OrderHandler(
            settings.name, settings.checks_fencing, store, settings.order_delay_s
        )
        self._events = CacheEvents(settings.event_lag_s, settings.event_loss)
        self._reports = LoadReports(settings.load_lag_s)
        self._waiting: list[_Call] = []
        self._batch: list[_Call] = []
        self._task: asyncio.Task[None] | None = None
        self._order_tasks: set[asyncio.Task[None]] = set()

    async def generate(
        self, request: EngineRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        """Yields the events of a call; raises `UpstreamError` if the call fails."""
        self._check_model(request.model)
        call = self._enqueue(request)
        try:
            while True:
                event = await call.events.get()
                if isinstance(event, UpstreamError):
                    raise event
                yield event
                if isinstance(event, EngineDone):
                    return
        finally:
            if call.seen.ended == "running":
                self._end_call(call, "cancelled")

    def _check_model(self, model: str) -> None:
        loaded_model = self.orders.holdings.model
        if self.orders.loading or (loaded_model and loaded_model != model):
            raise UpstreamError(f"model {model} is not loaded", sent=False)

    def _enqueue(self, request: EngineRequest) -> _Call:
        prompt = " ".join(str(message.get("content")) for message in request.messages)
        seen = SeenCall(request.call_id, request.session, prompt, request.max_tokens)
        seen.arrived_s = asyncio.get_running_loop().time()
        resumed_words = request.resume_text.split()
        words = prompt.split() + resumed_words
        seen.prompt_tokens = len(words)
        call = _Call(
            request,
            seen,
            len(self.seen),
            words,
            block_hashes(words),
            len(resumed_words),
        )
        self.seen.append(seen)
        self._waiting.append(call)
        if self._task is None:
            self._task = asyncio.create_task(self._run_steps())
        return call

    def _end_call(self, call: _Call, outcome: str) -> None:
        call.seen.ended = outcome
        call.seen.ended_s = asyncio.get_running_loop().time()
        for calls in (self._waiting, self._batch):
            if call in calls:
                calls.remove(call)

    async def _run_steps(self) -> None:
        try:
            while self._waiting or self._batch:
                self._admit()
                await self._step()
        finally:
            self._task = None

    def _admit(self) -> None:
        """Moves waiting calls into the batch, by priority and then by arrival."""
        self._waiting.sort(
            key=lambda call: (-call.request.priority, call.arrival_number)
        )
        while self._waiting and len(self._batch) < self.settings.slots:
            call = self._waiting.pop(0)
            cached = self.cache.match(call.block_hashes)
            self.cache.record_prefill(call.block_hashes, cached, len(call.words))
            call.seen.cached_tokens = cached
            call.prefill_remaining = len(call.words) - cached
            self._batch.append(call)

    async def _step(self) -> None:
        settings = self.settings
        decoding = [call for call in self._batch if not call.prefill_remaining]
        budget = settings.prefill_tokens_per_step
        chunks: list[tuple[_Call, int]] = []
        for call in self._batch:
            chunk = min(call.prefill_remaining, budget)
            if chunk:
                chunks.append((call, chunk))
                budget -= chunk
        prefilled = settings.prefill_tokens_per_step - budget
        step_s = prefilled * settings.prefill_s_per_token
        if decoding:
            growth = 1 + settings.batch_growth * (len(decoding) - 1)
            step_s += settings.token_s * growth
        await asyncio.sleep(step_s * settings.slowness)
        for call, chunk in chunks:
            call.prefill_remaining -= chunk
        for call in decoding:
            if call.seen.ended == "running":
                self._decode(call)

    def _decode(self, call: _Call) -> None:
        settings = self.settings
        if len(call.output) == settings.fail_after_tokens:
            self._end_call(call, "failed")
            call.events.put_nowait(
                UpstreamError("the engine failed during the call", sent=True)
            )
            return
        word = f"w{call.resumed_tokens + len(call.output)}"
        call.output.append(word)
        call.seen.tokens += 1
        call.events.put_nowait(EngineToken(f"{word} "))
        if len(call.output) >= call.request.max_tokens + settings.extra_tokens:
            self._finish(call)

    def _finish(self, call: _Call) -> None:
        self._end_call(call, "finished")
        hashes = block_hashes(call.words + call.output)
        self.cache.insert(call.request.session, hashes, call.request.keep)
        self._publish_cache_events()
        call.events.put_nowait(
            EngineDone(
                len(call.words) - call.resumed_tokens,
                call.resumed_tokens + len(call.output),
                call.seen.cached_tokens,
                "length",
            )
        )

    def _publish_cache_events(self) -> None:
        self._events.publish(self.cache.changed_sessions)
        self.cache.changed_sessions.clear()

    def held_sessions(self) -> set[str]:
        """Returns the sessions that hold cache memory."""
        return set(self.cache.held())

    def release(self, session: str) -> None:
        """Frees the cache memory of a session."""
        self.released.append(session)
        self.cache.release(session)
        self._publish_cache_events()

    def export_kv(self, session: str) -> list[int]:
        """Returns the block hashes of a kept session."""
        return self.cache.export(session)

    async def import_kv(self, session: str, blocks: list[int]) -> None:
        """Imports the blocks of a session; the duration grows with their size."""
        tokens = len(blocks) * BLOCK_TOKENS
        settings = self.settings
        await asyncio.sleep(tokens * settings.transfer_s_per_token * settings.slowness)
        self.cache.insert(session, blocks, keep=True)
        self._publish_cache_events()

    def load(self, sessions: bool = True) -> EngineLoad:
        """Returns a load report, delayed by `load_lag_s`."""
        report = self._reports.read(
            EngineLoad(
                running=len(self._batch),
                waiting=len(self._waiting),
                cached_tokens=self.cache.tokens,
                cache_capacity_tokens=self.settings.cache_tokens,
                sessions=self.cache.held(),
            )
        )
        return report if sessions else replace(report, sessions={})

    def cache_events(self, after: int) -> list[CacheEvent]:
        """Returns the published cache events with a number above `after`."""
        return self._events.after(after)

    async def order(self, order: EngineOrder) -> None:
        """
        Executes an order; raises `OrderRefused` or `UpstreamError`.

        An order that was sent takes effect even if its sender fails.
        """
        task = asyncio.create_task(self._execute_order(order))
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)
        await asyncio.shield(task)

    async def _execute_order(self, order: EngineOrder) -> None:
        if await self.orders.order(order):
            self.cache.clear()
            self._publish_cache_events()

    def holdings(self) -> EngineHoldings:
        """Returns the weights, role and fencing number that the engine holds."""
        return self.orders.holdings


def request_from_body(body: dict[str, Any]) -> EngineRequest:
    """Returns the engine request of a JSON body."""
    return EngineRequest(
        call_id=body["call_id"],
        session=body["session"],
        model=body["model"],
        messages=body["messages"],
        max_tokens=body["max_tokens"],
        priority=body.get("priority", 0),
        resume_text=body.get("resume_text", ""),
        keep=body.get("keep", False),
    )


def encode_event(event: EngineEvent) -> bytes:
    """Returns an event as an OpenAI-compatible server-sent event."""
    match event:
        case EngineToken(text):
            chunk: dict[str, Any] = {"choices": [{"delta": {"content": text}}]}
        case EngineDone():
            chunk = {
                "choices": [],
                "finish_reason": event.finish_reason,
                "usage": {
                    "prompt_tokens": event.prompt_tokens,
                    "completion_tokens": event.output_tokens,
                    "cached_tokens": event.cached_tokens,
                },
            }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"
