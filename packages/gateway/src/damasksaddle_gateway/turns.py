"""
Reserves tokens for turns at the coordinator of the program's budget and settles them.

A VM that is lost never settles its reservations. Each reservation therefore expires
some time after the turn's deadline, and all of its tokens then count as used.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass

from mode import Service

from damasksaddle.exceptions import PeerError, Refusal
from damasksaddle.utils import get_logger
from damasksaddle_gateway.budgets import Budgets, Reservation
from damasksaddle_gateway.coordinators import Coordinators
from damasksaddle_gateway.peers import Peers
from damasksaddle_node.peers import Sender
from damasksaddle_protocol import Ok, ReserveTokens, SettleTokens, TokensReserved

log = get_logger("budgets")

# Delay of the expiry after the turn's deadline, so that a late settlement still counts.
EXPIRY_MARGIN_S = 1.0
SETTLE_TIMEOUT_S = 0.5
SETTLE_ATTEMPTS = 2


@dataclass(frozen=True, slots=True)
class TurnReservation:
    """Tokens reserved for a turn, and the VM that reserved them."""

    coordinator: str
    id: int
    tokens: int


@dataclass(slots=True)
class _OpenReservation:
    reservation: Reservation
    expiry_timer: asyncio.TimerHandle


class TurnBudgets(Service):
    """Reserves and settles tokens on whichever VM coordinates a program's budget."""

    def __init__(
        self, vm: str, budgets: Budgets, coordinators: Coordinators, peers: Peers
    ) -> None:
        super().__init__()
        self._vm = vm
        self._budgets = budgets
        self._coordinators = coordinators
        self._peers = peers
        self._open_reservations: dict[int, _OpenReservation] = {}
        # Starts at a random number, so that an id from before a restart of this VM does
        # not settle another turn.
        self._ids = itertools.count(random.getrandbits(62))
        self._settle_tasks: set[asyncio.Task[None]] = set()
        peers.handlers.add(ReserveTokens, self._on_reserve)
        peers.handlers.add(SettleTokens, self._on_settle)

    async def reserve(
        self,
        workspace: str,
        program: str,
        budget: int,
        max_turn_tokens: int,
        max_wait_s: float,
        time_left_s: float,
        may_be_first_turn: bool,
    ) -> TurnReservation:
        """
        Reserves tokens for a turn that ends within `time_left_s`.

        Raises `BudgetExceeded`, or `StoreUnavailable` if no coordinator can check the
        budget.
        """
        message = ReserveTokens(
            workspace,
            program,
            budget,
            max_turn_tokens,
            int(max(0.0, max_wait_s) * 1000),
            int((max(0.0, time_left_s) + EXPIRY_MARGIN_S) * 1000),
            may_be_first_turn,
        )

        async def reserve_locally() -> TokensReserved:
            return await self._reserve(message)

        name = f"{workspace}/{program}"
        coordinator, response = await self._coordinators.request(
            name, message, reserve_locally, max_wait_s
        )
        assert isinstance(response, TokensReserved)
        return TurnReservation(coordinator, response.reservation, response.tokens)

    def settle(self, reservation: TurnReservation, used: int) -> None:
        """Reports the used tokens to the coordinator without waiting for a response."""
        message = SettleTokens(reservation.id, min(used, reservation.tokens))
        if reservation.coordinator == self._vm:
            self._settle(message)
            return
        task = asyncio.create_task(self._send(reservation.coordinator, message))
        self._settle_tasks.add(task)
        task.add_done_callback(self._settle_tasks.discard)

    async def _send(self, coordinator: str, message: SettleTokens) -> None:
        for _ in range(SETTLE_ATTEMPTS):
            try:
                await self._peers.request(coordinator, message, SETTLE_TIMEOUT_S)
                return
            except (PeerError, Refusal) as error:
                reason = error
        log.info(
            "Could not settle a turn; its reservation will expire.",
            holder=coordinator,
            reservation=message.reservation,
            error=repr(reason),
        )

    async def _on_reserve(
        self, message: ReserveTokens, sender: Sender
    ) -> TokensReserved:
        return await self._reserve(message)

    async def _on_settle(self, message: SettleTokens, sender: Sender) -> Ok:
        self._settle(message)
        return Ok()

    async def _reserve(self, message: ReserveTokens) -> TokensReserved:
        reservation = await self._budgets.reserve(
            message.workspace,
            message.program_id,
            message.budget_tokens,
            message.most_tokens,
            message.patience_ms / 1000,
            message.may_begin,
        )
        reservation_id = next(self._ids)
        expiry_timer = asyncio.get_running_loop().call_later(
            message.lapse_ms / 1000, self._expire, reservation_id
        )
        self._open_reservations[reservation_id] = _OpenReservation(
            reservation, expiry_timer
        )
        return TokensReserved(reservation_id, reservation.tokens)

    def _settle(self, message: SettleTokens) -> None:
        # A repeated settlement, or one from before a restart, has no open reservation.
        open_reservation = self._open_reservations.pop(message.reservation, None)
        if open_reservation is not None:
            open_reservation.expiry_timer.cancel()
            self._budgets.settle(open_reservation.reservation, message.used_tokens)

    def _expire(self, reservation_id: int) -> None:
        open_reservation = self._open_reservations.pop(reservation_id)
        log.info(
            "A reservation expired; all of its tokens count as used.",
            program=open_reservation.reservation.program,
            tokens=open_reservation.reservation.tokens,
        )
        self._budgets.settle(
            open_reservation.reservation, open_reservation.reservation.tokens
        )

    async def on_stop(self) -> None:
        """Waits for the last settlements to be sent."""
        if self._settle_tasks:
            await asyncio.wait(list(self._settle_tasks), timeout=SETTLE_TIMEOUT_S)
