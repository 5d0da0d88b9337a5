"""
Token budgets of programs, over all VMs and restarts.

A row per program holds how many tokens were granted to VMs and how many of these are
known to be spent. A VM takes a block by compare-and-set before a turn runs, so no
two VMs can spend the same token. What a VM took and did not report as spent counts as
spent when the VM is lost. A VM gives back what it does not use soon after the turn.

While the store is away for all VMs, `may_go_on` lets the program's holder grant more
than it took, within the budget and never more than one turn: if the holder is lost too,
the program can exceed its budget by one turn at most. The holder has to know the row,
or that the program has just begun. The row learns of it when the store is back.
"""

import asyncio
import json
import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from mode import Service

from damasksaddle.exceptions import (
    BudgetExceeded,
    ResponseLost,
    StoreUnavailable,
    TableUnavailable,
    WriteConflict,
)
from damasksaddle.platform import Put, row_key
from damasksaddle.utils import boottime_s, get_logger, partition_of
from damasksaddle_gateway.rows import CachedRow, change_row
from damasksaddle_gateway.store import StoreGate

log = get_logger("budgets")

TABLE = "budgets"
# Parts of the table that the rows are spread over; a part takes one write at a time.
PARTS = 32
# A block covers this many turns of the largest size, if the budget is ample: what a
# program can use in an outage, until keys can't be trusted any more.
TURNS_AHEAD = 12
# Blocks larger than one turn are taken only from this share of the budget, so that a
# program goes on when the VM is lost that holds one.
AMPLE_SHARE = 0.5
# Unused tokens go back after this time without a turn. Tools between two turns
# mostly take less, and the bound for settling is a second.
GIVE_BACK_S = 0.4
# While the budget is ample, they go back when the program has probably ended.
AMPLE_GIVE_BACK_S = 5.0
# How often a program that waits for other VMs to settle looks again.
SETTLE_POLL_S = 0.2
STORE_RETRY_S = 0.5
# Rows that were not changed for so long are removed. A program that was stopped may
# come back for a minute, and its last turn takes seconds.
KEEP_ROWS_S = 600.0
SWEEP_S = 60.0
# A transaction holds at most 100 entries.
SWEEP_ROWS = 100
# In an outage, a turn may start with this share of its largest size: most turns end
# long before that size, and one that does not is broken off.
SMALLEST_TURN_SHARE = 0.4
MAX_LEDGERS = 4096


@dataclass(slots=True)
class Ledger:
    """One program's tokens at this VM."""

    name: str
    row: CachedRow
    budget: int = 0
    held: int = 0
    # Turns under way that have a reservation.
    turns: int = 0
    # Granted without the store, and not yet in the row.
    overdraft: int = 0
    running: int = 0
    unreported: int = 0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    give_back: asyncio.TimerHandle | None = None
    # A turn was asked for that can be the program's first: nobody else may have granted
    # anything.
    may_begin: bool = False

    def open_tokens(self) -> int:
        """Returns how many tokens the row does not show as they are."""
        return self.held + self.unreported + self.overdraft


def _totals(value: dict[str, Any] | None) -> tuple[int, int]:
    """Returns the tokens that a row shows as granted and as spent."""
    return (value["granted"], value["spent"]) if value else (0, 0)


@dataclass(slots=True)
class Reservation:
    """Tokens set aside for one turn."""

    ledger: Ledger
    program: str
    tokens: int


