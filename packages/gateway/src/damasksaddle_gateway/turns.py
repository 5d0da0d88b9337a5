"""
Reserves a turn's tokens at the holder of its program's budget, and settles them.

A VM that is lost never settles. So each reservation lapses some time after the turn's
deadline; all of its tokens count as used then.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass

from mode import Service

from damasksaddle.exceptions import PeerError, Refusal
from damasksaddle.utils import get_logger
from damasksaddle_gateway.budgets import Budgets, Reservation
from damasksaddle_gateway.holders import Holders
from damasksaddle_gateway.peers import Peers
from damasksaddle_node.peers import Sender
from damasksaddle_protocol import Ok, ReserveTokens, SettleTokens, TokensReserved

log = get_logger("budgets")

# Beyond the turn's deadline, so that a slow VM's settlement still counts.
LAPSE_MARGIN_S = 1.0
SETTLE_TIMEOUT_S = 0.5
SETTLE_TRIES = 2


@dataclass(frozen=True, slots=True)
class TurnReservation:
    """Tokens that a turn may generate, and which VM set them aside."""

    holder: str
    id: int
    tokens: int


@dataclass(slots=True)
class _Open:
    reservation: Reservation
    lapse: asyncio.TimerHandle


class TurnBudgets(Service):
    """The budgets of programs, wherever they are kept."""

    def __init__(
        self, vm: str, budgets: Budgets, holders: Holders, peers: Peers
    ) -> None:
        super().__init__()
        self._vm = vm
        self._budgets = budgets
        self._holders = holders
        self._peers = peers
        self._open: dict[int, _Open] = {}
        # A number from an earlier start of this VM must not settle another turn.
        self._ids = itertools.count(random.getrandbits(62))
        self._settling: set[asyncio.Task[None]] = set()
        peers.handlers.add(ReserveTokens, self._on_reserve)
        peers.handlers.add(SettleTokens, self._on_settle)

    async def reserve(
        self,
        workspace: str,
        program: str,
        budget: int,
        most: int,
        patience_s: float,
        time_left_s: float,
        may_begin: bool,
    ) -> TurnReservation:
        """
        Sets tokens aside for a turn that ends within `time_left_s`.

        Raises `BudgetExceeded`, or `StoreUnavailable` if nobody can tell.
        """
        message = ReserveTokens(
            workspace,
            program,
            budget,
            most,
            int(patience_s * 1000),
            int((time_left_s + LAPSE_MARGIN_S) * 1000),
            may_begin,
        )

        async def local() -> TokensReserved:
            return await self._reserve(message)

        name = f"{workspace}/{program}"
        holder, answer = await self._holders.ask(name, message, local, patience_s)
        assert isinstance(answer, TokensReserved)
        return TurnReservation(holder, answer.reservation, answer.tokens)

    def settle(self, reservation: TurnReservation, used: int) -> None:
        """Tells the holder what a turn used, without waiting for it."""
        message = SettleTokens(reservation.id, min(used, reservation.tokens))
        if reservation.holder == self._vm:
            self._settle(message)
            return
        task = asyncio.create_task(self._send(reservation.holder, message))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _send(self, holder: str, message: SettleTokens) -> None:
        for _ in range(SETTLE_TRIES):
            try:
                await self._peers.request(holder, message, SETTLE_TIMEOUT_S)
                return
            except (PeerError, Refusal) as error:
                reason = error
        log.info(
            "A turn was not settled; it will lapse.",
            holder=holder,
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
        number = next(self._ids)
        lapse = asyncio.get_running_loop().call_later(
            message.lapse_ms / 1000, self._lapse, number
        )
        self._open[number] = _Open(reservation, lapse)
        return TokensReserved(number, reservation.tokens)

    def _settle(self, message: SettleTokens) -> None:
        # A settlement that is repeated, or meant for an earlier start, finds nothing.
        found = self._open.pop(message.reservation, None)
        if found is not None:
            found.lapse.cancel()
            self._budgets.settle(found.reservation, message.used_tokens)

    def _lapse(self, number: int) -> None:
        found = self._open.pop(number)
        log.info(
            "A reservation lapsed; all of it counts as used.",
            program=found.reservation.program,
            tokens=found.reservation.tokens,
        )
        self._budgets.settle(found.reservation, found.reservation.tokens)

    async def on_stop(self) -> None:
        """Lets the last settlements leave."""
        if self._settling:
            await asyncio.wait(list(self._settling), timeout=SETTLE_TIMEOUT_S)
