"""The state of a caller's request while the gateway processes it."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash
from aiohttp import web

from damasksaddle.utils import boottime_s
from damasksaddle.utils.connections import CallerConnection
from damasksaddle_gateway.events import EventSplitter
from damasksaddle_gateway.histories.chains import ChainBody
from damasksaddle_gateway.histories.recorder import TurnRecorder
from damasksaddle_gateway.interfaces import RequestMetadata
from damasksaddle_gateway.memory.requests import RequestMemory
from damasksaddle_gateway.routing_config import Route, Service, Workspace
from damasksaddle_gateway.turns import TurnReservation

if TYPE_CHECKING:
    from damasksaddle_gateway.histories.event_copies import StreamCopies

# Bytes at the start of a body that identify a request which comes again with more or
# less after them, as a prompt does whose history has grown.
BEGINNING_BYTES = 256


def request_fingerprints(
    workspace: Workspace | None,
    method: str,
    raw_path: str,
    body: bytes,
    previous_turn_id: str = "",
) -> tuple[str, ...]:
    """
    Identifies requests of a workspace with the same method, path and body.

    The first fingerprint is that of the whole body, the second that of its beginning.
    Turns that continue from different turns are different requests.
    """
    name = workspace.name if workspace else ""
    head = f"{name}\0{method}\0{raw_path}\0"
    if previous_turn_id:
        head += f"{previous_turn_id}\0"
    # Undecodable bytes of a header are surrogates in its text.
    prefix = head.encode(errors="surrogateescape")
    fingerprints = []
    for part in (body, body[:BEGINNING_BYTES]):
        digest = xxhash.xxh3_128(prefix)
        digest.update(part)
        fingerprints.append(digest.hexdigest())
    return tuple(fingerprints)


@dataclass(slots=True)
class AttemptTimes:
    """
    When one attempt was sent and its events arrived.

    `first_events` is how many of its events arrived together with the first one.
    """

    sent_s: float
    first_event_s: float | None = None
    last_event_s: float = 0.0
    first_events: int = 0
    events: int = 0

    def record_events(self, number: int) -> None:
        """Records that events have arrived."""
        now_s = boottime_s()
        if self.first_event_s is None:
            self.first_event_s = now_s
            self.first_events = number
        self.events += number
        self.last_event_s = now_s

    def first_event_ms(self) -> float | None:
        """Returns the time until the first event, or None without one."""
        if self.first_event_s is None:
            return None
        return (self.first_event_s - self.sent_s) * 1000

    def event_gap_ms(self) -> float | None:
        """Returns the mean time between events, or None if too few have arrived."""
        later_events = self.events - self.first_events
        if self.first_event_s is None or later_events <= 0:
            return None
        return (self.last_event_s - self.first_event_s) * 1000 / later_events


@dataclass(frozen=True, slots=True)
class ResumedStream:
    """The events that an earlier request of a stream passed on, and its number."""

    attempt: int
    events: list[bytes]


@dataclass(slots=True)
class Call:
    """
    A request with its routing data and its progress so far.

    `deadline_s` is the time at which the request times out. `may_have_run` is set while
    an upstream has received the request and has not reported that it did not run it.
    `rejection_s` is the time that the last upstream took to reject the request, and
    `permit_retry_s` the time until an upstream's rate limit permits another request.
    `times` are those of the last attempt, and `scheduler` the VM that granted its slot
    (`local` if none did, empty without schedulers). `response` is set once the response
    has started, and `version` once the upstream software version of a stream is fixed.
    `recorder` is set for turns that are stored; their `body` is then that of the whole
    chain, unless that is long: `chain` then reads it. `copies` is set if their stream
    may be taken up again at another VM, and `resumed` if it was. `connection` and
    `memory` account for the memory that the request takes.
    """

    metadata: RequestMetadata
    route: Route
    service: Service
    workspace: Workspace | None
    method: str
    raw_path: str
    body: bytes
    fingerprints: tuple[str, ...]
    started_s: float
    deadline_s: float
    last_event_id: str
    draining: bool = False
    attempts: int = 0
    tried_upstreams: list[str] = field(default_factory=list)
    rejections: int = 0
    rejected_by: set[str] = field(default_factory=set)
    rejection_s: float = 0.0
    permit_retry_s: float = 0.0
    may_have_run: bool = False
    tokens_used: int = 0
    reservation: TurnReservation | None = None
    events: EventSplitter = field(default_factory=EventSplitter)
    times: AttemptTimes | None = None
    scheduler: str = ""
    response: web.StreamResponse | None = None
    version: str | None = None
    recorder: TurnRecorder | None = None
    resumed: ResumedStream | None = None
    copies: "StreamCopies | None" = None
    chain: ChainBody | None = None
    connection: CallerConnection | None = None
    memory: RequestMemory = field(init=False)

    def __post_init__(self) -> None:
        self.memory = RequestMemory(self.connection)

    @property
    def body_bytes(self) -> int:
        """Returns the size of the body that the upstream gets."""
        return len(self.body) if self.chain is None else self.chain.size_bytes

    @property
    def continues_stream(self) -> bool:
        """Tells whether an earlier request began the stream."""
        return bool(self.metadata.last_event_id or self.metadata.resumed_request_id)

    @property
    def version_key(self) -> str:
        """
        Returns what decides on the version of a stream, in all requests for it.

        Empty if the request names neither a program nor the stream that it continues.
        """
        if self.metadata.program is not None:
            return self.metadata.program.id
        if self.continues_stream:
            return self.metadata.resumed_request_id
        return self.metadata.request_id

    def time_left_s(self) -> float:
        return self.deadline_s - boottime_s()