class Budgets(Service):
    """Reserves tokens for turns, and settles what they used."""

    def __init__(
        self,
        table: StoreGate,
        settle_s: float,
        may_go_on: Callable[[str], Awaitable[bool]],
        sweeps: Callable[[str], bool] = lambda part: True,
    ) -> None:
        super().__init__()
        self._table = table
        self._settle_s = settle_s
        self._may_go_on = may_go_on
        # Which parts this VM sweeps.
        self._sweeps = sweeps
        self._ledgers: OrderedDict[str, Ledger] = OrderedDict()
        self._giving_back: set[asyncio.Task[None]] = set()

    async def reserve(
        self,
        workspace: str,
        program: str,
        budget: int,
        most: int,
        patience_s: float,
        may_begin: bool = False,
    ) -> Reservation:
        """
        Sets aside the most tokens that one turn may generate, or fewer in an outage.

        Waits at most `patience_s` for other turns to settle if the budget may hold
        this one then. Raises `BudgetExceeded`, or `StoreUnavailable` if the store
        cannot tell.
        """
        ledger = self._ledger(workspace, program)
        ledger.budget = budget
        ledger.may_begin = ledger.may_begin or may_begin
        give_up_s = boottime_s() + min(patience_s, self._settle_s)
        ledger.running += 1
        try:
            tokens = await self._reserve_or_wait(
                ledger, program, budget, most, give_up_s
            )
        except BaseException:
            self._ended(ledger)
            raise
        ledger.turns += 1
        return Reservation(ledger, program, tokens)

    async def _reserve_or_wait(
        self, ledger: Ledger, program: str, budget: int, most: int, give_up_s: float
    ) -> int:
        """Returns how many tokens were set aside, waiting for turns to settle."""
        while True:
            try:
                if tokens := await self._try_reserve(ledger, budget, most):
                    return tokens
                spent = self._spent(ledger)
                if spent + most > budget or boottime_s() >= give_up_s:
                    log.info(
                        "The budget is spent.",
                        program=program,
                        budget=budget,
                        spent=spent,
                        granted=self._granted(ledger),
                        most=most,
                    )
                    raise BudgetExceeded
            except StoreUnavailable:
                # Without the store, only turns under way can leave tokens.
                if not ledger.turns or boottime_s() >= give_up_s:
                    raise
            await asyncio.sleep(SETTLE_POLL_S)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Books what a turn used, and frees the rest of its reservation."""
        ledger = reservation.ledger
        ledger.held += reservation.tokens - used
        ledger.unreported += used
        ledger.turns -= 1
        self._ended(ledger)

    def _ended(self, ledger: Ledger) -> None:
        ledger.running -= 1
        if not ledger.running and not self.should_stop:
            self._schedule_give_back(ledger)

    def _ledger(self, workspace: str, program: str) -> Ledger:
        name = f"{workspace}/{program}"
        ledger = self._ledgers.get(name)
        if ledger is None:
            part = f"{partition_of(workspace, program) % PARTS:02d}"
            row = CachedRow(row_key(TABLE, part, name.replace("/", "|")))
            ledger = Ledger(name, row)
            self._ledgers[name] = ledger
            self._drop_idle()
        self._ledgers.move_to_end(name)
        return ledger

    def _drop_idle(self) -> None:
        for name in list(self._ledgers):
            if len(self._ledgers) <= MAX_LEDGERS:
                return
            ledger = self._ledgers[name]
            if not ledger.running and not ledger.open_tokens():
                del self._ledgers[name]

    @staticmethod
    def _granted(ledger: Ledger) -> int:
        return _totals(ledger.row.value)[0]

    @staticmethod
    def _spent(ledger: Ledger) -> int:
        return _totals(ledger.row.value)[1] + ledger.unreported

    async def _try_reserve(self, ledger: Ledger, budget: int, most: int) -> int:
        """Returns how many tokens were set aside, 0 if there are too few."""
        async with ledger.lock:
            tokens = most
            if ledger.held < most:
                try:
                    await self._take(ledger, budget, most)
                except StoreUnavailable:
                    tokens = await self._overdraw(ledger, budget, most)
                    if not tokens:
                        raise
            if ledger.held < tokens:
                return 0
            ledger.held -= tokens
            return tokens

    async def _overdraw(self, ledger: Ledger, budget: int, most: int) -> int:
        """Returns what a turn may generate while the store is away, 0 if too little."""
        if not await self._may_go_on(ledger.name):
            return 0
        if ledger.row.value is None and not ledger.may_begin:
            log.info(
                "Others may have granted all of it without the store.",
                program=ledger.name,
            )
            return 0
        granted = self._granted(ledger) + ledger.overdraft
        more = min(most - ledger.overdraft, budget - granted)
        tokens = min(most, ledger.held + more)
        if tokens < most * SMALLEST_TURN_SHARE:
            log.info(
                "Too little is left to grant without the store.",
                program=ledger.name,
                budget=budget,
                granted=granted,
                held=ledger.held,
                overdraft=ledger.overdraft,
                turns=ledger.turns,
            )
            return 0
        more = max(0, tokens - ledger.held)
        ledger.overdraft += more
        ledger.held += more
        log.info(
            "Granted without the store.",
            program=ledger.name,
            tokens=tokens,
            overdraft=ledger.overdraft,
        )
        return tokens

    async def _take(self, ledger: Ledger, budget: int, most: int) -> None:
        asked = 0
        unreported, overdraft = ledger.unreported, ledger.overdraft

        def take(value: dict[str, Any] | None) -> dict[str, Any] | None:
            nonlocal asked
            granted, spent = _totals(value)
            ample = int(budget * AMPLE_SHARE) - granted - overdraft
            asked = most - ledger.held
            if ample >= 2 * most:
                asked = max(asked, min(most * TURNS_AHEAD - ledger.held, ample))
            if granted + overdraft + asked > budget:
                return None
            return {
                "granted": granted + overdraft + asked,
                "spent": spent + unreported,
                "at_ms": self._table.clock.now_ms(),
            }

        if await self._change(ledger, take, unreported):
            ledger.held += asked
            ledger.overdraft -= overdraft

    async def _change(
        self,
        ledger: Ledger,
        change: Callable[[dict[str, Any] | None], dict[str, Any] | None],
        unreported: int,
    ) -> bool:
        try:
            written = await change_row(self._table, ledger.row, change, reread=True)
        except ResponseLost as error:
            # Spent tokens that are reported twice could end a program too early.
            # Those that are never reported still count as granted.
            ledger.unreported -= unreported
            log.warning("Granted tokens may be lost.", row=ledger.row.key)
            raise StoreUnavailable(retry_after_s=STORE_RETRY_S) from error
        except TableUnavailable as error:
            raise StoreUnavailable(retry_after_s=STORE_RETRY_S) from error
        if written:
            ledger.unreported -= unreported
        return written

    def _schedule_give_back(self, ledger: Ledger) -> None:
        if ledger.give_back is not None:
            ledger.give_back.cancel()
        ample = self._granted(ledger) <= ledger.budget * AMPLE_SHARE
        # The row has to learn soon of what was granted without the store.
        ample = ample and not ledger.overdraft
        ledger.give_back = asyncio.get_running_loop().call_later(
            AMPLE_GIVE_BACK_S if ample else GIVE_BACK_S, self._start_give_back, ledger
        )

    def _start_give_back(self, ledger: Ledger) -> None:
        task = asyncio.create_task(self._give_back(ledger))
        self._giving_back.add(task)
        task.add_done_callback(self._giving_back.discard)

    async def _give_back(self, ledger: Ledger) -> None:
        async with ledger.lock:
            if ledger.running or not ledger.open_tokens():
                return
            unused, ledger.held = ledger.held, 0
            unreported, overdraft = ledger.unreported, ledger.overdraft

            def give(value: dict[str, Any] | None) -> dict[str, Any] | None:
                granted, spent = _totals(value)
                return {
                    "granted": granted + overdraft - unused,
                    "spent": spent + unreported,
                    "at_ms": self._table.clock.now_ms(),
                }

            try:
                await self._change(ledger, give, unreported)
                ledger.overdraft -= overdraft
            except StoreUnavailable as error:
                if not isinstance(error.__cause__, ResponseLost):
                    ledger.held += unused
                    self._schedule_give_back(ledger)

    @Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(SWEEP_S * random.uniform(0.8, 1.2))
            for number in range(PARTS):
                part = f"{number:02d}"
                if self.should_stop or not self._sweeps(part):
                    continue
                try:
                    await self.remove_old_rows(part)
                except (TableUnavailable, ResponseLost, WriteConflict) as error:
                    log.info("Old rows stay for now.", part=part, error=repr(error))

    async def remove_old_rows(self, part: str) -> int:
        """Removes the rows of one part that nobody changes any more."""
        oldest_ms = self._table.clock.now_ms() - KEEP_ROWS_S * 1000
        after, removed = "", 0
        while True:
            page = await self._table.page(row_key(TABLE, part, ""), after, SWEEP_ROWS)
            old = [
                Put(row.key, None, row.version)
                for row in page.rows
                if json.loads(row.value).get("at_ms", 0.0) < oldest_ms
            ]
            if old:
                await self._table.commit(old)
                removed += len(old)
            if page.complete:
                return removed
            after = page.rows[-1].key

    async def on_stop(self) -> None:
        """Gives back what this VM holds, as far as the store answers."""
        for ledger in self._ledgers.values():
            if ledger.open_tokens():
                self._start_give_back(ledger)
        if self._giving_back:
            await asyncio.wait(list(self._giving_back), timeout=0.5)
