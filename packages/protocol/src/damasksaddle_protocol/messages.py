"""
The messages between nodes as data classes.

Field names match `peer.capnp`; the codec maps `snake_case` to `camelCase`.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Hello:
    """Opens a connection; `mac` proves knowledge of the fleet secret."""

    vm_id: str
    nonce: bytes
    mac: bytes


@dataclass(slots=True)
class Ok:
    """The request was carried out and has no other answer."""


@dataclass(slots=True)
class Failure:
    """A refusal; `retry_after_ms` is -1 if a retry makes no sense."""

    code: str
    detail: str
    not_run: str
    retry_after_ms: int = -1


@dataclass(slots=True)
class Cancel:
    """The sender of the request with this id no longer wants its answer."""


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
    """A piece of a streamed answer."""

    text: str


@dataclass(slots=True)
class CallEnd:
    """The end of a call; `outcome` is JSON."""

    outcome: bytes


@dataclass(slots=True)
class Acquire:
    """Asks the owner of a workspace's bucket to admit one request."""

    workspace: str
    max_wait_ms: int


@dataclass(slots=True)
class TakeTokens:
    """
    Asks for tokens of a workspace's rate, to be used by the sender soon.

    If the request may begin a program, `program` names it. If it does, `reserve`
    tokens have to be left in the bucket for programs under way.
    """

    workspace: str
    tokens: int
    max_wait_ms: int
    reserve: int
    program: str = ""


@dataclass(slots=True)
class TokensTaken:
    """Tokens that the receiver may use."""

    tokens: int


@dataclass(slots=True)
class ReserveTokens:
    """
    Asks the holder of a program's budget to set tokens aside for one turn.

    It waits `patience_ms` for other turns to settle. A reservation that is not
    settled within `lapse_ms` counts as used.
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
    """A reservation; the turn may generate `tokens`."""

    reservation: int
    tokens: int


@dataclass(slots=True)
class SettleTokens:
    """Tells what a turn used of its reservation."""

    reservation: int
    used_tokens: int


@dataclass(slots=True)
class StoreReach:
    """Asks whether the store answers the receiver."""


@dataclass(slots=True)
class StoreReached:
    """Tells whether the store answers the sender."""

    answers: bool


@dataclass(slots=True)
class Acquired:
    """The request was admitted after `waited_ms`."""

    waited_ms: int


@dataclass(slots=True)
class Append:
    """
    Asks a committer to write records of one partition.

    `opened_at` is the position of the sender's `PartitionOpened`, 0 to open.
    """

    partition: int
    vm_id: str
    records: list[str]
    opened_at: int = 0


@dataclass(slots=True)
class Appended:
    """The records are durable in the row at `position` of `stream`."""

    stream: int
    position: int


@dataclass(slots=True)
class Place:
    """Asks a pool's scheduler for an upstream."""

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
    Tells a pool's new owner which calls of the sender run on its upstreams.

    Each call is the JSON of a `PlacedCall` of `damasksaddle_node.pools`.
    """

    pool: str
    calls: list[str]


@dataclass(slots=True)
class Placed:
    """The upstream that was chosen, and why."""

    upstream: str
    url: str
    waited_ms: int
    reason: str


@dataclass(slots=True)
class Finish:
    """Tells a pool's scheduler that a placed call is over."""

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
    """Asks a peer to vouch for a VM whose cursor is `cursor`."""

    vm_id: str
    cursor: int


@dataclass(slots=True)
class Vouched:
    """Whether the peer vouches, and its own cursor."""

    cursor: int
    granted: bool


@dataclass(slots=True)
class Release:
    """Asks a peer not to vouch for a VM that is suspected to have failed."""

    vm_id: str


@dataclass(slots=True)
class Released:
    """Whether the peer agrees not to vouch."""

    granted: bool


@dataclass(slots=True)
class ChangeHint:
    """The fleet log has grown to `cursor`."""

    cursor: int


@dataclass(slots=True)
class ChangeApplied:
    """The peer has applied the fleet log up to `cursor`."""

    cursor: int


@dataclass(slots=True)
class ProgramQuery:
    """
    Starts, reads, lists, ends or explains programs; `action` says which.

    A start names the service and the budget, -1 for the document's.
    """

    workspace: str
    program_id: str
    action: str
    service: str = ""
    budget_micros: int = -1


@dataclass(slots=True)
class ProgramAnswer:
    """The answer to a `ProgramQuery` as JSON."""

    body: bytes


@dataclass(slots=True)
class BucketHandover:
    """Asks the former owner of a workspace's bucket to stop granting."""

    workspace: str


@dataclass(slots=True)
class BucketLevel:
    """The tokens left in a bucket, -1 if the sender has no such bucket."""

    level: float


@dataclass(slots=True)
class Handover:
    """Asks the holder of a partition to finish its calls and close it."""

    partition: int


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
)


@dataclass(slots=True)
class Frame:
    """
    One message on a connection.

    `request_id` pairs answers with requests, `epoch` is the sender's fencing
    number, and `deadline_ms` is the time left for the request, 0 for none.
    """

    request_id: int
    message: Message
    epoch: int = 0
    deadline_ms: int = 0
