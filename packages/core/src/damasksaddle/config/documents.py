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


class Repeat(StrEnum):
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

    name: Name
    url: Annotated[str, Field(pattern=r"^https?://")]
    failure_domain: Name
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

    kind: RouteKind
    upstreams: Annotated[list[Upstream], Field(min_length=1)]
    policy: Policy = Policy.PROGRAM_FAIR
    model: str = Field(default="", description="Model that the engines must hold.")
    adapter: str = ""
    version: str = ""
    prompt_micros_per_ktoken: Annotated[int, Field(ge=0)] = 0
    output_micros_per_ktoken: Annotated[int, Field(ge=0)] = 0
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
    max_queue: Annotated[int, Field(ge=1)] = 2000
    keep_cache_s: Annotated[float, Field(ge=0)] = Field(
        default=60.0, description="How long a program's cache is kept between calls."
    )


class Route(Part):
    """A kind of call that callers can make."""

    pool: Name
    path: str = Field(default="/", description="Path at a plain upstream.")
    open: bool = Field(default=False, description="Needs no workspace key.")
    repeat: Repeat = Repeat.SAFE
    outcome_path: Annotated[str, Field(pattern=r"^(/.*\{call_id\}.*)?$")] = Field(
        default="",
        description="Path at the upstream that tells by GET what became of a call, "
        "for example `/calls/{call_id}`: 200 with the answer, or 404 if not seen.",
    )
    workspaces: list[Name] | None = Field(
        default=None, description="Who may use it; all workspaces if left out."
    )
    timeout_s: Annotated[float, Field(gt=0, le=3600)] = 120.0


class Workspace(Part):
    """A workspace's share."""

    rate_per_s: Annotated[float, Field(gt=0)]
    burst: Annotated[int, Field(ge=1)]
    weight: Annotated[float, Field(gt=0)] = 1.0
    max_wait_ms: Annotated[int, Field(ge=0, le=60_000)] = Field(
        default=2000, description="How long a request may wait for the rate."
    )


class ProgramLimits(Part):
    """What one program may use."""

    budget_micros: Annotated[int, Field(ge=0)] = 10_000_000
    max_turns: Annotated[int, Field(ge=1)] = 230
    max_history_bytes: Annotated[int, Field(ge=1)] = 2_000_000
    idle_timeout_s: Annotated[float, Field(gt=0)] = 3600.0


class ServiceDocument(Part):
    """The document of one service."""

    service: Name
    pools: Annotated[dict[Name, Pool], Field(min_length=1)]
    routes: Annotated[dict[Name, Route], Field(min_length=1)]
    workspaces: dict[Name, Workspace] = {}
    program: ProgramLimits = ProgramLimits()
