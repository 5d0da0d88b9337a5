"""
Takes tokens for a workspace's rate from its row in the store and hands them out.

The row is the workspace's token bucket for all VMs. A VM that draws tokens from it by
compare-and-set may hand them out for `token_lifetime_s`, so several VMs may draw at
once and the rate still holds. A rate window can exceed the rate only by the tokens
drawn before it began, and the lifetime is chosen so that these fit the permitted
overrun.

While the store is unavailable to all VMs, `may_grant_offline` lets the coordinator hand
out tokens from the last known level. They are subtracted from the row afterwards.

Requests wait for a short time when the bucket is empty. A request that starts a program
leaves a reserve to running programs and is refused while the bucket holds less. The
first turn of a program that the workspace's coordinator sees starts it.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from damasksaddle.exceptions import (
    RateExceeded,
    ResponseLost,
    StoreUnavailable,
    TableUnavailable,
)
from damasksaddle.platform import row_key
from damasksaddle.utils import boottime_s, get_logger
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.rows import CachedRow, update_row
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_gateway.store import StoreCircuitBreaker

log = get_logger("rates")

TABLE = "rates"
# Share of the permitted overrun that drawn tokens may use. The rest is for requests
# that are on their way to an upstream when a window begins.
OVERRUN_SHARE = 0.7
# Share of the token lifetime for the VM that draws; the rest is for the VMs that it
# hands tokens to.
COORDINATOR_SHARE = 0.5
MAX_TOKEN_LIFETIME_S = 1.0
# A draw covers the expected demand for this share of the token lifetime.
PREFETCH_SHARE = 0.8
# Time constant of the moving average of the demand.
DEMAND_TIME_CONSTANT_S = 1.0
# A bucket below this share of its burst grants no tokens in advance.
LOW_LEVEL_SHARE = 0.25
STORE_RETRY_S = 0.5
MIN_RETRY_S = 0.1
# A program without a turn for this time has ended: twice the longest time that the
# users' programs wait for a response and retry.
PROGRAM_IDLE_TIMEOUT_S = 10.0
# Minimum delay after a draw that yielded too few tokens.
MIN_DRAW_INTERVAL_S = 0.02


def token_lifetime_s(workspace: Workspace, settings: GatewaySettings) -> float:
    """Returns how long drawn tokens are valid on all VMs that hold them."""
    window = settings.rate_window_s * workspace.rate_per_s + workspace.burst
    overrun = settings.rate_overrun * window + settings.rate_slack
    return min(MAX_TOKEN_LIFETIME_S, OVERRUN_SHARE * overrun / workspace.rate_per_s)


class RateEstimate:
    """An exponential moving average of events per second."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._at_s = 0.0

    def record(self, number: int = 1) -> None:
        """Records events that happened now."""
        now_s = boottime_s()
        self._per_s = self.per_s() + number / DEMAND_TIME_CONSTANT_S
        self._at_s = now_s

    def per_s(self) -> float:
        """Returns the current average."""
        return self._per_s * math.exp(
            (self._at_s - boottime_s()) / DEMAND_TIME_CONSTANT_S
        )


@dataclass(slots=True)
class ExpiringTokens:
    """Tokens that are valid until a time."""

    tokens: float = 0.0
    expires_s: float = -math.inf

    def take(self, requested: int) -> int:
        """
        Takes up to the requested number of tokens and returns how many were taken.
        """
        if boottime_s() >= self.expires_s:
            self.tokens = 0.0
        taken = min(requested, math.floor(self.tokens))
        self.tokens -= taken
        return taken


