"""
Enforces the token budgets of programs across all VMs and restarts.

Each program has a row with the number of tokens granted to VMs and the number known to
be spent. A VM acquires a block of tokens by compare-and-set before a turn runs, so two
VMs never spend the same token. Tokens that a VM acquired but did not report as spent
count as spent if the VM is lost. A VM returns unused tokens shortly after the turn.

While the store is unavailable to all VMs, `may_grant_offline` lets the program's
coordinator grant more tokens than it acquired, within the budget and never more than
one turn. These offline grants are written to the row once the store is available again;
they are lost with the process. So that a program exceeds its budget by one turn at most
over all outages, only the process that created the row may grant offline. Before there
is a row, a process may do so for a program that has just started, if no other one can
have done the same in an earlier outage.
"""

import asyncio
import json
import math
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
from damasksaddle.platform import Put, Row, row_key
from damasksaddle.utils import (
    Counter,
    boottime_s,
    count,
    get_logger,
    new_id,
    partition_of,
)
from damasksaddle_gateway.background import background_task
from damasksaddle_gateway.rows import CachedRow, update_row
from damasksaddle_gateway.store import StoreCircuitBreaker

log = get_logger("budgets")

TABLE = "budgets"
# Field of a row that names the process which may grant beyond the row.
OVERDRAWER = "overdrawer"
# Number of table partitions that the rows are spread over. Each partition processes one
# write at a time.
TABLE_PARTS = 32
# While the budget is ample, a block covers this many turns of the maximum size: what a
# program can use during an outage before its keys can no longer be verified.
TURNS_PER_BLOCK = 12
# Blocks larger than one turn are acquired only from this share of the budget, so that
# the program can continue if the VM that holds a block is lost.
LARGE_BLOCK_SHARE = 0.5
# Unused tokens are returned after this time without a turn. Tools that run between two
# turns usually take less, and settling is limited to one second.
RETURN_DELAY_S = 0.4
# While the budget is ample, unused tokens are returned only when the program has
# probably ended.
LARGE_BLOCK_RETURN_DELAY_S = 5.0
# Poll interval of a program that waits for other VMs to settle.
SETTLE_POLL_S = 0.2
STORE_RETRY_S = 0.5
# A program returns within this time of its last turn, or has ended.
MAX_PROGRAM_PAUSE_S = 60.0
# Rows without changes for this time are removed. A stopped program may resume within a
# minute, and its last turn takes seconds.
ROW_RETENTION_S = 600.0
CLEANUP_INTERVAL_S = 60.0
# The store accepts at most 100 entries per transaction.
CLEANUP_PAGE_ROWS = 100
# During an outage, a turn may start with this share of its maximum size. Most turns end
# well before the maximum, and a turn that exceeds its reservation is aborted.
MIN_TURN_SHARE = 0.4
MAX_CACHED_ACCOUNTS = 4096


@dataclass(slots=True)
class TokenAccount:
    """The tokens of one program on this VM."""

    name: str
    row: CachedRow
    budget: int = 0
    available: int = 0
    # Number of active turns with a reservation.
    open_turns: int = 0
    # Tokens granted while the store was unavailable and not yet written to the row.
    offline_granted: int = 0
    active_requests: int = 0
    unrecorded_spent: int = 0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    return_timer: asyncio.TimerHandle | None = None
    # Set if a request may be the program's first turn, in which case no other VM can
    # have granted tokens.
    may_be_first_turn: bool = False

    def unrecorded_tokens(self) -> int:
        """Returns the number of tokens that are not yet accounted for in the row."""
        return self.available + self.unrecorded_spent + self.offline_granted


def _row_totals(value: dict[str, Any] | None) -> tuple[int, int]:
    """Returns the granted and the spent tokens recorded in a row."""
    return (value["granted"], value["spent"]) if value else (0, 0)


def _changed_ms(row: Row) -> float:
    """Returns when a row was last changed, or 0 for one that cannot be read."""
    try:
        return float(json.loads(row.value)["at_ms"])
    except (ValueError, TypeError, KeyError, RecursionError):
        count(Counter.INVALID_ROWS, TABLE)
        return 0.0


@dataclass(slots=True)
class Reservation:
    """Tokens reserved for one turn."""

    account: TokenAccount
    program: str
    tokens: int


