"""
Takes tokens for a workspace's rate from its row in the store and hands them out.

The row is the workspace's token bucket for all VMs. A VM that draws tokens from it by
compare-and-set may hand them out for `token_lifetime_s`, so several VMs may draw at
once and the rate still holds. A rate window can exceed the rate only by the tokens
drawn before it began, and the lifetime is chosen so that these fit the permitted
overrun.

While the store is unavailable to all VMs, `may_grant_offline` lets one VM hand out
tokens from the last known level. They are subtracted from the row afterwards, unless
that VM is lost. The level at the start of an outage is therefore limited to what the
permitted overrun leaves, so that the rate holds without the subtraction too. Later in
the outage it may reach the burst. A VM that cannot know what was granted therefore
draws little from a row that was last written before the outage: it takes the bucket as
nearly empty at the time until which another VM may have granted.

Requests wait in a `RateQueue` while the bucket is empty, as long as their callers do. A
request that cannot be served in that time is refused at once. The first turn of a
program that the workspace's coordinator sees starts it.
"""

import asyncio
import itertools
import json
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from damasksaddle.exceptions import (
    PlatformError,
    RateExceeded,
    ResponseLost,
    StoreUnavailable,
    TableUnavailable,
)
from damasksaddle.platform import row_key
from damasksaddle.utils import Counter, boottime_s, count, get_logger
from damasksaddle_gateway.rate_queue import RateQueue, Waiter
from damasksaddle_gateway.routing_config import Workspace
from damasksaddle_gateway.rows import CachedRow, update_row
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_gateway.store import StoreCircuitBreaker

log = get_logger("rates")

TABLE = "rates"
# Share of the permitted overrun that drawn tokens may use. The rest is for requests
# that are on their way to an upstream when a window begins.
OVERRUN_SHARE = 0.7
# Share of what drawn tokens leave of the overrun, for a bucket that may be empty. The
# rest is for the level from which the lost VM began.
UNKNOWN_LEVEL_SHARE = 0.5
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
# Maximum time that a request which starts a program waits. A caller that is told to
# come back loses less than one that waits in vain.
MAX_START_WAIT_S = 0.4
# Number of draws that a request may wait for: one under way, and the next one.
DRAWS_PER_WAIT = 2
# Retry-After of a request that may wait longer, but not in one message between VMs.
ASK_AGAIN_S = 0.0


def max_overrun(workspace: Workspace, settings: GatewaySettings) -> float:
    """Returns by how many requests a window may exceed the rate."""
    window = settings.rate_window_s * workspace.rate_per_s + workspace.burst
    return settings.rate_overrun * window + settings.rate_slack


def token_lifetime_s(workspace: Workspace, settings: GatewaySettings) -> float:
    """Returns how long drawn tokens are valid on all VMs that hold them."""
    overrun = max_overrun(workspace, settings)
    return min(MAX_TOKEN_LIFETIME_S, OVERRUN_SHARE * overrun / workspace.rate_per_s)


def unknown_level(workspace: Workspace, settings: GatewaySettings) -> float:
    """Returns the level of a bucket from which all may have been granted."""
    drawn = workspace.rate_per_s * token_lifetime_s(workspace, settings)
    return UNKNOWN_LEVEL_SHARE * (max_overrun(workspace, settings) - drawn)


def _nothing_granted(name: str) -> float:
    return -math.inf


def _bucket_key(workspace: Workspace) -> str:
    return row_key(TABLE, workspace.name, "bucket")


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
            return 0
        taken = min(requested, math.floor(self.tokens))
        self.tokens -= taken
        return taken

    def remove_all(self) -> float:
        """Removes all tokens, expired or not, and returns their number."""
        removed, self.tokens = self.tokens, 0.0
        return removed