@dataclass(slots=True)
class _Bucket:
    """This VM's state of the token bucket of one workspace."""

    row: CachedRow
    available: ExpiringTokens = field(default_factory=ExpiringTokens)
    demand: RateEstimate = field(default_factory=RateEstimate)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    waiting: int = 0
    level: float = math.inf
    level_updated_s: float = 0.0
    # Time of the last turn of each running program, oldest first.
    last_turn_s: dict[str, float] = field(default_factory=dict)
    # Tokens granted without the store, which the next draw subtracts from the row.
    offline_tokens: float = 0.0

    def is_running(self, program: str) -> bool:
        """Tells whether this VM admitted a turn of the program recently."""
        return (
            boottime_s() - self.last_turn_s.get(program, -math.inf)
            < PROGRAM_IDLE_TIMEOUT_S
        )

    def record_turn(self, program: str) -> None:
        """Records that a turn of a program was admitted."""
        now_s = boottime_s()
        self.last_turn_s.pop(program, None)
        self.last_turn_s[program] = now_s
        # Entries are ordered by time, oldest first.
        while now_s - next(iter(self.last_turn_s.values())) >= PROGRAM_IDLE_TIMEOUT_S:
            del self.last_turn_s[next(iter(self.last_turn_s))]

    def current_level(self, workspace: Workspace) -> float:
        """Returns the last known level plus the refill since then."""
        refilled = (boottime_s() - self.level_updated_s) * workspace.rate_per_s
        return min(workspace.burst, self.level + refilled)


