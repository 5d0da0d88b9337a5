"""Requests upstreams from pool owners, and registers calls with new owners."""

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

RETRY_DELAY_S = 0.2
REPORT_TIMEOUT_S = 2.0
# Longer than the removal of a failed owner takes. The end of a call that is never
# reported would occupy a slot at the new owner.
MAX_REPORT_S = 60.0


@dataclass(frozen=True, slots=True)
class PlacedCall:
    """A placed call that has not finished, as registered with a new pool owner."""

    call_id: str
    upstream: str
    workspace: str
    program_id: str
    prompt_tokens: int
    max_tokens: int

    @classmethod
    def from_placement(cls, place: Place, placed: Placed) -> "PlacedCall":
        """Creates the registration of a placement."""
        return cls(
            place.call_id,
            placed.upstream,
            place.workspace,
            place.program_id,
            place.prompt_tokens,
            place.max_tokens,
        )

    def to_json(self) -> str:
        """Serializes the call to JSON."""
        return json.dumps(asdict(self))

    @classmethod
    def from_json(cls, text: str) -> "PlacedCall":
        """Parses a call of a `Register` message."""
        return cls(**json.loads(text))


class PoolClient:
    """
    Places calls through the owner of their pool.

    When the owner of a pool changes, the calls that this VM has placed are registered
    with the new owner, so that it does not place more calls than there are slots.
    """

    def __init__(self, fleet: FleetLog, peers: PeerPool) -> None:
        self._fleet = fleet
        self._peers = peers
        self._placed_calls: dict[str, dict[str, PlacedCall]] = {}
        self._owners: dict[str, str | None] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()
        fleet.add_listener(self._on_record)

    async def place(self, message: Place, timeout_s: float) -> Placed:
        """
        Waits in the pool's queue and returns the upstream for a call.

        Raises `UpstreamUnavailable` if none is free within the timeout.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            remaining_s = deadline_s - loop.time()
            if remaining_s <= 0:
                raise UpstreamUnavailable("no upstream had a free slot in time")
            owner = self._fleet.state.owners.pool(message.pool)
            if owner is None:
                raise OwnerUnreachable("the fleet has no members")
            try:
                placed = await self._peers.request(owner, message, remaining_s)
                assert isinstance(placed, Placed)
                calls = self._placed_calls.setdefault(message.pool, {})
                calls[message.call_id] = PlacedCall.from_placement(message, placed)
                if self._fleet.state.owners.pool(message.pool) != owner:
                    # The owner changed while its response was in flight.
                    self._spawn(self._register_calls(message.pool))
                return placed
            except (PeerError, NotOwner) as error:
                log.debug("The owner of a pool did not place a call.", reason=error)
            await asyncio.sleep(RETRY_DELAY_S)

    def finish(self, message: Finish) -> None:
        """Reports the end of a call to the pool's owner in the background."""
        self._placed_calls.get(message.pool, {}).pop(message.call_id, None)
        self._spawn(self._send_to_owner(message))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _send_to_owner(self, message: Finish | Register) -> None:
        """Sends a message to the pool's owner, with retries until one accepts it."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + MAX_REPORT_S
        while loop.time() < deadline_s:
            owner = self._fleet.state.owners.pool(message.pool)
            if owner is None:
                return
            try:
                await self._peers.request(owner, message, REPORT_TIMEOUT_S)
                return
            except (PeerError, Refusal) as error:
                log.debug("The owner of a pool did not take a report.", reason=error)
            await asyncio.sleep(RETRY_DELAY_S)
            if isinstance(message, Register):
                message = self._registration(message.pool)

    def _registration(self, pool: str) -> Register:
        calls = self._placed_calls.get(pool, {}).values()
        return Register(pool, [call.to_json() for call in calls])

    async def _register_calls(self, pool: str) -> None:
        await self._send_to_owner(self._registration(pool))

    def _on_record(self, record: FleetRecord) -> None:
        state = self._fleet.state
        for pool in pool_names(state):
            owner = state.owners.pool(pool)
            former = self._owners.get(pool)
            self._owners[pool] = owner
            # A VM that still replays the log is not a member and has placed no calls.
            if former not in (None, owner) and self._peers.vm_id in state.members:
                self._spawn(self._register_calls(pool))
