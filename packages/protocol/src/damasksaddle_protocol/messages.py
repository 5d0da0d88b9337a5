"""
The messages between nodes, as data classes.

Field names match `peer.capnp`; the codec maps `snake_case` to `camelCase`.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Hello:
    """Opens a connection; `mac` authenticates the sender with the fleet secret."""

    vm_id: str
    nonce: bytes
    mac: bytes


@dataclass(slots=True)
class Ok:
    """Confirms a request that has no other response."""


@dataclass(slots=True)
class Failure:
    """A refusal; `retry_after_ms` is -1 if no retry is suggested."""

    code: str
    detail: str
    not_run: str
    retry_after_ms: int = -1


@dataclass(slots=True)
class Cancel:
    """Cancels the request with this id."""


@dataclass(slots=True)
class CallRequest:
    """One call of a program, from the entry VM to the program's owner."""

    call_id: str
    workspace: str
    key_id: str
    service: str
    route: str
    program_id: str
    body: bytes
    idempotency_key: str = ""
    budget_micros: int = -1
    stream: bool = False
    end_program: bool = False
    sealed: str = ""
    content_type: str = "application/json"
    entry_vm: str = ""
    history_mode: str = "append"
    timeout_ms: int = 0


@dataclass(slots=True)
class CallChunk:
    """A chunk of a streamed response."""

    text: str


@dataclass(slots=True)
class CallEnd:
    """Ends a call; `outcome` is JSON."""

    outcome: bytes


@dataclass(slots=True)
class Acquire:
    """Requests admission of one request from the owner of the workspace's bucket."""

    workspace: str
    max_wait_ms: int


@dataclass(slots=True)
class TakeTokens:
    """
    Requests rate tokens of a workspace, which the sender expects to use soon.

    `reserve` is set if the request may be the first of `program`. If it is, so many
    tokens must remain in the bucket for running programs. `program_time_left_ms` is the
    time until the program should end, or 0 if it is unknown.
    """

    workspace: str
    tokens: int
    max_wait_ms: int
    reserve: int
    program: str = ""
    program_time_left_ms: int = 0


@dataclass(slots=True)
class TokensTaken:
    """Grants rate tokens to the receiver."""

    tokens: int


@dataclass(slots=True)
class ReserveTokens:
    """
    Requests a reservation for one turn from the holder of a program's budget.

    The holder waits up to `patience_ms` for other turns to settle. A reservation that
    is not settled within `lapse_ms` counts as used in full.
    """

    workspace: str
    program_id: str
    budget_tokens: int
    most_tokens: int
    patience_ms: int
    lapse_ms: int
    may_begin: bool = False


@dataclass(slots=True)
class TokensReserved:
    """Grants a reservation; the turn may generate `tokens`."""

    reservation: int
    tokens: int


@dataclass(slots=True)
class SettleTokens:
    """Reports how much of its reservation a turn used."""

    reservation: int
    used_tokens: int


@dataclass(slots=True)
class StoreReach:
    """Asks whether the receiver can reach the store."""


@dataclass(slots=True)
class StoreReached:
    """
    Reports whether the sender can reach the store.

    `silent_ms` is the time since the store last responded to the sender.
    """

    answers: bool
    silent_ms: int = 0


@dataclass(slots=True)
class Acquired:
    """Confirms that the request was admitted after `waited_ms`."""

    waited_ms: int


@dataclass(slots=True)
class Append:
    """
    Requests that a committer writes records of one partition.

    `opened_at` is the position of the sender's `PartitionOpened` record, or 0 to open
    the partition.
    """

    partition: int
    vm_id: str
    records: list[str]
    opened_at: int = 0


@dataclass(slots=True)
class Appended:
    """Confirms that the records are durable in the row at `position` of `stream`."""

    stream: int
    position: int


@dataclass(slots=True)
class Place:
    """Requests an upstream from a pool's scheduler."""

    call_id: str
    pool: str
    workspace: str
    program_id: str
    prompt_tokens: int
    max_tokens: int
    attained_tokens: int = 0
    last_upstream: str = ""
    excluded: list[str] = field(default_factory=list)
    vm_id: str = ""
    route: str = ""
    deadline_ms: int = 0


