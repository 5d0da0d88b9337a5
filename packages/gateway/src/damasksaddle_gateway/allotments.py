"""
Draws a workspace's rate from its row in the store, and hands it out.

The row is the one token bucket of a workspace over all VMs. Whoever draws from it,
by compare-and-set, may hand out what it drew for `lapse_s`, so several VMs may draw at
once and the rate still holds: a window can exceed it only by what was drawn before
the window began, and `lapse_s` is chosen so that this fits the overrun that is allowed.

While the store is away for all VMs, `may_go_on` lets the holder hand out tokens from
the level that it knew; what it handed out is taken off the row afterwards.

Requests wait in line for a short time when the bucket is empty. One that begins a
program leaves a reserve to the programs under way; it is refused while the bucket is
lower. The first turn that a workspace's holder sees of a program begins it.
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
from damasksaddle_gateway.rows import CachedRow, change_row
from damasksaddle_gateway.settings import GatewaySettings
from damasksaddle_gateway.store import StoreGate

log = get_logger("rates")

TABLE = "rates"
# The part of the allowed overrun that drawn tokens may use up; the rest is for
# requests that are on their way to an upstream when a window begins.
OVERRUN_SHARE = 0.7
# Half of the lapse is for the VM that draws, the other half for those it gives to.
HOLDER_SHARE = 0.5
LONGEST_LAPSE_S = 1.0
# A draw covers the demand that is expected within this part of the lapse.
AHEAD_SHARE = 0.8
# The demand is averaged over about this time.
DEMAND_S = 1.0
# A bucket with less than this share of its burst hands out nothing ahead.
LOW_SHARE = 0.25
STORE_RETRY_S = 0.5
MIN_RETRY_S = 0.1
# A program without a turn for this time has ended: twice the longest that the users'
# programs wait for an answer and come back.
PROGRAM_IDLE_S = 10.0
# A draw that found too little waits at least this long before the next.
MIN_WAIT_S = 0.02


def lapse_s(workspace: Workspace, settings: GatewaySettings) -> float:
    """Returns for how long drawn tokens may be used, by all VMs that hand them on."""
    window = settings.rate_window_s * workspace.rate_per_s + workspace.burst
    overrun = settings.rate_overrun * window + settings.rate_slack
    return min(LONGEST_LAPSE_S, OVERRUN_SHARE * overrun / workspace.rate_per_s)


class Demand:
    """An average of events per second."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._at_s = 0.0

    def count(self, number: int = 1) -> None:
        """Books that events happened now."""
        now_s = boottime_s()
        self._per_s = self.per_s() + number / DEMAND_S
        self._at_s = now_s

    def per_s(self) -> float:
        """Returns the average up to now."""
        return self._per_s * math.exp((self._at_s - boottime_s()) / DEMAND_S)


@dataclass(slots=True)
class Drawn:
    """Tokens that may be used until a time."""

    tokens: float = 0.0
    until_s: float = -math.inf

    def take(self, wanted: int) -> int:
        """Returns how many tokens were taken, at most what is wanted."""
        if boottime_s() >= self.until_s:
            self.tokens = 0.0
        taken = min(wanted, math.floor(self.tokens))
        self.tokens -= taken
        return taken


@dataclass(slots=True)
class _Allotment:
    """What this VM knows of the bucket of one workspace."""

    row: CachedRow
    drawn: Drawn = field(default_factory=Drawn)
    demand: Demand = field(default_factory=Demand)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    waiting: int = 0
    level: float = math.inf
    level_at_s: float = 0.0
    # When the programs under way last asked for a turn.
    begun_s: dict[str, float] = field(default_factory=dict)
    # Handed out without the store, which the next draw has to take off the row.
    owed: float = 0.0

    def is_begun(self, program: str) -> bool:
        """Tells whether a program was admitted here a while ago."""
        return boottime_s() - self.begun_s.get(program, -math.inf) < PROGRAM_IDLE_S

    def note_begun(self, program: str) -> None:
        """Books that a turn of a program is admitted."""
        now_s = boottime_s()
        self.begun_s.pop(program, None)
        self.begun_s[program] = now_s
        # The oldest come first.
        while now_s - next(iter(self.begun_s.values())) >= PROGRAM_IDLE_S:
            del self.begun_s[next(iter(self.begun_s))]

    def level_now(self, workspace: Workspace) -> float:
        """Returns the level that was last known, refilled up to now."""
        gained = (boottime_s() - self.level_at_s) * workspace.rate_per_s
        return min(workspace.burst, self.level + gained)