class Budgets(Service):
    """Reserves tokens for turns and settles the tokens that they used."""

    def __init__(
        self,
        table: StoreCircuitBreaker,
        settle_s: float,
        may_grant_offline: Callable[[str], Awaitable[bool]],
        cleans_up_part: Callable[[str], bool] = lambda part: True,
        sole_granter_s: Callable[[str], float] = lambda name: math.inf,
    ) -> None:
        super().__init__()
        self._table = table
        self.settle_s = settle_s
        self._may_grant_offline = may_grant_offline
        # Tells which table partitions this VM cleans up.
        self._cleans_up_part = cleans_up_part
        # For how long no other VM can have granted tokens of a program offline.
        self._sole_granter_s = sole_granter_s
        # Identifies this process in the rows that it creates.
        self._process = new_id("gw")
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
        Reserves the maximum number of tokens that a turn may generate, or fewer during
        an outage.

        Waits up to `max_wait_s` for other turns to settle if that can free enough
        tokens. Raises `BudgetExceeded`, or `StoreUnavailable` if the budget cannot be
        checked.
        """
        account = self._account(workspace, program)
        account.budget = budget
        account.may_be_first_turn = account.may_be_first_turn or may_be_first_turn
        deadline_s = boottime_s() + min(max_wait_s, self.settle_s)
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
        """Returns the reserved tokens, waiting for other turns to settle if needed."""
        while True:
            try:
                if tokens := await self._try_reserve(account, budget, max_turn_tokens):
                    return tokens
                spent = self._spent(account)
                if spent + max_turn_tokens > budget or boottime_s() >= deadline_s:
                    log.info(
                        "The program's budget is exhausted.",
                        program=program,
                        budget=budget,
                        spent=spent,
                        granted=self._granted(account),
                        most=max_turn_tokens,
                    )
                    raise BudgetExceeded
            except StoreUnavailable:
                # Without the store, only active turns on this VM can free tokens.
                if not account.open_turns or boottime_s() >= deadline_s:
                    raise
            await asyncio.sleep(SETTLE_POLL_S)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Records the tokens a turn used and releases the rest of its reservation."""
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
        """Returns the number of reserved tokens, or 0 if too few are available."""
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
        """Returns the tokens granted without the store, or 0 if too few are left."""
        if not await self._may_grant_offline(account.name):
            return 0
        if account.row.value is None and not self._is_new_program(account):
            log.info(
                "No offline grant: the budget may have been granted elsewhere.",
                program=account.name,
            )
            return 0
        granted = self._granted(account) + account.offline_granted
        extra = min(max_turn_tokens - account.offline_granted, budget - granted)
        if not self._may_overdraw(account):
            extra = min(extra, 0)
        tokens = min(max_turn_tokens, account.available + extra)
        if tokens < max_turn_tokens * MIN_TURN_SHARE:
            log.info(
                "No offline grant: too few tokens are left.",
                program=account.name,
                budget=budget,
                granted=granted,
                held=account.available,
                overdraft=account.offline_granted,
                may_overdraw=self._may_overdraw(account),
                turns=account.open_turns,
            )
            return 0
        extra = max(0, tokens - account.available)
        account.offline_granted += extra
        account.available += extra
        log.info(
            "Granted tokens while the store is unavailable.",
            program=account.name,
            tokens=tokens,
            overdraft=account.offline_granted,
        )
        return tokens

    def _is_new_program(self, account: TokenAccount) -> bool:
        """Tells whether no other VM can have granted tokens of the program."""
        return (
            account.may_be_first_turn
            and self._sole_granter_s(account.name) >= MAX_PROGRAM_PAUSE_S
        )

    def _may_overdraw(self, account: TokenAccount) -> bool:
        """Tells whether a loss of this process would be the program's first one."""
        value = account.row.value
        return value is None or value.get(OVERDRAWER) == self._process

    def _overdrawer(self, account: TokenAccount, value: dict[str, Any] | None) -> str:
        """Returns the process that may grant offline, or an empty string for none."""
        if value is not None:
            return str(value.get(OVERDRAWER, ""))
        return self._process if self._is_new_program(account) else ""

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
                OVERDRAWER: self._overdrawer(account, value),
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
        except ResponseLost as error:
            # Reporting spent tokens twice could end a program too early. Tokens that
            # are never reported as spent still count as granted.
            account.unrecorded_spent -= unrecorded_spent
            log.warning(
                "The store's response was lost; granted tokens may be lost.",
                row=account.row.key,
            )
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
        # Offline grants have to be written to the row soon.
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
                    OVERDRAWER: self._overdrawer(account, value),
                    "at_ms": self._table.clock.now_ms(),
                }

            try:
                await self._update_row(account, update, unrecorded_spent)
                account.offline_granted -= offline_granted
            except StoreUnavailable as error:
                if not isinstance(error.__cause__, ResponseLost):
                    account.available += unused
                    self._schedule_return(account)

    @background_task
    async def _clean_up_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(CLEANUP_INTERVAL_S * random.uniform(0.8, 1.2))
            for number in range(TABLE_PARTS):
                part = f"{number:02d}"
                if self.should_stop or not self._cleans_up_part(part):
                    continue
                try:
                    await self.remove_old_rows(part)
                except (TableUnavailable, ResponseLost, WriteConflict) as error:
                    log.info(
                        "Could not remove old budget rows; retrying later.",
                        part=part,
                        error=repr(error),
                    )

    async def remove_old_rows(self, part: str) -> int:
        """Removes the inactive rows of one partition and returns their number."""
        oldest_ms = self._table.clock.now_ms() - ROW_RETENTION_S * 1000
        after, removed = "", 0
        while True:
            page = await self._table.page(
                row_key(TABLE, part, ""), after, CLEANUP_PAGE_ROWS
            )
            old = [
                Put(row.key, None, row.version)
                for row in page.rows
                if _changed_ms(row) < oldest_ms
            ]
            if old:
                await self._table.commit(old)
                removed += len(old)
            if page.complete:
                return removed
            after = page.last_key

    async def on_stop(self) -> None:
        """Returns unused tokens to the store, as far as it is available."""
        for account in self._accounts.values():
            if account.unrecorded_tokens():
                self._start_return(account)
        if self._return_tasks:
            await asyncio.wait(list(self._return_tasks), timeout=0.5)