@dataclass(slots=True)
class _Bucket:
    """This VM's state of the token bucket of one workspace."""

    row: CachedRow
    available: ExpiringTokens = field(default_factory=ExpiringTokens)
    demand: RateEstimate = field(default_factory=RateEstimate)
    queue: RateQueue = field(default_factory=RateQueue)
    # Serves the queue while it is not empty.
    queue_task: asyncio.Task[None] | None = None
    level: float = math.inf
    level_updated_s: float = 0.0
    # Time of the last turn of each running program, oldest first.
    last_turn_s: dict[str, float] = field(default_factory=dict)
    # Tokens granted without the store, which the next draw subtracts from the row.
    offline_tokens: float = 0.0
    # Set from the first grant without the store until the next draw.
    offline: bool = False
    # When the last of them was made, on the store's clock.
    offline_ms: float = 0.0

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

    def tokens(self, workspace: Workspace) -> float:
        """Returns the tokens of the row and those drawn from it, or infinity."""
        if math.isinf(self.level):
            return math.inf
        return self.current_level(workspace) + self.available.tokens


@dataclass(frozen=True, slots=True)
class BucketStatus:
    """
    The state of a workspace's bucket, found without drawing from it.

    `level` is estimated from what was known `age_s` ago. `wait_s` is the predicted wait
    of a new request behind those `waiting` on this VM.
    """

    level: float
    age_s: float
    waiting: int
    wait_s: float


