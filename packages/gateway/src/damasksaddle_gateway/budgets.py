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
    AnswerLost,
    BudgetExceeded,
    RowTaken,
    StoreUnavailable,
    TableUnavailable,
)
from damasksaddle.platform import Put, row_key
from damasksaddle.utils import elapsed_s, get_log, partition_of
from damasksaddle_gateway.rows import CachedRow, update_row
from damasksaddle_gateway.store import StoreCircuitBreaker

log = get_log("budgets")

TABLE = "budgets"
# Parts of the table that the rows are spread over; a part takes one write at a time.
TABLE_PARTS = 32
# A block covers this many turns of the largest size, if the budget is ample: what a
# program can use in an outage, until keys can't be trusted any more.
TURNS_PER_BLOCK = 12
# Blocks larger than one turn are taken only from this share of the budget, so that a
# program goes on when the VM is lost that holds one.
LARGE_BLOCK_SHARE = 0.5
# Unused tokens go back after this time without a turn. Tools between two turns
# mostly take less, and the bound for settling is a second.
RETURN_DELAY_S = 0.4
# While the budget is ample, they go back when the program has probably ended.
LARGE_BLOCK_RETURN_DELAY_S = 5.0
# How often a program that waits for other VMs to settle looks again.
SETTLE_POLL_S = 0.2
STORE_RETRY_S = 0.5
# Rows that were not changed for so long are removed. A program that was stopped may
# come back for a minute, and its last turn takes seconds.
ROW_RETENTION_S = 600.0
CLEANUP_INTERVAL_S = 60.0
# A transaction holds at most 100 entries.
CLEANUP_PAGE_ROWS = 100
# In an outage, a turn may start with this share of its largest size: most turns end
# long before that size, and one that does not is broken off.
MIN_TURN_SHARE = 0.4
MAX_CACHED_ACCOUNTS = 4096


@dataclass(slots=True)
class TokenAccount:
    """One program's tokens at this VM."""

    name: str
    row: CachedRow
    budget: int = 0
    available: int = 0
    # Turns under way that have a reservation.
    open_turns: int = 0
    # Granted without the store, and not yet in the row.
    offline_granted: int = 0
    active_requests: int = 0
    unrecorded_spent: int = 0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    return_timer: asyncio.TimerHandle | None = None
    # A turn was asked for that can be the program's first: nobody else may have granted
    # anything.
    may_be_first_turn: bool = False

    def unrecorded_tokens(self) -> int:
        """Returns how many tokens the row does not show as they are."""
        return self.available + self.unrecorded_spent + self.offline_granted


def _row_totals(value: dict[str, Any] | None) -> tuple[int, int]:
    """Returns the tokens that a row shows as granted and as spent."""
    return (value["granted"], value["spent"]) if value else (0, 0)


@dataclass(slots=True)
class Reservation:
    """Tokens set aside for one turn."""

    account: TokenAccount
    program: str
    tokens: int


