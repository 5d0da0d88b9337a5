"""
Schema of service documents.

Each service has one document. It declares the pools of upstreams, the routes, the
workspaces with their limits, and the limits of programs. Unknown fields are rejected.
"""

from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class DocumentModel(BaseModel):
    """Base class of all models in a document."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class RouteKind(StrEnum):
    """Kind of upstream that a pool or route uses."""

    MODEL = "model"
    PLAIN = "plain"


class RetryPolicy(StrEnum):
    """Whether a call may be retried when its outcome is unknown."""

    SAFE = "safe"
    NEVER = "never"


class Policy(StrEnum):
    """How a pool orders its queue and selects an upstream."""

    PROGRAM_FAIR = "program_fair"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    STICKY = "sticky"


class Upstream(DocumentModel):
    """One upstream of a pool."""

    name: Name = Field(
        description="Unique within its pool. Other pools of the service may use the "
        "name only with the same URL."
    )
    url: Annotated[str, Field(pattern=r"^https?://")] = Field(
        description="Base URL to which paths are appended."
    )
    failure_domain: Name = Field(
        description="Calls from this failure domain prefer the upstream."
    )
    slots: Annotated[int, Field(ge=1, le=4096)] = Field(
        default=8, description="Maximum number of concurrent calls."
    )
    checks_fencing: bool = Field(
        default=True,
        description="Whether it rejects orders with an outdated fencing number.",
    )
    leaving: bool = Field(default=False, description="Receives no new calls.")


class Pool(DocumentModel):
    """A group of interchangeable upstreams."""

    kind: RouteKind = Field(description="Model engines or plain services.")
    upstreams: Annotated[list[Upstream], Field(min_length=1)] = Field(
        description="Upstreams of the pool; at least one."
    )
    policy: Policy = Field(
        default=Policy.PROGRAM_FAIR,
        description="How the queue is ordered and an upstream is selected.",
    )
    model: str = Field(default="", description="Model that the engines serve.")
    adapter: str = Field(default="", description="Adapter of the model.")
    version: str = Field(default="", description="Version of the model.")
    weight_loads: Annotated[int, Field(ge=1)] = Field(
        default=1,
        description="Maximum number of concurrent weight loads in the fleet; the "
        "lowest value of all pools applies.",
    )
    prompt_micros_per_ktoken: Annotated[int, Field(ge=0)] = Field(
        default=0, description="Price of 1,000 prompt tokens, in micros (millionths)."
    )
    output_micros_per_ktoken: Annotated[int, Field(ge=0)] = Field(
        default=0, description="Price of 1,000 output tokens, in micros (millionths)."
    )
    call_micros: Annotated[int, Field(ge=0)] = Field(
        default=0, description="Price of a call to a plain service, in micros."
    )
    bytes_per_token: Annotated[float, Field(gt=0)] = Field(
        default=1.0,
        description="Minimum number of bytes per token; bounds the prompt tokens that "
        "are reserved from a budget.",
    )
    max_tokens: Annotated[int, Field(ge=1)] = Field(
        default=512, description="Output token limit of a call that sets none."
    )
    max_queue: Annotated[int, Field(ge=1)] = Field(
        default=2000,
        description="Maximum queue length; further calls are refused at once.",
    )
    keep_cache_s: Annotated[float, Field(ge=0)] = Field(
        default=60.0, description="How long a program's KV cache is kept between calls."
    )


class Route(DocumentModel):
    """An endpoint that callers can use."""

    pool: Name = Field(description="Pool that serves the calls.")
    path: str = Field(default="/", description="Request path at a plain upstream.")
    open: bool = Field(default=False, description="Requires no workspace key.")
    repeat: RetryPolicy = Field(
        default=RetryPolicy.SAFE,
        description="Whether a call may be retried when its outcome is unknown.",
    )
    outcome_path: Annotated[str, Field(pattern=r"^(/.*\{call_id\}.*)?$")] = Field(
        default="",
        description="Path at the upstream to query the outcome of a call with GET, "
        "for example `/calls/{call_id}`: 200 with the response, or 404 if unknown.",
    )
    workspaces: list[Name] | None = Field(
        default=None, description="Workspaces that may use the route; all if omitted."
    )
    timeout_s: Annotated[float, Field(gt=0, le=3600)] = Field(
        default=120.0, description="Time limit of a call, including all waits."
    )


class Workspace(DocumentModel):
    """Rate limit and scheduling weight of a workspace."""

    rate_per_s: Annotated[float, Field(gt=0)] = Field(
        description="Requests per second across the fleet."
    )
    burst: Annotated[int, Field(ge=1)] = Field(
        description="Maximum burst size, in requests."
    )
    weight: Annotated[float, Field(gt=0)] = Field(
        default=1.0, description="Relative share of a pool's tokens under contention."
    )
    max_wait_ms: Annotated[int, Field(ge=0, le=60_000)] = Field(
        default=2000, description="How long a request may wait for the rate limit."
    )


class ProgramLimits(DocumentModel):
    """Limits of a program."""

    budget_micros: Annotated[int, Field(ge=0)] = Field(
        default=10_000_000,
        description="Budget of a root program and its sub-agents, in micros; a "
        "caller can request less.",
    )
    max_turns: Annotated[int, Field(ge=1)] = Field(
        default=230,
        description="Maximum number of calls per program; stops endless loops.",
    )
    max_history_bytes: Annotated[int, Field(ge=1)] = Field(
        default=2_000_000, description="Maximum size of a program's messages."
    )
    idle_timeout_s: Annotated[float, Field(gt=0)] = Field(
        default=3600.0, description="Ends a program that makes no calls for this long."
    )


class ServiceDocument(DocumentModel):
    """The document of one service."""

    service: Name = Field(description="Prefix of the names of its routes.")
    pools: Annotated[dict[Name, Pool], Field(min_length=1)] = Field(
        description="Pools by name."
    )
    routes: Annotated[dict[Name, Route], Field(min_length=1)] = Field(
        description="Routes by name."
    )
    workspaces: dict[Name, Workspace] = Field(
        default={},
        description="Limits by workspace. A workspace is declared in one document "
        "and can be used in all. `open` applies to the callers of open routes.",
    )
    program: ProgramLimits = Field(
        default=ProgramLimits(), description="Limits of each program."
    )