class TokenBuckets:
    """
    Hands out tokens of workspaces.

    `granted_elsewhere_until_s` returns until when another VM may have granted the
    tokens of a workspace without the store.
    """

    def __init__(
        self,
        table: StoreCircuitBreaker,
        settings: GatewaySettings,
        may_grant_offline: Callable[[str], Awaitable[bool]],
        granted_elsewhere_until_s: Callable[[str], float] = _nothing_granted,
    ) -> None:
        self._table = table
        self.settings = settings
        self._may_grant_offline = may_grant_offline
        self._granted_elsewhere_until_s = granted_elsewhere_until_s
        self._buckets: dict[str, _Bucket] = {}
        self._arrivals = itertools.count()

    def store_delay_s(self) -> float:
        """Returns how much longer than usual a draw takes, 0 if the store is fast."""
        return self._table.latency.extra_write_s()

    async def status(self, workspace: Workspace, reserve: int) -> BucketStatus | None:
        """
        Returns the state of a bucket by one read of its row, or as last known here.

        Returns None if neither is known.
        """
        bucket = self._buckets.get(workspace.name)
        drawn, waiting = 0.0, 0
        if bucket is not None:
            waiting = len(bucket.queue)
            if boottime_s() < bucket.available.expires_s:
                drawn = bucket.available.tokens
        level, age_s = await self._read_level(workspace), 0.0
        if level is None:
            if bucket is None or math.isinf(bucket.level):
                return None
            level = bucket.current_level(workspace)
            age_s = boottime_s() - bucket.level_updated_s
        shortfall = waiting + 1 + reserve - level - drawn
        wait_s = max(0.0, shortfall / workspace.rate_per_s)
        return BucketStatus(level, age_s, waiting, wait_s)

    async def _read_level(self, workspace: Workspace) -> float | None:
        """Returns the tokens in a bucket's row, or None if it cannot be read."""
        if not self._table.is_available():
            return None
        try:
            async with asyncio.timeout(self._table.latency.reads.timeout_s()):
                row = await self._table.row(_bucket_key(workspace))
            if row is None:
                return workspace.burst
            value = json.loads(row.value)
            age_ms = max(0.0, self._table.clock.now_ms() - value["at_ms"])
            refilled = age_ms / 1000 * workspace.rate_per_s
            return min(workspace.burst, value["level"] + refilled)
        except (PlatformError, TimeoutError, KeyError, TypeError, ValueError) as error:
            log.debug(
                "Could not read a bucket.", workspace=workspace.name, error=repr(error)
            )
            return None

    async def take(
        self,
        workspace: Workspace,
        requested: int,
        max_wait_s: float,
        reserve: int = 0,
        program: str = "",
        time_left_s: float = math.inf,
        max_hold_s: float = math.inf,
    ) -> int:
        """
        Returns at least one token, and up to `requested` tokens if the bucket is ample.

        A request with a `reserve` that starts `program` leaves so many tokens in the
        bucket. `time_left_s` is the time until the program should end, and `max_hold_s`
        the longest wait before this call returns. Raises `RateExceeded` with the time
        until a token is available if that is longer than `max_wait_s`, or with
        `ASK_AGAIN_S` after `max_hold_s`, and `StoreUnavailable` if the rate cannot be
        checked.
        """
        bucket = self._bucket(workspace)
        starts_program = bool(program) and not bucket.is_running(program)
        if not starts_program:
            reserve = 0
        if reserve:
            start_wait_s = MAX_START_WAIT_S + DRAWS_PER_WAIT * self.store_delay_s()
            max_wait_s = min(max_wait_s, start_wait_s)
        now_s = boottime_s()
        waiter = Waiter(
            now_s + max_wait_s,
            now_s + time_left_s,
            next(self._arrivals),
            reserve,
            requested,
            asyncio.get_running_loop().create_future(),
        )
        wait_s = self._expected_wait_s(bucket, workspace, waiter)
        if wait_s > max_wait_s:
            raise self._rate_exceeded(bucket, workspace, waiter)
        bucket.queue.add(waiter)
        self._serve_queue(bucket, workspace)
        taken = await self._wait_for_grant(bucket, workspace, waiter, max_hold_s)
        bucket.demand.record(taken)
        if program:
            bucket.record_turn(program)
        return taken

    async def _wait_for_grant(
        self,
        bucket: _Bucket,
        workspace: Workspace,
        waiter: Waiter,
        max_hold_s: float,
    ) -> int:
        try:
            hold_s = None if math.isinf(max_hold_s) else max_hold_s
            async with asyncio.timeout(hold_s):
                return await waiter.granted
        except BaseException as error:
            bucket.queue.discard(waiter)
            granted = waiter.granted
            if granted.done() and not granted.cancelled() and not granted.exception():
                # The tokens arrived together with the timeout or a cancellation.
                bucket.available.tokens += granted.result()
            if not isinstance(error, TimeoutError):
                raise
            if boottime_s() < waiter.wait_until_s:
                raise RateExceeded(
                    "the request still waits", retry_after_s=ASK_AGAIN_S
                ) from error
            raise self._rate_exceeded(bucket, workspace, waiter) from error

    @staticmethod
    def _expected_wait_s(
        bucket: _Bucket, workspace: Workspace, waiter: Waiter
    ) -> float:
        """Returns the time until a request can be served, at the last known level."""
        shortfall = bucket.queue.shortfall(waiter, bucket.tokens(workspace))
        return max(0.0, shortfall / workspace.rate_per_s)

    def _serve_queue(self, bucket: _Bucket, workspace: Workspace) -> None:
        """Grants what is available now, and starts a task for the rest."""
        self._grant(bucket, workspace)
        if len(bucket.queue) and bucket.queue_task is None:
            bucket.queue_task = asyncio.create_task(
                self._draw_for_queue(bucket, workspace)
            )

    def _grant(self, bucket: _Bucket, workspace: Workspace) -> None:
        while waiter := bucket.queue.next_waiter(bucket.tokens(workspace)):
            size = self._grant_size(bucket, workspace, waiter.requested)
            taken = bucket.available.take(size)
            if not taken:
                return
            bucket.queue.discard(waiter)
            if waiter.granted.done():
                bucket.available.tokens += taken
            else:
                count(Counter.RATE_TOKENS, "granted", taken)
                waiter.granted.set_result(taken)

    async def _draw_for_queue(self, bucket: _Bucket, workspace: Workspace) -> None:
        try:
            while len(bucket.queue):
                wait_s = 0.0
                if bucket.queue.next_waiter(bucket.tokens(workspace)) is not None:
                    wait_s = await self._draw_or_grant_offline(bucket, workspace)
                    self._grant(bucket, workspace)
                shortfall = bucket.queue.first_shortfall(bucket.tokens(workspace))
                wait_s = max(wait_s, shortfall / workspace.rate_per_s)
                if wait_s > 0:
                    self._refuse_hopeless(bucket, workspace)
                    interval_s = self._min_draw_interval_s(bucket, workspace)
                    await asyncio.sleep(max(interval_s, wait_s))
        except StoreUnavailable as error:
            for waiter in bucket.queue.clear():
                if not waiter.granted.done():
                    waiter.granted.set_exception(error)
        finally:
            bucket.queue_task = None

    def _min_draw_interval_s(self, bucket: _Bucket, workspace: Workspace) -> float:
        """
        Returns the minimum delay before the next draw.

        It is shorter if the bucket would overflow before that draw is written: a small
        burst may refill within a few milliseconds, and what exceeds it is lost.
        """
        room = workspace.burst - bucket.current_level(workspace)
        overflow_s = room / workspace.rate_per_s - self._table.latency.write_s()
        return min(MIN_DRAW_INTERVAL_S, max(0.0, overflow_s))

    def _refuse_hopeless(self, bucket: _Bucket, workspace: Workspace) -> None:
        """Refuses requests that cannot be served in the time that they may wait."""
        for waiter in bucket.queue.waiters():
            wait_s = self._expected_wait_s(bucket, workspace, waiter)
            # The draw takes some time too; a request that could be served then stays.
            if boottime_s() + wait_s <= waiter.wait_until_s + MIN_DRAW_INTERVAL_S:
                continue
            bucket.queue.discard(waiter)
            if not waiter.granted.done():
                waiter.granted.set_exception(
                    self._rate_exceeded(bucket, workspace, waiter)
                )

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
        level = self._offline_level(bucket, workspace)
        granted = float(
            max(0, math.floor(min(level, self._draw_size(bucket, workspace))))
        )
        bucket.level, bucket.level_updated_s = level - granted, boottime_s()
        bucket.offline_tokens += granted
        bucket.offline_ms = self._table.clock.now_ms()
        if not granted:
            return max(MIN_DRAW_INTERVAL_S, (1 - level) / workspace.rate_per_s)
        self._make_available(bucket, workspace, granted)
        return 0.0

    def _offline_level(self, bucket: _Bucket, workspace: Workspace) -> float:
        if math.isinf(bucket.level):
            bucket.level, bucket.level_updated_s = 0.0, boottime_s()
        level = bucket.current_level(workspace)
        if bucket.offline:
            return level
        bucket.offline = True
        unused_overrun = (1 - OVERRUN_SHARE) * max_overrun(workspace, self.settings)
        return min(level, unused_overrun)

    def _level_bound(self, workspace: Workspace, written_ms: float) -> float:
        """Returns how many tokens a row has at most that was written at a time."""
        now_s, now_ms = boottime_s(), self._table.clock.now_ms()
        written_s = -math.inf
        if written_ms and now_ms:
            written_s = now_s - (now_ms - written_ms) / 1000
        level = unknown_level(workspace, self.settings)

        def bound(until_s: float) -> float:
            if until_s <= written_s:
                return math.inf
            return level + (now_s - until_s) * workspace.rate_per_s

        # Who granted need not be found out if it makes no difference.
        last_gap_s = max(self._table.gap_ends_s, default=now_s)
        if bound(last_gap_s) >= workspace.burst:
            return math.inf
        return bound(self._granted_elsewhere_until_s(workspace.name))

    def _draw_size(self, bucket: _Bucket, workspace: Workspace) -> int:
        # Requests that arrive while a slow store handles the draw are covered by it.
        prefetch_s = self._table.latency.extra_write_s() + (
            token_lifetime_s(workspace, self.settings)
            * COORDINATOR_SHARE
            * PREFETCH_SHARE
        )
        servable = bucket.queue.servable(bucket.tokens(workspace))
        return max(1, servable) + math.ceil(bucket.demand.per_s() * prefetch_s)

    def _make_available(
        self, bucket: _Bucket, workspace: Workspace, granted: float
    ) -> None:
        lifetime_s = token_lifetime_s(workspace, self.settings) * COORDINATOR_SHARE
        bucket.available.tokens = granted
        bucket.available.expires_s = boottime_s() + lifetime_s

    def _rate_exceeded(
        self, bucket: _Bucket, workspace: Workspace, waiter: Waiter
    ) -> RateExceeded:
        wait_s = self._expected_wait_s(bucket, workspace, waiter)
        return RateExceeded(
            f"level {bucket.level:.1f} of {workspace.burst:g} at "
            f"{workspace.rate_per_s:g}/s, {len(bucket.queue)} waiting, "
            f"{waiter.reserve} reserved for running programs",
            retry_after_s=max(MIN_RETRY_S, wait_s),
        )

    def _bucket(self, workspace: Workspace) -> _Bucket:
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = _Bucket(CachedRow(_bucket_key(workspace)))
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
        spare = math.floor(bucket.available.tokens) - len(bucket.queue) + 1
        return max(1, min(requested, spare))

    async def _draw(self, bucket: _Bucket, workspace: Workspace) -> float:
        """
        Draws tokens; returns the delay before the next draw, or 0 if some were drawn.
        """
        requested = self._draw_size(bucket, workspace)
        offline_tokens = bucket.offline_tokens
        granted = remaining = updated_s = 0.0
        # Unused drawn tokens are returned to the row, even after they expired.
        unused = bucket.available.remove_all()

        def update(value: dict[str, Any] | None) -> dict[str, Any] | None:
            nonlocal granted, remaining, updated_s
            updated_s = boottime_s()
            now_ms, level = self._table.clock.now_ms(), workspace.burst
            written_ms = 0.0 if value is None else value["at_ms"]
            bound = self._level_bound(workspace, written_ms)
            if value is not None:
                now_ms = max(now_ms, written_ms)
                refilled = (now_ms - written_ms) / 1000 * workspace.rate_per_s
                unspent = refilled + unused
                if not 0.0 < bucket.offline_ms < written_ms:
                    # Otherwise another VM wrote the row and accounted for them.
                    unspent -= offline_tokens
                level = min(workspace.burst, value["level"] + unspent)
                if bucket.offline:
                    # The bucket may have overflowed before the last grants.
                    own_level = bucket.current_level(workspace) + unused
                    level = min(level, own_level)
            if level > bound:
                count(Counter.RATE_TOKENS, "unknown", int(level - bound))
                level = bound
            granted = max(0.0, math.floor(min(level, requested)))
            remaining = level - granted
            if not granted and not unused and not offline_tokens:
                return None
            return {"level": remaining, "at_ms": now_ms}

        try:
            await update_row(self._table, bucket.row, update)
        except (TableUnavailable, ResponseLost) as error:
            if isinstance(error, TableUnavailable):
                # The row is unchanged, so the tokens are still this VM's.
                bucket.available.tokens += unused
            raise StoreUnavailable(
                f"rate of {workspace.name}: {error!r}", retry_after_s=STORE_RETRY_S
            ) from error
        # What refills while the row is written is not part of the level.
        bucket.level, bucket.level_updated_s = remaining, updated_s
        bucket.offline_tokens -= offline_tokens
        bucket.offline = False
        count(Counter.RATE_TOKENS, "drawn", int(granted))
        count(Counter.RATE_TOKENS, "returned", int(unused))
        if not granted:
            wait_s = (1 - remaining) / workspace.rate_per_s
            return max(self._min_draw_interval_s(bucket, workspace), wait_s)
        self._make_available(bucket, workspace, granted)
        return 0.0
