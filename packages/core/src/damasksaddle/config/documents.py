"""
Service documents: what a team writes about its service.

One document per service names its pools of upstreams, its routes, the workspaces
with their limits, and what programs may do. Unknown fields are refused.
"""

from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class Part(BaseModel):
    """Base of all parts of a document."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class RouteKind(StrEnum):
    """What a route's calls are."""

    MODEL = "model"
    PLAIN = "plain"


class RetryPolicy(StrEnum):
    """Whether a call may be sent again when its fate is not known."""

    SAFE = "safe"
    NEVER = "never"


class Policy(StrEnum):
    """How a pool orders its queue and chooses an upstream."""

    PROGRAM_FAIR = "program_fair"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    STICKY = "sticky"


class Upstream(Part):
    """One upstream of a pool."""

    name: Name = Field(description="Unique among the pools of the service.")
    url: Annotated[str, Field(pattern=r"^https?://")] = Field(
        description="Base URL; paths are added to it."
    )
    failure_domain: Name = Field(description="Preferred for calls that start there.")
    slots: Annotated[int, Field(ge=1, le=4096)] = Field(
        default=8, description="Calls that run there at the same time."
    )
    checks_fencing: bool = Field(
        default=True,
        description="Whether it refuses an order with an old fencing number.",
    )
    leaving: bool = Field(default=False, description="Gets no new work.")


class Pool(Part):
    """Upstreams that can serve the same calls."""

    kind: RouteKind = Field(description="Model engines, or plain services.")
    upstreams: Annotated[list[Upstream], Field(min_length=1)] = Field(
        description="At least one."
    )
    policy: Policy = Field(
        default=Policy.PROGRAM_FAIR,
        description="How the queue is ordered and an upstream is chosen.",
    )
    model: str = Field(default="", description="Model that the engines must hold.")
    adapter: str = Field(default="", description="Adapter on the model.")
    version: str = Field(default="", description="Version of the model.")
    weight_loads: Annotated[int, Field(ge=1)] = Field(
        default=1,
        description="Loads of weights at one time in the whole fleet; the least of "
        "all pools counts.",
    )
    prompt_micros_per_ktoken: Annotated[int, Field(ge=0)] = Field(
        default=0, description="Price of 1,000 prompt tokens, in millionths."
    )
    output_micros_per_ktoken: Annotated[int, Field(ge=0)] = Field(
        default=0, description="Price of 1,000 output tokens, in millionths."
    )
    call_micros: Annotated[int, Field(ge=0)] = Field(
        default=0, description="Price of a call to a plain service, in millionths."
    )
    bytes_per_token: Annotated[float, Field(gt=0)] = Field(
        default=1.0,
        description="Lowest number of bytes that a token stands for; "
        "bounds the prompt tokens that a budget reserves.",
    )
    max_tokens: Annotated[int, Field(ge=1)] = Field(
        default=512, description="Output tokens of a call that states none."
    )
    max_queue: Annotated[int, Field(ge=1)] = Field(
        default=2000, description="Calls that may wait; more are refused at once."
    )
    keep_cache_s: Annotated[float, Field(ge=0)] = Field(
        default=60.0, description="How long a program's cache is kept between calls."
    )


class Route(Part):
    """A kind of call that callers can make."""

    pool: Name = Field(description="Pool whose upstreams take the calls.")
    path: str = Field(default="/", description="Path at a plain upstream.")
    open: bool = Field(default=False, description="Needs no workspace key.")
    repeat: RetryPolicy = Field(
        default=RetryPolicy.SAFE,
        description="Whether a call may be sent again when its fate is not known.",
    )
    outcome_path: Annotated[str, Field(pattern=r"^(/.*\{call_id\}.*)?$")] = Field(
        default="",
        description="Path at the upstream that tells by GET what became of a call, "
        "for example `/calls/{call_id}`: 200 with the answer, or 404 if not seen.",
    )
    workspaces: list[Name] | None = Field(
        default=None, description="Who may use it; all workspaces if left out."
    )
    timeout_s: Annotated[float, Field(gt=0, le=3600)] = Field(
        default=120.0, description="Longest time for a call, with all waits."
    )


class Workspace(Part):
    """A workspace's share."""

    rate_per_s: Annotated[float, Field(gt=0)] = Field(
        description="Requests per second over the whole fleet."
    )
    burst: Annotated[int, Field(ge=1)] = Field(
        description="Requests that may come at once after a pause."
    )
    weight: Annotated[float, Field(gt=0)] = Field(
        default=1.0, description="Share of a pool's tokens while others wait too."
    )
    max_wait_ms: Annotated[int, Field(ge=0, le=60_000)] = Field(
        default=2000, description="How long a request may wait for the rate."
    )


class ProgramLimits(Part):
    """What one program may use."""

    budget_micros: Annotated[int, Field(ge=0)] = Field(
        default=10_000_000,
        description="Budget of a root program and its sub-agents, in millionths; "
        "a caller can ask for less.",
    )
    max_turns: Annotated[int, Field(ge=1)] = Field(
        default=230, description="Calls of one program; ends endless loops."
    )
    max_history_bytes: Annotated[int, Field(ge=1)] = Field(
        default=2_000_000, description="Size of a program's messages."
    )
    idle_timeout_s: Annotated[float, Field(gt=0)] = Field(
        default=3600.0, description="A program without calls for so long is ended."
    )


class ServiceDocument(Part):
    """The document of one service."""

    service: Name = Field(description="First part of the names of its routes.")
    pools: Annotated[dict[Name, Pool], Field(min_length=1)] = Field(
        description="Upstreams, by the name of their pool."
    )
    routes: Annotated[dict[Name, Route], Field(min_length=1)] = Field(
        description="What callers can call, by name."
    )
    workspaces: dict[Name, Workspace] = Field(
        default={},
        description="Limits by workspace. One document declares a workspace; all "
        "documents can use it. `open` stands for the callers of open routes.",
    )
    program: ProgramLimits = Field(
        default=ProgramLimits(), description="What one program may use."
    )
