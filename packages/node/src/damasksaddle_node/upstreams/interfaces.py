"""What the node expects of upstreams."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Any, Protocol

# Parameters of a caller that change only how an engine picks tokens.
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

    `resume_text` is output that another engine produced before it failed; the
    engine continues after it. `keep` asks it to keep the session's cache.
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
    """One piece of output."""

    text: str


@dataclass(frozen=True, slots=True)
class EngineDone:
    """The end of an engine's output, with what it counted."""

    prompt_tokens: int
    output_tokens: int
    cached_tokens: int
    finish_reason: str


EngineEvent = EngineToken | EngineDone


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """A load report of an engine, which lags."""

    running: int
    waiting: int
    cached_tokens: int
    cache_capacity_tokens: int
    sessions: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """What an engine now holds for a session; late, and some are lost."""

    number: int
    session: str
    tokens: int


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to hold weights and to take a role; `fence` is the epoch."""

    fence: int
    model: str
    adapter: str = ""
    version: str = ""
    role: str = ""


@dataclass(frozen=True, slots=True)
class EngineHoldings:
    """What an engine holds, and the highest fencing number that it took."""

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
    """The answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class Upstreams(Protocol):
    """
    Calls to upstreams by URL.

    All methods raise `UpstreamError`, whose `sent` tells whether the call may have
    reached the upstream.
    """

    def generate(
        self, url: str, request: EngineRequest
    ) -> AsyncGenerator[EngineEvent, None]: ...

    async def call(self, url: str, request: PlainRequest) -> PlainResponse: ...

    async def outcome(self, url: str, path: str) -> PlainResponse:
        """Asks a plain service what became of a call; status 404 means not seen."""
        ...

    async def release(self, url: str, session: str) -> None: ...

    async def load(self, url: str, sessions: bool = False) -> EngineLoad:
        """Returns a load report; `sessions` are large and left out by default."""
        ...

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]: ...

    async def order(self, url: str, order: EngineOrder) -> None:
        """Raises `OrderRefused` if the fencing number is old."""
        ...

    async def holdings(self, url: str) -> EngineHoldings: ...
