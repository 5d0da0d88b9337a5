"""What the parts of one running call share."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from damasksaddle.config import Pool, Route
from damasksaddle.exceptions import NotOwner, Refusal
from damasksaddle.utils import Timing, digest_of, measure
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.limits import Limiter
from damasksaddle_node.peers.buffering import CoalescingQueue
from damasksaddle_node.pools import PoolClient
from damasksaddle_node.programs.budget import prompt_tokens_at_most
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import ProgramRecord, Trace
from damasksaddle_node.programs.sealed import Sealer
from damasksaddle_node.programs.state import Program
from damasksaddle_node.settings import Settings
from damasksaddle_node.upstreams import Upstreams
from damasksaddle_protocol import CallChunk, CallEnd, CallRequest, Place, Placed

MS = 1000
# First try and retries of a repeatable call, each on another upstream.
MAX_TRIES = 3
JSON = "application/json"

Event = CallChunk | CallEnd | Refusal


@dataclass(slots=True)
class CallDependencies:
    """What a run needs of the node."""

    settings: Settings
    fleet: FleetLog
    limiter: Limiter
    pools: PoolClient
    upstreams: Upstreams
    sealer: Sealer
    guard: Callable[[], None]


@dataclass(slots=True)
class Output:
    """
    What engines have produced for a call so far.

    `engines` are those that may hold memory for it.
    """

    text: str = ""
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    finish_reason: str = "stop"
    first_token_s: float | None = None
    upstream: str = ""
    engines: set[str] = field(default_factory=set)


@dataclass(eq=False, slots=True)
class CallContext:
    """
    One call, where it runs, and how far it is.

    `interruptible` is False from when the outcome must be recorded; `events` holds
    the answer on its way to the caller. `sent` is True once the call may have
    reached an upstream. `sealed` holds the records that the caller kept. `retry_key`
    finds the call again: it is the caller's idempotency key, or else the call id
    that the entry VM keeps through its tries.
    """

    services: CallDependencies
    partition: Partition
    program: Program
    call: CallRequest
    route: Route
    pool: Pool
    digest: str = field(init=False)
    trace: Trace = field(init=False)
    started_s: float = field(init=False)
    output: Output = field(default_factory=Output)
    events: "asyncio.Queue[Event]" = field(default_factory=CoalescingQueue)
    stop_reason: Refusal | None = None
    interruptible: bool = True
    sent: bool = False
    sealed: list[ProgramRecord] = field(default_factory=list)
    retry_key: str = field(init=False)

    def __post_init__(self) -> None:
        self.retry_key = self.call.idempotency_key or self.call.call_id
        self.digest = digest_of(self.call.body)
        self.trace = Trace(
            entry_vm=self.call.entry_vm, owner_vm=self.partition.commits.vm_id
        )
        self.started_s = self.now_s()

    def now_s(self) -> float:
        """Returns the time of the event loop."""
        return asyncio.get_running_loop().time()

    def elapsed_ms(self) -> int:
        """Returns the time since the call arrived."""
        return int((self.now_s() - self.started_s) * MS)

    def note(self, **fields: Any) -> None:
        """Adds to the trace of the call."""
        self.trace = replace(self.trace, **fields)

    @property
    def pool_name(self) -> str:
        """The pool's name over all services."""
        return f"{self.call.service}/{self.route.pool}"

    def check_holder(self) -> None:
        """Raises `Refusal` unless this VM may act for the program now."""
        self.services.guard()
        if self.partition.lost:
            raise NotOwner

    def _left_ms(self) -> int:
        """Returns the time to the caller's deadline, 0 if there is none."""
        if not self.call.timeout_ms:
            return 0
        return max(1, self.call.timeout_ms - self.elapsed_ms())

    async def place(
        self, prompt_bytes: int, max_tokens: int, excluded: list[str]
    ) -> Placed:
        """Returns an upstream for this call; raises `Refusal`."""
        message = Place(
            call_id=self.call.call_id,
            pool=self.pool_name,
            workspace=self.call.workspace,
            program_id=self.program.program_id,
            prompt_tokens=prompt_tokens_at_most(self.pool, prompt_bytes),
            max_tokens=max_tokens,
            attained_tokens=self.program.attained_tokens,
            last_upstream=self.program.upstream,
            excluded=excluded,
            route=self.call.route,
            deadline_ms=self._left_ms(),
        )
        placed = await self.services.pools.place(message, self.route.timeout_s)
        self.note(
            queue_wait_ms=self.trace.queue_wait_ms + placed.waited_ms,
            reason=placed.reason,
        )
        measure(Timing.QUEUE_WAIT, placed.waited_ms)
        return placed