@dataclass(slots=True)
class Register:
    """
    Reports to a pool's new owner the sender's running calls on its upstreams.

    Each call is the JSON of a `PlacedCall` of `damasksaddle_node.pools`.
    """

    pool: str
    calls: list[str]


@dataclass(slots=True)
class Placed:
    """Returns the selected upstream and the reason."""

    upstream: str
    url: str
    waited_ms: int
    reason: str


@dataclass(slots=True)
class Finish:
    """Reports to a pool's scheduler that a placed call has finished."""

    call_id: str
    pool: str
    upstream: str
    served_tokens: int = 0
    cached_tokens: int = 0
    first_token_ms: int = 0
    total_ms: int = 0
    failed: bool = False
    program_ended: bool = False
    prompt_tokens: int = 0


@dataclass(slots=True)
class Vouch:
    """
    Asks a peer to confirm a VM whose cursor is `cursor`.

    A peer that grants this does not agree to the VM's removal for one lease.
    """

    vm_id: str
    cursor: int


@dataclass(slots=True)
class Vouched:
    """Returns whether the peer grants the confirmation, and its own cursor."""

    cursor: int
    granted: bool


@dataclass(slots=True)
class Release:
    """Asks a peer to refuse `Vouch` to a VM that is suspected to have failed."""

    vm_id: str


@dataclass(slots=True)
class Released:
    """Returns whether the peer agrees to refuse `Vouch`."""

    granted: bool


@dataclass(slots=True)
class ChangeHint:
    """Notifies a peer that the fleet log has reached `cursor`."""

    cursor: int


@dataclass(slots=True)
class ChangeApplied:
    """Confirms that the peer has applied the fleet log up to `cursor`."""

    cursor: int


@dataclass(slots=True)
class ProgramQuery:
    """
    Starts, reads, lists, ends or explains programs, depending on `action`.

    `service` and `budget_micros` apply to a start; a budget of -1 stands for the limit
    in the service document.
    """

    workspace: str
    program_id: str
    action: str
    service: str = ""
    budget_micros: int = -1


@dataclass(slots=True)
class ProgramAnswer:
    """The response to a `ProgramQuery`, as JSON."""

    body: bytes


@dataclass(slots=True)
class BucketHandover:
    """Asks the previous owner of a workspace's bucket to stop granting tokens."""

    workspace: str


@dataclass(slots=True)
class BucketLevel:
    """The tokens left in a bucket, or -1 if the sender has no such bucket."""

    level: float


@dataclass(slots=True)
class Handover:
    """Asks the holder of a partition to finish its calls and close the partition."""

    partition: int


@dataclass(slots=True)
class AnnounceLimit:
    """The rate limit that an upstream named; `limit_per_s` is -1 for no limit."""

    upstream: str
    limit_per_s: float
    age_ms: int


@dataclass(slots=True)
class TakePermit:
    """Requests a permit to send one request to an upstream with a rate limit."""

    upstream: str
    limit_per_s: float
    age_ms: int
    max_wait_ms: int


@dataclass(slots=True)
class PermitTaken:
    """A permit that is valid after `wait_ms`, or the time until one may be granted."""

    granted: bool
    wait_ms: int
    limit_per_s: float
    age_ms: int


@dataclass(slots=True)
class ReportCrash:
    """
    Reports that an upstream crashed while it ran a request.

    `started_at_ms` is when the upstream's process started, or 0 if that is unknown.
    """

    fingerprint: str
    upstream: str
    started_at_ms: int = 0


@dataclass(slots=True)
class FindCompletion:
    """Asks whether an upstream has completed a request lately."""

    fingerprint: str


@dataclass(slots=True)
class CompletionFound:
    """The answer to `FindCompletion`."""

    found: bool


