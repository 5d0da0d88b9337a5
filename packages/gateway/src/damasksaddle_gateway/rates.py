"""
Grants of each workspace's rate over all VMs.

Half of a workspace's rate and burst is split evenly between the VMs; each admits its
part alone, so most requests need no message, and a VM that has lost the store goes on
with it. The other half is one token bucket in a row of the store, from which a VM
that needs more takes tokens by compare-and-set. Tokens that were taken lapse after
`TAKEN_TTL_S`, which bounds by how much a window can exceed the rate.
"""

import asyncio
import math
from dataclasses import dataclass, field

from damasksaddle.exceptions import (
    AnswerLost,
    RateExceeded,
    StoreUnavailable,
    TableUnavailable,
)
from damasksaddle.platform import VersionedTable, row_key
from damasksaddle.utils import elapsed_s, get_log
from damasksaddle_gateway.catalogue import Workspace
from damasksaddle_gateway.roster import Roster
from damasksaddle_gateway.rows import CachedRow, change_row

log = get_log("rates")

TABLE = "rates"
# The part of a rate that is split between the VMs.
LOCAL_SHARE = 0.5
# Tokens from the store may be used for so long. Half a second of a rate is within
# the overrun that the bounds allow for a window of five seconds.
TAKEN_TTL_S = 0.4
# A VM takes tokens for the demand that it expects within this time.
TAKE_AHEAD_S = 0.25
# The demand is averaged over about this time.
DEMAND_S = 2.0
# Retry-After when the store cannot be asked.
STORE_RETRY_S = 0.5
# The shortest Retry-After of a workspace above its rate.
MIN_RETRY_S = 0.1


@dataclass(slots=True)
class _Bucket:
    """Tokens that refill at a rate; used for a VM's own part."""

    level: float
    at_s: float

    def refill(self, rate_per_s: float, burst: float) -> None:
        now_s = elapsed_s()
        gained = (now_s - self.at_s) * rate_per_s
        self.level = min(burst, self.level + gained)
        self.at_s = now_s


@dataclass(slots=True)
class _Account:
    """What this VM knows of one workspace's rate."""

    own: _Bucket
    shared: CachedRow
    taken: float = 0.0
    taken_until_s: float = -math.inf
    empty_until_s: float = -math.inf
    clock_ms: float = 0.0
    clock_heard_s: float = 0.0
    demand_per_s: float = 0.0
    demand_at_s: float = 0.0
    waiting: int = 0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class Rates:
    """Admits requests of workspaces within their rates."""

    def __init__(self, table: VersionedTable, roster: Roster) -> None:
        self._table = table
        self._roster = roster
        self._accounts: dict[str, _Account] = {}

    async def acquire(self, workspace: Workspace) -> None:
        """
        Takes one token.

        Raises `RateExceeded` with the time until there will be one, or
        `StoreUnavailable` if the store cannot tell.
        """
        if not workspace.rate_per_s:
            return
        account = self._account(workspace)
        self._count_demand(account)
        if self._take_local(account, workspace):
            return
        account.waiting += 1
        try:
            async with account.lock:
                if self._take_local(account, workspace):
                    return
                self._refuse_if_empty(account)
                await self._take_shared(account, workspace)
                if not self._take_local(account, workspace):
                    raise RateExceeded(retry_after_s=self._retry_s(workspace))
        finally:
            account.waiting -= 1

    def give_back(self, workspace: Workspace) -> None:
        """Returns the token of a request that did not run."""
        if workspace.rate_per_s:
            account = self._account(workspace)
            account.own.level += 1.0

    def _account(self, workspace: Workspace) -> _Account:
        account = self._accounts.get(workspace.name)
        if account is None:
            key = row_key(TABLE, workspace.name, "bucket")
            account = _Account(_Bucket(0.0, elapsed_s()), CachedRow(key))
            self._accounts[workspace.name] = account
        return account

    def _count_demand(self, account: _Account) -> None:
        now_s = elapsed_s()
        decay = math.exp((account.demand_at_s - now_s) / DEMAND_S)
        account.demand_per_s = account.demand_per_s * decay + 1 / DEMAND_S
        account.demand_at_s = now_s

    def _take_local(self, account: _Account, workspace: Workspace) -> bool:
        if self._roster.has_share():
            share = LOCAL_SHARE / self._roster.size()
            # A small part still has to hold one whole token.
            burst = max(workspace.burst * share, 1.0)
            account.own.refill(workspace.rate_per_s * share, burst)
        if account.own.level >= 1:
            account.own.level -= 1
            return True
        if account.taken >= 1 and elapsed_s() < account.taken_until_s:
            account.taken -= 1
            return True
        return False

    def _refuse_if_empty(self, account: _Account) -> None:
        left_s = account.empty_until_s - elapsed_s()
        if left_s > 0:
            raise RateExceeded(retry_after_s=max(left_s, MIN_RETRY_S))

    def _retry_s(self, workspace: Workspace) -> float:
        return max(MIN_RETRY_S, 1 / (workspace.rate_per_s * (1 - LOCAL_SHARE)))

    async def _take_shared(self, account: _Account, workspace: Workspace) -> None:
        rate_per_s = workspace.rate_per_s * (1 - LOCAL_SHARE)
        burst = workspace.burst * (1 - LOCAL_SHARE)
        wanted = account.waiting + account.demand_per_s * TAKE_AHEAD_S
        got = 0.0

        def take(value: dict[str, float] | None) -> dict[str, float] | None:
            nonlocal got
            now_ms = account.clock_ms
            if now_ms:
                now_ms += (elapsed_s() - account.clock_heard_s) * 1000
            level = burst
            if value is not None:
                now_ms = max(now_ms, value["at_ms"])
                gained = (now_ms - value["at_ms"]) / 1000 * rate_per_s
                level = min(burst, value["level"] + gained)
            got = min(level, math.ceil(wanted))
            if got < 1:
                account.empty_until_s = elapsed_s() + (1 - level) / rate_per_s
                return None
            return {"level": level - got, "at_ms": now_ms}

        try:
            written, now_ms = await change_row(self._table, account.shared, take)
        except (TableUnavailable, AnswerLost) as error:
            log.warning(
                "No tokens from the store.",
                workspace=workspace.name,
                error=repr(error),
            )
            raise StoreUnavailable(retry_after_s=STORE_RETRY_S) from error
        if now_ms:
            account.clock_ms, account.clock_heard_s = float(now_ms), elapsed_s()
        if written:
            account.taken = got
            account.taken_until_s = elapsed_s() + TAKEN_TTL_S
        log.debug(
            "Tokens were taken from the store.",
            workspace=workspace.name,
            wanted=round(wanted, 1),
            got=got,
        )
