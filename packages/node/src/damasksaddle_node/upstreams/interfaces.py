"""The interface of upstreams and its data types."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Any, Protocol

# Request parameters that only affect how an engine samples tokens.
SAMPLING_PARAMETERS = (
    "frequency_penalty",
    "logit_bias",
    "min_p",
    "presence_penalty",
    "reasoning_effort",
    "response_format",
    "seed",
    "stop",
    "temperature",
    "top_k",
    "top_p",
)


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """
    A call to a model engine.

    `resume_text` is output that another engine generated before it failed; the engine
    continues from there. `keep` requests that it keep the session's KV cache.
    """

    call_id: str
    session: str
    model: str
    messages: list[dict[str, Any]]
    max_tokens: int
    priority: int = 0
    resume_text: str = ""
    keep: bool = False
    sampling: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EngineToken:
    """A piece of generated text."""

    text: str


@dataclass(frozen=True, slots=True)
class EngineDone:
    """The end of an engine's output, with its token counts."""

    prompt_tokens: int
    output_tokens: int
    cached_tokens: int
    finish_reason: str


EngineEvent = EngineToken | EngineDone


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """A load report of an engine; it lags behind the state of the engine."""

    running: int
    waiting: int
    cached_tokens: int
    cache_capacity_tokens: int
    sessions: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """The cached tokens of a session after a change; events can be late or lost."""

    number: int
    session: str
    tokens: int


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to load weights and take a role; `fence` is the sender's epoch."""

    fence: int
    model: str
    adapter: str = ""
    version: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class EngineHoldings:
    """The weights of an engine, and the highest fencing number it has accepted."""

    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    fence: int = 0


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """A call to a plain service."""

    call_id: str
    path: str
    body: bytes
    content_type: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class PlainResponse:
    """The response of a plain service."""

    status: int
    content_type: str
    body: bytes


class Upstreams(Protocol):
    """
    Calls to upstreams by URL.

    All methods raise `UpstreamError`; its `sent` is False if the call certainly did
    not reach the upstream.
    """

    def generate(
        self, url: str, request: EngineRequest
    ) -> AsyncGenerator[EngineEvent, None]: ...

    async def call(self, url: str, request: PlainRequest) -> PlainResponse: ...

    async def outcome(self, url: str, path: str) -> PlainResponse:
        """Queries the outcome of a call; status 404 means that it never arrived."""
        ...

    async def release(self, url: str, session: str) -> None: ...

    async def load(self, url: str, sessions: bool = False) -> EngineLoad:
        """Returns a load report; the sessions are long and left out by default."""
        ...

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]: ...

    async def order(self, url: str, order: EngineOrder) -> None:
        """Sends an order; raises `OrderRefused` if its fencing number is too old."""
        ...

    async def holdings(self, url: str) -> EngineHoldings: ...