class TokenBuckets:
    """Hands out tokens of workspaces."""

    def __init__(
        self,
        table: StoreCircuitBreaker,
        settings: GatewaySettings,
        may_grant_offline: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._table = table
        self._settings = settings
        self._may_grant_offline = may_grant_offline
        self._buckets: dict[str, _Bucket] = {}

    async def take(
        self,
        workspace: Workspace,
        requested: int,
        max_wait_s: float,
        reserve: int = 0,
        program: str = "",
    ) -> int:
        """
        Returns at least one token, and up to `requested` tokens if the bucket is ample.

        A request that starts `program` leaves `reserve` tokens in the bucket. Raises
        `RateExceeded` with the time until a token is available if that is longer than
        `max_wait_s`, and `StoreUnavailable` if the rate cannot be checked.
        """
        bucket = self._bucket(workspace)
        self._check_queue_wait(bucket, workspace, max_wait_s)
        deadline_s = boottime_s() + max_wait_s
        if program and not bucket.is_running(program):
            await self._wait_for_reserve(bucket, workspace, reserve, deadline_s)
        bucket.waiting += 1
        try:
            async with bucket.lock:
                while True:
                    grant_size = self._grant_size(bucket, workspace, requested)
                    taken = bucket.available.take(grant_size)
                    if taken:
                        bucket.demand.record(taken)
                        if program:
                            bucket.record_turn(program)
                        return taken
                    wait_s = await self._draw_or_grant_offline(bucket, workspace)
                    if wait_s and boottime_s() + wait_s > deadline_s:
                        raise self._rate_exceeded(bucket, workspace, wait_s)
                    await asyncio.sleep(wait_s)
        finally:
            bucket.waiting -= 1

    async def _wait_for_reserve(
        self,
        bucket: _Bucket,
        workspace: Workspace,
        reserve: int,
        deadline_s: float,
    ) -> None:
        """
        Waits, without joining the queue, until the bucket holds more than the reserve.
        """
        while True:
            shortfall = self._shortfall(bucket, workspace) + reserve
            if shortfall <= 0:
                return
            wait_s = shortfall / workspace.rate_per_s
            if boottime_s() + wait_s > deadline_s:
                raise self._rate_exceeded(bucket, workspace, wait_s, reserve)
            await asyncio.sleep(wait_s)

    @staticmethod
    def _shortfall(bucket: _Bucket, workspace: Workspace) -> float:
        """Returns how many tokens one more request lacks, at the last known level."""
        level = bucket.current_level(workspace)
        return bucket.waiting + 1 - level - bucket.available.tokens

    async def _draw_or_grant_offline(
        self, bucket: _Bucket, workspace: Workspace
    ) -> float:
        """
        Draws from the store, or from the last known level while it is unavailable.
        """
        try:
            return await self._draw(bucket, workspace)
        except StoreUnavailable:
            if not await self._may_grant_offline(workspace.name):
                raise
        if math.isinf(bucket.level):
            bucket.level, bucket.level_updated_s = 0.0, boottime_s()
        level = bucket.current_level(workspace)
        granted = float(
            max(0, math.floor(min(level, self._draw_size(bucket, workspace))))
        )
        bucket.level, bucket.level_updated_s = level - granted, boottime_s()
        bucket.offline_tokens += granted
        if not granted:
            return max(MIN_DRAW_INTERVAL_S, (1 - level) / workspace.rate_per_s)
        self._make_available(bucket, workspace, granted)
        return 0.0

    def _draw_size(self, bucket: _Bucket, workspace: Workspace) -> int:
        prefetch_s = (
            token_lifetime_s(workspace, self._settings)
            * COORDINATOR_SHARE
            * PREFETCH_SHARE
        )
        return bucket.waiting + math.ceil(bucket.demand.per_s() * prefetch_s)

    def _make_available(
        self, bucket: _Bucket, workspace: Workspace, granted: float
    ) -> None:
        lifetime_s = token_lifetime_s(workspace, self._settings) * COORDINATOR_SHARE
        bucket.available.tokens = granted
        bucket.available.expires_s = boottime_s() + lifetime_s

    def _check_queue_wait(
        self, bucket: _Bucket, workspace: Workspace, max_wait_s: float
    ) -> None:
        """Raises if the queued requests alone take longer than the maximum wait."""
        wait_s = self._shortfall(bucket, workspace) / workspace.rate_per_s
        if wait_s > max_wait_s:
            raise self._rate_exceeded(bucket, workspace, wait_s)

    @staticmethod
    def _rate_exceeded(
        bucket: _Bucket, workspace: Workspace, wait_s: float, reserve: int = 0
    ) -> RateExceeded:
        return RateExceeded(
            f"level {bucket.level:.1f} of {workspace.burst:g}, "
            f"{bucket.waiting} waiting, {reserve} reserved for running programs",
            retry_after_s=max(MIN_RETRY_S, wait_s),
        )

    def _bucket(self, workspace: Workspace) -> _Bucket:
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = _Bucket(CachedRow(row_key(TABLE, workspace.name, "bucket")))
            self._buckets[workspace.name] = bucket
        return bucket

    @staticmethod
    def _grant_size(bucket: _Bucket, workspace: Workspace, requested: int) -> int:
        """
        Returns how many tokens to grant to a VM that requests some in advance.

        Tokens that the VM does not use are lost to the workspace, so only one is
        granted when the bucket is low.
        """
        if bucket.level < workspace.burst * LOW_LEVEL_SHARE:
            return 1
        spare = math.floor(bucket.available.tokens) - bucket.waiting + 1
        return max(1, min(requested, spare))

    async def _draw(self, bucket: _Bucket, workspace: Workspace) -> float:
        """
        Draws tokens; returns the delay before the next draw, or 0 if some were drawn.
        """
        requested = self._draw_size(bucket, workspace)
        offline_tokens = bucket.offline_tokens
        granted = remaining = 0.0
        # Unused drawn tokens are returned to the row, even after they expired.
        unused, bucket.available.tokens = bucket.available.tokens, 0.0

        def update(value: dict[str, Any] | None) -> dict[str, Any] | None:
            nonlocal granted, remaining
            now_ms, level = self._table.clock.now_ms(), workspace.burst
            if value is not None:
                now_ms = max(now_ms, value["at_ms"])
                refilled = (now_ms - value["at_ms"]) / 1000 * workspace.rate_per_s
                level = (
                    min(workspace.burst, value["level"] + refilled + unused)
                    - offline_tokens
                )
            granted = max(0.0, math.floor(min(level, requested)))
            remaining = level - granted
            if not granted and not unused and not offline_tokens:
                return None
            return {"level": remaining, "at_ms": now_ms}

        try:
            await update_row(self._table, bucket.row, update)
        except (TableUnavailable, ResponseLost) as error:
            raise StoreUnavailable(
                f"rate of {workspace.name}: {error!r}", retry_after_s=STORE_RETRY_S
            ) from error
        bucket.level, bucket.level_updated_s = remaining, boottime_s()
        bucket.offline_tokens -= offline_tokens
        if not granted:
            shortfall = 1 - remaining
            return max(MIN_DRAW_INTERVAL_S, shortfall / workspace.rate_per_s)
        self._make_available(bucket, workspace, granted)
        return 0.0
