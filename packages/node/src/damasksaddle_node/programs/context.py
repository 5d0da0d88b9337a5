"""The state that the components of a running call share."""

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
from damasksaddle_node.programs.budget import max_prompt_tokens
from damasksaddle_node.programs.partition import Partition
from damasksaddle_node.programs.records import ProgramRecord, Trace
from damasksaddle_node.programs.sealed import Sealer
from damasksaddle_node.programs.state import Program
from damasksaddle_node.settings import Settings
from damasksaddle_node.upstreams import Upstreams
from damasksaddle_protocol import CallChunk, CallEnd, CallRequest, Place, Placed

MS_PER_S = 1000
# The first attempt and the retries of a repeatable call, each on another upstream.
MAX_ATTEMPTS = 3
JSON_CONTENT_TYPE = "application/json"

CallEvent = CallChunk | CallEnd | Refusal


@dataclass(slots=True)
class CallDependencies:
    """The components of the node that a running call uses."""

    settings: Settings
    fleet: FleetLog
    limiter: Limiter
    pools: PoolClient
    upstreams: Upstreams
    sealer: Sealer
    check_lease_and_freshness: Callable[[], None]


@dataclass(slots=True)
class ModelOutput:
    """
    The output that engines have generated for a call so far.

    `first_token_s` is when the present engine generated its first token. `engines`
    lists the engines that may hold KV cache memory for the call.
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
    A running call: its request, program and partition, and its progress.

    `interruptible` becomes False once the outcome must be recorded. `events` queues
    the answer for the caller. `sent` is True once the call may have reached an
    upstream. `sealed` holds the opened records that the caller sent along. `retry_key`
    identifies the call across retries: it is the caller's idempotency key, or else
    the call id, which the entry VM reuses when it retries.
    """

    dependencies: CallDependencies
    partition: Partition
    program: Program
    call: CallRequest
    route: Route
    pool: Pool
    body_digest: str = field(init=False)
    trace: Trace = field(init=False)
    started_s: float = field(init=False)
    output: ModelOutput = field(default_factory=ModelOutput)
    events: "asyncio.Queue[CallEvent]" = field(default_factory=CoalescingQueue)
    cancel_reason: Refusal | None = None
    interruptible: bool = True
    sent: bool = False
    sealed: list[ProgramRecord] = field(default_factory=list)
    retry_key: str = field(init=False)

    def __post_init__(self) -> None:
        self.retry_key = self.call.idempotency_key or self.call.call_id
        self.body_digest = digest_of(self.call.body)
        self.trace = Trace(
            entry_vm=self.call.entry_vm, owner_vm=self.partition.commit_client.vm_id
        )
        self.started_s = self.now_s()

    def now_s(self) -> float:
        """Returns the time of the event loop's clock."""
        return asyncio.get_running_loop().time()

    def elapsed_ms(self) -> int:
        """Returns the time since the call arrived at the owner."""
        return int((self.now_s() - self.started_s) * MS_PER_S)

    def update_trace(self, **changes: Any) -> None:
        """Sets fields of the call's trace."""
        self.trace = replace(self.trace, **changes)

    @property
    def pool_name(self) -> str:
        """The name of the pool, qualified by its service."""
        return f"{self.call.service}/{self.route.pool}"

    def check_ownership(self) -> None:
        """
        Raises `Refusal` unless this VM may act for the program now.

        It needs a valid lease, a fresh state and the ownership of the partition.
        """
        self.dependencies.check_lease_and_freshness()
        if self.partition.lost:
            raise NotOwner

    def _remaining_ms(self) -> int:
        """Returns the time to the caller's deadline, or 0 if there is none."""
        if not self.call.timeout_ms:
            return 0
        return max(1, self.call.timeout_ms - self.elapsed_ms())

    async def place(
        self, prompt_bytes: int, max_tokens: int, excluded: list[str]
    ) -> Placed:
        """Returns the upstream that the scheduler chose; raises `Refusal`."""
        message = Place(
            call_id=self.call.call_id,
            pool=self.pool_name,
            workspace=self.call.workspace,
            program_id=self.program.program_id,
            prompt_tokens=max_prompt_tokens(self.pool, prompt_bytes),
            max_tokens=max_tokens,
            attained_tokens=self.program.attained_tokens,
            last_upstream=self.program.last_upstream,
            excluded=excluded,
            route=self.call.route,
            deadline_ms=self._remaining_ms(),
        )
        placed = await self.dependencies.pools.place(message, self.route.timeout_s)
        self.update_trace(
            queue_wait_ms=self.trace.queue_wait_ms + placed.waited_ms,
            reason=placed.reason,
        )
        measure(Timing.QUEUE_WAIT, placed.waited_ms)
        return placed