class Allotments:
    """Hands out tokens of workspaces."""

    def __init__(
        self,
        table: StoreGate,
        settings: GatewaySettings,
        may_go_on: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._table = table
        self._settings = settings
        self._may_go_on = may_go_on
        self._allotments: dict[str, _Allotment] = {}

    async def take(
        self,
        workspace: Workspace,
        wanted: int,
        max_wait_s: float,
        reserve: int = 0,
        program: str = "",
    ) -> int:
        """
        Returns at least one token, and up to `wanted` if the bucket is ample.

        If the request begins `program`, it leaves `reserve` tokens in the bucket.
        Raises `RateExceeded` with the time until there will be one if that is longer
        than `max_wait_s`, and `StoreUnavailable` if the store cannot tell.
        """
        allotment = self._allotment(workspace)
        self._refuse_hopeless(allotment, workspace, max_wait_s)
        give_up_s = boottime_s() + max_wait_s
        if program and not allotment.is_begun(program):
            await self._wait_for_reserve(allotment, workspace, reserve, give_up_s)
        allotment.waiting += 1
        try:
            async with allotment.lock:
                while True:
                    portion = self._portion(allotment, workspace, wanted)
                    taken = allotment.drawn.take(portion)
                    if taken:
                        allotment.demand.count(taken)
                        if program:
                            allotment.note_begun(program)
                        return taken
                    wait_s = await self._draw_or_go_on(allotment, workspace)
                    if wait_s and boottime_s() + wait_s > give_up_s:
                        raise self._exceeded(allotment, workspace, wait_s)
                    await asyncio.sleep(wait_s)
        finally:
            allotment.waiting -= 1

    async def _wait_for_reserve(
        self,
        allotment: _Allotment,
        workspace: Workspace,
        reserve: int,
        give_up_s: float,
    ) -> None:
        """Waits, outside of the line, until the bucket holds more than the reserve."""
        while True:
            missing = self._missing(allotment, workspace) + reserve
            if missing <= 0:
                return
            wait_s = missing / workspace.rate_per_s
            if boottime_s() + wait_s > give_up_s:
                raise self._exceeded(allotment, workspace, wait_s, reserve)
            await asyncio.sleep(wait_s)

    @staticmethod
    def _missing(allotment: _Allotment, workspace: Workspace) -> float:
        """Returns how many tokens are missing for one more request, as last known."""
        level = allotment.level_now(workspace)
        return allotment.waiting + 1 - level - allotment.drawn.tokens

    async def _draw_or_go_on(
        self, allotment: _Allotment, workspace: Workspace
    ) -> float:
        """Draws from the store, or from the last known level while it is away."""
        try:
            return await self._draw(allotment, workspace)
        except StoreUnavailable:
            if not await self._may_go_on(workspace.name):
                raise
        if math.isinf(allotment.level):
            allotment.level, allotment.level_at_s = 0.0, boottime_s()
        level = allotment.level_now(workspace)
        got = float(max(0, math.floor(min(level, self._wanted(allotment, workspace)))))
        allotment.level, allotment.level_at_s = level - got, boottime_s()
        allotment.owed += got
        if not got:
            return max(MIN_WAIT_S, (1 - level) / workspace.rate_per_s)
        self._hold(allotment, workspace, got)
        return 0.0

    def _wanted(self, allotment: _Allotment, workspace: Workspace) -> int:
        ahead_s = lapse_s(workspace, self._settings) * HOLDER_SHARE * AHEAD_SHARE
        return allotment.waiting + math.ceil(allotment.demand.per_s() * ahead_s)

    def _hold(self, allotment: _Allotment, workspace: Workspace, got: float) -> None:
        lapse = lapse_s(workspace, self._settings) * HOLDER_SHARE
        allotment.drawn.tokens = got
        allotment.drawn.until_s = boottime_s() + lapse

    def _refuse_hopeless(
        self, allotment: _Allotment, workspace: Workspace, max_wait_s: float
    ) -> None:
        """Raises if the requests that wait already will take longer than the wait."""
        wait_s = self._missing(allotment, workspace) / workspace.rate_per_s
        if wait_s > max_wait_s:
            raise self._exceeded(allotment, workspace, wait_s)

    @staticmethod
    def _exceeded(
        allotment: _Allotment, workspace: Workspace, wait_s: float, reserve: int = 0
    ) -> RateExceeded:
        return RateExceeded(
            f"level {allotment.level:.1f} of {workspace.burst:g}, "
            f"{allotment.waiting} waiting, {reserve} for programs under way",
            retry_after_s=max(MIN_RETRY_S, wait_s),
        )

    def _allotment(self, workspace: Workspace) -> _Allotment:
        known = self._allotments.get(workspace.name)
        if known is None:
            known = _Allotment(CachedRow(row_key(TABLE, workspace.name, "bucket")))
            self._allotments[workspace.name] = known
        return known

    @staticmethod
    def _portion(allotment: _Allotment, workspace: Workspace, wanted: int) -> int:
        """
        Returns how many tokens a VM gets that wants some ahead.

        What it does not use is lost to the workspace, so a low bucket gives one.
        """
        if allotment.level < workspace.burst * LOW_SHARE:
            return 1
        spare = math.floor(allotment.drawn.tokens) - allotment.waiting + 1
        return max(1, min(wanted, spare))

    async def _draw(self, allotment: _Allotment, workspace: Workspace) -> float:
        """Draws tokens; returns how long to wait before the next draw, 0 if some."""
        wanted = self._wanted(allotment, workspace)
        owed = allotment.owed
        got = left = 0.0
        # What was drawn and not used goes back, also after it lapsed.
        unused, allotment.drawn.tokens = allotment.drawn.tokens, 0.0

        def draw(value: dict[str, Any] | None) -> dict[str, Any] | None:
            nonlocal got, left
            now_ms, level = self._table.clock.now_ms(), workspace.burst
            if value is not None:
                now_ms = max(now_ms, value["at_ms"])
                gained = (now_ms - value["at_ms"]) / 1000 * workspace.rate_per_s
                level = min(workspace.burst, value["level"] + gained + unused) - owed
            got = max(0.0, math.floor(min(level, wanted)))
            left = level - got
            if not got and not unused and not owed:
                return None
            return {"level": left, "at_ms": now_ms}

        try:
            await change_row(self._table, allotment.row, draw)
        except (TableUnavailable, ResponseLost) as error:
            raise StoreUnavailable(
                f"rate of {workspace.name}: {error!r}", retry_after_s=STORE_RETRY_S
            ) from error
        allotment.level, allotment.level_at_s = left, boottime_s()
        allotment.owed -= owed
        if not got:
            missing = 1 - left
            return max(MIN_WAIT_S, missing / workspace.rate_per_s)
        self._hold(allotment, workspace, got)
        return 0.0
