"""What is passed between the VMs that send requests and the scheduler of a service."""

import math
from dataclasses import dataclass
from enum import StrEnum

from damasksaddle_gateway.routing_config import Upstream


class RejectReason(StrEnum):
    """Why a request was rejected without being sent."""

    # The service has no upstream that may get requests.
    NO_UPSTREAM = "no-upstream"
    # The request excludes all upstreams of the service.
    EXCLUDED = "excluded"
    # No upstream that is left runs the software version that the request needs.
    VERSION = "version"
    # Its prompt and output, or its body, exceed what any upstream can hold.
    TOO_LARGE = "too-large"
    # It cannot be completed before its deadline.
    DEADLINE = "deadline"
    # It would begin a program that the load does not allow to finish in time.
    OVERLOADED = "overloaded"


class Decision(StrEnum):
    """What a scheduler would do with a request."""

    GRANT = "grant"
    WAIT = "wait"
    REJECT = "reject"


@dataclass(frozen=True, slots=True)
class Outlook:
    """
    What a scheduler would decide on a request now.

    `waiting` requests are in its queue, `ahead` of which go first. `wait_s` is the
    predicted wait in the queue, and `allowed_s` the longest wait after which the
    request can still complete in time.
    """

    decision: Decision
    reason: RejectReason | None
    waiting: int
    ahead: int
    wait_s: float
    allowed_s: float


class OutcomeKind(StrEnum):
    """How an attempt at an upstream ended."""

    COMPLETED = "completed"
    # The upstream rejected the request because it was full; it did not run.
    FULL = "full"
    # The upstream rejected the request with 421 because it was cold; it did not run.
    COLD = "cold"
    # No connection was made; the request did not run.
    NOT_REACHED = "not-reached"
    # The response failed or ended early; the request may have run.
    INTERRUPTED = "interrupted"
    # Its deadline passed before anything of a response; the request may have run.
    TIMED_OUT = "timed-out"
    # The caller left, or the VM did not use the lease. Says nothing of the upstream.
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """
    A request for a slot at an upstream of one service.

    `vm` is the entry VM and `failure_domain` its domain. `in_progress` is set if an
    earlier turn of the program has completed. Priority 0 is the most urgent.
    `time_left_s` and `program_time_left_s` count from when the request is submitted;
    the latter is None if the program has no deadline. `affinity` is the program id or
    the affinity key; requests with the same one gain from the same upstream.
    `connected` holds the ids of upstreams to which the entry VM has an idle
    connection. `software_version` is None if any version may serve the request. A
    request that is not `retryable` must not run twice.
    """

    id: str
    vm: str
    failure_domain: str
    workspace: str
    program: str = ""
    in_progress: bool = False
    priority: int = 0
    time_left_s: float = math.inf
    program_time_left_s: float | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    body_bytes: int = 0
    affinity: str = ""
    connected: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    software_version: str | None = None
    route: str = ""
    retryable: bool = True


@dataclass(frozen=True, slots=True)
class Lease:
    """
    The right to have one request in flight at one incarnation of an upstream.

    It expires `time_left_s` after it was granted, or after it was registered: the
    request's deadline plus a margin.
    """

    id: str
    vm: str
    workspace: str
    incarnation: tuple[str, str, int]
    prompt_tokens: int
    max_output_tokens: int
    body_bytes: int
    time_left_s: float


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may be sent to an upstream now."""

    lease: Lease
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is not sent; a slot may be free after `retry_after_s`."""

    retry_after_s: float
    reason: RejectReason


@dataclass(frozen=True, slots=True)
class Outcome:
    """
    How an attempt ended, and its times as measured by the entry VM.

    `event_gap_ms` is the mean time between events. A time is None if it is unknown;
    `total_ms` counts from when the request was sent.
    """

    kind: OutcomeKind
    first_event_ms: float | None = None
    event_gap_ms: float | None = None
    total_ms: float | None = None
    events: int = 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """
    What `explain` reports of one upstream for one request.

    `obstacle` names why it cannot get the request now; it is empty if it can. The
    predicted completion is the sum of the parts, and counts from now. `slowness` is the
    upstream's time relative to the service's usual time.
    """

    upstream: Upstream
    chosen: bool
    obstacle: str
    completion_s: float
    wait_s: float
    transit_s: float
    prefill_s: float
    decode_s: float
    penalty_s: float
    slowness: float
    in_flight: int
    window: int