@dataclass(slots=True)
class AnnounceQuarantine:
    """
    Tells that no upstream may get a request for `left_ms`, and how many crashed.
    """

    fingerprint: str
    left_ms: int
    crashes: int = 0


@dataclass(slots=True)
class RecordStream:
    """Tells which software version of a service began a stream."""

    service: str
    stream: str
    version: str


@dataclass(slots=True)
class FindStream:
    """Asks which software version of a service began a stream."""

    service: str
    stream: str


@dataclass(slots=True)
class StreamFound:
    """The version that began a stream; empty if the VM does not know it."""

    version: str


@dataclass(slots=True)
class RequestAnnouncements:
    """Asks a VM to send what was announced before the sender started."""


@dataclass(slots=True)
class FindTurns:
    """
    Asks for the inputs and outputs of a turn and of all turns that it continues from.

    With an empty turn id, it asks only whether the receiver can keep turns.
    `accepts_names` is set by senders that can read the content of a long chain
    themselves.
    """

    workspace: str
    turn_id: str
    accepts_names: bool = False


@dataclass(slots=True)
class TurnsFound:
    """
    The turns' inputs and outputs, oldest first; not found if no row exists.

    Of a long chain, only the names of its turns are sent, and the bytes of each.
    """

    found: bool
    body: bytes
    names: list[str] = field(default_factory=list)
    sizes_bytes: list[int] = field(default_factory=list)


@dataclass(slots=True)
class KeepTurn:
    """
    Asks for a finished turn to be stored; `Ok` confirms that it is durable, and
    `TurnPending` says that it is not yet.

    `ended_ms` is on the store's clock, or 0 if the sender does not know that. With it,
    all VMs that are asked write the same rows.
    """

    workspace: str
    turn_id: str
    previous_turn_id: str
    program_id: str
    input: bytes
    output: bytes
    retention_ms: int
    ended_ms: int = 0


@dataclass(slots=True)
class TurnPending:
    """Says that a turn waits for the store; the sender of `KeepTurn` asks again."""


@dataclass(slots=True)
class CopyEvents:
    """
    Events that a turn is about to pass on, to be held for the loss of the sender.

    There is no response. The events follow the first `offset_bytes` of the stream's
    events. `attempt` is higher for each request that goes on with the stream, and
    `version` is the software version of its upstreams.
    """

    workspace: str
    stream_id: str
    attempt: int
    version: str
    offset_bytes: int
    events: bytes
    lifetime_ms: int


@dataclass(slots=True)
class FindEvents:
    """Asks for the events of an interrupted turn."""

    workspace: str
    stream_id: str


@dataclass(slots=True)
class EventsFound:
    """The events of an interrupted turn; not found if the sender holds none."""

    found: bool
    attempt: int
    version: str
    events: bytes


@dataclass(slots=True)
class RequestPlace:
    """
    Requests a slot at an upstream from the scheduler of a service.

    `id` is unique among the requests of the sender; one that waits is asked for again
    with the same id. The scheduler holds the request for `hold_ms` before it responds
    that it waits. `program_time_left_ms` is -1 if the program has no deadline.
    `affinity` is empty if it is the program's id and `sticks_to_program` is set.
    `connected` tells to which upstreams the sender has an idle connection: a digest of
    its list of upstreams, and a bit for each of them.
    """

    service: str
    id: str
    workspace: str
    program: str
    route: str
    affinity: str
    sticks_to_program: bool
    in_progress: bool
    retryable: bool
    priority: int
    time_left_ms: int
    program_time_left_ms: int
    prompt_tokens: int
    max_output_tokens: int
    body_bytes: int
    hold_ms: int
    connected: bytes = b""
    excluded: list[str] = field(default_factory=list)
    needs_version: bool = False
    software_version: str = ""


@dataclass(slots=True)
class ExplainPlace(RequestPlace):
    """
    Asks what the scheduler would decide on a `RequestPlace` now, and why.

    It neither grants a slot nor queues the request.
    """