class Budgets(Service):
    """Reserves tokens for turns, and settles what they used."""

    def __init__(
        self,
        table: StoreCircuitBreaker,
        settle_s: float,
        may_grant_offline: Callable[[str], Awaitable[bool]],
        cleans_up_part: Callable[[str], bool] = lambda part: True,
    ) -> None:
        super().__init__()
        self._table = table
        self._settle_s = settle_s
        self._may_grant_offline = may_grant_offline
        # Which parts this VM sweeps.
        self._cleans_up_part = cleans_up_part
        self._accounts: OrderedDict[str, TokenAccount] = OrderedDict()
        self._return_tasks: set[asyncio.Task[None]] = set()

    async def reserve(
        self,
        workspace: str,
        program: str,
        budget: int,
        max_turn_tokens: int,
        max_wait_s: float,
        may_be_first_turn: bool = False,
    ) -> Reservation:
        """
        Sets aside the most tokens that one turn may generate, or fewer in an outage.

        Waits at most `patience_s` for other turns to settle if the budget may hold
        this one then. Raises `BudgetExceeded`, or `StoreUnavailable` if the store
        cannot tell.
        """
        account = self._account(workspace, program)
        account.budget = budget
        account.may_be_first_turn = account.may_be_first_turn or may_be_first_turn
        deadline_s = elapsed_s() + min(max_wait_s, self._settle_s)
        account.active_requests += 1
        try:
            tokens = await self._reserve_or_wait(
                account, program, budget, max_turn_tokens, deadline_s
            )
        except BaseException:
            self._finish_request(account)
            raise
        account.open_turns += 1
        return Reservation(account, program, tokens)

    async def _reserve_or_wait(
        self,
        account: TokenAccount,
        program: str,
        budget: int,
        max_turn_tokens: int,
        deadline_s: float,
    ) -> int:
        """Returns how many tokens were set aside, waiting for turns to settle."""
        while True:
            try:
                if tokens := await self._try_reserve(account, budget, max_turn_tokens):
                    return tokens
                spent = self._spent(account)
                if spent + max_turn_tokens > budget or elapsed_s() >= deadline_s:
                    log.info(
                        "The budget is spent.",
                        program=program,
                        budget=budget,
                        spent=spent,
                        granted=self._granted(account),
                        most=max_turn_tokens,
                    )
                    raise BudgetExceeded
            except StoreUnavailable:
                # Without the store, only turns under way can leave tokens.
                if not account.open_turns or elapsed_s() >= deadline_s:
                    raise
            await asyncio.sleep(SETTLE_POLL_S)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Books what a turn used, and frees the rest of its reservation."""
        account = reservation.account
        account.available += reservation.tokens - used
        account.unrecorded_spent += used
        account.open_turns -= 1
        self._finish_request(account)

    def _finish_request(self, account: TokenAccount) -> None:
        account.active_requests -= 1
        if not account.active_requests and not self.should_stop:
            self._schedule_return(account)

    def _account(self, workspace: str, program: str) -> TokenAccount:
        name = f"{workspace}/{program}"
        account = self._accounts.get(name)
        if account is None:
            part = f"{partition_of(workspace, program) % TABLE_PARTS:02d}"
            row = CachedRow(row_key(TABLE, part, name.replace("/", "|")))
            account = TokenAccount(name, row)
            self._accounts[name] = account
            self._evict_idle_accounts()
        self._accounts.move_to_end(name)
        return account

    def _evict_idle_accounts(self) -> None:
        for name in list(self._accounts):
            if len(self._accounts) <= MAX_CACHED_ACCOUNTS:
                return
            account = self._accounts[name]
            if not account.active_requests and not account.unrecorded_tokens():
                del self._accounts[name]

    @staticmethod
    def _granted(account: TokenAccount) -> int:
        return _row_totals(account.row.value)[0]

    @staticmethod
    def _spent(account: TokenAccount) -> int:
        return _row_totals(account.row.value)[1] + account.unrecorded_spent

    async def _try_reserve(
        self, account: TokenAccount, budget: int, max_turn_tokens: int
    ) -> int:
        """Returns how many tokens were set aside, 0 if there are too few."""
        async with account.lock:
            tokens = max_turn_tokens
            if account.available < max_turn_tokens:
                try:
                    await self._take_block(account, budget, max_turn_tokens)
                except StoreUnavailable:
                    tokens = await self._grant_offline(account, budget, max_turn_tokens)
                    if not tokens:
                        raise
            if account.available < tokens:
                return 0
            account.available -= tokens
            return tokens

    async def _grant_offline(
        self, account: TokenAccount, budget: int, max_turn_tokens: int
    ) -> int:
        """Returns what a turn may generate while the store is away, 0 if too little."""
        if not await self._may_grant_offline(account.name):
            return 0
        if account.row.value is None and not account.may_be_first_turn:
            log.info(
                "Others may have granted all of it without the store.",
                program=account.name,
            )
            return 0
        granted = self._granted(account) + account.offline_granted
        extra = min(max_turn_tokens - account.offline_granted, budget - granted)
        tokens = min(max_turn_tokens, account.available + extra)
        if tokens < max_turn_tokens * MIN_TURN_SHARE:
            log.info(
                "Too little is left to grant without the store.",
                program=account.name,
                budget=budget,
                granted=granted,
                held=account.available,
                overdraft=account.offline_granted,
                turns=account.open_turns,
            )
            return 0
        extra = max(0, tokens - account.available)
        account.offline_granted += extra
        account.available += extra
        log.info(
            "Granted without the store.",
            program=account.name,
            tokens=tokens,
            overdraft=account.offline_granted,
        )
        return tokens

    async def _take_block(
        self, account: TokenAccount, budget: int, max_turn_tokens: int
    ) -> None:
        requested = 0
        unrecorded_spent, offline_granted = (
            account.unrecorded_spent,
            account.offline_granted,
        )

        def update(value: dict[str, Any] | None) -> dict[str, Any] | None:
            nonlocal requested
            granted, spent = _row_totals(value)
            large_block_limit = (
                int(budget * LARGE_BLOCK_SHARE) - granted - offline_granted
            )
            requested = max_turn_tokens - account.available
            if large_block_limit >= 2 * max_turn_tokens:
                requested = max(
                    requested,
                    min(
                        max_turn_tokens * TURNS_PER_BLOCK - account.available,
                        large_block_limit,
                    ),
                )
            if granted + offline_granted + requested > budget:
                return None
            return {
                "granted": granted + offline_granted + requested,
                "spent": spent + unrecorded_spent,
                "at_ms": self._table.clock.now_ms(),
            }

        if await self._update_row(account, update, unrecorded_spent):
            account.available += requested
            account.offline_granted -= offline_granted

    async def _update_row(
        self,
        account: TokenAccount,
        update: Callable[[dict[str, Any] | None], dict[str, Any] | None],
        unrecorded_spent: int,
    ) -> bool:
        try:
            written = await update_row(self._table, account.row, update, reread=True)
        except AnswerLost as error:
            # Spent tokens that are reported twice could end a program too early.
            # Those that are never reported still count as granted.
            account.unrecorded_spent -= unrecorded_spent
            log.warning("Granted tokens may be lost.", row=account.row.key)
            raise StoreUnavailable(retry_after_s=STORE_RETRY_S) from error
        except TableUnavailable as error:
            raise StoreUnavailable(retry_after_s=STORE_RETRY_S) from error
        if written:
            account.unrecorded_spent -= unrecorded_spent
        return written

    def _schedule_return(self, account: TokenAccount) -> None:
        if account.return_timer is not None:
            account.return_timer.cancel()
        delay_return = self._granted(account) <= account.budget * LARGE_BLOCK_SHARE
        # The row has to learn soon of what was granted without the store.
        delay_return = delay_return and not account.offline_granted
        account.return_timer = asyncio.get_running_loop().call_later(
            LARGE_BLOCK_RETURN_DELAY_S if delay_return else RETURN_DELAY_S,
            self._start_return,
            account,
        )

    def _start_return(self, account: TokenAccount) -> None:
        task = asyncio.create_task(self._return_unused(account))
        self._return_tasks.add(task)
        task.add_done_callback(self._return_tasks.discard)

    async def _return_unused(self, account: TokenAccount) -> None:
        async with account.lock:
            if account.active_requests or not account.unrecorded_tokens():
                return
            unused, account.available = account.available, 0
            unrecorded_spent, offline_granted = (
                account.unrecorded_spent,
                account.offline_granted,
            )

            def update(value: dict[str, Any] | None) -> dict[str, Any] | None:
                granted, spent = _row_totals(value)
                return {
                    "granted": granted + offline_granted - unused,
                    "spent": spent + unrecorded_spent,
                    "at_ms": self._table.clock.now_ms(),
                }

            try:
                await self._update_row(account, update, unrecorded_spent)
                account.offline_granted -= offline_granted
            except StoreUnavailable as error:
                if not isinstance(error.__cause__, AnswerLost):
                    account.available += unused
                    self._schedule_return(account)

    @Service.task
    async def _clean_up_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(CLEANUP_INTERVAL_S * random.uniform(0.8, 1.2))
            for number in range(TABLE_PARTS):
                part = f"{number:02d}"
                if self.should_stop or not self._cleans_up_part(part):
                    continue
                try:
                    await self.remove_old_rows(part)
                except (TableUnavailable, AnswerLost, RowTaken) as error:
                    log.info("Old rows stay for now.", part=part, error=repr(error))

    async def remove_old_rows(self, part: str) -> int:
        """Removes the rows of one part that nobody changes any more."""
        oldest_ms = self._table.clock.now_ms() - ROW_RETENTION_S * 1000
        after, removed = "", 0
        while True:
            page = await self._table.page(
                row_key(TABLE, part, ""), after, CLEANUP_PAGE_ROWS
            )
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
        for account in self._accounts.values():
            if account.unrecorded_tokens():
                self._start_return(account)
        if self._return_tasks:
            await asyncio.wait(list(self._return_tasks), timeout=0.5)
