"""Interfaces that a platform adapter implements for the gateway."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from multidict import CIMultiDict, CIMultiDictProxy, MultiMapping

from damasksaddle.platform import Row
from damasksaddle_gateway.routing_config import RoutingConfig, Upstream, Workspace

# Prompts of a program's root agent have two parts: a prefix shared with other programs,
# and the program's own history.
ROOT_PROMPT_PARTS = 2


@dataclass(frozen=True, slots=True)
class ProgramMetadata:
    """
    Program attributes sent with a request.

    `time_left_ms` is the time until the program should finish and `budget_tokens` the
    number of tokens that all of its turns may generate together. Both are None if the
    request does not set them.
    """

    id: str
    session: str
    time_left_ms: float | None
    budget_tokens: int | None


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """
    Request attributes decoded from the headers.

    `forwarded` contains the headers that are sent to an upstream unchanged.
    `prompt_parts` lists the ids and token counts of the prompt's parts, in order.
    `last_event_id` is set if the request continues a stream after that event, and
    `resumed_request_id` names the request that brought the stream's first event.
    `previous_turn_id` is the request id of the turn that this one continues from, on
    routes that keep histories. Requests about the same object have the same
    `affinity_key`.
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
    resumed_request_id: str = ""
    previous_turn_id: str = ""
    affinity_key: str = ""

    @property
    def stream_id(self) -> str:
        """Identifies a stream in all requests that begin or continue it."""
        return self.resumed_request_id or self.request_id

    def startable_program_id(self) -> str:
        """
        Returns the id of the program that this request may start, or an empty string.

        Prompts of a program's root agent consist of a shared part and one of their own,
        which grows with each turn. Prompts of its sub-agents begin with both and add
        parts. A turn that continues from another one never starts a program.
        """
        program = self.program
        if program is None or program.budget_tokens is None or self.previous_turn_id:
            return ""
        return program.id if len(self.prompt_parts) <= ROOT_PROMPT_PARTS else ""


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """
    Response attributes decoded from the status and headers of an upstream.

    `rate_limit_per_s` is the number of requests per second that the upstream accepts
    from all VMs together, or None if it names no limit. `leaving` is set if it takes no
    new requests because it is about to end. `cold_ms` is the time for which it stays
    cold, or None if it does not say so. `upstream_id` is set in responses to probes.
    """

    request_id: str
    signed: bool
    not_run: bool
    misdirected: bool
    rate_limit_per_s: float | None = None
    leaving: bool = False
    cold_ms: float | None = None
    upstream_id: str = ""


class HeaderCodec(Protocol):
    """Converts between HTTP headers and metadata objects."""

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

    def probe_headers(self, upstream: Upstream) -> CIMultiDict[str]:
        """Returns the headers of a request for an upstream's health."""
        ...

    def decode_response(
        self, status: int, headers: MultiMapping[str]
    ) -> ResponseMetadata: ...

    def response_headers(self, headers: CIMultiDictProxy[str]) -> CIMultiDict[str]: ...

    def caller_failure_domain(self, query: Mapping[str, str]) -> str:
        """Returns the failure domain of a caller that queries the address directory."""
        ...

    def addresses_body(self, addresses: list[str], ttl_s: float) -> dict[str, Any]: ...


class RowDecoder(Protocol):
    """Decodes the rows that the operator and the upstreams write."""

    config_table: str
    upstream_table: str

    def decode_config(self, row: Row) -> RoutingConfig | None:
        """Returns None if the row holds no valid configuration."""
        ...

    def decode_evacuation(self, row: Row) -> str | None:
        """
        Returns the failure domain that a row of the configuration's table evacuates.

        Returns None for any other row. Only the key counts, so that deleted rows can be
        decoded too.
        """
        ...

    def decode_upstream(self, row: Row) -> Upstream | None:
        """Returns None if the row holds no usable upstream."""
        ...
