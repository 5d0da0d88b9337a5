"""Asks the owner of a pool for an upstream, and keeps a new owner informed."""

import asyncio
import json
from collections.abc import Coroutine
from dataclasses import asdict, dataclass
from typing import Any

from damasksaddle.exceptions import (
    NotOwner,
    OwnerUnreachable,
    PeerError,
    Refusal,
    UpstreamUnavailable,
)
from damasksaddle.utils import get_logger
from damasksaddle_node.fleet.log import FleetLog
from damasksaddle_node.fleet.records import FleetRecord
from damasksaddle_node.peers import PeerPool
from damasksaddle_node.pools.weights import pool_names
from damasksaddle_protocol import Finish, Place, Placed, Register

log = get_logger("pools")

RETRY_S = 0.2
REPORT_TIMEOUT_S = 2.0
# Longer than the removal of a dead owner takes. An end that is never reported would
# take up a slot at the new owner.
REPORT_FOR_S = 60.0


@dataclass(frozen=True, slots=True)
class PlacedCall:
    """A call that was placed and has not finished, as its VM registers it."""

    call_id: str
    upstream: str
    workspace: str
    program_id: str
    prompt_tokens: int
    max_tokens: int

    @classmethod
    def of(cls, place: Place, placed: Placed) -> "PlacedCall":
        """Returns what is registered of a placement."""
        return cls(
            place.call_id,
            placed.upstream,
            place.workspace,
            place.program_id,
            place.prompt_tokens,
            place.max_tokens,
        )

    def dump(self) -> str:
        """Returns it as JSON."""
        return json.dumps(asdict(self))

    @classmethod
    def load(cls, text: str) -> "PlacedCall":
        """Returns the call in a `Register`."""
        return cls(**json.loads(text))


class PoolClient:
    """
    Placement of calls, wherever the pool's owner is.

    When a pool changes its owner, the calls that this VM has placed are registered
    with the new one, so that it does not place more than the upstreams can run.
    """

    def __init__(self, fleet: FleetLog, peers: PeerPool) -> None:
        self._fleet = fleet
        self._peers = peers
        self._open: dict[str, dict[str, PlacedCall]] = {}
        self._owners: dict[str, str | None] = {}
        self._background: set[asyncio.Task[None]] = set()
        fleet.add_listener(self._on_record)

    async def place(self, message: Place, timeout_s: float) -> Placed:
        """
        Returns the upstream for a call, after waiting in the pool's queue.

        Raises `UpstreamUnavailable` if there is none within the timeout.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        while True:
            left_s = until_s - loop.time()
            if left_s <= 0:
                raise UpstreamUnavailable("no upstream was free in time")
            owner = self._fleet.state.owners.pool(message.pool)
            if owner is None:
                raise OwnerUnreachable("the fleet has no members")
            try:
                answer = await self._peers.request(owner, message, left_s)
                assert isinstance(answer, Placed)
                calls = self._open.setdefault(message.pool, {})
                calls[message.call_id] = PlacedCall.of(message, answer)
                if self._fleet.state.owners.pool(message.pool) != owner:
                    # The owner changed while its answer was on the way.
                    self._spawn(self._register(message.pool))
                return answer
            except (PeerError, NotOwner) as error:
                log.debug("A pool's owner did not place a call.", reason=error)
            await asyncio.sleep(RETRY_S)

    def finish(self, message: Finish) -> None:
        """Tells the pool's owner in the background that a call is over."""
        self._open.get(message.pool, {}).pop(message.call_id, None)
        self._spawn(self._report(message))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _report(self, message: Finish | Register) -> None:
        """Sends a message to the pool's owner until one has taken it."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + REPORT_FOR_S
        while loop.time() < until_s:
            owner = self._fleet.state.owners.pool(message.pool)
            if owner is None:
                return
            try:
                await self._peers.request(owner, message, REPORT_TIMEOUT_S)
                return
            except (PeerError, Refusal) as error:
                log.debug("A pool's owner was not informed.", reason=error)
            await asyncio.sleep(RETRY_S)
            if isinstance(message, Register):
                message = self._registration(message.pool)

    def _registration(self, pool: str) -> Register:
        calls = self._open.get(pool, {}).values()
        return Register(pool, [call.dump() for call in calls])

    async def _register(self, pool: str) -> None:
        await self._report(self._registration(pool))

    def _on_record(self, record: FleetRecord) -> None:
        state = self._fleet.state
        for pool in pool_names(state):
            owner = state.owners.pool(pool)
            former = self._owners.get(pool)
            self._owners[pool] = owner
            # A VM that replays the log is not a member yet.
            if former not in (None, owner) and self._peers.vm_id in state.members:
                self._spawn(self._register(pool))
