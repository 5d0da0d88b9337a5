"""
A model engine: continuous batching, a bounded prefix cache, sessions, priorities.

Tokens are words. A call first waits for a batch slot, then spends time on each
prompt token that is not cached, and then yields one token per step.
"""

import asyncio
import json
from collections import OrderedDict
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Any

from damasksaddle.exceptions import UpstreamError
from damasksaddle_node.upstreams import (
    EngineDone,
    EngineEvent,
    EngineLoad,
    EngineRequest,
    EngineToken,
)


@dataclass(slots=True)
class EngineSettings:
    """How an engine behaves; `slowness` multiplies all its times."""

    name: str = "engine"
    slots: int = 8
    prefill_s_per_token: float = 0.0005
    token_s: float = 0.01
    cache_tokens: int = 200_000
    checks_fencing: bool = True
    slowness: float = 1.0
    fail_after_tokens: int | None = None
    extra_tokens: int = 0


@dataclass(slots=True)
class SeenCall:
    """What an engine saw of one call."""

    call_id: str
    session: str
    prompt: str
    max_tokens: int
    tokens: int = 0
    ended: str = "running"


@dataclass(slots=True)
class _Cached:
    text: str
    tokens: int


@dataclass(slots=True)
class ModelEngine:
    """One engine; `seen` records its calls in the order of their arrival."""

    settings: EngineSettings = field(default_factory=EngineSettings)
    seen: list[SeenCall] = field(default_factory=list)
    released: list[str] = field(default_factory=list)
    recomputed_tokens: int = 0
    _slots: asyncio.Semaphore | None = None
    _running: int = 0
    _cache: OrderedDict[str, _Cached] = field(default_factory=OrderedDict)
    _held: set[str] = field(default_factory=set)

    async def generate(
        self, request: EngineRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        """Yields the tokens of a call; raises `UpstreamError` if it fails."""
        if self._slots is None:
            self._slots = asyncio.Semaphore(self.settings.slots)
        prompt = " ".join(str(message.get("content")) for message in request.messages)
        seen = SeenCall(request.call_id, request.session, prompt, request.max_tokens)
        self.seen.append(seen)
        try:
            async with self._slots:
                self._running += 1
                try:
                    async for event in self._run(request, seen):
                        yield event
                finally:
                    self._running -= 1
            seen.ended = "finished"
        except GeneratorExit:
            seen.ended = "cancelled"
            raise
        except asyncio.CancelledError:
            seen.ended = "cancelled"
            raise

    async def _run(
        self, request: EngineRequest, seen: SeenCall
    ) -> AsyncGenerator[EngineEvent, None]:
        settings = self.settings
        prompt = f"{seen.prompt} {request.resume_text}".strip()
        total = len(prompt.split())
        cached = self._cached_tokens(request.session, prompt)
        self.recomputed_tokens += total - cached
        prefill_s = (total - cached) * settings.prefill_s_per_token
        await asyncio.sleep(prefill_s * settings.slowness)
        before = len(request.resume_text.split())
        output: list[str] = []
        for number in range(request.max_tokens + settings.extra_tokens):
            if number == settings.fail_after_tokens:
                seen.ended = "failed"
                raise UpstreamError("the engine failed", sent=True)
            await asyncio.sleep(settings.token_s * settings.slowness)
            word = f"w{before + number} "
            output.append(word)
            seen.tokens += 1
            yield EngineToken(word)
        if request.keep:
            self._keep(request.session, f"{prompt} {''.join(output)}".strip())
        yield EngineDone(len(seen.prompt.split()), before + len(output), cached, "stop")

    def _cached_tokens(self, session: str, prompt: str) -> int:
        cached = self._cache.get(session)
        if cached is None or not prompt.startswith(cached.text):
            return 0
        self._cache.move_to_end(session)
        return cached.tokens

    def _keep(self, session: str, text: str) -> None:
        self._cache[session] = _Cached(text, len(text.split()))
        self._cache.move_to_end(session)
        self._held.add(session)
        while self.cached_total() > self.settings.cache_tokens:
            evicted, _ = self._cache.popitem(last=False)
            self._held.discard(evicted)

    def cached_total(self) -> int:
        """Returns the tokens in the cache."""
        return sum(cached.tokens for cached in self._cache.values())

    def held_sessions(self) -> set[str]:
        """Returns the sessions that hold memory."""
        return set(self._held)

    def release(self, session: str) -> None:
        """Frees what is held for a session."""
        self.released.append(session)
        self._cache.pop(session, None)
        self._held.discard(session)

    def load(self) -> EngineLoad:
        """Returns a load report."""
        waiting = sum(1 for call in self.seen if call.ended == "running")
        return EngineLoad(
            running=self._running,
            waiting=max(0, waiting - self._running),
            cached_tokens=self.cached_total(),
            cache_capacity_tokens=self.settings.cache_tokens,
            sessions={name: cached.tokens for name, cached in self._cache.items()},
        )


def request_from_body(body: dict[str, Any]) -> EngineRequest:
    """Returns the request in an HTTP body."""
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


def chunk_of(event: EngineEvent) -> bytes:
    """Returns an event in the OpenAI-compatible streaming shape."""
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
