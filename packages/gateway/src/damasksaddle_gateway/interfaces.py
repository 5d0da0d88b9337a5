"""What the gateway expects of an adapter to a platform."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from damasksaddle.platform import Row
from damasksaddle_gateway.routing_config import RoutingConfig, Upstream, Workspace

# The part that a prompt shares with other programs, and the one of its own line.
ROOT_PROMPT_PARTS = 2


@dataclass(frozen=True, slots=True)
class ProgramMetadata:
    """
    What a request tells of its program.

    `time_left_ms` is the time until the program should be finished and
    `budget_tokens` what all of its turns may generate together; both are None if
    the request does not tell.
    """

    id: str
    session: str
    time_left_ms: float | None
    budget_tokens: int | None


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """
    What the headers of a request tell.

    `forwarded` are the headers that an upstream gets as the caller sent them.
    `prompt_parts` are the ids and token counts of the prompt's parts, in order.
    """

    request_id: str
    key: str
    deadline_ms: float | None
    program: ProgramMetadata | None
    prompt_tokens: int
    max_output_tokens: int
    prompt_parts: tuple[tuple[str, int], ...]
    last_event_id: str
    forwarded: CIMultiDict[str]

    def startable_program_id(self) -> str:
        """
        Returns the program whose first turn this can be, or an empty text.

        All turns of a program's own line have a shared part and one of their own, which
        grows; the prompts of its sub-agents begin with both.
        """
        program = self.program
        if program is None or program.budget_tokens is None:
            return ""
        return program.id if len(self.prompt_parts) <= ROOT_PROMPT_PARTS else ""


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the status and headers of an upstream's answer tell."""

    request_id: str
    signed: bool
    not_run: bool
    misdirected: bool


class HeaderCodec(Protocol):
    """Translates between headers and facts."""

    def decode_request(self, headers: CIMultiDictProxy[str]) -> RequestMetadata: ...

    def upstream_headers(
        self,
        metadata: RequestMetadata,
        upstream: Upstream,
        workspace: Workspace | None,
        time_left_ms: float,
        last_event_id: str,
        priority: int | None,
    ) -> CIMultiDict[str]: ...

    def decode_response(
        self, status: int, headers: Mapping[str, str]
    ) -> ResponseMetadata: ...

    def response_headers(self, headers: CIMultiDictProxy[str]) -> CIMultiDict[str]: ...

    def caller_failure_domain(self, query: Mapping[str, str]) -> str:
        """Returns the failure domain of a caller that asks for addresses."""
        ...

    def addresses_body(self, addresses: list[str], ttl_s: float) -> dict[str, Any]: ...


class Decoder(Protocol):
    """Reads the rows that the operator and the upstreams write."""

    config_table: str
    upstream_table: str

    def decode_config(self, row: Row) -> RoutingConfig | None:
        """Returns None for a row that holds no configuration."""
        ...

    def decode_upstream(self, row: Row) -> Upstream | None:
        """Returns None for a row that names no upstream to use."""
        ...