@dataclass(slots=True)
class PlaceExplained:
    """
    What a scheduler would decide on a request, and how the upstreams compare for it.

    `generation` is 0 if the sender does not schedule the service yet. `decision` and
    `reason` are those of `scheduling.requests.Outlook`. The lists have one entry for
    each upstream, the preferred one first.
    """

    generation: int
    rank: int = 0
    decision: str = ""
    reason: str = ""
    waiting: int = 0
    ahead: int = 0
    expected_wait_us: int = 0
    allowed_wait_ms: int = 0
    chosen: str = ""
    upstreams: list[str] = field(default_factory=list)
    obstacles: list[str] = field(default_factory=list)
    completion_us: list[int] = field(default_factory=list)
    wait_us: list[int] = field(default_factory=list)
    transit_us: list[int] = field(default_factory=list)
    prefill_us: list[int] = field(default_factory=list)
    decode_us: list[int] = field(default_factory=list)
    penalty_us: list[int] = field(default_factory=list)
    slowness_permille: list[int] = field(default_factory=list)
    in_flight: list[int] = field(default_factory=list)
    windows: list[int] = field(default_factory=list)


@dataclass(slots=True)
class PlaceGranted:
    """
    The decision on a `RequestPlace`: an upstream, or a reason why there is none.

    If both are empty, the request waits. `generation` identifies the scheduler's
    process; a VM registers its places with one that it does not know.
    """

    generation: int
    upstream: str = ""
    started_at_ms: int = 0
    reason: str = ""
    retry_after_ms: int = 0


@dataclass(slots=True)
class ReleasePlace:
    """
    Gives slots back and reports how the requests ended; lists are parallel.

    A request that still waits is withdrawn. `kinds` are codes of outcomes, and times
    are in microseconds; 0 is unknown.
    """

    service: str
    ids: list[str]
    kinds: list[int]
    first_event_us: list[int]
    event_gap_us: list[int]
    total_us: list[int]
    events: list[int]


@dataclass(slots=True)
class RegisterPlaces:
    """
    Reports all slots of a service that the sender uses now; lists are parallel.

    They replace what the scheduler knows of the sender.
    """

    service: str
    ids: list[str]
    workspaces: list[str]
    upstreams: list[str]
    started_at_ms: list[int]
    prompt_tokens: list[int]
    max_output_tokens: list[int]
    body_bytes: list[int]
    time_left_ms: list[int]


@dataclass(slots=True)
class PlacesRegistered:
    """Confirms a registration by the scheduler process with this generation."""

    generation: int


Message = (
    Hello
    | Ok
    | Failure
    | Cancel
    | CallRequest
    | CallChunk
    | CallEnd
    | Acquire
    | Acquired
    | Append
    | Appended
    | Place
    | Placed
    | Finish
    | Vouch
    | Vouched
    | Release
    | Released
    | ChangeHint
    | ChangeApplied
    | ProgramQuery
    | ProgramAnswer
    | BucketHandover
    | BucketLevel
    | Handover
    | Register
    | TakeTokens
    | TokensTaken
    | ReserveTokens
    | TokensReserved
    | SettleTokens
    | StoreReach
    | StoreReached
    | AnnounceLimit
    | TakePermit
    | PermitTaken
    | ReportCrash
    | AnnounceQuarantine
    | RequestAnnouncements
    | RecordStream
    | FindStream
    | StreamFound
    | FindTurns
    | TurnsFound
    | KeepTurn
    | CopyEvents
    | FindEvents
    | EventsFound
    | RequestPlace
    | PlaceGranted
    | ReleasePlace
    | RegisterPlaces
    | PlacesRegistered
    | TurnPending
    | ExplainPlace
    | PlaceExplained
    | FindCompletion
    | CompletionFound
)


@dataclass(slots=True)
class Frame:
    """
    One message on a connection.

    `request_id` matches responses to requests, `epoch` is the sender's fencing number,
    and `deadline_ms` is the time left for the request, or 0 for no deadline.
    """

    request_id: int
    message: Message
    epoch: int = 0
    deadline_ms: int = 0
